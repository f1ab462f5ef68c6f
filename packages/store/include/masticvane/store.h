/**
 * DOC: masticvane store library
 *
 * The platform's key-value store: check-and-set writes, reads, watches.  A
 * store is used by one thread.  Calls return at once; their outcome arrives
 * by callback from MvStore_Poll().  The accepted configuration is kept as a
 * root value that names immutable service values by digest.
 */
#ifndef MASTICVANE_STORE_H
#define MASTICVANE_STORE_H

#include "masticvane/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum mv_store_outcome - How a call ended.
 * @MV_STORE_DONE: it took effect, or the value was read
 * @MV_STORE_REFUSED: the check failed, or the key does not exist
 * @MV_STORE_NOT_SENT: it surely had no effect
 * @MV_STORE_UNKNOWN: it may have taken effect; read back before going on
 */
typedef enum mv_store_outcome {
    MV_STORE_DONE,
    MV_STORE_REFUSED,
    MV_STORE_NOT_SENT,
    MV_STORE_UNKNOWN,
} mv_store_outcome_t;

/**
 * struct mv_store_reply - Outcome of one call, valid during the callback.
 * @outcome: how it ended
 * @index: modification index of the key, or of the watch
 * @value: the value read, NUL-terminated, or NULL
 * @length: bytes in @value
 */
typedef struct mv_store_reply {
    mv_store_outcome_t outcome;
    uint64_t index;
    const char *value;
    size_t length;
} mv_store_reply_t;

/** typedef mv_store_done_t - Receives the outcome of a call. */
typedef void (*mv_store_done_t)(void *context, const mv_store_reply_t *reply);

/** typedef mv_store_t - A connection to the platform's store. */
typedef struct mv_store mv_store_t;

/**
 * struct mv_store_item - One key as a list or a watch gives it.
 * @key: its name
 * @value: NUL-terminated bytes, NULL when @deleted
 * @length: bytes in @value
 * @revision: revision of the store at its last change
 * @deleted: it does not exist any more
 */
typedef struct mv_store_item {
    const char *key;
    const char *value;
    size_t length;
    uint64_t revision;
    bool deleted;
} mv_store_item_t;

/**
 * struct mv_store_items - Outcome of a list or a watch, valid during the
 * callback.
 * @outcome: how it ended; REFUSED by a watch: its history is gone, list anew
 * @revision: revision of the store
 * @more: the list goes on behind the last key
 * @count: entries in @items
 * @items: the entries; those of a watch in the order of their revisions
 */
typedef struct mv_store_items {
    mv_store_outcome_t outcome;
    uint64_t revision;
    bool more;
    size_t count;
    const mv_store_item_t *items;
} mv_store_items_t;

/** typedef mv_store_listed_t - Receives the outcome of a list or a watch. */
typedef void (*mv_store_listed_t)(void *context,
                                  const mv_store_items_t *items);

/**
 * struct mv_store_ops - One way to reach a store.
 * @get: read @key; with @index above 0 wait up to @wait for a later one
 * @put: write @key if its index is still @index (0: if it does not exist)
 * @list: keys that start with @prefix, from behind @after; @stale allows an
 *        answer that is some seconds old and costs less; may be NULL
 * @watch: wait up to @wait for changes after @revision; may be NULL
 * @lease: new lease of @ttl, its number is the reply's index; may be NULL
 * @renew_lease: renew @lease; REFUSED when it has ended; may be NULL
 * @put_leased: as @put, the key ends with @lease; may be NULL
 * @poll: run callbacks, waiting up to @timeout_ms
 * @destroy: drop outstanding calls without callback and free
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
 * struct mv_store - Base of every implementation.
 * @ops: its functions
 */
struct mv_store {
    const mv_store_ops_t *ops;
};

/**
 * MvStore_CreateHttp() - Store behind an HTTP key-value API.
 * @addresses: "host:port" separated by blanks, tried in turn
 * @timeout: bound of a call that does not wait
 * @counters: where reads and failures count, or NULL
 *
 * Return: the store, to be freed with MvStore_Destroy(); NULL with @error.
 */
