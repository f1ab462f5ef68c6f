/**
 * DOC: masticvane request decisions
 *
 * Decides, for the requests that arrive at one entry VM, whether they may run,
 * at which backend server, when, and which outcome the caller receives.  As in
 * core.h, time, messages and randomness are arguments, and actions are invoked
 * through a vtable.  No function blocks or performs I/O.  An object must only
 * be used by one thread at a time.
 */
#ifndef MASTICVANE_REQUESTS_H
#define MASTICVANE_REQUESTS_H

#include "masticvane/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * typedef mv_request_id_t - Identifier of a request, unique among the
 * requests of the entry VM that received it.
 */
typedef uint64_t mv_request_id_t;

/**
 * enum mv_outcome - Outcome reported to a caller instead of an answer.
 * @MV_OUTCOME_NOT_RUN: no backend server ran the request; it is safe to retry
 * @MV_OUTCOME_UNKNOWN: the request may or may not have run
 */
typedef enum mv_outcome {
    MV_OUTCOME_NOT_RUN,
    MV_OUTCOME_UNKNOWN,
} mv_outcome_t;

/**
 * enum mv_reason - Why a request ended without an answer.
 * @MV_REASON_NO_CONFIG: no configuration is in force yet
 * @MV_REASON_NO_SERVICE: no service has the requested name
 * @MV_REASON_SERVICE_ENDED: the service has passed its end time
 * @MV_REASON_NO_ENDPOINT: the service has no usable backend server
 * @MV_REASON_DEADLINE: the deadline of the request passed
 * @MV_REASON_OVERLOAD: the queue of the service can't start it in time
 * @MV_REASON_STOPPING: this entry VM is shutting down
 * @MV_REASON_BACKEND_REFUSED: the backend server did not process the request
 * @MV_REASON_BACKEND_BROKEN: the exchange with the backend server ended before
 *     the complete answer was received
 * @MV_REASON_DUPLICATE: another request with the same idempotency key exists
 *     and its answer is not available
 * @MV_REASON_EVIDENCE_LOST: all nodes that held the claim of its key may have
 *     been lost, so an earlier run can't be ruled out
 * @MV_REASON_CLAIM_UNAVAILABLE: its key could not be claimed by the deadline
 * @MV_REASON_PARTITIONED: this entry VM is in the minority of a partition and
 *     may not claim unknown keys
 * @MV_REASON_COUNT: number of reasons
 */
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

/**
 * MvReason_Name() - Name of a reason, as used in responses and dumps.
 *
 * Return: a static string, "unknown" when @reason is out of range.
 */
const char *MvReason_Name(mv_reason_t reason);

/**
 * enum mv_dispatch_result - Result of a dispatch to a backend server.
 * @MV_RESULT_COMPLETE: the complete answer was received
 * @MV_RESULT_NOT_PROCESSED: the backend server reported
 *     that it did not run the request
 * @MV_RESULT_UNREACHABLE: the request was never sent
 * @MV_RESULT_INTERRUPTED: the exchange ended before the complete answer was
 *     received; the request may or may not have run
 */
typedef enum mv_dispatch_result {
    MV_RESULT_COMPLETE,
    MV_RESULT_NOT_PROCESSED,
    MV_RESULT_UNREACHABLE,
    MV_RESULT_INTERRUPTED,
} mv_dispatch_result_t;

/** Maximum length of an idempotency key, in bytes. */
#define MV_IDEMPOTENCY_KEY_MAX 128

/**
 * struct mv_request_info - Input to the filter chain.
 * @id: identifier, not used before at this entry VM
 * @service: name of the service, from the HTTP authority
 * @method: HTTP method
 * @path: HTTP path
 * @member: name of the member that calls, empty when not stated; slots are
 *     shared among members by their weights
 * @key: idempotency key, empty when there is none; ignored for requests that
 *     may run more than once
 * @deadline: time after which the caller no longer needs an answer; limited to
 *     MV_REQUEST_TIMEOUT_MAX from now
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

/** typedef mv_request_effects_t - Receiver of the actions. */
typedef struct mv_request_effects mv_request_effects_t;

/**
 * struct mv_request_effects_ops - Actions.
 * @dispatch: send the request to @endpoint now
 * @finish: report @outcome to the caller; no answer will follow
 * @replay: send the retained answer @bytes to the caller; @bytes is only valid
 *     during the call
 * @cancel: cancel the dispatch at the backend server
 * @send: send @message to another entry VM; it is only valid during the call
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
 * struct mv_request_effects - Base of the receiver's own structure.
 * @ops: functions that carry out the actions
 */
struct mv_request_effects {
    const mv_request_effects_ops_t *ops;
};

/** Time for which an idempotency key is retained, in microseconds. */
#define MV_KEY_RETENTION (10 * MV_MINUTE)

