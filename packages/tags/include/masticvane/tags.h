/**
 * DOC: masticvane flow tags
 *
 * The second way to keep flows at their server, beside buckets (core.h), for
 * fabrics whose packets carry a field that both ends return.  Each entry VM
 * writes the tag of the chosen backend server into that field.  Every later
 * packet of the flow carries the tag, so that any entry VM finds the server
 * without flow state and without relaying the packet to another entry VM.
 *
 * The code does no I/O: time, packets and configuration are arguments,
 * decisions are results.
 *
 * Threads: &mv_directory_t belongs to the control thread, &mv_forwarder_t to
 * one traffic thread.  &mv_table_t is immutable and is handed from the control
 * thread to the traffic thread.
 *
 * Units: every &mv_time_t is in microseconds; points in time are of the
 * monotonic clock.
 *
 * Errors: a failed allocation inside GLib containers ends the process, as GLib
 * documents.  Every other failure is a verdict with a counter.
 */
#ifndef MASTICVANE_TAGS_H
#define MASTICVANE_TAGS_H

#include "masticvane/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Servers and routes */

/** Maximum number of services of one route. */
#define MV_ROUTE_SERVICES 8

/**
 * enum mv_server_state - State that a backend server announces.
 * @MV_SERVER_READY: it takes new flows
 * @MV_SERVER_DRAINING: it keeps its open flows and takes no new ones
 */
typedef enum mv_server_state {
    MV_SERVER_READY,
    MV_SERVER_DRAINING,
} mv_server_state_t;

/**
 * struct mv_server - A backend server, as announced.
 *
 * @id: number that is written in front of the packets sent to it.  A server
 *      that starts again may keep it, and then takes packets that were meant
 *      for its process before, as nothing in them tells the two apart.
 * @started_at: Unix time of its last start in milliseconds, 0 when not
 *              announced
 * @service: name of its service
 * @data_centre: name of its data centre
 * @address: IPv4 address, host byte order
 * @port: UDP port
 * @slots: requests that it runs concurrently
 * @state: &enum mv_server_state
 * @remaining_warmup: remaining time during which it is slow after its start
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
    mv_time_t remaining_warmup;
} mv_server_t;

/**
 * MvServer_Tag() - Tag of the server, never 0.
 *
 * It depends on @id alone: flows that opened after a restart of which a node
 * did not know yet carry the same tag as those that open later.
 */
uint32_t MvServer_Tag(const mv_server_t *server);

/**
 * struct mv_route_share - One service's share of a route's new flows.
 * @service: name of the service
 * @weight: share, relative to the other weights of the route
 */
typedef struct mv_route_share {
    char service[MV_NAME_MAX];
    uint32_t weight;
} mv_route_share_t;

/**
 * struct mv_route - Services that get the new flows to an address and port.
 * @address: IPv4 address that callers use, host byte order
 * @port: port that callers use
 * @timeout: maximum duration of a request
 * @target_latency: time within which callers want an answer, 0 when not set
 * @urgency: level of urgency; 0 is the most urgent, higher ones are less
 * @share_count: entries in @shares
 * @shares: services and their weights; most routes have one
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
 * struct mv_service_limits - Limits of the servers of a service.
 * @service: name of the service
 * @flows: maximum number of outstanding flows of one server
 * @warmup_rate: new flows a second that one server bears while it warms up,
 *               from all nodes together; 0 for no limit
 */
typedef struct mv_service_limits {
    char service[MV_NAME_MAX];
    uint32_t flows;
    double warmup_rate;
} mv_service_limits_t;

/**
 * struct mv_routing - Routes and limits of an accepted configuration.
 * @version: increases with every accepted change
 * @flow_idle: idle time after which a flow entry may be dropped
 * @routes: array of mv_route_t
 * @limits: array of mv_service_limits_t
 */
typedef struct mv_routing {
    uint64_t version;
    mv_time_t flow_idle;
    GArray *routes;
    GArray *limits;
} mv_routing_t;

/**
 * MvRouting_Create() - Create an empty configuration of version 0.
 *
 * Return: configuration, freed with MvRouting_Destroy().
 */
mv_routing_t *MvRouting_Create(void);

