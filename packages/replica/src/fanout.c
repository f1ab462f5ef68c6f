/* Change distribution: one node of a data centre watches the store and the
 * others receive the changes along a tree.
 *
 * A node subscribes to its source (source.c), which ranks before it
 * (relay_tree.c), and sends heartbeats and changes to its own subscribers.  A
 * heartbeat begins at a node that watches the store and is passed on at once.
 * A node that is overloaded passes it on late: the request that a heartbeat
 * confirms shows how late it can be (source.c).  The node that ranks first
 * watches the store; any other node watches while it has no source.  This
 * needs no election and no write to the store: two nodes that watch at the
 * same time only cost about one more call per second.
 *
 * A node whose own store calls fail may know less than one that ranks behind
 * it.  Nodes without a source therefore ask any node, and a node that learns
 * from a subscription that the subscriber knows more fetches the changes. */
#include <string.h>

#include "completeness.h"
#include "source.h"
#include "subscribers.h"

/* A node whose record was deleted may still run, partitioned from the store,
 * so its messages are accepted for this time after the deletion. */
#define REMOVED_RETENTION (30 * MV_SECOND)
/* A heartbeat this old still shows that the sender is up to date. */
#define RECENT_HEARTBEATS 2
/* A change usually follows within this time the heartbeat that announces it,
 * when it is sent by stream. */
#define PULL_DELAY (50 * MV_MILLISECOND)
/* Records of nodes that start together change the tree once. */
#define TREE_UPDATE_INTERVAL (100 * MV_MILLISECOND)
/* Time in which a node that asks the store itself has what it lacks in force.
 */
#define CATCH_UP_TIME (700 * MV_MILLISECOND)
/* Outages of the store are reported in steps of this time. */
#define OUTAGE_REPORT_INTERVAL (500 * MV_MILLISECOND)

typedef struct peer {
    mv_node_record_t record;
    mv_time_t removed_at; /* 0 while the record exists */
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
    GHashTable *records; /* ids of all data centres that have a record */
    mv_subscribers_t subscribers;
    mv_time_t started_at; /* first timer call */
    mv_node_id_t self;
    mv_relay_tree_t *tree;
    bool tree_outdated;
    mv_time_t next_tree_update;
    mv_time_t next_expiry; /* of a peer whose record was deleted */
    mv_source_t source;
    mv_time_t heard_at; /* last heartbeat of an up-to-date node of any rank */
    bool is_watching;
    mv_time_t next_heartbeat;
    uint64_t pushed_revision; /* the next push starts here */
    uint64_t behind_revision; /* newest revision that a peer reported */
    mv_time_t behind_since;
    mv_node_id_t pull_from; /* peer that reported it */
    mv_time_t pull_at;
    mv_completeness_t completeness; /* as far as messages are prompt */
    mv_completeness_t proven;       /* from the times of own requests */
    mv_time_t joined_at;            /* MvFanout_SetSelf() */
    mv_time_t outage_reported_at;   /* end of the last reported part, or 0 */
};

