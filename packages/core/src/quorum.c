/*
 * Majority rule: whether this side of a partition may claim unknown keys.
 *
 * A member that disappeared may be dead or on the other side of a partition,
 * where the same key may be claimed.  At most one side has the majority.
 */
#include "claims_private.h"

#include <string.h>

static bool
is_present(const mv_claims_t *claims, uint32_t id)
{
    return MvRequests_IsMember(claims->requests, (mv_node_id_t)id);
}

/* Several lost incarnations of one entry VM count as one absent member. */
static bool
is_first_of_its_id(const mv_claims_t *claims, guint position)
{
    const lost_member_t *loss =
        &g_array_index(claims->losses, lost_member_t, position);
    for (guint i = 0; i < position; i++) {
        if (g_array_index(claims->losses, lost_member_t, i).member.id ==
            loss->member.id) {
            return false;
        }
    }
    return true;
}

static bool
counts_as_absent(const mv_claims_t *claims, guint position)
{
    const lost_member_t *loss =
        &g_array_index(claims->losses, lost_member_t, position);
    return !is_present(claims, loss->member.id) &&
           is_first_of_its_id(claims, position);
}

static mv_time_t
find_first_absence(const mv_claims_t *claims)
{
    mv_time_t first_absent_at = INT64_MAX;
    for (guint i = 0; i < claims->losses->len; i++) {
        const lost_member_t *loss =
            &g_array_index(claims->losses, lost_member_t, i);
        if (counts_as_absent(claims, i)) {
            first_absent_at = MIN(first_absent_at, loss->since);
        }
    }
    return first_absent_at;
}

/* Whether node @id joined before the first absence; later ones are not counted
 * in the majority. */
static bool
joined_before(const mv_claims_t *claims, uint32_t id,
              mv_time_t first_absent_at)
{
    for (guint i = 0; i < claims->arrivals->len; i++) {
        const member_arrival_t *arrival =
            &g_array_index(claims->arrivals, member_arrival_t, i);
        if (arrival->member.id == id) {
            return arrival->id_since < first_absent_at;
        }
    }
    return false;
}

/* The present members that joined before the first absence, and the absent
 * members. */
static GArray *
members_before_absence(const mv_claims_t *claims)
{
    const mv_requests_t *requests = claims->requests;
    mv_time_t first_absent_at = find_first_absence(claims);
    GArray *earlier = g_array_new(FALSE, FALSE, sizeof(mv_request_member_t));
    for (size_t i = 0; i < requests->member_count; i++) {
        if (joined_before(claims, requests->members[i].id, first_absent_at)) {
            g_array_append_val(earlier, requests->members[i]);
        }
    }
    for (guint i = 0; i < claims->losses->len; i++) {
        if (counts_as_absent(claims, i)) {
            g_array_append_val(
                earlier,
                g_array_index(claims->losses, lost_member_t, i).member);
        }
    }
    return earlier;
}

void
MvQuorum_Update(mv_claims_t *claims)
{
    GArray *earlier = members_before_absence(claims);
    uint32_t lowest_id = UINT32_MAX;
    size_t present_count = 0;
    for (guint i = 0; i < earlier->len; i++) {
        uint32_t id = g_array_index(earlier, mv_request_member_t, i).id;
        lowest_id = MIN(lowest_id, id);
        present_count += is_present(claims, id);
    }
    claims->absent = earlier->len - present_count;
    /* Of two equal sides, the one with the lowest node id has the majority. */
    claims->has_majority =
        present_count > claims->absent ||
        (present_count == claims->absent && is_present(claims, lowest_id));
    g_array_unref(earlier);
}

bool
MvQuorum_MayClaim(const mv_claims_t *claims)
{
    return claims->absent == 0 || claims->has_majority;
}

bool
MvQuorum_AreOwnersStable(const mv_claims_t *claims, mv_key_hash_t key)
{
    if (claims->absent == 0 || MvEvidence_IsSynced(claims)) {
        return true;
    }
    mv_node_id_t owners_before[2];
    mv_node_id_t owners_now[2];
    GArray *earlier = members_before_absence(claims);
    MvEvidence_OwnersAmong(claims, key,
                           (const mv_request_member_t *)(void *)earlier->data,
                           earlier->len, owners_before);
    MvEvidence_Owners(claims, key, owners_now);
    g_array_unref(earlier);
    return owners_before[0] == owners_now[0] &&
           owners_before[1] == owners_now[1];
}

void
MvQuorum_ExpireLosses(mv_claims_t *claims, mv_time_t now)
{
    for (guint i = claims->losses->len; i-- > 0;) {
        const lost_member_t *loss =
            &g_array_index(claims->losses, lost_member_t, i);
        if (now - loss->since > MV_KEY_RETENTION &&
            is_present(claims, loss->member.id)) {
            g_array_remove_index(claims->losses, i);
        }
    }
}

