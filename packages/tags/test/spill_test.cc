/* Leaving the data centre: nodes, data centres with slots and queues, and
 * callers, under virtual time. */
#include "tags_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>
#include <vector>

extern "C" {
#include "spill.h"
}

namespace {

const mv_time_t kService = 40 * MV_MILLISECOND;
const mv_time_t kTravel = 2800; /* there and back */
const mv_time_t kTarget = 500 * MV_MILLISECOND;
const int kSlots = 60;
const int kNodes = 16; /* of each data centre */

/* A data centre: requests wait for one of its slots. */
struct site_t {
    int slots = kSlots;
    int busy = 0;
    std::deque<std::pair<mv_time_t, int>> queue; /* arrival, node */
};

struct finish_t {
    mv_time_t at;
    int site;
    int node;
    mv_time_t arrived;
    bool
    operator<(const finish_t &other) const
    {
        return at > other.at;
    }
};

struct totals_t {
    int all = 0;
    int away = 0;
    int in_time = 0;

    double
    away_part() const
    {
        return (double)away / all;
    }
    double
    part_in_time() const
    {
        return (double)in_time / all;
    }
};

/* Three data centres; @rates: requests a second from the callers of each. */
struct spill_world {
    explicit spill_world(mv_time_t price = 0) : price(price)
    {
        nodes.resize(3 * kNodes);
    }

    static uint32_t
    id_of(int site)
    {
        return 100 + (uint32_t)site;
    }

    mv_time_t
    time_at(const mv_spill_t &node, int home, int site) const
    {
        mv_time_t extra = site == home ? 0 : kTravel + price;
        return MvSpill_AnswerTime(&node, now, id_of(site)) + extra;
    }

    int
    choose(int node, int home)
    {
        mv_spill_t &spill = nodes[(size_t)node];
        int first = (home + 1) % 3;
        int second = (home + 2) % 3;
        mv_time_t one = time_at(spill, home, first);
        mv_time_t two = time_at(spill, home, second);
        int best = one <= two ? first : second;
        mv_spill_prospects_t prospects = {};
        prospects.at_home = time_at(spill, home, home);
        prospects.elsewhere = std::min(one, two);
        prospects.wait_elsewhere = MvSpill_Wait(&spill, now, id_of(best));
        prospects.is_seen = MvSpill_IsSeen(&spill, now, id_of(best));
        prospects.target = kTarget;
        double away = MvSpill_Update(&spill, now, &prospects);
        if (draw() >= away) {
            return home;
        }
        double weight_one = 1.0 / ((double)one * (double)one);
        double weight_two = 1.0 / ((double)two * (double)two);
        return draw() * (weight_one + weight_two) < weight_one ? first
                                                               : second;
    }

    double
    draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }

    void
    start(int index, int node, mv_time_t arrived)
    {
        double work = std::lognormal_distribution<double>(0, 0.5)(random);
        sites[index].busy++;
        finishes.push(
            {now + (mv_time_t)(work * kService), index, node, arrived});
    }

    void
    arrive(int home)
    {
        int node = home * kNodes + (int)(random() % kNodes);
        int index = choose(node, home);
        totals[home].all++;
        totals[home].away += index != home;
        if (sites[index].busy < sites[index].slots) {
            start(index, node, now);
        }
        else {
            sites[index].queue.emplace_back(now, node);
        }
    }

    void
    finish(const finish_t &done)
    {
        site_t &site = sites[done.site];
        int home = done.node / kNodes;
        mv_time_t took = now - done.arrived;
        MvSpill_NoteAnswer(&nodes[(size_t)done.node], now, id_of(done.site),
                           took);
        totals[home].in_time +=
            took + (done.site == home ? 0 : kTravel) <= kTarget;
        site.busy--;
        if (!site.queue.empty() && site.busy < site.slots) {
            auto [arrived, node] = site.queue.front();
            site.queue.pop_front();
            start(done.site, node, arrived);
        }
    }

