/* Requests of this node that wait for or hold a slot: reuse, handoff and
 * return of slots. */
#include "requests_private.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#define HOLDINGS_INTERVAL (500 * MV_MILLISECOND)
#define HINT_TTL (250 * MV_MILLISECOND)
/* A new owner grants slots after this time, although reports of held slots are
 * missing. */
#define OPEN_TIMEOUT (1 * MV_SECOND)
/* Time that a new owner waits further in that case, as requests in unreported
 * slots may still run. */
#define UNREPORTED_SLOT_HOLD (200 * MV_MILLISECOND)

/* A slot that the owner reserved: when request @holder ends, its slot is
 * handed off to request @successor at @node. */
typedef struct handoff {
    mv_request_id_t holder;
    mv_request_id_t successor;
    mv_node_id_t node;
} handoff_t;

/**
 * struct service - State of one service at this node.
 * @id: service id
 * @owner: node that owns the slots, MV_NO_NODE before the first view
 * @waiting: requests of this node that wait for a slot, in the order queued
 * @handoffs: handoff_t by id of the holder
 * @hint_urgency: urgency of the most urgent request queued at the owner
 * @hint_backlog: more requests are queued at the owner than there are slots
 * @hint_until: time at which the hint expires
 * @dispatcher: queue of the service when this node is its owner, else NULL
 * @reported: nodes that have reported all their held slots to @dispatcher
 * @open: @dispatcher may grant slots
 * @lost_owner: former owner when it is no longer a member, else MV_NO_NODE
 * @dispatcher_created_at: time at which @dispatcher was created
 */
typedef struct service {
    uint16_t id;
    mv_node_id_t owner;
    mv_list_t waiting;
    GHashTable *handoffs;
    uint32_t hint_urgency;
    bool hint_backlog;
    mv_time_t hint_until;
    mv_dispatcher_t *dispatcher;
    GHashTable *reported;
    bool open;
    mv_node_id_t lost_owner;
    mv_time_t dispatcher_created_at;
} service_t;

typedef struct outgoing {
    mv_node_id_t to;
    mv_slot_record_t record;
} outgoing_record_t;

/**
 * struct mv_slots - Slots and queues of all services at this node.
 * @requests: the request decisions that it belongs to
 * @services: &struct service by service id
 * @outbox: records that the next MvSlots_Flush() delivers
 * @flushing: MvSlots_Flush() is running; nested calls return at once
 * @now: not used
 * @next_holdings: time of the next report of held slots and waiting requests
 */
struct mv_slots {
    mv_requests_t *requests;
    GHashTable *services;
    GArray *outbox;
    bool flushing;
    mv_time_t now;
    mv_time_t next_holdings;
};

static void
post(mv_slots_t *slots, mv_node_id_t to, mv_slot_record_t record)
{
    outgoing_record_t outgoing = {.to = to, .record = record};
    if (to != MV_NO_NODE) {
        g_array_append_val(slots->outbox, outgoing);
    }
}

static void
dispatcher_send(void *context, mv_node_id_t to, const mv_slot_record_t *record)
{
    post(context, to, *record);
}

static const mv_dispatcher_ops_t dispatcher_ops = {.send = dispatcher_send};

/* Services */

static void
free_service(gpointer pointer)
{
    service_t *service = pointer;
    MvDispatcher_Destroy(service->dispatcher);
    g_hash_table_unref(service->handoffs);
    g_hash_table_unref(service->reported);
    g_free(service);
}

static service_t *
find_service(const mv_slots_t *slots, uint32_t id)
{
    return g_hash_table_lookup(slots->services, GUINT_TO_POINTER(id));
}

static service_t *
get_service(mv_slots_t *slots, uint16_t id)
{
    service_t *service = find_service(slots, id);
    if (service) {
        return service;
    }
    service = g_new0(service_t, 1);
    service->id = id;
    service->owner = MV_NO_NODE;
    service->lost_owner = MV_NO_NODE;
    MvList_Init(&service->waiting);
    service->handoffs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    service->reported = g_hash_table_new(g_direct_hash, g_direct_equal);
    g_hash_table_insert(slots->services, GUINT_TO_POINTER(id), service);
    return service;
}

