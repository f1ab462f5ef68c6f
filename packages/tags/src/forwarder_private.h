/**
 * DOC: State of the forwarder, shared by its source files.
 *
 * forwarder.c    handling of packets, timer, state dump
 * flows.c        flow entries: states, SYNs sent, log records
 * flow_identity.c  which of the flows of a name a packet belongs to
 * syn_retries.c  SYN timeouts and repeated SYNs
 * held_syns.c    SYNs that another node may have sent to a server
 * offers.c       flows that nodes tell each other before they have opened
 * placement.c    choice of the server for a new flow
 * data_centre_choice.c  choice of the data centre before, when leaving the own
 *                one has a price
 * flow_queue.c   queue of late flows that wait for a free slot
 * health.c       detection of servers and data centres that do not answer
 * exchanges.c    requests and answers in open flows
 * admission.c    refusal of new flows under overload
 * failing.c      outlier detection: servers that fail requests which the
 *                other servers of their service answer
 * ended.c        evidence that a server has ended
 * ended_flows.c  reset of the open flows of such servers
 */
#ifndef MV_TAGS_FORWARDER_PRIVATE_H
#define MV_TAGS_FORWARDER_PRIVATE_H

#include "ended.h"
#include "spill.h"
#include "table.h"
#include "warmup.h"

/** Interval at which other nodes are told the server of a flow that has not
 * opened: the first time well before the caller retransmits its SYN (200 ms),
 * then again for nodes that have started meanwhile. */
#define MV_OFFER_INTERVAL (75 * MV_MILLISECOND)

/**
 * struct mv_data_centre_health - Health record of one data centre.
 * @data_centre: hash of its name
 * @smoothed: smoothed time in microseconds from a SYN to the caller's next
 *            packet
 * @deviation: mean deviation of that time in microseconds
 * @last_contact_at: time of the last answer of any of its servers
 * @silent_servers: servers that stopped answering since @last_contact_at
 * @silent_until: end of the back-off; until then it gets no new flows while
 *                other servers can take them
 * @trial_until: deadline of the trial flow that is sent after a back-off;
 *               until then no other flow is sent
 * @back_off: length of the next back-off
 */
typedef struct mv_data_centre_health {
    uint32_t data_centre;
    mv_time_t smoothed;
    mv_time_t deviation;
    mv_time_t last_contact_at;
    unsigned silent_servers;
    mv_time_t silent_until;
    mv_time_t trial_until;
    mv_time_t back_off;
} mv_data_centre_health_t;

/**
 * struct mv_outcome_counts - Outcomes of requests, decayed exponentially.
 * @answered: requests that were answered in time and in full
 * @failed: requests with no answer, a late one, or one much shorter than usual
 * @at: time up to which both counts have been decayed
 */
typedef struct mv_outcome_counts {
    double answered;
    double failed;
    mv_time_t at;
} mv_outcome_counts_t;

/**
 * struct mv_outcome_history - Outcomes of the requests to a server or service.
 * @long_term: decayed over seconds
 * @short_term: decayed over a fraction of a second
 */
typedef struct mv_outcome_history {
    mv_outcome_counts_t long_term;
    mv_outcome_counts_t short_term;
} mv_outcome_history_t;

/**
 * struct mv_server_health - Health record of one server since its last start.
 * @tag: the server's tag
 * @server: its id
 * @started_at: its last start, as announced
 * @dc_health: health record of its data centre
 * @outstanding: flows sent to it by this node that have not ended
 * @last_contact_at: time of its last answer
 * @failures: number of consecutive SYNs without an answer
 * @silent_until: end of the back-off after missing answers; until then it gets
 *                no new flows while other servers can take them
 * @trial_until: deadline of the trial flow that is sent after a back-off;
 *               until then no other flow is sent
 * @back_off: length of the next back-off after missing answers
 * @liveness: what callers' packets show of it
 * @has_ended: it has ended, at the last check of ended_flows.c
 * @warmup: schedule of new flows while it warms up
 * @history: outcomes of its requests, as seen by this node
 * @unreported: outcomes that have not been reported to the other nodes of the
 *              data centre
 * @peer_counts: outcomes that other nodes reported
 * @reporter: first node that reported failures
 * @has_second_reporter: a node other than @reporter reported failures as well
 * @failing_until: end of the back-off after failed requests; until then it
 *                 gets no new flows while other servers can take them
 * @failing_back_off: length of the next back-off after failed requests
 * @trial_answers: answers that it still has to give after a back-off before it
 *                 counts as reliable again
 */
