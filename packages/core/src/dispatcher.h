/**
 * DOC: Request queue of one service at the entry VM that owns its slots.
 *
 * The owner tracks every slot of the service.  A request is bound to a slot
 * only when one is free (late binding); a free slot is granted to the request
 * that the policy selects, at any entry VM.  Policy: each class of work
 * receives its guaranteed share while it has queued requests; the remaining
 * slots go to the most urgent class; within a class, slots are shared among
 * members (callers) by weighted fair queuing.
 */
#ifndef MV_CORE_DISPATCHER_H
#define MV_CORE_DISPATCHER_H

#include "masticvane/core.h"

/** typedef mv_dispatcher_t - Request queue of one service. */
typedef struct mv_dispatcher mv_dispatcher_t;

/**
 * struct mv_dispatcher_ops - Callbacks of the queue.
 * @send: send @record to node @to, which may be this one; @record is only
 *     valid during the call
 */
typedef struct mv_dispatcher_ops {
    void (*send)(void *context, mv_node_id_t to,
                 const mv_slot_record_t *record);
} mv_dispatcher_ops_t;

/**
 * MvDispatcher_Create() - Create a queue; it grants nothing until it is open.
 * @service: id of the service
 * @last_number: the first slot gets the number after this; must be random, so
 *     that the numbers differ from those of former owners
 * @ops: callbacks, must outlive the queue
 * @context: passed to the callbacks
 *
 * Return: to be freed with MvDispatcher_Destroy().
 */
mv_dispatcher_t *MvDispatcher_Create(uint16_t service, uint32_t last_number,
                                     const mv_dispatcher_ops_t *ops,
                                     void *context);

/** MvDispatcher_Destroy() - Free; NULL is accepted. */
void MvDispatcher_Destroy(mv_dispatcher_t *dispatcher);

/**
 * MvDispatcher_Configure() - Set the service and configuration in force.
 * @wall: Unix time in microseconds at @now
 * @service: borrowed until the next call
 * @deployment: configuration that contains @service; borrowed until the next
 *     call
 */
void MvDispatcher_Configure(mv_dispatcher_t *dispatcher, mv_time_t now,
                            mv_time_t wall, const mv_service_t *service,
                            const mv_deployment_t *deployment);

/**
 * MvDispatcher_MatchesClasses() - False when the number of work classes
 * of @service changed, which requires a new queue.
 */
bool MvDispatcher_MatchesClasses(const mv_dispatcher_t *dispatcher,
                                 const mv_service_t *service);

/**
 * MvDispatcher_SetNode() - Set the data centre of a node, as a hash of its
 * name.
 */
void MvDispatcher_SetNode(mv_dispatcher_t *dispatcher, mv_node_id_t node,
                          uint32_t data_centre);

/**
 * MvDispatcher_HandleRecord() - Handle a record from node @from, which may
 * be this one.
 */
void MvDispatcher_HandleRecord(mv_dispatcher_t *dispatcher, mv_time_t now,
                               mv_node_id_t from,
                               const mv_slot_record_t *record);

/**
 * MvDispatcher_Open() - Start to grant slots.
 * @unknown_until: no slot is granted before this time, as not all slots in use
 *     have been reported; @now when all have been
 */
void MvDispatcher_Open(mv_dispatcher_t *dispatcher, mv_time_t now,
                       mv_time_t unknown_until);

/**
 * MvDispatcher_NodeLost() - Remove a lost node: its queued requests are
 * removed at once, except those that a slot is reserved for; its slots become
 * free after a hold time, as its requests may still run.
 */
void MvDispatcher_NodeLost(mv_dispatcher_t *dispatcher, mv_time_t now,
                           mv_node_id_t node);

/**
 * MvDispatcher_Timer() - Expire slots and requests, grant slots, send
 * hints; @wall is the Unix time in microseconds at @now.
 */
void MvDispatcher_Timer(mv_dispatcher_t *dispatcher, mv_time_t now,
                        mv_time_t wall);

/**
 * MvDispatcher_Waiting() - Number of queued requests, including those that a
 * slot is reserved for.
 */
size_t MvDispatcher_Waiting(const mv_dispatcher_t *dispatcher);

/** MvDispatcher_InUse() - Number of slots in use. */
size_t MvDispatcher_InUse(const mv_dispatcher_t *dispatcher);

/**
 * Result of the run, in @remaining_ms of an MV_SLOT_RETURN record.  SUCCESS:
 * the request was answered; SHED: the backend server did not process it;
 * FAILED: the server was not reachable or the exchange was interrupted;
 * UNUSED: the slot was not used, or its request was cancelled.
 */
#define MV_RETURN_SUCCESS 0
#define MV_RETURN_SHED 1
#define MV_RETURN_FAILED 2
#define MV_RETURN_UNUSED 3

/**
 * Flag in @remaining_ms of an MV_SLOT_HINT record: more requests are queued
 * than there are usable slots, so that freed slots must not be reused locally
 * but be returned or handed off.
 */
#define MV_HINT_BACKLOG 1

#endif
