/**
 * DOC: Threads of the daemon in the forwarding mode "buckets" and the state
 * that they share.
 *
 * control.c  control thread: members, configuration, store, operators
 * packets.c  traffic threads for packets
 * proxy.c    traffic thread for requests
 */
#ifndef MASTICVANED_DAEMON_H
#define MASTICVANED_DAEMON_H

#include <pthread.h>

#include "masticvane/config.h"
#include "masticvane/core.h"
#include "masticvane/net.h"
#include "masticvane/requests.h"
#include "masticvane/store.h"
#include "settings.h"

/**
 * struct mv_members_view - Snapshot that the control thread publishes for the
 * request thread.
 * @deployment: configuration in force, an owned reference, or NULL
 * @count: entries in @members
 * @members: nodes that may own idempotency keys and slots
 */
typedef struct mv_members_view {
    mv_deployment_t *deployment;
    size_t count;
    mv_request_member_t members[];
} mv_members_view_t;

/**
 * struct mv_daemon - State shared by the threads.
 * @settings: read-only
 * @log: thread-safe
 * @counters: thread-safe
 * @node: core.h states which thread may call which function
 * @started_at: Unix time of the start in microseconds; also the first sequence
 *              number of frames
 * @members_view: latest snapshot for the request thread, which takes and frees
 *                it; atomic exchange only
 * @stopping: set by the control thread when a planned stop begins; see
 *            MvFlag_Get()
 * @requests_done: set by the request thread during a planned stop, when no
 *                 request and no connection from a caller is open
 * @finished: set by the control thread; every traffic thread then ends
 * @dump_lock: protects @proxy_dump
 * @proxy_dump: latest JSON state of the request thread, or NULL
 */
typedef struct mv_daemon {
    const mv_settings_t *settings;
    mv_log_t *log;
    mv_counters_t counters;
    mv_node_t *node;
    mv_time_t started_at;
    mv_members_view_t *members_view;
    bool stopping;
    bool requests_done;
    bool finished;
    pthread_mutex_t dump_lock;
    char *proxy_dump;
} mv_daemon_t;

/**
 * MvControl_Run() - Start the daemon and run its control thread.
 *
 * Returns when a planned stop has ended.
 *
 * Return: the exit status of the process; 1 when the daemon cannot start, with
 * @error set.
 */
int MvControl_Run(mv_daemon_t *daemon, GError **error);

/** typedef mv_packets_t - The packet threads. */
typedef struct mv_packets mv_packets_t;

/**
 * MvPackets_Start() - Bind the ports and start the packet threads.
 *
 * Return: the threads, to be freed with MvPackets_Join(); NULL with @error
 * set.
 */
mv_packets_t *MvPackets_Start(mv_daemon_t *daemon, GError **error);

/** MvPackets_Join() - Wait for the threads to end and free them; accepts NULL.
 */
void MvPackets_Join(mv_packets_t *packets);

/** typedef mv_proxy_t - The request thread. */
typedef struct mv_proxy mv_proxy_t;

/**
 * MvProxy_Start() - Bind the ports and start the request thread.
 *
 * Return: the thread, to be freed with MvProxy_Join(); NULL with @error set.
 */
mv_proxy_t *MvProxy_Start(mv_daemon_t *daemon, GError **error);

/** MvProxy_Join() - Wait for the thread to end and free it; accepts NULL. */
void MvProxy_Join(mv_proxy_t *proxy);

/** MvMembersView_Free() - Free a snapshot; accepts NULL. */
void MvMembersView_Free(mv_members_view_t *view);

/** MvFlag_Get() - Read a flag that another thread sets; acquire order. */
static inline bool
MvFlag_Get(const bool *flag)
{
    return __atomic_load_n(flag, __ATOMIC_ACQUIRE);
}

/** MvFlag_Set() - Set a flag that other threads read; release order. */
static inline void
MvFlag_Set(bool *flag)
{
    __atomic_store_n(flag, true, __ATOMIC_RELEASE);
}

#endif
