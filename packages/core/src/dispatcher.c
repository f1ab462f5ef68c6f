#include "dispatcher.h"

#include <string.h>

#define HINT_INTERVAL (100 * MV_MILLISECOND)
#define RAMP_INTERVAL (500 * MV_MILLISECOND)
#define FIRST_SUSPENSION (500 * MV_MILLISECOND)
#define MAX_SUSPENSION (8 * MV_SECOND)
/* A slot of a lost node is free once its request must have ended. */
#define LOST_NODE_HOLD (2 * MV_SECOND)
/* A holding must be missing from reports for this long to be taken back. */
#define MISSING_HOLD (2 * MV_SECOND)
/* Grants that a class may catch up on after it had nothing waiting. */
#define MAX_CREDIT 16.0
/* Evenness of work looks back about this long. */
#define BUSY_MEMORY (10 * MV_SECOND)
/* A near server is preferred unless it was busier by this part of a slot. */
#define NEAR_PREFERENCE 0.02
#define RATE_WINDOW (1 * MV_SECOND)
#define LOOK_AHEAD 8
/* How far behind the first a request at the slot's own node may be. */
#define SAME_NODE_LOOK_AHEAD 128
#define MAX_WAITING 65536
#define HELD_WEIGHT 0.02
/* A request should be able to take this many mean times before its deadline.
 */
#define FINISH_MARGIN 6.0

typedef struct slot slot_t;

/* One request that waits; @next_of is the slot it was promised. */
typedef struct waiter {
    mv_list_t link;
    mv_node_id_t node;
    uint64_t request;
    struct turn *turn;
    struct slot *next_of;
    mv_time_t deadline;
    mv_time_t since;
} waiter_t;

/* The requests of one member within one class of work. */
typedef struct turn {
    mv_list_t link;
    mv_list_t waiters;
    uint32_t member;
    uint32_t weight;
    unsigned references;
    size_t waiting;
    double virtual_time;
    struct work_queue *work;
} turn_t;

typedef struct work_queue {
    mv_list_t turns;
    GHashTable *by_member;
    double credit;
    double virtual_time;
    double rate;
    uint32_t granted;
    size_t waiting;
} work_queue_t;

/* One slot in use. */
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
    double busy;
    mv_time_t busy_since;
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
    double held;
};

/* Helpers
 * --------------------------------------------------------------------------
 */

static guint
waiter_hash(gconstpointer pointer)
{
    const waiter_t *waiter = pointer;
    return (guint)(waiter->request * 2654435761u) ^ waiter->node;
}

static gboolean
waiter_equal(gconstpointer a, gconstpointer b)
{
    const waiter_t *one = a;
    const waiter_t *other = b;
    return one->node == other->node && one->request == other->request;
}

static void
send(mv_dispatcher_t *dispatcher, mv_node_id_t to, mv_slot_record_t record)
{
    record.service = dispatcher->id;
    dispatcher->ops->send(dispatcher->context, to, &record);
}

static void
refuse(mv_dispatcher_t *dispatcher, mv_node_id_t to, uint64_t request)
{
    send(dispatcher, to,
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
    MV_LIST_FOREACH(item, &server->used)
    {
        slot_t *slot = MV_CONTAINER_OF(item, slot_t, link);
        if (slot->number == number) {
            return slot;
        }
    }
    return NULL;
}

static size_t
usable_slots(const mv_dispatcher_t *dispatcher)
{
    size_t slots = 0;
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        const server_t *server = &dispatcher->servers[i];
        slots += server->leaving ? 0 : server->limit;
    }
    return slots;
}

/* Creation and configuration
 * ---------------------------------------------------------- */

