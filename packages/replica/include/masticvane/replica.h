/**
 * DOC: masticvane replica
 *
 * A read-only replica of the platform's store, held by every node.  Each key
 * carries the revision of its last change.  An update with an older revision
 * is ignored, whether it comes from the store or from another node, so that a
 * configuration never reverts.  The replica is complete up to a revision: it
 * lacks no change of the store up to that revision, deletions included, and
 * contains possibly some later ones.  What it passes on to other nodes is
 * complete in the same sense.
 *
 * The follower updates the replica by lists and watches of the store.  The
 * change distribution (fanout) lets one node of a data centre follow the store
 * and pass changes on to the others.  The registration writes the node's
 * own record and the signing keys into the store.
 *
 * Nothing here does I/O: the store is a vtable, time and randomness are
 * arguments.  Times are in microseconds.
 *
 * Threads: all functions must be called on the control thread.
 */
#ifndef MASTICVANE_REPLICA_H
#define MASTICVANE_REPLICA_H

#include "masticvane/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Replica */

/** typedef mv_replica_t - A replica of the store. */
typedef struct mv_replica mv_replica_t;

/**
 * typedef mv_replica_changed_t - Called for each key that changed.
 * @item: the new value, or the deletion; valid during the call
 */
typedef void (*mv_replica_changed_t)(void *context,
                                     const mv_store_item_t *item);

/**
 * MvReplica_Create() - Create an empty replica, complete up to revision 0.
 * @changed: called from within the functions that apply changes
 * @context: passed to @changed
 *
 * Return: the replica, to be freed with MvReplica_Destroy().
 */
mv_replica_t *MvReplica_Create(mv_replica_changed_t changed, void *context);

/** MvReplica_Destroy() - Free the replica; NULL is accepted. */
void MvReplica_Destroy(mv_replica_t *replica);

/** MvReplica_Revision() - Revision up to which the replica is complete. */
uint64_t MvReplica_Revision(const mv_replica_t *replica);

/** MvReplica_Count() - Number of keys, without deleted ones. */
size_t MvReplica_Count(const mv_replica_t *replica);

/**
 * MvReplica_Apply() - Apply @item if it is newer than the replica's entry.
 * @now: determines when a tombstone expires
 *
 * Calls the changed callback, except for the deletion of a key that does not
 * exist.
 *
 * Return: true when @item was applied; false when the replica has the same or
 * a newer revision of the key, or has purged the key's tombstone.
 */
bool MvReplica_Apply(mv_replica_t *replica, mv_time_t now,
                     const mv_store_item_t *item);

/**
 * MvReplica_PurgeTombstones() - Free tombstones older than one minute.
 *
 * To be called periodically.  Keeps tombstones that are newer than the
 * revision up to which the replica is complete.  Updates of a purged key that
 * are not newer than its deletion are still ignored.
 */
void MvReplica_PurgeTombstones(mv_replica_t *replica, mv_time_t now);

/**
 * MvReplica_Advance() - Mark the replica as complete up to @revision.
 *
 * Does nothing when it is complete up to a newer revision.
 */
void MvReplica_Advance(mv_replica_t *replica, uint64_t revision);

/**
 * typedef mv_replica_list_t - A full list of the store that is being applied.
 *
 * Its pages may show different states of the store, each later or earlier than
 * the one before.  Other changes may be applied to the replica meanwhile, also
 * another list.
 */
typedef struct mv_replica_list mv_replica_list_t;

/**
 * MvReplicaList_Create() - Start to apply a full list.
 * @replica: must outlive the list
 *
 * To be followed for each page by MvReplicaList_AddPage() and by
 * MvReplicaList_Apply() for its items.
 *
 * Return: the list, to be freed with MvReplicaList_Finish(), or with
 * MvReplicaList_Destroy() when it is incomplete.
 */
mv_replica_list_t *MvReplicaList_Create(mv_replica_t *replica);

