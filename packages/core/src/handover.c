/* Replication of flow entries, and how a node joins, resyncs and leaves. */
#include "node_private.h"

#include <string.h>

#define SWEEP_INTERVAL (1 * MV_SECOND)
#define SYNC_INTERVAL (200 * MV_MILLISECOND)
#define FIRST_CONTACT_TIMEOUT (3 * MV_SECOND)
#define HANDOVER_TIMEOUT (3 * MV_SECOND)
#define LEAVE_GRACE_PERIOD (1 * MV_SECOND)
#define FLOWS_PER_MESSAGE 2048
#define FLOWS_PER_ROUND 8192
#define CLOSED_RETENTION_MS 2000
/* Time after a change of holders for which nodes may disagree about them. */
#define PREVIOUS_PRIMARY_TIME (2 * MV_SECOND)

/* Holders */

/* Nodes among which holders are chosen: those that are ready, or with @future
 * all live ones, without this node when it is stopping. */
static size_t
list_candidates(const mv_node_t *node, bool future, mv_request_member_t *out)
{
    size_t count = 0;
    bool includes_self = future ? !node->stopping : node->ready && !node->left;
    if (includes_self) {
        out[count++] =
            (mv_request_member_t){.id = node->settings.id,
                                  .data_centre = node->settings.data_centre};
    }
    for (guint i = 0; i < node->members->len; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        if (MvMembers_IsLive(member) && (future || member->ready)) {
            out[count++] = (mv_request_member_t){
                .id = member->id, .data_centre = member->data_centre};
        }
    }
    return count;
}

typedef struct mark_context {
    const mv_node_t *node;
    const bool *groups;
    uint32_t now_ms;
} mark_context_t;

static uint32_t
group_of_entry(const mv_node_t *node, const mv_flow_entry_t *entry,
               const mv_node_service_t **service, uint32_t *bucket)
{
    *service = MvBuckets_FindService(node, entry->key.service);
    if (!*service) {
        return 0;
    }
    *bucket =
        MvFlowHash_Bucket(MvFlowKey_Hash(entry->key), (*service)->count - 1);
    return MvGroup_Of(entry->key.service, *bucket);
}

static bool
mark_unreplicated(void *context, mv_flow_entry_t *entry)
{
    mark_context_t *mark_context = context;
    const mv_node_service_t *service;
    uint32_t bucket;
    uint32_t group =
        group_of_entry(mark_context->node, entry, &service, &bucket);
    if (service && mark_context->groups[group]) {
        entry->flags |= MV_FLOW_UNREPLICATED;
        /* Only the primary sees a flow's packets: a new primary restarts the
         * idle time. */
        entry->seen_ms = mark_context->now_ms;
    }
    return true;
}

static bool
mark_changed_groups(const mv_holders_t *before, const mv_holders_t *after,
                    bool *groups)
{
    bool any = false;
    for (uint32_t g = 0; g < MV_GROUPS; g++) {
        mv_node_id_t old_holders[MV_MAX_HOLDERS];
        mv_node_id_t new_holders[MV_MAX_HOLDERS];
        MvHolders_List(before, g, old_holders);
        MvHolders_List(after, g, new_holders);
        bool changed =
            memcmp(old_holders, new_holders, sizeof(old_holders)) != 0;
        groups[g] = groups[g] || changed;
        any = any || changed;
    }
    return any;
}

/* The number of flow entries of these buckets is unknown until the next
 * sweep. */
static void
reset_recorded_counts(mv_node_t *node, const bool *groups)
{
    for (guint i = 0; i < node->services->len; i++) {
        mv_node_service_t *service = g_ptr_array_index(node->services, i);
        for (uint32_t b = 0; b < service->count; b++) {
            if (groups[MvGroup_Of(service->config->id, b)]) {
                service->buckets[b].recorded = UINT32_MAX;
            }
        }
    }
}

static void
update_holders(const mv_node_t *node, mv_holders_t *holders,
               const mv_request_member_t *nodes, size_t count)
{
    for (guint i = 0; i < node->changed_members->len; i++) {
        MvHolders_Update(
            holders, nodes, count,
            g_array_index(node->changed_members, mv_node_id_t, i));
    }
}

