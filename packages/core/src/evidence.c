/* Which members hold a key's claim, and whether all are known here. */
#include "claims_private.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#define MAX_VIEWS 16

static uint64_t
score(mv_key_hash_t key, mv_node_id_t node)
{
    uint64_t input[3] = {key.high, key.low, node};
    return XXH3_64bits(input, sizeof(input));
}

/* Highest score among @members, excluding one member and one data centre. */
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
        uint64_t value = score(key, (mv_node_id_t)members[i].id);
        if (!best || value > best_score) {
            best = &members[i];
            best_score = value;
        }
    }
    return best;
}

/* The backup is in another data centre than the owner, if there is one. */
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
        g_hash_table_lookup(claims->synced, GUINT_TO_POINTER(id));
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
MvEvidence_RememberView(mv_claims_t *claims)
{
    const mv_requests_t *requests = claims->requests;
    GArray *view = g_array_new(FALSE, FALSE, sizeof(mv_request_member_t));
    g_array_append_vals(view, requests->members,
                        (guint)requests->member_count);
    g_ptr_array_add(claims->views, view);
}

void
MvEvidence_NoteSynced(mv_claims_t *claims)
{
    if (claims->views->len > 1) {
        g_ptr_array_set_size(claims->views, 0);
        MvEvidence_RememberView(claims);
    }
    claims->ever_synced = true;
}

/*
 * Evidence about @key is complete when all members have synchronised, or when
 * this node was its owner or backup in every view since they last did.
 */
bool
MvEvidence_IsComplete(mv_claims_t *claims, mv_key_hash_t key)
{
    mv_node_id_t self = claims->requests->self;
    if (MvEvidence_IsSynced(claims)) {
        MvEvidence_NoteSynced(claims);
        return true;
    }
    bool kept = claims->ever_synced && claims->views->len <= MAX_VIEWS;
    for (guint i = 0; kept && i < claims->views->len; i++) {
        const GArray *view = g_ptr_array_index(claims->views, i);
        mv_node_id_t owners[2];
        MvEvidence_OwnersAmong(claims, key,
                               (const mv_request_member_t *)(void *)view->data,
                               view->len, owners);
        kept = owners[0] == self || owners[1] == self;
    }
    return kept;
}

/* Claims lost earlier would have expired by now. */
static bool
is_relevant(const lost_member_t *loss, mv_time_t now)
{
    return now - loss->since <= MV_KEY_RETENTION;
}

static bool
is_lost(const mv_claims_t *claims, mv_time_t now, mv_node_id_t id)
{
    for (guint i = 0; i < claims->losses->len; i++) {
        const lost_member_t *loss =
            &g_array_index(claims->losses, lost_member_t, i);
        if (loss->member.id == id && is_relevant(loss, now)) {
            return true;
        }
    }
    return false;
}

static bool
is_recent(const mv_claims_t *claims, mv_time_t now, mv_node_id_t id)
{
    for (guint i = 0; i < claims->arrivals->len; i++) {
        const member_arrival_t *one =
            &g_array_index(claims->arrivals, member_arrival_t, i);
        if (one->member.id == id) {
            return now - one->since < MV_KEY_RETENTION;
        }
    }
    return false;
}

/*
 * An earlier claim of @key was held by the owner and the backup among the
 * members of its time, which excludes members that joined since.  If both were
 * lost, the claim may be lost.
 */
bool
MvEvidence_MayBeLost(const mv_claims_t *claims, mv_time_t now,
                     mv_key_hash_t key)
{
    const mv_requests_t *requests = claims->requests;
    if (claims->losses->len < 2) {
        return false;
    }
    GArray *before = g_array_new(FALSE, FALSE, sizeof(mv_request_member_t));
    for (size_t i = 0; i < requests->member_count; i++) {
        const mv_request_member_t *member = &requests->members[i];
        mv_node_id_t id = (mv_node_id_t)member->id;
        if (!is_recent(claims, now, id) && !is_lost(claims, now, id)) {
            g_array_append_val(before, *member);
        }
    }
    for (guint i = 0; i < claims->losses->len; i++) {
        const lost_member_t *loss =
            &g_array_index(claims->losses, lost_member_t, i);
        if (is_relevant(loss, now)) {
            g_array_append_val(before, loss->member);
        }
    }
    mv_node_id_t owners[2];
    MvEvidence_OwnersAmong(claims, key,
                           (const mv_request_member_t *)(void *)before->data,
                           before->len, owners);
    g_array_unref(before);
    return is_lost(claims, now, owners[0]) && is_lost(claims, now, owners[1]);
}

void
MvEvidence_NoteLosses(mv_claims_t *claims, mv_time_t now,
                      const mv_request_member_t *old, size_t old_count)
{
    const mv_requests_t *requests = claims->requests;
    for (size_t i = 0; i < old_count; i++) {
        bool present = false;
        for (size_t j = 0; j < requests->member_count; j++) {
            present = present ||
                      !memcmp(&old[i], &requests->members[j], sizeof(old[i]));
        }
        gpointer incarnation = MvProcess_Key(old[i].id, old[i].incarnation);
        if (present ||
            g_hash_table_contains(claims->handed_over, incarnation)) {
            continue;
        }
        lost_member_t loss = {.member = old[i], .since = now};
        g_array_append_val(claims->losses, loss);
    }
}

/* A node that was never seen matches any incarnation with its id. */
static bool
is_same_process(const mv_request_member_t *lost,
                const mv_request_member_t *seen)
{
    return lost->id == seen->id &&
           (lost->incarnation == seen->incarnation || lost->incarnation == 0);
}

/* A member that was only disconnected or paused returns with all its claims.
 */
void
MvEvidence_DropReturned(mv_claims_t *claims)
{
    const mv_requests_t *requests = claims->requests;
    for (guint i = claims->losses->len; i-- > 0;) {
        const lost_member_t *loss =
            &g_array_index(claims->losses, lost_member_t, i);
        bool back = false;
        for (size_t j = 0; j < requests->member_count; j++) {
            const mv_request_member_t *member = &requests->members[j];
            back = back || is_same_process(&loss->member, member);
        }
        if (back) {
            g_array_remove_index(claims->losses, i);
            /* Either side may have claimed keys that the other does not know.
             */
            claims->ever_synced = false;
        }
    }
}

static member_arrival_t *
find_arrival(const mv_claims_t *claims, uint32_t id)
{
    for (guint i = 0; i < claims->arrivals->len; i++) {
        member_arrival_t *one =
            &g_array_index(claims->arrivals, member_arrival_t, i);
        if (one->member.id == id) {
            return one;
        }
    }
    return NULL;
}

void
MvEvidence_NoteArrivals(mv_claims_t *claims, mv_time_t now, bool first)
{
    const mv_requests_t *requests = claims->requests;
    mv_time_t since = first ? now - MV_KEY_RETENTION : now;
    for (size_t i = 0; i < requests->member_count; i++) {
        const mv_request_member_t *member = &requests->members[i];
        member_arrival_t *known = find_arrival(claims, member->id);
        if (!known) {
            member_arrival_t one = {
                .member = *member, .since = since, .id_since = since};
            g_array_append_val(claims->arrivals, one);
            continue;
        }
        if (known->member.incarnation != member->incarnation) {
            known->since = now;
        }
        known->member = *member;
    }
}
