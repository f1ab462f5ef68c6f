/* How long datagrams have waited in a socket before they were read. */
#include "arrivals.h"

#include <time.h>

/* The time of day was set when it has moved against the boot clock by more
 * than this between two looks at both. */
#define MAX_CLOCK_DRIFT (10 * MV_MILLISECOND)

static mv_time_t
read_clock(clockid_t clock)
{
    struct timespec time = {0};
    if (clock_gettime(clock, &time) != 0) {
        return g_get_monotonic_time();
    }
    return time.tv_sec * MV_SECOND + time.tv_nsec / 1000;
}

mv_time_t
MvClock_Boot(void)
{
    return read_clock(CLOCK_BOOTTIME);
}

static mv_clock_pair_t
read_clocks(void)
{
    return (mv_clock_pair_t){.boot = MvClock_Boot(),
                             .real = g_get_real_time()};
}

void
MvArrivals_Open(mv_arrivals_t *arrivals)
{
    arrivals->empty = read_clocks();
}

void
MvArrivals_BeginRead(mv_arrivals_t *arrivals)
{
    arrivals->read_began = read_clocks();
}

void
MvArrivals_EndRead(mv_arrivals_t *arrivals)
{
    arrivals->read_ended = read_clocks();
}

void
MvArrivals_NoteEmpty(mv_arrivals_t *arrivals)
{
    arrivals->empty = arrivals->read_began;
}

mv_time_t
MvArrivals_Waited(const mv_arrivals_t *arrivals, mv_time_t stamp)
{
    const mv_clock_pair_t *begin = &arrivals->empty;
    const mv_clock_pair_t *end = &arrivals->read_ended;
    mv_time_t longest = end->boot - begin->boot;
    mv_time_t drift = end->real - begin->real - longest;
    mv_time_t waited = end->real - stamp;
    if (stamp == 0 || ABS(drift) > MAX_CLOCK_DRIFT || waited > longest) {
        return longest;
    }
    return MAX(waited, 0);
}
