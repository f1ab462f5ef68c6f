/* Weighted fair queuing of requests that wait for a slot. */
#include "dispatcher_private.h"

/* Maximum credit, in grants, that a class accumulates while it has no queued
 * requests. */
#define MAX_CREDIT 16.0
#define MAX_EARNING_FACTOR 1.05
/* Number of queue entries searched for a request that is closer to the server.
 */
#define LOOK_AHEAD 8
/* The same while more requests are queued than there are slots. */
#define BACKLOG_LOOK_AHEAD 128
#define MAX_WAITING 65536
/* Time that must remain until the deadline, as a multiple of the mean time for
 * which a slot is held. */
#define FINISH_MARGIN 8.0

static uint32_t
weight_of(const mv_dispatcher_t *dispatcher, uint32_t member)
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
    member_queue->weight = weight_of(dispatcher, member);
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
    if (waiter->promised_slot) {
        waiter->promised_slot->next = NULL;
    }
    g_hash_table_remove(dispatcher->waiters, waiter);
    if (!MvList_IsEmpty(&waiter->link)) {
        MvList_Remove(&waiter->link);
        member_queue->waiting--;
        member_queue->work->waiting--;
        dispatcher->waiting--;
    }
    else {
        dispatcher->assigned--;
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
share_of(const mv_dispatcher_t *dispatcher, size_t work)
{
    return work < dispatcher->service->work_count
               ? dispatcher->service->work[work].share / 100.0
               : 0;
}

/* Rate that more urgent classes leave, at least the guaranteed share. */
static double
expected_rate(const mv_dispatcher_t *dispatcher, size_t work)
{
    double left = dispatcher->rate;
    uint32_t urgency = MvFairQueue_Urgency(dispatcher, work);
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        if (i != work && MvFairQueue_Urgency(dispatcher, i) < urgency) {
            left -= dispatcher->works[i].rate;
        }
    }
    return MAX(left, dispatcher->rate * share_of(dispatcher, work));
}

static uint32_t
active_weight(const work_queue_t *work)
{
    uint32_t sum = 0;
    MV_LIST_FOREACH(item, &work->member_queues)
    {
        const member_queue_t *member_queue =
            MV_CONTAINER_OF(item, member_queue_t, link);
        sum +=
            MvList_IsEmpty(&member_queue->waiters) ? 0 : member_queue->weight;
    }
    return sum;
}

static mv_time_t
finish_margin(const mv_dispatcher_t *dispatcher)
{
    return (mv_time_t)(dispatcher->hold_time * FINISH_MARGIN);
}

bool
MvFairQueue_CanFinish(const mv_dispatcher_t *dispatcher, size_t work,
                      const member_queue_t *member_queue, mv_time_t left)
{
    size_t ahead = member_queue->waiting;
    double rate = expected_rate(dispatcher, work);
    if (dispatcher->waiting >= MAX_WAITING) {
        return false;
    }
    if (ahead == 0 || dispatcher->rate <= 0) {
        return true;
    }
    if (rate <= 0) {
        return ahead < MvDispatcher_UsableSlots(dispatcher);
    }
    double part = (double)member_queue->weight /
                  MAX(active_weight(&dispatcher->works[work]), 1);
    double wait = (double)ahead / (rate * part) * MV_SECOND;
    return wait + (double)finish_margin(dispatcher) < (double)left;
}

/*
 * With credit for exactly its share, the queue of a class that uses its full
 * share would grow without bound due to random arrivals.  Classes therefore
 * earn up to 5% more, as far as the sum of shares permits.
 */
static double
earning_factor(const mv_dispatcher_t *dispatcher)
{
    double sum = 0;
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        sum += share_of(dispatcher, i);
    }
    return sum * MAX_EARNING_FACTOR > 1 ? MAX(1 / sum, 1) : MAX_EARNING_FACTOR;
}

static work_queue_t *
choose_work(mv_dispatcher_t *dispatcher)
{
    work_queue_t *entitled = NULL;
    work_queue_t *urgent = NULL;
    double earned = earning_factor(dispatcher);
    uint32_t entitled_urgency = UINT32_MAX;
    uint32_t urgent_urgency = UINT32_MAX;
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        work_queue_t *work = &dispatcher->works[i];
        work->credit =
            MIN(work->credit + earned * share_of(dispatcher, i), MAX_CREDIT);
        if (work->waiting == 0) {
            continue;
        }
        uint32_t urgency = MvFairQueue_Urgency(dispatcher, i);
        if (work->credit >= 1 && urgency < entitled_urgency) {
            entitled = work;
            entitled_urgency = urgency;
        }
        if (urgency < urgent_urgency) {
            urgent = work;
            urgent_urgency = urgency;
        }
    }
    work_queue_t *chosen = entitled ? entitled : urgent;
    if (chosen) {
        chosen->credit = MAX(chosen->credit - 1, 0);
    }
    return chosen;
}

