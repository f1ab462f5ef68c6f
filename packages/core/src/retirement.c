/*
 * Removal of backend servers: one controller per server follows the steps from
 * announced to gone.
 *
 * A controller compares the configuration with the observed state (buckets and
 * flow entries) and logs each step.  It moves no buckets: buckets.c does that
 * from the same configuration.
 */
#include "node_private.h"

#define RECONCILE_INTERVAL (1 * MV_SECOND)
/* Time without buckets and flows after which a server counts as drained. Nodes
 * do not report at the same time, so a flow that changes its primary can be
 * missing from the reports for a short time. */
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
 * @empty_since: time since which no bucket or flow remains on it, or 0
 * @is_late: ends_at has passed and it is not drained; logged once
 * @is_configured: the configuration in force still has it
 */
typedef struct retirement {
    mv_list_t link;
    uint16_t service;
    uint16_t endpoint;
    step_t step;
    mv_time_t since;
    mv_time_t empty_since;
    bool is_late;
    bool is_configured;
} retirement_t;

/**
 * struct remaining - Buckets and flows that remain on a backend server.
 * @buckets: buckets whose new flows go to it
 * @unrecorded: buckets whose old flows go to it and are not all recorded yet
 * @flows: flow entries in the reports received
 * @complete: every live member has reported its flows
 */
