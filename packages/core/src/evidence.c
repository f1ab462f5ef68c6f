/* Which members hold a key's claim, and whether all claims of the key are
 * known here. */
#include "claims_private.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* When there were more views than this since the last full synchronisation,
 * MvEvidence_IsComplete() waits for the next one instead of comparing them. */
#define MAX_VIEWS 16

static uint64_t
rendezvous_score(mv_key_hash_t key, mv_node_id_t node)
{
    uint64_t input[3] = {key.high, key.low, node};
    return XXH3_64bits(input, sizeof(input));
}

/* Returns the member with the highest score, except @excluded, members in
 * @excluded_centre unless that is 0, and this node while it is leaving. */
static const mv_request_member_t *
best_member(const mv_claims_t *claims, mv_key_hash_t key,
            const mv_request_member_t *members, size_t count,
            const mv_request_member_t *excluded, uint32_t excluded_centre)
{
    const mv_request_member_t *best = NULL;
    uint64_t best_score = 0;
    for (size_t i = 0; i < count; i++) {
        bool leaving =
            claims->leaving && members[i].id == claims->requests->self;
        if (leaving || &members[i] == excluded ||
            (excluded_centre && members[i].data_centre == excluded_centre)) {
            continue;
        }
        uint64_t score = rendezvous_score(key, (mv_node_id_t)members[i].id);
        if (!best || score > best_score) {
            best = &members[i];
            best_score = score;
        }
    }
    return best;
}

/* The backup is in another data centre than the owner, if any member is. */
void
MvEvidence_OwnersAmong(const mv_claims_t *claims, mv_key_hash_t key,
                       const mv_request_member_t *members, size_t count,
                       mv_node_id_t out[2])
{
    const mv_request_member_t *owner =
        best_member(claims, key, members, count, NULL, 0);
    const mv_request_member_t *backup = NULL;
    if (owner && owner->data_centre) {
        backup = best_member(claims, key, members, count, owner,
                             owner->data_centre);
    }
    if (owner && !backup) {
        backup = best_member(claims, key, members, count, owner, 0);
    }
    out[0] = owner ? (mv_node_id_t)owner->id : MV_NO_NODE;
    out[1] = backup ? (mv_node_id_t)backup->id : MV_NO_NODE;
}

void
MvEvidence_Owners(const mv_claims_t *claims, mv_key_hash_t key,
                  mv_node_id_t out[2])
{
    const mv_requests_t *requests = claims->requests;
    MvEvidence_OwnersAmong(claims, key, requests->members,
                           requests->member_count, out);
}

uint64_t
MvEvidence_Epoch(const mv_requests_t *requests)
{
    return XXH3_64bits(requests->members,
                       requests->member_count * sizeof(mv_request_member_t));
}

bool
MvEvidence_IsSyncedWith(const mv_claims_t *claims, mv_node_id_t id)
{
    const uint64_t *epoch =
        g_hash_table_lookup(claims->synced_epochs, GUINT_TO_POINTER(id));
    return epoch && *epoch == claims->epoch;
}

bool
MvEvidence_IsSynced(const mv_claims_t *claims)
{
    const mv_requests_t *requests = claims->requests;
    for (size_t i = 0; i < requests->member_count; i++) {
        mv_node_id_t id = (mv_node_id_t)requests->members[i].id;
        if (id != requests->self && !MvEvidence_IsSyncedWith(claims, id)) {
            return false;
        }
    }
    return true;
}

void
MvEvidence_RecordView(mv_claims_t *claims)
{
    const mv_requests_t *requests = claims->requests;
    GArray *view = g_array_new(FALSE, FALSE, sizeof(mv_request_member_t));
    g_array_append_vals(view, requests->members,
                        (guint)requests->member_count);
    g_ptr_array_add(claims->views, view);
}

void
MvEvidence_MarkSynced(mv_claims_t *claims)
{
    if (claims->views->len > 1) {
        g_ptr_array_set_size(claims->views, 0);
        MvEvidence_RecordView(claims);
    }
    claims->has_synced = true;
}

/*
 * All claims of @key are known here when all members have synchronised in this
 * view, or when this node was its owner or backup in every view since all
 * members last did.
 */
bool
MvEvidence_IsComplete(mv_claims_t *claims, mv_key_hash_t key)
{
    mv_node_id_t self = claims->requests->self;
    if (MvEvidence_IsSynced(claims)) {
        MvEvidence_MarkSynced(claims);
        return true;
    }
    bool is_complete = claims->has_synced && claims->views->len <= MAX_VIEWS;
    for (guint i = 0; is_complete && i < claims->views->len; i++) {
        const GArray *view = g_ptr_array_index(claims->views, i);
        mv_node_id_t owners[2];
        MvEvidence_OwnersAmong(claims, key,
                               (const mv_request_member_t *)(void *)view->data,
                               view->len, owners);
        is_complete = owners[0] == self || owners[1] == self;
    }
    return is_complete;
}

/* A member that was lost before the retention period held only claims that
 * have expired by now. */
static bool
is_within_retention(const lost_member_t *loss, mv_time_t now)
{
    return now - loss->since <= MV_KEY_RETENTION;
}

