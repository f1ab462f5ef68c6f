/* Entry VMs that learn of changes to the same servers and routes at different
 * times, up to seconds apart. */
#include <gtest/gtest.h>

#include <functional>
#include <memory>

#include "tags_world.h"

namespace {

const int kNodes = 4;
const int kSteps = 400;
const mv_time_t kStep = 20 * MV_MILLISECOND;
/* Maximum delay until a node learns of a change. */
const mv_time_t kMaxDelay = 3 * MV_SECOND;
/* A node that learns of a server's end resets its flows within this time. */
const mv_time_t kResetDelay = 100 * MV_MILLISECOND;
const uint16_t kPorts[] = {443, 8443};

struct flow_t {
    uint16_t port;
    uint16_t to;
    std::string service;
    uint64_t server;
    uint32_t address;
    uint32_t tag;
    mv_time_t began;
};

/* Nodes, and servers whose changes reach each node in order, after a random
 * delay. */
struct fleet {
    explicit fleet(uint32_t seed) : random(g_rand_new_with_seed(seed))
    {
        for (int i = 0; i < kNodes; i++) {
            nodes.push_back(std::make_unique<tags_world>("casa", seed + i));
            last_update_at.push_back(0);
        }
        for (int i = 0; i < 6; i++) {
            add("booking");
            add("docs");
        }
        route();
        now += kMaxDelay;
    }
    ~fleet()
    {
        g_rand_free(random);
    }

    int
    pick(int count)
    {
        return g_rand_int_range(random, 0, count);
    }

    void
    notify(const std::function<void(tags_world &)> &apply)
    {
        for (int i = 0; i < kNodes; i++) {
            mv_time_t at =
                now + pick((int)(kMaxDelay / MV_MILLISECOND)) * MV_MILLISECOND;
            at = MAX(at, last_update_at[i]);
            last_update_at[i] = at;
            pending.push_back({i, at, apply});
        }
    }

    void
    deliver()
    {
        std::vector<update_t> later;
        for (update_t &update : pending) {
            if (update.at > now) {
                later.push_back(update);
                continue;
            }
            update.apply(*nodes[update.node]);
            nodes[update.node]->publish();
        }
        pending = later;
    }

    mv_server_t
    next_server(const char *service, uint32_t address)
    {
        mv_server_t server = nodes[0]->server(++last_id, service, "casa");
        server.address = address;
        server.slots = 8;
        return server;
    }

    void
    add(const char *service, uint32_t address = 0)
    {
        mv_server_t server = next_server(
            service, address ? address : 0x0a900000 + (uint32_t)last_id);
        servers.push_back(server);
        notify([server](tags_world &node) { node.announce(server); });
    }

    void
    drain()
    {
        mv_server_t server = servers[pick((int)servers.size())];
        server.state = MV_SERVER_DRAINING;
        notify([server](tags_world &node) { node.announce(server); });
    }

    /* A server dies; its address goes to a new server of either service. */
    void
    replace()
    {
        int i = pick((int)servers.size());
        mv_server_t gone = servers[i];
        servers.erase(servers.begin() + i);
        dead[gone.id] = now;
        notify([gone](tags_world &node) { node.withdraw(gone.id); });
        add(pick(2) ? "docs" : "booking", gone.address);
    }

    void
    route()
    {
        version++;
        std::map<uint16_t, std::string> routes = {{443, "booking"}};
        if (version % 2) {
            routes[8443] = "docs";
        }
        notify([routes, v = version](tags_world &node) {
            node.listed_services = {"booking", "docs"};
            node.route(v, routes);
        });
    }

    void
    change()
    {
        switch (pick(40)) {
        case 0:
            add(pick(2) ? "docs" : "booking");
            break;
        case 1:
            drain();
            break;
        case 2:
            replace();
            break;
        case 3:
            route();
            break;
        default:
            break;
        }
    }

