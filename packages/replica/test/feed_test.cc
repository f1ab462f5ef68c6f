#include "fanout_sim.h"

#include <gtest/gtest.h>

namespace {

/* Changes must be in force within 3 s of the store's reply; this leaves 200 ms
 * for the directory and the traffic thread. */
const mv_time_t kPropagationLimit = 2800 * MV_MILLISECOND;
const mv_time_t kSettleTime = 5 * MV_SECOND;

} // namespace

TEST(Feed, OneWatchingNodeUpdatesDataCentre)
{
    fanout_sim world(24, 3);
    world.run(kSettleTime);
    EXPECT_EQ(world.watchers().size(), 3u);
    uint64_t before = world.calls();
    world.write("number/1", "1");
    mv_time_t took =
        world.propagation_time("number/1", "1", kPropagationLimit);
    EXPECT_GE(took, 0);
    EXPECT_LE(took, 700 * MV_MILLISECOND);
    world.run(10 * MV_SECOND);
    /* One call per second for each watching node, against 240 when each of 24
     * nodes watches. */
    EXPECT_LE(world.calls() - before, 45u);
}

/* A fault at the watching node shortly before a change. */
struct fault_t {
    const char *name;
    std::function<void(fanout_sim &, int)> begin;
};

class Watchers : public testing::TestWithParam<fault_t> {};

TEST_P(Watchers, ChangePropagatesWithinLimit)
{
    for (mv_time_t lead = 0; lead <= 1500 * MV_MILLISECOND;
         lead += 300 * MV_MILLISECOND) {
        fanout_sim world(8);
        world.write("number/1", "1");
        world.run(kSettleTime);
        ASSERT_EQ(world.watchers().size(), 1u);
        int watcher = world.watchers()[0];
        GetParam().begin(world, watcher);
        world.run(lead);
        world.write("number/1", "2");
        /* The limit does not apply to the faulty node itself. */
        mv_time_t start = world.now;
        bool all = false;
        while (!all && world.now - start < kPropagationLimit) {
            world.run(10 * MV_MILLISECOND);
            all = true;
            for (auto &node : world.nodes) {
                all = all && (node->index == watcher || !node->alive ||
                              node->known["number/1"] == "2");
            }
        }
        EXPECT_TRUE(all) << GetParam().name << " " << lead;
        EXPECT_FALSE(world.has_reverted);
    }
}

const fault_t kFaults[] = {
    {"none", [](fanout_sim &, int) {}},
    {"killed", [](fanout_sim &world, int i) { world.stop(i); }},
    {"restarted",
     [](fanout_sim &world, int i) {
         world.stop(i);
         world.start(i);
     }},
    {"store unreachable, no reply",
     [](fanout_sim &world, int i) {
         world.nodes[i]->access = store_access::silent;
     }},
    {"store refuses connections",
     [](fanout_sim &world, int i) {
         world.nodes[i]->access = store_access::refused;
     }},
    {"partitioned from the other nodes",
     [](fanout_sim &world, int i) {
         for (int j = 0; j < 8; j++) {
             world.cut.insert({i, j});
             world.cut.insert({j, i});
         }
     }},
    {"sends but does not receive",
     [](fanout_sim &world, int i) {
         for (int j = 0; j < 8; j++) {
             world.cut.insert({j, i});
         }
     }},
    {"its node record deleted",
     [](fanout_sim &world, int i) {
         world.erase(MV_NODE_PREFIX + std::to_string(world.nodes[i]->id));
     }},
    {"store history compacted",
     [](fanout_sim &world, int) { world.compact_history(); }},
    {"20 percent of datagrams lost",
     [](fanout_sim &world, int) { world.loss = 0.2; }},
    {"killed with two others",
     [](fanout_sim &world, int i) {
         world.stop(i);
         world.stop((i + 1) % 8);
         world.stop((i + 2) % 8);
     }},
};

INSTANTIATE_TEST_SUITE_P(Table, Watchers, testing::ValuesIn(kFaults),
                         [](const auto &info) {
                             std::string name = info.param.name;
                             for (char &c : name) {
                                 c = isalnum((unsigned char)c) ? c : '_';
                             }
                             return name;
                         });

