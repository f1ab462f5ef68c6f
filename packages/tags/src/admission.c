/* Load shedding: refuses new flows whose answer would come too late.
 *
 * The failure this guards against: for some seconds more flows arrive than the
 * servers can take.  Without load shedding all of them queue at the servers,
 * nearly all answers are late, and callers learn only then that there was no
 * room.  A flow that is refused before its SYN was forwarded has certainly not
 * run, so that its caller may safely retry.  The least urgent flows are
 * refused first.
 *
 * A node has no figures of the servers' load or of its share of the flows.  It
 * detects an overload from the time that answers take, relative to the target
 * latency of their route.  During an overload it estimates the time to answer
 * a new flow from the number of pending flows and the rate at which flows are
 * served (Little's law), since measured answer times lag behind. */
#include "forwarder_private.h"

#include <math.h>

/* Delays are fractions of the target latency. */

/* An overload begins when the median delay reaches both OVERLOAD_DELAY and
 * OVERLOAD_FACTOR times the fast delay. */
#define OVERLOAD_DELAY 0.65
#define OVERLOAD_FACTOR 3
/* An overload ends when the median delay has been below that limit for this
 * long. */
#define OVERLOAD_HOLD MV_SECOND
/* New flows are accepted while their expected delay is below the greater
 * of ACCEPTED_DELAY and ACCEPTED_FACTOR times the fast delay. */
#define ACCEPTED_DELAY 0.45
#define ACCEPTED_FACTOR 2
/* Above that limit the refused part of the flows grows linearly with the
 * expected delay, from 0 to MAX_REFUSED_PART over this range. */
#define REFUSAL_RANGE 0.2
#define MAX_REFUSED_PART 0.95
/* Relative step of the estimated median: small enough that a few late answers
 * of one server hardly move it. */
#define MEDIAN_STEP 0.3
/* The median is the 50th percentile. */
#define MEDIAN_QUANTILE 0.5
/* The fast delay is the 20th percentile.  It rises more slowly during an
 * overload, when all delays include queueing. */
#define FAST_QUANTILE 0.2
#define FAST_STEP 0.005
#define FAST_STEP_OVERLOAD 0.0005
/* Number of answers before the fast delay is usable. */
#define MIN_ANSWERS 20
/* Lower bound of the estimated median and fast delay; smaller delays make no
 * difference. */
#define MIN_DELAY 0.05
/* Time constant of the exponential decay of the count of answered requests. */
#define SERVED_TIME_CONSTANT (500 * MV_MILLISECOND)
/* Time constant of the exponential decay of the counts of arrivals. */
#define ARRIVAL_TIME_CONSTANT MV_SECOND
/* When there are more retransmitted SYNs than this part of the new flows,
 * callers are retrying after an outage.  Their backlog is served within a
 * second, in the order that flow_queue.c gives it: no flow is refused. */
#define OUTAGE_RETRANSMISSION_PART 0.1
/* The end of load shedding is logged when no flow has been refused for this
 * long. */
#define SHEDDING_END_DELAY MV_SECOND

static unsigned
urgency_level(const mv_table_route_t *route)
{
    return MIN(route->route.urgency, MV_URGENCIES - 1);
}

static bool
is_overloaded(const mv_admission_t *admission, mv_time_t now)
{
    return admission->overloaded_at > 0 &&
           now - admission->overloaded_at < OVERLOAD_HOLD;
}

/* Relative step of the estimated fast delay. */
static double
fast_step(const mv_admission_t *admission, bool is_fast, mv_time_t now)
{
    if (admission->answer_count < MIN_ANSWERS) {
        return 1.0 / (admission->answer_count + 1);
    }
    return is_fast || !is_overloaded(admission, now) ? FAST_STEP
                                                     : FAST_STEP_OVERLOAD;
}

/* Return: @estimate moved by the relative @step towards the @quantile of all
 * samples. */
static double
updated_quantile(double estimate, double sample, double quantile, double step)
{
    double factor =
        sample < estimate ? 1 - step * (1 - quantile) : 1 + step * quantile;
    return MAX(estimate * factor, MIN_DELAY);
}

static void
count_served(mv_admission_t *admission, mv_time_t now)
{
    double kept =
        exp(-(double)(now - admission->served_at) / SERVED_TIME_CONSTANT);
    admission->served = admission->served * kept + 1;
    admission->served_at = now;
}