typedef struct mv_server_health {
    uint32_t tag;
    uint64_t server;
    int64_t started_at;
    mv_data_centre_health_t *dc_health;
    uint32_t outstanding;
    mv_time_t last_contact_at;
    unsigned failures;
    mv_time_t silent_until;
    mv_time_t trial_until;
    mv_time_t back_off;
    mv_liveness_t liveness;
    bool has_ended;
    mv_warmup_t warmup;
    mv_outcome_history_t history;
    mv_outcome_counts_t unreported;
    mv_outcome_counts_t peer_counts;
    mv_node_id_t reporter;
    bool has_second_reporter;
    mv_time_t failing_until;
    mv_time_t failing_back_off;
    unsigned trial_answers;
} mv_server_health_t;

/**
 * enum mv_flow_phase - State of a flow entry.
 * @MV_FLOW_OFFERED: another node has sent its SYN to a server; no packet of it
 *                   has arrived here
 * @MV_FLOW_HELD: its SYN is stored for a moment, as another node may have sent
 *                it to a server that has yet to answer
 * @MV_FLOW_QUEUED: its SYN is stored until a slot is free
 * @MV_FLOW_SYN_SENT: its SYN was sent to a server, the caller's next packet
 *                    has not arrived
 * @MV_FLOW_OPEN: the caller has answered the server
 * @MV_FLOW_CLOSED: the caller has closed or reset it
 * @MV_FLOW_REFUSED: it was reset, before it opened or as its server has ended,
 *                   for the reason in @refusal of &struct mv_flow
 */
typedef enum mv_flow_phase {
    MV_FLOW_OFFERED,
    MV_FLOW_HELD,
    MV_FLOW_QUEUED,
    MV_FLOW_SYN_SENT,
    MV_FLOW_OPEN,
    MV_FLOW_CLOSED,
    MV_FLOW_REFUSED,
} mv_flow_phase_t;

typedef struct mv_service_load mv_service_load_t;

/**
 * struct mv_exchange - Current request of a flow and its answer.
 * @link: in the list of requests whose answer has not begun
 * @requested_at: arrival of its first packet, 0 when there is no request
 * @start_acknowledged: acknowledgement number of that packet
 * @answer_bytes: bytes of the answer that the caller has acknowledged
 * @first_byte_after: time from the request to the first byte of the answer
 * @is_counted: its outcome has been counted in the server's health record
 */
typedef struct mv_exchange {
    mv_list_t link;
    mv_time_t requested_at;
    uint32_t start_acknowledged;
    uint32_t answer_bytes;
    mv_time_t first_byte_after;
    bool is_counted;
} mv_exchange_t;

/**
 * struct mv_answer_profile - Usual length and latency of a route's answers.
 * @length_quartile: lower quartile of the length in bytes
 * @time_quartile: upper quartile of the time to the first byte, microseconds
 * @length_samples: number of answers that @length_quartile is based on,
 *                  counted up to MIN_SAMPLES of exchanges.c
 * @time_samples: number of answers that @time_quartile is based on, counted up
 *                to MIN_SAMPLES of exchanges.c
 */
typedef struct mv_answer_profile {
    double length_quartile;
    double time_quartile;
    unsigned length_samples;
    unsigned time_samples;
} mv_answer_profile_t;

