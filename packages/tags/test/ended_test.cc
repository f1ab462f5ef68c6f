/* Open flows of servers that have ended, and of servers that only seem to
 * have. */
#include "tags_world.h"

#include <gtest/gtest.h>

#include <algorithm>

extern "C" {
#include "ended.h"
}

namespace {

const uint16_t kPort = 443;

/* Three servers of booking; flows from port 1 on are open, each with one
 * request that was answered. */
struct ended_world : tags_world {
    ended_world()
    {
        for (uint64_t id = 1; id <= 3; id++) {
            announce(server(id, "booking", "casa"));
        }
        listed_services = {"docs"};
        route(5, {{kPort, "booking"}});
        publish();
    }

    /* A packet of the open flow from @port that acknowledges @acknowledged
     * bytes. */
    mv_flow_verdict_t
    send(uint16_t port, uint32_t tag, bool has_data, uint32_t acknowledged)
    {
        mv_flow_packet_t packet = {};
        packet.tag = tag;
        packet.has_data = has_data;
        packet.acknowledged = acknowledged;
        packet.has_acknowledged = true;
        return receive(packet, port, kPort);
    }

    /* Opens a flow and lets its first request be answered.  Return: its
     * server's id. */
    uint64_t
    open_answered(uint16_t port)
    {
        uint32_t tag = serve(port, kPort);
        mv_flow_verdict_t verdict = send(port, tag, true, 1);
        advance(30 * MV_MILLISECOND);
        send(port, tag, false, 2001);
        tags[port] = tag;
        return verdict.server;
    }

    /* Opens flows until two are open at the server with id @id. */
    std::vector<uint16_t>
    open_two_at(uint64_t id)
    {
        std::vector<uint16_t> ports;
        for (uint16_t port = 1; ports.size() < 2; port++) {
            if (open_answered(port) == id) {
                ports.push_back(port);
            }
        }
        return ports;
    }

    mv_flow_verdict_t
    request(uint16_t port)
    {
        return send(port, tags[port], true, 2001);
    }

    /* The transmissions of a request, as long as nothing answers it.  Return:
     * the time from the first one to the reset, MV_NEVER without one. */
    mv_time_t
    request_until_reset(uint16_t port)
    {
        const mv_time_t pauses[] = {200, 400, 800, 1600};
        mv_time_t first = now;
        size_t before = resets.size();
        for (mv_time_t pause : pauses) {
            if (request(port).kind == MV_FLOW_RESET) {
                return now - first;
            }
            advance(pause * MV_MILLISECOND);
            if (resets.size() > before) {
                return now - first;
            }
        }
        return MV_NEVER;
    }

    /* Another server starts at the address of server @id. */
    void
    replace(uint64_t id, uint64_t successor)
    {
        mv_server_t old = server(id, "booking", "casa");
        mv_server_t next = server(successor, "docs", "casa");
        next.address = old.address;
        announce(next);
        publish();
    }

    /* Another writer announces, under the key of server @under, the address of
     * server @id for a service that no configuration names. */
    void
    announce_unnamed(uint64_t id, uint64_t under)
    {
        mv_server_t entry = server(under, "audit", "casa");
        entry.address = server(id, "booking", "casa").address;
        entry.started_at = 1000000;
        announce(entry);
    }

    std::map<uint16_t, uint32_t> tags;
};

} // namespace

/* The decision, without a forwarder.  Each case that does not end guards
 * against the reset of a flow whose server lives. */
