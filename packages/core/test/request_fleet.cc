#include "request_fleet.h"

#include <algorithm>
#include <cstring>

namespace {

const mv_time_t kWallStart = 1800000000LL * MV_SECOND;
const mv_time_t kTick = 5 * MV_MILLISECOND;

std::shared_ptr<mv_message_t>
copy_message(const mv_message_t *m)
{
    auto *copy = new mv_message_t(*m);
    copy->slots = static_cast<mv_slot_record_t *>(
        g_memdup2(m->slots, m->slot_count * sizeof(*m->slots)));
    copy->claims = static_cast<mv_claim_record_t *>(
        g_memdup2(m->claims, m->claim_count * sizeof(*m->claims)));
    for (size_t i = 0; i < m->claim_count; i++) {
        copy->claims[i].bytes = static_cast<char *>(
            g_memdup2(m->claims[i].bytes, m->claims[i].length));
    }
    return {copy, [](mv_message_t *p) {
                for (size_t i = 0; i < p->claim_count; i++) {
                    g_free(p->claims[i].bytes);
                }
                g_free(p->slots);
                g_free(p->claims);
                delete p;
            }};
}

} // namespace

struct request_fleet::member {
    mv_request_effects_t effects;
    request_fleet *owner;
    mv_node_id_t id;
    uint32_t incarnation;
    mv_requests_t *requests = nullptr;
    mv_counters_t counters = {};
    bool alive = true;
    bool leaving = false;
    mv_time_t died = 0;
    mv_time_t paused_until = 0;
    std::vector<mv_request_member_t> believes;
    std::map<mv_node_id_t, mv_time_t> last_arrival;
    ~member()
    {
        MvRequests_Destroy(requests);
    }
};

struct request_fleet::server {
    unsigned slots = 0;
    unsigned running = 0;
    bool broken = false;
    mv_time_t last_start = -1;
    mv_time_t accounted = 0;
    struct waiting {
        mv_node_id_t node;
        uint32_t incarnation;
        uint64_t id;
    };
    std::vector<waiting> queue;
    std::map<uint64_t, waiting> runs;
};

const mv_request_effects_ops_t request_fleet::ops = {
    [](mv_request_effects_t *e, mv_request_id_t id, const mv_service_t *,
       const mv_endpoint_t *endpoint) {
        member *m = of(e);
        m->owner->dispatch(m->id, id, endpoint->id);
    },
    [](mv_request_effects_t *e, mv_request_id_t id, mv_outcome_t outcome,
       mv_reason_t reason) {
        attempt &a = of(e)->owner->attempts_[id];
        a.outcome = outcome == MV_OUTCOME_NOT_RUN ? outcome_kind::not_run
                                                  : outcome_kind::unknown;
        a.reason = reason;
        a.ended = of(e)->owner->now_;
    },
    [](mv_request_effects_t *e, mv_request_id_t id, const char *bytes,
       size_t length) {
        attempt &a = of(e)->owner->attempts_[id];
        a.outcome = outcome_kind::replay;
        a.answer = std::string(bytes, length);
        a.ended = of(e)->owner->now_;
    },
    [](mv_request_effects_t *e, mv_request_id_t id) {
        of(e)->owner->cancel_run(of(e)->id, id);
    },
    [](mv_request_effects_t *e, mv_node_id_t to, const mv_message_t *m) {
        of(e)->owner->send(of(e)->id, to, m);
    },
};

request_fleet::member *
request_fleet::of(mv_request_effects_t *effects)
{
    return reinterpret_cast<member *>(effects);
}

request_fleet::request_fleet(const request_options &options)
    : options_(options), random_(options.seed),
      grand_(g_rand_new_with_seed((guint32)options.seed))
{
    deployments_.push_back(make({}));
    servers_.resize(options.endpoints + 1);
    busy_.resize(options.endpoints + 1);
    for (auto &s : servers_) {
        s.slots = options.slots;
    }
    for (unsigned i = 1; i <= options.nodes; i++) {
        start_member((mv_node_id_t)i);
    }
    views();
    run_for(1500 * MV_MILLISECOND);
}

