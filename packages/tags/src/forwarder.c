/* Handling of packets, timer and state dump, on one traffic thread. */
#include "forwarder_private.h"

#include <string.h>

/* Idle time after which a flow entry is dropped when the configuration gives
 * none. */
#define DEFAULT_IDLE_TIME (15 * MV_SECOND)
/* A flow idle for longer than this does not count as outstanding: its request
 * hardly occupies a slot any more. */
#define MAX_OUTSTANDING_IDLE (10 * MV_SECOND)
/* Entries of closed flows are kept for this long, for late packets. */
#define CLOSED_FLOW_LIFETIME (4 * MV_SECOND)
/* The fabric counts as stable when no packet of a flow opened through another
 * node arrived for this long: after a redistribution, the flows that were open
 * have sent a packet by then. */
#define FABRIC_SETTLING_TIME MV_SECOND
/* Maximum time between two searches for idle flow entries. */
#define SWEEP_INTERVAL (500 * MV_MILLISECOND)
/* The network delivers the second copy of a doubled SYN within this time. */
#define DOUBLED_SYN_TIME MV_SECOND
/* Time in which nearly all flows open. */
#define USUAL_OPENING_TIME (50 * MV_MILLISECOND)
/* Number of the last retransmission of a SYN.  When there is no route or
 * server, only this one is refused with a reset; earlier transmissions are
 * dropped, as a route or a server may become known before the last one. */
#define LAST_RETRANSMISSION 2

mv_forwarder_t *
MvForwarder_Create(const mv_forwarder_ops_t *ops, void *context,
                   mv_counters_t *counters, uint32_t seed)
{
    mv_forwarder_t *forwarder = g_new0(mv_forwarder_t, 1);
    forwarder->ops = ops;
    forwarder->context = context;
    forwarder->counters = counters;
    forwarder->random = g_rand_new_with_seed(seed);
    forwarder->server_health = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    forwarder->data_centre_health =
        g_hash_table_new_full(NULL, NULL, NULL, g_free);
    forwarder->flows = g_hash_table_new_full(MvFlowName_Hash, MvFlowName_Equal,
                                             NULL, MvFlow_Free);
    forwarder->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    forwarder->profiles = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    forwarder->unknown_flows = MvUnknownFlows_Create();
    forwarder->due_at = MV_NEVER;
    forwarder->megabyte_price = MV_NEVER;
    MvList_Init(&forwarder->awaiting_answer);
    MvList_Init(&forwarder->offered);
    MvList_Init(&forwarder->held);
    MvList_Init(&forwarder->queued);
    MvList_Init(&forwarder->syn_sent);
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
    g_hash_table_unref(forwarder->server_health);
    g_hash_table_unref(forwarder->data_centre_health);
    g_hash_table_unref(forwarder->services);
    g_hash_table_unref(forwarder->profiles);
    MvUnknownFlows_Destroy(forwarder->unknown_flows);
    g_rand_free(forwarder->random);
    MvTable_Destroy(forwarder->table);
    g_free(forwarder->health_by_position);
    g_free(forwarder);
}

static gboolean
is_obsolete(gpointer key, gpointer value, gpointer context)
{
    const mv_forwarder_t *forwarder = context;
    const mv_server_health_t *health = value;
    return health->outstanding == 0 &&
           MvTable_Server(forwarder->table, GPOINTER_TO_UINT(key)) < 0;
}

mv_table_t *
MvForwarder_SwapTable(mv_forwarder_t *forwarder, mv_table_t *table)
{
    mv_table_t *previous = forwarder->table;
    forwarder->table = table;
    g_hash_table_foreach_remove(forwarder->server_health, is_obsolete,
                                forwarder);
    g_free(forwarder->health_by_position);
    forwarder->health_by_position =
        g_new0(mv_server_health_t *, table->server_count + 1);
    for (unsigned i = 0; i < table->server_count; i++) {
        forwarder->health_by_position[i] = MvServerHealth_At(forwarder, i);
    }
    MvExchanges_DropStaleProfiles(forwarder);
    return previous;
}

