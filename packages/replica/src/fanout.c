/* Change distribution: a few nodes of a data centre watch the store and update
 * the others.
 *
 * The nodes of a watch group are ranked by a hash of their ids, which is the
 * same at every node; the lowest hash ranks highest.  The node of the highest
 * rank watches the store; any other node watches while it receives no fresh
 * heartbeat from a node of higher rank.  This needs no election and no write
 * to the store: two nodes that watch at the same time only cost about one more
 * call per second. */
#include <string.h>
#include <xxhash.h>

#include "masticvane/replica.h"

/* A node whose record was deleted may still run, partitioned from the store,
 * so messages are sent to it for this time after the deletion. */
#define REMOVED_RETENTION (30 * MV_SECOND)

typedef struct peer {
    mv_node_record_t record;
    uint64_t rank;
    mv_time_t removed_at; /* 0 while the record exists */
    mv_time_t fresh_at;   /* last heartbeat that reported the peer as fresh */
    mv_time_t last_pull;
    mv_time_t last_heartbeat;
    bool is_lost;
} peer_t;

struct mv_fanout {
    mv_fanout_settings_t settings;
    mv_replica_t *replica;
    mv_follower_t *follower;
    const mv_fanout_ops_t *ops;
    void *context;
    GHashTable *peers;
    mv_node_id_t self;
    uint64_t rank;
    mv_time_t started_at;
    bool is_watching;
    mv_time_t next_heartbeat;
    uint64_t pushed_revision; /* next push starts here; 0 when not watching */
    uint64_t behind_revision; /* newest revision that a peer reported */
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
    fanout->is_watching = true;
    fanout->peers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return fanout;
}

void
MvFanout_Destroy(mv_fanout_t *fanout)
{
    if (!fanout) {
        return;
    }
    g_hash_table_unref(fanout->peers);
    g_free(fanout);
}

/* Peers */

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
    fanout->started_at = now;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, fanout->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const peer_t *peer = value;
        fanout->ops->add_peer(fanout->context, &peer->record);
    }
}

static void
update_peer(mv_fanout_t *fanout, const mv_node_record_t *record)
{
    gpointer key = GUINT_TO_POINTER((guint)record->id);
    peer_t *peer = g_hash_table_lookup(fanout->peers, key);
    bool is_new = !peer;
    if (is_new) {
        peer = g_new0(peer_t, 1);
        g_hash_table_insert(fanout->peers, key, peer);
    }
    bool has_new_address =
        strcmp(peer->record.address, record->address) != 0 ||
        peer->record.port != record->port;
    peer->record = *record;
    peer->rank = rank_of(record->id);
    peer->removed_at = 0;
    if (has_new_address) {
        fanout->ops->add_peer(fanout->context, record);
    }
}

void
MvFanout_UpdateNode(mv_fanout_t *fanout, mv_time_t now, const char *key,
                    const char *value)
{
    mv_node_record_t record;
    if (MvNodeRecord_Parse(key, value, &record)) {
        if (!strcmp(record.data_centre, fanout->settings.data_centre)) {
            update_peer(fanout, &record);
        }
        return;
    }
    peer_t *peer =
        g_hash_table_lookup(fanout->peers, GUINT_TO_POINTER((guint)record.id));
    if (peer && !value) {
        peer->removed_at = now;
    }
}

static bool
is_expired(const peer_t *peer, mv_time_t now)
{
    return peer->removed_at > 0 && now - peer->removed_at > REMOVED_RETENTION;
}

static gboolean
remove_if_expired(gpointer key, gpointer value, gpointer context)
{
    const mv_time_t *now = context;
    (void)key;
    return is_expired(value, *now);
}

/* Watch groups: parts of a data centre that one watching node can serve.
 * Nodes are in the same group when the masked bits of their ranks agree. */

static uint64_t
group_mask(const mv_fanout_t *fanout, unsigned group_size)
{
    uint64_t groups = 1;
    while (groups * group_size < g_hash_table_size(fanout->peers)) {
        groups *= 2;
    }
    return groups - 1;
}

