/* Packets and flows, on one traffic thread. */
#include "forwarder_private.h"

#include <string.h>

#define DEFAULT_IDLE (15 * MV_SECOND)
/* An answer that takes longer has hardly still a slot. */
#define OUTSTANDING_LIMIT (10 * MV_SECOND)
/* Late packets of a closed flow still find their server. */
#define CLOSED_LIMIT (4 * MV_SECOND)
/* Flows that were open when the fabric dealt anew have shown up by then. */
#define SETTLING MV_SECOND
#define SWEEP_INTERVAL (500 * MV_MILLISECOND)
/* The last copy of an opening packet is refused aloud, earlier ones not:
 * a route or a server may become known between them. */
#define LAST_COPY 2

mv_forwarder_t *
MvForwarder_Create(const mv_forwarder_ops_t *ops, void *context,
                   mv_counters_t *counters, uint32_t seed)
{
    mv_forwarder_t *forwarder = g_new0(mv_forwarder_t, 1);
    forwarder->ops = ops;
    forwarder->context = context;
    forwarder->counters = counters;
    forwarder->random = g_rand_new_with_seed(seed);
    forwarder->standings = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    forwarder->centres = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    forwarder->flows =
        g_hash_table_new_full(MvFlowName_Hash, MvFlowName_Equal, NULL, g_free);
    forwarder->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    forwarder->usual = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    forwarder->due_at = MV_NEVER;
    MvList_Init(&forwarder->asking);
    MvList_Init(&forwarder->queue_time);
    MvList_Init(&forwarder->opening);
    MvList_Init(&forwarder->open);
    MvList_Init(&forwarder->closed);
    return forwarder;
}

void
MvForwarder_Destroy(mv_forwarder_t *forwarder)
{
    if (!forwarder) {
        return;
    }
    g_hash_table_unref(forwarder->flows);
    g_hash_table_unref(forwarder->standings);
    g_hash_table_unref(forwarder->centres);
    g_hash_table_unref(forwarder->services);
    g_hash_table_unref(forwarder->usual);
    g_rand_free(forwarder->random);
    MvTable_Destroy(forwarder->table);
    g_free(forwarder->by_position);
    g_free(forwarder);
}

static gboolean
is_unknown_now(gpointer key, gpointer value, gpointer context)
{
    const mv_forwarder_t *forwarder = context;
    const mv_standing_t *standing = value;
    return standing->outstanding == 0 &&
           MvTable_Server(forwarder->table, GPOINTER_TO_UINT(key)) < 0;
}

mv_table_t *
MvForwarder_SwapTable(mv_forwarder_t *forwarder, mv_table_t *table)
{
    mv_table_t *before = forwarder->table;
    forwarder->table = table;
    g_hash_table_foreach_remove(forwarder->standings, is_unknown_now,
                                forwarder);
    g_free(forwarder->by_position);
    forwarder->by_position = g_new0(mv_standing_t *, table->server_count + 1);
    for (unsigned i = 0; i < table->server_count; i++) {
        forwarder->by_position[i] = MvStanding_Of(forwarder, i);
    }
    MvExchanges_Forget(forwarder);
    return before;
}

void
MvForwarder_SetLogSampling(mv_forwarder_t *forwarder, unsigned one_in)
{
    forwarder->sample = one_in;
}

/* A packet that went nowhere; copies that come late are no news. */
static void
tell_refusal(const mv_forwarder_t *forwarder, const mv_flow_name_t *name,
             const mv_flow_verdict_t *verdict)
{
    if (verdict->kind == MV_FLOW_FORWARD ||
        verdict->reason == MV_COUNTER_FLOWS_HELD ||
        verdict->reason == MV_COUNTER_PACKETS_LATE_COPY) {
        return;
    }
    bool is_rare = verdict->reason != MV_COUNTER_FLOWS_SHED;
    if (!MvFlowName_IsTold(forwarder, name, is_rare)) {
        return;
    }
    const mv_flow_decision_t decision = {
        .event = verdict->kind == MV_FLOW_RESET ? MV_EVENT_FLOW_REFUSED
                                                : MV_EVENT_PACKET_DROPPED,
        .name = *name,
        .is_rare = is_rare,
        .reason = verdict->reason,
        .version = forwarder->table ? forwarder->table->version : 0,
        .revision = forwarder->table ? forwarder->table->revision : 0,
    };
    forwarder->ops->decided(forwarder->context, &decision);
}

