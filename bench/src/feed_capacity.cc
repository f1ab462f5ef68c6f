/* What the feed costs at the size to design for, under virtual time. */
#include <cstdio>
#include <ctime>

#include "fanout_sim.h"

namespace {

const mv_time_t kSettle = 8 * MV_SECOND;
const mv_time_t kSpan = 5 * MV_SECOND;
const int kChanges = 10;

double
processor_seconds()
{
    struct timespec used;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return (double)used.tv_sec + (double)used.tv_nsec / 1e9;
}

void
measure(int nodes, int data_centres)
{
    fanout_sim world(nodes, data_centres);
    world.write("change", "0");
    world.run(kSettle);
    uint64_t calls = world.calls();
    uint64_t words = world.datagrams;
    uint64_t bytes = world.bytes;
    double began = processor_seconds();
    mv_time_t start = world.now;
    mv_time_t slowest = 0;
    for (int i = 1; i <= kChanges; i++) {
        std::string value(200, (char)('a' + i));
        world.write("change", value);
        mv_time_t took = world.propagation_time("change", value, kSpan);
        slowest = took < 0 ? MV_MINUTE : MAX(slowest, took);
        world.run(kSpan / kChanges);
    }
    double seconds = (double)(world.now - start) / MV_SECOND;
    double used = processor_seconds() - began;
    printf("| %d in %d | %zu | %.1f | %.2f | %.2f | %.0f | %.2f |\n", nodes,
           data_centres, world.watchers().size(),
           (double)(world.calls() - calls) / seconds,
           (double)(world.datagrams - words) / seconds / nodes,
           (double)(world.bytes - bytes) / seconds / nodes / 1000,
           (double)slowest / MV_MILLISECOND, used / seconds / nodes * 100);
    (void)fflush(stdout);
}

} // namespace

int
main()
{
    puts("| nodes in data centres | watchers | calls/s | datagrams/s a node | "
         "KB/s a node | slowest in force, ms | % of a core a node |");
    puts("| --- | --- | --- | --- | --- | --- | --- |");
    measure(8, 3);
    measure(87, 3);
    measure(300, 3);
    measure(1000, 5);
    measure(3000, 5);
    return 0;
}
