#include "fleet.h"

#include <gtest/gtest.h>

namespace {

const uint16_t kLastEndpoint = 14;

struct retirement_case {
    const char *name;
    mv_time_t leaves_in;
    mv_time_t ends_in;
    double flow_seconds;
    bool is_late;
};

struct step_event {
    mv_log_event_t event;
    mv_time_t at;
};

/* Time of the first event of a kind, or -1. */
mv_time_t
first_time(const std::vector<step_event> &steps, mv_log_event_t event)
{
    for (auto &step : steps) {
        if (step.event == event) {
            return step.at;
        }
    }
    return -1;
}

bool
is_step(mv_log_event_t event)
{
    return event == MV_EVENT_ENDPOINT_LEAVE_SCHEDULED ||
           event == MV_EVENT_ENDPOINT_DRAINING ||
           event == MV_EVENT_ENDPOINT_DRAINED ||
           event == MV_EVENT_ENDPOINT_GONE || event == MV_EVENT_ENDPOINT_LATE;
}

void
record_steps(fleet &f, std::vector<step_event> &steps)
{
    f.on_event = [&](mv_log_event_t event, mv_node_id_t about,
                     uint64_t detail) {
        if (is_step(event) && about == kLastEndpoint && detail == 1) {
            steps.push_back({event, f.now()});
        }
    };
}

/* Number of flows that the dumps list as remaining on the endpoint. */
size_t
listed_flows(fleet &f)
{
    size_t count = 0;
    for (auto id : f.live_nodes()) {
        json_t *state = MvNode_Dump(f.node(id), f.now());
        size_t i;
        json_t *retirement;
        json_array_foreach(json_object_get(state, "retirements"), i,
                           retirement)
        {
            count += json_array_size(json_object_get(retirement, "flows"));
        }
        json_decref(state);
    }
    return count;
}

} // namespace

TEST(Retirement, StepsAreReportedInOrderAndNotBeforeFlowsEnd)
{
    const retirement_case cases[] = {
        {"leaves at once", 0, 0, 4, false},
        {"leaves in 10 s", 10 * MV_SECOND, 0, 4, false},
        {"ends_at before its flows end", 0, 6 * MV_SECOND, 40, true},
    };
    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        fleet_options options;
        options.idle_seconds = 5;
        fleet f(options);
        std::vector<step_event> steps;
        record_steps(f, steps);
        f.run_for(4 * MV_SECOND);
        f.start_traffic(100, c.flow_seconds, 500 * MV_MILLISECOND);
        f.run_for(10 * MV_SECOND);
        mv_time_t retired_at = f.now();
        f.retire(1, kLastEndpoint, c.leaves_in, c.ends_in);
        mv_time_t last_flow = 0;
        size_t max_listed = 0;
        /* Durations are exponential: run until 40 s after the last flow. */
        while (f.now() < std::max(last_flow, retired_at) + 40 * MV_SECOND &&
               f.now() < retired_at + 10 * MV_MINUTE) {
            f.run_for(MV_SECOND);
            if (f.open_by_endpoint(1)[kLastEndpoint - 1] > 0) {
                last_flow = f.now();
                max_listed = std::max(max_listed, listed_flows(f));
            }
        }
        mv_time_t announced =
            first_time(steps, MV_EVENT_ENDPOINT_LEAVE_SCHEDULED);
        mv_time_t draining = first_time(steps, MV_EVENT_ENDPOINT_DRAINING);
        mv_time_t drained = first_time(steps, MV_EVENT_ENDPOINT_DRAINED);
        EXPECT_GE(announced, retired_at);
        EXPECT_GE(draining, retired_at + c.leaves_in - MV_SECOND);
        EXPECT_LE(draining, retired_at + c.leaves_in + 3 * MV_SECOND);
        EXPECT_LE(f.last_new_flow(1, kLastEndpoint),
                  retired_at + c.leaves_in + 3 * MV_SECOND);
        /* Drained is reported after the last flow has ended, within the idle
         * timeout plus the time that the reports of all primaries take. */
        EXPECT_GE(drained, last_flow);
        EXPECT_LE(drained, last_flow + 25 * MV_SECOND);
        EXPECT_GT(max_listed, 0u) << "no dump listed a remaining flow";
        EXPECT_EQ(first_time(steps, MV_EVENT_ENDPOINT_LATE) >= 0, c.is_late);
        EXPECT_EQ(f.counts().broken_flows, 0u);
        f.remove_last_endpoint(1);
        f.run_for(3 * MV_SECOND);
        EXPECT_GT(first_time(steps, MV_EVENT_ENDPOINT_GONE), drained);
        EXPECT_EQ(f.counts().broken_flows, 0u);
    }
}

/* The primary of a bucket may change while its endpoint drains: the endpoint
 * must not be reported as drained early. */
TEST(Retirement, NotReportedDrainedEarlyWhileEntryVmsRestart)
{
    fleet_options options;
    options.idle_seconds = 5;
    fleet f(options);
    std::vector<step_event> steps;
    record_steps(f, steps);
    f.run_for(4 * MV_SECOND);
    f.start_traffic(60, 30, 2 * MV_SECOND);
    f.run_for(15 * MV_SECOND);
    f.retire(1, kLastEndpoint, 0, 0);
    f.run_for(10 * MV_SECOND);
    mv_time_t last_flow = 0;
    for (mv_node_id_t id = 1; id <= 7; id++) {
        f.stop_node(id);
        f.run_for(4 * MV_SECOND);
        f.start_node(id);
        f.run_for(6 * MV_SECOND);
        last_flow =
            f.open_by_endpoint(1)[kLastEndpoint - 1] > 0 ? f.now() : last_flow;
        if (last_flow == f.now()) {
            EXPECT_LT(first_time(steps, MV_EVENT_ENDPOINT_DRAINED), 0)
                << "drained was reported while flows remained, after restart "
                   "of node "
                << id;
        }
    }
    f.run_for(90 * MV_SECOND);
    EXPECT_GE(first_time(steps, MV_EVENT_ENDPOINT_DRAINED), last_flow);
    EXPECT_EQ(f.counts().broken_flows, 0u);
}
