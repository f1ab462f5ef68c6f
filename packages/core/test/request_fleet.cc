#include "request_fleet.h"

#include <algorithm>
#include <cstring>

namespace {

const mv_time_t kStartUnixTime = 1800000000LL * MV_SECOND;
const mv_time_t kTimerInterval = 5 * MV_MILLISECOND;

std::shared_ptr<mv_message_t>
copy_message(const mv_message_t *original)
{
    auto *copy = new mv_message_t(*original);
    copy->slots = static_cast<mv_slot_record_t *>(g_memdup2(
        original->slots, original->slot_count * sizeof(*original->slots)));
    copy->claims = static_cast<mv_claim_record_t *>(g_memdup2(
        original->claims, original->claim_count * sizeof(*original->claims)));
    for (size_t i = 0; i < original->claim_count; i++) {
        copy->claims[i].bytes = static_cast<char *>(
            g_memdup2(original->claims[i].bytes, original->claims[i].length));
    }
    return {copy, [](mv_message_t *message) {
                for (size_t i = 0; i < message->claim_count; i++) {
                    g_free(message->claims[i].bytes);
                }
                g_free(message->slots);
                g_free(message->claims);
                delete message;
            }};
}

} // namespace

/* One incarnation of an entry VM.  @stopped_at: time at which it died or was
 * paused, 0 otherwise; @last_arrivals: latest arrival of a message, by
 * sender. */
struct request_fleet::member {
    mv_request_effects_t effects;
    request_fleet *owner;
    mv_node_id_t id;
    uint32_t incarnation;
    mv_requests_t *requests = nullptr;
    mv_counters_t counters = {};
    bool alive = true;
    bool leaving = false;
    mv_time_t stopped_at = 0;
    mv_time_t paused_until = 0;
    std::vector<mv_request_member_t> view;
    std::map<mv_node_id_t, mv_time_t> last_arrivals;
    ~member()
    {
        MvRequests_Destroy(requests);
    }
};

/* A backend server.  @broken: requests fail and answers are lost;
 * @busy_time_until: time up to which busy_time_us_ is counted; @queue:
 * received requests that wait for a slot; @runs: by run number. */
struct request_fleet::server {
    unsigned slots = 0;
    unsigned running = 0;
    bool broken = false;
    mv_time_t last_start = -1;
    mv_time_t busy_time_until = 0;
    struct received {
        mv_node_id_t node;
        uint32_t incarnation;
        uint64_t id;
    };
    std::vector<received> queue;
    std::map<uint64_t, received> runs;
};

const mv_request_effects_ops_t request_fleet::ops = {
    [](mv_request_effects_t *e, mv_request_id_t id, const mv_service_t *,
       const mv_endpoint_t *endpoint) {
        member *m = member_of(e);
        m->owner->dispatch(m->id, id, endpoint->id);
    },
    [](mv_request_effects_t *e, mv_request_id_t id, mv_outcome_t outcome,
       mv_reason_t reason) {
        attempt &a = member_of(e)->owner->attempts_[id];
        a.outcome = outcome == MV_OUTCOME_NOT_RUN ? outcome_kind::not_run
                                                  : outcome_kind::unknown;
        a.reason = reason;
        a.ended = member_of(e)->owner->now_;
    },
    [](mv_request_effects_t *e, mv_request_id_t id, const char *bytes,
       size_t length) {
        attempt &a = member_of(e)->owner->attempts_[id];
        a.outcome = outcome_kind::replay;
        a.answer = std::string(bytes, length);
        a.ended = member_of(e)->owner->now_;
    },
    [](mv_request_effects_t *e, mv_request_id_t id) {
        member_of(e)->owner->cancel_run(member_of(e)->id, id);
    },
    [](mv_request_effects_t *e, mv_node_id_t to, const mv_message_t *m) {
        member_of(e)->owner->send(member_of(e)->id, to, m);
    },
};

