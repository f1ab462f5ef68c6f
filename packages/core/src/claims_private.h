/**
 * DOC: Shared declarations of the handling of idempotency keys.
 *
 * claims.c       claims of keys at owner, backup and requesting node
 * claims_sync.c  synchronisation when members change
 * evidence.c     which members hold a key's claim, and whether all claims of
 *                the key are known here
 * quorum.c       whether this side of a partition may claim unknown keys
 *
 * A view is a set of live members.  Each key has an owner and a backup in each
 * view; both hold its claim.
 */
#ifndef MV_CORE_CLAIMS_PRIVATE_H
#define MV_CORE_CLAIMS_PRIVATE_H

#include "requests_private.h"

/**
 * struct claim - Claim of an idempotency key by a request.
 * @key: hash of the key
 * @state: one of MV_CLAIMED to MV_CLAIM_NOT_RUN, see requests_private.h
 * @node: node that received the request
 * @request: id of the request at @node
 * @since: time at which the key was claimed
 * @replicated: the backup of the current view has confirmed that it holds it
 * @granted: at the owner: @node was informed that it may run the request
 * @bytes: retained answer, or NULL; owned
 * @length: length of @bytes
 */
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
 * @member: the entry VM; incarnation 0, for unknown, when it was listed in the
 *     settings and missing from the first view
 * @since: time at which it left the view, or was missing from the first one
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

/**
 * struct mv_claims - Idempotency keys at one entry VM.
 * @requests: the request decisions that it belongs to
 * @claims: claims held here, by key hash
 * @synced_epochs: epoch of the last synchronisation of each member, by id
 * @handed_over: incarnations that sent all claims before a planned shutdown,
 *     by MvProcess_Key()
 * @losses: &struct lost_member
 * @arrivals: &struct member_arrival, the latest incarnation of each node id
 * @views: members of each view since the last full synchronisation
 * @expected: node ids listed in the settings
 * @absent: lost members that are not in the view, several incarnations of one
 *     entry VM counted once
 * @has_majority: this side of a partition has the majority
 * @has_synced: all members have synchronised since a lost member last returned
 * @epoch: MvEvidence_Epoch() of the view
 * @next_sweep: time at which expired claims are removed next
 * @next_sync: time at which missing synchronisations are requested next
 * @leaving: a planned shutdown has begun; this node owns no keys
 */