TEST(Feed, ReportsLossAndReturnOfPeerOnce)
{
    fanout_sim world(8);
    world.run(5 * MV_SECOND);
    ASSERT_EQ(world.watchers().size(), 1u);
    const int watcher = world.watchers()[0];
    const mv_node_id_t id = world.nodes[watcher]->id;
    for (int i = 0; i < 8; i++) {
        world.cut.insert({watcher, i});
    }
    world.run(4 * MV_SECOND);
    for (int i = 0; i < 8; i++) {
        EXPECT_EQ(world.nodes[i]->lost.count(id), i == watcher ? 0u : 1u) << i;
    }
    world.cut.clear();
    world.run(2 * MV_SECOND);
    for (int i = 0; i < 8; i++) {
        EXPECT_EQ(world.nodes[i]->lost.count(id), 0u) << i;
        EXPECT_EQ(world.nodes[i]->duplicate_reports, 0) << i;
        if (i != watcher) {
            EXPECT_GE(world.nodes[i]->longest_absence, 4 * MV_SECOND) << i;
            EXPECT_LE(world.nodes[i]->longest_absence, 5 * MV_SECOND) << i;
        }
    }
}

/* Start of the interval in the histogram of change propagation. */
TEST(Feed, BehindSinceFirstNewerHeartbeat)
{
    fanout_sim world(2);
    world.run(5 * MV_SECOND);
    const int watcher = world.watchers()[0];
    fanout_sim_node &other = *world.nodes[1 - watcher];
    EXPECT_EQ(MvFanout_BehindSince(other.fanout), 0);

    const mv_time_t reported_at = world.now;
    const uint64_t next = MvReplica_Revision(other.replica) + 3;
    mv_message_t heartbeat = {};
    heartbeat.kind = MV_MESSAGE_REPLICA_HEARTBEAT;
    heartbeat.from = world.nodes[watcher]->id;
    heartbeat.version = next;
    heartbeat.target = 1;
    MvFanout_HandleMessage(other.fanout, reported_at, &heartbeat);
    MvFanout_HandleMessage(other.fanout, reported_at + MV_MILLISECOND,
                           &heartbeat);
    EXPECT_EQ(MvFanout_BehindSince(other.fanout), reported_at);
    MvReplica_Advance(other.replica, next);
    EXPECT_EQ(MvFanout_BehindSince(other.fanout), 0);
}

TEST(Feed, RefusedNodesAreUpdatedByPeers)
{
    fanout_sim world(6);
    world.run(kSettleTime);
    for (int i = 0; i < 6; i += 2) {
        world.nodes[i]->access = store_access::refused;
    }
    world.run(3 * MV_SECOND);
    world.write("number/1", "1");
    EXPECT_GE(world.propagation_time("number/1", "1", kPropagationLimit), 0);
}

TEST(Feed, PropagatesWithinLimitAfterStoreOutage)
{
    fanout_sim world(12);
    world.run(kSettleTime);
    for (auto &node : world.nodes) {
        node->access = store_access::silent;
    }
    world.run(20 * MV_SECOND);
    for (auto &node : world.nodes) {
        node->access = store_access::good;
    }
    world.write("number/1", "1");
    EXPECT_GE(world.propagation_time("number/1", "1", kPropagationLimit), 0);
    world.run(kSettleTime);
    EXPECT_EQ(world.watchers().size(), 1u);
}

TEST(Feed, OutageDoesNotCauseThunderingHerd)
{
    fanout_sim world(60, 3);
    world.run(kSettleTime);
    for (auto &node : world.nodes) {
        node->access = store_access::refused;
    }
    uint64_t before = world.calls();
    world.run(10 * MV_SECOND);
    /* Fewer than two calls per second and node, decreasing by back-off. */
    EXPECT_LE(world.calls() - before, 60u * 17u);
}

TEST(Feed, NeverRevertsUnderRandomFaults)
{
    for (uint32_t seed = 1; seed <= 12; seed++) {
        fanout_sim world(10, 2, seed);
        GRand *random = g_rand_new_with_seed(seed);
        world.loss = 0.1;
        for (int step = 1; step <= 60; step++) {
            world.write("number/1", std::to_string(step));
            int i = g_rand_int_range(random, 0, 10);
            switch (g_rand_int_range(random, 0, 6)) {
            case 0:
                world.stop(i);
                world.start(i);
                break;
            case 1:
                world.nodes[i]->access = store_access::silent;
                break;
            case 2:
                world.nodes[i]->access = store_access::refused;
                break;
            case 3:
                world.compact_history();
                break;
            case 4:
                world.cut.insert({i, (i + 2) % 10});
                break;
            default:
                for (auto &node : world.nodes) {
                    node->access = store_access::good;
                }
                world.cut.clear();
            }
            world.run(g_rand_int_range(random, 50, 900) * MV_MILLISECOND);
        }
        EXPECT_FALSE(world.has_reverted) << "seed " << seed;
        for (auto &node : world.nodes) {
            node->access = store_access::good;
        }
        world.cut.clear();
        world.loss = 0;
        EXPECT_GE(world.propagation_time("number/1", "60", kPropagationLimit),
                  0)
            << "seed " << seed;
        g_rand_free(random);
    }
}