/**
 * struct mv_flow - Entry of a flow that this node has seen.
 *
 * Invariant: a flow is offered to one server only, unless that one has ended
 * before it answered.  A server that was offered
 * a flow answers for seconds, also when the flow opened elsewhere, and the
 * caller repeats the tag of the last answer.  A node without an entry for the
 * flow has only that tag: with two offers it could not tell at which server
 * the flow is open.  A node sends a SYN to one server only.  The nodes of a
 * data centre tell each other where a flow went whose SYN was not answered in
 * time (offers.c); a retransmission that may come before that is held
 * (held_syns.c).  Only the latest SYN of a caller is sent to a server: a node
 * that stood still, or kept a SYN for any other reason, cannot know where the
 * ones after it went (@offer_until).  Where two offers could not be avoided,
 * as when a node stops between its last look at the clock and the send, the
 * node through which the flow opens tells the others (@is_contested), and a
 * node that starts asks them.
 *
 * Invariant: an entry speaks for one flow, not for its name: a caller uses a
 * port again.  A packet that belongs to another flow of the name
 * (flow_identity.c) goes where its own tag says, and neither opens nor ends
 * the flow of the entry; nor does another node's message about it.
 *
 * @link: in the list of its phase
 * @name: its addresses and ports
 * @phase: &enum mv_flow_phase
 * @refusal: in MV_FLOW_REFUSED, counter of the reason
 * @began_at: arrival of its first SYN; time at which it left the queue when it
 *            was queued
 * @queue_time: time that it was queued
 * @route: its route; valid only during MvFlowQueue_Run()
 * @service: position of its service; valid only during MvFlowQueue_Run()
 * @load: load of its service; valid only during MvFlowQueue_Run()
 * @first_syn_at: estimated time at which the caller sent its first SYN
 * @offer_until: time at which the caller sends the SYN after the latest one
 *               that arrived here, or gives up: from then on this node does
 *               not send the flow's SYN
 * @urgency: urgency of its route
 * @syn_sent_at: time at which a SYN was last sent to a server
 * @last_seen_at: arrival of its last packet other than a retransmitted SYN, or
 *                time at which @syn was sent from this entry, if that is later
 * @syn_count: number of SYNs sent to its server, 0 when another node sent them
 * @syn_timeouts: number of those that were not answered in time
 * @tag: tag of the server that it was offered to; in MV_FLOW_OPEN, of the
 *       server at which it is open
 * @counted_by: health record that counts it as outstanding, or NULL
 * @pending_service: service that counts it as pending, or NULL
 * @syn_timeout: time from @syn_sent_at until the SYN counts as unanswered,
 *               MV_NEVER when it is not to be sent again
 * @told_at: time at which other nodes were last told its server, or at which
 *           its SYN was first sent
 * @held_until: time at which its SYN is sent when it is in MV_FLOW_HELD
 * @syn_sequence: sequence number of its SYN
 * @sequence: sequence number of its last packet
 * @acknowledged: acknowledgement number of its last packet that has one
 * @has_syn_sequence: @syn_sequence is known
 * @has_sequence: @sequence is known
 * @has_acknowledged: @acknowledged is known
 * @exchange: its current request, once it is open
 * @is_contested: it may have been offered to two servers: its first SYN did
 * not arrive here, or another node offered it as well
 * @has_opened_here: this node saw the packet with which it opened
 * @syn_length: length of the caller's SYN, 0 while it is not stored
 * @long_syn: the SYN if it is longer than @syn, else NULL
 * @syn: the SYN
 */
typedef struct mv_flow {
    mv_list_t link;
    mv_flow_name_t name;
    mv_flow_phase_t phase;
    mv_counter_id_t refusal;
    mv_time_t began_at;
    mv_time_t queue_time;
    const mv_table_route_t *route;
    unsigned service;
    mv_service_load_t *load;
    mv_time_t first_syn_at;
    mv_time_t offer_until;
    uint8_t urgency;
    mv_time_t syn_sent_at;
    mv_time_t last_seen_at;
    unsigned syn_count;
    unsigned syn_timeouts;
    uint32_t tag;
    mv_server_health_t *counted_by;
    mv_service_load_t *pending_service;
    mv_time_t syn_timeout;
    mv_time_t told_at;
    mv_time_t held_until;
    uint32_t syn_sequence;
    uint32_t sequence;
    uint32_t acknowledged;
    bool has_syn_sequence;
    bool has_sequence;
    bool has_acknowledged;
    mv_exchange_t exchange;
    bool is_contested;
    bool has_opened_here;
    uint16_t syn_length;
    uint8_t *long_syn;
    uint8_t syn[MV_SYN_MAX];
} mv_flow_t;

/**
 * struct mv_untold_flows - Flows that the other nodes are told next.
 * @count: entries in @flows
 * @flows: the flows
 * @told: flows told since @counted_at
 * @counted_at: start of the current interval of the limit on flows told
 */
typedef struct mv_untold_flows {
    unsigned count;
    mv_flow_offer_t flows[MV_MAX_OFFERS];
    unsigned told;
    mv_time_t counted_at;
} mv_untold_flows_t;

