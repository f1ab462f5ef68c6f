/* Flows from a port that was used before, on nodes that remember the flow
 * before or were told of it. */
#include <gtest/gtest.h>

#include <functional>
#include <memory>

#include "tags_world.h"

namespace {

const uint16_t kPort = 443;
const uint16_t kCallerPort = 40001;
const uint64_t kServers = 8;

struct node_t : tags_world {
    explicit node_t(uint32_t seed = 7) : tags_world("casa", seed)
    {
        for (uint64_t id = 1; id <= kServers; id++) {
            announce(server(id, "booking", "casa"));
        }
        route(1, {{kPort, "booking"}});
        publish();
    }
};

/* One flow as its ends count it: the numbers that they draw. */
struct numbers_t {
    uint32_t caller;
    uint32_t server;
};

mv_flow_packet_t
syn_of(const numbers_t &flow, uint32_t retransmission = 0)
{
    mv_flow_packet_t packet = {};
    packet.has_syn = true;
    packet.sequence = flow.caller;
    packet.retransmission = retransmission;
    packet.until_next_syn = until_next_syn(retransmission);
    return packet;
}

/* A packet after @sent bytes of the caller and @received of the server. */
mv_flow_packet_t
packet_of(const numbers_t &flow, uint32_t tag, uint32_t sent = 0,
          uint32_t received = 0)
{
    mv_flow_packet_t packet = {};
    packet.tag = tag;
    packet.sequence = flow.caller + 1 + sent;
    packet.acknowledged = flow.server + 1 + received;
    packet.has_acknowledged = true;
    return packet;
}

uint32_t
tag_of(uint64_t id)
{
    tags_world world;
    return MvServer_Tag(
        &(const mv_server_t &)world.server(id, "booking", "casa"));
}

mv_flow_verdict_t
receive(tags_world &node, const mv_flow_packet_t &packet)
{
    return node.receive(packet, kCallerPort, kPort);
}

/* Opens a flow through @node.  Return: the tag of its server. */
uint32_t
open_at(tags_world &node, const numbers_t &flow)
{
    uint32_t tag = receive(node, syn_of(flow)).tag;
    node.advance(8 * MV_MILLISECOND);
    receive(node, packet_of(flow, tag));
    return tag;
}

mv_flow_offer_t
told(const numbers_t &flow, uint32_t tag, bool is_open)
{
    mv_flow_offer_t offer = told_flow(kCallerPort, tag, kPort);
    offer.has_sequence = true;
    offer.sequence = flow.caller + is_open;
    offer.has_acknowledged = is_open;
    offer.acknowledged = is_open ? flow.server + 1 : 0;
    return offer;
}

const numbers_t kFirst = {0x10000000, 0x90000000};
const numbers_t kSecond = {0x71234567, 0x2abcdef0};

/* What a node remembers of the first flow from the port. */
enum memory_t {
    OPEN_HERE,
    OPEN_ELSEWHERE,
    CLOSED,
    ABORTED,
    REFUSED,
    TOLD_OFFER,
    TOLD_OPENING,
    SYN_SENT,
};

/* Return: the tag of a server that is not the one that the node remembers. */
uint32_t
remember(node_t &node, memory_t memory)
{
    uint32_t tag = tag_of(1);
    mv_flow_offer_t offer = told(kFirst, tag, memory == TOLD_OPENING);
    mv_flow_packet_t end = {};
    switch (memory) {
    case OPEN_HERE:
        tag = open_at(node, kFirst);
        break;
    case OPEN_ELSEWHERE:
        receive(node, packet_of(kFirst, tag, 500, 2000));
        break;
    case CLOSED:
        tag = open_at(node, kFirst);
        end = packet_of(kFirst, tag, 500, 2000);
        end.is_closing = true;
        receive(node, end);
        break;
    case ABORTED:
        tag = open_at(node, kFirst);
        end = packet_of(kFirst, 0, 500, 0);
        end.acknowledged = 0;
        end.has_acknowledged = false;
        end.is_reset = true;
        receive(node, end);
        break;
    case REFUSED: {
        /* Its server has left the store, and answers nothing. */
        tag = open_at(node, kFirst);
        for (uint64_t id = 1; id <= kServers; id++) {
            node.withdraw(id);
            mv_server_t next = node.server(id + 100, "booking", "casa");
            next.address = node.server(id, "booking", "casa").address;
            next.started_at += 100000;
            node.announce(next);
        }
        node.publish();
        node.advance(1200 * MV_MILLISECOND);
        EXPECT_EQ(receive(node, packet_of(kFirst, tag, 1)).kind,
                  MV_FLOW_RESET);
        return tag_of(102);
    }
    case TOLD_OFFER:
        MvForwarder_ReceiveOffers(node.forwarder, node.now, &offer, 1);
        break;
    case TOLD_OPENING:
        MvForwarder_ReceiveOpenings(node.forwarder, node.now, &offer, 1);
        break;
    case SYN_SENT:
        tag = receive(node, syn_of(kFirst)).tag;
        break;
    }
    return tag == tag_of(2) ? tag_of(3) : tag_of(2);
}

const struct {
    const char *what;
    memory_t memory;
} kMemories[] = {
    {"open, opened here", OPEN_HERE},
    {"open, opened through another node", OPEN_ELSEWHERE},
    {"closed", CLOSED},
    {"reset by its caller", ABORTED},
    {"reset, as its server has ended", REFUSED},
    {"told before it opened", TOLD_OFFER},
    {"told when it opened", TOLD_OPENING},
    {"its SYN was sent", SYN_SENT},
};

} // namespace

