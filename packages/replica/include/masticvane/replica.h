/**
 * DOC: masticvane replica
 *
 * A read-only copy of the platform's store that every node holds.  Each key
 * carries the revision of its last change, and a key never goes back to an
 * older one, whoever tells of it: that is what keeps a configuration from
 * reverting.  The copy as a whole is complete up to one revision.  The
 * follower keeps the copy fresh by lists and watches.  Nothing here does I/O:
 * the store is a vtable, time and randomness are arguments.
 *
 * Threads: everything belongs to the control thread.
 */
#ifndef MASTICVANE_REPLICA_H
#define MASTICVANE_REPLICA_H

#include "masticvane/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Copy */

/** typedef mv_replica_t - The copy. */
typedef struct mv_replica mv_replica_t;

/** typedef mv_replica_changed_t - Receives each key that changed. */
typedef void (*mv_replica_changed_t)(void *context,
                                     const mv_store_item_t *item);

/** MvReplica_Create() - Empty copy, complete up to revision 0. */
mv_replica_t *MvReplica_Create(mv_replica_changed_t changed, void *context);

/** MvReplica_Destroy() - Free; NULL is accepted. */
void MvReplica_Destroy(mv_replica_t *replica);

/** MvReplica_Revision() - Every change up to it is in the copy. */
uint64_t MvReplica_Revision(const mv_replica_t *replica);

/** MvReplica_Count() - Keys that exist. */
size_t MvReplica_Count(const mv_replica_t *replica);

/**
 * MvReplica_Apply() - Take over a key if it is newer than what is known.
 *
 * Return: true when it was newer.
 */
bool MvReplica_Apply(mv_replica_t *replica, mv_time_t now,
                     const mv_store_item_t *item);

/**
 * MvReplica_PurgeTombstones() - Let go of keys that were deleted long ago.
 *
 * Called now and then.  Older news of such a key are refused even so.
 */
void MvReplica_PurgeTombstones(mv_replica_t *replica, mv_time_t now);

/** MvReplica_Advance() - Every change up to @revision has been applied. */
void MvReplica_Advance(mv_replica_t *replica, uint64_t revision);

/** MvReplica_BeginList() - A whole list begins; its items are applied. */
void MvReplica_BeginList(mv_replica_t *replica);

/**
 * MvReplica_EndList() - The whole list was applied.
 * @revision: revision of the store at the list's first page
 *
 * Keys that were not in the list and are not newer than it are gone.
 */
void MvReplica_EndList(mv_replica_t *replica, mv_time_t now,
                       uint64_t revision);

/**
 * MvReplica_Value() - Value of a key that exists, or NULL.
 * @length: set to its bytes, may be NULL
 */
const char *MvReplica_Value(const mv_replica_t *replica, const char *key,
                            size_t *length);

/**
 * MvReplica_EncodeSince() - What changed after @since, for another node.
 * @out: bytes are appended
 *
 * A whole copy is written when what was deleted since then is not known any
 * more.  Return: false when memory ran out.
 */
bool MvReplica_EncodeSince(const mv_replica_t *replica, uint64_t since,
                           mv_buffer_t *out);

/**
 * MvReplica_EncodePublic() - Keys that exist but for the signing keys, for a
 * node that cannot prove yet who it is.  Merging it claims no completeness.
 */
bool MvReplica_EncodePublic(const mv_replica_t *replica, mv_buffer_t *out);

/** enum mv_merge - Result of MvReplica_Merge(). */
typedef enum mv_merge {
    MV_MERGE_DONE,
    MV_MERGE_GAP,
    MV_MERGE_MALFORMED,
} mv_merge_t;

/**
 * MvReplica_Merge() - Take over what another node encoded.
 *
 * With a gap between this copy and what it begins with its keys are taken
 * over, but the copy is not complete up to its end.
 */
mv_merge_t MvReplica_Merge(mv_replica_t *replica, mv_time_t now,
                           const char *bytes, size_t length);

/* Follower */

/** typedef mv_follower_t - Keeps a copy fresh. */
typedef struct mv_follower mv_follower_t;

/**
 * struct mv_follower_settings - Bounds of the follower.
 * @watch_timeout: how long a watch waits for a change; a silent store is
 * noticed this late
 * @coalesce_delay: after a change the next watch begins this much later, so
 * that changes that come together cost one call
 * @back_off: pause after a failed call; doubled up to @max_back_off
 * @max_back_off: longest pause
 */
