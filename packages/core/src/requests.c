/* Request lifecycle: filters, claim, slot, dispatch, outcome. */
#include "requests_private.h"

#include <string.h>

#define MAX_ATTEMPTS 3
#define CLAIM_RETRY_INTERVAL (20 * MV_MILLISECOND)
/* Minimum time between timer runs, as MvRequests_Timer() may be called more
 * often. */
#define TIMER_INTERVAL (4 * MV_MILLISECOND)

static const char *const reason_names[MV_REASON_COUNT] = {
    [MV_REASON_NO_CONFIG] = "no-configuration",
    [MV_REASON_NO_SERVICE] = "no-such-service",
    [MV_REASON_SERVICE_ENDED] = "service-ended",
    [MV_REASON_NO_ENDPOINT] = "no-backend-server",
    [MV_REASON_DEADLINE] = "deadline",
    [MV_REASON_OVERLOAD] = "overload",
    [MV_REASON_STOPPING] = "stopping",
    [MV_REASON_BACKEND_REFUSED] = "backend-refused",
    [MV_REASON_BACKEND_BROKEN] = "backend-broken",
    [MV_REASON_DUPLICATE] = "duplicate",
    [MV_REASON_EVIDENCE_LOST] = "evidence-lost",
    [MV_REASON_CLAIM_UNAVAILABLE] = "claim-unavailable",
    [MV_REASON_PARTITIONED] = "partitioned",
};

const char *
MvReason_Name(mv_reason_t reason)
{
    return reason < MV_REASON_COUNT ? reason_names[reason] : "unknown";
}

mv_requests_t *
MvRequests_Create(mv_node_id_t self, mv_request_effects_t *effects,
                  mv_counters_t *counters, GRand *random, mv_time_t wall,
                  mv_time_t now)
{
    mv_requests_t *requests = g_try_new0(mv_requests_t, 1);
    if (!requests) {
        return NULL;
    }
    requests->self = self;
    requests->effects = effects;
    requests->counters = counters;
    requests->random = random;
    requests->wall_offset = wall - now;
    requests->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    requests->claims = MvClaims_Create(requests);
    requests->slots = MvSlots_Create(requests);
    return requests;
}

void
MvRequests_Destroy(mv_requests_t *requests)
{
    if (!requests) {
        return;
    }
    MvSlots_Destroy(requests->slots);
    MvClaims_Destroy(requests->claims);
    g_hash_table_unref(requests->requests);
    g_free(requests->members);
    if (requests->last_callers) {
        g_array_unref(requests->last_callers);
    }
    MvDeployment_Unref(requests->deployment);
    g_free(requests);
}

void
MvRequests_SetExpectedNodes(mv_requests_t *requests, const mv_node_id_t *ids,
                            size_t count)
{
    MvClaims_SetExpectedNodes(requests->claims, ids, count);
}

mv_request_t *
MvRequests_Find(const mv_requests_t *requests, mv_request_id_t id)
{
    return g_hash_table_lookup(requests->requests, &id);
}

bool
MvRequests_IsMember(const mv_requests_t *requests, mv_node_id_t id)
{
    for (size_t i = 0; i < requests->member_count; i++) {
        if (requests->members[i].id == id) {
            return true;
        }
    }
    return false;
}

/* End of a request */

void
MvRequests_Close(mv_requests_t *requests, mv_request_t *request)
{
    requests->open_count -= !request->abandoned;
    MvList_Remove(&request->link);
    g_hash_table_remove(requests->requests, &request->id);
}

static void
settle_claim(mv_requests_t *requests, mv_time_t now,
             const mv_request_t *request, uint32_t state, const char *bytes,
             size_t length)
{
    if (request->claimed) {
        MvClaims_Settle(requests->claims, now, request->key, request->id,
                        state, bytes, length);
    }
}

/* Reports the outcome.  A dispatched request is retained until its dispatch
 * ends and its slot is released. */
