/* Failure detection (SWIM): probes, indirect probes, suspicion, refutation. */
#include "node_private.h"

#include <math.h>

#define UPDATES_PER_MESSAGE 8
#define RETRANSMIT_FACTOR 4
/* Above the largest transmissions_left at any cluster size. */
#define MAX_TRANSMISSIONS 1000u
#define INDIRECT_PROBES 3
#define DIGEST_DELAY (100 * MV_MILLISECOND)
#define MAX_DEAD_PROBES 8
#define MOVES_DEFERRED_TIME (1500 * MV_MILLISECOND)

mv_member_t *
MvMembers_Find(const mv_node_t *node, mv_node_id_t id)
{
    return node->member_index[id];
}

/* Marks a member, or this node, whose groups need their holders recomputed. */
void
MvMembers_MarkChanged(mv_node_t *node, mv_node_id_t id)
{
    for (guint i = 0; i < node->changed_members->len; i++) {
        if (g_array_index(node->changed_members, mv_node_id_t, i) == id) {
            return;
        }
    }
    g_array_append_val(node->changed_members, id);
}

bool
MvMembers_IsLive(const mv_member_t *member)
{
    return member->state == MV_MEMBER_ALIVE ||
           member->state == MV_MEMBER_SUSPECT;
}

static void
reset_transmissions(mv_node_t *node, mv_member_t *member)
{
    double members = (double)node->members->len + 2;
    member->transmissions_left =
        (unsigned)(RETRANSMIT_FACTOR * ceil(log2(members)));
}

mv_member_t *
MvMembers_Add(mv_node_t *node, mv_node_id_t id)
{
    mv_member_t *member = node->member_index[id];
    if (member || id == node->settings.id) {
        return member;
    }
    member = g_new0(mv_member_t, 1);
    member->id = id;
    g_ptr_array_add(node->members, member);
    node->member_index[id] = member;
    return member;
}

static mv_log_event_t
event_of(mv_member_state_t state)
{
    switch (state) {
    case MV_MEMBER_SUSPECT:
        return MV_EVENT_MEMBER_SUSPECT;
    case MV_MEMBER_DEAD:
        return MV_EVENT_MEMBER_DEAD;
    case MV_MEMBER_LEFT:
        return MV_EVENT_MEMBER_LEFT;
    default:
        return MV_EVENT_MEMBER_ALIVE;
    }
}

static void
set_state(mv_node_t *node, mv_member_t *member, mv_member_state_t state,
          mv_time_t now)
{
    if (member->state == state) {
        return;
    }
    if (state == MV_MEMBER_ALIVE && member->state >= MV_MEMBER_LEFT) {
        /* Each side missed the bucket moves of the other: compare states
         * before any other bucket moves. */
        node->next_digest_peer = member->id;
        node->next_digests = MIN(node->next_digests, now + DIGEST_DELAY);
        node->moves_deferred_until = now + MOVES_DEFERRED_TIME;
    }
    member->state = state;
    member->state_since = now;
    MvMembers_MarkChanged(node, member->id);
    reset_transmissions(node, member);
    node->effects->ops->event(node->effects, event_of(state), member->id,
                              member->status_version);
    if (state == MV_MEMBER_DEAD || state == MV_MEMBER_LEFT) {
        member->probe_sequence = 0;
        for (guint i = 0; i < node->services->len; i++) {
            mv_node_service_t *service = g_ptr_array_index(node->services, i);
            g_hash_table_remove(service->reported_load,
                                GUINT_TO_POINTER(member->id));
        }
    }
}

/* Refutes a report that this node is suspect, left or dead. */
static void
refute(mv_node_t *node, mv_time_t now, const mv_member_update_t *update)
{
    if (update->status_version < node->status_version ||
        update->state == MV_MEMBER_ALIVE || node->left) {
        return;
    }
    node->status_version = update->status_version + 1;
    MvHandover_Resync(node, now);
}

static void
apply_update(mv_node_t *node, mv_time_t now, const mv_member_update_t *update)
{
    if (update->node >= MV_NO_NODE || update->state > MV_MEMBER_DEAD) {
        return;
    }
    if (update->node == node->settings.id) {
        refute(node, now, update);
        return;
    }
    mv_member_t *member = MvMembers_Add(node, (mv_node_id_t)update->node);
    bool newer = update->status_version > member->status_version;
    bool same = update->status_version == member->status_version;
    if (!newer && !(same && update->state > member->state)) {
        if (same && update->config_version > member->config_version) {
            member->config_version = update->config_version;
        }
        return;
    }
    if (member->incarnation != update->incarnation) {
        /* A new process does not have its predecessor's configuration. */
        member->config_version = 0;
    }
    member->status_version = update->status_version;
    if (member->ready != (update->ready != 0) ||
        member->data_centre != update->data_centre) {
        MvMembers_MarkChanged(node, member->id);
    }
    member->ready = update->ready;
    member->incarnation = update->incarnation;
    member->data_centre = update->data_centre;
    member->config_version =
        MAX(member->config_version, update->config_version);
    reset_transmissions(node, member);
    set_state(node, member, (mv_member_state_t)update->state, now);
}

