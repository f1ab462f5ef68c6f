/**
 * DOC: Immutable snapshot read by traffic threads.
 *
 * The control thread builds a view, publishes it with one atomic store and
 * frees the previous one when no reader can use it any more.
 */
#ifndef MV_CORE_VIEW_H
#define MV_CORE_VIEW_H

#include "masticvane/core.h"

/** Only endpoint ids below this have load counts and health checks. */
#define MV_MAX_COUNTED_ENDPOINTS 256

/** Number of bucket groups; the buckets of a group have the same holders. */
#define MV_GROUPS 256
/** Holders of a group besides primary and backup, each in a further data
 * centre. */
#define MV_REMOTE_HOLDERS 2

/**
 * struct mv_view_bucket - Routing state of a bucket.
 * @endpoint: endpoint id for packets of flows without a flow entry
 * @next: endpoint id for new flows
 * @phase: &enum mv_bucket_phase
 */
typedef struct mv_view_bucket {
    uint16_t endpoint;
    uint16_t next;
    uint8_t phase;
} mv_view_bucket_t;

/**
 * struct mv_view_service - Routing state of a service.
 * @references: views that share it, plus one for its creator
 * @config: its configuration, owned by @deployment
 * @deployment: reference that keeps @config valid
 * @mask: number of buckets minus one
 * @load_counts: shared counters, written by traffic threads: open flows by
 *               endpoint id, then, from index MV_MAX_COUNTED_ENDPOINTS,
 *               answered samples by endpoint id
 * @buckets: the buckets
 */
typedef struct mv_view_service {
    int references;
    const mv_service_t *config;
    mv_deployment_t *deployment;
    uint32_t mask;
    int32_t *load_counts;
    mv_view_bucket_t buckets[];
} mv_view_service_t;

/**
 * struct mv_holders - Nodes that hold the flow entries of each bucket group.
 * @primary: node that decides about the group's buckets and flows
 * @backup: node with the first replica, MV_NO_NODE when there is none
 * @remote: nodes with a replica in further data centres, so that a data centre
 *          that is partitioned off keeps its flows; MV_NO_NODE where there is
 *          none
 * @data_centre_count: number of data centres that have a holder
 */
typedef struct mv_holders {
    mv_node_id_t primary[MV_GROUPS];
    mv_node_id_t backup[MV_GROUPS];
    mv_node_id_t remote[MV_GROUPS][MV_REMOTE_HOLDERS];
    uint8_t data_centre_count[MV_GROUPS];
} mv_holders_t;

/** Maximum number of holders of a group. */
#define MV_MAX_HOLDERS (2 + MV_REMOTE_HOLDERS)

/**
 * MvHolders_List() - Primary, backup and remote holders of a group.
 *
 * Missing ones are MV_NO_NODE.
 */
void MvHolders_List(const mv_holders_t *holders, uint32_t group,
                    mv_node_id_t out[MV_MAX_HOLDERS]);

/** MvHolders_Contains() - True when @id is a holder of @group. */
bool MvHolders_Contains(const mv_holders_t *holders, uint32_t group,
                        mv_node_id_t id);

/**
 * struct mv_view - Snapshot read by traffic threads.
 * @epoch: publication number
 * @retired_link: entry in the node's list of replaced views
 * @holders: holders of the groups
 * @other_primary: previous or future primary that may have flow entries of the
 *                 group while holders change, MV_NO_NODE when there is none
 * @was_primary: this node was primary of the group before a change of holders
 *               less than 2 s ago
 * @fenced: do not decide here, as the state of this node may be stale
 * @index_mask: slots in @index minus one
 * @service_count: entries in @services
 * @services: shared services
 * @index: hash table with open addressing: address and port to a position in
 *         @services
 */
typedef struct mv_view {
    uint64_t epoch;
    mv_list_t retired_link;
    mv_holders_t holders;
    mv_node_id_t other_primary[MV_GROUPS];
    bool was_primary[MV_GROUPS];
    bool fenced;
    uint32_t index_mask;
    uint32_t service_count;
    mv_view_service_t **services;
    int32_t *index;
} mv_view_t;

/** MvGroup_Of() - Group of a bucket. */
uint32_t MvGroup_Of(uint16_t service, uint32_t bucket);

/**
 * MvHolders_Compute() - Choose holders from @nodes by rendezvous hashing.
 *
 * The backup is in another data centre than the primary where possible, so
 * that the loss of one data centre does not lose both.
 */
void MvHolders_Compute(mv_holders_t *holders, const mv_request_member_t *nodes,
                       size_t count);

/**
 * MvHolders_Update() - Update holders after @changed joined, left or changed.
 *
 * Gives the result of MvHolders_Compute(), but recomputes only the groups
 * that @changed can have gained or lost.
 */
void MvHolders_Update(mv_holders_t *holders, const mv_request_member_t *nodes,
                      size_t count, mv_node_id_t changed);

/**
 * MvViewService_Create() - New service view with zeroed buckets.
 * @load_counts: g_atomic_rc_box of 2 * MV_MAX_COUNTED_ENDPOINTS counts; a
 *               reference is taken
 *
 * Return: the service view with one reference, to be released with
 * MvViewService_Unref().
 */
mv_view_service_t *MvViewService_Create(mv_deployment_t *deployment,
                                        const mv_service_t *service,
                                        int32_t *load_counts);

/** MvViewService_Unref() - Drop a reference. */
void MvViewService_Unref(mv_view_service_t *service);

/** MvView_Create() - New view; takes a reference to each of @services. */
mv_view_t *MvView_Create(mv_view_service_t **services, uint32_t count);

/** MvView_Destroy() - Free; NULL is accepted. */
void MvView_Destroy(mv_view_t *view);

/** MvView_Find() - Service behind an address, or NULL. */
const mv_view_service_t *MvView_Find(const mv_view_t *view, uint32_t address,
                                     uint16_t port);

#endif
