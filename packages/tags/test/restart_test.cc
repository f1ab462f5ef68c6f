/* Servers that start again under the id that they had: packets of flows from
 * before and after the start cannot be told apart. */
#include <gtest/gtest.h>

#include <functional>
#include <memory>

#include "tags_world.h"

namespace {

const uint16_t kPort = 443;
const uint64_t kId = 7;
const mv_time_t kLongerThanAnyCheck = 6 * MV_SECOND;

/* A node that knows a server, and whether it was told of its second start. */
struct node_t : tags_world {
    explicit node_t(const mv_server_t *known)
    {
        MvDirectory_SetRouting(directory, now, MvRouting_Create());
        route(1, {{kPort, "booking"}});
        if (known) {
            announce(*known);
        }
        publish();
    }

    void
    learn(const mv_server_t &server)
    {
        announce(server);
        publish();
    }
};

mv_server_t
first_start()
{
    tags_world world;
    return world.server(kId, "booking", "casa");
}

mv_server_t
next_start(int64_t later_by)
{
    mv_server_t server = first_start();
    server.started_at += later_by;
    return server;
}

} // namespace

/* Guards against review/13: flows that opened before the nodes knew of a
 * restart were reset by nodes that did not see their answers. */
TEST(Restart, NoNodeResetsAFlowOfTheServerThatStartedAgain)
{
    const struct {
        const char *what;
        int64_t later_by;
        bool runs_on;    /* the node knew the server before */
        bool opens_here; /* and the flow opened through it */
        bool has_left;   /* the entry had lapsed in between */
        mv_time_t pause; /* from the news to the flow's next packet */
    } cases[] = {
        {"its node, at once", 2000, true, true, false, 0},
        {"its node, later", 2000, true, true, false, 4 * MV_SECOND},
        {"its node, clock set back", -2000, true, true, false, MV_SECOND},
        {"its node, after a lapse", 2000, true, true, true, MV_SECOND},
        {"another node, at once", 2000, true, false, false, 0},
        {"another node, later", 2000, true, false, false, 4 * MV_SECOND},
        {"another node, after a lapse", 2000, true, false, true, MV_SECOND},
        {"a node that has started", 2000, false, false, false, 0},
        {"a node that has started, later", 2000, false, false, false,
         4 * MV_SECOND},
    };
    for (const auto &c : cases) {
        const mv_server_t first = first_start();
        node_t opener(&first);
        const uint32_t old_tag = opener.serve(1, kPort);
        /* It crashes and starts again; nobody knows of it yet. */
        opener.advance(800 * MV_MILLISECOND);
        const uint32_t tag = opener.serve(2, kPort);
        node_t other(c.runs_on ? &first : nullptr);
        node_t &node = c.opens_here ? opener : other;
        if (c.has_left) {
            node.withdraw(kId);
            node.publish();
            node.advance(MV_SECOND);
        }
        node.learn(next_start(c.later_by));
        node.advance(c.pause);
        for (uint32_t flow_tag : {tag, old_tag}) {
            uint16_t port = flow_tag == tag ? 2 : 1;
            for (mv_time_t at = 0; at < kLongerThanAnyCheck;
                 at += 500 * MV_MILLISECOND) {
                mv_flow_verdict_t verdict =
                    node.send_next(port, flow_tag, kPort);
                EXPECT_EQ(verdict.kind, MV_FLOW_FORWARD) << c.what;
                EXPECT_EQ(verdict.server, kId) << c.what;
                EXPECT_EQ(verdict.address, first.address) << c.what;
                node.advance(500 * MV_MILLISECOND);
            }
        }
        EXPECT_TRUE(node.resets.empty()) << c.what;
    }
}

/* What ended for good is still found: another id at the address. */
TEST(Restart, FlowsOfAnotherIdAtTheAddressAreReset)
{
    const mv_server_t first = first_start();
    node_t node(&first);
    const uint32_t tag = node.serve(1, kPort);
    mv_server_t next = next_start(2000);
    next.id = kId + 1;
    node.advance(MV_SECOND);
    node.announce(next);
    node.publish();
    node.advance(500 * MV_MILLISECOND);
    ASSERT_EQ(node.resets.size(), 1u);
    EXPECT_EQ(node.resets[0].caller_port, 1);
    EXPECT_EQ(node.send_next(1, tag, kPort).kind, MV_FLOW_RESET);
}

/* Guards against a server that pays for what its process before did: its
 * silence, its open flows and its missing answers. */
TEST(Restart, TheServerIsJudgedFromItsStartOn)
{
    const mv_server_t first = first_start();
    node_t node(&first);
    node.announce(node.server(8, "booking", "casa"));
    node.publish();
    uint16_t port = 100;
    for (int i = 0; i < 40; i++) {
        uint32_t tag = node.serve(port++, kPort);
        mv_flow_packet_t packet = {};
        packet.tag = tag;
        packet.has_data = true;
        packet.acknowledged = 1;
        node.receive(packet, port - 1, kPort);
    }
    /* It is silent: SYNs are not answered. */
    for (int i = 0; i < 20; i++) {
        node.open(port++, kPort);
        node.advance(50 * MV_MILLISECOND);
    }
    ASSERT_GT(MvForwarder_Outstanding(node.forwarder, MvServer_Tag(&first)),
              10u);
    node.advance(2 * MV_SECOND);
    node.learn(next_start(3000));
    EXPECT_LE(MvForwarder_Outstanding(node.forwarder, MvServer_Tag(&first)),
              2u);
    int count = 0;
    for (int i = 0; i < 20; i++) {
        count += node.open(port++, kPort).server == kId;
    }
    EXPECT_GE(count, 10);
}
