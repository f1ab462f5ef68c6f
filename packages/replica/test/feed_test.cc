#include "fanout_sim.h"

#include <gtest/gtest.h>

namespace {

/* The users' bounds are 3 s from the store's answer; this leaves room for the
 * directory and the traffic thread. */
const mv_time_t kInForce = 2800 * MV_MILLISECOND;
const mv_time_t kSettled = 5 * MV_SECOND;

} // namespace

TEST(Feed, OneNodeOfADataCentreWatchesAndAllLearn)
{
    fanout_sim world(24, 3);
    world.run(kSettled);
    EXPECT_EQ(world.watchers().size(), 3u);
    uint64_t before = world.calls();
    world.write("number/1", "1");
    mv_time_t took = world.propagation_time("number/1", "1", kInForce);
    EXPECT_GE(took, 0);
    EXPECT_LE(took, 700 * MV_MILLISECOND);
    world.run(10 * MV_SECOND);
    /* A call a second for each watcher; each node for itself makes 240. */
    EXPECT_LE(world.calls() - before, 45u);
}

/* What goes wrong with the node that watches, a moment before a change. */
struct trouble_t {
    const char *name;
    std::function<void(fanout_sim &, int)> begin;
};

class Watchers : public testing::TestWithParam<trouble_t> {};

TEST_P(Watchers, AChangeIsInForceInTimeWhateverHappensToTheWatcher)
{
    for (mv_time_t lead = 0; lead <= 1500 * MV_MILLISECOND;
         lead += 300 * MV_MILLISECOND) {
        fanout_sim world(8);
        world.write("number/1", "1");
        world.run(kSettled);
        ASSERT_EQ(world.watchers().size(), 1u);
        int watcher = world.watchers()[0];
        GetParam().begin(world, watcher);
        world.run(lead);
        world.write("number/1", "2");
        /* The one in trouble itself is not held to the bound. */
        mv_time_t start = world.now;
        bool all = false;
        while (!all && world.now - start < kInForce) {
            world.run(10 * MV_MILLISECOND);
            all = true;
            for (auto &node : world.nodes) {
                all = all && (node->index == watcher || !node->alive ||
                              node->known["number/1"] == "2");
            }
        }
        EXPECT_TRUE(all) << GetParam().name << " " << lead;
        EXPECT_FALSE(world.went_back);
    }
}

const trouble_t kTroubles[] = {
    {"none", [](fanout_sim &, int) {}},
    {"killed", [](fanout_sim &world, int i) { world.stop(i); }},
    {"restarted",
     [](fanout_sim &world, int i) {
         world.stop(i);
         world.start(i);
     }},
    {"cut from the store, silently",
     [](fanout_sim &world, int i) {
         world.nodes[i]->reaches = reach::silent;
     }},
    {"refused by the store",
     [](fanout_sim &world, int i) {
         world.nodes[i]->reaches = reach::refused;
     }},
    {"cut from the other nodes",
     [](fanout_sim &world, int i) {
         for (int j = 0; j < 8; j++) {
             world.cut.insert({i, j});
             world.cut.insert({j, i});
         }
     }},
    {"heard but not answered",
     [](fanout_sim &world, int i) {
         for (int j = 0; j < 8; j++) {
             world.cut.insert({j, i});
         }
     }},
    {"its key taken away",
     [](fanout_sim &world, int i) {
         world.erase(MV_NODE_PREFIX + std::to_string(world.nodes[i]->id));
     }},
    {"the store forgets its history",
     [](fanout_sim &world, int) { world.forget_history(); }},
    {"a fifth of all datagrams lost",
     [](fanout_sim &world, int) { world.loss = 0.2; }},
    {"the next two killed as well",
     [](fanout_sim &world, int i) {
         world.stop(i);
         world.stop((i + 1) % 8);
         world.stop((i + 2) % 8);
     }},
};

INSTANTIATE_TEST_SUITE_P(Table, Watchers, testing::ValuesIn(kTroubles),
                         [](const auto &info) {
                             std::string name = info.param.name;
                             for (char &c : name) {
                                 c = isalnum((unsigned char)c) ? c : '_';
                             }
                             return name;
                         });

