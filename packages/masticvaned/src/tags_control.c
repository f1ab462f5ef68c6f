/* The control thread in the mode "tags": store, directory, health address. */
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "platform.h"
#include "seeds.h"
#include "tags_mode.h"

#define MAX_DESCRIPTORS 256
#define LONGEST_WAIT (250 * MV_MILLISECOND)
#define SWEEP_INTERVAL (5 * MV_SECOND)
/* Settings may change without a signal. */
#define LOOK_INTERVAL (2 * MV_SECOND)
/* The fabric notices within two of its questions, half a second apart. */
#define LEAVE_NOTICE (1200 * MV_MILLISECOND)
/* No packet for so long: the fabric has turned away. */
#define QUIET (300 * MV_MILLISECOND)
/* Left of the stop limit for ending the process itself. */
#define STOP_MARGIN (1200 * MV_MILLISECOND)
/* Steady and boot-time clock drift apart by so much only in a pause. */
#define PAUSE_NOTICED (300 * MV_MILLISECOND)
/* The traffic thread has written its state by then. */
#define DUMP_WAIT (200 * MV_MILLISECOND)
/* Announcements that vanished while the store was away are back by then. */
#define RETURN_LIMIT (2200 * MV_MILLISECOND)

typedef struct control {
    mv_tags_daemon_t daemon;
    apr_pool_t *pool;
    mv_loop_t *loop;
    mv_store_t *store;
    mv_replica_t *replica;
    mv_follower_t *follower;
    mv_feed_t *feed;
    mv_registration_t *registration;
    mv_keyring_t *keyring;
    mv_links_t *links;
    mv_directory_t *directory;
    mv_http1_server_t *health;
    mv_http1_server_t *metrics;
    mv_http1_server_t *copy;
    mv_seeds_t *seeds;
    mv_time_t stop_limit;
    struct timespec read_at;
    mv_time_t next_look;
    GRand *random;
    bool is_changed;
    mv_time_t dump_at;
    bool was_reachable;
    bool is_stopping;
    bool was_ready;
    mv_time_t lost_at;
    mv_time_t stop_began;
    mv_time_t next_sweep;
    mv_time_t asleep;
} control_t;

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

/* State of both threads as JSON, that of the other thread as it last wrote
 * it; freed with g_free(). */
static char *
state_text(control_t *control)
{
    mv_tags_daemon_t *daemon = &control->daemon;
    json_t *counters = MvCounters_ToJson(&daemon->counters);
    char *text = json_dumps(counters, JSON_INDENT(2));
    __atomic_store_n(&daemon->wants_dump, true, __ATOMIC_RELEASE);
    pthread_mutex_lock(&daemon->dump_lock);
    char *state = g_strdup_printf(
        "{\"node\": \"%s\", \"revision\": %" PRIu64
        ", \"watches\": %s, \"near_nodes\": %u,\n\"counters\": %s,\n"
        "\"forwarder\": %s}\n",
        daemon->settings->name, MvReplica_Revision(control->replica),
        MvFeed_Watches(control->feed) ? "true" : "false",
        MvFeed_NearNodes(control->feed), text,
        daemon->dump ? daemon->dump : "null");
    pthread_mutex_unlock(&daemon->dump_lock);
    free(text);
    json_decref(counters);
    return state;
}

/* What the store tells */

static void
log_server(control_t *control, int event, const mv_store_item_t *item)
{
    if (event) {
        MvLog_Write(control->daemon.log, (mv_log_event_t)event,
                    "server=%s revision=%" PRIu64, item->key, item->revision);
    }
}

static void
take_routing(control_t *control, mv_routing_t *routing, uint64_t revision)
{
    uint64_t version = routing->version;
    unsigned routes = routing->routes->len;
    uint64_t before = MvDirectory_Version(control->directory);
    bool is_newer = MvDirectory_Route(control->directory, routing);
    MvLog_Write(control->daemon.log,
                is_newer ? MV_EVENT_CONFIG_IN_FORCE : MV_EVENT_CONFIG_OLDER,
                "version=%" PRIu64 " before=%" PRIu64 " revision=%" PRIu64
                " routes=%u",
                version, before, revision, routes);
}

