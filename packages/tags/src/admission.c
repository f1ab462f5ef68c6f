/* Load shedding: what the servers cannot answer in time is refused at once.
 *
 * The load this answers: for seconds more flows come than the servers take.
 * Without it all of them queue at the servers, nearly all answers are late,
 * and callers learn only then that there was no room.  A flow that is refused
 * before its opening packet was forwarded has certainly not run; its caller
 * may come back.  Urgent flows go first: the others are refused before them.
 *
 * A node does not know the load of the servers, nor its share of the flows.
 * It sees how long answers take against their route's target: that tells of
 * an overload.  While it lasts, how many callers wait here and how fast they
 * are served tell how long a flow that comes now would take (Little's law),
 * before its answer does. */
#include "forwarder_private.h"

#include <math.h>

/* An overload begins when the median answer takes this part of the target,
 * and so many times what quick ones take. */
#define LONG 0.65
#define LONG_TIMES 3
/* It is over when none took so long in this time. */
#define OVERLOAD MV_SECOND
/* New flows may take this part, or so many times what quick ones take. */
#define EASY 0.45
#define EASY_TIMES 2
/* When they would take so much more, nearly all are refused. */
#define LATE_MARGIN 0.2
#define MOST_REFUSED 0.95
/* Step of the median; a few late answers of one server hardly move it. */
#define STEP 0.3
#define MEDIAN 0.5
/* A fifth of the answers is quicker than the quick ones.  In an overload that
 * rises still less. */
#define QUICK 0.2
#define QUICK_STEP 0.005
#define QUICK_STEP_OVERLOAD 0.0005
/* Answers before the quick ones are known. */
#define ENOUGH 20
/* So little of the target makes no difference. */
#define SMALLEST 0.05
/* How fast flows are served is counted over about this time. */
#define RATE_MEMORY (500 * MV_MILLISECOND)
/* What comes, by urgency, over about this time. */
#define ARRIVAL_MEMORY MV_SECOND
/* Callers whose first copy was lost are back from an outage: with so many of
 * them among all the backlog is gone in a second, and flow_queue.c orders it.
 */
#define RETURNING_PART 0.1
/* No flow was refused for so long: the log is told that it is over. */
#define QUIET MV_SECOND

static unsigned
level_of(const mv_table_route_t *route)
{
    return MIN(route->route.urgency, MV_URGENCIES - 1);
}

static bool
is_overload(const mv_admission_t *admission, mv_time_t now)
{
    return admission->late_at > 0 && now - admission->late_at < OVERLOAD;
}

/* How fast the quick ones are learned. */
static double
quick_step(const mv_admission_t *admission, bool is_quick, mv_time_t now)
{
    if (admission->answers < ENOUGH) {
        return 1.0 / (admission->answers + 1);
    }
    return is_quick || !is_overload(admission, now) ? QUICK_STEP
                                                    : QUICK_STEP_OVERLOAD;
}

/* Move @estimate so that the part @below of all samples is smaller. */
static double
moved(double estimate, double sample, double below, double step)
{
    double factor =
        sample < estimate ? 1 - step * (1 - below) : 1 + step * below;
    return MAX(estimate * factor, SMALLEST);
}

static void
note_served(mv_admission_t *admission, mv_time_t now)
{
    double kept = exp(-(double)(now - admission->served_at) / RATE_MEMORY);
    admission->served = admission->served * kept + 1;
    admission->served_at = now;
}

void
MvAdmission_Answered(mv_forwarder_t *forwarder, unsigned service,
                     mv_time_t now, mv_time_t took, mv_time_t target,
                     bool answered)
{
    mv_admission_t *admission = &MvService_Load(forwarder, service)->admission;
    if (target <= 0) {
        return;
    }
    /* What was refused by a full server is as bad as late. */
    double delay = (double)(answered ? took : MAX(took, target)) / target;
    if (admission->answers == 0) {
        admission->delay = delay;
        admission->quick = delay;
    }
    double step = quick_step(admission, delay < admission->quick, now);
    admission->quick = moved(admission->quick, delay, QUICK, step);
    admission->delay = moved(admission->delay, delay, MEDIAN, STEP);
    admission->answers = MIN(admission->answers + 1, ENOUGH);
    if (answered) {
        note_served(admission, now);
    }
    if (admission->answers == ENOUGH &&
        admission->delay >= MAX(LONG, LONG_TIMES * admission->quick)) {
        admission->late_at = now;
    }
}