request_fleet::member *
request_fleet::member_of(mv_request_effects_t *effects)
{
    return reinterpret_cast<member *>(effects);
}

request_fleet::request_fleet(const request_options &options)
    : options_(options), random_(options.seed),
      core_random_(g_rand_new_with_seed((guint32)options.seed))
{
    deployments_.push_back(make_deployment({}));
    servers_.resize(options.endpoints + 1);
    busy_time_us_.resize(options.endpoints + 1);
    for (auto &s : servers_) {
        s.slots = options.slots;
    }
    for (unsigned i = 1; i <= options.nodes; i++) {
        start_member((mv_node_id_t)i);
    }
    update_views();
    run_for(1500 * MV_MILLISECOND);
}

request_fleet::~request_fleet()
{
    members_.clear();
    for (auto *d : deployments_) {
        MvDeployment_Unref(d);
    }
    g_rand_free(core_random_);
}

mv_deployment_t *
request_fleet::make_deployment(const std::set<uint16_t> &leaving)
{
    mv_deployment_t *d = g_new0(mv_deployment_t, 1);
    d->references = 1;
    d->version = deployments_.size() + 1;
    d->service_count = 1;
    d->services = g_new0(mv_service_t, 1);
    mv_service_t *s = &d->services[0];
    s->id = 1;
    g_strlcpy(s->name, "booking", MV_NAME_MAX);
    s->endpoint_count = (uint16_t)options_.endpoints;
    s->endpoints = g_new0(mv_endpoint_t, options_.endpoints);
    for (unsigned e = 0; e < options_.endpoints; e++) {
        s->endpoints[e].id = (uint16_t)(e + 1);
        s->endpoints[e].slots = (uint16_t)options_.slots;
        g_snprintf(s->endpoints[e].data_centre, MV_NAME_MAX, "dc%u",
                   (e + 1) % options_.data_centres);
        if (leaving.count((uint16_t)(e + 1))) {
            s->endpoints[e].leaves_at = (now_ + kStartUnixTime) / MV_SECOND;
        }
    }
    s->work_count = (uint16_t)options_.works.size();
    s->work = g_new0(mv_work_t, s->work_count + 1);
    for (size_t i = 0; i < options_.works.size(); i++) {
        const work_spec &w = options_.works[i];
        g_strlcpy(s->work[i].name, w.name, MV_NAME_MAX);
        g_strlcpy(s->work[i].path, w.path, sizeof(s->work[i].path));
        s->work[i].urgency = (uint8_t)w.urgency;
        s->work[i].share = (uint8_t)w.share;
        s->work[i].non_idempotent = w.non_idempotent;
    }
    s->bucket_count = 1;
    s->before = g_new0(uint16_t, 1);
    s->target = g_new0(uint16_t, 1);
    return d;
}

/* Time and network */

void
request_fleet::schedule(mv_time_t when, std::function<void()> run)
{
    events_.push({std::max(when, now_), next_event_++, std::move(run)});
}

void
request_fleet::run_for(mv_time_t duration)
{
    mv_time_t until = now_ + duration;
    while (!events_.empty() && events_.top().time <= until) {
        event e = events_.top();
        events_.pop();
        now_ = e.time;
        e.run();
    }
    now_ = until;
}

mv_time_t
request_fleet::delay(mv_node_id_t a, mv_node_id_t b) const
{
    bool is_local = a % options_.data_centres == b % options_.data_centres;
    return is_local ? options_.local_delay : options_.remote_delay;
}

mv_time_t
request_fleet::backend_delay(mv_node_id_t node, uint16_t endpoint) const
{
    return delay(node, (mv_node_id_t)endpoint);
}

