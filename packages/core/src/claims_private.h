/**
 * DOC: What claims.c and evidence.c share.
 *
 * claims.c    claims of keys at owner, second and asker
 * claims_sync.c  telling each other when members change
 * evidence.c  who keeps a key's claim, and whether all of it is known here
 * quorum.c    whether this side of a partition may claim unknown keys
 */
#ifndef MV_CORE_CLAIMS_PRIVATE_H
#define MV_CORE_CLAIMS_PRIVATE_H

#include "requests_private.h"

typedef struct claim {
    mv_key_hash_t key;
    uint32_t state;
    mv_node_id_t node;
    mv_request_id_t request;
    mv_time_t since;
    bool copied;
    bool granted;
    char *bytes;
    size_t length;
} claim_t;

/**
 * struct loss - An entry VM that vanished without handing over.
 * @member: it, with a life of 0 when this process never saw it
 * @since: time it was missed
 */
typedef struct loss {
    mv_request_member_t member;
    mv_time_t since;
} loss_t;

/**
 * struct arrival - An entry VM and when it was first seen.
 * @member: its latest life
 * @since: time that life was first seen
 * @id_since: time its number was first seen, in whichever life
 */
typedef struct arrival {
    mv_request_member_t member;
    mv_time_t since;
    mv_time_t id_since;
} arrival_t;

struct mv_claims {
    mv_requests_t *requests;
    GHashTable *claims;
    GHashTable *synced;
    GHashTable *handed_over;
    GArray *losses;
    GArray *arrivals;
    GPtrArray *views;
    GArray *expected;
    size_t absent;
    bool has_majority;
    bool ever_synced;
    uint64_t epoch;
    mv_time_t next_sweep;
    mv_time_t next_sync;
    bool leaving;
};

/** MvProcess_Key() - One life of one entry VM, as a key of a hash table. */
static inline gpointer
MvProcess_Key(uint32_t id, uint32_t incarnation)
{
    return (gpointer)(uintptr_t)((uint64_t)incarnation << 16 | id);
}

/** MvClaims_SendAll() - Send records to another member in one message. */
void MvClaims_SendAll(mv_claims_t *claims, mv_node_id_t to,
                      mv_claim_record_t *records, size_t count);

/** MvClaim_Record() - A claim as a record; its bytes are only lent. */
mv_claim_record_t MvClaim_Record(const claim_t *claim, uint32_t op,
                                 mv_time_t now);

/** MvClaims_SendRecords() - Send every record to its owners, or with a member
 * @only those that it should have. */
void MvClaims_SendRecords(mv_claims_t *claims, mv_time_t now,
                          mv_node_id_t only);

/** MvClaims_TakeSyncEnd() - Member @from has told all it knows. */
void MvClaims_TakeSyncEnd(mv_claims_t *claims, mv_node_id_t from,
                          const mv_claim_record_t *record, uint64_t epoch);

/** MvClaims_SyncTimer() - Ask those whose word is missing. */
void MvClaims_SyncTimer(mv_claims_t *claims, mv_time_t now);

/** MvEvidence_OwnersAmong() - Owner and second of a key among @members. */
void MvEvidence_OwnersAmong(const mv_claims_t *claims, mv_key_hash_t key,
                            const mv_request_member_t *members, size_t count,
                            mv_node_id_t out[2]);

/** MvEvidence_Owners() - Owner and second of a key, of the members in force.
 */
void MvEvidence_Owners(const mv_claims_t *claims, mv_key_hash_t key,
                       mv_node_id_t out[2]);

/** MvEvidence_Epoch() - Number of a view; equal views have equal numbers. */
uint64_t MvEvidence_Epoch(const mv_requests_t *requests);

/** MvEvidence_IsSyncedWith() - Member @id told what it knows, in the view in
 * force. */
bool MvEvidence_IsSyncedWith(const mv_claims_t *claims, mv_node_id_t id);

/** MvEvidence_IsSynced() - All members did. */
bool MvEvidence_IsSynced(const mv_claims_t *claims);

/** MvEvidence_RememberView() - The view in force begins. */
void MvEvidence_RememberView(mv_claims_t *claims);

/** MvEvidence_NoteSynced() - From here on only the view in force counts. */
void MvEvidence_NoteSynced(mv_claims_t *claims);

/** MvEvidence_IsComplete() - What is known of @key here is all there is. */
bool MvEvidence_IsComplete(mv_claims_t *claims, mv_key_hash_t key);

/** MvEvidence_MayBeLost() - Those that kept an earlier claim of @key may be
 * gone. */
bool MvEvidence_MayBeLost(const mv_claims_t *claims, mv_time_t now,
                          mv_key_hash_t key);

/** MvEvidence_NoteLosses() - Members of the old view that vanished without a
 * word. */
void MvEvidence_NoteLosses(mv_claims_t *claims, mv_time_t now,
                           const mv_request_member_t *old, size_t old_count);

/** MvEvidence_DropReturned() - One that was only cut off comes back with all
 * it knew. */
void MvEvidence_DropReturned(mv_claims_t *claims);

/** MvEvidence_NoteArrivals() - Members that were not seen before. */
void MvEvidence_NoteArrivals(mv_claims_t *claims, mv_time_t now, bool first);

/** MvQuorum_NoteExpected() - Miss those that are not in the first view. */
void MvQuorum_NoteExpected(mv_claims_t *claims, mv_time_t now);

/** MvQuorum_Update() - The members, losses or arrivals changed. */
void MvQuorum_Update(mv_claims_t *claims);

/**
 * MvQuorum_MayClaim() - This side is the larger one, or nothing is missing.
 *
 * While it is false no key may be claimed that is not known here: the other
 * side may claim it.
 */
bool MvQuorum_MayClaim(const mv_claims_t *claims);

/**
 * MvQuorum_IsSettled() - The members that would have kept @key before some
 * were missed still keep it, or all who are left agree on who is left.
 */
bool MvQuorum_IsSettled(const mv_claims_t *claims, mv_key_hash_t key);

/** MvQuorum_Forget() - Drop lives whose entry VM is back in a later one and
 * whose evidence nobody needs. */
void MvQuorum_Forget(mv_claims_t *claims, mv_time_t now);

/** MvQuorum_Tell() - Append what a member should know of losses and arrivals.
 */
void MvQuorum_Tell(const mv_claims_t *claims, mv_time_t now, GArray *records);

/** MvQuorum_Told() - Another member's word about a loss or an arrival. */
void MvQuorum_Told(mv_claims_t *claims, mv_time_t now,
                   const mv_claim_record_t *record);

#endif