/** MvRouting_Destroy() - Free; NULL is ignored. */
void MvRouting_Destroy(mv_routing_t *routing);

/* Directory */

/** typedef mv_directory_t - Servers and routes as read from the store. */
typedef struct mv_directory mv_directory_t;

/** typedef mv_table_t - Immutable snapshot for the traffic thread. */
typedef struct mv_table mv_table_t;

/** Servers whose announcements lapsed while the store was unreachable announce
 * themselves again within this time after it returns. */
#define MV_REANNOUNCE_TIME (2200 * MV_MILLISECOND)

/**
 * struct mv_directory_settings - Settings of the directory.
 * @data_centre: name of the data centre of this node
 * @retention: time for which a server is kept for its open flows after its
 *             announcement was withdrawn, and a service for those of a route
 *             that does not name it any more
 * @vanished_grace: time for which a server whose announcement vanished without
 *                  draining may still get new flows: when more servers of its
 *                  service vanished than are announced, or when it answered a
 *                  caller within the last second
 */
typedef struct mv_directory_settings {
    char data_centre[MV_NAME_MAX];
    mv_time_t retention;
    mv_time_t vanished_grace;
} mv_directory_settings_t;

/** MvDirectory_Create() - Create a directory without servers and routes. */
mv_directory_t *MvDirectory_Create(const mv_directory_settings_t *settings);

/** MvDirectory_Destroy() - Free; NULL is ignored. */
void MvDirectory_Destroy(mv_directory_t *directory);

/**
 * MvDirectory_Announce() - Add or update the server announced under @key.
 * @key: key of the announcement in the store
 * @revision: revision of the store that the announcement has
 *
 * A server under the same key with another @id or @service is another
 * one; the previous one gets no new flows.  With another @started_at it is the
 * same one that has started again.
 *
 * An announcement counts as soon as a configuration names its service, in a
 * route or a limit.  Until then nothing follows from it for other servers.
 *
 * Return: &mv_log_event_t to log, or 0 when nothing has to be logged.
 */
int MvDirectory_Announce(mv_directory_t *directory, mv_time_t now,
                         const char *key, uint64_t revision,
                         const mv_server_t *server);

/**
 * MvDirectory_Withdraw() - The announcement under @key was deleted or names no
 * server any more.
 * @removed_at: earliest time at which that may have happened, from which
 *              @vanished_grace of the settings counts; @now after an outage
 *              of the store
 *
 * Return: &mv_log_event_t to log, or 0 when no server was announced under
 * @key.
 */
int MvDirectory_Withdraw(mv_directory_t *directory, mv_time_t now,
                         mv_time_t removed_at, const char *key);

/**
 * MvDirectory_SetRouting() - Use a configuration when its version is newer.
 * @routing: configuration; the directory takes ownership in any case
 *
 * Return: true when @routing is in force now.
 */
bool MvDirectory_SetRouting(mv_directory_t *directory, mv_time_t now,
                            mv_routing_t *routing);

/** Store key of the services that routes named before a change. */
#define MV_ROUTE_HISTORY_KEY "masticvane/route-history"

/**
 * MvDirectory_MergeRouteHistory() - Read the item %MV_ROUTE_HISTORY_KEY.
 * @record: its value, NULL when it does not exist
 *
 * Packets of flows that are open at a service which their route named before
 * are forwarded for @retention of the settings after the change.
 *
 * Return: false when a part of it was malformed; that part has been ignored.
 */
bool MvDirectory_MergeRouteHistory(mv_directory_t *directory, mv_time_t now,
                                   const char *record);

/**
 * MvDirectory_RouteHistory() - Value that the item should have.
 * @is_urgent: set to whether nodes that start now need it
 *
 * Return: the value, freed with g_free(), or NULL when the item need not be
 * written.
 */
char *MvDirectory_RouteHistory(mv_directory_t *directory, mv_time_t now,
                               bool *is_urgent);

/**
 * MvDirectory_NoteStoreOutage() - The store could not be read for @span.
 * @span: length of the outage up to @now, without parts noted by earlier calls
 *
 * Servers cannot be announced again during an outage: the last @span does not
 * count towards @vanished_grace of the settings for servers that vanished.
 *
 * Return: true when tables made before are out of date.
 */
