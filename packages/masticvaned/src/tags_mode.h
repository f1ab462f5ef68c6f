/**
 * DOC: The daemon in the forwarding mode "tags".
 *
 * tags_control.c  control thread, see tags_control.h
 * tags_packets.c  traffic thread: packets and the forwarder
 * tags_reports.c  reports passed between the two threads
 */
#ifndef MASTICVANED_TAGS_MODE_H
#define MASTICVANED_TAGS_MODE_H

#include <pthread.h>

#include "masticvane/net.h"
#include "masticvane/replica.h"
#include "masticvane/tags.h"
#include "settings.h"
#include "tags_reports.h"

/**
 * struct mv_tags_daemon - State shared by both threads.
 * @settings: as read at the start; read-only
 * @log: thread-safe
 * @counters: thread-safe
 * @fabric: packet format of the platform's network fabric
 * @next_table: newest table for the traffic thread, taken by atomic exchange
 * @replaced_table: table that the traffic thread has replaced, for the control
 *                  thread to free, taken by atomic exchange
 * @control_loop: loop of the control thread
 * @reports_out: this node's reports, for the other nodes of the data centre
 * @reports_in: reports of those nodes
 * @flow_sample: log the decisions about one flow in this many, 0 to log only
 *               rare decisions; a reload of the settings changes it here, but
 *               not in @settings
 * @last_contact_at: monotonic time of the last contact with the store or with
 *                   an up-to-date node, 0 for never
 * @complete_at: time before which the store made no change that the newest
 *               table lacks, on the clock that counts suspension; 0 when it is
 *               not known
 * @last_packet_at: monotonic time of the last packet from a caller
 * @dump_requested: set by the control thread to get a new @dump from the
 *                  traffic thread, which clears it
 * @dump_lock: protects @dump
 * @dump: latest JSON state of the traffic thread, or NULL
 * @finished: set by the control thread; the traffic thread then ends
 */
typedef struct mv_tags_daemon {
    const mv_settings_t *settings;
    mv_log_t *log;
    mv_counters_t counters;
    const mv_fabric_ops_t *fabric;
    mv_table_t *next_table;
    mv_table_t *replaced_table;
    mv_loop_t *control_loop;
    mv_report_t *reports_out;
    mv_report_t *reports_in;
    unsigned flow_sample;
    mv_time_t last_contact_at;
    mv_time_t complete_at;
    mv_time_t last_packet_at;
    bool dump_requested;
    pthread_mutex_t dump_lock;
    char *dump;
    bool finished;
} mv_tags_daemon_t;

/**
 * MvTagsControl_Run() - Start the daemon and run its control thread.
 *
 * Returns when a planned stop has ended.
 *
 * Return: the exit status of the process; 1 when the daemon cannot start, with
 * @error set.
 */
int MvTagsControl_Run(const mv_settings_t *settings, mv_log_t *log,
                      GError **error);

/** typedef mv_tags_packets_t - The traffic thread. */
typedef struct mv_tags_packets mv_tags_packets_t;

/**
 * MvTagsPackets_Start() - Bind the packet port and start the traffic thread.
 *
 * Return: the thread, to be freed with MvTagsPackets_Join(); NULL with @error
 * set.
 */
mv_tags_packets_t *MvTagsPackets_Start(mv_tags_daemon_t *daemon,
                                       GError **error);

/** MvTagsPackets_Join() - Wait for the thread to end and free; accepts NULL.
 */
void MvTagsPackets_Join(mv_tags_packets_t *packets);

#endif
