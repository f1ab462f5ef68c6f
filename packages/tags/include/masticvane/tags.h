/**
 * DOC: masticvane flow tags
 *
 * The second way of keeping flows, beside buckets (core.h), for fabrics whose
 * packets carry a field that both ends give back.  Each entry VM writes the
 * tag of the chosen backend server into that field; every later packet of the
 * flow brings it along, so that any entry VM finds the server without state,
 * home or relay.  Nothing here does I/O: time, packets and knowledge come as
 * arguments, verdicts go back.
 *
 * Threads: the directory belongs to the control thread, the forwarder to one
 * traffic thread.  A table is immutable and handed from one to the other.
 *
 * Errors: allocation failure inside GLib containers ends the process, as GLib
 * documents; every other failure is a verdict with its counter.
 */
#ifndef MASTICVANE_TAGS_H
#define MASTICVANE_TAGS_H

#include "masticvane/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What is known */

/** Services that one route may name. */
#define MV_ROUTE_SERVICES 8

/** enum mv_server_state - What a backend server says of itself. */
typedef enum mv_server_state {
    MV_SERVER_READY,
    MV_SERVER_DRAINING,
} mv_server_state_t;

/**
 * struct mv_server - One life of a backend server as it announced itself.
 * @id: number in front of its packets, unique among lives but for @started_at
 * @started_at: Unix millisecond of its start, 0 when not told
 * @service: name of its service
 * @data_centre: name of its data centre
 * @address: IPv4 address, host byte order
 * @port: UDP port
 * @slots: requests it runs at once
 * @state: &enum mv_server_state
 * @warmup_left: how much longer it is slow after its start
 */
typedef struct mv_server {
    uint64_t id;
    int64_t started_at;
    char service[MV_NAME_MAX];
    char data_centre[MV_NAME_MAX];
    uint32_t address;
    uint16_t port;
    uint16_t slots;
    mv_server_state_t state;
    mv_time_t warmup_left;
} mv_server_t;

/** MvServer_Tag() - Tag of this life, never 0. */
uint32_t MvServer_Tag(const mv_server_t *server);

/**
 * struct mv_route_share - Part of a route's new flows.
 * @service: name of the service that gets them
 * @weight: relative share
 */
typedef struct mv_route_share {
    char service[MV_NAME_MAX];
    uint32_t weight;
} mv_route_share_t;

/**
 * struct mv_route - Where new flows to an address go.
 * @address: IPv4 address that callers use, host byte order
 * @port: port that callers use
 * @timeout: longest time of a request
 * @target_latency: an answer later than this is worth less, 0 when not told
 * @urgency: 0 is the most urgent
 * @share_count: entries in @shares
 * @shares: services, one as a rule
 */
typedef struct mv_route {
    uint32_t address;
    uint16_t port;
    mv_time_t timeout;
    mv_time_t target_latency;
    uint8_t urgency;
    unsigned share_count;
    mv_route_share_t shares[MV_ROUTE_SERVICES];
} mv_route_t;

/**
 * struct mv_connection_limit - Flows that a server of a service may hold.
 * @service: name of the service
 * @flows: flows at most
 */
typedef struct mv_connection_limit {
    char service[MV_NAME_MAX];
    uint32_t flows;
} mv_connection_limit_t;

/**
 * struct mv_routing - The accepted configuration as routing needs it.
 * @version: rises with each accepted change
 * @flow_idle: a flow silent for longer may be forgotten
 * @routes: array of mv_route_t
 * @limits: array of mv_connection_limit_t
 */
typedef struct mv_routing {
    uint64_t version;
    mv_time_t flow_idle;
    GArray *routes;
    GArray *limits;
} mv_routing_t;

/** MvRouting_Create() - Empty configuration of version 0. */
mv_routing_t *MvRouting_Create(void);

/** MvRouting_Destroy() - Free; NULL is accepted. */
void MvRouting_Destroy(mv_routing_t *routing);

/* Directory */

/** typedef mv_directory_t - Servers and routes as the store told of them. */
typedef struct mv_directory mv_directory_t;

