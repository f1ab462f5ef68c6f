/**
 * DOC: masticvane decision core
 *
 * The decisions of one entry VM: packet steering, cluster membership,
 * configuration, bucket moves and backend health.  The code uses no socket,
 * clock, thread or file.  The caller owns a &mv_node_t, passes it packets,
 * messages and the current time, and receives actions through the vtable
 * given to MvNode_Create().  The daemon is one such caller; tests run the
 * same code in virtual time.
 *
 * Flows are hashed to the buckets of their service.  Each bucket has an
 * endpoint for new flows and one for flows that have no flow entry.  Buckets
 * are divided into MV_GROUPS groups; for each group one node is the primary,
 * which decides about its buckets and records their flow entries, and other
 * nodes hold replicas of the entries.
 *
 * Threads: MvNode_Packet() may be called from any number of traffic threads.
 * Every other function of a node is called by the one control thread only.
 * Traffic threads read an immutable &mv_view_t that the control thread
 * publishes atomically.
 *
 * Errors: allocation failure inside GLib containers ends the process, as GLib
 * documents; every other failure is returned or counted.
 */
#ifndef MASTICVANE_CORE_H
#define MASTICVANE_CORE_H

#include "masticvane/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Deployment: the configuration in force */

#define MV_NAME_MAX 48
#define MV_NO_ENDPOINT UINT16_MAX
#define MV_NO_NODE UINT16_MAX
#define MV_MAX_BUCKETS 4096
#define MV_CHANGE_ID_MAX 40
/** Bytes of a hex digest with its terminating NUL. */
#define MV_DIGEST_MAX 33
/** Change ids kept in a configuration, its own included. */
#define MV_RECENT_CHANGES 16

/** typedef mv_node_id_t - Id of an entry VM, unique in a deployment. */
typedef uint16_t mv_node_id_t;

/**
 * struct mv_endpoint - One backend server of a service.
 * @id: id within the service; never reused for another server
 * @name: name used in reports
 * @data_centre: data centre it runs in
 * @address: IPv4 address, host byte order
 * @packet_port: UDP port that takes IP-in-UDP
 * @request_port: TCP port that speaks HTTP/2
 * @slots: requests it runs concurrently
 * @connection_limit: flows it may hold
 * @leaves_at: Unix second from which it gets no new flows or requests, 0 when
 *             its removal is not planned
 * @ends_at: Unix second from which remaining flows may be reset, 0 for never
 */
typedef struct mv_endpoint {
    uint16_t id;
    char name[MV_NAME_MAX];
    char data_centre[MV_NAME_MAX];
    uint32_t address;
    uint16_t packet_port;
    uint16_t request_port;
    uint16_t slots;
    uint32_t connection_limit;
    int64_t leaves_at;
    int64_t ends_at;
} mv_endpoint_t;

/**
 * struct mv_work - Request class of a service.
 * @name: name used in reports
 * @method: HTTP method it matches, empty for all
 * @path: path prefix it matches
 * @urgency: 0 is the most urgent
 * @share: guaranteed percentage of the service's slots
 * @non_idempotent: true when running a request twice is unsafe
 */
typedef struct mv_work {
    char name[MV_NAME_MAX];
    char method[16];
    char path[64];
    uint8_t urgency;
    uint8_t share;
    bool non_idempotent;
} mv_work_t;

/**
 * struct mv_service - One service behind an address.
 * @id: id within the deployment; never reused for another service
 * @name: name used in reports and as the request authority
 * @address: IPv4 address, host byte order
 * @port: TCP port
 * @ends_at: Unix second after which callers are refused, 0 for never
 * @last_endpoint_id: highest endpoint id ever assigned
 * @endpoint_count: entries in @endpoints
 * @endpoints: owned array, ordered by id
 * @work_count: entries in @work
 * @work: owned array of request classes in matching order
 * @bucket_count: power of two, entries in @before and @target
 * @before: endpoint id of each bucket before this change
 * @target: endpoint id that each bucket moves to
 * @changed_in: version of the configuration that last changed it
 * @digest: hex digest of its JSON document, see MvDeployment_EncodeService();
 *          empty until the document is encoded
 */
