/**
 * DOC: Internal structures of the replica, shared by replica.c and delta.c.
 */
#ifndef MV_REPLICA_PRIVATE_H
#define MV_REPLICA_PRIVATE_H

#include "masticvane/replica.h"

/**
 * struct mv_replica_entry - One key of the replica.
 * @position: position in mv_replica.by_revision, NULL while not in it
 * @key: name of the key
 * @value: NUL-terminated value, NULL when @deleted
 * @length: length of @value in bytes
 * @revision: revision of its last change, 0 before the first one
 * @deleted: the entry is a tombstone or has never had a value
 * @changed_at: time at which this node applied the last change
 */
typedef struct mv_replica_entry {
    GSequenceIter *position;
    char *key;
    char *value;
    size_t length;
    uint64_t revision;
    bool deleted;
    mv_time_t changed_at;
} mv_replica_entry_t;

/**
 * struct mv_replica - A replica of the store.
 * @entries: all entries by key
 * @by_revision: all entries that have a revision, the newest last
 * @count: number of entries that are not tombstones
 * @revision: revision up to which the replica is complete
 * @purged_revision: tombstones up to this revision may be missing or older
 *                   than the deletion.  All keys of that time were known: when
 *                   a key has no value, a change up to this revision was
 *                   followed by a deletion
 * @changed: called for each key that changed
 * @context: first argument of @changed
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

/** MvReplica_FirstAfter() - Oldest entry after @since, or the end iterator. */
GSequenceIter *MvReplica_FirstAfter(const mv_replica_t *replica,
                                    uint64_t since);

#endif
