#include "settings.h"

#include <stdlib.h>
#include <string.h>

#define MAX_PORT 65535
#define MAX_NODE_ID 65534
#define MAX_PACKET_THREADS 64
#define MAX_FLOW_ENTRIES (1 << 28)
#define MAX_SECONDS 86400
#define MAX_VM_SIZE 1000000
#define MAX_PRICE_MS 1000000
#define NO_PRICE (-1)
/* The shortest time that is kept: below, nodes would ask the store themselves
 * although their sources are well. */
#define MIN_CHANGE_MS 3000
#define MAX_CHANGE_MS 600000
#define DEFAULT_CHANGE_MS 3000
#define MAX_LINES_PER_SECOND 1000000
#define MAX_BYTES_PER_SECOND 1000000000

typedef struct reader {
    mv_ini_t *ini;
    mv_findings_t *findings;
} reader_t;

static void
add_finding(const reader_t *reader, const char *section, const char *key,
            const char *what)
{
    MvIni_AddFinding(reader->ini, section, key, what, reader->findings);
}

static int64_t
read_number(const reader_t *reader, const char *section, const char *key,
            int64_t low, int64_t high, int64_t fallback)
{
    return MvIni_Number(reader->ini, section, key, low, high, fallback,
                        reader->findings);
}

static uint16_t
read_port(const reader_t *reader, const char *section, const char *key,
          uint16_t fallback)
{
    return (uint16_t)read_number(reader, section, key, 1, MAX_PORT, fallback);
}

static void
read_address(const reader_t *reader, const char *section,
             mv_peer_settings_t *out)
{
    MvIni_Address(reader->ini, section, "address", reader->findings);
    const char *address =
        MvIni_Text(reader->ini, section, "address", "", reader->findings);
    g_strlcpy(out->address, address, sizeof(out->address));
    out->control_port = read_port(reader, section, "control_port", 7400);
    out->request_peer_port =
        read_port(reader, section, "request_peer_port", 7401);
    out->relay_port = read_port(reader, section, "relay_port", 7402);
}

static mv_log_level_t
read_level(const reader_t *reader)
{
    static const char *const names[] = {"debug", "info", "warning", "error"};
    const char *level =
        MvIni_Text(reader->ini, "log", "level", "info", reader->findings);
    for (unsigned i = 0; i < G_N_ELEMENTS(names); i++) {
        if (!strcmp(level, names[i])) {
            return (mv_log_level_t)i;
        }
    }
    add_finding(reader, "log", "level",
                "must be debug, info, warning or error");
    return MV_LOG_INFO;
}

static void
read_keys(const reader_t *reader, mv_settings_t *settings)
{
    const char *path =
        MvIni_Text(reader->ini, "node", "key_file", NULL, reader->findings);
    char *text = NULL;
    if (!*path) {
        return;
    }
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        add_finding(reader, "node", "key_file", "cannot be read");
        return;
    }
    settings->keyring =
        MvKeyring_Parse(path, text, settings->deployment, reader->findings);
    g_free(text);
}

static void
read_peers(const reader_t *reader, mv_settings_t *settings)
{
    GPtrArray *sections = MvIni_Sections(reader->ini, "peer ");
    settings->peers = g_new0(mv_peer_settings_t, sections->len + 1);
    for (guint i = 0; i < sections->len; i++) {
        const char *section = g_ptr_array_index(sections, i);
        char *end = NULL;
        guint64 id = g_ascii_strtoull(section + strlen("peer "), &end, 10);
        if (*end || id > MAX_NODE_ID) {
            add_finding(reader, section, "id",
                        "section name must be [peer N], N from 0 to 65534");
            continue;
        }
        mv_peer_settings_t *peer = &settings->peers[settings->peer_count];
        peer->id = (mv_node_id_t)id;
        read_address(reader, section, peer);
        /* Entry VMs may share one list of all peers: skip the own entry. */
        settings->peer_count += peer->id != settings->self.id;
    }
    g_ptr_array_unref(sections);
}

