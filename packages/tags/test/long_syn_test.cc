/* SYNs that carry data: what a node sends of them is the packet, byte for
 * byte. */
#include <gtest/gtest.h>

#include <string>

#include "tags_world.h"

namespace {

const uint16_t kPort = 443;

struct node_t : tags_world {
    explicit node_t(int slots = 2)
    {
        for (uint64_t id = 1; id <= 2; id++) {
            mv_server_t next = server(id, "booking", "casa");
            next.slots = (uint16_t)slots;
            announce(next);
        }
        route(1, {{kPort, "booking"}});
        publish();
    }

    /* Passes a SYN of @length bytes from @port. */
    mv_flow_verdict_t
    open_long(uint16_t port, size_t length, uint32_t retransmission = 0)
    {
        mv_flow_packet_t packet = {};
        packet.caller = 0x64400007;
        packet.caller_port = port;
        packet.address = 0xc6120001;
        packet.port = kPort;
        packet.has_syn = true;
        packet.sequence = port * 1000u;
        packet.retransmission = retransmission;
        packet.until_next_syn = until_next_syn(retransmission);
        const std::string bytes = syn_of(port, length);
        return MvForwarder_HandlePacket(forwarder, now, &packet,
                                        (const uint8_t *)bytes.data(),
                                        bytes.size());
    }

    static std::string
    syn_of(uint16_t port, size_t length)
    {
        std::string bytes(length, '\0');
        for (size_t i = 0; i < length; i++) {
            bytes[i] = (char)(i * 7 + port);
        }
        return bytes;
    }
};

const size_t kLengths[] = {34, 64, 65, 234, 1234};

} // namespace

/* Guards against review/15: a SYN that was sent again was cut to 64 bytes. */
TEST(LongSyns, ASynIsSentAgainAsItCame)
{
    for (size_t length : kLengths) {
        node_t node;
        ASSERT_EQ(node.open_long(7, length).kind, MV_FLOW_FORWARD);
        node.advance(100 * MV_MILLISECOND);
        ASSERT_FALSE(node.sent.empty()) << length;
        for (const sent_t &sent : node.sent) {
            EXPECT_EQ(sent.bytes, node_t::syn_of(7, length));
        }
    }
}

TEST(LongSyns, AHeldSynIsSentAsItCame)
{
    for (size_t length : kLengths) {
        node_t node;
        /* A packet of another flow shows that the fabric moves flows. */
        node.send_next(500, node.serve(1));
        node.send_next(501, node.serve(2));
        EXPECT_EQ(node.open_long(7, length, 1).reason, MV_COUNTER_SYNS_QUEUED);
        node.sent.clear();
        node.advance(150 * MV_MILLISECOND);
        ASSERT_FALSE(node.sent.empty()) << length;
        EXPECT_EQ(node.sent[0].bytes, node_t::syn_of(7, length));
    }
}

/* Without memory a SYN is sent as it comes, or not at all. */
TEST(LongSyns, WithoutMemoryNothingIsSentThatWasNotWrittenSo)
{
    node_t node;
    const size_t length = 1234;
    const uint16_t fitting = MV_LONG_SYN_BYTES / length;
    for (uint16_t port = 1; port <= fitting + 50; port++) {
        EXPECT_EQ(node.open_long(port, length).kind, MV_FLOW_FORWARD) << port;
    }
    EXPECT_EQ(node.counter(MV_COUNTER_SYNS_NOT_STORED), 50u);
    node.advance(MV_SECOND);
    EXPECT_FALSE(node.sent.empty());
    for (const sent_t &sent : node.sent) {
        uint16_t port = 0;
        while (port <= fitting + 50 &&
               sent.bytes != node_t::syn_of(port, length)) {
            port++;
        }
        EXPECT_LE(port, fitting);
    }
    /* What has opened, or was given up, makes room. */
    node.advance(10 * MV_SECOND);
    EXPECT_EQ(node.open_long(9999, length).kind, MV_FLOW_FORWARD);
    EXPECT_EQ(node.counter(MV_COUNTER_SYNS_NOT_STORED), 50u);
}
