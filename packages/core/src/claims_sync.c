/* Synchronisation of claims: when members change, every member sends its
 * claims to their owners and backups in the new view. */
#include "claims_private.h"

#define SYNC_INTERVAL (300 * MV_MILLISECOND)

static void
send_record(mv_claims_t *claims, mv_node_id_t to, mv_claim_record_t record)
{
    MvClaims_SendMessage(claims, to, &record, 1);
}

static void
send_sync_end(mv_claims_t *claims, mv_time_t now, mv_node_id_t to)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(mv_claim_record_t));
    MvQuorum_AppendRecords(claims, now, records);
    mv_claim_record_t end = {.op = MV_CLAIM_SYNC_END,
                             .state = claims->leaving,
                             .node = claims->requests->self};
    g_array_append_val(records, end);
    MvClaims_SendMessage(
        claims, to, (mv_claim_record_t *)(void *)records->data, records->len);
    g_array_unref(records);
}

void
MvClaims_SendSync(mv_claims_t *claims, mv_time_t now, mv_node_id_t recipient)
{
    mv_requests_t *requests = claims->requests;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, claims->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        claim_t *claim = value;
        mv_node_id_t owners[2];
        MvEvidence_Owners(claims, claim->key, owners);
        /* In a new view, the backup must confirm the claim again. */
        claim->replicated = claim->replicated && recipient != MV_NO_NODE;
        for (int i = 0; i < 2; i++) {
            bool is_recipient =
                recipient == MV_NO_NODE || recipient == owners[i];
            if (is_recipient && owners[i] != MV_NO_NODE &&
                owners[i] != requests->self) {
                send_record(claims, owners[i],
                            MvClaim_ToRecord(claim, MV_CLAIM_RECORD, now));
            }
        }
    }
    for (size_t i = 0; i < requests->member_count; i++) {
        mv_node_id_t id = (mv_node_id_t)requests->members[i].id;
        bool is_recipient = recipient == MV_NO_NODE || recipient == id;
        if (is_recipient && id != requests->self) {
            send_sync_end(claims, now, id);
        }
    }
}

/* Requests the synchronisations that are missing, as messages may be lost. */
static void
request_missing_syncs(mv_claims_t *claims)
{
    mv_requests_t *requests = claims->requests;
    for (size_t i = 0; i < requests->member_count; i++) {
        mv_node_id_t id = (mv_node_id_t)requests->members[i].id;
        if (id != requests->self && !MvEvidence_IsSyncedWith(claims, id)) {
            send_record(claims, id,
                        (mv_claim_record_t){.op = MV_CLAIM_SYNC_REQUEST,
                                            .node = requests->self});
        }
    }
}

void
MvClaims_SetView(mv_claims_t *claims, mv_time_t now,
                 const mv_request_member_t *old, size_t old_count)
{
    uint64_t epoch = MvEvidence_Epoch(claims->requests);
    if (epoch == claims->epoch) {
        return;
    }
    MvEvidence_RecordLosses(claims, now, old, old_count);
    MvEvidence_RemoveReturned(claims);
    MvEvidence_RecordArrivals(claims, now, claims->epoch == 0);
    if (claims->epoch == 0) {
        MvQuorum_RecordMissing(claims, now);
    }
    MvQuorum_Update(claims);
    claims->epoch = epoch;
    MvEvidence_RecordView(claims);
    MvClaims_SendSync(claims, now, MV_NO_NODE);
    claims->next_sync = now + SYNC_INTERVAL;
}

void
MvClaims_Leave(mv_claims_t *claims, mv_time_t now)
{
    claims->leaving = true;
    MvClaims_SendSync(claims, now, MV_NO_NODE);
}

void
MvClaims_HandleSyncEnd(mv_claims_t *claims, mv_node_id_t from,
                       const mv_claim_record_t *record, uint64_t epoch)
{
    const mv_requests_t *requests = claims->requests;
    uint64_t *synced_epoch = g_new0(uint64_t, 1);
    *synced_epoch = epoch;
    g_hash_table_insert(claims->synced_epochs, GUINT_TO_POINTER(from),
                        synced_epoch);
    /* The state is set when the sender is leaving. */
    for (size_t i = 0; record->state && i < requests->member_count; i++) {
        const mv_request_member_t *member = &requests->members[i];
        if (member->id == from) {
            g_hash_table_add(claims->handed_over,
                             MvProcess_Key(member->id, member->incarnation));
        }
    }
}

void
MvClaims_SyncTimer(mv_claims_t *claims, mv_time_t now)
{
    if (now < claims->next_sync) {
        return;
    }
    claims->next_sync = now + SYNC_INTERVAL;
    if (MvEvidence_IsSynced(claims)) {
        MvEvidence_MarkSynced(claims);
    }
    request_missing_syncs(claims);
}
