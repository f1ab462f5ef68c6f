/*
 * Benchmarks of requests: waits compared with a central queue, evenness,
 * shares during floods, fairness over members, and non-idempotent work.
 */
#include "report.h"
#include "request_fleet.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace {

const unsigned kServers = 14;
const unsigned kSlotsPerServer = 2;
const double kMeanServiceMs = 50;
const unsigned kSeedCount = 8;
const double kCapacityPerSecond =
    kServers * kSlotsPerServer * 1000 / kMeanServiceMs;

struct wait_stats {
    double mean = 0;
    double p99 = 0;
};

wait_stats
summarize(std::vector<double> &all)
{
    wait_stats w;
    if (all.empty()) {
        return w;
    }
    std::sort(all.begin(), all.end());
    for (double x : all) {
        w.mean += x / (double)all.size();
    }
    w.p99 = all[(size_t)((double)all.size() * 0.99)];
    return w;
}

/*
 * How a baseline chooses an endpoint:
 * random        at random
 * local_least   the one with the fewest open requests from the same node
 * power_of_two  the one of two at random that has fewer open requests from all
 *               nodes, known without delay
 * central       the one whose slot becomes free first: one queue for all nodes
 */
enum class policy { random, local_least, power_of_two, central };

wait_stats
baseline(policy choice, double load, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> interarrival_ms(
        load * kCapacityPerSecond / 1000);
    std::exponential_distribution<double> service_ms(1 / kMeanServiceMs);
    /* Time in ms when each slot becomes free; requests are served in order of
     * arrival. */
    std::vector<std::vector<double>> free_at(
        kServers, std::vector<double>(kSlotsPerServer, 0));
    std::vector<std::vector<std::deque<double>>> open_by_node(
        8, std::vector<std::deque<double>>(kServers));
    std::vector<std::deque<double>> open_by_server(kServers);
    std::vector<double> waits_ms;
    double now = 0;
    for (int i = 0; i < 60000; i++) {
        now += interarrival_ms(random);
        unsigned node = random() % 8;
        unsigned server = random() % kServers;
        auto remove_finished = [&](std::deque<double> &d) {
            d.erase(std::remove_if(d.begin(), d.end(),
                                   [&](double t) { return t <= now; }),
                    d.end());
            return d.size();
        };
        if (choice == policy::local_least) {
            size_t best = SIZE_MAX;
            unsigned start = random() % kServers;
            for (unsigned s = 0; s < kServers; s++) {
                unsigned candidate = (start + s) % kServers;
                size_t count = remove_finished(open_by_node[node][candidate]);
                if (count < best) {
                    best = count;
                    server = candidate;
                }
            }
        }
        if (choice == policy::power_of_two) {
            unsigned other = random() % kServers;
            if (remove_finished(open_by_server[other]) <
                remove_finished(open_by_server[server])) {
                server = other;
            }
        }
        double *slot = nullptr;
        if (choice == policy::central) {
            for (auto &s : free_at) {
                for (auto &f : s) {
                    slot = !slot || f < *slot ? &f : slot;
                }
            }
        }
        else {
            for (auto &f : free_at[server]) {
                slot = !slot || f < *slot ? &f : slot;
            }
        }
        double start = std::max(now, *slot);
        *slot = start + service_ms(random);
        open_by_node[node][server].push_back(*slot);
        open_by_server[server].push_back(*slot);
        if (i > 2000) {
            waits_ms.push_back(start - now);
        }
    }
    return summarize(waits_ms);
}

wait_stats
measure_waits(double load, uint64_t seed, double *imbalance, double *bytes)
{
    request_options options;
    options.seed = seed;
    request_fleet f(options);
    f.encoded_size = bench_frame_size;
    mv_time_t from = f.now() + 3 * MV_SECOND;
    f.generate_load(
        load * kCapacityPerSecond, 0, [] { return std::string(); },
        30 * MV_SECOND, f.now() + 93 * MV_SECOND);
    f.run_for(3 * MV_SECOND);
    f.reset_busy_time();
    uint64_t before = f.sent_bytes();
    double mean_imbalance = 0;
    for (int i = 0; i < 9; i++) {
        f.reset_busy_time();
        f.run_for(10 * MV_SECOND);
        double sum = 0;
        double busiest = 0;
        for (unsigned e = 1; e <= kServers; e++) {
            sum += f.busy_time()[e];
            busiest = std::max(busiest, f.busy_time()[e]);
        }
        mean_imbalance += busiest * kServers / sum / 9;
    }
    *imbalance = mean_imbalance;
    *bytes = (double)(f.sent_bytes() - before) / 90 / 8;
    f.run_for(5 * MV_SECOND);
    std::vector<double> waits_ms;
    for (auto &p : f.attempts()) {
        const attempt &a = p.second;
        if (a.sent > from && a.first_dispatch >= 0) {
            waits_ms.push_back((double)(a.first_dispatch - a.sent) /
                               MV_MILLISECOND);
        }
    }
    return summarize(waits_ms);
}

