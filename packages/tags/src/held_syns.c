/* SYNs that another node may have sent to a server.
 *
 * The failure this guards against: a caller retransmits its SYN while the
 * fabric redistributes flows.  The first SYN went through another node to a
 * server whose answer was lost.  Were the retransmission sent to a second
 * server, later nodes could not tell at which of the two the flow is open
 * (&struct mv_flow).  A server repeats its answer when callers retransmit
 * their SYN: when there is such a server, the caller's next packet arrives
 * within the usual time of an opening. */
#include "forwarder_private.h"

bool
MvHeldSyns_MustHold(const mv_forwarder_t *forwarder, mv_time_t now,
                    const mv_flow_packet_t *packet)
{
    return packet->retransmission > 0 &&
           !MvForwarder_IsFabricStable(forwarder, now);
}

/* Return: the usual time of an opening in the slowest data centre. */
static mv_time_t
opening_time(const mv_forwarder_t *forwarder)
{
    GHashTableIter iter;
    gpointer value = NULL;
    mv_time_t longest = 0;
    g_hash_table_iter_init(&iter, forwarder->data_centre_health);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        longest = MAX(longest, MvDataCentreHealth_SynTimeout(value));
    }
    return longest;
}

void
MvHeldSyns_Add(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    flow->held_until = now + opening_time(forwarder);
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_HELD);
    forwarder->due_at = MIN(forwarder->due_at, flow->held_until);
}

static void
release(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    const mv_table_route_t *route =
        MvTable_Route(forwarder->table, flow->name.address, flow->name.port);
    if (!route || route->route.share_count == 0) {
        MvFlow_Remove(forwarder, flow);
        return;
    }
    unsigned service = MvFlow_ChooseService(route, &flow->name);
    if (MvFlowQueue_MustWait(forwarder, now, route, service,
                             flow->first_syn_at, 0)) {
        MvFlow_SetPhase(forwarder, flow, MV_FLOW_QUEUED);
        MvFlowQueue_NoteAdded(forwarder, now);
        return;
    }
    flow->began_at = now;
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_SYN_SENT);
    if (!MvFlow_SendQueuedSyn(forwarder, flow, now)) {
        MvFlow_Remove(forwarder, flow);
    }
}

mv_time_t
MvHeldSyns_Run(mv_forwarder_t *forwarder, mv_time_t now)
{
    mv_time_t next = MV_NEVER;
    MV_LIST_FOREACH(item, &forwarder->held)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        if (now >= flow->held_until) {
            release(forwarder, flow, now);
        }
        else {
            next = MIN(next, flow->held_until);
        }
    }
    return next;
}
