/* The immutable snapshot of the directory for the traffic thread. */
#include <string.h>

#include "directory_private.h"
#include "warmup.h"

/**
 * struct builder - State while a snapshot is built.
 * @directory: source
 * @table: the snapshot
 * @services: array of mv_table_service_t
 * @by_name: position of a service plus one, by name; the directory owns the
 *           names
 */
typedef struct builder {
    const mv_directory_t *directory;
    mv_table_t *table;
    GArray *services;
    GHashTable *by_name;
} builder_t;

/* Return: position of the service, or -1. */
static int
find_service(const builder_t *builder, const char *name)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(builder->by_name, name)) - 1;
}

static unsigned
service_position(builder_t *builder, const char *name)
{
    int found = find_service(builder, name);
    if (found >= 0) {
        return (unsigned)found;
    }
    mv_table_service_t service = {.flow_limit = UINT32_MAX};
    g_strlcpy(service.name, name, sizeof(service.name));
    g_array_append_val(builder->services, service);
    g_hash_table_insert(builder->by_name, (gpointer)name,
                        GINT_TO_POINTER((int)builder->services->len));
    return builder->services->len - 1;
}

/* Whether one of two announcements of the same start says that the server
 * drains.  A server that drains never takes new flows again, so the other one
 * is an old copy. */
static bool
is_draining_copy(const mv_server_t *left, const mv_server_t *right)
{
    return left->id == right->id && left->started_at == right->started_at &&
           (left->state == MV_SERVER_DRAINING ||
            right->state == MV_SERVER_DRAINING);
}

/* Whether @left keeps a tag that both have.  Of two announcements of an id the
 * one that is in the store, or else of the later start, is in force.  Of two
 * ids the older server may have open flows. */
static bool
keeps_tag(const mv_table_server_t *left, const mv_table_server_t *right)
{
    int64_t left_start = left->server.started_at;
    int64_t right_start = right->server.started_at;
    if (left->server.id != right->server.id) {
        return left_start < right_start ||
               (left_start == right_start &&
                left->server.id < right->server.id);
    }
    if (left->usable_until != right->usable_until) {
        return left->usable_until > right->usable_until;
    }
    return left_start > right_start;
}

/* The server that does not keep its tag gets no new flows. */
static void
index_tag(mv_table_t *table, unsigned position)
{
    mv_table_server_t *server = &table->servers[position];
    int holder_position = MvTable_Server(table, server->tag);
    unsigned owner = position;
    if (holder_position >= 0) {
        mv_table_server_t *holder = &table->servers[holder_position];
        bool is_owner = keeps_tag(server, holder);
        owner = is_owner ? position : (unsigned)holder_position;
        (is_owner ? holder : server)->takes_new = false;
        if (is_draining_copy(&holder->server, &server->server)) {
            holder->takes_new = false;
            server->takes_new = false;
        }
    }
    g_hash_table_insert(table->by_tag, GUINT_TO_POINTER(server->tag),
                        GINT_TO_POINTER((int)owner + 1));
}

static mv_time_t
ended_at(const mv_known_server_t *known)
{
    if (known->replaced_at > 0) {
        return known->replaced_at;
    }
    return known->is_announced ? MV_NEVER : known->grace_until;
}

static mv_time_t
learned_at(const mv_known_server_t *known)
{
    if (known->replaced_at > 0) {
        return known->replaced_at;
    }
    return known->is_announced ? MV_NEVER : known->withdrawn_at;
}

static void
add_servers(builder_t *builder, mv_time_t now)
{
    const mv_directory_t *directory = builder->directory;
    mv_table_t *table = builder->table;
    MV_LIST_FOREACH(item, &directory->servers)
    {
        const mv_known_server_t *known =
            MV_CONTAINER_OF(item, mv_known_server_t, link);
        if (!known->is_named) {
            g_hash_table_add(table->unnamed_tags,
                             GUINT_TO_POINTER(known->tag));
            continue;
        }
        mv_table_server_t *server = &table->servers[table->server_count];
        uint32_t data_centre = MvDataCentre_Hash(known->server.data_centre);
        bool is_evacuated =
            MvDirectory_IsEvacuated(directory, known->server.data_centre, now);
        *server = (mv_table_server_t){
            .server = known->server,
            .tag = known->tag,
            .service = service_position(builder, known->server.service),
            .data_centre = data_centre,
            .is_local = data_centre == directory->data_centre,
            .takes_new = MvDirectory_TakesNew(known, now) && !is_evacuated &&
                         known->replaced_at == 0,
            .is_evacuated = is_evacuated,
            .usable_until =
                known->is_announced ? MV_NEVER : known->grace_until,
            .warmup_until = known->warmup_until,
            .ended_at = ended_at(known),
            .learned_at = learned_at(known),
            .is_replaced = known->replaced_at > 0,
        };
        index_tag(table, table->server_count++);
    }
}

/* A former service without a server is left out. */
static void
add_former_services(const builder_t *builder, mv_table_route_t *route)
{
    const char *services[MV_FORMER_SERVICES];
    unsigned count = MvRouteHistory_Services(builder->directory->history,
                                             route->route.address,
                                             route->route.port, services);
    for (unsigned i = 0; i < count; i++) {
        int position = find_service(builder, services[i]);
        if (position >= 0) {
            route->former[route->former_count++] = (unsigned)position;
        }
    }
}