/**
 * MvReplicaList_Destroy() - Abandon an incomplete list; NULL is accepted.
 *
 * The items that have been applied stay.
 */
void MvReplicaList_Destroy(mv_replica_list_t *list);

/**
 * MvReplicaList_AddPage() - Record that a page was read.
 * @revision: revision of the store that the page shows
 */
void MvReplicaList_AddPage(mv_replica_list_t *list, uint64_t revision);

/** MvReplicaList_Apply() - Apply an item of the list: MvReplica_Apply(). */
void MvReplicaList_Apply(mv_replica_list_t *list, mv_time_t now,
                         const mv_store_item_t *item);

/**
 * MvReplicaList_Finish() - Finish a list that has at least one page; frees it.
 *
 * Deletes the keys that are absent from the list and not newer than its oldest
 * page, marks the replica as complete up to the revision of that page and
 * purges old tombstones.
 */
void MvReplicaList_Finish(mv_replica_list_t *list, mv_time_t now);

/**
 * MvReplica_Value() - Value of @key, or NULL when it does not exist.
 * @length: set to the length of the value in bytes; may be NULL
 *
 * Return: NUL-terminated value, valid until the key changes.
 */
const char *MvReplica_Value(const mv_replica_t *replica, const char *key,
                            size_t *length);

/**
 * MvReplica_KeyRevision() - Revision of the last change of @key, 0 when it
 * does not exist.
 */
uint64_t MvReplica_KeyRevision(const mv_replica_t *replica, const char *key);

/**
 * MvReplica_EncodeSince() - Encode the changes after revision @since.
 * @out: the encoded delta is appended
 *
 * Encodes a full snapshot when @since is 0 or this replica may lack tombstones
 * after @since: they have been purged, or a list has replaced the changes.
 *
 * Return: false when out of memory.
 */
bool MvReplica_EncodeSince(const mv_replica_t *replica, uint64_t since,
                           mv_buffer_t *out);

/**
 * MvReplica_EncodePublic() - Encode all keys except the signing keys.
 * @out: the encoded delta is appended
 *
 * For a node that cannot authenticate itself yet.  Merging the result does not
 * advance the revision up to which the receiver's replica is complete.
 *
 * Return: false when out of memory.
 */
bool MvReplica_EncodePublic(const mv_replica_t *replica, mv_buffer_t *out);

/**
 * enum mv_merge - Result of MvReplica_Merge().
 * @MV_MERGE_DONE: applied; the replica is complete up to the delta's end
 * @MV_MERGE_GAP: applied, but changes before the delta's start are missing
 * @MV_MERGE_MALFORMED: the bytes could not be decoded; the items before the
 *                      malformed one may have been applied
 */
typedef enum mv_merge {
    MV_MERGE_DONE,
    MV_MERGE_GAP,
    MV_MERGE_MALFORMED,
} mv_merge_t;

/**
 * MvReplica_Merge() - Apply a delta that another node encoded.
 *
 * When the delta starts after the revision of this replica, its keys are
 * applied but the revision is not advanced (%MV_MERGE_GAP).
 */
mv_merge_t MvReplica_Merge(mv_replica_t *replica, mv_time_t now,
                           const char *bytes, size_t length);

/* Follower */

/** typedef mv_follower_t - Updates a replica from the store. */
typedef struct mv_follower mv_follower_t;

/**
 * struct mv_follower_settings - Intervals of the follower.
 * @watch_timeout: long-poll timeout of a watch; a store that does not answer
 *                 is noticed after this time and the grace period that the
 *                 store client adds
 * @contact_timeout: timeout of the first watch after MvFollower_SetActive(),
 * so that other nodes learn soon that this one has contact
 * @coalesce_delay: delay of the next watch after a change, so that changes in
 *                  quick succession cost one call
 * @back_off: mean delay after the first failed call, doubled after each
 *            further one; the delays have a jitter of 50 percent
 * @max_back_off: maximum mean delay after a failed call
 */
