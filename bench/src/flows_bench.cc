/* Broken flows by event, evenness, relays, entries and control bytes. */
#include "fleet.h"
#include "report.h"

extern "C" {
#include "flow_table.h"
}

#include <chrono>
#include <cmath>
#include <cstring>

namespace {

const double kRate = 430;
const double kLife = 60;
const mv_time_t kGap = 10 * MV_SECOND;

fleet_options
options_for(uint64_t seed, uint32_t balance = 4)
{
    fleet_options options;
    options.seed = seed;
    options.idle_seconds = 30;
    options.balance_limit_percent = balance;
    return options;
}

struct event_case {
    const char *name;
    bool planned;
    std::function<void(fleet &)> run;
};

const event_case kEvents[] = {
    {"configuration change", true, [](fleet &f) { f.accept(f.make()); }},
    {"endpoint drain", true, [](fleet &f) { f.drain(1, 3); }},
    {"endpoint join", true, [](fleet &f) { f.add_endpoint(1); }},
    {"balancer drain", true, [](fleet &f) { f.stop_node(3); }},
    {"balancer drain and join", true,
     [](fleet &f) {
         f.stop_node(3);
         f.run_for(5 * MV_SECOND);
         f.start_node(3);
     }},
    {"endpoint drain, half of the balancers 4 s behind", true,
     [](fleet &f) {
         for (mv_node_id_t id = 4; id <= 7; id++) {
             f.delay_config(id, 4 * MV_SECOND);
         }
         f.drain(1, 3);
     }},
    {"endpoint drain and balancer drain together", true,
     [](fleet &f) {
         f.drain(1, 3);
         f.stop_node(3);
     }},
    {"balancer death", false, [](fleet &f) { f.kill_node(3); }},
    {"endpoint drain, balancer death 5 s later", false,
     [](fleet &f) {
         f.drain(1, 3);
         f.run_for(5 * MV_SECOND);
         f.kill_node(3);
     }},
    {"endpoint drain, two balancer deaths 5 s later", false,
     [](fleet &f) {
         f.drain(1, 3);
         f.run_for(5 * MV_SECOND);
         f.kill_node(3);
         f.kill_node(5);
     }},
    {"data centre cut for 10 s (3 of 7 balancers)", false,
     [](fleet &f) {
         f.cut([](mv_node_id_t a, mv_node_id_t b) {
             return (a % 3 == 1) != (b % 3 == 1);
         });
         f.run_for(10 * MV_SECOND);
         f.cut(nullptr);
     }},
    {"endpoint drain, then data centre cut for 10 s", false,
     [](fleet &f) {
         f.drain(1, 3);
         f.run_for(5 * MV_SECOND);
         f.cut([](mv_node_id_t a, mv_node_id_t b) {
             return (a % 3 == 1) != (b % 3 == 1);
         });
         f.run_for(10 * MV_SECOND);
         f.cut(nullptr);
     }},
};

/*
 * A plain consistent table: each balancer sends every packet by the newest
 * table it has.  Flows of a bucket that moves are broken.
 */
double
plain_table_broken(bool drains, bool uneven, bool joins)
{
    if (joins) {
        return 14.0 / 18 / 15;
    }
    if (!drains) {
        return 0;
    }
    /* Every open flow of the drained endpoint moves; with uneven tables so
     * do the new ones of its buckets while half of the balancers differ. */
    double open = kRate * kLife * 14 / 18 / 14;
    double fresh = uneven ? kRate * 14 / 18 / 14 * 4 : 0;
    return (open + fresh) / (kRate * kLife);
}

void
bench_events(bench_report &report)
{
    report.section("Flows: broken share of about 25,800 open flows by event "
                   "(baseline: plain consistent table, by arithmetic)");
    for (const auto &e : kEvents) {
        double broken = 0;
        double broken_open = 0;
        double opened = 0;
        uint64_t wrong = 0;
        for (uint64_t seed = 1; seed <= 2; seed++) {
            fleet f(options_for(seed));
            f.run_for(4 * MV_SECOND);
            f.traffic(kRate, kLife, kGap);
            f.run_for(120 * MV_SECOND);
            f.mark_flows();
            e.run(f);
            f.run_for(60 * MV_SECOND);
            broken_open += (double)f.seen().broken_marked;
            broken += (double)f.seen().broken_flows;
            opened += kRate * kLife;
            wrong += f.seen().wrong_service;
        }
        bool drains = std::string(e.name).find("endpoint drain") == 0;
        bool uneven = std::string(e.name).find("half") != std::string::npos;
        report.row(e.name, e.planned ? "0" : "< 0.001", e.planned ? 0 : 0.001,
                   broken / opened,
                   plain_table_broken(drains, uneven,
                                      !strcmp(e.name, "endpoint join")));
        if (std::string(e.name).find("cut") != std::string::npos) {
            report.row(std::string(e.name) + ", flows open before it",
                       "< 0.001", 0.001, broken_open / opened);
        }
        if (wrong) {
            report.row(std::string(e.name) + ": wrong service", "0", 0,
                       (double)wrong);
        }
    }
}

void
bench_evenness(bench_report &report)
{
    report.section("Flows: evenness over 14 endpoints, 20,000 flows "
                   "(baseline: no moves for balance)");
    double figure[2] = {0, 0};
    double relayed[2] = {0, 0};
    double cold = 0;
    for (int balanced = 0; balanced < 2; balanced++) {
        for (uint64_t seed = 1; seed <= 3; seed++) {
            fleet f(options_for(seed, balanced ? 4 : 1000));
            f.run_for(4 * MV_SECOND);
            f.traffic(kRate, kLife, kGap);
            f.run_for(240 * MV_SECOND);
            uint64_t packets = f.seen().packets;
            uint64_t relays = f.seen().relays;
            for (int i = 0; i < 60; i++) {
                f.run_for(5 * MV_SECOND);
                figure[balanced] += f.imbalance(1) / 180;
            }
            relayed[balanced] += (double)(f.seen().relays - relays) /
                                 (double)(f.seen().packets - packets) / 3;
            if (balanced) {
                f.add_endpoint(1);
                f.run_for(5 * MV_SECOND);
                cold = std::max(cold, f.imbalance(1));
            }
        }
    }
    report.row("max/mean over endpoints, mean over 5 min", "1.05", 1.05,
               figure[1], figure[0]);
    report.row("max/mean 5 s after an endpoint joins cold", "1.25", 1.25,
               cold);
    report.note("relayed share of packets while balancing", relayed[1],
                relayed[0]);
}

void
bench_drain_cost(bench_report &report)
{
    report.section("Flows: cost of a drain, 5,000 new flows/s, 300,000 held "
                   "(baselines by arithmetic)");
    fleet_options options = options_for(1);
    /* Far more flows than these endpoints may hold: not the matter here. */
    options.limit = 1000000;
    options.first_limit = 1000000;
    fleet f(options);
    f.encoded_size = bench_frame_size;
    f.run_for(4 * MV_SECOND);
    f.traffic(5000, kLife, kGap);
    f.run_for(150 * MV_SECOND);
    auto share = [&](mv_time_t duration, double *bytes) {
        uint64_t packets = f.seen().packets;
        uint64_t relays = f.seen().relays;
        uint64_t sent = f.seen().control_bytes;
        f.run_for(duration);
        *bytes = (double)(f.seen().control_bytes - sent) /
                 ((double)duration / MV_SECOND) / 7;
        return (double)(f.seen().relays - relays) /
               (double)(f.seen().packets - packets);
    };
    double quiet_bytes = 0;
    double drain_bytes = 0;
    double quiet = share(20 * MV_SECOND, &quiet_bytes);
    report.row("relayed share of packets, quiet", "0", 0, quiet);
    report.row("control bytes/s a node, quiet", "3000", 3000, quiet_bytes,
               5000.0 / 7 * 12 * 6);
    f.drain(1, 3);
    f.run_for(3 * MV_SECOND);
    double drain = share(60 * MV_SECOND, &drain_bytes);
    report.row("relayed share while one of 14 endpoints drains", "0.10", 0.10,
               drain, 6.0 / 7);
    report.row("control bytes/s a node while draining", "3000", 3000,
               drain_bytes, 5000.0 / 7 * 12 * 6);
    report.note("open flows", (double)f.open_flows());
    report.note("flow entries held, all 7 nodes", (double)f.entries(),
                (double)f.open_flows() * 7);
    report.row("broken flows", "0", 0, (double)f.seen().broken_flows);
    report.row("bytes a flow entry", "32", 32,
               (double)sizeof(mv_flow_entry_t));
}

/* Nanoseconds a decision, on the real clock: for the record only. */
void
bench_lookup(bench_report &report)
{
    report.section("Flows: processor time (this machine, for the record)");
    for (bool moving : {false, true}) {
        fleet f(options_for(1));
        f.run_for(4 * MV_SECOND);
        if (moving) {
            f.drain(1, 3);
            f.run_for(4 * MV_SECOND);
        }
        double ns = f.time_lookups(1000000, moving);
        report.note(moving ? "decision in a moving bucket at its home, ns"
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