static void
add_routes(builder_t *builder)
{
    const GArray *routes = builder->directory->routing->routes;
    mv_table_t *table = builder->table;
    table->routes = g_new0(mv_table_route_t, routes->len + 1);
    for (unsigned i = 0; i < routes->len; i++) {
        mv_table_route_t *route = &table->routes[table->route_count++];
        route->route = g_array_index(routes, mv_route_t, i);
        for (unsigned s = 0; s < route->route.share_count; s++) {
            const mv_route_share_t *share = &route->route.shares[s];
            route->services[s] = service_position(builder, share->service);
            route->total_weight += share->weight;
        }
        add_former_services(builder, route);
        g_hash_table_insert(
            table->by_address,
            MvTable_AddressKey(route->route.address, route->route.port),
            route);
    }
}

/* Lists the servers of each service that take new flows. */
static void
fill_services(mv_table_t *table)
{
    for (unsigned i = 0; i < table->server_count; i++) {
        const mv_table_server_t *server = &table->servers[i];
        mv_table_service_t *service = &table->services[server->service];
        service->count += server->takes_new;
        service->evacuated_count += server->is_evacuated &&
                                    server->server.state == MV_SERVER_READY &&
                                    server->usable_until == MV_NEVER;
    }
    for (unsigned i = 0; i < table->service_count; i++) {
        mv_table_service_t *service = &table->services[i];
        service->servers = g_new0(unsigned, service->count + 1);
        service->count = 0;
    }
    for (unsigned i = 0; i < table->server_count; i++) {
        const mv_table_server_t *server = &table->servers[i];
        mv_table_service_t *service = &table->services[server->service];
        if (server->takes_new) {
            service->servers[service->count++] = i;
        }
    }
}

static void
set_limits(const builder_t *builder)
{
    const mv_directory_t *directory = builder->directory;
    const GArray *all = directory->routing->limits;
    for (unsigned i = 0; i < all->len; i++) {
        const mv_service_limits_t *limits =
            &g_array_index(all, mv_service_limits_t, i);
        int position = find_service(builder, limits->service);
        if (position < 0) {
            continue;
        }
        mv_table_service_t *service =
            &g_array_index(builder->services, mv_table_service_t, position);
        service->flow_limit = limits->flows;
        service->has_warmup_limit = limits->warmup_rate > 0;
        service->warmup_share =
            MvWarmup_Share(limits->warmup_rate, directory->nodes);
    }
}

static unsigned
list_length(const mv_list_t *list)
{
    unsigned length = 0;
    MV_LIST_FOREACH(item, list)
    {
        length++;
    }
    return length;
}

static gboolean
has_evacuation_ended(gpointer key, gpointer value, gpointer context)
{
    const mv_evacuation_t *evacuation = value;
    const mv_time_t *now = context;
    (void)key;
    return *now >= evacuation->ends_at;
}

static void
remove_ended_evacuations(mv_directory_t *directory, mv_time_t now)
{
    g_hash_table_foreach_remove(directory->evacuated, has_evacuation_ended,
                                &now);
}

/* Return: the earliest time after @now at which what holds for a while ends.
 */
static mv_time_t
find_due_at(const mv_directory_t *directory, mv_time_t now)
{
    mv_time_t due_at = MV_NEVER;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, directory->evacuated);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        due_at = MIN(due_at, ((const mv_evacuation_t *)value)->ends_at);
    }
    MV_LIST_FOREACH(item, &directory->servers)
    {
        const mv_known_server_t *known =
            MV_CONTAINER_OF(item, mv_known_server_t, link);
        if (known->drains_until > now) {
            due_at = MIN(due_at, known->drains_until);
        }
    }
    return due_at;
}

mv_time_t
MvDirectory_DueAt(const mv_directory_t *directory)
{
    return directory->due_at;
}

mv_table_t *
MvDirectory_Table(mv_directory_t *directory, mv_time_t now)
{
    MvDirectory_DropExpired(directory, now);
    MvRouteHistory_Expire(directory->history, now);
    MvDirectory_NoteNamed(directory);
    MvDirectory_NoteReplaced(directory, now);
    remove_ended_evacuations(directory, now);
    directory->due_at = find_due_at(directory, now);
    mv_table_t *table = g_new0(mv_table_t, 1);
    builder_t builder = {
        .directory = directory,
        .table = table,
        .services = g_array_new(FALSE, TRUE, sizeof(mv_table_service_t)),
        .by_name = g_hash_table_new(g_str_hash, g_str_equal)};
    table->version = directory->routing->version;
    table->flow_idle = directory->routing->flow_idle;
    table->local_nodes = directory->local_nodes;
    table->by_address = g_hash_table_new(NULL, NULL);
    table->by_tag = g_hash_table_new(NULL, NULL);
    table->unnamed_tags = g_hash_table_new(NULL, NULL);
    table->servers =
        g_new0(mv_table_server_t, list_length(&directory->servers) + 1);
    add_servers(&builder, now);
    add_routes(&builder);
    set_limits(&builder);
    g_hash_table_unref(builder.by_name);
    table->service_count = builder.services->len;
    table->services =
        (mv_table_service_t *)(void *)g_array_free(builder.services, FALSE);
    fill_services(table);
    return table;
}
