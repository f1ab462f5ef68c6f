/* Dispatches inputs to the modules of a node and publishes the view. */
#include "node_private.h"

#include <stdlib.h>
#include <string.h>

#define TIMER_INTERVAL (50 * MV_MILLISECOND)
/* Number of nodes that watch the platform's store for the cluster. */
#define STORE_WATCHERS 2

mv_node_settings_t
MvNodeSettings_Default(mv_node_id_t id)
{
    return (mv_node_settings_t){
        .id = id,
        .probe_interval = 300 * MV_MILLISECOND,
        .probe_timeout = 150 * MV_MILLISECOND,
        .suspect_timeout = 2 * MV_SECOND,
        .announce_dwell = 1200 * MV_MILLISECOND,
        .replication_interval = 50 * MV_MILLISECOND,
        .digest_interval = 4 * MV_SECOND,
        .load_interval = 2 * MV_SECOND,
        .flow_capacity = 1u << 20,
        .balance_limit_percent = 4,
    };
}

bool
MvMessage_IsDatagram(const mv_message_t *message)
{
    return message->kind == MV_MESSAGE_PING ||
           message->kind == MV_MESSAGE_ACK ||
           message->kind == MV_MESSAGE_PING_REQUEST ||
           message->kind == MV_MESSAGE_LOAD ||
           message->kind == MV_MESSAGE_DIGESTS ||
           message->kind == MV_MESSAGE_REPLICA_HEARTBEAT ||
           message->kind == MV_MESSAGE_REPLICA_PULL ||
           message->kind == MV_MESSAGE_REPLICA_DELTA ||
           message->kind == MV_MESSAGE_REPLICA_SUBSCRIBE ||
           message->kind == MV_MESSAGE_SERVERS ||
           message->kind == MV_MESSAGE_OFFERS ||
           message->kind == MV_MESSAGE_OPENINGS ||
           message->kind == MV_MESSAGE_MOVE;
}

mv_node_t *
MvNode_Create(const mv_node_settings_t *settings, mv_effects_t *effects,
              mv_counters_t *counters, GRand *random, mv_time_t wall,
              mv_time_t now)
{
    mv_node_t *node = g_try_new0(mv_node_t, 1);
    if (!node) {
        return NULL;
    }
    node->settings = *settings;
    node->effects = effects;
    node->counters = counters;
    node->random = random;
    node->wall_offset = wall - now;
    node->started = now;
    node->changed_members = g_array_new(FALSE, FALSE, sizeof(mv_node_id_t));
    MvMembers_MarkChanged(node, settings->id);
    node->last_timer_published = now;
    node->last_timer = now;
    node->status_version = (uint32_t)(wall / MV_SECOND);
    node->incarnation = node->status_version;
    node->members = g_ptr_array_new_with_free_func(g_free);
    node->services = g_ptr_array_new();
    MvList_Init(&node->batches);
    MvList_Init(&node->retirements);
    MvList_Init(&node->retired_views);
    memset(&node->holders, 0xff, sizeof(node->holders));
    memset(&node->future_holders, 0xff, sizeof(node->future_holders));
    memset(&node->previous_holders, 0xff, sizeof(node->previous_holders));
    node->member_index = g_try_new0(mv_member_t *, MV_NO_NODE + 1);
    node->flows = MvFlowTable_Create(settings->flow_capacity);
    if (!node->flows || !node->member_index) {
        MvNode_Destroy(node);
        return NULL;
    }
    for (size_t i = 0; i < settings->peer_count; i++) {
        MvMembers_Add(node, settings->peers[i]);
    }
    node->settings.peers = NULL;
    /* Random start, so that nodes that start together do not probe the same
     * members in the same order. */
    node->probe_position = g_rand_int(random);
    MvHandover_Resync(node, now);
    return node;
}

static void
free_retired_views(mv_node_t *node, uint64_t below)
{
    MV_LIST_FOREACH(item, &node->retired_views)
    {
        mv_view_t *view = MV_CONTAINER_OF(item, mv_view_t, retired_link);
        if (view->epoch < below) {
            MvList_Remove(item);
            MvView_Destroy(view);
        }
    }
}

