/**
 * DOC: Shared declarations of the request decisions.
 *
 * requests.c    request lifecycle and outcomes
 * filters.c     admission filters: service, class of work, deadline, key
 * callers.c     members that recently called services with an end time
 * claims.c      idempotency keys: at most one run per key
 * slots.c       requests of this node: their queue, held slots, handoffs
 * dispatcher.c  services whose slots this node owns: queue and grants
 * retry.c       retry budget
 */
#ifndef MV_CORE_REQUESTS_PRIVATE_H
#define MV_CORE_REQUESTS_PRIVATE_H

#include "dispatcher.h"
#include "masticvane/requests.h"

/**
 * enum mv_request_state - State of a request.
 * @MV_REQUEST_CLAIMING: its idempotency key is being claimed
 * @MV_REQUEST_WAITING: it waits for a slot
 * @MV_REQUEST_DISPATCHED: it was sent to a backend server
 */
typedef enum mv_request_state {
    MV_REQUEST_CLAIMING,
    MV_REQUEST_WAITING,
    MV_REQUEST_DISPATCHED,
} mv_request_state_t;

/**
 * struct mv_key_hash - Hash of an idempotency key within its service.
 * @high: upper half
 * @low: lower half
 */
typedef struct mv_key_hash {
    uint64_t high;
    uint64_t low;
} mv_key_hash_t;

/**
 * struct mv_request - A request at the node that received it.
 * @id: identifier
 * @link: entry in the list of waiting requests of its service
 * @service: service id
 * @work: index of its class of work
 * @urgency: urgency of its class, 0 is the most urgent
 * @member: hash of its member (caller)
 * @non_idempotent: it must not run more than once
 * @has_key: it has an idempotency key
 * @claimed: its claim of the key was granted
 * @is_duplicate: a reply to its claim was that another request holds the key
 *     and has not ended; stays set when the claim is granted later
 * @key: hash of its idempotency key
 * @deadline: time after which the caller no longer needs an answer
 * @arrived: time at which it was received
 * @state: &enum mv_request_state
 * @endpoint: endpoint id while dispatched
 * @slot: slot number while dispatched
 * @attempts: number of dispatches so far
 * @may_have_run: a dispatch was interrupted, so "not run" must not be reported
 * @abandoned: its caller has received an outcome or cancelled it
 * @retry_claim_at: next time at which to request the claim
 */
typedef struct mv_request {
    mv_request_id_t id;
    mv_list_t link;
    uint16_t service;
    uint16_t work;
    uint32_t urgency;
    uint32_t member;
    bool non_idempotent;
    bool has_key;
    bool claimed;
    bool is_duplicate;
    mv_key_hash_t key;
    mv_request_state_t state;
    mv_time_t deadline;
    mv_time_t arrived;
    uint16_t endpoint;
    uint32_t slot;
    unsigned attempts;
    bool may_have_run;
    bool abandoned;
    mv_time_t retry_claim_at;
} mv_request_t;

typedef struct mv_claims mv_claims_t;
typedef struct mv_slots mv_slots_t;

/**
 * struct mv_retry_budget - Limits retries to a fraction of the requests.
 * @credit: number of retries available
 */
typedef struct mv_retry_budget {
    double credit;
} mv_retry_budget_t;

/**
 * struct mv_requests - The request decisions of one entry VM.
 * @self: node id of this entry VM
 * @effects: receiver of the actions
 * @counters: counters to update
 * @random: source of randomness
 * @wall_offset: Unix time minus monotonic time, in microseconds
 * @deployment: configuration in force, or NULL; referenced
 * @member_count: entries in @members
 * @members: live nodes, sorted by id; owned
 * @requests: all requests at this node, by id
 * @claims: idempotency keys
 * @slots: slots and queues
 * @retry_budget: limit of retries
 * @open_count: requests without an outcome
 * @next_timer: time of the next timer run
 * @stopping: new requests are refused
 * @wait_times: microseconds from arrival to each dispatch
 * @reason_counts: requests that ended without an answer, by reason
 * @last_callers: see callers.c, NULL until the first call is recorded
 */
