/*
 * Idempotency keys: each key is claimed at its owner and replicated to a
 * backup before its request is dispatched, so that the request runs at most
 * once.
 */
#include "claims_private.h"

#include <string.h>

#define SWEEP_INTERVAL (1 * MV_SECOND)

static void
free_view(gpointer view)
{
    g_array_unref(view);
}

static guint
key_hash(gconstpointer pointer)
{
    return (guint)((const mv_key_hash_t *)pointer)->low;
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    return !memcmp(a, b, sizeof(mv_key_hash_t));
}

static void
free_claim(gpointer pointer)
{
    claim_t *claim = pointer;
    g_free(claim->bytes);
    g_free(claim);
}

mv_claims_t *
MvClaims_Create(mv_requests_t *requests)
{
    mv_claims_t *claims = g_new0(mv_claims_t, 1);
    claims->requests = requests;
    claims->claims =
        g_hash_table_new_full(key_hash, key_equal, NULL, free_claim);
    claims->synced_epochs =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    claims->handed_over = g_hash_table_new(g_direct_hash, g_direct_equal);
    claims->losses = g_array_new(FALSE, FALSE, sizeof(lost_member_t));
    claims->views = g_ptr_array_new_with_free_func(free_view);
    claims->arrivals = g_array_new(FALSE, FALSE, sizeof(member_arrival_t));
    claims->expected = g_array_new(FALSE, FALSE, sizeof(mv_node_id_t));
    claims->has_majority = true;
    return claims;
}

void
MvClaims_Destroy(mv_claims_t *claims)
{
    g_hash_table_unref(claims->claims);
    g_hash_table_unref(claims->synced_epochs);
    g_hash_table_unref(claims->handed_over);
    g_array_unref(claims->losses);
    g_array_unref(claims->arrivals);
    g_array_unref(claims->expected);
    g_ptr_array_unref(claims->views);
    g_free(claims);
}

void
MvClaims_SetExpectedNodes(mv_claims_t *claims, const mv_node_id_t *ids,
                          size_t count)
{
    g_array_append_vals(claims->expected, ids, (guint)count);
}

size_t
MvClaims_Count(const mv_claims_t *claims)
{
    return g_hash_table_size(claims->claims);
}

/* Outgoing messages */

static void handle_record(mv_claims_t *claims, mv_time_t now,
                          mv_node_id_t from, const mv_claim_record_t *record,
                          uint64_t epoch);

void
MvClaims_SendMessage(mv_claims_t *claims, mv_node_id_t to,
                     mv_claim_record_t *records, size_t count)
{
    mv_requests_t *requests = claims->requests;
    mv_message_t message = {.kind = MV_MESSAGE_CLAIMS,
                            .from = requests->self,
                            .version = claims->epoch,
                            .claim_count = count,
                            .claims = records};
    requests->effects->ops->send(requests->effects, to, &message);
}

static void
send(mv_claims_t *claims, mv_time_t now, mv_node_id_t to,
     mv_claim_record_t record)
{
    if (to == claims->requests->self) {
        handle_record(claims, now, to, &record, claims->epoch);
        return;
    }
    MvClaims_SendMessage(claims, to, &record, 1);
}

mv_claim_record_t
MvClaim_ToRecord(const claim_t *claim, uint32_t op, mv_time_t now)
{
    return (mv_claim_record_t){
        .op = op,
        .key_high = claim->key.high,
        .key_low = claim->key.low,
        .state = claim->state,
        .node = claim->node,
        .request = claim->request,
        .age_ms = (uint32_t)((now - claim->since) / MV_MILLISECOND),
        .bytes = claim->bytes,
        .length = claim->length,
    };
}

/* Table of claims */

static claim_t *
find_claim(const mv_claims_t *claims, mv_key_hash_t key)
{
    return g_hash_table_lookup(claims->claims, &key);
}

