#include "fleet.h"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <cstring>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <sstream>

namespace {

const mv_time_t kWallStart = 1800000000LL * MV_SECOND;
const mv_time_t kMaxTimerLag = 20 * MV_MILLISECOND;
const mv_time_t kStoreRetryInterval = 2 * MV_SECOND;
const mv_time_t kTimerInterval = 50 * MV_MILLISECOND;

std::shared_ptr<mv_message_t>
copy_message(const mv_message_t *m)
{
    auto *copy = new mv_message_t(*m);
    copy->members = static_cast<mv_member_update_t *>(
        g_memdup2(m->members, m->member_count * sizeof(*m->members)));
    copy->buckets = static_cast<mv_bucket_update_t *>(
        g_memdup2(m->buckets, m->bucket_count * sizeof(*m->buckets)));
    copy->flows = static_cast<mv_flow_record_t *>(
        g_memdup2(m->flows, m->flow_count * sizeof(*m->flows)));
    copy->loads = static_cast<mv_load_record_t *>(
        g_memdup2(m->loads, m->load_count * sizeof(*m->loads)));
    copy->blob = static_cast<char *>(g_memdup2(m->blob, m->blob_length));
    return {copy, [](mv_message_t *p) {
                g_free(p->members);
                g_free(p->buckets);
                g_free(p->flows);
                g_free(p->loads);
                g_free(p->blob);
                delete p;
            }};
}

} // namespace

struct fleet::member {
    mv_effects_t effects;
    fleet *owner;
    mv_node_id_t id;
    uint64_t incarnation;
    mv_node_t *node = nullptr;
    mv_reader_t *reader = nullptr;
    mv_counters_t counters = {};
    bool in_fabric = true;
    bool alive = true;
    mv_time_t paused_until = 0;
    mv_time_t next_read = 0;
    mv_time_t streams_delayed_until = 0;
    mv_time_t config_delay = 0;
    mv_time_t started = 0;
    std::map<mv_node_id_t, mv_time_t> last_arrival;
    ~member()
    {
        MvNode_Destroy(node);
    }
};

fleet::fleet(const fleet_options &options)
    : options_(options), random_(options.seed),
      grand_(g_rand_new_with_seed((guint32)options.seed))
{
    accept_deployment(make_deployment());
    for (unsigned i = 1; i <= options.nodes; i++) {
        start_node((mv_node_id_t)i);
    }
}

fleet::~fleet()
{
    members_.clear();
    for (auto &v : versions_) {
        MvDeployment_Unref(v.second);
    }
    g_rand_free(grand_);
}

/* Deployments */

static void
fill_service(mv_service_t *service, uint16_t id, unsigned endpoints,
             const mv_service_t *before)
{
    service->id = id;
    g_snprintf(service->name, MV_NAME_MAX, "service%u", id);
    service->address = 0x0a000000u + id;
    service->port = 443;
    service->endpoint_count = (uint16_t)endpoints;
    service->last_endpoint_id = (uint16_t)endpoints;
    service->endpoints = g_new0(mv_endpoint_t, endpoints);
    for (unsigned e = 0; e < endpoints; e++) {
        mv_endpoint_t *endpoint = &service->endpoints[e];
        if (before && e < before->endpoint_count) {
            *endpoint = before->endpoints[e];
            continue;
        }
        endpoint->id = (uint16_t)(e + 1);
        endpoint->address = (uint32_t)(0x0b000000u + id * 256 + e + 1);
        endpoint->packet_port = 5555;
        endpoint->slots = 2;
        endpoint->connection_limit = 2000;
    }
    service->bucket_count = before
                                ? before->bucket_count
                                : MvService_BucketCount((uint16_t)endpoints);
    service->before = g_new(uint16_t, service->bucket_count);
    service->target = g_new(uint16_t, service->bucket_count);
    for (unsigned b = 0; b < service->bucket_count; b++) {
        service->before[b] = before ? before->target[b] : MV_NO_ENDPOINT;
    }
}

