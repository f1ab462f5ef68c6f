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
    mv_neighbour_t neighbour;
    uint64_t rank;
    mv_time_t removed_at;
    mv_time_t fresh_at;
    mv_time_t pulled_at;
    mv_time_t heard_at;
    bool is_lost;
} member_t;

struct mv_feed {
    mv_feed_settings_t settings;
    mv_replica_t *replica;
    mv_follower_t *follower;
    const mv_feed_ops_t *ops;
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

mv_feed_settings_t
MvFeedSettings_Default(const char *data_centre)
{
    mv_feed_settings_t settings = {
        .heartbeat = 300 * MV_MILLISECOND,
        .silence = MV_SECOND,
        .rank_step = 100 * MV_MILLISECOND,
        .fresh_limit = 1600 * MV_MILLISECOND,
        .pull_interval = 150 * MV_MILLISECOND,
        .cell_size = 24,
        .word_cell_size = 64,
    };
    g_strlcpy(settings.data_centre, data_centre, MV_NAME_MAX);
    return settings;
}

mv_feed_t *
MvFeed_Create(const mv_feed_settings_t *settings, mv_replica_t *replica,
              mv_follower_t *follower, const mv_feed_ops_t *ops, void *context)
{
    mv_feed_t *feed = g_new0(mv_feed_t, 1);
    feed->settings = *settings;
    feed->replica = replica;
    feed->follower = follower;
    feed->ops = ops;
    feed->context = context;
    feed->self = MV_NO_NODE;
    feed->watches = true;
    feed->members = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return feed;
}

void
MvFeed_Destroy(mv_feed_t *feed)
{
    if (!feed) {
        return;
    }
    g_hash_table_unref(feed->members);
    g_free(feed);
}

/* Members */

static uint64_t
rank_of(mv_node_id_t id)
{
    return XXH3_64bits(&id, sizeof(id));
}

void
MvFeed_SetSelf(mv_feed_t *feed, mv_time_t now, mv_node_id_t id)
{
    feed->self = id;
    feed->rank = rank_of(id);
    feed->began_at = now;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, feed->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const member_t *member = value;
        feed->ops->meet(feed->context, &member->neighbour);
    }
}

static void
add_member(mv_feed_t *feed, const mv_neighbour_t *neighbour)
{
    gpointer key = GUINT_TO_POINTER((guint)neighbour->id);
    member_t *member = g_hash_table_lookup(feed->members, key);
    bool is_new = !member;
    if (is_new) {
        member = g_new0(member_t, 1);
        g_hash_table_insert(feed->members, key, member);
    }
    bool moved = strcmp(member->neighbour.address, neighbour->address) != 0 ||
                 member->neighbour.port != neighbour->port;
    member->neighbour = *neighbour;
    member->rank = rank_of(neighbour->id);
    member->removed_at = 0;
    if (moved) {
        feed->ops->meet(feed->context, neighbour);
    }
}

