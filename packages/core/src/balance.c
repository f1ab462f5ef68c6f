/* Evenness of open flows over endpoints: homes move a few buckets. */
#include "node_private.h"

#include <string.h>

#define BALANCE_INTERVAL (1 * MV_SECOND)
/* Flows below which differences are noise that no move can mend. */
#define MIN_FLOWS_PER_ENDPOINT 100

void
MvBalance_Message(mv_node_t *node, const mv_message_t *message)
{
    for (size_t i = 0; i < message->load_count; i++) {
        const mv_load_record_t *record = &message->loads[i];
        mv_node_service_t *service =
            MvBuckets_Service(node, (uint16_t)record->service);
        if (!service || record->endpoint >= MV_LOAD_SLOTS) {
            continue;
        }
        gpointer key = GUINT_TO_POINTER(message->from);
        int32_t *counts = g_hash_table_lookup(service->heard_load, key);
        if (!counts) {
            counts = g_new0(int32_t, MV_LOAD_SLOTS);
            g_hash_table_insert(service->heard_load, key, counts);
        }
        counts[record->endpoint] = record->open;
    }
}

static void
send_load(mv_node_t *node)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(mv_load_record_t));
    for (guint i = 0; i < node->services->len; i++) {
        mv_node_service_t *state = g_ptr_array_index(node->services, i);
        for (uint16_t e = 0; e < state->service->endpoint_count; e++) {
            uint16_t id = state->service->endpoints[e].id;
            if (id >= MV_LOAD_SLOTS) {
                continue;
            }
            mv_load_record_t record = {
                .service = state->service->id,
                .endpoint = id,
                .open = __atomic_load_n(&state->open[id], __ATOMIC_RELAXED)};
            g_array_append_val(records, record);
        }
    }
    mv_message_t message = {.kind = MV_MESSAGE_LOAD,
                            .load_count = records->len,
                            .loads =
                                (mv_load_record_t *)(void *)records->data};
    if (records->len > 0) {
        MvNode_SendLive(node, &message);
    }
    g_array_unref(records);
}

static void
sum_load(const mv_node_service_t *state, int64_t *load)
{
    GHashTableIter iter;
    gpointer counts;
    for (uint32_t e = 0; e < MV_LOAD_SLOTS; e++) {
        load[e] = __atomic_load_n(&state->open[e], __ATOMIC_RELAXED);
    }
    g_hash_table_iter_init(&iter, state->heard_load);
    while (g_hash_table_iter_next(&iter, NULL, &counts)) {
        for (uint32_t e = 0; e < MV_LOAD_SLOTS; e++) {
            load[e] += ((int32_t *)counts)[e];
        }
    }
}

/* What the assignment in force tends to: half of it counts as come true. */
static void
expect_load(const mv_node_service_t *state, int64_t *load, int64_t total)
{
    int64_t per_bucket_milli = total * 1000 / state->count;
    for (uint32_t b = 0; b < state->count; b++) {
        const mv_bucket_t *bucket = &state->buckets[b];
        bool moved = bucket->phase == MV_BUCKET_ANNOUNCED ||
                     bucket->phase == MV_BUCKET_MIXED ||
                     bucket->phase == MV_BUCKET_NAMED;
        uint16_t to = MvBucket_ForNew(bucket);
        if (moved && to < MV_LOAD_SLOTS) {
            load[to] += per_bucket_milli / 1000;
        }
    }
}

static void
balance_service(mv_node_t *node, mv_time_t now, mv_node_service_t *state)
{
    int64_t load[MV_LOAD_SLOTS];
    int64_t total = 0;
    int64_t staying = 0;
    uint16_t hot = MV_NO_ENDPOINT;
    uint16_t cold = MV_NO_ENDPOINT;
    sum_load(state, load);
    for (uint16_t i = 0; i < state->service->endpoint_count; i++) {
        uint16_t e = state->service->endpoints[i].id;
        if (e < MV_LOAD_SLOTS && MvBuckets_IsUsable(node, state, e, now)) {
            total += MAX(load[e], 0);
            staying++;
        }
    }
    if (staying < 2 || total < staying * MIN_FLOWS_PER_ENDPOINT) {
        return;
    }
    expect_load(state, load, total);
    for (uint16_t i = 0; i < state->service->endpoint_count; i++) {
        uint16_t e = state->service->endpoints[i].id;
        if (e >= MV_LOAD_SLOTS || !MvBuckets_IsUsable(node, state, e, now)) {
            continue;
        }
        hot = hot == MV_NO_ENDPOINT || load[e] > load[hot] ? e : hot;
        cold = cold == MV_NO_ENDPOINT || load[e] < load[cold] ? e : cold;
    }
    int64_t limit = 100 + (int64_t)node->settings.balance_limit_percent;
    if (load[hot] * staying * 100 <= total * limit) {
        return;
    }
    uint32_t start = (uint32_t)g_rand_int_range(node->random, 0,
                                                (gint32)state->count);
    for (uint32_t i = 0; i < state->count; i++) {
        uint32_t b = (start + i) & (state->count - 1);
        if (state->buckets[b].phase == MV_BUCKET_STABLE &&
            state->buckets[b].endpoint == hot &&
            MvBuckets_IsHome(node, state, b)) {
            uint64_t version = MvNode_NextVersion(node, now);
            MvBuckets_Move(state, now, b, cold, version);
            MvBuckets_Announce(node, now, state, version);
            return;
        }
    }
}

void
MvBalance_Timer(mv_node_t *node, mv_time_t now)
{
    if (now >= node->next_load) {
        node->next_load = now + node->settings.load_interval;
        send_load(node);
    }
    if (now < node->next_balance || !node->ready || node->stopping) {
        return;
    }
    node->next_balance = now + BALANCE_INTERVAL;
    for (guint i = 0; i < node->services->len; i++) {
        mv_node_service_t *state = g_ptr_array_index(node->services, i);
        /* One home in turn acts, so that they do not all move at once. */
        size_t live = MvNode_LiveMembers(node);
        if (g_rand_int_range(node->random, 0, (gint32)live) == 0) {
            balance_service(node, now, state);
        }
    }
}