mv_deployment_t *
fleet::make_deployment(unsigned, unsigned extra)
{
    mv_deployment_t *d = g_new0(mv_deployment_t, 1);
    d->references = 1;
    d->version = accepted_ ? accepted_->version + 1 : 1;
    d->accepted_at = (now_ + kWallStart) / MV_SECOND;
    d->flow_idle_seconds = options_.idle_seconds;
    d->service_count = 2;
    d->services = g_new0(mv_service_t, 2);
    g_snprintf(d->change_id, sizeof(d->change_id), "change-%d",
               (int)d->version);
    const mv_service_t *old = accepted_ ? accepted_->services : nullptr;
    unsigned first =
        (old ? old[0].endpoint_count : options_.endpoints) + extra;
    fill_service(&d->services[0], 1, first, old ? &old[0] : nullptr);
    fill_service(&d->services[1], 2,
                 old ? old[1].endpoint_count
                     : options_.endpoints_of_second_service,
                 old ? &old[1] : nullptr);
    return d;
}

void
fleet::accept_deployment(mv_deployment_t *d)
{
    for (int s = 0; s < d->service_count; s++) {
        MvService_Rebalance(&d->services[s], (now_ + kWallStart) / MV_SECOND);
        if (!accepted_) {
            memcpy(d->services[s].before, d->services[s].target,
                   d->services[s].bucket_count * sizeof(uint16_t));
        }
    }
    for (int n = 0; n < d->service_count; n++) {
        for (int e = 0; e < d->services[n].endpoint_count; e++) {
            d->services[n].endpoints[e].connection_limit =
                options_.connection_limit;
        }
    }
    d->services[0].endpoints[0].connection_limit =
        options_.first_connection_limit;
    versions_[d->version] = d;
    accepted_ = d;
    /* Store watchers read it from the store and send it to the other nodes. */
    for (auto &m : members_) {
        if (m.second->alive && MvNode_IsWatcher(m.second->node)) {
            read_store(m.first, m.second->incarnation);
        }
    }
}

/* As in the daemon, a node applies what it reads from the store only while it
 * is a watcher or has no configuration. */
void
fleet::read_store(mv_node_id_t id, uint64_t incarnation)
{
    schedule(now_ + options_.store_delay, [this, id, incarnation] {
        auto it = members_.find(id);
        if (it == members_.end() || it->second->incarnation != incarnation ||
            !it->second->alive || now_ < it->second->paused_until ||
            (is_store_reachable_ && !is_store_reachable_(id))) {
            return;
        }
        mv_node_t *node = it->second->node;
        if (!MvNode_Deployment(node) || MvNode_IsWatcher(node)) {
            MvNode_Config(node, now_, accepted_);
        }
    });
}

void
fleet::set_store_reachable(std::function<bool(mv_node_id_t)> is_reachable)
{
    is_store_reachable_ = std::move(is_reachable);
}

void
fleet::drain(uint16_t service, uint16_t endpoint)
{
    retire(service, endpoint, 0, 0);
}

void
fleet::retire(uint16_t service, uint16_t endpoint, mv_time_t leaves_in,
              mv_time_t ends_in)
{
    mv_deployment_t *d = make_deployment();
    mv_endpoint_t *retiring =
        &d->services[service - 1].endpoints[endpoint - 1];
    retiring->leaves_at = (now_ + kWallStart + leaves_in) / MV_SECOND;
    retiring->ends_at =
        ends_in ? (now_ + kWallStart + ends_in) / MV_SECOND : 0;
    accept_deployment(d);
}

void
fleet::remove_last_endpoint(uint16_t service)
{
    mv_deployment_t *d = make_deployment();
    d->services[service - 1].endpoint_count--;
    accept_deployment(d);
}

void
fleet::add_endpoint(uint16_t service)
{
    (void)service;
    accept_deployment(make_deployment(0, 1));
}

/* Nodes */

void
fleet::effect_send(mv_effects_t *effects, mv_node_id_t to,
                   const mv_message_t *message)
{
    auto *m = reinterpret_cast<member *>(effects);
    m->owner->send(m->id, to, message);
}

char *
fleet::effect_encode(mv_effects_t *, const mv_deployment_t *deployment,
                     uint64_t since, size_t *length)
{
    std::string text =
        std::to_string(deployment->version) + " " + std::to_string(since);
    *length = text.size();
    return strdup(text.c_str());
}

