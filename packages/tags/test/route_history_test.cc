/* Open flows and changes of a route's services. */
#include "tags_world.h"

#include <gtest/gtest.h>

#include <memory>
#include <random>

namespace {

const uint32_t kAddress = 0xc6120001;
const uint16_t kPort = 443;

mv_route_t
make_route(uint16_t port, const std::vector<std::string> &services)
{
    mv_route_t route = {};
    route.address = kAddress;
    route.port = port;
    for (const auto &service : services) {
        mv_route_share_t *share = &route.shares[route.share_count++];
        share->weight = 1;
        g_strlcpy(share->service, service.c_str(), MV_NAME_MAX);
    }
    return route;
}

/* @services: of the route of kPort; empty: there is no such route */
mv_routing_t *
make_routing(uint64_t version, const std::vector<std::string> &services)
{
    mv_routing_t *routing = MvRouting_Create();
    routing->version = version;
    mv_route_t other = make_route(80, {"docs"});
    g_array_append_val(routing->routes, other);
    if (!services.empty()) {
        mv_route_t route = make_route(kPort, services);
        g_array_append_val(routing->routes, route);
    }
    return routing;
}

/* A node: a world whose servers are one for each service. */
struct node_t : tags_world {
    node_t()
    {
        uint64_t id = 1;
        for (const char *name : {"booking", "vault", "archive", "docs"}) {
            announce(server(id++, name, "casa"));
        }
    }

    void
    accept(uint64_t version, const std::vector<std::string> &services)
    {
        MvDirectory_SetRouting(directory, now,
                               make_routing(version, services));
        publish();
    }

    void
    read(const std::string &record)
    {
        EXPECT_TRUE(
            MvDirectory_MergeRouteHistory(directory, now, record.c_str()));
        publish();
    }

    /* Return: the record that this node wants, or @record. */
    std::string
    wanted(const std::string &record)
    {
        bool is_urgent = false;
        char *text = MvDirectory_RouteHistory(directory, now, &is_urgent);
        std::string result = text ? text : record;
        g_free(text);
        return result;
    }

    uint32_t
    tag_of(const std::string &service)
    {
        const std::vector<std::string> names = {"booking", "vault", "archive",
                                                "docs"};
        uint64_t id = 1;
        while (names[id - 1] != service) {
            id++;
        }
        mv_server_t s = server(id, service.c_str(), "casa");
        return MvServer_Tag(&s);
    }

    /* A packet of a flow that is open at @service. */
    mv_counter_id_t
    packet_at(const std::string &service, uint16_t port = 7)
    {
        return send_next(port, tag_of(service), kPort).reason;
    }
};

const mv_counter_id_t kForwarded = MV_COUNTER_PACKETS_FORWARDED;
const mv_counter_id_t kForeign = MV_COUNTER_PACKETS_FOREIGN_TAG;

} // namespace

/* Guards against flows that hang after a planned change of their route. */
TEST(RouteHistory, OpenFlowsGoOnAtAFormerService)
{
    struct {
        const char *what;
        std::vector<std::vector<std::string>> routes; /* from version 1 on */
        std::string service;
        mv_counter_id_t reason;
    } const cases[] = {
        {"dropped", {{"booking", "vault"}, {"booking"}}, "vault", kForwarded},
        {"replaced", {{"booking"}, {"vault"}}, "booking", kForwarded},
        {"replaced twice",
         {{"booking"}, {"vault"}, {"archive"}},
         "booking",
         kForwarded},
        {"brought back",
         {{"booking"}, {"vault"}, {"booking"}},
         "booking",
         kForwarded},
        {"brought back and dropped again",
         {{"booking"}, {"vault"}, {"booking"}, {"vault"}},
         "booking",
         kForwarded},
        {"the route was removed",
         {{"booking"}, {}},
         "booking",
         MV_COUNTER_PACKETS_NO_SERVICE},
        {"the route was removed and added again",
         {{"booking"}, {}, {"vault"}},
         "booking",
         kForeign},
        {"removed after the change",
         {{"booking"}, {"vault"}, {}, {"vault"}},
         "booking",
         kForeign},
        {"never a service of the route",
         {{"booking"}, {"vault"}},
         "archive",
         kForeign},
        {"a service of another route",
         {{"booking"}, {"vault"}},
         "docs",
         kForeign},
    };
    for (const auto &c : cases) {
        node_t node;
        uint64_t version = 0;
        for (const auto &services : c.routes) {
            node.accept(++version, services);
            node.now += MV_SECOND;
        }
        EXPECT_EQ(node.packet_at(c.service), c.reason) << c.what;
    }
}

