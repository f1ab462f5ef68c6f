/* The relay tree: its shape, and changes that pass through it while nodes of
 * it fail, at the sizes of large data centres. */
#include <gtest/gtest.h>

#include <algorithm>

#include "fanout_sim.h"
#include "relay_tree.h"

extern "C" {
#include "subscribers.h"
}

namespace {

/* Changes must be in force within 3 s of the store's reply; this limit leaves
 * 200 ms for the directory and the traffic thread. */
const mv_time_t kPropagationLimit = 2800 * MV_MILLISECOND;
/* While the store refuses some nodes, 12 s more are allowed; half of that
 * suffices. */
const mv_time_t kRefusedLimit = kPropagationLimit + 6 * MV_SECOND;
const mv_time_t kSettleTime = 8 * MV_SECOND;
const unsigned kBranching = 8;
/* Control traffic that a node may send, from the capacity plan. */
const double kMaxBytesPerSecond = 6000;

mv_relay_tree_t *
make_tree(mv_node_id_t self, unsigned nodes)
{
    mv_relay_tree_t *tree = MvRelayTree_Create(kBranching);
    MvRelayTree_Reset(tree, self);
    for (unsigned id = 0; id < nodes; id++) {
        if (id != self) {
            MvRelayTree_Add(tree, (mv_node_id_t)id);
        }
    }
    MvRelayTree_Finish(tree);
    return tree;
}

/* Indices of the live nodes of a data centre, the first ranked first. */
std::vector<int>
by_rank(const fanout_sim &sim)
{
    std::vector<int> result;
    for (const auto &node : sim.nodes) {
        if (node->alive) {
            result.push_back(node->index);
        }
    }
    std::sort(result.begin(), result.end(), [&](int a, int b) {
        return MvRelayTree_Rank(sim.nodes[a]->id) <
               MvRelayTree_Rank(sim.nodes[b]->id);
    });
    return result;
}

} // namespace

TEST(RelayTree, EveryNodeServesFewAndNoneDependsOnItself)
{
    for (unsigned nodes : {1u, 2u, 9u, 10u, 73u, 600u}) {
        std::map<mv_node_id_t, unsigned> children;
        unsigned deepest = 0;
        unsigned roots = 0;
        for (unsigned id = 0; id < nodes; id++) {
            mv_relay_tree_t *tree = make_tree((mv_node_id_t)id, nodes);
            mv_node_id_t parent = MvRelayTree_Parent(tree);
            roots += parent == MV_NO_NODE;
            deepest = std::max(deepest, MvRelayTree_Depth(tree));
            if (parent != MV_NO_NODE) {
                EXPECT_LT(MvRelayTree_Rank(parent), MvRelayTree_Rank(id));
                EXPECT_LE(++children[parent], kBranching);
            }
            MvRelayTree_Destroy(tree);
        }
        EXPECT_EQ(roots, 1u) << nodes;
        EXPECT_LE(deepest, 4u) << nodes;
    }
}

TEST(RelayTree, CandidatesBeginWithAncestorsAndAreOtherNodes)
{
    for (unsigned nodes : {1u, 2u, 3u, 20u, 600u}) {
        for (unsigned id = 0; id < nodes; id++) {
            mv_relay_tree_t *tree = make_tree((mv_node_id_t)id, nodes);
            if (MvRelayTree_Depth(tree) > 0) {
                EXPECT_EQ(MvRelayTree_Candidate(tree, 0),
                          MvRelayTree_Parent(tree));
            }
            for (unsigned attempt = 0; attempt < 40; attempt++) {
                mv_node_id_t asked = MvRelayTree_Candidate(tree, attempt);
                EXPECT_NE(asked, id);
                EXPECT_EQ(asked == MV_NO_NODE, nodes == 1);
            }
            MvRelayTree_Destroy(tree);
        }
    }
}

