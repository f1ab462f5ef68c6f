/* Nodes in touch whose sources are in trouble: sources that handle messages
 * late, whose streams hang, that stand still, are cut off, killed or
 * restarted, one after the other. */
#include <gtest/gtest.h>

#include <algorithm>

#include "fanout_sim.h"
#include "relay_tree.h"

namespace {

const char *const kNumberKey = "number/1";
/* Of the time within which a change must be in force, the directory and the
 * traffic thread need this much. */
const mv_time_t kApplyTime = 200 * MV_MILLISECOND;
const mv_time_t kSettleTime = 8 * MV_SECOND;
const mv_time_t kStep = 50 * MV_MILLISECOND;
const mv_time_t kChangeInterval = 400 * MV_MILLISECOND;
const mv_time_t kServerPeriod = 6 * MV_SECOND;

/* Nodes of one data centre, and the times that a deployment of that size is
 * given. */
struct size_case_t {
    int nodes;
    mv_time_t limit;   /* for a change to be in force */
    mv_time_t contact; /* a node is in touch this long after its trouble */
};

const size_case_t kSizes[] = {
    {3, 3 * MV_SECOND, 4 * MV_SECOND},
    {21, 5 * MV_SECOND, 5 * MV_SECOND},
    {59, 6 * MV_SECOND, 6 * MV_SECOND},
};

/* Writes changes, removes a server again and again, and looks for nodes in
 * touch that know or act too late. */
class knowledge_checker {
  public:
    knowledge_checker(fanout_sim &sim, const size_case_t &size)
        : sim(sim), limit(size.limit - kApplyTime), contact(size.contact),
          troubled_until(sim.nodes.size(), 0)
    {
    }

    void
    trouble(int index, mv_time_t until)
    {
        troubled_until[index] = std::max(troubled_until[index], until);
    }

    void
    run(mv_time_t span)
    {
        for (const mv_time_t end = sim.now + span; sim.now < end;) {
            change();
            sim.run(kStep);
            check();
        }
    }

    int late = 0;
    int used_late = 0;
    std::string first;

  private:
    void
    change()
    {
        if (sim.now >= next_change) {
            next_change = sim.now + kChangeInterval;
            number++;
            sim.write(kNumberKey, std::to_string(number));
            changes.push_back({sim.now, number});
        }
        if (sim.now >= next_server) {
            next_server = sim.now + kServerPeriod / 2;
            server_exists = !server_exists;
            if (server_exists) {
                sim.write(kServerKey, "");
            }
            else {
                sim.erase(kServerKey);
            }
        }
    }

    bool
    is_in_touch(const fanout_sim_node &node) const
    {
        return node.alive &&
               sim.now - troubled_until[(size_t)node.index] >= contact;
    }

    void
    report(const fanout_sim_node &node, const char *what)
    {
        if (first.empty()) {
            first = std::string(what) + " at node " +
                    std::to_string(node.index) + ", " +
                    std::to_string(sim.now / MV_MILLISECOND) + " ms";
        }
    }

    void
    check()
    {
        while (!changes.empty() && sim.now - changes.front().first > limit) {
            due = changes.front().second;
            changes.erase(changes.begin());
        }
        bool is_removed = !server_exists && sim.erased_at.count(kServerKey) &&
                          sim.now - sim.erased_at[kServerKey] > limit;
        for (const auto &node : sim.nodes) {
            if (!is_in_touch(*node)) {
                continue;
            }
            auto found = node->values.find(kNumberKey);
            if (due > 0 && (found == node->values.end() ||
                            std::stoull(found->second) < due)) {
                late++;
                report(*node, "an old version");
            }
            if (is_removed && sim.now < node->usable_until) {
                used_late++;
                report(*node, "a removed server in use");
            }
        }
    }