TEST(Ended, NeedsTheStoreAndTheCallers)
{
    const mv_time_t now = MV_MINUTE;
    const mv_time_t ms = MV_MILLISECOND;
    struct {
        const char *what;
        mv_liveness_t liveness;
        mv_time_t ended_at;
        bool is_replaced;
        bool has_ended;
    } const cases[] = {
        {"silent, but announced",
         {0, now - 9000 * ms, 20},
         MV_NEVER,
         false,
         false},
        {"gone, but nobody asked it",
         {now - 9000 * ms, 0, 0},
         now - 5000 * ms,
         false,
         false},
        {"gone, and asked just now",
         {0, now - 400 * ms, 2},
         now - 5000 * ms,
         false,
         false},
        {"gone, slow to answer",
         {0, now - 900 * ms, 0},
         now - 5000 * ms,
         false,
         false},
        {"gone, one packet lost",
         {0, now - 900 * ms, 1},
         now - 5000 * ms,
         false,
         false},
        {"gone later", {0, now - 900 * ms, 4}, now + ms, false, false},
        {"gone and silent",
         {0, now - 500 * ms, 2},
         now - 5000 * ms,
         false,
         true},
        {"replaced", {now - 9000 * ms, 0, 0}, now - 100 * ms, true, true},
        {"replaced just now", {0, 0, 0}, now - 90 * ms, true, false},
        {"replaced, an answer was under way",
         {now - 900 * ms, 0, 0},
         now - 910 * ms,
         true,
         false},
        {"likewise, long ago",
         {now - 1000 * ms, 0, 0},
         now - 1010 * ms,
         true,
         true},
        {"replaced, but it answered since",
         {now - 8000 * ms, 0, 0},
         now - 8500 * ms,
         true,
         false},
    };
    for (const auto &c : cases) {
        EXPECT_EQ(
            MvLiveness_HasEnded(&c.liveness, now, c.ended_at, c.is_replaced),
            c.has_ended)
            << c.what;
    }
}

/* Guards against callers that wait until their timeout for the answer of a
 * server that left the store while their flow was idle. */
TEST(Ended, AFlowOfAServerThatIsGoneIsResetWhenItDoesNotAnswer)
{
    ended_world world;
    std::vector<uint16_t> ports = world.open_two_at(2);
    world.withdraw(2);
    world.publish();
    world.advance(3 * MV_SECOND);
    EXPECT_EQ(world.request_until_reset(ports[0]), 600 * MV_MILLISECOND);
    /* The other flow of that server is reset with it. */
    world.advance(200 * MV_MILLISECOND);
    EXPECT_EQ(world.request(ports[1]).reason, MV_COUNTER_FLOWS_SERVER_ENDED);
    ASSERT_EQ(world.resets.size(), 1u);
    EXPECT_EQ(world.resets[0].caller_port, ports[1]);
    EXPECT_EQ(world.resets[0].acknowledged, 2001u);
}

/* Guards against the resets of a node that stood still, or that applies what
 * it missed change by change: what it lacks may say that the server lives. */
TEST(Ended, NothingIsDecidedOnOldOrIncompleteKnowledge)
{
    const struct {
        const char *what;
        bool is_replaced;        /* or its entry has gone */
        mv_time_t complete_from; /* the news: first proof of knowledge */
        mv_time_t proof_age;     /* how old each proof is */
        mv_time_t began_before;  /* the news: when the flow began */
        bool is_reset;           /* within 2 s */
    } cases[] = {
        {"gone, proven", false, 0, 0, 4000, true},
        {"gone, proven late", false, 0, 1000, 4000, true},
        {"gone, not proven since", false, MV_NEVER, 0, 4000, false},
        {"gone, proof too old", false, 0, 3100, 4000, false},
        {"gone, the flow began when it may have come back", false, 0, 0, 0,
         false},
        {"replaced, proven", true, 0, 0, 4000, true},
        {"replaced, proof too old", true, 0, 3100, 4000, false},
    };
    for (const auto &c : cases) {
        ended_world world;
        std::vector<uint16_t> ports = world.open_two_at(2);
        world.advance(c.began_before * MV_MILLISECOND);
        world.is_informed = false;
        if (c.is_replaced) {
            world.replace(2, 50);
        }
        else {
            MvDirectory_Withdraw(world.directory, world.now,
                                 world.now - 2 * MV_SECOND, "server-2");
            world.publish();
        }
        const mv_time_t news = world.now;
        bool is_reset = false;
        for (mv_time_t at = 0; at < 2 * MV_SECOND;
             at += 200 * MV_MILLISECOND) {
            mv_time_t proven_at = world.now - c.proof_age * MV_MILLISECOND;
            bool is_proven =
                c.complete_from != MV_NEVER &&
                proven_at >= news + c.complete_from * MV_MILLISECOND;
            MvForwarder_SetCompleteAt(world.forwarder,
                                      is_proven || c.proof_age > 3000
                                          ? proven_at
                                          : news - MV_MILLISECOND);
            is_reset |= world.request(ports[0]).kind == MV_FLOW_RESET;
            world.advance(200 * MV_MILLISECOND);
        }
        is_reset |= !world.resets.empty();
        EXPECT_EQ(is_reset, c.is_reset) << c.what;
    }
}