void
bench_waits(bench_report &report)
{
    report.section("Requests: wait for a slot, 8 nodes, 14 x 2 slots, "
                   "exponential 50 ms (ms; baseline: central queue)");
    for (double load : {0.5, 0.85, 0.95}) {
        wait_stats ours;
        double imbalance = 0;
        double bytes = 0;
        wait_stats central;
        wait_stats local;
        wait_stats random_choice;
        wait_stats two_choices;
        for (uint64_t seed = 1; seed <= kSeedCount; seed++) {
            double seed_imbalance = 0;
            double seed_bytes = 0;
            wait_stats w =
                measure_waits(load, seed, &seed_imbalance, &seed_bytes);
            ours.mean += w.mean / kSeedCount;
            ours.p99 += w.p99 / kSeedCount;
            imbalance += seed_imbalance / kSeedCount;
            bytes += seed_bytes / kSeedCount;
            wait_stats c = baseline(policy::central, load, seed);
            central.mean += c.mean / kSeedCount;
            central.p99 += c.p99 / kSeedCount;
            local.mean +=
                baseline(policy::local_least, load, seed).mean / kSeedCount;
            random_choice.mean +=
                baseline(policy::random, load, seed).mean / kSeedCount;
            two_choices.mean +=
                baseline(policy::power_of_two, load, seed).mean / kSeedCount;
        }
        std::string prefix = std::to_string((int)(load * 100)) + "% load: ";
        if (load == 0.85) {
            report.row(prefix + "mean wait", "1.5 x central queue",
                       1.5 * central.mean, ours.mean, central.mean);
            report.row(prefix + "p99 wait", "1.5 x central queue",
                       1.5 * central.p99, ours.p99, central.p99);
            report.row(prefix + "work over endpoints, max/mean over 10 s",
                       "1.03", 1.03, imbalance);
        }
        else {
            report.note(prefix + "mean wait", ours.mean, central.mean);
            report.note(prefix + "p99 wait", ours.p99, central.p99);
            report.note(prefix + "work over endpoints, max/mean over 10 s",
                        imbalance);
        }
        report.note(prefix + "mean wait of random choice", random_choice.mean);
        report.note(prefix + "mean wait of local least outstanding",
                    local.mean);
        report.note(prefix + "mean wait of power of two choices, exact counts",
                    two_choices.mean);
        report.note(prefix + "request coordination, bytes/s a node", bytes);
    }
}

const std::vector<work_spec> kWorkClasses = {
    {"reservation", "/reservations", 0, 40, false},
    {"availability", "/available", 1, 30, false},
    {"report", "/", 2, 20, false},
};

struct flood_result {
    std::vector<double> kept_shares;
    double throughput = 0;
};

/* Each class sends its share of the capacity; @flooding_class sends
 * @factor times the whole capacity on top. */
flood_result
simulate_flood(unsigned flooding_class, double factor, uint64_t seed)
{
    request_options options;
    options.works = kWorkClasses;
    options.seed = seed;
    request_fleet f(options);
    auto without_member = [] { return std::string(); };
    mv_time_t end = f.now() + 16 * MV_SECOND;
    for (unsigned k = 0; k < kWorkClasses.size(); k++) {
        f.generate_load(kCapacityPerSecond * kWorkClasses[k].share / 100, k,
                        without_member, MV_SECOND, end);
    }
    f.run_for(4 * MV_SECOND);
    mv_time_t start = f.now();
    f.generate_load(kCapacityPerSecond * factor, flooding_class,
                    without_member, MV_SECOND, end);
    f.run_for(14 * MV_SECOND);
    flood_result result;
    mv_time_t from = start + MV_SECOND;
    mv_time_t until = start + 11 * MV_SECOND;
    double served = 0;
    for (unsigned k = 0; k < kWorkClasses.size(); k++) {
        double sent_count = 0;
        double answered = 0;
        for (auto &p : f.attempts()) {
            const attempt &a = p.second;
            if (a.outcome == outcome_kind::answer && a.ended >= from &&
                a.ended < until) {
                served += a.work == k ? a.run_ms : 0;
            }
            if (a.work != k || a.sent < from || a.sent >= until) {
                continue;
            }
            sent_count++;
            answered += a.outcome == outcome_kind::answer;
        }
        double share = kCapacityPerSecond * kWorkClasses[k].share / 100 * 10;
        result.kept_shares.push_back(answered / std::min(share, sent_count));
    }
    /* Slot time, because the number of answers depends on their run times. */
    result.throughput = served / (kServers * kSlotsPerServer * 10 * 1000);
    return result;
}