bool MvDirectory_NoteStoreOutage(mv_directory_t *directory, mv_time_t now,
                                 mv_time_t span);

/**
 * MvDirectory_SetLocalNodes() - Set the number of entry VMs of the own data
 * centre.
 * @nodes: number, this node included; 0 counts as 1
 */
void MvDirectory_SetLocalNodes(mv_directory_t *directory, unsigned nodes);

/**
 * MvDirectory_SetEvacuated() - The operators evacuate a data centre, or end
 * its evacuation.
 * @data_centre: its name; a name that no server has yet is remembered
 * @is_evacuated: true for the order, false for its end
 *
 * Servers of an evacuated data centre keep their open flows and get no new
 * ones.
 *
 * Return: &mv_log_event_t to log, or 0 when nothing changed.
 */
int MvDirectory_SetEvacuated(mv_directory_t *directory, mv_time_t now,
                             const char *data_centre, bool is_evacuated);

/**
 * MvDirectory_NoteStoreRestored() - The store was restored from an older copy.
 *
 * To be called before its items are applied.  Orders that the copy lacks, and
 * servers that it shows as not leaving although they leave, are not believed
 * for the time in which they are written again.
 */
void MvDirectory_NoteStoreRestored(mv_directory_t *directory, mv_time_t now);

/** MvDirectory_EvacuatedCount() - Number of evacuated data centres. */
unsigned MvDirectory_EvacuatedCount(const mv_directory_t *directory);

/**
 * MvDirectory_DumpEvacuated() - Evacuated data centres as JSON: an array of
 * objects with "data_centre" and the "seconds" since this node learned of the
 * order.
 *
 * Return: new reference.
 */
json_t *MvDirectory_DumpEvacuated(const mv_directory_t *directory,
                                  mv_time_t now);

/**
 * MvDirectory_SetNodes() - Set the number of entry VMs of all data centres,
 * among which the limits of servers that warm up are divided.
 * @nodes: number, this node included; 0 while it is not known, or this node
 *         does not count among them yet: it then sends nothing to servers
 *         whose limit it would have to share
 */
void MvDirectory_SetNodes(mv_directory_t *directory, unsigned nodes);

/** MvDirectory_Version() - Version of the configuration in force, or 0. */
uint64_t MvDirectory_Version(const mv_directory_t *directory);

/**
 * MvDirectory_UsableServers() - Number of announced servers that do not leave,
 * those of evacuated data centres included.
 *
 * Counts servers whose service the configuration named at the last snapshot.
 */
size_t MvDirectory_UsableServers(const mv_directory_t *directory);

/**
 * MvDirectory_UnnamedServers() - Number of announcements whose service no
 * configuration named at the last snapshot; they are not used.
 */
size_t MvDirectory_UnnamedServers(const mv_directory_t *directory);

/**
 * MvDirectory_Table() - Make a snapshot.
 *
 * Drops servers whose announcement was withdrawn longer ago than @retention of
 * the settings.
 *
 * Return: snapshot, freed with MvTable_Destroy().
 */
mv_table_t *MvDirectory_Table(mv_directory_t *directory, mv_time_t now);

/**
 * MvDirectory_DueAt() - Time from which the last snapshot is out of date
 * although nothing is announced, or MV_NEVER: an order, or a draining, that
 * holds for a while only ends then.
 */
mv_time_t MvDirectory_DueAt(const mv_directory_t *directory);

/**
 * MvTable_SetSource() - Record which state of the store the snapshot holds.
 * @revision: revision of the store; every change up to it is in the snapshot
 * @changed_at: arrival of the oldest change that the traffic thread does not
 *              use yet, 0 for none
 */
void MvTable_SetSource(mv_table_t *table, uint64_t revision,
                       mv_time_t changed_at);

/** MvTable_ChangedAt() - @changed_at as given to MvTable_SetSource(). */
mv_time_t MvTable_ChangedAt(const mv_table_t *table);

/** MvTable_Destroy() - Free; NULL is ignored. */
void MvTable_Destroy(mv_table_t *table);

/* Packets */