TEST(Ended, AServerWhoseAddressIsInUseAgainLosesItsFlowsAtOnce)
{
    ended_world world;
    std::vector<uint16_t> ports = world.open_two_at(2);
    uint64_t others = MvForwarder_FlowCount(world.forwarder) - 2;
    EXPECT_EQ(world.request(ports[0]).kind, MV_FLOW_FORWARD);
    world.advance(100 * MV_MILLISECOND);
    world.replace(2, 50);
    world.advance(200 * MV_MILLISECOND);
    EXPECT_EQ(world.resets.size(), 2u);
    /* The reset may be lost. */
    EXPECT_EQ(world.request(ports[0]).kind, MV_FLOW_RESET);
    EXPECT_EQ(world.counter(MV_COUNTER_FLOWS_SERVER_ENDED), 3u);
    EXPECT_GT(others, 0u);
    for (const auto &[port, tag] : world.tags) {
        if (std::find(ports.begin(), ports.end(), port) == ports.end()) {
            EXPECT_EQ(world.request(port).kind, MV_FLOW_FORWARD) << port;
        }
    }
    /* No new flow is offered to it, though its entry is still there. */
    for (uint16_t port = 100; port < 130; port++) {
        EXPECT_NE(world.open(port).server, 2u);
    }
}

/* Guards against the reset of a flow whose server lives. */
TEST(Ended, AServerThatLivesKeepsItsFlows)
{
    enum {
        ANSWERS,
        ANSWERS_REPEATED,
        OUTAGE,
        DRAINING_OUTAGE,
        SILENT,
        REPLACED_BUT_ANSWERS,
        UNNAMED_AT_ITS_ADDRESS,
        UNNAMED_UNDER_ITS_KEY
    };
    struct {
        const char *what;
        int kind;
    } const cases[] = {
        {"its entry was deleted, and it answers", ANSWERS},
        {"likewise, and every request is lost once", ANSWERS_REPEATED},
        {"its entry lapsed in an outage of the store", OUTAGE},
        {"likewise while it drains", DRAINING_OUTAGE},
        {"it is silent, and announced", SILENT},
        {"another writer claims its address", REPLACED_BUT_ANSWERS},
        {"likewise, for a service that no configuration names, and it is "
         "silent",
         UNNAMED_AT_ITS_ADDRESS},
        {"likewise under its key, until it announces itself again",
         UNNAMED_UNDER_ITS_KEY},
    };
    for (const auto &c : cases) {
        ended_world world;
        uint16_t port = world.open_two_at(2)[0];
        uint32_t acknowledged = 2001;
        if (c.kind == DRAINING_OUTAGE) {
            mv_server_t draining = world.server(2, "booking", "casa");
            draining.state = MV_SERVER_DRAINING;
            world.announce(draining);
        }
        if (c.kind == REPLACED_BUT_ANSWERS) {
            world.replace(2, 50);
        }
        else if (c.kind == UNNAMED_AT_ITS_ADDRESS ||
                 c.kind == UNNAMED_UNDER_ITS_KEY) {
            world.announce_unnamed(2,
                                   c.kind == UNNAMED_UNDER_ITS_KEY ? 2 : 50);
            world.publish();
            world.advance(1500 * MV_MILLISECOND);
            ASSERT_TRUE(world.resets.empty()) << c.what;
            world.announce(world.server(2, "booking", "casa"));
        }
        else if (c.kind != SILENT) {
            world.withdraw(2);
        }
        world.publish();
        for (int i = 0; i < 100; i++) {
            if (c.kind == OUTAGE || c.kind == DRAINING_OUTAGE) {
                MvDirectory_NoteStoreOutage(world.directory, world.now,
                                            100 * MV_MILLISECOND);
                world.publish();
            }
            mv_flow_verdict_t verdict =
                world.send(port, world.tags[port], true, acknowledged);
            ASSERT_EQ(verdict.kind, MV_FLOW_FORWARD) << c.what << i;
            if (c.kind == ANSWERS_REPEATED) {
                world.advance(200 * MV_MILLISECOND);
                verdict =
                    world.send(port, world.tags[port], true, acknowledged);
                ASSERT_EQ(verdict.kind, MV_FLOW_FORWARD) << c.what << i;
            }
            world.advance(30 * MV_MILLISECOND);
            if (c.kind == ANSWERS || c.kind == ANSWERS_REPEATED ||
                c.kind == REPLACED_BUT_ANSWERS) {
                acknowledged += 2000;
                world.send(port, world.tags[port], false, acknowledged);
            }
            world.advance(70 * MV_MILLISECOND);
            ASSERT_TRUE(world.resets.empty()) << c.what << i;
        }
    }
}