typedef struct mv_service {
    uint16_t id;
    char name[MV_NAME_MAX];
    uint32_t address;
    uint16_t port;
    int64_t ends_at;
    uint16_t last_endpoint_id;
    uint16_t endpoint_count;
    mv_endpoint_t *endpoints;
    uint16_t work_count;
    mv_work_t *work;
    uint16_t bucket_count;
    uint16_t *before;
    uint16_t *target;
    uint64_t changed_in;
    char digest[MV_DIGEST_MAX];
} mv_service_t;

/**
 * struct mv_member_weight - Fair share of one member (caller).
 * @name: member name as callers state it
 * @weight: relative share within a class of work
 */
typedef struct mv_member_weight {
    char name[MV_NAME_MAX];
    uint16_t weight;
} mv_member_weight_t;

/**
 * struct mv_deployment - An accepted configuration; immutable once built.
 * @references: reference count, see MvDeployment_Ref()
 * @name: deployment name
 * @version: rises by one with each accepted change
 * @change_id: identifier of the change that made it
 * @accepted_at: Unix second at which it was accepted
 * @flow_idle_seconds: a flow without packets for longer may be removed
 * @last_service_id: highest service id ever assigned
 * @service_count: entries in @services
 * @services: owned array
 * @member_count: entries in @members
 * @members: owned array
 * @recent_changes: change ids of the last versions, newest first
 */
typedef struct mv_deployment {
    int references;
    char name[MV_NAME_MAX];
    uint64_t version;
    char change_id[MV_CHANGE_ID_MAX];
    int64_t accepted_at;
    uint32_t flow_idle_seconds;
    uint16_t last_service_id;
    uint16_t service_count;
    mv_service_t *services;
    uint16_t member_count;
    mv_member_weight_t *members;
    char recent_changes[MV_RECENT_CHANGES][MV_CHANGE_ID_MAX];
} mv_deployment_t;

/** MvDeployment_Ref() - Take a reference; safe from any thread. */
mv_deployment_t *MvDeployment_Ref(mv_deployment_t *deployment);

/** MvDeployment_Unref() - Drop a reference; NULL is accepted. */
void MvDeployment_Unref(mv_deployment_t *deployment);

/** MvDeployment_FindService() - Service by id, or NULL. */
const mv_service_t *MvDeployment_FindService(const mv_deployment_t *deployment,
                                             uint16_t service);

/** MvService_FindEndpoint() - Endpoint by id, or NULL. */
const mv_endpoint_t *MvService_FindEndpoint(const mv_service_t *service,
                                            uint16_t endpoint);

/**
 * MvService_Rebalance() - Assign buckets to endpoints with few moves.
 * @service: endpoints and @before are set; @target is written
 * @now: Unix second that decides which endpoints are leaving
 *
 * Writes @service->target.  Buckets of leaving endpoints move to the endpoints
 * with the fewest.  The other endpoints keep their buckets, except as many as
 * must move so that the counts of the remaining endpoints differ by one at
 * most.  When all endpoints are leaving, buckets stay where they are.
 */
void MvService_Rebalance(mv_service_t *service, int64_t now);

/**
 * MvService_BucketCount() - Number of buckets of a service.
 * @endpoints: number of its endpoints
 *
 * Return: a power of two, at most MV_MAX_BUCKETS.
 */
uint16_t MvService_BucketCount(uint16_t endpoints);

/* Messages between entry VMs */

/** enum mv_member_state - Membership state of one entry VM. */
typedef enum mv_member_state {
    MV_MEMBER_UNKNOWN,
    MV_MEMBER_ALIVE,
    MV_MEMBER_SUSPECT,
    MV_MEMBER_LEFT,
    MV_MEMBER_DEAD,
} mv_member_state_t;

/**
 * struct mv_member_update - Membership update, piggybacked on heartbeats.
 * @node: entry VM that the update describes
 * @status_version: version of the status (the incarnation number of SWIM);
 *                  raised only by @node itself, a higher one replaces a
 *                  lower one
 * @state: &enum mv_member_state
 * @ready: it may be a primary or backup
 * @config_version: version of the configuration it has in force
 * @incarnation: Unix second at which its process started
 * @data_centre: hash of the name of its data centre
 */