/**
 * struct mv_flow_packet - Fields of a packet that decide where it goes.
 * @caller: caller's address, host byte order
 * @caller_port: caller's port
 * @address: address that the caller uses, host byte order
 * @port: port that the caller uses
 * @tag: tag that the packet carries, 0 for none
 * @sequence: sequence number of its first byte, or of the SYN
 * @acknowledged: acknowledgement number: last byte sent by the server that the
 *                caller has received
 * @has_acknowledged: @acknowledged is set
 * @retransmission: for a SYN: 0 for its first transmission, n for its nth
 *                  retransmission
 * @since_first_syn: for a SYN: time from the first SYN of the flow until the
 *                   caller sent this one
 * @until_next_syn: for a SYN: time from then until the caller sends the next
 *                  one or gives up; 0 when it is not known
 * @waited: longest time that it may have waited since it arrived, for example
 *          in a socket while the process stood still
 * @has_syn: it is a SYN, the first packet of a flow
 * @has_data: it carries payload of the caller
 * @is_closing: the caller closes the flow in order
 * @is_reset: the caller aborts the flow
 */
typedef struct mv_flow_packet {
    uint32_t caller;
    uint16_t caller_port;
    uint32_t address;
    uint16_t port;
    uint32_t tag;
    uint32_t sequence;
    uint32_t acknowledged;
    bool has_acknowledged;
    uint32_t retransmission;
    mv_time_t since_first_syn;
    mv_time_t until_next_syn;
    mv_time_t waited;
    bool has_syn;
    bool has_data;
    bool is_closing;
    bool is_reset;
} mv_flow_packet_t;

/**
 * enum mv_flow_verdict_kind - What to do with a packet.
 * @MV_FLOW_DROP: discard it, without a message to the caller
 * @MV_FLOW_FORWARD: send it to a server
 * @MV_FLOW_RESET: discard it and send a reset to the caller
 */
typedef enum mv_flow_verdict_kind {
    MV_FLOW_DROP,
    MV_FLOW_FORWARD,
    MV_FLOW_RESET,
} mv_flow_verdict_kind_t;

/**
 * struct mv_flow_verdict - Decision about one packet.
 * @kind: &enum mv_flow_verdict_kind
 * @reason: counter of the cause
 * @address: server's address, host byte order; set for MV_FLOW_FORWARD only,
 *           as are the fields below
 * @port: server's port
 * @server: server's id
 * @tag: tag to write into the packet
 * @expires_at: for a SYN or the reset of one: it must not be sent after this
 *              time, as the flow may have been offered to a server through
 *              another node since; MV_NEVER for other packets
 */
typedef struct mv_flow_verdict {
    mv_flow_verdict_kind_t kind;
    mv_counter_id_t reason;
    uint32_t address;
    uint16_t port;
    uint64_t server;
    uint32_t tag;
    mv_time_t expires_at;
} mv_flow_verdict_t;

/** Length in bytes up to which a SYN is stored within its flow's entry; longer
 * ones, which carry data, have memory of their own. */
#define MV_SYN_MAX 64

/** Maximum number of bytes of all longer SYNs that a node stores.  Those above
 * are sent as they come, and neither held, queued nor sent again. */
#define MV_LONG_SYN_BYTES (4u << 20)

/** typedef mv_forwarder_t - Forwarding state of one traffic thread. */
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
 * struct mv_flow_decision - Decision about a flow, for the log.
 * @event: what was decided
 * @name: the flow
 * @is_rare: to be logged whether or not the flow is in the sample
 * @server: id of the server, 0 when none
 * @reason: counter of the cause
 * @candidates: servers of the service that are not draining, even if vanished
 * @outstanding: flows sent to the server by this node that have not ended
 * @syns: number of SYNs sent to the server so far
 * @unanswered: number of those that it did not answer in time
 * @version: version of the configuration
 * @revision: revision of the store that the table holds
 * @queue_time: time for which the flow was queued until a slot was free
 * @took: time since its first SYN arrived, or since it left the queue
 */