TEST(Feed, MassRestartLoadsStoreWithFewWatches)
{
    fanout_sim world(87, 3);
    world.run(kSettleTime);
    for (int i = 0; i < 87; i++) {
        world.stop(i);
    }
    uint64_t before = world.calls();
    for (int i = 0; i < 87; i++) {
        world.start(i);
    }
    world.run(kSettleTime);
    /* One list per node, and the calls of the watching nodes. */
    EXPECT_LE(world.calls() - before, 87u * 2u + 6u * 12u);
    EXPECT_LE(world.watchers().size(), 6u);
}

/* Nodes have no disk: after a power loss of all nodes the configuration is
 * unknown until the store is reachable again. */
TEST(Feed, PowerLossOfAllNodesDuringStoreOutage)
{
    for (store_access how : {store_access::silent, store_access::refused}) {
        fanout_sim world(87, 3);
        world.run(kSettleTime);
        world.write("number/1", "1");
        world.run(kSettleTime);
        for (int i = 0; i < 87; i++) {
            world.nodes[i]->access = how;
            world.stop(i);
        }
        for (int i = 0; i < 87; i++) {
            world.start(i);
        }
        uint64_t before = world.calls();
        world.run(8 * MV_SECOND);
        EXPECT_LE(world.calls() - before, 87u * 16u)
            << "calls during the outage";
        for (auto &node : world.nodes) {
            node->access = store_access::good;
        }
        before = world.calls();
        EXPECT_GE(world.propagation_time("number/1", "1", kPropagationLimit),
                  0);
        EXPECT_FALSE(world.has_reverted);
        world.run(kSettleTime);
        /* Each node lists, takes a lease and writes its record, with one retry
         * each; and the calls of the watching nodes. */
        EXPECT_LE(world.calls() - before, 87u * 6u + 6u * 16u);
        EXPECT_LE(world.watchers().size(), 6u);
    }
}

TEST(Feed, ResumedNodeWatchesImmediately)
{
    fanout_sim world(8);
    world.run(kSettleTime);
    int other = world.watchers()[0] == 0 ? 1 : 0;
    MvFanout_Resumed(world.nodes[other]->fanout);
    world.run(20 * MV_MILLISECOND);
    EXPECT_TRUE(MvFanout_IsWatching(world.nodes[other]->fanout));
    world.run(3 * MV_SECOND);
    EXPECT_EQ(world.watchers().size(), 1u);
}

TEST(Registration, IdsAreUniqueDespiteLostReplies)
{
    fanout_sim world(40, 2);
    for (int i = 0; i < 40; i += 3) {
        world.nodes[i]->access = store_access::silent;
    }
    world.run(2 * MV_SECOND);
    for (auto &node : world.nodes) {
        node->access = store_access::good;
    }
    world.run(15 * MV_SECOND);
    std::set<mv_node_id_t> ids;
    size_t keys = 0;
    for (auto &node : world.nodes) {
        EXPECT_TRUE(node->is_registered);
        ids.insert(node->id);
    }
    for (const auto &entry : world.items) {
        keys += g_str_has_prefix(entry.first.c_str(), MV_NODE_PREFIX);
    }
    EXPECT_EQ(ids.size(), 40u);
    EXPECT_EQ(keys, 40u);
}

TEST(NodeRecord, RejectsMalformed)
{
    struct {
        const char *key;
        const char *value;
        bool good;
    } const cases[] = {
        {"masticvane/nodes/12", "casa 10.0.0.1 7720", true},
        {"masticvane/nodes/", "casa 10.0.0.1 7720", false},
        {"masticvane/nodes/x", "casa 10.0.0.1 7720", false},
        {"masticvane/nodes/70000", "casa 10.0.0.1 7720", false},
        {"masticvane/nodes/12", "casa 10.0.0.1", false},
        {"masticvane/nodes/12", "casa 10.0.0 7720", false},
        {"masticvane/nodes/12", "casa 10.0.0.1 0", false},
        {"masticvane/nodes/12", " 10.0.0.1 7720", false},
        {"masticvane/nodes/12", "", false},
        {"other/12", "casa 10.0.0.1 7720", false},
    };
    for (const auto &c : cases) {
        mv_node_record_t neighbour;
        EXPECT_EQ(MvNodeRecord_Parse(c.key, c.value, &neighbour), c.good)
            << c.key << " " << c.value;
    }
}