/* Guards against a server that gets no new flows, and loses those opened
 * through other nodes, for good: an incarnation whose clock was ahead had its
 * address before, crashed, and its entry has been removed since. */
TEST(Ended, AServerIsNotReplacedByAnEntryThatIsGone)
{
    ended_world world;
    mv_server_t first = world.server(50, "booking", "casa");
    mv_server_t second = world.server(4, "booking", "casa");
    first.address = second.address;
    first.started_at = second.started_at + 1200;
    world.announce(first);
    world.publish();
    world.advance(MV_SECOND);
    world.announce(second);
    world.publish();
    world.advance(2 * MV_SECOND);
    world.withdraw(50);
    world.publish();
    world.advance(MV_SECOND);
    EXPECT_EQ(world.send(500, MvServer_Tag(&second), true, 1).kind,
              MV_FLOW_FORWARD);
    world.advance(MV_SECOND);
    EXPECT_TRUE(world.resets.empty());
    std::set<uint64_t> used;
    for (uint16_t port = 100; port < 130; port++) {
        used.insert(world.open(port).server);
    }
    EXPECT_EQ(used.count(4), 1u);
}

/* Guards against a server that counts as replaced for good: another writer's
 * whole entry had its address for a moment. */
TEST(Ended, AServerIsInUseAgainWhenItsSuccessorIsGone)
{
    ended_world world;
    std::vector<uint16_t> ports = world.open_two_at(2);
    world.replace(2, 50);
    world.advance(50 * MV_MILLISECOND);
    world.withdraw(50);
    world.publish();
    world.advance(2 * MV_SECOND);
    EXPECT_TRUE(world.resets.empty());
    EXPECT_EQ(world.request(ports[0]).kind, MV_FLOW_FORWARD);
    std::set<uint64_t> used;
    for (uint16_t port = 100; port < 130; port++) {
        used.insert(world.open(port).server);
    }
    EXPECT_EQ(used.count(2), 1u);
}

/* Guards against callers that lose a retry, or wait until their timeout, since
 * the server that was sent their SYN has ended. */
TEST(Ended, ASynToAReplacedServerIsPlacedAnew)
{
    ended_world world;
    uint16_t port = 1;
    while (world.open(port).server != 2) {
        world.send_next(port, 0, kPort, true);
        port++;
    }
    world.replace(2, 50);
    world.sent.clear();
    world.advance(150 * MV_MILLISECOND);
    ASSERT_FALSE(world.sent.empty());
    EXPECT_EQ(world.sent[0].port(), port);
    EXPECT_NE(world.sent[0].verdict.server, 2u);
    EXPECT_TRUE(world.resets.empty());
    /* The caller's own retransmission goes to the new server as well. */
    mv_flow_verdict_t again = world.open(port, kPort, 1);
    EXPECT_EQ(again.kind, MV_FLOW_FORWARD);
    EXPECT_EQ(again.server, world.sent[0].verdict.server);
}

/* Guards against callers that lose all their retries within a second, while no
 * server answers and the service may return before their timeout. */
