#include "masticvane/config.h"

#include <string.h>

/**
 * struct explanation - Explanation of a plan.
 * @text: the lines so far
 * @now: Unix second
 * @dangers: dangers found, or-ed
 */
typedef struct explanation {
    GString *text;
    int64_t now;
    unsigned dangers;
} explanation_t;

const char *
MvDanger_Name(mv_danger_t danger)
{
    switch (danger) {
    case MV_DANGER_LAST_ENDPOINT:
        return "last-endpoint";
    case MV_DANGER_ADDRESS_MOVES:
        return "address-moves";
    case MV_DANGER_PAST_RETIREMENT:
        return "past-retirement";
    case MV_DANGER_ENDPOINT_REMOVED:
        return "endpoint-removed";
    case MV_DANGER_SERVICE_REMOVED:
        return "service-removed";
    case MV_DANGER_CAPACITY:
        return "capacity";
    default:
        return "";
    }
}

static void
add_danger(explanation_t *out, mv_danger_t danger, const char *description)
{
    out->dangers |= danger;
    g_string_append_printf(out->text, "DANGER %s: %s\n", MvDanger_Name(danger),
                           description);
}

static char *
format_time(int64_t time)
{
    GDateTime *utc = g_date_time_new_from_unix_utc(time);
    char *text = g_date_time_format(utc, "%Y-%m-%d %H:%M:%SZ");
    g_date_time_unref(utc);
    return text;
}

static const mv_service_t *
find_service(const mv_deployment_t *deployment, const char *name)
{
    for (uint16_t i = 0; deployment && i < deployment->service_count; i++) {
        if (!strcmp(deployment->services[i].name, name)) {
            return &deployment->services[i];
        }
    }
    return NULL;
}

static void
explain_retirement(explanation_t *out, const mv_service_t *service,
                   const mv_endpoint_t *endpoint, const mv_endpoint_t *old)
{
    bool is_unchanged = old && old->leaves_at == endpoint->leaves_at &&
                        old->ends_at == endpoint->ends_at;
    if (is_unchanged) {
        return;
    }
    if (endpoint->leaves_at == 0) {
        g_string_append_printf(out->text, "%s endpoint %s stays in service\n",
                               service->name, endpoint->name);
        return;
    }
    char *leaves = format_time(endpoint->leaves_at);
    char *ends = endpoint->ends_at ? format_time(endpoint->ends_at) : NULL;
    g_string_append_printf(
        out->text,
        "%s endpoint %s leaves %s: no new flows or requests from then, open "
        "flows %s%s\n",
        service->name, endpoint->name, leaves,
        ends ? "may be reset from " : "run until they close",
        ends ? ends : "");
    if (endpoint->leaves_at < out->now) {
        char *description = g_strdup_printf(
            "%s endpoint %s: its time to leave, %s, is in the past",
            service->name, endpoint->name, leaves);
        add_danger(out, MV_DANGER_PAST_RETIREMENT, description);
        g_free(description);
    }
    g_free(leaves);
    g_free(ends);
}

static void
explain_endpoints(explanation_t *out, const mv_service_t *service,
                  const mv_service_t *old)
{
    for (uint16_t i = 0; i < service->endpoint_count; i++) {
        const mv_endpoint_t *endpoint = &service->endpoints[i];
        const mv_endpoint_t *before =
            old ? MvService_FindEndpoint(old, endpoint->id) : NULL;
        if (!before) {
            g_string_append_printf(
                out->text,
                "%s endpoint %s is added in data centre %s, %u "
                "slots\n",
                service->name, endpoint->name, endpoint->data_centre,
                endpoint->slots);
        }
        if (before || endpoint->leaves_at) {
            explain_retirement(out, service, endpoint, before);
        }
    }
    for (uint16_t i = 0; old && i < old->endpoint_count; i++) {
        const mv_endpoint_t *removed = &old->endpoints[i];
        if (MvService_FindEndpoint(service, removed->id)) {
            continue;
        }
        g_string_append_printf(out->text, "%s endpoint %s is removed\n",
                               old->name, removed->name);
        if (removed->ends_at == 0 || removed->ends_at > out->now) {
            char *description = g_strdup_printf(
                "%s endpoint %s is removed before its end time; its open "
                "flows break",
                old->name, removed->name);
            add_danger(out, MV_DANGER_ENDPOINT_REMOVED, description);
            g_free(description);
        }
    }
}

