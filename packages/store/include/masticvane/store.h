/**
 * DOC: masticvane store library
 *
 * Client of the platform's key-value store: reads, check-and-set writes, lists
 * and watches.  Calls return at once; their outcome is passed to a callback
 * that runs inside MvStore_Poll() or on the store's event loop.  The accepted
 * configuration is stored as a root value that refers to immutable service
 * values by digest.  Times are in microseconds.
 *
 * A store may be restored from an older copy: its revisions go back and are
 * given out again.  Where the platform counts such restorations, a revision
 * here is MvStore_Revision() of the count, the era, and of the store's own
 * number: every revision of a later era is greater than all earlier ones, so
 * that revisions of different eras compare as they must.
 *
 * Threads: a store must be used by one thread only.
 */
#ifndef MASTICVANE_STORE_H
#define MASTICVANE_STORE_H

#include "masticvane/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum mv_store_outcome - Result of a call.
 * @MV_STORE_DONE: the write took effect, or the value was read
 * @MV_STORE_REFUSED: the check failed, or the key does not exist
 * @MV_STORE_FAILED: the call failed without any effect
 * @MV_STORE_UNKNOWN: the write may have taken effect; read back to find out
 */
typedef enum mv_store_outcome {
    MV_STORE_DONE,
    MV_STORE_REFUSED,
    MV_STORE_FAILED,
    MV_STORE_UNKNOWN,
} mv_store_outcome_t;

/**
 * struct mv_store_reply - Reply to one call, valid during the callback.
 * @outcome: result of the call
 * @index: modification index of the key, or of the store when the key does not
 *         exist; or the id of a granted lease
 * @value: the value read, NUL-terminated, or NULL
 * @length: bytes in @value
 */
typedef struct mv_store_reply {
    mv_store_outcome_t outcome;
    uint64_t index;
    const char *value;
    size_t length;
} mv_store_reply_t;

/** Revisions of the next era are greater by this; readable in decimal. */
#define MV_STORE_ERA_STEP UINT64_C(1000000000000)

/** MvStore_Revision() - Revision from an era and the store's own number. */
static inline uint64_t
MvStore_Revision(uint64_t era, uint64_t number)
{
    return era * MV_STORE_ERA_STEP + number;
}

/** MvStore_Era() - Era of a revision: times that the store was restored. */
static inline uint64_t
MvStore_Era(uint64_t revision)
{
    return revision / MV_STORE_ERA_STEP;
}

/** MvStore_Number() - The store's own number of a revision. */
static inline uint64_t
MvStore_Number(uint64_t revision)
{
    return revision % MV_STORE_ERA_STEP;
}

/** typedef mv_store_done_t - Called with the reply to a call. */
typedef void (*mv_store_done_t)(void *context, const mv_store_reply_t *reply);

/** typedef mv_store_t - A client of the platform's store. */
typedef struct mv_store mv_store_t;

/**
 * struct mv_store_item - One key in the reply to a list or a watch.
 * @key: name of the key
 * @value: NUL-terminated value, NULL when @deleted
 * @length: bytes in @value
 * @revision: revision of the store at the key's last change
 * @deleted: the key has been deleted
 */
typedef struct mv_store_item {
    const char *key;
    const char *value;
    size_t length;
    uint64_t revision;
    bool deleted;
} mv_store_item_t;

/**
 * struct mv_store_items - Reply to a list or a watch, valid during the
 * callback.
 * @outcome: result; %MV_STORE_REFUSED for a watch: the changes after the
 *           requested revision cannot be had by a watch, as the store has
 *           compacted that history, has been restored, or the reply cannot be
 *           taken, so list again
 * @revision: revision of the store
 * @next: for a list: where its next page begins, NULL for the last page
 * @count: entries in @items
 * @items: the entries; those of a watch in the order of their revisions
 *
 * Invariant: what cannot be used of a page never decides where the list goes
 * on.  @next comes from the store, also when @items is empty, and means
 * something to the store alone.
 */
