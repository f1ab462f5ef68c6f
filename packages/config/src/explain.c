#include "masticvane/config.h"

#include <string.h>

typedef struct explanation {
    GString *text;
    int64_t now;
    unsigned dangers;
} explanation_t;

const char *
MvDanger_Word(mv_danger_t danger)
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
warn(explanation_t *out, mv_danger_t danger, const char *what)
{
    out->dangers |= danger;
    g_string_append_printf(out->text, "DANGER %s: %s\n", MvDanger_Word(danger),
                           what);
}

static char *
time_text(int64_t time)
{
    GDateTime *utc = g_date_time_new_from_unix_utc(time);
    char *text = g_date_time_format(utc, "%Y-%m-%d %H:%M:%SZ");
    g_date_time_unref(utc);
    return text;
}

static const mv_service_t *
service_by_name(const mv_deployment_t *deployment, const char *name)
{
    for (uint16_t i = 0; deployment && i < deployment->service_count; i++) {
        if (!strcmp(deployment->services[i].name, name)) {
            return &deployment->services[i];
        }
    }
    return NULL;
}

static void
explain_leaving(explanation_t *out, const mv_service_t *service,
                const mv_endpoint_t *endpoint, const mv_endpoint_t *old)
{
    bool same = old && old->leaves_at == endpoint->leaves_at &&
                old->ends_at == endpoint->ends_at;
    if (same) {
        return;
    }
    if (endpoint->leaves_at == 0) {
        g_string_append_printf(out->text, "%s endpoint %s stays\n",
                               service->name, endpoint->name);
        return;
    }
    char *leaves = time_text(endpoint->leaves_at);
    char *ends = endpoint->ends_at ? time_text(endpoint->ends_at) : NULL;
    g_string_append_printf(
        out->text, "%s endpoint %s leaves %s: no new work from then, %s%s\n",
        service->name, endpoint->name, leaves,
        ends ? "flows may end until " : "flows end when they end",
        ends ? ends : "");
    if (endpoint->leaves_at < out->now) {
        char *what = g_strdup_printf("%s endpoint %s: %s is in the past",
                                     service->name, endpoint->name, leaves);
        warn(out, MV_DANGER_PAST_RETIREMENT, what);
        g_free(what);
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
            old ? MvService_Endpoint(old, endpoint->id) : NULL;
        if (!before) {
            g_string_append_printf(out->text,
                                   "%s endpoint %s joins in %s, %u slots\n",
                                   service->name, endpoint->name,
                                   endpoint->data_centre, endpoint->slots);
        }
        if (before || endpoint->leaves_at) {
            explain_leaving(out, service, endpoint, before);
        }
    }
    for (uint16_t i = 0; old && i < old->endpoint_count; i++) {
        const mv_endpoint_t *gone = &old->endpoints[i];
        if (MvService_Endpoint(service, gone->id)) {
            continue;
        }
        g_string_append_printf(out->text, "%s endpoint %s is removed\n",
                               old->name, gone->name);
        if (gone->ends_at == 0 || gone->ends_at > out->now) {
            char *what = g_strdup_printf(
                "%s endpoint %s has not ended; its flows break", old->name,
                gone->name);
            warn(out, MV_DANGER_ENDPOINT_REMOVED, what);
            g_free(what);
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
            "%s: new flows of %u of %u buckets go elsewhere; open flows "
            "stay\n",
            service->name, moved, service->bucket_count);
    }
}

static unsigned
staying_slots(const mv_service_t *service)
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
    const mv_service_t *old = service_by_name(previous, service->name);
    if (!old) {
        g_string_append_printf(
            out->text, "service %s begins: %u endpoints, %u slots\n",
            service->name, service->endpoint_count, staying_slots(service));
    }
    explain_endpoints(out, service, old);
    explain_buckets(out, service, old);
    unsigned slots = staying_slots(service);
    if (slots == 0 && service->ends_at == 0) {
        char *what = g_strdup_printf("no endpoint of %s stays, and the "
                                     "service has no end",
                                     service->name);
        warn(out, MV_DANGER_LAST_ENDPOINT, what);
        g_free(what);
    }
    else if (old && slots * 2 < staying_slots(old)) {
        char *what = g_strdup_printf("%s keeps %u of %u slots", service->name,
                                     slots, staying_slots(old));
        warn(out, MV_DANGER_CAPACITY, what);
        g_free(what);
    }
    for (uint16_t i = 0; previous && i < previous->service_count; i++) {
        const mv_service_t *other = &previous->services[i];
        if (strcmp(other->name, service->name) != 0 &&
            other->address == service->address &&
            other->port == service->port) {
            char *what = g_strdup_printf("the address of %s moves to %s",
                                         other->name, service->name);
            warn(out, MV_DANGER_ADDRESS_MOVES, what);
            g_free(what);
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
        if (service_by_name(next, old->name)) {
            continue;
        }
        char *what = g_strdup_printf("service %s is removed", old->name);
        g_string_append_printf(out.text, "%s\n", what);
        if (old->ends_at == 0 || old->ends_at > now) {
            warn(&out, MV_DANGER_SERVICE_REMOVED, what);
        }
        g_free(what);
    }
    *dangers = out.dangers;
    return g_string_free(out.text, FALSE);
}
