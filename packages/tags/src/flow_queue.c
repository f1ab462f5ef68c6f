/* Queue of late flows: they wait for a free slot, so that flows which can
 * still meet their target latency go first.
 *
 * The failure this guards against: after an outage all callers of the last
 * second or longer retransmit their SYNs within a fraction of a second, in
 * addition to the usual new flows.  Without an order all of them queue at the
 * servers and all of their answers are late. */
#include "forwarder_private.h"

/* Maximum age of a queued SYN.  Callers give up after 1.4 s; the SYN must be
 * sent before. */
#define MAX_SYN_AGE (1200 * MV_MILLISECOND)
/* A flow that was queued this long may use any slot of the own data centre. */
#define FULL_SHARE_AFTER (400 * MV_MILLISECOND)
/* A service is full when this node has this many outstanding flows per slot of
 * its share: flows then wait for slots at every server. */
#define FULL_FACTOR 2
/* Interval at which queued flows are checked for a free slot. */
#define CHECK_INTERVAL (5 * MV_MILLISECOND)
/* The overload has ended when the queue is empty and no flow was added to it
 * for this long. */
#define OVERLOAD_END_DELAY MV_SECOND
/* Inverse weight of a flow in the moving average of the durations. */
#define SMOOTHING 64

void
MvFlowQueue_NoteFlowEnd(mv_forwarder_t *forwarder, unsigned service,
                        mv_time_t duration)
{
    mv_service_load_t *load = MvService_Load(forwarder, service);
    MvCounters_AddLatency(forwarder->counters, MV_LATENCY_FLOW, duration);
    if (load->mean_duration == 0) {
        load->mean_duration = duration;
        return;
    }
    load->mean_duration += (duration - load->mean_duration) / SMOOTHING;
}

/* Slots that this node may fill: an equal share, as all nodes of the data
 * centre get about the same number of flows.  Other nodes may be down or idle,
 * so that the share grows with @queue_time. */
static double
slot_share(unsigned slots, unsigned nodes, mv_time_t queue_time)
{
    double equal = (double)slots / nodes;
    double grown = (double)slots * (double)queue_time / FULL_SHARE_AFTER;
    return MAX(equal, grown);
}

/**
 * struct local_load - Load of the servers in the own data centre, without
 * those that are avoided.
 * @slots: their slots
 * @outstanding: flows that this node has outstanding at them
 */
typedef struct local_load {
    unsigned slots;
    unsigned outstanding;
} local_load_t;

static local_load_t
local_load_of(const mv_forwarder_t *forwarder, unsigned service, mv_time_t now)
{
    const mv_table_t *table = forwarder->table;
    const mv_table_service_t *entry = &table->services[service];
    local_load_t load = {0};
    for (unsigned i = 0; i < entry->count; i++) {
        const mv_table_server_t *server = &table->servers[entry->servers[i]];
        const mv_server_health_t *health =
            forwarder->health_by_position[entry->servers[i]];
        if (server->is_local && !MvServerHealth_IsAvoided(health, now)) {
            load.slots += server->server.slots;
            load.outstanding += health->outstanding;
        }
    }
    return load;
}

static bool
has_room(const mv_forwarder_t *forwarder, unsigned service, mv_time_t now,
         mv_time_t queue_time)
{
    local_load_t load = local_load_of(forwarder, service, now);
    return load.slots == 0 ||
           load.outstanding < slot_share(load.slots,
                                         forwarder->table->local_nodes,
                                         queue_time);
}

bool
MvService_IsFull(const mv_forwarder_t *forwarder, unsigned service,
                 mv_time_t now)
{
    local_load_t load = local_load_of(forwarder, service, now);
    return load.slots > 0 &&
           load.outstanding >=
               FULL_FACTOR *
                   slot_share(load.slots, forwarder->table->local_nodes, 0);
}

bool
MvFlowQueue_MustWait(mv_forwarder_t *forwarder, mv_time_t now,
                     const mv_table_route_t *route, unsigned service,
                     mv_time_t first_syn_at, mv_time_t queue_time)
{
    mv_time_t target = route->route.target_latency;
    mv_time_t syn_age = now - first_syn_at;
    if (target == 0 || syn_age == 0 || syn_age >= MAX_SYN_AGE) {
        return false;
    }
    mv_time_t answer_age =
        syn_age + MvService_Load(forwarder, service)->mean_duration;
    return answer_age > target &&
           !has_room(forwarder, service, now, queue_time);
}

void
MvFlowQueue_NoteAdded(mv_forwarder_t *forwarder, mv_time_t now)
{
    forwarder->last_queued_at = now;
    forwarder->due_at = MIN(forwarder->due_at, now + CHECK_INTERVAL);
    forwarder->queued_count++;
    if (forwarder->queueing_since == 0) {
        forwarder->queueing_since = now;
        forwarder->ops->event(forwarder->context, MV_EVENT_OVERLOAD_BEGAN, 0,
                              0);
    }
}