mv_fanout_settings_t
MvFanoutSettings_Default(const char *data_centre)
{
    mv_fanout_settings_t settings = {
        .heartbeat_interval = 300 * MV_MILLISECOND,
        .heartbeat_timeout = MV_SECOND,
        .depth_delay = 100 * MV_MILLISECOND,
        .registration_time = MV_SECOND,
        .freshness_limit = 1600 * MV_MILLISECOND,
        .failure_limit = 300 * MV_MILLISECOND,
        .answer_timeout = 250 * MV_MILLISECOND,
        .search_interval = MV_SECOND,
        .subscribe_interval = 500 * MV_MILLISECOND,
        .confirmation_limit = 1400 * MV_MILLISECOND,
        .behind_limit = 600 * MV_MILLISECOND,
        .change_limit = 3 * MV_SECOND,
        .subscription_time = 3500 * MV_MILLISECOND,
        .pull_interval = 150 * MV_MILLISECOND,
        .branching = 8,
        .max_subscribers = 24,
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
    fanout->records = g_hash_table_new(NULL, NULL);
    MvSubscribers_Init(&fanout->subscribers, settings->max_subscribers,
                       settings->subscription_time);
    fanout->tree = MvRelayTree_Create(settings->branching);
    MvSource_Init(&fanout->source, 0, &fanout->settings, fanout->tree);
    return fanout;
}

void
MvFanout_Destroy(mv_fanout_t *fanout)
{
    if (!fanout) {
        return;
    }
    MvRelayTree_Destroy(fanout->tree);
    MvSubscribers_Clear(&fanout->subscribers);
    g_hash_table_unref(fanout->peers);
    g_hash_table_unref(fanout->records);
    g_free(fanout);
}

/* Peers */

static peer_t *
find_peer(const mv_fanout_t *fanout, uint32_t id)
{
    return g_hash_table_lookup(fanout->peers, GUINT_TO_POINTER(id));
}

static bool
ranks_before(const mv_fanout_t *fanout, const peer_t *peer)
{
    return MvRelayTree_Rank(peer->record.id) < MvRelayTree_Rank(fanout->self);
}

void
MvFanout_SetSelf(mv_fanout_t *fanout, mv_time_t now, mv_node_id_t id)
{
    fanout->self = id;
    fanout->joined_at = now;
    fanout->tree_outdated = true;
    fanout->next_tree_update = 0;
    MvSource_Init(&fanout->source, now, &fanout->settings, fanout->tree);
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
    fanout->tree_outdated |= is_new || peer->removed_at > 0;
    peer->record = *record;
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
        g_hash_table_add(fanout->records, GUINT_TO_POINTER((guint)record.id));
        if (!strcmp(record.data_centre, fanout->settings.data_centre)) {
            update_peer(fanout, &record);
        }
        return;
    }
    g_hash_table_remove(fanout->records, GUINT_TO_POINTER((guint)record.id));
    peer_t *peer = value ? NULL : find_peer(fanout, record.id);
    if (peer) {
        peer->removed_at = now;
        fanout->tree_outdated = true;
        fanout->next_expiry = now + REMOVED_RETENTION + 1;
    }
}

static gboolean
remove_if_expired(gpointer key, gpointer value, gpointer context)
{
    const peer_t *peer = value;
    const mv_time_t *now = context;
    (void)key;
    return peer->removed_at > 0 && *now - peer->removed_at > REMOVED_RETENTION;
}

static void
update_tree(mv_fanout_t *fanout, mv_time_t now)
{
    GHashTableIter iter;
    gpointer value = NULL;
    bool has_expired_peer =
        fanout->next_expiry > 0 && now >= fanout->next_expiry;
    if ((!fanout->tree_outdated && !has_expired_peer) ||
        now < fanout->next_tree_update) {
        return;
    }
    fanout->tree_outdated = false;
    fanout->next_tree_update = now + TREE_UPDATE_INTERVAL;
    if (has_expired_peer) {
        fanout->next_expiry = 0;
    }
    g_hash_table_foreach_remove(fanout->peers, remove_if_expired, &now);
    MvRelayTree_Reset(fanout->tree, fanout->self);
    g_hash_table_iter_init(&iter, fanout->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const peer_t *peer = value;
        if (peer->record.id != fanout->self && peer->removed_at == 0) {
            MvRelayTree_Add(fanout->tree, peer->record.id);
        }
    }
    MvRelayTree_Finish(fanout->tree);
}

unsigned
MvFanout_Nodes(const mv_fanout_t *fanout)
{
    return fanout->self == MV_NO_NODE ? 0 : g_hash_table_size(fanout->records);
}

unsigned
MvFanout_LocalNodes(const mv_fanout_t *fanout)
{
    return MAX(g_hash_table_size(fanout->peers), 1);
}

/* Messages */

