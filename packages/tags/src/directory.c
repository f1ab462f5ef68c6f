/* Servers and routes as read from the store, on the control thread. */
#include <string.h>
#include <xxhash.h>

#include "table.h"

/* One incarnation of a server, as announced under one key.  Another writer may
 * announce the same id under a second key: that is another incarnation with
 * the same tag, which the first one keeps (index_tag). */
typedef struct incarnation {
    mv_list_t link;
    char *key;
    mv_server_t server;
    uint32_t tag;
    bool is_announced;
    mv_time_t withdrawn_at;
    mv_time_t warmup_until;
} incarnation_t;

struct mv_directory {
    mv_directory_settings_t settings;
    uint32_t data_centre;
    GHashTable *announced;
    GHashTable *by_identity;
    mv_list_t incarnations;
    mv_routing_t *routing;
    unsigned local_nodes;
};

uint32_t
MvServer_Tag(const mv_server_t *server)
{
    const uint64_t identity[] = {server->id, (uint64_t)server->started_at};
    uint32_t tag = (uint32_t)XXH3_64bits(identity, sizeof(identity));
    return tag ? tag : 1;
}

mv_routing_t *
MvRouting_Create(void)
{
    mv_routing_t *routing = g_new0(mv_routing_t, 1);
    routing->routes = g_array_new(FALSE, TRUE, sizeof(mv_route_t));
    routing->limits = g_array_new(FALSE, TRUE, sizeof(mv_connection_limit_t));
    return routing;
}

void
MvRouting_Destroy(mv_routing_t *routing)
{
    if (!routing) {
        return;
    }
    g_array_unref(routing->routes);
    g_array_unref(routing->limits);
    g_free(routing);
}

static guint
hash_incarnation(gconstpointer pointer)
{
    const incarnation_t *incarnation = pointer;
    return MvServer_Tag(&incarnation->server);
}

static bool
is_same_start(const mv_server_t *left, const mv_server_t *right)
{
    return left->id == right->id && left->started_at == right->started_at &&
           !strcmp(left->service, right->service);
}

static gboolean
is_same_incarnation(gconstpointer a, gconstpointer b)
{
    const incarnation_t *left = a;
    const incarnation_t *right = b;
    return is_same_start(&left->server, &right->server) &&
           !strcmp(left->key, right->key);
}

mv_directory_t *
MvDirectory_Create(const mv_directory_settings_t *settings)
{
    mv_directory_t *directory = g_new0(mv_directory_t, 1);
    directory->settings = *settings;
    directory->data_centre = MvDataCentre_Hash(settings->data_centre);
    directory->announced = g_hash_table_new(g_str_hash, g_str_equal);
    directory->by_identity =
        g_hash_table_new(hash_incarnation, is_same_incarnation);
    MvList_Init(&directory->incarnations);
    directory->routing = MvRouting_Create();
    directory->local_nodes = 1;
    return directory;
}

static void
free_incarnation(mv_directory_t *directory, incarnation_t *incarnation)
{
    g_hash_table_remove(directory->by_identity, incarnation);
    MvList_Remove(&incarnation->link);
    g_free(incarnation->key);
    g_free(incarnation);
}

void
MvDirectory_Destroy(mv_directory_t *directory)
{
    if (!directory) {
        return;
    }
    MV_LIST_FOREACH(item, &directory->incarnations)
    {
        free_incarnation(directory,
                         MV_CONTAINER_OF(item, incarnation_t, link));
    }
    g_hash_table_unref(directory->announced);
    g_hash_table_unref(directory->by_identity);
    MvRouting_Destroy(directory->routing);
    g_free(directory);
}

/* Return: the known incarnation, or NULL.  It may be one whose announcement
 * vanished: such an incarnation may be announced again. */
static incarnation_t *
find_incarnation(const mv_directory_t *directory, const char *key,
                 const mv_server_t *server)
{
    const incarnation_t sought = {.key = (char *)key, .server = *server};
    return g_hash_table_lookup(directory->by_identity, &sought);
}

static incarnation_t *
add_incarnation(mv_directory_t *directory, const char *key,
                const mv_server_t *server)
{
    incarnation_t *incarnation = g_new0(incarnation_t, 1);
    incarnation->key = g_strdup(key);
    incarnation->server = *server;
    incarnation->server.state = MV_SERVER_READY;
    incarnation->tag = MvServer_Tag(server);
    MvList_Append(&directory->incarnations, &incarnation->link);
    g_hash_table_insert(directory->by_identity, incarnation, incarnation);
    return incarnation;
}

static void
withdraw(incarnation_t *incarnation, mv_time_t now)
{
    incarnation->is_announced = false;
    incarnation->withdrawn_at = now;
}

static int
update(incarnation_t *incarnation, mv_time_t now, const mv_server_t *server)
{
    bool is_new = !incarnation->is_announced;
    bool starts_draining = server->state == MV_SERVER_DRAINING &&
                           incarnation->server.state != MV_SERVER_DRAINING;
    incarnation->server = *server;
    incarnation->is_announced = true;
    incarnation->warmup_until = now + server->remaining_warmup;
    if (starts_draining) {
        return MV_EVENT_ENDPOINT_DRAINING;
    }
    return is_new ? MV_EVENT_ENDPOINT_REGISTERED : 0;
}

int
MvDirectory_Announce(mv_directory_t *directory, mv_time_t now, const char *key,
                     const mv_server_t *server)
{
    incarnation_t *incarnation =
        g_hash_table_lookup(directory->announced, key);
    if (incarnation && is_same_start(&incarnation->server, server)) {
        return update(incarnation, now, server);
    }
    if (incarnation) {
        /* A new incarnation under the same key has replaced the old one. */
        incarnation->server.state = MV_SERVER_DRAINING;
        withdraw(incarnation, now);
    }
    incarnation = find_incarnation(directory, key, server);
    if (!incarnation) {
        incarnation = add_incarnation(directory, key, server);
    }
    g_hash_table_replace(directory->announced, incarnation->key, incarnation);
    return update(incarnation, now, server);
}