/** typedef mv_table_t - Immutable snapshot for the traffic thread. */
typedef struct mv_table mv_table_t;

/**
 * struct mv_directory_settings - Bounds of the directory.
 * @data_centre: own data centre
 * @retention: how long a server that left stays known for its open flows
 * @vanished_grace: a server whose announcement vanished without notice may
 *                still be used this long when most of its service vanished
 */
typedef struct mv_directory_settings {
    char data_centre[MV_NAME_MAX];
    mv_time_t retention;
    mv_time_t vanished_grace;
} mv_directory_settings_t;

/** MvDirectory_Create() - Directory that knows nothing yet. */
mv_directory_t *MvDirectory_Create(const mv_directory_settings_t *settings);

/** MvDirectory_Destroy() - Free; NULL is accepted. */
void MvDirectory_Destroy(mv_directory_t *directory);

/**
 * MvDirectory_Announce() - A server announced itself under @key.
 *
 * Return: what changed, as an event to log, or 0.
 */
int MvDirectory_Announce(mv_directory_t *directory, mv_time_t now,
                         const char *key, const mv_server_t *server);

/**
 * MvDirectory_Withdraw() - The announcement under @key is gone or names no
 * server any more.
 *
 * Return: as MvDirectory_Announce().
 */
int MvDirectory_Withdraw(mv_directory_t *directory, mv_time_t now,
                         const char *key);

/**
 * MvDirectory_SetRouting() - Take a configuration over when it is newer.
 *
 * Return: true when it is in force now; @routing is consumed either way.
 */
bool MvDirectory_SetRouting(mv_directory_t *directory, mv_routing_t *routing);

/**
 * MvDirectory_NoteStoreOutage() - Nothing new was heard of the store for
 * @span.
 *
 * What vanished cannot come back meanwhile: its time to do so does not run.
 * Return: true when a table that was made before is not right any more.
 */
bool MvDirectory_NoteStoreOutage(mv_directory_t *directory, mv_time_t now,
                                 mv_time_t span);

/** MvDirectory_SetLocalNodes() - Entry VMs of the own data centre. */
void MvDirectory_SetLocalNodes(mv_directory_t *directory, unsigned nodes);

/** MvDirectory_Version() - Version of the configuration in force, or 0. */
uint64_t MvDirectory_Version(const mv_directory_t *directory);

/** MvDirectory_UsableServers() - Servers that take new flows. */
size_t MvDirectory_UsableServers(const mv_directory_t *directory);

/** MvDirectory_Table() - New snapshot; freed with MvTable_Destroy(). */
mv_table_t *MvDirectory_Table(mv_directory_t *directory, mv_time_t now);

/**
 * MvTable_SetSource() - Say what the snapshot was made of.
 * @revision: every change of the store up to it
 * @learned_at: first word of the oldest change that packets do not use yet, 0
 *              for none
 */
void MvTable_SetSource(mv_table_t *table, uint64_t revision,
                       mv_time_t learned_at);

/** MvTable_LearnedAt() - As set. */
mv_time_t MvTable_LearnedAt(const mv_table_t *table);

/** MvTable_Destroy() - Free; NULL is accepted. */
void MvTable_Destroy(mv_table_t *table);

/* Packets */

/**
 * struct mv_flow_packet - What steering reads of a packet.
 * @caller: caller's address, host byte order
 * @caller_port: caller's port
 * @address: address that the caller uses, host byte order
 * @port: port that the caller uses
 * @tag: tag that the packet brings, 0 when none
 * @acknowledged: last byte of the other side that the caller has seen
 * @retransmission: which copy of the opening packet it is, from 0
 * @since_first_syn: time since the caller sent the first copy
 * @has_syn: first packet of a flow
 * @has_data: it carries bytes of the caller
 * @is_closing: the caller ends the flow, in order
 * @is_reset: the caller gives the flow up
 */
typedef struct mv_flow_packet {
    uint32_t caller;
    uint16_t caller_port;
    uint32_t address;
    uint16_t port;
    uint32_t tag;
    uint32_t acknowledged;
    uint32_t retransmission;
    mv_time_t since_first_syn;
    bool has_syn;
    bool has_data;
    bool is_closing;
    bool is_reset;
} mv_flow_packet_t;