static void
note_arrival(mv_admission_t *admission, mv_time_t now, unsigned level)
{
    double kept = exp(-(double)(now - admission->arrived_at) / ARRIVAL_MEMORY);
    for (unsigned i = 0; i < MV_URGENCIES; i++) {
        admission->arrivals[i] *= kept;
    }
    admission->returning *= kept;
    admission->arrivals[level]++;
    admission->arrived_at = now;
}

void
MvAdmission_Returned(mv_forwarder_t *forwarder, unsigned service)
{
    MvService_Load(forwarder, service)->admission.returning++;
}

/* Part of the flows of @level that is refused when @part of all is, the least
 * urgent first. */
static double
part_of_level(const mv_admission_t *admission, unsigned level, double part)
{
    double all = 0;
    double less_urgent = 0;
    for (unsigned i = 0; i < MV_URGENCIES; i++) {
        all += admission->arrivals[i];
        less_urgent += i > level ? admission->arrivals[i] : 0;
    }
    return (part * all - less_urgent) / admission->arrivals[level];
}

static bool
is_after_outage(const mv_admission_t *admission)
{
    double all = 0;
    for (unsigned i = 0; i < MV_URGENCIES; i++) {
        all += admission->arrivals[i];
    }
    return admission->returning > RETURNING_PART * all;
}

/* Part of the target that a flow would take that comes now. */
static double
expected_delay(const mv_service_load_t *load, mv_time_t now, mv_time_t target)
{
    const mv_admission_t *admission = &load->admission;
    double kept = exp(-(double)(now - admission->served_at) / RATE_MEMORY);
    double rate = admission->served * kept / RATE_MEMORY;
    return load->waiting == 0 ? 0 : load->waiting / rate / (double)target;
}

/* Part of all new flows that is refused. */
static double
part_refused(const mv_service_load_t *load, mv_time_t now, mv_time_t target)
{
    const mv_admission_t *admission = &load->admission;
    if (target <= 0 || !is_overload(admission, now) ||
        is_after_outage(admission)) {
        return 0;
    }
    double easy = MAX(EASY, EASY_TIMES * admission->quick);
    double over = expected_delay(load, now, target) - easy;
    return CLAMP(over / LATE_MARGIN, 0, 1) * MOST_REFUSED;
}

static void
note_refused(mv_forwarder_t *forwarder, mv_admission_t *admission,
             mv_time_t now)
{
    admission->refused_at = now;
    admission->refused++;
    if (admission->began_at == 0) {
        admission->began_at = now;
        forwarder->ops->event(forwarder->context, MV_EVENT_SHEDDING_BEGAN, 0,
                              lround(admission->delay * 100));
    }
}

bool
MvAdmission_Refuses(mv_forwarder_t *forwarder, mv_time_t now,
                    const mv_table_route_t *route, unsigned service)
{
    mv_service_load_t *load = MvService_Load(forwarder, service);
    mv_admission_t *admission = &load->admission;
    unsigned level = level_of(route);
    note_arrival(admission, now, level);
    double part = part_refused(load, now, route->route.target_latency);
    if (part == 0 || g_rand_double(forwarder->random) >=
                         part_of_level(admission, level, part)) {
        return false;
    }
    note_refused(forwarder, admission, now);
    return true;
}

void
MvAdmission_Run(mv_forwarder_t *forwarder, mv_time_t now)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, forwarder->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mv_admission_t *admission = &((mv_service_load_t *)value)->admission;
        if (admission->began_at > 0 && now - admission->refused_at > QUIET) {
            forwarder->ops->event(forwarder->context, MV_EVENT_SHEDDING_ENDED,
                                  0, admission->refused);
            admission->began_at = 0;
            admission->refused = 0;
        }
    }
}