static void
explain_buckets(explanation_t *out, const mv_service_t *service,
                const mv_service_t *old)
{
    uint32_t moved = 0;
    for (uint16_t b = 0; b < service->bucket_count; b++) {
        moved += service->before[b] != service->target[b];
    }
    if (old && moved) {
        g_string_append_printf(
            out->text,
            "%s: new flows of %u of %u buckets go to other endpoints; open "
            "flows stay where they are\n",
            service->name, moved, service->bucket_count);
    }
}

static unsigned
remaining_slots(const mv_service_t *service)
{
    unsigned slots = 0;
    for (uint16_t i = 0; i < service->endpoint_count; i++) {
        if (service->endpoints[i].leaves_at == 0) {
            slots += service->endpoints[i].slots;
        }
    }
    return slots;
}

static void
explain_service(explanation_t *out, const mv_service_t *service,
                const mv_deployment_t *previous)
{
    const mv_service_t *old = find_service(previous, service->name);
    if (!old) {
        g_string_append_printf(
            out->text, "service %s begins: %u endpoints, %u slots\n",
            service->name, service->endpoint_count, remaining_slots(service));
    }
    explain_endpoints(out, service, old);
    explain_buckets(out, service, old);
    unsigned slots = remaining_slots(service);
    if (slots == 0 && service->ends_at == 0) {
        char *description =
            g_strdup_printf("every endpoint of %s leaves, but the "
                            "service has no end time",
                            service->name);
        add_danger(out, MV_DANGER_LAST_ENDPOINT, description);
        g_free(description);
    }
    else if (old && slots * 2 < remaining_slots(old)) {
        char *description =
            g_strdup_printf("%s keeps %u of its %u slots, less than half",
                            service->name, slots, remaining_slots(old));
        add_danger(out, MV_DANGER_CAPACITY, description);
        g_free(description);
    }
    for (uint16_t i = 0; previous && i < previous->service_count; i++) {
        const mv_service_t *former_service = &previous->services[i];
        if (strcmp(former_service->name, service->name) != 0 &&
            former_service->address == service->address &&
            former_service->port == service->port) {
            char *description =
                g_strdup_printf("the address and port of service %s move to "
                                "service %s",
                                former_service->name, service->name);
            add_danger(out, MV_DANGER_ADDRESS_MOVES, description);
            g_free(description);
        }
    }
}

char *
MvPlan_Explain(const mv_deployment_t *previous, const mv_deployment_t *next,
               int64_t now, unsigned *dangers)
{
    explanation_t out = {.text = g_string_new(NULL), .now = now};
    g_string_append_printf(
        out.text, "version %" G_GUINT64_FORMAT " -> %" G_GUINT64_FORMAT "\n",
        previous ? previous->version : 0, next->version);
    for (uint16_t i = 0; i < next->service_count; i++) {
        explain_service(&out, &next->services[i], previous);
    }
    for (uint16_t i = 0; previous && i < previous->service_count; i++) {
        const mv_service_t *old = &previous->services[i];
        if (find_service(next, old->name)) {
            continue;
        }
        char *description =
            g_strdup_printf("service %s is removed", old->name);
        g_string_append_printf(out.text, "%s\n", description);
        if (old->ends_at == 0 || old->ends_at > now) {
            add_danger(&out, MV_DANGER_SERVICE_REMOVED, description);
        }
        g_free(description);
    }
    *dangers = out.dangers;
    return g_string_free(out.text, FALSE);
}