/** enum mv_flow_verdict_kind - What to do with a packet. */
typedef enum mv_flow_verdict_kind {
    MV_FLOW_DROP,
    MV_FLOW_FORWARD,
    MV_FLOW_RESET,
} mv_flow_verdict_kind_t;

/**
 * struct mv_flow_verdict - Decision about one packet.
 * @kind: &enum mv_flow_verdict_kind
 * @reason: counter that tells why
 * @address: server's address when forwarded, host byte order
 * @port: its port
 * @server: its id
 * @tag: written into the packet
 */
typedef struct mv_flow_verdict {
    mv_flow_verdict_kind_t kind;
    mv_counter_id_t reason;
    uint32_t address;
    uint16_t port;
    uint64_t server;
    uint32_t tag;
} mv_flow_verdict_t;

/** Longest opening packet that is kept to be sent again. */
#define MV_SYN_MAX 64

/** typedef mv_forwarder_t - Decisions of one traffic thread. */
typedef struct mv_forwarder mv_forwarder_t;

/**
 * struct mv_flow_name - Identity of a flow, the same at both ends.
 * @caller: caller's address, host byte order
 * @address: address that the caller uses
 * @caller_port: caller's port
 * @port: port that the caller uses
 */
typedef struct mv_flow_name {
    uint32_t caller;
    uint32_t address;
    uint16_t caller_port;
    uint16_t port;
} mv_flow_name_t;

/**
 * struct mv_flow_decision - One decision about a flow, for the log.
 * @event: what was decided
 * @name: the flow
 * @is_rare: it is worth a line whatever the sample
 * @server: id of the server, 0 when none
 * @instead_of: server that did not answer an opening packet, 0 when none
 * @reason: counter that tells why
 * @candidates: servers that were considered
 * @outstanding: flows begun at the server and not ended, as counted here
 * @offers: opening packets sent so far
 * @version: configuration that decided
 * @revision: of the store, as this node knew it
 * @queue_time: time that it waited here for a free server
 * @took: time since its first packet, or since it was held no longer
 */
typedef struct mv_flow_decision {
    mv_log_event_t event;
    mv_flow_name_t name;
    bool is_rare;
    uint64_t server;
    uint64_t instead_of;
    mv_counter_id_t reason;
    unsigned candidates;
    unsigned outstanding;
    unsigned offers;
    uint64_t version;
    uint64_t revision;
    mv_time_t queue_time;
    mv_time_t took;
} mv_flow_decision_t;

/**
 * struct mv_forwarder_ops - What the forwarder asks and tells.
 * @send: send kept opening bytes as @verdict says
 * @event: a numbered event about a server or a data centre
 * @decided: a decision about a flow; called for those in the sample, which is
 *           the same on every node, and for rare ones
 * @report: requests that failed, for the nodes near; @endpoint is the tag
 */
typedef struct mv_forwarder_ops {
    void (*send)(void *context, const mv_flow_verdict_t *verdict,
                 const uint8_t *bytes, size_t length);
    void (*event)(void *context, mv_log_event_t event, uint64_t server,
                  int64_t detail);
    void (*decided)(void *context, const mv_flow_decision_t *decision);
    void (*report)(void *context, const mv_load_record_t *records,
                   size_t count);
} mv_forwarder_ops_t;

/**
 * MvForwarder_Create() - Forwarder without a table: it drops every packet.
 * @ops: its caller, @context is handed back
 * @counters: where it counts; must outlive it
 * @seed: for choices between equals
 */
mv_forwarder_t *MvForwarder_Create(const mv_forwarder_ops_t *ops,
                                   void *context, mv_counters_t *counters,
                                   uint32_t seed);

/** MvForwarder_Destroy() - Free, the table included; NULL is accepted. */
void MvForwarder_Destroy(mv_forwarder_t *forwarder);

/** MvForwarder_SetLogSampling() - Tell of one flow in @one_in; 0 for none. */
void MvForwarder_SetLogSampling(mv_forwarder_t *forwarder, unsigned one_in);

