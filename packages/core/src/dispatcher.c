/* Slots of one service at their owner: granting and reclaiming. */
#include "dispatcher_private.h"

#define HINT_INTERVAL (100 * MV_MILLISECOND)
/* The slot limit of a server is raised by one per interval. */
#define RAMP_INTERVAL (500 * MV_MILLISECOND)
/* A server is suspended after a failed run, for twice the time after each
 * further failure. */
#define FIRST_SUSPENSION (500 * MV_MILLISECOND)
#define MAX_SUSPENSION (8 * MV_SECOND)
/* Time until the slots of a lost node become free, as its requests may still
 * run. */
#define LOST_NODE_HOLD (2 * MV_SECOND)
/* Time after which a slot that its node no longer reports is reclaimed. */
#define MISSING_SLOT_HOLD (2 * MV_SECOND)
/* Averaging period of server utilization. */
#define UTILIZATION_WINDOW (10 * MV_SECOND)
/* Added to the score of a server in another data centre.  At equal use, a
 * server in the same data centre is preferred unless its average utilization
 * is higher by more than this. */
#define REMOTE_SERVER_PENALTY 0.02
/* Averaging period of the rates of grants and completed runs. */
#define RATE_WINDOW (1 * MV_SECOND)
/* Weight of a run in the average time for which a slot is held. */
#define HOLD_TIME_WEIGHT 0.02

static guint
waiter_hash(gconstpointer pointer)
{
    const waiter_t *waiter = pointer;
    return (guint)(waiter->request * 2654435761u) ^ waiter->node;
}

static gboolean
waiter_equal(gconstpointer a, gconstpointer b)
{
    const waiter_t *first = a;
    const waiter_t *second = b;
    return first->node == second->node && first->request == second->request;
}

uint32_t
MvDispatcher_DataCentre(const mv_dispatcher_t *dispatcher, mv_node_id_t node)
{
    return GPOINTER_TO_UINT(
        g_hash_table_lookup(dispatcher->data_centres, GUINT_TO_POINTER(node)));
}

size_t
MvDispatcher_UsableSlots(const mv_dispatcher_t *dispatcher)
{
    size_t slots = 0;
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        const server_t *server = &dispatcher->servers[i];
        slots += server->leaving ? 0 : server->limit;
    }
    return slots;
}

void
MvDispatcher_Send(mv_dispatcher_t *dispatcher, mv_node_id_t to,
                  mv_slot_record_t record)
{
    record.service = dispatcher->id;
    dispatcher->ops->send(dispatcher->context, to, &record);
}

void
MvDispatcher_Refuse(mv_dispatcher_t *dispatcher, mv_node_id_t to,
                    uint64_t request)
{
    MvDispatcher_Send(
        dispatcher, to,
        (mv_slot_record_t){.op = MV_SLOT_REFUSE, .request = request});
}

static server_t *
find_server(mv_dispatcher_t *dispatcher, uint32_t id)
{
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        if (dispatcher->servers[i].id == id) {
            return &dispatcher->servers[i];
        }
    }
    return NULL;
}

static slot_t *
find_slot(server_t *server, uint32_t number)
{
    MV_LIST_FOREACH(item, &server->used_slots)
    {
        slot_t *slot = MV_CONTAINER_OF(item, slot_t, link);
        if (slot->number == number) {
            return slot;
        }
    }
    return NULL;
}

/* Creation and configuration */

mv_dispatcher_t *
MvDispatcher_Create(uint16_t service, uint32_t last_number,
                    const mv_dispatcher_ops_t *ops, void *context)
{
    mv_dispatcher_t *dispatcher = g_new0(mv_dispatcher_t, 1);
    dispatcher->id = service;
    dispatcher->last_number = last_number;
    dispatcher->ops = ops;
    dispatcher->context = context;
    dispatcher->waiters = g_hash_table_new(waiter_hash, waiter_equal);
    dispatcher->data_centres = g_hash_table_new(g_direct_hash, g_direct_equal);
    dispatcher->hinted = UINT32_MAX;
    return dispatcher;
}

static void
free_list(mv_list_t *list, size_t offset)
{
    MV_LIST_FOREACH(item, list)
    {
        g_free((char *)item - offset);
    }
}

