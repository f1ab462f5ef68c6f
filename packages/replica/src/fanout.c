/* A few nodes of a data centre watch the store; the others learn from them.
 *
 * Every node ranks its neighbours by a hash that all compute alike.  The
 * first in rank watches; one further down watches while it hears no fresh
 * heartbeat of a better one.  There is no election and no write: two that
 * watch at once cost a call a second, nothing else. */
#include <string.h>
#include <xxhash.h>

#include "masticvane/replica.h"

/* A node whose key vanished may only have been cut off: told for a while. */
#define KEEP_REMOVED (30 * MV_SECOND)

typedef struct member {
    mv_node_record_t neighbour;
    uint64_t rank;
    mv_time_t removed_at;
    mv_time_t fresh_at;
    mv_time_t pulled_at;
    mv_time_t heard_at;
    bool is_lost;
} member_t;

struct mv_fanout {
    mv_fanout_settings_t settings;
    mv_replica_t *replica;
    mv_follower_t *follower;
    const mv_fanout_ops_t *ops;
    void *context;
    GHashTable *members;
    mv_node_id_t self;
    uint64_t rank;
    mv_time_t began_at;
    bool watches;
    mv_time_t next_heartbeat;
    uint64_t pushed;
    uint64_t behind_revision;
    mv_time_t behind_since;
};

mv_fanout_settings_t
MvFanoutSettings_Default(const char *data_centre)
{
    mv_fanout_settings_t settings = {
        .heartbeat_interval = 300 * MV_MILLISECOND,
        .heartbeat_timeout = MV_SECOND,
        .rank_delay = 100 * MV_MILLISECOND,
        .freshness_limit = 1600 * MV_MILLISECOND,
        .pull_interval = 150 * MV_MILLISECOND,
        .watch_group_size = 24,
        .report_group_size = 64,
    };
    g_strlcpy(settings.data_centre, data_centre, MV_NAME_MAX);
    return settings;
}

mv_fanout_t *
MvFanout_Create(const mv_fanout_settings_t *settings, mv_replica_t *replica,
                mv_follower_t *follower, const mv_fanout_ops_t *ops,
                void *context)
{
    mv_fanout_t *fanout = g_new0(mv_fanout_t, 1);
    fanout->settings = *settings;
    fanout->replica = replica;
    fanout->follower = follower;
    fanout->ops = ops;
    fanout->context = context;
    fanout->self = MV_NO_NODE;
    fanout->watches = true;
    fanout->members = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return fanout;
}

void
MvFanout_Destroy(mv_fanout_t *fanout)
{
    if (!fanout) {
        return;
    }
    g_hash_table_unref(fanout->members);
    g_free(fanout);
}

/* Members */

static uint64_t
rank_of(mv_node_id_t id)
{
    return XXH3_64bits(&id, sizeof(id));
}

void
MvFanout_SetSelf(mv_fanout_t *fanout, mv_time_t now, mv_node_id_t id)
{
    fanout->self = id;
    fanout->rank = rank_of(id);
    fanout->began_at = now;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, fanout->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const member_t *member = value;
        fanout->ops->add_peer(fanout->context, &member->neighbour);
    }
}

static void
add_member(mv_fanout_t *fanout, const mv_node_record_t *neighbour)
{
    gpointer key = GUINT_TO_POINTER((guint)neighbour->id);
    member_t *member = g_hash_table_lookup(fanout->members, key);
    bool is_new = !member;
    if (is_new) {
        member = g_new0(member_t, 1);
        g_hash_table_insert(fanout->members, key, member);
    }
    bool moved = strcmp(member->neighbour.address, neighbour->address) != 0 ||
                 member->neighbour.port != neighbour->port;
    member->neighbour = *neighbour;
    member->rank = rank_of(neighbour->id);
    member->removed_at = 0;
    if (moved) {
        fanout->ops->add_peer(fanout->context, neighbour);
    }
}

void
MvFanout_UpdateNode(mv_fanout_t *fanout, mv_time_t now, const char *key,
                    const char *value)
{
    mv_node_record_t neighbour;
    if (MvNodeRecord_Parse(key, value, &neighbour)) {
        if (!strcmp(neighbour.data_centre, fanout->settings.data_centre)) {
            add_member(fanout, &neighbour);
        }
        return;
    }
    member_t *member = g_hash_table_lookup(
        fanout->members, GUINT_TO_POINTER((guint)neighbour.id));
    if (member && !value) {
        member->removed_at = now;
    }
}

static bool
is_forgotten(const member_t *member, mv_time_t now)
{
    return member->removed_at > 0 && now - member->removed_at > KEEP_REMOVED;
}