mv_dispatcher_t *
MvDispatcher_Create(uint16_t service, uint32_t first_number,
                    const mv_dispatcher_ops_t *ops, void *context)
{
    mv_dispatcher_t *dispatcher = g_new0(mv_dispatcher_t, 1);
    dispatcher->id = service;
    dispatcher->last_number = first_number;
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
        free_list(&work->turns, offsetof(turn_t, link));
        g_hash_table_unref(work->by_member);
    }
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        free_list(&dispatcher->servers[i].used, offsetof(slot_t, link));
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
relink(mv_list_t *moved, const mv_list_t *old)
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
    server_t *grown = g_new0(server_t, count + 1);
    for (size_t i = 0; i < count; i++) {
        grown[i] = dispatcher->servers[i];
        /* The list head moved with its server. */
        if (grown[i].used.next == &dispatcher->servers[i].used) {
            MvList_Init(&grown[i].used);
        }
        else {
            relink(&grown[i].used, &dispatcher->servers[i].used);
        }
    }
    g_free(dispatcher->servers);
    dispatcher->servers = grown;
    server_t *server = &grown[count];
    server->id = endpoint->id;
    server->slots = endpoint->slots;
    server->data_centre = MvDataCentre_Hash(endpoint->data_centre);
    server->busy_since = now;
    /* A cold server starts with one slot; at the start all are warm. */
    server->limit = dispatcher->open ? 1 : endpoint->slots;
    server->next_ramp = now + RAMP_INTERVAL;
    MvList_Init(&server->used);
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
        MvList_Init(&dispatcher->works[i].turns);
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
            MvService_Endpoint(dispatcher->service, server->id);
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
    /* One more class than configured: what matches none. */
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

static uint32_t
data_centre_of(const mv_dispatcher_t *dispatcher, mv_node_id_t node)
{
    return GPOINTER_TO_UINT(
        g_hash_table_lookup(dispatcher->data_centres, GUINT_TO_POINTER(node)));
}

bool
MvDispatcher_Fits(const mv_dispatcher_t *dispatcher,
                  const mv_service_t *service)
{
    return !dispatcher->works ||
           dispatcher->work_count == service->work_count + 1u;
}

/* The waiting
 * ------------------------------------------------------------------------------
 */

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

static turn_t *
get_turn(mv_dispatcher_t *dispatcher, work_queue_t *work, uint32_t member)
{
    gpointer key = GUINT_TO_POINTER(member);
    turn_t *turn = g_hash_table_lookup(work->by_member, key);
    if (turn) {
        return turn;
    }
    turn = g_new0(turn_t, 1);
    turn->member = member;
    turn->weight = weight_of(dispatcher, member);
    turn->work = work;
    turn->virtual_time = work->virtual_time;
    MvList_Init(&turn->waiters);
    MvList_Append(&work->turns, &turn->link);
    g_hash_table_insert(work->by_member, key, turn);
    return turn;
}

static void
drop_waiter(mv_dispatcher_t *dispatcher, waiter_t *waiter)
{
    turn_t *turn = waiter->turn;
    if (waiter->next_of) {
        waiter->next_of->next = NULL;
    }
    g_hash_table_remove(dispatcher->waiters, waiter);
    if (!MvList_IsEmpty(&waiter->link)) {
        MvList_Remove(&waiter->link);
        turn->waiting--;
        turn->work->waiting--;
        dispatcher->waiting--;
    }
    else {
        dispatcher->assigned--;
    }
    g_free(waiter);
    turn->references--;
    if (turn->references == 0) {
        MvList_Remove(&turn->link);
        g_hash_table_remove(turn->work->by_member,
                            GUINT_TO_POINTER(turn->member));
        g_free(turn);
    }
}

static uint32_t
urgency_of(const mv_dispatcher_t *dispatcher, size_t work)
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

/* What more urgent work leaves, but never less than the guarantee. */
static double
expected_rate(const mv_dispatcher_t *dispatcher, size_t work)
{
    double left = dispatcher->rate;
    uint32_t urgency = urgency_of(dispatcher, work);
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        if (i != work && urgency_of(dispatcher, i) < urgency) {
            left -= dispatcher->works[i].rate;
        }
    }
    return MAX(left, dispatcher->rate * share_of(dispatcher, work));
}

static uint32_t
active_weight(const work_queue_t *work)
{
    uint32_t sum = 0;
    MV_LIST_FOREACH(item, &work->turns)
    {
        const turn_t *turn = MV_CONTAINER_OF(item, turn_t, link);
        sum += MvList_IsEmpty(&turn->waiters) ? 0 : turn->weight;
    }
    return sum;
}

static mv_time_t
finish_margin(const mv_dispatcher_t *dispatcher)
{
    return (mv_time_t)(dispatcher->held * FINISH_MARGIN);
}

/* Will it be able to finish before its deadline, going by its turn? */
static bool
can_finish_in_time(const mv_dispatcher_t *dispatcher, size_t work,
                   const turn_t *turn, mv_time_t left)
{
    size_t ahead = turn->waiting;
    double rate = expected_rate(dispatcher, work);
    if (dispatcher->waiting >= MAX_WAITING) {
        return false;
    }
    if (ahead == 0 || dispatcher->rate <= 0) {
        return true;
    }
    if (rate <= 0) {
        return ahead < usable_slots(dispatcher);
    }
    double part =
        (double)turn->weight / MAX(active_weight(&dispatcher->works[work]), 1);
    double wait = (double)ahead / (rate * part) * MV_SECOND;
    return wait + (double)finish_margin(dispatcher) < (double)left;
}