typedef struct mv_member_update {
    uint32_t node;
    uint32_t status_version;
    uint32_t incarnation;
    uint32_t data_centre;
    uint32_t state;
    uint32_t ready;
    uint64_t config_version;
} mv_member_update_t;

/**
 * enum mv_bucket_phase - Phase of the move of a bucket to another endpoint.
 * @MV_BUCKET_STABLE: no move; all flows go to the bucket's endpoint
 * @MV_BUCKET_ANNOUNCED: the other nodes are being informed; flows still go to
 *                       the old endpoint and are recorded by the primary
 * @MV_BUCKET_MIXED: new flows go to the new endpoint, old flows to the old
 *                   one; the primary records each flow it sees
 * @MV_BUCKET_RECORDED: every old flow has a flow entry; all other flows go to
 *                      the new endpoint
 */
typedef enum mv_bucket_phase {
    MV_BUCKET_STABLE,
    MV_BUCKET_ANNOUNCED,
    MV_BUCKET_MIXED,
    MV_BUCKET_RECORDED,
} mv_bucket_phase_t;

/**
 * struct mv_bucket_update - State of a bucket as announced by its primary.
 * @version: hybrid logical time; a higher one replaces a lower one
 * @bucket: bucket number
 * @endpoint: endpoint id for packets of flows without a flow entry
 * @next: endpoint id for new flows
 * @phase: &enum mv_bucket_phase
 */
typedef struct mv_bucket_update {
    uint64_t version;
    uint32_t bucket;
    uint32_t endpoint;
    uint32_t next;
    uint32_t phase;
} mv_bucket_update_t;

/**
 * struct mv_flow_record - Flow entry as sent between entry VMs.
 * @address: caller's IPv4 address, host byte order
 * @port: caller's TCP port
 * @service: service id
 * @endpoint: endpoint id
 * @idle_ms: time since its last packet, in milliseconds
 */
typedef struct mv_flow_record {
    uint32_t address;
    uint32_t port;
    uint32_t service;
    uint32_t endpoint;
    uint32_t idle_ms;
} mv_flow_record_t;

/**
 * struct mv_load_record - Load and health of an endpoint seen by one node.
 * @service: service id
 * @endpoint: endpoint id; in MV_MESSAGE_SERVERS the tag of a server
 * @open: open flows: SYN minus FIN and RST packets seen by the sender
 * @answered: sampled new flows with a later packet, since the last report; in
 *            MV_MESSAGE_SERVERS requests that were answered
 * @unanswered: sampled new flows without a later packet, since the last
 *              report; in MV_MESSAGE_SERVERS requests that failed
 * @recorded_flows: flows with a flow entry whose primary is the sender
 */
typedef struct mv_load_record {
    uint32_t service;
    uint32_t endpoint;
    int32_t open;
    uint32_t answered;
    uint32_t unanswered;
    uint32_t recorded_flows;
} mv_load_record_t;

/**
 * enum mv_slot_op - Operation of a slot record.
 * @MV_SLOT_REQUEST: to the owner: a request waits for a slot
 * @MV_SLOT_GRANT: the request gets the slot
 * @MV_SLOT_NEXT: from the owner: hand the slot to @other when its request ends
 * @MV_SLOT_RETURN: to the owner: the slot is free, as its request has ended or
 *                  did not use it
 * @MV_SLOT_REUSED: to the owner: the sender gave the slot to its own request
 *                  @other
 * @MV_SLOT_PASSED: to the owner: the sender handed the slot to @other at @node
 * @MV_SLOT_WITHDRAW: to the owner: the request no longer waits
 * @MV_SLOT_REFUSE: from the owner: the request is refused because of overload
 * @MV_SLOT_HINT: from the owner: urgency of the most urgent waiting request
 * @MV_SLOT_HOLDING: to the owner: the sender's request uses this slot
 * @MV_SLOT_HOLDINGS_END: to the owner: all slots in use have been reported
 * @MV_SLOT_OP_COUNT: number that follows the last operation
 */
