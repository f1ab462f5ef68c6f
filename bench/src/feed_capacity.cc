/*
 * masticvane-feed-capacity: measures what it costs to distribute the changes
 * of the store to all nodes, for 8 to 3,000 nodes, under virtual time.
 */
#include <cstdio>
#include <ctime>

#include "fanout_sim.h"

namespace {

const mv_time_t kStartupTime = 8 * MV_SECOND;
/* Longest wait for a change to reach all nodes.  The pauses after the changes
 * add up to the same time. */
const mv_time_t kPropagationLimit = 5 * MV_SECOND;
const int kChangeCount = 10;

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
    fanout_sim sim(nodes, data_centres);
    sim.write("change", "0");
    sim.run(kStartupTime);
    uint64_t calls_before = sim.calls();
    uint64_t datagrams_before = sim.datagrams;
    uint64_t bytes_before = sim.bytes;
    double processor_before = processor_seconds();
    mv_time_t start = sim.now;
    mv_time_t slowest = 0;
    for (int i = 1; i <= kChangeCount; i++) {
        std::string value(200, (char)('a' + i));
        sim.write("change", value);
        mv_time_t propagation =
            sim.propagation_time("change", value, kPropagationLimit);
        /* A change that does not reach all nodes in time counts as 60 s. */
        slowest = propagation < 0 ? MV_MINUTE : MAX(slowest, propagation);
        sim.run(kPropagationLimit / kChangeCount);
    }
    double seconds = (double)(sim.now - start) / MV_SECOND;
    double processor = processor_seconds() - processor_before;
    printf("| %d in %d | %zu | %.1f | %.2f | %.2f | %.0f | %.2f |\n", nodes,
           data_centres, sim.watchers().size(),
           (double)(sim.calls() - calls_before) / seconds,
           (double)(sim.datagrams - datagrams_before) / seconds / nodes,
           (double)(sim.bytes - bytes_before) / seconds / nodes / 1000,
           (double)slowest / MV_MILLISECOND,
           processor / seconds / nodes * 100);
    (void)fflush(stdout);
}

} // namespace

int
main()
{
    puts("| nodes in data centres | watchers | store calls/s | "
         "datagrams/s a node | KB/s a node | slowest change, ms | "
         "% of a core a node |");
    puts("| --- | --- | --- | --- | --- | --- | --- |");
    measure(8, 3);
    measure(87, 3);
    measure(300, 3);
    measure(1000, 5);
    measure(3000, 5);
    return 0;
}