typedef struct mv_store_items {
    mv_store_outcome_t outcome;
    uint64_t revision;
    const char *next;
    size_t count;
    const mv_store_item_t *items;
} mv_store_items_t;

/** typedef mv_store_listed_t - Called with the reply to a list or watch. */
typedef void (*mv_store_listed_t)(void *context,
                                  const mv_store_items_t *items);

/**
 * struct mv_store_ops - Functions of a store implementation.
 * @get: read @key; with @index above 0, wait up to @wait until its
 *       modification index exceeds @index
 * @put: write @key if its modification index is @index (0: if it does not
 *       exist)
 * @list: read a page of the keys that start with @prefix, from @after on: NULL
 *        for the first page, then @next of the page before; @stale allows a
 *        cheaper reply that may be some seconds old; may be NULL
 * @watch: wait up to @wait for changes after @revision; may be NULL
 * @lease: grant a lease of @ttl; the reply's index is its id; may be NULL
 * @renew_lease: renew @lease; %MV_STORE_REFUSED when it has expired; may be
 *               NULL
 * @put_leased: like @put, and delete the key when @lease expires; may be NULL
 * @poll: run callbacks; waits up to @timeout_ms milliseconds
 * @destroy: drop outstanding calls without callbacks and free the store
 */
typedef struct mv_store_ops {
    void (*get)(mv_store_t *store, const char *key, uint64_t index,
                mv_time_t wait, mv_store_done_t done, void *context);
    void (*put)(mv_store_t *store, const char *key, const char *value,
                size_t length, uint64_t index, mv_store_done_t done,
                void *context);
    void (*list)(mv_store_t *store, const char *prefix, const char *after,
                 bool stale, mv_store_listed_t done, void *context);
    void (*watch)(mv_store_t *store, const char *prefix, uint64_t revision,
                  mv_time_t wait, mv_store_listed_t done, void *context);
    void (*lease)(mv_store_t *store, mv_time_t ttl, mv_store_done_t done,
                  void *context);
    void (*renew_lease)(mv_store_t *store, uint64_t lease,
                        mv_store_done_t done, void *context);
    void (*put_leased)(mv_store_t *store, const char *key, const char *value,
                       size_t length, uint64_t index, uint64_t lease,
                       mv_store_done_t done, void *context);
    void (*poll)(mv_store_t *store, int timeout_ms);
    void (*destroy)(mv_store_t *store);
} mv_store_ops_t;

/**
 * struct mv_store - Base of every store implementation.
 * @ops: functions of the implementation
 */
struct mv_store {
    const mv_store_ops_t *ops;
};

/**
 * MvStore_CreateHttp() - Create a client of an HTTP key-value API like
 * Consul's.
 * @addresses: "host:port" separated by blanks; after a failed call, the client
 *             uses the next address
 * @timeout: timeout of reads and writes; a long poll times out 5 s after its
 *           wait time
 * @counters: counts reads, watches and failures, or NULL
 *
 * Callbacks run inside MvStore_Poll().  The functions for lists, watches and
 * leases are NULL.
 *
 * Return: the store, to be freed with MvStore_Destroy(); NULL with @error.
 */
mv_store_t *MvStore_CreateHttp(const char *addresses, mv_time_t timeout,
                               mv_counters_t *counters, GError **error);

/** MvStore_Destroy() - Free the store; NULL is accepted. */
void MvStore_Destroy(mv_store_t *store);

/** MvStore_Get() - Read a key or wait for its change: @get of mv_store_ops. */
void MvStore_Get(mv_store_t *store, const char *key, uint64_t index,
                 mv_time_t wait, mv_store_done_t done, void *context);

/** MvStore_Put() - Write a key by check-and-set: @put of mv_store_ops. */
void MvStore_Put(mv_store_t *store, const char *key, const char *value,
                 size_t length, uint64_t index, mv_store_done_t done,
                 void *context);

/** MvStore_Poll() - Run callbacks: @poll of mv_store_ops. */
void MvStore_Poll(mv_store_t *store, int timeout_ms);

