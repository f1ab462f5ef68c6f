/* Opening packets that nothing followed: another server gets them. */
#include "forwarder_private.h"

/* What is still open after this has been given up by its caller. */
#define OPENING_LIMIT (1500 * MV_MILLISECOND)
/* Opening packets that this node sends of its own for one flow. */
#define MAX_RESENT 2

static void
judge_offer(mv_forwarder_t *forwarder, const mv_flow_t *flow, mv_time_t now)
{
    uint32_t tag = flow->offers[flow->offer_count - 1];
    mv_standing_t *standing = MvStanding_Find(forwarder, tag);
    if (standing) {
        MvStanding_Silent(forwarder, standing, now, flow->offered_at);
    }
}

bool
MvFlow_OfferAgain(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    const mv_table_route_t *route =
        MvTable_Route(forwarder->table, flow->name.address, flow->name.port);
    if (!route || route->route.share_count == 0) {
        return false;
    }
    int position = MvPlacement_Choose(
        forwarder, now, MvFlow_Service(route, &flow->name), flow);
    if (position < 0) {
        return false;
    }
    mv_flow_verdict_t verdict =
        MvFlow_Offer(forwarder, flow, now, (unsigned)position);
    if (flow->offer_count > 1) {
        MvCounters_Add(forwarder->counters, MV_COUNTER_OPENINGS_RESENT, 1);
    }
    MvFlow_Tell(forwarder, flow, now,
                flow->offer_count > 1 ? MV_EVENT_FLOW_RESENT
                                      : MV_EVENT_FLOW_PLACED,
                true);
    flow->seen_at = now;
    forwarder->ops->send(forwarder->context, &verdict, flow->opening,
                         flow->opening_length);
    return true;
}

/* Return: when the flow needs attention next, MV_NEVER when it is gone. */
static mv_time_t
attend(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    if (now - flow->began_at > OPENING_LIMIT) {
        MvFlow_Tell(forwarder, flow, now, MV_EVENT_FLOW_LAPSED, true);
        MvFlow_Forget(forwarder, flow);
        return MV_NEVER;
    }
    if (flow->wait == MV_NEVER) {
        return flow->began_at + OPENING_LIMIT;
    }
    if (now < flow->offered_at + flow->wait) {
        return flow->offered_at + flow->wait;
    }
    bool is_settled = MvForwarder_IsSettled(forwarder, now);
    if (is_settled) {
        judge_offer(forwarder, flow, now);
    }
    if (flow->offer_count > MAX_RESENT || !is_settled) {
        /* It is open at another node, or given up: not outstanding here. */
        MvFlow_Release(flow);
        flow->wait = MV_NEVER;
        return flow->began_at + OPENING_LIMIT;
    }
    mv_time_t wait = flow->wait;
    MvFlow_OfferAgain(forwarder, flow, now);
    flow->wait = MAX(flow->wait, 2 * wait);
    return now + flow->wait;
}

mv_time_t
MvOpenings_Run(mv_forwarder_t *forwarder, mv_time_t now)
{
    mv_time_t next = MV_NEVER;
    MV_LIST_FOREACH(item, &forwarder->opening)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        mv_time_t due = attend(forwarder, flow, now);
        next = MIN(next, due);
    }
    return next;
}
