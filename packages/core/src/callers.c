/* Recent callers, by member, of services that have an end time. */
#include "requests_private.h"

#include <string.h>

/* Maximum number of entries; the least recent one is replaced. */
#define MAX_CALLERS 256

typedef struct caller {
    uint16_t service;
    char name[MV_NAME_MAX];
    uint64_t requests;
    uint64_t refused;
    mv_time_t last;
} caller_t;

/* Member names come from callers and may contain non-printable bytes. */
static void
printable(const char *name, char *text)
{
    g_strlcpy(text, name, MV_NAME_MAX);
    for (char *byte = text; *byte; byte++) {
        *byte = g_ascii_isprint(*byte) ? *byte : '?';
    }
}

static caller_t *
find(GArray *callers, uint16_t service, const char *name)
{
    for (guint i = 0; i < callers->len; i++) {
        caller_t *one = &g_array_index(callers, caller_t, i);
        if (one->service == service && !strcmp(one->name, name)) {
            return one;
        }
    }
    return NULL;
}

static caller_t *
least_recent(GArray *callers)
{
    caller_t *oldest = &g_array_index(callers, caller_t, 0);
    for (guint i = 1; i < callers->len; i++) {
        caller_t *one = &g_array_index(callers, caller_t, i);
        oldest = one->last < oldest->last ? one : oldest;
    }
    return oldest;
}

static caller_t *
add(GArray *callers, uint16_t service, const char *name)
{
    caller_t fresh = {.service = service};
    g_strlcpy(fresh.name, name, sizeof(fresh.name));
    if (callers->len >= MAX_CALLERS) {
        caller_t *reused = least_recent(callers);
        *reused = fresh;
        return reused;
    }
    g_array_append_val(callers, fresh);
    return &g_array_index(callers, caller_t, callers->len - 1);
}

void
MvCallers_Record(GArray **callers, mv_time_t now, uint16_t service,
                 const char *name, bool refused)
{
    char text[MV_NAME_MAX];
    printable(name, text);
    if (!*callers) {
        *callers = g_array_new(FALSE, FALSE, sizeof(caller_t));
    }
    caller_t *one = find(*callers, service, text);
    if (!one) {
        one = add(*callers, service, text);
    }
    one->requests++;
    one->refused += refused;
    one->last = now;
}

json_t *
MvCallers_Dump(const GArray *callers, const mv_deployment_t *deployment,
               mv_time_t now)
{
    json_t *array = json_array();
    for (guint i = 0; callers && i < callers->len; i++) {
        const caller_t *one = &g_array_index(callers, caller_t, i);
        const mv_service_t *service =
            MvDeployment_Find(deployment, one->service);
        if (!service || service->ends_at == 0) {
            continue;
        }
        json_array_append_new(
            array,
            json_pack("{s:s,s:s,s:I,s:I,s:I}", "service", service->name,
                      "member", one->name, "requests",
                      (json_int_t)one->requests, "refused",
                      (json_int_t)one->refused, "last_ms_ago",
                      (json_int_t)((now - one->last) / MV_MILLISECOND)));
    }
    return array;
}
