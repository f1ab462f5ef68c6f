/*
 * Removal of backend servers: one controller each, from announced to gone.
 *
 * A controller compares the configuration with the observed state (buckets and
 * flow entries) and logs each step.  It moves no buckets: buckets.c does, from
 * the same configuration.
 */
#include "node_private.h"

#define RECONCILE_INTERVAL (1 * MV_SECOND)
/* Nodes report one after another, so flows that change their primary are
 * missed for a short time. */
#define DRAINED_AFTER (8 * MV_SECOND)
#define MAX_LISTED_FLOWS 16u

typedef enum step {
    STEP_ANNOUNCED,
    STEP_DRAINING,
    STEP_DRAINED,
    STEP_GONE,
} step_t;

/**
 * struct retirement - Controller of one backend server that is removed.
 * @link: entry in the node's list
 * @service: service id
 * @endpoint: endpoint id
 * @step: current step
 * @since: time at which it entered @step
 * @clear_since: time since which nothing remains on it, or 0
 * @is_late: ends_at has passed and flows remain; logged once
 * @wanted: the configuration in force still has it
 */
typedef struct retirement {
    mv_list_t link;
    uint16_t service;
    uint16_t endpoint;
    step_t step;
    mv_time_t since;
    mv_time_t clear_since;
    bool is_late;
    bool wanted;
} retirement_t;

/**
 * struct remains - Buckets and flows that remain on a backend server.
 * @buckets: buckets whose new flows go to it
 * @unnamed: buckets whose old flows go to it and are not all recorded yet
 * @flows: flow entries, as far as reported
 * @complete: every live member has reported its flows
 */
typedef struct remaining {
    uint32_t buckets;
    uint32_t unnamed;
    uint32_t flows;
    bool complete;
} remaining_t;

static const char *
step_name(step_t step)
{
    static const char *const names[] = {"announced", "draining", "drained",
                                        "gone"};
    return names[step];
}

static retirement_t *
find(const mv_node_t *node, uint16_t service, uint16_t endpoint)
{
    MV_LIST_FOREACH(item, &node->retirements)
    {
        retirement_t *one = MV_CONTAINER_OF(item, retirement_t, link);
        if (one->service == service && one->endpoint == endpoint) {
            return one;
        }
    }
    return NULL;
}

static void
report(mv_node_t *node, const retirement_t *one, mv_log_event_t event)
{
    const mv_node_service_t *state = MvBuckets_Service(node, one->service);
    if (state && MvBalance_IsDecider(node, state)) {
        node->effects->ops->event(node->effects, event, one->endpoint,
                                  one->service);
    }
}

static void
enter(mv_node_t *node, retirement_t *one, step_t step, mv_time_t now)
{
    static const mv_log_event_t events[] = {
        MV_EVENT_ENDPOINT_ANNOUNCED, MV_EVENT_ENDPOINT_DRAINING,
        MV_EVENT_ENDPOINT_DRAINED, MV_EVENT_ENDPOINT_GONE};
    one->step = step;
    one->since = now;
    report(node, one, events[step]);
}

/* Configuration */

static void
note_endpoint(mv_node_t *node, const mv_service_t *service,
              const mv_endpoint_t *endpoint, mv_time_t now)
{
    if (endpoint->leaves_at == 0) {
        return;
    }
    retirement_t *one = find(node, service->id, endpoint->id);
    if (!one) {
        one = g_new0(retirement_t, 1);
        one->service = service->id;
        one->endpoint = endpoint->id;
        MvList_Append(&node->retirements, &one->link);
        enter(node, one, STEP_ANNOUNCED, now);
    }
    one->wanted = true;
}

static void
forget(retirement_t *one)
{
    MvList_Remove(&one->link);
    g_free(one);
}

void
MvRetirement_Config(mv_node_t *node, mv_time_t now)
{
    const mv_deployment_t *deployment = node->deployment;
    MV_LIST_FOREACH(item, &node->retirements)
    {
        MV_CONTAINER_OF(item, retirement_t, link)->wanted = false;
    }
    for (uint16_t s = 0; s < deployment->service_count; s++) {
        const mv_service_t *service = &deployment->services[s];
        for (uint16_t e = 0; e < service->endpoint_count; e++) {
            note_endpoint(node, service, &service->endpoints[e], now);
        }
    }
    MV_LIST_FOREACH(item, &node->retirements)
    {
        retirement_t *one = MV_CONTAINER_OF(item, retirement_t, link);
        if (!one->wanted) {
            enter(node, one, STEP_GONE, now);
            forget(one);
        }
    }
}

void
MvRetirement_Free(mv_node_t *node)
{
    MV_LIST_FOREACH(item, &node->retirements)
    {
        forget(MV_CONTAINER_OF(item, retirement_t, link));
    }
}

/* Observed state */

static void
add_reported(const mv_node_t *node, const mv_node_service_t *state,
             uint16_t endpoint, remaining_t *left)
{
    left->flows = state->health[endpoint].recorded_here;
    left->complete = true;
    for (guint i = 0; i < node->members->len; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        const int32_t *counts = g_hash_table_lookup(
            state->reported_load, GUINT_TO_POINTER(member->id));
        if (counts) {
            left->flows += (uint32_t)counts[state->load_slots + endpoint];
        }
        else if (MvMembers_IsLive(member)) {
            left->complete = false;
        }
    }
}