void
MvNode_Destroy(mv_node_t *node)
{
    if (!node) {
        return;
    }
    free_retired_views(node, UINT64_MAX);
    MvView_Destroy(node->view);
    MvRetirement_Free(node);
    MV_LIST_FOREACH(item, &node->batches)
    {
        mv_batch_t *batch = MV_CONTAINER_OF(item, mv_batch_t, link);
        g_hash_table_unref(batch->acked);
        g_free(batch);
    }
    for (guint i = 0; i < node->services->len; i++) {
        MvBuckets_FreeService(g_ptr_array_index(node->services, i));
    }
    while (node->readers) {
        mv_reader_t *next = node->readers->next;
        free(node->readers);
        node->readers = next;
    }
    g_ptr_array_unref(node->services);
    g_ptr_array_unref(node->members);
    g_array_unref(node->changed_members);
    g_free(node->member_index);
    MvFlowTable_Destroy(node->flows);
    MvDeployment_Unref(node->deployment);
    g_free(node);
}

/* Publication */

mv_reader_t *
MvNode_AddReader(mv_node_t *node)
{
    mv_reader_t *reader = aligned_alloc(64, sizeof(*reader));
    if (reader) {
        *reader = (mv_reader_t){.next = node->readers};
        node->readers = reader;
    }
    return reader;
}

static void
build_service_view(mv_node_t *node, mv_node_service_t *state)
{
    state->view = MvViewService_Create(node->deployment, state->config,
                                       state->load_counts);
    for (uint32_t b = 0; b < state->count; b++) {
        state->view->buckets[b] = (mv_view_bucket_t){
            .endpoint = state->buckets[b].endpoint,
            .next = state->buckets[b].next,
            .phase = state->buckets[b].phase,
        };
    }
}

/* Another node that may have recorded a flow of the group: the future primary,
 * the previous one within PREVIOUS_PRIMARY_TIME, or MV_NO_NODE. */
static mv_node_id_t
find_other_primary(const mv_node_t *node, uint32_t group)
{
    mv_node_id_t self = node->settings.id;
    mv_node_id_t primary = node->holders.primary[group];
    mv_node_id_t future_primary = node->future_holders.primary[group];
    mv_node_id_t previous_primary = node->previous_holders.primary[group];
    const mv_member_t *future_member =
        future_primary != MV_NO_NODE ? MvMembers_Find(node, future_primary)
                                     : NULL;
    if (future_primary != primary && future_member &&
        future_member->config_version > 0) {
        return future_primary;
    }
    bool recent =
        node->previous_holders_until > 0 && previous_primary != MV_NO_NODE;
    return recent && previous_primary != self && previous_primary != primary
               ? previous_primary
               : MV_NO_NODE;
}

static void
publish_view(mv_node_t *node)
{
    if (!node->view_dirty || !node->deployment) {
        return;
    }
    node->view_dirty = false;
    mv_view_service_t *views[node->services->len + 1];
    for (guint i = 0; i < node->services->len; i++) {
        mv_node_service_t *state = g_ptr_array_index(node->services, i);
        if (!state->view) {
            build_service_view(node, state);
        }
        views[i] = state->view;
    }
    mv_view_t *new_view = MvView_Create(views, node->services->len);
    new_view->holders = node->holders;
    for (uint32_t group = 0; group < MV_GROUPS; group++) {
        new_view->other_primary[group] = find_other_primary(node, group);
        new_view->was_primary[group] =
            node->previous_holders_until > 0 &&
            node->previous_holders.primary[group] == node->settings.id;
    }
    new_view->fenced = node->syncing;
    new_view->epoch = node->epoch + 1;
    mv_view_t *old = node->view;
    __atomic_store_n(&node->view, new_view, __ATOMIC_SEQ_CST);
    __atomic_store_n(&node->epoch, new_view->epoch, __ATOMIC_SEQ_CST);
    if (old) {
        MvList_Append(&node->retired_views, &old->retired_link);
    }
}

/* A reader at epoch e may hold any view published in epoch e or later, so
 * views of earlier epochs than all readers' are freed. */
static void
reclaim(mv_node_t *node)
{
    uint64_t oldest = node->epoch;
    for (mv_reader_t *reader = node->readers; reader; reader = reader->next) {
        uint64_t epoch = __atomic_load_n(&reader->epoch, __ATOMIC_SEQ_CST);
        if (epoch && epoch < oldest) {
            oldest = epoch;
        }
    }
    free_retired_views(node, oldest);
}