mv_slots_t *
MvSlots_Create(mv_requests_t *requests)
{
    mv_slots_t *slots = g_new0(mv_slots_t, 1);
    slots->requests = requests;
    slots->services = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                            NULL, free_service);
    slots->outbox = g_array_new(FALSE, FALSE, sizeof(outgoing_record_t));
    return slots;
}

void
MvSlots_Destroy(mv_slots_t *slots)
{
    g_hash_table_unref(slots->services);
    g_array_unref(slots->outbox);
    g_free(slots);
}

/* Rendezvous hashing; the constant is "slot" in ASCII. */
static mv_node_id_t
choose_owner(const mv_requests_t *requests, uint16_t service)
{
    uint64_t best = 0;
    mv_node_id_t owner = MV_NO_NODE;
    for (size_t i = 0; i < requests->member_count; i++) {
        uint32_t key[3] = {0x736c6f74, service, requests->members[i].id};
        uint64_t score = XXH3_64bits(key, sizeof(key));
        if (owner == MV_NO_NODE || score > best) {
            best = score;
            owner = (mv_node_id_t)requests->members[i].id;
        }
    }
    return owner;
}

/* Reports of held slots and waiting requests to the owner */

static void
post_holdings(mv_slots_t *slots, service_t *service)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, slots->requests->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mv_request_t *request = value;
        if (request->service == service->id &&
            request->state == MV_REQUEST_DISPATCHED) {
            post(slots, service->owner,
                 (mv_slot_record_t){.op = MV_SLOT_HOLDING,
                                    .service = service->id,
                                    .request = request->id,
                                    .slot = request->slot,
                                    .endpoint = request->endpoint});
        }
    }
    post(slots, service->owner,
         (mv_slot_record_t){.op = MV_SLOT_HOLDINGS_END,
                            .service = service->id});
}

static void
post_request(mv_slots_t *slots, mv_time_t now, const service_t *service,
             const mv_request_t *request)
{
    mv_time_t time_left = MAX(request->deadline - now, 0) / MV_MILLISECOND;
    post(slots, service->owner,
         (mv_slot_record_t){.op = MV_SLOT_REQUEST,
                            .service = service->id,
                            .request = request->id,
                            .work = request->work,
                            .member = request->member,
                            .remaining_ms = (uint32_t)time_left});
}

static void
report_all(mv_slots_t *slots, mv_time_t now, service_t *service)
{
    post_holdings(slots, service);
    MV_LIST_FOREACH(item, &service->waiting)
    {
        post_request(slots, now, service,
                     MV_CONTAINER_OF(item, mv_request_t, link));
    }
}

/* Ownership */

static void
become_owner(mv_slots_t *slots, mv_time_t now, service_t *service)
{
    service->dispatcher =
        MvDispatcher_Create(service->id, g_rand_int(slots->requests->random),
                            &dispatcher_ops, slots);
    service->open = false;
    service->dispatcher_created_at = now;
    g_hash_table_remove_all(service->reported);
}

static void
open_when_reported(mv_slots_t *slots, mv_time_t now, service_t *service)
{
    const mv_requests_t *requests = slots->requests;
    bool all_reported = true;
    if (!service->dispatcher || service->open) {
        return;
    }
    for (size_t i = 0; i < requests->member_count; i++) {
        gpointer key = GUINT_TO_POINTER(requests->members[i].id);
        all_reported =
            all_reported && g_hash_table_contains(service->reported, key);
    }
    /* A former owner in a planned shutdown reports its held slots, too. */
    gpointer former_owner = GUINT_TO_POINTER(service->lost_owner);
    bool complete = all_reported &&
                    (service->lost_owner == MV_NO_NODE ||
                     g_hash_table_contains(service->reported, former_owner));
    if (!complete && now - service->dispatcher_created_at < OPEN_TIMEOUT) {
        return;
    }
    service->open = true;
    MvDispatcher_Open(service->dispatcher, now,
                      complete ? now : now + UNREPORTED_SLOT_HOLD);
}

