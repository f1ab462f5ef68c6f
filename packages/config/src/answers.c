#include "masticvane/config.h"

#include <string.h>

#define MAX_PORT 65535
#define MAX_SLOTS 1024
#define MAX_CONNECTIONS 1000000
#define MAX_WEIGHT 1000
#define MAX_IDLE_SECONDS 86400
#define DEFAULT_IDLE_SECONDS 300
#define DEFAULT_PACKET_PORT 5555
#define DEFAULT_REQUEST_PORT 8080
#define FULL_SHARE 100

typedef struct reading {
    mv_ini_t *ini;
    mv_findings_t *findings;
    int64_t now;
    char **data_centres;
} reading_t;

static void
add_finding(const reading_t *reading, const char *section, const char *key,
            const char *what)
{
    MvIni_Complain(reading->ini, section, key, what, reading->findings);
}

static const char *
text(const reading_t *reading, const char *section, const char *key,
     const char *fallback)
{
    return MvIni_Text(reading->ini, section, key, fallback, reading->findings);
}

static int64_t
number(const reading_t *reading, const char *section, const char *key,
       int64_t low, int64_t high, int64_t fallback)
{
    return MvIni_Number(reading->ini, section, key, low, high, fallback,
                        reading->findings);
}

static void
copy_name(const reading_t *reading, const char *section, const char *name,
          char *out)
{
    bool good = *name && strlen(name) < MV_NAME_MAX;
    for (const char *c = name; *c; c++) {
        good = good && (g_ascii_isalnum(*c) || strchr("-_.", *c));
    }
    if (!good) {
        add_finding(reading, section, "name",
                    "not a name; 1 to 47 of a-z, 0-9, - _ . are allowed");
    }
    g_strlcpy(out, name, MV_NAME_MAX);
}

bool
MvAnswers_ParseTime(const char *value, int64_t now, int64_t *time)
{
    if (!strcmp(value, "now")) {
        *time = now;
        return true;
    }
    if (*value == '+') {
        char *end = NULL;
        int64_t amount = g_ascii_strtoll(value + 1, &end, 10);
        const char units[] = "smhd";
        const int64_t seconds[] = {1, 60, 3600, 86400};
        const char *unit = *end ? strchr(units, *end) : NULL;
        if (end == value + 1 || !unit || end[1] || amount < 0) {
            return false;
        }
        *time = now + amount * seconds[unit - units];
        return true;
    }
    GTimeZone *utc = g_time_zone_new_utc();
    GDateTime *parsed = g_date_time_new_from_iso8601(value, utc);
    g_time_zone_unref(utc);
    if (!parsed) {
        return false;
    }
    *time = g_date_time_to_unix(parsed);
    g_date_time_unref(parsed);
    return true;
}

static int64_t
read_time(const reading_t *reading, const char *section, const char *key)
{
    int64_t time = 0;
    const char *value = text(reading, section, key, "");
    if (*value && !MvAnswers_ParseTime(value, reading->now, &time)) {
        add_finding(reading, section, key,
                    "not a time; write 2026-12-24T18:00:00Z, now or +30m");
    }
    return time;
}

static bool
read_yes(const reading_t *reading, const char *section, const char *key)
{
    const char *value = text(reading, section, key, "no");
    if (strcmp(value, "yes") != 0 && strcmp(value, "no") != 0) {
        add_finding(reading, section, key, "yes and no are allowed");
    }
    return !strcmp(value, "yes");
}

/* "work SERVICE NAME" and "endpoint SERVICE NAME" */

