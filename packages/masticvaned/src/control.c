/* Control thread of the forwarding mode "buckets". */
#include "daemon.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define MAX_LOOP_WAIT (10 * MV_MILLISECOND)
#define MAX_DESCRIPTORS 4096
#define STORE_TIMEOUT (3 * MV_SECOND)
#define MEMBERS_VIEW_INTERVAL (20 * MV_MILLISECOND)

typedef struct control {
    mv_effects_t effects;
    mv_daemon_t *daemon;
    apr_pool_t *pool;
    mv_loop_t *loop;
    mv_links_t *links;
    mv_store_t *store;
    mv_accepted_watch_t *accepted_watch;
    GRand *random;
    bool was_reachable;
    mv_time_t next_members_view;
    mv_time_t next_timer;
    mv_time_t stop_began;
} control_t;

static volatile sig_atomic_t stop_signals;
static volatile sig_atomic_t dump_signals;

static void
on_signal(int signal)
{
    if (signal == SIGUSR1) {
        dump_signals++;
    }
    else {
        stop_signals++;
    }
}

/* Effects of the node core */

static void
effect_send(mv_effects_t *effects, mv_node_id_t to,
            const mv_message_t *message)
{
    control_t *control = MV_CONTAINER_OF(effects, control_t, effects);
    MvLinks_Send(control->links, to, message);
}

static char *
effect_encode(mv_effects_t *effects, const mv_deployment_t *deployment,
              uint64_t since, size_t *length)
{
    char *bytes = MvDeployment_EncodeSince(deployment, since);
    (void)effects;
    *length = bytes ? strlen(bytes) : 0;
    return bytes;
}

static mv_deployment_t *
effect_decode(mv_effects_t *effects, const char *bytes, size_t length,
              const mv_deployment_t *base)
{
    control_t *control = MV_CONTAINER_OF(effects, control_t, effects);
    GError *error = NULL;
    mv_deployment_t *deployment =
        MvDeployment_Decode(bytes, length, base, &error);
    if (!deployment) {
        MvLog_Write(control->daemon->log, MV_EVENT_CONFIG_REFUSED,
                    "why=\"%s\"", error->message);
    }
    g_clear_error(&error);
    return deployment;
}

static void
effect_event(mv_effects_t *effects, mv_log_event_t event, mv_node_id_t node,
             uint64_t detail)
{
    control_t *control = MV_CONTAINER_OF(effects, control_t, effects);
    MvLog_Write(control->daemon->log, event,
                "node=%u detail=%" G_GUINT64_FORMAT, node, detail);
}

static const mv_effects_ops_t effect_ops = {
    .send = effect_send,
    .encode = effect_encode,
    .decode = effect_decode,
    .event = effect_event,
};

/* State dump */

static char *
dump_state(control_t *control)
{
    mv_daemon_t *daemon = control->daemon;
    json_t *state = MvNode_Dump(daemon->node, g_get_monotonic_time());
    json_object_set_new(state, "data_centre",
                        json_string(daemon->settings->data_centre));
    json_object_set_new(
        state, "store_reachable",
        json_boolean(MvAcceptedWatch_IsReachable(control->accepted_watch)));
    pthread_mutex_lock(&daemon->dump_lock);
    if (daemon->proxy_dump) {
        json_object_set_new(state, "requests",
                            json_loads(daemon->proxy_dump, 0, NULL));
    }
    pthread_mutex_unlock(&daemon->dump_lock);
    char *text = json_dumps(state, JSON_INDENT(2));
    json_decref(state);
    return text;
}

static void
write_dump(control_t *control)
{
    char *text = dump_state(control);
    const char *path = control->daemon->settings->dump_file;
    if (*path) {
        g_file_set_contents(path, text, -1, NULL);
    }
    else {
        (void)fprintf(stderr, "%s\n", text);
    }
    MvLog_Write(control->daemon->log, MV_EVENT_STATE_DUMPED, "file=\"%s\"",
                path);
    free(text);
}

