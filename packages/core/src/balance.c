/* Load balance and health of endpoints.  For each service one node, the
 * deciding node, collects load reports and requests bucket moves from the
 * primaries. */
#include "node_private.h"

#include <string.h>

#define BALANCE_INTERVAL (1 * MV_SECOND)
#define HEALTH_INTERVAL (1 * MV_SECOND)
/* Health rounds after which the sample counts of endpoints are reset. */
#define HEALTH_ROUNDS_PER_WINDOW 8
/* An endpoint with this many unanswered samples and no answered one in the
 * window has failed. */
#define MIN_UNANSWERED_SAMPLES 40
/* Buckets returned to a recovered endpoint in one round. */
#define RETURNED_BUCKETS_PER_ROUND 2
/* Services whose load is reported in one round of load_interval. */
#define SERVICES_PER_ROUND 8u
/* With fewer flows per endpoint on average, differences are statistical noise
 * that moves cannot correct. */
#define MIN_FLOWS_PER_ENDPOINT 500
/* Proportional gain: relative change of an endpoint's buckets for a relative
 * excess of its flows. */
#define CORRECTION_GAIN 3.0
/* The excess counts up to this fraction of the mean. */
#define MAX_EXCESS 0.2
/* Smallest sum of the largest surplus and the largest deficit of an endpoint,
 * in buckets, that starts a move. */
#define MIN_IMBALANCE_BUCKETS 2.0

/* The deciding node of a service is the primary of its first bucket. */
static mv_node_id_t
decider(const mv_node_t *node, const mv_node_service_t *state)
{
    return node->holders.primary[MvGroup_Of(state->config->id, 0)];
}

bool
MvBalance_IsDecider(const mv_node_t *node, const mv_node_service_t *service)
{
    return decider(node, service) == node->settings.id;
}

static void
store_load_report(mv_node_t *node, const mv_message_t *message)
{
    for (size_t i = 0; i < message->load_count; i++) {
        const mv_load_record_t *record = &message->loads[i];
        mv_node_service_t *service =
            MvBuckets_FindService(node, (uint16_t)record->service);
        if (!service || record->endpoint >= service->counted_endpoints) {
            continue;
        }
        gpointer key = GUINT_TO_POINTER(message->from);
        int32_t *counts = g_hash_table_lookup(service->reported_load, key);
        if (!counts) {
            counts = g_new0(int32_t, 2 * service->counted_endpoints);
            g_hash_table_insert(service->reported_load, key, counts);
        }
        counts[record->endpoint] = record->open;
        counts[service->counted_endpoints + record->endpoint] =
            (int32_t)record->recorded_flows;
        service->health[record->endpoint].answered += record->answered;
        service->health[record->endpoint].unanswered += record->unanswered;
    }
}

/* The deciding node adds its own samples here; sum_load() reads its own open
 * flows. */
static void
count_own_samples(mv_node_service_t *state, const mv_message_t *message)
{
    for (size_t i = 0; i < message->load_count; i++) {
        const mv_load_record_t *record = &message->loads[i];
        state->health[record->endpoint].answered += record->answered;
        state->health[record->endpoint].unanswered += record->unanswered;
    }
}

static void
send_service_load(mv_node_t *node, mv_node_service_t *state)
{
    mv_node_id_t to = decider(node, state);
    const mv_service_t *service = state->config;
    if (to == MV_NO_NODE) {
        return;
    }
    GArray *records = g_array_new(FALSE, FALSE, sizeof(mv_load_record_t));
    for (uint16_t e = 0; e < service->endpoint_count; e++) {
        uint16_t id = service->endpoints[e].id;
        if (id >= state->counted_endpoints) {
            continue;
        }
        mv_load_record_t record = {
            .service = service->id,
            .endpoint = id,
            .open = __atomic_load_n(&state->load_counts[id], __ATOMIC_RELAXED),
            .answered = (uint32_t)__atomic_exchange_n(
                &state->load_counts[MV_MAX_COUNTED_ENDPOINTS + id], 0,
                __ATOMIC_RELAXED),
            .unanswered = state->health[id].unanswered_here,
            .recorded_flows = state->health[id].recorded_here};
        state->health[id].unanswered_here = 0;
        g_array_append_val(records, record);
    }
    mv_message_t message = {.kind = MV_MESSAGE_LOAD,
                            .load_count = records->len,
                            .loads =
                                (mv_load_record_t *)(void *)records->data};
    if (to == node->settings.id) {
        count_own_samples(state, &message);
    }
    else {
        MvNode_Send(node, to, &message);
    }
    g_array_unref(records);
}