void
MvForwarder_SetCompleteAt(mv_forwarder_t *forwarder, mv_time_t complete_at)
{
    forwarder->complete_at = complete_at;
}

void
MvForwarder_SetLogSampling(mv_forwarder_t *forwarder, unsigned one_in)
{
    forwarder->log_sample = one_in;
}

void
MvForwarder_SetMegabytePrice(mv_forwarder_t *forwarder, mv_time_t price)
{
    forwarder->megabyte_price = price;
}

/* Logs a packet that was dropped or refused.  Queued SYNs and late
 * retransmissions are normal and are not logged; a flow whose server did not
 * answer has been logged with its entry. */
static void
log_refusal(const mv_forwarder_t *forwarder, const mv_flow_name_t *name,
            const mv_flow_verdict_t *verdict)
{
    if (verdict->kind == MV_FLOW_FORWARD ||
        verdict->reason == MV_COUNTER_SYNS_QUEUED ||
        verdict->reason == MV_COUNTER_FLOWS_UNANSWERED ||
        verdict->reason == MV_COUNTER_FLOWS_SERVER_ENDED ||
        verdict->reason == MV_COUNTER_PACKETS_LATE_SYN) {
        return;
    }
    bool is_rare = verdict->reason != MV_COUNTER_FLOWS_SHED;
    if (!MvFlowName_IsLogged(forwarder, name, is_rare)) {
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
    bool is_final =
        packet->has_syn && packet->retransmission >= LAST_RETRANSMISSION;
    return (mv_flow_verdict_t){.kind = is_final ? MV_FLOW_RESET : MV_FLOW_DROP,
                               .reason = reason};
}

/* SYNs */

/* Time until which the SYN in @packet may be sent to a server, see
 * @offer_until of &struct mv_flow. */
static mv_time_t
offer_until(const mv_flow_packet_t *packet, mv_time_t now)
{
    return packet->until_next_syn > 0
               ? now - packet->waited + packet->until_next_syn
               : MV_NEVER;
}

/* The SYN has waited so long that the caller's next one may overtake the
 * server's answer: that one decides, wherever it arrives. */
static bool
is_stale_syn(const mv_flow_packet_t *packet, mv_time_t now)
{
    return now > offer_until(packet, now) - USUAL_OPENING_TIME;
}

/* Return: estimated time at which the caller sent its first SYN.  One that is
 * the first counts as sent now: it is not late. */
static mv_time_t
first_syn_at(const mv_flow_packet_t *packet, mv_time_t now)
{
    return packet->retransmission == 0
               ? now
               : now - packet->waited - packet->since_first_syn;
}

static mv_flow_t *
add_syn(mv_forwarder_t *forwarder, const mv_flow_name_t *name, mv_time_t now,
        const mv_flow_packet_t *packet, const uint8_t *bytes, size_t length)
{
    mv_flow_t *flow = MvFlow_Add(forwarder, name, now, MV_FLOW_SYN_SENT);
    flow->offer_until = offer_until(packet, now);
    flow->is_contested = packet->retransmission > 0;
    MvFlow_NoteNumbers(flow, packet);
    MvFlow_StoreSyn(forwarder, flow, bytes, length);
    MvCounters_Add(forwarder->counters, MV_COUNTER_FLOWS_NEW, 1);
    return flow;
}

/* Adds an entry for a flow opened through another node. */
static mv_flow_t *
add_foreign_flow(mv_forwarder_t *forwarder, const mv_flow_name_t *name,
                 mv_time_t now, const mv_flow_packet_t *packet, uint32_t tag)
{
    mv_flow_phase_t phase =
        packet->is_closing || packet->is_reset ? MV_FLOW_CLOSED : MV_FLOW_OPEN;
    mv_flow_t *flow = MvFlow_Add(forwarder, name, now, phase);
    flow->tag = tag;
    MvFlow_NoteNumbers(flow, packet);
    forwarder->foreign_flow_at = now;
    MvCounters_Add(forwarder->counters, MV_COUNTER_FLOWS_WITHOUT_ENTRY, 1);
    return flow;
}

bool
MvForwarder_IsFabricStable(const mv_forwarder_t *forwarder, mv_time_t now)
{
    return forwarder->foreign_flow_at == 0 ||
           now - forwarder->foreign_flow_at > FABRIC_SETTLING_TIME;
}

/* Stores a SYN to send it later.
 * @phase: MV_FLOW_HELD or MV_FLOW_QUEUED */
static mv_flow_verdict_t
store_flow(mv_forwarder_t *forwarder, mv_time_t now,
           const mv_table_route_t *route, const mv_flow_packet_t *packet,
           const mv_flow_name_t *name, const uint8_t *bytes, size_t length,
           mv_flow_phase_t phase)
{
    mv_flow_t *flow = add_syn(forwarder, name, now, packet, bytes, length);
    flow->first_syn_at = first_syn_at(packet, now);
    flow->urgency = route->route.urgency;
    if (phase == MV_FLOW_HELD) {
        MvHeldSyns_Add(forwarder, flow, now);
    }
    else {
        MvFlow_SetPhase(forwarder, flow, MV_FLOW_QUEUED);
        MvFlowQueue_NoteAdded(forwarder, now);
    }
    return (mv_flow_verdict_t){.reason = MV_COUNTER_SYNS_QUEUED};
}

/* Verdict about a retransmitted SYN of a flow that was refused or has opened
 * by the answer to another transmission. */
static mv_flow_verdict_t
repeat_refusal(const mv_flow_t *flow)
{
    if (flow->phase == MV_FLOW_REFUSED) {
        return (mv_flow_verdict_t){.kind = MV_FLOW_RESET,
                                   .reason = flow->refusal};
    }
    return (mv_flow_verdict_t){.reason = MV_COUNTER_PACKETS_LATE_SYN};
}

/* A doubled SYN is the same to the last byte; a new flow from the same port
 * has another sequence number.  Where the first SYN is not known, the flow has
 * opened through another node: a caller hardly uses its port again so soon. */
static bool
is_doubled_syn(const mv_flow_t *flow, mv_time_t now, const uint8_t *bytes,
               size_t length)
{
    if (flow->phase == MV_FLOW_OPEN && flow->syn_length == 0) {
        return now - flow->began_at < DOUBLED_SYN_TIME;
    }
    return flow->phase == MV_FLOW_OPEN && flow->syn_length == length &&
           memcmp(flow->syn, bytes, length) == 0;
}

/* Handles a SYN of another flow with the name of @flow.
 * Return: false when it opens that flow; @flow has then been removed. */
static bool
handle_other_syn(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
                 const mv_flow_packet_t *packet, mv_flow_verdict_t *verdict)
{
    /* It may be a late copy, of a flow before. */
    if (packet->retransmission > 0 && !MvFlow_IsQuiet(flow, now)) {
        *verdict = (mv_flow_verdict_t){.reason = MV_COUNTER_PACKETS_LATE_SYN};
        return true;
    }
    MvFlow_Remove(forwarder, flow);
    return false;
}

/* Handles a SYN from the addresses and ports of @flow.
 * Return: false when it opens another flow; @flow has then been removed. */
static bool
handle_known_syn(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
                 const mv_flow_packet_t *packet, unsigned service,
                 const uint8_t *bytes, size_t length,
                 mv_flow_verdict_t *verdict)
{
    if (!MvFlow_IsOf(flow, packet)) {
        return handle_other_syn(forwarder, flow, now, packet, verdict);
    }
    flow->offer_until = offer_until(packet, now);
    switch (flow->phase) {
    case MV_FLOW_HELD:
    case MV_FLOW_QUEUED:
        *verdict = (mv_flow_verdict_t){.reason = MV_COUNTER_SYNS_QUEUED};
        return true;
    case MV_FLOW_OFFERED:
        MvCounters_Add(forwarder->counters, MV_COUNTER_OFFERS_ADOPTED, 1);
        MvFlow_NoteNumbers(flow, packet);
        MvFlow_StoreSyn(forwarder, flow, bytes, length);
        flow->began_at = now;
        MvFlow_SetPhase(forwarder, flow, MV_FLOW_SYN_SENT);
        *verdict = MvFlow_RepeatSyn(forwarder, flow, now, service);
        return true;
    case MV_FLOW_SYN_SENT:
        *verdict = MvFlow_RepeatSyn(forwarder, flow, now, service);
        return true;
    default:
        break;
    }
    if (packet->retransmission > 0 ||
        is_doubled_syn(flow, now, bytes, length)) {
        *verdict = repeat_refusal(flow);
        return true;
    }
    MvFlow_Remove(forwarder, flow);
    return false;
}

static mv_flow_verdict_t
open_flow(mv_forwarder_t *forwarder, mv_time_t now,
          const mv_table_route_t *route, const mv_flow_packet_t *packet,
          const mv_flow_name_t *name, const uint8_t *bytes, size_t length)
{
    mv_flow_t *flow = g_hash_table_lookup(forwarder->flows, name);
    unsigned service = MvFlow_ChooseService(route, name);
    /* A flow with an entry may be open: it is never refused. */
    if (!flow && packet->retransmission == 0 &&
        MvAdmission_ShouldRefuse(forwarder, now, route, service)) {
        return (mv_flow_verdict_t){.kind = MV_FLOW_RESET,
                                   .reason = MV_COUNTER_FLOWS_SHED};
    }
    if (!flow && packet->retransmission > 0) {
        MvAdmission_NoteRetransmission(forwarder, service);
    }
    mv_flow_verdict_t verdict;
    if (flow && handle_known_syn(forwarder, flow, now, packet, service, bytes,
                                 length, &verdict)) {
        return verdict;
    }
    bool is_storable = MvFlow_CanStoreSyn(forwarder, length);
    if (MvHeldSyns_MustHold(forwarder, now, packet) && !is_storable) {
        return (mv_flow_verdict_t){.reason = MV_COUNTER_SYNS_NOT_STORED};
    }
    if (MvHeldSyns_MustHold(forwarder, now, packet)) {
        return store_flow(forwarder, now, route, packet, name, bytes, length,
                          MV_FLOW_HELD);
    }
    if (is_storable && MvFlowQueue_MustWait(forwarder, now, route, service,
                                            first_syn_at(packet, now), 0)) {
        return store_flow(forwarder, now, route, packet, name, bytes, length,
                          MV_FLOW_QUEUED);
    }
    int position = MvPlacement_Choose(forwarder, now, service, name);
    if (position < 0 && MvService_IsEvacuated(forwarder, service)) {
        return (mv_flow_verdict_t){.kind = MV_FLOW_RESET,
                                   .reason = MV_COUNTER_FLOWS_EVACUATED};
    }
    if (position < 0) {
        return refuse(packet, MV_COUNTER_PACKETS_NO_ENDPOINT);
    }
    flow = add_syn(forwarder, name, now, packet, bytes, length);
    verdict = MvFlow_SendSyn(forwarder, flow, now, (unsigned)position);
    MvFlow_LogDecision(forwarder, flow, now, MV_EVENT_FLOW_PLACED, false);
    return verdict;
}

/* Further packets */

static void
note_open(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
          unsigned position)
{
    mv_server_health_t *health = forwarder->health_by_position[position];
    /* Another node may have offered it to another server before. */
    bool is_own_offer = flow->tag == health->tag;
    flow->tag = health->tag;
    MvServerHealth_NoteAnswer(forwarder, health, now,
                              is_own_offer ? flow->syn_sent_at : 0);
    MvService_NoteAnswer(forwarder,
                         forwarder->table->servers[position].service);
    if (flow->counted_by != health) {
        MvFlow_Release(flow);
        flow->counted_by = health;
        health->outstanding++;
    }
    flow->has_opened_here = true;
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_OPEN);
    MvFlow_LogDecision(forwarder, flow, now, MV_EVENT_FLOW_OPENED,
                       flow->syn_count > 1);
    flow->is_contested = flow->is_contested || !is_own_offer;
    if (flow->is_contested) {
        MvOffers_TellOpening(forwarder, flow, now);
    }
}