/**
 * struct mv_forwarder - State of one traffic thread.
 * @ops: callbacks, called with @context
 * @context: argument of @ops
 * @counters: counters that it increases
 * @random: random numbers for the choice between servers of equal cost and for
 *          load shedding
 * @log_sample: one flow in this many is logged, 0 for rare decisions only
 * @megabyte_price: waiting that a megabyte between data centres is worth,
 *                  MV_NEVER when leaving has no price
 * @foreign_flow_at: arrival of the last packet that showed a flow opened
 *                   through another node, or 0
 * @due_at: latest time of the next call of MvForwarder_Timer()
 * @queueing_since: time at which the first flow of the current overload was
 *                  queued, 0 for none
 * @last_queued_at: time at which a flow was last queued
 * @queued_count: flows queued since @queueing_since
 * @has_unreported: a failure has not been reported to the other nodes
 * @reported_at: time of the last report
 * @table: the current snapshot, NULL before the first one
 * @complete_at: as given to MvForwarder_SetCompleteAt()
 * @server_health: &struct mv_server_health by tag
 * @data_centre_health: &struct mv_data_centre_health by hash of the name
 * @health_by_position: health records by position in @table
 * @flows: &struct mv_flow by name
 * @long_syn_bytes: bytes in all @long_syn of @flows
 * @services: &struct mv_service_load by name of the service
 * @profiles: &struct mv_answer_profile by address and port
 * @unknown_flows: flows whose packets name no known server
 * @next_ended_check: when servers are next checked by ended_flows.c
 * @awaiting_answer: open flows whose request has no answer yet, oldest first
 * @offers: offers that the other nodes have not been told
 * @openings: openings that the other nodes have not been told
 * @offered: flows in MV_FLOW_OFFERED, oldest first
 * @held: flows in MV_FLOW_HELD, oldest first
 * @queued: flows in MV_FLOW_QUEUED
 * @syn_sent: flows in MV_FLOW_SYN_SENT
 * @open: flows in MV_FLOW_OPEN, longest idle first
 * @closed: flows in MV_FLOW_CLOSED and MV_FLOW_REFUSED, oldest first
 */
struct mv_forwarder {
    const mv_forwarder_ops_t *ops;
    void *context;
    mv_counters_t *counters;
    GRand *random;
    unsigned log_sample;
    mv_time_t megabyte_price;
    mv_time_t foreign_flow_at;
    mv_time_t due_at;
    mv_time_t queueing_since;
    mv_time_t last_queued_at;
    unsigned queued_count;
    bool has_unreported;
    mv_time_t reported_at;
    mv_table_t *table;
    mv_time_t complete_at;
    GHashTable *server_health;
    GHashTable *data_centre_health;
    mv_server_health_t **health_by_position;
    GHashTable *flows;
    size_t long_syn_bytes;
    GHashTable *services;
    GHashTable *profiles;
    mv_unknown_flows_t *unknown_flows;
    mv_time_t next_ended_check;
    mv_untold_flows_t offers;
    mv_untold_flows_t openings;
    mv_list_t awaiting_answer;
    mv_list_t offered;
    mv_list_t held;
    mv_list_t queued;
    mv_list_t syn_sent;
    mv_list_t open;
    mv_list_t closed;
};

/**
 * MvServerHealth_At() - Health record of the server at @position of the table.
 *
 * Creates the record when there is none, and begins it anew when the server
 * has started again.
 */
mv_server_health_t *MvServerHealth_At(mv_forwarder_t *forwarder,
                                      unsigned position);

/** MvServerHealth_Find() - Health record by tag, or NULL. */
mv_server_health_t *MvServerHealth_Find(const mv_forwarder_t *forwarder,
                                        uint32_t tag);

/**
 * MvServerHealth_NoteAnswer() - A packet of the caller shows that the server
 * has answered a SYN.
 * @syn_sent_at: when that SYN was sent, 0 when it is not known which SYN the
 *               server answered
 */
void MvServerHealth_NoteAnswer(mv_forwarder_t *forwarder,
                               mv_server_health_t *health, mv_time_t now,
                               mv_time_t syn_sent_at);

/**
 * MvServerHealth_NoteTimeout() - A SYN was not answered in time.
 * @syn_sent_at: when it was sent; an answer of the server since then overrules
 *               the timeout
 */
void MvServerHealth_NoteTimeout(mv_forwarder_t *forwarder,
                                mv_server_health_t *health, mv_time_t now,
                                mv_time_t syn_sent_at);

/** MvServerHealth_NoteSyn() - A SYN is sent to the server. */
void MvServerHealth_NoteSyn(mv_server_health_t *health, mv_time_t now);

/**
 * MvServerHealth_IsSilent() - The server or its data centre is in back-off
 * after missing answers, or waits for the answer to a trial flow.
 */
bool MvServerHealth_IsSilent(const mv_server_health_t *health, mv_time_t now);

/**
 * MvServerHealth_IsAvoided() - The server is silent or in back-off after
 * failed requests: new flows go to other servers.
 */
bool MvServerHealth_IsAvoided(const mv_server_health_t *health, mv_time_t now);

/**
 * MvFailing_NoteRequest() - Count the outcome of a request.
 * @service: position of the server's service
 * @requested_at: when the request was sent; ignored when that was before the
 *                server's last back-off ended
 * @answered: it was answered in time and in full
 */
void MvFailing_NoteRequest(mv_forwarder_t *forwarder,
                           mv_server_health_t *health, unsigned service,
                           mv_time_t now, mv_time_t requested_at,
                           bool answered);

