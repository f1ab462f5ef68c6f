/* A flow has one owner, and every node that may get its packets can tell
 * which: callers and servers with their retransmissions, on a network that
 * loses, delays and doubles packets, while nodes are stopped, killed and
 * started. */
#include <gtest/gtest.h>

#include <functional>
#include <memory>

#include "tags_world.h"

namespace {

const int kNodes = 3;
const uint64_t kServers = 6;
const uint32_t kSeeds = 8;
const mv_time_t kDay = 40 * MV_SECOND;
/* Interval at which a caller opens a flow. */
const mv_time_t kFlowInterval = 40 * MV_MILLISECOND;
const mv_time_t kSynTimes[] = {0, 200 * MV_MILLISECOND, 600 * MV_MILLISECOND};
const mv_time_t kOpeningTime = 1400 * MV_MILLISECOND;
/* Intervals between retransmissions of both ends. */
const mv_time_t kRetransmissions[] = {
    200 * MV_MILLISECOND,  400 * MV_MILLISECOND,  800 * MV_MILLISECOND,
    1600 * MV_MILLISECOND, 1600 * MV_MILLISECOND, 1600 * MV_MILLISECOND,
    1600 * MV_MILLISECOND, 1600 * MV_MILLISECOND};
const mv_time_t kMaxPause = 5 * MV_SECOND;
const int kRequests = 3;
/* Time that a message takes from the traffic thread of one node to that of
 * another. */
const mv_time_t kMessageTime = 4 * MV_MILLISECOND;
/* A node that is stopped still handles packets for this long. */
const mv_time_t kStopTime = 1400 * MV_MILLISECOND;
const mv_time_t kMaxPauseOfNode = 5 * MV_SECOND;
/* Time until the fabric notices that a node was killed or is paused. */
const mv_time_t kProbeTime = MV_SECOND;

struct troubles_t {
    const char *name;
    double lost;
    double doubled;
    mv_time_t max_delay;
    mv_time_t max_stall; /* of a server */
    bool stops;
    bool kills;
    bool pauses;
};

struct flow_t {
    enum { OPENING, OPEN, ENDED } state = OPENING;
    uint64_t server = 0; /* whose answer the caller accepted */
    uint32_t tag = 0;    /* last one that the caller received */
    int requests = 0;
    int answers = 0;
    bool is_open_at_server = false;
};

struct half_open_t {
    uint32_t tag;
    bool is_open;
};

struct server_t {
    uint32_t tag;
    mv_time_t stalled_until = 0;
    std::map<uint16_t, half_open_t> flows;
};

struct node_t {
    std::unique_ptr<tags_world> world;
    bool is_in_rotation = false;
    bool is_paused = false;
    /* Packets that arrive while it is paused. */
    std::vector<std::function<void()>> socket;
};

struct deployment {
    deployment(const troubles_t &kinds, uint32_t seed)
        : troubles(kinds), random(g_rand_new_with_seed(seed)), nodes(kNodes)
    {
        for (node_t &node : nodes) {
            start(node);
            node.is_in_rotation = true;
        }
        for (uint64_t id = 1; id <= kServers; id++) {
            mv_server_t server = nodes[0].world->server(id, "booking", "casa");
            servers[id].tag = MvServer_Tag(&server);
        }
    }
    ~deployment()
    {
        g_rand_free(random);
    }

    bool
    happens(double probability)
    {
        return g_rand_double(random) < probability;
    }

    mv_time_t
    draw(mv_time_t max)
    {
        return max > 0 ? g_rand_int_range(random, 0, (gint32)max) : 0;
    }

    void
    after(mv_time_t delay, std::function<void()> action)
    {
        events.emplace(now + delay, std::move(action));
    }

    void
    fail(uint16_t port, const std::string &what)
    {
        failures.push_back("flow " + std::to_string(port) + " at " +
                           std::to_string(now / MV_MILLISECOND) +
                           " ms: " + what);
    }

    /* The network: each datagram may be lost, late or doubled. */
    void
    transmit(const std::function<void()> &deliver)
    {
        int copies = happens(troubles.doubled) ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (!happens(troubles.lost)) {
                after(MV_MILLISECOND + draw(troubles.max_delay), deliver);
            }
        }
    }

    /* Nodes */

    void
    start(node_t &node)
    {
        node.world = std::make_unique<tags_world>("casa", ++last_seed);
        node.world->now = now;
        for (uint64_t id = 1; id <= kServers; id++) {
            mv_server_t server = node.world->server(id, "booking", "casa");
            server.slots = 8;
            node.world->announce(server);
        }
        node.world->route(1, {{443, "booking"}});
        node.world->publish();
        after(kMessageTime, [this, &node] { ask_openings(node); });
    }

