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
#define CHECK_INTERVAL (5 * MV_MILLISECOND)
/* An overload is over when no flow was held for so long. */
#define OVERLOAD_QUIET MV_SECOND
/* The mean of so many of the last flows tells how long one takes. */
#define SMOOTHING 64

static mv_service_load_t *
load_of(mv_forwarder_t *forwarder, unsigned service)
{
    const char *name = forwarder->table->services[service].name;
    mv_service_load_t *load = g_hash_table_lookup(forwarder->services, name);
    if (!load) {
        load = g_new0(mv_service_load_t, 1);
        g_hash_table_insert(forwarder->services, g_strdup(name), load);
    }
    return load;
}

void
MvHolding_Ended(mv_forwarder_t *forwarder, unsigned service,
                mv_time_t duration)
{
    mv_service_load_t *load = load_of(forwarder, service);
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
share_of(unsigned slots, unsigned nodes, mv_time_t held)
{
    double equal = (double)slots / nodes;
    double grown = (double)slots * (double)held / FULL_SHARE_AFTER;
    return MAX(equal, grown);
}

static bool
has_room(const mv_forwarder_t *forwarder, unsigned service, mv_time_t now,
         mv_time_t held)
{
    const mv_table_t *table = forwarder->table;
    const mv_table_service_t *entry = &table->services[service];
    unsigned slots = 0;
    unsigned outstanding = 0;
    for (unsigned i = 0; i < entry->count; i++) {
        const mv_table_server_t *server = &table->servers[entry->servers[i]];
        const mv_standing_t *standing =
            forwarder->by_position[entry->servers[i]];
        if (server->is_near && !MvStanding_IsSilent(standing, now)) {
            slots += server->server.slots;
            outstanding += standing->outstanding;
        }
    }
    return slots == 0 ||
           outstanding < share_of(slots, table->near_nodes, held);
}

bool
MvHolding_MustWait(mv_forwarder_t *forwarder, mv_time_t now,
                   const mv_table_route_t *route, unsigned service,
                   mv_time_t asked_at, mv_time_t held)
{
    mv_time_t target = route->route.target_latency;
    mv_time_t waited = now - asked_at;
    if (target == 0 || waited == 0 || waited >= HOLD_LIMIT) {
        return false;
    }
    mv_time_t ready = waited + load_of(forwarder, service)->duration;
    return ready > target && !has_room(forwarder, service, now, held);
}

void
MvHolding_Began(mv_forwarder_t *forwarder, mv_time_t now)
{
    forwarder->held_at = now;
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
    if (forwarder->overload_began == 0 || !MvList_IsEmpty(&forwarder->held) ||
        now - forwarder->held_at < OVERLOAD_QUIET) {
        return;
    }
    forwarder->ops->event(forwarder->context, MV_EVENT_OVERLOAD_ENDED, 0,
                          forwarder->held_count);
    forwarder->overload_began = 0;
    forwarder->held_count = 0;
}

/* The most urgent, of those the one whose caller waits longest. */
static mv_flow_t *
first_held(const mv_forwarder_t *forwarder)
{
    mv_flow_t *best = NULL;
    MV_LIST_FOREACH(item, &forwarder->held)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        if (!best || flow->urgency < best->urgency ||
            (flow->urgency == best->urgency &&
             flow->asked_at < best->asked_at)) {
            best = flow;
        }
    }
    return best;
}

static void
release(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    MvCounters_AddLatency(forwarder->counters, MV_LATENCY_HELD,
                          now - flow->began_at);
    flow->began_at = now;
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_OPENING);
    if (!MvFlow_OfferAgain(forwarder, flow, now)) {
        MvFlow_Forget(forwarder, flow);
    }
}

static bool
is_due(mv_forwarder_t *forwarder, const mv_flow_t *flow, mv_time_t now)
{
    const mv_table_route_t *route =
        MvTable_Route(forwarder->table, flow->name.address, flow->name.port);
    return !route || !MvHolding_MustWait(forwarder, now, route,
                                         MvFlow_Service(route, &flow->name),
                                         flow->asked_at, now - flow->began_at);
}

mv_time_t
MvHolding_Run(mv_forwarder_t *forwarder, mv_time_t now)
{
    mv_flow_t *flow = first_held(forwarder);
    while (flow && is_due(forwarder, flow, now)) {
        release(forwarder, flow, now);
        flow = first_held(forwarder);
    }
    MV_LIST_FOREACH(item, &forwarder->held)
    {
        mv_flow_t *other = MV_CONTAINER_OF(item, mv_flow_t, link);
        if (now - other->asked_at >= HOLD_LIMIT) {
            release(forwarder, other, now);
        }
    }
    note_overload_end(forwarder, now);
    return MvList_IsEmpty(&forwarder->held) ? MV_NEVER : now + CHECK_INTERVAL;
}
