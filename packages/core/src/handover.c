/* Copies of flow entries for second homes, joining, leaving, resync. */
#include "node_private.h"

#include <string.h>

#define SWEEP_INTERVAL (1 * MV_SECOND)
#define SYNC_TIMEOUT (2 * MV_SECOND)
#define FIRST_CONTACT_TIMEOUT (3 * MV_SECOND)
#define HANDOVER_TIMEOUT (3 * MV_SECOND)
#define LEAVE_GRACE (1 * MV_SECOND)
#define FLOWS_PER_MESSAGE 2048
/* Copies are renewed this many times within the idle limit. */
#define REFRESHES_PER_IDLE 3
#define CLOSED_LINGER_MS 2000

/* Homes -------------------------------------------------------------------- */

static size_t
list_nodes(const mv_node_t *node, bool future, mv_node_id_t *out)
{
    size_t count = 0;
    bool self = future ? !node->stopping : node->ready && !node->left;
    if (self) {
        out[count++] = node->settings.id;
    }
    for (guint i = 0; i < node->members->len; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        if (MvMembers_IsLive(member) && (future || member->ready)) {
            out[count++] = member->id;
        }
    }
    return count;
}

typedef struct remark {
    const mv_node_t *node;
    const bool *groups;
} remark_t;

static uint32_t
group_of_entry(const mv_node_t *node, const mv_flow_entry_t *entry,
               const mv_node_service_t **service, uint32_t *bucket)
{
    *service = MvBuckets_Service(node, entry->key.service);
    if (!*service) {
        return 0;
    }
    *bucket = MvFlowHash_Bucket(MvFlowKey_Hash(entry->key),
                                (*service)->count - 1);
    return MvGroup_Of(entry->key.service, *bucket);
}

static bool
mark_uncopied(void *context, mv_flow_entry_t *entry)
{
    remark_t *remark = context;
    const mv_node_service_t *service;
    uint32_t bucket;
    uint32_t group = group_of_entry(remark->node, entry, &service, &bucket);
    if (service && remark->groups[group]) {
        entry->flags |= MV_FLOW_UNCOPIED;
    }
    return true;
}

static bool
compare_homes(const mv_homes_t *before, const mv_homes_t *after, bool *groups)
{
    bool any = false;
    for (uint32_t g = 0; g < MV_GROUPS; g++) {
        bool changed = before->home[g] != after->home[g] ||
                       before->second[g] != after->second[g];
        groups[g] = groups[g] || changed;
        any = any || changed;
    }
    return any;
}

void
MvHandover_HomesChanged(mv_node_t *node, mv_time_t now)
{
    mv_node_id_t nodes[node->members->len + 1];
    mv_homes_t homes;
    mv_homes_t future;
    bool groups[MV_GROUPS] = {false};
    MvHomes_Compute(&homes, nodes, list_nodes(node, false, nodes));
    MvHomes_Compute(&future, nodes, list_nodes(node, true, nodes));
    bool changed = compare_homes(&node->homes, &homes, groups);
    changed |= compare_homes(&node->future, &future, groups);
    if (!changed) {
        return;
    }
    node->homes = homes;
    node->future = future;
    node->view_dirty = true;
    node->next_copy = now;
    remark_t remark = {.node = node, .groups = groups};
    MvFlowTable_Sweep(node->flows, mark_uncopied, &remark);
}

/* Copies --------------------------------------------------------------------- */

typedef struct copy_round {
    mv_node_t *node;
    uint32_t now_ms;
    GHashTable *outgoing;
    size_t taken;
} copy_round_t;

