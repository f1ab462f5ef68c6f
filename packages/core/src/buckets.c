/* Endpoints of each bucket for new and old flows, and moves of buckets. */
#include "node_private.h"

/* A bucket version is the Unix time in milliseconds, followed by this many low
 * bits of the node id, so that versions of different nodes differ. */
#define VERSION_NODE_BITS 12
/* Age above which the primaries are taken to have applied a configuration: a
 * node that starts assumes the buckets at their targets then. */
#define CONFIG_APPLIED_AFTER (10 * MV_SECOND)
#define RESEND_INTERVAL (500 * MV_MILLISECOND)

uint64_t
MvBuckets_VersionAt(const mv_node_t *node, mv_time_t now)
{
    uint64_t wall = (uint64_t)((now + node->wall_offset) / MV_MILLISECOND);
    return wall << VERSION_NODE_BITS;
}

uint64_t
MvBuckets_NextVersion(mv_node_t *node, mv_time_t now)
{
    uint64_t id = node->settings.id & ((1u << VERSION_NODE_BITS) - 1);
    uint64_t version = MvBuckets_VersionAt(node, now) | id;
    if (version <= node->last_bucket_version) {
        version = ((node->last_bucket_version >> VERSION_NODE_BITS) + 1)
                      << VERSION_NODE_BITS |
                  id;
    }
    node->last_bucket_version = version;
    return version;
}

mv_node_service_t *
MvBuckets_FindService(const mv_node_t *node, uint16_t id)
{
    for (guint i = 0; i < node->services->len; i++) {
        mv_node_service_t *service = g_ptr_array_index(node->services, i);
        if (service->config->id == id) {
            return service;
        }
    }
    return NULL;
}

bool
MvBuckets_IsPrimary(const mv_node_t *node, const mv_node_service_t *service,
                    uint32_t bucket)
{
    uint32_t group = MvGroup_Of(service->config->id, bucket);
    return node->holders.primary[group] == node->settings.id;
}

bool
MvBuckets_IsUsable(const mv_node_t *node, const mv_node_service_t *service,
                   uint16_t endpoint, mv_time_t now)
{
    const mv_endpoint_t *configured =
        MvService_FindEndpoint(service->config, endpoint);
    mv_time_t wall = now + node->wall_offset;
    return configured && (configured->leaves_at == 0 ||
                          configured->leaves_at * MV_SECOND > wall);
}

static void
invalidate_view(mv_node_t *node, mv_node_service_t *service)
{
    MvViewService_Unref(service->view);
    service->view = NULL;
    node->view_dirty = true;
}

static void
set_phase(mv_node_service_t *service, mv_bucket_t *bucket, uint8_t phase)
{
    service->moving += (phase != MV_BUCKET_STABLE);
    service->moving -= (bucket->phase != MV_BUCKET_STABLE);
    bucket->phase = phase;
}

static void
set_announce_pending(mv_node_service_t *service, mv_bucket_t *bucket,
                     bool announce_pending)
{
    service->announce_pending += announce_pending;
    service->announce_pending -= bucket->announce_pending;
    bucket->announce_pending = announce_pending;
}

/* Configuration */

static mv_node_service_t *
create_service(mv_node_t *node, const mv_service_t *service, mv_time_t now)
{
    mv_node_service_t *state = g_new0(mv_node_service_t, 1);
    mv_time_t accepted = node->deployment->accepted_at * MV_SECOND;
    bool applied = now + node->wall_offset - accepted > CONFIG_APPLIED_AFTER;
    state->config = service;
    state->count = service->bucket_count;
    state->buckets = g_new0(mv_bucket_t, state->count);
    state->load_counts =
        g_atomic_rc_box_alloc0(2 * MV_MAX_COUNTED_ENDPOINTS * sizeof(int32_t));
    state->reported_load =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    /* Leaves room for endpoints that are added later. */
    state->counted_endpoints =
        MIN(2u * service->last_endpoint_id + 16u, MV_MAX_COUNTED_ENDPOINTS);
    state->health = g_new0(mv_health_t, state->counted_endpoints);
    for (uint32_t b = 0; b < state->count; b++) {
        bool configured =
            MvService_FindEndpoint(service, service->before[b]) != NULL;
        state->buckets[b].endpoint =
            configured && !applied ? service->before[b] : service->target[b];
    }
    return state;
}

void
MvBuckets_FreeService(mv_node_service_t *service)
{
    MvViewService_Unref(service->view);
    g_hash_table_unref(service->reported_load);
    g_atomic_rc_box_release(service->load_counts);
    g_free(service->health);
    g_free(service->buckets);
    g_free(service);
}

