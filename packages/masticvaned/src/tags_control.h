/**
 * DOC: State of the control thread in the forwarding mode "tags".
 *
 * tags_control.c  event loop, signals, settings, start and stop
 * tags_cluster.c  items of the store, messages between nodes, registration
 * tags_status.c   HTTP ports for health, metrics and replicas, state dump
 */
#ifndef MASTICVANED_TAGS_CONTROL_H
#define MASTICVANED_TAGS_CONTROL_H

#include "bootstrap.h"
#include "tags_mode.h"

/**
 * struct mv_tags_control - State of the control thread; times are monotonic.
 * @daemon: state shared with the traffic thread
 * @stop_limit: longest duration of a planned stop
 * @settings_mtime: modification time of the settings file that was read last
 * @next_settings_check: when the settings file is checked again
 * @table_outdated: the traffic thread needs a new forwarding table
 * @changed_at: when this node first learned of the oldest change that is in no
 *              table yet, or 0
 * @dump_at: when the state requested by SIGUSR1 is written, 0 for never
 * @relists: lists after a refused watch that have been logged
 * @was_reachable: last logged reachability of the store, false at the start
 * @was_ready: last logged readiness, false at the start
 * @started_at: when the event loop was entered
 * @unreachable_since: when the store became unreachable, 0 while reachable
 * @stop_began: when the planned stop began
 * @next_cleanup: when idle connections, old tombstones and withdrawn servers
 *                are removed again
 * @next_history_check: when the record of former services is checked again
 * @store_era: era of the newest item that was applied, when @has_era is set
 * @resumed_at: monotonic time at which the last suspension of the VM was
 *              noticed, 0 for none
 * @suspended_time: CLOCK_BOOTTIME minus CLOCK_MONOTONIC, which grows while the
 *                  VM is paused; 0 before the first check
 */
typedef struct mv_tags_control {
    mv_tags_daemon_t daemon;
    apr_pool_t *pool;
    mv_loop_t *loop;
    mv_store_t *store;
    mv_replica_t *replica;
    mv_follower_t *follower;
    mv_fanout_t *fanout;
    mv_registration_t *registration;
    mv_record_writer_t *history_writer;
    mv_keyring_t *keyring;
    mv_links_t *links;
    mv_directory_t *directory;
    mv_http1_server_t *health;
    mv_http1_server_t *metrics;
    mv_http1_server_t *replica_server;
    mv_bootstrap_t *bootstrap;
    mv_time_t stop_limit;
    struct timespec settings_mtime;
    mv_time_t next_settings_check;
    GRand *random;
    bool table_outdated;
    mv_time_t changed_at;
    mv_time_t dump_at;
    unsigned relists;
    bool was_reachable;
    bool is_stopping;
    bool was_ready;
    mv_time_t started_at;
    mv_time_t unreachable_since;
    mv_time_t stop_began;
    mv_time_t next_cleanup;
    mv_time_t next_history_check;
    uint64_t store_era;
    bool has_era;
    mv_time_t resumed_at;
    mv_time_t suspended_time;
} mv_tags_control_t;

/**
 * MvTagsCluster_ApplyItem() - Apply a changed item of the store.
 * @control: the &struct mv_tags_control
 *
 * Has the type mv_replica_changed_t.
 */
void MvTagsCluster_ApplyItem(void *control, const mv_store_item_t *item);

/**
 * MvTagsCluster_WriteRouteHistory() - Write the record of services that routes
 * named before when the store lacks it.
 *
 * To be called once the replica has a full list.
 *
 * Return: the latest time at which to call this function again.
 */
mv_time_t MvTagsCluster_WriteRouteHistory(mv_tags_control_t *control,
                                          mv_time_t now);

/**
 * MvTagsCluster_PublishTable() - Hand a new forwarding table to the traffic
 * thread when a change made one necessary.
 */
void MvTagsCluster_PublishTable(mv_tags_control_t *control);

/**
 * MvTagsCluster_SendReports() - Send this node's server reports to the nodes
 * of the same data centre.
 */
void MvTagsCluster_SendReports(mv_tags_control_t *control);

/** MvTagsCluster_FanoutOps() - Callbacks of the fanout; static. */
const mv_fanout_ops_t *MvTagsCluster_FanoutOps(void);

/** MvTagsCluster_RegistrationOps() - Callbacks of the registration; static. */
const mv_registration_ops_t *MvTagsCluster_RegistrationOps(void);

/** MvTagsStatus_IsReady() - Check whether the fabric may send packets here. */
bool MvTagsStatus_IsReady(const mv_tags_control_t *control);

/**
 * MvTagsStatus_Serve() - Open the HTTP ports for health, metrics and replicas.
 *
 * Return: false with @error set.
 */
bool MvTagsStatus_Serve(mv_tags_control_t *control, GError **error);

/** MvTagsStatus_CloseIdle() - Close idle HTTP connections. */
void MvTagsStatus_CloseIdle(const mv_tags_control_t *control, mv_time_t now);

/**
 * MvTagsStatus_Dump() - Return the state of both threads as JSON.
 *
 * The traffic thread's part is the one that it wrote last; a new one is
 * requested.
 *
 * Return: the text, to be freed with g_free().
 */
char *MvTagsStatus_Dump(mv_tags_control_t *control);

#endif