static remaining_t
count_remaining(const mv_node_t *node, const mv_node_service_t *state,
                uint16_t endpoint)
{
    remaining_t left = {.complete = false};
    for (uint32_t b = 0; b < state->count; b++) {
        const mv_bucket_t *bucket = &state->buckets[b];
        bool moves = bucket->phase == MV_BUCKET_ANNOUNCED ||
                     bucket->phase == MV_BUCKET_MIXED;
        left.buckets += MvBucket_ForNew(bucket) == endpoint;
        left.unnamed += moves && bucket->endpoint == endpoint;
    }
    if (endpoint < state->load_slots) {
        add_reported(node, state, endpoint, &left);
    }
    return left;
}

/* Reconciliation */

static bool
is_clear(const remaining_t *left)
{
    return left->complete && left->buckets == 0 && left->unnamed == 0 &&
           left->flows == 0;
}

static void
reconcile(mv_node_t *node, retirement_t *one, mv_time_t now)
{
    const mv_node_service_t *state = MvBuckets_Service(node, one->service);
    const mv_endpoint_t *endpoint =
        state ? MvService_Endpoint(state->service, one->endpoint) : NULL;
    if (!endpoint) {
        return;
    }
    mv_time_t wall = now + node->wall_offset;
    if (wall < endpoint->leaves_at * MV_SECOND) {
        if (one->step != STEP_ANNOUNCED) {
            enter(node, one, STEP_ANNOUNCED, now);
        }
        return;
    }
    remaining_t left = count_remaining(node, state, one->endpoint);
    one->clear_since = !is_clear(&left)        ? 0
                       : one->clear_since == 0 ? now
                                               : one->clear_since;
    bool drained = one->clear_since && now - one->clear_since >= DRAINED_AFTER;
    step_t step = drained ? STEP_DRAINED : STEP_DRAINING;
    if (one->step != step) {
        enter(node, one, step, now);
    }
    bool over = endpoint->ends_at && wall >= endpoint->ends_at * MV_SECOND;
    if (over && !drained && !one->is_late) {
        report(node, one, MV_EVENT_ENDPOINT_LATE);
    }
    one->is_late = over && !drained;
}

void
MvRetirement_Timer(mv_node_t *node, mv_time_t now)
{
    if (now < node->next_retirement || !node->deployment) {
        return;
    }
    node->next_retirement = now + RECONCILE_INTERVAL;
    MV_LIST_FOREACH(item, &node->retirements)
    {
        reconcile(node, MV_CONTAINER_OF(item, retirement_t, link), now);
    }
}

/* Reports */

typedef struct listing {
    const mv_node_t *node;
    const retirement_t *one;
    uint32_t now_ms;
    json_t *flows;
} listing_t;

static bool
list_flow(void *context, mv_flow_entry_t *entry)
{
    const listing_t *listing = context;
    const mv_node_service_t *state =
        MvBuckets_Service(listing->node, entry->key.service);
    bool wanted = state && entry->key.service == listing->one->service &&
                  entry->endpoint == listing->one->endpoint &&
                  !(entry->flags & MV_FLOW_CLOSED) &&
                  json_array_size(listing->flows) < MAX_LISTED_FLOWS;
    if (!wanted) {
        return true;
    }
    uint32_t bucket =
        MvFlowHash_Bucket(MvFlowKey_Hash(entry->key), state->count - 1);
    if (MvBuckets_IsPrimary(listing->node, state, bucket)) {
        uint32_t address = entry->key.address;
        char *caller = g_strdup_printf(
            "%u.%u.%u.%u:%u", address >> 24, (address >> 16) & 255,
            (address >> 8) & 255, address & 255, entry->key.port);
        uint32_t idle =
            MvFlow_IdleMilliseconds(listing->now_ms, entry->seen_ms);
        json_array_append_new(
            listing->flows,
            json_pack("{s:s,s:i}", "caller", caller, "idle_ms", (int)idle));
        g_free(caller);
    }
    return true;
}

static json_t *
dump_one(const mv_node_t *node, const retirement_t *one, mv_time_t now)
{
    const mv_node_service_t *state = MvBuckets_Service(node, one->service);
    const mv_endpoint_t *endpoint =
        MvService_Endpoint(state->service, one->endpoint);
    remaining_t left = count_remaining(node, state, one->endpoint);
    listing_t listing = {.node = node,
                         .one = one,
                         .now_ms = MvNode_Milliseconds(now),
                         .flows = json_array()};
    uint32_t here = one->endpoint < state->load_slots
                        ? state->health[one->endpoint].recorded_here
                        : 0;
    if (here > 0) {
        MvFlowTable_Sweep(node->flows, list_flow, &listing);
    }
    return json_pack(
        "{s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:I,s:i,s:i,s:i,s:o}", "service",
        state->service->name, "endpoint", endpoint->name, "step",
        step_name(one->step), "late", (int)one->is_late, "decides",
        (int)MvBalance_IsDecider(node, state), "leaves_at",
        (json_int_t)endpoint->leaves_at, "ends_at",
        (json_int_t)endpoint->ends_at, "step_ms",
        (json_int_t)((now - one->since) / MV_MILLISECOND), "buckets",
        (int)left.buckets, "unnamed_buckets", (int)left.unnamed, "flows_here",
        (int)here, "flows", listing.flows);
}

json_t *
MvRetirement_Dump(const mv_node_t *node, mv_time_t now)
{
    json_t *array = json_array();
    MV_LIST_FOREACH(item, &node->retirements)
    {
        json_array_append_new(
            array,
            dump_one(node, MV_CONTAINER_OF(item, retirement_t, link), now));
    }
    return array;
}