typedef struct mv_follower_settings {
    mv_time_t watch_timeout;
    mv_time_t coalesce_delay;
    mv_time_t back_off;
    mv_time_t max_back_off;
} mv_follower_settings_t;

/** MvFollowerSettings_Default() - Settings that fit bounds of 3 s. */
mv_follower_settings_t MvFollowerSettings_Default(void);

/**
 * MvFollower_Create() - Follower of a whole store, not yet started.
 * @store: must outlive the follower
 * @replica: kept fresh; must outlive the follower
 * @random: spreads retries; not owned
 */
mv_follower_t *MvFollower_Create(const mv_follower_settings_t *settings,
                                 mv_store_t *store, mv_replica_t *replica,
                                 GRand *random);

/** MvFollower_Destroy() - Free, before the store; NULL is accepted. */
void MvFollower_Destroy(mv_follower_t *follower);

/**
 * MvFollower_Timer() - Begin what is due.
 *
 * Return: the time of the next call that is needed, at most.
 */
mv_time_t MvFollower_Timer(mv_follower_t *follower, mv_time_t now);

/** MvFollower_SetActive() - Call the store, or rest while others do. */
void MvFollower_SetActive(mv_follower_t *follower, bool active);

/** MvFollower_LastContact() - Time of the store's last good answer, or 0. */
mv_time_t MvFollower_LastContact(const mv_follower_t *follower);

/** MvFollower_IsComplete() - A whole list has been taken over. */
bool MvFollower_IsComplete(const mv_follower_t *follower);

/** MvFollower_IsReachable() - The last call had a good answer. */
bool MvFollower_IsReachable(const mv_follower_t *follower);

/* Feed: a few nodes watch, the others learn from them */

/** Keys of the product in the store; nodes/ID names an entry VM. */
#define MV_NODE_PREFIX "masticvane/nodes/"
#define MV_SIGNING_KEYS "masticvane/keys"

/**
 * struct mv_node_record - An entry VM as its key in the store tells.
 * @id: its number
 * @data_centre: name of its data centre
 * @address: IPv4 address as text
 * @port: TCP and UDP port for words between nodes
 */
typedef struct mv_node_record {
    mv_node_id_t id;
    char data_centre[MV_NAME_MAX];
    char address[16];
    uint16_t port;
} mv_node_record_t;

/** MvNodeRecord_Parse() - Read a key and its value; false when malformed. */
bool MvNodeRecord_Parse(const char *key, const char *value,
                        mv_node_record_t *neighbour);

/** MvNodeRecord_Key() - Key of node @id; freed with g_free(). */
char *MvNodeRecord_Key(mv_node_id_t id);

/** MvNodeRecord_Value() - Value of its key; freed with g_free(). */
char *MvNodeRecord_Value(const mv_node_record_t *neighbour);

/**
 * struct mv_fanout_settings - Bounds of the feed.
 * @data_centre: own data centre
 * @heartbeat_interval: pause between two heartbeats of a watcher
 * @heartbeat_timeout: without a heartbeat for so long the next in rank watches
 * @rank_delay: each further rank waits this much longer
 * @freshness_limit: a watcher that heard nothing from the store for so long
 * says that it is not fresh
 * @pull_interval: a node asks another one this often at most
 * @watch_group_size: nodes that one watcher serves, about
 * @report_group_size: nodes that tell each other of backend servers, about
 */
typedef struct mv_fanout_settings {
    char data_centre[MV_NAME_MAX];
    mv_time_t heartbeat_interval;
    mv_time_t heartbeat_timeout;
    mv_time_t rank_delay;
    mv_time_t freshness_limit;
    mv_time_t pull_interval;
    unsigned watch_group_size;
    unsigned report_group_size;
} mv_fanout_settings_t;

/** MvFanoutSettings_Default() - Settings that fit bounds of 3 s. */
mv_fanout_settings_t MvFanoutSettings_Default(const char *data_centre);

/**
 * struct mv_fanout_ops - What the feed asks of its caller.
 * @send: send @message to node @to; may be lost
 * @add_peer: from now on node @neighbour may be sent to
 * @role_changed: this node begins or ends to watch
 * @contact_changed: heartbeats of a neighbour ended, or came back after @gone
 */