static gboolean
forget(gpointer key, gpointer value, gpointer context)
{
    const mv_time_t *now = context;
    (void)key;
    return is_forgotten(value, *now);
}

/* Cells: parts of a data centre that one watcher can serve. */

static uint64_t
mask_of(const mv_fanout_t *fanout, unsigned watch_group_size)
{
    uint64_t cells = 1;
    while (cells * watch_group_size < g_hash_table_size(fanout->members)) {
        cells *= 2;
    }
    return cells - 1;
}

static uint64_t
cell_mask(const mv_fanout_t *fanout)
{
    return mask_of(fanout, fanout->settings.watch_group_size);
}

static bool
is_in_cell(const mv_fanout_t *fanout, const member_t *member, uint64_t mask)
{
    return member->neighbour.id != fanout->self &&
           (member->rank & mask) == (fanout->rank & mask);
}

unsigned
MvFanout_LocalNodes(const mv_fanout_t *fanout)
{
    return MAX(g_hash_table_size(fanout->members), 1);
}

/* Role */

typedef struct standing {
    unsigned better;
    mv_time_t fresh_at;
} standing_t;

static standing_t
look_at_better(const mv_fanout_t *fanout)
{
    GHashTableIter iter;
    gpointer value = NULL;
    uint64_t mask = cell_mask(fanout);
    standing_t standing = {0};
    g_hash_table_iter_init(&iter, fanout->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const member_t *member = value;
        if (is_in_cell(fanout, member, mask) && member->rank < fanout->rank) {
            standing.better++;
            standing.fresh_at = MAX(standing.fresh_at, member->fresh_at);
        }
    }
    return standing;
}

/* Return: when a node that does not watch begins to, without a heartbeat. */
static mv_time_t
choose_role(mv_fanout_t *fanout, mv_time_t now)
{
    standing_t standing = look_at_better(fanout);
    mv_time_t patience = fanout->settings.heartbeat_timeout +
                         standing.better * fanout->settings.rank_delay;
    mv_time_t since = MAX(standing.fresh_at, fanout->began_at);
    bool watches = fanout->self == MV_NO_NODE || standing.better == 0 ||
                   now - since > patience;
    if (watches != fanout->watches) {
        fanout->ops->role_changed(fanout->context, watches, standing.better);
        fanout->next_heartbeat = now;
    }
    fanout->watches = watches;
    MvFollower_SetActive(fanout->follower, watches);
    return since + patience + 1;
}

mv_time_t
MvFanout_Staleness(const mv_fanout_t *fanout, mv_time_t now)
{
    mv_time_t contact_changed = MvFollower_LastContact(fanout->follower);
    return now - MAX(contact_changed, look_at_better(fanout).fresh_at);
}

bool
MvFanout_IsWatching(const mv_fanout_t *fanout)
{
    return fanout->watches;
}

void
MvFanout_Resumed(mv_fanout_t *fanout)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, fanout->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        member_t *member = value;
        member->fresh_at = 0;
    }
    fanout->began_at = 0;
}

/* Messages */

static bool
is_fresh(const mv_fanout_t *fanout, mv_time_t now)
{
    return now - MvFollower_LastContact(fanout->follower) <
           fanout->settings.freshness_limit;
}

static mv_message_t
make_message(const mv_fanout_t *fanout, mv_message_kind_t kind)
{
    return (mv_message_t){.kind = kind,
                          .from = fanout->self,
                          .version = MvReplica_Revision(fanout->replica)};
}

static void
send_to_cell(mv_fanout_t *fanout, mv_time_t now, uint64_t mask,
             const mv_message_t *message)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, fanout->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const member_t *member = value;
        if (is_in_cell(fanout, member, mask) && !is_forgotten(member, now)) {
            fanout->ops->send(fanout->context, member->neighbour.id, message);
        }
    }
}

void
MvFanout_Broadcast(mv_fanout_t *fanout, mv_time_t now, mv_message_t *message)
{
    if (fanout->self == MV_NO_NODE) {
        return;
    }
    message->from = fanout->self;
    send_to_cell(fanout, now,
                 mask_of(fanout, fanout->settings.report_group_size), message);
}

static void
send_heartbeats(mv_fanout_t *fanout, mv_time_t now)
{
    mv_message_t message = make_message(fanout, MV_MESSAGE_REPLICA_HEARTBEAT);
    message.target = is_fresh(fanout, now);
    fanout->next_heartbeat = now + fanout->settings.heartbeat_interval;
    send_to_cell(fanout, now, cell_mask(fanout), &message);
}

