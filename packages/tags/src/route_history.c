/* Services that a route named before a change of the configuration. */
#include "route_history.h"

#include <arpa/inet.h>
#include <string.h>

#include "table.h"

/* Limit of the record's size: a line has up to 90 bytes, and the store holds
 * values of a megabyte. */
#define MAX_FORMER 4096
#define FIELD_COUNT 4

/**
 * struct former_service - A service that a route named.
 * @link: in the list of all, oldest change first
 * @address: address of the route
 * @port: port of the route
 * @service: name of the service
 * @version: version of the configuration that took it away
 * @expires_at: end of its retention
 * @is_observed: this node saw the change
 * @is_recorded: the record of the store has it
 */
typedef struct former_service {
    mv_list_t link;
    uint32_t address;
    uint16_t port;
    char service[MV_NAME_MAX];
    uint64_t version;
    mv_time_t expires_at;
    bool is_observed;
    bool is_recorded;
} former_service_t;

/**
 * struct mv_route_history - Former services of all routes.
 * @retention: time for which a service is remembered
 * @all: all of them
 * @count: length of @all
 * @by_route: GPtrArray of former_service_t by address and port
 * @has_stale_lines: the record has lines that are not in @all
 */
struct mv_route_history {
    mv_time_t retention;
    mv_list_t all;
    unsigned count;
    GHashTable *by_route;
    bool has_stale_lines;
};