typedef struct mv_flow_decision {
    mv_log_event_t event;
    mv_flow_name_t name;
    bool is_rare;
    uint64_t server;
    mv_counter_id_t reason;
    unsigned candidates;
    unsigned outstanding;
    unsigned syns;
    unsigned unanswered;
    uint64_t version;
    uint64_t revision;
    mv_time_t queue_time;
    mv_time_t took;
} mv_flow_decision_t;

/**
 * struct mv_flow_offer - A flow and its server, as nodes tell each other.
 * @name: the flow
 * @tag: tag of the server that was sent its SYN, or at which it has opened
 * @has_sequence: @sequence is set
 * @sequence: sequence number of its SYN, or of a later packet
 * @has_acknowledged: @acknowledged is set
 * @acknowledged: acknowledgement number of a packet of the caller
 */
typedef struct mv_flow_offer {
    mv_flow_name_t name;
    uint32_t tag;
    bool has_sequence;
    uint32_t sequence;
    bool has_acknowledged;
    uint32_t acknowledged;
} mv_flow_offer_t;

/** Maximum number of offers in one message. */
#define MV_MAX_OFFERS 48

/**
 * MvFlowOffers_Encode() - Encode offers for a message between nodes.
 * @out: the encoded offers are appended
 *
 * Return: false when out of memory.
 */
bool MvFlowOffers_Encode(const mv_flow_offer_t *offers, size_t count,
                         mv_buffer_t *out);

/**
 * MvFlowOffers_Decode() - Decode what MvFlowOffers_Encode() has encoded.
 * @offers: receives up to MV_MAX_OFFERS offers
 *
 * Return: number of offers, 0 when the bytes are malformed.
 */
size_t MvFlowOffers_Decode(const char *bytes, size_t length,
                           mv_flow_offer_t offers[MV_MAX_OFFERS]);

/**
 * struct mv_forwarder_ops - Callbacks of the forwarder.
 * @send: send the @length bytes of a stored SYN as @verdict says
 * @reset: send the reset that answers @packet, which is not at hand any more;
 *         @expires_at as in &struct mv_flow_verdict
 * @event: log an event about the server with id @server, or about the node
 *         when @server is 0.  @detail depends on the event, named here
 *         without MV_EVENT_: length of the back-off in microseconds
 *         (ENDPOINT_SILENT, ENDPOINT_FAILING), number of SYN timeouts in
 *         sequence (ENDPOINT_ANSWERS), hash of the name of the data centre
 *         (DATA_CENTRE_SILENT, DATA_CENTRE_ANSWERS), number of flows queued
 *         (OVERLOAD_ENDED) or refused (SHEDDING_ENDED), median delay in per
 *         cent of the target latency (SHEDDING_BEGAN), else 0
 * @decided: log a decision about a flow.  Called for flows in the sample,
 *           which is the same on every node, and for rare decisions of all
 *           flows
 * @report: report failed requests to the other nodes of the data centre; in
 *          the records @endpoint is the tag of a server and @unanswered the
 *          number of its failed requests
 * @offered: tell the other nodes of the data centre at once which servers
 *           these flows were offered to, at most MV_MAX_OFFERS of them
 * @opened: tell them likewise, or only the node @to unless it is MV_NO_NODE,
 * at which servers these flows have opened
 */
typedef struct mv_forwarder_ops {
    void (*send)(void *context, const mv_flow_verdict_t *verdict,
                 const uint8_t *bytes, size_t length);
    void (*reset)(void *context, const mv_flow_packet_t *packet,
                  mv_time_t expires_at);
    void (*event)(void *context, mv_log_event_t event, uint64_t server,
                  int64_t detail);
    void (*decided)(void *context, const mv_flow_decision_t *decision);
    void (*report)(void *context, const mv_load_record_t *records,
                   size_t count);
    void (*offered)(void *context, const mv_flow_offer_t *offers,
                    size_t count);
    void (*opened)(void *context, mv_node_id_t to,
                   const mv_flow_offer_t *openings, size_t count);
} mv_forwarder_ops_t;

/**
 * MvForwarder_Create() - Create a forwarder without a table.
 * @ops: callbacks; must outlive the forwarder
 * @context: first argument of the callbacks
 * @counters: counters that it increases; must outlive the forwarder
 * @seed: seed of the random choice between servers of equal cost
 *
 * The forwarder drops every packet until it has a table with a configuration.
 *
 * Return: forwarder, freed with MvForwarder_Destroy().
 */
