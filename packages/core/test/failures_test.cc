#include "fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

const mv_time_t kConfigInForceLimit = 12 * MV_SECOND;
const mv_time_t kAgreementLimit = 5 * MV_SECOND;
const mv_time_t kLastNewFlowLimit = 3 * MV_SECOND;

bool
in_first_data_centre(mv_node_id_t id)
{
    return id % 3 == 1;
}

bool
is_never_reachable(mv_node_id_t)
{
    return false;
}

void
partition_first_data_centre(fleet &f)
{
    f.set_partition([](mv_node_id_t a, mv_node_id_t b) {
        return in_first_data_centre(a) != in_first_data_centre(b);
    });
}

void
restart_first_data_centre(fleet &f)
{
    for (mv_node_id_t id : {1, 4, 7}) {
        f.crash_node(id);
    }
    f.run_for(MV_SECOND);
    for (mv_node_id_t id : {1, 4, 7}) {
        f.start_node(id);
    }
}

struct failure_case {
    const char *name;
    /* No open flow may break during this failure. */
    bool must_keep_flows;
    /* Causes the failure, and drains endpoint 3 before, during or after it. */
    std::function<void(fleet &)> cause;
    /* Ends the failure. */
    std::function<void(fleet &)> end;
};

void
heal(fleet &f)
{
    f.set_partition(nullptr);
    f.set_store_reachable(nullptr);
}

