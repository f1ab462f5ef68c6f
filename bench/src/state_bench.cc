/*
 * Benchmarks of cluster state: time until a configuration is in force on all
 * nodes and until a failure is detected, false detections, control bytes.
 */
#include "fleet.h"
#include "report.h"

#include <algorithm>

namespace {

fleet_options
options_for(unsigned nodes, double loss)
{
    fleet_options options;
    options.nodes = nodes;
    options.datagram_loss = loss;
    options.flow_capacity = 1024;
    return options;
}

std::string
label(unsigned nodes, double loss, bool restarts)
{
    return std::to_string(nodes) + " nodes, " +
           std::to_string((int)(loss * 100)) + "% loss" +
           (restarts ? ", 10% restarting" : "");
}

/* Seconds until a live node has the newest configuration, over all nodes and
 * changes; a node without it after 60 s counts as 60. */
void
bench_in_force(bench_report &report, unsigned nodes, double loss,
               bool restarts)
{
    fleet f(options_for(nodes, loss));
    f.run_for(8 * MV_SECOND);
    std::vector<double> delays;
    unsigned changes = nodes > 100 ? 2 : 10;
    for (unsigned c = 0; c < changes; c++) {
        if (restarts) {
            for (unsigned i = 0; i < (nodes + 9) / 10; i++) {
                auto live = f.live_nodes();
                mv_node_id_t id = live[f.random()() % live.size()];
                f.crash_node(id);
                f.start_node(id);
            }
        }
        f.accept_deployment(f.make_deployment());
        uint64_t version = f.accepted()->version;
        mv_time_t from = f.now();
        std::set<mv_node_id_t> outdated;
        for (auto id : f.live_nodes()) {
            outdated.insert(id);
        }
        while (!outdated.empty() && f.now() - from < 60 * MV_SECOND) {
            f.run_for(20 * MV_MILLISECOND);
            for (auto it = outdated.begin(); it != outdated.end();) {
                mv_deployment_t *d = MvNode_Deployment(f.node(*it));
                if (d && d->version >= version) {
                    delays.push_back((double)(f.now() - from) / MV_SECOND);
                    it = outdated.erase(it);
                }
                else {
                    ++it;
                }
            }
        }
        for (size_t i = 0; i < outdated.size(); i++) {
            delays.push_back(60);
        }
        f.run_for(2 * MV_SECOND);
    }
    std::sort(delays.begin(), delays.end());
    std::string prefix = label(nodes, loss, restarts);
    report.note(prefix + ": p50 s", delays[delays.size() / 2]);
    report.note(prefix + ": p99 s", delays[delays.size() * 99 / 100]);
    report.row(prefix + ": max s", "12 at 3,000 nodes", 12, delays.back());
}

/* Seconds until every live node has marked a killed one as dead. */
void
bench_death(bench_report &report, unsigned nodes)
{
    fleet f(options_for(nodes, 0));
    f.run_for(8 * MV_SECOND);
    mv_node_id_t victim = 3;
    f.crash_node(victim);
    mv_time_t from = f.now();
    bool known_to_all = false;
    while (!known_to_all && f.now() - from < 60 * MV_SECOND) {
        f.run_for(50 * MV_MILLISECOND);
        known_to_all = true;
        for (auto id : f.live_nodes()) {
            known_to_all = known_to_all && !MvNode_IsAlive(f.node(id), victim);
        }
    }
    double seconds = (double)(f.now() - from) / MV_SECOND;
    std::string name = std::to_string(nodes) + " nodes: death known to all, s";
    if (nodes <= 8) {
        report.row(name, "5", 5, seconds);
    }
    else {
        report.note(name, seconds);
    }
}

/* Counts, once a second, the pairs of live nodes of which one takes the other
 * for dead. */
void
bench_false_deaths(bench_report &report)
{
    fleet f(options_for(8, 0.10));
    f.run_for(8 * MV_SECOND);
    unsigned deaths = 0;
    for (int second = 0; second < 3600; second++) {
        f.run_for(MV_SECOND);
        for (auto id : f.live_nodes()) {
            for (auto other : f.live_nodes()) {
                deaths += !MvNode_IsAlive(f.node(id), other);
            }
        }
    }
    report.row("8 nodes, 10% loss, 1 h: false deaths", "0", 0, deaths);
}

void
bench_bytes(bench_report &report, unsigned nodes)
{
    fleet f(options_for(nodes, 0));
    f.run_for(15 * MV_SECOND);
    f.encoded_size = bench_frame_size;
    mv_time_t duration = nodes > 100 ? 4 * MV_SECOND : 20 * MV_SECOND;
    uint64_t before = f.counts().control_bytes;
    uint64_t messages = f.counts().messages;
    f.run_for(duration);
    double seconds = (double)duration / MV_SECOND;
    std::string prefix = std::to_string(nodes) + " nodes, no traffic: ";
    report.row(prefix + "control bytes/s a node", "6000", 6000,
               (double)(f.counts().control_bytes - before) / seconds / nodes);
    report.note(prefix + "messages/s a node",
                (double)(f.counts().messages - messages) / seconds / nodes);
}

} // namespace

void
bench_state(bench_report &report)
{
    report.section("State: members");
    for (unsigned nodes : {8u, 100u, 600u}) {
        bench_death(report, nodes);
    }
    bench_false_deaths(report);
    for (unsigned nodes : {8u, 100u, 600u}) {
        bench_bytes(report, nodes);
    }
    report.section("State: an accepted configuration in force");
    for (unsigned nodes : {8u, 100u, 600u}) {
        bench_in_force(report, nodes, 0, false);
        bench_in_force(report, nodes, 0.05, true);
    }
}