static void
read_match(const reading_t *reading, const char *section, mv_work_t *work)
{
    const char *value = text(reading, section, "match", NULL);
    char **parts = g_strsplit(value, " ", 2);
    if (*value && (!parts[0] || !parts[1] || parts[1][0] != '/' ||
                   strlen(parts[0]) >= sizeof(work->method) ||
                   strlen(parts[1]) >= sizeof(work->path))) {
        add_finding(reading, section, "match",
                    "write METHOD /path-prefix, or * for every method");
    }
    else if (*value) {
        bool every = !strcmp(parts[0], "*");
        g_strlcpy(work->method, every ? "" : parts[0], sizeof(work->method));
        g_strlcpy(work->path, parts[1], sizeof(work->path));
    }
    g_strfreev(parts);
}

static mv_work_t
read_work(const reading_t *reading, const char *section, const char *name)
{
    mv_work_t work = {.urgency = 0};
    copy_name(reading, section, name, work.name);
    read_match(reading, section, &work);
    work.urgency = (uint8_t)number(reading, section, "urgency", 0, 7, 3);
    work.share = (uint8_t)number(reading, section, "share", 0, FULL_SHARE, 0);
    work.non_idempotent = read_yes(reading, section, "non_idempotent");
    return work;
}

static mv_endpoint_t
read_endpoint(const reading_t *reading, const char *section, const char *name,
              const char *service_section)
{
    mv_endpoint_t endpoint = {.id = 0};
    copy_name(reading, section, name, endpoint.name);
    const char *where = text(reading, section, "data_centre", NULL);
    if (*where &&
        !g_strv_contains((const char *const *)reading->data_centres, where)) {
        add_finding(reading, section, "data_centre",
                    "not among deployment.data_centres");
    }
    g_strlcpy(endpoint.data_centre, where, MV_NAME_MAX);
    endpoint.address =
        MvIni_Address(reading->ini, section, "address", reading->findings);
    endpoint.packet_port = (uint16_t)number(reading, section, "packet_port", 1,
                                            MAX_PORT, DEFAULT_PACKET_PORT);
    endpoint.request_port = (uint16_t)number(
        reading, section, "request_port", 1, MAX_PORT, DEFAULT_REQUEST_PORT);
    int64_t slots = number(reading, service_section, "slots", 1, MAX_SLOTS, 1);
    endpoint.slots =
        (uint16_t)number(reading, section, "slots", 1, MAX_SLOTS, slots);
    endpoint.connection_limit = (uint32_t)number(
        reading, service_section, "connections", 1, MAX_CONNECTIONS, 2000);
    endpoint.leaves_at = read_time(reading, section, "leaves");
    endpoint.ends_at = read_time(reading, section, "ends");
    if (endpoint.ends_at && endpoint.ends_at < endpoint.leaves_at) {
        add_finding(reading, section, "ends",
                    "before leaves; flows may end only after it leaves");
    }
    return endpoint;
}

/* Sections "KIND SERVICE NAME" whose SERVICE matches. */
static GPtrArray *
sections_of(const reading_t *reading, const char *kind, const char *service)
{
    char *prefix = g_strdup_printf("%s %s ", kind, service);
    GPtrArray *sections = MvIni_Sections(reading->ini, prefix);
    g_free(prefix);
    return sections;
}

static void
read_service(const reading_t *reading, const char *section,
             mv_service_t *service)
{
    copy_name(reading, section, section + strlen("service "), service->name);
    service->address =
        MvIni_Address(reading->ini, section, "address", reading->findings);
    service->port =
        (uint16_t)number(reading, section, "port", 1, MAX_PORT, 443);
    service->ends_at = read_time(reading, section, "ends");
    GPtrArray *works = sections_of(reading, "work", service->name);
    GPtrArray *endpoints = sections_of(reading, "endpoint", service->name);
    service->work = g_new0(mv_work_t, works->len + 1);
    service->endpoints = g_new0(mv_endpoint_t, endpoints->len + 1);
    unsigned shares = 0;
    for (guint i = 0; i < works->len; i++) {
        const char *name = g_ptr_array_index(works, i);
        service->work[i] = read_work(reading, name, strrchr(name, ' ') + 1);
        shares += service->work[i].share;
    }
    for (guint i = 0; i < endpoints->len; i++) {
        const char *name = g_ptr_array_index(endpoints, i);
        service->endpoints[i] =
            read_endpoint(reading, name, strrchr(name, ' ') + 1, section);
    }
    service->work_count = (uint16_t)works->len;
    service->endpoint_count = (uint16_t)endpoints->len;
    if (shares > FULL_SHARE) {
        add_finding(reading, section, "share",
                    "the shares of its work add up to more than 100");
    }
    if (endpoints->len == 0) {
        add_finding(reading, section, "endpoint",
                    "no [endpoint SERVICE NAME] section; one is needed");
    }
    g_ptr_array_unref(works);
    g_ptr_array_unref(endpoints);
}

