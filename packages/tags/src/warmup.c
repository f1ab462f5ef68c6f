/* New flows of a server that warms up. */
#include "warmup.h"

#include <math.h>

/* Part of the limit that nodes use.  Their schedules are independent, so that
 * the number of flows in a second varies as that of independent events does.
 */
#define USED_PART 0.7
/* A flow that the schedule allows is lost after this time, or at the end of
 * its period if that is sooner. */
#define ALLOWED_TIME (250 * MV_MILLISECOND)
/* Least time between two flows, in periods: a period changes with the number
 * of nodes. */
#define MIN_DISTANCE 0.5

double
MvWarmup_Share(double limit, unsigned nodes)
{
    return nodes > 0 ? USED_PART * limit / nodes : 0;
}

bool
MvWarmup_MayTake(const mv_warmup_t *warmup, mv_time_t now, double share)
{
    if (share <= 0) {
        return false;
    }
    double period = MV_SECOND / share;
    double position = (double)now / period - warmup->phase;
    double begun_at = (floor(position) + warmup->phase) * period;
    double used_at = (double)warmup->used_at;
    bool is_used =
        warmup->used_at > 0 &&
        (used_at >= begun_at || (double)now - used_at < MIN_DISTANCE * period);
    return !is_used && (double)now - begun_at < ALLOWED_TIME;
}
