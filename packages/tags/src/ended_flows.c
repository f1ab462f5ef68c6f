/* Open flows of servers that have ended (ended.h): they are reset, so that
 * their callers retry within their own timeout.
 *
 * A caller whose request was acknowledged sends nothing while it waits.  Flows
 * are therefore reset as soon as their server is known to have ended, and not
 * only when their caller's next packet arrives. */
#include "forwarder_private.h"

/* Interval at which servers are checked. */
#define CHECK_INTERVAL (100 * MV_MILLISECOND)
/* A node in touch knows of each change within this time
 * (docs/design/feed.md). */
#define MAX_KNOWLEDGE_AGE (3 * MV_SECOND)

/* Whether this node knows the store as well as a node in touch does.  One that
 * stood still, or is catching up, does not: what it lacks may say that a
 * server has returned. */
static bool
is_informed(const mv_forwarder_t *forwarder, mv_time_t now)
{
    return forwarder->complete_at > 0 &&
           now - forwarder->complete_at <= MAX_KNOWLEDGE_AGE;
}

static bool
has_ended(const mv_forwarder_t *forwarder, unsigned position, mv_time_t now)
{
    const mv_table_server_t *server = &forwarder->table->servers[position];
    /* An entry that has gone may be back in a later change; a later server at
     * the address stays later. */
    bool is_proven =
        server->is_replaced || forwarder->complete_at >= server->learned_at;
    return is_informed(forwarder, now) && is_proven &&
           MvLiveness_HasEnded(
               &forwarder->health_by_position[position]->liveness, now,
               server->ended_at, server->is_replaced);
}

/* A server whose entry has gone may have started again under its id since, and
 * not have announced that yet: it may have the flows that began lately. */
bool
MvFlow_HasLostServer(const mv_forwarder_t *forwarder, const mv_flow_t *flow,
                     unsigned position, mv_time_t now)
{
    bool is_old =
        forwarder->complete_at - flow->began_at >= MV_ANNOUNCEMENT_DELAY;
    return (is_old || forwarder->table->servers[position].is_replaced) &&
           has_ended(forwarder, position, now);
}

mv_flow_verdict_t
MvFlow_End(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    MvFlow_Release(flow);
    MvList_Remove(&flow->exchange.link);
    flow->refusal = MV_COUNTER_FLOWS_SERVER_ENDED;
    flow->last_seen_at = now;
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_REFUSED);
    MvFlow_LogDecision(forwarder, flow, now, MV_EVENT_FLOW_REFUSED, true);
    return (mv_flow_verdict_t){.kind = MV_FLOW_RESET,
                               .reason = MV_COUNTER_FLOWS_SERVER_ENDED};
}

mv_flow_verdict_t
MvFlow_HandleUnknownTag(mv_forwarder_t *forwarder, mv_time_t now,
                        const mv_flow_name_t *name, uint32_t tag)
{
    mv_flow_verdict_t verdict = {.reason = MV_COUNTER_PACKETS_UNKNOWN_TAG};
    if (g_hash_table_contains(forwarder->table->unnamed_tags,
                              GUINT_TO_POINTER(tag))) {
        verdict.reason = MV_COUNTER_PACKETS_FOREIGN_TAG;
        return verdict;
    }
    if (tag > 0 &&
        MvUnknownFlows_IsProven(forwarder->unknown_flows, now, name, tag,
                                forwarder->complete_at) &&
        is_informed(forwarder, now)) {
        verdict.kind = MV_FLOW_RESET;
        verdict.reason = MV_COUNTER_FLOWS_UNKNOWN_SERVER;
    }
    return verdict;
}

/* Return: whether a server has been found to have ended since the last call.
 */
static bool
update_ended_servers(mv_forwarder_t *forwarder, mv_time_t now)
{
    bool has_new = false;
    for (unsigned i = 0; i < forwarder->table->server_count; i++) {
        mv_server_health_t *health = forwarder->health_by_position[i];
        bool is_ended = has_ended(forwarder, i, now);
        has_new |= is_ended && !health->has_ended;
        health->has_ended = is_ended;
    }
    return has_new;
}

static void
reset_flow(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    const mv_flow_packet_t packet = {.caller = flow->name.caller,
                                     .caller_port = flow->name.caller_port,
                                     .address = flow->name.address,
                                     .port = flow->name.port,
                                     .acknowledged = flow->acknowledged};
    MvCounters_Add(forwarder->counters, MV_COUNTER_FLOWS_SERVER_ENDED, 1);
    MvFlow_End(forwarder, flow, now);
    forwarder->ops->reset(forwarder->context, &packet, MV_NEVER);
}

static void
reset_flows(mv_forwarder_t *forwarder, mv_time_t now)
{
    MV_LIST_FOREACH(item, &forwarder->open)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        int position = MvTable_Server(forwarder->table, flow->tag);
        if (position >= 0 &&
            MvFlow_HasLostServer(forwarder, flow, (unsigned)position, now)) {
            reset_flow(forwarder, flow, now);
        }
    }
}

mv_time_t
MvEndedFlows_Run(mv_forwarder_t *forwarder, mv_time_t now)
{
    if (now >= forwarder->next_ended_check) {
        forwarder->next_ended_check = now + CHECK_INTERVAL;
        MvUnknownFlows_Expire(forwarder->unknown_flows, now);
        if (update_ended_servers(forwarder, now)) {
            reset_flows(forwarder, now);
        }
    }
    return MvList_IsEmpty(&forwarder->open) ? MV_NEVER
                                            : forwarder->next_ended_check;
}
