/* Outlier detection: finds servers whose requests fail while the other servers
 * of their service answer.
 *
 * A server may accept flows and yet answer nothing, return errors or answer
 * very late.  It then seems to be free and attracts more flows.  Such a server
 * gets no new flows during a back-off.  Failures that all servers of a service
 * have alike, as in an overload, do not count against any of them. */
#include "forwarder_private.h"

#include <math.h>

/* Time constants of the exponential decay of the counts of outcomes. */
#define LONG_TIME_CONSTANT (3 * MV_SECOND)
/* The short time constant shows the onset of an overload. */
#define SHORT_TIME_CONSTANT (500 * MV_MILLISECOND)
/* Least decayed count of failed requests of an outlier: three within half a
 * second reach this, or four within two seconds. */
#define MIN_FAILED 2.5
/* Least part of the requests to an outlier that must have failed. */
#define MIN_FAILED_PART 0.25
/* When a larger part of the other servers' requests fails, the service is
 * overloaded and no server is an outlier. */
#define MAX_PEERS_FAILED_PART 0.3
/* A server's failures count only as far as they exceed those that it would
 * have at this many times the failure rate of the other servers. */
#define PEER_RATE_FACTOR 2
/* At most one in this many servers of a service may be in back-off; one of two
 * may be as well. */
#define MAX_AVOIDED_DIVISOR 3
/* Lengths of an outlier's first and longest back-off; each back-off is twice
 * as long as the previous one. */
#define FIRST_BACK_OFF (3 * MV_SECOND)
#define MAX_BACK_OFF (12 * MV_SECOND)
/* Requests that a server must answer after a back-off before it counts as
 * reliable again. */
#define TRIAL_ANSWERS 5
/* Shortest time between two reports to other nodes. */
#define REPORT_INTERVAL (250 * MV_MILLISECOND)
/* Maximum number of servers in one report. */
#define MAX_REPORTED_SERVERS 32
/* Reports that arrive up to this long after a server's back-off are ignored:
 * they may be about failures before the back-off. */
#define REPORT_MAX_DELAY MV_SECOND
/* A smaller decayed count of failures is neither reported nor taken as
 * evidence that a node has seen failures. */
#define MIN_WITNESSED_FAILED 0.5

static void
add_decayed(mv_outcome_counts_t *counts, mv_time_t now,
            mv_time_t time_constant, double answered, double failed)
{
    double kept = exp(-(double)(now - counts->at) / (double)time_constant);
    counts->answered = counts->answered * kept + answered;
    counts->failed = counts->failed * kept + failed;
    counts->at = now;
}

static void
count_outcome(mv_outcome_history_t *history, mv_time_t now, bool answered)
{
    add_decayed(&history->long_term, now, LONG_TIME_CONSTANT, answered,
                !answered);
    add_decayed(&history->short_term, now, SHORT_TIME_CONSTANT, answered,
                !answered);
}

static void
decay(mv_outcome_history_t *history, mv_time_t now)
{
    add_decayed(&history->long_term, now, LONG_TIME_CONSTANT, 0, 0);
    add_decayed(&history->short_term, now, SHORT_TIME_CONSTANT, 0, 0);
}

static double
failed_part(const mv_outcome_counts_t *counts)
{
    double all = counts->failed + counts->answered;
    return all > 0 ? counts->failed / all : 0;
}

static mv_outcome_counts_t
subtract(const mv_outcome_counts_t *all, const mv_outcome_counts_t *own)
{
    return (mv_outcome_counts_t){.answered =
                                     MAX(all->answered - own->answered, 0),
                                 .failed = MAX(all->failed - own->failed, 0),
                                 .at = all->at};
}

static mv_outcome_history_t
history_of_peers(const mv_outcome_history_t *all,
                 const mv_outcome_history_t *own)
{
    return (mv_outcome_history_t){
        .long_term = subtract(&all->long_term, &own->long_term),
        .short_term = subtract(&all->short_term, &own->short_term)};
}

