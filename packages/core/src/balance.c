/* Evenness of open flows over endpoints: homes move a few buckets. */
#include "node_private.h"

#include <string.h>

#define BALANCE_INTERVAL (1 * MV_SECOND)
/* Services whose load is reported in one round. */
#define SERVICES_PER_ROUND 8u
/* Flows below which differences are noise that no move can mend. */
#define MIN_FLOWS_PER_ENDPOINT 500
/* How strongly the buckets held answer to the flows held. */
#define GAIN 3.0
#define MAX_CORRECTION 0.2
/* A move must mend at least this many buckets of surplus and lack. */
#define MIN_GAIN_BUCKETS 2.0

/* One home decides about the evenness of a service. */
static mv_node_id_t
decider(const mv_node_t *node, const mv_node_service_t *state)
{
    return node->homes.home[MvGroup_Of(state->service->id, 0)];
}

static void
take_load(mv_node_t *node, const mv_message_t *message)
{
    for (size_t i = 0; i < message->load_count; i++) {
        const mv_load_record_t *record = &message->loads[i];
        mv_node_service_t *service =
            MvBuckets_Service(node, (uint16_t)record->service);
        if (!service || record->endpoint >= service->load_slots) {
            continue;
        }
        gpointer key = GUINT_TO_POINTER(message->from);
        int32_t *counts = g_hash_table_lookup(service->heard_load, key);
        if (!counts) {
            counts = g_new0(int32_t, service->load_slots);
            g_hash_table_insert(service->heard_load, key, counts);
        }
        counts[record->endpoint] = record->open;
    }
}

static void
send_service_load(mv_node_t *node, const mv_node_service_t *state)
{
    mv_node_id_t to = decider(node, state);
    const mv_service_t *service = state->service;
    if (to == MV_NO_NODE || to == node->settings.id) {
        return;
    }
    GArray *records = g_array_new(FALSE, FALSE, sizeof(mv_load_record_t));
    for (uint16_t e = 0; e < service->endpoint_count; e++) {
        uint16_t id = service->endpoints[e].id;
        if (id >= state->load_slots) {
            continue;
        }
        mv_load_record_t record = {
            .service = service->id,
            .endpoint = id,
            .open = __atomic_load_n(&state->open[id], __ATOMIC_RELAXED)};
        g_array_append_val(records, record);
    }
    mv_message_t message = {.kind = MV_MESSAGE_LOAD,
                            .load_count = records->len,
                            .loads =
                                (mv_load_record_t *)(void *)records->data};
    MvNode_Send(node, to, &message);
    g_array_unref(records);
}

/* A few services a round: the cost does not grow with their number. */
static void
send_load(mv_node_t *node)
{
    guint total = node->services->len;
    for (guint i = 0; i < MIN(total, SERVICES_PER_ROUND); i++) {
        node->load_position = (node->load_position + 1) % total;
        send_service_load(
            node, g_ptr_array_index(node->services, node->load_position));
    }
}

static void
sum_load(const mv_node_service_t *state, int64_t *load)
{
    GHashTableIter iter;
    gpointer counts;
    for (uint32_t e = 0; e < state->load_slots; e++) {
        load[e] = __atomic_load_n(&state->open[e], __ATOMIC_RELAXED);
    }
    g_hash_table_iter_init(&iter, state->heard_load);
    while (g_hash_table_iter_next(&iter, NULL, &counts)) {
        for (uint32_t e = 0; e < state->load_slots; e++) {
            load[e] += ((int32_t *)counts)[e];
        }
    }
}

/**
 * struct evenness - Where one service stands.
 * @load: open flows by endpoint id
 * @held: buckets whose new flows go to an endpoint, by endpoint id
 * @total: open flows of the endpoints that stay
 * @staying: endpoints that stay
 */
typedef struct evenness {
    int64_t load[MV_LOAD_SLOTS];
    uint32_t held[MV_LOAD_SLOTS];
    int64_t total;
    int64_t staying;
} evenness_t;

static bool
counts(const mv_node_t *node, const mv_node_service_t *state,
       uint16_t endpoint, mv_time_t now)
{
    return endpoint < state->load_slots &&
           MvBuckets_IsUsable(node, state, endpoint, now);
}

static void
measure(const mv_node_t *node, const mv_node_service_t *state, mv_time_t now,
        evenness_t *out)
{
    memset(out, 0, sizeof(*out));
    sum_load(state, out->load);
    for (uint32_t b = 0; b < state->count; b++) {
        uint16_t endpoint = MvBucket_ForNew(&state->buckets[b]);
        if (endpoint < MV_LOAD_SLOTS) {
            out->held[endpoint]++;
        }
    }
    for (uint16_t i = 0; i < state->service->endpoint_count; i++) {
        uint16_t id = state->service->endpoints[i].id;
        if (counts(node, state, id, now)) {
            out->total += MAX(out->load[id], 0);
            out->staying++;
        }
    }
}

