/* Open flows of servers that have ended (ended.h): they are reset, so that
 * their callers retry within their own timeout.
 *
 * A caller whose request was acknowledged sends nothing while it waits.  Flows
 * are therefore reset as soon as their server is known to have ended, and not
 * only when their caller's next packet arrives. */
#include "forwarder_private.h"

/* Interval at which servers are checked. */
#define CHECK_INTERVAL (100 * MV_MILLISECOND)

bool
MvServer_HasEnded(const mv_forwarder_t *forwarder, unsigned position,
                  mv_time_t now)
{
    const mv_table_server_t *server = &forwarder->table->servers[position];
    return MvLiveness_HasEnded(
        &forwarder->health_by_position[position]->liveness, now,
        server->ended_at, server->is_replaced);
}

mv_flow_verdict_t
MvFlow_End(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    MvFlow_Release(flow);
    MvList_Remove(&flow->exchange.link);
    flow->refusal = MV_COUNTER_FLOWS_SERVER_ENDED;
    flow->last_seen_at = now;
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_REFUSED);
    MvFlow_LogDecision(forwarder, flow, now, MV_EVENT_FLOW_REFUSED, false);
    return (mv_flow_verdict_t){.kind = MV_FLOW_RESET,
                               .reason = MV_COUNTER_FLOWS_SERVER_ENDED};
}

mv_flow_verdict_t
MvFlow_HandleUnknownTag(mv_forwarder_t *forwarder, mv_time_t now, uint32_t tag)
{
    mv_flow_verdict_t verdict = {.reason = MV_COUNTER_PACKETS_UNKNOWN_TAG};
    if (g_hash_table_contains(forwarder->table->unnamed_tags,
                              GUINT_TO_POINTER(tag))) {
        verdict.reason = MV_COUNTER_PACKETS_FOREIGN_TAG;
        return verdict;
    }
    if (tag > 0 && MvUnknownTags_HasEnded(forwarder->unknown_tags, now, tag,
                                          forwarder->table->in_touch_since)) {
        verdict.kind = MV_FLOW_RESET;
        verdict.reason = MV_COUNTER_FLOWS_SERVER_ENDED;
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
        bool has_ended = MvServer_HasEnded(forwarder, i, now);
        has_new |= has_ended && !health->has_ended;
        health->has_ended = has_ended;
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
        const mv_server_health_t *health =
            MvServerHealth_Find(forwarder, flow->tag);
        if (health && health->has_ended) {
            reset_flow(forwarder, flow, now);
        }
    }
}

mv_time_t
MvEndedFlows_Run(mv_forwarder_t *forwarder, mv_time_t now)
{
    if (now >= forwarder->next_ended_check) {
        forwarder->next_ended_check = now + CHECK_INTERVAL;
        MvUnknownTags_Expire(forwarder->unknown_tags, now);
        if (update_ended_servers(forwarder, now)) {
            reset_flows(forwarder, now);
        }
    }
    return MvList_IsEmpty(&forwarder->open) ? MV_NEVER
                                            : forwarder->next_ended_check;
}