/* At most 8 subscriptions of 10 s; ids in the order in which they rank. */
TEST(Subscribers, TheLastInRankGivesWay)
{
    std::vector<mv_node_id_t> ids;
    for (mv_node_id_t id = 0; id < 20; id++) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end(), [](mv_node_id_t a, mv_node_id_t b) {
        return MvRelayTree_Rank(a) < MvRelayTree_Rank(b);
    });
    struct {
        const char *what;
        std::vector<int> first;
        mv_time_t pause;
        int next;
        bool is_accepted;
        int dismissed; /* -1 for none */
    } const cases[] = {
        {"there is room", {1, 2, 3}, 0, 19, true, -1},
        {"it ranks before the last", {1, 2, 3, 4, 5, 6, 7, 8}, 0, 0, true, 8},
        {"it ranks last", {1, 2, 3, 4, 5, 6, 7, 8}, 0, 9, false, -1},
        {"it renews", {1, 2, 3, 4, 5, 6, 7, 8}, 0, 8, true, -1},
        {"the others have ended",
         {1, 2, 3, 4, 5, 6, 7, 8},
         10 * MV_SECOND,
         9,
         true,
         -1},
    };
    for (const auto &c : cases) {
        mv_subscribers_t subscribers;
        mv_node_id_t dismissed = MV_NO_NODE;
        MvSubscribers_Init(&subscribers, kBranching, 10 * MV_SECOND);
        for (int i : c.first) {
            EXPECT_TRUE(MvSubscribers_Renew(&subscribers, MV_SECOND, ids[i], 0,
                                            &dismissed));
        }
        EXPECT_EQ(MvSubscribers_Renew(&subscribers, MV_SECOND + c.pause,
                                      ids[c.next], 0, &dismissed),
                  c.is_accepted)
            << c.what;
        EXPECT_EQ(dismissed, c.dismissed < 0 ? MV_NO_NODE : ids[c.dismissed])
            << c.what;
        MvSubscribers_Clear(&subscribers);
    }
}

/* Guards against a watcher or first relay on a VM that is too small for it. */
TEST(Relay, LargeVmsWatchAndRelay)
{
    const unsigned sizes = 21;
    const std::set<int> large = {4, 17};
    fanout_sim sim(0);
    sim.add_nodes(sizes, [&](int i) { return large.count(i) ? 0u : 3u; });
    sim.run(kSettleTime);
    const std::vector<int> ranked = by_rank(sim);
    EXPECT_EQ(std::set<int>(ranked.begin(), ranked.begin() + 2), large);
    ASSERT_EQ(sim.watchers().size(), 1u);
    EXPECT_TRUE(large.count(sim.watchers()[0]));
}

TEST(NodeTier, FollowsProcessorAndLink)
{
    struct {
        double processor;
        double megabits;
        unsigned tier;
    } const cases[] = {
        {0, 0, 0},        {0.5, 200, 0}, {0.5, 0, 0},
        {0, 1000, 0},     {0.25, 99, 1}, {0.2, 1000, 1},
        {0.055, 1000, 2}, {0.5, 10, 3},  {0.028, 200, 3},
    };
    for (const auto &c : cases) {
        EXPECT_EQ(MvNode_TierOf(c.processor, c.megabits), c.tier)
            << c.processor << " cores, " << c.megabits << " Mbit/s";
    }
    for (mv_node_id_t id = 0; id < 64; id++) {
        for (mv_node_id_t other = 0; other < 64; other++) {
            if (MvNodeId_Tier(id) < MvNodeId_Tier(other)) {
                EXPECT_LT(MvRelayTree_Rank(id), MvRelayTree_Rank(other));
            }
        }
    }
}

/* The store's calls must not grow with the nodes, nor may the busiest node
 * send more than its share. */
TEST(Relay, OneWatcherAndAnEvenLoadAtAnySize)
{
    for (int nodes : {8, 60, 300, 600}) {
        fanout_sim sim(nodes);
        sim.run(kSettleTime);
        ASSERT_EQ(sim.watchers().size(), 1u) << nodes;
        uint64_t calls = sim.calls();
        std::vector<uint64_t> sent;
        for (const auto &node : sim.nodes) {
            sent.push_back(node->bytes_sent);
        }
        const int seconds = 10;
        for (int i = 0; i < seconds; i++) {
            sim.write("number/1", std::to_string(i));
            sim.run(MV_SECOND);
        }
        EXPECT_LE(sim.calls() - calls, 3u * seconds) << nodes;
        for (const auto &node : sim.nodes) {
            double rate =
                (double)(node->bytes_sent - sent[node->index]) / seconds;
            EXPECT_LE(rate, kMaxBytesPerSecond)
                << nodes << " nodes, node " << node->index;
        }
    }
}

/* A fault of nodes that others depend on: @ranked lists all nodes of the data
 * centre, the first one watches the store, those behind it relay. */
