/* Flows that this node has seen: their phases, offers and reports. */
#include <string.h>
#include <xxhash.h>

#include "forwarder_private.h"

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
MvFlow_Waits(mv_flow_t *flow, mv_service_load_t *load)
{
    if (flow->waits_for) {
        flow->waits_for->waiting--;
    }
    flow->waits_for = load;
    if (load) {
        load->waiting++;
    }
}

void
MvFlow_Release(mv_flow_t *flow)
{
    MvFlow_Waits(flow, NULL);
    if (flow->counted) {
        flow->counted->outstanding--;
        flow->counted = NULL;
    }
}

void
MvFlow_Forget(mv_forwarder_t *forwarder, mv_flow_t *flow)
{
    MvFlow_Release(flow);
    MvList_Remove(&flow->exchange.link);
    MvList_Remove(&flow->link);
    g_hash_table_remove(forwarder->flows, &flow->name);
}

void
MvFlow_SetPhase(mv_forwarder_t *forwarder, mv_flow_t *flow,
                mv_flow_phase_t phase)
{
    mv_list_t *lists[] = {
        [MV_FLOW_HELD] = &forwarder->queue_time,
        [MV_FLOW_OPENING] = &forwarder->opening,
        [MV_FLOW_OPEN] = &forwarder->open,
        [MV_FLOW_CLOSED] = &forwarder->closed,
    };
    flow->phase = phase;
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

unsigned
MvFlow_Service(const mv_table_route_t *route, const mv_flow_name_t *name)
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
MvFlow_Offer(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
             unsigned position)
{
    mv_standing_t *standing = forwarder->by_position[position];
    if (flow->offer_count == MV_MAX_OFFERS) {
        memmove(flow->offers, flow->offers + 1,
                (MV_MAX_OFFERS - 1) * sizeof(flow->offers[0]));
        flow->offer_count--;
    }
    flow->offers[flow->offer_count++] = standing->tag;
    flow->offered_at = now;
    flow->wait = MvCentre_Wait(standing->centre);
    forwarder->due_at = MIN(forwarder->due_at, now + flow->wait);
    MvFlow_Release(flow);
    flow->counted = standing;
    standing->outstanding++;
    MvFlow_Waits(flow,
                 MvService_Load(forwarder,
                                forwarder->table->servers[position].service));
    MvStanding_Offered(standing, now);
    return MvFlow_ForwardTo(&forwarder->table->servers[position]);
}

bool
MvFlowName_IsTold(const mv_forwarder_t *forwarder, const mv_flow_name_t *name,
                  bool is_rare)
{
    return is_rare || (forwarder->sample > 0 &&
                       MvFlowName_Hash(name) % forwarder->sample == 0);
}

/* Return: id of the server that got the opening packet before the last and
 * did not answer it, or 0. */
static uint64_t
unanswered_before(const mv_forwarder_t *forwarder, const mv_flow_t *flow)
{
    if (flow->offer_count < 2 ||
        flow->offers[flow->offer_count - 2] == flow->tag) {
        return 0;
    }
    const mv_standing_t *standing =
        MvStanding_Find(forwarder, flow->offers[flow->offer_count - 2]);
    return standing ? standing->server : 0;
}

void
MvFlow_Tell(const mv_forwarder_t *forwarder, const mv_flow_t *flow,
            mv_time_t now, mv_log_event_t event, bool is_rare)
{
    if (!MvFlowName_IsTold(forwarder, &flow->name, is_rare)) {
        return;
    }
    uint32_t tag = flow->tag ? flow->tag : flow->offers[flow->offer_count - 1];
    const mv_standing_t *standing = MvStanding_Find(forwarder, tag);
    int position = MvTable_Server(forwarder->table, tag);
    const mv_flow_decision_t decision = {
        .event = event,
        .name = flow->name,
        .is_rare = is_rare,
        .server = standing ? standing->server : 0,
        .instead_of = unanswered_before(forwarder, flow),
        .reason = MV_COUNTER_PACKETS_FORWARDED,
        .candidates =
            position < 0
                ? 0
                : forwarder->table
                      ->services[forwarder->table->servers[position].service]
                      .count,
        .outstanding = standing ? standing->outstanding : 0,
        .offers = flow->offer_count,
        .version = forwarder->table->version,
        .revision = forwarder->table->revision,
        .queue_time = flow->queue_time,
        .took = now - flow->began_at,
    };
    forwarder->ops->decided(forwarder->context, &decision);
}