static void
take_item(void *context, const mv_store_item_t *item)
{
    control_t *control = context;
    GError *error = NULL;
    mv_time_t now = g_get_monotonic_time();
    mv_notice_t notice = MvPlatform_Decode(
        item->key, item->deleted ? NULL : item->value, item->length, &error);
    control->is_changed = control->is_changed || notice.kind;
    if (g_str_has_prefix(item->key, MV_NODE_PREFIX)) {
        MvFeed_Learn(control->feed, now, item->key,
                     item->deleted ? NULL : item->value);
    }
    if (error) {
        MvLog_Write(control->daemon.log, MV_EVENT_ITEM_UNREADABLE,
                    "revision=%" PRIu64 " why=\"%s\"", item->revision,
                    error->message);
        g_clear_error(&error);
    }
    if (notice.routing) {
        take_routing(control, notice.routing, item->revision);
    }
    if (notice.kind == MV_NOTICE_SERVER) {
        int event =
            notice.is_readable
                ? MvDirectory_Announce(control->directory, now, item->key,
                                       &notice.server)
                : MvDirectory_Withdraw(control->directory, now, item->key);
        log_server(control, event, item);
    }
}

static void
publish(control_t *control, mv_time_t now)
{
    if (!control->is_changed) {
        return;
    }
    control->is_changed = false;
    MvDirectory_SetNearNodes(control->directory,
                             MvFeed_NearNodes(control->feed));
    mv_table_t *table = MvDirectory_Table(control->directory, now);
    MvTable_Destroy(__atomic_exchange_n(&control->daemon.next_table, table,
                                        __ATOMIC_ACQ_REL));
}

/* Words between nodes */

static void
send_message(void *context, mv_node_id_t to, const mv_message_t *message)
{
    const control_t *control = context;
    if (control->links) {
        MvLinks_Send(control->links, to, message);
    }
}

static void
meet(void *context, const mv_neighbour_t *neighbour)
{
    const control_t *control = context;
    if (control->links) {
        MvLinks_AddPeer(control->links, neighbour->id, neighbour->address,
                        neighbour->port);
    }
}

static void
log_role(void *context, bool watches, unsigned rank)
{
    const control_t *control = context;
    MvLog_Write(control->daemon.log, MV_EVENT_WATCH_ROLE,
                "watches=%d rank=%u near_nodes=%u revision=%" PRIu64, watches,
                rank, MvFeed_NearNodes(control->feed),
                MvReplica_Revision(control->replica));
}

static const mv_feed_ops_t feed_ops = {
    .send = send_message,
    .meet = meet,
    .role = log_role,
};

static void
take_message(void *context, const mv_message_t *message)
{
    const control_t *control = context;
    MvFeed_Message(control->feed, g_get_monotonic_time(), message);
}

static void
take_command(void *context, const char *command, size_t length,
             mv_reply_t *reply)
{
    control_t *control = context;
    (void)length;
    const char unknown[] = "{\"error\":\"unknown command\"}";
    if (strcmp(command, "dump") != 0) {
        MvReply_Send(reply, unknown, sizeof(unknown) - 1);
        return;
    }
    char *text = state_text(control);
    MvReply_Send(reply, text, strlen(text));
    g_free(text);
}

static const mv_links_ops_t links_ops = {
    .message = take_message,
    .command = take_command,
};

static char *
random_keys(void *context)
{
    unsigned char key[MV_KEY_BYTES];
    char hex[2 * MV_KEY_BYTES + 1];
    (void)context;
    randombytes_buf(key, sizeof(key));
    sodium_bin2hex(hex, sizeof(hex), key, sizeof(key));
    sodium_memzero(key, sizeof(key));
    return g_strdup_printf("1 %s\n", hex);
}

static bool
open_links(control_t *control, mv_node_id_t id, GError **error)
{
    const mv_settings_t *settings = control->daemon.settings;
    mv_findings_t *findings = MvFindings_Create();
    const char *text = MvReplica_Value(control->replica, MV_NODE_KEYS, NULL);
    control->keyring = MvKeyring_Parse(MV_NODE_KEYS, text,
                                       settings->store_addresses, findings);
    if (!control->keyring) {
        g_set_error(error, MV_ERROR, MV_ERROR_INPUT, "%s",
                    MvFindings_Get(findings, 0));
    }
    MvFindings_Destroy(findings);
    if (!control->keyring) {
        return false;
    }
    const mv_links_settings_t links = {
        .address = settings->self.address,
        .port = settings->self.control_port,
        .keyring = control->keyring,
        .id = id,
        .first_sequence = (uint64_t)g_get_real_time(),
        .counters = &control->daemon.counters,
        .log = control->daemon.log,
    };
    control->links =
        MvLinks_Create(control->loop, &links, &links_ops, control, error);
    return control->links != NULL;
}

