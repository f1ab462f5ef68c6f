/* Outlier detection: servers whose requests fail while their peers answer.
 *
 * A server may accept flows and yet answer nothing, errors or very late; it
 * then looks free and draws more flows.  Such a server gets no new flows for a
 * while.  What all servers of a service do alike, as in an overload, speaks
 * against none of them. */
#include "forwarder_private.h"

#include <math.h>

/* Evidence counts for 1/e after such a time. */
#define MEMORY (3 * MV_SECOND)
/* So does what tells of the onset of an overload. */
#define SHORT_MEMORY (500 * MV_MILLISECOND)
/* Three failures within half a second, four in two. */
#define ENOUGH_FAILED 2.5
/* Part of its requests that must have failed. */
#define LEAST_PART 0.25
/* Where the peers fail more than that, the load is to blame. */
#define MOST_PEERS_FAIL 0.3
/* Failures that its peers had as well, twice over, count for nothing. */
#define TIMES_PEERS 2
/* Of a service's servers one in so many may be avoided at a time. */
#define ONE_IN 3
#define FIRST_BACK_OFF (3 * MV_SECOND)
#define LONGEST_BACK_OFF (12 * MV_SECOND)
/* Answers after which a server that had failed is trusted again. */
#define TRIAL_ANSWERS 5
/* Words between nodes: so often at most, about so many servers. */
#define REPORT_INTERVAL (250 * MV_MILLISECOND)
#define REPORTED_SERVERS 32
/* Reports of what happened before a server was avoided are here by then. */
#define REPORT_TRAVEL MV_SECOND
/* A node's own failure, not yet forgotten. */
#define OWN_FAILED 0.5

static void
add(mv_evidence_t *evidence, mv_time_t now, mv_time_t memory, double answered,
    double failed)
{
    double kept = exp(-(double)(now - evidence->at) / (double)memory);
    evidence->answered = evidence->answered * kept + answered;
    evidence->failed = evidence->failed * kept + failed;
    evidence->at = now;
}

static void
note(mv_record_t *record, mv_time_t now, bool answered)
{
    add(&record->lately, now, MEMORY, answered, !answered);
    add(&record->just_now, now, SHORT_MEMORY, answered, !answered);
}

static void
fade(mv_record_t *record, mv_time_t now)
{
    add(&record->lately, now, MEMORY, 0, 0);
    add(&record->just_now, now, SHORT_MEMORY, 0, 0);
}

static double
part_failed(const mv_evidence_t *evidence)
{
    double all = evidence->failed + evidence->answered;
    return all > 0 ? evidence->failed / all : 0;
}

static mv_evidence_t
without(const mv_evidence_t *all, const mv_evidence_t *own)
{
    return (mv_evidence_t){.answered = MAX(all->answered - own->answered, 0),
                           .failed = MAX(all->failed - own->failed, 0),
                           .at = all->at};
}

static mv_record_t
peers_of(const mv_record_t *all, const mv_record_t *own)
{
    return (mv_record_t){.lately = without(&all->lately, &own->lately),
                         .just_now = without(&all->just_now, &own->just_now)};
}

static double
part_of_peers(const mv_record_t *all, const mv_record_t *own)
{
    mv_record_t peers = peers_of(all, own);
    return MAX(part_failed(&peers.lately), part_failed(&peers.just_now));
}

/* One node may be cut off itself: two must say so, and this one may be one. */
static bool
is_witnessed(const mv_standing_t *standing)
{
    return standing->record.lately.failed >= OWN_FAILED ||
           standing->has_tellers;
}

/* Nobody is an outlier where the others fail as well. */
static bool
is_outlier(const mv_standing_t *standing, const mv_record_t *all)
{
    const mv_evidence_t *seen = &standing->record.lately;
    const mv_evidence_t own = {.answered =
                                   seen->answered + standing->told.answered,
                               .failed = seen->failed + standing->told.failed};
    double peers = part_of_peers(all, &standing->record);
    double excused = TIMES_PEERS * peers * (own.failed + own.answered);
    double enough = standing->trial_answers > 0 ? 1 : ENOUGH_FAILED;
    return is_witnessed(standing) && peers <= MOST_PEERS_FAIL &&
           part_failed(&own) >= LEAST_PART && own.failed - excused >= enough;
}

/* Enough servers remain without this one. */
static bool
can_be_spared(const mv_forwarder_t *forwarder, unsigned service, mv_time_t now)
{
    const mv_table_service_t *entry = &forwarder->table->services[service];
    unsigned avoided = 0;
    for (unsigned i = 0; i < entry->count; i++) {
        avoided +=
            now < forwarder->by_position[entry->servers[i]]->failing_until;
    }
    return entry->count > 1 && avoided < MAX(entry->count / ONE_IN, 1);
}