void
MvFeed_Learn(mv_feed_t *feed, mv_time_t now, const char *key,
             const char *value)
{
    mv_neighbour_t neighbour;
    if (MvNeighbour_Parse(key, value, &neighbour)) {
        if (!strcmp(neighbour.data_centre, feed->settings.data_centre)) {
            add_member(feed, &neighbour);
        }
        return;
    }
    member_t *member = g_hash_table_lookup(
        feed->members, GUINT_TO_POINTER((guint)neighbour.id));
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
mask_of(const mv_feed_t *feed, unsigned cell_size)
{
    uint64_t cells = 1;
    while (cells * cell_size < g_hash_table_size(feed->members)) {
        cells *= 2;
    }
    return cells - 1;
}

static uint64_t
cell_mask(const mv_feed_t *feed)
{
    return mask_of(feed, feed->settings.cell_size);
}

static bool
is_in_cell(const mv_feed_t *feed, const member_t *member, uint64_t mask)
{
    return member->neighbour.id != feed->self &&
           (member->rank & mask) == (feed->rank & mask);
}

unsigned
MvFeed_NearNodes(const mv_feed_t *feed)
{
    return MAX(g_hash_table_size(feed->members), 1);
}

/* Role */

typedef struct standing {
    unsigned better;
    mv_time_t fresh_at;
} standing_t;

static standing_t
look_at_better(const mv_feed_t *feed)
{
    GHashTableIter iter;
    gpointer value = NULL;
    uint64_t mask = cell_mask(feed);
    standing_t standing = {0};
    g_hash_table_iter_init(&iter, feed->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const member_t *member = value;
        if (is_in_cell(feed, member, mask) && member->rank < feed->rank) {
            standing.better++;
            standing.fresh_at = MAX(standing.fresh_at, member->fresh_at);
        }
    }
    return standing;
}

/* Return: when a node that does not watch begins to, without a heartbeat. */
static mv_time_t
choose_role(mv_feed_t *feed, mv_time_t now)
{
    standing_t standing = look_at_better(feed);
    mv_time_t patience =
        feed->settings.silence + standing.better * feed->settings.rank_step;
    mv_time_t since = MAX(standing.fresh_at, feed->began_at);
    bool watches = feed->self == MV_NO_NODE || standing.better == 0 ||
                   now - since > patience;
    if (watches != feed->watches) {
        feed->ops->role(feed->context, watches, standing.better);
        feed->next_heartbeat = now;
    }
    feed->watches = watches;
    MvFollower_SetActive(feed->follower, watches);
    return since + patience + 1;
}

mv_time_t
MvFeed_KnowledgeAge(const mv_feed_t *feed, mv_time_t now)
{
    mv_time_t heard = MvFollower_HeardAt(feed->follower);
    return now - MAX(heard, look_at_better(feed).fresh_at);
}

bool
MvFeed_Watches(const mv_feed_t *feed)
{
    return feed->watches;
}

void
MvFeed_Woke(mv_feed_t *feed)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, feed->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        member_t *member = value;
        member->fresh_at = 0;
    }
    feed->began_at = 0;
}

/* Messages */

static bool
is_fresh(const mv_feed_t *feed, mv_time_t now)
{
    return now - MvFollower_HeardAt(feed->follower) <
           feed->settings.fresh_limit;
}

static mv_message_t
make_message(const mv_feed_t *feed, mv_message_kind_t kind)
{
    return (mv_message_t){.kind = kind,
                          .from = feed->self,
                          .version = MvReplica_Revision(feed->replica)};
}

static void
send_to_cell(mv_feed_t *feed, mv_time_t now, uint64_t mask,
             const mv_message_t *message)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, feed->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const member_t *member = value;
        if (is_in_cell(feed, member, mask) && !is_forgotten(member, now)) {
            feed->ops->send(feed->context, member->neighbour.id, message);
        }
    }
}

void
MvFeed_Tell(mv_feed_t *feed, mv_time_t now, mv_message_t *message)
{
    if (feed->self == MV_NO_NODE) {
        return;
    }
    message->from = feed->self;
    send_to_cell(feed, now, mask_of(feed, feed->settings.word_cell_size),
                 message);
}

static void
send_heartbeats(mv_feed_t *feed, mv_time_t now)
{
    mv_message_t message = make_message(feed, MV_MESSAGE_REPLICA_HEARTBEAT);
    message.target = is_fresh(feed, now);
    feed->next_heartbeat = now + feed->settings.heartbeat;
    send_to_cell(feed, now, cell_mask(feed), &message);
}

static void
send_delta(mv_feed_t *feed, mv_time_t now, const mv_node_id_t *to,
           uint64_t since)
{
    mv_buffer_t bytes = {.data = NULL};
    mv_message_t message = make_message(feed, MV_MESSAGE_REPLICA_DELTA);
    if (MvReplica_EncodeSince(feed->replica, since, &bytes)) {
        message.blob = (char *)bytes.data;
        message.blob_length = bytes.length;
        if (to) {
            feed->ops->send(feed->context, *to, &message);
        }
        else {
            send_to_cell(feed, now, cell_mask(feed), &message);
        }
    }
    MvBuffer_Clear(&bytes);
}