mv_forwarder_t *MvForwarder_Create(const mv_forwarder_ops_t *ops,
                                   void *context, mv_counters_t *counters,
                                   uint32_t seed);

/** MvForwarder_Destroy() - Free, with its table; NULL is ignored. */
void MvForwarder_Destroy(mv_forwarder_t *forwarder);

/**
 * MvForwarder_SetLogSampling() - Set the fraction of flows whose decisions
 * are logged.
 * @one_in: log one flow in this many, 0 for rare decisions only
 */
void MvForwarder_SetLogSampling(mv_forwarder_t *forwarder, unsigned one_in);

/**
 * MvForwarder_SetMegabytePrice() - Let the forwarder decide how many new flows
 * leave the own data centre.
 * @price: waiting that a megabyte between data centres is worth; MV_NEVER, as
 *         in a new forwarder, to leave it when all servers of the own one have
 *         a flow of this node for each slot
 */
void MvForwarder_SetMegabytePrice(mv_forwarder_t *forwarder, mv_time_t price);

/**
 * MvForwarder_SwapTable() - Use @table from now on.
 * @table: new table, owned by the forwarder
 *
 * Return: the previous table, or NULL.  The calling code owns it and may free
 * it on any thread.
 */
mv_table_t *MvForwarder_SwapTable(mv_forwarder_t *forwarder,
                                  mv_table_t *table);

/**
 * MvForwarder_HandlePacket() - Decide about one packet from a caller.
 * @now: time after the packet was read; here and below by a clock that also
 *       counts suspension of the VM
 * @packet: its fields
 * @bytes: the packet as received; copied when it is a SYN
 * @length: bytes in @bytes
 *
 * Return: verdict; its counter has been increased.
 */
mv_flow_verdict_t MvForwarder_HandlePacket(mv_forwarder_t *forwarder,
                                           mv_time_t now,
                                           const mv_flow_packet_t *packet,
                                           const uint8_t *bytes,
                                           size_t length);

/**
 * MvForwarder_RetellOpenings() - Tell a node that has just started the servers
 * of all open flows that may have been offered to another one as well.
 */
void MvForwarder_RetellOpenings(mv_forwarder_t *forwarder, mv_node_id_t to);

/**
 * MvForwarder_Timer() - Send queued SYNs, repeat unanswered ones, send reports
 * and drop old flow entries.
 *
 * Return: latest time of the next call.
 */
mv_time_t MvForwarder_Timer(mv_forwarder_t *forwarder, mv_time_t now);

/**
 * MvForwarder_ReceiveReport() - Handle another node's report of failed
 * requests.
 * @from: node that sent it
 * @records: as given to @report of &struct mv_forwarder_ops on that node
 * @count: entries in @records
 */
void MvForwarder_ReceiveReport(mv_forwarder_t *forwarder, mv_time_t now,
                               mv_node_id_t from,
                               const mv_load_record_t *records, size_t count);

/**
 * MvForwarder_ReceiveOffers() - Handle the offers of another node.
 * @offers: as given to @offered of &struct mv_forwarder_ops on that node
 * @count: entries in @offers
 */
void MvForwarder_ReceiveOffers(mv_forwarder_t *forwarder, mv_time_t now,
                               const mv_flow_offer_t *offers, size_t count);

/**
 * MvForwarder_ReceiveOpenings() - Handle the openings of another node.
 * @openings: as given to @opened of &struct mv_forwarder_ops on that node
 * @count: entries in @openings
 */
void MvForwarder_ReceiveOpenings(mv_forwarder_t *forwarder, mv_time_t now,
                                 const mv_flow_offer_t *openings,
                                 size_t count);

/**
 * MvForwarder_SetCompleteAt() - Record how much the current table knows.
 * @complete_at: time before which the store made no change that the table
 *               lacks, as this node's own clock proves it; 0 when not known
 *
 * To be called whenever it has changed, before a later table is given.
 */
void MvForwarder_SetCompleteAt(mv_forwarder_t *forwarder,
                               mv_time_t complete_at);

