/* HTTP ports for health, metrics and replicas; state dump. */
#include <stdlib.h>
#include <string.h>

#include "arrivals.h"
#include "platform.h"
#include "tags_control.h"

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_UNAVAILABLE 503

bool
MvTagsStatus_IsReady(const mv_tags_control_t *control)
{
    return !control->is_stopping &&
           MvDirectory_Version(control->directory) > 0 &&
           MvDirectory_UsableServers(control->directory) > 0;
}

static unsigned
serve_health(void *context, const char *target, mv_buffer_t *body)
{
    const mv_tags_control_t *control = context;
    (void)body;
    if (!MvPlatform_IsReadyTarget(target)) {
        return HTTP_NOT_FOUND;
    }
    return MvTagsStatus_IsReady(control) ? HTTP_OK : HTTP_UNAVAILABLE;
}

static unsigned
serve_metrics(void *context, const char *target, mv_buffer_t *body)
{
    mv_tags_control_t *control = context;
    if (strcmp(target, "/metrics") != 0) {
        return HTTP_NOT_FOUND;
    }
    mv_time_t now = g_get_monotonic_time();
    MvCounters_Expose(&control->daemon.counters, body);
    MvCounters_ExposeGauge(
        body, "config_version",
        "version of the configuration in force, 0 before the first",
        (double)MvDirectory_Version(control->directory));
    MvCounters_ExposeGauge(
        body, "servers_usable", "announced backend servers that do not leave",
        (double)MvDirectory_UsableServers(control->directory));
    MvCounters_ExposeGauge(
        body, "servers_unnamed",
        "announced backend servers whose service no configuration names",
        (double)MvDirectory_UnnamedServers(control->directory));
    MvCounters_ExposeGauge(
        body, "data_centres_evacuated",
        "data centres whose backend servers get no new flows by order",
        MvDirectory_EvacuatedCount(control->directory));
    MvCounters_ExposeGauge(
        body, "store_revision",
        "revision of the store that the replica is complete up to",
        (double)MvReplica_Revision(control->replica));
    MvCounters_ExposeGauge(body, "store_watching",
                           "1 while this node watches the store itself",
                           MvFanout_IsWatching(control->fanout));
    MvCounters_ExposeGauge(
        body, "knowledge_age_seconds",
        "time since contact with the store or an up-to-date node",
        (double)MvFanout_Staleness(control->fanout, now) / MV_SECOND);
    MvCounters_ExposeGauge(body, "proven_age_seconds",
                           "age of what this node provably knows of the store",
                           (double)(now - MvFanout_ProvenAt(control->fanout)) /
                               MV_SECOND);
    MvCounters_ExposeGauge(body, "near_nodes",
                           "entry VMs of this data centre, this one included",
                           MvFanout_LocalNodes(control->fanout));
    return HTTP_OK;
}

/* Requested by nodes that start while the store is unreachable. */
static unsigned
serve_replica(void *context, const char *target, mv_buffer_t *body)
{
    const mv_tags_control_t *control = context;
    if (strcmp(target, MV_REPLICA_TARGET) != 0) {
        return HTTP_NOT_FOUND;
    }
    if (MvReplica_Revision(control->replica) == 0 ||
        !MvReplica_EncodePublic(control->replica, body)) {
        return HTTP_UNAVAILABLE;
    }
    return HTTP_OK;
}

char *
MvTagsStatus_Dump(mv_tags_control_t *control)
{
    mv_tags_daemon_t *daemon = &control->daemon;
    json_t *counters = MvCounters_ToJson(&daemon->counters);
    char *text = json_dumps(counters, JSON_INDENT(2));
    json_t *evacuated =
        MvDirectory_DumpEvacuated(control->directory, MvClock_Boot());
    char *evacuated_text = json_dumps(evacuated, JSON_COMPACT);
    __atomic_store_n(&daemon->dump_requested, true, __ATOMIC_RELEASE);
    pthread_mutex_lock(&daemon->dump_lock);
    char *state = g_strdup_printf(
        "{\"node\": \"%s\", \"config_version\": %" PRIu64
        ", \"revision\": %" PRIu64
        ", \"watches\": %s, \"near_nodes\": %u,\n\"evacuated\": %s,\n"
        "\"counters\": %s,\n\"forwarder\": %s}\n",
        daemon->settings->name, MvDirectory_Version(control->directory),
        MvReplica_Revision(control->replica),
        MvFanout_IsWatching(control->fanout) ? "true" : "false",
        MvFanout_LocalNodes(control->fanout), evacuated_text, text,
        daemon->dump ? daemon->dump : "null");
    pthread_mutex_unlock(&daemon->dump_lock);
    free(text);
    free(evacuated_text);
    json_decref(counters);
    json_decref(evacuated);
    return state;
}

/* Does nothing when @port is 0: the port is not configured. */
static bool
serve_optional(mv_tags_control_t *control, uint16_t port,
               mv_http1_handler_t handler, mv_http1_server_t **server,
               GError **error)
{
    if (port > 0) {
        *server = MvHttp1_Serve(control->loop,
                                control->daemon.settings->self.address, port,
                                handler, control, error);
    }
    return port == 0 || *server;
}

void
MvTagsStatus_CloseIdle(const mv_tags_control_t *control, mv_time_t now)
{
    mv_http1_server_t *servers[] = {control->health, control->metrics,
                                    control->replica_server};
    for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
        if (servers[i]) {
            MvHttp1_CloseIdle(servers[i], now);
        }
    }
}

bool
MvTagsStatus_Serve(mv_tags_control_t *control, GError **error)
{
    const mv_settings_t *settings = control->daemon.settings;
    control->health =
        MvHttp1_Serve(control->loop, settings->self.address,
                      settings->health_port, serve_health, control, error);
    return control->health &&
           serve_optional(control, settings->metrics_port, serve_metrics,
                          &control->metrics, error) &&
           serve_optional(control, settings->replica_port, serve_replica,
                          &control->replica_server, error);
}