static void
read_node(const reader_t *reader, mv_settings_t *settings)
{
    mv_ini_t *ini = reader->ini;
    mv_findings_t *findings = reader->findings;
    settings->self.id = (mv_node_id_t)read_number(reader, "node", "id", 0,
                                                  MAX_NODE_ID, MV_NO_NODE);
    if (settings->self.id == MV_NO_NODE) {
        add_finding(reader, "node", "id",
                    "missing; a whole number from 0 to 65534 is required");
    }
    read_address(reader, "node", &settings->self);
    g_strlcpy(settings->data_centre,
              MvIni_Text(ini, "node", "data_centre", NULL, findings),
              MV_NAME_MAX);
    g_strlcpy(settings->deployment,
              MvIni_Text(ini, "node", "deployment", NULL, findings),
              MV_NAME_MAX);
    settings->packet_port = read_port(reader, "node", "packet_port", 5555);
    settings->request_port = read_port(reader, "node", "request_port", 8080);
    settings->packet_threads = (unsigned)read_number(
        reader, "node", "packet_threads", 1, MAX_PACKET_THREADS, 1);
    settings->stop_limit =
        read_number(reader, "limits", "stop_seconds", 1, MAX_SECONDS, 60) *
        MV_SECOND;
    settings->default_deadline =
        read_number(reader, "limits", "request_seconds", 1, MAX_SECONDS, 30) *
        MV_SECOND;
    settings->flow_capacity = (uint32_t)read_number(
        reader, "limits", "flow_entries", 1024, MAX_FLOW_ENTRIES, 1 << 20);
    settings->store_addresses =
        g_strdup(MvIni_Text(ini, "store", "addresses", NULL, findings));
}

static mv_forwarding_t
read_forwarding(const reader_t *reader)
{
    const char *mode = MvIni_Text(reader->ini, "node", "forwarding", "buckets",
                                  reader->findings);
    if (!strcmp(mode, "tags")) {
        return MV_FORWARDING_TAGS;
    }
    if (strcmp(mode, "buckets") != 0) {
        add_finding(reader, "node", "forwarding", "must be buckets or tags");
    }
    return MV_FORWARDING_BUCKETS;
}

/* Reads a number of seconds, which may have a fraction. */
static mv_time_t
read_seconds(const reader_t *reader, const char *section, const char *key,
             mv_time_t fallback)
{
    const char *text =
        MvIni_Text(reader->ini, section, key, "", reader->findings);
    if (!*text) {
        return fallback;
    }
    char *end = NULL;
    double value = g_ascii_strtod(text, &end);
    if (*end || !(value > 0) || value > MAX_SECONDS) {
        add_finding(reader, section, key,
                    "must be a number of seconds above 0, at most 86400");
        return fallback;
    }
    return (mv_time_t)(value * (double)MV_SECOND);
}

/* Reads "ADDRESS:PORT".  All keys of the section are expected to have the
 * address of this VM; the one read last is used.
 *
 * Return: the port; 0 when the value is missing or invalid. */
static uint16_t
read_listen(const reader_t *reader, const char *key, mv_settings_t *settings)
{
    const char *text =
        MvIni_Text(reader->ini, "listen", key, NULL, reader->findings);
    const char *colon = strchr(text, ':');
    char *end = NULL;
    guint64 port = colon ? g_ascii_strtoull(colon + 1, &end, 10) : 0;
    if (!colon || *end || port == 0 || port > MAX_PORT) {
        if (*text) {
            add_finding(reader, "listen", key,
                        "must be ADDRESS:PORT, PORT from 1 to 65535");
        }
        return 0;
    }
    char *address = g_strndup(text, (gsize)(colon - text));
    g_strlcpy(settings->self.address, address, INET6_ADDRSTRLEN);
    g_free(address);
    return (uint16_t)port;
}

/* Return: 0 when the key is missing. */
static uint16_t
read_optional_listen(const reader_t *reader, const char *key,
                     mv_settings_t *settings)
{
    const char *text =
        MvIni_Text(reader->ini, "listen", key, "", reader->findings);
    return *text ? read_listen(reader, key, settings) : 0;
}

/* Return: 0 when the key is missing or empty. */
static double
read_size(const reader_t *reader, const char *section, const char *key)
{
    const char *text =
        MvIni_Text(reader->ini, section, key, "", reader->findings);
    char *end = NULL;
    double size = g_ascii_strtod(text, &end);
    if (*end || !(size >= 0 && size <= MAX_VM_SIZE)) {
        MvIni_AddFinding(reader->ini, section, key,
                         "expected a number from 0 to 1000000",
                         reader->findings);
        return 0;
    }
    return size;
}

/* Reads a section whose keys are those of the platform.  Return: its entries
 * as the text of a JSON object, to be freed with free(). */
static char *
read_section(mv_ini_t *ini, const char *section)
{
    json_t *object = json_object();
    for (size_t i = 0; i < MvIni_Count(ini); i++) {
        mv_ini_entry_t *entry = MvIni_At(ini, i);
        if (!strcmp(entry->section, section)) {
            entry->used = true;
            json_object_set_new(object, entry->key, json_string(entry->value));
        }
    }
    char *text = json_dumps(object, JSON_COMPACT);
    json_decref(object);
    return text;
}