/* An incremental encoding needs its base version or a later one. */
mv_deployment_t *
fleet::effect_decode(mv_effects_t *effects, const char *bytes, size_t length,
                     const mv_deployment_t *base)
{
    auto *m = reinterpret_cast<member *>(effects);
    uint64_t version = 0;
    uint64_t since = 0;
    std::istringstream(std::string(bytes, length)) >> version >> since;
    if (since > (base ? base->version : 0)) {
        return nullptr;
    }
    return MvDeployment_Ref(m->owner->versions_.at(version));
}

void
fleet::effect_event(mv_effects_t *effects, mv_log_event_t event,
                    mv_node_id_t about, uint64_t detail)
{
    auto *m = reinterpret_cast<member *>(effects);
    if (m->owner->on_event) {
        m->owner->on_event(event, about, detail);
    }
}

void
fleet::start_node(mv_node_id_t id)
{
    auto m = std::make_unique<member>();
    std::vector<mv_node_id_t> peers;
    for (unsigned i = 1; i <= options_.nodes; i++) {
        if (i != id) {
            peers.push_back((mv_node_id_t)i);
        }
    }
    static const mv_effects_ops_t table = {effect_send, effect_encode,
                                           effect_decode, effect_event};
    m->effects.ops = &table;
    m->owner = this;
    m->id = id;
    m->incarnation = ++order_;
    m->started = now_;
    mv_node_settings_t settings = MvNodeSettings_Default(id);
    settings.data_centre = 1 + id % options_.data_centres;
    settings.peers = peers.data();
    settings.peer_count = peers.size();
    settings.balance_limit_percent = options_.balance_limit_percent;
    settings.flow_capacity = options_.flow_capacity;
    uint64_t incarnation = m->incarnation;
    member *started = m.get();
    members_[id] = std::move(m);
    started->node =
        MvNode_Create(&settings, &started->effects, &started->counters, grand_,
                      now_ + kWallStart, now_);
    started->reader = MvNode_AddReader(started->node);
    started->in_fabric = now_ == 0;
    read_store(id, incarnation);
    if (now_ > 0) {
        /* The fabric adds a node 4 s after its start. */
        schedule(now_ + 4 * MV_SECOND, [this, id, incarnation] {
            auto it = members_.find(id);
            if (it != members_.end() &&
                it->second->incarnation == incarnation) {
                it->second->in_fabric = true;
            }
        });
    }
    schedule(now_ + delay(),
             [this, id, incarnation] { run_timer(id, incarnation); });
}

void
fleet::run_timer(mv_node_id_t id, uint64_t incarnation)
{
    auto it = members_.find(id);
    if (it == members_.end() || it->second->incarnation != incarnation ||
        !it->second->alive) {
        return;
    }
    member &m = *it->second;
    if (now_ < m.paused_until) {
        schedule(m.paused_until,
                 [this, id, incarnation] { run_timer(id, incarnation); });
        return;
    }
    /* The control thread may have read the time before packets that are
     * handled already. */
    mv_time_t lag = (mv_time_t)(random_() % (uint64_t)kMaxTimerLag);
    MvNode_Timer(m.node, now_ - lag);
    if (accepted_ && now_ >= m.next_read) {
        /* Reads the store again in case a watch failed. */
        m.next_read = now_ + kStoreRetryInterval;
        read_store(id, incarnation);
    }
    if (MvNode_Stopped(m.node)) {
        m.alive = false;
        m.in_fabric = false;
        return;
    }
    schedule(now_ + kTimerInterval,
             [this, id, incarnation] { run_timer(id, incarnation); });
}

void
fleet::stop_node(mv_node_id_t id)
{
    MvNode_Stop(members_.at(id)->node, now_);
    uint64_t incarnation = members_.at(id)->incarnation;
    /* The fabric removes the node 500 ms after its stop. */
    schedule(now_ + 500 * MV_MILLISECOND, [this, id, incarnation] {
        if (members_.at(id)->incarnation == incarnation) {
            members_.at(id)->in_fabric = false;
        }
    });
}

void
fleet::crash_node(mv_node_id_t id)
{
    members_.at(id)->alive = false;
    members_.at(id)->in_fabric = false;
}