static void
note_overload_end(mv_forwarder_t *forwarder, mv_time_t now)
{
    if (forwarder->queueing_since == 0 ||
        !MvList_IsEmpty(&forwarder->queued) ||
        now - forwarder->last_queued_at < OVERLOAD_END_DELAY) {
        return;
    }
    forwarder->ops->event(forwarder->context, MV_EVENT_OVERLOAD_ENDED, 0,
                          forwarder->queued_count);
    forwarder->queueing_since = 0;
    forwarder->queued_count = 0;
}

static const mv_table_route_t *
route_of(const mv_forwarder_t *forwarder, const mv_flow_t *flow)
{
    return MvTable_Route(forwarder->table, flow->name.address,
                         flow->name.port);
}

/* The most urgent flow goes first; among flows of the same urgency, the one
 * whose caller has waited longest. */
static bool
goes_before(const mv_flow_t *flow, const mv_flow_t *other)
{
    if (flow->urgency != other->urgency) {
        return flow->urgency < other->urgency;
    }
    return flow->first_syn_at < other->first_syn_at;
}

/* Sends the SYN of a queued flow, or removes the flow when its route or a
 * usable server is missing. */
static void
dequeue(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    MvCounters_AddLatency(forwarder->counters, MV_LATENCY_QUEUE_TIME,
                          now - flow->began_at);
    flow->queue_time = now - flow->began_at;
    flow->began_at = now;
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_SYN_SENT);
    if (!MvFlow_SendQueuedSyn(forwarder, flow, now)) {
        MvFlow_Remove(forwarder, flow);
    }
}

/* Sets the fields of queued flows that stay the same during dequeue_ready(),
 * and lists the loads of their services in @loads.  Dequeues flows that have
 * no route or cannot wait any longer. */
static void
prepare_queue(mv_forwarder_t *forwarder, mv_list_t *loads, mv_time_t now)
{
    MV_LIST_FOREACH(item, &forwarder->queued)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        flow->route = route_of(forwarder, flow);
        if (!flow->route || flow->route->route.share_count == 0 ||
            now - flow->first_syn_at >= MAX_SYN_AGE) {
            dequeue(forwarder, flow, now);
            continue;
        }
        flow->service = MvFlow_ChooseService(flow->route, &flow->name);
        flow->load = MvService_Load(forwarder, flow->service);
        flow->load->must_wait = false;
        MvList_Remove(&flow->load->link);
        MvList_Append(loads, &flow->load->link);
    }
}

static void
choose_candidates(const mv_forwarder_t *forwarder, const mv_list_t *loads,
                  mv_time_t now)
{
    MV_LIST_FOREACH(item, loads)
    {
        MV_CONTAINER_OF(item, mv_service_load_t, link)->candidate = NULL;
    }
    MV_LIST_FOREACH(item, &forwarder->queued)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        mv_service_load_t *load = flow->load;
        if (!load->must_wait && now <= flow->offer_until &&
            (!load->candidate || goes_before(flow, load->candidate))) {
            load->candidate = flow;
        }
    }
}

/* A service without a free slot holds back its own flows only.
 * Return: whether a flow was dequeued. */
static bool
dequeue_candidates(mv_forwarder_t *forwarder, const mv_list_t *loads,
                   mv_time_t now)
{
    bool dequeued = false;
    MV_LIST_FOREACH(item, loads)
    {
        mv_service_load_t *load =
            MV_CONTAINER_OF(item, mv_service_load_t, link);
        mv_flow_t *flow = load->candidate;
        load->must_wait =
            !flow ||
            MvFlowQueue_MustWait(forwarder, now, flow->route, flow->service,
                                 flow->first_syn_at, now - flow->began_at);
        if (!load->must_wait) {
            dequeue(forwarder, flow, now);
            dequeued = true;
        }
    }
    return dequeued;
}

static void
dequeue_ready(mv_forwarder_t *forwarder, mv_time_t now)
{
    mv_list_t loads;
    bool dequeued = true;
    MvList_Init(&loads);
    prepare_queue(forwarder, &loads, now);
    while (dequeued) {
        choose_candidates(forwarder, &loads, now);
        dequeued = dequeue_candidates(forwarder, &loads, now);
    }
    while (!MvList_IsEmpty(&loads)) {
        MvList_Remove(loads.next);
    }
}

mv_time_t
MvFlowQueue_Run(mv_forwarder_t *forwarder, mv_time_t now)
{
    if (!MvList_IsEmpty(&forwarder->queued)) {
        dequeue_ready(forwarder, now);
    }
    note_overload_end(forwarder, now);
    return MvList_IsEmpty(&forwarder->queued) ? MV_NEVER
                                              : now + CHECK_INTERVAL;
}