static void
send_delta(mv_fanout_t *fanout, mv_time_t now, const mv_node_id_t *to,
           uint64_t since)
{
    mv_buffer_t bytes = {.data = NULL};
    mv_message_t message = make_message(fanout, MV_MESSAGE_REPLICA_DELTA);
    if (MvReplica_EncodeSince(fanout->replica, since, &bytes)) {
        message.blob = (char *)bytes.data;
        message.blob_length = bytes.length;
        if (to) {
            fanout->ops->send(fanout->context, *to, &message);
        }
        else {
            send_to_cell(fanout, now, cell_mask(fanout), &message);
        }
    }
    MvBuffer_Clear(&bytes);
}

static void
push(mv_fanout_t *fanout, mv_time_t now)
{
    uint64_t revision = MvReplica_Revision(fanout->replica);
    if (revision > fanout->pushed && fanout->pushed > 0) {
        send_delta(fanout, now, NULL, fanout->pushed);
    }
    fanout->pushed = revision;
}

static void
pull(mv_fanout_t *fanout, mv_time_t now, member_t *member)
{
    if (now - member->pulled_at < fanout->settings.pull_interval) {
        return;
    }
    member->pulled_at = now;
    mv_message_t message = make_message(fanout, MV_MESSAGE_REPLICA_PULL);
    fanout->ops->send(fanout->context, member->neighbour.id, &message);
}

mv_time_t
MvFanout_BehindSince(const mv_fanout_t *fanout)
{
    bool is_behind =
        fanout->behind_revision > MvReplica_Revision(fanout->replica);
    return is_behind ? fanout->behind_since : 0;
}

static void
note_revision(mv_fanout_t *fanout, mv_time_t now, uint64_t revision)
{
    if (revision <= MvReplica_Revision(fanout->replica)) {
        return;
    }
    if (MvFanout_BehindSince(fanout) == 0) {
        fanout->behind_since = now;
    }
    fanout->behind_revision = MAX(fanout->behind_revision, revision);
}

static void
note_heard(mv_fanout_t *fanout, mv_time_t now, member_t *member)
{
    if (member->is_lost) {
        member->is_lost = false;
        fanout->ops->contact_changed(fanout->context, member->neighbour.id,
                                     true, now - member->heard_at);
    }
    member->heard_at = now;
}

/* Only who watches sends heartbeats: one may also have ceased to watch. */
static void
note_lost(mv_fanout_t *fanout, mv_time_t now)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, fanout->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        member_t *member = value;
        mv_time_t gone = now - member->heard_at;
        if (member->heard_at > 0 && !member->is_lost &&
            gone > fanout->settings.heartbeat_timeout) {
            member->is_lost = true;
            fanout->ops->contact_changed(fanout->context, member->neighbour.id,
                                         false, gone);
        }
    }
}

static void
take_heartbeat(mv_fanout_t *fanout, mv_time_t now, member_t *member,
               const mv_message_t *message)
{
    note_heard(fanout, now, member);
    note_revision(fanout, now, message->version);
    /* A stale one makes room at once; the next in rank goes first. */
    member->fresh_at =
        message->target
            ? now
            : MIN(member->fresh_at, now - fanout->settings.heartbeat_timeout);
    if (message->version > MvReplica_Revision(fanout->replica)) {
        pull(fanout, now, member);
    }
}

static void
take_delta(mv_fanout_t *fanout, mv_time_t now, member_t *member,
           const mv_message_t *message)
{
    mv_merge_t merge = MvReplica_Merge(fanout->replica, now, message->blob,
                                       message->blob_length);
    if (merge == MV_MERGE_GAP) {
        pull(fanout, now, member);
    }
}

void
MvFanout_HandleMessage(mv_fanout_t *fanout, mv_time_t now,
                       const mv_message_t *message)
{
    member_t *member =
        g_hash_table_lookup(fanout->members, GUINT_TO_POINTER(message->from));
    if (!member) {
        return;
    }
    const mv_node_id_t from = (mv_node_id_t)message->from;
    switch (message->kind) {
    case MV_MESSAGE_REPLICA_HEARTBEAT:
        take_heartbeat(fanout, now, member, message);
        break;
    case MV_MESSAGE_REPLICA_PULL:
        send_delta(fanout, now, &from, message->version);
        break;
    case MV_MESSAGE_REPLICA_DELTA:
        take_delta(fanout, now, member, message);
        break;
    default:
        break;
    }
}

mv_time_t
MvFanout_Timer(mv_fanout_t *fanout, mv_time_t now)
{
    g_hash_table_foreach_remove(fanout->members, forget, &now);
    note_lost(fanout, now);
    mv_time_t due = choose_role(fanout, now);
    if (!fanout->watches) {
        fanout->pushed = 0;
        return due;
    }
    push(fanout, now);
    if (now >= fanout->next_heartbeat) {
        send_heartbeats(fanout, now);
    }
    return fanout->next_heartbeat;
}