TEST(Feed, EachLostAndRegainedNeighbourIsToldOnceWithItsTime)
{
    fanout_sim world(8);
    world.run(5 * MV_SECOND);
    ASSERT_EQ(world.watchers().size(), 1u);
    const int leader = world.watchers()[0];
    const mv_node_id_t id = world.nodes[leader]->id;
    for (int i = 0; i < 8; i++) {
        world.cut.insert({leader, i});
    }
    world.run(4 * MV_SECOND);
    for (int i = 0; i < 8; i++) {
        EXPECT_EQ(world.nodes[i]->lost.count(id), i == leader ? 0u : 1u) << i;
    }
    world.cut.clear();
    world.run(2 * MV_SECOND);
    for (int i = 0; i < 8; i++) {
        EXPECT_EQ(world.nodes[i]->lost.count(id), 0u) << i;
        EXPECT_EQ(world.nodes[i]->told_twice, 0) << i;
        if (i != leader) {
            EXPECT_GE(world.nodes[i]->longest_gone, 4 * MV_SECOND) << i;
            EXPECT_LE(world.nodes[i]->longest_gone, 5 * MV_SECOND) << i;
        }
    }
}

/* What the histogram of changes begins with. */
TEST(Feed, ANodeKnowsSinceWhenItIsBehind)
{
    fanout_sim world(2);
    world.run(5 * MV_SECOND);
    const int leader = world.watchers()[0];
    fanout_sim_node &other = *world.nodes[1 - leader];
    EXPECT_EQ(MvFanout_BehindSince(other.fanout), 0);

    const mv_time_t told = world.now;
    const uint64_t next = MvReplica_Revision(other.replica) + 3;
    mv_message_t heartbeat = {};
    heartbeat.kind = MV_MESSAGE_REPLICA_HEARTBEAT;
    heartbeat.from = world.nodes[leader]->id;
    heartbeat.version = next;
    heartbeat.target = 1;
    MvFanout_HandleMessage(other.fanout, told, &heartbeat);
    MvFanout_HandleMessage(other.fanout, told + MV_MILLISECOND, &heartbeat);
    EXPECT_EQ(MvFanout_BehindSince(other.fanout), told);
    MvReplica_Advance(other.replica, next);
    EXPECT_EQ(MvFanout_BehindSince(other.fanout), 0);
}

TEST(Feed, ARefusedNodeLearnsFromItsNeighbours)
{
    fanout_sim world(6);
    world.run(kSettled);
    for (int i = 0; i < 6; i += 2) {
        world.nodes[i]->reaches = reach::refused;
    }
    world.run(3 * MV_SECOND);
    world.write("number/1", "1");
    EXPECT_GE(world.propagation_time("number/1", "1", kInForce), 0);
}

TEST(Feed, ChangesComeInTimeAfterTheStoreWasDownForAll)
{
    fanout_sim world(12);
    world.run(kSettled);
    for (auto &node : world.nodes) {
        node->reaches = reach::silent;
    }
    world.run(20 * MV_SECOND);
    for (auto &node : world.nodes) {
        node->reaches = reach::good;
    }
    world.write("number/1", "1");
    EXPECT_GE(world.propagation_time("number/1", "1", kInForce), 0);
    world.run(kSettled);
    EXPECT_EQ(world.watchers().size(), 1u);
}

TEST(Feed, AnOutageForAllIsNoStampede)
{
    fanout_sim world(60, 3);
    world.run(kSettled);
    for (auto &node : world.nodes) {
        node->reaches = reach::refused;
    }
    uint64_t before = world.calls();
    world.run(10 * MV_SECOND);
    /* Less than two calls a second a node, growing rarer. */
    EXPECT_LE(world.calls() - before, 60u * 17u);
}

TEST(Feed, KnowledgeNeverGoesBackUnderRandomTrouble)
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
                world.nodes[i]->reaches = reach::silent;
                break;
            case 2:
                world.nodes[i]->reaches = reach::refused;
                break;
            case 3:
                world.forget_history();
                break;
            case 4:
                world.cut.insert({i, (i + 2) % 10});
                break;
            default:
                for (auto &node : world.nodes) {
                    node->reaches = reach::good;
                }
                world.cut.clear();
            }
            world.run(g_rand_int_range(random, 50, 900) * MV_MILLISECOND);
        }
        EXPECT_FALSE(world.went_back) << "seed " << seed;
        for (auto &node : world.nodes) {
            node->reaches = reach::good;
        }
        world.cut.clear();
        world.loss = 0;
        EXPECT_GE(world.propagation_time("number/1", "60", kInForce), 0)
            << "seed " << seed;
        g_rand_free(random);
    }
}

