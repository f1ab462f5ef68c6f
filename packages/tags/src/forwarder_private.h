/**
 * DOC: State of the forwarder, shared by its files.
 *
 * forwarder.c  packets
 * flows.c      flows that were seen: phases, offers, reports
 * syn_retries.c   opening packets that nothing followed
 * placement.c  the server of a new flow
 * flow_queue.c    late flows that wait for a free server
 * health.c  which servers and data centres are silent
 * exchanges.c  requests and answers in open flows
 * admission.c  flows that are refused in an overload
 * failing.c  which servers fail requests that others answer
 */
#ifndef MV_TAGS_FORWARDER_PRIVATE_H
#define MV_TAGS_FORWARDER_PRIVATE_H

#include "table.h"

/** Servers that one flow may be offered to by opening packets of ours. */
#define MV_MAX_OFFERS 4

/**
 * struct mv_centre - What the forwarder believes of one data centre.
 * @data_centre: hash of its name
 * @smoothed: time from an opening packet to the next one, smoothed
 * @deviation: its mean deviation
 * @heard_at: last sign of life of one of its servers
 * @silent_servers: servers found silent since then
 * @silent_until: it gets no new flows until then, unless nothing else does
 * @trial_until: one flow tries it after such a time; others wait until then
 * @back_off: length of the next such time
 */
typedef struct mv_centre {
    uint32_t data_centre;
    mv_time_t smoothed;
    mv_time_t deviation;
    mv_time_t heard_at;
    unsigned silent_servers;
    mv_time_t silent_until;
    mv_time_t trial_until;
    mv_time_t back_off;
} mv_centre_t;

/**
 * struct mv_evidence - Requests that were answered and that failed lately.
 * @answered: answered well; each counts for less as time goes by
 * @failed: got no answer, a late one, or a much shorter one than usual
 * @at: time for which both are right
 */
typedef struct mv_evidence {
    double answered;
    double failed;
    mv_time_t at;
} mv_evidence_t;

/**
 * struct mv_record - How requests to a server, or to a whole service, went.
 * @lately: in the last seconds
 * @just_now: in the last fraction of a second
 */
typedef struct mv_record {
    mv_evidence_t lately;
    mv_evidence_t just_now;
} mv_record_t;

/**
 * struct mv_standing - What the forwarder believes of one server.
 * @tag: the server's tag
 * @server: its id
 * @centre: its data centre
 * @outstanding: flows begun here and not ended
 * @heard_at: last sign of life
 * @failures: opening packets in a row that nothing followed
 * @silent_until: it gets no new flows until then, unless nothing else does
 * @trial_until: as a data centre's
 * @back_off: length of the next such time
 * @record: how its requests went
 * @untold: the part that the nodes near have not been told
 * @told: what other nodes said of it
 * @teller: node that said so first
 * @has_tellers: another one did as well
 * @failing_until: it gets no new flows until then, as @silent_until
 * @failing_back_off: length of the next such time
 * @trial_answers: after such a time, answers until it is trusted again
 */
typedef struct mv_standing {
    uint32_t tag;
    uint64_t server;
    mv_centre_t *centre;
    uint32_t outstanding;
    mv_time_t heard_at;
    unsigned failures;
    mv_time_t silent_until;
    mv_time_t trial_until;
    mv_time_t back_off;
    mv_record_t record;
    mv_evidence_t untold;
    mv_evidence_t told;
    mv_node_id_t teller;
    bool has_tellers;
    mv_time_t failing_until;
    mv_time_t failing_back_off;
    unsigned trial_answers;
} mv_standing_t;

/** enum mv_flow_phase - How far a flow has come. */
typedef enum mv_flow_phase {
    MV_FLOW_HELD,
    MV_FLOW_OPENING,
    MV_FLOW_OPEN,
    MV_FLOW_CLOSED,
} mv_flow_phase_t;

typedef struct mv_service_load mv_service_load_t;

/**
 * struct mv_exchange - A request of a flow, until its answer is over.
 * @link: among those whose answer has not begun
 * @asked_at: its first packet came, 0 when there is none
 * @acknowledged: last byte of the server that the caller had seen by then
 * @answered: bytes of the answer that the caller has seen
 * @took: time to the first of them
 * @is_judged: it has been counted for or against its server
 */