static mv_flow_verdict_t
refuse(const mv_flow_packet_t *packet, mv_counter_id_t reason)
{
    bool is_final = packet->has_syn && packet->retransmission >= LAST_COPY;
    return (mv_flow_verdict_t){.kind = is_final ? MV_FLOW_RESET : MV_FLOW_DROP,
                               .reason = reason};
}

/* Opening packets */

static mv_flow_t *
add_flow(mv_forwarder_t *forwarder, const mv_flow_name_t *name, mv_time_t now,
         mv_flow_phase_t phase)
{
    mv_flow_t *flow = g_new0(mv_flow_t, 1);
    flow->name = *name;
    flow->began_at = now;
    flow->seen_at = now;
    MvList_Init(&flow->link);
    MvList_Init(&flow->exchange.link);
    MvFlow_SetPhase(forwarder, flow, phase);
    g_hash_table_insert(forwarder->flows, &flow->name, flow);
    return flow;
}

static mv_flow_t *
begin_flow(mv_forwarder_t *forwarder, const mv_flow_name_t *name,
           mv_time_t now, const uint8_t *bytes, size_t length)
{
    mv_flow_t *flow = add_flow(forwarder, name, now, MV_FLOW_OPENING);
    flow->opening_length = (uint8_t)MIN(length, MV_SYN_MAX);
    memcpy(flow->opening, bytes, flow->opening_length);
    MvCounters_Add(forwarder->counters, MV_COUNTER_FLOWS_NEW, 1);
    return flow;
}

/* A flow that began at another node; this one has it from now on. */
static void
take_stray(mv_forwarder_t *forwarder, const mv_flow_name_t *name,
           mv_time_t now, const mv_flow_packet_t *packet, uint32_t tag)
{
    mv_flow_phase_t phase =
        packet->is_closing || packet->is_reset ? MV_FLOW_CLOSED : MV_FLOW_OPEN;
    mv_flow_t *flow = add_flow(forwarder, name, now, phase);
    flow->tag = tag;
    forwarder->stray_at = now;
    MvCounters_Add(forwarder->counters, MV_COUNTER_FLOWS_STRAY, 1);
}

bool
MvForwarder_IsSettled(const mv_forwarder_t *forwarder, mv_time_t now)
{
    return forwarder->stray_at == 0 || now - forwarder->stray_at > SETTLING;
}

static void
judge_copy(mv_forwarder_t *forwarder, const mv_flow_t *flow, mv_time_t now)
{
    if (flow->offer_count == 0 || !MvForwarder_IsSettled(forwarder, now)) {
        return;
    }
    mv_standing_t *standing =
        MvStanding_Find(forwarder, flow->offers[flow->offer_count - 1]);
    if (standing &&
        now - flow->offered_at >= MvCentre_Wait(standing->centre)) {
        MvStanding_Silent(forwarder, standing, now, flow->offered_at);
    }
}

static mv_flow_verdict_t
hold_flow(mv_forwarder_t *forwarder, mv_time_t now,
          const mv_table_route_t *route, const mv_flow_packet_t *packet,
          const mv_flow_name_t *name, const uint8_t *bytes, size_t length)
{
    mv_flow_t *flow = begin_flow(forwarder, name, now, bytes, length);
    flow->asked_at = now - packet->since_first_syn;
    flow->urgency = route->route.urgency;
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_HELD);
    MvHolding_Began(forwarder, now);
    return (mv_flow_verdict_t){.reason = MV_COUNTER_FLOWS_HELD};
}

static mv_flow_verdict_t
open_flow(mv_forwarder_t *forwarder, mv_time_t now,
          const mv_table_route_t *route, const mv_flow_packet_t *packet,
          const mv_flow_name_t *name, const uint8_t *bytes, size_t length)
{
    mv_flow_t *flow = g_hash_table_lookup(forwarder->flows, name);
    unsigned service = MvFlow_Service(route, name);
    /* One that is known here may be open: it is never refused. */
    if (!flow && packet->retransmission == 0 &&
        MvAdmission_Refuses(forwarder, now, route, service)) {
        return (mv_flow_verdict_t){.kind = MV_FLOW_RESET,
                                   .reason = MV_COUNTER_FLOWS_SHED};
    }
    if (!flow && packet->retransmission > 0) {
        MvAdmission_Returned(forwarder, service);
    }
    if (flow && flow->phase == MV_FLOW_HELD) {
        return (mv_flow_verdict_t){.reason = MV_COUNTER_FLOWS_HELD};
    }
    if (flow && flow->phase != MV_FLOW_OPENING) {
        if (packet->retransmission > 0) {
            /* The answer to another copy has opened it already. */
            return (mv_flow_verdict_t){.reason = MV_COUNTER_PACKETS_LATE_COPY};
        }
        MvFlow_Forget(forwarder, flow);
        flow = NULL;
    }
    if (flow) {
        judge_copy(forwarder, flow, now);
    }
    else if (MvHolding_MustWait(forwarder, now, route, service,
                                now - packet->since_first_syn, 0)) {
        return hold_flow(forwarder, now, route, packet, name, bytes, length);
    }
    int position = MvPlacement_Choose(forwarder, now, service, flow);
    if (position < 0) {
        return refuse(packet, MV_COUNTER_PACKETS_NO_ENDPOINT);
    }
    if (!flow) {
        flow = begin_flow(forwarder, name, now, bytes, length);
    }
    mv_flow_verdict_t verdict =
        MvFlow_Offer(forwarder, flow, now, (unsigned)position);
    bool is_again = flow->offer_count > 1;
    MvFlow_Tell(forwarder, flow, now,
                is_again ? MV_EVENT_FLOW_RESENT : MV_EVENT_FLOW_PLACED,
                is_again);
    return verdict;
}

