#include "masticvane/config.h"

#include <stdlib.h>
#include <string.h>

static const mv_service_t *
find_previous_service(const mv_deployment_t *previous, const char *name)
{
    for (uint16_t i = 0; previous && i < previous->service_count; i++) {
        if (!strcmp(previous->services[i].name, name)) {
            return &previous->services[i];
        }
    }
    return NULL;
}

static uint16_t
previous_endpoint_id(const mv_service_t *previous, const char *name)
{
    for (uint16_t i = 0; previous && i < previous->endpoint_count; i++) {
        if (!strcmp(previous->endpoints[i].name, name)) {
            return previous->endpoints[i].id;
        }
    }
    return 0;
}

static int
compare_ids(const void *a, const void *b)
{
    const mv_endpoint_t *first = a;
    const mv_endpoint_t *second = b;
    return (first->id > second->id) - (first->id < second->id);
}

static void
assign_endpoint_ids(mv_service_t *service, const mv_service_t *previous)
{
    service->last_endpoint_id = previous ? previous->last_endpoint_id : 0;
    for (uint16_t i = 0; i < service->endpoint_count; i++) {
        mv_endpoint_t *endpoint = &service->endpoints[i];
        endpoint->id = previous_endpoint_id(previous, endpoint->name);
        if (endpoint->id == 0) {
            endpoint->id = ++service->last_endpoint_id;
        }
    }
    qsort(service->endpoints, service->endpoint_count,
          sizeof(service->endpoints[0]), compare_ids);
}

static void
assign_buckets(mv_service_t *service, const mv_service_t *previous,
               int64_t now)
{
    /* The number of buckets never changes: that would move every flow. */
    service->bucket_count =
        previous ? previous->bucket_count
                 : MvService_BucketCount(service->endpoint_count);
    service->before = g_new(uint16_t, service->bucket_count);
    service->target = g_new(uint16_t, service->bucket_count);
    for (uint32_t b = 0; b < service->bucket_count; b++) {
        service->before[b] = previous ? previous->target[b] : MV_NO_ENDPOINT;
    }
    MvService_Rebalance(service, now);
    if (!previous) {
        memcpy(service->before, service->target,
               service->bucket_count * sizeof(uint16_t));
    }
}

/* A service whose document has the same digest is unchanged. */
static void
record_service_version(mv_service_t *service, const mv_service_t *previous,
                       uint64_t version)
{
    free(MvDeployment_EncodeService(service, service->digest));
    bool is_unchanged = previous && !strcmp(service->digest, previous->digest);
    service->changed_in = is_unchanged ? previous->changed_in : version;
}

static void
record_recent_changes(mv_deployment_t *next, const mv_deployment_t *previous)
{
    g_strlcpy(next->recent_changes[0], next->change_id, MV_CHANGE_ID_MAX);
    for (int i = 1; previous && i < MV_RECENT_CHANGES; i++) {
        g_strlcpy(next->recent_changes[i], previous->recent_changes[i - 1],
                  MV_CHANGE_ID_MAX);
    }
}

bool
MvDeployment_HasChange(const mv_deployment_t *deployment,
                       const char *change_id)
{
    for (int i = 0; i < MV_RECENT_CHANGES; i++) {
        if (!strcmp(deployment->recent_changes[i], change_id)) {
            return true;
        }
    }
    return !strcmp(deployment->change_id, change_id);
}

void
MvDeployment_Generate(mv_deployment_t *answers,
                      const mv_deployment_t *previous, int64_t now,
                      const char *change_id)
{
    answers->version = previous ? previous->version + 1 : 1;
    answers->accepted_at = now;
    answers->last_service_id = previous ? previous->last_service_id : 0;
    g_strlcpy(answers->change_id, change_id, sizeof(answers->change_id));
    for (uint16_t i = 0; i < answers->service_count; i++) {
        mv_service_t *service = &answers->services[i];
        const mv_service_t *previous_service =
            find_previous_service(previous, service->name);
        service->id = previous_service ? previous_service->id
                                       : ++answers->last_service_id;
        assign_endpoint_ids(service, previous_service);
        assign_buckets(service, previous_service, now);
        record_service_version(service, previous_service, answers->version);
    }
    record_recent_changes(answers, previous);
}