static bool
has_recent_contact(const mv_fanout_t *fanout, mv_time_t now)
{
    mv_time_t failing_since = MvFollower_FailingSince(fanout->follower);
    if (failing_since > 0 &&
        now - failing_since > fanout->settings.failure_limit) {
        return false;
    }
    return now - MvFollower_LastContact(fanout->follower) <
           fanout->settings.freshness_limit;
}

/* Another node has told of a change that this one still cannot get. */
static bool
is_left_behind(const mv_fanout_t *fanout, mv_time_t now)
{
    mv_time_t behind_since = MvFanout_BehindSince(fanout);
    return behind_since > 0 &&
           now - behind_since > fanout->settings.behind_limit;
}

/* Whether this node may claim to be up to date. */
static bool
is_fresh(const mv_fanout_t *fanout, mv_time_t now)
{
    if (is_left_behind(fanout, now)) {
        return false;
    }
    if (fanout->is_watching) {
        return has_recent_contact(fanout, now);
    }
    return now - fanout->source.fresh_at <
           RECENT_HEARTBEATS * fanout->settings.heartbeat_interval;
}

static mv_message_t
make_message(const mv_fanout_t *fanout, mv_message_kind_t kind)
{
    return (mv_message_t){.kind = kind,
                          .from = fanout->self,
                          .version = MvReplica_Revision(fanout->replica)};
}

mv_time_t
MvFanout_CompleteAt(const mv_fanout_t *fanout)
{
    uint64_t revision = MvReplica_Revision(fanout->replica);
    return MAX(MvFollower_CompleteAt(fanout->follower),
               MvCompleteness_Time(&fanout->completeness, revision));
}

mv_time_t
MvFanout_ProvenAt(const mv_fanout_t *fanout)
{
    uint64_t revision = MvReplica_Revision(fanout->replica);
    return MAX(MvFollower_CompleteAt(fanout->follower),
               MvCompleteness_Time(&fanout->proven, revision));
}

mv_time_t
MvFanout_DateRemoval(const mv_fanout_t *fanout, mv_time_t now)
{
    mv_time_t proven_at = MvFanout_ProvenAt(fanout);
    bool had_outage =
        MvFollower_HasFailedSince(fanout->follower, proven_at, now);
    return had_outage ? now : proven_at;
}

/* The target field of a heartbeat is 0 when the sender is not fresh, else the
 * encoded age of its replica. */
static mv_message_t
make_heartbeat(const mv_fanout_t *fanout, mv_time_t now, bool fresh)
{
    mv_message_t message = make_message(fanout, MV_MESSAGE_REPLICA_HEARTBEAT);
    if (fresh) {
        message.target =
            MvCompleteness_EncodeAge(now - MvFanout_CompleteAt(fanout));
    }
    return message;
}

static void
send_to(mv_fanout_t *fanout, mv_node_id_t to, const mv_message_t *message)
{
    fanout->ops->send(fanout->context, to, message);
}

static void
send_to_subscribers(mv_fanout_t *fanout, mv_time_t now,
                    const mv_message_t *message)
{
    MvSubscribers_RemoveEnded(&fanout->subscribers, now);
    MV_LIST_FOREACH(item, &fanout->subscribers.list)
    {
        const mv_subscriber_t *subscriber =
            MV_CONTAINER_OF(item, mv_subscriber_t, link);
        send_to(fanout, subscriber->id, message);
    }
}

/* Nodes are in the same report group when the masked bits of their ranks
 * agree. */
static uint64_t
report_group_mask(const mv_fanout_t *fanout)
{
    uint64_t groups = 1;
    while (groups * fanout->settings.report_group_size <
           g_hash_table_size(fanout->peers)) {
        groups *= 2;
    }
    return groups - 1;
}

void
MvFanout_Send(mv_fanout_t *fanout, mv_node_id_t to, mv_message_t *message)
{
    if (fanout->self == MV_NO_NODE) {
        return;
    }
    message->from = fanout->self;
    send_to(fanout, to, message);
}