/* Without links this node goes on watching for itself. */
static void
registered(void *context, mv_node_id_t id)
{
    control_t *control = context;
    GError *error = NULL;
    if (control->links) {
        return;
    }
    if (!open_links(control, id, &error)) {
        MvLog_Write(control->daemon.log, MV_EVENT_LINKS_FAILED, "why=\"%s\"",
                    error->message);
        g_clear_error(&error);
        return;
    }
    MvFeed_SetSelf(control->feed, g_get_monotonic_time(), id);
    MvLog_Write(control->daemon.log, MV_EVENT_NODE_REGISTERED, "id=%u", id);
}

static const mv_registration_ops_t registration_ops = {
    .random_keys = random_keys,
    .registered = registered,
};

static void
note_reachable(control_t *control, mv_time_t now)
{
    bool reachable = MvFollower_IsReachable(control->follower);
    if (reachable == control->was_reachable ||
        !MvFeed_Watches(control->feed)) {
        return;
    }
    control->was_reachable = reachable;
    if (!reachable) {
        control->lost_at = now;
        MvLog_Write(control->daemon.log, MV_EVENT_STORE_UNREACHABLE,
                    "revision=%" PRIu64, MvReplica_Revision(control->replica));
        return;
    }
    MvLog_Write(control->daemon.log, MV_EVENT_STORE_REACHABLE,
                "revision=%" PRIu64 " gone_ms=%" PRId64,
                MvReplica_Revision(control->replica),
                control->lost_at ? (now - control->lost_at) / MV_MILLISECOND
                                 : 0);
}

/* Health address */

static bool
is_ready(const control_t *control)
{
    return !control->is_stopping &&
           MvDirectory_Version(control->directory) > 0 &&
           MvDirectory_UsableServers(control->directory) > 0;
}

static unsigned
answer_health(void *context, const char *target, mv_buffer_t *body)
{
    const control_t *control = context;
    (void)body;
    if (!MvPlatform_IsReadyTarget(target)) {
        return 404;
    }
    return is_ready(control) ? 200 : 503;
}

static unsigned
answer_metrics(void *context, const char *target, mv_buffer_t *body)
{
    control_t *control = context;
    if (strcmp(target, "/metrics") != 0) {
        return 404;
    }
    mv_time_t now = g_get_monotonic_time();
    MvCounters_Expose(&control->daemon.counters, body);
    MvCounters_ExposeGauge(body, "config_version", "configuration in force",
                           (double)MvDirectory_Version(control->directory));
    MvCounters_ExposeGauge(
        body, "servers_usable", "backend servers that take new flows",
        (double)MvDirectory_UsableServers(control->directory));
    MvCounters_ExposeGauge(body, "store_revision",
                           "every change up to it is known",
                           (double)MvReplica_Revision(control->replica));
    MvCounters_ExposeGauge(body, "store_watching",
                           "1 while this node calls the store",
                           MvFeed_Watches(control->feed));
    MvCounters_ExposeGauge(body, "knowledge_age_seconds",
                           "since the store or a fresh neighbour was heard",
                           (double)MvFeed_KnowledgeAge(control->feed, now) /
                               MV_SECOND);
    MvCounters_ExposeGauge(body, "near_nodes", "entry VMs of this data centre",
                           MvFeed_NearNodes(control->feed));
    return 200;
}

/* For nodes that start while the store does not answer them. */
static unsigned
answer_copy(void *context, const char *target, mv_buffer_t *body)
{
    const control_t *control = context;
    if (strcmp(target, MV_COPY_TARGET) != 0) {
        return 404;
    }
    if (MvReplica_Revision(control->replica) == 0 ||
        !MvReplica_EncodePublic(control->replica, body)) {
        return 503;
    }
    return 200;
}

/* Settings */

static bool
is_file_changed(control_t *control)
{
    struct stat status;
    if (stat(control->daemon.settings->path, &status) != 0) {
        return false;
    }
    bool changed = status.st_mtim.tv_sec != control->read_at.tv_sec ||
                   status.st_mtim.tv_nsec != control->read_at.tv_nsec;
    control->read_at = status.st_mtim;
    return changed;
}

