/**
 * DOC: masticvane request decisions
 *
 * What one entry VM decides about requests: which may run, where, when, and
 * what their caller is told.  Like core.h it takes time, messages and
 * randomness as arguments and returns actions through a vtable.  An object
 * belongs to one thread.
 */
#ifndef MASTICVANE_REQUESTS_H
#define MASTICVANE_REQUESTS_H

#include "masticvane/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/** typedef mv_request_id_t - Number of a request, unique at its node. */
typedef uint64_t mv_request_id_t;

/** enum mv_outcome - What a caller is told when there is no answer. */
typedef enum mv_outcome {
    MV_OUTCOME_NOT_RUN,
    MV_OUTCOME_UNKNOWN,
} mv_outcome_t;

/** enum mv_reason - Why. */
typedef enum mv_reason {
    MV_REASON_NO_CONFIG,
    MV_REASON_NO_SERVICE,
    MV_REASON_SERVICE_ENDED,
    MV_REASON_NO_ENDPOINT,
    MV_REASON_DEADLINE,
    MV_REASON_OVERLOAD,
    MV_REASON_STOPPING,
    MV_REASON_BACKEND_REFUSED,
    MV_REASON_BACKEND_BROKEN,
    MV_REASON_DUPLICATE,
    MV_REASON_EVIDENCE_LOST,
    MV_REASON_CLAIM_UNAVAILABLE,
    MV_REASON_PARTITIONED,
    MV_REASON_COUNT,
} mv_reason_t;

/** MvReason_Name() - Word used in answers and dumps. */
const char *MvReason_Name(mv_reason_t reason);

/**
 * enum mv_dispatch_result - How a dispatch ended at the backend server.
 * @MV_RESULT_COMPLETE: a whole answer came
 * @MV_RESULT_NOT_PROCESSED: the backend server said that it did not run it
 * @MV_RESULT_UNREACHABLE: it was never sent
 * @MV_RESULT_INTERRUPTED: it may or may not have run
 */
typedef enum mv_dispatch_result {
    MV_RESULT_COMPLETE,
    MV_RESULT_NOT_PROCESSED,
    MV_RESULT_UNREACHABLE,
    MV_RESULT_INTERRUPTED,
} mv_dispatch_result_t;

/** Longest idempotency key. */
#define MV_IDEMPOTENCY_KEY_MAX 128

/**
 * struct mv_request_info - A request as the filter chain needs it.
 * @id: its number
 * @service: authority, the name of a service
 * @method: HTTP method
 * @path: HTTP path
 * @member: member (caller) it counts for, empty when not stated
 * @key: idempotency key, empty when there is none
 * @deadline: time after which its answer is of no use
 */
typedef struct mv_request_info {
    mv_request_id_t id;
    const char *service;
    const char *method;
    const char *path;
    const char *member;
    const char *key;
    mv_time_t deadline;
} mv_request_info_t;

/** typedef mv_request_effects_t - What the decisions may ask for. */
typedef struct mv_request_effects mv_request_effects_t;

/**
 * struct mv_request_effects_ops - Actions.
 * @dispatch: send the request to this endpoint now
 * @finish: tell the caller this outcome; there will be no answer
 * @replay: give the caller the retained answer @bytes
 * @cancel: cancel the dispatch at the backend server
 * @send: send a message to another entry VM
 */
typedef struct mv_request_effects_ops {
    void (*dispatch)(mv_request_effects_t *effects, mv_request_id_t id,
                     const mv_service_t *service,
                     const mv_endpoint_t *endpoint);
    void (*finish)(mv_request_effects_t *effects, mv_request_id_t id,
                   mv_outcome_t outcome, mv_reason_t reason);
    void (*replay)(mv_request_effects_t *effects, mv_request_id_t id,
                   const char *bytes, size_t length);
    void (*cancel)(mv_request_effects_t *effects, mv_request_id_t id);
    void (*send)(mv_request_effects_t *effects, mv_node_id_t to,
                 const mv_message_t *message);
} mv_request_effects_ops_t;

