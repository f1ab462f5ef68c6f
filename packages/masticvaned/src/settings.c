#include "settings.h"

#include <string.h>

#define MAX_PORT 65535
#define MAX_NODE 65534
#define MAX_THREADS 64
#define MAX_FLOWS (1 << 28)
#define MAX_SECONDS 86400
#define MAX_LINES 1000000
#define MAX_BYTES 1000000000

typedef struct reading {
    mv_ini_t *ini;
    mv_findings_t *findings;
} reading_t;

static void
add_finding(const reading_t *reading, const char *section, const char *key,
            const char *what)
{
    MvIni_Complain(reading->ini, section, key, what, reading->findings);
}

static int64_t
number(const reading_t *reading, const char *section, const char *key,
       int64_t low, int64_t high, int64_t fallback)
{
    return MvIni_Number(reading->ini, section, key, low, high, fallback,
                        reading->findings);
}

static uint16_t
port(const reading_t *reading, const char *section, const char *key,
     uint16_t fallback)
{
    return (uint16_t)number(reading, section, key, 1, MAX_PORT, fallback);
}

static void
read_where(const reading_t *reading, const char *section,
           mv_peer_settings_t *where)
{
    MvIni_Address(reading->ini, section, "address", reading->findings);
    const char *address =
        MvIni_Text(reading->ini, section, "address", "", reading->findings);
    g_strlcpy(where->address, address, sizeof(where->address));
    where->control_port = port(reading, section, "control_port", 7400);
    where->request_peer_port =
        port(reading, section, "request_peer_port", 7401);
    where->relay_port = port(reading, section, "relay_port", 7402);
}

static mv_log_level_t
read_level(const reading_t *reading)
{
    static const char *const names[] = {"debug", "info", "warning", "error"};
    const char *level =
        MvIni_Text(reading->ini, "log", "level", "info", reading->findings);
    for (unsigned i = 0; i < G_N_ELEMENTS(names); i++) {
        if (!strcmp(level, names[i])) {
            return (mv_log_level_t)i;
        }
    }
    add_finding(reading, "log", "level",
                "debug, info, warning and error are allowed");
    return MV_LOG_INFO;
}

static void
read_keys(const reading_t *reading, mv_settings_t *settings)
{
    const char *path =
        MvIni_Text(reading->ini, "node", "key_file", NULL, reading->findings);
    char *text = NULL;
    if (!*path) {
        return;
    }
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        add_finding(reading, "node", "key_file", "cannot be read");
        return;
    }
    settings->keyring =
        MvKeyring_Parse(path, text, settings->deployment, reading->findings);
    g_free(text);
}

static void
read_peers(const reading_t *reading, mv_settings_t *settings)
{
    GPtrArray *sections = MvIni_Sections(reading->ini, "peer ");
    settings->peers = g_new0(mv_peer_settings_t, sections->len + 1);
    for (guint i = 0; i < sections->len; i++) {
        const char *section = g_ptr_array_index(sections, i);
        char *end = NULL;
        guint64 id = g_ascii_strtoull(section + strlen("peer "), &end, 10);
        if (*end || id > MAX_NODE) {
            add_finding(reading, section, "id",
                        "write [peer N] with N from 0 to 65534");
            continue;
        }
        mv_peer_settings_t *peer = &settings->peers[settings->peer_count];
        peer->id = (mv_node_id_t)id;
        read_where(reading, section, peer);
        /* A list of all entry VMs may be shared: skip this one. */
        settings->peer_count += peer->id != settings->self.id;
    }
    g_ptr_array_unref(sections);
}

static void
read_node(const reading_t *reading, mv_settings_t *settings)
{
    mv_ini_t *ini = reading->ini;
    mv_findings_t *findings = reading->findings;
    settings->self.id =
        (mv_node_id_t)number(reading, "node", "id", 0, MAX_NODE, MV_NO_NODE);
    if (settings->self.id == MV_NO_NODE) {
        add_finding(reading, "node", "id",
                    "missing; a whole number from 0 to 65534 is required");
    }
    read_where(reading, "node", &settings->self);
    g_strlcpy(settings->data_centre,
              MvIni_Text(ini, "node", "data_centre", NULL, findings),
              MV_NAME_MAX);
    g_strlcpy(settings->deployment,
              MvIni_Text(ini, "node", "deployment", NULL, findings),
              MV_NAME_MAX);
    settings->packet_port = port(reading, "node", "packet_port", 5555);
    settings->request_port = port(reading, "node", "request_port", 8080);
    settings->packet_threads =
        (unsigned)number(reading, "node", "packet_threads", 1, MAX_THREADS, 1);
    settings->stop_limit =
        number(reading, "limits", "stop_seconds", 1, MAX_SECONDS, 60) *
        MV_SECOND;
    settings->default_deadline =
        number(reading, "limits", "request_seconds", 1, MAX_SECONDS, 30) *
        MV_SECOND;
    settings->flow_capacity = (uint32_t)number(
        reading, "limits", "flow_entries", 1024, MAX_FLOWS, 1 << 20);
    settings->store_addresses =
        g_strdup(MvIni_Text(ini, "store", "addresses", NULL, findings));
}

static mv_forwarding_t
read_forwarding(const reading_t *reading)
{
    const char *mode = MvIni_Text(reading->ini, "node", "forwarding",
                                  "buckets", reading->findings);
    if (!strcmp(mode, "tags")) {
        return MV_FORWARDING_TAGS;
    }
    if (strcmp(mode, "buckets") != 0) {
        add_finding(reading, "node", "forwarding",
                    "buckets and tags are allowed");
    }
    return MV_FORWARDING_BUCKETS;
}