void
request_fleet::send(mv_node_id_t from, mv_node_id_t to,
                    const mv_message_t *message)
{
    sent_messages_++;
    if (encoded_size) {
        sent_bytes_ += encoded_size(message);
    }
    if ((is_dropped_ && is_dropped_(from, to)) || !members_.count(to)) {
        return;
    }
    auto copy = copy_message(message);
    mv_time_t arrival = now_ + delay(from, to);
    /* Messages of one sender arrive in order. */
    mv_time_t &last_arrival = members_.at(to)->last_arrivals[from];
    arrival = std::max(arrival, last_arrival);
    last_arrival = arrival;
    schedule(arrival, [this, to, copy] { deliver(to, copy); });
    if (copy->kind == MV_MESSAGE_CLAIMS && claims_repeated_after > 0) {
        schedule(arrival + claims_repeated_after,
                 [this, to, copy] { deliver(to, copy); });
    }
}

void
request_fleet::deliver(mv_node_id_t to, std::shared_ptr<mv_message_t> message)
{
    member &m = *members_.at(to);
    if (!m.alive) {
        return;
    }
    if (now_ < m.paused_until) {
        schedule(m.paused_until,
                 [this, to, message] { deliver(to, message); });
        return;
    }
    MvRequests_Message(m.requests, now_, message.get());
}

/* Members */

void
request_fleet::start_member(mv_node_id_t id)
{
    auto m = std::make_unique<member>();
    m->effects.ops = &ops;
    m->owner = this;
    m->id = id;
    m->incarnation = next_incarnation_++;
    uint32_t incarnation = m->incarnation;
    m->requests = MvRequests_Create(id, &m->effects, &m->counters,
                                    core_random_, now_ + kStartUnixTime, now_);
    std::vector<mv_node_id_t> expected;
    for (unsigned i = 1; i <= options_.nodes; i++) {
        expected.push_back((mv_node_id_t)i);
    }
    MvRequests_SetExpectedNodes(m->requests, expected.data(), expected.size());
    members_[id] = std::move(m);
    std::uniform_int_distribution<mv_time_t> phase(0, kTimerInterval);
    schedule(now_ + phase(random_),
             [this, id, incarnation] { run_timer(id, incarnation); });
}

void
request_fleet::run_timer(mv_node_id_t id, uint64_t incarnation)
{
    member &m = *members_.at(id);
    if (m.incarnation != incarnation || !m.alive) {
        return;
    }
    if (now_ < m.paused_until) {
        schedule(m.paused_until,
                 [this, id, incarnation] { run_timer(id, incarnation); });
        return;
    }
    MvRequests_Timer(m.requests, now_);
    schedule(now_ + kTimerInterval,
             [this, id, incarnation] { run_timer(id, incarnation); });
}

bool
request_fleet::is_partitioned(unsigned a, unsigned b) const
{
    return partition_side_.count(a % options_.data_centres) !=
           partition_side_.count(b % options_.data_centres);
}

/* Dead and paused nodes are detected after detection_time, nodes on the other
 * side of a partition up to 400 ms earlier, depending on the pair of nodes. */
bool
request_fleet::sees_as_live(mv_node_id_t viewer, mv_node_id_t node)
{
    const member &m = *members_.at(node);
    mv_time_t lead =
        (mv_time_t)((viewer * 7u + node * 13u) % 5u) * 100 * MV_MILLISECOND;
    mv_time_t partition_detection_time = options_.detection_time - lead;
    bool is_dead = !m.alive && now_ - m.stopped_at >= options_.detection_time;
    bool is_paused = m.paused_until > now_ && m.stopped_at &&
                     now_ - m.stopped_at >= options_.detection_time;
    bool is_unreachable = viewer != node && is_partitioned(viewer, node) &&
                          now_ - partitioned_at_ >= partition_detection_time;
    return !is_dead && !is_paused && !is_unreachable && !m.leaving;
}

/* Updates the view of every node, each after a random delay of up to 300 ms;
 * at time 0 without delay. */