typedef enum mv_slot_op {
    MV_SLOT_REQUEST = 1,
    MV_SLOT_GRANT,
    MV_SLOT_NEXT,
    MV_SLOT_RETURN,
    MV_SLOT_REUSED,
    MV_SLOT_PASSED,
    MV_SLOT_WITHDRAW,
    MV_SLOT_REFUSE,
    MV_SLOT_HINT,
    MV_SLOT_HOLDING,
    MV_SLOT_HOLDINGS_END,
    MV_SLOT_OP_COUNT,
} mv_slot_op_t;

/**
 * struct mv_slot_record - Record about a slot, sent between entry VMs.
 *
 * One entry VM owns the slots of a service and grants them to requests that
 * other entry VMs received.
 * @op: &enum mv_slot_op
 * @request: request id at the node that received the request
 * @other: with NEXT, REUSED and PASSED: request that gets the slot
 * @service: service id
 * @endpoint: endpoint id
 * @slot: slot number assigned by the owner
 * @work: index of the request class; with HINT: the urgency
 * @node: node of @other
 * @member: hash of the member (caller)
 * @remaining_ms: with REQUEST: milliseconds until the deadline; with RETURN:
 *                the result of the run (MV_RETURN_SUCCESS and others); with
 *                HINT: MV_HINT_BACKLOG or 0
 */
typedef struct mv_slot_record {
    uint32_t op;
    uint64_t request;
    uint64_t other;
    uint32_t service;
    uint32_t endpoint;
    uint32_t slot;
    uint32_t work;
    uint32_t node;
    uint32_t member;
    uint32_t remaining_ms;
} mv_slot_record_t;

/**
 * enum mv_claim_op - Operation of a claim record.
 * @MV_CLAIM_REQUEST: to the key's owner: claim the key for a request
 * @MV_CLAIM_GRANTED: the request may run
 * @MV_CLAIM_STATE: the key is claimed already; its state and retained answer
 * @MV_CLAIM_RETRY: the owner cannot decide yet; request the claim again
 * @MV_CLAIM_LOST: refused, as an earlier claim of the key may have been lost
 * @MV_CLAIM_REPLICATE: from the owner to the backup: store the claim
 * @MV_CLAIM_REPLICATED: the backup has stored the claim
 * @MV_CLAIM_SETTLE: to owner and backup: final state of a claim
 * @MV_CLAIM_RECORD: a claim that the receiver merges into its own
 * @MV_CLAIM_SYNC_REQUEST: send all claims that the sender owns or backs up
 * @MV_CLAIM_SYNC_END: all claims for the receiver have been sent
 * @MV_CLAIM_MINORITY: refused, as the owner has no majority in a partition
 * @MV_CLAIM_MEMBER_LOST: a member disappeared without handing over its claims
 * @MV_CLAIM_MEMBER_JOINED: time since a member was first seen
 * @MV_CLAIM_OP_COUNT: number that follows the last operation
 */
typedef enum mv_claim_op {
    MV_CLAIM_REQUEST = 1,
    MV_CLAIM_GRANTED,
    MV_CLAIM_STATE,
    MV_CLAIM_RETRY,
    MV_CLAIM_LOST,
    MV_CLAIM_REPLICATE,
    MV_CLAIM_REPLICATED,
    MV_CLAIM_SETTLE,
    MV_CLAIM_RECORD,
    MV_CLAIM_SYNC_REQUEST,
    MV_CLAIM_SYNC_END,
    MV_CLAIM_MINORITY,
    MV_CLAIM_MEMBER_LOST,
    MV_CLAIM_MEMBER_JOINED,
    MV_CLAIM_OP_COUNT,
} mv_claim_op_t;

