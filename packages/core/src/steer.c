/* The decision about one packet, taken by traffic threads. */
#include "node_private.h"
#include "packet.h"

#include <string.h>

static mv_verdict_t
drop(mv_counter_id_t reason)
{
    return (mv_verdict_t){.kind = MV_VERDICT_DROP, .reason = reason};
}

static void
count_open(const mv_view_service_t *service, uint16_t endpoint, int32_t change)
{
    if (endpoint < MV_LOAD_SLOTS) {
        __atomic_fetch_add(&service->open[endpoint], change, __ATOMIC_RELAXED);
    }
}

/* Does the endpoint answer?  Its callers' next packets tell. */
static void
sample(mv_node_t *node, const mv_view_service_t *service, uint16_t endpoint,
       const mv_packet_t *packet, uint64_t hash, mv_time_t now)
{
    if (packet->is_syn) {
        MvSamples_Opened(&node->samples, hash, service->service->id, endpoint,
                         now);
        return;
    }
    uint16_t answered =
        MvSamples_Continued(&node->samples, hash, service->service->id);
    if (answered < MV_LOAD_SLOTS) {
        __atomic_fetch_add(&service->open[MV_LOAD_SLOTS + answered], 1,
                           __ATOMIC_RELAXED);
    }
}

static mv_verdict_t
forward(mv_node_t *node, const mv_view_service_t *service, uint16_t id,
        const mv_packet_t *packet, uint64_t hash, mv_time_t now)
{
    const mv_endpoint_t *endpoint = MvService_Endpoint(service->service, id);
    if (!endpoint) {
        return drop(MV_COUNTER_PACKETS_NO_ENDPOINT);
    }
    sample(node, service, id, packet, hash, now);
    if (packet->is_syn) {
        MvCounters_Add(node->counters, MV_COUNTER_FLOWS_NEW, 1);
        count_open(service, id, 1);
    }
    if (packet->is_close) {
        MvCounters_Add(node->counters, MV_COUNTER_FLOWS_CLOSED, 1);
        count_open(service, id, -1);
    }
    return (mv_verdict_t){.kind = MV_VERDICT_FORWARD,
                          .service = service->service->id,
                          .endpoint = id,
                          .address = endpoint->address,
                          .port = endpoint->packet_port};
}

/* Record a flow that nobody has named; return its endpoint. */
static uint16_t
name_flow(mv_node_t *node, const mv_view_bucket_t *bucket, mv_flow_key_t key,
          const mv_packet_t *packet, uint32_t now_ms)
{
    if (bucket->phase == MV_BUCKET_NAMED ||
        bucket->phase == MV_BUCKET_STABLE) {
        return bucket->endpoint;
    }
    bool is_new = bucket->phase == MV_BUCKET_MIXED && packet->is_syn;
    uint16_t endpoint = is_new ? bucket->next : bucket->endpoint;
    uint16_t flags = MV_FLOW_UNCOPIED | (is_new ? MV_FLOW_NEW : 0);
    uint16_t recorded =
        MvFlowTable_Insert(node->flows, key, now_ms, endpoint, flags);
    if (recorded != MV_NO_ENDPOINT) {
        MvCounters_Add(node->counters, MV_COUNTER_FLOW_ENTRIES_RECORDED, 1);
        return recorded;
    }
    /* Full: a flow that cannot be named stays where others find it. */
    MvCounters_Add(node->counters, MV_COUNTER_FLOW_ENTRIES_EVICTED, 1);
    return bucket->endpoint;
}

static mv_verdict_t
relay(uint16_t service, mv_node_id_t to, uint8_t hops)
{
    return (mv_verdict_t){.kind = MV_VERDICT_RELAY,
                          .service = service,
                          .node = to,
                          .hops = (uint8_t)(hops + 1)};
}

static bool
should_relay(const mv_node_t *node, const mv_view_t *view,
             const mv_view_bucket_t *bucket, mv_node_id_t home, bool fenced,
             uint8_t hops)
{
    if (home == node->settings.id || home == MV_NO_NODE ||
        hops >= MV_MAX_HOPS) {
        return false;
    }
    return bucket->phase != MV_BUCKET_STABLE || fenced || view->fenced;
}

mv_verdict_t
MvSteer_Packet(mv_node_t *node, const mv_view_t *view, mv_time_t now,
               const uint8_t *data, size_t length, uint8_t hops)
{
    mv_packet_t packet;
    mv_counter_id_t reason;
    if (!MvPacket_Parse(data, length, &packet, &reason)) {
        return drop(reason);
    }
    if (!view) {
        return drop(MV_COUNTER_PACKETS_NO_CONFIG);
    }
    const mv_view_service_t *service =
        MvView_Find(view, packet.destination, packet.destination_port);
    if (!service) {
        return drop(MV_COUNTER_PACKETS_NO_SERVICE);
    }
    uint16_t id = service->service->id;
    mv_flow_key_t key = {
        .address = packet.source, .port = packet.source_port, .service = id};
    uint64_t hash = MvFlowKey_Hash(key);
    uint32_t number = MvFlowHash_Bucket(hash, service->mask);
    const mv_view_bucket_t *bucket = &service->buckets[number];
    mv_node_id_t home = view->homes.home[MvGroup_Of(id, number)];
    mv_time_t fresh = __atomic_load_n(&node->fresh_at, __ATOMIC_RELAXED);
    bool fenced = now - fresh > MV_FENCE_AFTER;
    uint32_t now_ms = MvNode_Milliseconds(now);
    mv_node_id_t other = view->other[MvGroup_Of(id, number)];
    if (view->was_home[MvGroup_Of(id, number)] && !packet.is_syn &&
        bucket->phase != MV_BUCKET_STABLE) {
        /* Others may not know yet who is home: what was named here holds. */
        uint16_t known =
            MvFlowTable_Touch(node->flows, key, now_ms, packet.is_close);
        if (known != MV_NO_ENDPOINT) {
            return forward(node, service, known, &packet, hash, now);
        }
    }
    if (should_relay(node, view, bucket, home, fenced, hops)) {
        return relay(id, home, hops);
    }
    if (bucket->phase == MV_BUCKET_STABLE && hops == 0) {
        return forward(node, service, bucket->endpoint, &packet, hash, now);
    }
    uint16_t endpoint =
        MvFlowTable_Touch(node->flows, key, now_ms, packet.is_close);
    /* Once old flows are named, one without a name needs no other's word. */
    bool unsure = bucket->phase == MV_BUCKET_ANNOUNCED ||
                  bucket->phase == MV_BUCKET_MIXED;
    if (endpoint == MV_NO_ENDPOINT && other != MV_NO_NODE && unsure &&
        !packet.is_syn && hops < MV_MAX_HOPS) {
        return relay(id, other, hops);
    }
    if (endpoint == MV_NO_ENDPOINT) {
        endpoint = name_flow(node, bucket, key, &packet, now_ms);
    }
    return forward(node, service, endpoint, &packet, hash, now);
}