void
request_fleet::update_views()
{
    mv_deployment_t *d = deployments_.back();
    std::uniform_int_distribution<mv_time_t> view_delay(0,
                                                        300 * MV_MILLISECOND);
    for (auto &viewer : members_) {
        std::vector<mv_request_member_t> view;
        for (auto &m : members_) {
            if (sees_as_live(viewer.first, m.first)) {
                std::string dc =
                    "dc" + std::to_string(m.first % options_.data_centres);
                view.push_back({m.first, m.second->incarnation,
                                MvDataCentre_Hash(dc.c_str())});
            }
        }
        mv_node_id_t id = viewer.first;
        uint32_t incarnation = viewer.second->incarnation;
        mv_time_t when = now_ == 0 ? now_ : now_ + view_delay(random_);
        schedule(when, [this, id, incarnation, view, d] {
            apply_view(id, incarnation, view, d);
        });
    }
}

/* Updates views each 100 ms while nodes detect a partition that begins now. */
void
request_fleet::schedule_view_updates()
{
    for (int i = 0; i <= 5; i++) {
        schedule(now_ + options_.detection_time - i * 100 * MV_MILLISECOND,
                 [this] { update_views(); });
    }
}

void
request_fleet::partition(std::set<unsigned> side)
{
    partition_side_ = std::move(side);
    partitioned_at_ = now_;
    is_dropped_ = [this](mv_node_id_t a, mv_node_id_t b) {
        return is_partitioned(a, b);
    };
    schedule_view_updates();
}

void
request_fleet::heal_partition()
{
    partition_side_.clear();
    is_dropped_ = nullptr;
    schedule(now_ + MV_SECOND, [this] { update_views(); });
}

void
request_fleet::apply_view(mv_node_id_t id, uint32_t incarnation,
                          const std::vector<mv_request_member_t> &view,
                          mv_deployment_t *d)
{
    member &m = *members_.at(id);
    if (m.incarnation != incarnation || !m.alive) {
        return;
    }
    if (now_ < m.paused_until) {
        schedule(m.paused_until, [this, id, incarnation, view, d] {
            apply_view(id, incarnation, view, d);
        });
        return;
    }
    MvRequests_SetView(m.requests, now_, d, view.data(), view.size());
}

void
request_fleet::crash_node(mv_node_id_t node)
{
    members_.at(node)->alive = false;
    members_.at(node)->stopped_at = now_;
    for (auto &a : attempts_) {
        if (a.second.node == node && a.second.outcome == outcome_kind::none) {
            /* The connection of its caller breaks. */
            a.second.outcome = outcome_kind::unknown;
            a.second.ended = now_;
        }
    }
    schedule(now_ + options_.detection_time, [this] { update_views(); });
}

void
request_fleet::restart_node(mv_node_id_t node)
{
    start_member(node);
    schedule(now_ + 300 * MV_MILLISECOND, [this] { update_views(); });
}

void
request_fleet::begin_planned_stop(mv_node_id_t node)
{
    member &m = *members_.at(node);
    MvRequests_Leave(m.requests, now_);
    schedule(now_ + 50 * MV_MILLISECOND, [this, node] {
        members_.at(node)->leaving = true;
        update_views();
    });
    uint32_t incarnation = m.incarnation;
    schedule(now_ + 500 * MV_MILLISECOND, [this, node, incarnation] {
        if (members_.at(node)->incarnation == incarnation) {
            MvRequests_Stop(members_.at(node)->requests);
        }
    });
}

void
request_fleet::pause_node(mv_node_id_t node, mv_time_t duration)
{
    member &m = *members_.at(node);
    m.paused_until = now_ + duration;
    m.stopped_at = now_;
    schedule(now_ + options_.detection_time, [this] { update_views(); });
    uint32_t incarnation = m.incarnation;
    schedule(now_ + duration + 1, [this, node, incarnation] {
        if (members_.at(node)->incarnation == incarnation) {
            members_.at(node)->stopped_at = 0;
            update_views();
        }
    });
}