/* Further packets */

static void
note_open(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
          unsigned position)
{
    mv_standing_t *standing = forwarder->by_position[position];
    bool is_last_offer = flow->offers[flow->offer_count - 1] == standing->tag;
    flow->tag = standing->tag;
    MvStanding_Heard(forwarder, standing, now,
                     is_last_offer ? flow->offered_at : 0);
    if (flow->counted != standing) {
        MvFlow_Release(flow);
        flow->counted = standing;
        standing->outstanding++;
    }
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_OPEN);
    MvFlow_Tell(forwarder, flow, now, MV_EVENT_FLOW_OPENED,
                flow->offer_count > 1);
}

static void
end_flow(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    if (flow->phase == MV_FLOW_OPEN) {
        MvCounters_Add(forwarder->counters, MV_COUNTER_FLOWS_CLOSED, 1);
        MvFlow_Tell(forwarder, flow, now, MV_EVENT_FLOW_CLOSED, false);
        int position = MvTable_Server(forwarder->table, flow->tag);
        if (position >= 0 && flow->offered_at > 0) {
            MvHolding_Ended(forwarder,
                            forwarder->table->servers[position].service,
                            now - flow->offered_at);
        }
    }
    MvFlow_Release(flow);
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_CLOSED);
}

static void
note_packet(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
            const mv_flow_packet_t *packet, unsigned position)
{
    if (flow->phase == MV_FLOW_OPENING) {
        note_open(forwarder, flow, now, position);
    }
    if (flow->phase == MV_FLOW_HELD) {
        /* Another node has opened it meanwhile. */
        flow->tag = forwarder->table->servers[position].tag;
        MvFlow_SetPhase(forwarder, flow, MV_FLOW_OPEN);
    }
    flow->seen_at = now;
    if (flow->phase == MV_FLOW_OPEN) {
        MvExchange_Packet(forwarder, flow, now, packet);
    }
    if (packet->is_closing || packet->is_reset) {
        end_flow(forwarder, flow, now);
        return;
    }
    if (flow->phase == MV_FLOW_OPEN) {
        MvFlow_SetPhase(forwarder, flow, MV_FLOW_OPEN);
    }
}

static mv_flow_verdict_t
continue_flow(mv_forwarder_t *forwarder, mv_time_t now,
              const mv_table_route_t *route, const mv_flow_packet_t *packet,
              const mv_flow_name_t *name)
{
    mv_flow_t *flow = g_hash_table_lookup(forwarder->flows, name);
    bool is_open =
        flow && (flow->phase == MV_FLOW_OPEN || flow->phase == MV_FLOW_CLOSED);
    /* Of two servers that answered the flow is open at the first. */
    uint32_t tag = is_open ? flow->tag : packet->tag;
    int position = MvTable_Server(forwarder->table, tag);
    if (position < 0) {
        return (mv_flow_verdict_t){.reason = MV_COUNTER_PACKETS_UNKNOWN_TAG};
    }
    const mv_table_server_t *server = &forwarder->table->servers[position];
    if (!MvTable_Allows(route, server->service)) {
        return (mv_flow_verdict_t){.reason = MV_COUNTER_PACKETS_FOREIGN_TAG};
    }
    if (flow) {
        note_packet(forwarder, flow, now, packet, (unsigned)position);
    }
    else {
        take_stray(forwarder, name, now, packet, tag);
    }
    return MvFlow_ForwardTo(server);
}