/* Addresses and names hold for the life of the process. */
static void
reload(control_t *control)
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
        MvLog_SetBudget(daemon->log, settings->line_budget);
        MvLog_Write(daemon->log, MV_EVENT_SETTINGS_RELOADED,
                    "stop_ms=%" PRId64 " lines_per_second=%u",
                    settings->stop_limit / MV_MILLISECOND,
                    settings->line_budget);
    }
    MvSettings_Destroy(settings);
    MvFindings_Destroy(findings);
}

static void
watch_settings(control_t *control, mv_time_t now)
{
    bool asked = reload_signals > 0;
    if (!asked && now < control->next_look) {
        return;
    }
    reload_signals = 0;
    control->next_look = now + LOOK_INTERVAL;
    if (is_file_changed(control) || asked) {
        reload(control);
    }
}

/* Signals */

static void
dump_to_file(control_t *control)
{
    mv_tags_daemon_t *daemon = &control->daemon;
    char *state = state_text(control);
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
take_signals(control_t *control, mv_time_t now)
{
    if (dump_signals > 0) {
        dump_signals = 0;
        __atomic_store_n(&control->daemon.wants_dump, true, __ATOMIC_RELEASE);
        control->dump_at = now + DUMP_WAIT;
    }
    if (control->dump_at > 0 && now >= control->dump_at) {
        control->dump_at = 0;
        dump_to_file(control);
    }
    if (stop_signals > 0 && !control->is_stopping) {
        control->is_stopping = true;
        control->stop_began = now;
        MvLog_Write(control->daemon.log, MV_EVENT_NODE_STOPPING, "node=%s",
                    control->daemon.settings->name);
    }
}

static bool
should_end(const control_t *control, mv_time_t now)
{
    if (!control->is_stopping) {
        return false;
    }
    mv_time_t stopping = now - control->stop_began;
    mv_time_t last =
        __atomic_load_n(&control->daemon.last_packet_at, __ATOMIC_RELAXED);
    return stopping >= control->stop_limit - STOP_MARGIN ||
           (stopping >= LEAVE_NOTICE && now - last >= QUIET);
}

/* A pause of the whole process: what was known is old. */
static void
note_pause(control_t *control, mv_time_t now)
{
    struct timespec boot;
    clock_gettime(CLOCK_BOOTTIME, &boot);
    mv_time_t asleep = boot.tv_sec * MV_SECOND + boot.tv_nsec / 1000 - now;
    mv_time_t slept = asleep - control->asleep;
    if (control->asleep != 0 && slept > PAUSE_NOTICED) {
        MvLog_Write(control->daemon.log, MV_EVENT_NODE_WOKE,
                    "paused_ms=%" PRId64, slept / MV_MILLISECOND);
        MvFeed_Woke(control->feed);
    }
    control->asleep = asleep;
}

static mv_time_t
run_timers(control_t *control, mv_time_t now)
{
    mv_time_t next = MvFeed_Timer(control->feed, now);
    next = MIN(next, MvFollower_Timer(control->follower, now));
    next = MIN(next,
               MvSeeds_Timer(control->seeds, now,
                             !MvFollower_IsComplete(control->follower)));
    if (MvFollower_IsComplete(control->follower) &&
        control->daemon.settings->self.control_port > 0) {
        next = MIN(next, MvRegistration_Timer(control->registration, now));
    }
    return next;
}

static void
sweep_servers(const control_t *control, mv_time_t now)
{
    mv_http1_server_t *servers[] = {control->health, control->metrics,
                                    control->copy};
    for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
        if (servers[i]) {
            MvHttp1_Sweep(servers[i], now);
        }
    }
}

static void
loop(control_t *control)
{
    mv_time_t now = g_get_monotonic_time();
    while (!should_end(control, now)) {
        mv_time_t next = run_timers(control, now);
        MvLoop_Run(control->loop, CLAMP(next - now, 0, LONGEST_WAIT));
        now = g_get_monotonic_time();
        note_pause(control, now);
        MvStore_Poll(control->store, 0);
        publish(control, now);
        note_reachable(control, now);
        take_signals(control, now);
        watch_settings(control, now);
        if (is_ready(control) != control->was_ready) {
            control->was_ready = !control->was_ready;
            MvLog_Write(control->daemon.log, MV_EVENT_NODE_READY, "ready=%d",
                        control->was_ready);
        }
        if (now >= control->next_sweep) {
            control->next_sweep = now + SWEEP_INTERVAL;
            sweep_servers(control, now);
            control->is_changed = true;
        }
    }
}

