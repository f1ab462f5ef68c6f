/* Servers and routes as the store told of them, on the control thread. */
#include <string.h>
#include <xxhash.h>

#include "table.h"

/* One life of a server under a key of the store. */
typedef struct record {
    mv_list_t link;
    mv_server_t server;
    uint32_t tag;
    bool is_announced;
    mv_time_t withdrawn_at;
    mv_time_t warmup_until;
} record_t;

struct mv_directory {
    mv_directory_settings_t settings;
    uint32_t data_centre;
    GHashTable *announced;
    GHashTable *lives;
    mv_list_t records;
    mv_routing_t *routing;
    unsigned local_nodes;
};

uint32_t
MvServer_Tag(const mv_server_t *server)
{
    const uint64_t life[] = {server->id, (uint64_t)server->started_at};
    uint32_t tag = (uint32_t)XXH3_64bits(life, sizeof(life));
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
hash_life(gconstpointer key)
{
    return MvServer_Tag(key);
}

static gboolean
is_same_life(gconstpointer a, gconstpointer b)
{
    const mv_server_t *one = a;
    const mv_server_t *other = b;
    return one->id == other->id && one->started_at == other->started_at &&
           !strcmp(one->service, other->service);
}

mv_directory_t *
MvDirectory_Create(const mv_directory_settings_t *settings)
{
    mv_directory_t *directory = g_new0(mv_directory_t, 1);
    directory->settings = *settings;
    directory->data_centre = MvDataCentre_Hash(settings->data_centre);
    directory->announced =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    directory->lives = g_hash_table_new(hash_life, is_same_life);
    MvList_Init(&directory->records);
    directory->routing = MvRouting_Create();
    directory->local_nodes = 1;
    return directory;
}

static void
free_record(mv_directory_t *directory, record_t *record)
{
    g_hash_table_remove(directory->lives, &record->server);
    MvList_Remove(&record->link);
    g_free(record);
}

void
MvDirectory_Destroy(mv_directory_t *directory)
{
    if (!directory) {
        return;
    }
    MV_LIST_FOREACH(item, &directory->records)
    {
        free_record(directory, MV_CONTAINER_OF(item, record_t, link));
    }
    g_hash_table_unref(directory->announced);
    g_hash_table_unref(directory->lives);
    MvRouting_Destroy(directory->routing);
    g_free(directory);
}

/* A life that vanished for a while may be announced again. */
static record_t *
find_life(mv_directory_t *directory, const mv_server_t *server)
{
    return g_hash_table_lookup(directory->lives, server);
}

static record_t *
add_life(mv_directory_t *directory, const mv_server_t *server)
{
    record_t *record = g_new0(record_t, 1);
    record->server = *server;
    record->server.state = MV_SERVER_READY;
    record->tag = MvServer_Tag(server);
    MvList_Append(&directory->records, &record->link);
    g_hash_table_insert(directory->lives, &record->server, record);
    return record;
}

static void
withdraw(record_t *record, mv_time_t now)
{
    record->is_announced = false;
    record->withdrawn_at = now;
}

static int
update(record_t *record, mv_time_t now, const mv_server_t *server)
{
    bool is_back = !record->is_announced;
    bool leaves = server->state == MV_SERVER_DRAINING &&
                  record->server.state != MV_SERVER_DRAINING;
    record->server = *server;
    record->is_announced = true;
    record->warmup_until = now + server->warmup_left;
    if (leaves) {
        return MV_EVENT_ENDPOINT_DRAINING;
    }
    return is_back ? MV_EVENT_ENDPOINT_ANNOUNCES : 0;
}

int
MvDirectory_Announce(mv_directory_t *directory, mv_time_t now, const char *key,
                     const mv_server_t *server)
{
    record_t *record = g_hash_table_lookup(directory->announced, key);
    if (record && is_same_life(&record->server, server)) {
        return update(record, now, server);
    }
    if (record) {
        /* Another life under the same key: the old one is over. */
        record->server.state = MV_SERVER_DRAINING;
        withdraw(record, now);
    }
    record = find_life(directory, server);
    if (!record) {
        record = add_life(directory, server);
    }
    g_hash_table_replace(directory->announced, g_strdup(key), record);
    return update(record, now, server);
}

int
MvDirectory_Withdraw(mv_directory_t *directory, mv_time_t now, const char *key)
{
    record_t *record = g_hash_table_lookup(directory->announced, key);
    if (!record) {
        return 0;
    }
    withdraw(record, now);
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
takes_new(const record_t *record)
{
    return record->server.state == MV_SERVER_READY;
}

bool
MvDirectory_NoteStoreOutage(mv_directory_t *directory, mv_time_t now,
                            mv_time_t span)
{
    bool changed = false;
    MV_LIST_FOREACH(item, &directory->records)
    {
        record_t *record = MV_CONTAINER_OF(item, record_t, link);
        mv_time_t missed = now - record->withdrawn_at;
        if (!record->is_announced && takes_new(record) &&
            missed < directory->settings.vanished_grace + span) {
            record->withdrawn_at += MIN(span, missed);
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
    MV_LIST_FOREACH(item, &directory->records)
    {
        const record_t *record = MV_CONTAINER_OF(item, record_t, link);
        count += record->is_announced && takes_new(record);
    }
    return count;
}

/* Snapshot */

/**
 * struct builder - A snapshot in the making.
 * @directory: what it is made of
 * @table: the snapshot
 * @services: of mv_table_service_t
 * @by_name: position of a service and one; names belong to the directory
 */
typedef struct builder {
    const mv_directory_t *directory;
    mv_table_t *table;
    GArray *services;
    GHashTable *by_name;
} builder_t;

/* Return: its position, or -1. */
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
drop_forgotten(mv_directory_t *directory, mv_time_t now)
{
    MV_LIST_FOREACH(item, &directory->records)
    {
        record_t *record = MV_CONTAINER_OF(item, record_t, link);
        if (!record->is_announced &&
            now - record->withdrawn_at > directory->settings.retention) {
            free_record(directory, record);
        }
    }
}

/* The elder of two lives with one tag keeps it; the younger gets no flows. */
static void
index_tag(mv_table_t *table, unsigned position)
{
    mv_table_server_t *server = &table->servers[position];
    int other = MvTable_Server(table, server->tag);
    unsigned keeper = position;
    if (other >= 0) {
        mv_table_server_t *rival = &table->servers[other];
        bool is_elder =
            server->server.started_at < rival->server.started_at ||
            (server->server.started_at == rival->server.started_at &&
             server->server.id < rival->server.id);
        keeper = is_elder ? position : (unsigned)other;
        (is_elder ? rival : server)->takes_new = false;
    }
    g_hash_table_insert(table->by_tag, GUINT_TO_POINTER(server->tag),
                        GINT_TO_POINTER((int)keeper + 1));
}

static void
add_servers(builder_t *builder)
{
    const mv_directory_t *directory = builder->directory;
    mv_table_t *table = builder->table;
    MV_LIST_FOREACH(item, &directory->records)
    {
        const record_t *record = MV_CONTAINER_OF(item, record_t, link);
        mv_table_server_t *server = &table->servers[table->server_count];
        uint32_t data_centre = MvDataCentre_Hash(record->server.data_centre);
        *server = (mv_table_server_t){
            .server = record->server,
            .tag = record->tag,
            .service = service_position(builder, record->server.service),
            .data_centre = data_centre,
            .is_local = data_centre == directory->data_centre,
            .takes_new = takes_new(record),
            .usable_until = record->is_announced
                                ? MV_NEVER
                                : record->withdrawn_at +
                                      directory->settings.vanished_grace,
            .warmup_until = record->warmup_until,
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

/* Servers of each service that take new flows, in room that fits. */
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
    drop_forgotten(directory, now);
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
        g_new0(mv_table_server_t, list_length(&directory->records) + 1);
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