mv_flow_verdict_t
MvForwarder_HandlePacket(mv_forwarder_t *forwarder, mv_time_t now,
                         const mv_flow_packet_t *packet, const uint8_t *bytes,
                         size_t length)
{
    const mv_flow_name_t name = {.caller = packet->caller,
                                 .address = packet->address,
                                 .caller_port = packet->caller_port,
                                 .port = packet->port};
    mv_flow_verdict_t verdict = {.reason = MV_COUNTER_PACKETS_NO_CONFIG};
    MvCounters_Add(forwarder->counters, MV_COUNTER_PACKETS_IN, 1);
    if (forwarder->table && forwarder->table->version > 0) {
        const mv_table_route_t *route =
            MvTable_Route(forwarder->table, packet->address, packet->port);
        if (!route || route->route.share_count == 0) {
            verdict = refuse(packet, MV_COUNTER_PACKETS_NO_SERVICE);
        }
        else if (packet->has_syn) {
            verdict =
                open_flow(forwarder, now, route, packet, &name, bytes, length);
        }
        else {
            verdict = continue_flow(forwarder, now, route, packet, &name);
        }
    }
    MvCounters_Add(forwarder->counters, verdict.reason, 1);
    tell_refusal(forwarder, &name, &verdict);
    return verdict;
}

/* Time */

static void
sweep_open(mv_forwarder_t *forwarder, mv_time_t now)
{
    mv_time_t idle = DEFAULT_IDLE;
    if (forwarder->table && forwarder->table->flow_idle > 0) {
        idle = forwarder->table->flow_idle;
    }
    MV_LIST_FOREACH(item, &forwarder->open)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        mv_time_t silent = now - flow->seen_at;
        if (silent <= OUTSTANDING_LIMIT) {
            return;
        }
        MvFlow_Release(flow);
        if (silent > idle) {
            MvFlow_Forget(forwarder, flow);
        }
    }
}

static void
sweep_closed(mv_forwarder_t *forwarder, mv_time_t now)
{
    MV_LIST_FOREACH(item, &forwarder->closed)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        if (now - flow->seen_at <= CLOSED_LIMIT) {
            return;
        }
        MvFlow_Forget(forwarder, flow);
    }
}

mv_time_t
MvForwarder_Timer(mv_forwarder_t *forwarder, mv_time_t now)
{
    if (!forwarder->table) {
        return now + SWEEP_INTERVAL;
    }
    forwarder->due_at = MV_NEVER;
    mv_time_t next = MvHolding_Run(forwarder, now);
    next = MIN(next, MvOpenings_Run(forwarder, now));
    next = MIN(next, MvExchanges_Run(forwarder, now));
    next = MIN(next, MvFailing_Report(forwarder, now));
    MvAdmission_Run(forwarder, now);
    sweep_open(forwarder, now);
    sweep_closed(forwarder, now);
    return MIN(next, now + SWEEP_INTERVAL);
}

mv_time_t
MvForwarder_DueAt(const mv_forwarder_t *forwarder)
{
    return forwarder->due_at;
}

size_t
MvForwarder_FlowCount(const mv_forwarder_t *forwarder)
{
    return g_hash_table_size(forwarder->flows);
}

uint32_t
MvForwarder_Outstanding(const mv_forwarder_t *forwarder, uint32_t tag)
{
    const mv_standing_t *standing = MvStanding_Find(forwarder, tag);
    return standing ? standing->outstanding : 0;
}

json_t *
MvForwarder_Dump(const mv_forwarder_t *forwarder, mv_time_t now)
{
    json_t *servers = json_array();
    const mv_table_t *table = forwarder->table;
    for (unsigned i = 0; table && i < table->server_count; i++) {
        const mv_table_server_t *server = &table->servers[i];
        const mv_standing_t *standing = forwarder->by_position[i];
        json_array_append_new(
            servers,
            json_pack("{s:I,s:I,s:s,s:b,s:I,s:I,s:b}", "server",
                      (json_int_t)server->server.id, "tag",
                      (json_int_t)server->tag, "service",
                      table->services[server->service].name, "takes_new",
                      (int)server->takes_new, "outstanding",
                      (json_int_t)standing->outstanding, "failures",
                      (json_int_t)standing->failures, "silent",
                      (int)MvStanding_IsSilent(standing, now)));
    }
    return json_pack("{s:I,s:I,s:o}", "version",
                     (json_int_t)(table ? table->version : 0), "flows",
                     (json_int_t)MvForwarder_FlowCount(forwarder), "servers",
                     servers);
}