    fanout_sim &sim;
    const mv_time_t limit;
    const mv_time_t contact;
    std::vector<mv_time_t> troubled_until;
    std::vector<std::pair<mv_time_t, uint64_t>> changes;
    uint64_t number = 0;
    uint64_t due = 0; /* newest change that every node in touch must have */
    bool server_exists = false;
    mv_time_t next_change = 0;
    mv_time_t next_server = 0;
};

std::vector<int>
by_rank(const fanout_sim &sim)
{
    std::vector<int> result;
    for (const auto &node : sim.nodes) {
        result.push_back(node->index);
    }
    std::sort(result.begin(), result.end(), [&](int a, int b) {
        return MvRelayTree_Rank(sim.nodes[a]->id) <
               MvRelayTree_Rank(sim.nodes[b]->id);
    });
    return result;
}

void
hang_streams(fanout_sim &sim, int from)
{
    for (const auto &node : sim.nodes) {
        sim.hung_streams.insert({from, node->index});
    }
}

void
free_streams(fanout_sim &sim, int from)
{
    for (const auto &node : sim.nodes) {
        sim.hung_streams.erase({from, node->index});
    }
}

void
cut(fanout_sim &sim, int index)
{
    for (const auto &other : sim.nodes) {
        sim.cut_links.insert({index, other->index});
        sim.cut_links.insert({other->index, index});
    }
}

void
heal(fanout_sim &sim, int index)
{
    for (const auto &other : sim.nodes) {
        sim.cut_links.erase({index, other->index});
        sim.cut_links.erase({other->index, index});
    }
}

/* One kind of trouble of some sources, by rank; it lasts. */
struct source_trouble_t {
    const char *name;
    std::vector<size_t> ranks;
    mv_time_t lateness;
    bool hangs;
    /* Lateness grows slowly, so that heartbeats never stop. */
    bool grows = false;
};

const source_trouble_t kSourceTroubles[] = {
    {"watcher_late_1s", {0}, MV_SECOND, false},
    {"watcher_late_6s", {0}, 6 * MV_SECOND, false},
    {"relay_late_1s", {1}, MV_SECOND, false},
    {"relay_late_6s", {1}, 6 * MV_SECOND, false},
    {"watcher_and_relay_late_2s", {0, 1}, 2 * MV_SECOND, false},
    {"first_nodes_late_2s", {0, 1, 2, 3, 4, 5}, 2 * MV_SECOND, false},
    {"first_nodes_late_6s", {0, 1, 2, 3, 4, 5}, 6 * MV_SECOND, false},
    {"watcher_grows_late", {0}, 6 * MV_SECOND, false, true},
    {"relay_grows_late", {1}, 6 * MV_SECOND, false, true},
    {"first_nodes_grow_late", {0, 1, 2, 3}, 6 * MV_SECOND, false, true},
    {"streams_of_watcher_hang", {0}, 0, true},
    {"streams_of_first_nodes_hang", {0, 1, 2, 3}, 0, true},
};

void
make_late(fanout_sim &sim, int index, const source_trouble_t &trouble)
{
    fanout_sim_node *node = sim.nodes[index].get();
    const mv_time_t step =
        trouble.grows ? 50 * MV_MILLISECOND : trouble.lateness;
    node->slowness = MIN(node->slowness + step, trouble.lateness);
    if (node->slowness < trouble.lateness) {
        sim.schedule(200 * MV_MILLISECOND, [&sim, index, &trouble] {
            make_late(sim, index, trouble);
        });
    }
}

class LateSources : public testing::TestWithParam<
                        std::tuple<size_case_t, source_trouble_t>> {};

const auto kCases = testing::Combine(testing::ValuesIn(kSizes),
                                     testing::ValuesIn(kSourceTroubles));

std::string
case_name(const testing::TestParamInfo<LateSources::ParamType> &info)
{
    return std::string(std::get<1>(info.param).name) + "_" +
           std::to_string(std::get<0>(info.param).nodes);
}

/* With a limit that is never reached, no node asks the store because of the
 * age of what it knows: the loss of the sources must suffice. */
class LostSources : public LateSources {};

void
expect_knowledge_in_time(const size_case_t &size,
                         const source_trouble_t &trouble,
                         mv_time_t change_limit)
{
    fanout_sim sim(size.nodes, 1, 1, change_limit);
    sim.write(kNumberKey, "0");
    sim.run(kSettleTime);
    const std::vector<int> ranked = by_rank(sim);
    knowledge_checker checker(sim, size);
    checker.run(kSettleTime);
    for (size_t rank : trouble.ranks) {
        /* Somebody must be in touch. */
        if (rank + 1 >= ranked.size()) {
            break;
        }
        checker.trouble(ranked[rank], MV_NEVER);
        make_late(sim, ranked[rank], trouble);
        if (trouble.hangs) {
            hang_streams(sim, ranked[rank]);
        }
    }
    checker.run((trouble.grows ? 40 : 20) * MV_SECOND);
    EXPECT_EQ(checker.late, 0) << checker.first;
    EXPECT_EQ(checker.used_late, 0) << checker.first;
}

} // namespace

TEST_P(LateSources, NodesInTouchKnowChangesInTime)
{
    const auto &[size, trouble] = GetParam();
    expect_knowledge_in_time(size, trouble, size.limit);
}

TEST_P(LostSources, NodesInTouchKnowChangesInTime)
{
    const auto &[size, trouble] = GetParam();
    expect_knowledge_in_time(size, trouble, MV_MINUTE);
}

INSTANTIATE_TEST_SUITE_P(Table, LateSources, kCases, case_name);

INSTANTIATE_TEST_SUITE_P(Table, LostSources, kCases, case_name);