request_fleet::~request_fleet()
{
    members_.clear();
    for (auto *d : deployments_) {
        MvDeployment_Unref(d);
    }
    g_rand_free(grand_);
}

mv_deployment_t *
request_fleet::make(const std::set<uint16_t> &leaving)
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
            s->endpoints[e].leaves_at = (now_ + kWallStart) / MV_SECOND;
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
request_fleet::at(mv_time_t when, std::function<void()> run)
{
    events_.push({std::max(when, now_), order_++, std::move(run)});
}

void
request_fleet::run_for(mv_time_t duration)
{
    mv_time_t until = now_ + duration;
    while (!events_.empty() && events_.top().at <= until) {
        event e = events_.top();
        events_.pop();
        now_ = e.at;
        e.run();
    }
    now_ = until;
}

mv_time_t
request_fleet::delay(mv_node_id_t a, mv_node_id_t b) const
{
    bool near = a % options_.data_centres == b % options_.data_centres;
    return near ? options_.near_delay : options_.far_delay;
}

mv_time_t
request_fleet::backend_delay(mv_node_id_t a, uint16_t endpoint) const
{
    return delay(a, (mv_node_id_t)endpoint);
}

void
request_fleet::send(mv_node_id_t from, mv_node_id_t to, const mv_message_t *m)
{
    messages_++;
    if (encoded_size) {
        bytes_ += encoded_size(m);
    }
    if ((is_cut_ && is_cut_(from, to)) || !members_.count(to)) {
        return;
    }
    auto copy = copy_message(m);
    mv_time_t arrival = now_ + delay(from, to);
    mv_time_t &last = members_.at(to)->last_arrival[from];
    arrival = std::max(arrival, last);
    last = arrival;
    at(arrival, [this, to, copy] { deliver(to, copy); });
}