struct mv_claims {
    mv_requests_t *requests;
    GHashTable *claims;
    GHashTable *synced_epochs;
    GHashTable *handed_over;
    GArray *losses;
    GArray *arrivals;
    GPtrArray *views;
    GArray *expected;
    size_t absent;
    bool has_majority;
    bool has_synced;
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

/**
 * MvClaims_SendMessage() - Send @count records to another member in one
 * message.
 */
void MvClaims_SendMessage(mv_claims_t *claims, mv_node_id_t to,
                          mv_claim_record_t *records, size_t count);

/**
 * MvClaim_ToRecord() - Return a claim as a record with operation @op; its
 * bytes remain owned by the claim.
 */
mv_claim_record_t MvClaim_ToRecord(const claim_t *claim, uint32_t op,
                                   mv_time_t now);

/**
 * MvClaims_SendSync() - Send each claim to its owner and backup, then the end
 * of the synchronisation to each member.
 * @recipient: send only to this member; MV_NO_NODE for all
 */
void MvClaims_SendSync(mv_claims_t *claims, mv_time_t now,
                       mv_node_id_t recipient);

/**
 * MvClaims_HandleSyncEnd() - Record that member @from, in the view @epoch,
 * has sent all claims that this node must hold.
 */
void MvClaims_HandleSyncEnd(mv_claims_t *claims, mv_node_id_t from,
                            const mv_claim_record_t *record, uint64_t epoch);

/**
 * MvClaims_SyncTimer() - Request synchronisation from members that have not
 * sent it in the current view.
 */
void MvClaims_SyncTimer(mv_claims_t *claims, mv_time_t now);

/**
 * MvEvidence_OwnersAmong() - Set @out to the owner and backup of a key among
 * @members, MV_NO_NODE when there is none.
 */
void MvEvidence_OwnersAmong(const mv_claims_t *claims, mv_key_hash_t key,
                            const mv_request_member_t *members, size_t count,
                            mv_node_id_t out[2]);

/**
 * MvEvidence_Owners() - Set @out to the owner and backup of a key among the
 * current members, MV_NO_NODE when there is none.
 */
void MvEvidence_Owners(const mv_claims_t *claims, mv_key_hash_t key,
                       mv_node_id_t out[2]);

/**
 * MvEvidence_Epoch() - Hash of the current members; equal views have equal
 * epochs.
 */
uint64_t MvEvidence_Epoch(const mv_requests_t *requests);

/**
 * MvEvidence_IsSyncedWith() - Whether member @id has synchronised in the
 * current view.
 */
bool MvEvidence_IsSyncedWith(const mv_claims_t *claims, mv_node_id_t id);

/**
 * MvEvidence_IsSynced() - Whether all members have synchronised in the
 * current view.
 */
bool MvEvidence_IsSynced(const mv_claims_t *claims);

/** MvEvidence_RecordView() - Record the current view. */
void MvEvidence_RecordView(mv_claims_t *claims);

/**
 * MvEvidence_MarkSynced() - Record that all members have synchronised and
 * discard earlier views.
 */
void MvEvidence_MarkSynced(mv_claims_t *claims);

/**
 * MvEvidence_IsComplete() - Whether all existing claims of @key are known
 * here.
 */
bool MvEvidence_IsComplete(mv_claims_t *claims, mv_key_hash_t key);

/**
 * MvEvidence_MayBeLost() - Whether both members that would hold an earlier
 * claim of @key were lost within the retention period.
 */
bool MvEvidence_MayBeLost(const mv_claims_t *claims, mv_time_t now,
                          mv_key_hash_t key);

/**
 * MvEvidence_RecordLosses() - Record members of the view @old that left it
 * without handing over their claims.
 */
void MvEvidence_RecordLosses(mv_claims_t *claims, mv_time_t now,
                             const mv_request_member_t *old, size_t old_count);

/**
 * MvEvidence_RemoveReturned() - Remove losses of members that returned in the
 * same incarnation and thus with all their claims.
 */
void MvEvidence_RemoveReturned(mv_claims_t *claims);

/**
 * MvEvidence_RecordArrivals() - Record members, and incarnations of members,
 * that were not seen before.
 * @first: this is the first view; its members are assumed to have been present
 *     for the whole retention period
 */
void MvEvidence_RecordArrivals(mv_claims_t *claims, mv_time_t now, bool first);

/**
 * MvQuorum_RecordMissing() - Record the nodes listed in the settings that are
 * missing from the first view as lost.
 */
void MvQuorum_RecordMissing(mv_claims_t *claims, mv_time_t now);

/**
 * MvQuorum_Update() - Recompute the majority after members, losses or
 * arrivals changed.
 */
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
 * MvQuorum_AreOwnersStable() - Whether no member is absent, the owner and
 * backup of @key are the same as before members became absent, or all
 * remaining members have synchronised in the current view.
 */
bool MvQuorum_AreOwnersStable(const mv_claims_t *claims, mv_key_hash_t key);

/**
 * MvQuorum_ExpireLosses() - Remove losses older than the retention period
 * whose entry VM has returned in a later incarnation.
 */
void MvQuorum_ExpireLosses(mv_claims_t *claims, mv_time_t now);

/**
 * MvQuorum_AppendRecords() - Append the losses and arrivals that other
 * members need to compute the same majority.
 */
void MvQuorum_AppendRecords(const mv_claims_t *claims, mv_time_t now,
                            GArray *records);

/**
 * MvQuorum_HandleRecord() - Handle another member's record of a loss or an
 * arrival.
 */
void MvQuorum_HandleRecord(mv_claims_t *claims, mv_time_t now,
                           const mv_claim_record_t *record);

#endif