void
MvHandover_UpdateHolders(mv_node_t *node, mv_time_t now)
{
    if (node->changed_members->len == 0) {
        return;
    }
    mv_request_member_t nodes[node->members->len + 1];
    mv_holders_t holders = node->holders;
    mv_holders_t future = node->future_holders;
    bool groups[MV_GROUPS] = {false};
    update_holders(node, &holders, nodes, list_candidates(node, false, nodes));
    update_holders(node, &future, nodes, list_candidates(node, true, nodes));
    g_array_set_size(node->changed_members, 0);
    bool changed = mark_changed_groups(&node->holders, &holders, groups);
    changed |= mark_changed_groups(&node->future_holders, &future, groups);
    if (!changed) {
        return;
    }
    node->previous_holders = node->holders;
    node->previous_holders_until = now + PREVIOUS_PRIMARY_TIME;
    node->holders = holders;
    node->future_holders = future;
    node->view_dirty = true;
    node->next_replication = now;
    reset_recorded_counts(node, groups);
    mark_context_t mark_context = {
        .node = node, .groups = groups, .now_ms = MvNode_Milliseconds(now)};
    MvFlowTable_Sweep(node->flows, mark_unreplicated, &mark_context);
}

/* Replication */

/**
 * struct replication_round - Flow records to send, by receiver.
 * @node: this node
 * @now_ms: current time in milliseconds, modulo 2^32
 * @receiver: node that gets every entry it holds, or MV_NO_NODE to send
 *            unreplicated entries to all their holders
 * @outgoing: node id to an array of flow records
 * @collected: unreplicated entries collected so far
 */
typedef struct replication_round {
    mv_node_t *node;
    uint32_t now_ms;
    mv_node_id_t receiver;
    GHashTable *outgoing;
    size_t collected;
} replication_round_t;

static void
add_record(replication_round_t *round, mv_node_id_t to,
           const mv_flow_record_t *record)
{
    bool wanted = round->receiver == MV_NO_NODE || round->receiver == to;
    if (to == MV_NO_NODE || to == round->node->settings.id || !wanted) {
        return;
    }
    gpointer key = GUINT_TO_POINTER(to);
    GArray *records = g_hash_table_lookup(round->outgoing, key);
    if (!records) {
        records = g_array_new(FALSE, FALSE, sizeof(mv_flow_record_t));
        g_hash_table_insert(round->outgoing, key, records);
    }
    g_array_append_val(records, *record);
}

static void
add_record_for_holders(replication_round_t *round, uint32_t group,
                       const mv_flow_record_t *record)
{
    const mv_node_t *node = round->node;
    mv_node_id_t to[2 * MV_MAX_HOLDERS];
    MvHolders_List(&node->holders, group, to);
    MvHolders_List(&node->future_holders, group, to + MV_MAX_HOLDERS);
    for (size_t i = 0; i < G_N_ELEMENTS(to); i++) {
        bool repeated = false;
        for (size_t j = 0; j < i; j++) {
            repeated = repeated || to[i] == to[j];
        }
        if (!repeated) {
            add_record(round, to[i], record);
        }
    }
}

static bool
collect_record(void *context, mv_flow_entry_t *entry)
{
    replication_round_t *round = context;
    const mv_node_service_t *service;
    uint32_t bucket = 0;
    uint32_t group = group_of_entry(round->node, entry, &service, &bucket);
    if (round->receiver == MV_NO_NODE) {
        if (!(entry->flags & MV_FLOW_UNREPLICATED) ||
            round->collected >= FLOWS_PER_ROUND) {
            return true;
        }
        entry->flags &= (uint16_t)~MV_FLOW_UNREPLICATED;
        round->collected++;
    }
    if (!service) {
        return false;
    }
    mv_flow_record_t record = {
        .address = entry->key.address,
        .port = entry->key.port,
        .service = entry->key.service,
        .endpoint = entry->endpoint,
        .idle_ms = MvFlow_IdleMilliseconds(round->now_ms, entry->seen_ms),
    };
    add_record_for_holders(round, group, &record);
    return true;
}

static void
free_array(gpointer array)
{
    g_array_unref(array);
}

static void
send_records(mv_node_t *node, mv_node_id_t to, GArray *records)
{
    for (guint sent = 0; sent < records->len; sent += FLOWS_PER_MESSAGE) {
        mv_message_t message = {
            .kind = MV_MESSAGE_FLOWS,
            .flow_count = MIN(records->len - sent, FLOWS_PER_MESSAGE),
            .flows = &g_array_index(records, mv_flow_record_t, sent)};
        MvNode_Send(node, to, &message);
    }
    MvCounters_Add(node->counters, MV_COUNTER_FLOW_ENTRIES_COPIED,
                   records->len);
}

/* Sends unreplicated entries to their holders, or with @receiver every entry
 * that member holds.  Returns true when unreplicated entries may remain. */
static bool
replicate_flows(mv_node_t *node, mv_time_t now, mv_node_id_t receiver)
{
    replication_round_t round = {
        .node = node,
        .now_ms = MvNode_Milliseconds(now),
        .receiver = receiver,
        .outgoing = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                          free_array),
    };
    if (receiver == MV_NO_NODE) {
        MvFlowTable_SweepUnreplicated(node->flows, collect_record, &round);
    }
    else {
        MvFlowTable_Sweep(node->flows, collect_record, &round);
    }
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, round.outgoing);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        send_records(node, (mv_node_id_t)GPOINTER_TO_UINT(key), value);
    }
    g_hash_table_unref(round.outgoing);
    return round.collected >= FLOWS_PER_ROUND;
}