TEST(RouteHistory, NewFlowsGoOnlyToServicesInForce)
{
    node_t node;
    node.accept(1, {"booking", "vault"});
    node.accept(2, {"booking"});
    for (uint16_t port = 100; port < 140; port++) {
        EXPECT_EQ(node.open(port, kPort).server, 1u);
    }
}

/* A flow as old as the retention may be dropped by then. */
TEST(RouteHistory, AServiceIsForgottenAfterTheRetention)
{
    node_t node;
    node.accept(1, {"booking"});
    node.accept(2, {"vault"});
    node.now += MV_MINUTE - MV_SECOND;
    node.publish();
    EXPECT_EQ(node.packet_at("booking"), kForwarded);
    node.now += MV_SECOND;
    node.publish();
    EXPECT_EQ(node.packet_at("booking", 8), kForeign);
}

/* Guards against nodes that drop the packets of open flows because they
 * started after the change. */
TEST(RouteHistory, ANodeThatStartsLearnsFromTheRecord)
{
    node_t observer;
    observer.accept(1, {"booking"});
    EXPECT_EQ(observer.wanted("none"), "none");
    observer.accept(4, {"vault"});
    std::string record = observer.wanted("none");
    EXPECT_EQ(record, "198.18.0.1 443 4 booking\n");

    for (bool has_configuration : {false, true}) {
        node_t started;
        if (has_configuration) {
            started.accept(4, {"vault"});
            EXPECT_EQ(started.packet_at("booking"), kForeign);
        }
        started.read(record);
        if (!has_configuration) {
            started.accept(4, {"vault"});
        }
        EXPECT_EQ(started.packet_at("booking"), kForwarded);
        EXPECT_EQ(started.packet_at("archive", 8), kForeign);
        EXPECT_EQ(started.wanted("none"), "none");
    }
    observer.read(record);
    EXPECT_EQ(observer.wanted("none"), "none");
    /* The platform's store may have lost it. */
    observer.read("");
    EXPECT_EQ(observer.wanted("none"), record);
}

TEST(RouteHistory, OldLinesAreRemovedFromTheRecord)
{
    node_t node;
    node.accept(1, {"booking"});
    node.accept(2, {"vault"});
    node.read(node.wanted(""));
    node.now += 2 * MV_MINUTE;
    EXPECT_EQ(node.wanted("none"), "");
    node.read("");
    EXPECT_EQ(node.wanted("none"), "none");
}

TEST(RouteHistory, TheRecordIsReadLineByLine)
{
    const char *const odd[] = {
        "198.18.0.1 443 2",
        "198.18.0 443 2 vault",
        "198.18.0.1 70000 2 vault",
        "198.18.0.1 443 x vault",
        "198.18.0.1 443 0 vault",
        "198.18.0.1 443 2 ",
        "198.18.0.1  443 2 vault",
        "198.18.0.1 443 2 a-name-of-more-than-forty-seven-bytes-is-no-service",
    };
    for (const char *line : odd) {
        node_t node;
        node.accept(2, {"archive"});
        std::string record = std::string(line) + "\n198.18.0.1 443 2 booking";
        EXPECT_FALSE(MvDirectory_MergeRouteHistory(node.directory, node.now,
                                                   record.c_str()))
            << line;
        node.publish();
        EXPECT_EQ(node.packet_at("booking"), kForwarded) << line;
        EXPECT_EQ(node.packet_at("vault", 8), kForeign) << line;
    }
}

TEST(RouteHistory, NamesMayHoldAnyBytes)
{
    node_t node;
    node.accept(1, {"a b\nc \"d\""});
    node.accept(2, {"vault"});
    std::string record = node.wanted("");
    node_t other;
    other.accept(2, {"vault"});
    other.read(record);
    EXPECT_EQ(other.wanted("none"), "none");
    mv_server_t server = other.server(20, "a b\nc \"d\"", "casa");
    other.announce(server);
    other.publish();
    EXPECT_EQ(other.send_next(7, MvServer_Tag(&server), kPort).reason,
              kForwarded);
}

