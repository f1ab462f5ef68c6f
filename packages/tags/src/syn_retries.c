/* SYNs that were not answered in time: they are sent again to the same server,
 * and their flow is refused when that does not help.
 *
 * A lost packet is the usual cause, and the repeated SYN makes the server
 * answer again at once.  A flow is never offered to a second server (see
 * &struct mv_flow). */
#include "forwarder_private.h"

/* Callers have given up a flow that has not opened this long after its SYN. */
#define MAX_OPENING_TIME (1500 * MV_MILLISECOND)
/* This node sends a SYN again this many times at most. */
#define MAX_REPEATS 2
/* A server that has not answered this many SYNs of a flow in time does not
 * answer it because of one lost packet. */
#define UNRESPONSIVE_AFTER_TIMEOUTS 2

/* Whether the configuration in force gives the flow's route the service of the
 * server.  A node that had an older one may have offered the flow there and
 * told this node. */
static bool
is_service_named(const mv_forwarder_t *forwarder, const mv_flow_t *flow,
                 int position)
{
    const mv_table_route_t *route =
        MvTable_Route(forwarder->table, flow->name.address, flow->name.port);
    return route && position >= 0 &&
           MvTable_Names(route, forwarder->table->servers[position].service);
}

/* Whether a SYN may still go to the server: it neither leaves nor is gone, and
 * its service is the flow's. */
static bool
takes_syns(const mv_forwarder_t *forwarder, const mv_flow_t *flow,
           int position, mv_time_t now)
{
    if (!is_service_named(forwarder, flow, position)) {
        return false;
    }
    const mv_table_server_t *server = &forwarder->table->servers[position];
    return server->takes_new && now < server->usable_until;
}

static void
note_timeout(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    int position = MvTable_Server(forwarder->table, flow->tag);
    bool is_first = flow->syn_timeouts++ == 0;
    /* A server that has left is silent, which says nothing about the others.
     */
    if (!takes_syns(forwarder, flow, position, now) ||
        !MvForwarder_IsFabricStable(forwarder, now)) {
        return;
    }
    unsigned service = forwarder->table->servers[position].service;
    MvService_Load(forwarder, service)->unanswered_flows += is_first;
    MvServerHealth_NoteTimeout(forwarder,
                               forwarder->health_by_position[position], now,
                               flow->syn_sent_at);
}

/* Whether the caller's latest SYN arrived here, as far as this node can tell,
 * see @offer_until of &struct mv_flow. */
static bool
has_latest_syn(const mv_flow_t *flow, mv_time_t now)
{
    return now <= flow->offer_until;
}

/* Whether this node may send the caller's SYN: a copy is the packet, byte for
 * byte, or is not sent. */
static bool
may_send_syn(const mv_flow_t *flow, mv_time_t now)
{
    return has_latest_syn(flow, now) && flow->syn_length > 0;
}

static mv_flow_verdict_t
send_again(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
           unsigned position)
{
    mv_flow_verdict_t verdict = MvFlow_SendSyn(forwarder, flow, now, position);
    MvFlow_LogDecision(forwarder, flow, now, MV_EVENT_FLOW_SYN_RETRIED, true);
    return verdict;
}

static void
send_stored_syn(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
                mv_flow_verdict_t verdict)
{
    flow->last_seen_at = now;
    verdict.expires_at = flow->offer_until;
    forwarder->ops->send(forwarder->context, &verdict, MvFlow_Syn(flow),
                         flow->syn_length);
}

void
MvFlow_SendOwnedSyn(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    int position = MvTable_Server(forwarder->table, flow->tag);
    if (may_send_syn(flow, now) &&
        takes_syns(forwarder, flow, position, now)) {
        mv_flow_verdict_t verdict =
            send_again(forwarder, flow, now, (unsigned)position);
        send_stored_syn(forwarder, flow, now, verdict);
    }
}

static mv_flow_verdict_t
refuse(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
       mv_counter_id_t reason)
{
    flow->refusal = reason;
    MvFlow_Release(flow);
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_REFUSED);
    MvFlow_LogDecision(forwarder, flow, now, MV_EVENT_FLOW_REFUSED, true);
    flow->last_seen_at = now;
    return (mv_flow_verdict_t){.kind = MV_FLOW_RESET, .reason = reason};
}

/* Refuses a flow whose SYN is stored, with a reset to its caller. */
static void
refuse_stored(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
              mv_counter_id_t reason)
{
    const mv_flow_packet_t packet = {.caller = flow->name.caller,
                                     .caller_port = flow->name.caller_port,
                                     .address = flow->name.address,
                                     .port = flow->name.port,
                                     .has_syn = true};
    MvCounters_Add(forwarder->counters, reason, 1);
    refuse(forwarder, flow, now, reason);
    forwarder->ops->reset(forwarder->context, &packet, flow->offer_until);
}

bool
MvFlow_SendQueuedSyn(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    const mv_table_route_t *route =
        MvTable_Route(forwarder->table, flow->name.address, flow->name.port);
    if (!route || route->route.share_count == 0 || !may_send_syn(flow, now)) {
        return false;
    }
    unsigned service = MvFlow_ChooseService(route, &flow->name);
    int position = MvPlacement_Choose(forwarder, now, service, &flow->name);
    if (position < 0 && MvService_IsEvacuated(forwarder, service)) {
        refuse_stored(forwarder, flow, now, MV_COUNTER_FLOWS_EVACUATED);
        return true;
    }
    if (position < 0) {
        return false;
    }
    mv_flow_verdict_t verdict =
        MvFlow_SendSyn(forwarder, flow, now, (unsigned)position);
    MvFlow_LogDecision(forwarder, flow, now, MV_EVENT_FLOW_PLACED, true);
    send_stored_syn(forwarder, flow, now, verdict);
    return true;
}