/**
 * struct mv_claim_record - Message about an idempotency key.
 *
 * With MEMBER_LOST and MEMBER_JOINED it describes the member @node instead.
 * @request is its incarnation and @age_ms the time since it disappeared or
 * since that incarnation was first seen.  @key_low is its data centre
 * (MEMBER_LOST), or the milliseconds since its node id was first seen in any
 * incarnation (MEMBER_JOINED).
 *
 * @op: &enum mv_claim_op
 * @key_high: upper half of the key's hash
 * @key_low: lower half of the key's hash
 * @state: state of the claim, see requests_private.h; with SYNC_END non-zero
 *         when the sender is leaving
 * @node: node that claimed it
 * @request: request id at @node
 * @age_ms: age of the record
 * @bytes: retained answer, or NULL
 * @length: bytes in @bytes
 */
typedef struct mv_claim_record {
    uint32_t op;
    uint64_t key_high;
    uint64_t key_low;
    uint32_t state;
    uint32_t node;
    uint64_t request;
    uint32_t age_ms;
    char *bytes;
    size_t length;
} mv_claim_record_t;

/**
 * enum mv_message_kind - Kind of a message between entry VMs.
 * @MV_MESSAGE_PING: heartbeat
 * @MV_MESSAGE_ACK: answer to a heartbeat
 * @MV_MESSAGE_PING_REQUEST: request to probe @target for the sender
 * @MV_MESSAGE_CONFIG_PULL: request for a configuration newer than @version
 * @MV_MESSAGE_CONFIG: a configuration
 * @MV_MESSAGE_BUCKETS: bucket states
 * @MV_MESSAGE_BUCKETS_ACK: acknowledgement of bucket states by @version
 * @MV_MESSAGE_FLOWS: flow entries for a holder
 * @MV_MESSAGE_LOAD: load and health of endpoints, for the deciding node
 * @MV_MESSAGE_MOVE: request of the deciding node to move buckets
 * @MV_MESSAGE_MEMBER_UPDATES: membership updates without a probe, by stream
 * @MV_MESSAGE_SYNC_REQUEST: request for bucket states and flow entries
 * @MV_MESSAGE_SYNC_DONE: end of the answer to a sync request
 * @MV_MESSAGE_HANDOVER_DONE: a stopping node has sent its flow entries
 * @MV_MESSAGE_HANDOVER_ACK: acknowledgement of MV_MESSAGE_HANDOVER_DONE
 * @MV_MESSAGE_SLOTS: slot records
 * @MV_MESSAGE_CLAIMS: claim records
 * @MV_MESSAGE_DIGESTS: digests of bucket states
 * @MV_MESSAGE_REPLICA_HEARTBEAT: revision of the sender's replica of the store
 * @MV_MESSAGE_REPLICA_PULL: request for changes of the store
 * @MV_MESSAGE_REPLICA_DELTA: changes of the store
 * @MV_MESSAGE_SERVERS: health of servers, by tag
 * @MV_MESSAGE_REPLICA_SUBSCRIBE: request for heartbeats and changes of the
 * store
 * @MV_MESSAGE_OFFERS: servers of flows that have not opened yet
 * @MV_MESSAGE_OPENINGS: servers at which flows have opened; without any, a
 * request for those that the sender may need
 * @MV_MESSAGE_KIND_COUNT: number that follows the last kind
 */
typedef enum mv_message_kind {
    MV_MESSAGE_PING = 1,
    MV_MESSAGE_ACK,
    MV_MESSAGE_PING_REQUEST,
    MV_MESSAGE_CONFIG_PULL,
    MV_MESSAGE_CONFIG,
    MV_MESSAGE_BUCKETS,
    MV_MESSAGE_BUCKETS_ACK,
    MV_MESSAGE_FLOWS,
    MV_MESSAGE_LOAD,
    MV_MESSAGE_MOVE,
    MV_MESSAGE_MEMBER_UPDATES,
    MV_MESSAGE_SYNC_REQUEST,
    MV_MESSAGE_SYNC_DONE,
    MV_MESSAGE_HANDOVER_DONE,
    MV_MESSAGE_HANDOVER_ACK,
    MV_MESSAGE_SLOTS,
    MV_MESSAGE_CLAIMS,
    MV_MESSAGE_DIGESTS,
    MV_MESSAGE_REPLICA_HEARTBEAT,
    MV_MESSAGE_REPLICA_PULL,
    MV_MESSAGE_REPLICA_DELTA,
    MV_MESSAGE_SERVERS,
    MV_MESSAGE_REPLICA_SUBSCRIBE,
    MV_MESSAGE_OFFERS,
    MV_MESSAGE_OPENINGS,
    MV_MESSAGE_KIND_COUNT,
} mv_message_kind_t;