void
MvDispatcher_Destroy(mv_dispatcher_t *dispatcher)
{
    if (!dispatcher) {
        return;
    }
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        work_queue_t *work = &dispatcher->works[i];
        free_list(&work->member_queues, offsetof(member_queue_t, link));
        g_hash_table_unref(work->by_member);
    }
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        free_list(&dispatcher->servers[i].used_slots, offsetof(slot_t, link));
    }
    GList *waiters = g_hash_table_get_keys(dispatcher->waiters);
    g_list_free_full(waiters, g_free);
    g_hash_table_unref(dispatcher->waiters);
    g_hash_table_unref(dispatcher->data_centres);
    g_free(dispatcher->servers);
    g_free(dispatcher->works);
    g_free(dispatcher);
}

static void
relink_neighbours(mv_list_t *moved, const mv_list_t *old)
{
    if (old->next == old) {
        MvList_Init(moved);
        return;
    }
    moved->next->prev = moved;
    moved->prev->next = moved;
}

static void
add_server(mv_dispatcher_t *dispatcher, const mv_endpoint_t *endpoint,
           mv_time_t now)
{
    size_t count = dispatcher->server_count;
    server_t *servers = g_new0(server_t, count + 1);
    for (size_t i = 0; i < count; i++) {
        servers[i] = dispatcher->servers[i];
        /* The list head is a field of the server, which was copied. */
        if (servers[i].used_slots.next == &dispatcher->servers[i].used_slots) {
            MvList_Init(&servers[i].used_slots);
        }
        else {
            relink_neighbours(&servers[i].used_slots,
                              &dispatcher->servers[i].used_slots);
        }
    }
    g_free(dispatcher->servers);
    dispatcher->servers = servers;
    server_t *server = &servers[count];
    server->id = endpoint->id;
    server->slots = endpoint->slots;
    server->data_centre = MvDataCentre_Hash(endpoint->data_centre);
    server->utilization_since = now;
    /* A server added while the queue is open starts with one slot; servers
     * known before that are assumed to be warm. */
    server->limit = dispatcher->open ? 1 : endpoint->slots;
    server->next_ramp = now + RAMP_INTERVAL;
    MvList_Init(&server->used_slots);
    dispatcher->server_count = count + 1;
}

static void
add_works(mv_dispatcher_t *dispatcher, size_t count)
{
    if (dispatcher->works) {
        return;
    }
    dispatcher->works = g_new0(work_queue_t, count);
    dispatcher->work_count = count;
    for (size_t i = 0; i < count; i++) {
        MvList_Init(&dispatcher->works[i].member_queues);
        dispatcher->works[i].by_member =
            g_hash_table_new(g_direct_hash, g_direct_equal);
    }
}

static void
update_leaving(mv_dispatcher_t *dispatcher, mv_time_t wall)
{
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        server_t *server = &dispatcher->servers[i];
        const mv_endpoint_t *endpoint =
            MvService_FindEndpoint(dispatcher->service, server->id);
        server->leaving =
            !endpoint ||
            (endpoint->leaves_at && endpoint->leaves_at * MV_SECOND <= wall);
    }
}

void
MvDispatcher_Configure(mv_dispatcher_t *dispatcher, mv_time_t now,
                       mv_time_t wall, const mv_service_t *service,
                       const mv_deployment_t *deployment)
{
    dispatcher->service = service;
    dispatcher->deployment = deployment;
    /* The additional, last class is for requests that match no configured
     * class. */
    add_works(dispatcher, service->work_count + 1u);
    for (uint16_t i = 0; i < service->endpoint_count; i++) {
        const mv_endpoint_t *endpoint = &service->endpoints[i];
        server_t *server = find_server(dispatcher, endpoint->id);
        if (!server) {
            add_server(dispatcher, endpoint, now);
        }
        else {
            server->slots = endpoint->slots;
            server->limit = MIN(server->limit, server->slots);
        }
    }
    update_leaving(dispatcher, wall);
}

void
MvDispatcher_SetNode(mv_dispatcher_t *dispatcher, mv_node_id_t node,
                     uint32_t data_centre)
{
    g_hash_table_insert(dispatcher->data_centres, GUINT_TO_POINTER(node),
                        GUINT_TO_POINTER(data_centre));
}

bool
MvDispatcher_MatchesClasses(const mv_dispatcher_t *dispatcher,
                            const mv_service_t *service)
{
    return !dispatcher->works ||
           dispatcher->work_count == service->work_count + 1u;
}