void
fleet::pause_control(mv_node_id_t id, mv_time_t duration)
{
    members_.at(id)->paused_until = now_ + duration;
}

void
fleet::delay_config(mv_node_id_t id, mv_time_t delay)
{
    members_.at(id)->config_delay = delay;
}

void
fleet::delay_streams(mv_node_id_t id, mv_time_t duration)
{
    members_.at(id)->streams_delayed_until = now_ + duration;
}

void
fleet::set_partition(std::function<bool(mv_node_id_t, mv_node_id_t)> is_cut)
{
    is_cut_ = std::move(is_cut);
}

uint64_t
fleet::incarnation(mv_node_id_t id) const
{
    return members_.at(id)->incarnation;
}

mv_node_t *
fleet::node(mv_node_id_t id)
{
    return members_.at(id)->node;
}

std::vector<mv_node_id_t>
fleet::live_nodes() const
{
    std::vector<mv_node_id_t> ids;
    for (auto &m : members_) {
        if (m.second->alive) {
            ids.push_back(m.first);
        }
    }
    return ids;
}

void
fleet::fail_endpoint(uint16_t service, uint16_t endpoint)
{
    failed_endpoints_.insert({service, endpoint});
}

void
fleet::restore_endpoint(uint16_t service, uint16_t endpoint)
{
    failed_endpoints_.erase({service, endpoint});
}

/* Network */

mv_time_t
fleet::delay()
{
    std::uniform_int_distribution<mv_time_t> d(options_.min_delay,
                                               options_.max_delay);
    return d(random_);
}

void
fleet::schedule(mv_time_t when, std::function<void()> run)
{
    events_.push({std::max(when, now_), order_++, std::move(run)});
}

void
fleet::send(mv_node_id_t from, mv_node_id_t to, const mv_message_t *message)
{
    bool datagram = MvMessage_IsDatagram(message);
    std::uniform_real_distribution<double> chance(0, 1);
    totals_.messages++;
    if (encoded_size) {
        totals_.control_bytes += encoded_size(message);
    }
    if ((is_cut_ && is_cut_(from, to)) ||
        (datagram && chance(random_) < options_.datagram_loss)) {
        return;
    }
    auto copy = copy_message(message);
    if (datagram && now_ > 0 && members_.count(from) &&
        members_.at(from)->started > 0 &&
        now_ - members_.at(from)->started < options_.datagram_loss_at_start) {
        return;
    }
    mv_time_t arrival = now_ + delay();
    if (!datagram && members_.count(to) && now_ > 0 &&
        now_ - members_.at(to)->started < options_.stream_loss_at_start) {
        return;
    }
    if (!datagram && members_.count(to)) {
        /* A stream keeps its order. */
        mv_time_t &last = members_.at(to)->last_arrival[from];
        arrival = std::max(
            {arrival, last + 1, members_.at(to)->streams_delayed_until});
        last = arrival;
    }
    schedule(arrival, [this, to, copy] { deliver(to, copy); });
}

void
fleet::deliver(mv_node_id_t to, std::shared_ptr<mv_message_t> message)
{
    auto it = members_.find(to);
    if (it == members_.end() || !it->second->alive) {
        return;
    }
    member &m = *it->second;
    if (now_ < m.paused_until) {
        schedule(m.paused_until,
                 [this, to, message] { deliver(to, message); });
        return;
    }
    if (message->kind == MV_MESSAGE_CONFIG && m.config_delay > 0) {
        mv_time_t config_delay = m.config_delay;
        schedule(now_ + config_delay, [this, to, message] {
            auto receiver = members_.find(to);
            if (receiver != members_.end() && receiver->second->alive) {
                MvNode_Message(receiver->second->node, now_, message.get());
            }
        });
        return;
    }
    MvNode_Message(m.node, now_, message.get());
}

void
fleet::run_until(mv_time_t until)
{
    while (!events_.empty() && events_.top().at <= until) {
        event e = events_.top();
        events_.pop();
        now_ = e.at;
        e.run();
    }
    now_ = until;
}

void
fleet::run_for(mv_time_t duration)
{
    run_until(now_ + duration);
}

/* Flows */

