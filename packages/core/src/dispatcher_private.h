/**
 * DOC: Shared declarations of the dispatcher.
 *
 * fair_queue.c  queued requests and their order
 * dispatcher.c  slots: granting, promising to a queued request, reclaiming
 */
#ifndef MV_CORE_DISPATCHER_PRIVATE_H
#define MV_CORE_DISPATCHER_PRIVATE_H

#include "dispatcher.h"

typedef struct slot slot_t;

/* A queued request.  @promised_slot is the busy slot that it will receive
 * next, or NULL. */
typedef struct waiter {
    mv_list_t link;
    mv_node_id_t node;
    uint64_t request;
    struct member_queue *member_queue;
    struct slot *promised_slot;
    mv_time_t deadline;
    mv_time_t since;
} waiter_t;

/* Queue of one member within one class of work. */
typedef struct member_queue {
    mv_list_t link;
    mv_list_t waiters;
    uint32_t member;
    uint32_t weight;
    unsigned references;
    size_t waiting;
    double virtual_time;
    struct work_queue *work;
} member_queue_t;

typedef struct work_queue {
    mv_list_t member_queues;
    GHashTable *by_member;
    double credit;
    double virtual_time;
    double rate;
    uint32_t granted;
    size_t waiting;
} work_queue_t;

/* A slot in use; @next is the queued request that it is promised to. */
struct slot {
    mv_list_t link;
    uint32_t number;
    mv_node_id_t node;
    uint64_t request;
    mv_time_t since;
    mv_time_t free_at;
    mv_time_t missing_since;
    bool reported;
    waiter_t *next;
};

typedef struct server {
    uint16_t id;
    uint32_t slots;
    uint32_t limit;
    uint32_t in_use;
    bool leaving;
    bool seen;
    uint32_t data_centre;
    double utilization;
    mv_time_t utilization_since;
    mv_time_t next_ramp;
    mv_time_t suspended_until;
    mv_time_t suspension;
    mv_list_t used;
} server_t;

struct mv_dispatcher {
    uint16_t id;
    const mv_dispatcher_ops_t *ops;
    void *context;
    const mv_service_t *service;
    const mv_deployment_t *deployment;
    server_t *servers;
    size_t server_count;
    work_queue_t *works;
    size_t work_count;
    GHashTable *waiters;
    GHashTable *data_centres;
    size_t waiting;
    size_t assigned;
    size_t in_use;
    uint32_t last_number;
    bool open;
    mv_time_t unknown_until;
    mv_time_t next_hint;
    uint32_t hinted;
    mv_time_t rate_since;
    uint32_t completed;
    double rate;
    double hold_time;
};

/** MvFairQueue_GetMember() - Queue of a member in a class, created when
 * needed. */
member_queue_t *MvFairQueue_GetMember(mv_dispatcher_t *dispatcher,
                                      work_queue_t *work, uint32_t member);

/** MvFairQueue_Remove() - Free a queued request and clear the promise of a
 * slot to it.
 */
void MvFairQueue_Remove(mv_dispatcher_t *dispatcher, waiter_t *waiter);

/** MvFairQueue_Urgency() - Urgency of a class, 0 first. */
uint32_t MvFairQueue_Urgency(const mv_dispatcher_t *dispatcher, size_t work);

/** MvFairQueue_CanFinish() - Whether a new request can be expected to end
 * before its deadline, @left from now. */
bool MvFairQueue_CanFinish(const mv_dispatcher_t *dispatcher, size_t work,
                           const member_queue_t *member_queue, mv_time_t left);

/** MvFairQueue_TakeNext() - Take the next request, preferably at @node or near
 * it.
 */
waiter_t *MvFairQueue_TakeNext(mv_dispatcher_t *dispatcher, mv_node_id_t node,
                               uint32_t data_centre);

/** MvFairQueue_Requeue() - Put a promised request back to the head of its
 * turn. */
void MvFairQueue_Requeue(mv_dispatcher_t *dispatcher, waiter_t *waiter);

/** MvFairQueue_Expire() - Refuse requests that can no longer finish in time.
 */
void MvFairQueue_Expire(mv_dispatcher_t *dispatcher, mv_time_t now);

/** MvDispatcher_DataCentre() - Data centre of a node, 0 when unknown. */
uint32_t MvDispatcher_DataCentre(const mv_dispatcher_t *dispatcher,
                                 mv_node_id_t node);

/** MvDispatcher_UsableSlots() - Total number of slots that may be granted. */
size_t MvDispatcher_UsableSlots(const mv_dispatcher_t *dispatcher);

/** MvDispatcher_Send() - Send a record, with the service filled in. */
void MvDispatcher_Send(mv_dispatcher_t *dispatcher, mv_node_id_t to,
                       mv_slot_record_t record);

/** MvDispatcher_Refuse() - Notify a node that its request will not be started.
 */
void MvDispatcher_Refuse(mv_dispatcher_t *dispatcher, mv_node_id_t to,
                         uint64_t request);

#endif
