/**
 * DOC: How much of a service's new flows leaves the own data centre.
 *
 * The load that this answers: a data centre has too few servers for its
 * callers for a while, and others have room.  Leaving costs travel time and
 * bytes between data centres; staying costs waiting.
 *
 * Each node compares what its own flows took, at home and elsewhere, and moves
 * the part that leaves slowly towards the cheaper side: graded, so that
 * neither all nor nothing moves at once, and drawn at random for each flow, so
 * that nodes which see the same do not all send to the same place.
 */
#ifndef MV_TAGS_SPILL_H
#define MV_TAGS_SPILL_H

#include "masticvane/base.h"

/** Data centres of one service that are told apart; others are left out. */
#define MV_SPILL_DATA_CENTRES 8

/**
 * struct mv_spill_record - What a node saw of a service in one data centre.
 * @data_centre: hash of its name
 * @answer_time: smoothed time from a request to the first byte of its answer
 * @answered_at: arrival of the last answer
 */
typedef struct mv_spill_record {
    uint32_t data_centre;
    mv_time_t answer_time;
    mv_time_t answered_at;
} mv_spill_record_t;

/**
 * struct mv_spill - State of one service.
 * @count: entries in @records
 * @records: one for each data centre
 * @usual_time: answer time without a queue, as seen in any data centre
 * @away: part of the new flows that leaves the own data centre, 0 to 1
 * @updated_at: time up to which @away was moved
 */
typedef struct mv_spill {
    unsigned count;
    mv_spill_record_t records[MV_SPILL_DATA_CENTRES];
    mv_time_t usual_time;
    double away;
    mv_time_t updated_at;
} mv_spill_t;

/** MvSpill_NoteAnswer() - A server of @data_centre took @took to answer. */
void MvSpill_NoteAnswer(mv_spill_t *spill, mv_time_t now, uint32_t data_centre,
                        mv_time_t took);

/**
 * MvSpill_AnswerTime() - Expected time from a request to its answer in
 * @data_centre.
 *
 * Where nothing was seen lately it is the usual time: to try it costs little,
 * and shows what it takes.
 */
mv_time_t MvSpill_AnswerTime(const mv_spill_t *spill, mv_time_t now,
                             uint32_t data_centre);

/** MvSpill_IsSeen() - Answers of @data_centre came lately. */
bool MvSpill_IsSeen(const mv_spill_t *spill, mv_time_t now,
                    uint32_t data_centre);

/**
 * struct mv_spill_prospects - What a flow may expect.
 * @at_home: expected time until its answer when it stays
 * @elsewhere: the same when it leaves, with the price of travel and bytes
 * @wait_elsewhere: part of @elsewhere that answers take longer than usual
 * @is_seen: answers from there came lately, MvSpill_IsSeen()
 * @target: target latency of its route, 0 when not set
 */
typedef struct mv_spill_prospects {
    mv_time_t at_home;
    mv_time_t elsewhere;
    mv_time_t wait_elsewhere;
    bool is_seen;
    mv_time_t target;
} mv_spill_prospects_t;

/** MvSpill_Wait() - Time that answers of @data_centre take beyond the usual.
 */
mv_time_t MvSpill_Wait(const mv_spill_t *spill, mv_time_t now,
                       uint32_t data_centre);

/**
 * MvSpill_Update() - Move the part that leaves.
 *
 * Return: the part of the new flows that leaves.
 */
double MvSpill_Update(mv_spill_t *spill, mv_time_t now,
                      const mv_spill_prospects_t *prospects);

#endif