mv_member_update_t
MvMembers_OwnUpdate(const mv_node_t *node)
{
    return (mv_member_update_t){
        .node = node->settings.id,
        .status_version = node->status_version,
        .incarnation = node->incarnation,
        .data_centre = node->settings.data_centre,
        .state = node->left ? MV_MEMBER_LEFT : MV_MEMBER_ALIVE,
        .ready = node->ready && !node->left,
        .config_version = node->deployment ? node->deployment->version : 0,
    };
}

static mv_member_update_t
update_of(const mv_member_t *member)
{
    return (mv_member_update_t){
        .node = member->id,
        .status_version = member->status_version,
        .incarnation = member->incarnation,
        .data_centre = member->data_centre,
        .state = member->state,
        .ready = member->ready,
        .config_version = member->config_version,
    };
}

/* Failures are sent before joins: when many nodes start together, one join
 * update per node waits, and a message carries UPDATES_PER_MESSAGE. */
static unsigned
update_priority(const mv_member_t *member)
{
    bool not_alive = member->state >= MV_MEMBER_SUSPECT;
    return member->transmissions_left + (not_alive ? MAX_TRANSMISSIONS : 0);
}

/* Chooses up to @wanted members whose updates have the highest priority:
 * failures first, then those that were sent least often, so that new updates
 * overtake old ones. */
static size_t
choose_updates(mv_node_t *node, mv_node_id_t to, size_t wanted,
               mv_member_t **chosen)
{
    size_t found = 0;
    guint total = node->members->len;
    guint start =
        total ? (guint)g_rand_int_range(node->random, 0, (gint32)total) : 0;
    for (guint i = 0; i < total; i++) {
        mv_member_t *member =
            g_ptr_array_index(node->members, (start + i) % total);
        bool full = found == wanted;
        if (member->transmissions_left == 0 || member->id == to ||
            (full &&
             update_priority(member) <= update_priority(chosen[found - 1]))) {
            continue;
        }
        size_t position = full ? found - 1 : found++;
        while (position > 0 && update_priority(chosen[position - 1]) <
                                   update_priority(member)) {
            chosen[position] = chosen[position - 1];
            position--;
        }
        chosen[position] = member;
    }
    return found;
}

/* Fills a message with this node's status, the receiver's own status if it is
 * suspect, left or dead, for it to refute, and then other updates. */
static size_t
fill_updates(mv_node_t *node, mv_node_id_t to, mv_member_update_t *updates)
{
    size_t count = 0;
    updates[count++] = MvMembers_OwnUpdate(node);
    mv_member_t *receiver = MvMembers_Find(node, to);
    if (receiver && receiver->state >= MV_MEMBER_SUSPECT) {
        updates[count++] = update_of(receiver);
    }
    mv_member_t *chosen[UPDATES_PER_MESSAGE];
    size_t wanted = UPDATES_PER_MESSAGE - count;
    size_t found = choose_updates(node, to, wanted, chosen);
    for (size_t i = 0; i < found; i++) {
        chosen[i]->transmissions_left--;
        updates[count++] = update_of(chosen[i]);
    }
    return count;
}

static void
send_probe(mv_node_t *node, mv_node_id_t to, uint32_t kind, uint32_t sequence,
           uint32_t target)
{
    mv_member_update_t updates[UPDATES_PER_MESSAGE];
    mv_message_t message = {
        .kind = kind,
        .sequence = sequence,
        .target = target,
        .version = node->deployment ? node->deployment->version : 0,
        .member_count = fill_updates(node, to, updates),
        .members = updates,
    };
    MvNode_Send(node, to, &message);
}

void
MvMembers_NoteContact(mv_node_t *node, mv_time_t now,
                      const mv_message_t *message)
{
    mv_member_t *member = MvMembers_Add(node, (mv_node_id_t)message->from);
    if (!member) {
        return;
    }
    member->last_contact = now;
    if (member->state == MV_MEMBER_UNKNOWN) {
        set_state(node, member, MV_MEMBER_ALIVE, now);
    }
    for (size_t i = 0; i < message->member_count; i++) {
        apply_update(node, now, &message->members[i]);
    }
}

static void
probe_for_requester(mv_node_t *node, mv_time_t now,
                    const mv_message_t *message)
{
    /* The acknowledgement names the requester in its @target. */
    (void)now;
    send_probe(node, (mv_node_id_t)message->target, MV_MESSAGE_PING,
               message->sequence, message->from);
}

static void
handle_ack(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    if (message->target != MV_NO_NODE &&
        message->target != node->settings.id) {
        /* Forward it to the member that requested the indirect probe. */
        mv_message_t copy = *message;
        mv_member_update_t updates[UPDATES_PER_MESSAGE];
        copy.member_count = MIN(message->member_count, UPDATES_PER_MESSAGE);
        for (size_t i = 0; i < copy.member_count; i++) {
            updates[i] = message->members[i];
        }
        copy.members = updates;
        copy.target = MV_NO_NODE;
        MvNode_Send(node, (mv_node_id_t)message->target, &copy);
        return;
    }
    for (guint i = 0; i < node->members->len; i++) {
        mv_member_t *member = g_ptr_array_index(node->members, i);
        if (member->probe_sequence &&
            member->probe_sequence == message->sequence) {
            member->probe_sequence = 0;
            member->last_contact = now;
        }
    }
}