static void
add_copy(copy_round_t *round, mv_node_id_t to, const mv_flow_record_t *record)
{
    if (to == MV_NO_NODE || to == round->node->settings.id) {
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

static bool
collect_copy(void *context, mv_flow_entry_t *entry)
{
    copy_round_t *round = context;
    const mv_node_t *node = round->node;
    if (!(entry->flags & MV_FLOW_UNCOPIED) ||
        round->taken >= FLOWS_PER_MESSAGE) {
        return true;
    }
    const mv_node_service_t *service;
    uint32_t bucket = 0;
    uint32_t group = group_of_entry(node, entry, &service, &bucket);
    entry->flags &= (uint16_t)~MV_FLOW_UNCOPIED;
    if (!service) {
        return false;
    }
    round->taken++;
    mv_flow_record_t record = {
        .address = entry->key.address,
        .port = entry->key.port,
        .service = entry->key.service,
        .endpoint = entry->endpoint,
        .idle_ms = round->now_ms - entry->seen_ms,
    };
    mv_node_id_t to[] = {node->homes.home[group], node->homes.second[group],
                         node->future.home[group],
                         node->future.second[group]};
    for (size_t i = 0; i < G_N_ELEMENTS(to); i++) {
        bool repeated = false;
        for (size_t j = 0; j < i; j++) {
            repeated = repeated || to[i] == to[j];
        }
        if (!repeated) {
            add_copy(round, to[i], &record);
        }
    }
    return true;
}

static void
free_array(gpointer array)
{
    g_array_unref(array);
}

/* Return: true when more is waiting. */
static bool
copy_flows(mv_node_t *node, mv_time_t now)
{
    copy_round_t round = {
        .node = node,
        .now_ms = MvNode_Milliseconds(now),
        .outgoing = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                          free_array),
    };
    MvFlowTable_Sweep(node->flows, collect_copy, &round);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, round.outgoing);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        GArray *records = value;
        mv_message_t message = {
            .kind = MV_MESSAGE_FLOWS,
            .flow_count = records->len,
            .flows = (mv_flow_record_t *)(void *)records->data};
        MvNode_Send(node, (mv_node_id_t)GPOINTER_TO_UINT(key), &message);
        MvCounters_Add(node->counters, MV_COUNTER_FLOW_ENTRIES_COPIED,
                       records->len);
    }
    g_hash_table_unref(round.outgoing);
    return round.taken >= FLOWS_PER_MESSAGE;
}

static void
take_flows(mv_node_t *node, mv_time_t now, const mv_message_t *message)
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

/* Expiry ---------------------------------------------------------------------- */

typedef struct expiry {
    mv_node_t *node;
    uint32_t now_ms;
    uint32_t idle_ms;
    bool refresh;
} expiry_t;

static bool
keep_entry(void *context, mv_flow_entry_t *entry)
{
    expiry_t *expiry = context;
    const mv_node_service_t *service;
    uint32_t number = 0;
    uint32_t idle = expiry->now_ms - entry->seen_ms;
    group_of_entry(expiry->node, entry, &service, &number);
    if (!service || idle > expiry->idle_ms ||
        ((entry->flags & MV_FLOW_CLOSED) && idle > CLOSED_LINGER_MS)) {
        return false;
    }
    mv_bucket_t *bucket = &service->buckets[number];
    bool default_covers = bucket->phase == MV_BUCKET_NAMED ||
                          bucket->phase == MV_BUCKET_STABLE;
    if (default_covers && entry->endpoint == bucket->endpoint) {
        return false;
    }
    if (entry->endpoint != bucket->endpoint) {
        bucket->named++;
    }
    if (expiry->refresh &&
        MvBuckets_IsHome(expiry->node, service, number)) {
        entry->flags |= MV_FLOW_UNCOPIED;
    }
    return true;
}

static void
sweep(mv_node_t *node, mv_time_t now)
{
    if (!node->deployment) {
        return;
    }
    uint32_t idle_ms = node->deployment->flow_idle_seconds * 1000;
    expiry_t expiry = {.node = node,
                       .now_ms = MvNode_Milliseconds(now),
                       .idle_ms = idle_ms,
                       .refresh = now >= node->next_refresh};
    if (expiry.refresh) {
        node->next_refresh =
            now + idle_ms * MV_MILLISECOND / REFRESHES_PER_IDLE;
    }
    for (guint i = 0; i < node->services->len; i++) {
        mv_node_service_t *service = g_ptr_array_index(node->services, i);
        for (uint32_t b = 0; service->moving > 0 && b < service->count; b++) {
            service->buckets[b].named = 0;
        }
    }
    MvFlowTable_Sweep(node->flows, keep_entry, &expiry);
}

/* Joining and resync ------------------------------------------------------------ */

