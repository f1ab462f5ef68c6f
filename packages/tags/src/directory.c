/* Servers, routes and evacuations as read from the store, on the control
 * thread. */
#include <string.h>
#include <xxhash.h>

#include "directory_private.h"

/* The operators and the servers write again what a restored store lacks within
 * this time: three heartbeats of a server, and the travel of the change. */
#define REWRITE_TIME (5 * MV_SECOND)

uint32_t
MvServer_Tag(const mv_server_t *server)
{
    uint32_t tag = (uint32_t)XXH3_64bits(&server->id, sizeof(server->id));
    return tag ? tag : 1;
}

mv_routing_t *
MvRouting_Create(void)
{
    mv_routing_t *routing = g_new0(mv_routing_t, 1);
    routing->routes = g_array_new(FALSE, TRUE, sizeof(mv_route_t));
    routing->limits = g_array_new(FALSE, TRUE, sizeof(mv_service_limits_t));
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
hash_server(gconstpointer pointer)
{
    const mv_known_server_t *known = pointer;
    return MvServer_Tag(&known->server);
}

static bool
is_same_server(const mv_server_t *left, const mv_server_t *right)
{
    return left->id == right->id && !strcmp(left->service, right->service);
}

static gboolean
is_same_entry(gconstpointer a, gconstpointer b)
{
    const mv_known_server_t *left = a;
    const mv_known_server_t *right = b;
    return is_same_server(&left->server, &right->server) &&
           !strcmp(left->key, right->key);
}

mv_directory_t *
MvDirectory_Create(const mv_directory_settings_t *settings)
{
    mv_directory_t *directory = g_new0(mv_directory_t, 1);
    directory->settings = *settings;
    directory->data_centre = MvDataCentre_Hash(settings->data_centre);
    directory->announced = g_hash_table_new(g_str_hash, g_str_equal);
    directory->by_identity = g_hash_table_new(hash_server, is_same_entry);
    MvList_Init(&directory->servers);
    directory->routing = MvRouting_Create();
    directory->history = MvRouteHistory_Create(settings->retention);
    directory->evacuated =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    directory->due_at = MV_NEVER;
    directory->local_nodes = 1;
    return directory;
}

static void
free_server(mv_directory_t *directory, mv_known_server_t *known)
{
    g_hash_table_remove(directory->by_identity, known);
    MvList_Remove(&known->link);
    g_free(known->key);
    g_free(known);
}

void
MvDirectory_Destroy(mv_directory_t *directory)
{
    if (!directory) {
        return;
    }
    MV_LIST_FOREACH(item, &directory->servers)
    {
        free_server(directory, MV_CONTAINER_OF(item, mv_known_server_t, link));
    }
    g_hash_table_unref(directory->announced);
    g_hash_table_unref(directory->by_identity);
    g_hash_table_unref(directory->evacuated);
    MvRouteHistory_Destroy(directory->history);
    MvRouting_Destroy(directory->routing);
    g_free(directory);
}

/* Return: the known server, or NULL.  It may be one whose announcement
 * vanished: such a server may be announced again. */
static mv_known_server_t *
find_server(const mv_directory_t *directory, const char *key,
            const mv_server_t *server)
{
    const mv_known_server_t sought = {.key = (char *)key, .server = *server};
    return g_hash_table_lookup(directory->by_identity, &sought);
}

static mv_known_server_t *
add_server(mv_directory_t *directory, const char *key,
           const mv_server_t *server)
{
    mv_known_server_t *known = g_new0(mv_known_server_t, 1);
    known->key = g_strdup(key);
    known->server = *server;
    known->server.state = MV_SERVER_READY;
    known->tag = MvServer_Tag(server);
    MvList_Append(&directory->servers, &known->link);
    g_hash_table_insert(directory->by_identity, known, known);
    return known;
}

static void
withdraw(const mv_directory_t *directory, mv_known_server_t *known,
         mv_time_t now, mv_time_t removed_at)
{
    known->is_announced = false;
    known->withdrawn_at = now;
    known->grace_until = removed_at + directory->settings.vanished_grace;
}

static int
update(const mv_directory_t *directory, mv_known_server_t *known,
       mv_time_t now, uint64_t revision, const mv_server_t *server)
{
    bool is_new =
        !known->is_announced || server->started_at != known->server.started_at;
    bool starts_draining = server->state == MV_SERVER_DRAINING &&
                           known->server.state != MV_SERVER_DRAINING;
    bool has_restarted = server->started_at > known->server.started_at;
    if (has_restarted) {
        known->drains_until = 0;
    }
    else if (now < directory->restored_until &&
             known->server.state == MV_SERVER_DRAINING) {
        known->drains_until = directory->restored_until;
    }
    known->server = *server;
    known->revision = revision;
    known->is_announced = true;
    known->warmup_until = now + server->remaining_warmup;
    if (starts_draining) {
        return MV_EVENT_ENDPOINT_DRAINING;
    }
    return is_new ? MV_EVENT_ENDPOINT_REGISTERED : 0;
}

int
MvDirectory_Announce(mv_directory_t *directory, mv_time_t now, const char *key,
                     uint64_t revision, const mv_server_t *server)
{
    mv_known_server_t *known = g_hash_table_lookup(directory->announced, key);
    if (known && is_same_server(&known->server, server)) {
        return update(directory, known, now, revision, server);
    }
    if (known) {
        /* Another server under the same key has replaced it. */
        known->server.state = MV_SERVER_DRAINING;
        withdraw(directory, known, now, now);
    }
    known = find_server(directory, key, server);
    if (!known) {
        known = add_server(directory, key, server);
    }
    g_hash_table_replace(directory->announced, known->key, known);
    return update(directory, known, now, revision, server);
}

int
MvDirectory_Withdraw(mv_directory_t *directory, mv_time_t now,
                     mv_time_t removed_at, const char *key)
{
    mv_known_server_t *known = g_hash_table_lookup(directory->announced, key);
    if (!known) {
        return 0;
    }
    /* What a restored store lacks can only be written again from now on. */
    bool is_restoring = now < directory->restored_until;
    withdraw(directory, known, now, is_restoring ? now : removed_at);
    g_hash_table_remove(directory->announced, key);
    return MV_EVENT_ENDPOINT_GONE;
}

bool
MvDirectory_SetRouting(mv_directory_t *directory, mv_time_t now,
                       mv_routing_t *routing)
{
    if (routing->version <= directory->routing->version) {
        MvRouting_Destroy(routing);
        return false;
    }
    MvRouteHistory_Replace(directory->history, now, directory->routing,
                           routing);
    MvRouting_Destroy(directory->routing);
    directory->routing = routing;
    return true;
}

bool
MvDirectory_MergeRouteHistory(mv_directory_t *directory, mv_time_t now,
                              const char *record)
{
    return MvRouteHistory_Merge(directory->history, now, directory->routing,
                                record);
}

char *
MvDirectory_RouteHistory(mv_directory_t *directory, mv_time_t now,
                         bool *is_urgent)
{
    MvRouteHistory_Expire(directory->history, now);
    mv_history_state_t state = MvRouteHistory_State(directory->history);
    *is_urgent = state == MV_HISTORY_UNRECORDED;
    return state == MV_HISTORY_RECORDED
               ? NULL
               : MvRouteHistory_Encode(directory->history);
}

int
MvDirectory_SetEvacuated(mv_directory_t *directory, mv_time_t now,
                         const char *data_centre, bool is_evacuated)
{
    mv_evacuation_t *evacuation =
        g_hash_table_lookup(directory->evacuated, data_centre);
    if (evacuation && !is_evacuated && now < directory->restored_until) {
        evacuation->ends_at = directory->restored_until;
        return 0;
    }
    if (evacuation && is_evacuated) {
        evacuation->ends_at = MV_NEVER;
        return 0;
    }
    if (!evacuation && !is_evacuated) {
        return 0;
    }
    if (!is_evacuated) {
        g_hash_table_remove(directory->evacuated, data_centre);
        return MV_EVENT_EVACUATION_ENDED;
    }
    const mv_evacuation_t order = {.since = now, .ends_at = MV_NEVER};
    g_hash_table_insert(directory->evacuated, g_strdup(data_centre),
                        g_memdup2(&order, sizeof(order)));
    return MV_EVENT_EVACUATION_BEGAN;
}

bool
MvDirectory_IsEvacuated(const mv_directory_t *directory,
                        const char *data_centre, mv_time_t now)
{
    const mv_evacuation_t *evacuation =
        g_hash_table_lookup(directory->evacuated, data_centre);
    return evacuation && now < evacuation->ends_at;
}

void
MvDirectory_NoteStoreRestored(mv_directory_t *directory, mv_time_t now)
{
    directory->restored_until = now + REWRITE_TIME;
}

unsigned
MvDirectory_EvacuatedCount(const mv_directory_t *directory)
{
    return g_hash_table_size(directory->evacuated);
}

json_t *
MvDirectory_DumpEvacuated(const mv_directory_t *directory, mv_time_t now)
{
    json_t *array = json_array();
    GHashTableIter iter;
    gpointer name = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, directory->evacuated);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        mv_time_t span = now - ((const mv_evacuation_t *)value)->since;
        json_array_append_new(
            array, json_pack("{s:s,s:I}", "data_centre", (const char *)name,
                             "seconds", (json_int_t)(span / MV_SECOND)));
    }
    return array;
}