void
MvRequests_Finish(mv_requests_t *requests, mv_time_t now,
                  mv_request_t *request, mv_outcome_t outcome,
                  mv_reason_t reason)
{
    if (request->may_have_run) {
        outcome = MV_OUTCOME_UNKNOWN;
    }
    bool not_run = outcome == MV_OUTCOME_NOT_RUN;
    mv_request_id_t id = request->id;
    bool dispatched = request->state == MV_REQUEST_DISPATCHED;
    MvCounters_Add(requests->counters,
                   not_run ? MV_COUNTER_REQUESTS_NOT_RUN
                           : MV_COUNTER_REQUESTS_UNKNOWN,
                   1);
    requests->reason_counts[reason]++;
    settle_claim(requests, now, request,
                 not_run ? MV_CLAIM_NOT_RUN : MV_CLAIM_OUTCOME_UNKNOWN, NULL,
                 0);
    if (dispatched) {
        request->abandoned = true;
        requests->open_count--;
    }
    else {
        MvRequests_Close(requests, request);
    }
    requests->effects->ops->finish(requests->effects, id, outcome, reason);
    if (dispatched) {
        requests->effects->ops->cancel(requests->effects, id);
    }
}

void
MvRequests_Dispatch(mv_requests_t *requests, mv_time_t now,
                    mv_request_t *request, uint16_t endpoint, uint32_t slot)
{
    const mv_service_t *service =
        MvDeployment_FindService(requests->deployment, request->service);
    const mv_endpoint_t *configured =
        service ? MvService_FindEndpoint(service, endpoint) : NULL;
    mv_request_id_t id = request->id;
    MvList_Remove(&request->link);
    request->state = MV_REQUEST_DISPATCHED;
    request->endpoint = endpoint;
    request->slot = slot;
    request->attempts++;
    if (!configured) {
        MvRequests_CompleteDispatch(requests, now, id, MV_RESULT_UNREACHABLE,
                                    NULL, 0);
        return;
    }
    MvHistogram_Add(&requests->wait_times, now - request->arrived);
    MvCounters_Add(requests->counters, MV_COUNTER_REQUESTS_DISPATCHED, 1);
    if (request->attempts > 1) {
        MvCounters_Add(requests->counters, MV_COUNTER_REQUESTS_RETRIED, 1);
    }
    requests->effects->ops->dispatch(requests->effects, id, service,
                                     configured);
}

/* Inputs */

void
MvRequests_SetView(mv_requests_t *requests, mv_time_t now,
                   mv_deployment_t *deployment,
                   const mv_request_member_t *members, size_t count)
{
    mv_deployment_t *old = requests->deployment;
    mv_request_member_t *old_members = requests->members;
    size_t old_count = requests->member_count;
    bool same = old == deployment && old_count == count &&
                (count == 0 ||
                 !memcmp(old_members, members, count * sizeof(*members)));
    if (same) {
        return;
    }
    requests->deployment = deployment ? MvDeployment_Ref(deployment) : NULL;
    requests->members =
        g_memdup2(members, count * sizeof(mv_request_member_t));
    requests->member_count = count;
    MvSlots_SetView(requests->slots, now);
    MvClaims_SetView(requests->claims, now, old_members, old_count);
    MvSlots_Flush(requests->slots, now);
    g_free(old_members);
    MvDeployment_Unref(old);
}

void
MvRequests_Submit(mv_requests_t *requests, mv_time_t now,
                  const mv_request_info_t *info)
{
    MvCounters_Add(requests->counters, MV_COUNTER_REQUESTS_IN, 1);
    MvRetryBudget_Earn(&requests->retry_budget);
    mv_request_t *request = MvFilters_Run(requests, now, info);
    if (request && request->has_key) {
        request->state = MV_REQUEST_CLAIMING;
        MvClaims_Request(requests->claims, now, request);
    }
    else if (request) {
        MvSlots_Enqueue(requests->slots, now, request);
    }
    MvSlots_Flush(requests->slots, now);
}