const failure_case kFailures[] = {
    {"store down for an hour, drain after its return", true,
     [](fleet &f) {
         f.set_store_reachable(is_never_reachable);
         f.run_for(60 * MV_MINUTE);
         f.set_store_reachable(nullptr);
         f.drain(1, 3);
     },
     heal},
    {"store down right after a drain was accepted", true,
     [](fleet &f) {
         f.drain(1, 3);
         f.set_store_reachable(is_never_reachable);
         f.run_for(30 * MV_SECOND);
     },
     heal},
    {"one data centre cannot reach the store", true,
     [](fleet &f) {
         f.set_store_reachable(
             [](mv_node_id_t id) { return !in_first_data_centre(id); });
         f.run_for(5 * MV_SECOND);
         f.drain(1, 3);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"only one data centre can reach the store", true,
     [](fleet &f) {
         f.set_store_reachable(in_first_data_centre);
         f.run_for(5 * MV_SECOND);
         f.drain(1, 3);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"data centre partitioned from the others", false,
     [](fleet &f) {
         partition_first_data_centre(f);
         f.run_for(8 * MV_SECOND);
         f.drain(1, 3);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"data centre partitioned from the others and from the store", false,
     [](fleet &f) {
         partition_first_data_centre(f);
         f.set_store_reachable(
             [](mv_node_id_t id) { return !in_first_data_centre(id); });
         f.run_for(8 * MV_SECOND);
         f.drain(1, 3);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"configuration reaches 4 of 7 entry VMs 4 s late", true,
     [](fleet &f) {
         for (mv_node_id_t id = 4; id <= 7; id++) {
             f.delay_config(id, 4 * MV_SECOND);
         }
         f.drain(1, 3);
         f.run_for(10 * MV_SECOND);
     },
     heal},
    {"a store watcher is paused during a drain", true,
     [](fleet &f) {
         for (auto id : f.live_nodes()) {
             if (MvNode_IsWatcher(f.node(id))) {
                 f.pause_control(id, 9 * MV_SECOND);
                 break;
             }
         }
         f.drain(1, 3);
         f.run_for(15 * MV_SECOND);
     },
     heal},
    {"all entry VMs restarted one by one", true,
     [](fleet &f) {
         for (mv_node_id_t id = 1; id <= 7; id++) {
             f.stop_node(id);
             f.run_for(6 * MV_SECOND);
             f.start_node(id);
             f.run_for(10 * MV_SECOND);
             if (id == 4) {
                 f.drain(1, 3);
             }
         }
     },
     heal},
    {"data centre restarted at once, store up", false,
     [](fleet &f) {
         f.drain(1, 3);
         f.run_for(2 * MV_SECOND);
         restart_first_data_centre(f);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"data centre restarted at once, store down", false,
     [](fleet &f) {
         f.drain(1, 3);
         f.run_for(2 * MV_SECOND);
         f.set_store_reachable(is_never_reachable);
         restart_first_data_centre(f);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"data centre restarted while partitioned, store down", false,
     [](fleet &f) {
         f.drain(1, 3);
         f.run_for(2 * MV_SECOND);
         f.set_store_reachable(is_never_reachable);
         partition_first_data_centre(f);
         f.run_for(4 * MV_SECOND);
         restart_first_data_centre(f);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"one data centre partitioned, then another", false,
     [](fleet &f) {
         partition_first_data_centre(f);
         f.run_for(8 * MV_SECOND);
         f.drain(1, 3);
         f.set_partition([](mv_node_id_t a, mv_node_id_t b) {
             return (a % 3 == 2) != (b % 3 == 2);
         });
         f.run_for(8 * MV_SECOND);
     },
     heal},
};

std::vector<uint32_t>
ready_members(fleet &f, mv_node_id_t id)
{
    mv_request_member_t members[16];
    size_t count = MvNode_RequestMembers(f.node(id), members, 16);
    std::vector<uint32_t> ids;
    for (size_t i = 0; i < count; i++) {
        ids.push_back(members[i].id);
    }
    return ids;
}

/* Checks that the configuration version of one node incarnation never
 * decreases. */
class version_monitor {
  public:
    void
    check(fleet &f)
    {
        for (auto id : f.live_nodes()) {
            mv_deployment_t *d = MvNode_Deployment(f.node(id));
            auto &seen = seen_[{id, f.incarnation(id)}];
            uint64_t version = d ? d->version : 0;
            reverted_ |= version < seen;
            seen = version;
        }
    }
    bool
    reverted() const
    {
        return reverted_;
    }

  private:
    std::map<std::pair<mv_node_id_t, uint64_t>, uint64_t> seen_;
    bool reverted_ = false;
};

void
PrintTo(const failure_case &c, std::ostream *out)
{
    *out << c.name;
}

class Failures : public testing::TestWithParam<failure_case> {};

} // namespace

/* After each failure all nodes must agree on the ready members and on the
 * configuration within the limits above, no node may go back to an older
 * configuration, and the drained endpoint must get no new flows. */
TEST_P(Failures, StateConvergesAfterFailure)
{
    const failure_case &c = GetParam();
    for (uint64_t seed = 1; seed <= 2; seed++) {
        SCOPED_TRACE(std::string(c.name) + " seed " + std::to_string(seed));
        fleet_options options;
        options.seed = seed;
        options.idle_seconds = 10;
        fleet f(options);
        version_monitor versions;
        std::vector<std::string> why;
        f.on_broken_flow = [&](const fleet::flow &flow,
                               const std::string &text) {
            if (why.size() < 3) {
                why.push_back("at " + std::to_string(f.now()) + " flow " +
                              std::to_string(flow.number) + ": " + text);
            }
        };
        f.on_event = [&](mv_log_event_t, mv_node_id_t, uint64_t) {
            versions.check(f);
        };
        f.run_for(5 * MV_SECOND);
        f.start_traffic(60, 8, 400 * MV_MILLISECOND);
        f.run_for(10 * MV_SECOND);
        c.cause(f);
        c.end(f);
        mv_time_t ended = f.now();
        f.run_for(kAgreementLimit);
        auto first = ready_members(f, f.live_nodes()[0]);
        EXPECT_EQ(first.size(), 7u);
        for (auto id : f.live_nodes()) {
            EXPECT_EQ(ready_members(f, id), first)
                << "node " << id << " differs in its ready members";
        }
        f.run_for(kConfigInForceLimit - kAgreementLimit);
        for (auto id : f.live_nodes()) {
            EXPECT_EQ(MvNode_Deployment(f.node(id)), f.accepted())
                << "node " << id;
        }
        versions.check(f);
        EXPECT_FALSE(versions.reverted())
            << "a node went back to an older configuration";
        EXPECT_LE(f.last_new_flow(1, 3), ended + kLastNewFlowLimit);
        /* Moves complete once the flows with flow entries have ended. */
        f.stop_traffic();
        f.run_for(120 * MV_SECOND);
        EXPECT_EQ(MvNode_MovingBuckets(f.node(1)), 0u)
            << "bucket moves have not completed";
        EXPECT_EQ(f.counts().wrong_service, 0u);
        EXPECT_LE(f.counts().max_hops, (uint64_t)MV_MAX_HOPS);
        if (c.must_keep_flows) {
            EXPECT_EQ(f.counts().broken_flows, 0u)
                << testing::PrintToString(why);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Table, Failures, testing::ValuesIn(kFailures));