    /* A node that has started asks the others. */
    void
    ask_openings(node_t &node)
    {
        const auto id = (mv_node_id_t)(&node - nodes.data());
        for (node_t &other : nodes) {
            if (!other.world || &other == &node || other.is_paused) {
                continue;
            }
            MvForwarder_RetellOpenings(other.world->forwarder, id);
            const auto told = other.world->retold[id];
            other.world->retold.clear();
            after(kMessageTime, [this, told, &node] {
                deliver(node, [this, told, &node] {
                    MvForwarder_ReceiveOpenings(node.world->forwarder, now,
                                                told.data(), told.size());
                });
            });
        }
    }

    node_t *
    choose_node(uint16_t port)
    {
        std::vector<node_t *> rotation;
        for (node_t &node : nodes) {
            if (node.is_in_rotation) {
                rotation.push_back(&node);
            }
        }
        return rotation.empty() ? nullptr : rotation[port % rotation.size()];
    }

    void
    send_stored_syns(node_t &node)
    {
        std::vector<sent_t> sent;
        sent.swap(node.world->sent);
        for (const sent_t &syn : sent) {
            forward(syn.port(), syn.verdict, true, false);
        }
    }

    /* Messages between nodes may be lost as well. */
    void
    tell_flows(node_t &from)
    {
        std::vector<mv_flow_offer_t> offers;
        std::vector<mv_flow_offer_t> openings;
        offers.swap(from.world->offers);
        openings.swap(from.world->openings);
        tell(from, offers, MvForwarder_ReceiveOffers);
        tell(from, openings, MvForwarder_ReceiveOpenings);
    }

    void
    tell(node_t &from, const std::vector<mv_flow_offer_t> &told,
         decltype(&MvForwarder_ReceiveOffers) receive)
    {
        for (node_t &to : nodes) {
            if (told.empty() || &to == &from || happens(troubles.lost)) {
                continue;
            }
            after(kMessageTime, [this, told, receive, &to] {
                deliver(to, [this, told, receive, &to] {
                    receive(to.world->forwarder, now, told.data(),
                            told.size());
                });
            });
        }
    }

    /* What arrives at a node that is paused waits in its sockets. */
    void
    deliver(node_t &to, const std::function<void()> &action)
    {
        if (to.is_paused) {
            to.socket.push_back(action);
        }
        else if (to.world) {
            action();
        }
    }

    void
    forward(uint16_t port, const mv_flow_verdict_t &verdict, bool has_syn,
            bool has_data)
    {
        const uint64_t id = verdict.server;
        const uint32_t tag = verdict.tag;
        transmit([this, port, id, tag, has_syn, has_data] {
            receive_at_server(port, id, tag, has_syn, has_data);
        });
    }

    void
    receive_at_node(uint16_t port, const mv_flow_packet_t &packet)
    {
        node_t *node = choose_node(port);
        if (!node || !node->world) {
            return;
        }
        if (node->is_paused) {
            const mv_time_t arrived_at = now;
            node->socket.push_back([=] {
                mv_flow_packet_t late = packet;
                late.waited = now - arrived_at;
                handle_packet(*node, port, late);
            });
            return;
        }
        handle_packet(*node, port, packet);
    }

    void
    handle_packet(node_t &node, uint16_t port, const mv_flow_packet_t &packet)
    {
        const flow_t &flow = flows[port];
        mv_flow_verdict_t verdict = node.world->receive(packet, port, 443);
        if (verdict.kind == MV_FLOW_FORWARD) {
            if (!packet.has_syn && flow.is_open_at_server &&
                verdict.server != flow.server) {
                fail(port, "forwarded to another server");
            }
            forward(port, verdict, packet.has_syn, packet.has_data);
        }
        else if (verdict.kind == MV_FLOW_RESET) {
            resets++;
            transmit([this, port] { receive_reset(port); });
        }
    }

    void
    stop(node_t &node)
    {
        node.is_in_rotation = false;
        after(kStopTime, [&node] { node.world.reset(); });
        after(kStopTime + draw(MV_SECOND), [this, &node] {
            start(node);
            node.is_in_rotation = true;
        });
    }

    void
    kill(node_t &node)
    {
        node.world.reset();
        after(kProbeTime, [&node] { node.is_in_rotation = false; });
        after(kProbeTime + draw(MV_SECOND), [this, &node] {
            start(node);
            node.is_in_rotation = true;
        });
    }