typedef struct mv_exchange {
    mv_list_t link;
    mv_time_t asked_at;
    uint32_t acknowledged;
    uint32_t answered;
    mv_time_t took;
    bool is_judged;
} mv_exchange_t;

/**
 * struct mv_usual - What answers on a route are like.
 * @length: a quarter of them is shorter
 * @time: a quarter of them begins later after the request
 * @lengths: answers that @length was made of, up to a limit
 * @times: answers that @time was made of, up to a limit
 */
typedef struct mv_usual {
    double length;
    double time;
    unsigned lengths;
    unsigned times;
} mv_usual_t;

/**
 * struct mv_flow - A flow that this node has seen.
 * @link: in the list of its phase
 * @name: its identity
 * @phase: &enum mv_flow_phase
 * @began_at: its first opening packet came
 * @queue_time: time that it waited here for a free server
 * @route: where it goes, while held flows are looked through
 * @service: position of its service, in the same way
 * @load: of its service, in the same way
 * @asked_at: its caller sent the first opening packet, as far as can be told
 * @urgency: of its route
 * @offered_at: the last opening packet went out
 * @seen_at: its last packet came
 * @offer_count: entries in @offers, one at least when opening
 * @offers: tags of the servers that got an opening packet, newest last
 * @tag: server at which it is open
 * @counted: standing that counts it as outstanding, or NULL
 * @waits_for: service that counts it among those whose caller waits, or NULL
 * @wait: time until the opening packet counts as overdue
 * @exchange: its request, once it is open
 * @opening_length: bytes in @opening
 * @opening: the caller's opening packet
 */
typedef struct mv_flow {
    mv_list_t link;
    mv_flow_name_t name;
    mv_flow_phase_t phase;
    mv_time_t began_at;
    mv_time_t queue_time;
    const mv_table_route_t *route;
    unsigned service;
    mv_service_load_t *load;
    mv_time_t asked_at;
    uint8_t urgency;
    mv_time_t offered_at;
    mv_time_t seen_at;
    unsigned offer_count;
    uint32_t offers[MV_MAX_OFFERS];
    uint32_t tag;
    mv_standing_t *counted;
    mv_service_load_t *waits_for;
    mv_time_t wait;
    mv_exchange_t exchange;
    uint8_t opening_length;
    uint8_t opening[MV_SYN_MAX];
} mv_flow_t;

struct mv_forwarder {
    const mv_forwarder_ops_t *ops;
    void *context;
    mv_counters_t *counters;
    GRand *random;
    unsigned sample;
    mv_time_t stray_at;
    mv_time_t due_at;
    mv_time_t overload_began;
    mv_time_t held_at;
    unsigned held_count;
    bool has_untold;
    mv_time_t reported_at;
    mv_table_t *table;
    GHashTable *standings;
    GHashTable *centres;
    mv_standing_t **by_position;
    GHashTable *flows;
    GHashTable *services;
    GHashTable *usual;
    mv_list_t asking;
    mv_list_t queue_time;
    mv_list_t opening;
    mv_list_t open;
    mv_list_t closed;
};

/** MvStanding_Of() - Standing of the server at @position of the table. */
mv_standing_t *MvStanding_Of(mv_forwarder_t *forwarder, unsigned position);

/** MvStanding_Find() - Standing by tag, or NULL. */
mv_standing_t *MvStanding_Find(const mv_forwarder_t *forwarder, uint32_t tag);

/** MvStanding_Heard() - A caller's packet shows that the server answered. */
void MvStanding_Heard(mv_forwarder_t *forwarder, mv_standing_t *standing,
                      mv_time_t now, mv_time_t offered_at);

/** MvStanding_Silent() - Nothing followed an opening packet in time. */
void MvStanding_Silent(mv_forwarder_t *forwarder, mv_standing_t *standing,
                       mv_time_t now, mv_time_t offered_at);

/** MvStanding_Offered() - An opening packet goes to it. */
void MvStanding_Offered(mv_standing_t *standing, mv_time_t now);

/** MvStanding_IsSilent() - It was found silent, and not tried since. */
bool MvStanding_IsSilent(const mv_standing_t *standing, mv_time_t now);

