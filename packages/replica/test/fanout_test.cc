#include "fanout_sim.h"

#include <gtest/gtest.h>

namespace {

/* Changes must be in force within 3 s of the store's reply; this limit leaves
 * 200 ms for the directory and the traffic thread. */
const mv_time_t kPropagationLimit = 2800 * MV_MILLISECOND;
const mv_time_t kSettleTime = 5 * MV_SECOND;

/* One of the faults, or the end of all, in a simulation of ten nodes. */
void
inject_random_fault(fanout_sim &sim, GRand *random)
{
    int i = g_rand_int_range(random, 0, 10);
    switch (g_rand_int_range(random, 0, 6)) {
    case 0:
        sim.stop(i);
        sim.start(i);
        break;
    case 1:
        sim.nodes[i]->access = store_access::no_reply;
        break;
    case 2:
        sim.nodes[i]->access = store_access::refused;
        break;
    case 3:
        sim.compact_history();
        break;
    case 4:
        sim.cut_links.insert({i, (i + 2) % 10});
        break;
    default:
        for (auto &node : sim.nodes) {
            node->access = store_access::reachable;
        }
        sim.cut_links.clear();
    }
}

} // namespace

TEST(Fanout, OneWatchingNodeUpdatesDataCentre)
{
    fanout_sim sim(24, 3);
    sim.run(kSettleTime);
    EXPECT_EQ(sim.watchers().size(), 3u);
    uint64_t before = sim.calls();
    sim.write("number/1", "1");
    mv_time_t took = sim.propagation_time("number/1", "1", kPropagationLimit);
    EXPECT_GE(took, 0);
    EXPECT_LE(took, 700 * MV_MILLISECOND);
    sim.run(10 * MV_SECOND);
    /* Each of the 3 watching nodes makes about one call per second; if all 24
     * nodes watched, there would be 240 calls. */
    EXPECT_LE(sim.calls() - before, 45u);
}

/* A fault at the watching node shortly before a change. */
struct fault_t {
    const char *name;
    std::function<void(fanout_sim &, int)> begin;
};

class Watchers : public testing::TestWithParam<fault_t> {};

TEST_P(Watchers, ChangePropagatesWithinLimit)
{
    for (mv_time_t delay_after_fault = 0;
         delay_after_fault <= 1500 * MV_MILLISECOND;
         delay_after_fault += 300 * MV_MILLISECOND) {
        fanout_sim sim(8);
        sim.write("number/1", "1");
        sim.run(kSettleTime);
        ASSERT_EQ(sim.watchers().size(), 1u);
        int watcher = sim.watchers()[0];
        GetParam().begin(sim, watcher);
        sim.run(delay_after_fault);
        sim.write("number/1", "2");
        /* The limit does not apply to the faulty node itself. */
        mv_time_t start = sim.now;
        bool all_updated = false;
        while (!all_updated && sim.now - start < kPropagationLimit) {
            sim.run(10 * MV_MILLISECOND);
            all_updated = true;
            for (auto &node : sim.nodes) {
                all_updated =
                    all_updated && (node->index == watcher || !node->alive ||
                                    node->values["number/1"] == "2");
            }
        }
        EXPECT_TRUE(all_updated)
            << GetParam().name << ", " << delay_after_fault
            << " us before the change: not all nodes got it within the limit";
        EXPECT_FALSE(sim.has_reverted);
    }
}

/* Guards against the sum of two times: until a node learns that a server's
 * announcement was removed, and for which it then goes on using the server as
 * one whose announcement may have lapsed in an outage. */
TEST_P(Watchers, RemovedServerIsNotUsedAfterLimit)
{
    const mv_time_t earliest = 2500 * MV_MILLISECOND;
    for (mv_time_t fault_at = 0; fault_at <= 4 * MV_SECOND;
         fault_at += 100 * MV_MILLISECOND) {
        fanout_sim sim(8);
        sim.write(kServerKey, "");
        sim.run(kSettleTime);
        ASSERT_EQ(sim.watchers().size(), 1u);
        int watcher = sim.watchers()[0];
        mv_time_t erased_at = sim.now + earliest;
        sim.schedule(earliest, [&] { sim.erase(kServerKey); });
        sim.run(fault_at);
        GetParam().begin(sim, watcher);
        sim.run(earliest + 2 * kPropagationLimit - fault_at + MV_SECOND);
        for (auto &node : sim.nodes) {
            if (node->index == watcher || !node->alive) {
                continue;
            }
            EXPECT_LE(node->last_used_at - erased_at, kPropagationLimit)
                << GetParam().name << ", " << fault_at - earliest
                << " us after the removal, node " << node->index;
            EXPECT_EQ(node->wrong_claims, 0) << GetParam().name;
        }
    }
}