static void
store_answer(claim_t *claim, const char *bytes, size_t length)
{
    g_free(claim->bytes);
    claim->bytes = NULL;
    claim->length = 0;
    if (claim->state == MV_CLAIM_DONE && length > MV_RETAINED_ANSWER_MAX) {
        claim->state = MV_CLAIM_DONE_UNRETAINED;
    }
    if (claim->state == MV_CLAIM_DONE && length > 0) {
        claim->bytes = g_memdup2(bytes, length);
        claim->length = length;
    }
}

static claim_t *
add_claim(mv_claims_t *claims, mv_time_t now, mv_key_hash_t key,
          mv_node_id_t node, mv_request_id_t request)
{
    claim_t *claim = g_new0(claim_t, 1);
    claim->key = key;
    claim->state = MV_CLAIMED;
    claim->node = node;
    claim->request = request;
    claim->since = now;
    g_hash_table_insert(claims->claims, &claim->key, claim);
    return claim;
}

static bool
is_same_claim(const claim_t *claim, const mv_claim_record_t *record)
{
    return claim->node == record->node && claim->request == record->request;
}

/* Ranks the states of a claim by how strongly they show that its request has
 * run. */
static int
run_evidence(uint32_t state)
{
    switch (state) {
    case MV_CLAIM_DONE:
        return 3;
    case MV_CLAIM_DONE_UNRETAINED:
        return 2;
    case MV_CLAIM_NOT_RUN:
        return 0;
    default:
        return 1;
    }
}

/*
 * Merges a record into the table.  For the same claim, CLAIMED and
 * OUTCOME_UNKNOWN are replaced by any state but CLAIMED; an unknown outcome is
 * not final, as the answer may arrive late.  In all other cases, the state
 * with the stronger evidence of a run is retained.
 */
static void
merge_record(mv_claims_t *claims, mv_time_t now,
             const mv_claim_record_t *record)
{
    mv_key_hash_t key = {.high = record->key_high, .low = record->key_low};
    claim_t *claim = find_claim(claims, key);
    if (!claim) {
        claim = add_claim(claims, now, key, (mv_node_id_t)record->node,
                          record->request);
        claim->since = now - record->age_ms * MV_MILLISECOND;
        claim->state = record->state;
        store_answer(claim, record->bytes, record->length);
        return;
    }
    bool is_open =
        claim->state == MV_CLAIMED || claim->state == MV_CLAIM_OUTCOME_UNKNOWN;
    bool settles_claim =
        is_same_claim(claim, record) && is_open && record->state != MV_CLAIMED;
    if (settles_claim ||
        run_evidence(record->state) > run_evidence(claim->state)) {
        claim->node = (mv_node_id_t)record->node;
        claim->request = record->request;
        claim->state = record->state;
        claim->replicated = false;
        store_answer(claim, record->bytes, record->length);
    }
}

/* Owner */

static void
reply_state(mv_claims_t *claims, mv_time_t now, mv_node_id_t to,
            mv_request_id_t request, const claim_t *claim)
{
    mv_claim_record_t record = MvClaim_ToRecord(claim, MV_CLAIM_STATE, now);
    record.request = request;
    send(claims, now, to, record);
}

static void
reply(mv_claims_t *claims, mv_time_t now, mv_node_id_t to, uint32_t op,
      const mv_claim_record_t *request_record)
{
    send(claims, now, to,
         (mv_claim_record_t){.op = op,
                             .key_high = request_record->key_high,
                             .key_low = request_record->key_low,
                             .node = to,
                             .request = request_record->request});
}

static void
replicate_or_grant(mv_claims_t *claims, mv_time_t now, claim_t *claim,
                   mv_node_id_t backup)
{
    if (claim->replicated || backup == MV_NO_NODE) {
        claim->granted = true;
        send(claims, now, claim->node,
             MvClaim_ToRecord(claim, MV_CLAIM_GRANTED, now));
        return;
    }
    send(claims, now, backup,
         MvClaim_ToRecord(claim, MV_CLAIM_REPLICATE, now));
}