/**
 * struct mv_store_value - Result of a blocking call.
 * @outcome: result of the call
 * @index: modification index of the key that was read
 * @value: NUL-terminated value, to be freed with g_free(), or NULL
 * @length: bytes in @value
 */
typedef struct mv_store_value {
    mv_store_outcome_t outcome;
    uint64_t index;
    char *value;
    size_t length;
} mv_store_value_t;

/** MvStore_Read() - Read @key; blocks until the call ends. */
mv_store_value_t MvStore_Read(mv_store_t *store, const char *key);

/**
 * MvStore_Write() - Write @key by check-and-set; blocks until the call ends.
 * @index: expected modification index; 0: the key must not exist
 */
mv_store_value_t MvStore_Write(mv_store_t *store, const char *key,
                               const char *value, size_t length,
                               uint64_t index);

/* Accepted configuration */

/**
 * MvAccepted_Load() - Read the accepted configuration; blocks.
 * @deployment: deployment name
 * @index: set to the root's modification index, 0 when there is none yet
 * @error: set to %MV_ERROR_UNAVAILABLE when the store cannot be read, to
 *         another code when the configuration in it cannot be decoded
 *
 * Return: the configuration, to be freed with MvDeployment_Unref(); NULL with
 * @error unset when none is accepted.
 */
mv_deployment_t *MvAccepted_Load(mv_store_t *store, const char *deployment,
                                 uint64_t *index, GError **error);

/**
 * MvAccepted_Confirm() - Make @next the accepted configuration; blocks.
 * @previous: configuration that @next was planned from, or NULL
 * @index: modification index of the root that @next was planned from, 0 when
 *         there was none
 * @wait: time limit for reading the change id back
 *
 * Changed service values are written first, under keys that contain their
 * digests; then the root is written by check-and-set.  An unknown outcome is
 * resolved by reading the change id back, repeatedly until @wait has passed.
 *
 * Return: true when @next is accepted.  Otherwise @error is
 * MV_ERROR_CONFLICT, MV_ERROR_UNAVAILABLE (not accepted) or
 * MV_ERROR_UNKNOWN_OUTCOME.
 */
bool MvAccepted_Confirm(mv_store_t *store, const mv_deployment_t *previous,
                        const mv_deployment_t *next, uint64_t index,
                        mv_time_t wait, GError **error);

/** typedef mv_accepted_watch_t - Follows the accepted configuration. */
typedef struct mv_accepted_watch mv_accepted_watch_t;

/**
 * typedef mv_accepted_changed_t - Called with each new configuration, and
 * again with the current one after an outage of the store.
 * @deployment: valid during the call; take a reference to keep it
 */
typedef void (*mv_accepted_changed_t)(void *context,
                                      mv_deployment_t *deployment);

/**
 * MvAcceptedWatch_Create() - Create a watch of one deployment, not started.
 * @random: source of the back-off jitter; not owned
 * @changed: see mv_accepted_changed_t
 * @context: passed to @changed
 *
 * Return: to be freed with MvAcceptedWatch_Destroy() before the store.
 */
mv_accepted_watch_t *MvAcceptedWatch_Create(mv_store_t *store,
                                            const char *deployment,
                                            GRand *random,
                                            mv_accepted_changed_t changed,
                                            void *context);

/** MvAcceptedWatch_Destroy() - Free the watch; NULL is accepted. */
void MvAcceptedWatch_Destroy(mv_accepted_watch_t *watch);

/**
 * MvAcceptedWatch_Timer() - Start the next call of the watch when it is due.
 * @active: false pauses the watch after the outstanding call
 */
void MvAcceptedWatch_Timer(mv_accepted_watch_t *watch, mv_time_t now,
                           bool active);

/**
 * MvAcceptedWatch_IsReachable() - False from a failed call until the next
 * successful read of the root.
 */
bool MvAcceptedWatch_IsReachable(const mv_accepted_watch_t *watch);

#ifdef __cplusplus
}
#endif
#endif