mv_route_history_t *
MvRouteHistory_Create(mv_time_t retention)
{
    mv_route_history_t *history = g_new0(mv_route_history_t, 1);
    history->retention = retention;
    history->by_route = g_hash_table_new_full(
        NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
    MvList_Init(&history->all);
    return history;
}

static GPtrArray *
services_of(const mv_route_history_t *history, uint32_t address, uint16_t port)
{
    return g_hash_table_lookup(history->by_route,
                               MvTable_AddressKey(address, port));
}

static former_service_t *
find(const mv_route_history_t *history, uint32_t address, uint16_t port,
     const char *service)
{
    const GPtrArray *services = services_of(history, address, port);
    for (unsigned i = 0; services && i < services->len; i++) {
        former_service_t *former = g_ptr_array_index(services, i);
        if (!strcmp(former->service, service)) {
            return former;
        }
    }
    return NULL;
}

static void
forget(mv_route_history_t *history, former_service_t *former)
{
    gpointer key = MvTable_AddressKey(former->address, former->port);
    GPtrArray *services = g_hash_table_lookup(history->by_route, key);
    history->has_stale_lines |= former->is_recorded;
    g_ptr_array_remove(services, former);
    if (services->len == 0) {
        g_hash_table_remove(history->by_route, key);
    }
    MvList_Remove(&former->link);
    history->count--;
    g_free(former);
}

void
MvRouteHistory_Destroy(mv_route_history_t *history)
{
    if (!history) {
        return;
    }
    MV_LIST_FOREACH(item, &history->all)
    {
        forget(history, MV_CONTAINER_OF(item, former_service_t, link));
    }
    g_hash_table_unref(history->by_route);
    g_free(history);
}

static former_service_t *
oldest(const mv_route_history_t *history)
{
    return MV_CONTAINER_OF(history->all.next, former_service_t, link);
}

/* Makes room for one more service of a route. */
static void
forget_oldest(mv_route_history_t *history, uint32_t address, uint16_t port)
{
    const GPtrArray *services = services_of(history, address, port);
    if (services && services->len >= MV_FORMER_SERVICES) {
        forget(history, g_ptr_array_index(services, 0));
    }
    if (history->count >= MAX_FORMER) {
        forget(history, oldest(history));
    }
}

static former_service_t *
add(mv_route_history_t *history, uint32_t address, uint16_t port,
    const char *service)
{
    gpointer key = MvTable_AddressKey(address, port);
    forget_oldest(history, address, port);
    former_service_t *former = g_new0(former_service_t, 1);
    former->address = address;
    former->port = port;
    g_strlcpy(former->service, service, MV_NAME_MAX);
    GPtrArray *services = g_hash_table_lookup(history->by_route, key);
    if (!services) {
        services = g_ptr_array_new();
        g_hash_table_insert(history->by_route, key, services);
    }
    g_ptr_array_add(services, former);
    MvList_Append(&history->all, &former->link);
    history->count++;
    return former;
}

/* Notes a change that took @service away; one that is known already keeps its
 * time.  Return: the entry. */
static former_service_t *
note_change(mv_route_history_t *history, mv_time_t now, uint32_t address,
            uint16_t port, const char *service, uint64_t version)
{
    former_service_t *former = find(history, address, port, service);
    if (!former) {
        former = add(history, address, port, service);
    }
    if (former->version < version) {
        former->version = version;
        former->expires_at = now + history->retention;
        former->is_recorded = false;
        former->is_observed = false;
    }
    return former;
}

/* Changes of the configuration */

/**
 * struct indexed_routing - A configuration with an index of its routes.
 * @version: its version
 * @by_address: &struct mv_route by address and port
 */
typedef struct indexed_routing {
    uint64_t version;
    GHashTable *by_address;
} indexed_routing_t;

static indexed_routing_t
index_routes(const mv_routing_t *routing)
{
    indexed_routing_t indexed = {.version = routing->version,
                                 .by_address = g_hash_table_new(NULL, NULL)};
    for (unsigned i = 0; i < routing->routes->len; i++) {
        mv_route_t *route = &g_array_index(routing->routes, mv_route_t, i);
        g_hash_table_insert(indexed.by_address,
                            MvTable_AddressKey(route->address, route->port),
                            route);
    }
    return indexed;
}

static const mv_route_t *
find_route(const indexed_routing_t *routing, uint32_t address, uint16_t port)
{
    return g_hash_table_lookup(routing->by_address,
                               MvTable_AddressKey(address, port));
}

static bool
names_service(const mv_route_t *route, const char *service)
{
    for (unsigned i = 0; i < route->share_count; i++) {
        if (!strcmp(route->shares[i].service, service)) {
            return true;
        }
    }
    return false;
}

/* Whether @routing makes a change of @version void: it is not older, and has
 * no such route any more, or gives it the service again. */
static bool
is_void(const indexed_routing_t *routing, uint32_t address, uint16_t port,
        const char *service, uint64_t version)
{
    if (version > routing->version) {
        return false;
    }
    const mv_route_t *route = find_route(routing, address, port);
    return !route || names_service(route, service);
}

static void
note_dropped(mv_route_history_t *history, mv_time_t now,
             const mv_route_t *before, const indexed_routing_t *after)
{
    const mv_route_t *route = find_route(after, before->address, before->port);
    for (unsigned i = 0; route && i < before->share_count; i++) {
        const char *service = before->shares[i].service;
        if (!names_service(route, service)) {
            former_service_t *former =
                note_change(history, now, before->address, before->port,
                            service, after->version);
            former->is_observed = true;
        }
    }
}

void
MvRouteHistory_Replace(mv_route_history_t *history, mv_time_t now,
                       const mv_routing_t *before, const mv_routing_t *after)
{
    indexed_routing_t indexed = index_routes(after);
    for (unsigned i = 0; i < before->routes->len; i++) {
        note_dropped(history, now,
                     &g_array_index(before->routes, mv_route_t, i), &indexed);
    }
    MV_LIST_FOREACH(item, &history->all)
    {
        former_service_t *former =
            MV_CONTAINER_OF(item, former_service_t, link);
        if (is_void(&indexed, former->address, former->port, former->service,
                    former->version)) {
            forget(history, former);
        }
    }
    g_hash_table_unref(indexed.by_address);
}

/* Record */

static bool
parse_number(const char *text, guint64 max, guint64 *number)
{
    char *end = NULL;
    *number = g_ascii_strtoull(text, &end, 10);
    return end != text && !*end && *number > 0 && *number <= max;
}

static bool
merge_change(mv_route_history_t *history, mv_time_t now,
             const indexed_routing_t *routing, uint32_t address, uint16_t port,
             const char *service, uint64_t version)
{
    if (!*service || strlen(service) >= MV_NAME_MAX) {
        return false;
    }
    if (is_void(routing, address, port, service, version)) {
        history->has_stale_lines = true;
        return true;
    }
    former_service_t *former =
        note_change(history, now, address, port, service, version);
    former->is_recorded = former->version == version;
    return true;
}

/* The name of the service is escaped as in C, so that it holds no line end. */
static bool
merge_line(mv_route_history_t *history, mv_time_t now,
           const indexed_routing_t *routing, const char *line)
{
    struct in_addr address;
    guint64 port = 0;
    guint64 version = 0;
    char **fields = g_strsplit(line, " ", FIELD_COUNT);
    bool is_valid = g_strv_length(fields) == FIELD_COUNT &&
                    inet_pton(AF_INET, fields[0], &address) == 1 &&
                    parse_number(fields[1], UINT16_MAX, &port) &&
                    parse_number(fields[2], G_MAXUINT64, &version);
    if (is_valid) {
        char *service = g_strcompress(fields[3]);
        is_valid = merge_change(history, now, routing, ntohl(address.s_addr),
                                (uint16_t)port, service, version);
        g_free(service);
    }
    g_strfreev(fields);
    return is_valid;
}

static void
forget_unrecorded(mv_route_history_t *history)
{
    MV_LIST_FOREACH(item, &history->all)
    {
        former_service_t *former =
            MV_CONTAINER_OF(item, former_service_t, link);
        if (!former->is_recorded && !former->is_observed) {
            forget(history, former);
        }
    }
}

bool
MvRouteHistory_Merge(mv_route_history_t *history, mv_time_t now,
                     const mv_routing_t *routing, const char *text)
{
    bool are_valid = true;
    char **lines = g_strsplit(text ? text : "", "\n", -1);
    indexed_routing_t indexed = index_routes(routing);
    MV_LIST_FOREACH(item, &history->all)
    {
        MV_CONTAINER_OF(item, former_service_t, link)->is_recorded = false;
    }
    history->has_stale_lines = false;
    for (char **line = lines; *line; line++) {
        are_valid = (!**line || merge_line(history, now, &indexed, *line)) &&
                    are_valid;
    }
    forget_unrecorded(history);
    g_hash_table_unref(indexed.by_address);
    g_strfreev(lines);
    return are_valid;
}

void
MvRouteHistory_Expire(mv_route_history_t *history, mv_time_t now)
{
    MV_LIST_FOREACH(item, &history->all)
    {
        former_service_t *former =
            MV_CONTAINER_OF(item, former_service_t, link);
        if (now >= former->expires_at) {
            forget(history, former);
        }
    }
}

mv_history_state_t
MvRouteHistory_State(const mv_route_history_t *history)
{
    MV_LIST_FOREACH(item, &history->all)
    {
        const former_service_t *former =
            MV_CONTAINER_OF(item, former_service_t, link);
        if (former->is_observed && !former->is_recorded) {
            return MV_HISTORY_UNRECORDED;
        }
    }
    return history->has_stale_lines && history->count == 0
               ? MV_HISTORY_OUTDATED
               : MV_HISTORY_RECORDED;
}

char *
MvRouteHistory_Encode(const mv_route_history_t *history)
{
    GString *text = g_string_new(NULL);
    MV_LIST_FOREACH(item, &history->all)
    {
        const former_service_t *former =
            MV_CONTAINER_OF(item, former_service_t, link);
        const struct in_addr address = {htonl(former->address)};
        char name[INET_ADDRSTRLEN];
        inet_ntop(AF_INET, &address, name, sizeof(name));
        char *service = g_strescape(former->service, NULL);
        g_string_append_printf(text, "%s %u %" G_GUINT64_FORMAT " %s\n", name,
                               former->port, former->version, service);
        g_free(service);
    }
    return g_string_free(text, FALSE);
}

unsigned
MvRouteHistory_Services(const mv_route_history_t *history, uint32_t address,
                        uint16_t port,
                        const char *services[MV_FORMER_SERVICES])
{
    const GPtrArray *former = services_of(history, address, port);
    unsigned count = former ? former->len : 0;
    for (unsigned i = 0; i < count; i++) {
        services[i] =
            ((const former_service_t *)g_ptr_array_index(former, i))->service;
    }
    return count;
}

void
MvRouteHistory_AddServices(const mv_route_history_t *history,
                           GHashTable *names)
{
    MV_LIST_FOREACH(item, &history->all)
    {
        former_service_t *former =
            MV_CONTAINER_OF(item, former_service_t, link);
        g_hash_table_add(names, former->service);
    }
}