void
MvAdmission_NoteAnswer(mv_forwarder_t *forwarder, unsigned service,
                       mv_time_t now, mv_time_t took, mv_time_t target,
                       bool answered)
{
    mv_admission_t *admission = &MvService_Load(forwarder, service)->admission;
    if (target <= 0) {
        return;
    }
    /* A short or missing answer, as when a full server refuses, is late. */
    double delay = (double)(answered ? took : MAX(took, target)) / target;
    if (admission->answer_count == 0) {
        admission->median_delay = delay;
        admission->fast_delay = delay;
    }
    double step = fast_step(admission, delay < admission->fast_delay, now);
    admission->fast_delay =
        updated_quantile(admission->fast_delay, delay, FAST_QUANTILE, step);
    admission->median_delay = updated_quantile(admission->median_delay, delay,
                                               MEDIAN_QUANTILE, MEDIAN_STEP);
    admission->answer_count = MIN(admission->answer_count + 1, MIN_ANSWERS);
    if (answered) {
        count_served(admission, now);
    }
    if (admission->answer_count == MIN_ANSWERS &&
        admission->median_delay >=
            MAX(OVERLOAD_DELAY, OVERLOAD_FACTOR * admission->fast_delay)) {
        admission->overloaded_at = now;
    }
}

static void
count_arrival(mv_admission_t *admission, mv_time_t now, unsigned level)
{
    double kept =
        exp(-(double)(now - admission->arrived_at) / ARRIVAL_TIME_CONSTANT);
    for (unsigned i = 0; i < MV_URGENCIES; i++) {
        admission->arrivals[i] *= kept;
    }
    admission->retransmissions *= kept;
    admission->arrivals[level]++;
    admission->arrived_at = now;
}

void
MvAdmission_NoteRetransmission(mv_forwarder_t *forwarder, unsigned service)
{
    MvService_Load(forwarder, service)->admission.retransmissions++;
}

/* Part of the flows of @level to refuse when @part of all flows is to be
 * refused, the least urgent first. */
static double
refused_part_of_level(const mv_admission_t *admission, unsigned level,
                      double part)
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
    return admission->retransmissions > OUTAGE_RETRANSMISSION_PART * all;
}

/* Expected delay of a flow that arrives now: pending flows divided by the rate
 * at which flows are served. */
static double
expected_delay(const mv_service_load_t *load, mv_time_t now, mv_time_t target)
{
    const mv_admission_t *admission = &load->admission;
    double kept =
        exp(-(double)(now - admission->served_at) / SERVED_TIME_CONSTANT);
    double rate = admission->served * kept / SERVED_TIME_CONSTANT;
    return load->pending_flows == 0
               ? 0
               : load->pending_flows / rate / (double)target;
}

/* Part of all new flows to refuse. */
static double
refused_part(const mv_service_load_t *load, mv_time_t now, mv_time_t target)
{
    const mv_admission_t *admission = &load->admission;
    if (target <= 0 || !is_overloaded(admission, now) ||
        is_after_outage(admission)) {
        return 0;
    }
    double limit =
        MAX(ACCEPTED_DELAY, ACCEPTED_FACTOR * admission->fast_delay);
    double excess = expected_delay(load, now, target) - limit;
    return CLAMP(excess / REFUSAL_RANGE, 0, 1) * MAX_REFUSED_PART;
}

static void
count_refused(mv_forwarder_t *forwarder, mv_admission_t *admission,
              mv_time_t now)
{
    admission->last_refused_at = now;
    admission->refused_count++;
    if (admission->shedding_since == 0) {
        admission->shedding_since = now;
        forwarder->ops->event(forwarder->context, MV_EVENT_SHEDDING_BEGAN, 0,
                              lround(admission->median_delay * 100));
    }
}

/* A service that does not answer at all is not overloaded: it may return, and
 * callers whose flows were refused would have used up their retries by then.
 */
bool
MvAdmission_ShouldRefuse(mv_forwarder_t *forwarder, mv_time_t now,
                         const mv_table_route_t *route, unsigned service)
{
    mv_service_load_t *load = MvService_Load(forwarder, service);
    mv_admission_t *admission = &load->admission;
    unsigned level = urgency_level(route);
    count_arrival(admission, now, level);
    double part = refused_part(load, now, route->route.target_latency);
    if (part == 0 || MvService_IsSilent(forwarder, service) ||
        g_rand_double(forwarder->random) >=
            refused_part_of_level(admission, level, part)) {
        return false;
    }
    count_refused(forwarder, admission, now);
    return true;
}

void
MvAdmission_CheckEnd(mv_forwarder_t *forwarder, mv_time_t now)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, forwarder->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mv_admission_t *admission = &((mv_service_load_t *)value)->admission;
        if (admission->shedding_since > 0 &&
            now - admission->last_refused_at > SHEDDING_END_DELAY) {
            forwarder->ops->event(forwarder->context, MV_EVENT_SHEDDING_ENDED,
                                  0, admission->refused_count);
            admission->shedding_since = 0;
            admission->refused_count = 0;
        }
    }
}
