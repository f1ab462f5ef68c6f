/* Who is alive: probes, indirect probes, suspicion and refutation. */
#include "node_private.h"

#include <math.h>

#define UPDATES_PER_MESSAGE 8
#define SPREAD_FACTOR 4
/* Above what any fleet's logarithm comes to. */
#define SPREAD_MAX 1000u
#define INDIRECT_PROBES 3
#define DIGESTS_SOON (100 * MV_MILLISECOND)
#define DEAD_PROBES 8
#define MOVES_HELD (1500 * MV_MILLISECOND)
#define FORGET_DEAD_AFTER (60 * MV_SECOND)

mv_member_t *
MvMembers_Find(const mv_node_t *node, mv_node_id_t id)
{
    return node->member_index[id];
}

/* The homes of the groups it may have won or lost are chosen anew. */
void
MvMembers_NoteChange(mv_node_t *node, mv_node_id_t id)
{
    for (guint i = 0; i < node->changed->len; i++) {
        if (g_array_index(node->changed, mv_node_id_t, i) == id) {
            return;
        }
    }
    g_array_append_val(node->changed, id);
}

bool
MvMembers_IsLive(const mv_member_t *member)
{
    return member->state == MV_MEMBER_ALIVE ||
           member->state == MV_MEMBER_SUSPECT;
}

static void
spread_again(mv_node_t *node, mv_member_t *member)
{
    double members = (double)node->members->len + 2;
    member->spread_left = (unsigned)(SPREAD_FACTOR * ceil(log2(members)));
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
        /* Neither side was told what the other moved meanwhile: it is asked
         * before anything else moves. */
        node->digests_to = member->id;
        node->next_digests = MIN(node->next_digests, now + DIGESTS_SOON);
        node->moves_held_until = now + MOVES_HELD;
    }
    member->state = state;
    member->state_since = now;
    MvMembers_NoteChange(node, member->id);
    spread_again(node, member);
    node->effects->ops->event(node->effects, event_of(state), member->id,
                              member->status_version);
    if (state == MV_MEMBER_DEAD || state == MV_MEMBER_LEFT) {
        member->probe_sequence = 0;
        for (guint i = 0; i < node->services->len; i++) {
            mv_node_service_t *service = g_ptr_array_index(node->services, i);
            g_hash_table_remove(service->heard_load,
                                GUINT_TO_POINTER(member->id));
        }
    }
}

/* Refute what others believe of this node. */
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
        /* A new process knows nothing of what the former one had. */
        member->config_version = 0;
    }
    member->status_version = update->status_version;
    if (member->ready != (update->ready != 0) ||
        member->data_centre != update->data_centre) {
        MvMembers_NoteChange(node, member->id);
    }
    member->ready = update->ready;
    member->incarnation = update->incarnation;
    member->data_centre = update->data_centre;
    member->config_version =
        MAX(member->config_version, update->config_version);
    spread_again(node, member);
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

/* Who is gone goes before who came: after a start of many the latter wait by
 * the hundred. */
static unsigned
news_rank(const mv_member_t *member)
{
    bool gone = member->state >= MV_MEMBER_SUSPECT;
    return member->spread_left + (gone ? SPREAD_MAX : 0);
}

/* The beliefs that were passed on least often, so that news overtake. */
static size_t
choose_freshest(mv_node_t *node, mv_node_id_t to, size_t wanted,
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
        if (member->spread_left == 0 || member->id == to ||
            (full && news_rank(member) <= news_rank(chosen[found - 1]))) {
            continue;
        }
        size_t at = full ? found - 1 : found++;
        while (at > 0 && news_rank(chosen[at - 1]) < news_rank(member)) {
            chosen[at] = chosen[at - 1];
            at--;
        }
        chosen[at] = member;
    }
    return found;
}

/* Freshest beliefs first; the receiver always hears about itself. */
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
    size_t found = choose_freshest(node, to, wanted, chosen);
    for (size_t i = 0; i < found; i++) {
        chosen[i]->spread_left--;
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
MvMembers_Heard(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    mv_member_t *member = MvMembers_Add(node, (mv_node_id_t)message->from);
    if (!member) {
        return;
    }
    member->heard = now;
    if (member->state == MV_MEMBER_UNKNOWN) {
        set_state(node, member, MV_MEMBER_ALIVE, now);
    }
    for (size_t i = 0; i < message->member_count; i++) {
        apply_update(node, now, &message->members[i]);
    }
}

static void
answer_indirect(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    /* The acknowledgement carries the asker back through @target. */
    (void)now;
    send_probe(node, (mv_node_id_t)message->target, MV_MESSAGE_PING,
               message->sequence, message->from);
}

static void
take_ack(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    if (message->target != MV_NO_NODE &&
        message->target != node->settings.id) {
        /* Pass it on to the member that asked for the probe. */
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
            member->heard = now;
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
        take_ack(node, now, message);
    }
    if (message->kind == MV_MESSAGE_PING_REQUEST) {
        answer_indirect(node, now, message);
    }
}

static mv_member_t *
next_to_probe(mv_node_t *node)
{
    guint total = node->members->len;
    for (guint i = 0; i < total; i++) {
        node->probe_position++;
        mv_member_t *member =
            g_ptr_array_index(node->members, node->probe_position % total);
        /* The dead are tried at times, so that a healed partition is seen. */
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
    mv_member_t *member = next_to_probe(node);
    if (!member) {
        return;
    }
    if (MvMembers_IsLive(member)) {
        member->probe_sequence = ++node->sequence;
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
    for (guint i = 0; i < total && probed < DEAD_PROBES; i++) {
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
ask_others(mv_node_t *node, mv_member_t *member)
{
    guint total = node->members->len;
    guint start = (guint)g_rand_int_range(node->random, 0, (gint32)total);
    unsigned asked = 0;
    for (guint i = 0; i < total && asked < INDIRECT_PROBES; i++) {
        mv_member_t *other =
            g_ptr_array_index(node->members, (start + i) % total);
        if (other != member && other->state == MV_MEMBER_ALIVE) {
            send_probe(node, other->id, MV_MESSAGE_PING_REQUEST,
                       member->probe_sequence, member->id);
            asked++;
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
        ask_others(node, member);
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

/* By stream, since homes change with it: nobody should miss it. */
static void
tell_all(mv_node_t *node)
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
    MvMembers_NoteChange(node, node->settings.id);
    node->status_version++;
    tell_all(node);
}

void
MvMembers_AnnounceLeft(mv_node_t *node)
{
    node->left = true;
    MvMembers_NoteChange(node, node->settings.id);
    node->status_version++;
    tell_all(node);
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
