/* Retries of SYNs that were not answered, at another server. */
#include "forwarder_private.h"

/* Callers have given up a flow that has not opened this long after its SYN. */
#define MAX_OPENING_TIME (1500 * MV_MILLISECOND)
/* A SYN is not retried any more after this many further transmissions, by this
 * node or by the caller. */
#define MAX_RETRIES 2

static void
note_timeout(mv_forwarder_t *forwarder, const mv_flow_t *flow, mv_time_t now)
{
    uint32_t tag = flow->tried_tags[flow->syn_count - 1];
    mv_server_health_t *health = MvServerHealth_Find(forwarder, tag);
    if (health) {
        MvServerHealth_NoteTimeout(forwarder, health, now, flow->syn_sent_at);
    }
}

bool
MvFlow_SendStoredSyn(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    const mv_table_route_t *route =
        MvTable_Route(forwarder->table, flow->name.address, flow->name.port);
    if (!route || route->route.share_count == 0) {
        return false;
    }
    int position = MvPlacement_Choose(
        forwarder, now, MvFlow_ChooseService(route, &flow->name), flow);
    if (position < 0) {
        return false;
    }
    mv_flow_verdict_t verdict =
        MvFlow_SendSyn(forwarder, flow, now, (unsigned)position);
    if (flow->syn_count > 1) {
        MvCounters_Add(forwarder->counters, MV_COUNTER_SYNS_RETRIED, 1);
    }
    MvFlow_LogDecision(forwarder, flow, now,
                       flow->syn_count > 1 ? MV_EVENT_FLOW_SYN_RETRIED
                                           : MV_EVENT_FLOW_PLACED,
                       true);
    flow->last_seen_at = now;
    forwarder->ops->send(forwarder->context, &verdict, flow->syn,
                         flow->syn_length);
    return true;
}

/* Return: time of the next check, MV_NEVER when the entry was removed. */
static mv_time_t
check_syn(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    if (now - flow->began_at > MAX_OPENING_TIME) {
        MvFlow_LogDecision(forwarder, flow, now, MV_EVENT_FLOW_OPEN_TIMEOUT,
                           true);
        MvFlow_Remove(forwarder, flow);
        return MV_NEVER;
    }
    if (flow->syn_timeout == MV_NEVER) {
        return flow->began_at + MAX_OPENING_TIME;
    }
    if (now < flow->syn_sent_at + flow->syn_timeout) {
        return flow->syn_sent_at + flow->syn_timeout;
    }
    bool is_stable = MvForwarder_IsFabricStable(forwarder, now);
    if (is_stable) {
        note_timeout(forwarder, flow, now);
    }
    if (flow->syn_count > MAX_RETRIES || !is_stable) {
        /* It may be open through another node, or it is not retried any more:
         * it does not count as outstanding here. */
        MvFlow_Release(flow);
        flow->syn_timeout = MV_NEVER;
        return flow->began_at + MAX_OPENING_TIME;
    }
    mv_time_t timeout = flow->syn_timeout;
    MvFlow_SendStoredSyn(forwarder, flow, now);
    flow->syn_timeout = MAX(flow->syn_timeout, 2 * timeout);
    return now + flow->syn_timeout;
}

mv_time_t
MvSynRetries_Run(mv_forwarder_t *forwarder, mv_time_t now)
{
    mv_time_t next = MV_NEVER;
    MV_LIST_FOREACH(item, &forwarder->syn_sent)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        mv_time_t due = check_syn(forwarder, flow, now);
        next = MIN(next, due);
    }
    return next;
}