typedef struct mv_fanout_ops {
    void (*send)(void *context, mv_node_id_t to, const mv_message_t *message);
    void (*add_peer)(void *context, const mv_node_record_t *neighbour);
    void (*role_changed)(void *context, bool watches, unsigned rank);
    void (*contact_changed)(void *context, mv_node_id_t id, bool is_back,
                            mv_time_t gone);
} mv_fanout_ops_t;

/** typedef mv_fanout_t - This node's place among its neighbours. */
typedef struct mv_fanout mv_fanout_t;

/**
 * MvFanout_Create() - Feed of a node that knows no neighbour: it watches.
 * @replica: what is fed on; must outlive the feed
 * @follower: made active while this node watches; must outlive the feed
 */
mv_fanout_t *MvFanout_Create(const mv_fanout_settings_t *settings,
                             mv_replica_t *replica, mv_follower_t *follower,
                             const mv_fanout_ops_t *ops, void *context);

/** MvFanout_Destroy() - Free; NULL is accepted. */
void MvFanout_Destroy(mv_fanout_t *fanout);

/** MvFanout_SetSelf() - Registered as @id; meets all that are known. */
void MvFanout_SetSelf(mv_fanout_t *fanout, mv_time_t now, mv_node_id_t id);

/** MvFanout_UpdateNode() - A key under MV_NODE_PREFIX changed; NULL: deleted.
 */
void MvFanout_UpdateNode(mv_fanout_t *fanout, mv_time_t now, const char *key,
                         const char *value);

/** MvFanout_HandleMessage() - Take in a checked message of a COPY kind. */
void MvFanout_HandleMessage(mv_fanout_t *fanout, mv_time_t now,
                            const mv_message_t *message);

/**
 * MvFanout_Broadcast() - Send @message to the nodes near, as many as hear each
 * other of backend servers; does nothing before MvFanout_SetSelf().
 */
void MvFanout_Broadcast(mv_fanout_t *fanout, mv_time_t now,
                        mv_message_t *message);

/** MvFanout_Resumed() - The process stood still: nothing is known to be fresh.
 */
void MvFanout_Resumed(mv_fanout_t *fanout);

/** MvFanout_Timer() - Do what is due.  Return: the time of the next call. */
mv_time_t MvFanout_Timer(mv_fanout_t *fanout, mv_time_t now);

/** MvFanout_IsWatching() - This node calls the store for its neighbours. */
bool MvFanout_IsWatching(const mv_fanout_t *fanout);

/** MvFanout_Staleness() - Since the store or a fresh watcher was heard. */
mv_time_t MvFanout_Staleness(const mv_fanout_t *fanout, mv_time_t now);

/**
 * MvFanout_BehindSince() - First word of a revision that the copy has not yet
 * reached, or 0.
 */
mv_time_t MvFanout_BehindSince(const mv_fanout_t *fanout);

/** MvFanout_LocalNodes() - Nodes of the own data centre, this one included. */
unsigned MvFanout_LocalNodes(const mv_fanout_t *fanout);

/* Registration */

/**
 * struct mv_registration_ops - What registration asks of its caller.
 * @generate_keys: new text of keys, as MvKeyring_Parse() reads; freed with
 *               g_free()
 * @registered: this node has a number
 */
typedef struct mv_registration_ops {
    char *(*generate_keys)(void *context);
    void (*registered)(void *context, mv_node_id_t id);
} mv_registration_ops_t;

/** typedef mv_registration_t - Puts this node and the keys into the store. */
typedef struct mv_registration mv_registration_t;

/**
 * MvRegistration_Create() - Registration of @self, whose id is chosen.
 * @random: spreads the calls of nodes that start together; not owned
 */
mv_registration_t *
MvRegistration_Create(const mv_node_record_t *self, mv_store_t *store,
                      const mv_replica_t *replica, GRand *random,
                      const mv_registration_ops_t *ops, void *context);

/** MvRegistration_Destroy() - Free, before the store; NULL is accepted. */
void MvRegistration_Destroy(mv_registration_t *registration);

/**
 * MvRegistration_Timer() - Begin what is due, once the copy is complete.
 *
 * Return: the time of the next call that is needed, at most.
 */
mv_time_t MvRegistration_Timer(mv_registration_t *registration, mv_time_t now);

#ifdef __cplusplus
}
#endif
#endif
