/* Weighted fair queuing of requests that wait for a slot. */
#include "dispatcher_private.h"

/* Maximum credit, in grants, that a class accumulates while it has no queued
 * requests. */
#define MAX_CREDIT 16.0
/* See earning_factor(). */
#define MAX_EARNING_FACTOR 1.05
/* Number of queued requests of a member that are searched for one in the data
 * centre of the server. */
#define LOOK_AHEAD 8
/* Number searched while more requests are queued than there are slots. */
#define BACKLOG_LOOK_AHEAD 128
#define MAX_QUEUED_REQUESTS 65536
/* Time that must remain until the deadline when a request starts, as a
 * multiple of the mean time for which a slot is held. */
#define FINISH_MARGIN 8.0

static uint32_t
member_weight(const mv_dispatcher_t *dispatcher, uint32_t member)
{
    const mv_deployment_t *deployment = dispatcher->deployment;
    for (uint16_t i = 0; i < deployment->member_count; i++) {
        if (g_str_hash(deployment->members[i].name) == member) {
            return MAX(deployment->members[i].weight, 1);
        }
    }
    return 1;
}

member_queue_t *
MvFairQueue_GetMember(mv_dispatcher_t *dispatcher, work_queue_t *work,
                      uint32_t member)
{
    gpointer key = GUINT_TO_POINTER(member);
    member_queue_t *member_queue = g_hash_table_lookup(work->by_member, key);
    if (member_queue) {
        return member_queue;
    }
    member_queue = g_new0(member_queue_t, 1);
    member_queue->member = member;
    member_queue->weight = member_weight(dispatcher, member);
    member_queue->work = work;
    member_queue->virtual_time = work->virtual_time;
    MvList_Init(&member_queue->waiters);
    MvList_Append(&work->member_queues, &member_queue->link);
    g_hash_table_insert(work->by_member, key, member_queue);
    return member_queue;
}

void
MvFairQueue_Remove(mv_dispatcher_t *dispatcher, waiter_t *waiter)
{
    member_queue_t *member_queue = waiter->member_queue;
    if (waiter->reserved_slot) {
        waiter->reserved_slot->next_waiter = NULL;
    }
    g_hash_table_remove(dispatcher->waiters, waiter);
    if (!MvList_IsEmpty(&waiter->link)) {
        MvList_Remove(&waiter->link);
        member_queue->waiting--;
        member_queue->work->waiting--;
        dispatcher->waiting--;
    }
    else {
        dispatcher->reserved_count--;
    }
    g_free(waiter);
    member_queue->references--;
    if (member_queue->references == 0) {
        MvList_Remove(&member_queue->link);
        g_hash_table_remove(member_queue->work->by_member,
                            GUINT_TO_POINTER(member_queue->member));
        g_free(member_queue);
    }
}

uint32_t
MvFairQueue_Urgency(const mv_dispatcher_t *dispatcher, size_t work)
{
    return work < dispatcher->service->work_count
               ? dispatcher->service->work[work].urgency
               : UINT8_MAX;
}

static double
guaranteed_share(const mv_dispatcher_t *dispatcher, size_t work)
{
    return work < dispatcher->service->work_count
               ? dispatcher->service->work[work].share / 100.0
               : 0;
}

/* Requests per second that class @work can expect: what more urgent classes
 * leave, at least its guaranteed share. */
static double
expected_rate(const mv_dispatcher_t *dispatcher, size_t work)
{
    double rate_left = dispatcher->rate;
    uint32_t urgency = MvFairQueue_Urgency(dispatcher, work);
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        if (i != work && MvFairQueue_Urgency(dispatcher, i) < urgency) {
            rate_left -= dispatcher->works[i].rate;
        }
    }
    return MAX(rate_left,
               dispatcher->rate * guaranteed_share(dispatcher, work));
}

