/**
 * DOC: The parts of the request decisions and what they share.
 *
 * requests.c    life of a request and the outcome its caller gets
 * filters.c     the chain a new request passes: service, deadline, claim
 * claims.c      idempotency keys: at most one run
 * slots.c       this node's side of slots: asking, reusing, returning
 * dispatcher.c  the owner's side of slots: the queue of a service
 * retry.c       the budget of second dispatches
 */
#ifndef MV_CORE_REQUESTS_PRIVATE_H
#define MV_CORE_REQUESTS_PRIVATE_H

#include "dispatcher.h"
#include "masticvane/requests.h"

/** enum mv_request_state - How far a request has come. */
typedef enum mv_request_state {
    MV_REQUEST_CLAIMING,
    MV_REQUEST_WAITING,
    MV_REQUEST_DISPATCHED,
} mv_request_state_t;

/**
 * struct mv_key - Hash of an idempotency key within its service.
 * @high: upper half
 * @low: lower half
 */
typedef struct mv_key_hash {
    uint64_t high;
    uint64_t low;
} mv_key_hash_t;

/**
 * struct mv_request - One request at its node.
 * @id: its number
 * @link: place among the waiting of its service
 * @service: service id
 * @work: position of its class of work
 * @urgency: of its class, 0 first
 * @member: hash of its member (caller)
 * @non_idempotent: it must not run twice
 * @has_key: it has a key, @key
 * @claimed: the key was granted to it
 * @is_duplicate: another attempt holds the key
 * @deadline: time after which its answer is of no use
 * @arrived: time it came
 * @state: &enum mv_request_state
 * @endpoint: endpoint id while dispatched
 * @slot: number of its slot while dispatched
 * @attempts: dispatches so far
 * @may_have_run: a dispatch of it broke, so it is never told "not run"
 * @abandoned: its caller has an outcome already
 * @retry_claim_at: when to ask for the claim again
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
 * struct mv_retry_budget - Bounds second dispatches to a part of traffic.
 * @credit: second dispatches that may be made now
 */
typedef struct mv_retry_budget {
    double credit;
} mv_retry_budget_t;

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
    mv_retry_budget_t retries;
    size_t open;
    mv_time_t next_timer;
    bool stopping;
    mv_histogram_t waits;
    uint64_t reasons[MV_REASON_COUNT];
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
void MvCallers_Note(GArray **callers, mv_time_t now, uint16_t service,
                    const char *name, bool refused);
json_t *MvCallers_Dump(const GArray *callers,
                       const mv_deployment_t *deployment, mv_time_t now);

/* claims.c */
mv_claims_t *MvClaims_Create(mv_requests_t *requests);
void MvClaims_Expect(mv_claims_t *claims, const mv_node_id_t *ids,
                     size_t count);
void MvClaims_Destroy(mv_claims_t *claims);
void MvClaims_View(mv_claims_t *claims, mv_time_t now,
                   const mv_request_member_t *old, size_t old_count);
void MvClaims_Ask(mv_claims_t *claims, mv_time_t now, mv_request_t *request);
void MvClaims_Settle(mv_claims_t *claims, mv_time_t now, mv_key_hash_t key,
                     mv_request_id_t id, uint32_t state, const char *bytes,
                     size_t length);
void MvClaims_Message(mv_claims_t *claims, mv_time_t now,
                      const mv_message_t *message);
void MvClaims_Timer(mv_claims_t *claims, mv_time_t now);
void MvClaims_Leave(mv_claims_t *claims, mv_time_t now);
size_t MvClaims_Count(const mv_claims_t *claims);

/** States of a claim, in mv_claim_record_t::state. */
#define MV_CLAIMED 1
#define MV_CLAIM_DONE 2
#define MV_CLAIM_DONE_UNRETAINED 3
#define MV_CLAIM_OUTCOME_UNKNOWN 4
#define MV_CLAIM_NOT_RUN 5

/* slots.c */
mv_slots_t *MvSlots_Create(mv_requests_t *requests);
void MvSlots_Destroy(mv_slots_t *slots);
void MvSlots_View(mv_slots_t *slots, mv_time_t now);
void MvSlots_Enqueue(mv_slots_t *slots, mv_time_t now, mv_request_t *request);
void MvSlots_Withdraw(mv_slots_t *slots, mv_time_t now, mv_request_t *request);
void MvSlots_Released(mv_slots_t *slots, mv_time_t now, uint16_t id,
                      uint16_t endpoint, uint32_t slot, mv_request_id_t holder,
                      uint32_t flag);
void MvSlots_Message(mv_slots_t *slots, mv_time_t now,
                     const mv_message_t *message);
void MvSlots_Timer(mv_slots_t *slots, mv_time_t now);
void MvSlots_Flush(mv_slots_t *slots, mv_time_t now);
json_t *MvSlots_Dump(const mv_slots_t *slots);

/* retry.c */
void MvRetryBudget_Earn(mv_retry_budget_t *budget);
bool MvRetryBudget_Spend(mv_retry_budget_t *budget);

#endif