    void
    run(mv_time_t span)
    {
        totals.assign(3, {});
        for (mv_time_t end = now + span; now < end; now += MV_MILLISECOND) {
            while (!finishes.empty() && finishes.top().at <= now) {
                finish_t done = finishes.top();
                finishes.pop();
                finish(done);
            }
            for (int home = 0; home < 3; home++) {
                int count =
                    std::poisson_distribution<int>(rates[home] / 1000)(random);
                for (int i = 0; i < count; i++) {
                    arrive(home);
                }
            }
        }
    }

    mv_time_t price;
    mv_time_t now = MV_MINUTE;
    std::mt19937 random{5};
    double rates[3] = {600, 600, 600};
    site_t sites[3];
    std::vector<mv_spill_t> nodes;
    std::priority_queue<finish_t> finishes;
    std::vector<totals_t> totals;
};

} // namespace

TEST(Spill, NothingLeavesWhileThereIsRoom)
{
    spill_world world;
    world.run(20 * MV_SECOND);
    for (int home = 0; home < 3; home++) {
        EXPECT_LT(world.totals[home].away_part(), 0.01) << home;
    }
}

/* A data centre has lost two thirds of its servers: guards against callers
 * that wait there while others have room, against more that leaves than must,
 * and against flows that go on leaving when the servers are back. */
TEST(Spill, WhatADataCentreCannotServeLeavesItAndReturns)
{
    spill_world world;
    world.run(3 * MV_SECOND);
    world.sites[0].slots = kSlots / 3;
    world.run(3 * MV_SECOND);
    world.run(15 * MV_SECOND);
    /* 600 a second come, 20 slots serve some 440. */
    EXPECT_GT(world.totals[0].part_in_time(), 0.95);
    EXPECT_GT(world.totals[0].away_part(), 0.2);
    EXPECT_LT(world.totals[0].away_part(), 0.6);
    EXPECT_GT(world.totals[1].part_in_time(), 0.99);
    EXPECT_GT(world.totals[2].part_in_time(), 0.99);
    world.sites[0].slots = kSlots;
    world.run(5 * MV_SECOND);
    world.run(10 * MV_SECOND);
    EXPECT_LT(world.totals[0].away_part(), 0.02);
}

/* Guards against data centres that exchange their callers when none has room:
 * it would cost travel and serve nobody. */
TEST(Spill, LittleLeavesWhenAllDataCentresAreFull)
{
    spill_world world;
    for (double &rate : world.rates) {
        rate = 1450;
    }
    world.run(10 * MV_SECOND);
    for (int home = 0; home < 3; home++) {
        EXPECT_LT(world.totals[home].away_part(), 0.1) << home;
    }
}

/* The second data centre is full as well: the third takes more. */
TEST(Spill, FlowsGoWhereThereIsRoom)
{
    spill_world world;
    world.rates[0] = 1700;
    world.rates[1] = 1300;
    world.rates[2] = 100;
    world.run(5 * MV_SECOND);
    world.run(15 * MV_SECOND);
    EXPECT_GT(world.totals[0].part_in_time(), 0.9);
    EXPECT_GT(world.totals[1].part_in_time(), 0.9);
    EXPECT_GT(world.totals[2].part_in_time(), 0.95);
}

/* What an operator's price of a megabyte says: waiting less than that at home
 * is better. */
TEST(Spill, APriceKeepsFlowsAtHome)
{
    for (mv_time_t price : {(mv_time_t)0, MV_SECOND}) {
        spill_world world(price);
        world.rates[0] = 1450;
        world.run(5 * MV_SECOND);
        world.run(10 * MV_SECOND);
        EXPECT_EQ(world.totals[0].away_part() < 0.02, price > 0) << price;
    }
}

/* Guards against a part that flaps between nothing and all. */
TEST(Spill, ThePartMovesSlowly)
{
    mv_spill_t spill = {};
    mv_time_t now = MV_MINUTE;
    double before = 0;
    const mv_spill_prospects_t leave = {MV_SECOND, kService, 0, true, kTarget};
    const mv_spill_prospects_t stay = {kService, MV_SECOND, 0, true, kTarget};
    spill.updated_at = now;
    for (int i = 0; i < 100; i++) {
        now += 10 * MV_MILLISECOND;
        double away = MvSpill_Update(&spill, now, i < 50 ? &leave : &stay);
        EXPECT_LE(std::fabs(away - before), 0.0051);
        before = away;
    }
    EXPECT_LT(before, 0.01);
    /* A long pause is no long step. */
    now += MV_MINUTE;
    EXPECT_LE(MvSpill_Update(&spill, now, &leave), 0.11);
}

