/**
 * DOC: The copy's inside, for its encoding.
 */
#ifndef MV_REPLICA_PRIVATE_H
#define MV_REPLICA_PRIVATE_H

#include "masticvane/replica.h"

/**
 * struct mv_replica_entry - One key of the copy.
 * @place: in the order of revisions, NULL before its first one
 * @key: its name
 * @value: its value, NULL when @deleted
 * @length: bytes in @value
 * @revision: its last change
 * @deleted: it does not exist any more
 * @listed: seen in the list that is being read
 * @changed_at: when this node learned of it
 */
typedef struct mv_replica_entry {
    GSequenceIter *place;
    char *key;
    char *value;
    size_t length;
    uint64_t revision;
    bool deleted;
    bool listed;
    mv_time_t changed_at;
} mv_replica_entry_t;

/**
 * struct mv_replica - The copy.
 * @entries: by key
 * @by_revision: all entries that have a revision, the newest last
 * @count: entries that exist
 * @revision: every change up to it is in the copy
 * @purged_revision: keys deleted up to it may be forgotten
 */
struct mv_replica {
    GHashTable *entries;
    GSequence *by_revision;
    size_t count;
    uint64_t revision;
    uint64_t purged_revision;
    mv_replica_changed_t changed;
    void *context;
};

/** MvReplica_FirstAfter() - The oldest entry newer than @since, or the end. */
GSequenceIter *MvReplica_FirstAfter(const mv_replica_t *replica,
                                    uint64_t since);

#endif