static void
change_owner(mv_slots_t *slots, mv_time_t now, service_t *service,
             mv_node_id_t owner)
{
    const mv_requests_t *requests = slots->requests;
    bool lost = service->owner != MV_NO_NODE &&
                !MvRequests_IsMember(requests, service->owner);
    service->lost_owner = lost ? service->owner : MV_NO_NODE;
    service->owner = owner;
    g_hash_table_remove_all(service->handoffs);
    service->hint_until = 0;
    if (service->dispatcher && owner != requests->self) {
        MvDispatcher_Destroy(service->dispatcher);
        service->dispatcher = NULL;
    }
    if (!service->dispatcher && owner == requests->self) {
        become_owner(slots, now, service);
    }
    report_all(slots, now, service);
}

static void
configure(mv_slots_t *slots, mv_time_t now, service_t *service,
          const mv_service_t *config)
{
    mv_requests_t *requests = slots->requests;
    if (service->dispatcher &&
        !MvDispatcher_MatchesClasses(service->dispatcher, config)) {
        MvDispatcher_Destroy(service->dispatcher);
        service->dispatcher = NULL;
        become_owner(slots, now, service);
        report_all(slots, now, service);
    }
    if (service->dispatcher) {
        MvDispatcher_Configure(service->dispatcher, now,
                               now + requests->wall_offset, config,
                               requests->deployment);
        for (size_t i = 0; i < requests->member_count; i++) {
            const mv_request_member_t *member = &requests->members[i];
            MvDispatcher_SetNode(service->dispatcher, (mv_node_id_t)member->id,
                                 member->data_centre);
        }
    }
}

static void
remove_lost_nodes(mv_slots_t *slots, mv_time_t now, service_t *service)
{
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, service->reported);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        mv_node_id_t id = (mv_node_id_t)GPOINTER_TO_UINT(key);
        if (!MvRequests_IsMember(slots->requests, id)) {
            MvDispatcher_NodeLost(service->dispatcher, now, id);
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* A service that is no longer configured has no slots to wait for. */
static void
refuse_waiting(mv_slots_t *slots, mv_time_t now, service_t *service)
{
    MV_LIST_FOREACH(item, &service->waiting)
    {
        mv_request_t *request = MV_CONTAINER_OF(item, mv_request_t, link);
        MvRequests_Finish(slots->requests, now, request, MV_OUTCOME_NOT_RUN,
                          MV_REASON_NO_SERVICE);
    }
}

/* The dispatcher refers to the configuration that is replaced. */
static void
end_removed_services(mv_slots_t *slots, mv_time_t now)
{
    const mv_deployment_t *deployment = slots->requests->deployment;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, slots->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        service_t *service = value;
        if (deployment && MvDeployment_FindService(deployment, service->id)) {
            continue;
        }
        MvDispatcher_Destroy(service->dispatcher);
        service->dispatcher = NULL;
        service->owner = MV_NO_NODE;
        refuse_waiting(slots, now, service);
    }
}

void
MvSlots_SetView(mv_slots_t *slots, mv_time_t now)
{
    mv_requests_t *requests = slots->requests;
    const mv_deployment_t *deployment = requests->deployment;
    for (uint16_t i = 0; deployment && i < deployment->service_count; i++) {
        const mv_service_t *config = &deployment->services[i];
        service_t *service = get_service(slots, config->id);
        mv_node_id_t owner = choose_owner(requests, config->id);
        if (owner != service->owner) {
            change_owner(slots, now, service, owner);
        }
        configure(slots, now, service, config);
        if (service->dispatcher) {
            remove_lost_nodes(slots, now, service);
            open_when_reported(slots, now, service);
        }
    }
    end_removed_services(slots, now);
}

/* Requests */

void
MvSlots_Enqueue(mv_slots_t *slots, mv_time_t now, mv_request_t *request)
{
    service_t *service = get_service(slots, request->service);
    request->state = MV_REQUEST_WAITING;
    MvList_Append(&service->waiting, &request->link);
    post_request(slots, now, service, request);
}