void
bench_floods(bench_report &report)
{
    report.section("Requests: part of their guaranteed share that other "
                   "classes keep from 1 s after a flood starts");
    for (unsigned flooding_class = 0; flooding_class < kWorkClasses.size();
         flooding_class++) {
        for (double factor : {3.0, 10.0}) {
            flood_result r = simulate_flood(flooding_class, factor, 1);
            for (unsigned k = 0; k < kWorkClasses.size(); k++) {
                if (k != flooding_class) {
                    report.row(std::string(kWorkClasses[flooding_class].name) +
                                   " x" + std::to_string((int)factor) + ": " +
                                   kWorkClasses[k].name + " keeps",
                               ">= 0.99", 0.99, r.kept_shares[k], -1, true);
                }
            }
            report.row(std::string(kWorkClasses[flooding_class].name) + " x" +
                           std::to_string((int)factor) +
                           ": part of all slot time used by answered requests",
                       ">= 0.98 at 10x", factor > 5 ? 0.98 : 0, r.throughput,
                       -1, true);
        }
    }
}

void
bench_fairness(bench_report &report)
{
    report.section("Requests: fairness over members within a class");
    request_options options;
    request_fleet f(options);
    mv_time_t end = f.now() + 20 * MV_SECOND;
    /* The members request 4, 1.5, 0.6 and 0.6 times the capacity. */
    for (int m = 0; m < 4; m++) {
        std::string name = "member-" + std::to_string(m);
        double rate = kCapacityPerSecond * (m == 0 ? 4.0 : m == 1 ? 1.5 : 0.6);
        f.generate_load(
            rate, 0, [name] { return name; }, MV_SECOND, end);
    }
    f.run_for(22 * MV_SECOND);
    std::vector<double> got(4);
    for (auto &p : f.attempts()) {
        const attempt &a = p.second;
        if (a.outcome == outcome_kind::answer &&
            a.sent > end - 15 * MV_SECOND) {
            got[a.member.back() - '0']++;
        }
    }
    report.row("Jain's index over 4 members that request 4 : 1.5 : 0.6 : 0.6",
               ">= 0.99", 0.99, jain_index(got), -1, true);
}

void
bench_claims(bench_report &report)
{
    report.section("Requests: non-idempotent work around a node's death");
    request_options options;
    options.works = {{"reservation", "/reservations", 0, 50, true}};
    for (int deaths = 0; deaths <= 2; deaths++) {
        request_fleet f(options);
        f.generate_load(
            200, 0, [] { return std::string(); }, 5 * MV_SECOND,
            f.now() + 20 * MV_SECOND, true);
        f.run_for(5 * MV_SECOND);
        for (int d = 0; d < deaths; d++) {
            f.crash_node(f.live_nodes()[0]);
            f.run_for(MV_SECOND);
        }
        f.run_for(25 * MV_SECOND);
        double refused = 0;
        double other = 0;
        std::vector<double> dispatch_delays_ms;
        for (auto &p : f.attempts()) {
            const attempt &a = p.second;
            refused += a.reason == MV_REASON_EVIDENCE_LOST;
            other += a.outcome != outcome_kind::answer &&
                     a.reason != MV_REASON_EVIDENCE_LOST;
            if (a.outcome == outcome_kind::answer) {
                dispatch_delays_ms.push_back(
                    (double)(a.first_dispatch - a.sent) / MV_MILLISECOND);
            }
        }
        wait_stats w = summarize(dispatch_delays_ms);
        std::string prefix = std::to_string(deaths) + " deaths: ";
        double count = (double)f.attempts().size();
        report.note(prefix + "mean time to dispatch, ms", w.mean);
        report.note(prefix + "p99 time to dispatch, ms", w.p99);
        report.note(prefix + "refused since evidence may be lost, share",
                    refused / count);
        report.note(prefix + "other outcomes than an answer, share",
                    other / count);
        report.row(prefix + "violations in the request history", "0", 0,
                   (double)check_history(f, false).size());
    }
}

} // namespace

void
bench_requests(bench_report &report)
{
    bench_waits(report);
    bench_floods(report);
    bench_fairness(report);
    bench_claims(report);
}