static mv_counter_id_t
counter_for_verdict(const mv_verdict_t *verdict)
{
    switch (verdict->kind) {
    case MV_VERDICT_FORWARD:
        return MV_COUNTER_PACKETS_FORWARDED;
    case MV_VERDICT_RELAY:
        return MV_COUNTER_PACKETS_RELAYED;
    default:
        return verdict->reason;
    }
}

mv_verdict_t
MvNode_Packet(mv_node_t *node, mv_reader_t *reader, mv_time_t now,
              const uint8_t *packet, size_t length, uint8_t hops)
{
    uint64_t epoch = __atomic_load_n(&node->epoch, __ATOMIC_SEQ_CST);
    __atomic_store_n(&reader->epoch, epoch, __ATOMIC_SEQ_CST);
    const mv_view_t *view = __atomic_load_n(&node->view, __ATOMIC_SEQ_CST);
    mv_verdict_t verdict =
        MvSteer_Packet(node, view, now, packet, length, hops);
    __atomic_store_n(&reader->epoch, 0, __ATOMIC_RELEASE);
    MvCounters_Add(
        node->counters,
        hops ? MV_COUNTER_PACKETS_RELAYED_IN : MV_COUNTER_PACKETS_IN, 1);
    MvCounters_Add(node->counters, counter_for_verdict(&verdict), 1);
    return verdict;
}

/* Inputs */

void
MvNode_Send(mv_node_t *node, mv_node_id_t to, mv_message_t *message)
{
    message->from = node->settings.id;
    node->effects->ops->send(node->effects, to, message);
}

void
MvNode_SendToLiveMembers(mv_node_t *node, mv_message_t *message)
{
    for (guint i = 0; i < node->members->len; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        if (MvMembers_IsLive(member)) {
            MvNode_Send(node, member->id, message);
        }
    }
}

void
MvNode_Message(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    if (message->from == node->settings.id || message->from >= MV_NO_NODE) {
        return;
    }
    MvMembers_NoteContact(node, now, message);
    MvMembers_Message(node, now, message);
    MvSpread_Message(node, now, message);
    MvBuckets_Message(node, now, message);
    MvHandover_Message(node, now, message);
    MvDigests_Message(node, message);
    MvBalance_Message(node, now, message);
    MvHandover_UpdateHolders(node, now);
    publish_view(node);
}

mv_time_t
MvNode_Timer(mv_node_t *node, mv_time_t now)
{
    if (now - node->last_timer > MV_FENCE_AFTER) {
        /* This process was paused: its state may be stale. */
        MvHandover_Resync(node, now);
    }
    node->last_timer = now;
    MvMembers_Timer(node, now);
    MvSpread_Timer(node, now);
    MvBuckets_Timer(node, now);
    MvBalance_Timer(node, now);
    MvDigests_Timer(node, now);
    MvHandover_Timer(node, now);
    MvRetirement_Timer(node, now);
    MvHandover_UpdateHolders(node, now);
    publish_view(node);
    reclaim(node);
    __atomic_store_n(&node->last_timer_published, now, __ATOMIC_RELAXED);
    return now + TIMER_INTERVAL;
}

/* Reports */

mv_deployment_t *
MvNode_Deployment(const mv_node_t *node)
{
    return node->deployment;
}

size_t
MvNode_FlowCount(const mv_node_t *node)
{
    return MvFlowTable_Count(node->flows);
}

size_t
MvNode_MovingBuckets(const mv_node_t *node)
{
    size_t moving = 0;
    for (guint i = 0; i < node->services->len; i++) {
        const mv_node_service_t *state = g_ptr_array_index(node->services, i);
        moving += state->moving;
    }
    return moving;
}

bool
MvNode_IsAlive(const mv_node_t *node, mv_node_id_t id)
{
    const mv_member_t *member = MvMembers_Find(node, id);
    return id == node->settings.id || (member && MvMembers_IsLive(member));
}

static int
compare_members(const void *a, const void *b)
{
    const mv_request_member_t *first = a;
    const mv_request_member_t *second = b;
    return (first->id > second->id) - (first->id < second->id);
}