typedef struct mv_follower_settings {
    mv_time_t watch_timeout;
    mv_time_t contact_timeout;
    mv_time_t coalesce_delay;
    mv_time_t back_off;
    mv_time_t max_back_off;
} mv_follower_settings_t;

/**
 * MvFollowerSettings_Default() - Intervals that keep the 3 s limit within
 * which a change must be in force.
 */
mv_follower_settings_t MvFollowerSettings_Default(void);

/**
 * MvFollower_Create() - Create a follower of the whole store.
 * @store: must outlive the follower
 * @replica: replica to update; must outlive the follower
 * @random: source of the retry jitter; not owned
 *
 * The first call of MvFollower_Timer() starts it.
 *
 * Return: the follower, to be freed with MvFollower_Destroy().
 */
mv_follower_t *MvFollower_Create(const mv_follower_settings_t *settings,
                                 mv_store_t *store, mv_replica_t *replica,
                                 GRand *random);

/**
 * MvFollower_Destroy() - Free the follower; NULL is accepted.
 *
 * An outstanding store call still refers to the follower: destroy the store
 * next, before MvStore_Poll() or its event loop runs again.
 */
void MvFollower_Destroy(mv_follower_t *follower);

/**
 * MvFollower_Timer() - Start the next store call when it is due.
 *
 * Must also be called after store replies, which it processes.
 *
 * Return: the latest time at which to call this function again, %MV_NEVER
 * while a call is outstanding or no further call is needed.
 */
mv_time_t MvFollower_Timer(mv_follower_t *follower, mv_time_t now);

/**
 * MvFollower_SetActive() - Start or stop following the store.
 * @active: false: start no further calls once a full list has been applied
 */
void MvFollower_SetActive(mv_follower_t *follower, bool active);

/**
 * MvFollower_LastContact() - Time of the last successful reply, or 0.
 *
 * Replies are dated by the following MvFollower_Timer().
 */
mv_time_t MvFollower_LastContact(const mv_follower_t *follower);

/**
 * MvFollower_CompleteAt() - Time up to which the calls of this node have shown
 * every change of the store, or 0.
 */
mv_time_t MvFollower_CompleteAt(const mv_follower_t *follower);

/**
 * MvFollower_HasFailedSince() - Whether the store did not answer a call of
 * this node after @since, or is late to answer one.
 */
bool MvFollower_HasFailedSince(const mv_follower_t *follower, mv_time_t since,
                               mv_time_t now);

/** MvFollower_IsComplete() - Whether a full list has been applied. */
bool MvFollower_IsComplete(const mv_follower_t *follower);

/**
 * MvFollower_FailingSince() - Time since which no store call has succeeded, as
 * noticed by MvFollower_Timer(); 0 while calls succeed.
 */
mv_time_t MvFollower_FailingSince(const mv_follower_t *follower);

/**
 * MvFollower_Relists() - Number of lists that were begun because a watch could
 * not tell the changes.
 */
unsigned MvFollower_Relists(const mv_follower_t *follower);

/** MvFollower_IsReachable() - Whether the last store call succeeded. */
bool MvFollower_IsReachable(const mv_follower_t *follower);

/* Keys in the store */

/** Prefix of node records; the node id in decimal follows it. */
#define MV_NODE_PREFIX "masticvane/nodes/"
/** Store key of the signing keys for messages between nodes. */
#define MV_SIGNING_KEYS "masticvane/keys"

/** Number of tiers of nodes by the size of their VMs. */
#define MV_NODE_TIERS 4u

/**
 * MvNodeId_Tier() - Tier of the node @id, 0 for the largest VMs.
 *
 * The node that watches the store, and those that pass changes on to many,
 * have several times the work of the others, so the largest VMs take it.  A
 * node chooses an id of its tier, so that all nodes agree on it.
 */
unsigned MvNodeId_Tier(mv_node_id_t id);