void
MvFanout_Broadcast(mv_fanout_t *fanout, mv_message_t *message)
{
    GHashTableIter iter;
    gpointer value = NULL;
    if (fanout->self == MV_NO_NODE) {
        return;
    }
    message->from = fanout->self;
    uint64_t mask = report_group_mask(fanout);
    uint64_t own_rank = MvRelayTree_Rank(fanout->self);
    g_hash_table_iter_init(&iter, fanout->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const peer_t *peer = value;
        uint64_t rank = MvRelayTree_Rank(peer->record.id);
        if (peer->record.id != fanout->self &&
            (rank & mask) == (own_rank & mask)) {
            send_to(fanout, peer->record.id, message);
        }
    }
}

static void
send_heartbeats(mv_fanout_t *fanout, mv_time_t now, bool fresh)
{
    mv_message_t message = make_heartbeat(fanout, now, fresh);
    fanout->next_heartbeat = now + fanout->settings.heartbeat_interval;
    MvSubscribers_RemoveEnded(&fanout->subscribers, now);
    MV_LIST_FOREACH(item, &fanout->subscribers.list)
    {
        const mv_subscriber_t *subscriber =
            MV_CONTAINER_OF(item, mv_subscriber_t, link);
        message.sequence = subscriber->request;
        send_to(fanout, subscriber->id, &message);
    }
}

/* Sends the changes after @since to node @to, or to all subscribers when it is
 * NULL. */
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
            send_to(fanout, *to, &message);
        }
        else {
            send_to_subscribers(fanout, now, &message);
        }
    }
    MvBuffer_Clear(&bytes);
}

