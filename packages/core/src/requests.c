/* Requests: which may run, where, and what their caller is told. */
#include "masticvane/requests.h"

#include <string.h>

typedef struct request {
    mv_request_id_t id;
    mv_list_t queued;
    const mv_service_t *service;
    const mv_work_t *work;
    mv_time_t deadline;
    mv_time_t arrived;
    uint16_t endpoint;
    bool dispatched;
    bool abandoned;
} request_t;

struct mv_requests {
    mv_node_id_t self;
    mv_request_effects_t *effects;
    mv_counters_t *counters;
    GRand *random;
    mv_time_t wall_offset;
    mv_deployment_t *deployment;
    GHashTable *requests;
    GHashTable *busy;
    mv_list_t queue;
    size_t open;
    bool stopping;
    mv_histogram_t waits;
};

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
    requests->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                               NULL, g_free);
    requests->busy = g_hash_table_new(g_direct_hash, g_direct_equal);
    MvList_Init(&requests->queue);
    return requests;
}

void
MvRequests_Destroy(mv_requests_t *requests)
{
    if (!requests) {
        return;
    }
    g_hash_table_unref(requests->requests);
    g_hash_table_unref(requests->busy);
    MvDeployment_Unref(requests->deployment);
    g_free(requests);
}

static const mv_service_t *
find_service(const mv_requests_t *requests, const char *name)
{
    const mv_deployment_t *deployment = requests->deployment;
    for (uint16_t i = 0; deployment && i < deployment->service_count; i++) {
        if (!strcmp(deployment->services[i].name, name)) {
            return &deployment->services[i];
        }
    }
    return NULL;
}

static const mv_work_t *
find_work(const mv_service_t *service, const mv_request_info_t *info)
{
    for (uint16_t i = 0; i < service->work_count; i++) {
        const mv_work_t *work = &service->work[i];
        bool method = !*work->method || !strcmp(work->method, info->method);
        if (method && g_str_has_prefix(info->path, work->path)) {
            return work;
        }
    }
    return NULL;
}

static gpointer
slot_key(const mv_service_t *service, uint16_t endpoint)
{
    return GUINT_TO_POINTER(((guint)service->id << 16) | endpoint);
}

static guint
busy_slots(const mv_requests_t *requests, const mv_service_t *service,
           uint16_t endpoint)
{
    return GPOINTER_TO_UINT(
        g_hash_table_lookup(requests->busy, slot_key(service, endpoint)));
}

static void
add_busy(mv_requests_t *requests, const mv_service_t *service,
         uint16_t endpoint, int change)
{
    guint busy = busy_slots(requests, service, endpoint);
    g_hash_table_insert(requests->busy, slot_key(service, endpoint),
                        GUINT_TO_POINTER(busy + (guint)change));
}

static const mv_endpoint_t *
choose_endpoint(const mv_requests_t *requests, const mv_service_t *service,
                mv_time_t now)
{
    const mv_endpoint_t *best = NULL;
    guint best_busy = 0;
    guint start = (guint)g_rand_int_range(requests->random, 0,
                                          service->endpoint_count);
    mv_time_t wall = now + requests->wall_offset;
    for (guint i = 0; i < service->endpoint_count; i++) {
        const mv_endpoint_t *endpoint =
            &service->endpoints[(start + i) % service->endpoint_count];
        if (endpoint->leaves_at && endpoint->leaves_at * MV_SECOND <= wall) {
            continue;
        }
        guint busy = busy_slots(requests, service, endpoint->id);
        if (!best || busy < best_busy) {
            best = endpoint;
            best_busy = busy;
        }
    }
    return best;
}

static void
close_request(mv_requests_t *requests, request_t *request)
{
    if (request->dispatched) {
        add_busy(requests, request->service, request->endpoint, -1);
    }
    requests->open -= !request->abandoned;
    MvList_Remove(&request->queued);
    g_hash_table_remove(requests->requests, &request->id);
}

static void
finish(mv_requests_t *requests, mv_request_id_t id, mv_outcome_t outcome,
       mv_reason_t reason)
{
    MvCounters_Add(requests->counters,
                   outcome == MV_OUTCOME_NOT_RUN ? MV_COUNTER_REQUESTS_NOT_RUN
                                                 : MV_COUNTER_REQUESTS_UNKNOWN,
                   1);
    requests->effects->ops->finish(requests->effects, id, outcome, reason);
}

