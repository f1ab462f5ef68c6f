#include "masticvane/base.h"

#include <inttypes.h>
#include <string.h>

static const char *const counter_names[] = {
#define MV_COUNTER(id, name, text) [MV_COUNTER_##id] = (name),
#include "masticvane/counters.def"
#undef MV_COUNTER
};

void
MvCounters_Add(mv_counters_t *counters, mv_counter_id_t id, uint64_t n)
{
    __atomic_fetch_add(&counters->value[id], n, __ATOMIC_RELAXED);
}

uint64_t
MvCounters_Get(const mv_counters_t *counters, mv_counter_id_t id)
{
    return __atomic_load_n(&counters->value[id], __ATOMIC_RELAXED);
}

const char *
MvCounters_Name(mv_counter_id_t id)
{
    return counter_names[id];
}

json_t *
MvCounters_ToJson(const mv_counters_t *counters)
{
    json_t *object = json_object();
    for (unsigned i = 0; i < MV_COUNTER_COUNT; i++) {
        json_object_set_new(
            object, counter_names[i],
            json_integer((json_int_t)MvCounters_Get(counters, i)));
    }
    return object;
}

/* Text format of Prometheus */

#define LINE_BYTES 256

static const char *const counter_texts[] = {
#define MV_COUNTER(id, name, text) [MV_COUNTER_##id] = (text),
#include "masticvane/counters.def"
#undef MV_COUNTER
};

typedef struct latency_text {
    const char *name;
    const char *labels;
    const char *text;
} latency_text_t;

static const latency_text_t latency_texts[] = {
#define MV_LATENCY(id, name, labels, text)                                    \
    [MV_LATENCY_##id] = {(name), (labels), (text)},
#include "masticvane/latencies.def"
#undef MV_LATENCY
};

/* Upper bounds of a latency's buckets, inclusive. */
static const mv_time_t bucket_bounds[MV_LATENCY_BUCKETS] = {
    10,
    20,
    50,
    100,
    200,
    500,
    MV_MILLISECOND,
    2 * MV_MILLISECOND,
    5 * MV_MILLISECOND,
    10 * MV_MILLISECOND,
    20 * MV_MILLISECOND,
    50 * MV_MILLISECOND,
    100 * MV_MILLISECOND,
    200 * MV_MILLISECOND,
    500 * MV_MILLISECOND,
    MV_SECOND,
    5 * MV_SECOND,
    MV_NEVER,
};

void
MvCounters_AddLatencies(mv_counters_t *counters, mv_latency_id_t id,
                        mv_time_t value, uint64_t n)
{
    unsigned bucket = 0;
    while (value > bucket_bounds[bucket]) {
        bucket++;
    }
    __atomic_fetch_add(&counters->bucket_counts[id][bucket], n,
                       __ATOMIC_RELAXED);
    __atomic_fetch_add(&counters->sum[id], n * (uint64_t)MAX(value, 0),
                       __ATOMIC_RELAXED);
}

void
MvCounters_AddLatency(mv_counters_t *counters, mv_latency_id_t id,
                      mv_time_t value)
{
    MvCounters_AddLatencies(counters, id, value, 1);
}

static void G_GNUC_PRINTF(2, 3)
    append_line(mv_buffer_t *out, const char *format, ...)
{
    char line[LINE_BYTES];
    va_list args;
    va_start(args, format);
    int length = vsnprintf(line, sizeof(line), format, args);
    va_end(args);
    MvBuffer_Append(out, line, (size_t)MIN(length, LINE_BYTES - 1));
}

/* Latencies that differ only in their labels share a header. */
static void
expose_latency_header(unsigned id, mv_buffer_t *out)
{
    const latency_text_t *latency = &latency_texts[id];
    if (id > 0 && !strcmp(latency->name, latency_texts[id - 1].name)) {
        return;
    }
    append_line(out, "# HELP masticvane_%s_seconds %s\n", latency->name,
                latency->text);
    append_line(out, "# TYPE masticvane_%s_seconds histogram\n",
                latency->name);
}

static void
expose_latency(const mv_counters_t *counters, unsigned id, mv_buffer_t *out)
{
    const latency_text_t *latency = &latency_texts[id];
    const char *comma = *latency->labels ? "," : "";
    char labels[LINE_BYTES / 2] = "";
    uint64_t count = 0;
    expose_latency_header(id, out);
    for (unsigned i = 0; i < MV_LATENCY_BUCKETS; i++) {
        char bound[32] = "+Inf";
        count +=
            __atomic_load_n(&counters->bucket_counts[id][i], __ATOMIC_RELAXED);
        if (bucket_bounds[i] != MV_NEVER) {
            (void)snprintf(bound, sizeof(bound), "%g",
                           (double)bucket_bounds[i] / MV_SECOND);
        }
        append_line(
            out, "masticvane_%s_seconds_bucket{%s%sle=\"%s\"} %" PRIu64 "\n",
            latency->name, latency->labels, comma, bound, count);
    }
    if (*latency->labels) {
        (void)snprintf(labels, sizeof(labels), "{%s}", latency->labels);
    }
    uint64_t sum = __atomic_load_n(&counters->sum[id], __ATOMIC_RELAXED);
    append_line(out, "masticvane_%s_seconds_sum%s %.6f\n", latency->name,
                labels, (double)sum / MV_SECOND);
    append_line(out, "masticvane_%s_seconds_count%s %" PRIu64 "\n",
                latency->name, labels, count);
}

void
MvCounters_Expose(const mv_counters_t *counters, mv_buffer_t *out)
{
    for (unsigned i = 0; i < MV_COUNTER_COUNT; i++) {
        append_line(out, "# HELP masticvane_%s_total %s\n", counter_names[i],
                    counter_texts[i]);
        append_line(out, "# TYPE masticvane_%s_total counter\n",
                    counter_names[i]);
        append_line(out, "masticvane_%s_total %" PRIu64 "\n", counter_names[i],
                    MvCounters_Get(counters, i));
    }
    for (unsigned i = 0; i < MV_LATENCY_COUNT; i++) {
        expose_latency(counters, i, out);
    }
}

void
MvCounters_ExposeGauge(mv_buffer_t *out, const char *name, const char *text,
                       double value)
{
    append_line(out, "# HELP masticvane_%s %s\n", name, text);
    append_line(out, "# TYPE masticvane_%s gauge\n", name);
    append_line(out, "masticvane_%s %g\n", name, value);
}