    void
    open_random_flow()
    {
        const uint16_t to = kPorts[pick(2)];
        const uint16_t port = ++last_port;
        mv_flow_verdict_t verdict = nodes[pick(kNodes)]->open(port, to);
        if (verdict.kind != MV_FLOW_FORWARD || dead.count(verdict.server)) {
            return;
        }
        const char *service = to == 443 ? "booking" : "docs";
        flows.push_back({port, to, service, verdict.server, verdict.address,
                         verdict.tag, now});
    }

    /* A packet of an open flow arrives at any node. */
    void
    send_random_packet()
    {
        if (flows.empty()) {
            return;
        }
        flow_t &flow = flows[pick((int)flows.size())];
        mv_flow_verdict_t verdict =
            nodes[pick(kNodes)]->send_next(flow.port, flow.tag, flow.to);
        bool is_dead = dead.count(flow.server) > 0;
        /* All nodes have been notified of the server at its address. */
        hanging += is_dead && flow.to == 443 &&
                   now - dead[flow.server] > kMaxDelay + kResetDelay &&
                   verdict.kind != MV_FLOW_RESET;
        if (verdict.kind == MV_FLOW_FORWARD) {
            forwarded++;
            misdirected += verdict.server != flow.server ||
                           verdict.address != flow.address;
            return;
        }
        resets += verdict.kind == MV_FLOW_RESET && !is_dead;
        dropped++;
        /* All nodes have been notified of its server by then, and the route of
         * port 443 is never removed. */
        wrongly_dropped +=
            now - flow.began > kMaxDelay && flow.to == 443 && !is_dead;
    }

    void
    step()
    {
        change();
        deliver();
        open_random_flow();
        for (int i = 0; i < 5; i++) {
            send_random_packet();
        }
        now += kStep;
        for (auto &node : nodes) {
            node->advance(kStep);
        }
    }

    struct update_t {
        int node;
        mv_time_t at;
        std::function<void(tags_world &)> apply;
    };

    GRand *random;
    mv_time_t now = MV_SECOND;
    std::vector<std::unique_ptr<tags_world>> nodes;
    std::vector<mv_time_t> last_update_at;
    std::vector<update_t> pending;
    std::vector<mv_server_t> servers;
    std::map<uint64_t, mv_time_t> dead; /* time of the end */
    std::vector<flow_t> flows;
    uint64_t last_id = 0;
    uint64_t version = 0;
    uint16_t last_port = 1000;
    int forwarded = 0;
    int misdirected = 0;
    int dropped = 0;
    int wrongly_dropped = 0;
    int resets = 0;  /* of flows whose server lives */
    int hanging = 0; /* packets of flows whose server has ended */
};

class Disagreement : public testing::TestWithParam<uint32_t> {};

} // namespace

/* Servers join, drain and die, addresses move to the other service, routes
 * come and go, and each node learns of a change up to 3 s later than another.
 * A packet must then reach no other server than that of its flow. */
TEST_P(Disagreement, AnOpenFlowStaysAtItsServerOrItsPacketIsDropped)
{
    fleet fleet(GetParam());
    for (int i = 0; i < kSteps; i++) {
        fleet.step();
    }
    EXPECT_EQ(fleet.misdirected, 0) << "seed " << GetParam();
    EXPECT_EQ(fleet.resets, 0) << "resets of open flows, seed " << GetParam();
    EXPECT_EQ(fleet.hanging, 0)
        << "packets not answered with a reset although another server has the "
           "address, seed "
        << GetParam();
    EXPECT_EQ(fleet.wrongly_dropped, 0)
        << "packets dropped although all nodes had the server, seed "
        << GetParam();
    EXPECT_GT(fleet.forwarded, kSteps) << "seed " << GetParam();
    EXPECT_GT(fleet.dropped, 0) << "the nodes did not disagree";
}

INSTANTIATE_TEST_SUITE_P(Seeds, Disagreement, testing::Range(1u, 41u));
