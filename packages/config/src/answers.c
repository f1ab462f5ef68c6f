#include "masticvane/config.h"

#include <string.h>

#define MAX_PORT 65535
#define MAX_SLOTS 1024
#define MAX_CONNECTIONS 1000000
#define MAX_WEIGHT 1000
#define MAX_FLOW_IDLE_SECONDS 86400
#define DEFAULT_FLOW_IDLE_SECONDS 300
#define DEFAULT_PACKET_PORT 5555
#define DEFAULT_REQUEST_PORT 8080
#define MAX_SHARE_PERCENT 100

/**
 * struct parser - State of parsing the answers.
 * @ini: the answers
 * @findings: receives the findings
 * @now: Unix second, for relative times
 * @data_centres: names of deployment.data_centres, NULL-terminated
 */
typedef struct parser {
    mv_ini_t *ini;
    mv_findings_t *findings;
    int64_t now;
    char **data_centres;
} parser_t;

static void
add_finding(const parser_t *parser, const char *section, const char *key,
            const char *problem)
{
    MvIni_AddFinding(parser->ini, section, key, problem, parser->findings);
}

static const char *
read_text(const parser_t *parser, const char *section, const char *key,
          const char *fallback)
{
    return MvIni_Text(parser->ini, section, key, fallback, parser->findings);
}

static int64_t
read_number(const parser_t *parser, const char *section, const char *key,
            int64_t low, int64_t high, int64_t fallback)
{
    return MvIni_Number(parser->ini, section, key, low, high, fallback,
                        parser->findings);
}

