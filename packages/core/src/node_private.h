/**
 * DOC: The parts of a node and what they share.
 *
 * members.c   who is alive (heartbeats, suspicion, refutation)
 * spread.c    which configuration is in force, learnt from store and peers
 * digests.c   comparison of bucket states with one member after another
 * buckets.c   which endpoint new and old flows of a bucket go to
 * handover.c  copies of flow entries, joining and leaving
 * retirement.c  backend servers from announced to gone
 * steer.c     the decision about one packet, run by traffic threads
 */
#ifndef MV_CORE_NODE_PRIVATE_H
#define MV_CORE_NODE_PRIVATE_H

#include "flow_table.h"
#include "samples.h"
#include "view.h"

/** Control silence after which traffic threads relay everything. */
#define MV_FENCE_AFTER (1 * MV_SECOND)

/**
 * struct mv_member - What this node believes of one entry VM.
 * @id: its number
 * @state: &enum mv_member_state
 * @ready: may be a home
 * @known_ready: value of @ready when homes were last computed
 * @status_version: latest heard
 * @incarnation: Unix second at which its process started
 * @data_centre: hash of the name of its data centre
 * @config_version: configuration it said it has
 * @state_since: time of the last change of @state
 * @spread_left: times the belief is still passed on
 * @probe_sequence: outstanding probe, 0 for none
 * @probe_sent: when it was sent
 * @probe_indirect: others were asked to probe
 * @heard: time of the last message from it
 * @synced: it answered the current sync round
 * @handed_over: it has all that this stopping node handed over
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
    unsigned spread_left;
    uint32_t probe_sequence;
    mv_time_t probe_sent;
    bool probe_indirect;
    mv_time_t heard;
    bool synced;
    bool handed_over;
} mv_member_t;

/**
 * struct mv_bucket - Control state of one bucket.
 * @version: hybrid logical time of its last transition, 0 for the default
 * @since: local time at which this phase was learnt
 * @endpoint: see &struct mv_bucket_update
 * @next: see &struct mv_bucket_update
 * @phase: &enum mv_bucket_phase
 * @due: the configured target was not yet announced
 * @named: flow entries with another endpoint than @endpoint, at last sweep
 */
typedef struct mv_bucket {
    uint64_t version;
    mv_time_t since;
    uint16_t endpoint;
    uint16_t next;
    uint8_t phase;
    bool due;
    uint32_t named;
} mv_bucket_t;

/**
 * struct mv_health - How an endpoint looks to the entry VMs.
 * @silent_here: silent samples of this node since its last report
 * @named_here: flows known by name to this node as their home
 * @answered: answered samples in the window, at the deciding home
 * @unanswered: silent samples in the window, at the deciding home
 * @failed: it gets no new flows but those of one bucket
 * @full: it holds as many flows as it may
 * @has_room: its flows are well below its limit
 * @returning: it may take flows again and gets its buckets back
 */
typedef struct mv_health {
    uint32_t silent_here;
    uint32_t named_here;
    uint32_t answered;
    uint32_t unanswered;
    bool failed;
    bool full;
    bool has_room;
    bool returning;
} mv_health_t;

/**
 * struct mv_node_service - Control state of one service.
 * @service: configuration, kept by the node's deployment
 * @count: number of buckets
 * @buckets: the buckets
 * @moving: buckets that are not stable
 * @due: buckets whose configured target this node has not seen announced
 * @view: what traffic threads see, NULL when it must be rebuilt
 * @open: open flows by endpoint id as this node counts them; shared box
 * @health: what is known of each endpoint, @load_slots of them
 * @load_slots: endpoint ids below it are counted
 * @heard_load: node id to what it last sent: @load_slots counts of open
 *              flows, then as many of flows known by name; kept by the home
 *              that decides about the service's evenness
 */
typedef struct mv_node_service {
    const mv_service_t *service;
    uint32_t count;
    mv_bucket_t *buckets;
    uint32_t moving;
    uint32_t due;
    mv_view_service_t *view;
    int32_t *open;
    uint32_t load_slots;
    mv_health_t *health;
    GHashTable *heard_load;
} mv_node_service_t;

/**
 * struct mv_batch - Bucket transitions that wait for acknowledgement.
 * @link: place in the node's list
 * @service: service id
 * @version: version of every bucket in it
 * @sent: time it was last sent
 * @acked: node ids that acknowledged
 * @complete_at: time the last live member acknowledged, or 0
 */
typedef struct mv_batch {
    mv_list_t link;
    uint16_t service;
    uint64_t version;
    mv_time_t sent;
    GHashTable *acked;
    mv_time_t complete_at;
} mv_batch_t;