/* Reads a number of milliseconds, which may have a fraction. */
static mv_time_t
read_change_limit(const reader_t *reader)
{
    const char *text =
        MvIni_Text(reader->ini, "limits", "change_ms", "", reader->findings);
    char *end = NULL;
    double value = *text ? g_ascii_strtod(text, &end) : DEFAULT_CHANGE_MS;
    if (*text && (*end || !(value > 0 && value <= MAX_CHANGE_MS))) {
        add_finding(reader, "limits", "change_ms",
                    "must be a number of milliseconds above 0, at most "
                    "600000");
        return DEFAULT_CHANGE_MS * MV_MILLISECOND;
    }
    return (mv_time_t)(MAX(value, MIN_CHANGE_MS) * (double)MV_MILLISECOND);
}

static void
read_tags(const reader_t *reader, mv_settings_t *settings)
{
    mv_ini_t *ini = reader->ini;
    mv_findings_t *findings = reader->findings;
    g_strlcpy(settings->name, MvIni_Text(ini, "node", "name", NULL, findings),
              MV_NAME_MAX);
    g_strlcpy(settings->data_centre,
              MvIni_Text(ini, "node", "data_centre", NULL, findings),
              MV_NAME_MAX);
    settings->processor = read_size(reader, "vm", "processor_cores");
    settings->link_megabits = read_size(reader, "vm", "link_megabits");
    settings->vm_limits = read_section(ini, "platform");
    settings->packet_port = read_listen(reader, "packets", settings);
    settings->health_port = read_listen(reader, "health", settings);
    settings->metrics_port = read_optional_listen(reader, "metrics", settings);
    settings->self.control_port =
        read_optional_listen(reader, "peers", settings);
    settings->replica_port = read_optional_listen(reader, "copy", settings);
    settings->bootstrap_peers =
        g_strdup(MvIni_Text(ini, "peers", "seeds", "", findings));
    settings->store_addresses =
        g_strdup(MvIni_Text(ini, "store", "addresses", NULL, findings));
    settings->stop_limit =
        read_seconds(reader, "limits", "stop_seconds", 6 * MV_SECOND);
    settings->flow_retention =
        read_seconds(reader, "limits", "flow_seconds", MV_MINUTE);
    settings->change_limit = read_change_limit(reader);
    int64_t price_ms = read_number(reader, "placement", "remote_megabyte_ms",
                                   0, MAX_PRICE_MS, NO_PRICE);
    settings->megabyte_price =
        price_ms == NO_PRICE ? MV_NEVER : price_ms * MV_MILLISECOND;
}

static void
read_log(const reader_t *reader, mv_settings_t *settings)
{
    settings->log_file =
        g_strdup(MvIni_Text(reader->ini, "log", "file", "", reader->findings));
    settings->dump_file = g_strdup(
        MvIni_Text(reader->ini, "log", "dump_file", "", reader->findings));
    settings->log_level = read_level(reader);
    settings->line_budget = (unsigned)read_number(
        reader, "log", "lines_per_second", 0, MAX_LINES_PER_SECOND,
        settings->forwarding == MV_FORWARDING_TAGS ? 50 : 0);
    settings->byte_budget = (unsigned)read_number(
        reader, "log", "bytes_per_second", 0, MAX_BYTES_PER_SECOND,
        settings->forwarding == MV_FORWARDING_TAGS ? 32768 : 0);
    settings->flow_sample = (unsigned)read_number(reader, "log", "flow_sample",
                                                  0, MAX_FLOW_ENTRIES, 256);
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
    reader_t reader = {.ini = MvIni_Parse(path, text, findings),
                       .findings = findings};
    settings->path = g_strdup(path);
    settings->forwarding = read_forwarding(&reader);
    if (settings->forwarding == MV_FORWARDING_TAGS) {
        read_tags(&reader, settings);
    }
    else {
        read_node(&reader, settings);
        read_keys(&reader, settings);
        read_peers(&reader, settings);
    }
    read_log(&reader, settings);
    MvIni_ReportUnused(reader.ini, findings);
    MvIni_Destroy(reader.ini);
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
    g_free(settings->bootstrap_peers);
    free(settings->vm_limits);
    g_free(settings->store_addresses);
    g_free(settings->log_file);
    g_free(settings->dump_file);
    g_free(settings->peers);
    g_free(settings);
}