bool
MvDirectory_TakesNew(const mv_known_server_t *known, mv_time_t now)
{
    return known->server.state == MV_SERVER_READY &&
           now >= known->drains_until;
}

bool
MvDirectory_NoteStoreOutage(mv_directory_t *directory, mv_time_t now,
                            mv_time_t span)
{
    bool changed = false;
    MV_LIST_FOREACH(item, &directory->servers)
    {
        mv_known_server_t *known =
            MV_CONTAINER_OF(item, mv_known_server_t, link);
        if (!known->is_announced && now - span < known->grace_until) {
            mv_time_t absent_for = now - known->withdrawn_at;
            known->withdrawn_at += MIN(span, absent_for);
            known->grace_until += MIN(span, absent_for);
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

void
MvDirectory_SetNodes(mv_directory_t *directory, unsigned nodes)
{
    directory->nodes = nodes;
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
    MV_LIST_FOREACH(item, &directory->servers)
    {
        const mv_known_server_t *known =
            MV_CONTAINER_OF(item, mv_known_server_t, link);
        count += known->is_announced && known->is_named &&
                 known->server.state == MV_SERVER_READY;
    }
    return count;
}

size_t
MvDirectory_UnnamedServers(const mv_directory_t *directory)
{
    size_t count = 0;
    MV_LIST_FOREACH(item, &directory->servers)
    {
        const mv_known_server_t *known =
            MV_CONTAINER_OF(item, mv_known_server_t, link);
        count += known->is_announced && !known->is_named;
    }
    return count;
}

void
MvDirectory_DropExpired(mv_directory_t *directory, mv_time_t now)
{
    MV_LIST_FOREACH(item, &directory->servers)
    {
        mv_known_server_t *known =
            MV_CONTAINER_OF(item, mv_known_server_t, link);
        if (!known->is_announced &&
            now - known->withdrawn_at > directory->settings.retention) {
            free_server(directory, known);
        }
    }
}