/*
 * Buckets an endpoint should hold: fewer than the mean while its flows are
 * more than the mean, so that its load falls back.  Within the tolerated
 * band the mean itself is wanted.
 */
static double
wanted_buckets(const mv_node_t *node, const mv_node_service_t *state,
               const evenness_t *evenness, uint16_t endpoint)
{
    double mean_load = (double)evenness->total / (double)evenness->staying;
    double mean_held = (double)state->count / (double)evenness->staying;
    double deviation = (double)evenness->load[endpoint] / mean_load - 1;
    double band = node->settings.balance_limit_percent / 100.0;
    double excess = deviation > band    ? deviation - band
                    : deviation < -band ? deviation + band
                                        : 0;
    excess = CLAMP(excess, -MAX_CORRECTION, MAX_CORRECTION);
    return mean_held * (1 - GAIN * excess);
}

static void
move_here(mv_node_t *node, mv_time_t now, mv_node_service_t *state,
          uint32_t bucket, uint16_t to)
{
    uint64_t version = MvNode_NextVersion(node, now);
    MvBuckets_Move(state, now, bucket, to, version);
    MvBuckets_Announce(node, now, state, version);
}

/* Move a bucket of @from, or ask its home to. */
static void
move_one(mv_node_t *node, mv_time_t now, mv_node_service_t *state,
         uint16_t from, uint16_t to)
{
    uint32_t start =
        (uint32_t)g_rand_int_range(node->random, 0, (gint32)state->count);
    for (uint32_t i = 0; i < state->count; i++) {
        uint32_t b = (start + i) & (state->count - 1);
        const mv_bucket_t *bucket = &state->buckets[b];
        if (bucket->phase != MV_BUCKET_STABLE || bucket->endpoint != from) {
            continue;
        }
        if (MvBuckets_IsHome(node, state, b)) {
            move_here(node, now, state, b, to);
            return;
        }
        mv_bucket_update_t update = {
            .bucket = b, .endpoint = from, .next = to};
        mv_message_t message = {.kind = MV_MESSAGE_MOVE,
                                .service = state->service->id,
                                .bucket_count = 1,
                                .buckets = &update};
        uint32_t group = MvGroup_Of(state->service->id, b);
        MvNode_Send(node, node->homes.home[group], &message);
        return;
    }
}

/* The decider asks: do it if the bucket is still as it thought. */
static void
take_move(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    mv_node_service_t *state =
        MvBuckets_Service(node, (uint16_t)message->service);
    for (size_t i = 0; state && i < message->bucket_count; i++) {
        const mv_bucket_update_t *update = &message->buckets[i];
        uint16_t to = (uint16_t)update->next;
        if (update->bucket >= state->count || node->stopping ||
            !MvBuckets_IsHome(node, state, update->bucket) ||
            !MvBuckets_IsUsable(node, state, to, now)) {
            continue;
        }
        const mv_bucket_t *bucket = &state->buckets[update->bucket];
        if (bucket->phase == MV_BUCKET_STABLE &&
            bucket->endpoint == update->endpoint) {
            move_here(node, now, state, update->bucket, to);
        }
    }
}

void
MvBalance_Message(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    if (message->kind == MV_MESSAGE_LOAD) {
        take_load(node, message);
    }
    if (message->kind == MV_MESSAGE_MOVE) {
        take_move(node, now, message);
    }
}

static void
balance_service(mv_node_t *node, mv_time_t now, mv_node_service_t *state)
{
    evenness_t evenness;
    measure(node, state, now, &evenness);
    if (evenness.staying < 2 ||
        evenness.total < evenness.staying * MIN_FLOWS_PER_ENDPOINT) {
        return;
    }
    uint16_t most = MV_NO_ENDPOINT;
    uint16_t least = MV_NO_ENDPOINT;
    double surplus = 0;
    double lack = 0;
    for (uint16_t i = 0; i < state->service->endpoint_count; i++) {
        uint16_t id = state->service->endpoints[i].id;
        if (!counts(node, state, id, now)) {
            continue;
        }
        double over =
            evenness.held[id] - wanted_buckets(node, state, &evenness, id);
        if (over > surplus) {
            most = id;
            surplus = over;
        }
        if (-over > lack) {
            least = id;
            lack = -over;
        }
    }
    if (surplus + lack >= MIN_GAIN_BUCKETS && most != MV_NO_ENDPOINT &&
        least != MV_NO_ENDPOINT) {
        move_one(node, now, state, most, least);
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
        if (decider(node, state) == node->settings.id) {
            balance_service(node, now, state);
        }
        else if (g_hash_table_size(state->heard_load) > 0) {
            g_hash_table_remove_all(state->heard_load);
        }
    }
}