void
MvHandover_Resync(mv_node_t *node, mv_time_t now)
{
    node->syncing = true;
    node->sync_started = now;
    node->view_dirty = true;
    for (guint i = 0; i < node->members->len; i++) {
        mv_member_t *member = g_ptr_array_index(node->members, i);
        member->synced = false;
        mv_message_t request = {
            .kind = MV_MESSAGE_SYNC_REQUEST,
            .version = node->deployment ? node->deployment->version : 0};
        MvNode_Send(node, member->id, &request);
    }
}

static bool
mark_all(void *context, mv_flow_entry_t *entry)
{
    (void)context;
    entry->flags |= MV_FLOW_UNCOPIED;
    return true;
}

static void
answer_sync(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    mv_node_id_t to = (mv_node_id_t)message->from;
    if (node->deployment && node->deployment->version > message->version) {
        mv_message_t config = {.kind = MV_MESSAGE_CONFIG,
                               .version = node->deployment->version,
                               .blob = node->deployment->source,
                               .blob_length =
                                   node->deployment->source_length};
        MvNode_Send(node, to, &config);
    }
    MvBuckets_SendAll(node, to);
    /* The asker may have lost what this node copied to it before. */
    MvFlowTable_Sweep(node->flows, mark_all, NULL);
    while (copy_flows(node, now)) {
    }
    mv_message_t done = {.kind = MV_MESSAGE_SYNC_DONE,
                         .version = node->deployment
                                        ? node->deployment->version
                                        : 0};
    MvNode_Send(node, to, &done);
}

static bool
is_sync_over(const mv_node_t *node, mv_time_t now)
{
    bool heard_any = false;
    bool missing = false;
    for (guint i = 0; i < node->members->len; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        heard_any = heard_any || member->synced;
        missing = missing || !member->synced;
    }
    mv_time_t waited = now - node->sync_started;
    if (!missing) {
        return true;
    }
    return waited >= (heard_any ? SYNC_TIMEOUT : FIRST_CONTACT_TIMEOUT);
}

static void
sync_timer(mv_node_t *node, mv_time_t now)
{
    if (!node->syncing || !node->deployment || !is_sync_over(node, now)) {
        return;
    }
    node->syncing = false;
    node->view_dirty = true;
    if (!node->ready) {
        node->ready = true;
        MvMembers_RaiseIncarnation(node);
    }
}

/* Leaving ------------------------------------------------------------------------ */

void
MvNode_Stop(mv_node_t *node, mv_time_t now)
{
    if (node->stopping) {
        return;
    }
    node->stopping = true;
    node->stop_started = now;
    MvHandover_HomesChanged(node, now);
}

static void
stop_timer(mv_node_t *node, mv_time_t now)
{
    if (!node->stopping || node->left) {
        return;
    }
    bool waiting = false;
    if (!node->handover_sent) {
        while (copy_flows(node, now)) {
        }
        mv_message_t done = {.kind = MV_MESSAGE_HANDOVER_DONE};
        MvNode_SendLive(node, &done);
        node->handover_sent = true;
    }
    for (guint i = 0; i < node->members->len; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        waiting = waiting || (member->state == MV_MEMBER_ALIVE &&
                              !member->handed_over);
    }
    if (!waiting || now - node->stop_started > HANDOVER_TIMEOUT) {
        node->stop_started = now;
        MvMembers_AnnounceLeft(node, now);
    }
}

bool
MvNode_Stopped(const mv_node_t *node)
{
    return node->left &&
           node->last_timer - node->stop_started > LEAVE_GRACE;
}

/* -------------------------------------------------------------------------------- */

void
MvHandover_Message(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    mv_member_t *member = MvMembers_Find(node, (mv_node_id_t)message->from);
    mv_message_t ack = {.kind = MV_MESSAGE_HANDOVER_ACK};
    switch (message->kind) {
    case MV_MESSAGE_FLOWS:
        take_flows(node, now, message);
        break;
    case MV_MESSAGE_SYNC_REQUEST:
        answer_sync(node, now, message);
        break;
    case MV_MESSAGE_SYNC_DONE:
        member->synced = true;
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
        sweep(node, now);
    }
    if (now >= node->next_copy) {
        node->next_copy = now + node->settings.copy_interval;
        copy_flows(node, now);
    }
    sync_timer(node, now);
    stop_timer(node, now);
}