/**
 * struct mv_request_effects - Base of the caller's own structure.
 * @ops: its functions
 */
struct mv_request_effects {
    const mv_request_effects_ops_t *ops;
};

/** How long an idempotency key is remembered. */
#define MV_KEY_RETENTION (10 * MV_MINUTE)

/** Longest answer that is retained for a repeated key, in bytes. */
#define MV_RETAINED_ANSWER_MAX 8192

/** Longest time a request may take; far shorter than MV_KEY_RETENTION. */
#define MV_REQUEST_TIMEOUT_MAX (60 * MV_SECOND)

/** typedef mv_requests_t - The request decisions of one entry VM. */
typedef struct mv_requests mv_requests_t;

/**
 * MvRequests_Create() - New, without configuration.
 *
 * Return: to be freed with MvRequests_Destroy(); NULL without memory.
 */
mv_requests_t *MvRequests_Create(mv_node_id_t self,
                                 mv_request_effects_t *effects,
                                 mv_counters_t *counters, GRand *random,
                                 mv_time_t wall, mv_time_t now);

/** MvRequests_Destroy() - Free; NULL is accepted. */
void MvRequests_Destroy(mv_requests_t *requests);

/**
 * MvRequests_SetExpectedNodes() - Name the entry VMs that the settings know.
 * @ids: their numbers, this one may be among them
 *
 * To be called before the first MvRequests_SetView().  Those that are not
 * there then may run on the far side of a partition.
 */
void MvRequests_SetExpectedNodes(mv_requests_t *requests,
                                 const mv_node_id_t *ids, size_t count);

/**
 * MvRequests_SetView() - Tell which configuration and members are in force.
 * @deployment: a reference is taken
 * @members: live nodes that may own keys and slots, this one included
 */
void MvRequests_SetView(mv_requests_t *requests, mv_time_t now,
                        mv_deployment_t *deployment,
                        const mv_request_member_t *members, size_t count);

/** MvRequests_Submit() - Take a request; its id must be new. */
void MvRequests_Submit(mv_requests_t *requests, mv_time_t now,
                       const mv_request_info_t *info);

/**
 * MvRequests_CompleteDispatch() - A dispatch ended.
 * @bytes: the whole answer for retention, or NULL
 *
 * Return: true when the caller should get this answer now.
 */
bool MvRequests_CompleteDispatch(mv_requests_t *requests, mv_time_t now,
                                 mv_request_id_t id,
                                 mv_dispatch_result_t result,
                                 const char *bytes, size_t length);

/** MvRequests_Cancel() - The caller gave up. */
void MvRequests_Cancel(mv_requests_t *requests, mv_time_t now,
                       mv_request_id_t id);

/** MvRequests_Message() - A message from another entry VM. */
void MvRequests_Message(mv_requests_t *requests, mv_time_t now,
                        const mv_message_t *message);

/** MvRequests_Timer() - Do what is due; call at least every 5 ms. */
void MvRequests_Timer(mv_requests_t *requests, mv_time_t now);

/**
 * MvRequests_Leave() - Begin a planned stop: own no more keys.
 *
 * The other entry VMs get every record this one holds, so that nothing of
 * what it knows is lost with it.  Requests go on being served.
 */
void MvRequests_Leave(mv_requests_t *requests, mv_time_t now);

/** MvRequests_Stop() - Refuse new requests; finish what is open. */
void MvRequests_Stop(mv_requests_t *requests);

/** MvRequests_OpenCount() - Requests whose caller has no outcome yet. */
size_t MvRequests_OpenCount(const mv_requests_t *requests);

/** MvRequests_Dump() - New reference to the state as JSON. */
json_t *MvRequests_Dump(const mv_requests_t *requests, mv_time_t now);

#ifdef __cplusplus
}
#endif
#endif