/* Reports SERVICES_PER_ROUND services at a time, so that the cost of a round
 * does not grow with the number of services. */
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
    for (uint32_t e = 0; e < state->counted_endpoints; e++) {
        load[e] = __atomic_load_n(&state->load_counts[e], __ATOMIC_RELAXED);
    }
    g_hash_table_iter_init(&iter, state->reported_load);
    while (g_hash_table_iter_next(&iter, NULL, &counts)) {
        for (uint32_t e = 0; e < state->counted_endpoints; e++) {
            load[e] += ((int32_t *)counts)[e];
        }
    }
}

/**
 * struct balance - Distribution of flows and buckets of one service.
 * @load: open flows, by endpoint id
 * @bucket_counts: buckets whose new flows go to the endpoint, by endpoint id
 * @total: open flows of the eligible endpoints
 * @eligible_count: number of eligible endpoints
 */
typedef struct balance {
    int64_t load[MV_MAX_COUNTED_ENDPOINTS];
    uint32_t bucket_counts[MV_MAX_COUNTED_ENDPOINTS];
    int64_t total;
    int64_t eligible_count;
} balance_t;

static bool
is_eligible(const mv_node_t *node, const mv_node_service_t *state,
            uint16_t endpoint, mv_time_t now)
{
    return endpoint < state->counted_endpoints &&
           !state->health[endpoint].failed && !state->health[endpoint].full &&
           MvBuckets_IsUsable(node, state, endpoint, now);
}

static void
measure_balance(const mv_node_t *node, const mv_node_service_t *state,
                mv_time_t now, balance_t *out)
{
    memset(out, 0, sizeof(*out));
    sum_load(state, out->load);
    for (uint32_t b = 0; b < state->count; b++) {
        uint16_t endpoint = MvBucket_NewFlowEndpoint(&state->buckets[b]);
        if (endpoint < MV_MAX_COUNTED_ENDPOINTS) {
            out->bucket_counts[endpoint]++;
        }
    }
    for (uint16_t i = 0; i < state->config->endpoint_count; i++) {
        uint16_t id = state->config->endpoints[i].id;
        if (is_eligible(node, state, id, now)) {
            out->total += MAX(out->load[id], 0);
            out->eligible_count++;
        }
    }
}

/*
 * Number of buckets that an endpoint should hold: fewer than the mean while it
 * has more flows than the mean, and the reverse.  Within the tolerated band it
 * is the mean.
 */
static double
wanted_buckets(const mv_node_t *node, const mv_node_service_t *state,
               const balance_t *balance, uint16_t endpoint)
{
    double mean_load =
        (double)balance->total / (double)balance->eligible_count;
    double mean_buckets =
        (double)state->count / (double)balance->eligible_count;
    double deviation = (double)balance->load[endpoint] / mean_load - 1;
    double band = node->settings.balance_limit_percent / 100.0;
    double excess = deviation > band    ? deviation - band
                    : deviation < -band ? deviation + band
                                        : 0;
    excess = CLAMP(excess, -MAX_EXCESS, MAX_EXCESS);
    return mean_buckets * (1 - CORRECTION_GAIN * excess);
}

static void
move_own_bucket(mv_node_t *node, mv_time_t now, mv_node_service_t *state,
                uint32_t bucket, uint16_t to)
{
    uint64_t version = MvBuckets_NextVersion(node, now);
    MvBuckets_Move(state, now, bucket, to, version);
    MvBuckets_Announce(node, now, state, version);
}