/**
 * struct mv_message - A message; the fields in use depend on @kind.
 * @kind: &enum mv_message_kind
 * @from: sender
 * @sequence: number that an answer repeats; in MV_MESSAGE_DIGESTS the lower 32
 *            bits of the sender's configuration version
 * @target: node to probe, in a ping request; in a ping or acknowledgement the
 *          node that requested the probe, or MV_NO_NODE; in a replica
 *          heartbeat 1 when the sender's replica is fresh, in a subscription 1
 *          when a heartbeat is to answer it at once, otherwise 0
 * @service: service of bucket updates
 * @version: version of the bucket states (BUCKETS, BUCKETS_ACK), 0 when they
 *           are not to be acknowledged; the newest one compared (DIGESTS), the
 *           revision of the sender's replica of the store (REPLICA_*), or the
 *           sender's configuration version
 * @member_count: entries in @members
 * @members: membership updates; this and the other arrays are owned by the
 *           caller that built the message
 * @bucket_count: entries in @buckets
 * @buckets: bucket states
 * @flow_count: entries in @flows
 * @flows: flow entries
 * @load_count: entries in @loads
 * @loads: load counts
 * @slot_count: entries in @slots
 * @slots: slot records
 * @claim_count: entries in @claims
 * @claims: claim records
 * @blob: encoded configuration (CONFIG), digests (DIGESTS), encoded changes of
 *        the store (REPLICA_DELTA) or encoded offers (OFFERS)
 * @blob_length: bytes in @blob
 */
typedef struct mv_message {
    uint32_t kind;
    uint32_t from;
    uint32_t sequence;
    uint32_t target;
    uint32_t service;
    uint64_t version;
    size_t member_count;
    mv_member_update_t *members;
    size_t bucket_count;
    mv_bucket_update_t *buckets;
    size_t flow_count;
    mv_flow_record_t *flows;
    size_t load_count;
    mv_load_record_t *loads;
    size_t slot_count;
    mv_slot_record_t *slots;
    size_t claim_count;
    mv_claim_record_t *claims;
    char *blob;
    size_t blob_length;
} mv_message_t;

/** MvMessage_IsDatagram() - True for kinds sent by UDP, which may be lost. */
bool MvMessage_IsDatagram(const mv_message_t *message);

/* Actions */

/** typedef mv_effects_t - Receiver of a node's actions. */
typedef struct mv_effects mv_effects_t;

/**
 * struct mv_effects_ops - Actions that a node requests of its caller.
 * @send: send @message to @to; the message is only valid during the call
 * @encode: encode a configuration for a peer that has version @since in
 *          force, 0 for none; the node frees the result with free()
 * @decode: decode such bytes against @base, the configuration in force here
 *          or NULL; returns a new reference, or NULL when the bytes are
 *          malformed or need another base
 * @event: log a numbered event; @node is the entry VM it concerns and @detail
 *         a version; with events of an endpoint, @node is the endpoint id and
 *         @detail the service id
 */
typedef struct mv_effects_ops {
    void (*send)(mv_effects_t *effects, mv_node_id_t to,
                 const mv_message_t *message);
    char *(*encode)(mv_effects_t *effects, const mv_deployment_t *deployment,
                    uint64_t since, size_t *length);
    mv_deployment_t *(*decode)(mv_effects_t *effects, const char *bytes,
                               size_t length, const mv_deployment_t *base);
    void (*event)(mv_effects_t *effects, mv_log_event_t event,
                  mv_node_id_t node, uint64_t detail);
} mv_effects_ops_t;

/**
 * struct mv_effects - Base of the caller's own structure.
 * @ops: its functions
 */
struct mv_effects {
    const mv_effects_ops_t *ops;
};

/* Node */