struct mv_requests {
    mv_node_id_t self;
    mv_request_effects_t *effects;
    mv_counters_t *counters;
    GRand *random;
    mv_time_t wall_offset;
    mv_deployment_t *deployment;
    size_t member_count;
    mv_request_member_t *members;
    GHashTable *requests;
    mv_claims_t *claims;
    mv_slots_t *slots;
    mv_retry_budget_t retry_budget;
    size_t open_count;
    mv_time_t next_timer;
    bool stopping;
    mv_histogram_t wait_times;
    uint64_t reason_counts[MV_REASON_COUNT];
    GArray *last_callers;
};

/* requests.c */
mv_request_t *MvRequests_Find(const mv_requests_t *requests,
                              mv_request_id_t id);
void MvRequests_Finish(mv_requests_t *requests, mv_time_t now,
                       mv_request_t *request, mv_outcome_t outcome,
                       mv_reason_t reason);
void MvRequests_Dispatch(mv_requests_t *requests, mv_time_t now,
                         mv_request_t *request, uint16_t endpoint,
                         uint32_t slot);
void MvRequests_Close(mv_requests_t *requests, mv_request_t *request);
bool MvRequests_IsMember(const mv_requests_t *requests, mv_node_id_t id);

/* filters.c */
mv_request_t *MvFilters_Run(mv_requests_t *requests, mv_time_t now,
                            const mv_request_info_t *info);

/* callers.c */
void MvCallers_Record(GArray **callers, mv_time_t now, uint16_t service,
                      const char *name, bool refused);
json_t *MvCallers_Dump(const GArray *callers,
                       const mv_deployment_t *deployment, mv_time_t now);

/* claims.c */
mv_claims_t *MvClaims_Create(mv_requests_t *requests);
void MvClaims_SetExpectedNodes(mv_claims_t *claims, const mv_node_id_t *ids,
                               size_t count);
void MvClaims_Destroy(mv_claims_t *claims);
void MvClaims_SetView(mv_claims_t *claims, mv_time_t now,
                      const mv_request_member_t *old, size_t old_count);
void MvClaims_Request(mv_claims_t *claims, mv_time_t now,
                      mv_request_t *request);
void MvClaims_Settle(mv_claims_t *claims, mv_time_t now, mv_key_hash_t key,
                     mv_request_id_t id, uint32_t state, const char *bytes,
                     size_t length);
void MvClaims_Message(mv_claims_t *claims, mv_time_t now,
                      const mv_message_t *message);
void MvClaims_Timer(mv_claims_t *claims, mv_time_t now);
void MvClaims_Leave(mv_claims_t *claims, mv_time_t now);
size_t MvClaims_Count(const mv_claims_t *claims);

/**
 * States of a claim, in mv_claim_record_t::state.  CLAIMED: its request has
 * not ended; DONE: it ran and the answer is retained; DONE_UNRETAINED: it ran,
 * but the answer was too large to retain; OUTCOME_UNKNOWN: it may or may not
 * have run; NOT_RUN: it did not run, the key may be claimed again.
 */
#define MV_CLAIMED 1
#define MV_CLAIM_DONE 2
#define MV_CLAIM_DONE_UNRETAINED 3
#define MV_CLAIM_OUTCOME_UNKNOWN 4
#define MV_CLAIM_NOT_RUN 5

/* slots.c */
mv_slots_t *MvSlots_Create(mv_requests_t *requests);
void MvSlots_Destroy(mv_slots_t *slots);
void MvSlots_SetView(mv_slots_t *slots, mv_time_t now);
void MvSlots_Enqueue(mv_slots_t *slots, mv_time_t now, mv_request_t *request);
void MvSlots_Withdraw(mv_slots_t *slots, mv_time_t now, mv_request_t *request);
void MvSlots_Release(mv_slots_t *slots, mv_time_t now, uint16_t id,
                     uint16_t endpoint, uint32_t slot, mv_request_id_t holder,
                     uint32_t run_result);
void MvSlots_Message(mv_slots_t *slots, mv_time_t now,
                     const mv_message_t *message);
void MvSlots_Timer(mv_slots_t *slots, mv_time_t now);
void MvSlots_Flush(mv_slots_t *slots, mv_time_t now);
json_t *MvSlots_Dump(const mv_slots_t *slots);

/* retry.c */
void MvRetryBudget_Earn(mv_retry_budget_t *budget);
bool MvRetryBudget_Spend(mv_retry_budget_t *budget);

#endif