void
request_fleet::deliver(mv_node_id_t to, std::shared_ptr<mv_message_t> message)
{
    member &m = *members_.at(to);
    if (!m.alive) {
        return;
    }
    if (now_ < m.paused_until) {
        at(m.paused_until, [this, to, message] { deliver(to, message); });
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
    m->incarnation = next_life_++;
    uint32_t incarnation = m->incarnation;
    m->requests = MvRequests_Create(id, &m->effects, &m->counters, grand_,
                                    now_ + kWallStart, now_);
    std::vector<mv_node_id_t> all;
    for (unsigned i = 1; i <= options_.nodes; i++) {
        all.push_back((mv_node_id_t)i);
    }
    MvRequests_SetExpectedNodes(m->requests, all.data(), all.size());
    members_[id] = std::move(m);
    std::uniform_int_distribution<mv_time_t> phase(0, kTick);
    at(now_ + phase(random_),
       [this, id, incarnation] { tick(id, incarnation); });
}

void
request_fleet::tick(mv_node_id_t id, uint64_t incarnation)
{
    member &m = *members_.at(id);
    if (m.incarnation != incarnation || !m.alive) {
        return;
    }
    if (now_ < m.paused_until) {
        at(m.paused_until, [this, id, incarnation] { tick(id, incarnation); });
        return;
    }
    MvRequests_Timer(m.requests, now_);
    at(now_ + kTick, [this, id, incarnation] { tick(id, incarnation); });
}

bool
request_fleet::is_apart(unsigned one, unsigned other) const
{
    return side_.count(one % options_.data_centres) !=
           side_.count(other % options_.data_centres);
}

/* Each node notices by itself who is gone, some sooner than others. */
bool
request_fleet::believes_live(mv_node_id_t viewer, mv_node_id_t other)
{
    const member &m = *members_.at(other);
    mv_time_t early =
        (mv_time_t)((viewer * 7u + other * 13u) % 5u) * 100 * MV_MILLISECOND;
    mv_time_t noticed = options_.detect - early;
    bool dead = !m.alive && now_ - m.died >= options_.detect;
    bool paused =
        m.paused_until > now_ && m.died && now_ - m.died >= options_.detect;
    bool apart = viewer != other && is_apart(viewer, other) &&
                 now_ - split_at_ >= noticed;
    return !dead && !paused && !apart && !m.leaving;
}

/* What every node believes of the members, each a little later. */
void
request_fleet::views()
{
    mv_deployment_t *d = deployments_.back();
    std::uniform_int_distribution<mv_time_t> late(0, 300 * MV_MILLISECOND);
    for (auto &viewer : members_) {
        std::vector<mv_request_member_t> live;
        for (auto &m : members_) {
            if (believes_live(viewer.first, m.first)) {
                std::string dc =
                    "dc" + std::to_string(m.first % options_.data_centres);
                live.push_back({m.first, m.second->incarnation,
                                MvDataCentre_Hash(dc.c_str())});
            }
        }
        mv_node_id_t id = viewer.first;
        uint32_t incarnation = viewer.second->incarnation;
        mv_time_t when = now_ == 0 ? now_ : now_ + late(random_);
        at(when, [this, id, incarnation, live, d] {
            apply_view(id, incarnation, live, d);
        });
    }
}

void
request_fleet::later_views()
{
    for (int part = 0; part <= 5; part++) {
        at(now_ + options_.detect - part * 100 * MV_MILLISECOND,
           [this] { views(); });
    }
}

void
request_fleet::split(std::set<unsigned> side)
{
    side_ = std::move(side);
    split_at_ = now_;
    is_cut_ = [this](mv_node_id_t a, mv_node_id_t b) {
        return is_apart(a, b);
    };
    later_views();
}

void
request_fleet::heal()
{
    side_.clear();
    is_cut_ = nullptr;
    at(now_ + MV_SECOND, [this] { views(); });
}

void
request_fleet::apply_view(mv_node_id_t id, uint32_t incarnation,
                          const std::vector<mv_request_member_t> &live,
                          mv_deployment_t *d)
{
    member &one = *members_.at(id);
    if (one.incarnation != incarnation || !one.alive) {
        return;
    }
    if (now_ < one.paused_until) {
        at(one.paused_until, [this, id, incarnation, live, d] {
            apply_view(id, incarnation, live, d);
        });
        return;
    }
    MvRequests_SetView(one.requests, now_, d, live.data(), live.size());
}

void
request_fleet::kill(mv_node_id_t node)
{
    members_.at(node)->alive = false;
    members_.at(node)->died = now_;
    for (auto &a : attempts_) {
        if (a.second.node == node && a.second.outcome == outcome_kind::none) {
            /* Its caller sees the connection break. */
            a.second.outcome = outcome_kind::unknown;
            a.second.ended = now_;
        }
    }
    at(now_ + options_.detect, [this] { views(); });
}

void
request_fleet::restart(mv_node_id_t node)
{
    start_member(node);
    at(now_ + 300 * MV_MILLISECOND, [this] { views(); });
}

void
request_fleet::leave(mv_node_id_t node)
{
    member &m = *members_.at(node);
    MvRequests_Leave(m.requests, now_);
    at(now_ + 50 * MV_MILLISECOND, [this, node] {
        members_.at(node)->leaving = true;
        views();
    });
    uint32_t incarnation = m.incarnation;
    at(now_ + 500 * MV_MILLISECOND, [this, node, incarnation] {
        if (members_.at(node)->incarnation == incarnation) {
            MvRequests_Stop(members_.at(node)->requests);
        }
    });
}

void
request_fleet::pause(mv_node_id_t node, mv_time_t duration)
{
    member &m = *members_.at(node);
    m.paused_until = now_ + duration;
    m.died = now_;
    at(now_ + options_.detect, [this] { views(); });
    uint32_t incarnation = m.incarnation;
    at(now_ + duration + 1, [this, node, incarnation] {
        if (members_.at(node)->incarnation == incarnation) {
            members_.at(node)->died = 0;
            views();
        }
    });
}

void
request_fleet::drain(uint16_t endpoint)
{
    leaving_.insert(endpoint);
    deployments_.push_back(
        make(inject_ignored_drain ? std::set<uint16_t>{} : leaving_));
    views();
}

void
request_fleet::cut(std::function<bool(mv_node_id_t, mv_node_id_t)> is_cut)
{
    is_cut_ = std::move(is_cut);
}

std::vector<mv_node_id_t>
request_fleet::live() const
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
request_fleet::submit(mv_node_id_t node, unsigned work, const std::string &who,
                      const std::string &key, mv_time_t patience)
{
    member &m = *members_.at(node);
    const work_spec &spec = options_.works[work];
    uint64_t id = ++next_id_;
    attempt &a = attempts_[id];
    a.id = id;
    a.node = node;
    a.key = key;
    a.work = work;
    a.member = who;
    a.non_idempotent = spec.non_idempotent;
    a.sent = now_;
    mv_request_info_t info = {id,
                              "booking",
                              spec.non_idempotent ? "POST" : "GET",
                              spec.path,
                              a.member.c_str(),
                              a.key.c_str(),
                              now_ + patience};
    if (!m.alive) {
        a.outcome = outcome_kind::not_run;
        return id;
    }
    if (now_ < m.paused_until) {
        uint32_t incarnation = m.incarnation;
        at(m.paused_until + 1, [this, node, id, info, incarnation, work] {
            member &again = *members_.at(node);
            if (again.incarnation == incarnation && again.alive) {
                attempt &one = attempts_[id];
                mv_request_info_t copy = info;
                copy.path = options_.works[work].path;
                copy.member = one.member.c_str();
                copy.key = one.key.c_str();
                MvRequests_Submit(again.requests, now_, &copy);
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
request_fleet::load(double rate, unsigned work,
                    std::function<std::string()> who, mv_time_t patience,
                    mv_time_t until, bool keyed)
{
    std::exponential_distribution<double> gap(rate);
    mv_time_t when = now_ + (mv_time_t)(gap(random_) * MV_SECOND);
    if (when >= until) {
        return;
    }
    at(when, [this, rate, work, who, patience, until, keyed] {
        auto ids = live();
        if (!ids.empty()) {
            std::string key =
                keyed ? "key-" + std::to_string(next_id_ + 1) : "";
            submit(ids[random_() % ids.size()], work, who(), key, patience);
        }
        load(rate, work, who, patience, until, keyed);
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
    at(now_ + backend_delay(node, endpoint),
       [this, node, id, endpoint] { arrive(node, id, endpoint); });
}

/* The backend server accepts the cancellation: its run ends. */
void
request_fleet::cancel_run(mv_node_id_t node, uint64_t id)
{
    if (!cancel_ends_runs) {
        return;
    }
    uint16_t endpoint = attempts_[id].endpoint;
    at(now_ + backend_delay(node, endpoint), [this, endpoint, id] {
        cancelled_.insert(id);
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
    server::waiting w = it->second;
    s.runs.erase(it);
    account(endpoint);
    s.running--;
    bool lost =
        s.broken || cancelled_.count(w.id) || is_apart(w.node, endpoint);
    mv_dispatch_result_t result =
        lost ? MV_RESULT_INTERRUPTED : MV_RESULT_COMPLETE;
    at(now_ + backend_delay(w.node, endpoint),
       [this, w, result] { answered(w.node, w.incarnation, w.id, result); });
    start_next(endpoint);
}

void
request_fleet::break_endpoint(uint16_t endpoint)
{
    server &s = servers_[endpoint];
    s.broken = true;
    /* What runs there runs on, but its answers are lost. */
}

void
request_fleet::mend_endpoint(uint16_t endpoint)
{
    servers_[endpoint].broken = false;
}

void
request_fleet::answered(mv_node_id_t node, uint64_t incarnation, uint64_t id,
                        mv_dispatch_result_t result)
{
    member &m = *members_.at(node);
    if (!m.alive || m.incarnation != incarnation) {
        return;
    }
    if (now_ < m.paused_until) {
        at(m.paused_until + 1, [this, node, incarnation, id, result] {
            answered(node, incarnation, id, result);
        });
        return;
    }
    attempt &a = attempts_[id];
    std::string text =
        "answer-" + (a.key.empty() ? std::to_string(id) : a.key);
    if (inject_wrong_answer && id % 50 == 0) {
        text = "answer-of-another";
    }
    bool give = MvRequests_CompleteDispatch(m.requests, now_, id, result,
                                            text.data(), text.size());
    if (give) {
        a.outcome = outcome_kind::answer;
        a.answer = text;
        a.ended = now_;
    }
    if (give && inject_false_not_run && id % 50 == 0) {
        a.outcome = outcome_kind::not_run;
    }
}

void
request_fleet::arrive(mv_node_id_t node, uint64_t id, uint16_t endpoint)
{
    server &s = servers_[endpoint];
    uint32_t incarnation = members_.at(node)->incarnation;
    if (s.broken || is_apart(node, endpoint)) {
        mv_dispatch_result_t result =
            random_() % 2 ? MV_RESULT_NOT_PROCESSED : MV_RESULT_UNREACHABLE;
        at(now_ + backend_delay(node, endpoint),
           [this, node, incarnation, id, result] {
               answered(node, incarnation, id, result);
           });
        return;
    }
    s.queue.push_back({node, incarnation, id});
    if (inject_double_run && id % 50 == 0) {
        s.queue.push_back({node, incarnation, id});
    }
    unsigned together = s.running + (unsigned)s.queue.size();
    if (inject_overrun && id % 50 == 0) {
        together += s.slots;
    }
    if (together > s.slots) {
        overruns_++;
        max_overrun_ = std::max(max_overrun_, together - s.slots);
    }
    start_next(endpoint);
}

void
request_fleet::start_next(uint16_t endpoint)
{
    server &s = servers_[endpoint];
    while (s.running < s.slots && !s.queue.empty()) {
        auto w = s.queue.front();
        s.queue.erase(s.queue.begin());
        attempt &a = attempts_[w.id];
        a.runs++;
        a.started = now_;
        s.last_start = now_;
        if (!a.key.empty()) {
            runs_[a.key]++;
        }
        account(endpoint);
        s.running++;
        std::exponential_distribution<double> d(1.0 / options_.service_ms);
        double ms = d(random_);
        a.run_ms = ms;
        uint64_t run = ++next_run_;
        s.runs[run] = w;
        at(now_ + (mv_time_t)(ms * MV_MILLISECOND),
           [this, endpoint, run] { end_run(endpoint, run); });
    }
}

void
request_fleet::account(uint16_t endpoint)
{
    server &s = servers_[endpoint];
    busy_[endpoint] += (double)(now_ - s.accounted) * s.running;
    s.accounted = now_;
}

const std::vector<double> &
request_fleet::busy()
{
    for (uint16_t e = 1; e <= options_.endpoints; e++) {
        account(e);
    }
    return busy_;
}

void
request_fleet::reset_busy()
{
    busy();
    std::fill(busy_.begin(), busy_.end(), 0.0);
}

mv_time_t
request_fleet::last_start(uint16_t endpoint) const
{
    return servers_[endpoint].last_start;
}

double
jain_index(const std::vector<double> &got)
{
    double sum = 0;
    double squares = 0;
    for (double g : got) {
        sum += g;
        squares += g * g;
    }
    return sum * sum / ((double)got.size() * squares);
}

/* The checker */

std::vector<std::string>
check_history(request_fleet &fleet, bool members_agreed)
{
    std::vector<std::string> wrong;
    auto add = [&](const attempt &a, const char *what) {
        wrong.push_back("attempt " + std::to_string(a.id) + " key '" + a.key +
                        "': " + what);
    };
    for (auto &pair : fleet.attempts()) {
        const attempt &a = pair.second;
        if (a.outcome == outcome_kind::none) {
            add(a, "has no outcome");
        }
        if (a.outcome == outcome_kind::not_run && a.runs > 0) {
            add(a, "was told not run, but ran");
        }
        if (a.non_idempotent && a.runs > 1) {
            add(a, "ran more than once");
        }
        std::string own =
            "answer-" + (a.key.empty() ? std::to_string(a.id) : a.key);
        bool answered = a.outcome == outcome_kind::answer ||
                        a.outcome == outcome_kind::replay;
        if (answered && a.answer != own) {
            add(a, "got another answer");
        }
    }
    for (auto &run : fleet.runs()) {
        if (run.second > 1) {
            wrong.push_back("key '" + run.first + "' ran " +
                            std::to_string(run.second) + " times");
        }
    }
    if (members_agreed && fleet.overruns() > 0) {
        wrong.push_back("slots overrun " + std::to_string(fleet.overruns()) +
                        " times while members agreed");
    }
    return wrong;
}