/**
 * MvForwarder_DueAt() - Latest time of the next call of MvForwarder_Timer()
 * that packets since the last call made necessary, or MV_NEVER.
 */
mv_time_t MvForwarder_DueAt(const mv_forwarder_t *forwarder);

/** MvForwarder_FlowCount() - Number of flow entries. */
size_t MvForwarder_FlowCount(const mv_forwarder_t *forwarder);

/**
 * MvForwarder_Outstanding() - Number of flows sent to a server by this node
 * that have not ended.
 * @tag: tag of the server
 */
uint32_t MvForwarder_Outstanding(const mv_forwarder_t *forwarder,
                                 uint32_t tag);

/**
 * MvForwarder_Dump() - Servers and their health as JSON.
 *
 * Return: new reference.
 */
json_t *MvForwarder_Dump(const mv_forwarder_t *forwarder, mv_time_t now);

/* Interface to a platform: packet format and store documents */

/** Maximum number of bytes that are written in front of a packet. */
#define MV_FABRIC_HEADROOM 16
/** Maximum length of a reset in bytes. */
#define MV_RESET_MAX 64

/**
 * struct mv_fabric_ops - Format of the packets between callers and servers.
 * @parse: read a packet.  Return: false when it is malformed
 * @encapsulate: write the tag into @packet and the server's id in front of it,
 *              where MV_FABRIC_HEADROOM bytes are free.  Return: number of
 *              bytes written in front of @packet
 * @reset: write a reset that answers @packet.  Return: its length in bytes
 */
typedef struct mv_fabric_ops {
    bool (*parse)(const uint8_t *data, size_t length,
                  mv_flow_packet_t *packet);
    size_t (*encapsulate)(const mv_flow_verdict_t *verdict, uint8_t *packet);
    size_t (*reset)(const mv_flow_packet_t *packet, uint8_t out[MV_RESET_MAX]);
} mv_fabric_ops_t;

/**
 * enum mv_store_entry_kind - Kind of an entry of the store, by its key.
 * @MV_STORE_ENTRY_OTHER: of no use to the directory
 * @MV_STORE_ENTRY_SERVER: announcement of a backend server
 * @MV_STORE_ENTRY_ROUTING: configuration
 * @MV_STORE_ENTRY_EVACUATION: order to evacuate a data centre, in force while
 *                             the entry exists
 */
typedef enum mv_store_entry_kind {
    MV_STORE_ENTRY_OTHER,
    MV_STORE_ENTRY_SERVER,
    MV_STORE_ENTRY_ROUTING,
    MV_STORE_ENTRY_EVACUATION,
} mv_store_entry_kind_t;

/**
 * struct mv_store_entry - Decoded entry of the store.
 *
 * Invariant: an announcement is decoded only if it is whole: each field that a
 * server writes is there and of its type, and the key has the form of a
 * server's.  What another writer leaves names no server.
 * @kind: &enum mv_store_entry_kind
 * @is_decoded: the value could be decoded, at least in part
 * @server: the announcement, when @kind is MV_STORE_ENTRY_SERVER and
 *          @is_decoded is set
 * @routing: the configuration, when @kind is MV_STORE_ENTRY_ROUTING and
 *           @is_decoded is set, else NULL; the calling code owns it
 * @data_centre: the data centre, when @kind is MV_STORE_ENTRY_EVACUATION;
 *               @is_decoded is set while the order exists
 */
typedef struct mv_store_entry {
    mv_store_entry_kind_t kind;
    bool is_decoded;
    mv_server_t server;
    mv_routing_t *routing;
    char data_centre[MV_NAME_MAX];
} mv_store_entry_t;

/**
 * typedef mv_decode_t - Decode an entry of the store.
 * @key: its key
 * @value: its value, NULL when the key was deleted
 * @length: bytes in @value
 * @error: set when the value could not be decoded, or only in part; in the
 *         latter case @is_decoded is set and the result holds the rest
 */
typedef mv_store_entry_t (*mv_decode_t)(const char *key, const char *value,
                                        size_t length, GError **error);

#ifdef __cplusplus
}
#endif
#endif