static void
end_flow(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    if (flow->phase == MV_FLOW_OPEN) {
        MvCounters_Add(forwarder->counters, MV_COUNTER_FLOWS_CLOSED, 1);
        MvFlow_LogDecision(forwarder, flow, now, MV_EVENT_FLOW_CLOSED, false);
        int position = MvTable_Server(forwarder->table, flow->tag);
        if (position >= 0 && flow->syn_sent_at > 0) {
            MvFlowQueue_NoteFlowEnd(
                forwarder, forwarder->table->servers[position].service,
                now - flow->syn_sent_at);
        }
    }
    MvFlow_Release(flow);
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_CLOSED);
}

static void
update_flow(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
            const mv_flow_packet_t *packet, unsigned position)
{
    if (flow->phase == MV_FLOW_SYN_SENT) {
        note_open(forwarder, flow, now, position);
    }
    if (flow->phase == MV_FLOW_OFFERED || flow->phase == MV_FLOW_HELD ||
        flow->phase == MV_FLOW_QUEUED) {
        /* It was opened through another node in the meantime. */
        flow->tag = forwarder->table->servers[position].tag;
        MvFlow_SetPhase(forwarder, flow, MV_FLOW_OPEN);
    }
    flow->last_seen_at = now;
    MvFlow_NoteNumbers(flow, packet);
    if (flow->phase == MV_FLOW_OPEN) {
        MvExchange_HandlePacket(forwarder, flow, now, packet);
    }
    if (packet->is_closing || packet->is_reset) {
        end_flow(forwarder, flow, now);
        return;
    }
    if (flow->phase == MV_FLOW_OPEN) {
        MvFlow_SetPhase(forwarder, flow, MV_FLOW_OPEN);
    }
}

