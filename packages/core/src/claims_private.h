/**
 * DOC: Shared declarations of the handling of idempotency keys.
 *
 * claims.c    claims of keys at owner, backup and requesting node
 * claims_sync.c  synchronisation when members change
 * evidence.c  which members hold a key's claim, and whether all claims of
 *             the key are known here
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
    bool replicated;
    bool granted;
    char *bytes;
    size_t length;
} claim_t;

/**
 * struct lost_member - An entry VM that disappeared without handing over its
 * claims.
 * @member: the entry VM; incarnation 0 when this process never saw it
 * @since: time at which its absence was noticed
 */
typedef struct lost_member {
    mv_request_member_t member;
    mv_time_t since;
} lost_member_t;

/**
 * struct member_arrival - An entry VM and the time it was first seen.
 * @member: its latest incarnation
 * @since: time at which that incarnation was first seen
 * @id_since: time at which its node id was first seen, in any incarnation
 */
typedef struct member_arrival {
    mv_request_member_t member;
    mv_time_t since;
    mv_time_t id_since;
} member_arrival_t;

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

/** MvProcess_Key() - Hash table key of one incarnation of an entry VM. */
static inline gpointer
MvProcess_Key(uint32_t id, uint32_t incarnation)
{
    return (gpointer)(uintptr_t)((uint64_t)incarnation << 16 | id);
}

/** MvClaims_SendAll() - Send records to another member in one message. */
void MvClaims_SendAll(mv_claims_t *claims, mv_node_id_t to,
                      mv_claim_record_t *records, size_t count);

/** MvClaim_Record() - A claim as a record; its bytes remain
 * owned by the claim. */
mv_claim_record_t MvClaim_Record(const claim_t *claim, uint32_t op,
                                 mv_time_t now);

/** MvClaims_SendRecords() - Send each claim to its owner and backup; when
 * @only is not MV_NO_NODE, send only to that member. */
void MvClaims_SendRecords(mv_claims_t *claims, mv_time_t now,
                          mv_node_id_t only);

/** MvClaims_HandleSyncEnd() - Member @from has sent all claims it
 * holds for this node. */
void MvClaims_HandleSyncEnd(mv_claims_t *claims, mv_node_id_t from,
                            const mv_claim_record_t *record, uint64_t epoch);

/** MvClaims_SyncTimer() - Request synchronisation from members that did not
 * send it. */
void MvClaims_SyncTimer(mv_claims_t *claims, mv_time_t now);

/** MvEvidence_OwnersAmong() - Owner and backup of a key among @members. */
void MvEvidence_OwnersAmong(const mv_claims_t *claims, mv_key_hash_t key,
                            const mv_request_member_t *members, size_t count,
                            mv_node_id_t out[2]);

/** MvEvidence_Owners() - Owner and backup of a key among the current members.
 */
void MvEvidence_Owners(const mv_claims_t *claims, mv_key_hash_t key,
                       mv_node_id_t out[2]);

/** MvEvidence_Epoch() - Hash of the current members; equal views have equal
 * epochs. */
uint64_t MvEvidence_Epoch(const mv_requests_t *requests);

/** MvEvidence_IsSyncedWith() - Whether member @id has synchronised in the
 * current view. */
bool MvEvidence_IsSyncedWith(const mv_claims_t *claims, mv_node_id_t id);

/** MvEvidence_IsSynced() - Whether all members have synchronised in the
 * current view. */
bool MvEvidence_IsSynced(const mv_claims_t *claims);

/** MvEvidence_RememberView() - Record the current view. */
void MvEvidence_RememberView(mv_claims_t *claims);

/** MvEvidence_NoteSynced() - All members are synchronised: forget earlier
 * views. */
void MvEvidence_NoteSynced(mv_claims_t *claims);

/** MvEvidence_IsComplete() - Whether all existing claims of @key are known
 * here. */
bool MvEvidence_IsComplete(mv_claims_t *claims, mv_key_hash_t key);

/** MvEvidence_MayBeLost() - Whether both members that held an earlier claim
 * of @key may be lost. */
bool MvEvidence_MayBeLost(const mv_claims_t *claims, mv_time_t now,
                          mv_key_hash_t key);

/** MvEvidence_NoteLosses() - Record members of the old view that disappeared
 * without handing over. */
void MvEvidence_NoteLosses(mv_claims_t *claims, mv_time_t now,
                           const mv_request_member_t *old, size_t old_count);

/** MvEvidence_DropReturned() - Forget losses of members that returned in the
 * same incarnation and thus with all their claims. */
void MvEvidence_DropReturned(mv_claims_t *claims);

/** MvEvidence_NoteArrivals() - Record members that were not seen before; in
 * the
 * @first view they are assumed to be old. */
void MvEvidence_NoteArrivals(mv_claims_t *claims, mv_time_t now, bool first);

/** MvQuorum_NoteExpected() - Record expected nodes that are missing from the
 * first view as lost. */
void MvQuorum_NoteExpected(mv_claims_t *claims, mv_time_t now);

/** MvQuorum_Update() - Recompute the majority after members, losses or
 * arrivals changed. */
void MvQuorum_Update(mv_claims_t *claims);

/**
 * MvQuorum_MayClaim() - Whether this side has the majority or no member is
 * absent.
 *
 * While false, a key that is not known here must not be claimed: the other
 * side of the partition may claim it.
 */
bool MvQuorum_MayClaim(const mv_claims_t *claims);

/**
 * MvQuorum_IsSettled() - Whether the owner and backup of @key are the same as
 * before members became absent, or all remaining members agree on the view.
 */
bool MvQuorum_IsSettled(const mv_claims_t *claims, mv_key_hash_t key);

/** MvQuorum_ExpireLosses() - Forget losses older than the retention of keys
 * whose entry VM has returned in a later incarnation. */
void MvQuorum_ExpireLosses(mv_claims_t *claims, mv_time_t now);

/** MvQuorum_AppendRecords() - Append records of the losses and arrivals that
 * other members must know. */
void MvQuorum_AppendRecords(const mv_claims_t *claims, mv_time_t now,
                            GArray *records);

/** MvQuorum_HandleRecord() - Handle another member's record of a loss or an
 * arrival. */
void MvQuorum_HandleRecord(mv_claims_t *claims, mv_time_t now,
                           const mv_claim_record_t *record);

#endif
