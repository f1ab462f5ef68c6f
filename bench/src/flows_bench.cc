/*
 * Benchmarks of flows: share of flows broken by each event, evenness over the
 * endpoints, and relayed packets, flow entries and control bytes of a drain.
 */
#include "fleet.h"
#include "report.h"

extern "C" {
#include "flow_table.h"
}

#include <chrono>
#include <cmath>
#include <cstring>

namespace {

const double kFlowsPerSecond = 430;
const double kMeanFlowSeconds = 60;
const mv_time_t kPacketInterval = 10 * MV_SECOND;

fleet_options
options_for(uint64_t seed, uint32_t balance_limit_percent = 4)
{
    fleet_options options;
    options.seed = seed;
    options.idle_seconds = 30;
    options.balance_limit_percent = balance_limit_percent;
    return options;
}

struct event_case {
    const char *name;
    bool planned;
    std::function<void(fleet &)> run;
};

const event_case kEvents[] = {
    {"configuration change", true,
     [](fleet &f) { f.accept_deployment(f.make_deployment()); }},
    {"endpoint drain", true, [](fleet &f) { f.drain(1, 3); }},
    {"endpoint join", true, [](fleet &f) { f.add_endpoint(1); }},
    {"node drain", true, [](fleet &f) { f.stop_node(3); }},
    {"node drain and join", true,
     [](fleet &f) {
         f.stop_node(3);
         f.run_for(5 * MV_SECOND);
         f.start_node(3);
     }},
    {"endpoint drain, half of the nodes 4 s behind", true,
     [](fleet &f) {
         for (mv_node_id_t id = 4; id <= 7; id++) {
             f.delay_config(id, 4 * MV_SECOND);
         }
         f.drain(1, 3);
     }},
    {"endpoint drain and node drain together", true,
     [](fleet &f) {
         f.drain(1, 3);
         f.stop_node(3);
     }},
    {"node death", false, [](fleet &f) { f.crash_node(3); }},
    {"endpoint drain, node death 5 s later", false,
     [](fleet &f) {
         f.drain(1, 3);
         f.run_for(5 * MV_SECOND);
         f.crash_node(3);
     }},
    {"endpoint drain, two node deaths 5 s later", false,
     [](fleet &f) {
         f.drain(1, 3);
         f.run_for(5 * MV_SECOND);
         f.crash_node(3);
         f.crash_node(5);
     }},
    {"data centre partitioned for 10 s (3 of 7 nodes)", false,
     [](fleet &f) {
         f.set_partition([](mv_node_id_t a, mv_node_id_t b) {
             return (a % 3 == 1) != (b % 3 == 1);
         });
         f.run_for(10 * MV_SECOND);
         f.set_partition(nullptr);
     }},
    {"endpoint drain, then data centre partitioned for 10 s", false,
     [](fleet &f) {
         f.drain(1, 3);
         f.run_for(5 * MV_SECOND);
         f.set_partition([](mv_node_id_t a, mv_node_id_t b) {
             return (a % 3 == 1) != (b % 3 == 1);
         });
         f.run_for(10 * MV_SECOND);
         f.set_partition(nullptr);
     }},
};

/*
 * Expected share of broken flows with a plain consistent-hashing table: each
 * node sends every packet by its newest table, so that all flows of a bucket
 * that moves break.
 */
double
plain_table_broken(bool drains, bool tables_differ, bool joins)
{
    /* The first service has 14 of the 18 endpoints and as large a part of the
     * flows; a 15th endpoint takes 1/15 of its buckets. */
    if (joins) {
        return 14.0 / 18 / 15;
    }
    if (!drains) {
        return 0;
    }
    /* Every open flow of the drained endpoint, one of 14, moves.  While half
     * of the nodes are 4 s behind, so do the new flows of its buckets. */
    double moved_flows = kFlowsPerSecond * kMeanFlowSeconds * 14 / 18 / 14;
    double new_flows = tables_differ ? kFlowsPerSecond * 14 / 18 / 14 * 4 : 0;
    return (moved_flows + new_flows) / (kFlowsPerSecond * kMeanFlowSeconds);
}

void
bench_events(bench_report &report)
{
    report.section("Flows: broken share of about 25,800 open flows by event "
                   "(baseline: plain consistent-hashing table, calculated)");
    for (const auto &e : kEvents) {
        double broken = 0;
        double broken_open = 0;
        double expected_flows = 0;
        uint64_t misrouted = 0;
        for (uint64_t seed = 1; seed <= 2; seed++) {
            fleet f(options_for(seed));
            f.run_for(4 * MV_SECOND);
            f.start_traffic(kFlowsPerSecond, kMeanFlowSeconds,
                            kPacketInterval);
            f.run_for(120 * MV_SECOND);
            f.mark_opened_flows();
            e.run(f);
            f.run_for(60 * MV_SECOND);
            broken_open += (double)f.counts().broken_marked_flows;
            broken += (double)f.counts().broken_flows;
            expected_flows += kFlowsPerSecond * kMeanFlowSeconds;
            misrouted += f.counts().wrong_service;
        }
        bool drains = std::string(e.name).find("endpoint drain") == 0;
        bool tables_differ =
            std::string(e.name).find("half") != std::string::npos;
        report.row(e.name, e.planned ? "0" : "< 0.001", e.planned ? 0 : 0.001,
                   broken / expected_flows,
                   plain_table_broken(drains, tables_differ,
                                      !strcmp(e.name, "endpoint join")));
        if (std::string(e.name).find("partitioned") != std::string::npos) {
            report.row(std::string(e.name) + ", flows open before it",
                       "< 0.001", 0.001, broken_open / expected_flows);
        }
        if (misrouted) {
            report.row(std::string(e.name) + ": wrong service", "0", 0,
                       (double)misrouted);
        }
    }
}

void
bench_evenness(bench_report &report)
{
    report.section("Flows: evenness over 14 endpoints, 20,000 flows "
                   "(baseline: no moves for balance)");
    double mean_imbalance[2] = {0, 0};
    double relayed_share[2] = {0, 0};
    double worst_after_join = 0;
    for (int balanced = 0; balanced < 2; balanced++) {
        for (uint64_t seed = 1; seed <= 3; seed++) {
            fleet f(options_for(seed, balanced ? 4 : 1000));
            f.run_for(4 * MV_SECOND);
            f.start_traffic(kFlowsPerSecond, kMeanFlowSeconds,
                            kPacketInterval);
            f.run_for(240 * MV_SECOND);
            uint64_t packets = f.counts().packets;
            uint64_t relays = f.counts().relays;
            for (int i = 0; i < 60; i++) {
                f.run_for(5 * MV_SECOND);
                mean_imbalance[balanced] += f.imbalance(1) / 180;
            }
            relayed_share[balanced] += (double)(f.counts().relays - relays) /
                                       (double)(f.counts().packets - packets) /
                                       3;
            if (balanced) {
                f.add_endpoint(1);
                f.run_for(5 * MV_SECOND);
                worst_after_join = std::max(worst_after_join, f.imbalance(1));
            }
        }
    }
    report.row("max/mean over endpoints, mean over 5 min", "1.05", 1.05,
               mean_imbalance[1], mean_imbalance[0]);
    report.row("max/mean 5 s after an endpoint joins without flows", "1.25",
               1.25, worst_after_join);
    report.note("relayed share of packets while balancing", relayed_share[1],
                relayed_share[0]);
}

void
bench_drain_cost(bench_report &report)
{
    report.section("Flows: cost of a drain, 5,000 new flows/s, 300,000 held "
                   "(baselines calculated)");
    fleet_options options = options_for(1);
    /* More flows are held than the default connection limits allow. */
    options.connection_limit = 1000000;
    options.first_connection_limit = 1000000;
    fleet f(options);
    f.encoded_size = bench_frame_size;
    f.run_for(4 * MV_SECOND);
    f.start_traffic(5000, kMeanFlowSeconds, kPacketInterval);
    f.run_for(150 * MV_SECOND);
    auto measure_relayed_share = [&](mv_time_t duration, double *bytes) {
        uint64_t packets = f.counts().packets;
        uint64_t relays = f.counts().relays;
        uint64_t control_bytes_before = f.counts().control_bytes;
        f.run_for(duration);
        *bytes = (double)(f.counts().control_bytes - control_bytes_before) /
                 ((double)duration / MV_SECOND) / 7;
        return (double)(f.counts().relays - relays) /
               (double)(f.counts().packets - packets);
    };
    double bytes_before_drain = 0;
    double bytes_while_draining = 0;
    double share_before =
        measure_relayed_share(20 * MV_SECOND, &bytes_before_drain);
    report.row("relayed share of packets before the drain", "0", 0,
               share_before);
    report.row("control bytes/s a node before the drain", "3000", 3000,
               bytes_before_drain, 5000.0 / 7 * 12 * 6);
    f.drain(1, 3);
    f.run_for(3 * MV_SECOND);
    double drain =
        measure_relayed_share(60 * MV_SECOND, &bytes_while_draining);
    report.row("relayed share while one of 14 endpoints drains", "0.10", 0.10,
               drain, 6.0 / 7);
    report.row("control bytes/s a node while draining", "3000", 3000,
               bytes_while_draining, 5000.0 / 7 * 12 * 6);
    report.note("open flows", (double)f.open_flows());
    report.note("flow entries held, all 7 nodes", (double)f.flow_entries(),
                (double)f.open_flows() * 7);
    report.row("broken flows", "0", 0, (double)f.counts().broken_flows);
    report.row("bytes a flow entry", "32", 32,
               (double)sizeof(mv_flow_entry_t));
}

/* Real time of one packet decision in ns; it has no target. */
void
bench_lookup(bench_report &report)
{
    report.section("Flows: processor time (on this machine, no target)");
    for (bool moving : {false, true}) {
        fleet f(options_for(1));
        f.run_for(4 * MV_SECOND);
        if (moving) {
            f.drain(1, 3);
            f.run_for(4 * MV_SECOND);
        }
        double ns = f.measure_decision_ns(1000000, moving);
        report.note(moving ? "decision in a moving bucket at its primary, ns"
                           : "decision in a stable bucket, ns",
                    ns);
    }
}

} // namespace

void
bench_flows(bench_report &report)
{
    bench_events(report);
    bench_evenness(report);
    bench_drain_cost(report);
    bench_lookup(report);
}
