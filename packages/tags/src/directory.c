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
    mv_time_t cold_until;
} record_t;

struct mv_directory {
    mv_directory_settings_t settings;
    uint32_t data_centre;
    GHashTable *announced;
    mv_list_t records;
    mv_routing_t *routing;
    unsigned near_nodes;
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

mv_directory_t *
MvDirectory_Create(const mv_directory_settings_t *settings)
{
    mv_directory_t *directory = g_new0(mv_directory_t, 1);
    directory->settings = *settings;
    directory->data_centre = MvDataCentre_Hash(settings->data_centre);
    directory->announced =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    MvList_Init(&directory->records);
    directory->routing = MvRouting_Create();
    directory->near_nodes = 1;
    return directory;
}

static void
free_record(record_t *record)
{
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
        free_record(MV_CONTAINER_OF(item, record_t, link));
    }
    g_hash_table_unref(directory->announced);
    MvRouting_Destroy(directory->routing);
    g_free(directory);
}

static bool
is_same_life(const record_t *record, const mv_server_t *server)
{
    return record->server.id == server->id &&
           record->server.started_at == server->started_at &&
           !strcmp(record->server.service, server->service);
}

/* A life that vanished for a while and is announced again. */
static record_t *
find_life(mv_directory_t *directory, const mv_server_t *server)
{
    MV_LIST_FOREACH(item, &directory->records)
    {
        record_t *record = MV_CONTAINER_OF(item, record_t, link);
        if (is_same_life(record, server)) {
            return record;
        }
    }
    return NULL;
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
    record->cold_until = now + server->cold_left;
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
    if (record && is_same_life(record, server)) {
        return update(record, now, server);
    }
    if (record) {
        /* Another life under the same key: the old one is over. */
        record->server.state = MV_SERVER_DRAINING;
        withdraw(record, now);
    }
    record = find_life(directory, server);
    if (!record) {
        record = g_new0(record_t, 1);
        record->server = *server;
        record->server.state = MV_SERVER_READY;
        record->tag = MvServer_Tag(server);
        MvList_Append(&directory->records, &record->link);
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
MvDirectory_Route(mv_directory_t *directory, mv_routing_t *routing)
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
MvDirectory_Unheard(mv_directory_t *directory, mv_time_t now, mv_time_t span)
{
    bool changed = false;
    MV_LIST_FOREACH(item, &directory->records)
    {
        record_t *record = MV_CONTAINER_OF(item, record_t, link);
        mv_time_t missed = now - record->withdrawn_at;
        if (!record->is_announced && takes_new(record) &&
            missed < directory->settings.return_limit + span) {
            record->withdrawn_at += MIN(span, missed);
            changed = true;
        }
    }
    return changed;
}

void
MvDirectory_SetNearNodes(mv_directory_t *directory, unsigned nodes)
{
    directory->near_nodes = MAX(nodes, 1);
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

static unsigned
service_position(GArray *services, const char *name)
{
    for (unsigned i = 0; i < services->len; i++) {
        if (!strcmp(g_array_index(services, mv_table_service_t, i).name,
                    name)) {
            return i;
        }
    }
    mv_table_service_t service = {.flow_limit = UINT32_MAX};
    g_strlcpy(service.name, name, sizeof(service.name));
    g_array_append_val(services, service);
    return services->len - 1;
}

static void
drop_forgotten(mv_directory_t *directory, mv_time_t now)
{
    MV_LIST_FOREACH(item, &directory->records)
    {
        record_t *record = MV_CONTAINER_OF(item, record_t, link);
        if (!record->is_announced &&
            now - record->withdrawn_at > directory->settings.keep) {
            free_record(record);
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
add_servers(const mv_directory_t *directory, mv_table_t *table,
            GArray *services)
{
    MV_LIST_FOREACH(item, &directory->records)
    {
        const record_t *record = MV_CONTAINER_OF(item, record_t, link);
        mv_table_server_t *server = &table->servers[table->server_count];
        uint32_t data_centre = MvDataCentre_Hash(record->server.data_centre);
        *server = (mv_table_server_t){
            .server = record->server,
            .tag = record->tag,
            .service = service_position(services, record->server.service),
            .data_centre = data_centre,
            .is_near = data_centre == directory->data_centre,
            .takes_new = takes_new(record),
            .usable_until =
                record->is_announced
                    ? MV_NEVER
                    : record->withdrawn_at + directory->settings.return_limit,
            .cold_until = record->cold_until,
        };
        index_tag(table, table->server_count++);
    }
}

static void
add_routes(const mv_directory_t *directory, mv_table_t *table,
           GArray *services)
{
    const GArray *routes = directory->routing->routes;
    table->routes = g_new0(mv_table_route_t, routes->len + 1);
    for (unsigned i = 0; i < routes->len; i++) {
        mv_table_route_t *route = &table->routes[table->route_count++];
        route->route = g_array_index(routes, mv_route_t, i);
        for (unsigned s = 0; s < route->route.share_count; s++) {
            const mv_route_share_t *share = &route->route.shares[s];
            route->services[s] = service_position(services, share->service);
            route->total_weight += share->weight;
        }
        g_hash_table_insert(
            table->by_address,
            MvTable_AddressKey(route->route.address, route->route.port),
            route);
    }
}

static void
fill_services(const mv_directory_t *directory, mv_table_t *table)
{
    const GArray *limits = directory->routing->limits;
    for (unsigned i = 0; i < table->service_count; i++) {
        table->services[i].servers = g_new0(unsigned, table->server_count + 1);
    }
    for (unsigned i = 0; i < table->server_count; i++) {
        const mv_table_server_t *server = &table->servers[i];
        mv_table_service_t *service = &table->services[server->service];
        if (server->takes_new) {
            service->servers[service->count++] = i;
        }
    }
    for (unsigned i = 0; i < limits->len; i++) {
        const mv_connection_limit_t *limit =
            &g_array_index(limits, mv_connection_limit_t, i);
        for (unsigned s = 0; s < table->service_count; s++) {
            if (!strcmp(table->services[s].name, limit->service)) {
                table->services[s].flow_limit = limit->flows;
            }
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
    GArray *services = g_array_new(FALSE, TRUE, sizeof(mv_table_service_t));
    table->version = directory->routing->version;
    table->flow_idle = directory->routing->flow_idle;
    table->near_nodes = directory->near_nodes;
    table->by_address = g_hash_table_new(NULL, NULL);
    table->by_tag = g_hash_table_new(NULL, NULL);
    table->servers =
        g_new0(mv_table_server_t, list_length(&directory->records) + 1);
    add_servers(directory, table, services);
    add_routes(directory, table, services);
    table->service_count = services->len;
    table->services =
        (mv_table_service_t *)(void *)g_array_free(services, FALSE);
    fill_services(directory, table);
    return table;
}