struct relay_fault_t {
    const char *name;
    std::function<void(fanout_sim &, const std::vector<int> &ranked)> begin;
    /* Nodes for which the limit does not hold, by rank. */
    std::set<unsigned> exempt;
    mv_time_t limit = kPropagationLimit;
};

void
PrintTo(const relay_fault_t &fault, std::ostream *out)
{
    *out << fault.name;
}

class RelayFaults
    : public testing::TestWithParam<std::tuple<int, relay_fault_t>> {};

TEST_P(RelayFaults, ChangePropagatesWithinLimit)
{
    const auto &[nodes, fault] = GetParam();
    /* The large simulation takes seconds: one moment suffices there. */
    const std::vector<mv_time_t> delays =
        nodes > 100 ? std::vector<mv_time_t>{400}
                    : std::vector<mv_time_t>{0, 400, 900, 1500};
    for (mv_time_t delay : delays) {
        fanout_sim sim(nodes);
        sim.write("number/1", "1");
        sim.write(kServerKey, "");
        sim.run(kSettleTime);
        ASSERT_EQ(sim.watchers().size(), 1u);
        const std::vector<int> ranked = by_rank(sim);
        std::set<int> exempt;
        for (unsigned rank : fault.exempt) {
            exempt.insert(ranked[rank]);
        }
        fault.begin(sim, ranked);
        sim.run(delay * MV_MILLISECOND);
        sim.write("number/1", "2");
        sim.erase(kServerKey);
        const mv_time_t changed_at = sim.now;
        sim.run(fault.limit);
        int late = 0;
        for (const auto &node : sim.nodes) {
            late += node->alive && !exempt.count(node->index) &&
                    node->values["number/1"] != "2";
        }
        sim.run(3 * MV_SECOND);
        int used_late = 0;
        for (const auto &node : sim.nodes) {
            /* A node that is cut off from the store is not in touch: this
             * limit does not hold for it. */
            used_late += node->alive && !exempt.count(node->index) &&
                         node->access == store_access::reachable &&
                         node->last_used_at - changed_at > fault.limit;
        }
        EXPECT_EQ(late, 0) << "change " << delay << " ms after the fault";
        EXPECT_EQ(used_late, 0) << "new flows to a server that was removed "
                                << delay << " ms after the fault";
        EXPECT_FALSE(sim.has_reverted);
    }
}

/* Guards against nodes that take the loss of their source for an outage of the
 * store, and use a server again that was removed shortly before. */
TEST_P(RelayFaults, ServerRemovedBeforeIsNotUsedAgain)
{
    const auto &[nodes, fault] = GetParam();
    const std::vector<mv_time_t> delays =
        nodes > 100 ? std::vector<mv_time_t>{1000}
                    : std::vector<mv_time_t>{200, 600, 1000, 1400};
    for (mv_time_t delay : delays) {
        fanout_sim sim(nodes);
        sim.write(kServerKey, "");
        sim.run(kSettleTime);
        const std::vector<int> ranked = by_rank(sim);
        std::set<int> exempt;
        for (unsigned rank : fault.exempt) {
            exempt.insert(ranked[rank]);
        }
        sim.erase(kServerKey);
        const mv_time_t erased_at = sim.now;
        sim.run(delay * MV_MILLISECOND);
        fault.begin(sim, ranked);
        sim.run(5 * MV_SECOND);
        int used_late = 0;
        for (const auto &node : sim.nodes) {
            used_late += node->alive && !exempt.count(node->index) &&
                         node->access == store_access::reachable &&
                         node->last_used_at - erased_at > fault.limit;
        }
        EXPECT_EQ(used_late, 0)
            << "removed " << delay << " ms before the fault";
    }
}

void
cut_sending(fanout_sim &sim, int index)
{
    for (size_t other = 0; other < sim.nodes.size(); other++) {
        sim.cut_links.insert({index, (int)other});
    }
}

void
cut_receiving(fanout_sim &sim, int index)
{
    for (size_t other = 0; other < sim.nodes.size(); other++) {
        sim.cut_links.insert({(int)other, index});
    }
}