/**
 * MvNode_TierOf() - Tier of a VM.
 * @processor: cores that the node may use, 0 when not known
 * @megabits: bandwidth of its link in Mbit/s, 0 when not known
 */
unsigned MvNode_TierOf(double processor, double megabits);

/**
 * struct mv_node_record - Record of an entry VM in the store.
 * @id: node id, from the record's key
 * @data_centre: name of its data centre
 * @address: IPv4 address as text
 * @port: TCP and UDP port for messages between nodes
 */
typedef struct mv_node_record {
    mv_node_id_t id;
    char data_centre[MV_NAME_MAX];
    char address[16];
    uint16_t port;
} mv_node_record_t;

/**
 * MvNodeRecord_Parse() - Parse the key and the value of a node record.
 * @value: NULL when the key was deleted
 * @record: overwritten; its id is %MV_NO_NODE when @key is malformed, and
 * valid when only @value is malformed or NULL
 *
 * Return: false when the key or the value is malformed or @value is NULL.
 */
bool MvNodeRecord_Parse(const char *key, const char *value,
                        mv_node_record_t *record);

/** MvNodeRecord_Key() - Store key of node @id; freed with g_free(). */
char *MvNodeRecord_Key(mv_node_id_t id);

/** MvNodeRecord_Value() - Value of a record; freed with g_free(). */
char *MvNodeRecord_Value(const mv_node_record_t *record);

/* Change distribution: one node of a data centre watches the store; the others
 * receive the changes along a tree of subscriptions */

/**
 * struct mv_fanout_settings - Intervals and sizes of the fanout.
 * @data_centre: data centre of this node
 * @heartbeat_interval: interval between two heartbeats of a watching node
 * @heartbeat_timeout: time without a heartbeat after which a source is lost
 * @depth_delay: delay added to @heartbeat_timeout for each node between the
 *               store and this one
 * @registration_time: time after its start in which a node waits for its
 *                     registration before it watches
 * @freshness_limit: time without a store reply after which the heartbeats of a
 *                   watching node report it as not fresh
 * @failure_limit: time of failing store calls with the same effect
 * @answer_timeout: time that a node has to answer a subscription before the
 *                  next one is asked
 * @search_interval: interval of requests to further nodes when the first ones
 *                   have not answered
 * @subscribe_interval: interval at which a subscription is renewed
 * @confirmation_limit: age of the newest request that the source, or a node
 *                      that is to be the source, has handled; one of two
 *                      requests may be lost
 * @behind_limit: time for which a node may lack a change that another one has
 *                told of and still be up to date
 * @change_limit: time within which a change of the store must be in force at a
 *                node that reaches it
 * @subscription_time: time after which a subscription that is not renewed ends
 * @pull_interval: minimum interval between two pulls from the same node
 * @branching: subscribers that a node has while all nodes run
 * @max_subscribers: subscribers that a node accepts while others are lost
 * @report_group_size: mean number of nodes in a group that exchanges reports
 *                     on backend servers above which the number of groups is
 *                     doubled
 */
typedef struct mv_fanout_settings {
    char data_centre[MV_NAME_MAX];
    mv_time_t heartbeat_interval;
    mv_time_t heartbeat_timeout;
    mv_time_t depth_delay;
    mv_time_t registration_time;
    mv_time_t freshness_limit;
    mv_time_t failure_limit;
    mv_time_t answer_timeout;
    mv_time_t search_interval;
    mv_time_t subscribe_interval;
    mv_time_t confirmation_limit;
    mv_time_t behind_limit;
    mv_time_t change_limit;
    mv_time_t subscription_time;
    mv_time_t pull_interval;
    unsigned branching;
    unsigned max_subscribers;
    unsigned report_group_size;
} mv_fanout_settings_t;

/**
 * MvFanoutSettings_Default() - Settings that keep the 3 s limit within which a
 * change must be in force.
 */