/**
 * MvFailing_Report() - Report new failures to the other nodes of the data
 * centre.
 *
 * Return: time of the next report, or MV_NEVER.
 */
mv_time_t MvFailing_Report(mv_forwarder_t *forwarder, mv_time_t now);

/**
 * MvExchange_HandlePacket() - Update the request of an open flow from a
 * caller's packet.
 */
void MvExchange_HandlePacket(mv_forwarder_t *forwarder, mv_flow_t *flow,
                             mv_time_t now, const mv_flow_packet_t *packet);

/**
 * MvExchanges_CheckTimeouts() - Count requests whose answer is late as failed.
 *
 * Return: time of the next check, or MV_NEVER.
 */
mv_time_t MvExchanges_CheckTimeouts(mv_forwarder_t *forwarder, mv_time_t now);

/** MvExchange_Forget() - The flow's request says nothing about its server any
 * more. */
void MvExchange_Forget(mv_flow_t *flow);

/** MvExchanges_DropStaleProfiles() - Free profiles of routes that are gone. */
void MvExchanges_DropStaleProfiles(mv_forwarder_t *forwarder);

/**
 * MvForwarder_IsFabricStable() - The fabric sends all packets of a flow here.
 *
 * False for a while after a packet of a flow opened through another node: the
 * fabric then redistributes flows over the nodes.  The packet that follows a
 * SYN may reach another node, so that its absence says nothing about the
 * server.
 */
bool MvForwarder_IsFabricStable(const mv_forwarder_t *forwarder,
                                mv_time_t now);

/**
 * MvDataCentreHealth_SynTimeout() - Time after which a SYN to the data centre
 * counts as unanswered, in microseconds.
 */
mv_time_t
MvDataCentreHealth_SynTimeout(const mv_data_centre_health_t *dc_health);

/** MvExchange_AnswerBytes() - Usual length of an answer to such a flow. */
double MvExchange_AnswerBytes(const mv_forwarder_t *forwarder,
                              const mv_flow_name_t *name);

/**
 * MvDataCentre_Choose() - Choose the data centre whose servers may take a new
 * flow.
 *
 * Return: hash of its name; 0 when the own one, or all others, have no server
 * that is expected to answer, so that there is no choice.
 */
uint32_t MvDataCentre_Choose(mv_forwarder_t *forwarder, mv_time_t now,
                             unsigned service, const mv_flow_name_t *name);

/**
 * MvPlacement_Choose() - Choose the server for a new flow.
 *
 * Return: position in the table, or -1 when the service has no usable server.
 */
int MvPlacement_Choose(mv_forwarder_t *forwarder, mv_time_t now,
                       unsigned service, const mv_flow_name_t *name);

/** MvFlowName_Hash() - Hash of a &struct mv_flow_name, for GHashTable. */
guint MvFlowName_Hash(gconstpointer key);

/** MvFlowName_Equal() - Equality of &struct mv_flow_name, for GHashTable. */
gboolean MvFlowName_Equal(gconstpointer a, gconstpointer b);

/**
 * MvFlowName_IsLogged() - Decisions about the flow are logged.
 * @is_rare: log whether or not the flow is in the sample
 */
bool MvFlowName_IsLogged(const mv_forwarder_t *forwarder,
                         const mv_flow_name_t *name, bool is_rare);

/**
 * MvService_IsEvacuated() - Verdict about new flows of a service: it has no
 * usable server, and it has servers in evacuated data centres.
 *
 * The order holds until the operators end it, so that such a flow is refused
 * at once.
 */
bool MvService_IsEvacuated(const mv_forwarder_t *forwarder, unsigned service);

/**
 * MvFlow_HasLostServer() - The server at @position, at which the flow is open,
 * has ended, see ended.h.
 */
bool MvFlow_HasLostServer(const mv_forwarder_t *forwarder,
                          const mv_flow_t *flow, unsigned position,
                          mv_time_t now);

/**
 * MvFlow_End() - End an open flow whose server has ended.
 *
 * Return: verdict that resets it.
 */
mv_flow_verdict_t MvFlow_End(mv_forwarder_t *forwarder, mv_flow_t *flow,
                             mv_time_t now);

/**
 * MvFlow_HandleUnknownTag() - Verdict about a packet whose tag names no known
 * server.
 */
mv_flow_verdict_t MvFlow_HandleUnknownTag(mv_forwarder_t *forwarder,
                                          mv_time_t now,
                                          const mv_flow_name_t *name,
                                          uint32_t tag);