/* Sum of the weights of members that have queued requests. */
static uint32_t
active_weight(const work_queue_t *work)
{
    uint32_t total_weight = 0;
    MV_LIST_FOREACH(item, &work->member_queues)
    {
        const member_queue_t *member_queue =
            MV_CONTAINER_OF(item, member_queue_t, link);
        total_weight +=
            MvList_IsEmpty(&member_queue->waiters) ? 0 : member_queue->weight;
    }
    return total_weight;
}

static mv_time_t
finish_margin(const mv_dispatcher_t *dispatcher)
{
    return (mv_time_t)(dispatcher->hold_time * FINISH_MARGIN);
}

bool
MvFairQueue_CanFinish(const mv_dispatcher_t *dispatcher, size_t work,
                      const member_queue_t *member_queue, mv_time_t time_left)
{
    size_t requests_ahead = member_queue->waiting;
    double rate = expected_rate(dispatcher, work);
    if (dispatcher->waiting >= MAX_QUEUED_REQUESTS) {
        return false;
    }
    if (requests_ahead == 0 || dispatcher->rate <= 0) {
        return true;
    }
    if (rate <= 0) {
        return requests_ahead < MvDispatcher_UsableSlots(dispatcher);
    }
    double weight_share = (double)member_queue->weight /
                          MAX(active_weight(&dispatcher->works[work]), 1);
    double wait_time =
        (double)requests_ahead / (rate * weight_share) * MV_SECOND;
    return wait_time + (double)finish_margin(dispatcher) < (double)time_left;
}

/*
 * If a class earned credit for exactly its share, its queue would grow without
 * bound when requests arrive at that rate at random times.  Classes therefore
 * earn up to 5% more, as far as the sum of shares permits.
 */
static double
earning_factor(const mv_dispatcher_t *dispatcher)
{
    double sum = 0;
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        sum += guaranteed_share(dispatcher, i);
    }
    return sum * MAX_EARNING_FACTOR > 1 ? MAX(1 / sum, 1) : MAX_EARNING_FACTOR;
}

/* Chooses the most urgent class with credit for a grant, else the most urgent
 * class with queued requests. */
static work_queue_t *
choose_work(mv_dispatcher_t *dispatcher)
{
    work_queue_t *entitled = NULL;
    work_queue_t *most_urgent = NULL;
    double factor = earning_factor(dispatcher);
    uint32_t entitled_urgency = UINT32_MAX;
    uint32_t top_urgency = UINT32_MAX;
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        work_queue_t *work = &dispatcher->works[i];
        work->credit =
            MIN(work->credit + factor * guaranteed_share(dispatcher, i),
                MAX_CREDIT);
        if (work->waiting == 0) {
            continue;
        }
        uint32_t urgency = MvFairQueue_Urgency(dispatcher, i);
        if (work->credit >= 1 && urgency < entitled_urgency) {
            entitled = work;
            entitled_urgency = urgency;
        }
        if (urgency < top_urgency) {
            most_urgent = work;
            top_urgency = urgency;
        }
    }
    work_queue_t *chosen = entitled ? entitled : most_urgent;
    if (chosen) {
        chosen->credit = MAX(chosen->credit - 1, 0);
    }
    return chosen;
}

/* Chooses the member with the lowest virtual time among those with queued
 * requests. */
static member_queue_t *
choose_member(work_queue_t *work)
{
    member_queue_t *best = NULL;
    MV_LIST_FOREACH(item, &work->member_queues)
    {
        member_queue_t *member_queue =
            MV_CONTAINER_OF(item, member_queue_t, link);
        if (!MvList_IsEmpty(&member_queue->waiters) &&
            (!best || member_queue->virtual_time < best->virtual_time)) {
            best = member_queue;
        }
    }
    return best;
}

/*
 * Chooses among the first requests of the queue, to save network round trips
 * between data centres: one at @node, the holder of the slot, if @node is in
 * the server's data centre; else one of a node in the server's data centre, so
 * that slots move to nodes near the server; else one at @node; else the first.
 */