/* Moves one random stable bucket from endpoint @from to @to: directly when
 * this node is its primary, otherwise by a request to the primary. */
static void
move_one_bucket(mv_node_t *node, mv_time_t now, mv_node_service_t *state,
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
        if (MvBuckets_IsPrimary(node, state, b)) {
            move_own_bucket(node, now, state, b, to);
            return;
        }
        mv_bucket_update_t update = {
            .bucket = b, .endpoint = from, .next = to};
        mv_message_t message = {.kind = MV_MESSAGE_MOVE,
                                .service = state->config->id,
                                .bucket_count = 1,
                                .buckets = &update};
        uint32_t group = MvGroup_Of(state->config->id, b);
        MvNode_Send(node, node->holders.primary[group], &message);
        return;
    }
}

/* Applies a move request of the deciding node to buckets that are still
 * stable at the endpoint it expects. */
static void
apply_move_request(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    mv_node_service_t *state =
        MvBuckets_FindService(node, (uint16_t)message->service);
    uint64_t version = 0;
    for (size_t i = 0; state && i < message->bucket_count; i++) {
        const mv_bucket_update_t *update = &message->buckets[i];
        uint16_t to = (uint16_t)update->next;
        if (update->bucket >= state->count || node->stopping ||
            !MvBuckets_IsPrimary(node, state, update->bucket) ||
            !MvBuckets_IsUsable(node, state, to, now)) {
            continue;
        }
        const mv_bucket_t *bucket = &state->buckets[update->bucket];
        if (bucket->phase == MV_BUCKET_STABLE &&
            bucket->endpoint == update->endpoint) {
            version = version ? version : MvBuckets_NextVersion(node, now);
            MvBuckets_Move(state, now, update->bucket, to, version);
        }
    }
    if (version) {
        MvBuckets_Announce(node, now, state, version);
    }
}

void
MvBalance_Message(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    if (message->kind == MV_MESSAGE_LOAD) {
        store_load_report(node, message);
    }
    if (message->kind == MV_MESSAGE_MOVE) {
        apply_move_request(node, now, message);
    }
}

static void
balance_service(mv_node_t *node, mv_time_t now, mv_node_service_t *state)
{
    balance_t balance;
    measure_balance(node, state, now, &balance);
    if (balance.eligible_count < 2 ||
        balance.total < balance.eligible_count * MIN_FLOWS_PER_ENDPOINT) {
        return;
    }
    uint16_t from = MV_NO_ENDPOINT;
    uint16_t to = MV_NO_ENDPOINT;
    double max_surplus = 0;
    double max_deficit = 0;
    for (uint16_t i = 0; i < state->config->endpoint_count; i++) {
        uint16_t id = state->config->endpoints[i].id;
        if (!is_eligible(node, state, id, now)) {
            continue;
        }
        double surplus = balance.bucket_counts[id] -
                         wanted_buckets(node, state, &balance, id);
        if (surplus > max_surplus) {
            from = id;
            max_surplus = surplus;
        }
        if (-surplus > max_deficit) {
            to = id;
            max_deficit = -surplus;
        }
    }
    if (max_surplus + max_deficit >= MIN_IMBALANCE_BUCKETS &&
        from != MV_NO_ENDPOINT && to != MV_NO_ENDPOINT) {
        move_one_bucket(node, now, state, from, to);
    }
}

/* Health: endpoints that do not answer */

static void
count_unanswered(void *context, uint16_t service, uint16_t endpoint)
{
    mv_node_service_t *state = MvBuckets_FindService(context, service);
    if (state && endpoint < state->counted_endpoints) {
        state->health[endpoint].unanswered_here++;
    }
}

/* Next eligible endpoint after @position, wrapping around. */
static uint16_t
next_eligible(const mv_node_t *node, const mv_node_service_t *state,
              mv_time_t now, uint32_t *position)
{
    const mv_service_t *service = state->config;
    for (uint16_t i = 0; i < service->endpoint_count; i++) {
        *position = (*position + 1) % service->endpoint_count;
        uint16_t id = service->endpoints[*position].id;
        if (is_eligible(node, state, id, now)) {
            return id;
        }
    }
    return MV_NO_ENDPOINT;
}

