#include "request_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

const std::vector<work_spec> kBookingClasses = {
    {"reservation", "/reservations", 0, 50, true},
    {"availability", "/", 1, 30, false},
};

std::string
no_member()
{
    return "";
}

std::string
first_violation(const std::vector<std::string> &violations)
{
    return violations.empty() ? "" : violations[0];
}

} // namespace

TEST(Requests, QuietLoadIsAnsweredWithoutOverrun)
{
    request_options options;
    options.works = kBookingClasses;
    request_fleet f(options);
    f.generate_load(200, 0, no_member, 10 * MV_SECOND,
                    f.now() + 10 * MV_SECOND, true);
    f.generate_load(200, 1, no_member, 10 * MV_SECOND,
                    f.now() + 10 * MV_SECOND);
    f.run_for(25 * MV_SECOND);
    auto violations = check_history(f, true);
    EXPECT_TRUE(violations.empty()) << first_violation(violations);
    for (auto &a : f.attempts()) {
        ASSERT_EQ(a.second.outcome, outcome_kind::answer)
            << "request " << a.first;
    }
}

TEST(Requests, RepeatedKeyRunsOnceAndGetsTheFirstAnswer)
{
    request_options options;
    options.works = kBookingClasses;
    request_fleet f(options);
    for (int i = 0; i < 40; i++) {
        std::string key = "repeated-" + std::to_string(i);
        for (mv_node_id_t node = 1; node <= 5; node++) {
            f.submit(node, 0, "", key, 10 * MV_SECOND);
            f.run_for(7 * MV_MILLISECOND);
        }
    }
    f.run_for(20 * MV_SECOND);
    auto violations = check_history(f, true);
    EXPECT_TRUE(violations.empty()) << first_violation(violations);
    for (auto &a : f.attempts()) {
        EXPECT_NE(a.second.outcome, outcome_kind::not_run)
            << "request " << a.first;
        EXPECT_NE(a.second.outcome, outcome_kind::unknown)
            << "request " << a.first;
    }
    EXPECT_EQ(f.runs_by_key().size(), 40u);
}

/* A claim that is granted a second time, after its request ended without an
 * answer, must not count as not run: the request ran. */
TEST(Requests, AnUnknownOutcomeStaysUnknownThoughMessagesRepeat)
{
    request_options options;
    options.works = kBookingClasses;
    options.endpoints = 4;
    request_fleet f(options);
    f.claims_repeated_after = 3 * MV_SECOND;
    for (int i = 0; i < 40; i++) {
        f.submit((mv_node_id_t)(1 + i % 8), 0, "", "key-" + std::to_string(i),
                 10 * MV_SECOND);
    }
    f.run_for(20 * MV_MILLISECOND);
    for (uint16_t endpoint = 1; endpoint <= 4; endpoint++) {
        f.break_endpoint(endpoint);
    }
    f.run_for(2 * MV_SECOND);
    for (uint16_t endpoint = 1; endpoint <= 4; endpoint++) {
        f.restore_endpoint(endpoint);
    }
    f.run_for(6 * MV_SECOND);
    for (int i = 0; i < 40; i++) {
        f.submit((mv_node_id_t)(1 + (i + 3) % 8), 0, "",
                 "key-" + std::to_string(i), 5 * MV_SECOND);
    }
    f.run_for(20 * MV_SECOND);
    for (const auto &[key, runs] : f.runs_by_key()) {
        EXPECT_LE(runs, 1u) << key;
    }
    auto violations = check_history(f, true);
    EXPECT_TRUE(violations.empty()) << first_violation(violations);
}

/* Requests that wait for a slot of a removed service get their outcome at
 * once; under the address sanitizer, the owner must not use the old
 * configuration. */
TEST(Requests, ARemovedServiceRefusesItsWaitingRequests)
{
    request_options options;
    options.endpoints = 2;
    options.mean_run_ms = 400;
    request_fleet f(options);
    for (int i = 0; i < 60; i++) {
        f.submit((mv_node_id_t)(1 + i % 8), 0, "", "", 20 * MV_SECOND);
    }
    f.run_for(50 * MV_MILLISECOND);
    f.remove_service();
    const mv_time_t removed_at = f.now();
    f.run_for(15 * MV_SECOND);
    unsigned refused = 0;
    for (const auto &[id, a] : f.attempts()) {
        if (a.outcome == outcome_kind::not_run) {
            refused++;
            EXPECT_LE(a.ended, removed_at + MV_SECOND) << "request " << id;
        }
        EXPECT_NE(a.outcome, outcome_kind::none) << "request " << id;
    }
    EXPECT_GT(refused, 40u);
}

