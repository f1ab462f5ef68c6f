/* Which announcements name a server, and which servers have been replaced by a
 * later one. */
#include "directory_private.h"

/* Services of the configuration in force, and those that routes named before
 * while their open flows go on.  Return: a set of names, owned by @directory.
 */
static GHashTable *
named_services(const mv_directory_t *directory)
{
    const mv_routing_t *routing = directory->routing;
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    for (unsigned i = 0; i < routing->limits->len; i++) {
        g_hash_table_add(
            names,
            g_array_index(routing->limits, mv_service_limits_t, i).service);
    }
    for (unsigned i = 0; i < routing->routes->len; i++) {
        mv_route_t *route = &g_array_index(routing->routes, mv_route_t, i);
        for (unsigned s = 0; s < route->share_count; s++) {
            g_hash_table_add(names, route->shares[s].service);
        }
    }
    MvRouteHistory_AddServices(directory->history, names);
    return names;
}

void
MvDirectory_NoteNamed(const mv_directory_t *directory)
{
    GHashTable *names = named_services(directory);
    MV_LIST_FOREACH(item, &directory->servers)
    {
        mv_known_server_t *known =
            MV_CONTAINER_OF(item, mv_known_server_t, link);
        known->is_named = g_hash_table_contains(names, known->server.service);
    }
    g_hash_table_unref(names);
}

static gpointer
address_of(const mv_known_server_t *known)
{
    return MvTable_AddressKey(known->server.address, known->server.port);
}

/* Return: the server that was announced last at each address, of those that
 * the store shows: &struct mv_known_server by address. */
static GHashTable *
find_holders(const mv_directory_t *directory)
{
    GHashTable *holders = g_hash_table_new(NULL, NULL);
    MV_LIST_FOREACH(item, &directory->servers)
    {
        mv_known_server_t *known =
            MV_CONTAINER_OF(item, mv_known_server_t, link);
        gpointer address = address_of(known);
        const mv_known_server_t *holder =
            g_hash_table_lookup(holders, address);
        if (known->is_announced && known->is_named &&
            (!holder || known->revision > holder->revision)) {
            g_hash_table_insert(holders, address, known);
        }
    }
    return holders;
}

/* @successor: what the store shows in the place of @known, or NULL.  A
 * start that is not announced is 0. */
static bool
is_replaced_by(const mv_known_server_t *known,
               const mv_known_server_t *successor)
{
    return successor && successor->is_named &&
           successor->server.id != known->server.id &&
           known->server.started_at > 0 &&
           successor->server.started_at > known->server.started_at &&
           successor->revision > known->revision;
}

/* Two processes never have the same address, or the same key, at a time. */
void
MvDirectory_NoteReplaced(const mv_directory_t *directory, mv_time_t now)
{
    GHashTable *holders = find_holders(directory);
    MV_LIST_FOREACH(item, &directory->servers)
    {
        mv_known_server_t *known =
            MV_CONTAINER_OF(item, mv_known_server_t, link);
        bool is_replaced =
            is_replaced_by(known,
                           g_hash_table_lookup(holders, address_of(known))) ||
            is_replaced_by(
                known, g_hash_table_lookup(directory->announced, known->key));
        if (is_replaced && known->replaced_at == 0) {
            known->replaced_at = now;
        }
        else if (!is_replaced && known->is_announced) {
            known->replaced_at = 0;
        }
    }
    g_hash_table_unref(holders);
}