static void
push_changes(mv_fanout_t *fanout, mv_time_t now)
{
    uint64_t revision = MvReplica_Revision(fanout->replica);
    if (revision > fanout->pushed_revision && fanout->pushed_revision > 0 &&
        !MvList_IsEmpty(&fanout->subscribers.list)) {
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
    send_to(fanout, peer->record.id, &message);
}

mv_time_t
MvFanout_BehindSince(const mv_fanout_t *fanout)
{
    bool is_behind =
        fanout->behind_revision > MvReplica_Revision(fanout->replica);
    return is_behind ? fanout->behind_since : 0;
}

/* Notes that @peer knows changes up to @revision, to be pulled from it unless
 * they arrive soon. */
static void
record_revision(mv_fanout_t *fanout, mv_time_t now, const peer_t *peer,
                uint64_t revision)
{
    if (revision <= MvReplica_Revision(fanout->replica)) {
        return;
    }
    if (MvFanout_BehindSince(fanout) == 0) {
        fanout->behind_since = now;
        fanout->pull_at = now + PULL_DELAY;
    }
    fanout->behind_revision = MAX(fanout->behind_revision, revision);
    fanout->pull_from = peer->record.id;
}

static void
pull_when_due(mv_fanout_t *fanout, mv_time_t now)
{
    if (MvFanout_BehindSince(fanout) == 0 || now < fanout->pull_at) {
        return;
    }
    peer_t *peer = find_peer(fanout, fanout->pull_from);
    fanout->pull_at = now + fanout->settings.pull_interval;
    if (peer) {
        pull_changes(fanout, now, peer);
    }
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

/* @heartbeat: of a fresh node, which had handled by then a request that was
 * sent at @confirmed_at */
static void
note_completeness(mv_fanout_t *fanout, mv_time_t now,
                  const mv_message_t *heartbeat, mv_time_t confirmed_at)
{
    uint64_t revision = MvReplica_Revision(fanout->replica);
    mv_time_t age = MvCompleteness_DecodeAge(heartbeat->target);
    if (age == MV_NEVER) {
        return;
    }
    MvCompleteness_Note(&fanout->completeness, revision, now - age,
                        heartbeat->version);
    MvCompleteness_Note(&fanout->proven, revision, confirmed_at - age,
                        heartbeat->version);
}

static void
handle_heartbeat(mv_fanout_t *fanout, mv_time_t now, peer_t *peer,
                 const mv_message_t *message)
{
    bool peer_is_fresh = message->target != 0;
    mv_time_t confirmed_at = MvSource_DecodeTime(now, message->sequence);
    record_heartbeat(fanout, now, peer);
    record_revision(fanout, now, peer, message->version);
    if (peer_is_fresh) {
        mv_time_t sent_after =
            confirmed_at == MV_NOT_CONFIRMED ? now : confirmed_at;
        fanout->heard_at = MAX(fanout->heard_at, sent_after);
        note_completeness(fanout, now, message, sent_after);
    }
    /* No source is any good to a node that cannot get what it lacks. */
    bool is_usable = peer_is_fresh && !is_left_behind(fanout, now);
    bool was_searching = fanout->source.is_searching;
    if (!ranks_before(fanout, peer) ||
        !MvSource_HandleHeartbeat(&fanout->source, now, peer->record.id,
                                  is_usable, confirmed_at)) {
        return;
    }
    if (was_searching) {
        fanout->ops->source_found(fanout->context, peer->record.id,
                                  fanout->source.attempt,
                                  now - fanout->source.search_began);
    }
    send_heartbeats(fanout, now, is_usable);
}

static void
handle_subscription(mv_fanout_t *fanout, mv_time_t now, peer_t *peer,
                    const mv_message_t *message)
{
    mv_node_id_t dismissed = MV_NO_NODE;
    if (!MvSubscribers_Renew(&fanout->subscribers, now, peer->record.id,
                             message->sequence, &dismissed)) {
        return;
    }
    /* A subscriber that gave way must look for another source. */
    if (dismissed != MV_NO_NODE) {
        mv_message_t dismissal = make_heartbeat(fanout, now, false);
        send_to(fanout, dismissed, &dismissal);
    }
    /* A subscriber that searches for a source asks several nodes: it learns
     * the revision from the answer and pulls from one of them. */
    if (message->target) {
        mv_message_t answer =
            make_heartbeat(fanout, now, is_fresh(fanout, now));
        answer.sequence = message->sequence;
        send_to(fanout, peer->record.id, &answer);
    }
    else if (message->version < MvReplica_Revision(fanout->replica)) {
        send_delta(fanout, now, &peer->record.id, message->version);
    }
    record_revision(fanout, now, peer, message->version);
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
    peer_t *peer = find_peer(fanout, message->from);
    if (!peer) {
        return;
    }
    switch (message->kind) {
    case MV_MESSAGE_REPLICA_HEARTBEAT:
        handle_heartbeat(fanout, now, peer, message);
        break;
    case MV_MESSAGE_REPLICA_SUBSCRIBE:
        handle_subscription(fanout, now, peer, message);
        break;
    case MV_MESSAGE_REPLICA_PULL:
        send_delta(fanout, now, &peer->record.id, message->version);
        break;
    case MV_MESSAGE_REPLICA_DELTA:
        handle_delta(fanout, now, peer, message);
        break;
    default:
        break;
    }
}

/* Role */

static void
report_lost(mv_fanout_t *fanout, mv_time_t now, mv_node_id_t id)
{
    peer_t *peer = find_peer(fanout, id);
    if (!peer || peer->is_lost) {
        return;
    }
    mv_time_t silence = now - peer->last_heartbeat;
    if (silence > RECENT_HEARTBEATS * fanout->settings.heartbeat_interval) {
        peer->is_lost = true;
        fanout->ops->contact_changed(fanout->context, id, false, silence);
    }
}

static void
subscribe_where_needed(mv_fanout_t *fanout, mv_time_t now)
{
    mv_node_id_t requests[MV_SOURCE_REQUESTS];
    mv_node_id_t lost = MV_NO_NODE;
    unsigned count = MvSource_Step(&fanout->source, now, requests, &lost);
    if (lost != MV_NO_NODE) {
        fanout->ops->source_lost(fanout->context, lost, fanout->source.loss);
        report_lost(fanout, now, lost);
    }
    for (unsigned i = 0; i < count; i++) {
        mv_message_t message =
            make_message(fanout, MV_MESSAGE_REPLICA_SUBSCRIBE);
        /* In a subscription, the target field asks for an answer at once. */
        message.target = fanout->source.id != requests[i];
        message.sequence = MvSource_EncodeTime(now);
        send_to(fanout, requests[i], &message);
    }
}

/* The first nodes of a deployment learn the signing keys by watching; a later
 * one is registered soon and then receives the changes from another. */
static bool
must_watch_unregistered(const mv_fanout_t *fanout, mv_time_t now)
{
    return now - fanout->started_at > fanout->settings.registration_time ||
           !MvReplica_Value(fanout->replica, MV_SIGNING_KEYS, NULL);
}

/* Whatever its sources claim, a node asks the store when its own clock does
 * not prove that it knows enough.  One that joins has just read a list. */
static bool
is_knowledge_old(const mv_fanout_t *fanout, mv_time_t now)
{
    mv_time_t proven_at = MAX(MvFanout_ProvenAt(fanout), fanout->joined_at);
    return now - proven_at > fanout->settings.change_limit - CATCH_UP_TIME;
}

static void
choose_role(mv_fanout_t *fanout, mv_time_t now)
{
    bool is_watching = fanout->self == MV_NO_NODE
                           ? must_watch_unregistered(fanout, now)
                           : MvSource_MustWatch(&fanout->source, now) ||
                                 is_knowledge_old(fanout, now);
    if (is_watching != fanout->is_watching) {
        fanout->ops->role_changed(fanout->context, is_watching,
                                  MvRelayTree_Position(fanout->tree));
        fanout->next_heartbeat = now;
    }
    fanout->is_watching = is_watching;
    MvFollower_SetActive(fanout->follower, is_watching);
}

mv_node_id_t
MvFanout_Source(const mv_fanout_t *fanout)
{
    return fanout->source.id;
}

mv_time_t
MvFanout_Staleness(const mv_fanout_t *fanout, mv_time_t now)
{
    return now -
           MAX(MvFollower_LastContact(fanout->follower), fanout->heard_at);
}

mv_time_t
MvFanout_TakeOutage(mv_fanout_t *fanout, mv_time_t now)
{
    mv_time_t contact_at = now - MvFanout_Staleness(fanout, now);
    if (now - contact_at < MV_CONTACT_TIMEOUT) {
        fanout->outage_reported_at = 0;
        return 0;
    }
    mv_time_t span = now - MAX(contact_at, fanout->outage_reported_at);
    if (span < OUTAGE_REPORT_INTERVAL ||
        !MvFollower_HasFailedSince(fanout->follower, contact_at, now)) {
        return 0;
    }
    fanout->outage_reported_at = now;
    return span;
}

bool
MvFanout_IsWatching(const mv_fanout_t *fanout)
{
    return fanout->is_watching;
}

void
MvFanout_HandleResume(mv_fanout_t *fanout)
{
    MvSource_Forget(&fanout->source);
}

mv_time_t
MvFanout_Timer(mv_fanout_t *fanout, mv_time_t now)
{
    mv_time_t due = MV_NEVER;
    if (fanout->started_at == 0) {
        fanout->started_at = now;
    }
    update_tree(fanout, now);
    if (fanout->self != MV_NO_NODE) {
        subscribe_where_needed(fanout, now);
        due = MvSource_Due(&fanout->source);
    }
    choose_role(fanout, now);
    push_changes(fanout, now);
    pull_when_due(fanout, now);
    if (MvFanout_BehindSince(fanout) > 0) {
        due = MIN(due, fanout->pull_at);
    }
    if (!fanout->is_watching) {
        return due;
    }
    if (now >= fanout->next_heartbeat) {
        send_heartbeats(fanout, now, is_fresh(fanout, now));
    }
    return MIN(due, fanout->next_heartbeat);
}