void
request_fleet::remove_service()
{
    mv_deployment_t *d = g_new0(mv_deployment_t, 1);
    std::vector<mv_deployment_t *> old;
    d->references = 1;
    d->version = deployments_.size() + 1;
    old.swap(deployments_);
    deployments_.push_back(d);
    update_views();
    for (auto *replaced : old) {
        MvDeployment_Unref(replaced);
    }
}

void
request_fleet::drain_endpoint(uint16_t endpoint)
{
    leaving_.insert(endpoint);
    deployments_.push_back(make_deployment(
        inject_ignored_drain ? std::set<uint16_t>{} : leaving_));
    update_views();
}

void
request_fleet::drop_messages_if(
    std::function<bool(mv_node_id_t, mv_node_id_t)> is_dropped)
{
    is_dropped_ = std::move(is_dropped);
}

std::vector<mv_node_id_t>
request_fleet::live_nodes() const
{
    std::vector<mv_node_id_t> ids;
    for (auto &m : members_) {
        if (m.second->alive && !m.second->leaving) {
            ids.push_back(m.first);
        }
    }
    return ids;
}

/* Callers */

uint64_t
request_fleet::submit(mv_node_id_t node, unsigned work,
                      const std::string &member_name, const std::string &key,
                      mv_time_t timeout)
{
    member &m = *members_.at(node);
    const work_spec &spec = options_.works[work];
    uint64_t id = ++next_id_;
    attempt &a = attempts_[id];
    a.id = id;
    a.node = node;
    a.key = key;
    a.work = work;
    a.member = member_name;
    a.non_idempotent = spec.non_idempotent;
    a.sent = now_;
    mv_request_info_t info = {id,
                              "booking",
                              spec.non_idempotent ? "POST" : "GET",
                              spec.path,
                              a.member.c_str(),
                              a.key.c_str(),
                              now_ + timeout};
    if (!m.alive) {
        /* The caller can't connect. */
        a.outcome = outcome_kind::not_run;
        return id;
    }
    if (now_ < m.paused_until) {
        uint32_t incarnation = m.incarnation;
        schedule(m.paused_until + 1,
                 [this, node, id, info, incarnation, work] {
                     member &resumed = *members_.at(node);
                     if (resumed.incarnation == incarnation && resumed.alive) {
                         attempt &delayed = attempts_[id];
                         mv_request_info_t copy = info;
                         copy.path = options_.works[work].path;
                         copy.member = delayed.member.c_str();
                         copy.key = delayed.key.c_str();
                         MvRequests_Submit(resumed.requests, now_, &copy);
                     }
                 });
        return id;
    }
    MvRequests_Submit(m.requests, now_, &info);
    return id;
}

void
request_fleet::cancel(uint64_t id)
{
    attempt &a = attempts_.at(id);
    member &m = *members_.at(a.node);
    if (a.outcome != outcome_kind::none || !m.alive || now_ < m.paused_until) {
        return;
    }
    a.outcome = outcome_kind::unknown;
    a.ended = now_;
    MvRequests_Cancel(m.requests, now_, id);
}

void
request_fleet::generate_load(double rate, unsigned work,
                             std::function<std::string()> member_name,
                             mv_time_t timeout, mv_time_t until, bool keyed)
{
    std::exponential_distribution<double> gap(rate);
    mv_time_t when = now_ + (mv_time_t)(gap(random_) * MV_SECOND);
    if (when >= until) {
        return;
    }
    schedule(when, [this, rate, work, member_name, timeout, until, keyed] {
        auto ids = live_nodes();
        if (!ids.empty()) {
            std::string key =
                keyed ? "key-" + std::to_string(next_id_ + 1) : "";
            submit(ids[random_() % ids.size()], work, member_name(), key,
                   timeout);
        }
        generate_load(rate, work, member_name, timeout, until, keyed);
    });
}

/* Backend servers */

