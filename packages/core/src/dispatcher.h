/**
 * DOC: The queue of one service at the entry VM that owns its slots.
 *
 * The owner knows every slot of the service exactly.  A freed slot goes to
 * the request that the policy puts first, at whichever entry VM it waits
 * (late binding).  The policy: every class of work gets its guaranteed share
 * while it has something waiting; what is left goes to the most urgent;
 * within a class the members (callers) take turns by weight.
 */
#ifndef MV_CORE_DISPATCHER_H
#define MV_CORE_DISPATCHER_H

#include "masticvane/core.h"

/** typedef mv_dispatcher_t - The queue. */
typedef struct mv_dispatcher mv_dispatcher_t;

/**
 * struct mv_dispatcher_ops - What the queue asks for.
 * @send: tell @to; the sender fills in nothing
 */
typedef struct mv_dispatcher_ops {
    void (*send)(void *context, mv_node_id_t to,
                 const mv_slot_record_t *record);
} mv_dispatcher_ops_t;

/**
 * MvDispatcher_Create() - Queue that grants nothing before it is open.
 * @first_number: slots are numbered from here, apart from former owners'
 */
mv_dispatcher_t *MvDispatcher_Create(uint16_t service, uint32_t first_number,
                                     const mv_dispatcher_ops_t *ops,
                                     void *context);

/** MvDispatcher_Destroy() - Free; NULL is accepted. */
void MvDispatcher_Destroy(mv_dispatcher_t *dispatcher);

/** MvDispatcher_Configure() - Service and members in force. */
void MvDispatcher_Configure(mv_dispatcher_t *dispatcher, mv_time_t now,
                            mv_time_t wall, const mv_service_t *service,
                            const mv_deployment_t *deployment);

/** MvDispatcher_Fits() - False when @service needs a new queue. */
bool MvDispatcher_Fits(const mv_dispatcher_t *dispatcher,
                       const mv_service_t *service);

/** MvDispatcher_SetNode() - Say in which data centre a node runs. */
void MvDispatcher_SetNode(mv_dispatcher_t *dispatcher, mv_node_id_t node,
                          uint32_t data_centre);

/** MvDispatcher_Take() - A record from node @from, this one included. */
void MvDispatcher_Take(mv_dispatcher_t *dispatcher, mv_time_t now,
                       mv_node_id_t from, const mv_slot_record_t *record);

/**
 * MvDispatcher_Open() - Begin to grant.
 * @unknown_until: slots nobody reported stay unused until then
 */
void MvDispatcher_Open(mv_dispatcher_t *dispatcher, mv_time_t now,
                       mv_time_t unknown_until);

/** MvDispatcher_NodeLost() - A node is gone; its slots are freed later. */
void MvDispatcher_NodeLost(mv_dispatcher_t *dispatcher, mv_time_t now,
                           mv_node_id_t node);

/** MvDispatcher_Timer() - Expire, hint, grant. */
void MvDispatcher_Timer(mv_dispatcher_t *dispatcher, mv_time_t now,
                        mv_time_t wall);

/** MvDispatcher_Waiting() - Requests that wait. */
size_t MvDispatcher_Waiting(const mv_dispatcher_t *dispatcher);

/** MvDispatcher_InUse() - Slots in use. */
size_t MvDispatcher_InUse(const mv_dispatcher_t *dispatcher);

/** Flags of MV_SLOT_RETURN in @remaining_ms. */
#define MV_RETURN_GOOD 0
#define MV_RETURN_SHED 1
#define MV_RETURN_FAILED 2
#define MV_RETURN_UNUSED 3

/** Flag of MV_SLOT_HINT in @remaining_ms: more waits than there are slots. */
#define MV_HINT_DEEP 1

#endif