TEST(Ended, NoSynIsRefusedWhileAServiceIsSilent)
{
    /* The data centre is not silent: another service of it answers. */
    ended_world world;
    for (uint64_t id = 4; id <= 40; id++) {
        world.announce(world.server(id, "booking", "casa"));
    }
    world.announce(world.server(60, "docs", "casa"));
    world.route(6, {{kPort, "booking"}, {80, "docs"}});
    world.publish();
    for (uint16_t port = 1; port <= 6; port++) {
        world.open(port);
        world.serve((uint16_t)(2000 + port), 80);
        world.advance(50 * MV_MILLISECOND);
    }
    world.advance(200 * MV_MILLISECOND);
    for (uint16_t port = 100; port < 110; port++) {
        ASSERT_EQ(world.open(port).kind, MV_FLOW_FORWARD) << port;
        world.advance(190 * MV_MILLISECOND);
        world.serve((uint16_t)(2000 + port), 80);
        EXPECT_EQ(world.open(port, kPort, 1).kind, MV_FLOW_FORWARD) << port;
        world.advance(100 * MV_MILLISECOND);
    }
}

/* Guards against callers that wait for a server which had ended before this
 * node started, and against the reset of flows of a server which this node has
 * not learned of yet. */
TEST(Ended, AnUnknownTagIsResetOnceTheNodeWouldKnowItsServer)
{
    struct {
        const char *what;
        mv_time_t informed_after; /* the first packet; MV_NEVER: never */
        mv_time_t proof_age;      /* how old its proof of knowledge is */
        mv_time_t reset_after;    /* the first packet */
    } const cases[] = {
        {"in touch", 0, 0, 3 * MV_SECOND},
        {"in touch, proof comes late", 0, 1500 * MV_MILLISECOND,
         4500 * MV_MILLISECOND},
        {"in touch later", 4 * MV_SECOND, 0, 4 * MV_SECOND},
        {"proof too old", 0, 3100 * MV_MILLISECOND, MV_NEVER},
        {"not in touch", MV_NEVER, 0, MV_NEVER},
    };
    for (const auto &c : cases) {
        ended_world world;
        uint32_t tag = 77;
        world.is_informed = false;
        MvForwarder_SetCompleteAt(world.forwarder, 0);
        for (mv_time_t at = 0; at < 8 * MV_SECOND;
             at += 100 * MV_MILLISECOND) {
            if (c.informed_after != MV_NEVER && at >= c.informed_after) {
                MvForwarder_SetCompleteAt(world.forwarder,
                                          world.now - c.proof_age);
            }
            mv_flow_verdict_t verdict = world.send(9, tag, true, 1);
            EXPECT_EQ(verdict.kind,
                      at >= c.reset_after ? MV_FLOW_RESET : MV_FLOW_DROP)
                << c.what << " " << at;
            world.advance(100 * MV_MILLISECOND);
        }
        EXPECT_EQ(world.send(9, 0, true, 1).kind, MV_FLOW_DROP) << "no tag";
    }
}

/* Guards against a reset by what was seen of another flow: a server may have
 * started again under its id since. */
TEST(Ended, EachFlowWithAnUnknownTagIsJudgedFromItsOwnFirstPacket)
{
    const struct {
        const char *what;
        uint16_t port; /* of the later flow; the first one's is 9 */
        uint32_t tag;  /* likewise 77 */
        mv_time_t pause;
    } cases[] = {
        {"another flow", 10, 77, 100},
        {"another tag", 9, 78, 100},
        {"the port in use again", 9, 77, 2100},
    };
    for (const auto &c : cases) {
        ended_world world;
        for (int i = 0; i < 35; i++) {
            world.send(9, 77, true, 1);
            world.advance(100 * MV_MILLISECOND);
        }
        ASSERT_EQ(world.send(9, 77, true, 1).kind, MV_FLOW_RESET) << c.what;
        world.advance(c.pause * MV_MILLISECOND);
        for (int i = 0; i < 29; i++) {
            EXPECT_EQ(world.send(c.port, c.tag, true, 1).kind, MV_FLOW_DROP)
                << c.what << " " << i;
            world.advance(100 * MV_MILLISECOND);
        }
        world.advance(200 * MV_MILLISECOND);
        EXPECT_EQ(world.send(c.port, c.tag, true, 1).kind, MV_FLOW_RESET)
            << c.what;
    }
}

