/* Decision about one packet; runs on traffic threads. */
#include "node_private.h"
#include "packet.h"

#include <string.h>

static mv_verdict_t
drop(mv_counter_id_t reason)
{
    return (mv_verdict_t){.kind = MV_VERDICT_DROP, .reason = reason};
}

static void
count_open_flow(const mv_view_service_t *service, uint16_t endpoint,
                int32_t change)
{
    if (endpoint < MV_MAX_COUNTED_ENDPOINTS) {
        __atomic_fetch_add(&service->load_counts[endpoint], change,
                           __ATOMIC_RELAXED);
    }
}

/* Takes health samples of an endpoint: a later packet of a new flow shows that
 * the endpoint answered, as answers do not pass through this node. */
static void
record_sample(mv_node_t *node, const mv_view_service_t *service,
              uint16_t endpoint, const mv_packet_t *packet, uint64_t hash,
              mv_time_t now)
{
    if (packet->is_syn) {
        MvSamples_RecordSyn(&node->samples, hash, service->config->id,
                            endpoint, now);
        return;
    }
    uint16_t answered =
        MvSamples_RecordAnswer(&node->samples, hash, service->config->id);
    if (answered < MV_MAX_COUNTED_ENDPOINTS) {
        __atomic_fetch_add(
            &service->load_counts[MV_MAX_COUNTED_ENDPOINTS + answered], 1,
            __ATOMIC_RELAXED);
    }
}

static mv_verdict_t
forward(mv_node_t *node, const mv_view_service_t *service, uint16_t id,
        const mv_packet_t *packet, uint64_t hash, mv_time_t now)
{
    const mv_endpoint_t *endpoint =
        MvService_FindEndpoint(service->config, id);
    if (!endpoint) {
        return drop(MV_COUNTER_PACKETS_NO_ENDPOINT);
    }
    record_sample(node, service, id, packet, hash, now);
    if (packet->is_syn) {
        MvCounters_Add(node->counters, MV_COUNTER_FLOWS_NEW, 1);
        count_open_flow(service, id, 1);
    }
    if (packet->is_close) {
        MvCounters_Add(node->counters, MV_COUNTER_FLOWS_CLOSED, 1);
        count_open_flow(service, id, -1);
    }
    return (mv_verdict_t){.kind = MV_VERDICT_FORWARD,
                          .service = service->config->id,
                          .endpoint = id,
                          .address = endpoint->address,
                          .port = endpoint->packet_port};
}

/* Endpoint of a flow without a flow entry, which is recorded in
 * MV_BUCKET_ANNOUNCED and MV_BUCKET_MIXED. */