mv_fanout_settings_t MvFanoutSettings_Default(const char *data_centre);

/**
 * enum mv_source_loss - Why a node gives up the node from which it receives
 * changes.
 * @MV_SOURCE_SILENT: no heartbeats
 * @MV_SOURCE_LATE: it handles messages late
 * @MV_SOURCE_OUTDATED: it is not up to date, or this node cannot get a change
 */
typedef enum mv_source_loss {
    MV_SOURCE_SILENT,
    MV_SOURCE_LATE,
    MV_SOURCE_OUTDATED,
} mv_source_loss_t;

/**
 * struct mv_fanout_ops - Callbacks of the fanout.
 * @send: send @message, which is valid during the call, to node @to; it may be
 *        lost
 * @add_peer: @record is new or has a new address; messages will be sent to it.
 *            Also called for the record of this node, and again for each
 *            record by MvFanout_SetSelf()
 * @role_changed: this node starts or stops watching the store; @rank is the
 *                number of nodes of its data centre that rank before it
 * @contact_changed: heartbeats of node @id, the source of this one, stopped,
 * or resumed (@is_back); @silence is the time without one
 * @source_lost: this node no longer receives changes from node @id
 * @source_found: this node receives changes from node @id; @asked nodes were
 *                asked in @took
 */
typedef struct mv_fanout_ops {
    void (*send)(void *context, mv_node_id_t to, const mv_message_t *message);
    void (*add_peer)(void *context, const mv_node_record_t *record);
    void (*role_changed)(void *context, bool watches, unsigned rank);
    void (*contact_changed)(void *context, mv_node_id_t id, bool is_back,
                            mv_time_t silence);
    void (*source_lost)(void *context, mv_node_id_t id, mv_source_loss_t why);
    void (*source_found)(void *context, mv_node_id_t id, unsigned asked,
                         mv_time_t took);
} mv_fanout_ops_t;

/** Longest normal time without contact with the store or an up-to-date node; a
 * watch responds every second. */
#define MV_CONTACT_TIMEOUT (1500 * MV_MILLISECOND)

/**
 * typedef mv_fanout_t - State of the change distribution at this node.
 *
 * Invariant: a node that reaches the store acts on no state of it that is
 * older than @change_limit, by its own clock and whatever other nodes claim:
 * it proves how much it knows (MvFanout_ProvenAt()) or asks the store.
 */
typedef struct mv_fanout mv_fanout_t;

/**
 * MvFanout_Create() - Create the fanout of a node, at first without peers.
 * @replica: replica to distribute; must outlive the fanout
 * @follower: active while this node watches; must outlive the fanout
 * @ops: must outlive the fanout
 * @context: passed to the callbacks
 *
 * Before MvFanout_SetSelf() the node watches the store, after some time or at
 * once when the signing keys are missing in the replica.
 *
 * Return: the fanout, to be freed with MvFanout_Destroy().
 */
mv_fanout_t *MvFanout_Create(const mv_fanout_settings_t *settings,
                             mv_replica_t *replica, mv_follower_t *follower,
                             const mv_fanout_ops_t *ops, void *context);

/** MvFanout_Destroy() - Free the fanout; NULL is accepted. */
void MvFanout_Destroy(mv_fanout_t *fanout);

/**
 * MvFanout_SetSelf() - Set the id of this node.
 *
 * Calls add_peer() for all known records.
 */
void MvFanout_SetSelf(mv_fanout_t *fanout, mv_time_t now, mv_node_id_t id);

/**
 * MvFanout_UpdateNode() - Handle a change of the node record under @key.
 * @value: the new value, NULL when the record was deleted
 *
 * Nodes of other data centres are only counted.
 */
void MvFanout_UpdateNode(mv_fanout_t *fanout, mv_time_t now, const char *key,
                         const char *value);

/**
 * MvFanout_HandleMessage() - Handle an authenticated MV_MESSAGE_REPLICA_*.
 *
 * Other messages and those of unknown nodes are ignored.
 */