/**
 * MvForwarder_SwapTable() - Use @table from now on.
 *
 * Return: the one before, or NULL; its caller frees it, on any thread.
 */
mv_table_t *MvForwarder_SwapTable(mv_forwarder_t *forwarder,
                                  mv_table_t *table);

/**
 * MvForwarder_HandlePacket() - Decide about one packet from a caller.
 * @bytes: the packet as it came, kept when it opens a flow
 */
mv_flow_verdict_t MvForwarder_HandlePacket(mv_forwarder_t *forwarder,
                                           mv_time_t now,
                                           const mv_flow_packet_t *packet,
                                           const uint8_t *bytes,
                                           size_t length);

/**
 * MvForwarder_Timer() - Send overdue opening packets again, forget old flows.
 *
 * Return: the time of the next call that is needed, at most.
 */
mv_time_t MvForwarder_Timer(mv_forwarder_t *forwarder, mv_time_t now);

/** MvForwarder_ReceiveReport() - What node @from said by its @report. */
void MvForwarder_ReceiveReport(mv_forwarder_t *forwarder, mv_time_t now,
                               mv_node_id_t from,
                               const mv_load_record_t *records, size_t count);

/** MvForwarder_DueAt() - A packet made a call of the timer needed by then. */
mv_time_t MvForwarder_DueAt(const mv_forwarder_t *forwarder);

/** MvForwarder_FlowCount() - Flows remembered. */
size_t MvForwarder_FlowCount(const mv_forwarder_t *forwarder);

/** MvForwarder_Outstanding() - Flows begun and not ended at a server. */
uint32_t MvForwarder_Outstanding(const mv_forwarder_t *forwarder,
                                 uint32_t tag);

/** MvForwarder_Dump() - New reference to what it believes, as JSON. */
json_t *MvForwarder_Dump(const mv_forwarder_t *forwarder, mv_time_t now);

/* The outside: how packets look and what the store's keys say */

/** Bytes that may be written in front of a packet. */
#define MV_FABRIC_HEADROOM 16
/** Longest reset. */
#define MV_RESET_MAX 64

/**
 * struct mv_fabric_ops - Form of packets between callers and servers.
 * @parse: read a packet; false when it is malformed
 * @address_to: write tag and server's id into and in front of @packet, which
 *              has MV_FABRIC_HEADROOM bytes of room before it.  Return: bytes
 *              in front of @packet
 * @reset: write a reset that answers @packet.  Return: its bytes
 */
typedef struct mv_fabric_ops {
    bool (*parse)(const uint8_t *data, size_t length,
                  mv_flow_packet_t *packet);
    size_t (*address_to)(const mv_flow_verdict_t *verdict, uint8_t *packet);
    size_t (*reset)(const mv_flow_packet_t *packet, uint8_t out[MV_RESET_MAX]);
} mv_fabric_ops_t;

/** enum mv_store_entry_kind - What a key of the store is about. */
typedef enum mv_store_entry_kind {
    MV_STORE_ENTRY_OTHER,
    MV_STORE_ENTRY_SERVER,
    MV_STORE_ENTRY_ROUTING,
} mv_store_entry_kind_t;

/**
 * struct mv_store_entry - A key of the store, decoded.
 * @kind: &enum mv_store_entry_kind, by the key's name
 * @is_readable: the value was understood
 * @server: the announcement, when it is one and readable
 * @routing: the configuration, when it is one and readable; owned by whoever
 *           asked
 */
typedef struct mv_store_entry {
    mv_store_entry_kind_t kind;
    bool is_readable;
    mv_server_t server;
    mv_routing_t *routing;
} mv_store_entry_t;

/**
 * typedef mv_decode_t - Decode a key and its value, NULL when deleted.
 * @error: set when the value is not understood, or only in part: then the
 *         notice is readable and holds the rest
 */
typedef mv_store_entry_t (*mv_decode_t)(const char *key, const char *value,
                                        size_t length, GError **error);

#ifdef __cplusplus
}
#endif
#endif