void
MvSlots_Withdraw(mv_slots_t *slots, mv_time_t now, mv_request_t *request)
{
    service_t *service = find_service(slots, request->service);
    (void)now;
    if (request->state != MV_REQUEST_WAITING || !service ||
        MvList_IsEmpty(&request->link)) {
        return;
    }
    MvList_Remove(&request->link);
    post(slots, service->owner,
         (mv_slot_record_t){.op = MV_SLOT_WITHDRAW,
                            .service = service->id,
                            .request = request->id});
}

static bool
is_endpoint_usable(const mv_requests_t *requests, uint16_t service,
                   uint16_t endpoint, mv_time_t now)
{
    const mv_service_t *config =
        MvDeployment_FindService(requests->deployment, service);
    const mv_endpoint_t *configured =
        config ? MvService_FindEndpoint(config, endpoint) : NULL;
    return configured &&
           (configured->leaves_at == 0 ||
            configured->leaves_at * MV_SECOND > now + requests->wall_offset);
}

/* The most urgent request that waits at this node, the first in the list among
 * equals. */
static mv_request_t *
local_candidate(const service_t *service)
{
    mv_request_t *best = NULL;
    MV_LIST_FOREACH(item, &service->waiting)
    {
        mv_request_t *request = MV_CONTAINER_OF(item, mv_request_t, link);
        if (!best || request->urgency < best->urgency) {
            best = request;
        }
    }
    return best;
}

static mv_request_t *
reuse_candidate(const mv_slots_t *slots, mv_time_t now,
                const service_t *service)
{
    mv_request_t *candidate = local_candidate(service);
    (void)slots;
    if (!candidate || now >= candidate->deadline) {
        return NULL;
    }
    bool hinted = now < service->hint_until;
    if (hinted && (service->hint_backlog ||
                   candidate->urgency > service->hint_urgency)) {
        return NULL;
    }
    return candidate;
}

static void
hand_off(mv_slots_t *slots, mv_time_t now, service_t *service,
         uint16_t endpoint, uint32_t slot, const handoff_t *next)
{
    mv_requests_t *requests = slots->requests;
    bool is_local = next->node == requests->self;
    mv_request_t *request =
        is_local ? MvRequests_Find(requests, next->successor) : NULL;
    bool is_waiting = request && request->state == MV_REQUEST_WAITING &&
                      !request->abandoned && now < request->deadline;
    if (is_local && !is_waiting) {
        /* The result is left at 0, which is MV_RETURN_SUCCESS. */
        post(slots, service->owner,
             (mv_slot_record_t){.op = MV_SLOT_RETURN,
                                .service = service->id,
                                .request = next->holder,
                                .slot = slot,
                                .endpoint = endpoint});
        return;
    }
    post(slots, service->owner,
         (mv_slot_record_t){.op = is_local ? MV_SLOT_REUSED : MV_SLOT_PASSED,
                            .service = service->id,
                            .request = next->holder,
                            .slot = slot,
                            .other = next->successor,
                            .node = next->node,
                            .endpoint = endpoint});
    if (is_local) {
        MvRequests_Dispatch(requests, now, request, endpoint, slot);
        return;
    }
    post(slots, next->node,
         (mv_slot_record_t){.op = MV_SLOT_GRANT,
                            .service = service->id,
                            .request = next->successor,
                            .slot = slot,
                            .endpoint = endpoint});
}

