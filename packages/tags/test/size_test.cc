/* Cost of building tables at the design size: 18,000 servers of 4,700
 * services. */
#include <gtest/gtest.h>

#include <ctime>

#include "tags_world.h"

namespace {

const int kServers = 18000;
const int kServices = 4700;

std::string
service_name(int i)
{
    return "service-" + std::to_string(i);
}

/* Announces servers, spread evenly over the services, and a route to each
 * service. */
void
fill(tags_world &world, int servers, int services)
{
    for (int i = 0; i < servers; i++) {
        const std::string service = service_name(i % services);
        world.announce(world.server((uint64_t)i + 1, service.c_str(), "casa"));
    }
    std::map<uint16_t, std::string> routes;
    for (int i = 0; i < services; i++) {
        routes[(uint16_t)(i + 1)] = service_name(i);
    }
    world.route(1, routes);
    world.publish();
}

/* Return: the least CPU time of three runs of fill(). */
double
processor_seconds(int servers, int services)
{
    double least = 1e9;
    for (int i = 0; i < 3; i++) {
        tags_world world;
        const clock_t began = clock();
        fill(world, servers, services);
        least = MIN(least, (double)(clock() - began) / CLOCKS_PER_SEC);
    }
    return least;
}

} // namespace

TEST(Size, BuildTimeGrowsLessThanQuadratically)
{
    const double quarter = processor_seconds(kServers / 4, kServices / 4);
    const double whole = processor_seconds(kServers, kServices);
    EXPECT_LT(whole / quarter, 10)
        << "linear growth gives 4, quadratic growth 16";
}

TEST(Size, EachServiceGetsItsOwnServers)
{
    tags_world world;
    fill(world, kServers, kServices);
    for (int i = 0; i < kServices; i++) {
        mv_flow_verdict_t verdict =
            world.open((uint16_t)(i + 1), (uint16_t)(i + 1));
        ASSERT_EQ(verdict.kind, MV_FLOW_FORWARD) << i;
        ASSERT_EQ((verdict.server - 1) % kServices, (uint64_t)i);
    }
}