/* Nodes listed in the settings */

static void
add_loss(mv_claims_t *claims, const lost_member_t *loss)
{
    g_array_append_val(claims->losses, *loss);
}

void
MvQuorum_RecordMissing(mv_claims_t *claims, mv_time_t now)
{
    for (guint i = 0; i < claims->expected->len; i++) {
        mv_node_id_t id = g_array_index(claims->expected, mv_node_id_t, i);
        lost_member_t loss = {.member.id = id, .since = now};
        if (!is_present(claims, id)) {
            add_loss(claims, &loss);
        }
    }
}

/* Losses and arrivals are sent to the other members, so that members that
 * joined later have them too. */

void
MvQuorum_AppendRecords(const mv_claims_t *claims, mv_time_t now,
                       GArray *records)
{
    mv_time_t first_absent_at = find_first_absence(claims);
    for (guint i = 0; i < claims->losses->len; i++) {
        const lost_member_t *loss =
            &g_array_index(claims->losses, lost_member_t, i);
        mv_claim_record_t record = {
            .op = MV_CLAIM_MEMBER_LOST,
            .node = loss->member.id,
            .request = loss->member.incarnation,
            .key_low = loss->member.data_centre,
            .age_ms = (uint32_t)MIN((now - loss->since) / MV_MILLISECOND,
                                    UINT32_MAX)};
        if (loss->member.incarnation != 0) {
            g_array_append_val(records, record);
        }
    }
    for (guint i = 0; i < claims->arrivals->len; i++) {
        const member_arrival_t *arrival =
            &g_array_index(claims->arrivals, member_arrival_t, i);
        mv_claim_record_t record = {
            .op = MV_CLAIM_MEMBER_JOINED,
            .node = arrival->member.id,
            .request = arrival->member.incarnation,
            .key_low = (uint64_t)((now - arrival->id_since) / MV_MILLISECOND),
            .age_ms = (uint32_t)((now - arrival->since) / MV_MILLISECOND)};
        if (now - arrival->since < MV_KEY_RETENTION ||
            arrival->id_since > first_absent_at) {
            g_array_append_val(records, record);
        }
    }
}

static bool
is_known_process(const mv_claims_t *claims, const mv_claim_record_t *record)
{
    const mv_requests_t *requests = claims->requests;
    for (size_t i = 0; i < requests->member_count; i++) {
        if (requests->members[i].id == record->node &&
            requests->members[i].incarnation == record->request) {
            return true;
        }
    }
    for (guint i = 0; i < claims->losses->len; i++) {
        const lost_member_t *loss =
            &g_array_index(claims->losses, lost_member_t, i);
        if (loss->member.id == record->node &&
            loss->member.incarnation == record->request) {
            return true;
        }
    }
    return false;
}

static void
handle_loss(mv_claims_t *claims, mv_time_t now,
            const mv_claim_record_t *record)
{
    gpointer process = MvProcess_Key(record->node, (uint32_t)record->request);
    if (is_known_process(claims, record) ||
        g_hash_table_contains(claims->handed_over, process)) {
        return;
    }
    lost_member_t loss = {.member.id = record->node,
                          .member.incarnation = (uint32_t)record->request,
                          .member.data_centre = (uint32_t)record->key_low,
                          .since = now - record->age_ms * MV_MILLISECOND};
    add_loss(claims, &loss);
}

static void
handle_arrival(mv_claims_t *claims, mv_time_t now,
               const mv_claim_record_t *record)
{
    mv_time_t since = now - record->age_ms * MV_MILLISECOND;
    mv_time_t id_since = now - (mv_time_t)record->key_low * MV_MILLISECOND;
    for (guint i = 0; i < claims->arrivals->len; i++) {
        member_arrival_t *arrival =
            &g_array_index(claims->arrivals, member_arrival_t, i);
        if (arrival->member.id != record->node) {
            continue;
        }
        /* The later time is kept, as a node assumes that the members of its
         * first view were present for the whole retention period. */
        if (arrival->member.incarnation == record->request) {
            arrival->since = MAX(arrival->since, since);
        }
        arrival->id_since = MAX(arrival->id_since, id_since);
    }
}

void
MvQuorum_HandleRecord(mv_claims_t *claims, mv_time_t now,
                      const mv_claim_record_t *record)
{
    if (record->op == MV_CLAIM_MEMBER_LOST) {
        handle_loss(claims, now, record);
    }
    else {
        handle_arrival(claims, now, record);
    }
    MvQuorum_Update(claims);
}