typedef struct remaining {
    uint32_t buckets;
    uint32_t unrecorded;
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
find_retirement(const mv_node_t *node, uint16_t service, uint16_t endpoint)
{
    MV_LIST_FOREACH(item, &node->retirements)
    {
        retirement_t *retirement = MV_CONTAINER_OF(item, retirement_t, link);
        if (retirement->service == service &&
            retirement->endpoint == endpoint) {
            return retirement;
        }
    }
    return NULL;
}

/* Logged by the deciding node of the service only. */
static void
log_event(mv_node_t *node, const retirement_t *retirement,
          mv_log_event_t event)
{
    const mv_node_service_t *state =
        MvBuckets_FindService(node, retirement->service);
    if (state && MvBalance_IsDecider(node, state)) {
        node->effects->ops->event(node->effects, event, retirement->endpoint,
                                  retirement->service);
    }
}

static void
enter_step(mv_node_t *node, retirement_t *retirement, step_t step,
           mv_time_t now)
{
    static const mv_log_event_t events[] = {
        MV_EVENT_ENDPOINT_LEAVE_SCHEDULED, MV_EVENT_ENDPOINT_DRAINING,
        MV_EVENT_ENDPOINT_DRAINED, MV_EVENT_ENDPOINT_GONE};
    retirement->step = step;
    retirement->since = now;
    log_event(node, retirement, events[step]);
}

/* Configuration */

static void
track_endpoint(mv_node_t *node, const mv_service_t *service,
               const mv_endpoint_t *endpoint, mv_time_t now)
{
    if (endpoint->leaves_at == 0) {
        return;
    }
    retirement_t *retirement =
        find_retirement(node, service->id, endpoint->id);
    if (!retirement) {
        retirement = g_new0(retirement_t, 1);
        retirement->service = service->id;
        retirement->endpoint = endpoint->id;
        MvList_Append(&node->retirements, &retirement->link);
        enter_step(node, retirement, STEP_ANNOUNCED, now);
    }
    retirement->is_configured = true;
}

/* The operators have cancelled its retirement, or the evacuation of its data
 * centre. */
static bool
stays_in_service(const mv_deployment_t *deployment,
                 const retirement_t *retirement)
{
    for (uint16_t s = 0; s < deployment->service_count; s++) {
        const mv_service_t *service = &deployment->services[s];
        if (service->id == retirement->service) {
            return MvService_FindEndpoint(service, retirement->endpoint);
        }
    }
    return false;
}

static void
free_retirement(retirement_t *retirement)
{
    MvList_Remove(&retirement->link);
    g_free(retirement);
}

void
MvRetirement_ApplyConfig(mv_node_t *node, mv_time_t now)
{
    const mv_deployment_t *deployment = node->deployment;
    MV_LIST_FOREACH(item, &node->retirements)
    {
        MV_CONTAINER_OF(item, retirement_t, link)->is_configured = false;
    }
    for (uint16_t s = 0; s < deployment->service_count; s++) {
        const mv_service_t *service = &deployment->services[s];
        for (uint16_t e = 0; e < service->endpoint_count; e++) {
            track_endpoint(node, service, &service->endpoints[e], now);
        }
    }
    MV_LIST_FOREACH(item, &node->retirements)
    {
        retirement_t *retirement = MV_CONTAINER_OF(item, retirement_t, link);
        if (retirement->is_configured) {
            continue;
        }
        if (!stays_in_service(deployment, retirement)) {
            enter_step(node, retirement, STEP_GONE, now);
        }
        free_retirement(retirement);
    }
}

void
MvRetirement_Free(mv_node_t *node)
{
    MV_LIST_FOREACH(item, &node->retirements)
    {
        free_retirement(MV_CONTAINER_OF(item, retirement_t, link));
    }
}

/* Observed state */

static void
add_reported_flows(const mv_node_t *node, const mv_node_service_t *state,
                   uint16_t endpoint, remaining_t *remaining)
{
    remaining->flows = state->health[endpoint].recorded_here;
    remaining->complete = true;
    for (guint i = 0; i < node->members->len; i++) {
        const mv_member_t *member = g_ptr_array_index(node->members, i);
        const int32_t *counts = g_hash_table_lookup(
            state->reported_load, GUINT_TO_POINTER(member->id));
        if (counts) {
            remaining->flows +=
                (uint32_t)counts[state->counted_endpoints + endpoint];
        }
        else if (MvMembers_IsLive(member)) {
            remaining->complete = false;
        }
    }
}

static remaining_t
count_remaining(const mv_node_t *node, const mv_node_service_t *state,
                uint16_t endpoint)
{
    remaining_t remaining = {.complete = false};
    for (uint32_t b = 0; b < state->count; b++) {
        const mv_bucket_t *bucket = &state->buckets[b];
        bool moves = bucket->phase == MV_BUCKET_ANNOUNCED ||
                     bucket->phase == MV_BUCKET_MIXED;
        remaining.buckets += MvBucket_NewFlowEndpoint(bucket) == endpoint;
        remaining.unrecorded += moves && bucket->endpoint == endpoint;
    }
    if (endpoint < state->counted_endpoints) {
        add_reported_flows(node, state, endpoint, &remaining);
    }
    return remaining;
}

/* Reconciliation */

static bool
nothing_remains(const remaining_t *remaining)
{
    return remaining->complete && remaining->buckets == 0 &&
           remaining->unrecorded == 0 && remaining->flows == 0;
}

static void
reconcile(mv_node_t *node, retirement_t *retirement, mv_time_t now)
{
    const mv_node_service_t *state =
        MvBuckets_FindService(node, retirement->service);
    const mv_endpoint_t *endpoint =
        state ? MvService_FindEndpoint(state->config, retirement->endpoint)
              : NULL;
    if (!endpoint) {
        return;
    }
    mv_time_t wall = now + node->wall_offset;
    if (wall < endpoint->leaves_at * MV_SECOND) {
        if (retirement->step != STEP_ANNOUNCED) {
            enter_step(node, retirement, STEP_ANNOUNCED, now);
        }
        return;
    }
    remaining_t remaining = count_remaining(node, state, retirement->endpoint);
    retirement->empty_since = !nothing_remains(&remaining) ? 0
                              : retirement->empty_since == 0
                                  ? now
                                  : retirement->empty_since;
    bool drained = retirement->empty_since &&
                   now - retirement->empty_since >= DRAINED_AFTER;
    step_t step = drained ? STEP_DRAINED : STEP_DRAINING;
    if (retirement->step != step) {
        enter_step(node, retirement, step, now);
    }
    bool over = endpoint->ends_at && wall >= endpoint->ends_at * MV_SECOND;
    if (over && !drained && !retirement->is_late) {
        log_event(node, retirement, MV_EVENT_ENDPOINT_LATE);
    }
    retirement->is_late = over && !drained;
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
    const retirement_t *retirement;
    uint32_t now_ms;
    json_t *flows;
} listing_t;

static bool
list_flow(void *context, mv_flow_entry_t *entry)
{
    const listing_t *listing = context;
    const mv_node_service_t *state =
        MvBuckets_FindService(listing->node, entry->key.service);
    bool is_listed = state &&
                     entry->key.service == listing->retirement->service &&
                     entry->endpoint == listing->retirement->endpoint &&
                     !(entry->flags & MV_FLOW_CLOSED) &&
                     json_array_size(listing->flows) < MAX_LISTED_FLOWS;
    if (!is_listed) {
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
dump_retirement(const mv_node_t *node, const retirement_t *retirement,
                mv_time_t now)
{
    const mv_node_service_t *state =
        MvBuckets_FindService(node, retirement->service);
    const mv_endpoint_t *endpoint =
        MvService_FindEndpoint(state->config, retirement->endpoint);
    remaining_t remaining = count_remaining(node, state, retirement->endpoint);
    listing_t listing = {.node = node,
                         .retirement = retirement,
                         .now_ms = MvNode_Milliseconds(now),
                         .flows = json_array()};
    uint32_t flows_here =
        retirement->endpoint < state->counted_endpoints
            ? state->health[retirement->endpoint].recorded_here
            : 0;
    if (flows_here > 0) {
        MvFlowTable_Sweep(node->flows, list_flow, &listing);
    }
    return json_pack(
        "{s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:I,s:i,s:i,s:i,s:o}", "service",
        state->config->name, "endpoint", endpoint->name, "step",
        step_name(retirement->step), "late", (int)retirement->is_late,
        "decides", (int)MvBalance_IsDecider(node, state), "leaves_at",
        (json_int_t)endpoint->leaves_at, "ends_at",
        (json_int_t)endpoint->ends_at, "step_ms",
        (json_int_t)((now - retirement->since) / MV_MILLISECOND), "buckets",
        (int)remaining.buckets, "unnamed_buckets", (int)remaining.unrecorded,
        "flows_here", (int)flows_here, "flows", listing.flows);
}

json_t *
MvRetirement_Dump(const mv_node_t *node, mv_time_t now)
{
    json_t *array = json_array();
    MV_LIST_FOREACH(item, &node->retirements)
    {
        json_array_append_new(
            array, dump_retirement(
                       node, MV_CONTAINER_OF(item, retirement_t, link), now));
    }
    return array;
}
