/* Control thread of the forwarding mode "tags". */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "arrivals.h"
#include "platform.h"
#include "tags_control.h"

#define MAX_DESCRIPTORS 256
#define MAX_LOOP_WAIT (250 * MV_MILLISECOND)
#define CLEANUP_INTERVAL (5 * MV_SECOND)
/* A store that has not responded within this time of the node's start counts
 * as unreachable. */
#define FIRST_CONTACT_TIMEOUT (1500 * MV_MILLISECOND)
/* The settings file is checked for changes, also without SIGHUP. */
#define SETTINGS_CHECK_INTERVAL (2 * MV_SECOND)
/* The fabric sees that the node is not ready within two health checks, to
 * which 200 ms are added.  The checks are 500 ms apart; this interval belongs
 * to the platform and has no setting here. */
#define HEALTH_CHECK_TIME (1200 * MV_MILLISECOND)
/* When no packet arrives for this time, the fabric routes around the node. */
#define NO_TRAFFIC_TIME (300 * MV_MILLISECOND)
/* Part of the stop limit that is reserved for ending the process. */
#define STOP_MARGIN (1200 * MV_MILLISECOND)
/* CLOCK_BOOTTIME and CLOCK_MONOTONIC differ by more than this only after the
 * VM was paused. */
#define MIN_PAUSE (300 * MV_MILLISECOND)
/* Time that the traffic thread has to write its state for a dump. */
#define DUMP_WAIT (200 * MV_MILLISECOND)

static volatile sig_atomic_t stop_signals;
static volatile sig_atomic_t dump_signals;
static volatile sig_atomic_t reload_signals;

static void
on_signal(int signal)
{
    switch (signal) {
    case SIGUSR1:
        dump_signals++;
        break;
    case SIGHUP:
        reload_signals++;
        break;
    default:
        stop_signals++;
    }
}

static void
log_store_reachability(mv_tags_control_t *control, mv_time_t now)
{
    bool reachable = MvFollower_IsReachable(control->follower);
    bool never_responded = !reachable && control->unreachable_since == 0 &&
                           !control->was_reachable &&
                           now - control->started_at > FIRST_CONTACT_TIMEOUT;
    if ((reachable == control->was_reachable && !never_responded) ||
        !MvFanout_IsWatching(control->fanout)) {
        return;
    }
    control->was_reachable = reachable;
    if (!reachable) {
        control->unreachable_since =
            never_responded ? control->started_at : now;
        MvLog_Write(control->daemon.log, MV_EVENT_STORE_UNREACHABLE,
                    "revision=%" PRIu64, MvReplica_Revision(control->replica));
        return;
    }
    MvLog_Write(control->daemon.log, MV_EVENT_STORE_REACHABLE,
                "revision=%" PRIu64 " gone_ms=%" PRId64,
                MvReplica_Revision(control->replica),
                control->unreachable_since
                    ? (now - control->unreachable_since) / MV_MILLISECOND
                    : 0);
    control->unreachable_since = 0;
}

/* Settings */

/* Return: true when the file has changed since the last call. */
static bool
update_settings_mtime(mv_tags_control_t *control)
{
    struct stat status;
    if (stat(control->daemon.settings->path, &status) != 0) {
        return false;
    }
    bool changed = status.st_mtim.tv_sec != control->settings_mtime.tv_sec ||
                   status.st_mtim.tv_nsec != control->settings_mtime.tv_nsec;
    control->settings_mtime = status.st_mtim;
    return changed;
}

/* Applies the limits and the log settings; addresses and names need a
 * restart. */
static void
reload(mv_tags_control_t *control)
{
    mv_tags_daemon_t *daemon = &control->daemon;
    mv_findings_t *findings = MvFindings_Create();
    mv_settings_t *settings =
        MvSettings_Load(daemon->settings->path, findings);
    if (!settings) {
        MvLog_Write(daemon->log, MV_EVENT_SETTINGS_REFUSED,
                    "findings=%zu first=\"%s\"", MvFindings_Count(findings),
                    MvFindings_Get(findings, 0));
    }
    else {
        control->stop_limit = settings->stop_limit;
        MvLog_SetBudget(daemon->log, settings->line_budget,
                        settings->byte_budget);
        __atomic_store_n(&daemon->flow_sample, settings->flow_sample,
                         __ATOMIC_RELAXED);
        MvLog_Write(daemon->log, MV_EVENT_SETTINGS_RELOADED,
                    "stop_ms=%" PRId64
                    " lines_per_second=%u bytes_per_second=%u flow_sample=%u",
                    settings->stop_limit / MV_MILLISECOND,
                    settings->line_budget, settings->byte_budget,
                    settings->flow_sample);
    }
    MvSettings_Destroy(settings);
    MvFindings_Destroy(findings);
}

