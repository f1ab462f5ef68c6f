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
    if (bucket->phase == MV_BUCKET_RECORDED ||
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

/* This node's knowledge may be old: it was paused, or is asking the others. */
static bool
is_fenced(const mv_node_t *node, const mv_view_t *view, mv_time_t now)
{
    mv_time_t fresh = __atomic_load_n(&node->fresh_at, __ATOMIC_RELAXED);
    return view->fenced || now - fresh > MV_FENCE_AFTER;
}

/**
 * struct place - Where a packet belongs.
 * @service: its service
 * @bucket: its bucket
 * @group: group of the bucket
 * @key: identity of its flow
 * @hash: hash of @key
 */
typedef struct place {
    const mv_view_service_t *service;
    const mv_view_bucket_t *bucket;
    uint32_t group;
    mv_flow_key_t key;
    uint64_t hash;
} place_t;

static bool
find_place(const mv_view_t *view, const mv_packet_t *packet, place_t *place)
{
    place->service =
        MvView_Find(view, packet->destination, packet->destination_port);
    if (!place->service) {
        return false;
    }
    uint16_t id = place->service->service->id;
    place->key = (mv_flow_key_t){
        .address = packet->source, .port = packet->source_port, .service = id};
    place->hash = MvFlowKey_Hash(place->key);
    uint32_t number = MvFlowHash_Bucket(place->hash, place->service->mask);
    place->bucket = &place->service->buckets[number];
    place->group = MvGroup_Of(id, number);
    return true;
}

/*
 * Who decides about a packet.  A fenced node trusts not even that it is home
 * itself, as the others may have declared it dead; unless one of them has
 * just relayed the packet here.
 */
static mv_node_id_t
who_decides(const mv_node_t *node, const mv_view_t *view, const place_t *place,
            bool fenced, uint8_t hops)
{
    mv_node_id_t self = node->settings.id;
    mv_node_id_t home = view->homes.home[place->group];
    if (place->bucket->phase == MV_BUCKET_STABLE && !fenced) {
        return self;
    }
    if (fenced && home == self && hops == 0) {
        home = view->homes.second[place->group];
    }
    return home == MV_NO_NODE ? self : home;
}

static uint16_t
named_endpoint(mv_node_t *node, const place_t *place,
               const mv_packet_t *packet, mv_time_t now)
{
    return MvFlowTable_Touch(node->flows, place->key, MvNode_Milliseconds(now),
                             packet->is_close);
}

/* Another home that may have named the flow while homes change. */
static mv_node_id_t
who_else_knows(const mv_view_t *view, const place_t *place,
               const mv_packet_t *packet, uint8_t hops)
{
    /* Once old flows are named, one without a name needs no other's word. */
    bool unsure = place->bucket->phase == MV_BUCKET_ANNOUNCED ||
                  place->bucket->phase == MV_BUCKET_MIXED;
    return unsure && !packet->is_syn && hops < MV_MAX_HOPS
               ? view->other[place->group]
               : MV_NO_NODE;
}

static mv_verdict_t
decide_here(mv_node_t *node, const mv_view_t *view, const place_t *place,
            const mv_packet_t *packet, mv_time_t now, uint8_t hops)
{
    const mv_view_service_t *service = place->service;
    if (place->bucket->phase == MV_BUCKET_STABLE && hops == 0) {
        return forward(node, service, place->bucket->endpoint, packet,
                       place->hash, now);
    }
    uint16_t endpoint = named_endpoint(node, place, packet, now);
    if (endpoint != MV_NO_ENDPOINT) {
        return forward(node, service, endpoint, packet, place->hash, now);
    }
    mv_node_id_t other = who_else_knows(view, place, packet, hops);
    if (other != MV_NO_NODE) {
        return relay(service->service->id, other, hops);
    }
    endpoint = name_flow(node, place->bucket, place->key, packet,
                         MvNode_Milliseconds(now));
    return forward(node, service, endpoint, packet, place->hash, now);
}

mv_verdict_t
MvSteer_Packet(mv_node_t *node, const mv_view_t *view, mv_time_t now,
               const uint8_t *data, size_t length, uint8_t hops)
{
    mv_packet_t packet;
    place_t place;
    mv_counter_id_t reason;
    if (!MvPacket_Parse(data, length, &packet, &reason)) {
        return drop(reason);
    }
    if (!view) {
        return drop(MV_COUNTER_PACKETS_NO_CONFIG);
    }
    if (!find_place(view, &packet, &place)) {
        return drop(MV_COUNTER_PACKETS_NO_SERVICE);
    }
    if (view->was_home[place.group] && !packet.is_syn &&
        place.bucket->phase != MV_BUCKET_STABLE) {
        /* Others may not know yet who is home: what was named here holds. */
        uint16_t known = named_endpoint(node, &place, &packet, now);
        if (known != MV_NO_ENDPOINT) {
            return forward(node, place.service, known, &packet, place.hash,
                           now);
        }
    }
    mv_node_id_t decider =
        who_decides(node, view, &place, is_fenced(node, view, now), hops);
    if (decider != node->settings.id && hops < MV_MAX_HOPS) {
        return relay(place.service->service->id, decider, hops);
    }
    return decide_here(node, view, &place, &packet, now, hops);
}
