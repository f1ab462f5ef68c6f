/* Flow entries: phases, SYNs sent to servers, log records. */
#include <string.h>
#include <xxhash.h>

#include "forwarder_private.h"

/* Flows in a row, most of them at different servers, that were not answered
 * when the whole service is silent. */
#define SILENT_AFTER_FLOWS 4

guint
MvFlowName_Hash(gconstpointer key)
{
    return (guint)XXH3_64bits(key, sizeof(mv_flow_name_t));
}

gboolean
MvFlowName_Equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(mv_flow_name_t)) == 0;
}

void
MvFlow_SetPendingService(mv_flow_t *flow, mv_service_load_t *load)
{
    if (flow->pending_service) {
        flow->pending_service->pending_flows--;
    }
    flow->pending_service = load;
    if (load) {
        load->pending_flows++;
    }
}

void
MvFlow_Release(mv_flow_t *flow)
{
    MvFlow_SetPendingService(flow, NULL);
    if (flow->counted_by) {
        flow->counted_by->outstanding--;
        flow->counted_by = NULL;
    }
}

mv_flow_t *
MvFlow_Add(mv_forwarder_t *forwarder, const mv_flow_name_t *name,
           mv_time_t now, mv_flow_phase_t phase)
{
    mv_flow_t *flow = g_new0(mv_flow_t, 1);
    flow->name = *name;
    flow->began_at = now;
    flow->last_seen_at = now;
    MvList_Init(&flow->link);
    MvList_Init(&flow->exchange.link);
    MvFlow_SetPhase(forwarder, flow, phase);
    g_hash_table_insert(forwarder->flows, &flow->name, flow);
    return flow;
}

bool
MvFlow_CanStoreSyn(const mv_forwarder_t *forwarder, size_t length)
{
    return length <= MV_SYN_MAX ||
           (length <= UINT16_MAX &&
            forwarder->long_syn_bytes + length <= MV_LONG_SYN_BYTES);
}

static void
drop_syn(mv_forwarder_t *forwarder, mv_flow_t *flow)
{
    if (flow->long_syn) {
        forwarder->long_syn_bytes -= flow->syn_length;
        g_clear_pointer(&flow->long_syn, g_free);
        flow->syn_length = 0;
    }
}

void
MvFlow_StoreSyn(mv_forwarder_t *forwarder, mv_flow_t *flow,
                const uint8_t *bytes, size_t length)
{
    drop_syn(forwarder, flow);
    flow->syn_length = 0;
    if (!MvFlow_CanStoreSyn(forwarder, length)) {
        MvCounters_Add(forwarder->counters, MV_COUNTER_SYNS_NOT_STORED, 1);
        return;
    }
    flow->syn_length = (uint16_t)length;
    if (length <= MV_SYN_MAX) {
        memcpy(flow->syn, bytes, length);
        return;
    }
    flow->long_syn = g_memdup2(bytes, length);
    forwarder->long_syn_bytes += length;
}

const uint8_t *
MvFlow_Syn(const mv_flow_t *flow)
{
    return flow->long_syn ? flow->long_syn : flow->syn;
}

void
MvFlow_Free(gpointer flow)
{
    g_free(((mv_flow_t *)flow)->long_syn);
    g_free(flow);
}

void
MvFlow_Remove(mv_forwarder_t *forwarder, mv_flow_t *flow)
{
    MvFlow_Release(flow);
    drop_syn(forwarder, flow);
    MvList_Remove(&flow->exchange.link);
    MvList_Remove(&flow->link);
    g_hash_table_remove(forwarder->flows, &flow->name);
}

void
MvFlow_SetPhase(mv_forwarder_t *forwarder, mv_flow_t *flow,
                mv_flow_phase_t phase)
{
    mv_list_t *lists[] = {
        [MV_FLOW_OFFERED] = &forwarder->offered,
        [MV_FLOW_HELD] = &forwarder->held,
        [MV_FLOW_QUEUED] = &forwarder->queued,
        [MV_FLOW_SYN_SENT] = &forwarder->syn_sent,
        [MV_FLOW_OPEN] = &forwarder->open,
        [MV_FLOW_CLOSED] = &forwarder->closed,
        [MV_FLOW_REFUSED] = &forwarder->closed,
    };
    flow->phase = phase;
    if (phase >= MV_FLOW_OPEN) {
        drop_syn(forwarder, flow);
    }
    MvList_Remove(&flow->link);
    MvList_Append(lists[phase], &flow->link);
}