static void
handle_request(mv_claims_t *claims, mv_time_t now, mv_node_id_t from,
               const mv_claim_record_t *record)
{
    mv_key_hash_t key = {.high = record->key_high, .low = record->key_low};
    mv_requests_t *requests = claims->requests;
    mv_node_id_t owners[2];
    MvEvidence_Owners(claims, key, owners);
    claim_t *claim = find_claim(claims, key);
    bool is_owner = owners[0] == requests->self;
    if (claim && claim->state == MV_CLAIM_NOT_RUN && is_owner) {
        g_hash_table_remove(claims->claims, &key);
        claim = NULL;
    }
    bool is_repeated = claim && claim->state == MV_CLAIMED &&
                       claim->node == from &&
                       claim->request == record->request;
    if (claim && !is_repeated && claim->state != MV_CLAIM_NOT_RUN) {
        MvCounters_Add(requests->counters, MV_COUNTER_CLAIMS_DUPLICATE, 1);
        reply_state(claims, now, from, record->request, claim);
        return;
    }
    /* Until the claim is granted, the other side of a partition may claim the
     * key. */
    bool not_granted = !claim || !claim->granted;
    if (is_owner && not_granted && !MvQuorum_MayClaim(claims)) {
        MvCounters_Add(requests->counters, MV_COUNTER_CLAIMS_MINORITY, 1);
        reply(claims, now, from, MV_CLAIM_MINORITY, record);
        return;
    }
    if (!is_owner || claims->leaving || !MvEvidence_IsComplete(claims, key) ||
        (not_granted && !MvQuorum_AreOwnersStable(claims, key))) {
        reply(claims, now, from, MV_CLAIM_RETRY, record);
        return;
    }
    if (!claim && MvEvidence_MayBeLost(claims, now, key)) {
        MvCounters_Add(requests->counters, MV_COUNTER_CLAIMS_REFUSED, 1);
        reply(claims, now, from, MV_CLAIM_LOST, record);
        return;
    }
    if (!claim) {
        MvCounters_Add(requests->counters, MV_COUNTER_CLAIMS_ACCEPTED, 1);
        claim = add_claim(claims, now, key, from, record->request);
    }
    replicate_or_grant(claims, now, claim, owners[1]);
}

static void
handle_replicated(mv_claims_t *claims, mv_time_t now, mv_node_id_t from,
                  const mv_claim_record_t *record)
{
    mv_key_hash_t key = {.high = record->key_high, .low = record->key_low};
    claim_t *claim = find_claim(claims, key);
    mv_node_id_t owners[2];
    MvEvidence_Owners(claims, key, owners);
    bool current = claim && claim->state == MV_CLAIMED &&
                   claim->node == record->node &&
                   claim->request == record->request &&
                   owners[0] == claims->requests->self && owners[1] == from;
    if (current && (claim->granted || MvQuorum_MayClaim(claims))) {
        claim->replicated = true;
        replicate_or_grant(claims, now, claim, owners[1]);
    }
}

/* Backup: accepts a claim only from the node that owns the key in the view of
 * this node. */
static void
handle_replicate(mv_claims_t *claims, mv_time_t now, mv_node_id_t from,
                 const mv_claim_record_t *record)
{
    mv_key_hash_t key = {.high = record->key_high, .low = record->key_low};
    claim_t *claim = find_claim(claims, key);
    mv_node_id_t owners[2];
    MvEvidence_Owners(claims, key, owners);
    if (owners[0] != from || owners[1] != claims->requests->self ||
        (!claim && !MvQuorum_MayClaim(claims))) {
        return;
    }
    if (claim && claim->state != MV_CLAIM_NOT_RUN &&
        !is_same_claim(claim, record)) {
        /* The owner lacks the claim that is held here: send it to the owner
         * instead of confirming the new one. */
        send(claims, now, from, MvClaim_ToRecord(claim, MV_CLAIM_RECORD, now));
        return;
    }
    if (claim) {
        g_hash_table_remove(claims->claims, &key);
    }
    add_claim(claims, now, key, (mv_node_id_t)record->node, record->request);
    mv_claim_record_t reply = *record;
    reply.op = MV_CLAIM_REPLICATED;
    reply.bytes = NULL;
    reply.length = 0;
    send(claims, now, from, reply);
}