static uint64_t
watch_group_mask(const mv_fanout_t *fanout)
{
    return group_mask(fanout, fanout->settings.watch_group_size);
}

static bool
is_in_group(const mv_fanout_t *fanout, const peer_t *peer, uint64_t mask)
{
    return peer->record.id != fanout->self &&
           (peer->rank & mask) == (fanout->rank & mask);
}

unsigned
MvFanout_LocalNodes(const mv_fanout_t *fanout)
{
    return MAX(g_hash_table_size(fanout->peers), 1);
}

/* Role */

/* The nodes of the watch group that rank before this one. */
typedef struct higher_ranked {
    unsigned count;
    mv_time_t fresh_at;
} higher_ranked_t;

static higher_ranked_t
find_higher_ranked(const mv_fanout_t *fanout)
{
    GHashTableIter iter;
    gpointer value = NULL;
    uint64_t mask = watch_group_mask(fanout);
    higher_ranked_t higher = {0};
    g_hash_table_iter_init(&iter, fanout->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const peer_t *peer = value;
        if (is_in_group(fanout, peer, mask) && peer->rank < fanout->rank) {
            higher.count++;
            higher.fresh_at = MAX(higher.fresh_at, peer->fresh_at);
        }
    }
    return higher;
}

/* Return: time at which this node starts to watch unless a fresh heartbeat
 * arrives. */
static mv_time_t
choose_role(mv_fanout_t *fanout, mv_time_t now)
{
    higher_ranked_t higher = find_higher_ranked(fanout);
    mv_time_t timeout = fanout->settings.heartbeat_timeout +
                        higher.count * fanout->settings.rank_delay;
    mv_time_t since = MAX(higher.fresh_at, fanout->started_at);
    bool is_watching = fanout->self == MV_NO_NODE || higher.count == 0 ||
                       now - since > timeout;
    if (is_watching != fanout->is_watching) {
        fanout->ops->role_changed(fanout->context, is_watching, higher.count);
        fanout->next_heartbeat = now;
    }
    fanout->is_watching = is_watching;
    MvFollower_SetActive(fanout->follower, is_watching);
    return since + timeout + 1;
}

mv_time_t
MvFanout_Staleness(const mv_fanout_t *fanout, mv_time_t now)
{
    mv_time_t store_contact = MvFollower_LastContact(fanout->follower);
    return now - MAX(store_contact, find_higher_ranked(fanout).fresh_at);
}

bool
MvFanout_IsWatching(const mv_fanout_t *fanout)
{
    return fanout->is_watching;
}

void
MvFanout_HandleResume(mv_fanout_t *fanout)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, fanout->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        peer_t *peer = value;
        peer->fresh_at = 0;
    }
    fanout->started_at = 0;
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
send_to_group(mv_fanout_t *fanout, mv_time_t now, uint64_t mask,
              const mv_message_t *message)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, fanout->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const peer_t *peer = value;
        if (is_in_group(fanout, peer, mask) && !is_expired(peer, now)) {
            fanout->ops->send(fanout->context, peer->record.id, message);
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
    send_to_group(fanout, now,
                  group_mask(fanout, fanout->settings.report_group_size),
                  message);
}

static void
send_heartbeats(mv_fanout_t *fanout, mv_time_t now)
{
    mv_message_t message = make_message(fanout, MV_MESSAGE_REPLICA_HEARTBEAT);
    /* In a heartbeat, the target field carries the sender's freshness. */
    message.target = is_fresh(fanout, now);
    fanout->next_heartbeat = now + fanout->settings.heartbeat_interval;
    send_to_group(fanout, now, watch_group_mask(fanout), &message);
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
            send_to_group(fanout, now, watch_group_mask(fanout), &message);
        }
    }
    MvBuffer_Clear(&bytes);
}

static void
push_changes(mv_fanout_t *fanout, mv_time_t now)
{
    uint64_t revision = MvReplica_Revision(fanout->replica);
    if (revision > fanout->pushed_revision && fanout->pushed_revision > 0) {
        send_delta(fanout, now, NULL, fanout->pushed_revision);
    }
    fanout->pushed_revision = revision;
}