static uint16_t
record_flow(mv_node_t *node, const mv_view_bucket_t *bucket, mv_flow_key_t key,
            const mv_packet_t *packet, uint32_t now_ms)
{
    if (bucket->phase == MV_BUCKET_RECORDED ||
        bucket->phase == MV_BUCKET_STABLE) {
        return bucket->endpoint;
    }
    bool is_new = bucket->phase == MV_BUCKET_MIXED && packet->is_syn;
    uint16_t endpoint = is_new ? bucket->next : bucket->endpoint;
    uint16_t flags = MV_FLOW_UNREPLICATED | (is_new ? MV_FLOW_NEW : 0);
    uint16_t recorded =
        MvFlowTable_Insert(node->flows, key, now_ms, endpoint, flags);
    if (recorded != MV_NO_ENDPOINT) {
        MvCounters_Add(node->counters, MV_COUNTER_FLOW_ENTRIES_RECORDED, 1);
        return recorded;
    }
    /* Flow table full: use the bucket's endpoint, as other nodes would. */
    MvCounters_Add(node->counters, MV_COUNTER_FLOW_TABLE_FULL, 1);
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

/* The state of this node may be stale: its control thread was paused, or it
 * is synchronising with the other nodes. */
static bool
is_fenced(const mv_node_t *node, const mv_view_t *view, mv_time_t now)
{
    mv_time_t last_timer =
        __atomic_load_n(&node->last_timer_published, __ATOMIC_RELAXED);
    return view->fenced || now - last_timer > MV_FENCE_AFTER;
}

/**
 * struct location - Service, bucket and flow of a packet.
 * @service: its service
 * @bucket: its bucket
 * @group: group of the bucket
 * @key: identity of its flow
 * @hash: hash of @key
 */
typedef struct location {
    const mv_view_service_t *service;
    const mv_view_bucket_t *bucket;
    uint32_t group;
    mv_flow_key_t key;
    uint64_t hash;
} location_t;

static bool
find_location(const mv_view_t *view, const mv_packet_t *packet,
              location_t *location)
{
    location->service =
        MvView_Find(view, packet->destination, packet->destination_port);
    if (!location->service) {
        return false;
    }
    uint16_t id = location->service->config->id;
    location->key = (mv_flow_key_t){
        .address = packet->source, .port = packet->source_port, .service = id};
    location->hash = MvFlowKey_Hash(location->key);
    uint32_t number =
        MvFlowHash_Bucket(location->hash, location->service->mask);
    location->bucket = &location->service->buckets[number];
    location->group = MvGroup_Of(id, number);
    return true;
}

/*
 * Returns the node that decides about a packet.  A fenced node relays packets
 * of its own groups to the backup, as the others may have declared it dead,
 * unless another node has just relayed the packet here.
 */
static mv_node_id_t
deciding_node(const mv_node_t *node, const mv_view_t *view,
              const location_t *location, bool fenced, uint8_t hops)
{
    mv_node_id_t self = node->settings.id;
    mv_node_id_t primary = view->holders.primary[location->group];
    if (location->bucket->phase == MV_BUCKET_STABLE && !fenced) {
        return self;
    }
    if (fenced && primary == self && hops == 0) {
        primary = view->holders.backup[location->group];
    }
    return primary == MV_NO_NODE ? self : primary;
}

static uint16_t
recorded_endpoint(mv_node_t *node, const location_t *location,
                  const mv_packet_t *packet, mv_time_t now)
{
    return MvFlowTable_Touch(node->flows, location->key,
                             MvNode_Milliseconds(now), packet->is_close);
}

/* Returns another node that may have recorded the flow while holders change.
 */
static mv_node_id_t
other_possible_primary(const mv_view_t *view, const location_t *location,
                       const mv_packet_t *packet, uint8_t hops)
{
    /* In MV_BUCKET_RECORDED every old flow has a flow entry here, so a flow
     * without one need not be looked up at another node. */
    bool may_be_elsewhere = location->bucket->phase == MV_BUCKET_ANNOUNCED ||
                            location->bucket->phase == MV_BUCKET_MIXED;
    return may_be_elsewhere && !packet->is_syn && hops < MV_MAX_HOPS
               ? view->other_primary[location->group]
               : MV_NO_NODE;
}

static mv_verdict_t
decide_locally(mv_node_t *node, const mv_view_t *view,
               const location_t *location, const mv_packet_t *packet,
               mv_time_t now, uint8_t hops)
{
    const mv_view_service_t *service = location->service;
    if (location->bucket->phase == MV_BUCKET_STABLE && hops == 0) {
        return forward(node, service, location->bucket->endpoint, packet,
                       location->hash, now);
    }
    uint16_t endpoint = recorded_endpoint(node, location, packet, now);
    if (endpoint != MV_NO_ENDPOINT) {
        return forward(node, service, endpoint, packet, location->hash, now);
    }
    mv_node_id_t other = other_possible_primary(view, location, packet, hops);
    if (other != MV_NO_NODE) {
        return relay(service->config->id, other, hops);
    }
    endpoint = record_flow(node, location->bucket, location->key, packet,
                           MvNode_Milliseconds(now));
    return forward(node, service, endpoint, packet, location->hash, now);
}

mv_verdict_t
MvSteer_Packet(mv_node_t *node, const mv_view_t *view, mv_time_t now,
               const uint8_t *data, size_t length, uint8_t hops)
{
    mv_packet_t packet;
    location_t location;
    mv_counter_id_t reason;
    if (!MvPacket_Parse(data, length, &packet, &reason)) {
        return drop(reason);
    }
    if (!view) {
        return drop(MV_COUNTER_PACKETS_NO_CONFIG);
    }
    if (!find_location(view, &packet, &location)) {
        return drop(MV_COUNTER_PACKETS_NO_SERVICE);
    }
    if (view->was_primary[location.group] && !packet.is_syn &&
        location.bucket->phase != MV_BUCKET_STABLE) {
        /* Other nodes may still send packets to the former primary: its flow
         * entries remain valid. */
        uint16_t recorded = recorded_endpoint(node, &location, &packet, now);
        if (recorded != MV_NO_ENDPOINT) {
            return forward(node, location.service, recorded, &packet,
                           location.hash, now);
        }
    }
    mv_node_id_t decider =
        deciding_node(node, view, &location, is_fenced(node, view, now), hops);
    if (decider != node->settings.id && hops < MV_MAX_HOPS) {
        return relay(location.service->config->id, decider, hops);
    }
    return decide_locally(node, view, &location, &packet, now, hops);
}
