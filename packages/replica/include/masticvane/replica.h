/**
 * DOC: masticvane replica
 *
 * A read-only copy of the platform's store that every node holds.  Each key
 * carries the revision of its last change, and a key never goes back to an
 * older one, whoever tells of it: that is what keeps a configuration from
 * reverting.  The copy as a whole is complete up to one revision.  The
 * follower keeps the copy fresh by lists and watches.  Nothing here does I/O:
 * the store is a vtable, time and randomness are arguments.
 *
 * Threads: everything belongs to the control thread.
 */
#ifndef MASTICVANE_REPLICA_H
#define MASTICVANE_REPLICA_H

#include "masticvane/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Copy */

/** typedef mv_replica_t - The copy. */
typedef struct mv_replica mv_replica_t;

/** typedef mv_replica_changed_t - Receives each key that changed. */
typedef void (*mv_replica_changed_t)(void *context,
                                     const mv_store_item_t *item);

/** MvReplica_Create() - Empty copy, complete up to revision 0. */
mv_replica_t *MvReplica_Create(mv_replica_changed_t changed, void *context);

/** MvReplica_Destroy() - Free; NULL is accepted. */
void MvReplica_Destroy(mv_replica_t *replica);

/** MvReplica_Revision() - Every change up to it is in the copy. */
uint64_t MvReplica_Revision(const mv_replica_t *replica);

/** MvReplica_Count() - Keys that exist. */
size_t MvReplica_Count(const mv_replica_t *replica);

/**
 * MvReplica_Apply() - Take over a key if it is newer than what is known.
 *
 * Return: true when it was newer.
 */
bool MvReplica_Apply(mv_replica_t *replica, mv_time_t now,
                     const mv_store_item_t *item);

/** MvReplica_Advance() - Every change up to @revision has been applied. */
void MvReplica_Advance(mv_replica_t *replica, uint64_t revision);

/** MvReplica_BeginList() - A whole list begins; its items are applied. */
void MvReplica_BeginList(mv_replica_t *replica);

/**
 * MvReplica_EndList() - The whole list was applied.
 * @revision: revision of the store at the list's first page
 *
 * Keys that were not in the list and are not newer than it are gone.
 */
void MvReplica_EndList(mv_replica_t *replica, mv_time_t now,
                       uint64_t revision);

/* Follower */

/** typedef mv_follower_t - Keeps a copy fresh. */
typedef struct mv_follower mv_follower_t;

/**
 * struct mv_follower_settings - Bounds of the follower.
 * @wait: how long a watch waits for a change; a silent store is noticed
 *        this late
 * @gather: after a change the next watch begins this much later, so that
 *          changes that come together cost one call
 * @back_off: pause after a failed call; doubled up to @longest_back_off
 * @longest_back_off: longest pause
 */
typedef struct mv_follower_settings {
    mv_time_t wait;
    mv_time_t gather;
    mv_time_t back_off;
    mv_time_t longest_back_off;
} mv_follower_settings_t;

/** MvFollowerSettings_Default() - Settings that fit bounds of 3 s. */
mv_follower_settings_t MvFollowerSettings_Default(void);

/**
 * MvFollower_Create() - Follower of a whole store, not yet started.
 * @store: must outlive the follower
 * @replica: kept fresh; must outlive the follower
 * @random: spreads retries; not owned
 */
mv_follower_t *MvFollower_Create(const mv_follower_settings_t *settings,
                                 mv_store_t *store, mv_replica_t *replica,
                                 GRand *random);

/** MvFollower_Destroy() - Free, before the store; NULL is accepted. */
void MvFollower_Destroy(mv_follower_t *follower);

/**
 * MvFollower_Timer() - Begin what is due.
 *
 * Return: the time of the next call that is needed, at most.
 */
mv_time_t MvFollower_Timer(mv_follower_t *follower, mv_time_t now);

/** MvFollower_HeardAt() - Time of the store's last good answer, or 0. */
mv_time_t MvFollower_HeardAt(const mv_follower_t *follower);

/** MvFollower_IsComplete() - A whole list has been taken over. */
bool MvFollower_IsComplete(const mv_follower_t *follower);

/** MvFollower_IsReachable() - The last call had a good answer. */
bool MvFollower_IsReachable(const mv_follower_t *follower);

#ifdef __cplusplus
}
#endif
#endif