static void
pull_changes(mv_fanout_t *fanout, mv_time_t now, peer_t *peer)
{
    if (now - peer->last_pull < fanout->settings.pull_interval) {
        return;
    }
    peer->last_pull = now;
    mv_message_t message = make_message(fanout, MV_MESSAGE_REPLICA_PULL);
    fanout->ops->send(fanout->context, peer->record.id, &message);
}

mv_time_t
MvFanout_BehindSince(const mv_fanout_t *fanout)
{
    bool is_behind =
        fanout->behind_revision > MvReplica_Revision(fanout->replica);
    return is_behind ? fanout->behind_since : 0;
}

static void
record_revision(mv_fanout_t *fanout, mv_time_t now, uint64_t revision)
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
record_heartbeat(mv_fanout_t *fanout, mv_time_t now, peer_t *peer)
{
    if (peer->is_lost) {
        peer->is_lost = false;
        fanout->ops->contact_changed(fanout->context, peer->record.id, true,
                                     now - peer->last_heartbeat);
    }
    peer->last_heartbeat = now;
}

/* Only watching nodes send heartbeats, so a lost peer may also have stopped
 * watching. */
static void
report_lost_peers(mv_fanout_t *fanout, mv_time_t now)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, fanout->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        peer_t *peer = value;
        mv_time_t silence = now - peer->last_heartbeat;
        if (peer->last_heartbeat > 0 && !peer->is_lost &&
            silence > fanout->settings.heartbeat_timeout) {
            peer->is_lost = true;
            fanout->ops->contact_changed(fanout->context, peer->record.id,
                                         false, silence);
        }
    }
}

static void
handle_heartbeat(mv_fanout_t *fanout, mv_time_t now, peer_t *peer,
                 const mv_message_t *message)
{
    record_heartbeat(fanout, now, peer);
    record_revision(fanout, now, message->version);
    /* When a node reports itself as not fresh, the heartbeat timeout counts as
     * passed: the next in rank takes over after its rank delay only. */
    peer->fresh_at =
        message->target
            ? now
            : MIN(peer->fresh_at, now - fanout->settings.heartbeat_timeout);
    if (message->version > MvReplica_Revision(fanout->replica)) {
        pull_changes(fanout, now, peer);
    }
}

static void
handle_delta(mv_fanout_t *fanout, mv_time_t now, peer_t *peer,
             const mv_message_t *message)
{
    mv_merge_t merge = MvReplica_Merge(fanout->replica, now, message->blob,
                                       message->blob_length);
    if (merge == MV_MERGE_GAP) {
        pull_changes(fanout, now, peer);
    }
}

void
MvFanout_HandleMessage(mv_fanout_t *fanout, mv_time_t now,
                       const mv_message_t *message)
{
    peer_t *peer =
        g_hash_table_lookup(fanout->peers, GUINT_TO_POINTER(message->from));
    if (!peer) {
        return;
    }
    const mv_node_id_t from = (mv_node_id_t)message->from;
    switch (message->kind) {
    case MV_MESSAGE_REPLICA_HEARTBEAT:
        handle_heartbeat(fanout, now, peer, message);
        break;
    case MV_MESSAGE_REPLICA_PULL:
        send_delta(fanout, now, &from, message->version);
        break;
    case MV_MESSAGE_REPLICA_DELTA:
        handle_delta(fanout, now, peer, message);
        break;
    default:
        break;
    }
}

mv_time_t
MvFanout_Timer(mv_fanout_t *fanout, mv_time_t now)
{
    g_hash_table_foreach_remove(fanout->peers, remove_if_expired, &now);
    report_lost_peers(fanout, now);
    mv_time_t due = choose_role(fanout, now);
    if (!fanout->is_watching) {
        fanout->pushed_revision = 0;
        return due;
    }
    push_changes(fanout, now);
    if (now >= fanout->next_heartbeat) {
        send_heartbeats(fanout, now);
    }
    return fanout->next_heartbeat;
}