/* Finds the entry of the flow that a packet belongs to.  The entry of another
 * flow of its name makes room for it once that one is quiet.
 * @is_other: set to whether the entry is of such a flow, and stays */
static mv_flow_t *
find_flow_of(mv_forwarder_t *forwarder, const mv_flow_name_t *name,
             mv_time_t now, const mv_flow_packet_t *packet, bool *is_other)
{
    mv_flow_t *flow = g_hash_table_lookup(forwarder->flows, name);
    *is_other = flow && !MvFlow_IsOf(flow, packet);
    if (flow && ((*is_other && MvFlow_IsQuiet(flow, now)) ||
                 MvFlow_HasOpenedElsewhere(flow, packet, now))) {
        MvFlow_Remove(forwarder, flow);
        *is_other = false;
        return NULL;
    }
    return flow;
}

static mv_flow_verdict_t
continue_flow(mv_forwarder_t *forwarder, mv_time_t now,
              const mv_table_route_t *route, const mv_flow_packet_t *packet,
              const mv_flow_name_t *name)
{
    bool is_other = false;
    mv_flow_t *flow = find_flow_of(forwarder, name, now, packet, &is_other);
    bool is_own = flow && !is_other;
    if (is_own && flow->phase == MV_FLOW_REFUSED) {
        return repeat_refusal(flow);
    }
    bool is_open = is_own && (flow->phase == MV_FLOW_OPEN ||
                              flow->phase == MV_FLOW_CLOSED);
    uint32_t tag = is_open ? flow->tag : packet->tag;
    int position = MvTable_Server(forwarder->table, tag);
    if (position < 0) {
        return MvFlow_HandleUnknownTag(forwarder, now, name, tag);
    }
    const mv_table_server_t *server = &forwarder->table->servers[position];
    if (!MvTable_Allows(route, server->service)) {
        return (mv_flow_verdict_t){.reason = MV_COUNTER_PACKETS_FOREIGN_TAG};
    }
    if (is_other) {
        MvCounters_Add(forwarder->counters, MV_COUNTER_PACKETS_OTHER_FLOW, 1);
        return MvFlow_ForwardTo(server);
    }
    if (is_own) {
        update_flow(forwarder, flow, now, packet, (unsigned)position);
    }
    else {
        flow = add_foreign_flow(forwarder, name, now, packet, tag);
    }
    if (flow->phase == MV_FLOW_OPEN &&
        MvFlow_HasLostServer(forwarder, flow, (unsigned)position, now)) {
        return MvFlow_End(forwarder, flow, now);
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
        if (packet->has_syn && is_stale_syn(packet, now)) {
            verdict.reason = MV_COUNTER_PACKETS_STALE_SYN;
        }
        else if (!route || route->route.share_count == 0) {
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
    verdict.expires_at = packet->has_syn ? offer_until(packet, now) : MV_NEVER;
    MvCounters_Add(forwarder->counters, verdict.reason, 1);
    log_refusal(forwarder, &name, &verdict);
    return verdict;
}

/* Timer */

static void
sweep_open(mv_forwarder_t *forwarder, mv_time_t now)
{
    mv_time_t max_idle_time = DEFAULT_IDLE_TIME;
    if (forwarder->table && forwarder->table->flow_idle > 0) {
        max_idle_time = forwarder->table->flow_idle;
    }
    MV_LIST_FOREACH(item, &forwarder->open)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        mv_time_t idle_time = now - flow->last_seen_at;
        if (idle_time <= MAX_OUTSTANDING_IDLE) {
            return;
        }
        MvFlow_Release(flow);
        if (idle_time > max_idle_time) {
            MvFlow_Remove(forwarder, flow);
        }
    }
}

static void
sweep_closed(mv_forwarder_t *forwarder, mv_time_t now)
{
    MV_LIST_FOREACH(item, &forwarder->closed)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        if (now - flow->last_seen_at <= CLOSED_FLOW_LIFETIME) {
            return;
        }
        MvFlow_Remove(forwarder, flow);
    }
}