/** Maximum size of an answer retained for a repeated key, in bytes. */
#define MV_RETAINED_ANSWER_MAX 8192

/**
 * Maximum timeout of a request, in microseconds.  It must be far shorter than
 * MV_KEY_RETENTION, so that the claim of a key does not expire before its
 * request ends.
 */
#define MV_REQUEST_TIMEOUT_MAX (60 * MV_SECOND)

/** typedef mv_requests_t - The request decisions of one entry VM. */
typedef struct mv_requests mv_requests_t;

/**
 * MvRequests_Create() - Create the request decisions of one entry VM.
 * @self: node id of this entry VM
 * @effects: receiver of the actions; must outlive the object
 * @counters: counters to update; must outlive the object
 * @random: source of randomness; must outlive the object
 * @wall: Unix time in microseconds at @now
 * @now: monotonic time
 *
 * There is no configuration until the first MvRequests_SetView().
 *
 * Return: to be freed with MvRequests_Destroy(); NULL when out of memory.
 */
mv_requests_t *MvRequests_Create(mv_node_id_t self,
                                 mv_request_effects_t *effects,
                                 mv_counters_t *counters, GRand *random,
                                 mv_time_t wall, mv_time_t now);

/** MvRequests_Destroy() - Free the object; NULL is accepted. */
void MvRequests_Destroy(mv_requests_t *requests);

/**
 * MvRequests_SetExpectedNodes() - Set the entry VMs listed in the settings.
 * @ids: their node ids, may include this one; copied
 * @count: number of @ids
 *
 * Must be called before the first MvRequests_SetView().  A listed node that is
 * missing from that view is assumed to run on the other side of a partition.
 */
void MvRequests_SetExpectedNodes(mv_requests_t *requests,
                                 const mv_node_id_t *ids, size_t count);

/**
 * MvRequests_SetView() - Set the configuration and the live members.
 * @deployment: configuration in force, or NULL; a reference is taken
 * @members: live nodes that may own keys and slots, including this one, sorted
 *     by id; copied
 * @count: number of @members
 */
void MvRequests_SetView(mv_requests_t *requests, mv_time_t now,
                        mv_deployment_t *deployment,
                        const mv_request_member_t *members, size_t count);

/**
 * MvRequests_Submit() - Accept a request.
 * @info: the request, copied
 *
 * May invoke actions for the request before it returns.
 */
void MvRequests_Submit(mv_requests_t *requests, mv_time_t now,
                       const mv_request_info_t *info);

/**
 * MvRequests_CompleteDispatch() - Report that a dispatch has ended.
 * @result: how it ended
 * @bytes: the complete answer, or NULL; copied for repeated keys when it is
 *     not longer than MV_RETAINED_ANSWER_MAX
 * @length: length of @bytes, in bytes
 *
 * Return: true when the answer must be sent to the caller now; false also when
 * the request has no dispatch in progress.
 */
bool MvRequests_CompleteDispatch(mv_requests_t *requests, mv_time_t now,
                                 mv_request_id_t id,
                                 mv_dispatch_result_t result,
                                 const char *bytes, size_t length);

/**
 * MvRequests_Cancel() - Cancel a request whose caller no longer waits for it;
 * ignored when the request has ended.  @finish is not invoked for it.
 */
void MvRequests_Cancel(mv_requests_t *requests, mv_time_t now,
                       mv_request_id_t id);

/**
 * MvRequests_Message() - Handle a message from another entry VM; kinds other
 * than MV_MESSAGE_SLOTS and MV_MESSAGE_CLAIMS are ignored.
 */
void MvRequests_Message(mv_requests_t *requests, mv_time_t now,
                        const mv_message_t *message);

/** MvRequests_Timer() - Run timeouts and retries; call at least every 5 ms. */
void MvRequests_Timer(mv_requests_t *requests, mv_time_t now);

/**
 * MvRequests_Leave() - Begin a planned shutdown: stop owning keys.
 *
 * Sends all claims held here to the members that own them from now on, so that
 * none is lost with this entry VM.  Requests are still accepted and served.
 */
void MvRequests_Leave(mv_requests_t *requests, mv_time_t now);

/**
 * MvRequests_Stop() - Refuse new requests; open ones still complete, but are
 * not retried.
 */
void MvRequests_Stop(mv_requests_t *requests);

/** MvRequests_OpenCount() - Number of requests that have no outcome yet. */
size_t MvRequests_OpenCount(const mv_requests_t *requests);

/** MvRequests_Dump() - Return a new reference to the state as JSON. */
json_t *MvRequests_Dump(const mv_requests_t *requests, mv_time_t now);

#ifdef __cplusplus
}
#endif
#endif