static double
failed_part_of_peers(const mv_outcome_history_t *all,
                     const mv_outcome_history_t *own)
{
    mv_outcome_history_t peers = history_of_peers(all, own);
    return MAX(failed_part(&peers.long_term), failed_part(&peers.short_term));
}

/* Reports of a single other node are not enough, as that node may itself be
 * cut off: this node must have seen failures, or two others reported them. */
static bool
is_witnessed(const mv_server_health_t *health)
{
    return health->history.long_term.failed >= MIN_WITNESSED_FAILED ||
           health->has_second_reporter;
}

/* No server is an outlier while the other servers fail as well. */
static bool
is_outlier(const mv_server_health_t *health, const mv_outcome_history_t *all)
{
    const mv_outcome_counts_t *seen = &health->history.long_term;
    const mv_outcome_counts_t own = {
        .answered = seen->answered + health->peer_counts.answered,
        .failed = seen->failed + health->peer_counts.failed};
    double peers = failed_part_of_peers(all, &health->history);
    double excused = PEER_RATE_FACTOR * peers * (own.failed + own.answered);
    double min_failed = health->trial_answers > 0 ? 1 : MIN_FAILED;
    return is_witnessed(health) && peers <= MAX_PEERS_FAILED_PART &&
           failed_part(&own) >= MIN_FAILED_PART &&
           own.failed - excused >= min_failed;
}

/* Return: true when one more server of the service may go into back-off: see
 * MAX_AVOIDED_DIVISOR. */
static bool
may_be_avoided(const mv_forwarder_t *forwarder, unsigned service,
               mv_time_t now)
{
    const mv_table_service_t *entry = &forwarder->table->services[service];
    unsigned avoided = 0;
    for (unsigned i = 0; i < entry->count; i++) {
        avoided +=
            now <
            forwarder->health_by_position[entry->servers[i]]->failing_until;
    }
    return entry->count > 1 &&
           avoided < MAX(entry->count / MAX_AVOIDED_DIVISOR, 1);
}

static void
start_back_off(mv_forwarder_t *forwarder, mv_server_health_t *health,
               mv_outcome_history_t *all, mv_time_t now)
{
    mv_time_t back_off = MAX(health->failing_back_off, FIRST_BACK_OFF);
    health->failing_until = now + back_off;
    health->failing_back_off = MIN(2 * back_off, MAX_BACK_OFF);
    health->trial_answers = TRIAL_ANSWERS;
    *all = history_of_peers(all, &health->history);
    health->history =
        (mv_outcome_history_t){.long_term.at = now, .short_term.at = now};
    health->peer_counts = (mv_outcome_counts_t){.at = now};
    health->has_second_reporter = false;
    MvCounters_Add(forwarder->counters, MV_COUNTER_SERVER_BACK_OFFS, 1);
    forwarder->ops->event(forwarder->context, MV_EVENT_ENDPOINT_FAILING,
                          health->server, back_off);
}

static void
count_trial_answer(mv_forwarder_t *forwarder, mv_server_health_t *health)
{
    if (health->trial_answers == 0 || --health->trial_answers > 0) {
        return;
    }
    health->failing_back_off = FIRST_BACK_OFF;
    forwarder->ops->event(forwarder->context, MV_EVENT_ENDPOINT_RELIABLE,
                          health->server, 0);
}

static void
check_outlier(mv_forwarder_t *forwarder, mv_server_health_t *health,
              unsigned service, mv_time_t now)
{
    mv_outcome_history_t *all = &MvService_Load(forwarder, service)->history;
    decay(all, now);
    decay(&health->history, now);
    add_decayed(&health->peer_counts, now, LONG_TIME_CONSTANT, 0, 0);
    if (is_outlier(health, all) && may_be_avoided(forwarder, service, now) &&
        !MvService_IsFull(forwarder, service, now)) {
        start_back_off(forwarder, health, all, now);
    }
}