void
MvSlots_Release(mv_slots_t *slots, mv_time_t now, uint16_t id,
                uint16_t endpoint, uint32_t slot, mv_request_id_t holder,
                uint32_t run_result)
{
    service_t *service = find_service(slots, id);
    if (!service) {
        return;
    }
    handoff_t *planned = g_hash_table_lookup(service->handoffs, &holder);
    handoff_t next = planned ? *planned : (handoff_t){.holder = 0};
    g_hash_table_remove(service->handoffs, &holder);
    bool is_reusable = run_result == MV_RETURN_SUCCESS &&
                       is_endpoint_usable(slots->requests, id, endpoint, now);
    if (is_reusable && planned) {
        hand_off(slots, now, service, endpoint, slot, &next);
        return;
    }
    mv_request_t *candidate =
        is_reusable ? reuse_candidate(slots, now, service) : NULL;
    if (candidate) {
        next = (handoff_t){.holder = holder,
                           .successor = candidate->id,
                           .node = slots->requests->self};
        hand_off(slots, now, service, endpoint, slot, &next);
        return;
    }
    post(slots, service->owner,
         (mv_slot_record_t){.op = MV_SLOT_RETURN,
                            .service = id,
                            .request = holder,
                            .slot = slot,
                            .endpoint = endpoint,
                            .remaining_ms = run_result});
}

/* Records from owners and other nodes */

static void
handle_grant(mv_slots_t *slots, mv_time_t now, service_t *service,
             const mv_slot_record_t *record)
{
    mv_requests_t *requests = slots->requests;
    mv_request_t *request = MvRequests_Find(requests, record->request);
    bool is_waiting = request && request->state == MV_REQUEST_WAITING &&
                      !MvList_IsEmpty(&request->link) &&
                      now < request->deadline;
    bool usable = is_endpoint_usable(requests, service->id,
                                     (uint16_t)record->endpoint, now);
    if (is_waiting && usable) {
        MvRequests_Dispatch(requests, now, request, (uint16_t)record->endpoint,
                            record->slot);
        return;
    }
    bool running = request && request->state == MV_REQUEST_DISPATCHED &&
                   request->slot == record->slot;
    if (!running) {
        post(slots, service->owner,
             (mv_slot_record_t){.op = MV_SLOT_RETURN,
                                .service = service->id,
                                .request = record->request,
                                .slot = record->slot,
                                .endpoint = record->endpoint,
                                .remaining_ms = MV_RETURN_UNUSED});
    }
    if (is_waiting) {
        post_request(slots, now, service, request);
    }
}

static void
handle_next(service_t *service, const mv_slot_record_t *record)
{
    handoff_t *next = g_new0(handoff_t, 1);
    next->holder = record->request;
    next->successor = record->other;
    next->node = (mv_node_id_t)record->node;
    g_hash_table_replace(service->handoffs, &next->holder, next);
}

static void
handle_refusal(mv_slots_t *slots, mv_time_t now,
               const mv_slot_record_t *record)
{
    mv_requests_t *requests = slots->requests;
    mv_request_t *request = MvRequests_Find(requests, record->request);
    if (request && request->state == MV_REQUEST_WAITING) {
        MvRequests_Finish(requests, now, request, MV_OUTCOME_NOT_RUN,
                          MV_REASON_OVERLOAD);
    }
}

static void
handle_requester_record(mv_slots_t *slots, mv_time_t now, mv_node_id_t from,
                        service_t *service, const mv_slot_record_t *record)
{
    mv_requests_t *requests = slots->requests;
    const mv_request_t *holder = MvRequests_Find(requests, record->request);
    bool from_owner = from == service->owner;
    switch (record->op) {
    case MV_SLOT_GRANT:
        handle_grant(slots, now, service, record);
        break;
    case MV_SLOT_NEXT:
        if (from_owner && holder && holder->state == MV_REQUEST_DISPATCHED &&
            holder->endpoint == record->endpoint) {
            handle_next(service, record);
        }
        break;
    case MV_SLOT_REFUSE:
        handle_refusal(slots, now, record);
        break;
    case MV_SLOT_HINT:
        service->hint_urgency = record->work;
        service->hint_backlog = (record->remaining_ms & MV_HINT_BACKLOG) != 0;
        service->hint_until = now + HINT_TTL;
        break;
    default:
        break;
    }
}

