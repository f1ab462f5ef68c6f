/* Flows that nodes tell each other: before they have opened, and when they
 * opened although another node may have offered them elsewhere.
 *
 * The failure this guards against: the answer to a SYN is late, and meanwhile
 * the fabric sends the caller's retransmission to another node.  That node
 * must not offer the flow to a second server (&struct mv_flow).  Where it was
 * offered to two all the same, the callers repeat the tag of either: the nodes
 * must know at which it opened.  Openings that are answered soon and whose
 * first SYN arrived, nearly all, cost no message. */
#include <string.h>

#include "forwarder_private.h"

/* Offers, and openings, that a node tells in a second; while many servers are
 * silent the others are not told. */
#define MAX_TOLD_PER_SECOND 128
/* Callers have given up a flow that has not opened this long after its SYN. */
#define OFFER_LIFETIME (1500 * MV_MILLISECOND)
/* Encoded offer, big-endian: caller and address (4 bytes each), their ports (2
 * each), tag (4). */
#define OFFER_BYTES 16

static void
put_number(uint8_t *to, uint32_t value, unsigned bytes)
{
    while (bytes > 0) {
        to[--bytes] = (uint8_t)value;
        value >>= 8;
    }
}

static uint32_t
get_number(const uint8_t *from, unsigned bytes)
{
    uint32_t value = 0;
    for (unsigned i = 0; i < bytes; i++) {
        value = value << 8 | from[i];
    }
    return value;
}

bool
MvFlowOffers_Encode(const mv_flow_offer_t *offers, size_t count,
                    mv_buffer_t *out)
{
    for (size_t i = 0; i < count; i++) {
        const mv_flow_name_t *name = &offers[i].name;
        uint8_t bytes[OFFER_BYTES];
        put_number(bytes, name->caller, 4);
        put_number(bytes + 4, name->address, 4);
        put_number(bytes + 8, name->caller_port, 2);
        put_number(bytes + 10, name->port, 2);
        put_number(bytes + 12, offers[i].tag, 4);
        if (!MvBuffer_Append(out, bytes, sizeof(bytes))) {
            return false;
        }
    }
    return true;
}

size_t
MvFlowOffers_Decode(const char *bytes, size_t length,
                    mv_flow_offer_t offers[MV_MAX_OFFERS])
{
    const uint8_t *from = (const uint8_t *)bytes;
    size_t count = length / OFFER_BYTES;
    if (length % OFFER_BYTES != 0 || count > MV_MAX_OFFERS) {
        return 0;
    }
    for (size_t i = 0; i < count; i++, from += OFFER_BYTES) {
        offers[i] = (mv_flow_offer_t){
            .name = {.caller = get_number(from, 4),
                     .address = get_number(from + 4, 4),
                     .caller_port = (uint16_t)get_number(from + 8, 2),
                     .port = (uint16_t)get_number(from + 10, 2)},
            .tag = get_number(from + 12, 4)};
    }
    return count;
}

/* Return: false when the limit on flows told is reached. */
static bool
add_untold(mv_untold_flows_t *untold, const mv_flow_t *flow, mv_time_t now)
{
    if (now - untold->counted_at > MV_SECOND) {
        untold->counted_at = now;
        untold->told = 0;
    }
    if (untold->told == MAX_TOLD_PER_SECOND) {
        return false;
    }
    untold->told++;
    untold->flows[untold->count++] =
        (mv_flow_offer_t){.name = flow->name, .tag = flow->tag};
    return true;
}

static void
tell_offer(mv_forwarder_t *forwarder, const mv_flow_t *flow, mv_time_t now)
{
    if (add_untold(&forwarder->offers, flow, now) &&
        forwarder->offers.count == MV_MAX_OFFERS) {
        MvOffers_Flush(forwarder);
    }
}

mv_time_t
MvOffers_Check(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    if (now >= flow->told_at + MV_OFFER_INTERVAL) {
        flow->told_at = now;
        tell_offer(forwarder, flow, now);
    }
    return flow->told_at + MV_OFFER_INTERVAL;
}

void
MvOffers_TellOpening(mv_forwarder_t *forwarder, const mv_flow_t *flow,
                     mv_time_t now)
{
    if (!add_untold(&forwarder->openings, flow, now)) {
        MvCounters_Add(forwarder->counters, MV_COUNTER_OPENINGS_UNTOLD, 1);
        return;
    }
    forwarder->due_at = now;
    if (forwarder->openings.count == MV_MAX_OFFERS) {
        MvOffers_Flush(forwarder);
    }
}