static void
avoid(mv_forwarder_t *forwarder, mv_standing_t *standing, mv_record_t *all,
      mv_time_t now)
{
    mv_time_t back_off = MAX(standing->failing_back_off, FIRST_BACK_OFF);
    standing->failing_until = now + back_off;
    standing->failing_back_off = MIN(2 * back_off, LONGEST_BACK_OFF);
    standing->trial_answers = TRIAL_ANSWERS;
    *all = peers_of(all, &standing->record);
    standing->record = (mv_record_t){.lately.at = now, .just_now.at = now};
    standing->told = (mv_evidence_t){.at = now};
    standing->has_tellers = false;
    MvCounters_Add(forwarder->counters, MV_COUNTER_SERVERS_FAILING, 1);
    forwarder->ops->event(forwarder->context, MV_EVENT_ENDPOINT_FAILING,
                          standing->server, back_off);
}

static void
note_trial(mv_forwarder_t *forwarder, mv_standing_t *standing)
{
    if (standing->trial_answers == 0 || --standing->trial_answers > 0) {
        return;
    }
    standing->failing_back_off = FIRST_BACK_OFF;
    forwarder->ops->event(forwarder->context, MV_EVENT_ENDPOINT_RELIABLE,
                          standing->server, 0);
}

static void
judge(mv_forwarder_t *forwarder, mv_standing_t *standing, unsigned service,
      mv_time_t now)
{
    mv_record_t *all = &MvService_Load(forwarder, service)->record;
    fade(all, now);
    fade(&standing->record, now);
    add(&standing->told, now, MEMORY, 0, 0);
    if (is_outlier(standing, all) && can_be_spared(forwarder, service, now) &&
        !MvService_IsFull(forwarder, service, now)) {
        avoid(forwarder, standing, all, now);
    }
}

/* The first report after a quiet time goes out at once. */
static void
note_untold(mv_forwarder_t *forwarder, mv_time_t now)
{
    mv_time_t due = MAX(now, forwarder->reported_at + REPORT_INTERVAL);
    forwarder->has_untold = true;
    forwarder->due_at = MIN(forwarder->due_at, due);
}

void
MvFailing_Note(mv_forwarder_t *forwarder, mv_standing_t *standing,
               unsigned service, mv_time_t now, mv_time_t asked_at,
               bool answered)
{
    if (!answered) {
        MvCounters_Add(forwarder->counters, MV_COUNTER_ANSWERS_MISSING, 1);
    }
    if (asked_at < standing->failing_until) {
        return;
    }
    note(&MvService_Load(forwarder, service)->record, now, answered);
    note(&standing->record, now, answered);
    add(&standing->untold, now, MEMORY, answered, !answered);
    if (answered) {
        note_trial(forwarder, standing);
        return;
    }
    note_untold(forwarder, now);
    judge(forwarder, standing, service, now);
}

/* Words between nodes */

static bool
is_worth_telling(mv_forwarder_t *forwarder, const mv_standing_t *standing,
                 unsigned service)
{
    const mv_record_t *all = &MvService_Load(forwarder, service)->record;
    return standing->untold.failed >= OWN_FAILED &&
           part_failed(&standing->untold) >= LEAST_PART &&
           part_of_peers(all, &standing->record) <= MOST_PEERS_FAIL;
}

mv_time_t
MvFailing_Report(mv_forwarder_t *forwarder, mv_time_t now)
{
    mv_load_record_t records[REPORTED_SERVERS];
    const mv_table_t *table = forwarder->table;
    size_t count = 0;
    if (!forwarder->has_untold) {
        return MV_NEVER;
    }
    if (now < forwarder->reported_at + REPORT_INTERVAL) {
        return forwarder->reported_at + REPORT_INTERVAL;
    }
    for (unsigned i = 0; i < table->server_count && count < REPORTED_SERVERS;
         i++) {
        mv_standing_t *standing = forwarder->by_position[i];
        if (is_worth_telling(forwarder, standing, table->servers[i].service)) {
            records[count++] = (mv_load_record_t){
                .endpoint = standing->tag,
                .answered = (uint32_t)lround(standing->untold.answered),
                .unanswered =
                    (uint32_t)MAX(lround(standing->untold.failed), 1)};
            standing->untold = (mv_evidence_t){.at = now};
        }
    }
    forwarder->has_untold = false;
    forwarder->reported_at = now;
    if (count > 0) {
        forwarder->ops->report(forwarder->context, records, count);
    }
    return MV_NEVER;
}

static void
note_teller(mv_standing_t *standing, mv_node_id_t from)
{
    if (standing->told.failed < OWN_FAILED) {
        standing->teller = from;
        standing->has_tellers = false;
    }
    standing->has_tellers = standing->has_tellers || standing->teller != from;
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
            now < forwarder->by_position[position]->failing_until +
                      REPORT_TRAVEL) {
            continue;
        }
        mv_standing_t *standing = forwarder->by_position[position];
        add(&standing->told, now, MEMORY, 0, 0);
        note_teller(standing, from);
        add(&standing->told, now, MEMORY, records[i].answered,
            records[i].unanswered);
        judge(forwarder, standing, table->servers[position].service, now);
    }
}
