/* status: what is being wound down, summed over the entry VMs. */
#include "command.h"

#include <string.h>

#define LATE_FLOWS_PRINTED 8u

static json_int_t
number(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static const char *
text(const json_t *object, const char *key)
{
    const char *value = json_string_value(json_object_get(object, key));
    return value ? value : "";
}

/* The entry of @array that agrees with @one in both keys, made if missing. */
static json_t *
entry_for(json_t *array, const json_t *one, const char *first,
          const char *second)
{
    size_t i;
    json_t *entry;
    json_array_foreach(array, i, entry)
    {
        if (!strcmp(text(entry, first), text(one, first)) &&
            !strcmp(text(entry, second), text(one, second))) {
            return entry;
        }
    }
    entry = json_pack("{s:s,s:s}", first, text(one, first), second,
                      text(one, second));
    json_array_append_new(array, entry);
    return entry;
}

static void
add_number(json_t *entry, const json_t *one, const char *key)
{
    json_object_set_new(entry, key,
                        json_integer(number(entry, key) + number(one, key)));
}

static void
add_flows(json_t *entry, const json_t *one, mv_node_id_t node)
{
    json_t *flows = json_object_get(entry, "flows");
    size_t i;
    json_t *flow;
    if (!flows) {
        flows = json_array();
        json_object_set_new(entry, "flows", flows);
    }
    json_array_foreach(json_object_get(one, "flows"), i, flow)
    {
        json_t *copy = json_copy(flow);
        json_object_set_new(copy, "node", json_integer(node));
        json_array_append_new(flows, copy);
    }
}

static void
add_retirement(json_t *retirements, const json_t *one, mv_node_id_t node)
{
    json_t *entry = entry_for(retirements, one, "service", "endpoint");
    add_number(entry, one, "flows_here");
    add_flows(entry, one, node);
    /* One entry VM has the reports of all. */
    if (json_is_true(json_object_get(one, "decides")) ||
        !json_object_get(entry, "step")) {
        static const char *const keys[] = {
            "step",    "late",    "leaves_at",      "ends_at",
            "buckets", "step_ms", "unnamed_buckets"};
        for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
            json_object_set(entry, keys[i], json_object_get(one, keys[i]));
        }
    }
}

static void
add_caller(json_t *callers, const json_t *one)
{
    json_t *entry = entry_for(callers, one, "service", "member");
    json_int_t last = number(one, "last_ms_ago");
    bool first = json_object_get(entry, "last_ms_ago") == NULL;
    add_number(entry, one, "requests");
    add_number(entry, one, "refused");
    if (first || last < number(entry, "last_ms_ago")) {
        json_object_set_new(entry, "last_ms_ago", json_integer(last));
    }
}

json_t *
MvWinding_Sum(const mv_node_status_t *nodes, size_t count)
{
    json_t *retirements = json_array();
    json_t *callers = json_array();
    for (size_t n = 0; n < count; n++) {
        size_t i;
        json_t *one;
        json_array_foreach(json_object_get(nodes[n].state, "retirements"), i,
                           one)
        {
            add_retirement(retirements, one, nodes[n].id);
        }
        const json_t *requests = json_object_get(nodes[n].state, "requests");
        json_array_foreach(json_object_get(requests, "last_callers"), i, one)
        {
            add_caller(callers, one);
        }
    }
    return json_pack("{s:o,s:o}", "retirements", retirements, "last_callers",
                     callers);
}

static void
print_time(const char *word, json_int_t seconds)
{
    if (seconds == 0) {
        return;
    }
    GDateTime *time = g_date_time_new_from_unix_utc(seconds);
    char *formatted = g_date_time_format(time, "%Y-%m-%d %H:%M:%SZ");
    (void)printf("  %s %s", word, formatted);
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
        if (i >= LATE_FLOWS_PRINTED) {
            (void)printf("    and more; see --json\n");
            return;
        }
        (void)printf("    flow of %s, silent for %.1f s, at node %d\n",
                     text(flow, "caller"),
                     (double)number(flow, "idle_ms") / 1000,
                     (int)number(flow, "node"));
    }
}

void
MvWinding_Print(const json_t *sum)
{
    size_t i;
    const json_t *one;
    json_array_foreach(json_object_get(sum, "retirements"), i, one)
    {
        (void)printf("%s %s  %s%s", text(one, "service"),
                     text(one, "endpoint"), text(one, "step"),
                     json_is_true(json_object_get(one, "late")) ? " LATE"
                                                                : "");
        print_time("leaves", number(one, "leaves_at"));
        print_time("ends", number(one, "ends_at"));
        (void)printf("  buckets for new flows %d  flows by name %d\n",
                     (int)number(one, "buckets"),
                     (int)number(one, "flows_here"));
        print_flows(json_object_get(one, "flows"));
    }
    json_array_foreach(json_object_get(sum, "last_callers"), i, one)
    {
        const char *member = text(one, "member");
        (void)printf("%s ends; called by %s: %d requests, %d refused, last "
                     "%.1f s ago\n",
                     text(one, "service"), *member ? member : "(not stated)",
                     (int)number(one, "requests"), (int)number(one, "refused"),
                     (double)number(one, "last_ms_ago") / 1000);
    }
}