void MvFanout_HandleMessage(mv_fanout_t *fanout, mv_time_t now,
                            const mv_message_t *message);

/**
 * MvFanout_Send() - Send @message to the node @to.
 *
 * Sets the sender of @message.  Does nothing before MvFanout_SetSelf().
 */
void MvFanout_Send(mv_fanout_t *fanout, mv_node_id_t to,
                   mv_message_t *message);

/**
 * MvFanout_Broadcast() - Send @message to the nodes of the own report group.
 *
 * Sets the sender of @message.  Does nothing before MvFanout_SetSelf().
 */
void MvFanout_Broadcast(mv_fanout_t *fanout, mv_message_t *message);

/**
 * MvFanout_HandleResume() - Drop the source after a pause.
 *
 * To be called after the process was paused.  The node watches the store from
 * the next MvFanout_Timer() on, until a fresh heartbeat arrives.
 */
void MvFanout_HandleResume(mv_fanout_t *fanout);

/**
 * MvFanout_Timer() - Update source and role; send changes and heartbeats.
 *
 * Return: the latest time at which to call this function again.
 */
mv_time_t MvFanout_Timer(mv_fanout_t *fanout, mv_time_t now);

/** MvFanout_IsWatching() - Whether this node watches the store. */
bool MvFanout_IsWatching(const mv_fanout_t *fanout);

/**
 * MvFanout_CompleteAt() - Time before which the store made no change that the
 * replica of this node lacks, 0 while it is not known.
 *
 * Follows from own calls and from heartbeats, which tell it of their sender.
 */
mv_time_t MvFanout_CompleteAt(const mv_fanout_t *fanout);

/**
 * MvFanout_ProvenAt() - Like MvFanout_CompleteAt(), but earlier: it assumes
 * nothing of how long messages take or wait at nodes.
 *
 * A heartbeat was sent after its sender had handled a request of this node, so
 * that the time of that request dates it.
 */
mv_time_t MvFanout_ProvenAt(const mv_fanout_t *fanout);

/**
 * MvFanout_DateRemoval() - Time from which the removal of a key counts that is
 * being applied.
 *
 * Return: MvFanout_ProvenAt(): the key existed then, and may have been
 * removed at any time since.  After an outage of the store, as seen by calls
 * of this node, @now: until then, what lapsed could not be written again.
 */
mv_time_t MvFanout_DateRemoval(const mv_fanout_t *fanout, mv_time_t now);

/**
 * MvFanout_TakeOutage() - Outage of the store that no earlier call returned.
 *
 * The store counts as down from the last contact on while there is none for
 * longer than %MV_CONTACT_TIMEOUT and a call of this node has failed or is
 * late.  A node that merely lost its source has not seen an outage.
 *
 * Return: its length up to @now, or 0.
 */
mv_time_t MvFanout_TakeOutage(mv_fanout_t *fanout, mv_time_t now);

/**
 * MvFanout_Source() - Node from which this one receives the changes of the
 * store, %MV_NO_NODE while it has none.
 */
mv_node_id_t MvFanout_Source(const mv_fanout_t *fanout);

/**
 * MvFanout_Staleness() - Time since the last reply of the store, or since the
 * last heartbeat of an up-to-date node, whichever is shorter.
 */
mv_time_t MvFanout_Staleness(const mv_fanout_t *fanout, mv_time_t now);

/**
 * MvFanout_BehindSince() - Time since which the replica has been older than
 * the newest revision reported by a heartbeat; 0 when it is not older.
 */
mv_time_t MvFanout_BehindSince(const mv_fanout_t *fanout);

/**
 * MvFanout_Nodes() - Number of nodes of all data centres; 0 before
 * MvFanout_SetSelf().
 */
unsigned MvFanout_Nodes(const mv_fanout_t *fanout);

/** MvFanout_LocalNodes() - Number of nodes of the data centre, at least 1. */
unsigned MvFanout_LocalNodes(const mv_fanout_t *fanout);