namespace {

const mv_time_t kWork = 40 * MV_MILLISECOND;
const mv_time_t kTarget = 500 * MV_MILLISECOND;
const mv_time_t kDeadline = 2500 * MV_MILLISECOND;
/* A change of the store is in force at the nodes within this time. */
const mv_time_t kKnown = 500 * MV_MILLISECOND;
const mv_time_t kDark = 3 * MV_SECOND;
/* Flows that a caller opens for one request. */
const int kMaxTries = 3;
const int kServers = 20;
const int kCallers = 200;

/* A caller that keeps its flow open between requests. */
struct caller_t {
    uint16_t port = 0; /* 0: no flow */
    uint64_t server = 0;
    bool is_open = false;
    uint32_t tag = 0;
    uint32_t acknowledged = 1;
    mv_time_t asked_at = 0; /* 0: no request */
    mv_time_t next_request = 0;
    mv_time_t sent_at = 0; /* last SYN or packet of the request */
    int transmissions = 0;
    int tries = 0; /* that ended without an answer */
    mv_time_t answer_at = MV_NEVER;
};

/* All or most servers of a service are dark for a while and return as new
 * incarnations at the same addresses, under flows that stay open. */
struct dark_world : tags_world {
    explicit dark_world(int dark) : dark_count(dark)
    {
        for (uint64_t id = 1; id <= kServers; id++) {
            announce(server(id, "booking", "casa"));
        }
        target_latency = kTarget;
        route(5, {{kPort, "booking"}});
        publish();
        for (int i = 0; i < kCallers; i++) {
            callers[i].next_request = now + i * MV_SECOND / kCallers;
        }
    }

    bool
    is_up(uint64_t id) const
    {
        bool is_dark = id <= (uint64_t)dark_count && now >= dark_at;
        bool has_returned = id > kServers && now >= dark_at + kDark;
        return id > kServers ? has_returned : !is_dark;
    }

    void
    abandon(caller_t &caller)
    {
        caller.tries += caller.asked_at > 0;
        caller.port = 0;
        caller.is_open = false;
        caller.answer_at = MV_NEVER;
        caller.transmissions = 0;
        caller.acknowledged = 1;
    }

    void
    handle(caller_t &caller, const mv_flow_verdict_t &verdict)
    {
        if (verdict.kind == MV_FLOW_RESET) {
            abandon(caller);
        }
        else if (verdict.kind == MV_FLOW_FORWARD) {
            reach(caller, verdict);
        }
    }

    void
    reach(caller_t &caller, const mv_flow_verdict_t &verdict)
    {
        caller.server = verdict.server;
        caller.tag = verdict.tag;
        if (is_up(verdict.server) && caller.answer_at == MV_NEVER) {
            caller.answer_at =
                now + (caller.is_open ? kWork : 2 * MV_MILLISECOND);
        }
    }

    mv_flow_verdict_t
    packet(caller_t &caller, bool has_data)
    {
        mv_flow_packet_t packet = {};
        packet.tag = caller.tag;
        packet.has_data = has_data;
        packet.acknowledged = caller.acknowledged;
        return receive(packet, caller.port, kPort);
    }

    void
    transmit(caller_t &caller)
    {
        caller.sent_at = now;
        if (caller.is_open) {
            caller.transmissions++;
            handle(caller, packet(caller, true));
            return;
        }
        if (caller.port == 0) {
            caller.port = ++last_port;
        }
        handle(caller,
               open(caller.port, kPort, (uint32_t)caller.transmissions++));
    }

    bool
    is_due(const caller_t &caller) const
    {
        const mv_time_t pauses[] = {200, 400, 800, 1600};
        int sent = caller.transmissions;
        return sent == 0 ||
               (sent <= 4 &&
                now - caller.sent_at >= pauses[sent - 1] * MV_MILLISECOND);
    }

    void
    receive_answer(caller_t &caller)
    {
        caller.answer_at = MV_NEVER;
        caller.transmissions = 0;
        if (!caller.is_open) {
            caller.is_open = true;
            handle(caller, packet(caller, false));
            caller.answer_at = MV_NEVER;
            return;
        }
        caller.acknowledged += 2000;
        packet(caller, false);
        served[window(caller.asked_at)]++;
        caller.asked_at = 0;
    }

    size_t
    window(mv_time_t at) const
    {
        return (size_t)((at - start) / kWindow);
    }