/* Requesting node */

void
MvClaims_Request(mv_claims_t *claims, mv_time_t now, mv_request_t *request)
{
    mv_node_id_t owners[2];
    MvEvidence_Owners(claims, request->key, owners);
    if (owners[0] == MV_NO_NODE) {
        return;
    }
    send(claims, now, owners[0],
         (mv_claim_record_t){.op = MV_CLAIM_REQUEST,
                             .key_high = request->key.high,
                             .key_low = request->key.low,
                             .node = claims->requests->self,
                             .request = request->id});
}

static mv_request_t *
find_claiming(mv_claims_t *claims, const mv_claim_record_t *record)
{
    mv_request_t *request = MvRequests_Find(claims->requests, record->request);
    bool is_claiming = request && request->state == MV_REQUEST_CLAIMING &&
                       !request->abandoned &&
                       request->key.high == record->key_high &&
                       request->key.low == record->key_low;
    return is_claiming ? request : NULL;
}

/* A claim that arrives after its request has ended: releases the key, unless
 * the claim was granted before and settled then, as the request may have run.
 */
static void
release_late_claim(mv_claims_t *claims, mv_time_t now,
                   const mv_claim_record_t *record)
{
    const mv_key_hash_t key = {.high = record->key_high,
                               .low = record->key_low};
    const claim_t *claim = find_claim(claims, key);
    bool is_settled =
        claim && is_same_claim(claim, record) && claim->state != MV_CLAIMED;
    if (!is_settled && !MvRequests_Find(claims->requests, record->request)) {
        MvClaims_Settle(claims, now, key, record->request, MV_CLAIM_NOT_RUN,
                        NULL, 0);
    }
}

static void
handle_granted(mv_claims_t *claims, mv_time_t now,
               const mv_claim_record_t *record)
{
    mv_requests_t *requests = claims->requests;
    mv_request_t *request = find_claiming(claims, record);
    if (!request) {
        release_late_claim(claims, now, record);
        return;
    }
    request->claimed = true;
    /* Besides owner and backup, the node that dispatches the request retains
     * its claim. */
    merge_record(claims, now, record);
    MvSlots_Enqueue(requests->slots, now, request);
}

static void
handle_state(mv_claims_t *claims, mv_time_t now,
             const mv_claim_record_t *record)
{
    mv_requests_t *requests = claims->requests;
    mv_request_t *request = find_claiming(claims, record);
    if (!request) {
        return;
    }
    switch (record->state) {
    case MV_CLAIM_DONE: {
        mv_request_id_t id = request->id;
        MvCounters_Add(requests->counters, MV_COUNTER_REQUESTS_REPLAYED, 1);
        MvRequests_Close(requests, request);
        requests->effects->ops->replay(requests->effects, id, record->bytes,
                                       record->length);
        break;
    }
    case MV_CLAIM_DONE_UNRETAINED:
    case MV_CLAIM_OUTCOME_UNKNOWN:
        MvRequests_Finish(requests, now, request, MV_OUTCOME_UNKNOWN,
                          MV_REASON_DUPLICATE);
        break;
    default:
        /* The request that holds the key has not ended: the timer requests the
         * claim again until the deadline. */
        request->is_duplicate = true;
        break;
    }
}

static void
handle_lost(mv_claims_t *claims, mv_time_t now,
            const mv_claim_record_t *record)
{
    mv_request_t *request = find_claiming(claims, record);
    if (request) {
        MvRequests_Finish(claims->requests, now, request, MV_OUTCOME_UNKNOWN,
                          MV_REASON_EVIDENCE_LOST);
    }
}

static void
handle_minority(mv_claims_t *claims, mv_time_t now,
                const mv_claim_record_t *record)
{
    mv_request_t *request = find_claiming(claims, record);
    if (request) {
        MvRequests_Finish(claims->requests, now, request,
                          request->is_duplicate ? MV_OUTCOME_UNKNOWN
                                                : MV_OUTCOME_NOT_RUN,
                          MV_REASON_PARTITIONED);
    }
}