/* Callers repeat keys every few milliseconds, at any entry VM, while the
 * owners of keys change due to planned stops, restarts and a partition.  A new
 * owner that lacks the claim of a key would run its request again. */
TEST(Requests, RepeatedKeysRunOnceWhileOwnersChange)
{
    for (uint64_t seed = 1; seed <= 8; seed++) {
        request_options options;
        options.works = kBookingClasses;
        options.seed = seed;
        request_fleet f(options);
        unsigned keys = 0;
        auto submit_random_keys = [&](mv_time_t duration) {
            mv_time_t until = f.now() + duration;
            while (f.now() < until) {
                auto ids = f.live_nodes();
                unsigned number =
                    f.random()() % 3 ? f.random()() % (keys + 1) : ++keys;
                f.submit(ids[f.random()() % ids.size()], 0, "",
                         "key-" + std::to_string(number), 3 * MV_SECOND);
                f.run_for(3 * MV_MILLISECOND);
            }
        };
        submit_random_keys(MV_SECOND);
        for (mv_node_id_t id : {3, 6, 2}) {
            f.begin_planned_stop(id);
            /* Time for the open requests of the leaving node to end, as the
             * daemon stops only then. */
            submit_random_keys(3500 * MV_MILLISECOND);
            f.restart_node(id);
            submit_random_keys(1200 * MV_MILLISECOND);
        }
        f.partition({1});
        submit_random_keys(4 * MV_SECOND);
        f.heal_partition();
        submit_random_keys(2 * MV_SECOND);
        f.run_for(10 * MV_SECOND);
        auto violations = check_history(f, false);
        EXPECT_TRUE(violations.empty())
            << "seed " << seed << ": " << first_violation(violations);
    }
}

/* In a large cluster of 600 nodes, half are lost at once: a node of the half
 * without the lowest node id, which is the minority, must not claim unknown
 * keys. */
TEST(Requests, MinorityOfLargeClusterRefusesUnknownKeys)
{
    static unsigned partitioned;
    partitioned = 0;
    const mv_request_effects_ops_t ops = {
        [](mv_request_effects_t *, mv_request_id_t, const mv_service_t *,
           const mv_endpoint_t *) {},
        [](mv_request_effects_t *, mv_request_id_t, mv_outcome_t,
           mv_reason_t reason) {
            partitioned += reason == MV_REASON_PARTITIONED;
        },
        [](mv_request_effects_t *, mv_request_id_t, const char *, size_t) {},
        [](mv_request_effects_t *, mv_request_id_t) {},
        [](mv_request_effects_t *, mv_node_id_t, const mv_message_t *) {}};
    const size_t kNodes = 600;
    request_options options;
    options.works = kBookingClasses;
    request_fleet configured(options);
    mv_deployment_t *d = configured.deployment();
    mv_request_effects_t effects = {&ops};
    mv_counters_t counters = {};
    GRand *random = g_rand_new_with_seed(1);
    mv_requests_t *requests =
        MvRequests_Create(kNodes, &effects, &counters, random, 0, 0);
    std::vector<mv_request_member_t> members;
    for (uint32_t id = 1; id <= kNodes; id++) {
        members.push_back({id, 1, 1});
    }
    MvRequests_SetView(requests, MV_SECOND, d, members.data(), kNodes);
    MvRequests_SetView(requests, 2 * MV_SECOND, d, &members[kNodes / 2],
                       kNodes / 2);
    for (uint64_t i = 1; i <= 3000; i++) {
        std::string key = "key-" + std::to_string(i);
        mv_request_info_t info = {i,  "booking",   "POST",   "/reservations",
                                  "", key.c_str(), MV_MINUTE};
        MvRequests_Submit(requests, 2 * MV_SECOND, &info);
    }
    /* This node owns about one key in 300. */
    EXPECT_GT(partitioned, 0u) << "no request of 3000 was refused with "
                                  "MV_REASON_PARTITIONED";
    MvRequests_Destroy(requests);
    g_rand_free(random);
}

struct fault_case {
    const char *name;
    bool members_agree;
    std::function<void(request_fleet &)> fault;
};