/* Messages and commands */

static void
handle_message(void *context, const mv_message_t *message)
{
    control_t *control = context;
    MvNode_Message(control->daemon->node, g_get_monotonic_time(), message);
}

static void
handle_command(void *context, const char *command, size_t length,
               mv_reply_t *reply)
{
    control_t *control = context;
    (void)length;
    if (!strcmp(command, "dump")) {
        char *text = dump_state(control);
        MvReply_Send(reply, text, strlen(text));
        free(text);
        return;
    }
    const char unknown[] = "{\"error\":\"unknown command\"}";
    MvReply_Send(reply, unknown, sizeof(unknown) - 1);
}

static const mv_links_ops_t links_ops = {
    .message = handle_message,
    .command = handle_command,
};

static void
handle_accepted(void *context, mv_deployment_t *deployment)
{
    control_t *control = context;
    MvNode_Config(control->daemon->node, g_get_monotonic_time(), deployment);
}

/* Loop */

static void
publish_members_view(control_t *control, mv_time_t now)
{
    mv_daemon_t *daemon = control->daemon;
    const mv_settings_t *settings = daemon->settings;
    if (now < control->next_members_view) {
        return;
    }
    control->next_members_view = now + MEMBERS_VIEW_INTERVAL;
    mv_members_view_t *view = g_malloc0(
        sizeof(*view) + (settings->peer_count + 1) * sizeof(view->members[0]));
    mv_deployment_t *deployment = MvNode_Deployment(daemon->node);
    view->deployment = deployment ? MvDeployment_Ref(deployment) : NULL;
    view->count = MvNode_RequestMembers(daemon->node, view->members,
                                        settings->peer_count + 1);
    MvMembersView_Free(
        __atomic_exchange_n(&daemon->members_view, view, __ATOMIC_ACQ_REL));
}

static void
poll_store(control_t *control, mv_time_t now)
{
    const mv_node_t *node = control->daemon->node;
    bool watch_store = !MvNode_Deployment(node) || MvNode_IsWatcher(node);
    MvAcceptedWatch_Timer(control->accepted_watch, now, watch_store);
    MvStore_Poll(control->store, 0);
    bool reachable = MvAcceptedWatch_IsReachable(control->accepted_watch);
    if (reachable != control->was_reachable) {
        MvLog_Write(
            control->daemon->log,
            reachable ? MV_EVENT_STORE_REACHABLE : MV_EVENT_STORE_UNREACHABLE,
            "addresses=\"%s\"", control->daemon->settings->store_addresses);
        control->was_reachable = reachable;
    }
}

static bool
should_end(control_t *control, mv_time_t now)
{
    mv_daemon_t *daemon = control->daemon;
    if (!daemon->stopping) {
        return false;
    }
    /* A second signal ends the daemon at once. */
    if (stop_signals > 1 ||
        now - control->stop_began > daemon->settings->stop_limit) {
        return true;
    }
    return MvNode_Stopped(daemon->node) && MvFlag_Get(&daemon->requests_done);
}

static void
handle_signals(control_t *control, mv_time_t now)
{
    if (dump_signals > 0) {
        dump_signals = 0;
        write_dump(control);
    }
    if (stop_signals > 0 && !control->daemon->stopping) {
        MvLog_Write(control->daemon->log, MV_EVENT_NODE_STOPPING, "node=%u",
                    control->daemon->settings->self.id);
        MvFlag_Set(&control->daemon->stopping);
        control->stop_began = now;
        MvNode_Stop(control->daemon->node, now);
    }
}

static void
loop(control_t *control)
{
    for (;;) {
        MvLoop_Run(control->loop, MAX_LOOP_WAIT);
        mv_time_t now = g_get_monotonic_time();
        poll_store(control, now);
        if (now >= control->next_timer) {
            control->next_timer = MvNode_Timer(control->daemon->node, now);
        }
        publish_members_view(control, now);
        handle_signals(control, now);
        MvLog_Tick(control->daemon->log);
        if (should_end(control, now)) {
            return;
        }
    }
}