static uint32_t
slot_run_result(mv_dispatch_result_t result)
{
    switch (result) {
    case MV_RESULT_COMPLETE:
        return MV_RETURN_SUCCESS;
    case MV_RESULT_NOT_PROCESSED:
        return MV_RETURN_SHED;
    default:
        return MV_RETURN_FAILED;
    }
}

static bool
may_retry(mv_requests_t *requests, mv_time_t now, const mv_request_t *request,
          mv_dispatch_result_t result)
{
    bool never_ran = result != MV_RESULT_INTERRUPTED;
    bool safe_to_repeat = never_ran || !request->non_idempotent;
    return safe_to_repeat && !requests->stopping &&
           request->attempts < MAX_ATTEMPTS && now < request->deadline &&
           MvRetryBudget_Spend(&requests->retry_budget);
}

static void
handle_failed_dispatch(mv_requests_t *requests, mv_time_t now,
                       mv_request_t *request, mv_dispatch_result_t result)
{
    request->state = MV_REQUEST_WAITING;
    request->may_have_run |= result == MV_RESULT_INTERRUPTED;
    if (may_retry(requests, now, request, result)) {
        MvSlots_Enqueue(requests->slots, now, request);
        return;
    }
    bool interrupted = result == MV_RESULT_INTERRUPTED;
    MvRequests_Finish(requests, now, request,
                      interrupted ? MV_OUTCOME_UNKNOWN : MV_OUTCOME_NOT_RUN,
                      interrupted ? MV_REASON_BACKEND_BROKEN
                                  : MV_REASON_BACKEND_REFUSED);
}

bool
MvRequests_CompleteDispatch(mv_requests_t *requests, mv_time_t now,
                            mv_request_id_t id, mv_dispatch_result_t result,
                            const char *bytes, size_t length)
{
    mv_request_t *request = MvRequests_Find(requests, id);
    bool deliver = false;
    if (!request || request->state != MV_REQUEST_DISPATCHED) {
        MvCounters_Add(requests->counters, MV_COUNTER_ANSWERS_LATE, 1);
        return false;
    }
    uint16_t service = request->service;
    uint16_t endpoint = request->endpoint;
    uint32_t slot = request->slot;
    /* A cancelled dispatch is not a failure of the backend server. */
    bool was_cancelled = request->abandoned && result == MV_RESULT_INTERRUPTED;
    uint32_t run_result =
        was_cancelled ? MV_RETURN_UNUSED : slot_run_result(result);
    if (result == MV_RESULT_COMPLETE) {
        /* Late answers are stored, too, for requests that repeat the key. */
        settle_claim(requests, now, request, MV_CLAIM_DONE, bytes, length);
        deliver = !request->abandoned;
        MvCounters_Add(requests->counters,
                       deliver ? MV_COUNTER_REQUESTS_ANSWERED
                               : MV_COUNTER_ANSWERS_LATE,
                       1);
        MvRequests_Close(requests, request);
    }
    else if (request->abandoned) {
        MvRequests_Close(requests, request);
    }
    else {
        handle_failed_dispatch(requests, now, request, result);
    }
    MvSlots_Release(requests->slots, now, service, endpoint, slot, id,
                    run_result);
    MvSlots_Flush(requests->slots, now);
    return deliver;
}

void
MvRequests_Cancel(mv_requests_t *requests, mv_time_t now, mv_request_id_t id)
{
    mv_request_t *request = MvRequests_Find(requests, id);
    if (!request || request->abandoned) {
        return;
    }
    MvCounters_Add(requests->counters, MV_COUNTER_REQUESTS_CANCELLED, 1);
    if (request->state == MV_REQUEST_DISPATCHED) {
        request->abandoned = true;
        requests->open_count--;
        settle_claim(requests, now, request, MV_CLAIM_OUTCOME_UNKNOWN, NULL,
                     0);
        requests->effects->ops->cancel(requests->effects, id);
    }
    else {
        settle_claim(requests, now, request,
                     request->may_have_run ? MV_CLAIM_OUTCOME_UNKNOWN
                                           : MV_CLAIM_NOT_RUN,
                     NULL, 0);
        MvSlots_Withdraw(requests->slots, now, request);
        MvRequests_Close(requests, request);
    }
    MvSlots_Flush(requests->slots, now);
}