/** MvStanding_IsAvoided() - It is silent or fails: new flows go elsewhere. */
bool MvStanding_IsAvoided(const mv_standing_t *standing, mv_time_t now);

/**
 * MvFailing_Note() - A request that was sent to a server is over.
 * @service: position of the server's service
 * @asked_at: when it was sent; what began before the server was last avoided
 *            says nothing new
 */
void MvFailing_Note(mv_forwarder_t *forwarder, mv_standing_t *standing,
                    unsigned service, mv_time_t now, mv_time_t asked_at,
                    bool answered);

/** MvFailing_Report() - Tell the nodes near what is new.  Return: when. */
mv_time_t MvFailing_Report(mv_forwarder_t *forwarder, mv_time_t now);

/** MvExchange_Packet() - A caller's packet of an open flow. */
void MvExchange_Packet(mv_forwarder_t *forwarder, mv_flow_t *flow,
                       mv_time_t now, const mv_flow_packet_t *packet);

/** MvExchanges_Run() - Find requests whose answer is late.  Return: when. */
mv_time_t MvExchanges_Run(mv_forwarder_t *forwarder, mv_time_t now);

/** MvExchanges_Forget() - Let go of what is known of routes that are gone. */
void MvExchanges_Forget(mv_forwarder_t *forwarder);

/**
 * MvForwarder_IsSettled() - The fabric sends packets of one flow here.
 *
 * False for a while after packets of flows that began elsewhere have come:
 * the fabric deals anew, and packets that follow an opening may go to another
 * node, which says nothing about the server.
 */
bool MvForwarder_IsSettled(const mv_forwarder_t *forwarder, mv_time_t now);

/** MvCentre_Wait() - When an opening packet to this data centre is overdue. */
mv_time_t MvCentre_Wait(const mv_centre_t *centre);

/**
 * MvPlacement_Choose() - Server for a new flow.
 * @avoid: flow whose earlier offers are avoided, or NULL
 *
 * Return: position in the table, or -1 when the service has none.
 */
int MvPlacement_Choose(mv_forwarder_t *forwarder, mv_time_t now,
                       unsigned service, const mv_flow_t *avoid);

/** MvFlowName_Hash() - Hash of a &struct mv_flow_name, for GHashTable. */
guint MvFlowName_Hash(gconstpointer key);

/** MvFlowName_Equal() - Equality of two of them, for GHashTable. */
gboolean MvFlowName_Equal(gconstpointer a, gconstpointer b);

/** MvFlowName_IsTold() - Decisions about the flow go to the log. */
bool MvFlowName_IsTold(const mv_forwarder_t *forwarder,
                       const mv_flow_name_t *name, bool is_rare);

/** MvFlow_ForwardTo() - Verdict that sends a packet to @server. */
mv_flow_verdict_t MvFlow_ForwardTo(const mv_table_server_t *server);

/** MvFlow_Offer() - Send an opening to @position; the verdict says how. */
mv_flow_verdict_t MvFlow_Offer(mv_forwarder_t *forwarder, mv_flow_t *flow,
                               mv_time_t now, unsigned position);

/** MvFlow_Service() - Service of a new flow on @route, by weight. */
unsigned MvFlow_Service(const mv_table_route_t *route,
                        const mv_flow_name_t *name);

/** MvFlow_Release() - It is not outstanding any more. */
void MvFlow_Release(mv_flow_t *flow);

/** MvFlow_Waits() - Its caller waits for @load, or, with NULL, not any more.
 */
void MvFlow_Waits(mv_flow_t *flow, mv_service_load_t *load);

/** MvFlow_Forget() - Drop what is known of it. */
void MvFlow_Forget(mv_forwarder_t *forwarder, mv_flow_t *flow);

/** Levels of urgency that are told apart; higher ones count as the last. */
#define MV_URGENCIES 8

/**
 * struct mv_admission - Whether a service answers in time.
 * @delay: median part of the target that answers took lately
 * @quick: part of the target that quick answers take, without a queue
 * @answers: answers that both were made of, up to a limit
 * @late_at: @delay was too long for the last time
 * @served: flows served lately, at @served_at
 * @served_at: time of the last of them
 * @arrivals: new flows by urgency, lately, at @arrived_at
 * @returning: late copies of openings that were not seen before, as @arrivals
 * @arrived_at: time of the last of them
 * @began_at: flows are refused since then, 0 when none is
 * @refused_at: the last one was
 * @refused: flows refused since @began_at
 */
