/* Entries of another writer whose service no configuration names: they change
 * nothing in the snapshot that the traffic thread reads. */
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>

#include "tags_world.h"

extern "C" {
#include "table.h"
}

namespace {

const int kServers = 12;
const int kEvents = 120;
const char *const kServices[] = {"booking", "docs", "archive"};

/* All that a snapshot holds, in an order that does not depend on that of the
 * announcements. */
std::vector<std::string>
describe(const mv_table_t *table)
{
    std::vector<std::string> lines;
    for (unsigned i = 0; i < table->server_count; i++) {
        const mv_table_server_t &server = table->servers[i];
        int owner = MvTable_Server(table, server.tag);
        lines.push_back(
            "server " + std::to_string(server.server.id) + "/" +
            std::to_string(server.server.started_at) + " " +
            table->services[server.service].name + " tag " +
            std::to_string(server.tag) + " of " +
            std::to_string(owner < 0 ? 0 : table->servers[owner].server.id) +
            " new " + std::to_string(server.takes_new) + " usable " +
            std::to_string(server.usable_until) + " warm " +
            std::to_string(server.warmup_until) + " ended " +
            std::to_string(server.ended_at) + " replaced " +
            std::to_string(server.is_replaced) + " evacuated " +
            std::to_string(server.is_evacuated));
    }
    for (unsigned i = 0; i < table->service_count; i++) {
        const mv_table_service_t &service = table->services[i];
        lines.push_back(std::string("service ") + service.name + " " +
                        std::to_string(service.count) + " of " +
                        std::to_string(service.evacuated_count) + " limit " +
                        std::to_string(service.flow_limit));
    }
    for (unsigned i = 0; i < table->route_count; i++) {
        lines.push_back(
            "route " + std::to_string(table->routes[i].route.port) +
            " former " + std::to_string(table->routes[i].former_count));
    }
    std::sort(lines.begin(), lines.end());
    return lines;
}

/* Two directories that get the same entries; one also gets odd ones. */
struct odd_entries_world {
    explicit odd_entries_world(uint32_t seed)
        : random(g_rand_new_with_seed(seed))
    {
        clean.listed_services = odd.listed_services = {"docs"};
        route();
        for (uint64_t id = 1; id <= kServers; id++) {
            start(id);
        }
    }
    ~odd_entries_world()
    {
        g_rand_free(random);
    }

    int
    pick(int count)
    {
        return g_rand_int_range(random, 0, count);
    }

    void
    route()
    {
        version++;
        std::map<uint16_t, std::string> routes = {
            {443, pick(2) ? "booking" : "archive"}};
        if (pick(2)) {
            routes[80] = "docs";
        }
        clean.route(version, routes);
        odd.route(version, routes);
    }

    /* A server starts; it may have the id or the address of an earlier one. */
    void
    start(uint64_t id)
    {
        mv_server_t server = clean.server(id, kServices[pick(3)], "casa");
        server.started_at = ++last_start;
        server.address = 0x0a800000 + (uint32_t)pick(kServers);
        server.remaining_warmup = pick(2) * 3 * MV_SECOND;
        servers[id] = server;
        announce(server);
    }

    void
    announce(const mv_server_t &server)
    {
        clean.announce(server);
        odd.announce(server);
    }

    void
    change_servers()
    {
        uint64_t id = 1 + (uint64_t)pick(kServers);
        switch (pick(4)) {
        case 0:
            start(id);
            break;
        case 1:
            servers[id].state = MV_SERVER_DRAINING;
            announce(servers[id]);
            break;
        case 2:
            clean.withdraw(id);
            odd.withdraw(id);
            break;
        default:
            announce(servers[id]);
        }
    }

    /* Another writer's entry has the id, the start, or the address of a
     * server, or none of them. */
    void
    change_odd_entries()
    {
        std::string key = "odd-" + std::to_string(pick(6));
        if (pick(4) == 0) {
            MvDirectory_Withdraw(odd.directory, odd.now, odd.now, key.c_str());
            return;
        }
        const mv_server_t &server = servers[1 + (uint64_t)pick(kServers)];
        mv_server_t entry = server;
        entry.id = pick(2) ? server.id : 1000 + (uint64_t)pick(5);
        entry.started_at = pick(2) ? server.started_at : last_start + pick(5);
        entry.address = pick(3) ? server.address : 0x7f000001;
        entry.state = pick(2) ? MV_SERVER_READY : MV_SERVER_DRAINING;
        g_strlcpy(entry.service, "audit", MV_NAME_MAX);
        MvDirectory_Announce(odd.directory, odd.now, key.c_str(),
                             ++odd.revision, &entry);
    }

    void
    advance()
    {
        mv_time_t span = pick(3) * MV_SECOND;
        clean.now += span;
        odd.now += span;
    }

    void
    step()
    {
        change_odd_entries();
        if (pick(8) == 0) {
            route();
        }
        else {
            change_servers();
        }
        change_odd_entries();
        advance();
    }

    tags_world clean;
    tags_world odd;
    GRand *random;
    std::map<uint64_t, mv_server_t> servers;
    int64_t last_start = 1000;
    uint64_t version = 0;
};

class OddEntries : public testing::TestWithParam<uint32_t> {};

} // namespace

/* Guards against an entry of an unnamed service that replaces a server, takes
 * its tag, or counts as a server. */
TEST_P(OddEntries, AnUnnamedServiceChangesNothing)
{
    odd_entries_world world(GetParam());
    for (int i = 0; i < kEvents; i++) {
        world.step();
        mv_table_t *clean =
            MvDirectory_Table(world.clean.directory, world.clean.now);
        mv_table_t *odd =
            MvDirectory_Table(world.odd.directory, world.odd.now);
        EXPECT_EQ(describe(odd), describe(clean)) << "event " << i;
        EXPECT_EQ(MvDirectory_UsableServers(world.odd.directory),
                  MvDirectory_UsableServers(world.clean.directory))
            << "event " << i;
        MvTable_Destroy(clean);
        MvTable_Destroy(odd);
        if (HasFailure()) {
            return;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, OddEntries, testing::Range(1u, 41u));