static void
take_ask(mv_dispatcher_t *dispatcher, mv_time_t now, mv_node_id_t from,
         const mv_slot_record_t *record)
{
    waiter_t probe = {.node = from, .request = record->request};
    size_t number = MIN(record->work, dispatcher->work_count - 1);
    mv_time_t left = record->left_ms * MV_MILLISECOND;
    if (g_hash_table_contains(dispatcher->waiters, &probe)) {
        return;
    }
    work_queue_t *work = &dispatcher->works[number];
    turn_t *turn = get_turn(dispatcher, work, record->member);
    if (!can_finish_in_time(dispatcher, number, turn, left)) {
        refuse(dispatcher, from, record->request);
        return;
    }
    waiter_t *waiter = g_new0(waiter_t, 1);
    *waiter = (waiter_t){.node = from,
                         .request = record->request,
                         .turn = turn,
                         .deadline = now + left,
                         .since = now};
    if (MvList_IsEmpty(&waiter->turn->waiters) &&
        waiter->turn->virtual_time < work->virtual_time) {
        waiter->turn->virtual_time = work->virtual_time;
    }
    turn->references++;
    turn->waiting++;
    MvList_Append(&waiter->turn->waiters, &waiter->link);
    g_hash_table_add(dispatcher->waiters, waiter);
    work->waiting++;
    dispatcher->waiting++;
}

/* Policy: whose turn is it?
 * ------------------------------------------------------------------- */