/*
 * Marks the buckets that the configuration moves.  A bucket that was never
 * moved must get to its target as well, since a node that starts with this
 * configuration takes it to be there; its move may be part of a version that
 * this node skipped.
 */
static void
mark_pending_moves(mv_node_service_t *state)
{
    const mv_service_t *service = state->config;
    for (uint32_t b = 0; b < state->count; b++) {
        const mv_bucket_t *bucket = &state->buckets[b];
        bool changed = service->target[b] != service->before[b];
        bool at_target =
            MvBucket_NewFlowEndpoint(bucket) == service->target[b];
        bool never_moved = bucket->version == 0;
        set_announce_pending(state, &state->buckets[b],
                             (changed || never_moved) && !at_target);
    }
}

void
MvBuckets_ApplyConfig(mv_node_t *node, mv_time_t now)
{
    GPtrArray *old = node->services;
    const mv_deployment_t *deployment = node->deployment;
    node->services = g_ptr_array_new();
    for (uint16_t i = 0; i < deployment->service_count; i++) {
        const mv_service_t *service = &deployment->services[i];
        mv_node_service_t *state = NULL;
        for (guint j = 0; j < old->len && !state; j++) {
            mv_node_service_t *candidate = g_ptr_array_index(old, j);
            if (candidate->config->id == service->id &&
                candidate->count == service->bucket_count) {
                state = candidate;
                g_ptr_array_remove_index_fast(old, j);
            }
        }
        if (!state) {
            state = create_service(node, service, now);
        }
        state->config = service;
        mark_pending_moves(state);
        invalidate_view(node, state);
        g_ptr_array_add(node->services, state);
    }
    for (guint j = 0; j < old->len; j++) {
        MvBuckets_FreeService(g_ptr_array_index(old, j));
    }
    g_ptr_array_unref(old);
}

/* Announcements */

static mv_batch_t *
find_batch(mv_node_t *node, uint16_t service, uint64_t version)
{
    MV_LIST_FOREACH(item, &node->batches)
    {
        mv_batch_t *batch = MV_CONTAINER_OF(item, mv_batch_t, link);
        if (batch->service == service && batch->version == version) {
            return batch;
        }
    }
    return NULL;
}

/* A sync request is answered by the primary and the backup of each bucket. */
static bool
is_primary_or_backup(const mv_node_t *node, const mv_node_service_t *service,
                     uint32_t bucket)
{
    uint32_t group = MvGroup_Of(service->config->id, bucket);
    mv_node_id_t self = node->settings.id;
    return node->holders.primary[group] == self ||
           node->holders.backup[group] == self;
}

/* Buckets with version @version; with 0, all that were moved and of which this
 * node is primary or backup. */
static GArray *
collect_updates(const mv_node_t *node, const mv_node_service_t *service,
                uint64_t version)
{
    GArray *updates = g_array_new(FALSE, FALSE, sizeof(mv_bucket_update_t));
    for (uint32_t b = 0; b < service->count; b++) {
        const mv_bucket_t *bucket = &service->buckets[b];
        bool wanted = version ? bucket->version == version
                              : bucket->version > 0 &&
                                    is_primary_or_backup(node, service, b);
        if (!wanted) {
            continue;
        }
        mv_bucket_update_t update = {.version = bucket->version,
                                     .bucket = b,
                                     .endpoint = bucket->endpoint,
                                     .next = bucket->next,
                                     .phase = bucket->phase};
        g_array_append_val(updates, update);
    }
    return updates;
}

static void
send_updates(mv_node_t *node, const mv_node_service_t *service,
             uint64_t version, mv_node_id_t to)
{
    GArray *updates = collect_updates(node, service, version);
    if (updates->len > 0) {
        mv_message_t message = {
            .kind = MV_MESSAGE_BUCKETS,
            .service = service->config->id,
            .version = version,
            .bucket_count = updates->len,
            .buckets = (mv_bucket_update_t *)(void *)updates->data,
        };
        MvNode_Send(node, to, &message);
    }
    g_array_unref(updates);
}

void
MvBuckets_SendAll(mv_node_t *node, mv_node_id_t to)
{
    for (guint i = 0; i < node->services->len; i++) {
        send_updates(node, g_ptr_array_index(node->services, i), 0, to);
    }
}

static void
send_batch(mv_node_t *node, mv_batch_t *batch, mv_time_t now)
{
    mv_node_service_t *service = MvBuckets_FindService(node, batch->service);
    batch->sent = now;
    for (guint i = 0; service && i < node->members->len; i++) {
        mv_member_t *member = g_ptr_array_index(node->members, i);
        gpointer key = GUINT_TO_POINTER(member->id);
        if (MvMembers_IsLive(member) &&
            !g_hash_table_contains(batch->acked, key)) {
            send_updates(node, service, batch->version, member->id);
        }
    }
}