namespace {

/* Begins a trouble of the node and schedules its end. */
void
draw_trouble(fanout_sim &sim, knowledge_checker &checker, GRand *random,
             int index)
{
    const mv_time_t span =
        g_rand_int_range(random, 500, 7000) * MV_MILLISECOND;
    fanout_sim_node *node = sim.nodes[index].get();
    checker.trouble(index, sim.now + span);
    switch (g_rand_int_range(random, 0, 5)) {
    case 0:
        node->slowness = g_rand_int_range(random, 100, 5000) * MV_MILLISECOND;
        sim.schedule(span, [node] { node->slowness = 0; });
        /* The simulation delivers late what was sent before the end. */
        checker.trouble(index, sim.now + span + node->slowness);
        break;
    case 1:
        hang_streams(sim, index);
        sim.schedule(span, [&sim, index] { free_streams(sim, index); });
        break;
    case 2:
        sim.freeze(index, span);
        break;
    case 3:
        cut(sim, index);
        sim.schedule(span, [&sim, index] { heal(sim, index); });
        break;
    default:
        sim.stop(index);
        sim.schedule(span, [&sim, index] { sim.start(index); });
        break;
    }
}

class TroublesInARow
    : public testing::TestWithParam<std::tuple<size_case_t, int>> {};

} // namespace

/* The first nodes in rank fail most often: the others depend on them. */
TEST_P(TroublesInARow, NodesInTouchKnowChangesInTime)
{
    const auto &[size, seed] = GetParam();
    fanout_sim sim(size.nodes, 1, (uint32_t)seed, size.limit);
    GRand *random = g_rand_new_with_seed((guint32)seed);
    sim.write(kNumberKey, "0");
    sim.run(kSettleTime);
    const std::vector<int> ranked = by_rank(sim);
    std::vector<mv_time_t> busy_until(ranked.size(), 0);
    knowledge_checker checker(sim, size);
    for (int i = 0; i < 60; i++) {
        const int last =
            std::min(size.nodes - 1, 1 << g_rand_int_range(random, 0, 6));
        const int index =
            ranked[(size_t)g_rand_int_range(random, 0, last + 1)];
        if (sim.now >= busy_until[index]) {
            /* No trouble lasts longer. */
            busy_until[index] = sim.now + 7 * MV_SECOND;
            draw_trouble(sim, checker, random, index);
        }
        checker.run(g_rand_int_range(random, 1, 12) * 100 * MV_MILLISECOND);
    }
    g_rand_free(random);
    EXPECT_EQ(checker.late, 0) << checker.first << ", seed " << seed;
    EXPECT_EQ(checker.used_late, 0) << checker.first << ", seed " << seed;
    EXPECT_FALSE(sim.has_reverted);
}

INSTANTIATE_TEST_SUITE_P(
    Seeds, TroublesInARow,
    testing::Combine(testing::ValuesIn(kSizes), testing::Range(1, 9)),
    [](const auto &info) {
        return std::to_string(std::get<0>(info.param).nodes) + "_nodes_" +
               std::to_string(std::get<1>(info.param));
    });

/* Guards against sources that answer in time but tell of knowledge that no
 * longer grows, in whatever way that came about. */
TEST(ProvenAge, ANodeAsksTheStoreWhenItsSourceTellsOldKnowledge)
{
    struct {
        const char *what;
        bool age_grows;
        mv_time_t limit;
    } const cases[] = {
        {"up to date", false, 3 * MV_SECOND},
        {"old, 3 s allowed", true, 3 * MV_SECOND},
        {"old, 5 s allowed", true, 5 * MV_SECOND},
    };
    for (const auto &c : cases) {
        fanout_sim sim(3, 1, 1, c.limit);
        sim.run(kSettleTime);
        const std::vector<int> ranked = by_rank(sim);
        fanout_sim_node *source = sim.nodes[ranked[0]].get();
        fanout_sim_node *node = sim.nodes[ranked[1]].get();
        sim.cut_links.insert({source->index, node->index});
        const mv_time_t began = sim.now;
        const uint64_t calls = node->calls;
        while (sim.now - began < c.limit) {
            const mv_time_t age = c.age_grows ? sim.now - began : 0;
            mv_message_t heartbeat = {};
            heartbeat.kind = MV_MESSAGE_REPLICA_HEARTBEAT;
            heartbeat.from = source->id;
            heartbeat.version = MvReplica_Revision(source->replica);
            heartbeat.target = (uint32_t)(age / MV_MILLISECOND) + 1;
            heartbeat.sequence = (uint32_t)(sim.now / MV_MILLISECOND);
            MvFanout_HandleMessage(node->fanout, sim.now, &heartbeat);
            sim.run(kStep);
        }
        EXPECT_EQ(node->calls > calls, c.age_grows) << c.what;
    }
}