/* Move requests by primary: node id to an array of bucket updates. */
static GHashTable *
create_move_requests(void)
{
    return g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                 (GDestroyNotify)g_array_unref);
}

static void
add_move_request(const mv_node_t *node, const mv_node_service_t *state,
                 GHashTable *requests, uint32_t bucket, uint16_t to)
{
    uint32_t group = MvGroup_Of(state->config->id, bucket);
    gpointer primary = GUINT_TO_POINTER(node->holders.primary[group]);
    GArray *updates = g_hash_table_lookup(requests, primary);
    if (!updates) {
        updates = g_array_new(FALSE, FALSE, sizeof(mv_bucket_update_t));
        g_hash_table_insert(requests, primary, updates);
    }
    mv_bucket_update_t update = {.bucket = bucket,
                                 .endpoint = state->buckets[bucket].endpoint,
                                 .next = to};
    g_array_append_val(updates, update);
}

static void
send_move_requests(mv_node_t *node, mv_time_t now,
                   const mv_node_service_t *state, GHashTable *requests)
{
    GHashTableIter iter;
    gpointer primary;
    gpointer value;
    g_hash_table_iter_init(&iter, requests);
    while (g_hash_table_iter_next(&iter, &primary, &value)) {
        GArray *updates = value;
        mv_node_id_t to = (mv_node_id_t)GPOINTER_TO_UINT(primary);
        mv_message_t message = {
            .kind = MV_MESSAGE_MOVE,
            .service = state->config->id,
            .bucket_count = updates->len,
            .buckets = (mv_bucket_update_t *)(void *)updates->data};
        if (to == node->settings.id) {
            apply_move_request(node, now, &message);
        }
        else if (to != MV_NO_NODE) {
            MvNode_Send(node, to, &message);
        }
    }
    g_hash_table_unref(requests);
}

/* Moves all buckets but one away from @from.  New flows of the remaining
 * bucket show when the endpoint answers again. */
static void
move_away(mv_node_t *node, mv_time_t now, mv_node_service_t *state,
          uint16_t from)
{
    uint32_t position = 0;
    bool kept = false;
    GHashTable *requests = create_move_requests();
    for (uint32_t b = 0; b < state->count; b++) {
        const mv_bucket_t *bucket = &state->buckets[b];
        if (bucket->phase != MV_BUCKET_STABLE || bucket->endpoint != from) {
            continue;
        }
        uint16_t to = next_eligible(node, state, now, &position);
        if (kept && to != MV_NO_ENDPOINT) {
            add_move_request(node, state, requests, b, to);
        }
        kept = true;
    }
    send_move_requests(node, now, state, requests);
}

/* Returns the buckets that the configuration assigns to @to,
 * RETURNED_BUCKETS_PER_ROUND at a time. */
static void
move_back(mv_node_t *node, mv_time_t now, mv_node_service_t *state,
          uint16_t to)
{
    unsigned requested = 0;
    bool has_missing_buckets = false;
    GHashTable *requests = create_move_requests();
    for (uint32_t b = 0; b < state->count; b++) {
        const mv_bucket_t *bucket = &state->buckets[b];
        if (state->config->target[b] != to ||
            MvBucket_NewFlowEndpoint(bucket) == to) {
            continue;
        }
        has_missing_buckets = true;
        if (bucket->phase == MV_BUCKET_STABLE &&
            requested++ < RETURNED_BUCKETS_PER_ROUND) {
            add_move_request(node, state, requests, b, to);
        }
    }
    send_move_requests(node, now, state, requests);
    state->health[to].returning = has_missing_buckets;
}