static member_queue_t *
choose_turn(work_queue_t *work)
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
 * Chooses the first request of the queue, or one close behind it that needs
 * less network travel: at the slot's node, when that is in the server's data
 * centre; else one in the server's data centre, so that slots come to be held
 * by local nodes; else one at the slot's node.
 */
static waiter_t *
choose_waiter(const mv_dispatcher_t *dispatcher, member_queue_t *member_queue,
              mv_node_id_t node, uint32_t data_centre)
{
    bool has_backlog = node != MV_NO_NODE;
    unsigned look_ahead = has_backlog ? BACKLOG_LOOK_AHEAD : LOOK_AHEAD;
    bool is_near = has_backlog &&
                   MvDispatcher_DataCentre(dispatcher, node) == data_centre;
    waiter_t *near = NULL;
    waiter_t *same = NULL;
    MV_LIST_FOREACH(item, &member_queue->waiters)
    {
        waiter_t *waiter = MV_CONTAINER_OF(item, waiter_t, link);
        bool close =
            MvDispatcher_DataCentre(dispatcher, waiter->node) == data_centre;
        near = near || !close ? near : waiter;
        same = same || waiter->node != node ? same : waiter;
        if ((is_near ? same : near) || --look_ahead == 0) {
            break;
        }
    }
    if (is_near && same) {
        return same;
    }
    waiter_t *first =
        MV_CONTAINER_OF(member_queue->waiters.next, waiter_t, link);
    return near ? near : same ? same : first;
}

waiter_t *
MvFairQueue_TakeNext(mv_dispatcher_t *dispatcher, mv_node_id_t node,
                     uint32_t data_centre)
{
    work_queue_t *work = choose_work(dispatcher);
    if (!work) {
        return NULL;
    }
    member_queue_t *member_queue = choose_turn(work);
    waiter_t *waiter =
        choose_waiter(dispatcher, member_queue, node, data_centre);
    work->virtual_time = MAX(work->virtual_time, member_queue->virtual_time);
    member_queue->virtual_time += 1.0 / member_queue->weight;
    work->granted++;
    MvList_Remove(&waiter->link);
    member_queue->waiting--;
    work->waiting--;
    dispatcher->waiting--;
    dispatcher->assigned++;
    return waiter;
}

void
MvFairQueue_Requeue(mv_dispatcher_t *dispatcher, waiter_t *waiter)
{
    waiter->promised_slot->next = NULL;
    waiter->promised_slot = NULL;
    MvList_InsertBefore(waiter->member_queue->waiters.next, &waiter->link);
    waiter->member_queue->waiting++;
    waiter->member_queue->work->waiting++;
    dispatcher->waiting++;
    dispatcher->assigned--;
}

void
MvFairQueue_Expire(mv_dispatcher_t *dispatcher, mv_time_t now)
{
    /* Without a backlog, requests with little time left may still start. */
    mv_time_t margin =
        dispatcher->waiting > MvDispatcher_UsableSlots(dispatcher)
            ? finish_margin(dispatcher)
            : 0;
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        if (dispatcher->works[i].waiting == 0) {
            continue;
        }
        MV_LIST_FOREACH(one, &dispatcher->works[i].member_queues)
        {
            member_queue_t *member_queue =
                MV_CONTAINER_OF(one, member_queue_t, link);
            /* Oldest first; deadlines of one member mostly increase. */
            while (!MvList_IsEmpty(&member_queue->waiters)) {
                waiter_t *waiter = MV_CONTAINER_OF(member_queue->waiters.next,
                                                   waiter_t, link);
                bool last = waiter->link.next == &member_queue->waiters;
                if (now + margin < waiter->deadline) {
                    break;
                }
                MvDispatcher_Refuse(dispatcher, waiter->node, waiter->request);
                MvFairQueue_Remove(dispatcher, waiter);
                if (last) {
                    break; /* The member queue may have been freed. */
                }
            }
        }
    }
}