static void
check_settings(mv_tags_control_t *control, mv_time_t now)
{
    bool requested = reload_signals > 0;
    if (!requested && now < control->next_settings_check) {
        return;
    }
    reload_signals = 0;
    control->next_settings_check = now + SETTINGS_CHECK_INTERVAL;
    if (update_settings_mtime(control) || requested) {
        reload(control);
    }
}

/* Signals */

static void
write_dump(mv_tags_control_t *control)
{
    mv_tags_daemon_t *daemon = &control->daemon;
    char *state = MvTagsStatus_Dump(control);
    const char *path = daemon->settings->dump_file;
    if (*path) {
        g_file_set_contents(path, state, -1, NULL);
    }
    else {
        (void)fputs(state, stderr);
    }
    MvLog_Write(daemon->log, MV_EVENT_STATE_DUMPED, "file=\"%s\"", path);
    g_free(state);
}

static void
handle_signals(mv_tags_control_t *control, mv_time_t now)
{
    if (dump_signals > 0) {
        dump_signals = 0;
        __atomic_store_n(&control->daemon.dump_requested, true,
                         __ATOMIC_RELEASE);
        control->dump_at = now + DUMP_WAIT;
    }
    if (control->dump_at > 0 && now >= control->dump_at) {
        control->dump_at = 0;
        write_dump(control);
    }
    if (stop_signals > 0 && !control->is_stopping) {
        control->is_stopping = true;
        control->stop_began = now;
        MvLog_Write(control->daemon.log, MV_EVENT_NODE_STOPPING, "node=%s",
                    control->daemon.settings->name);
    }
}

static bool
should_end(const mv_tags_control_t *control, mv_time_t now)
{
    if (!control->is_stopping) {
        return false;
    }
    mv_time_t elapsed = now - control->stop_began;
    mv_time_t last_packet_at =
        __atomic_load_n(&control->daemon.last_packet_at, __ATOMIC_RELAXED);
    return elapsed >= control->stop_limit - STOP_MARGIN ||
           (elapsed >= HEALTH_CHECK_TIME &&
            now - last_packet_at >= NO_TRAFFIC_TIME);
}

/* Detects that the VM was paused; all cached information is then stale. */
static void
detect_pause(mv_tags_control_t *control, mv_time_t now)
{
    mv_time_t suspended_time = MvClock_Boot() - now;
    mv_time_t paused = suspended_time - control->suspended_time;
    if (control->suspended_time != 0 && paused > MIN_PAUSE) {
        MvLog_Write(control->daemon.log, MV_EVENT_NODE_RESUMED,
                    "paused_ms=%" PRId64, paused / MV_MILLISECOND);
        MvFanout_HandleResume(control->fanout);
        control->resumed_at = now;
    }
    control->suspended_time = suspended_time;
}

/* Publishes up to when the table that was published last is complete.  To be
 * called after MvTagsCluster_PublishTable(), so that no table is credited with
 * what only a later one shows. */
static void
publish_knowledge(mv_tags_control_t *control)
{
    mv_time_t proven_at = MvFanout_ProvenAt(control->fanout);
    bool is_known = proven_at > 0 && proven_at > control->resumed_at;
    /* The traffic thread's clock counts suspension.  The clocks are read in
     * this order, so that a pause between the two makes the time no later. */
    mv_time_t boot = MvClock_Boot();
    mv_time_t suspended_time = boot - g_get_monotonic_time();
    __atomic_store_n(&control->daemon.complete_at,
                     is_known ? proven_at + suspended_time : 0,
                     __ATOMIC_RELEASE);
}

/* Publishes the time of the last contact, and reports outages of the store to
 * the directory: servers whose announcements vanished cannot announce
 * themselves again until it returns.  Called in every iteration of the loop.
 */