static void
insert_flows(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    for (size_t i = 0; i < message->flow_count; i++) {
        const mv_flow_record_t *record = &message->flows[i];
        mv_flow_key_t key = {.address = record->address,
                             .port = (uint16_t)record->port,
                             .service = (uint16_t)record->service};
        if (record->endpoint >= MV_NO_ENDPOINT) {
            continue;
        }
        MvFlowTable_Insert(node->flows, key,
                           MvNode_Milliseconds(now) - record->idle_ms,
                           (uint16_t)record->endpoint, 0);
    }
}

/* Expiry */

typedef struct expiry {
    mv_node_t *node;
    uint32_t now_ms;
    uint32_t idle_ms;
} expiry_t;

/* Replica holders keep entries: only the primary sees a flow's packets and can
 * tell that the flow is idle or closed. */
static bool
is_expired(const expiry_t *expiry, const mv_flow_entry_t *entry,
           uint32_t group)
{
    const mv_node_t *node = expiry->node;
    mv_node_id_t self = node->settings.id;
    bool is_replica_holder =
        node->holders.primary[group] != self &&
        (MvHolders_Contains(&node->holders, group, self) ||
         MvHolders_Contains(&node->future_holders, group, self));
    uint32_t idle = MvFlow_IdleMilliseconds(expiry->now_ms, entry->seen_ms);
    bool closed =
        (entry->flags & MV_FLOW_CLOSED) && idle > CLOSED_RETENTION_MS;
    return !is_replica_holder && (idle > expiry->idle_ms || closed);
}

static bool
keep_entry(void *context, mv_flow_entry_t *entry)
{
    const expiry_t *expiry = context;
    const mv_node_service_t *service;
    uint32_t number = 0;
    uint32_t group = group_of_entry(expiry->node, entry, &service, &number);
    if (!service || is_expired(expiry, entry, group)) {
        return false;
    }
    mv_bucket_t *bucket = &service->buckets[number];
    /* In these phases all flows without an entry go to bucket->endpoint, so an
     * entry with the same endpoint is redundant. */
    bool single_endpoint = bucket->phase == MV_BUCKET_RECORDED ||
                           bucket->phase == MV_BUCKET_STABLE;
    if (single_endpoint && entry->endpoint == bucket->endpoint) {
        return false;
    }
    if (bucket->phase == MV_BUCKET_STABLE &&
        !MvBuckets_IsPrimary(expiry->node, service, number)) {
        return false;
    }
    bucket->recorded += entry->endpoint != bucket->endpoint;
    bool open = (entry->flags & MV_FLOW_CLOSED) == 0;
    if (open && entry->endpoint < service->counted_endpoints &&
        MvBuckets_IsPrimary(expiry->node, service, number)) {
        service->health[entry->endpoint].recorded_here++;
    }
    return true;
}

static void
sweep_entries(mv_node_t *node, mv_time_t now)
{
    if (!node->deployment) {
        return;
    }
    expiry_t expiry = {.node = node,
                       .now_ms = MvNode_Milliseconds(now),
                       .idle_ms = node->deployment->flow_idle_seconds * 1000};
    for (guint i = 0; i < node->services->len; i++) {
        mv_node_service_t *service = g_ptr_array_index(node->services, i);
        for (uint32_t b = 0; service->moving > 0 && b < service->count; b++) {
            service->buckets[b].recorded = 0;
        }
        for (uint32_t e = 0; e < service->counted_endpoints; e++) {
            service->health[e].recorded_here = 0;
        }
    }
    MvFlowTable_Sweep(node->flows, keep_entry, &expiry);
}

/* Joining and resync */

static void
send_sync_requests(mv_node_t *node, mv_time_t now)
{
    node->next_sync = now + SYNC_INTERVAL;
    for (guint i = 0; i < node->members->len; i++) {
        mv_member_t *member = g_ptr_array_index(node->members, i);
        if (member->synced || member->state >= MV_MEMBER_LEFT) {
            continue;
        }
        /* The receiver must have this node in its membership before it
         * answers, so that it sends the entries that this node will hold. */
        mv_member_update_t self = MvMembers_OwnUpdate(node);
        mv_message_t request = {
            .kind = MV_MESSAGE_SYNC_REQUEST,
            .version = node->deployment ? node->deployment->version : 0,
            .member_count = 1,
            .members = &self};
        MvNode_Send(node, member->id, &request);
    }
}

void
MvHandover_Resync(mv_node_t *node, mv_time_t now)
{
    node->syncing = true;
    node->sync_started = now;
    node->view_dirty = true;
    for (guint i = 0; i < node->members->len; i++) {
        mv_member_t *member = g_ptr_array_index(node->members, i);
        member->synced = false;
    }
    send_sync_requests(node, now);
}