void
MvRequests_Message(mv_requests_t *requests, mv_time_t now,
                   const mv_message_t *message)
{
    if (message->kind == MV_MESSAGE_SLOTS) {
        MvSlots_Message(requests->slots, now, message);
    }
    if (message->kind == MV_MESSAGE_CLAIMS) {
        MvClaims_Message(requests->claims, now, message);
    }
    MvSlots_Flush(requests->slots, now);
}

/* Ends a request whose deadline has passed. */
static void
expire(mv_requests_t *requests, mv_time_t now, mv_request_t *request)
{
    if (request->state == MV_REQUEST_DISPATCHED) {
        MvRequests_Finish(requests, now, request, MV_OUTCOME_UNKNOWN,
                          MV_REASON_DEADLINE);
        return;
    }
    bool claiming = request->state == MV_REQUEST_CLAIMING;
    if (request->is_duplicate) {
        MvRequests_Finish(requests, now, request, MV_OUTCOME_UNKNOWN,
                          MV_REASON_DUPLICATE);
        return;
    }
    MvSlots_Withdraw(requests->slots, now, request);
    MvRequests_Finish(requests, now, request, MV_OUTCOME_NOT_RUN,
                      claiming ? MV_REASON_CLAIM_UNAVAILABLE
                               : MV_REASON_DEADLINE);
}

void
MvRequests_Timer(mv_requests_t *requests, mv_time_t now)
{
    if (now < requests->next_timer) {
        return;
    }
    requests->next_timer = now + TIMER_INTERVAL;
    GList *all = g_hash_table_get_values(requests->requests);
    for (GList *item = all; item; item = item->next) {
        mv_request_t *request = item->data;
        if (!request->abandoned && now >= request->deadline) {
            expire(requests, now, request);
        }
        else if (request->state == MV_REQUEST_CLAIMING &&
                 now >= request->retry_claim_at) {
            request->retry_claim_at = now + CLAIM_RETRY_INTERVAL;
            MvClaims_Request(requests->claims, now, request);
        }
    }
    g_list_free(all);
    MvSlots_Timer(requests->slots, now);
    MvClaims_Timer(requests->claims, now);
    MvSlots_Flush(requests->slots, now);
}

void
MvRequests_Leave(mv_requests_t *requests, mv_time_t now)
{
    MvClaims_Leave(requests->claims, now);
    MvSlots_Flush(requests->slots, now);
}

void
MvRequests_Stop(mv_requests_t *requests)
{
    requests->stopping = true;
}

size_t
MvRequests_OpenCount(const mv_requests_t *requests)
{
    return requests->open_count;
}

json_t *
MvRequests_Dump(const mv_requests_t *requests, mv_time_t now)
{
    json_t *reasons = json_object();
    for (unsigned i = 0; i < MV_REASON_COUNT; i++) {
        json_object_set_new(
            reasons, reason_names[i],
            json_integer((json_int_t)requests->reason_counts[i]));
    }
    return json_pack(
        "{s:I,s:I,s:o,s:o,s:o,s:o}", "open", (json_int_t)requests->open_count,
        "claims", (json_int_t)MvClaims_Count(requests->claims), "wait_us",
        MvHistogram_ToJson(&requests->wait_times), "outcomes", reasons,
        "services", MvSlots_Dump(requests->slots), "last_callers",
        MvCallers_Dump(requests->last_callers, requests->deployment, now));
}