/**
 * MvEndedFlows_Run() - Reset the open flows of servers that have ended since
 * the last check.
 *
 * Return: time of the next call, or MV_NEVER.
 */
mv_time_t MvEndedFlows_Run(mv_forwarder_t *forwarder, mv_time_t now);

/** MvFlow_ForwardTo() - Verdict that forwards a packet to @server. */
mv_flow_verdict_t MvFlow_ForwardTo(const mv_table_server_t *server);

/**
 * MvFlow_SendSyn() - Record that the flow's SYN goes to the server at
 * @position, the same one each time.
 *
 * Return: verdict that forwards the SYN.
 */
mv_flow_verdict_t MvFlow_SendSyn(mv_forwarder_t *forwarder, mv_flow_t *flow,
                                 mv_time_t now, unsigned position);

/**
 * MvFlow_ChooseService() - Service of a new flow, by the weights of @route.
 *
 * Return: position of the service; the same for the same name and route.
 */
unsigned MvFlow_ChooseService(const mv_table_route_t *route,
                              const mv_flow_name_t *name);

/** MvFlow_Release() - Stop counting the flow as outstanding and pending. */
void MvFlow_Release(mv_flow_t *flow);

/**
 * MvFlow_SetPendingService() - Count the flow as pending for @load, or for no
 * service when @load is NULL.
 */
void MvFlow_SetPendingService(mv_flow_t *flow, mv_service_load_t *load);

/** MvFlow_CanStoreSyn() - There is memory for a SYN of @length bytes. */
bool MvFlow_CanStoreSyn(const mv_forwarder_t *forwarder, size_t length);

/**
 * MvFlow_StoreSyn() - Store the caller's SYN in place of an earlier one, byte
 * for byte; does nothing else when there is no memory for it.
 */
void MvFlow_StoreSyn(mv_forwarder_t *forwarder, mv_flow_t *flow,
                     const uint8_t *bytes, size_t length);

/** MvFlow_Syn() - The stored SYN. */
const uint8_t *MvFlow_Syn(const mv_flow_t *flow);

/** MvFlow_Free() - Free an entry, for GHashTable. */
void MvFlow_Free(gpointer flow);

/** MvFlow_Remove() - Remove and free the entry. */
void MvFlow_Remove(mv_forwarder_t *forwarder, mv_flow_t *flow);

/** Levels of urgency that are counted apart; higher ones count as the last. */
#define MV_URGENCIES 8

/**
 * struct mv_admission - Overload detection and load shedding of one service.
 *
 * Delays are the time to an answer divided by the route's target latency.
 * @median_delay: estimated median
 * @fast_delay: estimated 20th percentile: delay without a queue
 * @answer_count: number of answers that both estimates are based on, counted
 *                up to MIN_ANSWERS of admission.c
 * @overloaded_at: last time that @median_delay was above the overload limit
 * @served: decayed count of answered requests, up to @served_at
 * @served_at: end of the last answered request
 * @arrivals: decayed counts of new flows by urgency, up to @arrived_at
 * @retransmissions: decayed count of retransmitted SYNs of flows without an
 *                   entry, up to @arrived_at
 * @arrived_at: time of the last new flow
 * @shedding_since: time of the first refusal of the current overload, 0 when
 *                  there is none
 * @last_refused_at: time of the last refusal
 * @refused_count: flows refused since @shedding_since
 */
typedef struct mv_admission {
    double median_delay;
    double fast_delay;
    unsigned answer_count;
    mv_time_t overloaded_at;
    double served;
    mv_time_t served_at;
    double arrivals[MV_URGENCIES];
    double retransmissions;
    mv_time_t arrived_at;
    mv_time_t shedding_since;
    mv_time_t last_refused_at;
    unsigned refused_count;
} mv_admission_t;

/**
 * struct mv_service_load - Load of one service, as seen by this node.
 * @mean_duration: moving average of the time from SYN to end of a flow
 * @history: outcomes of the requests to all its servers
 * @admission: overload detection and load shedding
 * @pending_flows: flows that wait for the server or for an answer
 * @unanswered_flows: flows whose SYN was not answered in time, since a server
 *                    last answered anything
 * @spill: how much of its new flows leaves the own data centre
 * @is_spilling: that has been logged
 * @link: in the list of loads with queued flows, during MvFlowQueue_Run()
 * @candidate: its queued flow that goes first in the current pass of
 *             MvFlowQueue_Run() over the queue
 * @must_wait: @candidate, and so each of its queued flows, must wait, or none
 *             is queued
 */
struct mv_service_load {
    mv_time_t mean_duration;
    mv_outcome_history_t history;
    mv_admission_t admission;
    unsigned pending_flows;
    unsigned unanswered_flows;
    mv_spill_t spill;
    bool is_spilling;
    mv_list_t link;
    mv_flow_t *candidate;
    bool must_wait;
};

