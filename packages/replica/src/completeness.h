/**
 * DOC: Time up to which the replica of a node lacks no change of the store, as
 * other nodes tell it.
 *
 * The failure this guards against: a node learns late that the announcement of
 * a server was removed, and takes the news for the removal.
 *
 * A node that knows the store tells in its heartbeats a revision and a time.
 * Another replica lacks nothing older as soon as it has reached the revision.
 * No time told is later than the sender's knowledge; what a heartbeat takes on
 * its way is not known and must be short.
 */
#ifndef MV_COMPLETENESS_H
#define MV_COMPLETENESS_H

#include "masticvane/replica.h"

/**
 * struct mv_completeness - What other nodes have told; zero before that.
 *
 * Invariant: every change that the store made before @told_at has a revision
 * of at most @told_revision, and the replica has every change from before
 * @reached_at.
 * @reached_at: latest time told whose revision the replica has reached
 * @told_at: latest time told
 * @told_revision: revision told with it
 */
typedef struct mv_completeness {
    mv_time_t reached_at;
    mv_time_t told_at;
    uint64_t told_revision;
} mv_completeness_t;

/**
 * MvCompleteness_Note() - Another node tells that its replica lacks no change
 * from before @told_at.
 * @revision: revision up to which the replica of this node is complete
 * @told_revision: revision up to which that of the other node is complete
 */
void MvCompleteness_Note(mv_completeness_t *completeness, uint64_t revision,
                         mv_time_t told_at, uint64_t told_revision);

/**
 * MvCompleteness_Time() - Time before which the store made no change that the
 * replica lacks, 0 while it is not known.
 * @revision: revision up to which the replica is complete
 */
mv_time_t MvCompleteness_Time(const mv_completeness_t *completeness,
                              uint64_t revision);

/** MvCompleteness_EncodeAge() - Age of a replica for a heartbeat, not 0. */
uint32_t MvCompleteness_EncodeAge(mv_time_t age);

/**
 * MvCompleteness_DecodeAge() - Age of the sender's replica.
 * @encoded: as encoded by the sender, not 0
 *
 * Return: MV_NEVER when it is too high to be told.
 */
mv_time_t MvCompleteness_DecodeAge(uint32_t encoded);

#endif