static void
handle_request(mv_dispatcher_t *dispatcher, mv_time_t now, mv_node_id_t from,
               const mv_slot_record_t *record)
{
    waiter_t probe = {.node = from, .request = record->request};
    size_t class_index = MIN(record->work, dispatcher->work_count - 1);
    mv_time_t time_left = record->remaining_ms * MV_MILLISECOND;
    if (g_hash_table_contains(dispatcher->waiters, &probe)) {
        return;
    }
    work_queue_t *work = &dispatcher->works[class_index];
    member_queue_t *member_queue =
        MvFairQueue_GetMember(dispatcher, work, record->member);
    if (!MvFairQueue_CanFinish(dispatcher, class_index, member_queue,
                               time_left)) {
        MvDispatcher_Refuse(dispatcher, from, record->request);
        return;
    }
    waiter_t *waiter = g_new0(waiter_t, 1);
    *waiter = (waiter_t){.node = from,
                         .request = record->request,
                         .member_queue = member_queue,
                         .deadline = now + time_left,
                         .since = now};
    if (MvList_IsEmpty(&waiter->member_queue->waiters) &&
        waiter->member_queue->virtual_time < work->virtual_time) {
        waiter->member_queue->virtual_time = work->virtual_time;
    }
    member_queue->references++;
    member_queue->waiting++;
    MvList_Append(&waiter->member_queue->waiters, &waiter->link);
    g_hash_table_add(dispatcher->waiters, waiter);
    work->waiting++;
    dispatcher->waiting++;
}

/* Slots */

static void
update_utilization(server_t *server, mv_time_t now)
{
    double elapsed = (double)(now - server->utilization_since);
    double weight = MIN(elapsed / UTILIZATION_WINDOW, 1.0);
    double used_share = (double)server->in_use / server->slots;
    server->utilization += weight * (used_share - server->utilization);
    server->utilization_since = now;
}

/* Lower is better: the share of slots in use counts most, then average
 * utilization, then the data centre. */
static double
server_score(const server_t *server, uint32_t data_centre)
{
    double used_share = (double)server->in_use / server->slots;
    double penalty =
        server->data_centre == data_centre ? 0 : REMOTE_SERVER_PENALTY;
    return 2 * used_share + server->utilization + penalty;
}

static server_t *
choose_server(mv_dispatcher_t *dispatcher, mv_time_t now, uint32_t data_centre)
{
    server_t *best = NULL;
    double best_score = 0;
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        server_t *server = &dispatcher->servers[i];
        if (server->leaving || server->in_use >= server->limit ||
            server->suspended_until > now) {
            continue;
        }
        update_utilization(server, now);
        double score = server_score(server, data_centre);
        if (!best || score < best_score) {
            best = server;
            best_score = score;
        }
    }
    return best;
}

static void
add_slot(mv_dispatcher_t *dispatcher, server_t *server, mv_node_id_t node,
         uint64_t request, uint32_t number, mv_time_t now)
{
    slot_t *slot = g_new0(slot_t, 1);
    slot->number = number;
    slot->node = node;
    slot->request = request;
    slot->since = now;
    update_utilization(server, now);
    MvList_Append(&server->used_slots, &slot->link);
    server->in_use++;
    dispatcher->in_use++;
}

static void
drop_slot(mv_dispatcher_t *dispatcher, server_t *server, slot_t *slot,
          mv_time_t now)
{
    update_utilization(server, now);
    MvList_Remove(&slot->link);
    g_free(slot);
    server->in_use--;
    dispatcher->in_use--;
}

static void
grant_to(mv_dispatcher_t *dispatcher, mv_time_t now, server_t *server,
         waiter_t *waiter)
{
    uint32_t number = ++dispatcher->last_number;
    MvDispatcher_Send(dispatcher, waiter->node,
                      (mv_slot_record_t){.op = MV_SLOT_GRANT,
                                         .request = waiter->request,
                                         .slot = number,
                                         .endpoint = server->id});
    add_slot(dispatcher, server, waiter->node, waiter->request, number, now);
    MvFairQueue_Remove(dispatcher, waiter);
}

/* While more requests are queued than there are usable slots, reserves each
 * busy slot for a queued request, so that the slot is not idle for a network
 * round trip.  With a shorter queue, requests are bound to slots only when a
 * slot is free. */