static bool
open_connections(control_t *control, GError **error)
{
    mv_daemon_t *daemon = control->daemon;
    const mv_settings_t *settings = daemon->settings;
    mv_links_settings_t links = {
        .address = settings->self.address,
        .port = settings->self.control_port,
        .keyring = settings->keyring,
        .id = settings->self.id,
        .channel = 0,
        .first_sequence = (uint64_t)daemon->started_at,
        .counters = &daemon->counters,
        .log = daemon->log,
    };
    control->links =
        MvLinks_Create(control->loop, &links, &links_ops, control, error);
    if (!control->links) {
        return false;
    }
    for (size_t i = 0; i < settings->peer_count; i++) {
        MvLinks_AddPeer(control->links, settings->peers[i].id,
                        settings->peers[i].address,
                        settings->peers[i].control_port);
    }
    control->store = MvStore_CreateHttp(
        settings->store_addresses, STORE_TIMEOUT, &daemon->counters, error);
    if (!control->store) {
        return false;
    }
    control->accepted_watch =
        MvAcceptedWatch_Create(control->store, settings->deployment,
                               control->random, handle_accepted, control);
    return true;
}

static bool
create_node(control_t *control)
{
    mv_daemon_t *daemon = control->daemon;
    const mv_settings_t *settings = daemon->settings;
    mv_node_id_t *peers = g_new0(mv_node_id_t, settings->peer_count + 1);
    for (size_t i = 0; i < settings->peer_count; i++) {
        peers[i] = settings->peers[i].id;
    }
    mv_node_settings_t node = MvNodeSettings_Default(settings->self.id);
    node.data_centre = MvDataCentre_Hash(settings->data_centre);
    node.peers = peers;
    node.peer_count = settings->peer_count;
    node.flow_capacity = settings->flow_capacity;
    daemon->node = MvNode_Create(&node, &control->effects, &daemon->counters,
                                 control->random, g_get_real_time(),
                                 g_get_monotonic_time());
    g_free(peers);
    return daemon->node != NULL;
}

static void
close_all(control_t *control)
{
    MvAcceptedWatch_Destroy(control->accepted_watch);
    MvStore_Destroy(control->store);
    MvNode_Destroy(control->daemon->node);
    MvLinks_Destroy(control->links);
    MvMembersView_Free(control->daemon->members_view);
    g_rand_free(control->random);
    apr_pool_destroy(control->pool);
}

int
MvControl_Run(mv_daemon_t *daemon, GError **error)
{
    control_t control = {.effects.ops = &effect_ops,
                         .daemon = daemon,
                         .was_reachable = true,
                         .random = g_rand_new()};
    apr_pool_create(&control.pool, NULL);
    control.loop = MvLoop_Create(control.pool, MAX_DESCRIPTORS);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGUSR1, on_signal);
    signal(SIGPIPE, SIG_IGN);
    mv_packets_t *packets = NULL;
    mv_proxy_t *proxy = NULL;
    bool started = open_connections(&control, error) && create_node(&control);
    if (started) {
        packets = MvPackets_Start(daemon, error);
        proxy = packets ? MvProxy_Start(daemon, error) : NULL;
        started = proxy != NULL;
    }
    if (started) {
        MvLog_Write(daemon->log, MV_EVENT_NODE_STARTED,
                    "node=%u deployment=%s data_centre=%s",
                    daemon->settings->self.id, daemon->settings->deployment,
                    daemon->settings->data_centre);
        loop(&control);
    }
    MvFlag_Set(&daemon->finished);
    MvProxy_Join(proxy);
    MvPackets_Join(packets);
    MvLog_Write(daemon->log,
                started ? MV_EVENT_NODE_STOPPED : MV_EVENT_NODE_FAILED,
                "node=%u", daemon->settings->self.id);
    close_all(&control);
    return started ? 0 : 1;
}