static mv_node_id_t
any_node(request_fleet &f)
{
    auto ids = f.live_nodes();
    return ids[f.random()() % ids.size()];
}

static const fault_case kFaults[] = {
    {"none", true, [](request_fleet &) {}},
    {"node dies", false, [](request_fleet &f) { f.crash_node(any_node(f)); }},
    {"node dies and restarts", false,
     [](request_fleet &f) {
         mv_node_id_t id = any_node(f);
         f.crash_node(id);
         f.run_for(4 * MV_SECOND);
         f.restart_node(id);
     }},
    {"two nodes die", false,
     [](request_fleet &f) {
         f.crash_node(any_node(f));
         f.run_for(500 * MV_MILLISECOND);
         f.crash_node(any_node(f));
     }},
    {"pause longer than detection", false,
     [](request_fleet &f) { f.pause_node(any_node(f), 6 * MV_SECOND); }},
    {"short pause", false,
     [](request_fleet &f) {
         f.pause_node(any_node(f), 800 * MV_MILLISECOND);
     }},
    {"planned stop", false,
     [](request_fleet &f) { f.begin_planned_stop(any_node(f)); }},
    {"backend server breaks", true,
     [](request_fleet &f) {
         f.break_endpoint(3);
         f.run_for(3 * MV_SECOND);
         f.restore_endpoint(3);
     }},
    {"messages between two halves are lost", false,
     [](request_fleet &f) {
         f.drop_messages_if([](mv_node_id_t a, mv_node_id_t b) {
             return (a <= 4) != (b <= 4);
         });
         f.run_for(1500 * MV_MILLISECOND);
         f.drop_messages_if(nullptr);
     }},
    {"node dies while a backend server breaks", false,
     [](request_fleet &f) {
         f.break_endpoint(5);
         f.crash_node(any_node(f));
         f.run_for(2 * MV_SECOND);
         f.restore_endpoint(5);
     }},
    {"data centre is partitioned, then healed", false,
     [](request_fleet &f) {
         f.partition({1});
         f.run_for(6 * MV_SECOND);
         f.heal_partition();
     }},
    {"two nodes die and restart", false,
     [](request_fleet &f) {
         mv_node_id_t first = any_node(f);
         f.crash_node(first);
         mv_node_id_t second = any_node(f);
         f.crash_node(second);
         f.run_for(3 * MV_SECOND);
         f.restart_node(first);
         f.restart_node(second);
     }},
    {"node dies and restarts in a partitioned data centre", false,
     [](request_fleet &f) {
         f.partition({1});
         f.run_for(3500 * MV_MILLISECOND);
         f.crash_node(4);
         f.run_for(500 * MV_MILLISECOND);
         f.restart_node(4);
         f.run_for(3 * MV_SECOND);
         f.heal_partition();
     }},
    {"two data centres are partitioned in turn", false,
     [](request_fleet &f) {
         f.partition({1});
         f.run_for(4 * MV_SECOND);
         f.partition({2});
         f.run_for(4 * MV_SECOND);
         f.heal_partition();
     }},
    {"all entry VMs of a data centre die and restart", false,
     [](request_fleet &f) {
         for (mv_node_id_t id : {1, 4, 7}) {
             f.crash_node(id);
         }
         f.run_for(3 * MV_SECOND);
         for (mv_node_id_t id : {1, 4, 7}) {
             f.restart_node(id);
         }
     }},
    {"pause and planned stop", false,
     [](request_fleet &f) {
         f.pause_node(any_node(f), 5 * MV_SECOND);
         f.begin_planned_stop(any_node(f));
     }},
};

/* Poisson load of both classes for 9 s with fault @c at 2 s.  Every 900 ms,
 * half of the keys whose outcome allows a retry are submitted again at random
 * nodes. */
static void
run_schedule(request_fleet &f, const fault_case &c)
{
    f.generate_load(150, 0, no_member, 4 * MV_SECOND, f.now() + 9 * MV_SECOND,
                    true);
    f.generate_load(200, 1, no_member, 4 * MV_SECOND, f.now() + 9 * MV_SECOND);
    f.run_for(2 * MV_SECOND);
    c.fault(f);
    for (int round = 0; round < 6; round++) {
        f.run_for(900 * MV_MILLISECOND);
        std::vector<std::string> retried_keys;
        for (auto &a : f.attempts()) {
            bool may_retry = a.second.outcome == outcome_kind::unknown ||
                             a.second.outcome == outcome_kind::not_run;
            if (may_retry && !a.second.key.empty() && f.random()() % 2) {
                retried_keys.push_back(a.second.key);
            }
        }
        for (auto &key : retried_keys) {
            f.submit(any_node(f), 0, "", key, 3 * MV_SECOND);
        }
    }
    f.run_for(20 * MV_SECOND);
}

