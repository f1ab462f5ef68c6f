#include "masticvane/core.h"

#include <stdlib.h>
#include <string.h>

#define BUCKETS_PER_ENDPOINT 64
#define MIN_BUCKETS 256

mv_deployment_t *
MvDeployment_Ref(mv_deployment_t *deployment)
{
    __atomic_add_fetch(&deployment->references, 1, __ATOMIC_RELAXED);
    return deployment;
}

void
MvDeployment_Unref(mv_deployment_t *deployment)
{
    if (!deployment ||
        __atomic_sub_fetch(&deployment->references, 1, __ATOMIC_ACQ_REL)) {
        return;
    }
    for (uint16_t i = 0; deployment->services && i < deployment->service_count;
         i++) {
        g_free(deployment->services[i].endpoints);
        g_free(deployment->services[i].work);
        g_free(deployment->services[i].before);
        g_free(deployment->services[i].target);
    }
    g_free(deployment->services);
    g_free(deployment->members);
    g_free(deployment);
}

uint32_t
MvDataCentre_Hash(const char *name)
{
    uint32_t hash = g_str_hash(name);
    return hash ? hash : 1;
}

const mv_service_t *
MvDeployment_FindService(const mv_deployment_t *deployment, uint16_t service)
{
    for (uint16_t i = 0; deployment && i < deployment->service_count; i++) {
        if (deployment->services[i].id == service) {
            return &deployment->services[i];
        }
    }
    return NULL;
}

static const mv_endpoint_t *
find_endpoint(const mv_service_t *service, uint16_t id)
{
    for (uint16_t i = 0; i < service->endpoint_count; i++) {
        if (service->endpoints[i].id == id) {
            return &service->endpoints[i];
        }
    }
    return NULL;
}

const mv_endpoint_t *
MvService_FindEndpoint(const mv_service_t *service, uint16_t endpoint)
{
    /* Ids start at 1 and rarely have gaps, so try the matching index first. */
    uint16_t likely_index = (uint16_t)(endpoint - 1);
    if (likely_index < service->endpoint_count &&
        service->endpoints[likely_index].id == endpoint) {
        return &service->endpoints[likely_index];
    }
    return find_endpoint(service, endpoint);
}

uint16_t
MvService_BucketCount(uint16_t endpoints)
{
    uint32_t count = MIN_BUCKETS;
    while (count < (uint32_t)endpoints * BUCKETS_PER_ENDPOINT &&
           count < MV_MAX_BUCKETS) {
        count *= 2;
    }
    return (uint16_t)count;
}

static bool
is_staying(const mv_endpoint_t *endpoint, int64_t now)
{
    return endpoint->leaves_at == 0 || endpoint->leaves_at > now;
}

static uint16_t
index_with_fewest_buckets(const mv_service_t *service,
                          const uint32_t *bucket_counts, int64_t now)
{
    uint16_t fewest = MV_NO_ENDPOINT;
    for (uint16_t i = 0; i < service->endpoint_count; i++) {
        if (!is_staying(&service->endpoints[i], now)) {
            continue;
        }
        if (fewest == MV_NO_ENDPOINT ||
            bucket_counts[i] < bucket_counts[fewest]) {
            fewest = i;
        }
    }
    return fewest;
}

static uint16_t
endpoint_index(const mv_service_t *service, uint16_t id)
{
    const mv_endpoint_t *endpoint = find_endpoint(service, id);
    return endpoint ? (uint16_t)(endpoint - service->endpoints)
                    : MV_NO_ENDPOINT;
}

/* Assigns buckets of leaving endpoints to the endpoints with the fewest, and
 * levels the counts of the endpoints that stay. */
void
MvService_Rebalance(mv_service_t *service, int64_t now)
{
    /* By endpoint index; the last entry is a spare one that stays 0. */
    uint32_t *bucket_counts = g_new0(uint32_t, service->endpoint_count + 1u);
    uint32_t staying_count = 0;
    for (uint16_t i = 0; i < service->endpoint_count; i++) {
        staying_count += is_staying(&service->endpoints[i], now);
    }
    for (uint32_t b = 0; b < service->bucket_count; b++) {
        uint16_t index = endpoint_index(service, service->before[b]);
        bool keep = index != MV_NO_ENDPOINT &&
                    (staying_count == 0 ||
                     is_staying(&service->endpoints[index], now));
        service->target[b] = keep ? service->before[b] : MV_NO_ENDPOINT;
        bucket_counts[keep ? index : service->endpoint_count] += keep;
    }
    uint32_t ceiling =
        staying_count
            ? (service->bucket_count + staying_count - 1) / staying_count
            : 0;
    for (uint32_t b = 0; staying_count && b < service->bucket_count; b++) {
        uint16_t index = endpoint_index(service, service->target[b]);
        uint16_t fewest =
            index_with_fewest_buckets(service, bucket_counts, now);
        bool move = index == MV_NO_ENDPOINT ||
                    (bucket_counts[index] > ceiling &&
                     bucket_counts[fewest] < ceiling) ||
                    bucket_counts[index] > bucket_counts[fewest] + 1;
        if (!move) {
            continue;
        }
        if (index != MV_NO_ENDPOINT) {
            bucket_counts[index]--;
        }
        bucket_counts[fewest]++;
        service->target[b] = service->endpoints[fewest].id;
    }
    g_free(bucket_counts);
}
