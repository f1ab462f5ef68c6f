/**
 * DOC: The immutable snapshot that traffic threads read.
 *
 * The control thread builds a view, publishes it with one atomic store and
 * frees an old one only when no reader can still hold it.
 */
#ifndef MV_CORE_VIEW_H
#define MV_CORE_VIEW_H

#include "masticvane/core.h"

/** Endpoint ids below this have load counts. */
#define MV_LOAD_SLOTS 256

/** Buckets of all services share this many homes. */
#define MV_GROUPS 256
/** Data centres beside those of home and second home that keep a copy. */
#define MV_REMOTE_HOLDERS 2

/**
 * struct mv_view_bucket - A bucket as packets see it.
 * @endpoint: endpoint id for packets of flows not known by name
 * @next: endpoint id for new flows
 * @phase: &enum mv_bucket_phase
 */
typedef struct mv_view_bucket {
    uint16_t endpoint;
    uint16_t next;
    uint8_t phase;
} mv_view_bucket_t;

/**
 * struct mv_view_service - A service as packets see it.
 * @references: views that share it
 * @service: its configuration, kept by @deployment
 * @deployment: reference that keeps @service
 * @mask: number of buckets minus one
 * @open: counts by endpoint id, added to by traffic threads; shared: open
 *        flows, and from MV_LOAD_SLOTS on answered samples
 * @buckets: the buckets
 */
typedef struct mv_view_service {
    int references;
    const mv_service_t *service;
    mv_deployment_t *deployment;
    uint32_t mask;
    int32_t *open;
    mv_view_bucket_t buckets[];
} mv_view_service_t;

/**
 * struct mv_holders - Who keeps the named flows of each group of buckets.
 * @home: first choice
 * @second: second choice, MV_NO_NODE when alone
 * @further: keep a copy each in further data centres, which go on with them
 *           when they are cut off; MV_NO_NODE where there is none
 * @spread: data centres that have a keeper
 */
typedef struct mv_holders {
    mv_node_id_t home[MV_GROUPS];
    mv_node_id_t second[MV_GROUPS];
    mv_node_id_t further[MV_GROUPS][MV_REMOTE_HOLDERS];
    uint8_t spread[MV_GROUPS];
} mv_holders_t;

/** Most keepers of a group. */
#define MV_MAX_HOLDERS (2 + MV_REMOTE_HOLDERS)

/** MvHolders_List() - Home, second and further ones, some MV_NO_NODE. */
void MvHolders_List(const mv_holders_t *homes, uint32_t group,
                    mv_node_id_t out[MV_MAX_HOLDERS]);

/** MvHolders_Contains() - Node @id is one of them. */
bool MvHolders_Contains(const mv_holders_t *homes, uint32_t group,
                        mv_node_id_t id);

/**
 * struct mv_view - Everything a traffic thread reads.
 * @epoch: publication number
 * @retired: list of views that wait to be freed
 * @homes: homes of the groups
 * @other: another node that may know a flow of the group while homes change,
 *         MV_NO_NODE when there is none
 * @was_home: this node was home of the group until a moment ago
 * @fenced: relay everything, since this node's knowledge may be old
 * @index_mask: places in @index minus one
 * @service_count: entries in @services
 * @services: shared services
 * @index: open-addressed positions in @services by address and port
 */
typedef struct mv_view {
    uint64_t epoch;
    mv_list_t retired;
    mv_holders_t homes;
    mv_node_id_t other[MV_GROUPS];
    bool was_home[MV_GROUPS];
    bool fenced;
    uint32_t index_mask;
    uint32_t service_count;
    mv_view_service_t **services;
    int32_t *index;
} mv_view_t;

/** MvGroup_Of() - Group of a bucket. */
uint32_t MvGroup_Of(uint16_t service, uint32_t bucket);

/**
 * MvHolders_Compute() - Choose homes over @nodes by rendezvous hashing.
 *
 * The second home is in another data centre than the home where there is
 * one, so that a lost data centre never takes both.
 */
void MvHolders_Compute(mv_holders_t *homes, const mv_request_member_t *nodes,
                       size_t count);

/**
 * MvHolders_Update() - The same result after one node joined, left or changed.
 *
 * Only the groups that @changed can have won or lost are chosen anew.
 */
void MvHolders_Update(mv_holders_t *homes, const mv_request_member_t *nodes,
                      size_t count, mv_node_id_t changed);

/**
 * MvViewService_Create() - One reference, buckets zeroed.
 * @open: reference-counted box of 2 x MV_LOAD_SLOTS counts; a reference is
 *        taken
 */
mv_view_service_t *MvViewService_Create(mv_deployment_t *deployment,
                                        const mv_service_t *service,
                                        int32_t *open);

/** MvViewService_Unref() - Drop a reference. */
void MvViewService_Unref(mv_view_service_t *service);

/** MvView_Create() - View over @services, taking a reference to each. */
mv_view_t *MvView_Create(mv_view_service_t **services, uint32_t count);

/** MvView_Destroy() - Free; NULL is accepted. */
void MvView_Destroy(mv_view_t *view);

/** MvView_Find() - Service behind an address, or NULL. */
const mv_view_service_t *MvView_Find(const mv_view_t *view, uint32_t address,
                                     uint16_t port);

#endif