static void
track_store_contact(mv_tags_control_t *control, mv_time_t now)
{
    mv_time_t age = MvFanout_Staleness(control->fanout, now);
    __atomic_store_n(&control->daemon.last_contact_at, now - age,
                     __ATOMIC_RELAXED);
    mv_time_t outage = MvFanout_TakeOutage(control->fanout, now);
    if (outage > 0 && MvDirectory_NoteStoreOutage(control->directory,
                                                  MvClock_Boot(), outage)) {
        control->table_outdated = true;
    }
}

static void
log_relists(mv_tags_control_t *control)
{
    unsigned relists = MvFollower_Relists(control->follower);
    if (relists == control->relists) {
        return;
    }
    control->relists = relists;
    MvLog_Write(
        control->daemon.log, MV_EVENT_STORE_RELISTED,
        "revision=%" PRIu64 " unusable=%" PRIu64,
        MvReplica_Revision(control->replica),
        MvCounters_Get(&control->daemon.counters, MV_COUNTER_STORE_UNUSABLE));
}

static mv_time_t
run_timers(mv_tags_control_t *control, mv_time_t now)
{
    mv_time_t next = MV_NEVER;
    /* The registration goes first: a node that was registered before its
     * restart receives the changes from another one and need not watch.  A
     * node without a port for peers does not register. */
    if (MvFollower_IsComplete(control->follower) &&
        control->daemon.settings->self.control_port > 0) {
        next = MvRegistration_Timer(control->registration, now);
    }
    if (MvFollower_IsComplete(control->follower)) {
        next = MIN(next, MvTagsCluster_WriteRouteHistory(control, now));
    }
    next = MIN(next, MvFanout_Timer(control->fanout, now));
    next = MIN(next, MvFollower_Timer(control->follower, now));
    return MIN(next,
               MvBootstrap_Timer(control->bootstrap, now,
                                 !MvFollower_IsComplete(control->follower)));
}

static void
loop(mv_tags_control_t *control)
{
    mv_time_t now = g_get_monotonic_time();
    control->started_at = now;
    while (!should_end(control, now)) {
        mv_time_t next = run_timers(control, now);
        MvLoop_Run(control->loop, CLAMP(next - now, 0, MAX_LOOP_WAIT));
        now = g_get_monotonic_time();
        detect_pause(control, now);
        track_store_contact(control, now);
        MvStore_Poll(control->store, 0);
        MvTagsCluster_PublishTable(control);
        publish_knowledge(control);
        MvTagsCluster_SendReports(control);
        log_store_reachability(control, now);
        log_relists(control);
        MvLog_Tick(control->daemon.log);
        handle_signals(control, now);
        check_settings(control, now);
        if (MvTagsStatus_IsReady(control) != control->was_ready) {
            control->was_ready = !control->was_ready;
            MvLog_Write(control->daemon.log, MV_EVENT_READINESS_CHANGED,
                        "ready=%d", control->was_ready);
        }
        if (now >= control->next_cleanup) {
            control->next_cleanup = now + CLEANUP_INTERVAL;
            MvTagsStatus_CloseIdle(control, now);
            MvReplica_PurgeTombstones(control->replica, now);
            /* A new table leaves out servers that were withdrawn long ago. */
            control->table_outdated = true;
        }
    }
}

/* Return: tier of this VM, which ranks with the largest where its size is not
 * known. */
static unsigned
tier_of_vm(const mv_tags_control_t *control)
{
    const mv_settings_t *settings = control->daemon.settings;
    double cores = 0;
    double megabits = 0;
    bool is_known =
        settings->vm_limits &&
        MvPlatform_DecodeLimits(settings->vm_limits, &cores, &megabits);
    cores = settings->processor > 0 ? settings->processor : cores;
    megabits =
        settings->link_megabits > 0 ? settings->link_megabits : megabits;
    unsigned tier = MvNode_TierOf(cores, megabits);
    MvLog_Write(control->daemon.log, MV_EVENT_VM_SIZE,
                "cores=%g link_megabits=%g tier=%u platform_tells=%d", cores,
                megabits, tier, is_known);
    return tier;
}

