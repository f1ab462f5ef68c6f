/* status: endpoints that leave and callers of services that end, summed over
 * the entry VMs. */
#include "command.h"

#include <string.h>

#define MAX_FLOWS_PRINTED 8u

static json_int_t
get_number(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static const char *
get_text(const json_t *object, const char *key)
{
    const char *value = json_string_value(json_object_get(object, key));
    return value ? value : "";
}

/* Returns the entry of @array whose values of the keys @first and @second
 * equal those of @report; adds it when there is none. */
static json_t *
find_or_add(json_t *array, const json_t *report, const char *first,
            const char *second)
{
    size_t i;
    json_t *entry;
    json_array_foreach(array, i, entry)
    {
        if (!strcmp(get_text(entry, first), get_text(report, first)) &&
            !strcmp(get_text(entry, second), get_text(report, second))) {
            return entry;
        }
    }
    entry = json_pack("{s:s,s:s}", first, get_text(report, first), second,
                      get_text(report, second));
    json_array_append_new(array, entry);
    return entry;
}

static void
add_number(json_t *entry, const json_t *report, const char *key)
{
    json_object_set_new(
        entry, key,
        json_integer(get_number(entry, key) + get_number(report, key)));
}

static void
add_flows(json_t *entry, const json_t *report, mv_node_id_t node)
{
    json_t *flows = json_object_get(entry, "flows");
    size_t i;
    json_t *flow;
    if (!flows) {
        flows = json_array();
        json_object_set_new(entry, "flows", flows);
    }
    json_array_foreach(json_object_get(report, "flows"), i, flow)
    {
        json_t *copy = json_copy(flow);
        json_object_set_new(copy, "node", json_integer(node));
        json_array_append_new(flows, copy);
    }
}

static void
add_retirement(json_t *retirements, const json_t *report, mv_node_id_t node)
{
    json_t *entry = find_or_add(retirements, report, "service", "endpoint");
    add_number(entry, report, "flows_here");
    add_flows(entry, report, node);
    /* Only the entry VM that decides about the service receives the flow
     * counts of all others; its values replace those of other reports. */
    if (json_is_true(json_object_get(report, "decides")) ||
        !json_object_get(entry, "step")) {
        static const char *const keys[] = {
            "step",    "late",    "leaves_at",      "ends_at",
            "buckets", "step_ms", "unnamed_buckets"};
        for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
            json_object_set(entry, keys[i], json_object_get(report, keys[i]));
        }
    }
}

static void
add_caller(json_t *callers, const json_t *report)
{
    json_t *entry = find_or_add(callers, report, "service", "member");
    json_int_t last = get_number(report, "last_ms_ago");
    bool first = json_object_get(entry, "last_ms_ago") == NULL;
    add_number(entry, report, "requests");
    add_number(entry, report, "refused");
    if (first || last < get_number(entry, "last_ms_ago")) {
        json_object_set_new(entry, "last_ms_ago", json_integer(last));
    }
}

json_t *
MvRetirements_Sum(const mv_node_status_t *nodes, size_t count)
{
    json_t *retirements = json_array();
    json_t *callers = json_array();
    for (size_t n = 0; n < count; n++) {
        size_t i;
        json_t *report;
        json_array_foreach(json_object_get(nodes[n].state, "retirements"), i,
                           report)
        {
            add_retirement(retirements, report, nodes[n].id);
        }
        const json_t *requests = json_object_get(nodes[n].state, "requests");
        json_array_foreach(json_object_get(requests, "last_callers"), i,
                           report)
        {
            add_caller(callers, report);
        }
    }
    return json_pack("{s:o,s:o}", "retirements", retirements, "last_callers",
                     callers);
}

static void
print_time(const char *label, json_int_t seconds)
{
    if (seconds == 0) {
        return;
    }
    GDateTime *time = g_date_time_new_from_unix_utc(seconds);
    char *formatted = g_date_time_format(time, "%Y-%m-%d %H:%M:%SZ");
    (void)printf("  %s %s", label, formatted);
    g_free(formatted);
    g_date_time_unref(time);
}

static void
print_flows(const json_t *flows)
{
    size_t i;
    const json_t *flow;
    json_array_foreach(flows, i, flow)
    {
        if (i >= MAX_FLOWS_PRINTED) {
            (void)printf("    more flows are listed with --json\n");
            return;
        }
        (void)printf("    flow of %s, silent for %.1f s, at node %d\n",
                     get_text(flow, "caller"),
                     (double)get_number(flow, "idle_ms") / 1000,
                     (int)get_number(flow, "node"));
    }
}

void
MvRetirements_Print(const json_t *sum)
{
    size_t i;
    const json_t *entry;
    json_array_foreach(json_object_get(sum, "retirements"), i, entry)
    {
        (void)printf("%s %s  %s%s", get_text(entry, "service"),
                     get_text(entry, "endpoint"), get_text(entry, "step"),
                     json_is_true(json_object_get(entry, "late")) ? " LATE"
                                                                  : "");
        print_time("leaves", get_number(entry, "leaves_at"));
        print_time("ends", get_number(entry, "ends_at"));
        (void)printf("  buckets for new flows %d  flows by name %d\n",
                     (int)get_number(entry, "buckets"),
                     (int)get_number(entry, "flows_here"));
        print_flows(json_object_get(entry, "flows"));
    }
    json_array_foreach(json_object_get(sum, "last_callers"), i, entry)
    {
        const char *member = get_text(entry, "member");
        (void)printf("%s ends; called by %s: %d requests, %d refused, last "
                     "%.1f s ago\n",
                     get_text(entry, "service"),
                     *member ? member : "(not stated)",
                     (int)get_number(entry, "requests"),
                     (int)get_number(entry, "refused"),
                     (double)get_number(entry, "last_ms_ago") / 1000);
    }
}