struct mv_reader {
    uint64_t epoch;
    struct mv_reader *next;
} __attribute__((aligned(64)));

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
    uint32_t sequence;
    size_t probe_position;
    mv_time_t next_probe;
    mv_time_t last_timer;
    bool ready;

    /* Configuration. */
    mv_deployment_t *deployment;
    mv_time_t next_pull;
    bool pull_whole;

    /* Buckets. */
    GPtrArray *services;
    GArray *changed;
    mv_holders_t homes;
    mv_holders_t future;
    mv_holders_t previous;
    mv_time_t previous_until;
    uint64_t last_version;
    mv_list_t batches;
    mv_time_t next_digests;
    mv_node_id_t digests_to;
    mv_time_t moves_held_until;
    mv_list_t retirements;
    mv_time_t next_retirement;
    mv_time_t next_load;
    size_t load_position;
    mv_time_t next_sweep;
    mv_time_t next_balance;
    mv_time_t next_health;
    unsigned health_round;

    /* Flow entries and handover. */
    mv_flow_table_t *flows;
    mv_samples_t samples;
    mv_time_t next_copy;
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
    mv_list_t retired;
    mv_reader_t *readers;
    mv_time_t fresh_at;
};

/* members.c */
void MvMembers_NoteChange(mv_node_t *node, mv_node_id_t id);
mv_member_t *MvMembers_Find(const mv_node_t *node, mv_node_id_t id);
mv_member_t *MvMembers_Add(mv_node_t *node, mv_node_id_t id);
mv_member_update_t MvMembers_OwnUpdate(const mv_node_t *node);
bool MvMembers_IsLive(const mv_member_t *member);
void MvMembers_Heard(mv_node_t *node, mv_time_t now, const mv_message_t *m);
void MvMembers_Message(mv_node_t *node, mv_time_t now, const mv_message_t *m);
void MvMembers_Timer(mv_node_t *node, mv_time_t now);
/* Return: true when there are any. */
bool MvMembers_ProbeDead(mv_node_t *node);
void MvMembers_AnnounceReady(mv_node_t *node);
void MvMembers_AnnounceLeft(mv_node_t *node);

/* spread.c */
void MvSpread_Message(mv_node_t *node, mv_time_t now, const mv_message_t *m);
void MvSpread_SendConfig(mv_node_t *node, mv_node_id_t to, uint64_t since);
void MvSpread_Timer(mv_node_t *node, mv_time_t now);

/* buckets.c */
mv_node_service_t *MvBuckets_Service(const mv_node_t *node, uint16_t id);
void MvBuckets_Config(mv_node_t *node, mv_time_t now);
void MvBuckets_Message(mv_node_t *node, mv_time_t now, const mv_message_t *m);
void MvBuckets_Timer(mv_node_t *node, mv_time_t now);
void MvBuckets_SendAll(mv_node_t *node, mv_node_id_t to);
void MvBuckets_Free(mv_node_service_t *service);
uint64_t MvNode_NextVersion(mv_node_t *node, mv_time_t now);

bool MvBuckets_IsHome(const mv_node_t *node, const mv_node_service_t *service,
                      uint32_t bucket);
void MvBuckets_Move(mv_node_service_t *service, mv_time_t now, uint32_t bucket,
                    uint16_t to, uint64_t version);
void MvBuckets_Announce(mv_node_t *node, mv_time_t now,
                        mv_node_service_t *service, uint64_t version);
uint64_t MvBuckets_VersionAt(const mv_node_t *node, mv_time_t now);
bool MvBuckets_IsUsable(const mv_node_t *node,
                        const mv_node_service_t *service, uint16_t endpoint,
                        mv_time_t now);
static inline uint16_t
MvBucket_ForNew(const mv_bucket_t *bucket)
{
    bool moved = bucket->phase == MV_BUCKET_ANNOUNCED ||
                 bucket->phase == MV_BUCKET_MIXED;
    return moved ? bucket->next : bucket->endpoint;
}

/* balance.c */
void MvBalance_Message(mv_node_t *node, mv_time_t now, const mv_message_t *m);
void MvBalance_Timer(mv_node_t *node, mv_time_t now);

bool MvBalance_IsDecider(const mv_node_t *node,
                         const mv_node_service_t *service);

/* digests.c */
void MvDigests_Message(mv_node_t *node, const mv_message_t *m);
void MvDigests_Timer(mv_node_t *node, mv_time_t now);

/* retirement.c */
void MvRetirement_Config(mv_node_t *node, mv_time_t now);
void MvRetirement_Timer(mv_node_t *node, mv_time_t now);
void MvRetirement_Free(mv_node_t *node);
json_t *MvRetirement_Dump(const mv_node_t *node, mv_time_t now);

/* handover.c */
void MvHandover_HomesChanged(mv_node_t *node, mv_time_t now);
void MvHandover_Message(mv_node_t *node, mv_time_t now, const mv_message_t *m);
void MvHandover_Timer(mv_node_t *node, mv_time_t now);
void MvHandover_Resync(mv_node_t *node, mv_time_t now);

/* steer.c */
mv_verdict_t MvSteer_Packet(mv_node_t *node, const mv_view_t *view,
                            mv_time_t now, const uint8_t *packet,
                            size_t length, uint8_t hops);

/* node.c */
void MvNode_Send(mv_node_t *node, mv_node_id_t to, mv_message_t *message);
void MvNode_SendLive(mv_node_t *node, mv_message_t *message);

static inline uint32_t
MvNode_Milliseconds(mv_time_t now)
{
    return (uint32_t)(now / MV_MILLISECOND);
}

#endif
