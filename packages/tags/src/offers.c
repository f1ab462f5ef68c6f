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
/* Encoded offer, big-endian: format and flags (1 byte), caller and address (4
 * each), their ports (2 each), tag, sequence number, acknowledgement number (4
 * each). */
#define OFFER_BYTES 25

/* First byte of an encoded offer: the format, and which numbers are set. */
enum {
    OFFER_FORMAT = 0x20,
    OFFER_HAS_SEQUENCE = 1,
    OFFER_HAS_ACKNOWLEDGED = 2,
    OFFER_FLAGS = OFFER_HAS_SEQUENCE | OFFER_HAS_ACKNOWLEDGED,
};

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
        uint8_t bytes[OFFER_BYTES] = {
            (uint8_t)(OFFER_FORMAT |
                      (offers[i].has_sequence ? OFFER_HAS_SEQUENCE : 0) |
                      (offers[i].has_acknowledged ? OFFER_HAS_ACKNOWLEDGED
                                                  : 0))};
        put_number(bytes + 1, name->caller, 4);
        put_number(bytes + 5, name->address, 4);
        put_number(bytes + 9, name->caller_port, 2);
        put_number(bytes + 11, name->port, 2);
        put_number(bytes + 13, offers[i].tag, 4);
        put_number(bytes + 17, offers[i].sequence, 4);
        put_number(bytes + 21, offers[i].acknowledged, 4);
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
        if ((from[0] & ~OFFER_FLAGS) != OFFER_FORMAT) {
            return 0;
        }
        offers[i] = (mv_flow_offer_t){
            .name = {.caller = get_number(from + 1, 4),
                     .address = get_number(from + 5, 4),
                     .caller_port = (uint16_t)get_number(from + 9, 2),
                     .port = (uint16_t)get_number(from + 11, 2)},
            .tag = get_number(from + 13, 4),
            .has_sequence = (from[0] & OFFER_HAS_SEQUENCE) != 0,
            .sequence = get_number(from + 17, 4),
            .has_acknowledged = (from[0] & OFFER_HAS_ACKNOWLEDGED) != 0,
            .acknowledged = get_number(from + 21, 4)};
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
    untold->flows[untold->count++] = MvFlow_Tell(flow);
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
        openings[count++] = MvFlow_Tell(flow);
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

/* Finds the entry of a flow that another node tells of.  The entry of another
 * flow of its name makes room for it once that one is quiet.
 * @is_other: set to whether the entry is of such a flow, and stays */
static mv_flow_t *
find_told(mv_forwarder_t *forwarder, const mv_flow_offer_t *told,
          mv_time_t now, bool *is_other)
{
    mv_flow_t *flow = g_hash_table_lookup(forwarder->flows, &told->name);
    *is_other = flow && !MvFlow_IsTold(flow, told);
    if (*is_other && MvFlow_IsQuiet(flow, now)) {
        MvFlow_Remove(forwarder, flow);
        *is_other = false;
        return NULL;
    }
    return flow;
}

void
MvForwarder_ReceiveOffers(mv_forwarder_t *forwarder, mv_time_t now,
                          const mv_flow_offer_t *offers, size_t count)
{
    for (size_t i = 0; forwarder->table && i < count; i++) {
        bool is_other = false;
        mv_flow_t *flow = find_told(forwarder, &offers[i], now, &is_other);
        if (is_other) {
            continue;
        }
        if (!flow) {
            flow =
                MvFlow_Add(forwarder, &offers[i].name, now, MV_FLOW_OFFERED);
            MvFlow_NoteTold(flow, &offers[i]);
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
        bool is_other = false;
        mv_flow_t *flow = find_told(forwarder, &openings[i], now, &is_other);
        if (!flow) {
            flow = MvFlow_Add(forwarder, &openings[i].name, now, MV_FLOW_OPEN);
        }
        if (is_other || flow->has_opened_here ||
            flow->phase == MV_FLOW_CLOSED) {
            continue;
        }
        MvCounters_Add(forwarder->counters, MV_COUNTER_OPENINGS_ADOPTED, 1);
        MvFlow_Release(flow);
        flow->is_contested = true;
        MvFlow_NoteTold(flow, &openings[i]);
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