void
fleet::start_traffic(double rate, double seconds, mv_time_t packet_gap)
{
    flows_per_second_ = rate;
    mean_flow_seconds_ = seconds;
    packet_gap_ = packet_gap;
    has_traffic_ = true;
    open_flow();
}

void
fleet::stop_traffic()
{
    has_traffic_ = false;
}

void
fleet::open_flow()
{
    if (!has_traffic_) {
        return;
    }
    std::exponential_distribution<double> duration(1.0 / mean_flow_seconds_);
    std::exponential_distribution<double> gap(flows_per_second_);
    uint32_t number = next_flow_++;
    flow &f = flows_[number];
    f.number = number;
    /* Flows are divided between the services by their numbers of endpoints. */
    unsigned endpoint_total =
        options_.endpoints + options_.endpoints_of_second_service;
    f.service = number % endpoint_total < options_.endpoints ? 1 : 2;
    f.ends = now_ + (mv_time_t)(duration(random_) * MV_SECOND);
    f.open = true;
    totals_.opened++;
    send_packet(f, true, false);
    schedule(now_ + 10 * MV_MILLISECOND,
             [this, number] { advance_flow(number); });
    schedule(now_ + (mv_time_t)(gap(random_) * MV_SECOND),
             [this] { open_flow(); });
}

void
fleet::advance_flow(uint32_t number)
{
    auto it = flows_.find(number);
    if (it == flows_.end()) {
        return;
    }
    flow &f = it->second;
    bool fin = now_ >= f.ends;
    bool unanswered = f.endpoint == MV_NO_ENDPOINT;
    if (unanswered) {
        /* The caller retransmits its SYN at most 4 times. */
        fin = fin || ++f.syn_retries > 4;
        if (!fin) {
            send_packet(f, true, false);
            schedule(now_ + MV_SECOND,
                     [this, number] { advance_flow(number); });
            return;
        }
    }
    else if (!f.broken) {
        send_packet(f, false, fin);
    }
    if (fin || f.broken) {
        if (f.endpoint != MV_NO_ENDPOINT) {
            open_[{f.service, f.endpoint}]--;
        }
        flows_.erase(it);
        return;
    }
    schedule(now_ + packet_gap_, [this, number] { advance_flow(number); });
}

void
fleet::break_flow(flow &f, const std::string &why)
{
    if (f.broken) {
        return;
    }
    f.broken = true;
    totals_.broken_flows++;
    totals_.broken_marked_flows += f.number < first_unmarked_flow_;
    if (on_broken_flow) {
        on_broken_flow(f, why);
    }
}

static void
make_packet(uint8_t bytes[40], uint32_t number, uint16_t service, bool syn,
            bool fin)
{
    struct iphdr ip = {};
    struct tcphdr tcp = {};
    ip.version = 4;
    ip.ihl = 5;
    ip.tot_len = htons(40);
    ip.protocol = IPPROTO_TCP;
    ip.saddr = htonl(0x64000000u + number / 50000);
    ip.daddr = htonl(0x0a000000u + service);
    tcp.source = htons((uint16_t)(1024 + number % 50000));
    tcp.dest = htons(443);
    tcp.syn = syn;
    tcp.ack = !syn;
    tcp.fin = fin;
    memcpy(bytes, &ip, sizeof(ip));
    memcpy(bytes + sizeof(ip), &tcp, sizeof(tcp));
}

double
fleet::measure_decision_ns(unsigned count, bool moving)
{
    member *m = members_.begin()->second.get();
    std::vector<std::array<uint8_t, 40>> packets;
    for (uint32_t n = 0; packets.size() < 4096; n++) {
        std::array<uint8_t, 40> bytes;
        make_packet(bytes.data(), n, 1, false, false);
        uint64_t before =
            MvCounters_Get(&m->counters, MV_COUNTER_FLOW_ENTRIES_RECORDED);
        MvNode_Packet(m->node, m->reader, now_, bytes.data(), 40, 0);
        bool recorded =
            MvCounters_Get(&m->counters, MV_COUNTER_FLOW_ENTRIES_RECORDED) >
            before;
        if (recorded == moving) {
            packets.push_back(bytes);
        }
    }
    auto start = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < count; i++) {
        MvNode_Packet(m->node, m->reader, now_, packets[i % 4096].data(), 40,
                      0);
    }
    std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start;
    return elapsed.count() / count;
}

