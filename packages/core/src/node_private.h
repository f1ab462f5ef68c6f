/**
 * DOC: State and functions shared by the modules of a node.
 *
 * members.c   failure detection: heartbeats, suspicion, refutation
 * spread.c    distribution of the configuration among nodes
 * digests.c   anti-entropy: comparison of bucket states with a member
 * buckets.c   endpoints of each bucket for new and old flows, and moves
 * handover.c  replication of flow entries, joining and leaving
 * balance.c   load balance and health of endpoints
 * samples.c   samples of new flows for health checks
 * retirement.c  removal of backend servers and its reported steps
 * steer.c     decision about one packet, run by traffic threads
 */
#ifndef MV_CORE_NODE_PRIVATE_H
#define MV_CORE_NODE_PRIVATE_H

#include "flow_table.h"
#include "samples.h"
#include "view.h"

/** Time without a timer run of the control thread after which its state may be
 * stale: traffic threads relay packets that they would decide themselves. */
#define MV_FENCE_AFTER (1 * MV_SECOND)

/**
 * struct mv_member - State of another entry VM as seen by this node.
 * @id: its node id
 * @state: &enum mv_member_state
 * @ready: may be a primary or backup
 * @status_version: latest one received
 * @incarnation: Unix second at which its process started
 * @data_centre: hash of the name of its data centre
 * @config_version: configuration version that it reported
 * @state_since: time of the last change of @state
 * @transmissions_left: messages that will still carry its update
 * @probe_sequence: sequence number of the outstanding probe, 0 for none
 * @probe_sent: time at which that probe was sent
 * @probe_indirect: other members were asked to probe it as well
 * @last_contact: time of the last message from it
 * @synced: it has answered the current sync requests
 * @handed_over: it acknowledged the flow entries of this stopping node
 */
typedef struct mv_member {
    mv_node_id_t id;
    mv_member_state_t state;
    bool ready;
    uint32_t status_version;
    uint32_t incarnation;
    uint32_t data_centre;
    uint64_t config_version;
    mv_time_t state_since;
    unsigned transmissions_left;
    uint32_t probe_sequence;
    mv_time_t probe_sent;
    bool probe_indirect;
    mv_time_t last_contact;
    bool synced;
    bool handed_over;
} mv_member_t;

/**
 * struct mv_bucket - Control state of one bucket.
 * @version: hybrid logical time of its last transition, 0 when it was never
 *           moved
 * @since: local time at which this phase was entered or received
 * @endpoint: see &struct mv_bucket_update
 * @next: see &struct mv_bucket_update
 * @phase: &enum mv_bucket_phase
 * @announce_pending: the move to the configured target is not announced yet
 * @recorded: flow entries with another endpoint than @endpoint at the last
 *            sweep; UINT32_MAX when not counted yet
 */
typedef struct mv_bucket {
    uint64_t version;
    mv_time_t since;
    uint16_t endpoint;
    uint16_t next;
    uint8_t phase;
    bool announce_pending;
    uint32_t recorded;
} mv_bucket_t;

/**
 * struct mv_health - Health and capacity of an endpoint.
 * @unanswered_here: unanswered samples of this node since its last report
 * @recorded_here: flow entries whose primary is this node
 * @answered: answered samples in the window, at the deciding node
 * @unanswered: unanswered samples in the window, at the deciding node
 * @failed: it does not answer; it gets the new flows of one bucket only, which
 *          show when it answers again
 * @full: its open flows reached the connection limit and have not fallen below
 *        90% of it since
 * @has_room: its open flows are below 80% of the connection limit
 * @returning: it may get new flows again after it failed or was full, and has
 *             not got all its buckets back yet
 */
typedef struct mv_health {
    uint32_t unanswered_here;
    uint32_t recorded_here;
    uint32_t answered;
    uint32_t unanswered;
    bool failed;
    bool full;
    bool has_room;
    bool returning;
} mv_health_t;