static bool
is_lost(const mv_claims_t *claims, mv_time_t now, mv_node_id_t id)
{
    for (guint i = 0; i < claims->losses->len; i++) {
        const lost_member_t *loss =
            &g_array_index(claims->losses, lost_member_t, i);
        if (loss->member.id == id && is_within_retention(loss, now)) {
            return true;
        }
    }
    return false;
}

static bool
joined_recently(const mv_claims_t *claims, mv_time_t now, mv_node_id_t id)
{
    for (guint i = 0; i < claims->arrivals->len; i++) {
        const member_arrival_t *arrival =
            &g_array_index(claims->arrivals, member_arrival_t, i);
        if (arrival->member.id == id) {
            return now - arrival->since < MV_KEY_RETENTION;
        }
    }
    return false;
}

/*
 * Reconstructs the members at the time of an earlier claim of @key: present
 * members that neither joined nor were lost within the retention period, and
 * the lost ones.  If both owner and backup among them were lost, the claim may
 * be lost.
 */
bool
MvEvidence_MayBeLost(const mv_claims_t *claims, mv_time_t now,
                     mv_key_hash_t key)
{
    const mv_requests_t *requests = claims->requests;
    if (claims->losses->len < 2) {
        return false;
    }
    GArray *earlier = g_array_new(FALSE, FALSE, sizeof(mv_request_member_t));
    for (size_t i = 0; i < requests->member_count; i++) {
        const mv_request_member_t *member = &requests->members[i];
        mv_node_id_t id = (mv_node_id_t)member->id;
        if (!joined_recently(claims, now, id) && !is_lost(claims, now, id)) {
            g_array_append_val(earlier, *member);
        }
    }
    for (guint i = 0; i < claims->losses->len; i++) {
        const lost_member_t *loss =
            &g_array_index(claims->losses, lost_member_t, i);
        if (is_within_retention(loss, now)) {
            g_array_append_val(earlier, loss->member);
        }
    }
    mv_node_id_t owners[2];
    MvEvidence_OwnersAmong(claims, key,
                           (const mv_request_member_t *)(void *)earlier->data,
                           earlier->len, owners);
    g_array_unref(earlier);
    return is_lost(claims, now, owners[0]) && is_lost(claims, now, owners[1]);
}

void
MvEvidence_RecordLosses(mv_claims_t *claims, mv_time_t now,
                        const mv_request_member_t *old, size_t old_count)
{
    const mv_requests_t *requests = claims->requests;
    for (size_t i = 0; i < old_count; i++) {
        bool is_present = false;
        for (size_t j = 0; j < requests->member_count; j++) {
            is_present = is_present || !memcmp(&old[i], &requests->members[j],
                                               sizeof(old[i]));
        }
        gpointer incarnation = MvProcess_Key(old[i].id, old[i].incarnation);
        if (is_present ||
            g_hash_table_contains(claims->handed_over, incarnation)) {
            continue;
        }
        lost_member_t loss = {.member = old[i], .since = now};
        g_array_append_val(claims->losses, loss);
    }
}

/* A node that was listed in the settings and missing from the first view is
 * lost with incarnation 0, as its incarnation is unknown: this matches any
 * incarnation of its id. */
static bool
is_same_process(const mv_request_member_t *lost,
                const mv_request_member_t *seen)
{
    return lost->id == seen->id &&
           (lost->incarnation == seen->incarnation || lost->incarnation == 0);
}

/* A member that was disconnected or paused returns in the same incarnation,
 * with all its claims. */
void
MvEvidence_RemoveReturned(mv_claims_t *claims)
{
    const mv_requests_t *requests = claims->requests;
    for (guint i = claims->losses->len; i-- > 0;) {
        const lost_member_t *loss =
            &g_array_index(claims->losses, lost_member_t, i);
        bool has_returned = false;
        for (size_t j = 0; j < requests->member_count; j++) {
            const mv_request_member_t *member = &requests->members[j];
            has_returned =
                has_returned || is_same_process(&loss->member, member);
        }
        if (has_returned) {
            g_array_remove_index(claims->losses, i);
            /* Keys may have been claimed on either side while the member was
             * absent: all members must synchronise again. */
            claims->has_synced = false;
        }
    }
}

static member_arrival_t *
find_arrival(const mv_claims_t *claims, uint32_t id)
{
    for (guint i = 0; i < claims->arrivals->len; i++) {
        member_arrival_t *arrival =
            &g_array_index(claims->arrivals, member_arrival_t, i);
        if (arrival->member.id == id) {
            return arrival;
        }
    }
    return NULL;
}

void
MvEvidence_RecordArrivals(mv_claims_t *claims, mv_time_t now, bool first)
{
    const mv_requests_t *requests = claims->requests;
    mv_time_t since = first ? now - MV_KEY_RETENTION : now;
    for (size_t i = 0; i < requests->member_count; i++) {
        const mv_request_member_t *member = &requests->members[i];
        member_arrival_t *existing = find_arrival(claims, member->id);
        if (!existing) {
            member_arrival_t arrival = {
                .member = *member, .since = since, .id_since = since};
            g_array_append_val(claims->arrivals, arrival);
            continue;
        }
        if (existing->member.incarnation != member->incarnation) {
            existing->since = now;
        }
        existing->member = *member;
    }
}