namespace {

/* Several nodes, the platform's store and flows, in random orders of changes,
 * late news, restarts and new nodes.
 *
 * Checked after each step, at each node that has read the record as it is: a
 * flow that was opened at a service in force, and whose route was not removed
 * since, goes on there for the retention period; a packet with the tag of a
 * service that the route never named is dropped. */
struct changes_world {
    explicit changes_world(uint32_t seed) : random(seed)
    {
        nodes.resize(4);
        for (auto &node : nodes) {
            node = std::make_unique<node_t>();
        }
        change();
        for (auto &node : nodes) {
            update(*node);
        }
    }

    unsigned
    draw(unsigned limit)
    {
        return (unsigned)(random() % limit);
    }

    void
    change()
    {
        const std::vector<std::string> names = {"booking", "vault", "archive"};
        std::vector<std::string> next;
        for (const auto &name : names) {
            if (draw(2)) {
                next.push_back(name);
            }
        }
        bool is_removal = draw(12) == 0;
        if (next.empty() && !is_removal) {
            next.push_back(names[draw(3)]);
        }
        services = is_removal ? std::vector<std::string>() : next;
        version += 1 + draw(3);
        ever.insert(services.begin(), services.end());
        if (is_removal) {
            flows.clear();
        }
    }

    void
    update(node_t &node)
    {
        node.accept(version, services);
        node.read(record);
        seen[&node] = {version, record};
    }

    /* The first observer that gets through writes, as record_writer.c does
     * under the condition that it knows the record as it is. */
    void
    write(node_t &node)
    {
        if (seen[&node].second == record) {
            record = node.wanted(record);
        }
    }

    void
    restart(size_t i)
    {
        mv_time_t now = nodes[i]->now;
        nodes[i] = std::make_unique<node_t>();
        nodes[i]->now = now;
        update(*nodes[i]);
    }

    void
    open()
    {
        node_t &node = *nodes[draw((unsigned)nodes.size())];
        /* A node that lags opens flows by its older configuration. */
        mv_flow_verdict_t verdict = node.open(next_port++, kPort);
        if (verdict.kind == MV_FLOW_FORWARD && seen[&node].first == version) {
            flows[verdict.server] = node.now;
        }
    }

    void
    check()
    {
        for (auto &node : nodes) {
            if (seen[node.get()] != std::make_pair(version, record) ||
                services.empty()) {
                continue;
            }
            const char *const names[] = {"booking", "vault", "archive"};
            for (uint64_t id = 1; id <= 3; id++) {
                std::string name = names[id - 1];
                mv_counter_id_t reason = node->packet_at(name, next_port++);
                if (!ever.count(name)) {
                    ASSERT_EQ(reason, kForeign) << name;
                }
                if (flows.count(id) && is_settled() &&
                    node->now - flows[id] < MV_MINUTE) {
                    ASSERT_EQ(reason, kForwarded) << name;
                }
            }
        }
    }

    /* Every node has seen the last change, and none still has to write what
     * it saw.  Until then a node that starts may know less. */
    bool
    is_settled()
    {
        for (auto &node : nodes) {
            if (seen[node.get()].first != version ||
                node->wanted(record) != record) {
                return false;
            }
        }
        return true;
    }

    void
    step()
    {
        mv_time_t span = (1 + draw(300)) * MV_MILLISECOND;
        for (auto &node : nodes) {
            node->now += span;
        }
        node_t &node = *nodes[draw((unsigned)nodes.size())];
        switch (draw(8)) {
        case 0:
            change();
            break;
        case 1:
        case 2:
        case 3:
            update(node);
            break;
        case 4:
        case 5:
            write(node);
            break;
        case 6:
            open();
            break;
        default:
            if (is_settled()) {
                restart(draw((unsigned)nodes.size()));
            }
        }
        check();
    }

    std::mt19937 random;
    std::vector<std::unique_ptr<node_t>> nodes;
    std::map<node_t *, std::pair<uint64_t, std::string>> seen;
    uint64_t version = 0;
    std::vector<std::string> services;
    std::set<std::string> ever;
    std::string record;
    std::map<uint64_t, mv_time_t> flows; /* server, last opening */
    uint16_t next_port = 1000;
};

struct RouteChanges : testing::TestWithParam<unsigned> {};

} // namespace

TEST_P(RouteChanges, AnOpenFlowGoesOnAndNoPacketReachesAnotherService)
{
    changes_world world(GetParam());
    for (int i = 0; i < 400; i++) {
        world.step();
        if (HasFatalFailure()) {
            FAIL() << "step " << i;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RouteChanges, testing::Range(1u, 41u));