/* An address that the settings may leave out. */
static bool
serve_extra(control_t *control, uint16_t port, mv_http1_handler_t handler,
            mv_http1_server_t **server, GError **error)
{
    if (port > 0) {
        *server = MvHttp1_Serve(control->loop,
                                control->daemon.settings->self.address, port,
                                handler, control, error);
    }
    return port == 0 || *server;
}

static bool
create_parts(control_t *control, GError **error)
{
    const mv_settings_t *settings = control->daemon.settings;
    mv_directory_settings_t directory = {.keep = settings->flow_limit,
                                         .return_limit = RETURN_LIMIT};
    mv_follower_settings_t follower = MvFollowerSettings_Default();
    g_strlcpy(directory.data_centre, settings->data_centre, MV_NAME_MAX);
    control->directory = MvDirectory_Create(&directory);
    control->replica = MvReplica_Create(take_item, control);
    control->store =
        MvPlatform_CreateStore(control->loop, settings->store_addresses,
                               &control->daemon.counters, error);
    if (!control->store) {
        return false;
    }
    control->follower = MvFollower_Create(&follower, control->store,
                                          control->replica, control->random);
    const mv_feed_settings_t feed =
        MvFeedSettings_Default(settings->data_centre);
    control->feed = MvFeed_Create(&feed, control->replica, control->follower,
                                  &feed_ops, control);
    control->seeds =
        MvSeeds_Create(control->loop, settings->seeds, settings->self.address,
                       control->replica, control->daemon.log);
    mv_neighbour_t self = {.port = settings->self.control_port};
    g_strlcpy(self.data_centre, settings->data_centre, MV_NAME_MAX);
    g_strlcpy(self.address, settings->self.address, sizeof(self.address));
    control->registration =
        MvRegistration_Create(&self, control->store, control->replica,
                              control->random, &registration_ops, control);
    control->health =
        MvHttp1_Serve(control->loop, settings->self.address,
                      settings->health_port, answer_health, control, error);
    return control->health &&
           serve_extra(control, settings->metrics_port, answer_metrics,
                       &control->metrics, error) &&
           serve_extra(control, settings->copy_port, answer_copy,
                       &control->copy, error);
}

static void
close_all(control_t *control)
{
    MvHttp1_StopServing(control->health);
    MvHttp1_StopServing(control->metrics);
    MvHttp1_StopServing(control->copy);
    MvSeeds_Destroy(control->seeds);
    MvLinks_Destroy(control->links);
    MvKeyring_Destroy(control->keyring);
    MvRegistration_Destroy(control->registration);
    MvFeed_Destroy(control->feed);
    MvFollower_Destroy(control->follower);
    MvStore_Destroy(control->store);
    MvReplica_Destroy(control->replica);
    MvDirectory_Destroy(control->directory);
    MvTable_Destroy(control->daemon.next_table);
    g_rand_free(control->random);
    free(control->daemon.dump);
    apr_pool_destroy(control->pool);
}

int
MvTagsControl_Run(const mv_settings_t *settings, mv_log_t *log, GError **error)
{
    control_t control = {.daemon = {.settings = settings,
                                    .log = log,
                                    .fabric = MvPlatform_Fabric()},
                         .stop_limit = settings->stop_limit,
                         .random = g_rand_new()};
    mv_tags_packets_t *packets = NULL;
    pthread_mutex_init(&control.daemon.dump_lock, NULL);
    apr_pool_create(&control.pool, NULL);
    control.loop = MvLoop_Create(control.pool, MAX_DESCRIPTORS);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGUSR1, on_signal);
    signal(SIGHUP, on_signal);
    signal(SIGPIPE, SIG_IGN);
    is_file_changed(&control);
    bool good = create_parts(&control, error);
    if (good) {
        packets = MvTagsPackets_Start(&control.daemon, error);
        good = packets != NULL;
    }
    if (good) {
        MvLog_Write(log, MV_EVENT_NODE_STARTED, "node=%s data_centre=%s",
                    settings->name, settings->data_centre);
        loop(&control);
    }
    __atomic_store_n(&control.daemon.finished, true, __ATOMIC_RELEASE);
    MvTagsPackets_Join(packets);
    MvLog_Write(log, good ? MV_EVENT_NODE_STOPPED : MV_EVENT_NODE_FAILED,
                "node=%s", settings->name);
    dump_signals = 0;
    close_all(&control);
    return good ? 0 : 1;
}