void
MvClaims_Settle(mv_claims_t *claims, mv_time_t now, mv_key_hash_t key,
                mv_request_id_t id, uint32_t state, const char *bytes,
                size_t length)
{
    mv_node_id_t self = claims->requests->self;
    mv_node_id_t owners[2];
    MvEvidence_Owners(claims, key, owners);
    bool is_retained = length <= MV_RETAINED_ANSWER_MAX;
    mv_claim_record_t record = {
        .op = MV_CLAIM_SETTLE,
        .key_high = key.high,
        .key_low = key.low,
        .state = state == MV_CLAIM_DONE && !is_retained
                     ? MV_CLAIM_DONE_UNRETAINED
                     : state,
        .node = self,
        .request = id,
        .bytes = is_retained ? (char *)bytes : NULL,
        .length = is_retained ? length : 0,
    };
    handle_record(claims, now, self, &record, claims->epoch);
    for (int i = 0; i < 2; i++) {
        if (owners[i] != MV_NO_NODE && owners[i] != self) {
            send(claims, now, owners[i], record);
        }
    }
}

static void
handle_settle(mv_claims_t *claims, mv_time_t now,
              const mv_claim_record_t *record)
{
    mv_key_hash_t key = {.high = record->key_high, .low = record->key_low};
    claim_t *claim = find_claim(claims, key);
    if (!claim) {
        if (record->state != MV_CLAIM_NOT_RUN) {
            merge_record(claims, now, record);
        }
        return;
    }
    if (is_same_claim(claim, record)) {
        merge_record(claims, now, record);
    }
}

/* Incoming messages */

static void
handle_record(mv_claims_t *claims, mv_time_t now, mv_node_id_t from,
              const mv_claim_record_t *record, uint64_t epoch)
{
    switch (record->op) {
    case MV_CLAIM_REQUEST:
        handle_request(claims, now, from, record);
        break;
    case MV_CLAIM_GRANTED:
        handle_granted(claims, now, record);
        break;
    case MV_CLAIM_STATE:
        handle_state(claims, now, record);
        break;
    case MV_CLAIM_LOST:
        handle_lost(claims, now, record);
        break;
    case MV_CLAIM_MINORITY:
        handle_minority(claims, now, record);
        break;
    case MV_CLAIM_MEMBER_LOST:
    case MV_CLAIM_MEMBER_JOINED:
        MvQuorum_HandleRecord(claims, now, record);
        break;
    case MV_CLAIM_REPLICATE:
        handle_replicate(claims, now, from, record);
        break;
    case MV_CLAIM_REPLICATED:
        handle_replicated(claims, now, from, record);
        break;
    case MV_CLAIM_SETTLE:
        handle_settle(claims, now, record);
        break;
    case MV_CLAIM_RECORD:
        merge_record(claims, now, record);
        break;
    case MV_CLAIM_SYNC_REQUEST:
        MvClaims_SendSync(claims, now, from);
        break;
    case MV_CLAIM_SYNC_END:
        MvClaims_HandleSyncEnd(claims, from, record, epoch);
        break;
    default:
        break; /* RETRY: the timer requests the claim again. */
    }
}

void
MvClaims_Message(mv_claims_t *claims, mv_time_t now,
                 const mv_message_t *message)
{
    for (size_t i = 0; i < message->claim_count; i++) {
        handle_record(claims, now, (mv_node_id_t)message->from,
                      &message->claims[i], message->version);
    }
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer now)
{
    const claim_t *claim = value;
    (void)key;
    return *(mv_time_t *)now - claim->since > MV_KEY_RETENTION;
}

void
MvClaims_Timer(mv_claims_t *claims, mv_time_t now)
{
    MvClaims_SyncTimer(claims, now);
    if (now >= claims->next_sweep) {
        claims->next_sweep = now + SWEEP_INTERVAL;
        g_hash_table_foreach_remove(claims->claims, is_expired, &now);
        MvQuorum_ExpireLosses(claims, now);
    }
}