size_t
MvNode_RequestMembers(const mv_node_t *node, mv_request_member_t *out,
                      size_t capacity)
{
    size_t count = 0;
    if (node->ready && !node->left && capacity > 0) {
        out[count++] =
            (mv_request_member_t){.id = node->settings.id,
                                  .incarnation = node->incarnation,
                                  .data_centre = node->settings.data_centre};
    }
    for (guint i = 0; i < node->members->len && count < capacity; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        if (MvMembers_IsLive(member) && member->ready) {
            out[count++] =
                (mv_request_member_t){.id = member->id,
                                      .incarnation = member->incarnation,
                                      .data_centre = member->data_centre};
        }
    }
    qsort(out, count, sizeof(out[0]), compare_members);
    return count;
}

size_t
MvNode_LiveMembers(const mv_node_t *node)
{
    size_t live = 1;
    for (guint i = 0; i < node->members->len; i++) {
        live += MvMembers_IsLive(g_ptr_array_index(node->members, i));
    }
    return live;
}

uint16_t
MvNode_NewFlowEndpoint(const mv_node_t *node, uint16_t service,
                       uint32_t bucket)
{
    const mv_node_service_t *state = MvBuckets_FindService(node, service);
    if (!state || bucket >= state->count) {
        return MV_NO_ENDPOINT;
    }
    return MvBucket_NewFlowEndpoint(&state->buckets[bucket]);
}

static const char *
member_state_name(mv_member_state_t state)
{
    static const char *const names[] = {"unknown", "alive", "suspect", "left",
                                        "dead"};
    return names[state];
}

/* Nodes are ordered by a hash of their ids; the first two of those alive
 * watch. */
bool
MvNode_IsWatcher(const mv_node_t *node)
{
    unsigned lower = 0;
    uint64_t own_rank =
        g_int_hash(&(gint){node->settings.id}) * 0x9e3779b97f4a7c15u;
    for (guint i = 0; i < node->members->len; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        uint64_t rank = g_int_hash(&(gint){member->id}) * 0x9e3779b97f4a7c15u;
        lower += member->state == MV_MEMBER_ALIVE && rank < own_rank;
    }
    return !node->left && lower < STORE_WATCHERS;
}

static json_t *
dump_members(const mv_node_t *node, mv_time_t now)
{
    json_t *array = json_array();
    for (guint i = 0; i < node->members->len; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        json_array_append_new(
            array,
            json_pack(
                "{s:i,s:s,s:b,s:I,s:I}", "node", (int)member->id, "state",
                member_state_name(member->state), "ready", (int)member->ready,
                "config_version", (json_int_t)member->config_version,
                "heard_ms_ago",
                (json_int_t)((now - member->last_contact) / MV_MILLISECOND)));
    }
    return array;
}

static json_t *
dump_services(const mv_node_t *node)
{
    json_t *array = json_array();
    for (guint i = 0; i < node->services->len; i++) {
        const mv_node_service_t *state = g_ptr_array_index(node->services, i);
        json_t *endpoints = json_array();
        for (uint16_t e = 0; e < state->config->endpoint_count; e++) {
            const mv_endpoint_t *endpoint = &state->config->endpoints[e];
            uint32_t buckets = 0;
            for (uint32_t b = 0; b < state->count; b++) {
                buckets += MvBucket_NewFlowEndpoint(&state->buckets[b]) ==
                           endpoint->id;
            }
            json_array_append_new(
                endpoints, json_pack("{s:s,s:i,s:i}", "name", endpoint->name,
                                     "buckets", (int)buckets, "open_here",
                                     endpoint->id < MV_MAX_COUNTED_ENDPOINTS
                                         ? state->load_counts[endpoint->id]
                                         : 0));
        }
        json_array_append_new(
            array, json_pack("{s:s,s:i,s:i,s:o}", "name", state->config->name,
                             "buckets", (int)state->count, "moving",
                             (int)state->moving, "endpoints", endpoints));
    }
    return array;
}

json_t *
MvNode_Dump(const mv_node_t *node, mv_time_t now)
{
    return json_pack(
        "{s:i,s:I,s:s,s:b,s:b,s:b,s:I,s:o,s:o,s:o,s:o}", "node",
        (int)node->settings.id, "config_version",
        (json_int_t)(node->deployment ? node->deployment->version : 0),
        "change_id", node->deployment ? node->deployment->change_id : "",
        "ready", (int)node->ready, "syncing", (int)node->syncing, "stopping",
        (int)node->stopping, "flow_entries",
        (json_int_t)MvNode_FlowCount(node), "members", dump_members(node, now),
        "services", dump_services(node), "retirements",
        MvRetirement_Dump(node, now), "counters",
        MvCounters_ToJson(node->counters));
}
