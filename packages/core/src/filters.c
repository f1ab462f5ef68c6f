/* Admission filters: each sets fields of a new request, or refuses it. */
#include "requests_private.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/**
 * struct verdict - Result of a filter.
 * @pass: continue with the next filter
 * @reason: why the request is refused, when @pass is false
 */
typedef struct verdict {
    bool pass;
    mv_reason_t reason;
} verdict_t;

typedef verdict_t (*filter_t)(mv_requests_t *requests, mv_time_t now,
                              const mv_request_info_t *info,
                              mv_request_t *request);

static verdict_t
pass(void)
{
    return (verdict_t){.pass = true};
}

static verdict_t
refuse(mv_reason_t reason)
{
    return (verdict_t){.reason = reason};
}

static verdict_t
filter_running(mv_requests_t *requests, mv_time_t now,
               const mv_request_info_t *info, mv_request_t *request)
{
    (void)now;
    (void)info;
    (void)request;
    if (requests->stopping) {
        return refuse(MV_REASON_STOPPING);
    }
    return requests->deployment ? pass() : refuse(MV_REASON_NO_CONFIG);
}

static verdict_t
filter_service(mv_requests_t *requests, mv_time_t now,
               const mv_request_info_t *info, mv_request_t *request)
{
    const mv_deployment_t *deployment = requests->deployment;
    for (uint16_t i = 0; i < deployment->service_count; i++) {
        const mv_service_t *service = &deployment->services[i];
        if (strcmp(service->name, info->service) != 0) {
            continue;
        }
        mv_time_t ends = service->ends_at * MV_SECOND;
        bool ended = ends && now + requests->wall_offset >= ends;
        if (ends) {
            MvCallers_Record(&requests->last_callers, now, service->id,
                             info->member, ended);
        }
        if (ended) {
            return refuse(MV_REASON_SERVICE_ENDED);
        }
        request->service = service->id;
        return pass();
    }
    return refuse(MV_REASON_NO_SERVICE);
}

/* Default for requests that match no class of work. */
static bool
is_idempotent_method(const char *method)
{
    return strcmp(method, "POST") != 0 && strcmp(method, "PATCH") != 0;
}

static verdict_t
filter_work(mv_requests_t *requests, mv_time_t now,
            const mv_request_info_t *info, mv_request_t *request)
{
    const mv_service_t *service =
        MvDeployment_FindService(requests->deployment, request->service);
    (void)now;
    /* The class after the configured ones, for requests that match none. */
    request->work = service->work_count;
    request->urgency = UINT8_MAX;
    request->non_idempotent = !is_idempotent_method(info->method);
    for (uint16_t i = 0; i < service->work_count; i++) {
        const mv_work_t *work = &service->work[i];
        bool method_matches =
            !*work->method || !strcmp(work->method, info->method);
        if (method_matches && g_str_has_prefix(info->path, work->path)) {
            request->work = i;
            request->urgency = work->urgency;
            request->non_idempotent = work->non_idempotent;
            break;
        }
    }
    request->member = *info->member ? g_str_hash(info->member) : 0;
    return pass();
}

static verdict_t
filter_deadline(mv_requests_t *requests, mv_time_t now,
                const mv_request_info_t *info, mv_request_t *request)
{
    (void)requests;
    request->deadline = MIN(info->deadline, now + MV_REQUEST_TIMEOUT_MAX);
    return request->deadline > now ? pass() : refuse(MV_REASON_DEADLINE);
}

static verdict_t
filter_key(mv_requests_t *requests, mv_time_t now,
           const mv_request_info_t *info, mv_request_t *request)
{
    (void)requests;
    (void)now;
    request->has_key = *info->key && request->non_idempotent;
    if (request->has_key) {
        XXH128_hash_t hash = XXH3_128bits_withSeed(
            info->key, strlen(info->key), request->service);
        request->key = (mv_key_hash_t){.high = hash.high64, .low = hash.low64};
    }
    return pass();
}

static const filter_t filters[] = {
    filter_running, filter_service, filter_work, filter_deadline, filter_key,
};

mv_request_t *
MvFilters_Run(mv_requests_t *requests, mv_time_t now,
              const mv_request_info_t *info)
{
    mv_request_t *request = g_new0(mv_request_t, 1);
    request->id = info->id;
    request->arrived = now;
    MvList_Init(&request->link);
    g_hash_table_insert(requests->requests, &request->id, request);
    requests->open_count++;
    for (size_t i = 0; i < G_N_ELEMENTS(filters); i++) {
        verdict_t verdict = filters[i](requests, now, info, request);
        if (!verdict.pass) {
            MvRequests_Finish(requests, now, request, MV_OUTCOME_NOT_RUN,
                              verdict.reason);
            return NULL;
        }
    }
    return request;
}