mv_time_t
MvForwarder_Timer(mv_forwarder_t *forwarder, mv_time_t now)
{
    if (!forwarder->table) {
        return now + SWEEP_INTERVAL;
    }
    forwarder->due_at = MV_NEVER;
    mv_time_t next = MvHeldSyns_Run(forwarder, now);
    next = MIN(next, MvFlowQueue_Run(forwarder, now));
    next = MIN(next, MvSynRetries_Run(forwarder, now));
    next = MIN(next, MvExchanges_CheckTimeouts(forwarder, now));
    next = MIN(next, MvFailing_Report(forwarder, now));
    next = MIN(next, MvEndedFlows_Run(forwarder, now));
    MvOffers_RemoveExpired(forwarder, now);
    MvAdmission_CheckEnd(forwarder, now);
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
    const mv_server_health_t *health = MvServerHealth_Find(forwarder, tag);
    return health ? health->outstanding : 0;
}

/* Services of which a part of the new flows leaves the data centre. */
static json_t *
dump_spills(const mv_forwarder_t *forwarder)
{
    json_t *spills = json_object();
    GHashTableIter iter;
    gpointer name = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, forwarder->services);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const mv_service_load_t *load = value;
        if (load->spill.away > 0) {
            json_object_set_new(spills, name, json_real(load->spill.away));
        }
    }
    return spills;
}

json_t *
MvForwarder_Dump(const mv_forwarder_t *forwarder, mv_time_t now)
{
    json_t *servers = json_array();
    const mv_table_t *table = forwarder->table;
    for (unsigned i = 0; table && i < table->server_count; i++) {
        const mv_table_server_t *server = &table->servers[i];
        const mv_server_health_t *health = forwarder->health_by_position[i];
        json_array_append_new(
            servers,
            json_pack("{s:I,s:I,s:s,s:b,s:I,s:I,s:b}", "server",
                      (json_int_t)server->server.id, "tag",
                      (json_int_t)server->tag, "service",
                      table->services[server->service].name, "takes_new",
                      (int)server->takes_new, "outstanding",
                      (json_int_t)health->outstanding, "failures",
                      (json_int_t)health->failures, "silent",
                      (int)MvServerHealth_IsSilent(health, now)));
    }
    return json_pack("{s:I,s:I,s:o,s:o}", "version",
                     (json_int_t)(table ? table->version : 0), "flows",
                     (json_int_t)MvForwarder_FlowCount(forwarder), "away",
                     dump_spills(forwarder), "servers", servers);
}
