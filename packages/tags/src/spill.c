/* How much of a service's new flows leaves the own data centre. */
#include "spill.h"

/* Inverse weight of an answer in the smoothed time. */
#define SMOOTHING 16
/* Inverse weights in the usual time of a smoothed time that is shorter, or
 * longer: it hardly rises while there are queues. */
#define SHORTER_SMOOTHING 64
#define LONGER_SMOOTHING 2048
/* Where nothing was seen lately, answers are expected to take this much longer
 * than usual. */
#define UNSEEN_FACTOR 1.2
/* Answers older than this say nothing about a data centre. */
#define MAX_AGE (2 * MV_SECOND)
/* Part that leaves at most before it is known how long answers take elsewhere:
 * in a flood of all data centres nothing is gained there. */
#define MAX_UNSEEN 0.1
/* Shortest time in which the part that leaves moves from nothing to all. */
#define RAMP_TIME (2 * MV_SECOND)
/* Nothing leaves while that gains less than this part of the target latency,
 * and all when it gains GAIN_RANGE more.  Callers hardly notice what is below,
 * and the times of single answers vary.  A queue grows with what stays, so
 * that a part in proportion to the gain settles. */
#define MIN_GAIN 0.05
#define GAIN_RANGE 0.2
/* Less leaves when answers take longer than usual elsewhere, and nothing from
 * this part of the target latency on: there is no room, and data centres
 * without room would only exchange flows. */
#define MAX_WAIT 0.2
/* Longest step of the part that leaves, after a pause. */
#define MAX_STEP_TIME (200 * MV_MILLISECOND)

static mv_spill_record_t *
find_or_add(mv_spill_t *spill, uint32_t data_centre)
{
    for (unsigned i = 0; i < spill->count; i++) {
        if (spill->records[i].data_centre == data_centre) {
            return &spill->records[i];
        }
    }
    if (spill->count == MV_SPILL_DATA_CENTRES) {
        return NULL;
    }
    mv_spill_record_t *record = &spill->records[spill->count++];
    *record = (mv_spill_record_t){.data_centre = data_centre};
    return record;
}

static void
update_usual_time(mv_spill_t *spill, mv_time_t answer_time)
{
    if (spill->usual_time == 0) {
        spill->usual_time = answer_time;
        return;
    }
    mv_time_t difference = answer_time - spill->usual_time;
    spill->usual_time +=
        difference / (difference < 0 ? SHORTER_SMOOTHING : LONGER_SMOOTHING);
}

void
MvSpill_NoteAnswer(mv_spill_t *spill, mv_time_t now, uint32_t data_centre,
                   mv_time_t took)
{
    mv_spill_record_t *record = find_or_add(spill, data_centre);
    if (!record) {
        return;
    }
    bool is_old =
        record->answered_at == 0 || now - record->answered_at > MAX_AGE;
    record->answer_time =
        is_old
            ? took
            : record->answer_time + (took - record->answer_time) / SMOOTHING;
    record->answered_at = now;
    update_usual_time(spill, record->answer_time);
}

/* Return: what was seen lately of @data_centre, or NULL. */
static const mv_spill_record_t *
find_recent(const mv_spill_t *spill, mv_time_t now, uint32_t data_centre)
{
    for (unsigned i = 0; i < spill->count; i++) {
        const mv_spill_record_t *record = &spill->records[i];
        if (record->data_centre == data_centre &&
            now - record->answered_at <= MAX_AGE) {
            return record;
        }
    }
    return NULL;
}

bool
MvSpill_IsSeen(const mv_spill_t *spill, mv_time_t now, uint32_t data_centre)
{
    return find_recent(spill, now, data_centre) != NULL;
}

mv_time_t
MvSpill_AnswerTime(const mv_spill_t *spill, mv_time_t now,
                   uint32_t data_centre)
{
    const mv_spill_record_t *record = find_recent(spill, now, data_centre);
    return record ? record->answer_time
                  : (mv_time_t)(UNSEEN_FACTOR * (double)spill->usual_time);
}

mv_time_t
MvSpill_Wait(const mv_spill_t *spill, mv_time_t now, uint32_t data_centre)
{
    const mv_spill_record_t *record = find_recent(spill, now, data_centre);
    return record ? MAX(record->answer_time - spill->usual_time, 0) : 0;
}

/* Return: part that is to leave. */
static double
wanted_part(const mv_spill_prospects_t *prospects)
{
    mv_time_t unit = MAX(
        prospects->target > 0 ? prospects->target : prospects->elsewhere, 1);
    double gain = (double)(prospects->at_home - prospects->elsewhere);
    double part = (gain / (double)unit - MIN_GAIN) / GAIN_RANGE;
    double wait = (double)prospects->wait_elsewhere / (double)unit;
    double room = 1 - wait / MAX_WAIT;
    return CLAMP(part, 0, prospects->is_seen ? 1 : MAX_UNSEEN) *
           CLAMP(room, 0, 1);
}

double
MvSpill_Update(mv_spill_t *spill, mv_time_t now,
               const mv_spill_prospects_t *prospects)
{
    mv_time_t span = MIN(now - spill->updated_at, MAX_STEP_TIME);
    double step = (double)span / (double)RAMP_TIME;
    spill->updated_at = now;
    spill->away =
        CLAMP(wanted_part(prospects), spill->away - step, spill->away + step);
    return spill->away;
}
