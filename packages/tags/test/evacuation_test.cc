#include "tags_world.h"

#include <gtest/gtest.h>

namespace {

const uint16_t kBooking = 443;
const uint16_t kDocs = 80;

/* Two services: booking with two servers in each of casa and rabat, docs with
 * one server in casa.  The node runs in casa. */
struct fixture {
    fixture()
    {
        /* A flow that is late waits for a free slot. */
        world.announce(world.server(1, "booking", "casa"));
        world.announce(world.server(2, "booking", "casa"));
        world.announce(world.server(3, "booking", "rabat"));
        world.announce(world.server(4, "booking", "rabat"));
        world.announce(world.server(11, "docs", "casa"));
        world.target_latency = 100 * MV_MILLISECOND;
        world.route(5, {{kBooking, "booking"}, {kDocs, "docs"}});
        world.publish();
    }

    int
    evacuate(const char *data_centre, bool is_evacuated = true)
    {
        int event = MvDirectory_SetEvacuated(world.directory, world.now,
                                             data_centre, is_evacuated);
        world.publish();
        return event;
    }

    /* Servers that get 40 new flows of booking from @port on. */
    std::set<uint64_t>
    servers_of_new_flows(uint16_t port)
    {
        std::set<uint64_t> servers;
        for (uint16_t i = 0; i < 40; i++) {
            mv_flow_verdict_t verdict = world.open((uint16_t)(port + i));
            EXPECT_EQ(verdict.kind, MV_FLOW_FORWARD);
            servers.insert(verdict.server);
        }
        return servers;
    }

    tags_world world;
};

struct Evacuation : testing::Test, fixture {};

} // namespace

TEST_F(Evacuation, NewFlowsGoElsewhereAndOpenFlowsStay)
{
    uint32_t tag = world.serve(1);
    ASSERT_LE(world.send_next(1, tag).server, 2u);
    EXPECT_EQ(evacuate("casa"), MV_EVENT_EVACUATION_BEGAN);
    EXPECT_EQ(evacuate("casa"), 0);
    EXPECT_EQ(servers_of_new_flows(100), (std::set<uint64_t>{3, 4}));
    EXPECT_EQ(world.send_next(1, tag).kind, MV_FLOW_FORWARD);
    EXPECT_EQ(world.send_next(1, tag).tag, tag);
    EXPECT_EQ(evacuate("casa", false), MV_EVENT_EVACUATION_ENDED);
    EXPECT_EQ(servers_of_new_flows(200).count(1), 1u);
}

/* Guards against an order that is lost because the servers that it concerns
 * are announced later, as on a node that has just started. */
TEST_F(Evacuation, TheOrderHoldsForServersAnnouncedLater)
{
    evacuate("tanger");
    evacuate("rabat");
    world.announce(world.server(5, "booking", "tanger"));
    mv_server_t restarted = world.server(3, "booking", "rabat");
    restarted.started_at += 5000;
    world.announce(restarted);
    world.publish();
    EXPECT_EQ(servers_of_new_flows(100), (std::set<uint64_t>{1, 2}));
    evacuate("tanger", false);
    EXPECT_EQ(servers_of_new_flows(200), (std::set<uint64_t>{1, 2, 5}));
}

/* Guards against callers that wait for their timeout although it is known that
 * nothing can serve them. */
TEST_F(Evacuation, AServiceWithoutAnotherDataCentreIsRefusedAtOnce)
{
    evacuate("casa");
    mv_flow_verdict_t verdict = world.open(1, kDocs);
    EXPECT_EQ(verdict.kind, MV_FLOW_RESET);
    EXPECT_EQ(verdict.reason, MV_COUNTER_FLOWS_EVACUATED);
    EXPECT_EQ(world.counter(MV_COUNTER_FLOWS_EVACUATED), 1u);
    ASSERT_FALSE(world.decisions.empty());
    EXPECT_EQ(world.decisions.back().event, MV_EVENT_FLOW_REFUSED);
    EXPECT_EQ(world.decisions.back().reason, MV_COUNTER_FLOWS_EVACUATED);
    evacuate("rabat");
    EXPECT_EQ(world.open(2, kBooking).reason, MV_COUNTER_FLOWS_EVACUATED);
    evacuate("rabat", false);
    EXPECT_EQ(world.open(3, kBooking).kind, MV_FLOW_FORWARD);
}

/* A service without servers is another matter: a server may be announced
 * before the caller gives up. */
TEST_F(Evacuation, AServiceWithoutServersIsNotRefusedAtOnce)
{
    world.withdraw(11);
    world.now += 3 * MV_SECOND;
    evacuate("casa");
    EXPECT_EQ(world.open(1, kDocs).kind, MV_FLOW_DROP);
}

/* Guards against SYNs that reach an evacuated server after the order because
 * they were sent, stored or told before it. */