/* Whether a new flow would go to another server.
 * @must_answer: only to one that is expected to answer: a caller has few
 *               retries, and must not lose them while all servers are silent
 */
static bool
has_alternative(mv_forwarder_t *forwarder, const mv_flow_t *flow,
                mv_time_t now, unsigned service, bool must_answer)
{
    int position = MvPlacement_Choose(forwarder, now, service, &flow->name);
    if (position < 0) {
        return false;
    }
    const mv_server_health_t *health = forwarder->health_by_position[position];
    bool may_answer = !MvServerHealth_IsAvoided(health, now) &&
                      !MvService_IsSilent(forwarder, service);
    return health->tag != flow->tag && (may_answer || !must_answer);
}

/* Whether a flow that this node offered can be placed anew: its server has
 * ended before it answered, so that the new offer is the only one that can be
 * answered (&struct mv_flow).  Its caller need not use up a retry, of which it
 * has few. */
static bool
needs_successor(const mv_forwarder_t *forwarder, const mv_flow_t *flow)
{
    int position = MvTable_Server(forwarder->table, flow->tag);
    return flow->syn_count > 0 && position >= 0 &&
           forwarder->table->servers[position].is_replaced;
}

static void
forget_offer(mv_flow_t *flow)
{
    flow->is_contested = true; /* other nodes may have been told of it */
    flow->syn_timeouts = 0;
    flow->syn_count = 0;
}

mv_flow_verdict_t
MvFlow_RepeatSyn(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
                 unsigned service)
{
    int position = MvTable_Server(forwarder->table, flow->tag);
    int successor =
        needs_successor(forwarder, flow)
            ? MvPlacement_Choose(forwarder, now, service, &flow->name)
            : -1;
    if (successor >= 0) {
        forget_offer(flow);
        return send_again(forwarder, flow, now, (unsigned)successor);
    }
    if (flow->syn_timeout != MV_NEVER &&
        now >= flow->syn_sent_at + flow->syn_timeout) {
        note_timeout(forwarder, flow, now);
    }
    /* It may have opened there, so that its caller must not get a reset. */
    if (position >= 0 && !is_service_named(forwarder, flow, position)) {
        return (mv_flow_verdict_t){.reason = MV_COUNTER_PACKETS_NO_SERVICE};
    }
    bool takes = takes_syns(forwarder, flow, position, now);
    bool is_unresponsive =
        !takes || flow->syn_timeouts >= UNRESPONSIVE_AFTER_TIMEOUTS;
    /* A server that takes no SYNs cannot answer: any other one is better. */
    if (is_unresponsive &&
        has_alternative(forwarder, flow, now, service, takes)) {
        return refuse(forwarder, flow, now, MV_COUNTER_FLOWS_UNANSWERED);
    }
    if (!takes && position >= 0 &&
        forwarder->table->servers[position].is_evacuated) {
        return refuse(forwarder, flow, now, MV_COUNTER_FLOWS_EVACUATED);
    }
    if (!takes) {
        return (mv_flow_verdict_t){.reason = MV_COUNTER_PACKETS_NO_ENDPOINT};
    }
    return send_again(forwarder, flow, now, (unsigned)position);
}

/* Sends the SYN again, or gives it up, when it was not answered in time.
 * Return: time of the next check, MV_NEVER when the entry was removed. */
static mv_time_t
check_syn(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    if (now - flow->began_at > MAX_OPENING_TIME) {
        MvFlow_LogDecision(forwarder, flow, now, MV_EVENT_FLOW_OPEN_TIMEOUT,
                           true);
        MvFlow_Remove(forwarder, flow);
        return MV_NEVER;
    }
    if (needs_successor(forwarder, flow) && may_send_syn(flow, now)) {
        forget_offer(flow);
        if (MvFlow_SendQueuedSyn(forwarder, flow, now)) {
            return now + flow->syn_timeout;
        }
    }
    mv_time_t next_offer = MvOffers_Check(forwarder, flow, now);
    if (flow->syn_timeout == MV_NEVER) {
        return MIN(next_offer, flow->began_at + MAX_OPENING_TIME);
    }
    if (now < flow->syn_sent_at + flow->syn_timeout) {
        return MIN(next_offer, flow->syn_sent_at + flow->syn_timeout);
    }
    if (has_latest_syn(flow, now)) {
        note_timeout(forwarder, flow, now);
    }
    int position = MvTable_Server(forwarder->table, flow->tag);
    if (flow->syn_count > MAX_REPEATS || !may_send_syn(flow, now) ||
        !takes_syns(forwarder, flow, position, now) ||
        !MvForwarder_IsFabricStable(forwarder, now)) {
        /* It may be open through another node, or it is not sent any more: it
         * does not count as outstanding here. */
        MvFlow_Release(flow);
        flow->syn_timeout = MV_NEVER;
        return flow->began_at + MAX_OPENING_TIME;
    }
    mv_time_t timeout = flow->syn_timeout;
    mv_flow_verdict_t verdict =
        send_again(forwarder, flow, now, (unsigned)position);
    MvCounters_Add(forwarder->counters, MV_COUNTER_SYNS_RETRIED, 1);
    send_stored_syn(forwarder, flow, now, verdict);
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
    MvOffers_Flush(forwarder);
    return next;
}