static void
reserve_busy_slots(mv_dispatcher_t *dispatcher)
{
    size_t slots = MvDispatcher_UsableSlots(dispatcher);
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        server_t *server = &dispatcher->servers[i];
        if (server->leaving || server->in_use > server->limit) {
            continue;
        }
        MV_LIST_FOREACH(item, &server->used_slots)
        {
            slot_t *slot = MV_CONTAINER_OF(item, slot_t, link);
            if (slot->next_waiter || slot->free_at) {
                continue;
            }
            if (dispatcher->waiting <= slots) {
                return;
            }
            slot->next_waiter = MvFairQueue_TakeNext(dispatcher, slot->node,
                                                     server->data_centre);
            slot->next_waiter->reserved_slot = slot;
            MvDispatcher_Send(
                dispatcher, slot->node,
                (mv_slot_record_t){.op = MV_SLOT_NEXT,
                                   .request = slot->request,
                                   .slot = slot->number,
                                   .other = slot->next_waiter->request,
                                   .node = slot->next_waiter->node,
                                   .endpoint = server->id});
        }
    }
}

static void
grant(mv_dispatcher_t *dispatcher, mv_time_t now)
{
    if (!dispatcher->open || now < dispatcher->unknown_until) {
        return;
    }
    while (dispatcher->waiting > 0) {
        server_t *server = choose_server(dispatcher, now, 0);
        if (!server) {
            break;
        }
        waiter_t *waiter =
            MvFairQueue_TakeNext(dispatcher, MV_NO_NODE, server->data_centre);
        /* Choose again, as a server near the request's node is preferred. */
        uint32_t data_centre =
            MvDispatcher_DataCentre(dispatcher, waiter->node);
        grant_to(dispatcher, now, choose_server(dispatcher, now, data_centre),
                 waiter);
    }
    if (dispatcher->waiting > 0) {
        reserve_busy_slots(dispatcher);
    }
}

static void
record_completion(mv_dispatcher_t *dispatcher, server_t *server,
                  const slot_t *slot, mv_time_t now)
{
    double hold_time = (double)(now - slot->since);
    dispatcher->completed++;
    dispatcher->hold_time +=
        HOLD_TIME_WEIGHT * (hold_time - dispatcher->hold_time);
    server->suspension = 0;
}

/*
 * Returns the slot that @record from @from refers to, or NULL when another
 * request holds it by now.  The record of the next holder may arrive before
 * the record of the handoff; the handoff is then completed here.
 */
static slot_t *
resolve_slot(mv_dispatcher_t *dispatcher, mv_time_t now, server_t *server,
             mv_node_id_t from, const mv_slot_record_t *record)
{
    slot_t *slot = server ? find_slot(server, record->slot) : NULL;
    if (!slot || (slot->node == from && slot->request == record->request)) {
        return slot;
    }
    waiter_t *next = slot->next_waiter;
    if (!next || next->node != from || next->request != record->request) {
        return NULL;
    }
    record_completion(dispatcher, server, slot, now);
    MvFairQueue_Remove(dispatcher, next);
    slot->node = from;
    slot->request = record->request;
    slot->since = now;
    slot->missing_since = 0;
    return slot;
}

static void
record_failure(server_t *server, uint32_t run_result, mv_time_t now)
{
    if (run_result == MV_RETURN_SHED) {
        server->limit = MAX(server->in_use, 1);
        server->next_ramp = now + RAMP_INTERVAL;
    }
    if (run_result == MV_RETURN_FAILED) {
        server->suspension = server->suspension
                                 ? MIN(2 * server->suspension, MAX_SUSPENSION)
                                 : FIRST_SUSPENSION;
        server->suspended_until = now + server->suspension;
        server->limit = 1;
        server->next_ramp = server->suspended_until + RAMP_INTERVAL;
    }
}

static void
handle_return(mv_dispatcher_t *dispatcher, mv_time_t now, mv_node_id_t from,
              const mv_slot_record_t *record)
{
    server_t *server = find_server(dispatcher, record->endpoint);
    slot_t *slot = resolve_slot(dispatcher, now, server, from, record);
    if (!slot) {
        return;
    }
    waiter_t *next = slot->next_waiter;
    if (next) {
        MvFairQueue_Requeue(dispatcher, next);
    }
    if (record->remaining_ms == MV_RETURN_SUCCESS) {
        record_completion(dispatcher, server, slot, now);
    }
    drop_slot(dispatcher, server, slot, now);
    record_failure(server, record->remaining_ms, now);
}