void
MvForwarder_RetellOpenings(mv_forwarder_t *forwarder, mv_node_id_t to)
{
    mv_flow_offer_t openings[MV_MAX_OFFERS];
    size_t count = 0;
    MV_LIST_FOREACH(item, &forwarder->open)
    {
        const mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        if (!flow->is_contested) {
            continue;
        }
        openings[count++] =
            (mv_flow_offer_t){.name = flow->name, .tag = flow->tag};
        if (count == MV_MAX_OFFERS) {
            forwarder->ops->opened(forwarder->context, to, openings, count);
            count = 0;
        }
    }
    if (count > 0) {
        forwarder->ops->opened(forwarder->context, to, openings, count);
    }
}

void
MvOffers_Flush(mv_forwarder_t *forwarder)
{
    mv_untold_flows_t *offers = &forwarder->offers;
    mv_untold_flows_t *openings = &forwarder->openings;
    if (offers->count > 0) {
        MvCounters_Add(forwarder->counters, MV_COUNTER_OFFERS_TOLD,
                       offers->count);
        forwarder->ops->offered(forwarder->context, offers->flows,
                                offers->count);
    }
    if (openings->count > 0) {
        MvCounters_Add(forwarder->counters, MV_COUNTER_OPENINGS_TOLD,
                       openings->count);
        forwarder->ops->opened(forwarder->context, MV_NO_NODE, openings->flows,
                               openings->count);
    }
    offers->count = 0;
    openings->count = 0;
}

/* A SYN that is stored here goes where its flow has been offered. */
static void
adopt_offer(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
            uint32_t tag)
{
    MvCounters_Add(forwarder->counters, MV_COUNTER_OFFERS_ADOPTED, 1);
    flow->tag = tag;
    flow->began_at = now;
    MvFlow_SetPhase(forwarder, flow, MV_FLOW_SYN_SENT);
    MvFlow_SendOwnedSyn(forwarder, flow, now);
}

void
MvForwarder_ReceiveOffers(mv_forwarder_t *forwarder, mv_time_t now,
                          const mv_flow_offer_t *offers, size_t count)
{
    for (size_t i = 0; forwarder->table && i < count; i++) {
        mv_flow_t *flow =
            g_hash_table_lookup(forwarder->flows, &offers[i].name);
        if (!flow) {
            flow =
                MvFlow_Add(forwarder, &offers[i].name, now, MV_FLOW_OFFERED);
            flow->tag = offers[i].tag;
        }
        else if (flow->phase == MV_FLOW_HELD ||
                 flow->phase == MV_FLOW_QUEUED) {
            adopt_offer(forwarder, flow, now, offers[i].tag);
        }
        else if (flow->has_opened_here && flow->tag != offers[i].tag) {
            flow->is_contested = true;
            MvOffers_TellOpening(forwarder, flow, now);
        }
    }
}

void
MvForwarder_ReceiveOpenings(mv_forwarder_t *forwarder, mv_time_t now,
                            const mv_flow_offer_t *openings, size_t count)
{
    for (size_t i = 0; forwarder->table && i < count; i++) {
        mv_flow_t *flow =
            g_hash_table_lookup(forwarder->flows, &openings[i].name);
        if (!flow) {
            flow = MvFlow_Add(forwarder, &openings[i].name, now, MV_FLOW_OPEN);
        }
        if (flow->has_opened_here || flow->phase == MV_FLOW_CLOSED) {
            continue;
        }
        MvCounters_Add(forwarder->counters, MV_COUNTER_OPENINGS_ADOPTED, 1);
        MvFlow_Release(flow);
        flow->is_contested = true;
        flow->tag = openings[i].tag;
        flow->last_seen_at = now;
        MvFlow_SetPhase(forwarder, flow, MV_FLOW_OPEN);
    }
}

void
MvOffers_RemoveExpired(mv_forwarder_t *forwarder, mv_time_t now)
{
    MV_LIST_FOREACH(item, &forwarder->offered)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        if (now - flow->began_at <= OFFER_LIFETIME) {
            return;
        }
        MvFlow_Remove(forwarder, flow);
    }
}
