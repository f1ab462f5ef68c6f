/* Late flows wait for a free server, so that those in time go first.
 *
 * The load this answers: after an outage the callers of a second or more come
 * back within a fraction of one, next to the usual new ones.  Without an order
 * all of them queue at the servers and all are late. */
#include "forwarder_private.h"

/* Callers give an opening up after 1.4 s; the offer must come before. */
#define HOLD_LIMIT (1200 * MV_MILLISECOND)
/* A flow that waits so long may use any slot nearby. */
#define FULL_SHARE_AFTER (400 * MV_MILLISECOND)
/* With so many flows a slot all wait for slots, whatever the server. */
#define FULL_FACTOR 2
#define CHECK_INTERVAL (5 * MV_MILLISECOND)
/* An overload is over when no flow was held for so long. */
#define OVERLOAD_QUIET MV_SECOND
/* The mean of so many of the last flows tells how long one takes. */
#define SMOOTHING 64

void
MvHolding_Ended(mv_forwarder_t *forwarder, unsigned service,
                mv_time_t duration)
{
    mv_service_load_t *load = MvService_Load(forwarder, service);
    MvCounters_AddLatency(forwarder->counters, MV_LATENCY_FLOW, duration);
    if (load->duration == 0) {
        load->duration = duration;
        return;
    }
    load->duration += (duration - load->duration) / SMOOTHING;
}

/* Slots that this node may fill: its part, as all nodes near get like flows.
 * Others may be down or have none: with time a flow waits for less. */
static double
share_of(unsigned slots, unsigned nodes, mv_time_t queue_time)
{
    double equal = (double)slots / nodes;
    double grown = (double)slots * (double)queue_time / FULL_SHARE_AFTER;
    return MAX(equal, grown);
}

/**
 * struct near_load - Servers nearby that are not avoided.
 */
typedef struct near_load {
    unsigned slots;
    unsigned outstanding;
} near_load_t;

static near_load_t
near_load_of(const mv_forwarder_t *forwarder, unsigned service, mv_time_t now)
{
    const mv_table_t *table = forwarder->table;
    const mv_table_service_t *entry = &table->services[service];
    near_load_t load = {0};
    for (unsigned i = 0; i < entry->count; i++) {
        const mv_table_server_t *server = &table->servers[entry->servers[i]];
        const mv_standing_t *standing =
            forwarder->by_position[entry->servers[i]];
        if (server->is_local && !MvStanding_IsAvoided(standing, now)) {
            load.slots += server->server.slots;
            load.outstanding += standing->outstanding;
        }
    }
    return load;
}

static bool
has_room(const mv_forwarder_t *forwarder, unsigned service, mv_time_t now,
         mv_time_t queue_time)
{
    near_load_t load = near_load_of(forwarder, service, now);
    return load.slots == 0 ||
           load.outstanding <
               share_of(load.slots, forwarder->table->local_nodes, queue_time);
}

bool
MvService_IsFull(const mv_forwarder_t *forwarder, unsigned service,
                 mv_time_t now)
{
    near_load_t load = near_load_of(forwarder, service, now);
    return load.slots > 0 &&
           load.outstanding >=
               FULL_FACTOR *
                   share_of(load.slots, forwarder->table->local_nodes, 0);
}

bool
MvHolding_MustWait(mv_forwarder_t *forwarder, mv_time_t now,
                   const mv_table_route_t *route, unsigned service,
                   mv_time_t asked_at, mv_time_t queue_time)
{
    mv_time_t target = route->route.target_latency;
    mv_time_t waited = now - asked_at;
    if (target == 0 || waited == 0 || waited >= HOLD_LIMIT) {
        return false;
    }
    mv_time_t ready = waited + MvService_Load(forwarder, service)->duration;
    return ready > target && !has_room(forwarder, service, now, queue_time);
}

void
MvHolding_Began(mv_forwarder_t *forwarder, mv_time_t now)
{
    forwarder->held_at = now;
    forwarder->due_at = MIN(forwarder->due_at, now + CHECK_INTERVAL);
    forwarder->held_count++;
    if (forwarder->overload_began == 0) {
        forwarder->overload_began = now;
        forwarder->ops->event(forwarder->context, MV_EVENT_OVERLOAD_BEGAN, 0,
                              0);
    }
}

