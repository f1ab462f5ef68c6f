#include "fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

const mv_time_t kConfigInForceLimit = 12 * MV_SECOND;
const mv_time_t kAgreementLimit = 5 * MV_SECOND;
const mv_time_t kNoNewFlowLimit = 3 * MV_SECOND;

bool
in_first_data_centre(mv_node_id_t id)
{
    return id % 3 == 1;
}

bool
no_node(mv_node_id_t)
{
    return false;
}

void
partition_first_data_centre(fleet &f)
{
    f.cut([](mv_node_id_t a, mv_node_id_t b) {
        return in_first_data_centre(a) != in_first_data_centre(b);
    });
}

void
restart_first_data_centre(fleet &f)
{
    for (mv_node_id_t id : {1, 4, 7}) {
        f.kill_node(id);
    }
    f.run_for(MV_SECOND);
    for (mv_node_id_t id : {1, 4, 7}) {
        f.start_node(id);
    }
}

struct failure_case {
    const char *name;
    /* No open flow may break. */
    bool planned;
    /* Starts the failure, and drains endpoint 3 during it. */
    std::function<void(fleet &)> bring;
    /* Ends the failure. */
    std::function<void(fleet &)> end;
};

void
heal(fleet &f)
{
    f.cut(nullptr);
    f.store(nullptr);
}

const failure_case kFailures[] = {
    {"store down for an hour and back", true,
     [](fleet &f) {
         f.store(no_node);
         f.run_for(60 * MV_MINUTE);
         f.store(nullptr);
         f.drain(1, 3);
     },
     heal},
    {"store down when a change was just accepted", true,
     [](fleet &f) {
         f.drain(1, 3);
         f.store(no_node);
         f.run_for(30 * MV_SECOND);
     },
     heal},
    {"data centre cut from the platform", true,
     [](fleet &f) {
         f.store([](mv_node_id_t id) { return !in_first_data_centre(id); });
         f.run_for(5 * MV_SECOND);
         f.drain(1, 3);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"only one data centre reaches the platform", true,
     [](fleet &f) {
         f.store(in_first_data_centre);
         f.run_for(5 * MV_SECOND);
         f.drain(1, 3);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"data centre cut from the others", false,
     [](fleet &f) {
         partition_first_data_centre(f);
         f.run_for(8 * MV_SECOND);
         f.drain(1, 3);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"data centre cut from both, changed on the far side", false,
     [](fleet &f) {
         partition_first_data_centre(f);
         f.store([](mv_node_id_t id) { return !in_first_data_centre(id); });
         f.run_for(8 * MV_SECOND);
         f.drain(1, 3);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"half of the entry VMs hear late", true,
     [](fleet &f) {
         for (mv_node_id_t id = 4; id <= 7; id++) {
             f.delay_config(id, 4 * MV_SECOND);
         }
         f.drain(1, 3);
         f.run_for(10 * MV_SECOND);
     },
     heal},
    {"a watcher is paused over a change", true,
     [](fleet &f) {
         for (auto id : f.live()) {
             if (MvNode_IsWatcher(f.node(id))) {
                 f.pause_control(id, 9 * MV_SECOND);
                 break;
             }
         }
         f.drain(1, 3);
         f.run_for(15 * MV_SECOND);
     },
     heal},
    {"all replaced one by one within ten minutes", true,
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
    {"all of a data centre at once, store up", false,
     [](fleet &f) {
         f.drain(1, 3);
         f.run_for(2 * MV_SECOND);
         restart_first_data_centre(f);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"all of a data centre at once, store down", false,
     [](fleet &f) {
         f.drain(1, 3);
         f.run_for(2 * MV_SECOND);
         f.store(no_node);
         restart_first_data_centre(f);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"all of a data centre at once while it is cut off, store down", false,
     [](fleet &f) {
         f.drain(1, 3);
         f.run_for(2 * MV_SECOND);
         f.store(no_node);
         partition_first_data_centre(f);
         f.run_for(4 * MV_SECOND);
         restart_first_data_centre(f);
         f.run_for(20 * MV_SECOND);
     },
     heal},
    {"cut off along one line, then along another", false,
     [](fleet &f) {
         partition_first_data_centre(f);
         f.run_for(8 * MV_SECOND);
         f.drain(1, 3);
         f.cut([](mv_node_id_t a, mv_node_id_t b) {
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
    look(fleet &f)
    {
        for (auto id : f.live()) {
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

TEST_P(Failures, EveryPromiseAboutStateHolds)
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
        f.on_broken = [&](const fleet::flow &flow, const std::string &text) {
            if (why.size() < 3) {
                why.push_back("at " + std::to_string(f.now()) + " flow " +
                              std::to_string(flow.number) + ": " + text);
            }
        };
        f.on_event = [&](mv_log_event_t, mv_node_id_t, uint64_t) {
            versions.look(f);
        };
        f.run_for(5 * MV_SECOND);
        f.traffic(60, 8, 400 * MV_MILLISECOND);
        f.run_for(10 * MV_SECOND);
        c.bring(f);
        c.end(f);
        mv_time_t ended = f.now();
        f.run_for(kAgreementLimit);
        auto first = ready_members(f, f.live()[0]);
        EXPECT_EQ(first.size(), 7u);
        for (auto id : f.live()) {
            EXPECT_EQ(ready_members(f, id), first)
                << "node " << id << " has other ready members";
        }
        f.run_for(kConfigInForceLimit - kAgreementLimit);
        for (auto id : f.live()) {
            EXPECT_EQ(MvNode_Deployment(f.node(id)), f.accepted())
                << "node " << id;
        }
        versions.look(f);
        EXPECT_FALSE(versions.reverted());
        EXPECT_LE(f.last_new_flow(1, 3), ended + kNoNewFlowLimit);
        /* Flow entries remain until their flows end. */
        f.stop_traffic();
        f.run_for(120 * MV_SECOND);
        EXPECT_EQ(MvNode_MovingBuckets(f.node(1)), 0u) << "a move never ended";
        EXPECT_EQ(f.seen().wrong_service, 0u);
        EXPECT_LE(f.seen().max_hops, (uint64_t)MV_MAX_HOPS);
        if (c.planned) {
            EXPECT_EQ(f.seen().broken_flows, 0u)
                << testing::PrintToString(why);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Table, Failures, testing::ValuesIn(kFailures));