/**
 * MvService_Load() - Load of the service at position @service of the table.
 *
 * Creates the record when there is none.
 */
mv_service_load_t *MvService_Load(mv_forwarder_t *forwarder, unsigned service);

/**
 * MvService_IsSilent() - No server of the service answers, as far as this node
 * can tell: to try another one does not help.
 */
bool MvService_IsSilent(mv_forwarder_t *forwarder, unsigned service);

/** MvService_NoteAnswer() - A server of the service answered. */
void MvService_NoteAnswer(mv_forwarder_t *forwarder, unsigned service);

/**
 * MvService_IsFull() - This node's flows queue at all servers of the service
 * in its own data centre.
 */
bool MvService_IsFull(const mv_forwarder_t *forwarder, unsigned service,
                      mv_time_t now);

/**
 * MvAdmission_NoteAnswer() - A request to @service has ended.
 * @took: time from the request to the first byte of its answer, plus the
 *        smoothed handshake time of the server's data centre
 * @target: target latency of the route, 0 when not set
 * @answered: the answer has the usual length
 */
void MvAdmission_NoteAnswer(mv_forwarder_t *forwarder, unsigned service,
                            mv_time_t now, mv_time_t took, mv_time_t target,
                            bool answered);

/**
 * MvAdmission_ShouldRefuse() - Count a new flow on @route and decide whether
 * to refuse it, since its answer would be late.
 */
bool MvAdmission_ShouldRefuse(mv_forwarder_t *forwarder, mv_time_t now,
                              const mv_table_route_t *route, unsigned service);

/**
 * MvAdmission_NoteRetransmission() - A retransmitted SYN came whose flow has
 * no entry.
 */
void MvAdmission_NoteRetransmission(mv_forwarder_t *forwarder,
                                    unsigned service);

/**
 * MvAdmission_CheckEnd() - Log the end of load shedding for services without
 * new refusals.
 */
void MvAdmission_CheckEnd(mv_forwarder_t *forwarder, mv_time_t now);

/** MvFlowQueue_NoteAdded() - A flow has been queued. */
void MvFlowQueue_NoteAdded(mv_forwarder_t *forwarder, mv_time_t now);

/**
 * MvFlowQueue_NoteFlowEnd() - A flow of @service has ended.
 * @duration: time from the flow's last SYN to its end
 */
void MvFlowQueue_NoteFlowEnd(mv_forwarder_t *forwarder, unsigned service,
                             mv_time_t duration);

/**
 * MvFlowQueue_MustWait() - A flow has to be queued.
 *
 * This holds when its answer would miss the target latency anyway and every
 * slot of this node's share in the own data centre is taken: flows that can
 * still meet their target go first.  It does not hold for the first
 * transmission of a SYN, nor for a flow whose caller is about to give up.
 * @first_syn_at: estimated time at which the caller sent its first SYN
 * @queue_time: how long it has been queued
 */
bool MvFlowQueue_MustWait(mv_forwarder_t *forwarder, mv_time_t now,
                          const mv_table_route_t *route, unsigned service,
                          mv_time_t first_syn_at, mv_time_t queue_time);

/**
 * MvFlowQueue_Run() - Send the SYNs of queued flows for which there is a slot,
 * or which cannot wait any longer.
 *
 * Return: time of the next call, or MV_NEVER.
 */
mv_time_t MvFlowQueue_Run(mv_forwarder_t *forwarder, mv_time_t now);

/**
 * MvFlow_SendQueuedSyn() - Choose a server and send it the SYN of a held or
 * queued flow; refuse the flow when the only servers are evacuated.
 *
 * Return: false when the route or a usable server is missing, or the SYN must
 * not be sent any more (@offer_until), as after a standstill.
 */
bool MvFlow_SendQueuedSyn(mv_forwarder_t *forwarder, mv_flow_t *flow,
                          mv_time_t now);

/**
 * MvFlow_RepeatSyn() - Decide about a caller's retransmission of a SYN that
 * was sent to a server.
 *
 * It goes to the same server.  When that one has not answered, or takes no new
 * flows any more, and a new flow would go to another one, the flow is refused:
 * its caller may open a new flow.  It has not opened this one, or it would not
 * have retransmitted the SYN.
 *
 * Return: verdict about the SYN.
 */
mv_flow_verdict_t MvFlow_RepeatSyn(mv_forwarder_t *forwarder, mv_flow_t *flow,
                                   mv_time_t now, unsigned service);