static void
update_endpoint_health(mv_node_t *node, mv_time_t now,
                       mv_node_service_t *state, uint16_t id,
                       bool others_answer, bool may_fail)
{
    mv_health_t *health = &state->health[id];
    if (health->answered > 0) {
        if (health->failed) {
            node->effects->ops->event(node->effects, MV_EVENT_ENDPOINT_ANSWERS,
                                      id, state->config->id);
            health->returning = true;
        }
        health->failed = false;
    }
    else if (health->unanswered >= MIN_UNANSWERED_SAMPLES && others_answer &&
             !health->failed && may_fail) {
        health->failed = true;
        node->effects->ops->event(node->effects, MV_EVENT_ENDPOINT_UNREACHABLE,
                                  id, state->config->id);
    }
    if (health->failed || health->full) {
        move_away(node, now, state, id);
    }
    else if (health->returning && health->has_room &&
             MvBuckets_IsUsable(node, state, id, now)) {
        move_back(node, now, state, id);
    }
}

/* An endpoint is full from its connection limit until its open flows are below
 * 90% of the limit, and loses all buckets but one meanwhile.  They return once
 * its open flows are below 80%. */
static void
update_capacity_state(mv_node_service_t *state, const mv_endpoint_t *endpoint,
                      int64_t load)
{
    mv_health_t *health = &state->health[endpoint->id];
    int64_t limit = endpoint->connection_limit;
    health->has_room = load * 10 < limit * 8;
    if (health->full && load * 10 < limit * 9) {
        health->full = false;
        health->returning = true;
    }
    else if (load >= limit) {
        health->full = true;
    }
}

/* An endpoint is marked as failed only if at least half of the service's
 * endpoints answer at that time, and at most half of them are marked, so that
 * a service whose endpoints all seem to fail is still served. */
static void
update_service_health(mv_node_t *node, mv_time_t now, mv_node_service_t *state)
{
    const mv_service_t *service = state->config;
    uint32_t answering = 0;
    uint32_t failed = 0;
    for (uint16_t i = 0; i < service->endpoint_count; i++) {
        uint16_t id = service->endpoints[i].id;
        if (id < state->counted_endpoints) {
            answering += state->health[id].answered > 0;
            failed += state->health[id].failed;
        }
    }
    bool others_answer = 2 * answering >= service->endpoint_count;
    int64_t load[MV_MAX_COUNTED_ENDPOINTS];
    sum_load(state, load);
    for (uint16_t i = 0; i < service->endpoint_count; i++) {
        uint16_t id = service->endpoints[i].id;
        if (id < state->counted_endpoints) {
            bool may_fail = 2 * (failed + 1) <= service->endpoint_count;
            bool was_failed = state->health[id].failed;
            update_capacity_state(state, &service->endpoints[i], load[id]);
            update_endpoint_health(node, now, state, id, others_answer,
                                   may_fail);
            failed += state->health[id].failed && !was_failed;
        }
    }
}

static void
reset_window(mv_node_service_t *state)
{
    for (uint32_t e = 0; e < state->counted_endpoints; e++) {
        state->health[e].answered = 0;
        state->health[e].unanswered = 0;
    }
}

static void
health_timer(mv_node_t *node, mv_time_t now)
{
    if (now < node->next_health) {
        return;
    }
    node->next_health = now + HEALTH_INTERVAL;
    node->health_round++;
    MvSamples_CollectUnanswered(&node->samples, now, count_unanswered, node);
    for (guint i = 0; i < node->services->len && node->ready; i++) {
        mv_node_service_t *state = g_ptr_array_index(node->services, i);
        if (decider(node, state) != node->settings.id) {
            continue;
        }
        update_service_health(node, now, state);
        if (node->health_round % HEALTH_ROUNDS_PER_WINDOW == 0) {
            reset_window(state);
        }
    }
}

void
MvBalance_Timer(mv_node_t *node, mv_time_t now)
{
    health_timer(node, now);
    if (now >= node->next_load_report) {
        node->next_load_report = now + node->settings.load_interval;
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
        else if (g_hash_table_size(state->reported_load) > 0) {
            g_hash_table_remove_all(state->reported_load);
        }
    }
}