/** enum mv_verdict_kind - Action for a packet. */
typedef enum mv_verdict_kind {
    MV_VERDICT_DROP,
    MV_VERDICT_FORWARD,
    MV_VERDICT_RELAY,
} mv_verdict_kind_t;

/**
 * struct mv_verdict - Decision about one packet.
 * @kind: &enum mv_verdict_kind
 * @reason: when the packet is dropped, the counter of the reason, which
 *          MvNode_Packet() has incremented
 * @service: service id when the packet belongs to one
 * @endpoint: endpoint id to forward to
 * @address: backend server's address, host byte order, when forwarded
 * @port: backend server's packet port when forwarded
 * @node: entry VM to relay to
 * @hops: hop count to write into the relayed packet
 */
typedef struct mv_verdict {
    mv_verdict_kind_t kind;
    mv_counter_id_t reason;
    uint16_t service;
    uint16_t endpoint;
    uint32_t address;
    uint16_t port;
    mv_node_id_t node;
    uint8_t hops;
} mv_verdict_t;

/** Relays after which the receiving node must decide about a packet. */
#define MV_MAX_HOPS 2

/**
 * struct mv_node_settings - Settings of a node; times in microseconds.
 * @id: its own id
 * @data_centre: MvDataCentre_Hash() of its data centre, 0 when unknown
 * @peers: ids of the other entry VMs it may contact
 * @peer_count: entries in @peers
 * @probe_interval: time between heartbeats
 * @probe_timeout: time without an answer after which other members are asked
 *                 to probe
 * @suspect_timeout: time for a suspected member to refute the suspicion
 * @announce_dwell: time between the last acknowledgement of a move and its
 *                  start; must exceed 1 s, so that by the start a caller
 *                  whose SYN was sent before the announcement has
 *                  retransmitted it, and a suspected node whose control
 *                  thread is paused relays its packets
 * @digest_interval: time between comparisons of bucket states with a member
 * @replication_interval: time between batches of flow entries from a primary
 *                        to the replica holders
 * @load_interval: time between rounds of load messages; a round covers a part
 *                 of the services when there are many
 * @flow_capacity: flow entries the node may hold
 * @balance_limit_percent: deviation of an endpoint's open flows from the
 *                         mean above which buckets are moved
 */
typedef struct mv_node_settings {
    mv_node_id_t id;
    uint32_t data_centre;
    const mv_node_id_t *peers;
    size_t peer_count;
    mv_time_t probe_interval;
    mv_time_t probe_timeout;
    mv_time_t suspect_timeout;
    mv_time_t announce_dwell;
    mv_time_t replication_interval;
    mv_time_t digest_interval;
    mv_time_t load_interval;
    uint32_t flow_capacity;
    uint32_t balance_limit_percent;
} mv_node_settings_t;

/** MvNodeSettings_Default() - Settings for node @id without peers. */
mv_node_settings_t MvNodeSettings_Default(mv_node_id_t id);

/** typedef mv_node_t - The decisions of one entry VM. */
typedef struct mv_node mv_node_t;

/** typedef mv_reader_t - Registration of a traffic thread as a view reader. */
typedef struct mv_reader mv_reader_t;

/**
 * MvNode_Create() - Create a node without configuration.
 * @settings: copied
 * @effects: receives actions; must outlive the node
 * @counters: counters that it increments; must outlive the node
 * @random: source of randomness, used by the control thread; not owned
 * @wall: Unix time in microseconds at @now
 * @now: monotonic time
 *
 * Return: the node, freed with MvNode_Destroy(); NULL when out of memory.
 */
mv_node_t *MvNode_Create(const mv_node_settings_t *settings,
                         mv_effects_t *effects, mv_counters_t *counters,
                         GRand *random, mv_time_t wall, mv_time_t now);

/**
 * MvNode_Destroy() - Free a node; NULL and partly built nodes are accepted.
 */
void MvNode_Destroy(mv_node_t *node);

/**
 * MvNode_AddReader() - Register a traffic thread; control thread only.
 *
 * Return: the reader, freed with the node; NULL when out of memory.
 */
mv_reader_t *MvNode_AddReader(mv_node_t *node);