TEST(Delta, RejectsMalformed)
{
    auto ignore = [](void *, const mv_store_item_t *) {};
    mv_replica_t *from = MvReplica_Create(ignore, nullptr);
    mv_replica_t *to = MvReplica_Create(ignore, nullptr);
    for (uint64_t i = 1; i <= 50; i++) {
        std::string key = "k" + std::to_string(i);
        mv_store_item_t item = {key.c_str(), "some value of a key", 19, i,
                                false};
        MvReplica_Apply(from, 0, &item);
    }
    MvReplica_Advance(from, 50);
    mv_buffer_t bytes = {};
    ASSERT_TRUE(MvReplica_EncodeSince(from, 0, &bytes));
    /* Found by fuzzing: arrays with counts of up to two thousand million. */
    for (const char *malformed :
         {"\x00\xdd\x7f\xff\xff\xff", "\x00\xdf\x01\xa8\x90\x90",
          "\x00\x94\x00\x05\x01\xdd\x70\xfa\x76\x01"}) {
        EXPECT_EQ(MvReplica_Merge(to, 0, malformed,
                                  6 + (malformed[1] == '\x94') * 4),
                  MV_MERGE_MALFORMED);
    }
    for (size_t length = 0; length < bytes.length; length++) {
        EXPECT_EQ(MvReplica_Merge(to, 0, (char *)bytes.data, length),
                  MV_MERGE_MALFORMED);
    }
    EXPECT_EQ(MvReplica_Revision(to), 0u);
    EXPECT_EQ(MvReplica_Merge(to, 0, (char *)bytes.data, bytes.length),
              MV_MERGE_DONE);
    EXPECT_EQ(MvReplica_Count(to), 50u);
    EXPECT_EQ(MvReplica_Revision(to), 50u);
    MvBuffer_Clear(&bytes);
    MvReplica_Destroy(from);
    MvReplica_Destroy(to);
}

/* Guards against a public delta that advances the revision: when it arrived
 * after a list older than the signing keys, the node never read the keys
 * (seen in 1 of 24 runs). */
TEST(Delta, PublicDeltaDoesNotAdvanceRevision)
{
    auto ignore = [](void *, const mv_store_item_t *) {};
    mv_replica_t *from = MvReplica_Create(ignore, nullptr);
    mv_replica_t *to = MvReplica_Create(ignore, nullptr);
    mv_store_item_t old = {"a", "1", 1, 2, false};
    mv_store_item_t keys = {MV_SIGNING_KEYS, "1 00", 4, 3, false};
    MvReplica_Apply(from, 0, &old);
    MvReplica_Apply(from, 0, &keys);
    MvReplica_Advance(from, 3);
    mv_buffer_t bytes = {};
    ASSERT_TRUE(MvReplica_EncodePublic(from, &bytes));
    MvReplica_Advance(to, 2);
    EXPECT_NE(MvReplica_Merge(to, 0, (char *)bytes.data, bytes.length),
              MV_MERGE_MALFORMED);
    EXPECT_STREQ(MvReplica_Value(to, "a", nullptr), "1");
    EXPECT_EQ(MvReplica_Value(to, MV_SIGNING_KEYS, nullptr), nullptr);
    EXPECT_EQ(MvReplica_Revision(to), 2u);
    MvBuffer_Clear(&bytes);
    MvReplica_Destroy(from);
    MvReplica_Destroy(to);
}

TEST(Delta, DetectsGap)
{
    auto ignore = [](void *, const mv_store_item_t *) {};
    mv_replica_t *from = MvReplica_Create(ignore, nullptr);
    mv_replica_t *to = MvReplica_Create(ignore, nullptr);
    mv_store_item_t item = {"a", "1", 1, 20, false};
    MvReplica_Apply(from, 0, &item);
    MvReplica_Advance(from, 20);
    mv_buffer_t bytes = {};
    ASSERT_TRUE(MvReplica_EncodeSince(from, 15, &bytes));
    MvReplica_Advance(to, 10);
    EXPECT_EQ(MvReplica_Merge(to, 0, (char *)bytes.data, bytes.length),
              MV_MERGE_GAP);
    /* The key is applied, but the revision is not advanced. */
    EXPECT_STREQ(MvReplica_Value(to, "a", nullptr), "1");
    EXPECT_EQ(MvReplica_Revision(to), 10u);
    MvBuffer_Clear(&bytes);
    MvReplica_Destroy(from);
    MvReplica_Destroy(to);
}
