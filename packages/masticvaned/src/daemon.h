/**
 * DOC: The threads of the daemon and what they share.
 *
 * control.c  the control thread: members, configuration, store, operators
 * packets.c  traffic threads for packets
 * proxy.c    the traffic thread for requests
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
 * struct mv_members_view - What the request thread learns from control.
 * @deployment: configuration in force, a reference, or NULL
 * @count: entries in @members
 * @members: nodes that may own keys and slots
 */
typedef struct mv_members_view {
    mv_deployment_t *deployment;
    size_t count;
    mv_request_member_t members[];
} mv_members_view_t;

/**
 * struct mv_daemon - Shared by the threads.
 * @settings: read-only
 * @log: thread-safe
 * @counters: thread-safe
 * @node: see core.h for which thread may call what
 * @started_at: Unix time at the start, for sequences
 * @members_view: latest for the request thread, taken by atomic exchange
 * @stopping: a planned stop began
 * @requests_done: the request thread has nothing open
 * @finished: every thread should end
 * @proxy_dump: latest state text of the request thread, under @dump_lock
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

/** MvControl_Run() - The control thread, until everything has stopped. */
int MvControl_Run(mv_daemon_t *daemon, GError **error);

/** typedef mv_packets_t - The packet threads. */
typedef struct mv_packets mv_packets_t;

/** MvPackets_Start() - Bind and start the threads; NULL with @error set. */
mv_packets_t *MvPackets_Start(mv_daemon_t *daemon, GError **error);

/** MvPackets_Join() - Wait for the threads and free; NULL is accepted. */
void MvPackets_Join(mv_packets_t *packets);

/** typedef mv_proxy_t - The request thread. */
typedef struct mv_proxy mv_proxy_t;

/** MvProxy_Start() - Bind and start the thread; NULL with @error set. */
mv_proxy_t *MvProxy_Start(mv_daemon_t *daemon, GError **error);

/** MvProxy_Join() - Wait for the thread and free; NULL is accepted. */
void MvProxy_Join(mv_proxy_t *proxy);

/** MvMembersView_Free() - Free; NULL is accepted. */
void MvMembersView_Free(mv_members_view_t *view);

static inline bool
MvFlag_Get(const bool *flag)
{
    return __atomic_load_n(flag, __ATOMIC_ACQUIRE);
}

static inline void
MvFlag_Set(bool *flag)
{
    __atomic_store_n(flag, true, __ATOMIC_RELEASE);
}

#endif