void
MvBuckets_Announce(mv_node_t *node, mv_time_t now, mv_node_service_t *service,
                   uint64_t version)
{
    mv_batch_t *batch = g_new0(mv_batch_t, 1);
    batch->service = service->config->id;
    batch->version = version;
    batch->acked = g_hash_table_new(g_direct_hash, g_direct_equal);
    MvList_Append(&node->batches, &batch->link);
    invalidate_view(node, service);
    send_batch(node, batch, now);
}

void
MvBuckets_Move(mv_node_service_t *service, mv_time_t now, uint32_t number,
               uint16_t to, uint64_t version)
{
    mv_bucket_t *bucket = &service->buckets[number];
    set_announce_pending(service, bucket, false);
    bucket->version = version;
    bucket->next = to;
    if (bucket->phase == MV_BUCKET_STABLE ||
        bucket->phase == MV_BUCKET_RECORDED) {
        set_phase(service, bucket, MV_BUCKET_ANNOUNCED);
        bucket->since = now;
    }
}

static void
free_batch(mv_batch_t *batch)
{
    MvList_Remove(&batch->link);
    g_hash_table_unref(batch->acked);
    g_free(batch);
}

/* Suspected members need not acknowledge: they are unreachable or fenced, and
 * resync when they refute the suspicion. */
static bool
is_acknowledged(const mv_node_t *node, const mv_batch_t *batch)
{
    for (guint i = 0; i < node->members->len; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        if (member->state == MV_MEMBER_ALIVE &&
            !g_hash_table_contains(batch->acked,
                                   GUINT_TO_POINTER(member->id))) {
            return false;
        }
    }
    return true;
}

static void
check_batches(mv_node_t *node, mv_time_t now)
{
    MV_LIST_FOREACH(item, &node->batches)
    {
        mv_batch_t *batch = MV_CONTAINER_OF(item, mv_batch_t, link);
        if (!is_acknowledged(node, batch)) {
            batch->complete_at = 0;
            if (now - batch->sent >= RESEND_INTERVAL) {
                send_batch(node, batch, now);
            }
            continue;
        }
        if (batch->complete_at == 0) {
            batch->complete_at = now;
        }
        if (now - batch->complete_at > 2 * node->settings.announce_dwell) {
            free_batch(batch);
        }
    }
}

/* Messages */

static void
apply_update(mv_node_t *node, mv_time_t now, mv_node_service_t *service,
             const mv_bucket_update_t *update)
{
    if (update->bucket >= service->count ||
        update->phase > MV_BUCKET_RECORDED) {
        return;
    }
    mv_bucket_t *bucket = &service->buckets[update->bucket];
    if (update->version <= bucket->version) {
        return;
    }
    if (update->version > node->last_bucket_version) {
        node->last_bucket_version = update->version;
    }
    if (update->phase != bucket->phase) {
        bucket->since = now;
    }
    bucket->version = update->version;
    bucket->endpoint = (uint16_t)update->endpoint;
    bucket->next = (uint16_t)update->next;
    bucket->recorded = UINT32_MAX;
    set_phase(service, bucket, (uint8_t)update->phase);
    if (MvBucket_NewFlowEndpoint(bucket) ==
        service->config->target[update->bucket]) {
        set_announce_pending(service, bucket, false);
    }
}

static void
handle_updates(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    mv_node_service_t *service = MvBuckets_FindService(node, message->service);
    if (!service) {
        return; /* Requested again once the configuration has arrived. */
    }
    for (size_t i = 0; i < message->bucket_count; i++) {
        apply_update(node, now, service, &message->buckets[i]);
    }
    invalidate_view(node, service);
    mv_message_t answer = {.kind = MV_MESSAGE_BUCKETS_ACK,
                           .service = message->service,
                           .version = message->version};
    if (message->version) {
        MvNode_Send(node, (mv_node_id_t)message->from, &answer);
    }
}

void
MvBuckets_Message(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    if (message->kind == MV_MESSAGE_BUCKETS) {
        handle_updates(node, now, message);
    }
    if (message->kind == MV_MESSAGE_BUCKETS_ACK) {
        mv_batch_t *batch =
            find_batch(node, (uint16_t)message->service, message->version);
        if (batch) {
            g_hash_table_add(batch->acked, GUINT_TO_POINTER(message->from));
        }
    }
}

/* Phase transitions of buckets whose primary is this node */

/* A new primary has no batch for the move: it must announce the move again to
 * collect acknowledgements. */