namespace {

/* A node in casa; servers of casa answer after @home, those of rabat after 40
 * ms. */
struct priced_world : tags_world {
    explicit priced_world(mv_time_t price)
    {
        for (uint64_t id = 1; id <= 8; id++) {
            announce(server(id, "booking", "casa"));
            announce(server(100 + id, "booking", "rabat"));
        }
        target_latency = kTarget;
        route(1, {{443, "booking"}});
        publish();
        MvForwarder_SetMegabytePrice(forwarder, price);
    }

    /* One flow after the other for @span, each with one request that is
     * answered by 100,000 bytes.  Return: part that went to rabat. */
    double
    part_away(mv_time_t span)
    {
        int all = 0;
        int away = 0;
        for (mv_time_t end = now + span; now < end;) {
            mv_flow_verdict_t verdict = open(++port);
            if (verdict.kind != MV_FLOW_FORWARD) {
                ADD_FAILURE() << "not placed";
                return 0;
            }
            bool is_away = verdict.server > 100;
            all++;
            away += is_away;
            advance(2 * MV_MILLISECOND);
            send(verdict.tag, true, 1);
            advance(is_away ? 40 * MV_MILLISECOND : home);
            send(verdict.tag, false, 100000);
            send_next(port, verdict.tag, 443, true);
        }
        return (double)away / all;
    }

    void
    send(uint32_t tag, bool has_data, uint32_t acknowledged)
    {
        mv_flow_packet_t packet = {};
        packet.tag = tag;
        packet.has_data = has_data;
        packet.acknowledged = acknowledged;
        receive(packet, port, 443);
    }

    mv_time_t home = 40 * MV_MILLISECOND;
    uint16_t port = 0;
};

} // namespace

TEST(SpillPlacement, FlowsLeaveWhenThatPays)
{
    struct {
        const char *what;
        mv_time_t price; /* of a megabyte; an answer has a tenth */
        bool leaves;
    } const cases[] = {
        {"bytes cost nothing", 0, true},
        {"they are worth less than the waiting", MV_SECOND, true},
        {"they are worth more", 10 * MV_SECOND, false},
        {"leaving has no price: as without the setting", MV_NEVER, false},
    };
    for (const auto &c : cases) {
        priced_world world(c.price);
        EXPECT_EQ(world.part_away(10 * MV_SECOND), 0) << c.what;
        world.home = 300 * MV_MILLISECOND;
        world.part_away(5 * MV_SECOND);
        EXPECT_EQ(world.part_away(10 * MV_SECOND) > 0.3, c.leaves) << c.what;
        EXPECT_EQ(std::count(world.events.begin(), world.events.end(),
                             MV_EVENT_SPILL_BEGAN),
                  c.leaves)
            << c.what;
        world.home = 40 * MV_MILLISECOND;
        world.part_away(8 * MV_SECOND);
        EXPECT_EQ(world.part_away(5 * MV_SECOND), 0) << c.what;
        EXPECT_EQ(std::count(world.events.begin(), world.events.end(),
                             MV_EVENT_SPILL_ENDED),
                  c.leaves)
            << c.what;
    }
}

/* An order of the operators, or a data centre that does not answer, goes
 * before any price. */
TEST(SpillPlacement, ThePriceGivesWayToOrdersAndFailures)
{
    struct {
        const char *data_centre;
        double away;
    } const cases[] = {{"casa", 1}, {"rabat", 0}};
    for (const auto &c : cases) {
        priced_world world(1000 * MV_SECOND);
        world.home = c.away > 0 ? 40 * MV_MILLISECOND : 400 * MV_MILLISECOND;
        MvDirectory_SetEvacuated(world.directory, world.now, c.data_centre,
                                 true);
        world.publish();
        EXPECT_EQ(world.part_away(3 * MV_SECOND), c.away) << c.data_centre;
    }
}