class RequestFaults : public testing::TestWithParam<uint64_t> {};

TEST_P(RequestFaults, HistoriesAreValid)
{
    for (const auto &c : kFaults) {
        request_options options;
        options.works = kBookingClasses;
        options.seed = GetParam();
        request_fleet f(options);
        run_schedule(f, c);
        auto violations = check_history(f, c.members_agree);
        EXPECT_TRUE(violations.empty())
            << c.name << " seed " << GetParam() << ": " << violations.size()
            << " violations, first: " << first_violation(violations);
        /* A former owner with an outdated view may grant each slot a second
         * time. */
        EXPECT_LE(f.max_slot_overrun(), options.slots)
            << c.name << " seed " << GetParam()
            << ": requests at a backend server above its slots";
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RequestFaults,
                         testing::Range<uint64_t>(1, 21));

struct injection_case {
    const char *name;
    bool request_fleet::*fault;
};

TEST(Checker, DetectsEveryInjectedFault)
{
    const injection_case cases[] = {
        {"double run", &request_fleet::inject_double_run},
        {"false outcome not-run", &request_fleet::inject_false_not_run},
        {"wrong answer", &request_fleet::inject_wrong_answer},
        {"overrun", &request_fleet::inject_overrun},
    };
    for (const auto &c : cases) {
        request_options options;
        options.works = kBookingClasses;
        request_fleet f(options);
        f.*c.fault = true;
        run_schedule(f, kFaults[0]);
        EXPECT_FALSE(check_history(f, true).empty())
            << c.name << " was not detected";
    }
}

struct drain_case {
    const char *name;
    bool ignore;
    bool in_time;
};

TEST(Requests, LeavingEndpointGetsNoNewWorkAfterThreeSeconds)
{
    const drain_case cases[] = {{"drain", false, true},
                                {"injected: drain ignored", true, false}};
    for (const auto &c : cases) {
        request_options options;
        options.works = kBookingClasses;
        request_fleet f(options);
        f.inject_ignored_drain = c.ignore;
        f.generate_load(350, 1, no_member, 4 * MV_SECOND,
                        f.now() + 12 * MV_SECOND);
        f.run_for(3 * MV_SECOND);
        mv_time_t drained_at = f.now();
        f.drain_endpoint(3);
        f.run_for(15 * MV_SECOND);
        EXPECT_EQ(f.last_run_start(3) - drained_at <= 3 * MV_SECOND, c.in_time)
            << c.name << ": last run started "
            << f.last_run_start(3) - drained_at << " us after the drain";
    }
}

/* 99th percentile of the wait of answered requests, in microseconds. */
static mv_time_t
wait_p99(request_fleet &f)
{
    std::vector<mv_time_t> waits;
    for (auto &pair : f.attempts()) {
        if (pair.second.outcome == outcome_kind::answer) {
            waits.push_back(pair.second.first_dispatch - pair.second.sent);
        }
    }
    std::sort(waits.begin(), waits.end());
    return waits[waits.size() * 99 / 100];
}

/* Cancelled requests must not count as failures of a backend server, which
 * would suspend it: when about a quarter of the callers cancel, the others
 * must not wait longer. */
TEST(Requests, CancelledWorkDoesNotSuspendItsEndpoint)
{
    mv_time_t waits[2];
    for (bool cancels : {false, true}) {
        request_options options;
        options.works = kBookingClasses;
        request_fleet f(options);
        f.cancel_ends_runs = true;
        f.generate_load(336, 1, no_member, 10 * MV_SECOND,
                        f.now() + 20 * MV_SECOND);
        for (int i = 0; i < 2000; i++) {
            uint64_t id = f.submit(any_node(f), 1, "", "", 10 * MV_SECOND);
            f.run_for(8 * MV_MILLISECOND);
            if (cancels) {
                f.cancel(id);
            }
            f.run_for(2 * MV_MILLISECOND);
        }
        f.run_for(12 * MV_SECOND);
        waits[cancels] = wait_p99(f);
        auto violations = check_history(f, true);
        EXPECT_TRUE(violations.empty()) << first_violation(violations);
    }
    EXPECT_LE(waits[1], waits[0])
        << "99th percentile of waits in us, with and without cancellations";
}

/* Requests of each class arrive at the rate of its guaranteed share; requests
 * of class @work arrive at @factor times the capacity in addition. */
struct flood_case {
    unsigned work;
    double factor;
};

static const std::vector<work_spec> kFloodClasses = {
    {"reservation", "/reservations", 0, 40, false},
    {"availability", "/available", 1, 30, false},
    {"report", "/", 2, 20, false},
};

/* 14 endpoints with 2 slots, 50 ms per request. */
static const double kCapacityPerSecond = 14 * 2 * 1000 / 50.0;

struct flood_result {
    double submitted[3] = {0};
    double answered[3] = {0};
    double seconds = 0;
    /* Fraction of slot time spent on answers that callers received. */
    double useful_share = 0;
};

static flood_result
run_flood(const flood_case &c, uint64_t seed)
{
    request_options options;
    options.works = kFloodClasses;
    options.seed = seed;
    request_fleet f(options);
    mv_time_t end = f.now() + 12 * MV_SECOND;
    for (unsigned k = 0; k < kFloodClasses.size(); k++) {
        f.generate_load(kCapacityPerSecond * kFloodClasses[k].share / 100, k,
                        no_member, MV_SECOND, end);
    }
    f.run_for(3 * MV_SECOND);
    mv_time_t from = f.now() + MV_SECOND;
    f.generate_load(kCapacityPerSecond * c.factor, c.work, no_member,
                    MV_SECOND, end);
    f.run_for(11 * MV_SECOND);
    flood_result r;
    r.seconds = (double)(end - from) / MV_SECOND;
    for (auto &pair : f.attempts()) {
        const attempt &a = pair.second;
        bool is_answered = a.outcome == outcome_kind::answer;
        if (is_answered && a.ended >= from && a.ended < end) {
            r.useful_share += a.run_ms / (14 * 2 * r.seconds * 1000);
        }
        if (a.sent >= from && a.sent < end) {
            r.submitted[a.work]++;
            r.answered[a.work] += is_answered;
        }
    }
    return r;
}

static const flood_case kFloods[] = {{0, 10}, {1, 10}, {2, 10},
                                     {0, 3},  {1, 3},  {2, 3}};

TEST(Floods, EveryOtherClassKeepsItsGuaranteedShare)
{
    for (const auto &c : kFloods) {
        flood_result r = run_flood(c, 1);
        for (unsigned k = 0; k < kFloodClasses.size(); k++) {
            double share =
                kCapacityPerSecond * kFloodClasses[k].share / 100 * r.seconds;
            if (k != c.work) {
                EXPECT_GE(r.answered[k],
                          0.99 * std::min(share, r.submitted[k]))
                    << "answers of class " << kFloodClasses[k].name
                    << " while class " << kFloodClasses[c.work].name
                    << " arrives at " << c.factor << " times the capacity";
            }
        }
    }
}

TEST(Floods, ThroughputAtTenTimesOverload)
{
    for (const auto &c : kFloods) {
        if (c.factor >= 10) {
            EXPECT_GE(run_flood(c, 1).useful_share, 0.98)
                << "fraction of slot time spent on received answers while "
                << "class " << kFloodClasses[c.work].name << " arrives at "
                << c.factor << " times the capacity";
        }
    }
}

TEST(Floods, MembersGetEqualShares)
{
    request_options options;
    request_fleet f(options);
    mv_time_t end = f.now() + 12 * MV_SECOND;
    const double load_factors[] = {4, 1.5, 0.6, 0.6};
    for (int m = 0; m < 4; m++) {
        std::string name = "member-" + std::to_string(m);
        f.generate_load(
            kCapacityPerSecond * load_factors[m], 0, [name] { return name; },
            MV_SECOND, end);
    }
    f.run_for(14 * MV_SECOND);
    std::vector<double> answered(4);
    for (auto &pair : f.attempts()) {
        const attempt &a = pair.second;
        if (a.outcome == outcome_kind::answer &&
            a.sent > end - 9 * MV_SECOND) {
            answered[a.member.back() - '0']++;
        }
    }
    EXPECT_GE(jain_index(answered), 0.99);
}