/* Registration */

/**
 * struct mv_registration_ops - Callbacks of the registration.
 * @generate_keys: generate signing keys in the format that MvKeyring_Parse()
 *                 reads; the result is freed with g_free()
 * @registered: this node is registered under @id; called again, possibly with
 *              another id, when the record was lost and has been rewritten
 */
typedef struct mv_registration_ops {
    char *(*generate_keys)(void *context);
    void (*registered)(void *context, mv_node_id_t id);
} mv_registration_ops_t;

/** typedef mv_registration_t - Registers this node in the store. */
typedef struct mv_registration mv_registration_t;

/**
 * MvRegistration_Create() - Create the registration of this node.
 * @self: record to write; its id is ignored, as the registration chooses one
 * @tier: tier of this node
 * @store: must outlive the registration
 * @replica: shows which records exist; must outlive the registration
 * @random: source of the jitter of writes; not owned
 * @ops: must outlive the registration
 * @context: passed to the callbacks
 *
 * Return: the registration, to be freed with MvRegistration_Destroy().
 */
mv_registration_t *MvRegistration_Create(const mv_node_record_t *self,
                                         unsigned tier, mv_store_t *store,
                                         const mv_replica_t *replica,
                                         GRand *random,
                                         const mv_registration_ops_t *ops,
                                         void *context);

/**
 * MvRegistration_Destroy() - Free the registration; NULL is accepted.
 *
 * An outstanding store call still refers to the registration: destroy the
 * store next, before MvStore_Poll() or its event loop runs again.
 */
void MvRegistration_Destroy(mv_registration_t *registration);

/**
 * MvRegistration_Timer() - Start the next store call when it is due.
 *
 * To be called only after the follower has applied a full list, and also after
 * store replies.
 *
 * Return: the latest time at which to call this function again, %MV_NEVER
 * while a call is outstanding.
 */
mv_time_t MvRegistration_Timer(mv_registration_t *registration, mv_time_t now);

/* Records that any node may write */

/** typedef mv_record_writer_t - Writes one key of the store when it must. */
typedef struct mv_record_writer mv_record_writer_t;

/**
 * MvRecordWriter_Create() - Create the writer of @key.
 * @store: must outlive the writer
 * @replica: shows what the key holds; must outlive the writer
 * @random: source of the delays; not owned
 *
 * Several nodes may want to write the same: each waits for a random time and
 * writes under the condition that the key is as the replica shows it, so that
 * the first one spares the others the call.
 *
 * Return: the writer, to be freed with MvRecordWriter_Destroy().
 */
mv_record_writer_t *MvRecordWriter_Create(const char *key, mv_store_t *store,
                                          const mv_replica_t *replica,
                                          GRand *random);

/**
 * MvRecordWriter_Destroy() - Free the writer; NULL is accepted.
 *
 * An outstanding store call still refers to the writer: destroy the store
 * next, before MvStore_Poll() or its event loop runs again.
 */
void MvRecordWriter_Destroy(mv_record_writer_t *writer);

/**
 * MvRecordWriter_Want() - Set the value that the key should have.
 * @value: the value, or NULL when nothing is to be written; to be called again
 *         whenever the replica or the wanted value may have changed
 * @min_delay: shortest delay of the write, from the first call with a value
 * @max_delay: longest delay
 */
void MvRecordWriter_Want(mv_record_writer_t *writer, mv_time_t now,
                         const char *value, mv_time_t min_delay,
                         mv_time_t max_delay);

/**
 * MvRecordWriter_Timer() - Start the write when it is due.
 *
 * Return: the latest time at which to call this function again, %MV_NEVER
 * while a call is outstanding or nothing is to be written.
 */
mv_time_t MvRecordWriter_Timer(mv_record_writer_t *writer, mv_time_t now);

#ifdef __cplusplus
}
#endif
#endif