mv_service_load_t *
MvService_Load(mv_forwarder_t *forwarder, unsigned service)
{
    const char *name = forwarder->table->services[service].name;
    mv_service_load_t *load = g_hash_table_lookup(forwarder->services, name);
    if (!load) {
        load = g_new0(mv_service_load_t, 1);
        MvList_Init(&load->link);
        g_hash_table_insert(forwarder->services, g_strdup(name), load);
    }
    return load;
}

bool
MvService_IsSilent(mv_forwarder_t *forwarder, unsigned service)
{
    return MvService_Load(forwarder, service)->unanswered_flows >=
           SILENT_AFTER_FLOWS;
}

void
MvService_NoteAnswer(mv_forwarder_t *forwarder, unsigned service)
{
    MvService_Load(forwarder, service)->unanswered_flows = 0;
}

unsigned
MvFlow_ChooseService(const mv_table_route_t *route, const mv_flow_name_t *name)
{
    if (route->route.share_count < 2 || route->total_weight == 0) {
        return route->services[0];
    }
    uint64_t point = XXH3_64bits(name, sizeof(*name)) % route->total_weight;
    unsigned i = 0;
    while (i + 1 < route->route.share_count &&
           point >= route->route.shares[i].weight) {
        point -= route->route.shares[i++].weight;
    }
    return route->services[i];
}

bool
MvService_IsEvacuated(const mv_forwarder_t *forwarder, unsigned service)
{
    return forwarder->table->services[service].evacuated_count > 0;
}

mv_flow_verdict_t
MvFlow_ForwardTo(const mv_table_server_t *server)
{
    return (mv_flow_verdict_t){.kind = MV_FLOW_FORWARD,
                               .reason = MV_COUNTER_PACKETS_FORWARDED,
                               .address = server->server.address,
                               .port = server->server.port,
                               .server = server->server.id,
                               .tag = server->tag};
}

mv_flow_verdict_t
MvFlow_SendSyn(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
               unsigned position)
{
    mv_server_health_t *health = forwarder->health_by_position[position];
    flow->tag = health->tag;
    if (flow->syn_count++ == 0) {
        flow->told_at = now;
        health->warmup.used_at = now;
        MvCounters_Add(forwarder->counters, MV_COUNTER_FLOWS_REMOTE,
                       !forwarder->table->servers[position].is_local);
    }
    flow->syn_sent_at = now;
    flow->syn_timeout = MvDataCentreHealth_SynTimeout(health->dc_health);
    forwarder->due_at = MIN(forwarder->due_at,
                            now + MIN(flow->syn_timeout, MV_OFFER_INTERVAL));
    MvFlow_Release(flow);
    flow->counted_by = health;
    health->outstanding++;
    MvFlow_SetPendingService(
        flow, MvService_Load(forwarder,
                             forwarder->table->servers[position].service));
    MvServerHealth_NoteSyn(health, now);
    return MvFlow_ForwardTo(&forwarder->table->servers[position]);
}

bool
MvFlowName_IsLogged(const mv_forwarder_t *forwarder,
                    const mv_flow_name_t *name, bool is_rare)
{
    return is_rare || (forwarder->log_sample > 0 &&
                       MvFlowName_Hash(name) % forwarder->log_sample == 0);
}

void
MvFlow_LogDecision(const mv_forwarder_t *forwarder, const mv_flow_t *flow,
                   mv_time_t now, mv_log_event_t event, bool is_rare)
{
    if (!MvFlowName_IsLogged(forwarder, &flow->name, is_rare)) {
        return;
    }
    const mv_server_health_t *health =
        MvServerHealth_Find(forwarder, flow->tag);
    int position = MvTable_Server(forwarder->table, flow->tag);
    const mv_flow_decision_t decision = {
        .event = event,
        .name = flow->name,
        .is_rare = is_rare,
        .server = health ? health->server : 0,
        .reason = flow->phase == MV_FLOW_REFUSED
                      ? flow->refusal
                      : MV_COUNTER_PACKETS_FORWARDED,
        .candidates =
            position < 0
                ? 0
                : forwarder->table
                      ->services[forwarder->table->servers[position].service]
                      .count,
        .outstanding = health ? health->outstanding : 0,
        .syns = flow->syn_count,
        .unanswered = flow->syn_timeouts,
        .version = forwarder->table->version,
        .revision = forwarder->table->revision,
        .queue_time = flow->queue_time,
        .took = now - flow->began_at,
    };
    forwarder->ops->decided(forwarder->context, &decision);
}