static void
push(mv_feed_t *feed, mv_time_t now)
{
    uint64_t revision = MvReplica_Revision(feed->replica);
    if (revision > feed->pushed && feed->pushed > 0) {
        send_delta(feed, now, NULL, feed->pushed);
    }
    feed->pushed = revision;
}

static void
pull(mv_feed_t *feed, mv_time_t now, member_t *member)
{
    if (now - member->pulled_at < feed->settings.pull_interval) {
        return;
    }
    member->pulled_at = now;
    mv_message_t message = make_message(feed, MV_MESSAGE_REPLICA_PULL);
    feed->ops->send(feed->context, member->neighbour.id, &message);
}

mv_time_t
MvFeed_BehindSince(const mv_feed_t *feed)
{
    bool is_behind = feed->behind_revision > MvReplica_Revision(feed->replica);
    return is_behind ? feed->behind_since : 0;
}

static void
note_revision(mv_feed_t *feed, mv_time_t now, uint64_t revision)
{
    if (revision <= MvReplica_Revision(feed->replica)) {
        return;
    }
    if (MvFeed_BehindSince(feed) == 0) {
        feed->behind_since = now;
    }
    feed->behind_revision = MAX(feed->behind_revision, revision);
}

static void
note_heard(mv_feed_t *feed, mv_time_t now, member_t *member)
{
    if (member->is_lost) {
        member->is_lost = false;
        feed->ops->heard(feed->context, member->neighbour.id, true,
                         now - member->heard_at);
    }
    member->heard_at = now;
}

/* Only who watches sends heartbeats: one may also have ceased to watch. */
static void
note_lost(mv_feed_t *feed, mv_time_t now)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, feed->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        member_t *member = value;
        mv_time_t gone = now - member->heard_at;
        if (member->heard_at > 0 && !member->is_lost &&
            gone > feed->settings.silence) {
            member->is_lost = true;
            feed->ops->heard(feed->context, member->neighbour.id, false, gone);
        }
    }
}

static void
take_heartbeat(mv_feed_t *feed, mv_time_t now, member_t *member,
               const mv_message_t *message)
{
    note_heard(feed, now, member);
    note_revision(feed, now, message->version);
    /* A stale one makes room at once; the next in rank goes first. */
    member->fresh_at =
        message->target ? now
                        : MIN(member->fresh_at, now - feed->settings.silence);
    if (message->version > MvReplica_Revision(feed->replica)) {
        pull(feed, now, member);
    }
}

static void
take_delta(mv_feed_t *feed, mv_time_t now, member_t *member,
           const mv_message_t *message)
{
    mv_merge_t merge = MvReplica_Merge(feed->replica, now, message->blob,
                                       message->blob_length);
    if (merge == MV_MERGE_GAP) {
        pull(feed, now, member);
    }
}

void
MvFeed_Message(mv_feed_t *feed, mv_time_t now, const mv_message_t *message)
{
    member_t *member =
        g_hash_table_lookup(feed->members, GUINT_TO_POINTER(message->from));
    if (!member) {
        return;
    }
    const mv_node_id_t from = (mv_node_id_t)message->from;
    switch (message->kind) {
    case MV_MESSAGE_REPLICA_HEARTBEAT:
        take_heartbeat(feed, now, member, message);
        break;
    case MV_MESSAGE_REPLICA_PULL:
        send_delta(feed, now, &from, message->version);
        break;
    case MV_MESSAGE_REPLICA_DELTA:
        take_delta(feed, now, member, message);
        break;
    default:
        break;
    }
}

mv_time_t
MvFeed_Timer(mv_feed_t *feed, mv_time_t now)
{
    g_hash_table_foreach_remove(feed->members, forget, &now);
    note_lost(feed, now);
    mv_time_t due = choose_role(feed, now);
    if (!feed->watches) {
        feed->pushed = 0;
        return due;
    }
    push(feed, now);
    if (now >= feed->next_heartbeat) {
        send_heartbeats(feed, now);
    }
    return feed->next_heartbeat;
}