const relay_fault_t kRelayFaults[] = {
    {"relay_killed", [](auto &sim, auto &r) { sim.stop(r[1]); }, {}},
    {"relay_restarted",
     [](auto &sim, auto &r) {
         sim.stop(r[1]);
         sim.start(r[1]);
     },
     {}},
    {"relay_frozen",
     [](auto &sim, auto &r) { sim.freeze(r[1], 10 * MV_SECOND); },
     {1}},
    {"relay_wakes",
     [](auto &sim, auto &r) {
         sim.freeze(r[1], 5 * MV_SECOND);
         sim.run(4900 * MV_MILLISECOND);
     },
     {}},
    {"relay_sends_nothing",
     [](auto &sim, auto &r) { cut_sending(sim, r[1]); },
     {}},
    {"relay_receives_nothing",
     [](auto &sim, auto &r) { cut_receiving(sim, r[1]); },
     {}},
    {"relay_slow",
     [](auto &sim, auto &r) { sim.nodes[r[1]]->slowness = 400000; },
     {}},
    {"all_first_relays_killed",
     [](auto &sim, auto &r) {
         for (int i = 1; i <= 8; i++) {
             sim.stop(r[i]);
         }
     },
     {}},
    {"watcher_and_relays_killed",
     [](auto &sim, auto &r) {
         for (int i = 0; i <= 4; i++) {
             sim.stop(r[i]);
         }
     },
     {}},
    {"watcher_killed_relay_frozen",
     [](auto &sim, auto &r) {
         sim.stop(r[0]);
         sim.freeze(r[1], 10 * MV_SECOND);
     },
     {1}},
    {"watcher_without_store_relay_killed",
     [](auto &sim, auto &r) {
         sim.nodes[r[0]]->access = store_access::no_reply;
         sim.stop(r[2]);
     },
     {}},
    {"watcher_refused_relay_sends_nothing",
     [](auto &sim, auto &r) {
         sim.nodes[r[0]]->access = store_access::refused;
         cut_sending(sim, r[1]);
     },
     {}},
    {"first_half_refused",
     [](auto &sim, auto &r) {
         for (size_t i = 0; i < r.size() / 2; i++) {
             sim.nodes[r[i]]->access = store_access::refused;
         }
     },
     {},
     kRefusedLimit},
    {"every_other_node_killed",
     [](auto &sim, auto &r) {
         for (size_t i = 0; i < r.size(); i += 2) {
             sim.stop(r[i]);
         }
     },
     {}},
    {"a_tenth_of_datagrams_lost",
     [](auto &sim, auto &) { sim.loss = 0.1; },
     {}},
};

INSTANTIATE_TEST_SUITE_P(Table, RelayFaults,
                         testing::Combine(testing::Values(60, 600),
                                          testing::ValuesIn(kRelayFaults)),
                         [](const auto &info) {
                             return std::string(std::get<1>(info.param).name) +
                                    "_" +
                                    std::to_string(std::get<0>(info.param));
                         });

/* Calls that a fault costs: few nodes may turn to the store, and all return to
 * one watcher. */
TEST(Relay, LossOfTheWatcherCostsFewCalls)
{
    fanout_sim sim(300);
    sim.run(kSettleTime);
    std::vector<int> ranked = by_rank(sim);
    uint64_t before = sim.calls();
    sim.stop(ranked[0]);
    sim.run(kSettleTime);
    EXPECT_EQ(sim.watchers().size(), 1u);
    EXPECT_LE(sim.calls() - before, 30u);
    sim.start(ranked[0]);
    sim.run(kSettleTime);
    ASSERT_EQ(sim.watchers().size(), 1u);
    EXPECT_EQ(sim.watchers()[0], ranked[0]);
}

/* A list, two watches, a lease and the record for each node, and the calls of
 * one watcher; a node must not write its record again because its replica
 * does not show it yet. */
TEST(Relay, AFirstStartCostsFiveCalls)
{
    const unsigned nodes = 60;
    fanout_sim sim(nodes);
    sim.run(kSettleTime);
    EXPECT_LE(sim.calls(), 5u * nodes + 20u);
}

/* A node that was registered before needs only a list, which may be stale. */
TEST(Relay, ARestartCostsOneCall)
{
    fanout_sim sim(60);
    sim.run(kSettleTime);
    std::vector<int> ranked = by_rank(sim);
    uint64_t before = sim.nodes[ranked[20]]->calls;
    sim.stop(ranked[20]);
    sim.start(ranked[20]);
    sim.run(kSettleTime);
    EXPECT_EQ(sim.nodes[ranked[20]]->calls - before, 1u);
}