int
MvDirectory_Withdraw(mv_directory_t *directory, mv_time_t now, const char *key)
{
    incarnation_t *incarnation =
        g_hash_table_lookup(directory->announced, key);
    if (!incarnation) {
        return 0;
    }
    withdraw(incarnation, now);
    g_hash_table_remove(directory->announced, key);
    return MV_EVENT_ENDPOINT_GONE;
}

bool
MvDirectory_SetRouting(mv_directory_t *directory, mv_routing_t *routing)
{
    if (routing->version <= directory->routing->version) {
        MvRouting_Destroy(routing);
        return false;
    }
    MvRouting_Destroy(directory->routing);
    directory->routing = routing;
    return true;
}

static bool
takes_new(const incarnation_t *incarnation)
{
    return incarnation->server.state == MV_SERVER_READY;
}

bool
MvDirectory_NoteStoreOutage(mv_directory_t *directory, mv_time_t now,
                            mv_time_t span)
{
    bool changed = false;
    MV_LIST_FOREACH(item, &directory->incarnations)
    {
        incarnation_t *incarnation =
            MV_CONTAINER_OF(item, incarnation_t, link);
        mv_time_t absent_for = now - incarnation->withdrawn_at;
        if (!incarnation->is_announced && takes_new(incarnation) &&
            absent_for < directory->settings.vanished_grace + span) {
            incarnation->withdrawn_at += MIN(span, absent_for);
            changed = true;
        }
    }
    return changed;
}

void
MvDirectory_SetLocalNodes(mv_directory_t *directory, unsigned nodes)
{
    directory->local_nodes = MAX(nodes, 1);
}

uint64_t
MvDirectory_Version(const mv_directory_t *directory)
{
    return directory->routing->version;
}

size_t
MvDirectory_UsableServers(const mv_directory_t *directory)
{
    size_t count = 0;
    MV_LIST_FOREACH(item, &directory->incarnations)
    {
        const incarnation_t *incarnation =
            MV_CONTAINER_OF(item, incarnation_t, link);
        count += incarnation->is_announced && takes_new(incarnation);
    }
    return count;
}

/* Snapshot */

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

static void
drop_expired(mv_directory_t *directory, mv_time_t now)
{
    MV_LIST_FOREACH(item, &directory->incarnations)
    {
        incarnation_t *incarnation =
            MV_CONTAINER_OF(item, incarnation_t, link);
        if (!incarnation->is_announced &&
            now - incarnation->withdrawn_at > directory->settings.retention) {
            free_incarnation(directory, incarnation);
        }
    }
}

/* When two incarnations have the same tag, the older one keeps it and the
 * newer one gets no new flows. */
static void
index_tag(mv_table_t *table, unsigned position)
{
    mv_table_server_t *server = &table->servers[position];
    int holder_position = MvTable_Server(table, server->tag);
    unsigned owner = position;
    if (holder_position >= 0) {
        mv_table_server_t *holder = &table->servers[holder_position];
        bool is_older =
            server->server.started_at < holder->server.started_at ||
            (server->server.started_at == holder->server.started_at &&
             server->server.id < holder->server.id);
        owner = is_older ? position : (unsigned)holder_position;
        (is_older ? holder : server)->takes_new = false;
    }
    g_hash_table_insert(table->by_tag, GUINT_TO_POINTER(server->tag),
                        GINT_TO_POINTER((int)owner + 1));
}

static void
add_servers(builder_t *builder)
{
    const mv_directory_t *directory = builder->directory;
    mv_table_t *table = builder->table;
    MV_LIST_FOREACH(item, &directory->incarnations)
    {
        const incarnation_t *incarnation =
            MV_CONTAINER_OF(item, incarnation_t, link);
        mv_table_server_t *server = &table->servers[table->server_count];
        uint32_t data_centre =
            MvDataCentre_Hash(incarnation->server.data_centre);
        *server = (mv_table_server_t){
            .server = incarnation->server,
            .tag = incarnation->tag,
            .service = service_position(builder, incarnation->server.service),
            .data_centre = data_centre,
            .is_local = data_centre == directory->data_centre,
            .takes_new = takes_new(incarnation),
            .usable_until = incarnation->is_announced
                                ? MV_NEVER
                                : incarnation->withdrawn_at +
                                      directory->settings.vanished_grace,
            .warmup_until = incarnation->warmup_until,
        };
        index_tag(table, table->server_count++);
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
        table->services[server->service].count += server->takes_new;
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
    const GArray *limits = builder->directory->routing->limits;
    for (unsigned i = 0; i < limits->len; i++) {
        const mv_connection_limit_t *limit =
            &g_array_index(limits, mv_connection_limit_t, i);
        int position = find_service(builder, limit->service);
        if (position >= 0) {
            g_array_index(builder->services, mv_table_service_t, position)
                .flow_limit = limit->flows;
        }
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

mv_table_t *
MvDirectory_Table(mv_directory_t *directory, mv_time_t now)
{
    drop_expired(directory, now);
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
    table->servers =
        g_new0(mv_table_server_t, list_length(&directory->incarnations) + 1);
    add_servers(&builder);
    add_routes(&builder);
    set_limits(&builder);
    g_hash_table_unref(builder.by_name);
    table->service_count = builder.services->len;
    table->services =
        (mv_table_service_t *)(void *)g_array_free(builder.services, FALSE);
    fill_services(table);
    return table;
}
