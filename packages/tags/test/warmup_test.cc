/* New flows of servers that warm up, from many nodes together. */
#include "tags_world.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

extern "C" {
#include "warmup.h"
}

namespace {

/* What the users' rule allows a server in any second. */
double
allowed(double limit)
{
    return limit * 1.5 + 5;
}

struct warmup_case {
    const char *what;
    /* Part of the nodes that count too few others, and how many they count. */
    double stale_part;
    double counted_part;
    /* Nodes that restart each second and lose their schedule. */
    int restarts;
    /* How much of the time callers ask for flows, in pulses. */
    double demand;
};

/* Nodes that all send as soon as their schedule allows. */
struct warmup_fleet {
    warmup_fleet(int nodes, double limit, const warmup_case &c)
        : nodes(nodes), limit(limit), c(c), random((unsigned)nodes)
    {
        schedules.resize((size_t)nodes);
        for (auto &schedule : schedules) {
            schedule.phase = draw();
        }
    }

    double
    draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }

    void
    restart()
    {
        for (int i = 0; i < c.restarts; i++) {
            mv_warmup_t &schedule = schedules[random() % schedules.size()];
            schedule = {};
            schedule.phase = draw();
        }
    }

    double
    share_of(size_t node) const
    {
        bool is_stale = (double)node < c.stale_part * nodes;
        double counted = is_stale ? c.counted_part * nodes : nodes;
        return MvWarmup_Share(limit, (unsigned)MAX(counted, 1));
    }

    void
    run(mv_time_t span)
    {
        const mv_time_t step = 5 * MV_MILLISECOND;
        for (mv_time_t end = now + span; now < end; now += step) {
            if (now % MV_SECOND < step) {
                restart();
            }
            /* Demand that stops and returns finds unused shares. */
            if (now % (2 * MV_SECOND) <
                (mv_time_t)(c.demand * 2 * MV_SECOND)) {
                ask();
            }
            while (!recent.empty() && recent.front() <= now - MV_SECOND) {
                recent.pop_front();
            }
            most = MAX(most, recent.size());
        }
    }

    void
    ask()
    {
        for (size_t i = 0; i < schedules.size(); i++) {
            if (MvWarmup_MayTake(&schedules[i], now, share_of(i))) {
                schedules[i].used_at = now;
                recent.push_back(now);
                sent++;
            }
        }
    }

    int nodes;
    double limit;
    warmup_case c;
    std::mt19937 random;
    std::vector<mv_warmup_t> schedules;
    std::deque<mv_time_t> recent;
    size_t most = 0;
    size_t sent = 0;
    mv_time_t now = 1000 * MV_SECOND;
};

} // namespace

/* Guards against a server that is pressed down again when it returns, by nodes
 * that each send a little too much at the same time. */
TEST(Warmup, AllNodesTogetherKeepTheLimitInAnySecond)
{
    const warmup_case cases[] = {
        {"all nodes know each other", 0, 1, 0, 1},
        {"demand comes in pulses", 0, 1, 0, 0.5},
        {"a tenth of the nodes started late", 0.1, 0.9, 0, 1},
        {"a third lost messages and counts nine tenths", 0.33, 0.9, 0, 1},
        {"nodes restart", 0, 1, 1, 1},
    };
    const mv_time_t span = 60 * MV_SECOND;
    for (const auto &c : cases) {
        for (int nodes : {1, 3, 8, 63, 295}) {
            for (double limit : {2.0, 10.0, 40.0}) {
                warmup_fleet fleet(nodes, limit, c);
                fleet.run(span);
                EXPECT_LE((double)fleet.most, allowed(limit))
                    << c.what << " " << nodes << " " << limit;
                /* Half of the limit is used while callers ask. */
                EXPECT_GE((double)fleet.sent,
                          0.5 * limit * c.demand * span / MV_SECOND)
                    << c.what << " " << nodes << " " << limit;
            }
        }
    }
}

TEST(Warmup, ANodeThatKnowsNoOtherSendsNothing)
{
    mv_warmup_t schedule = {};
    EXPECT_EQ(MvWarmup_Share(10, 0), 0);
    EXPECT_FALSE(MvWarmup_MayTake(&schedule, MV_MINUTE, 0));
}

namespace {

struct cold_world : tags_world {
    explicit cold_world(unsigned nodes)
    {
        mv_routing_t *routing = MvRouting_Create();
        routing->version = 1;
        mv_route_t route = {};
        route.address = 0xc6120001;
        route.port = 443;
        route.share_count = 1;
        route.shares[0].weight = 1;
        g_strlcpy(route.shares[0].service, "booking", MV_NAME_MAX);
        g_array_append_val(routing->routes, route);
        mv_service_limits_t limits = {};
        g_strlcpy(limits.service, "booking", MV_NAME_MAX);
        limits.flows = 2000;
        limits.warmup_rate = 20;
        g_array_append_val(routing->limits, limits);
        MvDirectory_SetRouting(directory, now, routing);
        MvDirectory_SetNodes(directory, nodes);
    }

    void
    add(uint64_t id, const char *data_centre, mv_time_t warmup)
    {
        mv_server_t s = server(id, "booking", data_centre);
        s.remaining_warmup = warmup;
        announce(s);
    }

    /* Opens and closes 500 flows in a second.  Return: how many each server
     * got. */
    std::map<uint64_t, int>
    flows_of_a_second()
    {
        std::map<uint64_t, int> flows;
        for (int i = 0; i < 500; i++) {
            mv_flow_verdict_t verdict = open(++port);
            if (verdict.kind == MV_FLOW_FORWARD) {
                flows[verdict.server]++;
                send_next(port, verdict.tag, 443, true);
            }
            advance(2 * MV_MILLISECOND);
        }
        return flows;
    }

    uint16_t port = 0;
};

} // namespace

/* A data centre returns cold: the others carry what it cannot yet. */
TEST(Warmup, OtherDataCentresCarryWhatColdServersCannot)
{
    cold_world world(4);
    for (uint64_t id = 1; id <= 10; id++) {
        world.add(id, "casa", 2 * MV_SECOND);
        world.add(100 + id, "rabat", 0);
    }
    world.publish();
    int cold = 0;
    int warm = 0;
    for (const auto &[id, count] : world.flows_of_a_second()) {
        (id <= 10 ? cold : warm) += count;
        EXPECT_TRUE(id > 10 || count <= 5) << id;
    }
    EXPECT_GT(cold, 10);
    EXPECT_EQ(cold + warm, 500);
    /* The warm-up has ended. */
    world.advance(MV_SECOND);
    warm = 0;
    for (const auto &[id, count] : world.flows_of_a_second()) {
        warm += id > 10 ? count : 0;
    }
    EXPECT_LT(warm, 50);
}

/* Guards against a repeated SYN that uses up the share, or is held back by
 * it. */
TEST(Warmup, ARepeatedSynGoesToItsColdServer)
{
    cold_world world(1);
    world.add(1, "casa", 5 * MV_SECOND);
    world.publish();
    mv_flow_verdict_t first = world.open(1);
    while (first.kind != MV_FLOW_FORWARD) {
        world.advance(20 * MV_MILLISECOND);
        first = world.open((uint16_t)(world.port++ + 100));
    }
    EXPECT_EQ(
        world.open(world.port > 0 ? (uint16_t)(world.port + 99) : 1, 443, 1)
            .kind,
        MV_FLOW_FORWARD);
}