static work_queue_t *
choose_work(mv_dispatcher_t *dispatcher)
{
    work_queue_t *entitled = NULL;
    work_queue_t *urgent = NULL;
    uint32_t entitled_urgency = UINT32_MAX;
    uint32_t urgent_urgency = UINT32_MAX;
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        work_queue_t *work = &dispatcher->works[i];
        work->credit = MIN(work->credit + share_of(dispatcher, i), MAX_CREDIT);
        if (work->waiting == 0) {
            continue;
        }
        uint32_t urgency = urgency_of(dispatcher, i);
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

static turn_t *
choose_turn(work_queue_t *work)
{
    turn_t *best = NULL;
    MV_LIST_FOREACH(item, &work->turns)
    {
        turn_t *turn = MV_CONTAINER_OF(item, turn_t, link);
        if (!MvList_IsEmpty(&turn->waiters) &&
            (!best || turn->virtual_time < best->virtual_time)) {
            best = turn;
        }
    }
    return best;
}

/* The first of the turn, or one close behind it that is nearer. */
static waiter_t *
choose_waiter(const mv_dispatcher_t *dispatcher, turn_t *turn,
              mv_node_id_t node, uint32_t data_centre)
{
    unsigned looked = 0;
    unsigned most = node == MV_NO_NODE ? LOOK_AHEAD : SAME_NODE_LOOK_AHEAD;
    waiter_t *first = MV_CONTAINER_OF(turn->waiters.next, waiter_t, link);
    waiter_t *near = NULL;
    MV_LIST_FOREACH(item, &turn->waiters)
    {
        waiter_t *waiter = MV_CONTAINER_OF(item, waiter_t, link);
        if (waiter->node == node) {
            return waiter;
        }
        bool close = looked < LOOK_AHEAD && !near;
        if (close && data_centre_of(dispatcher, waiter->node) == data_centre) {
            near = waiter;
        }
        if (++looked >= most) {
            break;
        }
    }
    return near ? near : first;
}

/* Take the next request off the queue, preferably at @node or near it. */
static waiter_t *
take_next(mv_dispatcher_t *dispatcher, mv_node_id_t node, uint32_t data_centre)
{
    work_queue_t *work = choose_work(dispatcher);
    if (!work) {
        return NULL;
    }
    turn_t *turn = choose_turn(work);
    waiter_t *waiter = choose_waiter(dispatcher, turn, node, data_centre);
    work->virtual_time = MAX(work->virtual_time, turn->virtual_time);
    turn->virtual_time += 1.0 / turn->weight;
    work->granted++;
    MvList_Remove(&waiter->link);
    turn->waiting--;
    work->waiting--;
    dispatcher->waiting--;
    dispatcher->assigned++;
    return waiter;
}

/* One that was named as next goes back to the head of its member's turn. */
static void
put_back(mv_dispatcher_t *dispatcher, waiter_t *waiter)
{
    waiter->next_of->next = NULL;
    waiter->next_of = NULL;
    MvList_InsertBefore(waiter->turn->waiters.next, &waiter->link);
    waiter->turn->waiting++;
    waiter->turn->work->waiting++;
    dispatcher->waiting++;
    dispatcher->assigned--;
}

/* Slots
 * ------------------------------------------------------------------------------------------
 */

static void
update_busy(server_t *server, mv_time_t now)
{
    double passed = (double)(now - server->busy_since);
    double part = MIN(passed / BUSY_MEMORY, 1.0);
    double used = (double)server->in_use / server->slots;
    server->busy += part * (used - server->busy);
    server->busy_since = now;
}

/* Lower is better: free slots first, then evenness, then nearness. */
static double
server_score(const server_t *server, uint32_t data_centre)
{
    double used = (double)server->in_use / server->slots;
    double far = server->data_centre == data_centre ? 0 : NEAR_PREFERENCE;
    return 2 * used + server->busy + far;
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
        update_busy(server, now);
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
    update_busy(server, now);
    MvList_Append(&server->used, &slot->link);
    server->in_use++;
    dispatcher->in_use++;
}

static void
drop_slot(mv_dispatcher_t *dispatcher, server_t *server, slot_t *slot,
          mv_time_t now)
{
    update_busy(server, now);
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
    send(dispatcher, waiter->node,
         (mv_slot_record_t){.op = MV_SLOT_GRANT,
                            .request = waiter->request,
                            .slot = number,
                            .endpoint = server->id});
    add_slot(dispatcher, server, waiter->node, waiter->request, number, now);
    drop_waiter(dispatcher, waiter);
}

/* Few wait: bind late.  Many wait: name each busy slot's next request, so
 * that it is not idle while word travels. */
static void
name_next(mv_dispatcher_t *dispatcher)
{
    size_t slots = usable_slots(dispatcher);
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        server_t *server = &dispatcher->servers[i];
        if (server->leaving || server->in_use > server->limit) {
            continue;
        }
        MV_LIST_FOREACH(item, &server->used)
        {
            slot_t *slot = MV_CONTAINER_OF(item, slot_t, link);
            if (slot->next || slot->free_at) {
                continue;
            }
            if (dispatcher->waiting <= slots) {
                return;
            }
            slot->next =
                take_next(dispatcher, slot->node, server->data_centre);
            slot->next->next_of = slot;
            send(dispatcher, slot->node,
                 (mv_slot_record_t){.op = MV_SLOT_NEXT,
                                    .request = slot->request,
                                    .slot = slot->number,
                                    .other = slot->next->request,
                                    .node = slot->next->node,
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
            take_next(dispatcher, MV_NO_NODE, server->data_centre);
        uint32_t near = data_centre_of(dispatcher, waiter->node);
        grant_to(dispatcher, now, choose_server(dispatcher, now, near),
                 waiter);
    }
    if (dispatcher->waiting > 0) {
        name_next(dispatcher);
    }
}

static void
note_completion(mv_dispatcher_t *dispatcher, server_t *server,
                const slot_t *slot, mv_time_t now)
{
    double held = (double)(now - slot->since);
    dispatcher->completed++;
    dispatcher->held += HELD_WEIGHT * (held - dispatcher->held);
    server->suspension = 0;
}

/*
 * The slot that @record of @from speaks of, NULL when it has moved on.  Its
 * next holder may be heard before the former one: then it was passed on.
 */
static slot_t *
settle_slot(mv_dispatcher_t *dispatcher, mv_time_t now, server_t *server,
            mv_node_id_t from, const mv_slot_record_t *record)
{
    slot_t *slot = server ? find_slot(server, record->slot) : NULL;
    if (!slot || (slot->node == from && slot->request == record->request)) {
        return slot;
    }
    waiter_t *next = slot->next;
    if (!next || next->node != from || next->request != record->request) {
        return NULL;
    }
    note_completion(dispatcher, server, slot, now);
    drop_waiter(dispatcher, next);
    slot->node = from;
    slot->request = record->request;
    slot->since = now;
    slot->missing_since = 0;
    return slot;
}

static void
note_failure(server_t *server, uint32_t flag, mv_time_t now)
{
    if (flag == MV_RETURN_SHED) {
        server->limit = MAX(server->in_use, 1);
        server->next_ramp = now + RAMP_INTERVAL;
    }
    if (flag == MV_RETURN_FAILED) {
        server->suspension = server->suspension
                                 ? MIN(2 * server->suspension, MAX_SUSPENSION)
                                 : FIRST_SUSPENSION;
        server->suspended_until = now + server->suspension;
        server->limit = 1;
        server->next_ramp = server->suspended_until + RAMP_INTERVAL;
    }
}

static void
take_return(mv_dispatcher_t *dispatcher, mv_time_t now, mv_node_id_t from,
            const mv_slot_record_t *record)
{
    server_t *server = find_server(dispatcher, record->endpoint);
    slot_t *slot = settle_slot(dispatcher, now, server, from, record);
    if (!slot) {
        return;
    }
    waiter_t *next = slot->next;
    if (next) {
        put_back(dispatcher, next);
    }
    if (record->left_ms == MV_RETURN_GOOD) {
        note_completion(dispatcher, server, slot, now);
    }
    drop_slot(dispatcher, server, slot, now);
    note_failure(server, record->left_ms, now);
}

/* The slot of @request went on to @other without passing by here. */
static void
take_moved(mv_dispatcher_t *dispatcher, mv_time_t now, mv_node_id_t from,
           const mv_slot_record_t *record)
{
    server_t *server = find_server(dispatcher, record->endpoint);
    slot_t *slot = settle_slot(dispatcher, now, server, from, record);
    mv_node_id_t to =
        record->op == MV_SLOT_PASSED ? (mv_node_id_t)record->node : from;
    waiter_t probe = {.node = to, .request = record->other};
    waiter_t *waiter = g_hash_table_lookup(dispatcher->waiters, &probe);
    if (!slot) {
        return;
    }
    note_completion(dispatcher, server, slot, now);
    if (slot->next && slot->next != waiter) {
        put_back(dispatcher, slot->next);
    }
    slot->node = to;
    slot->request = record->other;
    slot->since = now;
    slot->missing_since = 0;
    if (waiter) {
        if (!MvList_IsEmpty(&waiter->link)) {
            waiter->turn->virtual_time += 1.0 / waiter->turn->weight;
            waiter->turn->work->granted++;
        }
        drop_waiter(dispatcher, waiter);
    }
}

static void
take_withdraw(mv_dispatcher_t *dispatcher, mv_node_id_t from,
              const mv_slot_record_t *record)
{
    waiter_t probe = {.node = from, .request = record->request};
    waiter_t *waiter = g_hash_table_lookup(dispatcher->waiters, &probe);
    /* One that is named as next is returned when its turn comes. */
    if (waiter && !MvList_IsEmpty(&waiter->link)) {
        drop_waiter(dispatcher, waiter);
    }
}

/* Reconciliation with what nodes say they hold
 * --------------------------------------------------- */

static void
take_holding(mv_dispatcher_t *dispatcher, mv_time_t now, mv_node_id_t from,
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
take_holdings_end(mv_dispatcher_t *dispatcher, mv_time_t now,
                  mv_node_id_t from)
{
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        server_t *server = &dispatcher->servers[i];
        MV_LIST_FOREACH(item, &server->used)
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
            else if (now - slot->missing_since > MISSING_HOLD &&
                     !slot->free_at) {
                slot->free_at = now;
            }
            slot->reported = false;
        }
    }
}

void
MvDispatcher_Take(mv_dispatcher_t *dispatcher, mv_time_t now,
                  mv_node_id_t from, const mv_slot_record_t *record)
{
    switch (record->op) {
    case MV_SLOT_ASK:
        take_ask(dispatcher, now, from, record);
        break;
    case MV_SLOT_RETURN:
        take_return(dispatcher, now, from, record);
        break;
    case MV_SLOT_REUSED:
    case MV_SLOT_PASSED:
        take_moved(dispatcher, now, from, record);
        break;
    case MV_SLOT_WITHDRAW:
        take_withdraw(dispatcher, from, record);
        break;
    case MV_SLOT_HOLDING:
        take_holding(dispatcher, now, from, record);
        break;
    case MV_SLOT_HOLDINGS_END:
        take_holdings_end(dispatcher, now, from);
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
        MV_LIST_FOREACH(item, &dispatcher->servers[i].used)
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
            drop_waiter(dispatcher, waiter);
        }
    }
    g_list_free(waiters);
}

/* Timer
 * ------------------------------------------------------------------------------------------
 */

static void
expire_slots(mv_dispatcher_t *dispatcher, server_t *server, mv_time_t now)
{
    MV_LIST_FOREACH(item, &server->used)
    {
        slot_t *slot = MV_CONTAINER_OF(item, slot_t, link);
        if (!slot->free_at || now < slot->free_at) {
            continue;
        }
        if (slot->next) {
            put_back(dispatcher, slot->next);
        }
        drop_slot(dispatcher, server, slot, now);
    }
}

static void
expire_waiters(mv_dispatcher_t *dispatcher, mv_time_t now)
{
    /* What has little time left when it comes may still try. */
    mv_time_t margin = dispatcher->waiting > usable_slots(dispatcher)
                           ? finish_margin(dispatcher)
                           : 0;
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        if (dispatcher->works[i].waiting == 0) {
            continue;
        }
        MV_LIST_FOREACH(one, &dispatcher->works[i].turns)
        {
            turn_t *turn = MV_CONTAINER_OF(one, turn_t, link);
            /* Oldest first; deadlines of one member mostly rise. */
            while (!MvList_IsEmpty(&turn->waiters)) {
                waiter_t *waiter =
                    MV_CONTAINER_OF(turn->waiters.next, waiter_t, link);
                bool last = waiter->link.next == &turn->waiters;
                if (now + margin < waiter->deadline) {
                    break;
                }
                refuse(dispatcher, waiter->node, waiter->request);
                drop_waiter(dispatcher, waiter);
                if (last) {
                    break; /* The turn may be gone. */
                }
            }
        }
    }
}