/* The first report after a pause is sent at once. */
static void
schedule_report(mv_forwarder_t *forwarder, mv_time_t now)
{
    mv_time_t due = MAX(now, forwarder->reported_at + REPORT_INTERVAL);
    forwarder->has_unreported = true;
    forwarder->due_at = MIN(forwarder->due_at, due);
}

void
MvFailing_NoteRequest(mv_forwarder_t *forwarder, mv_server_health_t *health,
                      unsigned service, mv_time_t now, mv_time_t requested_at,
                      bool answered)
{
    if (!answered) {
        MvCounters_Add(forwarder->counters, MV_COUNTER_ANSWERS_MISSING, 1);
    }
    if (requested_at < health->failing_until) {
        return;
    }
    count_outcome(&MvService_Load(forwarder, service)->history, now, answered);
    count_outcome(&health->history, now, answered);
    add_decayed(&health->unreported, now, LONG_TIME_CONSTANT, answered,
                !answered);
    if (answered) {
        count_trial_answer(forwarder, health);
        return;
    }
    schedule_report(forwarder, now);
    check_outlier(forwarder, health, service, now);
}

/* Reports between nodes */

static bool
is_worth_reporting(mv_forwarder_t *forwarder, const mv_server_health_t *health,
                   unsigned service)
{
    const mv_outcome_history_t *all =
        &MvService_Load(forwarder, service)->history;
    return health->unreported.failed >= MIN_WITNESSED_FAILED &&
           failed_part(&health->unreported) >= MIN_FAILED_PART &&
           failed_part_of_peers(all, &health->history) <=
               MAX_PEERS_FAILED_PART;
}

mv_time_t
MvFailing_Report(mv_forwarder_t *forwarder, mv_time_t now)
{
    mv_load_record_t records[MAX_REPORTED_SERVERS];
    const mv_table_t *table = forwarder->table;
    size_t count = 0;
    if (!forwarder->has_unreported) {
        return MV_NEVER;
    }
    if (now < forwarder->reported_at + REPORT_INTERVAL) {
        return forwarder->reported_at + REPORT_INTERVAL;
    }
    for (unsigned i = 0;
         i < table->server_count && count < MAX_REPORTED_SERVERS; i++) {
        mv_server_health_t *health = forwarder->health_by_position[i];
        if (is_worth_reporting(forwarder, health, table->servers[i].service)) {
            records[count++] = (mv_load_record_t){
                .endpoint = health->tag,
                .answered = (uint32_t)lround(health->unreported.answered),
                .unanswered =
                    (uint32_t)MAX(lround(health->unreported.failed), 1)};
            health->unreported = (mv_outcome_counts_t){.at = now};
        }
    }
    forwarder->has_unreported = false;
    forwarder->reported_at = now;
    if (count > 0) {
        forwarder->ops->report(forwarder->context, records, count);
    }
    return MV_NEVER;
}

static void
note_reporter(mv_server_health_t *health, mv_node_id_t from)
{
    if (health->peer_counts.failed < MIN_WITNESSED_FAILED) {
        health->reporter = from;
        health->has_second_reporter = false;
    }
    health->has_second_reporter =
        health->has_second_reporter || health->reporter != from;
}

void
MvForwarder_ReceiveReport(mv_forwarder_t *forwarder, mv_time_t now,
                          mv_node_id_t from, const mv_load_record_t *records,
                          size_t count)
{
    const mv_table_t *table = forwarder->table;
    for (size_t i = 0; table && i < count; i++) {
        int position = MvTable_Server(table, records[i].endpoint);
        if (position < 0 ||
            now < forwarder->health_by_position[position]->failing_until +
                      REPORT_MAX_DELAY) {
            continue;
        }
        mv_server_health_t *health = forwarder->health_by_position[position];
        add_decayed(&health->peer_counts, now, LONG_TIME_CONSTANT, 0, 0);
        note_reporter(health, from);
        add_decayed(&health->peer_counts, now, LONG_TIME_CONSTANT,
                    records[i].answered, records[i].unanswered);
        check_outlier(forwarder, health, table->servers[position].service,
                      now);
    }
}
