/**
 * DOC: State of the control thread in the mode "tags", shared by its files.
 *
 * tags_control.c    the loop, signals, settings, start and stop
 * tags_cluster.c  keys of the store, words between nodes, registration
 * tags_status.c    health address, metrics, copy for others, state dump
 */
#ifndef MASTICVANED_TAGS_CONTROL_H
#define MASTICVANED_TAGS_CONTROL_H

#include "bootstrap.h"
#include "tags_mode.h"

/**
 * struct mv_tags_control - The control thread.
 * @daemon: shared with the traffic thread
 * @is_changed: the traffic thread needs a new table
 * @learned_at: first word of the oldest change that is in no table yet, or 0
 * @dump_at: when the state asked for by a signal is written, 0 for never
 * @began_at: when the loop began
 * @lost_at: when the store became unreachable, 0 while it is not
 * @stop_began: when the planned stop began
 * @stop_limit: longest planned stop
 * @read_at: modification time of the settings that are in force
 * @asleep: boot-time clock minus steady clock
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
    mv_keyring_t *keyring;
    mv_links_t *links;
    mv_directory_t *directory;
    mv_http1_server_t *health;
    mv_http1_server_t *metrics;
    mv_http1_server_t *copy;
    mv_bootstrap_t *seeds;
    mv_time_t stop_limit;
    struct timespec read_at;
    mv_time_t next_look;
    GRand *random;
    bool is_changed;
    mv_time_t learned_at;
    mv_time_t dump_at;
    bool was_reachable;
    bool is_stopping;
    bool was_ready;
    mv_time_t began_at;
    mv_time_t lost_at;
    mv_time_t stop_began;
    mv_time_t next_sweep;
    mv_time_t unheard_at;
    mv_time_t asleep;
} mv_tags_control_t;

/** MvTagsCluster_ApplyItem() - A key of the store changed;
 * mv_replica_changed_t.
 */
void MvTagsCluster_ApplyItem(void *control, const mv_store_item_t *item);

/** MvTagsCluster_PublishTable() - Hand a new table over when one is needed. */
void MvTagsCluster_PublishTable(mv_tags_control_t *control, mv_time_t now);

/** MvTagsCluster_SendReports() - Tell the nodes near what servers do. */
void MvTagsCluster_SendReports(mv_tags_control_t *control, mv_time_t now);

/** MvTagsCluster_FanoutOps() - Actions of the feed; static. */
const mv_fanout_ops_t *MvTagsCluster_FanoutOps(void);

/** MvTagsCluster_RegistrationOps() - Actions of registration; static. */
const mv_registration_ops_t *MvTagsCluster_RegistrationOps(void);

/** MvTagsStatus_IsReady() - The fabric may send packets here. */
bool MvTagsStatus_IsReady(const mv_tags_control_t *control);

/** MvTagsStatus_Serve() - Open the addresses; false with @error set. */
bool MvTagsStatus_Serve(mv_tags_control_t *control, GError **error);

/** MvTagsStatus_CloseIdle() - Close connections that are idle. */
void MvTagsStatus_CloseIdle(const mv_tags_control_t *control, mv_time_t now);

/**
 * MvTagsStatus_Dump() - State of both threads as JSON, the other one's as it
 * last wrote it; freed with g_free().
 */
char *MvTagsStatus_Dump(mv_tags_control_t *control);

#endif