mv_store_t *MvStore_CreateHttp(const char *addresses, mv_time_t timeout,
                               mv_counters_t *counters, GError **error);

/** MvStore_Destroy() - Free; NULL is accepted. */
void MvStore_Destroy(mv_store_t *store);

/** MvStore_Get() - See &struct mv_store_ops. */
void MvStore_Get(mv_store_t *store, const char *key, uint64_t index,
                 mv_time_t wait, mv_store_done_t done, void *context);

/** MvStore_Put() - See &struct mv_store_ops. */
void MvStore_Put(mv_store_t *store, const char *key, const char *value,
                 size_t length, uint64_t index, mv_store_done_t done,
                 void *context);

/** MvStore_Poll() - See &struct mv_store_ops. */
void MvStore_Poll(mv_store_t *store, int timeout_ms);

/**
 * struct mv_store_value - Result of a call that was waited for.
 * @outcome: how it ended
 * @index: modification index
 * @value: owned copy of the value, or NULL; free with g_free()
 * @length: bytes in @value
 */
typedef struct mv_store_value {
    mv_store_outcome_t outcome;
    uint64_t index;
    char *value;
    size_t length;
} mv_store_value_t;

/** MvStore_Read() - Read and wait for the outcome. */
mv_store_value_t MvStore_Read(mv_store_t *store, const char *key);

/** MvStore_Write() - Write and wait for the outcome. */
mv_store_value_t MvStore_Write(mv_store_t *store, const char *key,
                               const char *value, size_t length,
                               uint64_t index);

/* Accepted configuration */

/**
 * MvAccepted_Load() - Read the accepted configuration and wait for it.
 * @deployment: deployment name
 * @index: set to the root's modification index, 0 when there is none yet
 * @error: set on failure
 *
 * Return: the configuration; NULL with @error unset when none is accepted.
 */
mv_deployment_t *MvAccepted_Load(mv_store_t *store, const char *deployment,
                                 uint64_t *index, GError **error);

/**
 * MvAccepted_Confirm() - Make @next the accepted configuration.
 * @previous: what it was planned from, or NULL
 * @index: root index that @next was planned from
 *
 * Service values that changed are written first, under names made of their
 * digests; the root is then written by check-and-set.  An unknown outcome is
 * resolved by reading the change id back, again and again until @deadline.
 *
 * Return: true when @next is accepted.  Otherwise @error is
 * MV_ERROR_CONFLICT, MV_ERROR_UNAVAILABLE (surely not accepted) or
 * MV_ERROR_UNKNOWN_OUTCOME.
 */
bool MvAccepted_Confirm(mv_store_t *store, const mv_deployment_t *previous,
                        const mv_deployment_t *next, uint64_t index,
                        mv_time_t wait, GError **error);

/** typedef mv_accepted_watch_t - Follows the accepted configuration. */
typedef struct mv_accepted_watch mv_accepted_watch_t;

/** typedef mv_accepted_seen_t - Receives each newly seen configuration. */
typedef void (*mv_accepted_seen_t)(void *context, mv_deployment_t *deployment);

/**
 * MvAcceptedWatch_Create() - Watch of one deployment, not yet started.
 *
 * Return: to be freed with MvAcceptedWatch_Destroy() before the store.
 */
mv_accepted_watch_t *
MvAcceptedWatch_Create(mv_store_t *store, const char *deployment,
                       GRand *random, mv_accepted_seen_t seen, void *context);

/** MvAcceptedWatch_Destroy() - Free; NULL is accepted. */
void MvAcceptedWatch_Destroy(mv_accepted_watch_t *watch);

/**
 * MvAcceptedWatch_Timer() - Start or continue watching when due.
 * @active: false pauses the watch once the outstanding call ends
 */
void MvAcceptedWatch_Timer(mv_accepted_watch_t *watch, mv_time_t now,
                           bool active);

/** MvAcceptedWatch_IsReachable() - The last call reached the store. */
bool MvAcceptedWatch_IsReachable(const mv_accepted_watch_t *watch);

#ifdef __cplusplus
}
#endif
#endif