const fault_t kFaults[] = {
    {"none", [](fanout_sim &, int) {}},
    {"killed", [](fanout_sim &sim, int i) { sim.stop(i); }},
    {"restarted",
     [](fanout_sim &sim, int i) {
         sim.stop(i);
         sim.start(i);
     }},
    {"store unreachable, no reply",
     [](fanout_sim &sim, int i) {
         sim.nodes[i]->access = store_access::no_reply;
     }},
    {"store refuses connections",
     [](fanout_sim &sim, int i) {
         sim.nodes[i]->access = store_access::refused;
     }},
    {"partitioned from the other nodes",
     [](fanout_sim &sim, int i) {
         for (int j = 0; j < 8; j++) {
             sim.cut_links.insert({i, j});
             sim.cut_links.insert({j, i});
         }
     }},
    {"sends but does not receive",
     [](fanout_sim &sim, int i) {
         for (int j = 0; j < 8; j++) {
             sim.cut_links.insert({j, i});
         }
     }},
    {"its node record deleted",
     [](fanout_sim &sim, int i) {
         sim.erase(MV_NODE_PREFIX + std::to_string(sim.nodes[i]->id));
     }},
    {"store history compacted",
     [](fanout_sim &sim, int) { sim.compact_history(); }},
    {"20 percent of datagrams lost",
     [](fanout_sim &sim, int) { sim.loss = 0.2; }},
    {"killed with two others",
     [](fanout_sim &sim, int i) {
         sim.stop(i);
         sim.stop((i + 1) % 8);
         sim.stop((i + 2) % 8);
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

TEST(Fanout, ReportsLossAndReturnOfPeerOnce)
{
    fanout_sim sim(8);
    sim.run(5 * MV_SECOND);
    ASSERT_EQ(sim.watchers().size(), 1u);
    const int watcher = sim.watchers()[0];
    const mv_node_id_t id = sim.nodes[watcher]->id;
    for (int i = 0; i < 8; i++) {
        sim.cut_links.insert({watcher, i});
    }
    sim.run(4 * MV_SECOND);
    for (int i = 0; i < 8; i++) {
        EXPECT_EQ(sim.nodes[i]->lost_peers.count(id), i == watcher ? 0u : 1u)
            << i;
    }
    sim.cut_links.clear();
    sim.run(2 * MV_SECOND);
    for (int i = 0; i < 8; i++) {
        EXPECT_EQ(sim.nodes[i]->lost_peers.count(id), 0u) << i;
        EXPECT_EQ(sim.nodes[i]->duplicate_reports, 0) << i;
        if (i != watcher) {
            EXPECT_GE(sim.nodes[i]->longest_silence, 4 * MV_SECOND) << i;
            EXPECT_LE(sim.nodes[i]->longest_silence, 5 * MV_SECOND) << i;
        }
    }
}

/* The histogram of change propagation measures from MvFanout_BehindSince(), so
 * a repeated heartbeat must not move that time. */
TEST(Fanout, BehindSinceFirstNewerHeartbeat)
{
    fanout_sim sim(2);
    sim.run(5 * MV_SECOND);
    const int watcher = sim.watchers()[0];
    fanout_sim_node &non_watcher = *sim.nodes[1 - watcher];
    EXPECT_EQ(MvFanout_BehindSince(non_watcher.fanout), 0);

    const mv_time_t reported_at = sim.now;
    const uint64_t next = MvReplica_Revision(non_watcher.replica) + 3;
    mv_message_t heartbeat = {};
    heartbeat.kind = MV_MESSAGE_REPLICA_HEARTBEAT;
    heartbeat.from = sim.nodes[watcher]->id;
    heartbeat.version = next;
    heartbeat.target = 1;
    MvFanout_HandleMessage(non_watcher.fanout, reported_at, &heartbeat);
    MvFanout_HandleMessage(non_watcher.fanout, reported_at + MV_MILLISECOND,
                           &heartbeat);
    EXPECT_EQ(MvFanout_BehindSince(non_watcher.fanout), reported_at);
    MvReplica_Advance(non_watcher.replica, next);
    EXPECT_EQ(MvFanout_BehindSince(non_watcher.fanout), 0);
}

TEST(Fanout, RefusedNodesAreUpdatedByPeers)
{
    fanout_sim sim(6);
    sim.run(kSettleTime);
    for (int i = 0; i < 6; i += 2) {
        sim.nodes[i]->access = store_access::refused;
    }
    sim.run(3 * MV_SECOND);
    sim.write("number/1", "1");
    EXPECT_GE(sim.propagation_time("number/1", "1", kPropagationLimit), 0);
}

TEST(Fanout, PropagatesWithinLimitAfterStoreOutage)
{
    fanout_sim sim(12);
    sim.run(kSettleTime);
    for (auto &node : sim.nodes) {
        node->access = store_access::no_reply;
    }
    sim.run(20 * MV_SECOND);
    for (auto &node : sim.nodes) {
        node->access = store_access::reachable;
    }
    sim.write("number/1", "1");
    EXPECT_GE(sim.propagation_time("number/1", "1", kPropagationLimit), 0);
    sim.run(kSettleTime);
    EXPECT_EQ(sim.watchers().size(), 1u);
}

/* Guards against servers that live but get no new flows after an outage of the
 * store, in which their announcements lapsed and could not be written again.
 */
TEST(Fanout, ServersHaveTimeToReturnAfterAStoreOutage)
{
    for (store_access fault :
         {store_access::no_reply, store_access::refused}) {
        for (mv_time_t span = 4 * MV_SECOND; span <= 7 * MV_SECOND;
             span += 300 * MV_MILLISECOND) {
            fanout_sim sim(12, 2);
            sim.write(kServerKey, "");
            sim.run(kSettleTime);
            for (auto &node : sim.nodes) {
                node->access = fault;
            }
            sim.run(span);
            sim.erase(kServerKey);
            for (auto &node : sim.nodes) {
                node->access = store_access::reachable;
            }
            mv_time_t returned_at = sim.now;
            sim.run(kSettleTime);
            for (auto &node : sim.nodes) {
                EXPECT_GE(node->last_used_at - returned_at, 2 * MV_SECOND)
                    << "outage of " << span << " us, node " << node->index;
            }
        }
    }
}

/* Guards against a node that takes older knowledge for newer, and thereby uses
 * servers that are gone for too long. */
TEST(Fanout, ClaimsOfCompletenessAreTrueUnderRandomFaults)
{
    for (uint32_t seed = 1; seed <= 20; seed++) {
        fanout_sim sim(10, 2, seed);
        GRand *random = g_rand_new_with_seed(seed);
        sim.loss = 0.1;
        for (int step = 1; step <= 120; step++) {
            std::string key =
                "server/" + std::to_string(g_rand_int_range(random, 0, 4));
            if (g_rand_int_range(random, 0, 2)) {
                sim.write(key, std::to_string(step));
            }
            else {
                sim.erase(key);
            }
            inject_random_fault(sim, random);
            sim.run(g_rand_int_range(random, 50, 900) * MV_MILLISECOND);
        }
        for (const auto &node : sim.nodes) {
            EXPECT_EQ(node->wrong_claims, 0) << "seed " << seed;
        }
        g_rand_free(random);
    }
}

TEST(Fanout, OutageDoesNotCauseThunderingHerd)
{
    fanout_sim sim(60, 3);
    sim.run(kSettleTime);
    for (auto &node : sim.nodes) {
        node->access = store_access::refused;
    }
    uint64_t before = sim.calls();
    sim.run(10 * MV_SECOND);
    /* Fewer than two calls per second and node, because of the back-off. */
    EXPECT_LE(sim.calls() - before, 60u * 17u);
}

TEST(Fanout, NeverRevertsUnderRandomFaults)
{
    for (uint32_t seed = 1; seed <= 12; seed++) {
        fanout_sim sim(10, 2, seed);
        GRand *random = g_rand_new_with_seed(seed);
        sim.loss = 0.1;
        for (int step = 1; step <= 60; step++) {
            sim.write("number/1", std::to_string(step));
            inject_random_fault(sim, random);
            sim.run(g_rand_int_range(random, 50, 900) * MV_MILLISECOND);
        }
        EXPECT_FALSE(sim.has_reverted) << "seed " << seed;
        for (auto &node : sim.nodes) {
            node->access = store_access::reachable;
        }
        sim.cut_links.clear();
        sim.loss = 0;
        EXPECT_GE(sim.propagation_time("number/1", "60", kPropagationLimit), 0)
            << "seed " << seed;
        g_rand_free(random);
    }
}

TEST(Fanout, MassRestartCausesFewStoreCalls)
{
    fanout_sim sim(87, 3);
    sim.run(kSettleTime);
    for (int i = 0; i < 87; i++) {
        sim.stop(i);
    }
    uint64_t before = sim.calls();
    for (int i = 0; i < 87; i++) {
        sim.start(i);
    }
    sim.run(kSettleTime);
    /* A list and at most one more call per node, and the calls of at most 6
     * watching nodes. */
    EXPECT_LE(sim.calls() - before, 87u * 2u + 6u * 12u);
    EXPECT_LE(sim.watchers().size(), 6u);
}

/* Nodes store nothing on disk: after a power loss of all nodes they have no
 * configuration until the store is reachable again. */
TEST(Fanout, PowerLossOfAllNodesDuringStoreOutage)
{
    for (store_access fault :
         {store_access::no_reply, store_access::refused}) {
        fanout_sim sim(87, 3);
        sim.run(kSettleTime);
        sim.write("number/1", "1");
        sim.run(kSettleTime);
        for (int i = 0; i < 87; i++) {
            sim.nodes[i]->access = fault;
            sim.stop(i);
        }
        for (int i = 0; i < 87; i++) {
            sim.start(i);
        }
        uint64_t before = sim.calls();
        sim.run(8 * MV_SECOND);
        EXPECT_LE(sim.calls() - before, 87u * 16u)
            << "calls during the outage";
        for (auto &node : sim.nodes) {
            node->access = store_access::reachable;
        }
        before = sim.calls();
        EXPECT_GE(sim.propagation_time("number/1", "1", kPropagationLimit), 0);
        EXPECT_FALSE(sim.has_reverted);
        sim.run(kSettleTime);
        /* Each node lists, takes a lease and writes its record, with one retry
         * each; and the calls of the watching nodes. */
        EXPECT_LE(sim.calls() - before, 87u * 6u + 6u * 16u);
        EXPECT_LE(sim.watchers().size(), 6u);
    }
}

TEST(Fanout, ResumedNodeWatchesImmediately)
{
    fanout_sim sim(8);
    sim.run(kSettleTime);
    int non_watcher = sim.watchers()[0] == 0 ? 1 : 0;
    MvFanout_HandleResume(sim.nodes[non_watcher]->fanout);
    sim.run(20 * MV_MILLISECOND);
    EXPECT_TRUE(MvFanout_IsWatching(sim.nodes[non_watcher]->fanout));
    sim.run(3 * MV_SECOND);
    EXPECT_EQ(sim.watchers().size(), 1u);
}

TEST(Registration, IdsAreUniqueDespiteLostReplies)
{
    fanout_sim sim(40, 2);
    for (int i = 0; i < 40; i += 3) {
        sim.nodes[i]->access = store_access::no_reply;
    }
    sim.run(2 * MV_SECOND);
    for (auto &node : sim.nodes) {
        node->access = store_access::reachable;
    }
    sim.run(15 * MV_SECOND);
    std::set<mv_node_id_t> ids;
    size_t keys = 0;
    for (auto &node : sim.nodes) {
        EXPECT_TRUE(node->is_registered);
        ids.insert(node->id);
    }
    for (const auto &entry : sim.items) {
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
        bool is_valid;
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
        mv_node_record_t record;
        EXPECT_EQ(MvNodeRecord_Parse(c.key, c.value, &record), c.is_valid)
            << c.key << " " << c.value;
    }
}

/* Guards against an id beyond 16 bits that passes for another node's: 65536
 * more than the id of a peer. */
TEST(Fanout, DeletionOfAMalformedKeyRemovesNoPeer)
{
    fanout_sim sim(4);
    sim.run(kSettleTime);
    const int watcher = sim.watchers()[0];
    for (auto &node : sim.nodes) {
        const unsigned odd = node->id + 65536u;
        const std::string key = MV_NODE_PREFIX + std::to_string(odd);
        MvFanout_UpdateNode(sim.nodes[watcher]->fanout, sim.now, key.c_str(),
                            nullptr);
    }
    sim.run(40 * MV_SECOND);
    EXPECT_EQ(MvFanout_LocalNodes(sim.nodes[watcher]->fanout), 4u);
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
    /* Found by fuzzing: arrays and maps that declare up to two thousand
     * million elements in 6 bytes, or in 10 bytes if nested. */
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
