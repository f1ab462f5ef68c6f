/**
 * DOC: Shared declarations of the dispatcher.
 *
 * fair_queue.c  queued requests and their order
 * dispatcher.c  slots: granting, reserving for queued requests, reclaiming
 *
 * A busy slot may be reserved for a queued request: the holder then hands it
 * off to that request without a round trip to the owner.
 */
#ifndef MV_CORE_DISPATCHER_PRIVATE_H
#define MV_CORE_DISPATCHER_PRIVATE_H

#include "dispatcher.h"

typedef struct slot slot_t;

/**
 * struct waiter - A queued request.
 * @link: entry in its member queue, empty while a slot is reserved for it
 * @node: node that received the request
 * @request: id of the request at @node
 * @member_queue: queue of its member
 * @reserved_slot: busy slot that it receives next, or NULL
 * @deadline: deadline of the request
 * @since: time at which it was queued
 */
typedef struct waiter {
    mv_list_t link;
    mv_node_id_t node;
    uint64_t request;
    struct member_queue *member_queue;
    struct slot *reserved_slot;
    mv_time_t deadline;
    mv_time_t since;
} waiter_t;

/**
 * struct member_queue - Queue of one member within one class of work.
 * @link: entry in the list of the class
 * @waiters: queued requests, oldest first
 * @member: hash of the member's name
 * @weight: relative share of the member
 * @references: waiters that refer to it, including those that a slot is
 *     reserved for
 * @waiting: length of @waiters
 * @virtual_time: 1 / @weight is added per grant; the lowest is served first
 * @work: its class
 */
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

/**
 * struct work_queue - Queue of one class of work.
 * @member_queues: queues of members
 * @by_member: the same queues by member hash
 * @credit: grants that the guaranteed share of the class entitles it to
 * @virtual_time: highest virtual time at which a member was served
 * @rate: average of grants per second
 * @granted: grants since @rate was updated
 * @waiting: queued requests of all members
 */
typedef struct work_queue {
    mv_list_t member_queues;
    GHashTable *by_member;
    double credit;
    double virtual_time;
    double rate;
    uint32_t granted;
    size_t waiting;
} work_queue_t;

/**
 * struct slot - A slot in use.
 * @link: entry in the list of its server
 * @number: slot number, unique at this owner
 * @node: node that holds it
 * @request: id of the request that uses it at @node
 * @since: time at which @request received it
 * @free_at: time at which it is reclaimed, 0 for none
 * @missing_since: time from which it was missing from the reports of @node, 0
 *     while it is reported
 * @reported: listed in the report that @node is sending
 * @next_waiter: queued request that it is reserved for, or NULL
 */
struct slot {
    mv_list_t link;
    uint32_t number;
    mv_node_id_t node;
    uint64_t request;
    mv_time_t since;
    mv_time_t free_at;
    mv_time_t missing_since;
    bool reported;
    waiter_t *next_waiter;
};

/**
 * struct server - Slots of one backend server.
 * @id: endpoint id
 * @slots: configured number of slots
 * @limit: number of slots that may be granted now
 * @in_use: length of @used_slots
 * @leaving: gets no new requests
 * @seen: not used
 * @data_centre: hash of the name of its data centre
 * @utilization: moving average of @in_use / @slots
 * @utilization_since: time at which @utilization was updated
 * @next_ramp: time at which @limit is next raised by one
 * @suspended_until: no slot is granted before this time
 * @suspension: length of the last suspension, 0 after a success
 * @used_slots: slots in use
 */
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
    mv_list_t used_slots;
} server_t;

/**
 * struct mv_dispatcher - Request queue of one service.
 * @id: service id
 * @ops: callbacks
 * @context: passed to the callbacks
 * @service: configuration of the service; borrowed
 * @deployment: configuration in force; borrowed
 * @servers: array of @server_count entries; leaving ones are kept
 * @works: one queue per class of work, and a last one for requests that match
 *     no class
 * @work_count: entries in @works
 * @waiters: all queued requests, by node and request id
 * @data_centres: hash of the data centre's name, by node id
 * @waiting: queued requests that no slot is reserved for
 * @reserved_count: queued requests that a slot is reserved for
 * @in_use: slots in use at all servers
 * @last_number: last slot number assigned
 * @open: slots may be granted
 * @unknown_until: no slot is granted before this time
 * @next_hint: time at which hints are sent next
 * @hinted: not used
 * @rate_since: time at which the rates were updated
 * @completed: runs completed since then
 * @rate: average of completed runs per second, not lowered while no request is
 *     queued
 * @hold_time: average time for which a slot is held, in microseconds
 */
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
    size_t reserved_count;
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

/**
 * MvFairQueue_GetMember() - Queue of a member in a class, created when
 * needed.
 */
member_queue_t *MvFairQueue_GetMember(mv_dispatcher_t *dispatcher,
                                      work_queue_t *work, uint32_t member);

/**
 * MvFairQueue_Remove() - Free a queued request and cancel the reservation of
 * a slot for it.
 */
void MvFairQueue_Remove(mv_dispatcher_t *dispatcher, waiter_t *waiter);

/** MvFairQueue_Urgency() - Urgency of class @work, 0 is the most urgent. */
uint32_t MvFairQueue_Urgency(const mv_dispatcher_t *dispatcher, size_t work);

/**
 * MvFairQueue_CanFinish() - Whether a new request can be expected to end
 * before its deadline, which is @time_left microseconds from now; false also
 * when the queue of the service is full.
 */
bool MvFairQueue_CanFinish(const mv_dispatcher_t *dispatcher, size_t work,
                           const member_queue_t *member_queue,
                           mv_time_t time_left);

/**
 * MvFairQueue_TakeNext() - Take the next request by policy off its queue.
 * @node: node that holds the busy slot to reserve; MV_NO_NODE for a free slot
 * @data_centre: data centre of the slot's server
 *
 * Among the first requests, one at @node or in @data_centre is preferred.
 *
 * Return: the request, now counted in &mv_dispatcher.reserved_count; NULL when
 * none is queued.
 */
waiter_t *MvFairQueue_TakeNext(mv_dispatcher_t *dispatcher, mv_node_id_t node,
                               uint32_t data_centre);

/**
 * MvFairQueue_Requeue() - Cancel the reservation of a slot for a request and
 * return the request to the head of its member's queue.
 */
void MvFairQueue_Requeue(mv_dispatcher_t *dispatcher, waiter_t *waiter);

/**
 * MvFairQueue_Expire() - Refuse queued requests that can no longer finish
 * before their deadline.
 */
void MvFairQueue_Expire(mv_dispatcher_t *dispatcher, mv_time_t now);

/** MvDispatcher_DataCentre() - Data centre of a node, 0 when unknown. */
uint32_t MvDispatcher_DataCentre(const mv_dispatcher_t *dispatcher,
                                 mv_node_id_t node);

/**
 * MvDispatcher_UsableSlots() - Number of slots that may be granted at all
 * servers that are not leaving, including those in use.
 */
size_t MvDispatcher_UsableSlots(const mv_dispatcher_t *dispatcher);

/** MvDispatcher_Send() - Send a record, with the service filled in. */
void MvDispatcher_Send(mv_dispatcher_t *dispatcher, mv_node_id_t to,
                       mv_slot_record_t record);

/**
 * MvDispatcher_Refuse() - Notify a node that its request will not be started.
 */
void MvDispatcher_Refuse(mv_dispatcher_t *dispatcher, mv_node_id_t to,
                         uint64_t request);

#endif