static void
answer_sync(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    mv_node_id_t to = (mv_node_id_t)message->from;
    if (node->deployment && node->deployment->version > message->version) {
        MvSpread_SendConfig(node, to, message->version);
    }
    MvBuckets_SendAll(node, to);
    MvHandover_UpdateHolders(node, now);
    replicate_flows(node, now, to);
    /* The requester needs this node's readiness before it becomes primary of
     * groups itself. */
    mv_member_update_t self = MvMembers_OwnUpdate(node);
    mv_message_t done = {.kind = MV_MESSAGE_SYNC_DONE,
                         .version =
                             node->deployment ? node->deployment->version : 0,
                         .member_count = 1,
                         .members = &self};
    MvNode_Send(node, to, &done);
}

/* Every live member must have answered.  Members that were never in contact
 * are awaited for FIRST_CONTACT_TIMEOUT. */
static bool
is_sync_complete(const mv_node_t *node, mv_time_t now)
{
    bool awaiting_first_contact = false;
    for (guint i = 0; i < node->members->len; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        if (MvMembers_IsLive(member) && !member->synced) {
            return false;
        }
        awaiting_first_contact =
            awaiting_first_contact || member->state == MV_MEMBER_UNKNOWN;
    }
    return !awaiting_first_contact ||
           now - node->sync_started >= FIRST_CONTACT_TIMEOUT;
}

static void
sync_timer(mv_node_t *node, mv_time_t now)
{
    if (!node->syncing) {
        return;
    }
    if (now >= node->next_sync) {
        send_sync_requests(node, now);
    }
    if (!node->deployment || !is_sync_complete(node, now)) {
        return;
    }
    node->syncing = false;
    node->view_dirty = true;
    if (!node->ready) {
        MvMembers_AnnounceReady(node);
    }
}

/* Leaving */

void
MvNode_Stop(mv_node_t *node, mv_time_t now)
{
    if (node->stopping) {
        return;
    }
    node->stopping = true;
    MvMembers_MarkChanged(node, node->settings.id);
    node->stop_started = now;
    MvHandover_UpdateHolders(node, now);
}

static void
stop_timer(mv_node_t *node, mv_time_t now)
{
    if (!node->stopping || node->left) {
        return;
    }
    bool unacknowledged = false;
    if (!node->handover_sent) {
        while (replicate_flows(node, now, MV_NO_NODE)) {
        }
        mv_message_t done = {.kind = MV_MESSAGE_HANDOVER_DONE};
        MvNode_SendToLiveMembers(node, &done);
        node->handover_sent = true;
    }
    for (guint i = 0; i < node->members->len; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        unacknowledged = unacknowledged || (member->state == MV_MEMBER_ALIVE &&
                                            !member->handed_over);
    }
    if (!unacknowledged || now - node->stop_started > HANDOVER_TIMEOUT) {
        node->stop_started = now;
        MvMembers_AnnounceLeft(node);
    }
}

bool
MvNode_Stopped(const mv_node_t *node)
{
    return node->left &&
           node->last_timer - node->stop_started > LEAVE_GRACE_PERIOD;
}

/* Messages and timer */

void
MvHandover_Message(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    mv_member_t *member = MvMembers_Find(node, (mv_node_id_t)message->from);
    mv_message_t ack = {.kind = MV_MESSAGE_HANDOVER_ACK};
    switch (message->kind) {
    case MV_MESSAGE_FLOWS:
        insert_flows(node, now, message);
        break;
    case MV_MESSAGE_SYNC_REQUEST:
        answer_sync(node, now, message);
        break;
    case MV_MESSAGE_SYNC_DONE:
        /* An answer for an older configuration does not cover the one in
         * force. */
        member->synced =
            !node->deployment || message->version >= node->deployment->version;
        break;
    case MV_MESSAGE_HANDOVER_DONE:
        MvNode_Send(node, (mv_node_id_t)message->from, &ack);
        break;
    case MV_MESSAGE_HANDOVER_ACK:
        member->handed_over = true;
        break;
    default:
        break;
    }
}

void
MvHandover_Timer(mv_node_t *node, mv_time_t now)
{
    if (now >= node->next_sweep) {
        node->next_sweep = now + SWEEP_INTERVAL;
        sweep_entries(node, now);
    }
    if (now >= node->next_replication) {
        node->next_replication = now + node->settings.replication_interval;
        replicate_flows(node, now, MV_NO_NODE);
    }
    if (node->previous_holders_until && now >= node->previous_holders_until) {
        node->previous_holders_until = 0;
        node->view_dirty = true;
    }
    sync_timer(node, now);
    stop_timer(node, now);
}