/* The holder of a slot handed it off from @record->request to
 * @record->other. */
static void
handle_handoff(mv_dispatcher_t *dispatcher, mv_time_t now, mv_node_id_t from,
               const mv_slot_record_t *record)
{
    server_t *server = find_server(dispatcher, record->endpoint);
    slot_t *slot = resolve_slot(dispatcher, now, server, from, record);
    mv_node_id_t to =
        record->op == MV_SLOT_PASSED ? (mv_node_id_t)record->node : from;
    waiter_t probe = {.node = to, .request = record->other};
    waiter_t *waiter = g_hash_table_lookup(dispatcher->waiters, &probe);
    if (!slot) {
        return;
    }
    record_completion(dispatcher, server, slot, now);
    if (slot->next_waiter && slot->next_waiter != waiter) {
        MvFairQueue_Requeue(dispatcher, slot->next_waiter);
    }
    slot->node = to;
    slot->request = record->other;
    slot->since = now;
    slot->missing_since = 0;
    if (waiter) {
        if (!MvList_IsEmpty(&waiter->link)) {
            waiter->member_queue->virtual_time +=
                1.0 / waiter->member_queue->weight;
            waiter->member_queue->work->granted++;
        }
        MvFairQueue_Remove(dispatcher, waiter);
    }
}

static void
handle_withdraw(mv_dispatcher_t *dispatcher, mv_node_id_t from,
                const mv_slot_record_t *record)
{
    waiter_t probe = {.node = from, .request = record->request};
    waiter_t *waiter = g_hash_table_lookup(dispatcher->waiters, &probe);
    /* If a slot is reserved for the request, its node returns the slot at the
     * handoff. */
    if (waiter && !MvList_IsEmpty(&waiter->link)) {
        MvFairQueue_Remove(dispatcher, waiter);
    }
}

/* Reconciliation with the slots that nodes report */

static void
handle_holding(mv_dispatcher_t *dispatcher, mv_time_t now, mv_node_id_t from,
               const mv_slot_record_t *record)
{
    server_t *server = find_server(dispatcher, record->endpoint);
    if (!server) {
        return;
    }
    slot_t *slot = find_slot(server, record->slot);
    if (!slot) {
        add_slot(dispatcher, server, from, record->request, record->slot, now);
        slot = find_slot(server, record->slot);
    }
    slot->reported = true;
}

static void
handle_holdings_end(mv_dispatcher_t *dispatcher, mv_time_t now,
                    mv_node_id_t from)
{
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        server_t *server = &dispatcher->servers[i];
        MV_LIST_FOREACH(item, &server->used_slots)
        {
            slot_t *slot = MV_CONTAINER_OF(item, slot_t, link);
            if (slot->node != from) {
                continue;
            }
            if (slot->reported) {
                slot->missing_since = 0;
            }
            else if (slot->missing_since == 0) {
                slot->missing_since = now;
            }
            else if (now - slot->missing_since > MISSING_SLOT_HOLD &&
                     !slot->free_at) {
                slot->free_at = now;
            }
            slot->reported = false;
        }
    }
}

void
MvDispatcher_HandleRecord(mv_dispatcher_t *dispatcher, mv_time_t now,
                          mv_node_id_t from, const mv_slot_record_t *record)
{
    switch (record->op) {
    case MV_SLOT_REQUEST:
        handle_request(dispatcher, now, from, record);
        break;
    case MV_SLOT_RETURN:
        handle_return(dispatcher, now, from, record);
        break;
    case MV_SLOT_REUSED:
    case MV_SLOT_PASSED:
        handle_handoff(dispatcher, now, from, record);
        break;
    case MV_SLOT_WITHDRAW:
        handle_withdraw(dispatcher, from, record);
        break;
    case MV_SLOT_HOLDING:
        handle_holding(dispatcher, now, from, record);
        break;
    case MV_SLOT_HOLDINGS_END:
        handle_holdings_end(dispatcher, now, from);
        break;
    default:
        return;
    }
    grant(dispatcher, now);
}

void
MvDispatcher_Open(mv_dispatcher_t *dispatcher, mv_time_t now,
                  mv_time_t unknown_until)
{
    dispatcher->open = true;
    dispatcher->unknown_until = unknown_until;
    grant(dispatcher, now);
}