TEST_F(Evacuation, SynsFromBeforeTheOrderAreSettledByIt)
{
    enum { SENT, TOLD, HELD, QUEUED };
    struct {
        const char *what;
        int kind;
        uint16_t to;
        mv_counter_id_t reason; /* of the caller's retransmission */
    } const cases[] = {
        {"sent, another data centre has servers", SENT, kBooking,
         MV_COUNTER_FLOWS_UNANSWERED},
        {"sent, no other data centre has servers", SENT, kDocs,
         MV_COUNTER_FLOWS_EVACUATED},
        {"told by another node", TOLD, kDocs, MV_COUNTER_FLOWS_EVACUATED},
        {"held", HELD, kDocs, MV_COUNTER_FLOWS_EVACUATED},
        {"queued", QUEUED, kDocs, MV_COUNTER_FLOWS_EVACUATED},
    };
    for (const auto &c : cases) {
        fixture fresh;
        tags_world &w = fresh.world;
        uint32_t tag =
            MvServer_Tag(&(const mv_server_t &)w.server(11, "docs", "casa"));
        if (c.kind == SENT) {
            ASSERT_EQ(w.open(1, c.to).kind, MV_FLOW_FORWARD) << c.what;
        }
        else if (c.kind == TOLD) {
            const mv_flow_offer_t offer = told_flow(1, tag, c.to);
            MvForwarder_ReceiveOffers(w.forwarder, w.now, &offer, 1);
        }
        else if (c.kind == HELD) {
            w.send_next(500, tag, c.to);
            ASSERT_EQ(w.open(1, c.to, 1).reason, MV_COUNTER_SYNS_QUEUED);
        }
        else {
            w.serve(500, c.to);
            w.serve(501, c.to);
            mv_flow_packet_t packet = {};
            packet.has_syn = true;
            packet.retransmission = 1;
            packet.since_first_syn = 200 * MV_MILLISECOND;
            packet.until_next_syn = until_next_syn(1);
            ASSERT_EQ(w.receive(packet, 1, c.to).reason,
                      MV_COUNTER_SYNS_QUEUED);
        }
        fresh.evacuate("casa");
        size_t sent = w.sent.size();
        w.advance(200 * MV_MILLISECOND);
        EXPECT_EQ(w.sent.size(), sent) << c.what;
        EXPECT_EQ(w.resets.size(), c.kind >= HELD) << c.what;
        mv_flow_verdict_t again = w.open(1, c.to, 2);
        EXPECT_EQ(again.kind, MV_FLOW_RESET) << c.what;
        EXPECT_EQ(again.reason, c.reason) << c.what;
    }
}

TEST_F(Evacuation, ItIsDumpedWithItsAge)
{
    evacuate("rabat");
    world.now += 7 * MV_SECOND;
    json_t *dump = MvDirectory_DumpEvacuated(world.directory, world.now);
    ASSERT_EQ(json_array_size(dump), 1u);
    const json_t *entry = json_array_get(dump, 0);
    EXPECT_STREQ(json_string_value(json_object_get(entry, "data_centre")),
                 "rabat");
    EXPECT_EQ(json_integer_value(json_object_get(entry, "seconds")), 7);
    json_decref(dump);
    EXPECT_EQ(MvDirectory_EvacuatedCount(world.directory), 1u);
}

/* Guards against new flows to servers that leave, or to an evacuated data
 * centre, because a restored store shows it as it was before the order. */
TEST_F(Evacuation, OrdersSurviveARestoredStoreUntilTheyAreWrittenAgain)
{
    mv_server_t leaving = world.server(1, "booking", "casa");
    leaving.state = MV_SERVER_DRAINING;
    world.announce(leaving);
    evacuate("rabat");
    ASSERT_EQ(servers_of_new_flows(100), (std::set<uint64_t>{2}));

    MvDirectory_NoteStoreRestored(world.directory, world.now);
    EXPECT_EQ(evacuate("rabat", false), 0);
    world.announce(world.server(1, "booking", "casa"));
    world.publish();
    EXPECT_EQ(servers_of_new_flows(200), (std::set<uint64_t>{2}));
    EXPECT_EQ(MvDirectory_DueAt(world.directory), world.now + 5 * MV_SECOND);
    /* One is written again, the other is not. */
    world.advance(2 * MV_SECOND);
    world.announce(leaving);
    world.advance(4 * MV_SECOND);
    world.publish();
    EXPECT_EQ(servers_of_new_flows(300), (std::set<uint64_t>{2, 3, 4}));
    EXPECT_EQ(MvDirectory_EvacuatedCount(world.directory), 0u);
}

/* Guards against callers that are refused after an order has ended, as nothing
 * makes a new table then (soak, seed 255105). */
TEST_F(Evacuation, WhatHoldsForAWhileEndsWithoutAnotherChange)
{
    uint16_t port = 300;
    for (bool is_order : {true, false}) {
        mv_server_t leaving = world.server(1, "booking", "casa");
        leaving.state = is_order ? MV_SERVER_READY : MV_SERVER_DRAINING;
        world.announce(leaving);
        if (is_order) {
            evacuate("rabat");
        }
        world.publish();
        EXPECT_EQ(MvDirectory_DueAt(world.directory), MV_NEVER);
        MvDirectory_NoteStoreRestored(world.directory, world.now);
        evacuate("rabat", false);
        world.announce(world.server(1, "booking", "casa"));
        world.publish();
        ASSERT_EQ(MvDirectory_DueAt(world.directory),
                  world.now + 5 * MV_SECOND);
        world.advance(5 * MV_SECOND);
        world.publish();
        EXPECT_EQ(servers_of_new_flows(port).count(is_order ? 3 : 1), 1u);
        EXPECT_EQ(MvDirectory_DueAt(world.directory), MV_NEVER);
        port += 100;
    }
}

TEST_F(Evacuation, AnOrderThatIsWrittenAgainStays)
{
    evacuate("rabat");
    MvDirectory_NoteStoreRestored(world.directory, world.now);
    evacuate("rabat", false);
    evacuate("rabat");
    world.advance(10 * MV_SECOND);
    world.publish();
    EXPECT_EQ(servers_of_new_flows(100), (std::set<uint64_t>{1, 2}));
}