static void
dispatch(mv_requests_t *requests, mv_time_t now, request_t *request)
{
    const mv_endpoint_t *endpoint =
        choose_endpoint(requests, request->service, now);
    if (!endpoint) {
        finish(requests, request->id, MV_OUTCOME_NOT_RUN,
               MV_REASON_NO_ENDPOINT);
        close_request(requests, request);
        return;
    }
    request->endpoint = endpoint->id;
    request->dispatched = true;
    add_busy(requests, request->service, endpoint->id, 1);
    MvHistogram_Add(&requests->waits, now - request->arrived);
    MvCounters_Add(requests->counters, MV_COUNTER_REQUESTS_DISPATCHED, 1);
    requests->effects->ops->dispatch(requests->effects, request->id,
                                     request->service, endpoint);
}

void
MvRequests_View(mv_requests_t *requests, mv_time_t now,
                mv_deployment_t *deployment, const mv_node_id_t *members,
                size_t count)
{
    (void)now;
    (void)members;
    (void)count;
    mv_deployment_t *old = requests->deployment;
    requests->deployment = deployment ? MvDeployment_Ref(deployment) : NULL;
    MvDeployment_Unref(old);
}

void
MvRequests_Submit(mv_requests_t *requests, mv_time_t now,
                  const mv_request_info_t *info)
{
    MvCounters_Add(requests->counters, MV_COUNTER_REQUESTS_IN, 1);
    const mv_service_t *service = find_service(requests, info->service);
    if (requests->stopping || !requests->deployment || !service) {
        finish(requests, info->id, MV_OUTCOME_NOT_RUN,
               requests->stopping      ? MV_REASON_STOPPING
               : !requests->deployment ? MV_REASON_NO_CONFIG
                                       : MV_REASON_NO_SERVICE);
        return;
    }
    request_t *request = g_new0(request_t, 1);
    request->id = info->id;
    request->service = service;
    request->work = find_work(service, info);
    request->deadline = info->deadline;
    request->arrived = now;
    MvList_Init(&request->queued);
    requests->open++;
    g_hash_table_insert(requests->requests, &request->id, request);
    dispatch(requests, now, request);
}

bool
MvRequests_Answered(mv_requests_t *requests, mv_time_t now,
                    mv_request_id_t id, mv_result_t result, const char *bytes,
                    size_t length)
{
    request_t *request = g_hash_table_lookup(requests->requests, &id);
    (void)now;
    (void)bytes;
    (void)length;
    if (!request || request->abandoned) {
        MvCounters_Add(requests->counters, MV_COUNTER_ANSWERS_LATE, 1);
        if (request) {
            close_request(requests, request);
        }
        return false;
    }
    bool whole = result == MV_RESULT_WHOLE;
    if (whole) {
        MvCounters_Add(requests->counters, MV_COUNTER_REQUESTS_ANSWERED, 1);
    }
    else {
        finish(requests, id,
               result == MV_RESULT_NOT_PROCESSED ? MV_OUTCOME_NOT_RUN
                                                 : MV_OUTCOME_UNKNOWN,
               result == MV_RESULT_NOT_PROCESSED ? MV_REASON_BACKEND_REFUSED
                                                 : MV_REASON_BACKEND_BROKEN);
    }
    close_request(requests, request);
    return whole;
}

void
MvRequests_Cancelled(mv_requests_t *requests, mv_time_t now,
                     mv_request_id_t id)
{
    request_t *request = g_hash_table_lookup(requests->requests, &id);
    (void)now;
    if (!request || request->abandoned) {
        return;
    }
    MvCounters_Add(requests->counters, MV_COUNTER_REQUESTS_CANCELLED, 1);
    request->abandoned = true;
    requests->open--;
    if (request->dispatched) {
        requests->effects->ops->cancel(requests->effects, id);
    }
}

void
MvRequests_Message(mv_requests_t *requests, mv_time_t now,
                   const mv_message_t *message)
{
    (void)requests;
    (void)now;
    (void)message;
}

void
MvRequests_Timer(mv_requests_t *requests, mv_time_t now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, requests->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        request_t *request = value;
        if (request->abandoned || now <= request->deadline) {
            continue;
        }
        request->abandoned = true;
        requests->open--;
        finish(requests, request->id, MV_OUTCOME_UNKNOWN, MV_REASON_DEADLINE);
        requests->effects->ops->cancel(requests->effects, request->id);
    }
}

void
MvRequests_Stop(mv_requests_t *requests, mv_time_t now)
{
    (void)now;
    requests->stopping = true;
}

size_t
MvRequests_Open(const mv_requests_t *requests)
{
    return requests->open;
}

json_t *
MvRequests_Dump(const mv_requests_t *requests, mv_time_t now)
{
    (void)now;
    return json_pack("{s:I,s:o}", "open", (json_int_t)requests->open,
                     "wait_us", MvHistogram_ToJson(&requests->waits));
}