static bool
create_components(mv_tags_control_t *control, GError **error)
{
    const mv_settings_t *settings = control->daemon.settings;
    mv_directory_settings_t directory = {.retention = settings->flow_retention,
                                         .vanished_grace = MV_REANNOUNCE_TIME};
    mv_follower_settings_t follower = MvFollowerSettings_Default();
    g_strlcpy(directory.data_centre, settings->data_centre, MV_NAME_MAX);
    control->directory = MvDirectory_Create(&directory);
    control->replica = MvReplica_Create(MvTagsCluster_ApplyItem, control);
    control->store =
        MvPlatform_CreateStore(control->loop, settings->store_addresses,
                               &control->daemon.counters, error);
    if (!control->store) {
        return false;
    }
    control->follower = MvFollower_Create(&follower, control->store,
                                          control->replica, control->random);
    mv_fanout_settings_t fanout =
        MvFanoutSettings_Default(settings->data_centre);
    fanout.change_limit = settings->change_limit;
    control->fanout =
        MvFanout_Create(&fanout, control->replica, control->follower,
                        MvTagsCluster_FanoutOps(), control);
    control->bootstrap = MvBootstrap_Create(
        control->loop, settings->bootstrap_peers, settings->self.address,
        control->replica, control->daemon.log);
    mv_node_record_t self = {.port = settings->self.control_port};
    g_strlcpy(self.data_centre, settings->data_centre, MV_NAME_MAX);
    g_strlcpy(self.address, settings->self.address, sizeof(self.address));
    control->registration = MvRegistration_Create(
        &self, tier_of_vm(control), control->store, control->replica,
        control->random, MvTagsCluster_RegistrationOps(), control);
    control->history_writer =
        MvRecordWriter_Create(MV_ROUTE_HISTORY_KEY, control->store,
                              control->replica, control->random);
    return MvTagsStatus_Serve(control, error);
}

static void
free_reports(mv_report_t **stack)
{
    mv_report_t *report = MvReports_TakeAll(stack);
    while (report) {
        report = MvReports_Free(report);
    }
}

static void
close_all(mv_tags_control_t *control)
{
    MvHttp1_DestroyServer(control->health);
    MvHttp1_DestroyServer(control->metrics);
    MvHttp1_DestroyServer(control->replica_server);
    MvBootstrap_Destroy(control->bootstrap);
    MvLinks_Destroy(control->links);
    MvKeyring_Destroy(control->keyring);
    MvRegistration_Destroy(control->registration);
    MvRecordWriter_Destroy(control->history_writer);
    MvFanout_Destroy(control->fanout);
    MvFollower_Destroy(control->follower);
    MvStore_Destroy(control->store);
    MvReplica_Destroy(control->replica);
    MvDirectory_Destroy(control->directory);
    MvTable_Destroy(control->daemon.next_table);
    MvTable_Destroy(control->daemon.replaced_table);
    free_reports(&control->daemon.reports_in);
    free_reports(&control->daemon.reports_out);
    g_rand_free(control->random);
    free(control->daemon.dump);
    apr_pool_destroy(control->pool);
}

int
MvTagsControl_Run(const mv_settings_t *settings, mv_log_t *log, GError **error)
{
    mv_tags_control_t control = {
        .daemon = {.settings = settings,
                   .flow_sample = settings->flow_sample,
                   .log = log,
                   .fabric = MvPlatform_Fabric()},
        .stop_limit = settings->stop_limit,
        .random = g_rand_new()};
    mv_tags_packets_t *packets = NULL;
    pthread_mutex_init(&control.daemon.dump_lock, NULL);
    apr_pool_create(&control.pool, NULL);
    control.loop = MvLoop_Create(control.pool, MAX_DESCRIPTORS);
    control.daemon.control_loop = control.loop;
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGUSR1, on_signal);
    signal(SIGHUP, on_signal);
    signal(SIGPIPE, SIG_IGN);
    update_settings_mtime(&control);
    bool started = create_components(&control, error);
    if (started) {
        packets = MvTagsPackets_Start(&control.daemon, error);
        started = packets != NULL;
    }
    if (started) {
        MvLog_Write(log, MV_EVENT_NODE_STARTED, "node=%s data_centre=%s",
                    settings->name, settings->data_centre);
        loop(&control);
    }
    __atomic_store_n(&control.daemon.finished, true, __ATOMIC_RELEASE);
    MvTagsPackets_Join(packets);
    MvLog_Write(log, started ? MV_EVENT_NODE_STOPPED : MV_EVENT_NODE_FAILED,
                "node=%s", settings->name);
    /* Only loop() writes dumps: ignore a SIGUSR1 that arrived after it. */
    dump_signals = 0;
    close_all(&control);
    return started ? 0 : 1;
}