/**
 * MvHeldSyns_MustHold() - A SYN without an entry may have been sent to a
 * server by another node.
 */
bool MvHeldSyns_MustHold(const mv_forwarder_t *forwarder, mv_time_t now,
                         const mv_flow_packet_t *packet);

/** MvHeldSyns_Add() - Hold the SYN of a new entry. */
void MvHeldSyns_Add(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now);

/**
 * MvHeldSyns_Run() - Send or queue the SYNs that have been held long enough.
 *
 * Return: time of the next call, or MV_NEVER.
 */
mv_time_t MvHeldSyns_Run(mv_forwarder_t *forwarder, mv_time_t now);

/**
 * MvOffers_Check() - Tell the other nodes, with the next MvOffers_Flush(), the
 * server of a flow in MV_FLOW_SYN_SENT when that is due.
 *
 * Return: time of the next check.
 */
mv_time_t MvOffers_Check(mv_forwarder_t *forwarder, mv_flow_t *flow,
                         mv_time_t now);

/**
 * MvOffers_TellOpening() - Tell the other nodes, with the next
 * MvOffers_Flush(), the server of a flow that another node may have offered to
 * another one.
 */
void MvOffers_TellOpening(mv_forwarder_t *forwarder, const mv_flow_t *flow,
                          mv_time_t now);

/** MvOffers_Flush() - Tell the other nodes the flows that were added. */
void MvOffers_Flush(mv_forwarder_t *forwarder);

/** MvOffers_RemoveExpired() - Remove entries whose callers have given up. */
void MvOffers_RemoveExpired(mv_forwarder_t *forwarder, mv_time_t now);

/** MvFlow_Add() - Add an entry in MV_FLOW_OFFERED or a later phase. */
mv_flow_t *MvFlow_Add(mv_forwarder_t *forwarder, const mv_flow_name_t *name,
                      mv_time_t now, mv_flow_phase_t phase);

/**
 * MvFlow_IsOf() - Whether a packet belongs to the flow of the entry, as far as
 * its numbers tell.
 */
bool MvFlow_IsOf(const mv_flow_t *flow, const mv_flow_packet_t *packet);

/**
 * MvFlow_HasOpenedElsewhere() - A packet shows that a flow which was refused
 * here before it opened is open all the same: its reset was lost, and a
 * retransmission of the SYN went through another node.
 *
 * A caller that answers this node's own offer may do so before the reset
 * arrives.
 */
bool MvFlow_HasOpenedElsewhere(const mv_flow_t *flow,
                               const mv_flow_packet_t *packet, mv_time_t now);

/** MvFlow_IsTold() - Like MvFlow_IsOf() for what another node tells. */
bool MvFlow_IsTold(const mv_flow_t *flow, const mv_flow_offer_t *told);

/**
 * MvFlow_IsQuiet() - No packet of the flow can still be under way from before
 * a packet of another flow of its name: that one is the later flow.
 */
bool MvFlow_IsQuiet(const mv_flow_t *flow, mv_time_t now);

/** MvFlow_NoteNumbers() - Note the numbers of a packet of the flow. */
void MvFlow_NoteNumbers(mv_flow_t *flow, const mv_flow_packet_t *packet);

/** MvFlow_NoteTold() - Note what another node tells of the flow. */
void MvFlow_NoteTold(mv_flow_t *flow, const mv_flow_offer_t *told);

/** MvFlow_Tell() - What to tell other nodes of the flow. */
mv_flow_offer_t MvFlow_Tell(const mv_flow_t *flow);

/**
 * MvFlow_SendOwnedSyn() - Send the stored SYN to the server of the flow's tag.
 *
 * Does nothing when that server takes no SYNs any more.
 */
void MvFlow_SendOwnedSyn(mv_forwarder_t *forwarder, mv_flow_t *flow,
                         mv_time_t now);

/** MvFlow_SetPhase() - Move the flow to the end of the list of @phase. */
void MvFlow_SetPhase(mv_forwarder_t *forwarder, mv_flow_t *flow,
                     mv_flow_phase_t phase);

/**
 * MvFlow_LogDecision() - Log a decision about @flow when the flow is in the
 * sample or @is_rare is set.
 */
void MvFlow_LogDecision(const mv_forwarder_t *forwarder, const mv_flow_t *flow,
                        mv_time_t now, mv_log_event_t event, bool is_rare);

/**
 * MvSynRetries_Run() - Retry SYNs that were not answered at another server.
 *
 * Return: time of the next call, or MV_NEVER.
 */
mv_time_t MvSynRetries_Run(mv_forwarder_t *forwarder, mv_time_t now);

#endif
