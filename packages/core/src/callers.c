/* Members that recently called services that have an end time. */
#include "requests_private.h"

#include <string.h>

/* Maximum number of entries; the one with the oldest call is replaced. */
#define MAX_CALLERS 256

typedef struct caller {
    uint16_t service;
    char name[MV_NAME_MAX];
    uint64_t requests;
    uint64_t refused;
    mv_time_t last_call;
} caller_t;

/* Copies a member name; non-printable bytes, which a caller may send, become
 * '?'. */
static void
copy_printable(const char *name, char *printable)
{
    g_strlcpy(printable, name, MV_NAME_MAX);
    for (char *byte = printable; *byte; byte++) {
        *byte = g_ascii_isprint(*byte) ? *byte : '?';
    }
}

static caller_t *
find_caller(GArray *callers, uint16_t service, const char *name)
{
    for (guint i = 0; i < callers->len; i++) {
        caller_t *caller = &g_array_index(callers, caller_t, i);
        if (caller->service == service && !strcmp(caller->name, name)) {
            return caller;
        }
    }
    return NULL;
}

static caller_t *
find_least_recent(GArray *callers)
{
    caller_t *least_recent = &g_array_index(callers, caller_t, 0);
    for (guint i = 1; i < callers->len; i++) {
        caller_t *caller = &g_array_index(callers, caller_t, i);
        least_recent = caller->last_call < least_recent->last_call
                           ? caller
                           : least_recent;
    }
    return least_recent;
}

static caller_t *
add_caller(GArray *callers, uint16_t service, const char *name)
{
    caller_t caller = {.service = service};
    g_strlcpy(caller.name, name, sizeof(caller.name));
    if (callers->len >= MAX_CALLERS) {
        caller_t *replaced = find_least_recent(callers);
        *replaced = caller;
        return replaced;
    }
    g_array_append_val(callers, caller);
    return &g_array_index(callers, caller_t, callers->len - 1);
}

void
MvCallers_Record(GArray **callers, mv_time_t now, uint16_t service,
                 const char *name, bool refused)
{
    char printable[MV_NAME_MAX];
    copy_printable(name, printable);
    if (!*callers) {
        *callers = g_array_new(FALSE, FALSE, sizeof(caller_t));
    }
    caller_t *caller = find_caller(*callers, service, printable);
    if (!caller) {
        caller = add_caller(*callers, service, printable);
    }
    caller->requests++;
    caller->refused += refused;
    caller->last_call = now;
}

json_t *
MvCallers_Dump(const GArray *callers, const mv_deployment_t *deployment,
               mv_time_t now)
{
    json_t *array = json_array();
    for (guint i = 0; callers && i < callers->len; i++) {
        const caller_t *caller = &g_array_index(callers, caller_t, i);
        const mv_service_t *service =
            MvDeployment_FindService(deployment, caller->service);
        if (!service || service->ends_at == 0) {
            continue;
        }
        json_array_append_new(
            array,
            json_pack(
                "{s:s,s:s,s:I,s:I,s:I}", "service", service->name, "member",
                caller->name, "requests", (json_int_t)caller->requests,
                "refused", (json_int_t)caller->refused, "last_ms_ago",
                (json_int_t)((now - caller->last_call) / MV_MILLISECOND)));
    }
    return array;
}