static void
copy_name(const parser_t *parser, const char *section, const char *name,
          char *out)
{
    bool is_valid = *name && strlen(name) < MV_NAME_MAX;
    for (const char *c = name; *c; c++) {
        is_valid = is_valid && (g_ascii_isalnum(*c) || strchr("-_.", *c));
    }
    if (!is_valid) {
        add_finding(parser, section, "name",
                    "not a name; write 1 to 47 letters, digits, - _ or .");
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
read_time(const parser_t *parser, const char *section, const char *key)
{
    int64_t time = 0;
    const char *value = read_text(parser, section, key, "");
    if (*value && !MvAnswers_ParseTime(value, parser->now, &time)) {
        add_finding(parser, section, key,
                    "not a time; write 2026-12-24T18:00:00Z, now or +30m");
    }
    return time;
}

static bool
read_boolean(const parser_t *parser, const char *section, const char *key)
{
    const char *value = read_text(parser, section, key, "no");
    if (strcmp(value, "yes") != 0 && strcmp(value, "no") != 0) {
        add_finding(parser, section, key,
                    "neither yes nor no; write one of them");
    }
    return !strcmp(value, "yes");
}

/* Sections [work SERVICE NAME] and [endpoint SERVICE NAME] */

static void
read_match(const parser_t *parser, const char *section, mv_work_t *work)
{
    const char *value = read_text(parser, section, "match", NULL);
    char **parts = g_strsplit(value, " ", 2);
    if (*value && (!parts[0] || !parts[1] || parts[1][0] != '/' ||
                   strlen(parts[0]) >= sizeof(work->method) ||
                   strlen(parts[1]) >= sizeof(work->path))) {
        add_finding(parser, section, "match",
                    "write METHOD /path-prefix; METHOD has up to 15 bytes or "
                    "is * for every method, /path-prefix up to 63 bytes");
    }
    else if (*value) {
        bool is_any_method = !strcmp(parts[0], "*");
        g_strlcpy(work->method, is_any_method ? "" : parts[0],
                  sizeof(work->method));
        g_strlcpy(work->path, parts[1], sizeof(work->path));
    }
    g_strfreev(parts);
}

static mv_work_t
read_work(const parser_t *parser, const char *section, const char *name)
{
    mv_work_t work = {.urgency = 0};
    copy_name(parser, section, name, work.name);
    read_match(parser, section, &work);
    work.urgency = (uint8_t)read_number(parser, section, "urgency", 0, 7, 3);
    work.share = (uint8_t)read_number(parser, section, "share", 0,
                                      MAX_SHARE_PERCENT, 0);
    work.non_idempotent = read_boolean(parser, section, "non_idempotent");
    return work;
}

/* An endpoint of an evacuated data centre leaves when the evacuation begins,
 * unless it leaves earlier. */
static void
apply_evacuation(const parser_t *parser, mv_endpoint_t *endpoint)
{
    char *section = g_strdup_printf("evacuation %s", endpoint->data_centre);
    if (MvIni_SectionLine(parser->ini, section) > 0) {
        int64_t since = read_time(parser, section, "since");
        bool leaves_earlier =
            endpoint->leaves_at > 0 && endpoint->leaves_at <= since;
        endpoint->leaves_at = leaves_earlier ? endpoint->leaves_at : since;
    }
    g_free(section);
}

/* Each section [evacuation DATA_CENTRE] must name a data centre and a time. */
static void
check_evacuations(const parser_t *parser)
{
    GPtrArray *sections = MvIni_Sections(parser->ini, "evacuation ");
    for (guint i = 0; i < sections->len; i++) {
        const char *section = g_ptr_array_index(sections, i);
        const char *data_centre = section + strlen("evacuation ");
        if (!g_strv_contains((const char *const *)parser->data_centres,
                             data_centre)) {
            add_finding(parser, section, "since",
                        "the section's data centre is not among "
                        "deployment.data_centres");
        }
        if (!*read_text(parser, section, "since", "")) {
            add_finding(parser, section, "since",
                        "missing; write 2026-12-24T18:00:00Z");
        }
    }
    g_ptr_array_unref(sections);
}

static mv_endpoint_t
read_endpoint(const parser_t *parser, const char *section, const char *name,
              const char *service_section)
{
    mv_endpoint_t endpoint = {.id = 0};
    copy_name(parser, section, name, endpoint.name);
    const char *data_centre = read_text(parser, section, "data_centre", NULL);
    if (*data_centre &&
        !g_strv_contains((const char *const *)parser->data_centres,
                         data_centre)) {
        add_finding(parser, section, "data_centre",
                    "not among deployment.data_centres");
    }
    g_strlcpy(endpoint.data_centre, data_centre, MV_NAME_MAX);
    endpoint.address =
        MvIni_Address(parser->ini, section, "address", parser->findings);
    endpoint.packet_port = (uint16_t)read_number(
        parser, section, "packet_port", 1, MAX_PORT, DEFAULT_PACKET_PORT);
    endpoint.request_port = (uint16_t)read_number(
        parser, section, "request_port", 1, MAX_PORT, DEFAULT_REQUEST_PORT);
    int64_t slots =
        read_number(parser, service_section, "slots", 1, MAX_SLOTS, 1);
    endpoint.slots =
        (uint16_t)read_number(parser, section, "slots", 1, MAX_SLOTS, slots);
    endpoint.connection_limit = (uint32_t)read_number(
        parser, service_section, "connections", 1, MAX_CONNECTIONS, 2000);
    endpoint.leaves_at = read_time(parser, section, "leaves");
    endpoint.ends_at = read_time(parser, section, "ends");
    if (endpoint.ends_at && endpoint.ends_at < endpoint.leaves_at) {
        add_finding(parser, section, "ends",
                    "earlier than leaves; flows may be reset only after the "
                    "endpoint leaves");
    }
    apply_evacuation(parser, &endpoint);
    return endpoint;
}

/* Returns the names of the sections [@kind @service NAME]. */
static GPtrArray *
sections_of(const parser_t *parser, const char *kind, const char *service)
{
    char *prefix = g_strdup_printf("%s %s ", kind, service);
    GPtrArray *sections = MvIni_Sections(parser->ini, prefix);
    g_free(prefix);
    return sections;
}

static void
read_service(const parser_t *parser, const char *section,
             mv_service_t *service)
{
    copy_name(parser, section, section + strlen("service "), service->name);
    service->address =
        MvIni_Address(parser->ini, section, "address", parser->findings);
    service->port =
        (uint16_t)read_number(parser, section, "port", 1, MAX_PORT, 443);
    service->ends_at = read_time(parser, section, "ends");
    GPtrArray *work_sections = sections_of(parser, "work", service->name);
    GPtrArray *endpoint_sections =
        sections_of(parser, "endpoint", service->name);
    service->work = g_new0(mv_work_t, work_sections->len + 1);
    service->endpoints = g_new0(mv_endpoint_t, endpoint_sections->len + 1);
    unsigned share_sum = 0;
    for (guint i = 0; i < work_sections->len; i++) {
        const char *name = g_ptr_array_index(work_sections, i);
        service->work[i] = read_work(parser, name, strrchr(name, ' ') + 1);
        share_sum += service->work[i].share;
    }
    for (guint i = 0; i < endpoint_sections->len; i++) {
        const char *name = g_ptr_array_index(endpoint_sections, i);
        service->endpoints[i] =
            read_endpoint(parser, name, strrchr(name, ' ') + 1, section);
    }
    service->work_count = (uint16_t)work_sections->len;
    service->endpoint_count = (uint16_t)endpoint_sections->len;
    if (share_sum > MAX_SHARE_PERCENT) {
        add_finding(parser, section, "share",
                    "the shares of its [work] sections add up to more than "
                    "100");
    }
    if (endpoint_sections->len == 0) {
        add_finding(parser, section, "endpoint",
                    "no [endpoint SERVICE NAME] section; at least one is "
                    "required");
    }
    g_ptr_array_unref(work_sections);
    g_ptr_array_unref(endpoint_sections);
}

static void
check_addresses(const parser_t *parser, const mv_deployment_t *deployment)
{
    for (uint16_t i = 0; i < deployment->service_count; i++) {
        for (uint16_t j = 0; j < i; j++) {
            const mv_service_t *service = &deployment->services[i];
            const mv_service_t *earlier = &deployment->services[j];
            if (service->address == earlier->address &&
                service->port == earlier->port) {
                char *section = g_strdup_printf("service %s", service->name);
                add_finding(parser, section, "address",
                            "another service has this address and port; give "
                            "every service an address and port of its own");
                g_free(section);
            }
        }
    }
}

static void
read_members(const parser_t *parser, mv_deployment_t *deployment)
{
    GPtrArray *sections = MvIni_Sections(parser->ini, "member ");
    deployment->members = g_new0(mv_member_weight_t, sections->len + 1);
    deployment->member_count = (uint16_t)sections->len;
    for (guint i = 0; i < sections->len; i++) {
        const char *section = g_ptr_array_index(sections, i);
        mv_member_weight_t *member = &deployment->members[i];
        copy_name(parser, section, section + strlen("member "), member->name);
        member->weight =
            (uint16_t)read_number(parser, section, "weight", 1, MAX_WEIGHT, 1);
    }
    g_ptr_array_unref(sections);
}

static mv_deployment_t *
read_deployment(const parser_t *parser)
{
    mv_deployment_t *deployment = g_new0(mv_deployment_t, 1);
    deployment->references = 1;
    copy_name(parser, "deployment",
              read_text(parser, "deployment", "name", NULL), deployment->name);
    deployment->flow_idle_seconds = (uint32_t)read_number(
        parser, "deployment", "flow_idle_seconds", 1, MAX_FLOW_IDLE_SECONDS,
        DEFAULT_FLOW_IDLE_SECONDS);
    GPtrArray *sections = MvIni_Sections(parser->ini, "service ");
    deployment->services = g_new0(mv_service_t, sections->len + 1);
    deployment->service_count = (uint16_t)sections->len;
    for (guint i = 0; i < sections->len; i++) {
        read_service(parser, g_ptr_array_index(sections, i),
                     &deployment->services[i]);
    }
    if (sections->len == 0) {
        add_finding(parser, "deployment", "service",
                    "no [service NAME] section; at least one is required");
    }
    g_ptr_array_unref(sections);
    read_members(parser, deployment);
    check_addresses(parser, deployment);
    return deployment;
}

mv_deployment_t *
MvAnswers_Parse(const char *file, const char *content, int64_t now,
                mv_findings_t *findings)
{
    size_t findings_before = MvFindings_Count(findings);
    mv_ini_t *ini = MvIni_Parse(file, content, findings);
    if (!ini) {
        return NULL;
    }
    parser_t parser = {.ini = ini, .findings = findings, .now = now};
    parser.data_centres = g_strsplit(
        read_text(&parser, "deployment", "data_centres", NULL), " ", -1);
    mv_deployment_t *deployment = read_deployment(&parser);
    check_evacuations(&parser);
    MvIni_ReportUnused(ini, findings);
    g_strfreev(parser.data_centres);
    MvIni_Destroy(ini);
    if (MvFindings_Count(findings) > findings_before) {
        MvDeployment_Unref(deployment);
        return NULL;
    }
    return deployment;
}