/**
 * struct mv_node_service - Control state of one service.
 * @config: its configuration, owned by the node's deployment
 * @count: number of buckets
 * @buckets: the buckets
 * @moving: buckets that are not stable
 * @announce_pending: number of buckets with @announce_pending set
 * @view: part of the published view, NULL when it must be rebuilt
 * @load_counts: open flows and answered samples counted by this node, see
 *               &struct mv_view_service; reference-counted, shared with views
 * @health: health of each endpoint, @counted_endpoints entries
 * @counted_endpoints: endpoint ids below this have load counts and health
 * @reported_load: node id to its last load report, at the deciding node:
 *                 @counted_endpoints counts of open flows, then as many counts
 *                 of flow entries
 */
typedef struct mv_node_service {
    const mv_service_t *config;
    uint32_t count;
    mv_bucket_t *buckets;
    uint32_t moving;
    uint32_t announce_pending;
    mv_view_service_t *view;
    int32_t *load_counts;
    uint32_t counted_endpoints;
    mv_health_t *health;
    GHashTable *reported_load;
} mv_node_service_t;

/**
 * struct mv_batch - Announced bucket states that await acknowledgement.
 * @link: entry in the node's list
 * @service: service id
 * @version: version of every bucket in it
 * @sent: time of the last transmission
 * @acked: node ids that acknowledged
 * @complete_at: time of the last acknowledgement by an alive member, 0 while
 *               some are missing
 */
typedef struct mv_batch {
    mv_list_t link;
    uint16_t service;
    uint64_t version;
    mv_time_t sent;
    GHashTable *acked;
    mv_time_t complete_at;
} mv_batch_t;

/**
 * struct mv_reader - Traffic thread that reads views.
 * @epoch: node epoch at which it began to read, 0 while it reads none
 * @next: next reader of the node
 */
struct mv_reader {
    uint64_t epoch;
    struct mv_reader *next;
} __attribute__((aligned(64)));

/**
 * struct mv_node - State of a node; times are monotonic.
 * @settings: see MvNode_Create(); its @peers is NULL
 * @peers: unused
 * @effects: receiver of actions
 * @counters: counters that it increments
 * @random: source of randomness, control thread only
 * @wall_offset: Unix time minus monotonic time
 * @started: time of creation
 * @members: other entry VMs, &mv_member_t
 * @member_index: the same by node id
 * @status_version: version of this node's own status, see
 *                  &struct mv_member_update
 * @incarnation: Unix second at which this process started
 * @last_probe_sequence: sequence number of the last probe
 * @probe_position: index in @members of the last probed member, modulo its
 *                  length
 * @next_probe: time of the next probe
 * @last_timer: time of the last MvNode_Timer()
 * @ready: it may be a primary or backup
 * @deployment: configuration in force, or NULL
 * @next_pull: earliest time of the next request for a configuration
 * @pull_full_config: request the whole configuration instead of a difference
 * @services: control state of each service, &mv_node_service_t
 * @changed_members: node ids whose groups need their holders recomputed
 * @holders: holders of each group
 * @future_holders: holders once all live nodes are ready and this node has
 *                  left if it is stopping
 * @previous_holders: holders before the last change
 * @previous_holders_until: end of the time for which @previous_holders counts,
 *                          0 when it has passed
 * @last_bucket_version: highest bucket version made or received
 * @batches: announcements that await acknowledgement, &mv_batch_t
 * @next_digests: time of the next comparison of bucket states
 * @next_digest_peer: member of that comparison, MV_NO_NODE for a random one
 * @moves_deferred_until: time before which MvBuckets_Timer() starts and
 *                        advances no move
 * @retirements: removals of backend servers, see retirement.c
 * @next_retirement: time of their next reconciliation
 * @next_load_report: time of the next load report
 * @load_position: index in @services of the last service reported
 * @next_sweep: time of the next sweep of the flow entries
 * @next_balance: time of the next balance round
 * @next_health: time of the next health round
 * @health_round: number of health rounds so far
 * @flows: flow entries
 * @samples: samples of new flows
 * @next_replication: time of the next batch of flow entries
 * @syncing: it requests state from the other members; packets are relayed
 *           meanwhile
 * @sync_started: time at which @syncing was set
 * @next_sync: time of the next sync requests
 * @stopping: a planned stop has begun
 * @left: its flow entries are handed over and its leaving is announced
 * @stop_started: time at which @stopping, and later @left, was set
 * @handover_sent: its flow entries have been sent
 * @view: published view, NULL before the first configuration
 * @view_dirty: @view no longer matches the control state
 * @epoch: epoch of the published view
 * @retired_views: replaced views that readers may still use
 * @readers: registered traffic threads
 * @last_timer_published: @last_timer for traffic threads
 */
