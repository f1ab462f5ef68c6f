/* Which of the flows of a name a packet belongs to.
 *
 * The failure this guards against: a caller uses a port again, and a node that
 * has not seen the end of the flow before, as its last packets went through
 * another node, sends packets of the new flow to the server of the old one, or
 * refuses them as it refused the old one.  No message tells a node that a flow
 * has ended elsewhere; the packets themselves do: each end begins to count
 * anew, at a number that it draws.
 *
 * Where the numbers fit, the entry goes before the tag in the packet: a flow
 * that was offered to two servers gets late answers of the second one, whose
 * tag the caller then repeats. */
#include "forwarder_private.h"

/* Bytes that a flow carries in one direction from one packet that this node
 * sees to the next.  A flow that carried more elsewhere counts as another one:
 * its packets go where their tag says. */
#define MAX_STEP_BYTES (1u << 20)
/* The network delivers no packet later than this. */
#define MAX_PACKET_DELAY (2 * MV_SECOND)
/* A caller that goes on this long after it was sent a reset has not got it. */
#define RESET_TRAVEL_TIME (200 * MV_MILLISECOND)

/* Numbers wrap around at 2^32. */
static bool
is_near(uint32_t left, uint32_t right)
{
    return left - right + MAX_STEP_BYTES <= 2 * MAX_STEP_BYTES;
}

bool
MvFlow_IsOf(const mv_flow_t *flow, const mv_flow_packet_t *packet)
{
    if (packet->has_syn && flow->has_syn_sequence) {
        return packet->sequence == flow->syn_sequence;
    }
    if (flow->has_sequence && !is_near(flow->sequence, packet->sequence)) {
        return false;
    }
    return packet->has_syn || !flow->has_acknowledged ||
           !packet->has_acknowledged ||
           is_near(flow->acknowledged, packet->acknowledged);
}

bool
MvFlow_HasOpenedElsewhere(const mv_flow_t *flow,
                          const mv_flow_packet_t *packet, mv_time_t now)
{
    bool was_refused =
        flow->phase == MV_FLOW_REFUSED && !flow->has_acknowledged;
    bool is_own_offer = packet->tag == flow->tag;
    return was_refused && packet->has_acknowledged &&
           (!is_own_offer || now - flow->last_seen_at >= RESET_TRAVEL_TIME);
}

bool
MvFlow_IsTold(const mv_flow_t *flow, const mv_flow_offer_t *told)
{
    if (flow->has_sequence && told->has_sequence &&
        !is_near(flow->sequence, told->sequence)) {
        return false;
    }
    return !flow->has_acknowledged || !told->has_acknowledged ||
           is_near(flow->acknowledged, told->acknowledged);
}

bool
MvFlow_IsQuiet(const mv_flow_t *flow, mv_time_t now)
{
    return now - flow->last_seen_at >= MAX_PACKET_DELAY;
}

void
MvFlow_NoteNumbers(mv_flow_t *flow, const mv_flow_packet_t *packet)
{
    flow->has_sequence = true;
    flow->sequence = packet->sequence;
    if (packet->has_syn) {
        flow->has_syn_sequence = true;
        flow->syn_sequence = packet->sequence;
    }
    else if (packet->has_acknowledged) {
        flow->has_acknowledged = true;
        flow->acknowledged = packet->acknowledged;
    }
}

void
MvFlow_NoteTold(mv_flow_t *flow, const mv_flow_offer_t *told)
{
    flow->tag = told->tag;
    if (told->has_sequence) {
        flow->has_sequence = true;
        flow->sequence = told->sequence;
    }
    if (told->has_acknowledged) {
        flow->has_acknowledged = true;
        flow->acknowledged = told->acknowledged;
    }
}

mv_flow_offer_t
MvFlow_Tell(const mv_flow_t *flow)
{
    return (mv_flow_offer_t){.name = flow->name,
                             .tag = flow->tag,
                             .has_sequence = flow->has_sequence,
                             .sequence = flow->sequence,
                             .has_acknowledged = flow->has_acknowledged,
                             .acknowledged = flow->acknowledged};
}