/**
 * MvNode_Packet() - Decide about one IP packet; any traffic thread.
 * @node: the node
 * @reader: the reader of the calling thread
 * @now: monotonic time
 * @packet: the inner IP packet; not modified
 * @length: bytes in @packet
 * @hops: times it was relayed, 0 when it comes from the network fabric
 *
 * Return: the action, which the caller carries out; counted already.
 */
mv_verdict_t MvNode_Packet(mv_node_t *node, mv_reader_t *reader, mv_time_t now,
                           const uint8_t *packet, size_t length, uint8_t hops);

/** MvNode_Message() - Handle a message that passed the frame checks. */
void MvNode_Message(mv_node_t *node, mv_time_t now,
                    const mv_message_t *message);

/**
 * MvNode_Config() - Apply a decoded configuration from the store or a peer.
 * @deployment: a reference is taken
 *
 * Return: true when it is newer than the one in force and has replaced it.
 */
bool MvNode_Config(mv_node_t *node, mv_time_t now,
                   mv_deployment_t *deployment);

/**
 * MvNode_Timer() - Run the timers that have expired.
 *
 * Call at least every 50 ms.
 *
 * Return: the time by which the next call is needed.
 */
mv_time_t MvNode_Timer(mv_node_t *node, mv_time_t now);

/**
 * MvNode_Stop() - Begin a planned stop: hand over entries, then leave.
 */
void MvNode_Stop(mv_node_t *node, mv_time_t now);

/** MvNode_Stopped() - True once the node has handed over and left. */
bool MvNode_Stopped(const mv_node_t *node);

/**
 * MvNode_Deployment() - Configuration in force, or NULL; a borrowed pointer.
 */
mv_deployment_t *MvNode_Deployment(const mv_node_t *node);

/** MvNode_FlowCount() - Flow entries held. */
size_t MvNode_FlowCount(const mv_node_t *node);

/** MvNode_MovingBuckets() - Buckets that are not in MV_BUCKET_STABLE. */
size_t MvNode_MovingBuckets(const mv_node_t *node);

/**
 * MvNode_IsAlive() - True when @id is this node, or a member that is alive or
 *                    suspect.
 */
bool MvNode_IsAlive(const mv_node_t *node, mv_node_id_t id);

/**
 * struct mv_request_member - An entry VM that may own keys and slots, or be a
 *                            primary, backup or other holder of flow entries.
 * @id: its node id
 * @incarnation: differs for each run of its process
 * @data_centre: hash of the name of its data centre, 0 when unknown
 */
typedef struct mv_request_member {
    uint32_t id;
    uint32_t incarnation;
    uint32_t data_centre;
} mv_request_member_t;

/** MvDataCentre_Hash() - Hash of a data centre's name, never 0. */
uint32_t MvDataCentre_Hash(const char *name);

/**
 * MvNode_RequestMembers() - Members that may own keys and slots, sorted by id.
 * @out: room for @capacity entries
 *
 * Return: entries written.  They include this node while it is ready.
 */
size_t MvNode_RequestMembers(const mv_node_t *node, mv_request_member_t *out,
                             size_t capacity);

/**
 * MvNode_IsWatcher() - True when this node should watch the platform's store.
 *
 * Two of the nodes that see each other as alive watch the store; the others
 * get changes from them.
 */
bool MvNode_IsWatcher(const mv_node_t *node);

/** MvNode_LiveMembers() - Number of live members, this node included. */
size_t MvNode_LiveMembers(const mv_node_t *node);

/**
 * MvNode_NewFlowEndpoint() - Endpoint id for new flows of a bucket.
 *
 * While a move is announced, this is already the endpoint after the move.
 * Return: MV_NO_ENDPOINT when the service or bucket does not exist.
 */
uint16_t MvNode_NewFlowEndpoint(const mv_node_t *node, uint16_t service,
                                uint32_t bucket);

/** MvNode_Dump() - State of the node as JSON; returns a new reference. */
json_t *MvNode_Dump(const mv_node_t *node, mv_time_t now);

#ifdef __cplusplus
}
#endif
#endif