struct mv_node {
    mv_node_settings_t settings;
    mv_node_id_t *peers;
    mv_effects_t *effects;
    mv_counters_t *counters;
    GRand *random;
    mv_time_t wall_offset;
    mv_time_t started;

    /* Membership. */
    GPtrArray *members;
    mv_member_t **member_index;
    uint32_t status_version;
    uint32_t incarnation;
    uint32_t last_probe_sequence;
    size_t probe_position;
    mv_time_t next_probe;
    mv_time_t last_timer;
    bool ready;

    /* Configuration. */
    mv_deployment_t *deployment;
    mv_time_t next_pull;
    bool pull_full_config;

    /* Buckets. */
    GPtrArray *services;
    GArray *changed_members;
    mv_holders_t holders;
    mv_holders_t future_holders;
    mv_holders_t previous_holders;
    mv_time_t previous_holders_until;
    uint64_t last_bucket_version;
    mv_list_t batches;
    mv_time_t next_digests;
    mv_node_id_t next_digest_peer;
    mv_time_t moves_deferred_until;
    mv_list_t retirements;
    mv_time_t next_retirement;
    mv_time_t next_load_report;
    size_t load_position;
    mv_time_t next_sweep;
    mv_time_t next_balance;
    mv_time_t next_health;
    unsigned health_round;

    /* Flow entries and handover. */
    mv_flow_table_t *flows;
    mv_samples_t samples;
    mv_time_t next_replication;
    bool syncing;
    mv_time_t sync_started;
    mv_time_t next_sync;
    bool stopping;
    bool left;
    mv_time_t stop_started;
    bool handover_sent;

    /* Publication. */
    mv_view_t *view;
    bool view_dirty;
    uint64_t epoch;
    mv_list_t retired_views;
    mv_reader_t *readers;
    mv_time_t last_timer_published;
};

/* members.c */
/* The next MvHandover_UpdateHolders() recomputes the holders of @id's groups.
 */
void MvMembers_MarkChanged(mv_node_t *node, mv_node_id_t id);
mv_member_t *MvMembers_Find(const mv_node_t *node, mv_node_id_t id);
mv_member_t *MvMembers_Add(mv_node_t *node, mv_node_id_t id);
mv_member_update_t MvMembers_OwnUpdate(const mv_node_t *node);
/* True when the member is alive or suspect. */
bool MvMembers_IsLive(const mv_member_t *member);
/* Notes a message from a member and applies its membership updates. */
void MvMembers_NoteContact(mv_node_t *node, mv_time_t now,
                           const mv_message_t *m);
void MvMembers_Message(mv_node_t *node, mv_time_t now, const mv_message_t *m);
void MvMembers_Timer(mv_node_t *node, mv_time_t now);
/* Probes at most 8 dead members; returns true when there was one. */
bool MvMembers_ProbeDead(mv_node_t *node);
void MvMembers_AnnounceReady(mv_node_t *node);
void MvMembers_AnnounceLeft(mv_node_t *node);

/* spread.c */
void MvSpread_Message(mv_node_t *node, mv_time_t now, const mv_message_t *m);
/* Sends the configuration in force to a node that has version @since. */
void MvSpread_SendConfig(mv_node_t *node, mv_node_id_t to, uint64_t since);
void MvSpread_Timer(mv_node_t *node, mv_time_t now);