void
request_fleet::dispatch(mv_node_id_t node, uint64_t id, uint16_t endpoint)
{
    attempt &a = attempts_[id];
    a.dispatches++;
    a.endpoint = endpoint;
    if (a.first_dispatch < 0) {
        a.first_dispatch = now_;
    }
    schedule(now_ + backend_delay(node, endpoint), [this, node, id, endpoint] {
        receive_request(node, id, endpoint);
    });
}

/* With cancel_ends_runs, the backend server ends the run when the cancellation
 * arrives. */
void
request_fleet::cancel_run(mv_node_id_t node, uint64_t id)
{
    if (!cancel_ends_runs) {
        return;
    }
    uint16_t endpoint = attempts_[id].endpoint;
    schedule(now_ + backend_delay(node, endpoint), [this, endpoint, id] {
        cancelled_ids_.insert(id);
        for (auto &run : servers_[endpoint].runs) {
            if (run.second.id == id) {
                end_run(endpoint, run.first);
                return;
            }
        }
    });
}

void
request_fleet::end_run(uint16_t endpoint, uint64_t run)
{
    server &s = servers_[endpoint];
    auto it = s.runs.find(run);
    if (it == s.runs.end()) {
        return;
    }
    server::received request = it->second;
    s.runs.erase(it);
    add_busy_time(endpoint);
    s.running--;
    bool lost = s.broken || cancelled_ids_.count(request.id) ||
                is_partitioned(request.node, endpoint);
    mv_dispatch_result_t result =
        lost ? MV_RESULT_INTERRUPTED : MV_RESULT_COMPLETE;
    schedule(now_ + backend_delay(request.node, endpoint),
             [this, request, result] {
                 complete_dispatch(request.node, request.incarnation,
                                   request.id, result);
             });
    start_runs(endpoint);
}

void
request_fleet::break_endpoint(uint16_t endpoint)
{
    server &s = servers_[endpoint];
    s.broken = true;
}

void
request_fleet::restore_endpoint(uint16_t endpoint)
{
    servers_[endpoint].broken = false;
}

void
request_fleet::complete_dispatch(mv_node_id_t node, uint64_t incarnation,
                                 uint64_t id, mv_dispatch_result_t result)
{
    member &m = *members_.at(node);
    if (!m.alive || m.incarnation != incarnation) {
        return;
    }
    if (now_ < m.paused_until) {
        schedule(m.paused_until + 1, [this, node, incarnation, id, result] {
            complete_dispatch(node, incarnation, id, result);
        });
        return;
    }
    attempt &a = attempts_[id];
    std::string answer =
        "answer-" + (a.key.empty() ? std::to_string(id) : a.key);
    if (inject_wrong_answer && id % 50 == 0) {
        answer = "answer-of-another";
    }
    bool deliver_answer = MvRequests_CompleteDispatch(
        m.requests, now_, id, result, answer.data(), answer.size());
    if (deliver_answer) {
        a.outcome = outcome_kind::answer;
        a.answer = answer;
        a.ended = now_;
    }
    if (deliver_answer && inject_false_not_run && id % 50 == 0) {
        a.outcome = outcome_kind::not_run;
    }
}

void
request_fleet::receive_request(mv_node_id_t node, uint64_t id,
                               uint16_t endpoint)
{
    server &s = servers_[endpoint];
    uint32_t incarnation = members_.at(node)->incarnation;
    if (s.broken || is_partitioned(node, endpoint)) {
        mv_dispatch_result_t result =
            random_() % 2 ? MV_RESULT_NOT_PROCESSED : MV_RESULT_UNREACHABLE;
        schedule(now_ + backend_delay(node, endpoint),
                 [this, node, incarnation, id, result] {
                     complete_dispatch(node, incarnation, id, result);
                 });
        return;
    }
    s.queue.push_back({node, incarnation, id});
    if (inject_double_run && id % 50 == 0) {
        s.queue.push_back({node, incarnation, id});
    }
    unsigned concurrent = s.running + (unsigned)s.queue.size();
    if (inject_overrun && id % 50 == 0) {
        concurrent += s.slots;
    }
    if (concurrent > s.slots) {
        slot_overruns_++;
        max_slot_overrun_ = std::max(max_slot_overrun_, concurrent - s.slots);
    }
    start_runs(endpoint);
}