    void
    pause(node_t &node)
    {
        const mv_time_t length = draw(kMaxPauseOfNode);
        node.is_paused = true;
        if (length > kProbeTime) {
            after(kProbeTime, [&node] { node.is_in_rotation = false; });
        }
        after(length, [this, &node] { resume(node); });
    }

    void
    resume(node_t &node)
    {
        std::vector<std::function<void()>> packets;
        packets.swap(node.socket);
        node.is_paused = false;
        node.world->now = now;
        for (const auto &packet : packets) {
            packet();
        }
        after(draw(kProbeTime / 2), [&node] { node.is_in_rotation = true; });
    }

    void
    play_trouble()
    {
        node_t &node = nodes[draw(kNodes)];
        bool are_all_running = true;
        for (const node_t &other : nodes) {
            are_all_running &= other.world && other.is_in_rotation;
        }
        if (are_all_running && troubles.stops) {
            stop(node);
        }
        else if (are_all_running && troubles.kills) {
            kill(node);
        }
        else if (are_all_running && troubles.pauses) {
            pause(node);
        }
        servers[1 + draw(kServers)].stalled_until =
            now + draw(troubles.max_stall);
        after(500 * MV_MILLISECOND + draw(3 * MV_SECOND),
              [this] { play_trouble(); });
    }

    /* Servers */

    void
    receive_at_server(uint16_t port, uint64_t id, uint32_t tag, bool has_syn,
                      bool has_data)
    {
        server_t &server = servers[id];
        if (now < server.stalled_until) {
            after(server.stalled_until - now, [=] {
                receive_at_server(port, id, tag, has_syn, has_data);
            });
            return;
        }
        auto found = server.flows.find(port);
        if (has_syn && found == server.flows.end()) {
            server.flows[port] = {tag, false};
            send_syn_ack(port, id, 0);
        }
        else if (has_syn) {
            if (!found->second.is_open) {
                answer(port, id, found->second.tag, true);
            }
        }
        else if (found != server.flows.end() && flows[port].server == id) {
            found->second.is_open = true;
            flows[port].is_open_at_server = true;
            if (has_data) {
                answer(port, id, tag, false);
            }
        }
    }

    void
    send_syn_ack(uint16_t port, uint64_t id, size_t count)
    {
        const half_open_t &half_open = servers[id].flows[port];
        if (half_open.is_open || count > G_N_ELEMENTS(kRetransmissions)) {
            return;
        }
        answer(port, id, half_open.tag, true);
        if (count < G_N_ELEMENTS(kRetransmissions)) {
            after(kRetransmissions[count],
                  [=] { send_syn_ack(port, id, count + 1); });
        }
    }

    void
    answer(uint16_t port, uint64_t id, uint32_t tag, bool is_syn_ack)
    {
        transmit([=] { receive_at_caller(port, id, tag, is_syn_ack); });
    }

    /* Callers */

    /* The number from which the caller (@id 0) or a server counts its bytes.
     */
    static uint32_t
    first_number(uint16_t port, uint64_t id)
    {
        return (port * 31u + (uint32_t)id) * 2654435761u;
    }

    void
    open_flow()
    {
        const uint16_t port = ++last_port;
        flows[port] = {};
        for (uint32_t i = 0; i < G_N_ELEMENTS(kSynTimes); i++) {
            after(kSynTimes[i], [this, port, i] {
                mv_flow_packet_t packet = {};
                packet.has_syn = true;
                packet.sequence = first_number(port, 0);
                packet.retransmission = i;
                packet.since_first_syn = kSynTimes[i];
                packet.until_next_syn = until_next_syn(i);
                if (flows[port].state == flow_t::OPENING) {
                    transmit([=] { receive_at_node(port, packet); });
                }
            });
        }
        after(kOpeningTime, [this, port] {
            if (flows[port].state == flow_t::OPENING) {
                flows[port].state = flow_t::ENDED;
            }
        });
        after(kFlowInterval, [this] { open_flow(); });
    }

    void
    send_packet(uint16_t port, bool has_data)
    {
        mv_flow_packet_t packet = {};
        const flow_t &flow = flows[port];
        packet.tag = flow.tag;
        packet.has_data = has_data;
        packet.sequence =
            first_number(port, 0) + 1 + (uint32_t)flow.requests * 300;
        packet.acknowledged = first_number(port, flow.server) + 1 +
                              (uint32_t)flow.answers * 2000;
        packet.has_acknowledged = true;
        transmit([=] { receive_at_node(port, packet); });
    }