/* buckets.c */
mv_node_service_t *MvBuckets_FindService(const mv_node_t *node, uint16_t id);
void MvBuckets_ApplyConfig(mv_node_t *node, mv_time_t now);
void MvBuckets_Message(mv_node_t *node, mv_time_t now, const mv_message_t *m);
void MvBuckets_Timer(mv_node_t *node, mv_time_t now);
/* Sends the states of buckets whose primary or backup is this node. */
void MvBuckets_SendAll(mv_node_t *node, mv_node_id_t to);
void MvBuckets_FreeService(mv_node_service_t *service);
uint64_t MvBuckets_NextVersion(mv_node_t *node, mv_time_t now);

bool MvBuckets_IsPrimary(const mv_node_t *node,
                         const mv_node_service_t *service, uint32_t bucket);
/* Starts the move of a bucket; MvBuckets_Announce() with the same version must
 * follow. */
void MvBuckets_Move(mv_node_service_t *service, mv_time_t now, uint32_t bucket,
                    uint16_t to, uint64_t version);
/* Sends all buckets of a version to the live members, and again to those that
 * do not acknowledge. */
void MvBuckets_Announce(mv_node_t *node, mv_time_t now,
                        mv_node_service_t *service, uint64_t version);
/* Lowest bucket version that belongs to the millisecond of @now. */
uint64_t MvBuckets_VersionAt(const mv_node_t *node, mv_time_t now);
/* True when the endpoint is configured and its leaves_at has not passed. */
bool MvBuckets_IsUsable(const mv_node_t *node,
                        const mv_node_service_t *service, uint16_t endpoint,
                        mv_time_t now);
/* Endpoint id for new flows of a bucket; in MV_BUCKET_ANNOUNCED already the
 * one after the move. */
static inline uint16_t
MvBucket_NewFlowEndpoint(const mv_bucket_t *bucket)
{
    bool moved = bucket->phase == MV_BUCKET_ANNOUNCED ||
                 bucket->phase == MV_BUCKET_MIXED;
    return moved ? bucket->next : bucket->endpoint;
}

/* balance.c */
void MvBalance_Message(mv_node_t *node, mv_time_t now, const mv_message_t *m);
void MvBalance_Timer(mv_node_t *node, mv_time_t now);

/* True when this node is the deciding node of a service. */
bool MvBalance_IsDecider(const mv_node_t *node,
                         const mv_node_service_t *service);

/* digests.c */
void MvDigests_Message(mv_node_t *node, const mv_message_t *m);
void MvDigests_Timer(mv_node_t *node, mv_time_t now);

/* retirement.c */
void MvRetirement_ApplyConfig(mv_node_t *node, mv_time_t now);
void MvRetirement_Timer(mv_node_t *node, mv_time_t now);
void MvRetirement_Free(mv_node_t *node);
json_t *MvRetirement_Dump(const mv_node_t *node, mv_time_t now);

/* handover.c */
/* Recomputes the holders after membership changes and marks flow entries of
 * groups that changed for replication. */
void MvHandover_UpdateHolders(mv_node_t *node, mv_time_t now);
void MvHandover_Message(mv_node_t *node, mv_time_t now, const mv_message_t *m);
void MvHandover_Timer(mv_node_t *node, mv_time_t now);
/* Requests bucket states and flow entries from all members; packets are
 * relayed until they have answered. */
void MvHandover_Resync(mv_node_t *node, mv_time_t now);

/* steer.c */
mv_verdict_t MvSteer_Packet(mv_node_t *node, const mv_view_t *view,
                            mv_time_t now, const uint8_t *packet,
                            size_t length, uint8_t hops);

/* node.c */
void MvNode_Send(mv_node_t *node, mv_node_id_t to, mv_message_t *message);
void MvNode_SendToLiveMembers(mv_node_t *node, mv_message_t *message);

/* Milliseconds of a time, modulo 2^32. */
static inline uint32_t
MvNode_Milliseconds(mv_time_t now)
{
    return (uint32_t)(now / MV_MILLISECOND);
}

#endif