typedef struct mv_admission {
    double delay;
    double quick;
    unsigned answers;
    mv_time_t late_at;
    double served;
    mv_time_t served_at;
    double arrivals[MV_URGENCIES];
    double returning;
    mv_time_t arrived_at;
    mv_time_t began_at;
    mv_time_t refused_at;
    unsigned refused;
} mv_admission_t;

/**
 * struct mv_service_load - What the forwarder sees of a service, by name.
 * @duration: mean time from opening to end of its last flows
 * @record: how requests to all its servers went, as seen here
 * @admission: whether new flows are refused
 * @waiting: flows that wait for their server or its answer, as seen here
 * @link: among those whose held flows are looked through
 * @first: the held flow that goes first, in one round
 * @is_full: it has no room for that one; the others wait as well
 */
struct mv_service_load {
    mv_time_t duration;
    mv_record_t record;
    mv_admission_t admission;
    unsigned waiting;
    mv_list_t link;
    mv_flow_t *first;
    bool is_full;
};

/** MvService_Load() - Of the service at position @service of the table. */
mv_service_load_t *MvService_Load(mv_forwarder_t *forwarder, unsigned service);

/** MvService_IsFull() - This node's flows queue at all servers nearby. */
bool MvService_IsFull(const mv_forwarder_t *forwarder, unsigned service,
                      mv_time_t now);

/**
 * MvAdmission_Answered() - A request to @service is over.
 * @took: time from the opening of a flow to the first byte of its answer
 * @target: of its route, 0 when not told
 * @answered: it had the answer that is usual
 */
void MvAdmission_Answered(mv_forwarder_t *forwarder, unsigned service,
                          mv_time_t now, mv_time_t took, mv_time_t target,
                          bool answered);

/** MvAdmission_Refuses() - A new flow on @route would be answered too late. */
bool MvAdmission_Refuses(mv_forwarder_t *forwarder, mv_time_t now,
                         const mv_table_route_t *route, unsigned service);

/** MvAdmission_Returned() - A late copy came of an opening not seen before. */
void MvAdmission_Returned(mv_forwarder_t *forwarder, unsigned service);

/** MvAdmission_Run() - Tell of overloads that are over. */
void MvAdmission_Run(mv_forwarder_t *forwarder, mv_time_t now);

/** MvHolding_Began() - A flow is held from now on. */
void MvHolding_Began(mv_forwarder_t *forwarder, mv_time_t now);

/** MvHolding_Ended() - A flow of @service took @duration. */
void MvHolding_Ended(mv_forwarder_t *forwarder, unsigned service,
                     mv_time_t duration);

/**
 * MvHolding_MustWait() - A new flow comes too late for its target and every
 * near slot of this node's share is taken: those in time go first.
 * @queue_time: how long it has waited here
 */
bool MvHolding_MustWait(mv_forwarder_t *forwarder, mv_time_t now,
                        const mv_table_route_t *route, unsigned service,
                        mv_time_t asked_at, mv_time_t queue_time);

/** MvHolding_Run() - Offer held flows for which there is room, or no time. */
mv_time_t MvHolding_Run(mv_forwarder_t *forwarder, mv_time_t now);

/** MvFlow_OfferAgain() - Offer a kept opening; false without a server. */
bool MvFlow_OfferAgain(mv_forwarder_t *forwarder, mv_flow_t *flow,
                       mv_time_t now);

/** MvFlow_SetPhase() - Move it to the list of its phase. */
void MvFlow_SetPhase(mv_forwarder_t *forwarder, mv_flow_t *flow,
                     mv_flow_phase_t phase);

/** MvFlow_Tell() - Report a decision about @flow when it is in the sample. */
void MvFlow_Tell(const mv_forwarder_t *forwarder, const mv_flow_t *flow,
                 mv_time_t now, mv_log_event_t event, bool is_rare);

/** MvOpenings_Run() - Offer overdue flows anew.  Return: the next time. */
mv_time_t MvOpenings_Run(mv_forwarder_t *forwarder, mv_time_t now);

#endif