void
MvDispatcher_NodeLost(mv_dispatcher_t *dispatcher, mv_time_t now,
                      mv_node_id_t node)
{
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        MV_LIST_FOREACH(item, &dispatcher->servers[i].used_slots)
        {
            slot_t *slot = MV_CONTAINER_OF(item, slot_t, link);
            if (slot->node == node && !slot->free_at) {
                slot->free_at = now + LOST_NODE_HOLD;
            }
        }
    }
    GList *waiters = g_hash_table_get_keys(dispatcher->waiters);
    for (GList *item = waiters; item; item = item->next) {
        waiter_t *waiter = item->data;
        if (waiter->node == node && !MvList_IsEmpty(&waiter->link)) {
            MvFairQueue_Remove(dispatcher, waiter);
        }
    }
    g_list_free(waiters);
}

/* Timer */

static void
expire_slots(mv_dispatcher_t *dispatcher, server_t *server, mv_time_t now)
{
    MV_LIST_FOREACH(item, &server->used_slots)
    {
        slot_t *slot = MV_CONTAINER_OF(item, slot_t, link);
        if (!slot->free_at || now < slot->free_at) {
            continue;
        }
        if (slot->next_waiter) {
            MvFairQueue_Requeue(dispatcher, slot->next_waiter);
        }
        drop_slot(dispatcher, server, slot, now);
    }
}

static void
update_rates(mv_dispatcher_t *dispatcher, mv_time_t now)
{
    mv_time_t elapsed = now - dispatcher->rate_since;
    if (elapsed < RATE_WINDOW / 4) {
        return;
    }
    double seconds = (double)elapsed / MV_SECOND;
    double weight = MIN((double)elapsed / RATE_WINDOW, 1.0);
    double rate = dispatcher->completed / seconds;
    bool has_queue = dispatcher->waiting > 0;
    /* While no request is queued, a lower rate does not mean a lower
     * capacity. */
    if (has_queue || rate > dispatcher->rate) {
        dispatcher->rate += weight * (rate - dispatcher->rate);
    }
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        work_queue_t *work = &dispatcher->works[i];
        work->rate += weight * (work->granted / seconds - work->rate);
        work->granted = 0;
    }
    dispatcher->completed = 0;
    dispatcher->rate_since = now;
}

static void
send_hints(mv_dispatcher_t *dispatcher, mv_time_t now)
{
    uint32_t urgency = UINT32_MAX;
    GHashTable *notified = NULL;
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        if (dispatcher->works[i].waiting > 0) {
            urgency = MIN(urgency, MvFairQueue_Urgency(dispatcher, i));
        }
    }
    if (urgency == UINT32_MAX || now < dispatcher->next_hint) {
        return;
    }
    dispatcher->next_hint = now + HINT_INTERVAL;
    bool has_backlog =
        dispatcher->waiting > MvDispatcher_UsableSlots(dispatcher);
    notified = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        MV_LIST_FOREACH(item, &dispatcher->servers[i].used_slots)
        {
            slot_t *slot = MV_CONTAINER_OF(item, slot_t, link);
            if (g_hash_table_add(notified, GUINT_TO_POINTER(slot->node))) {
                MvDispatcher_Send(
                    dispatcher, slot->node,
                    (mv_slot_record_t){.op = MV_SLOT_HINT,
                                       .work = urgency,
                                       .remaining_ms =
                                           has_backlog ? MV_HINT_BACKLOG : 0});
            }
        }
    }
    g_hash_table_unref(notified);
}

void
MvDispatcher_Timer(mv_dispatcher_t *dispatcher, mv_time_t now, mv_time_t wall)
{
    update_leaving(dispatcher, wall);
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        server_t *server = &dispatcher->servers[i];
        expire_slots(dispatcher, server, now);
        update_utilization(server, now);
        if (server->limit < server->slots && now >= server->next_ramp &&
            server->suspended_until <= now) {
            server->limit++;
            server->next_ramp = now + RAMP_INTERVAL;
        }
    }
    MvFairQueue_Expire(dispatcher, now);
    update_rates(dispatcher, now);
    grant(dispatcher, now);
    send_hints(dispatcher, now);
}

size_t
MvDispatcher_Waiting(const mv_dispatcher_t *dispatcher)
{
    return dispatcher->waiting + dispatcher->reserved_count;
}

size_t
MvDispatcher_InUse(const mv_dispatcher_t *dispatcher)
{
    return dispatcher->in_use;
}
