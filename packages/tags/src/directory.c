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
    const uint64_t identity[] = {server->id, (uint64_t)server->started_at};
    uint32_t tag = (uint32_t)XXH3_64bits(identity, sizeof(identity));
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
hash_incarnation(gconstpointer pointer)
{
    const mv_incarnation_t *incarnation = pointer;
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
    const mv_incarnation_t *left = a;
    const mv_incarnation_t *right = b;
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
    directory->history = MvRouteHistory_Create(settings->retention);
    directory->evacuated =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    directory->local_nodes = 1;
    return directory;
}

static void
free_incarnation(mv_directory_t *directory, mv_incarnation_t *incarnation)
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
                         MV_CONTAINER_OF(item, mv_incarnation_t, link));
    }
    g_hash_table_unref(directory->announced);
    g_hash_table_unref(directory->by_identity);
    g_hash_table_unref(directory->evacuated);
    MvRouteHistory_Destroy(directory->history);
    MvRouting_Destroy(directory->routing);
    g_free(directory);
}

/* Return: the known incarnation, or NULL.  It may be one whose announcement
 * vanished: such an incarnation may be announced again. */
static mv_incarnation_t *
find_incarnation(const mv_directory_t *directory, const char *key,
                 const mv_server_t *server)
{
    const mv_incarnation_t sought = {.key = (char *)key, .server = *server};
    return g_hash_table_lookup(directory->by_identity, &sought);
}

static mv_incarnation_t *
add_incarnation(mv_directory_t *directory, const char *key,
                const mv_server_t *server)
{
    mv_incarnation_t *incarnation = g_new0(mv_incarnation_t, 1);
    incarnation->key = g_strdup(key);
    incarnation->server = *server;
    incarnation->server.state = MV_SERVER_READY;
    incarnation->tag = MvServer_Tag(server);
    MvList_Append(&directory->incarnations, &incarnation->link);
    g_hash_table_insert(directory->by_identity, incarnation, incarnation);
    return incarnation;
}

static void
withdraw(const mv_directory_t *directory, mv_incarnation_t *incarnation,
         mv_time_t now, mv_time_t removed_at)
{
    incarnation->is_announced = false;
    incarnation->withdrawn_at = now;
    incarnation->grace_until = removed_at + directory->settings.vanished_grace;
}

static int
update(const mv_directory_t *directory, mv_incarnation_t *incarnation,
       mv_time_t now, uint64_t revision, const mv_server_t *server)
{
    bool is_new = !incarnation->is_announced;
    bool starts_draining = server->state == MV_SERVER_DRAINING &&
                           incarnation->server.state != MV_SERVER_DRAINING;
    if (now < directory->restored_until &&
        incarnation->server.state == MV_SERVER_DRAINING) {
        incarnation->drains_until = directory->restored_until;
    }
    incarnation->server = *server;
    incarnation->revision = revision;
    incarnation->is_announced = true;
    incarnation->warmup_until = now + server->remaining_warmup;
    if (starts_draining) {
        return MV_EVENT_ENDPOINT_DRAINING;
    }
    return is_new ? MV_EVENT_ENDPOINT_REGISTERED : 0;
}

int
MvDirectory_Announce(mv_directory_t *directory, mv_time_t now, const char *key,
                     uint64_t revision, const mv_server_t *server)
{
    mv_incarnation_t *incarnation =
        g_hash_table_lookup(directory->announced, key);
    if (incarnation && is_same_start(&incarnation->server, server)) {
        return update(directory, incarnation, now, revision, server);
    }
    if (incarnation) {
        /* A new incarnation under the same key has replaced the old one. */
        incarnation->server.state = MV_SERVER_DRAINING;
        withdraw(directory, incarnation, now, now);
    }
    incarnation = find_incarnation(directory, key, server);
    if (!incarnation) {
        incarnation = add_incarnation(directory, key, server);
    }
    g_hash_table_replace(directory->announced, incarnation->key, incarnation);
    return update(directory, incarnation, now, revision, server);
}

int
MvDirectory_Withdraw(mv_directory_t *directory, mv_time_t now,
                     mv_time_t removed_at, const char *key)
{
    mv_incarnation_t *incarnation =
        g_hash_table_lookup(directory->announced, key);
    if (!incarnation) {
        return 0;
    }
    /* What a restored store lacks can only be written again from now on. */
    bool is_restoring = now < directory->restored_until;
    withdraw(directory, incarnation, now, is_restoring ? now : removed_at);
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
MvDirectory_TakesNew(const mv_incarnation_t *incarnation, mv_time_t now)
{
    return incarnation->server.state == MV_SERVER_READY &&
           now >= incarnation->drains_until;
}

bool
MvDirectory_NoteStoreOutage(mv_directory_t *directory, mv_time_t now,
                            mv_time_t span)
{
    bool changed = false;
    MV_LIST_FOREACH(item, &directory->incarnations)
    {
        mv_incarnation_t *incarnation =
            MV_CONTAINER_OF(item, mv_incarnation_t, link);
        if (!incarnation->is_announced &&
            now - span < incarnation->grace_until) {
            mv_time_t absent_for = now - incarnation->withdrawn_at;
            incarnation->withdrawn_at += MIN(span, absent_for);
            incarnation->grace_until += MIN(span, absent_for);
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
    MV_LIST_FOREACH(item, &directory->incarnations)
    {
        const mv_incarnation_t *incarnation =
            MV_CONTAINER_OF(item, mv_incarnation_t, link);
        count += incarnation->is_announced && incarnation->is_named &&
                 incarnation->server.state == MV_SERVER_READY;
    }
    return count;
}

size_t
MvDirectory_UnnamedServers(const mv_directory_t *directory)
{
    size_t count = 0;
    MV_LIST_FOREACH(item, &directory->incarnations)
    {
        const mv_incarnation_t *incarnation =
            MV_CONTAINER_OF(item, mv_incarnation_t, link);
        count += incarnation->is_announced && !incarnation->is_named;
    }
    return count;
}

void
MvDirectory_DropExpired(mv_directory_t *directory, mv_time_t now)
{
    MV_LIST_FOREACH(item, &directory->incarnations)
    {
        mv_incarnation_t *incarnation =
            MV_CONTAINER_OF(item, mv_incarnation_t, link);
        if (!incarnation->is_announced &&
            now - incarnation->withdrawn_at > directory->settings.retention) {
            free_incarnation(directory, incarnation);
        }
    }
}