    void
    step(caller_t &caller)
    {
        if (caller.answer_at <= now && is_up(caller.server)) {
            receive_answer(caller);
        }
        if (caller.asked_at == 0 && now >= caller.next_request) {
            caller.asked_at = now;
            caller.next_request = now + MV_SECOND;
            caller.transmissions = 0;
            caller.tries = 0;
            asked[window(now)]++;
        }
        if (caller.asked_at == 0) {
            return;
        }
        if (now - caller.asked_at >= kDeadline || caller.tries >= kMaxTries) {
            abandon(caller);
            caller.asked_at = 0;
            caller.next_request = now;
            return;
        }
        if (!caller.is_open && caller.transmissions >= 3 &&
            now - caller.sent_at >= 800 * MV_MILLISECOND) {
            abandon(caller);
        }
        if (caller.answer_at == MV_NEVER && is_due(caller)) {
            transmit(caller);
        }
    }

    /* SYNs that the node repeated, and its resets. */
    void
    deliver()
    {
        for (const sent_t &syn : sent) {
            for (caller_t &caller : callers) {
                if (caller.port == syn.port() && !caller.is_open) {
                    reach(caller, syn.verdict);
                }
            }
        }
        sent.clear();
        for (const mv_flow_packet_t &reset : resets) {
            for (caller_t &caller : callers) {
                if (caller.port == reset.caller_port) {
                    abandon(caller);
                }
            }
        }
        resets.clear();
    }

    void
    change_servers()
    {
        if (now == dark_at + kDark + kKnown) {
            for (uint64_t id = 1; id <= (uint64_t)dark_count; id++) {
                mv_server_t next = server(kServers + id, "booking", "casa");
                next.address = server(id, "booking", "casa").address;
                announce(next);
            }
            publish();
        }
        if (now == dark_at + 3600 * MV_MILLISECOND + kKnown) {
            for (uint64_t id = 1; id <= (uint64_t)dark_count; id++) {
                withdraw(id);
            }
            publish();
        }
    }

    void
    run(mv_time_t span)
    {
        for (mv_time_t end = now + span; now < end;) {
            advance(MV_MILLISECOND);
            change_servers();
            deliver();
            for (caller_t &caller : callers) {
                step(caller);
            }
        }
    }

    /* Return: the time from the return of the servers until nine tenths of
     * the requests of each window are served in time. */
    mv_time_t
    recovery_time() const
    {
        size_t last = window(dark_at + kDark + 5 * MV_SECOND);
        size_t good = last;
        while (good > 0 && served[good - 1] * 10 >= asked[good - 1] * 9) {
            good--;
        }
        return start + (mv_time_t)good * kWindow - dark_at - kDark;
    }

    static constexpr mv_time_t kWindow = 200 * MV_MILLISECOND;
    const mv_time_t start = now;
    const mv_time_t dark_at = now + 3 * MV_SECOND;
    int dark_count;
    uint16_t last_port = 1000;
    std::vector<caller_t> callers = std::vector<caller_t>(kCallers);
    std::vector<int> asked = std::vector<int>(100);
    std::vector<int> served = std::vector<int>(100);
};

} // namespace

/* The load: a service whose callers keep flows open loses most of its servers,
 * or all, for three seconds.  Guards against callers that wait for servers
 * which have been replaced, and against back-offs that outlast their reason.
 */
TEST(Ended, NineTenthsAreServedASecondAfterTheReturn)
{
    struct {
        int dark;
        int least_served; /* per cent of the requests of the dark seconds */
    } const cases[] = {{12, 40}, {20, 0}};
    for (const auto &c : cases) {
        dark_world world(c.dark);
        world.run(14 * MV_SECOND);
        EXPECT_LE(world.recovery_time(), MV_SECOND) << c.dark;
        int asked = 0;
        int served = 0;
        for (size_t i = world.window(world.dark_at);
             i < world.window(world.dark_at + kDark); i++) {
            asked += world.asked[i];
            served += world.served[i];
        }
        EXPECT_GE(100 * served, c.least_served * asked) << c.dark;
        /* Those whose callers still wait when the return is known. */
        for (size_t i = world.window(world.dark_at + kDark + kKnown + kWork -
                                     kDeadline) +
                        1;
             i < world.window(world.dark_at + kDark); i++) {
            EXPECT_GE(10 * world.served[i], 9 * world.asked[i])
                << c.dark << " " << i;
        }
    }
}