void
MvMembers_Message(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    if (message->kind == MV_MESSAGE_PING) {
        send_probe(node, (mv_node_id_t)message->from, MV_MESSAGE_ACK,
                   message->sequence, message->target);
    }
    if (message->kind == MV_MESSAGE_ACK) {
        handle_ack(node, now, message);
    }
    if (message->kind == MV_MESSAGE_PING_REQUEST) {
        probe_for_requester(node, now, message);
    }
}

static mv_member_t *
next_probe_target(mv_node_t *node)
{
    guint total = node->members->len;
    for (guint i = 0; i < total; i++) {
        node->probe_position++;
        mv_member_t *member =
            g_ptr_array_index(node->members, node->probe_position % total);
        /* A member that is dead or has left is probed one time in eight, to
         * detect a healed partition. */
        bool retry = g_rand_int_range(node->random, 0, 8) == 0;
        if (member->probe_sequence == 0 &&
            (MvMembers_IsLive(member) || retry ||
             member->state == MV_MEMBER_UNKNOWN)) {
            return member;
        }
    }
    return NULL;
}

static void
probe(mv_node_t *node, mv_time_t now)
{
    mv_member_t *member = next_probe_target(node);
    if (!member) {
        return;
    }
    if (MvMembers_IsLive(member)) {
        member->probe_sequence = ++node->last_probe_sequence;
        member->probe_sent = now;
        member->probe_indirect = false;
    }
    send_probe(node, member->id, MV_MESSAGE_PING, member->probe_sequence,
               MV_NO_NODE);
}

bool
MvMembers_ProbeDead(mv_node_t *node)
{
    guint total = node->members->len;
    guint start =
        total ? (guint)g_rand_int_range(node->random, 0, (gint32)total) : 0;
    unsigned probed = 0;
    for (guint i = 0; i < total && probed < MAX_DEAD_PROBES; i++) {
        const mv_member_t *member =
            g_ptr_array_index(node->members, (start + i) % total);
        if (member->state == MV_MEMBER_DEAD) {
            send_probe(node, member->id, MV_MESSAGE_PING, 0, MV_NO_NODE);
            probed++;
        }
    }
    return probed > 0;
}

static void
request_indirect_probes(mv_node_t *node, mv_member_t *member)
{
    guint total = node->members->len;
    guint start = (guint)g_rand_int_range(node->random, 0, (gint32)total);
    unsigned sent = 0;
    for (guint i = 0; i < total && sent < INDIRECT_PROBES; i++) {
        mv_member_t *peer =
            g_ptr_array_index(node->members, (start + i) % total);
        if (peer != member && peer->state == MV_MEMBER_ALIVE) {
            send_probe(node, peer->id, MV_MESSAGE_PING_REQUEST,
                       member->probe_sequence, member->id);
            sent++;
        }
    }
}

static void
check_member(mv_node_t *node, mv_member_t *member, mv_time_t now)
{
    const mv_node_settings_t *settings = &node->settings;
    mv_time_t waited = now - member->probe_sent;
    if (member->probe_sequence && !member->probe_indirect &&
        waited >= settings->probe_timeout) {
        member->probe_indirect = true;
        request_indirect_probes(node, member);
    }
    if (member->probe_sequence &&
        waited >= settings->probe_timeout + settings->probe_interval) {
        member->probe_sequence = 0;
        if (member->state == MV_MEMBER_ALIVE) {
            set_state(node, member, MV_MEMBER_SUSPECT, now);
        }
    }
    if (member->state == MV_MEMBER_SUSPECT &&
        now - member->state_since >= settings->suspect_timeout) {
        set_state(node, member, MV_MEMBER_DEAD, now);
    }
}

/* Sent by stream, which is reliable, since the choice of holders depends on
 * these updates. */
static void
send_updates_to_all(mv_node_t *node)
{
    for (guint i = 0; i < node->members->len; i++) {
        mv_member_t *member = g_ptr_array_index(node->members, i);
        if (MvMembers_IsLive(member)) {
            send_probe(node, member->id, MV_MESSAGE_MEMBER_UPDATES, 0,
                       MV_NO_NODE);
        }
    }
}

void
MvMembers_AnnounceReady(mv_node_t *node)
{
    node->ready = true;
    MvMembers_MarkChanged(node, node->settings.id);
    node->status_version++;
    send_updates_to_all(node);
}

void
MvMembers_AnnounceLeft(mv_node_t *node)
{
    node->left = true;
    MvMembers_MarkChanged(node, node->settings.id);
    node->status_version++;
    send_updates_to_all(node);
}

void
MvMembers_Timer(mv_node_t *node, mv_time_t now)
{
    for (guint i = 0; i < node->members->len; i++) {
        check_member(node, g_ptr_array_index(node->members, i), now);
    }
    if (now >= node->next_probe) {
        node->next_probe = now + node->settings.probe_interval;
        probe(node, now);
    }
}