static void
update_rates(mv_dispatcher_t *dispatcher, mv_time_t now)
{
    mv_time_t passed = now - dispatcher->rate_since;
    if (passed < RATE_WINDOW / 4) {
        return;
    }
    double seconds = (double)passed / MV_SECOND;
    double part = MIN((double)passed / RATE_WINDOW, 1.0);
    double rate = dispatcher->completed / seconds;
    bool busy = dispatcher->waiting > 0;
    /* An idle service says nothing of what it could do. */
    if (busy || rate > dispatcher->rate) {
        dispatcher->rate += part * (rate - dispatcher->rate);
    }
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        work_queue_t *work = &dispatcher->works[i];
        work->rate += part * (work->granted / seconds - work->rate);
        work->granted = 0;
    }
    dispatcher->completed = 0;
    dispatcher->rate_since = now;
}

static void
send_hints(mv_dispatcher_t *dispatcher, mv_time_t now)
{
    uint32_t urgency = UINT32_MAX;
    GHashTable *told = NULL;
    for (size_t i = 0; i < dispatcher->work_count; i++) {
        if (dispatcher->works[i].waiting > 0) {
            urgency = MIN(urgency, urgency_of(dispatcher, i));
        }
    }
    if (urgency == UINT32_MAX || now < dispatcher->next_hint) {
        return;
    }
    dispatcher->next_hint = now + HINT_INTERVAL;
    bool deep = dispatcher->waiting > usable_slots(dispatcher);
    told = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        MV_LIST_FOREACH(item, &dispatcher->servers[i].used)
        {
            slot_t *slot = MV_CONTAINER_OF(item, slot_t, link);
            if (g_hash_table_add(told, GUINT_TO_POINTER(slot->node))) {
                send(dispatcher, slot->node,
                     (mv_slot_record_t){.op = MV_SLOT_HINT,
                                        .work = urgency,
                                        .left_ms = deep ? MV_HINT_DEEP : 0});
            }
        }
    }
    g_hash_table_unref(told);
}

void
MvDispatcher_Timer(mv_dispatcher_t *dispatcher, mv_time_t now, mv_time_t wall)
{
    update_leaving(dispatcher, wall);
    for (size_t i = 0; i < dispatcher->server_count; i++) {
        server_t *server = &dispatcher->servers[i];
        expire_slots(dispatcher, server, now);
        update_busy(server, now);
        if (server->limit < server->slots && now >= server->next_ramp &&
            server->suspended_until <= now) {
            server->limit++;
            server->next_ramp = now + RAMP_INTERVAL;
        }
    }
    expire_waiters(dispatcher, now);
    update_rates(dispatcher, now);
    grant(dispatcher, now);
    send_hints(dispatcher, now);
}

size_t
MvDispatcher_Waiting(const mv_dispatcher_t *dispatcher)
{
    return dispatcher->waiting + dispatcher->assigned;
}

size_t
MvDispatcher_InUse(const mv_dispatcher_t *dispatcher)
{
    return dispatcher->in_use;
}