static void
note_overload_end(mv_forwarder_t *forwarder, mv_time_t now)
{
    if (forwarder->overload_began == 0 ||
        !MvList_IsEmpty(&forwarder->queue_time) ||
        now - forwarder->held_at < OVERLOAD_QUIET) {
        return;
    }
    forwarder->ops->event(forwarder->context, MV_EVENT_OVERLOAD_ENDED, 0,
                          forwarder->held_count);
    forwarder->overload_began = 0;
    forwarder->held_count = 0;
}

static const mv_table_route_t *
route_of(const mv_forwarder_t *forwarder, const mv_flow_t *flow)
{
    return MvTable_Route(forwarder->table, flow->name.address,
                         flow->name.port);
}

/* The most urgent, of those the one whose caller waits longest. */
static bool
goes_before(const mv_flow_t *flow, const mv_flow_t *other)
{
    if (flow->urgency != other->urgency) {
        return flow->urgency < other->urgency;
    }
    return flow->asked_at < other->asked_at;
}

static void
release(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    MvCounters_AddLatency(forwarder->counters, MV_LATENCY_HELD,
                          now - flow->began_at);
    flow->queue_time = now - flow->began_at;
    flow->began_at = now;
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_OPENING);
    if (!MvFlow_OfferAgain(forwarder, flow, now)) {
        MvFlow_Forget(forwarder, flow);
    }
}

/* What stays the same for all rounds; those that cannot wait are let go. */
static void
look_up_all(mv_forwarder_t *forwarder, mv_list_t *loads, mv_time_t now)
{
    MV_LIST_FOREACH(item, &forwarder->queue_time)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        flow->route = route_of(forwarder, flow);
        if (!flow->route || flow->route->route.share_count == 0 ||
            now - flow->asked_at >= HOLD_LIMIT) {
            release(forwarder, flow, now);
            continue;
        }
        flow->service = MvFlow_Service(flow->route, &flow->name);
        flow->load = MvService_Load(forwarder, flow->service);
        flow->load->is_full = false;
        MvList_Remove(&flow->load->link);
        MvList_Append(loads, &flow->load->link);
    }
}

static void
find_first_of_each(const mv_forwarder_t *forwarder, const mv_list_t *loads)
{
    MV_LIST_FOREACH(item, loads)
    {
        MV_CONTAINER_OF(item, mv_service_load_t, link)->first = NULL;
    }
    MV_LIST_FOREACH(item, &forwarder->queue_time)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        mv_service_load_t *load = flow->load;
        if (!load->is_full &&
            (!load->first || goes_before(flow, load->first))) {
            load->first = flow;
        }
    }
}

/* A service without room holds back its own flows only.
 * Return: whether one was released. */
static bool
release_first_of_each(mv_forwarder_t *forwarder, const mv_list_t *loads,
                      mv_time_t now)
{
    bool any = false;
    MV_LIST_FOREACH(item, loads)
    {
        mv_service_load_t *load =
            MV_CONTAINER_OF(item, mv_service_load_t, link);
        mv_flow_t *flow = load->first;
        load->is_full =
            !flow ||
            MvHolding_MustWait(forwarder, now, flow->route, flow->service,
                               flow->asked_at, now - flow->began_at);
        if (!load->is_full) {
            release(forwarder, flow, now);
            any = true;
        }
    }
    return any;
}

static void
release_due(mv_forwarder_t *forwarder, mv_time_t now)
{
    mv_list_t loads;
    bool any = true;
    MvList_Init(&loads);
    look_up_all(forwarder, &loads, now);
    while (any) {
        find_first_of_each(forwarder, &loads);
        any = release_first_of_each(forwarder, &loads, now);
    }
    while (!MvList_IsEmpty(&loads)) {
        MvList_Remove(loads.next);
    }
}

mv_time_t
MvHolding_Run(mv_forwarder_t *forwarder, mv_time_t now)
{
    if (!MvList_IsEmpty(&forwarder->queue_time)) {
        release_due(forwarder, now);
    }
    note_overload_end(forwarder, now);
    return MvList_IsEmpty(&forwarder->queue_time) ? MV_NEVER
                                                  : now + CHECK_INTERVAL;
}