TEST(Feed, AMassRestartIsServedByFewWatchers)
{
    fanout_sim world(87, 3);
    world.run(kSettled);
    for (int i = 0; i < 87; i++) {
        world.stop(i);
    }
    uint64_t before = world.calls();
    for (int i = 0; i < 87; i++) {
        world.start(i);
    }
    world.run(kSettled);
    /* A list each, and the watchers. */
    EXPECT_LE(world.calls() - before, 87u * 2u + 6u * 12u);
    EXPECT_LE(world.watchers().size(), 6u);
}

/* Nobody has a disk: what was known is gone until the store is back. */
TEST(Feed, AllPowerLostWhileTheStoreIsAway)
{
    for (reach how : {reach::silent, reach::refused}) {
        fanout_sim world(87, 3);
        world.run(kSettled);
        world.write("number/1", "1");
        world.run(kSettled);
        for (int i = 0; i < 87; i++) {
            world.nodes[i]->reaches = how;
            world.stop(i);
        }
        for (int i = 0; i < 87; i++) {
            world.start(i);
        }
        uint64_t before = world.calls();
        world.run(8 * MV_SECOND);
        EXPECT_LE(world.calls() - before, 87u * 16u) << "no stampede";
        for (auto &node : world.nodes) {
            node->reaches = reach::good;
        }
        before = world.calls();
        EXPECT_GE(world.propagation_time("number/1", "1", kInForce), 0);
        EXPECT_FALSE(world.went_back);
        world.run(kSettled);
        /* Each lists, takes a lease and writes its key, with a retry each;
         * and the watchers. */
        EXPECT_LE(world.calls() - before, 87u * 6u + 6u * 16u);
        EXPECT_LE(world.watchers().size(), 6u);
    }
}

TEST(Feed, AWokenNodeWatchesForItselfAtOnce)
{
    fanout_sim world(8);
    world.run(kSettled);
    int other = world.watchers()[0] == 0 ? 1 : 0;
    MvFanout_Resumed(world.nodes[other]->fanout);
    world.run(20 * MV_MILLISECOND);
    EXPECT_TRUE(MvFanout_IsWatching(world.nodes[other]->fanout));
    world.run(3 * MV_SECOND);
    EXPECT_EQ(world.watchers().size(), 1u);
}

TEST(Registration, NumbersAreUniqueAndLostAnswersDoNotDouble)
{
    fanout_sim world(40, 2);
    for (int i = 0; i < 40; i += 3) {
        world.nodes[i]->reaches = reach::silent;
    }
    world.run(2 * MV_SECOND);
    for (auto &node : world.nodes) {
        node->reaches = reach::good;
    }
    world.run(15 * MV_SECOND);
    std::set<mv_node_id_t> ids;
    size_t keys = 0;
    for (auto &node : world.nodes) {
        EXPECT_TRUE(node->linked);
        ids.insert(node->id);
    }
    for (const auto &entry : world.items) {
        keys += g_str_has_prefix(entry.first.c_str(), MV_NODE_PREFIX);
    }
    EXPECT_EQ(ids.size(), 40u);
    EXPECT_EQ(keys, 40u);
}

TEST(Neighbours, WhatCannotBeReadNamesNoNode)
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

TEST(Delta, MalformedBytesChangeNothing)
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
    /* Found by fuzzing: arrays that say they hold a thousand million. */
    for (const char *liar :
         {"\x00\xdd\x7f\xff\xff\xff", "\x00\xdf\x01\xa8\x90\x90",
          "\x00\x94\x00\x05\x01\xdd\x70\xfa\x76\x01"}) {
        EXPECT_EQ(MvReplica_Merge(to, 0, liar, 6 + (liar[1] == '\x94') * 4),
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

/* Found in one run of 24: a copy without the keys claimed
 * to be whole, came behind a list that was older than the keys, and the node
 * never saw them. */
TEST(Delta, ACopyWithoutTheKeysClaimsNothing)
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

TEST(Delta, AGapIsSeen)
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
    /* The key is taken over, completeness is not claimed. */
    EXPECT_STREQ(MvReplica_Value(to, "a", nullptr), "1");
    EXPECT_EQ(MvReplica_Revision(to), 10u);
    MvBuffer_Clear(&bytes);
    MvReplica_Destroy(from);
    MvReplica_Destroy(to);
}