/* Guards against review/14: packets of a flow went to the server of an earlier
 * one from the same port, or were refused like that one. */
TEST(PortReuse, PacketsOfALaterFlowGoToItsOwnServer)
{
    for (const auto &m : kMemories) {
        for (mv_time_t rest : {0, 300, 1000, 3000, 8000, 14000}) {
            node_t node;
            uint32_t tag = remember(node, m.memory);
            node.resets.clear();
            node.advance(rest * MV_MILLISECOND);
            /* The second flow opened through another node. */
            for (uint32_t sent = 0; sent < 4000; sent += 200) {
                mv_flow_verdict_t verdict =
                    receive(node, packet_of(kSecond, tag, sent, 10 * sent));
                EXPECT_EQ(verdict.kind, MV_FLOW_FORWARD)
                    << m.what << ", " << rest << " ms, " << sent;
                EXPECT_EQ(verdict.tag, tag)
                    << m.what << ", " << rest << " ms, " << sent;
                node.advance(100 * MV_MILLISECOND);
            }
            for (const mv_flow_packet_t &reset : node.resets) {
                EXPECT_NE(reset.caller_port, kCallerPort) << m.what;
            }
        }
    }
}

/* A late packet of the first flow neither opens the second one, nor ends it,
 * nor moves it to its own server. */
TEST(PortReuse, ALatePacketOfAnEarlierFlowChangesNothing)
{
    for (bool is_open : {false, true}) {
        for (bool is_closing : {false, true}) {
            node_t node;
            mv_flow_verdict_t offer = receive(node, syn_of(kSecond));
            if (is_open) {
                receive(node, packet_of(kSecond, offer.tag));
            }
            const uint32_t other =
                offer.tag == tag_of(1) ? tag_of(2) : tag_of(1);
            mv_flow_packet_t late = packet_of(kFirst, other, 900, 3000);
            late.is_closing = is_closing;
            EXPECT_EQ(receive(node, late).tag, other);
            /* A copy of its SYN as well. */
            EXPECT_EQ(receive(node, syn_of(kFirst, 1)).kind, MV_FLOW_DROP);
            const mv_flow_packet_t next = packet_of(kSecond, offer.tag, 100);
            EXPECT_EQ(receive(node, next).tag, offer.tag);
            EXPECT_EQ(MvForwarder_Outstanding(node.forwarder, offer.tag), 1u);
            EXPECT_EQ(MvForwarder_Outstanding(node.forwarder, other), 0u);
        }
    }
}