void
fleet::send_packet(flow &f, bool syn, bool fin)
{
    uint8_t bytes[40];
    make_packet(bytes, f.number, f.service, syn, fin);
    std::vector<member *> candidates;
    for (auto &m : members_) {
        if (m.second->alive && m.second->in_fabric) {
            candidates.push_back(m.second.get());
        }
    }
    totals_.packets++;
    if (candidates.empty()) {
        totals_.dropped++;
        return;
    }
    member *m = candidates[random_() % candidates.size()];
    uint8_t hops = 0;
    for (;;) {
        mv_verdict_t v = MvNode_Packet(m->node, m->reader, now_, bytes,
                                       sizeof(bytes), hops);
        if (v.kind == MV_VERDICT_DROP) {
            totals_.dropped++;
            break_flow(f, "dropped at node " + std::to_string(m->id));
            return;
        }
        if (v.kind == MV_VERDICT_RELAY) {
            totals_.relays++;
            hops = v.hops;
            totals_.max_hops = std::max<uint64_t>(totals_.max_hops, hops);
            auto it = members_.find(v.node);
            bool lost = is_cut_ && is_cut_(m->id, v.node);
            if (lost || it == members_.end() || !it->second->alive) {
                /* Lost on the way to a node that is dead or partitioned.  TCP
                 * would retransmit it; here the flow's next packet stands for
                 * the retransmission. */
                totals_.dropped++;
                return;
            }
            m = it->second.get();
            continue;
        }
        if (v.service != f.service) {
            totals_.wrong_service++;
            return;
        }
        if (failed_endpoints_.count({v.service, v.endpoint})) {
            totals_.packets_to_dead_endpoint++;
            totals_.unanswered += syn && f.syn_retries == 0;
            if (f.endpoint == v.endpoint) {
                break_flow(f, "endpoint dead");
            }
            return;
        }
        if (f.endpoint == MV_NO_ENDPOINT && !syn) {
            return; /* The SYN was lost; the caller will retransmit it. */
        }
        if (f.endpoint == MV_NO_ENDPOINT) {
            f.endpoint = v.endpoint;
            open_[{f.service, f.endpoint}]++;
            last_new_[{f.service, f.endpoint}] = now_;
        }
        else if (f.endpoint != v.endpoint) {
            break_flow(f, "node " + std::to_string(m->id) + " hops " +
                              std::to_string(hops) + " sent to endpoint " +
                              std::to_string(v.endpoint) + " instead of " +
                              std::to_string(f.endpoint));
        }
        return;
    }
}

std::vector<int64_t>
fleet::open_by_endpoint(uint16_t service) const
{
    std::vector<int64_t> counts;
    const mv_service_t *s = &accepted_->services[service - 1];
    for (int e = 0; e < s->endpoint_count; e++) {
        auto it = open_.find({service, s->endpoints[e].id});
        counts.push_back(it == open_.end() ? 0 : it->second);
    }
    return counts;
}

double
fleet::imbalance(uint16_t service) const
{
    auto counts = open_by_endpoint(service);
    const mv_service_t *s = &accepted_->services[service - 1];
    double sum = 0;
    double most = 0;
    unsigned remaining = 0;
    for (size_t e = 0; e < counts.size(); e++) {
        if (s->endpoints[e].leaves_at) {
            continue;
        }
        sum += (double)counts[e];
        most = std::max(most, (double)counts[e]);
        remaining++;
    }
    return sum > 0 ? most * remaining / sum : 1;
}

size_t
fleet::open_flows() const
{
    return flows_.size();
}

mv_time_t
fleet::last_new_flow(uint16_t service, uint16_t endpoint) const
{
    auto it = last_new_.find({service, endpoint});
    return it == last_new_.end() ? -1 : it->second;
}

size_t
fleet::flow_entries() const
{
    size_t sum = 0;
    for (auto &m : members_) {
        if (m.second->alive) {
            sum += MvNode_FlowCount(m.second->node);
        }
    }
    return sum;
}