static bool
is_move_acknowledged(mv_node_t *node, const mv_node_service_t *service,
                     const mv_bucket_t *bucket, mv_time_t now,
                     bool *batch_missing)
{
    mv_batch_t *batch = find_batch(node, service->config->id, bucket->version);
    *batch_missing = batch == NULL;
    return batch && batch->complete_at &&
           now - batch->complete_at >= node->settings.announce_dwell;
}

static bool
advance_phase(mv_node_t *node, mv_time_t now, mv_node_service_t *service,
              mv_bucket_t *bucket, uint64_t version)
{
    mv_time_t idle =
        (mv_time_t)node->deployment->flow_idle_seconds * MV_SECOND;
    bool batch_missing = false;
    switch (bucket->phase) {
    case MV_BUCKET_ANNOUNCED:
        if (!is_move_acknowledged(node, service, bucket, now,
                                  &batch_missing)) {
            bucket->version = batch_missing ? version : bucket->version;
            return batch_missing;
        }
        set_phase(service, bucket, MV_BUCKET_MIXED);
        break;
    case MV_BUCKET_MIXED:
        if (now - bucket->since < idle) {
            return false;
        }
        set_phase(service, bucket, MV_BUCKET_RECORDED);
        bucket->endpoint = bucket->next;
        bucket->recorded = UINT32_MAX;
        break;
    case MV_BUCKET_RECORDED:
        if (bucket->recorded != 0) {
            return false;
        }
        set_phase(service, bucket, MV_BUCKET_STABLE);
        break;
    default:
        return false;
    }
    bucket->since = now;
    bucket->version = version;
    return true;
}

/* Endpoint of each bucket once the buckets of leaving endpoints have moved;
 * the caller frees it. */
static uint16_t *
plan_around_leaving(const mv_node_t *node, const mv_node_service_t *state,
                    mv_time_t now)
{
    mv_service_t copy = *state->config;
    copy.before = g_new(uint16_t, state->count);
    copy.target = g_new(uint16_t, state->count);
    for (uint32_t b = 0; b < state->count; b++) {
        copy.before[b] = MvBucket_NewFlowEndpoint(&state->buckets[b]);
    }
    MvService_Rebalance(&copy, (now + node->wall_offset) / MV_SECOND);
    g_free(copy.before);
    return copy.target;
}

static uint16_t
wanted_endpoint(const mv_node_t *node, const mv_node_service_t *state,
                uint32_t number, mv_time_t now, uint16_t **plan)
{
    const mv_bucket_t *bucket = &state->buckets[number];
    uint16_t current = MvBucket_NewFlowEndpoint(bucket);
    uint16_t target = state->config->target[number];
    if (bucket->announce_pending &&
        MvBuckets_IsUsable(node, state, target, now)) {
        return target;
    }
    if (MvBuckets_IsUsable(node, state, current, now)) {
        return current;
    }
    if (!*plan) {
        *plan = plan_around_leaving(node, state, now);
    }
    return MvBuckets_IsUsable(node, state, (*plan)[number], now)
               ? (*plan)[number]
               : current;
}

static bool
has_unusable_endpoint(const mv_node_t *node, const mv_node_service_t *state,
                      mv_time_t now)
{
    const mv_service_t *service = state->config;
    for (uint16_t i = 0; i < service->endpoint_count; i++) {
        if (!MvBuckets_IsUsable(node, state, service->endpoints[i].id, now)) {
            return true;
        }
    }
    return false;
}

static void
move_service_buckets(mv_node_t *node, mv_time_t now, mv_node_service_t *state)
{
    if (state->moving == 0 && state->announce_pending == 0 &&
        !has_unusable_endpoint(node, state, now)) {
        return;
    }
    uint64_t version = 0;
    bool changed = false;
    uint16_t *plan = NULL;
    for (uint32_t b = 0; b < state->count; b++) {
        if (!MvBuckets_IsPrimary(node, state, b)) {
            continue;
        }
        if (!version) {
            version = MvBuckets_NextVersion(node, now);
        }
        mv_bucket_t *bucket = &state->buckets[b];
        uint16_t want = wanted_endpoint(node, state, b, now, &plan);
        if (want != MvBucket_NewFlowEndpoint(bucket)) {
            MvBuckets_Move(state, now, b, want, version);
            changed = true;
        }
        else {
            changed |= advance_phase(node, now, state, bucket, version);
        }
    }
    g_free(plan);
    if (changed) {
        MvBuckets_Announce(node, now, state, version);
    }
}

void
MvBuckets_Timer(mv_node_t *node, mv_time_t now)
{
    check_batches(node, now);
    if (!node->ready || node->left || node->syncing ||
        now < node->moves_deferred_until) {
        return;
    }
    for (guint i = 0; i < node->services->len; i++) {
        move_service_buckets(node, now, g_ptr_array_index(node->services, i));
    }
}