/* Another node's message about one flow says nothing of another one. */
TEST(PortReuse, WhatIsToldOfAnotherFlowChangesNothing)
{
    node_t node;
    const uint32_t tag = open_at(node, kSecond);
    const uint32_t other = tag == tag_of(1) ? tag_of(2) : tag_of(1);
    const mv_flow_offer_t offer = told(kFirst, other, false);
    const mv_flow_offer_t opening = told(kFirst, other, true);
    MvForwarder_ReceiveOffers(node.forwarder, node.now, &offer, 1);
    MvForwarder_ReceiveOpenings(node.forwarder, node.now, &opening, 1);
    node.advance(MV_SECOND);
    EXPECT_TRUE(node.openings.empty());
    EXPECT_EQ(receive(node, packet_of(kSecond, tag, 10)).tag, tag);

    /* A node that only saw the first one makes room for the second. */
    node_t other_node;
    receive(other_node, packet_of(kFirst, other, 100, 100));
    other_node.advance(3 * MV_SECOND);
    const mv_flow_offer_t second = told(kSecond, tag, false);
    MvForwarder_ReceiveOffers(other_node.forwarder, other_node.now, &second,
                              1);
    EXPECT_EQ(receive(other_node, syn_of(kSecond, 1)).tag, tag);
}

/* A flow that was offered to two servers stays at the one at which it opened,
 * whatever tag its caller repeats, and wherever its packets went meanwhile. */
TEST(PortReuse, ALateAnswerOfASecondServerMovesNoFlow)
{
    node_t node;
    const uint32_t tag = open_at(node, kFirst);
    const uint32_t other = tag == tag_of(1) ? tag_of(2) : tag_of(1);
    for (uint32_t bytes : {0u, 1000u, 100000u, 1000000u}) {
        node.advance(2500 * MV_MILLISECOND);
        EXPECT_EQ(
            receive(node, packet_of(kFirst, other, bytes / 10, bytes)).tag,
            tag)
            << bytes;
    }
    /* Numbers wrap around. */
    const numbers_t high = {0xfffffff0, 0xffffff00};
    node_t wrapping;
    const uint32_t owner = open_at(wrapping, high);
    const uint32_t second = owner == tag_of(1) ? tag_of(2) : tag_of(1);
    EXPECT_EQ(receive(wrapping, packet_of(high, second, 5000, 90000)).tag,
              owner);
}

/* Guards against the reset of an open flow by a node that refused it before it
 * opened: the reset was lost, and a later SYN went through another node. */
TEST(PortReuse, AFlowThatOpenedAllTheSameIsNotResetByTheNodeThatRefusedIt)
{
    const struct {
        const char *what;
        bool is_own_offer;
        mv_time_t after; /* the refusal */
        mv_flow_verdict_kind_t kind;
    } cases[] = {
        {"the reset may be under way", true, 100, MV_FLOW_RESET},
        {"the reset was lost", true, 300, MV_FLOW_FORWARD},
        {"open at another server", false, 100, MV_FLOW_FORWARD},
        {"open at another server, later", false, 600, MV_FLOW_FORWARD},
    };
    for (const auto &c : cases) {
        node_t node;
        const uint32_t tag = receive(node, syn_of(kFirst)).tag;
        node.advance(200 * MV_MILLISECOND);
        ASSERT_EQ(receive(node, syn_of(kFirst, 1)).kind, MV_FLOW_RESET);
        node.advance(c.after * MV_MILLISECOND);
        uint32_t owner = tag;
        if (!c.is_own_offer) {
            owner = tag == tag_of(1) ? tag_of(2) : tag_of(1);
        }
        for (uint32_t sent = 0; sent < 1000; sent += 100) {
            mv_flow_verdict_t verdict =
                receive(node, packet_of(kFirst, owner, sent));
            EXPECT_EQ(verdict.kind, c.kind) << c.what;
            EXPECT_TRUE(c.kind == MV_FLOW_RESET || verdict.tag == owner)
                << c.what;
        }
    }
}