/* Seconds, with a fraction if need be. */
static mv_time_t
seconds(const reading_t *reading, const char *section, const char *key,
        mv_time_t fallback)
{
    const char *text =
        MvIni_Text(reading->ini, section, key, "", reading->findings);
    if (!*text) {
        return fallback;
    }
    char *end = NULL;
    double value = g_ascii_strtod(text, &end);
    if (*end || !(value > 0) || value > MAX_SECONDS) {
        add_finding(reading, section, key,
                    "a number of seconds above 0, at most 86400, is needed");
        return fallback;
    }
    return (mv_time_t)(value * (double)MV_SECOND);
}

/* "ADDRESS:PORT"; the address is the VM's own, the same everywhere. */
static uint16_t
read_listen(const reading_t *reading, const char *key, mv_settings_t *settings)
{
    const char *text =
        MvIni_Text(reading->ini, "listen", key, NULL, reading->findings);
    const char *colon = strchr(text, ':');
    char *end = NULL;
    guint64 number = colon ? g_ascii_strtoull(colon + 1, &end, 10) : 0;
    if (!colon || *end || number == 0 || number > MAX_PORT) {
        if (*text) {
            add_finding(reading, "listen", key, "write ADDRESS:PORT");
        }
        return 0;
    }
    char *address = g_strndup(text, (gsize)(colon - text));
    g_strlcpy(settings->self.address, address, INET6_ADDRSTRLEN);
    g_free(address);
    return (uint16_t)number;
}

static uint16_t
read_optional(const reading_t *reading, const char *key,
              mv_settings_t *settings)
{
    const char *text =
        MvIni_Text(reading->ini, "listen", key, "", reading->findings);
    return *text ? read_listen(reading, key, settings) : 0;
}

static void
read_tags(const reading_t *reading, mv_settings_t *settings)
{
    mv_ini_t *ini = reading->ini;
    mv_findings_t *findings = reading->findings;
    g_strlcpy(settings->name, MvIni_Text(ini, "node", "name", NULL, findings),
              MV_NAME_MAX);
    g_strlcpy(settings->data_centre,
              MvIni_Text(ini, "node", "data_centre", NULL, findings),
              MV_NAME_MAX);
    settings->packet_port = read_listen(reading, "packets", settings);
    settings->health_port = read_listen(reading, "health", settings);
    settings->metrics_port = read_optional(reading, "metrics", settings);
    settings->self.control_port = read_optional(reading, "peers", settings);
    settings->copy_port = read_optional(reading, "copy", settings);
    settings->seeds =
        g_strdup(MvIni_Text(ini, "peers", "seeds", "", findings));
    settings->store_addresses =
        g_strdup(MvIni_Text(ini, "store", "addresses", NULL, findings));
    settings->stop_limit =
        seconds(reading, "limits", "stop_seconds", 6 * MV_SECOND);
    settings->flow_limit =
        seconds(reading, "limits", "flow_seconds", MV_MINUTE);
}

static void
read_log(const reading_t *reading, mv_settings_t *settings)
{
    settings->log_file = g_strdup(
        MvIni_Text(reading->ini, "log", "file", "", reading->findings));
    settings->dump_file = g_strdup(
        MvIni_Text(reading->ini, "log", "dump_file", "", reading->findings));
    settings->log_level = read_level(reading);
    settings->line_budget =
        (unsigned)number(reading, "log", "lines_per_second", 0, MAX_LINES,
                         settings->forwarding == MV_FORWARDING_TAGS ? 50 : 0);
    settings->byte_budget = (unsigned)number(
        reading, "log", "bytes_per_second", 0, MAX_BYTES,
        settings->forwarding == MV_FORWARDING_TAGS ? 32768 : 0);
    settings->flow_sample =
        (unsigned)number(reading, "log", "flow_sample", 0, MAX_FLOWS, 256);
}

mv_settings_t *
MvSettings_Load(const char *path, mv_findings_t *findings)
{
    char *text = NULL;
    size_t before = MvFindings_Count(findings);
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        MvFindings_Add(findings, path, 0, "file", "cannot be read");
        return NULL;
    }
    mv_settings_t *settings = g_new0(mv_settings_t, 1);
    reading_t reading = {.ini = MvIni_Parse(path, text, findings),
                         .findings = findings};
    settings->path = g_strdup(path);
    settings->forwarding = read_forwarding(&reading);
    if (settings->forwarding == MV_FORWARDING_TAGS) {
        read_tags(&reading, settings);
    }
    else {
        read_node(&reading, settings);
        read_keys(&reading, settings);
        read_peers(&reading, settings);
    }
    read_log(&reading, settings);
    MvIni_ReportUnused(reading.ini, findings);
    MvIni_Destroy(reading.ini);
    g_free(text);
    if (MvFindings_Count(findings) > before) {
        MvSettings_Destroy(settings);
        return NULL;
    }
    return settings;
}

void
MvSettings_Destroy(mv_settings_t *settings)
{
    if (!settings) {
        return;
    }
    MvKeyring_Destroy(settings->keyring);
    g_free(settings->path);
    g_free(settings->seeds);
    g_free(settings->store_addresses);
    g_free(settings->log_file);
    g_free(settings->dump_file);
    g_free(settings->peers);
    g_free(settings);
}