static void
check_addresses(const reading_t *reading, const mv_deployment_t *deployment)
{
    for (uint16_t i = 0; i < deployment->service_count; i++) {
        for (uint16_t j = 0; j < i; j++) {
            const mv_service_t *one = &deployment->services[i];
            const mv_service_t *other = &deployment->services[j];
            if (one->address == other->address && one->port == other->port) {
                char *section = g_strdup_printf("service %s", one->name);
                add_finding(reading, section, "address",
                            "another service has this address and port; "
                            "each needs its own");
                g_free(section);
            }
        }
    }
}

static void
read_members(const reading_t *reading, mv_deployment_t *deployment)
{
    GPtrArray *sections = MvIni_Sections(reading->ini, "member ");
    deployment->members = g_new0(mv_member_weight_t, sections->len + 1);
    deployment->member_count = (uint16_t)sections->len;
    for (guint i = 0; i < sections->len; i++) {
        const char *section = g_ptr_array_index(sections, i);
        mv_member_weight_t *member = &deployment->members[i];
        copy_name(reading, section, section + strlen("member "), member->name);
        member->weight =
            (uint16_t)number(reading, section, "weight", 1, MAX_WEIGHT, 1);
    }
    g_ptr_array_unref(sections);
}

static mv_deployment_t *
read_deployment(const reading_t *reading)
{
    mv_deployment_t *deployment = g_new0(mv_deployment_t, 1);
    deployment->references = 1;
    copy_name(reading, "deployment", text(reading, "deployment", "name", NULL),
              deployment->name);
    deployment->flow_idle_seconds =
        (uint32_t)number(reading, "deployment", "flow_idle_seconds", 1,
                         MAX_IDLE_SECONDS, DEFAULT_IDLE_SECONDS);
    GPtrArray *sections = MvIni_Sections(reading->ini, "service ");
    deployment->services = g_new0(mv_service_t, sections->len + 1);
    deployment->service_count = (uint16_t)sections->len;
    for (guint i = 0; i < sections->len; i++) {
        read_service(reading, g_ptr_array_index(sections, i),
                     &deployment->services[i]);
    }
    if (sections->len == 0) {
        add_finding(reading, "deployment", "service",
                    "no [service NAME] section; one is needed");
    }
    g_ptr_array_unref(sections);
    read_members(reading, deployment);
    check_addresses(reading, deployment);
    return deployment;
}

mv_deployment_t *
MvAnswers_Parse(const char *file, const char *content, int64_t now,
                mv_findings_t *findings)
{
    size_t before = MvFindings_Count(findings);
    mv_ini_t *ini = MvIni_Parse(file, content, findings);
    if (!ini) {
        return NULL;
    }
    reading_t reading = {.ini = ini, .findings = findings, .now = now};
    reading.data_centres = g_strsplit(
        text(&reading, "deployment", "data_centres", NULL), " ", -1);
    mv_deployment_t *deployment = read_deployment(&reading);
    MvIni_ReportUnused(ini, findings);
    g_strfreev(reading.data_centres);
    MvIni_Destroy(ini);
    if (MvFindings_Count(findings) > before) {
        MvDeployment_Unref(deployment);
        return NULL;
    }
    return deployment;
}