static void
handle_record(mv_slots_t *slots, mv_time_t now, mv_node_id_t from,
              const mv_slot_record_t *record)
{
    service_t *service = find_service(slots, record->service);
    if (!service) {
        return;
    }
    if (record->op == MV_SLOT_GRANT || record->op == MV_SLOT_NEXT ||
        record->op == MV_SLOT_REFUSE || record->op == MV_SLOT_HINT) {
        handle_requester_record(slots, now, from, service, record);
        return;
    }
    if (!service->dispatcher) {
        return; /* The sender has an outdated view of the owner. */
    }
    if (record->op == MV_SLOT_HOLDINGS_END) {
        g_hash_table_add(service->reported, GUINT_TO_POINTER(from));
    }
    MvDispatcher_HandleRecord(service->dispatcher, now, from, record);
    open_when_reported(slots, now, service);
}

void
MvSlots_Message(mv_slots_t *slots, mv_time_t now, const mv_message_t *message)
{
    for (size_t i = 0; i < message->slot_count; i++) {
        handle_record(slots, now, (mv_node_id_t)message->from,
                      &message->slots[i]);
    }
}

/* Sends the records in @batch to other nodes, one message per node. */
static void
send_to_others(mv_slots_t *slots, const GArray *batch)
{
    mv_requests_t *requests = slots->requests;
    bool *sent = g_new0(bool, batch->len + 1);
    for (guint i = 0; i < batch->len; i++) {
        const outgoing_record_t *first =
            &g_array_index(batch, outgoing_record_t, i);
        if (sent[i] || first->to == requests->self) {
            continue;
        }
        GArray *records = g_array_new(FALSE, FALSE, sizeof(mv_slot_record_t));
        for (guint j = i; j < batch->len; j++) {
            const outgoing_record_t *entry =
                &g_array_index(batch, outgoing_record_t, j);
            if (entry->to == first->to) {
                g_array_append_val(records, entry->record);
                sent[j] = true;
            }
        }
        mv_message_t message = {.kind = MV_MESSAGE_SLOTS,
                                .from = requests->self,
                                .slot_count = records->len,
                                .slots =
                                    (mv_slot_record_t *)(void *)records->data};
        requests->effects->ops->send(requests->effects, first->to, &message);
        g_array_unref(records);
    }
    g_free(sent);
}

void
MvSlots_Flush(mv_slots_t *slots, mv_time_t now)
{
    if (slots->flushing) {
        return;
    }
    slots->flushing = true;
    while (slots->outbox->len > 0) {
        GArray *batch = slots->outbox;
        slots->outbox = g_array_new(FALSE, FALSE, sizeof(outgoing_record_t));
        send_to_others(slots, batch);
        for (guint i = 0; i < batch->len; i++) {
            const outgoing_record_t *entry =
                &g_array_index(batch, outgoing_record_t, i);
            if (entry->to == slots->requests->self) {
                handle_record(slots, now, entry->to, &entry->record);
            }
        }
        g_array_unref(batch);
    }
    slots->flushing = false;
}

void
MvSlots_Timer(mv_slots_t *slots, mv_time_t now)
{
    GHashTableIter iter;
    gpointer value;
    bool report = now >= slots->next_holdings;
    if (report) {
        slots->next_holdings = now + HOLDINGS_INTERVAL;
    }
    g_hash_table_iter_init(&iter, slots->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        service_t *service = value;
        if (report) {
            report_all(slots, now, service);
        }
        if (service->dispatcher) {
            open_when_reported(slots, now, service);
            MvDispatcher_Timer(service->dispatcher, now,
                               now + slots->requests->wall_offset);
        }
    }
}

json_t *
MvSlots_Dump(const mv_slots_t *slots)
{
    json_t *array = json_array();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, slots->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const service_t *service = value;
        const mv_dispatcher_t *owned = service->dispatcher;
        json_array_append_new(
            array,
            json_pack("{s:i,s:i,s:b,s:I,s:I}", "service", (int)service->id,
                      "owner", (int)service->owner, "open", (int)service->open,
                      "waiting_here_as_owner",
                      (json_int_t)(owned ? MvDispatcher_Waiting(owned) : 0),
                      "slots_in_use_as_owner",
                      (json_int_t)(owned ? MvDispatcher_InUse(owned) : 0)));
    }
    return array;
}