/* The SYN of a new flow is no copy of the SYN before, whatever it counts. */
TEST(PortReuse, ASynOfALaterFlowOpensIt)
{
    for (const auto &m : kMemories) {
        for (uint32_t retransmission : {0u, 1u, 2u}) {
            node_t node;
            remember(node, m.memory);
            node.advance(3 * MV_SECOND);
            mv_flow_verdict_t verdict =
                receive(node, syn_of(kSecond, retransmission));
            bool is_sent = verdict.kind == MV_FLOW_FORWARD;
            node.advance(300 * MV_MILLISECOND);
            EXPECT_TRUE(is_sent || !node.sent.empty())
                << m.what << ", retransmission " << retransmission;
        }
    }
}

namespace {

const int kNodes = 3;

/* A port that is used again and again.  The fabric hands each packet to any
 * node, or for a while to one; some flows end unseen, some are refused. */
struct reuse_world {
    explicit reuse_world(uint32_t seed) : random(g_rand_new_with_seed(seed))
    {
        for (uint32_t i = 0; i < kNodes; i++) {
            nodes.push_back(std::make_unique<node_t>(seed + i));
        }
    }
    ~reuse_world()
    {
        g_rand_free(random);
    }

    int
    pick(int count)
    {
        return g_rand_int_range(random, 0, count);
    }

    void
    advance(mv_time_t by)
    {
        for (auto &node : nodes) {
            node->advance(by);
        }
    }

    node_t &
    any_node()
    {
        if (pick(8) == 0) {
            current = pick(kNodes);
        }
        if (pick(60) == 0) {
            /* It starts again: it has forgotten all, and is told nothing. */
            mv_time_t now = nodes[current]->now;
            nodes[current] = std::make_unique<node_t>(now % 1000 + current);
            nodes[current]->now = now;
            nodes[current]->publish();
        }
        return *nodes[current];
    }

    /* Return: whether the flow opened. */
    bool
    open(const numbers_t &flow)
    {
        for (uint32_t transmission = 0; transmission < 3; transmission++) {
            mv_flow_verdict_t verdict =
                receive(any_node(), syn_of(flow, transmission));
            if (verdict.kind == MV_FLOW_FORWARD && pick(6) > 0) {
                tag = verdict.tag;
                return true;
            }
            advance(until_next_syn(transmission));
        }
        return false;
    }

    void
    expect_own_server(const mv_flow_packet_t &packet)
    {
        mv_flow_verdict_t verdict = receive(any_node(), packet);
        astray += verdict.kind != MV_FLOW_FORWARD || verdict.tag != tag;
    }

    void
    run_flow()
    {
        const numbers_t flow = {g_rand_int(random), g_rand_int(random)};
        if (!open(flow)) {
            return;
        }
        opened++;
        uint32_t sent = 0;
        uint32_t received = 0;
        for (int i = pick(12); i >= 0; i--) {
            expect_own_server(packet_of(flow, tag, sent, received));
            sent += (uint32_t)pick(1200);
            received += (uint32_t)pick(40000);
            advance((1 + pick(800)) * MV_MILLISECOND);
        }
        if (pick(3) > 0) {
            mv_flow_packet_t end = packet_of(flow, tag, sent, received);
            end.is_closing = pick(3) > 0;
            end.is_reset = !end.is_closing;
            expect_own_server(end);
        }
        /* A port is free again at once after a reset. */
        advance(pick(2) ? pick(300) * MV_MILLISECOND
                        : pick(16000) * MV_MILLISECOND);
    }

    GRand *random;
    std::vector<std::unique_ptr<node_t>> nodes;
    int current = 0;
    uint32_t tag = 0;
    int opened = 0;
    int astray = 0;
};

class PortReuseRuns : public testing::TestWithParam<uint32_t> {};

} // namespace

TEST_P(PortReuseRuns, EachFlowKeepsToItsOwnServer)
{
    reuse_world world(GetParam());
    for (int i = 0; i < 60; i++) {
        world.run_flow();
    }
    EXPECT_EQ(world.astray, 0) << "seed " << GetParam();
    EXPECT_GT(world.opened, 30) << "seed " << GetParam();
}

INSTANTIATE_TEST_SUITE_P(Seeds, PortReuseRuns, testing::Range(1u, 41u));