static waiter_t *
choose_waiter(const mv_dispatcher_t *dispatcher, member_queue_t *member_queue,
              mv_node_id_t node, uint32_t data_centre)
{
    bool has_backlog = node != MV_NO_NODE;
    unsigned look_ahead = has_backlog ? BACKLOG_LOOK_AHEAD : LOOK_AHEAD;
    bool node_is_local = has_backlog && MvDispatcher_DataCentre(
                                            dispatcher, node) == data_centre;
    waiter_t *in_data_centre = NULL;
    waiter_t *at_node = NULL;
    MV_LIST_FOREACH(item, &member_queue->waiters)
    {
        waiter_t *waiter = MV_CONTAINER_OF(item, waiter_t, link);
        bool is_local =
            MvDispatcher_DataCentre(dispatcher, waiter->node) == data_centre;
        in_data_centre = in_data_centre || !is_local ? in_data_centre : waiter;
        at_node = at_node || waiter->node != node ? at_node : waiter;
        if ((node_is_local ? at_node : in_data_centre) || --look_ahead == 0) {
            break;
        }
    }
    if (node_is_local && at_node) {
        return at_node;
    }
    waiter_t *first =
        MV_CONTAINER_OF(member_queue->waiters.next, waiter_t, link);
    return in_data_centre ? in_data_centre : at_node ? at_node : first;
}

waiter_t *
MvFairQueue_TakeNext(mv_dispatcher_t *dispatcher, mv_node_id_t node,
                     uint32_t data_centre)
{
    work_queue_t *work = choose_work(dispatcher);
    if (!work) {
        return NULL;
    }
    member_queue_t *member_queue = choose_member(work);
    waiter_t *waiter =
        choose_waiter(dispatcher, member_queue, node, data_centre);
    work->virtual_time = MAX(work->virtual_time, member_queue->virtual_time);
    member_queue->virtual_time += 1.0 / member_queue->weight;
    work->granted++;
    MvList_Remove(&waiter->link);
    member_queue->waiting--;
    work->waiting--;
    dispatcher->waiting--;
    dispatcher->reserved_count++;
    return waiter;
}

void
MvFairQueue_Requeue(mv_dispatcher_t *dispatcher, waiter_t *waiter)
{
    waiter->reserved_slot->next_waiter = NULL;
    waiter->reserved_slot = NULL;
    MvList_InsertBefore(waiter->member_queue->waiters.next, &waiter->link);
    waiter->member_queue->waiting++;
    waiter->member_queue->work->waiting++;
    dispatcher->waiting++;
    dispatcher->reserved_count--;
}

void
MvFairQueue_Expire(mv_dispatcher_t *dispatcher, mv_time_t now)
{
    /* Without a backlog, a request may start until its deadline. */
    mv_time_t margin =
        dispatcher->waiting > MvDispatcher_UsableSlots(dispatcher)
            ? finish_margin(dispatcher)
            : 0;
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        if (dispatcher->works[i].waiting == 0) {
            continue;
        }
        MV_LIST_FOREACH(item, &dispatcher->works[i].member_queues)
        {
            member_queue_t *member_queue =
                MV_CONTAINER_OF(item, member_queue_t, link);
            /* Only the oldest request of a member is checked, as later ones
             * mostly have later deadlines. */
            while (!MvList_IsEmpty(&member_queue->waiters)) {
                waiter_t *waiter = MV_CONTAINER_OF(member_queue->waiters.next,
                                                   waiter_t, link);
                bool is_last = waiter->link.next == &member_queue->waiters;
                if (now + margin < waiter->deadline) {
                    break;
                }
                MvDispatcher_Refuse(dispatcher, waiter->node, waiter->request);
                MvFairQueue_Remove(dispatcher, waiter);
                if (is_last) {
                    break; /* The member queue may have been freed. */
                }
            }
        }
    }
}