    /* Sends the next request, and repeats it until it is answered. */
    void
    send_request(uint16_t port, int number, size_t attempt)
    {
        flow_t &flow = flows[port];
        if (flow.state != flow_t::OPEN || flow.answers >= number ||
            attempt == G_N_ELEMENTS(kRetransmissions)) {
            return;
        }
        flow.requests = number;
        send_packet(port, true);
        after(kRetransmissions[attempt],
              [=] { send_request(port, number, attempt + 1); });
    }

    void
    receive_at_caller(uint16_t port, uint64_t id, uint32_t tag,
                      bool is_syn_ack)
    {
        flow_t &flow = flows[port];
        if (flow.state == flow_t::ENDED) {
            return;
        }
        if (flow.state == flow_t::OPENING && is_syn_ack) {
            flow.state = flow_t::OPEN;
            flow.server = id;
            flow.tag = tag;
            opened++;
            send_packet(port, false);
            send_request(port, 1, 0);
            return;
        }
        flow.tag = tag;
        if (!is_syn_ack && flow.answers < flow.requests) {
            flow.answers = flow.requests;
            answered++;
            if (flow.requests < kRequests) {
                after(draw(kMaxPause), [this, port] {
                    send_request(port, flows[port].requests + 1, 0);
                });
            }
        }
    }

    /* A reset with any number ends a flow that the caller has not opened. */
    void
    receive_reset(uint16_t port)
    {
        flow_t &flow = flows[port];
        if (flow.state == flow_t::OPEN && flow.is_open_at_server) {
            fail(port, "open, and reset by a node");
        }
        flow.state = flow_t::ENDED;
    }

    void
    play()
    {
        open_flow();
        play_trouble();
        for (mv_time_t end = now + kDay; now < end; now += MV_MILLISECOND) {
            while (!events.empty() && events.begin()->first <= now) {
                auto action = std::move(events.begin()->second);
                events.erase(events.begin());
                action();
            }
            for (node_t &node : nodes) {
                if (node.world && !node.is_paused) {
                    node.world->advance(MV_MILLISECOND);
                    send_stored_syns(node);
                    tell_flows(node);
                }
            }
        }
    }

    const troubles_t troubles;
    GRand *random;
    mv_time_t now = MV_SECOND;
    std::multimap<mv_time_t, std::function<void()>> events;
    std::vector<node_t> nodes;
    std::map<uint64_t, server_t> servers;
    std::map<uint16_t, flow_t> flows;
    std::vector<std::string> failures;
    uint32_t last_seed = 100;
    uint16_t last_port = 1000;
    int opened = 0;
    int answered = 0;
    int resets = 0;
};

const mv_time_t kMs = MV_MILLISECOND;

const troubles_t kTroubles[] = {
    {"LossesAndPlannedStops", 0.02, 0.01, 2 * kMs, 0, true, false, false},
    {"LossesAndKills", 0.02, 0.01, 2 * kMs, 0, false, true, false},
    {"LatePacketsAndPlannedStops", 0, 0.01, 120 * kMs, 0, true, false, false},
    {"StalledServersAndPlannedStops", 0, 0, 2 * kMs, 900 * kMs, true, false,
     false},
    {"StalledServersAndKills", 0, 0, 2 * kMs, 900 * kMs, false, true, false},
    {"LossesAndPausedNodes", 0.01, 0, 2 * kMs, 0, false, false, true},
    {"Everything", 0.01, 0.01, 40 * kMs, 900 * kMs, true, false, false},
};

class Ownership : public testing::TestWithParam<troubles_t> {};

} // namespace

/* Guards against review/2: a SYN that was not answered in time went to a
 * second server; after a planned stop the next node sent the open flow there,
 * as the caller repeated the tag of that server's late answer. */
TEST_P(Ownership, AnOpenFlowReachesNoOtherServer)
{
    for (uint32_t seed = 1; seed <= kSeeds; seed++) {
        deployment deployment(GetParam(), seed);
        deployment.play();
        EXPECT_TRUE(deployment.failures.empty())
            << "seed " << seed << ": " << deployment.failures.size()
            << " failures, first: " << deployment.failures.front();
        EXPECT_GT(deployment.opened, 500) << "seed " << seed;
        EXPECT_GT(deployment.answered, 1000) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Kinds, Ownership, testing::ValuesIn(kTroubles),
                         [](const auto &kind) {
                             return std::string(kind.param.name);
                         });