void
request_fleet::start_runs(uint16_t endpoint)
{
    server &s = servers_[endpoint];
    while (s.running < s.slots && !s.queue.empty()) {
        auto request = s.queue.front();
        s.queue.erase(s.queue.begin());
        attempt &a = attempts_[request.id];
        a.runs++;
        a.started = now_;
        s.last_start = now_;
        if (!a.key.empty()) {
            runs_by_key_[a.key]++;
        }
        add_busy_time(endpoint);
        s.running++;
        std::exponential_distribution<double> run_time(1.0 /
                                                       options_.mean_run_ms);
        double run_ms = run_time(random_);
        a.run_ms = run_ms;
        uint64_t run = ++next_run_;
        s.runs[run] = request;
        schedule(now_ + (mv_time_t)(run_ms * MV_MILLISECOND),
                 [this, endpoint, run] { end_run(endpoint, run); });
    }
}

void
request_fleet::add_busy_time(uint16_t endpoint)
{
    server &s = servers_[endpoint];
    busy_time_us_[endpoint] += (double)(now_ - s.busy_time_until) * s.running;
    s.busy_time_until = now_;
}

const std::vector<double> &
request_fleet::busy_time()
{
    for (uint16_t e = 1; e <= options_.endpoints; e++) {
        add_busy_time(e);
    }
    return busy_time_us_;
}

void
request_fleet::reset_busy_time()
{
    busy_time();
    std::fill(busy_time_us_.begin(), busy_time_us_.end(), 0.0);
}

mv_time_t
request_fleet::last_run_start(uint16_t endpoint) const
{
    return servers_[endpoint].last_start;
}

double
jain_index(const std::vector<double> &shares)
{
    double sum = 0;
    double squares = 0;
    for (double share : shares) {
        sum += share;
        squares += share * share;
    }
    return sum * sum / ((double)shares.size() * squares);
}

/* Checks of the recorded history */

std::vector<std::string>
check_history(request_fleet &fleet, bool members_agreed)
{
    std::vector<std::string> violations;
    auto add = [&](const attempt &a, const std::string &violation) {
        violations.push_back("attempt " + std::to_string(a.id) + " key '" +
                             a.key + "': " + violation);
    };
    for (auto &pair : fleet.attempts()) {
        const attempt &a = pair.second;
        if (a.outcome == outcome_kind::none) {
            add(a, "has no outcome");
        }
        if (a.outcome == outcome_kind::not_run && a.runs > 0) {
            add(a, "was reported as not run, but ran " +
                       std::to_string(a.runs) + " times");
        }
        if (a.non_idempotent && a.runs > 1) {
            add(a, "is not idempotent, but ran " + std::to_string(a.runs) +
                       " times");
        }
        std::string expected =
            "answer-" + (a.key.empty() ? std::to_string(a.id) : a.key);
        bool is_answered = a.outcome == outcome_kind::answer ||
                           a.outcome == outcome_kind::replay;
        if (is_answered && a.answer != expected) {
            add(a,
                "received '" + a.answer + "' instead of '" + expected + "'");
        }
    }
    for (auto &run : fleet.runs_by_key()) {
        if (run.second > 1) {
            violations.push_back("key '" + run.first + "' ran " +
                                 std::to_string(run.second) + " times");
        }
    }
    if (members_agreed && fleet.slot_overruns() > 0) {
        violations.push_back(
            "backend servers received more requests than they have slots " +
            std::to_string(fleet.slot_overruns()) +
            " times, although all nodes had the same view");
    }
    return violations;
}
