/**
 * DOC: masticvane base library
 *
 * Small utilities that every other package builds on: time units, intrusive
 * lists, growable byte buffers, histograms, counters, findings with their
 * place, INI reading and the event log.  Nothing here opens a socket.  No
 * function aborts or prints unless its comment says so.  Unless stated
 * otherwise an object belongs to the thread that created it.
 */
#ifndef MASTICVANE_BASE_H
#define MASTICVANE_BASE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/** typedef mv_time_t - A point in time or a duration, in microseconds. */
typedef int64_t mv_time_t;

#define MV_MILLISECOND ((mv_time_t)1000)
#define MV_SECOND (1000 * MV_MILLISECOND)
#define MV_MINUTE (60 * MV_SECOND)
#define MV_NEVER INT64_MAX

#define MV_CONTAINER_OF(ptr, type, member)                                    \
    ((type *)((char *)(ptr)-offsetof(type, member)))

/* Errors */

#define MV_ERROR (MvError_Quark())

/**
 * enum mv_error - Codes in the MV_ERROR domain.
 * @MV_ERROR_INPUT: the input is malformed; the message names the place
 * @MV_ERROR_LIMIT: a stated limit would be exceeded
 * @MV_ERROR_IO: the operating system refused an operation
 * @MV_ERROR_CONFLICT: another change was accepted first
 * @MV_ERROR_UNAVAILABLE: the other side cannot be reached
 * @MV_ERROR_UNKNOWN_OUTCOME: the write may or may not have taken effect
 * @MV_ERROR_NO_MEMORY: an allocation failed
 */
typedef enum mv_error {
    MV_ERROR_INPUT,
    MV_ERROR_LIMIT,
    MV_ERROR_IO,
    MV_ERROR_CONFLICT,
    MV_ERROR_UNAVAILABLE,
    MV_ERROR_UNKNOWN_OUTCOME,
    MV_ERROR_NO_MEMORY,
} mv_error_t;

/** MvError_Quark() - The GError domain of every masticvane library. */
GQuark MvError_Quark(void);

/* Intrusive list */

/**
 * struct mv_list - Link or head of a circular doubly linked list.
 * @next: following link, or the head itself
 * @prev: preceding link, or the head itself
 */
typedef struct mv_list {
    struct mv_list *next;
    struct mv_list *prev;
} mv_list_t;

/** MvList_Init() - Make @head an empty list, or @head an unlinked link. */
void MvList_Init(mv_list_t *head);

/** MvList_IsEmpty() - True when nothing is linked to @head. */
bool MvList_IsEmpty(const mv_list_t *head);

/** MvList_Append() - Link @item at the end of @head. */
void MvList_Append(mv_list_t *head, mv_list_t *item);

/** MvList_InsertBefore() - Link @item in front of @position. */
void MvList_InsertBefore(mv_list_t *position, mv_list_t *item);

/** MvList_Remove() - Unlink @item; removing it twice is harmless. */
void MvList_Remove(mv_list_t *item);

#define MV_LIST_FOREACH(var, head)                                            \
    for (mv_list_t *var = (head)->next, *var##_next = var->next;              \
         var != (head); var = var##_next, var##_next = var->next)

/* Byte buffer */

/**
 * struct mv_buffer - Growable byte string.
 * @data: the bytes, owned by the buffer
 * @length: bytes in use
 * @capacity: bytes allocated
 */
typedef struct mv_buffer {
    uint8_t *data;
    size_t length;
    size_t capacity;
} mv_buffer_t;

/**
 * MvBuffer_Append() - Copy @length bytes to the end.
 *
 * Return: false when memory ran out; the buffer is then unchanged.
 */
bool MvBuffer_Append(mv_buffer_t *buffer, const void *data, size_t length);

/** MvBuffer_Consume() - Drop the first @length bytes. */
void MvBuffer_Consume(mv_buffer_t *buffer, size_t length);

/** MvBuffer_Clear() - Free the bytes; the buffer can be used again. */
void MvBuffer_Clear(mv_buffer_t *buffer);

/* Histogram */

#define MV_HISTOGRAM_SUB_BITS 5
#define MV_HISTOGRAM_BUCKETS (40 << MV_HISTOGRAM_SUB_BITS)

/**
 * struct mv_histogram - Log-linear histogram of non-negative values.
 * @count: number of values
 * @sum: sum of the values
 * @max: largest value
 * @buckets: counts; relative error of a quantile is at most 1/32
 */
typedef struct mv_histogram {
    uint64_t count;
    double sum;
    int64_t max;
    uint32_t buckets[MV_HISTOGRAM_BUCKETS];
} mv_histogram_t;

/** MvHistogram_Add() - Count @value; negative values count as zero. */
void MvHistogram_Add(mv_histogram_t *histogram, int64_t value);

/** MvHistogram_Quantile() - Value below which a share @q of values lies. */
int64_t MvHistogram_Quantile(const mv_histogram_t *histogram, double q);

/** MvHistogram_Mean() - Arithmetic mean, 0 when empty. */
double MvHistogram_Mean(const mv_histogram_t *histogram);

/** MvHistogram_ToJson() - New reference to {count, mean, p50, p99, max}. */
json_t *MvHistogram_ToJson(const mv_histogram_t *histogram);

/* Counters */

/**
 * enum mv_counter_id - Every counter of a node; docs/operators explain them.
 */
typedef enum mv_counter_id {
#define MV_COUNTER(id, name, text) MV_COUNTER_##id,
#include "masticvane/counters.def"
#undef MV_COUNTER
    MV_COUNTER_COUNT,
} mv_counter_id_t;

/** enum mv_latency_id - Every latency that is counted in classes. */
typedef enum mv_latency_id {
#define MV_LATENCY(id, name, labels, text) MV_LATENCY_##id,
#include "masticvane/latencies.def"
#undef MV_LATENCY
    MV_LATENCY_COUNT,
} mv_latency_id_t;

/** Classes of a latency; the last one has no upper bound. */
#define MV_LATENCY_CLASSES 18

/**
 * struct mv_counters - One set of counters, written by one or more threads.
 * @value: one count for each &enum mv_counter_id
 * @classes: values of each latency by class, not cumulative
 * @sum: sum of each latency
 */
typedef struct mv_counters {
    uint64_t value[MV_COUNTER_COUNT];
    uint64_t classes[MV_LATENCY_COUNT][MV_LATENCY_CLASSES];
    uint64_t sum[MV_LATENCY_COUNT];
} mv_counters_t;

/** MvCounters_Add() - Add @n to a counter; safe from any thread. */
void MvCounters_Add(mv_counters_t *counters, mv_counter_id_t id, uint64_t n);

/** MvCounters_Get() - Read a counter; safe from any thread. */
uint64_t MvCounters_Get(const mv_counters_t *counters, mv_counter_id_t id);

/** MvCounters_Name() - Name used in dumps. */
const char *MvCounters_Name(mv_counter_id_t id);

/** MvCounters_AddLatency() - Count one value; safe from any thread. */
void MvCounters_AddLatency(mv_counters_t *counters, mv_latency_id_t id,
                           mv_time_t value);

/** MvCounters_AddLatencies() - Count @n values that are alike. */
void MvCounters_AddLatencies(mv_counters_t *counters, mv_latency_id_t id,
                             mv_time_t value, uint64_t n);

/**
 * MvCounters_Expose() - Append all as text in the exposition format that
 * Prometheus reads, names beginning with "masticvane_".
 */
void MvCounters_Expose(const mv_counters_t *counters, mv_buffer_t *out);

/** MvCounters_ExposeGauge() - Append one gauge. */
void MvCounters_ExposeGauge(mv_buffer_t *out, const char *name,
                            const char *text, double value);

/** MvCounters_ToJson() - New reference to an object of all counters. */
json_t *MvCounters_ToJson(const mv_counters_t *counters);

/* Findings */

/** typedef mv_findings_t - Findings about one input, kept in their order. */
typedef struct mv_findings mv_findings_t;

/** MvFindings_Create() - New empty collection, or NULL without memory. */
mv_findings_t *MvFindings_Create(void);

/** MvFindings_Destroy() - Free the collection; NULL is accepted. */
void MvFindings_Destroy(mv_findings_t *findings);

/**
 * MvFindings_Add() - Record a finding, once.
 * @findings: the collection
 * @file: name of the input
 * @line: line it was found on, 0 for the input as a whole
 * @where: "section.key"
 * @format: what is wrong and what is allowed, as printf
 */
void MvFindings_Add(mv_findings_t *findings, const char *file, int line,
                    const char *where, const char *format, ...)
    G_GNUC_PRINTF(5, 6);

/** MvFindings_Count() - Number of findings. */
size_t MvFindings_Count(const mv_findings_t *findings);

/** MvFindings_Get() - Text "file:line: section.key: ..."; not to be freed. */
const char *MvFindings_Get(const mv_findings_t *findings, size_t index);

/** MvFindings_Print() - Write every finding on its own line to @out. */
void MvFindings_Print(const mv_findings_t *findings, FILE *out);

/* INI */

/**
 * struct mv_ini_entry - One "key = value" of an INI text.
 * @section: name in brackets, without leading or trailing blanks
 * @key: the key
 * @value: the value, never NULL
 * @line: line number, from 1
 * @used: set by a reader that knows the key
 */
typedef struct mv_ini_entry {
    char *section;
    char *key;
    char *value;
    int line;
    bool used;
} mv_ini_entry_t;

/** typedef mv_ini_t - A parsed INI text. */
typedef struct mv_ini mv_ini_t;

/**
 * MvIni_Parse() - Parse @text; syntax errors and duplicates are findings.
 * @file: name used in findings
 *
 * Return: the parsed text, to be freed with MvIni_Destroy(); NULL only when
 * memory ran out.
 */
mv_ini_t *MvIni_Parse(const char *file, const char *text,
                      mv_findings_t *findings);

/** MvIni_Destroy() - Free; NULL is accepted. */
void MvIni_Destroy(mv_ini_t *ini);

/** MvIni_File() - Name given to MvIni_Parse(). */
const char *MvIni_File(const mv_ini_t *ini);

/** MvIni_Count() - Number of entries. */
size_t MvIni_Count(const mv_ini_t *ini);

/** MvIni_At() - Entry by position, in the order of the text. */
mv_ini_entry_t *MvIni_At(mv_ini_t *ini, size_t index);

/** MvIni_Get() - Entry by name, marked as used; NULL when absent. */
mv_ini_entry_t *MvIni_Get(mv_ini_t *ini, const char *section, const char *key);

/**
 * MvIni_Sections() - Names of all sections that start with @prefix.
 *
 * Return: array of char *, to be freed with g_ptr_array_unref().
 */
GPtrArray *MvIni_Sections(const mv_ini_t *ini, const char *prefix);

/** MvIni_SectionLine() - Line of the first entry of @section, or 0. */
int MvIni_SectionLine(const mv_ini_t *ini, const char *section);

/**
 * MvIni_Text() - Value of a key; a missing required key is a finding.
 *
 * Return: the value, owned by @ini, or @fallback.  A NULL @fallback makes
 * the key required.
 */
const char *MvIni_Text(mv_ini_t *ini, const char *section, const char *key,
                       const char *fallback, mv_findings_t *findings);

/**
 * MvIni_Number() - Whole number in [@low, @high]; otherwise a finding.
 *
 * Return: the number, or @fallback when absent or wrong.
 */
int64_t MvIni_Number(mv_ini_t *ini, const char *section, const char *key,
                     int64_t low, int64_t high, int64_t fallback,
                     mv_findings_t *findings);

/** MvIni_Complain() - Make a finding of a key, at its line or its section's.
 */
void MvIni_Complain(mv_ini_t *ini, const char *section, const char *key,
                    const char *what, mv_findings_t *findings);

/**
 * MvIni_Address() - IPv4 address in host byte order; otherwise a finding.
 *
 * Return: the address, or 0 when absent or wrong.
 */
uint32_t MvIni_Address(mv_ini_t *ini, const char *section, const char *key,
                       mv_findings_t *findings);

/** MvIni_ReportUnused() - Make a finding of every entry nobody read. */
void MvIni_ReportUnused(const mv_ini_t *ini, mv_findings_t *findings);

/* Log */

/** enum mv_log_level - Severity of an event. */
typedef enum mv_log_level {
    MV_LOG_DEBUG,
    MV_LOG_INFO,
    MV_LOG_WARNING,
    MV_LOG_ERROR,
} mv_log_level_t;

/** enum mv_log_event - Numbered events; docs/EVENTS.md is the catalogue. */
typedef enum mv_log_event {
#define MV_EVENT(number, id, level, text) MV_EVENT_##id = (number),
#include "masticvane/events.def"
#undef MV_EVENT
} mv_log_event_t;

/** typedef mv_log_t - A log sink, safe from any thread. */
typedef struct mv_log mv_log_t;

/**
 * MvLog_Create() - Log to @path, or to standard output when it is NULL.
 * @level: events below it are left out
 *
 * Return: the log, to be freed with MvLog_Destroy(); NULL with @error set.
 */
mv_log_t *MvLog_Create(const char *path, mv_log_level_t level, GError **error);

/**
 * MvLog_SetBudget() - Write so much a second at most, 0 for all.
 *
 * What is left out is counted and said once a second, by the next line or
 * MvLog_Tick().
 */
void MvLog_SetBudget(mv_log_t *log, unsigned lines_per_second,
                     unsigned bytes_per_second);

/** MvLog_Tick() - Say what was left out in a second that is over. */
void MvLog_Tick(mv_log_t *log);

/** MvLog_Destroy() - Close the log; NULL is accepted. */
void MvLog_Destroy(mv_log_t *log);

/**
 * MvLog_Write() - Write one line "time number level text key=value ...".
 *
 * Never waits: a line that a full pipe does not take is lost and counted.
 * @log: the log; NULL drops the event
 * @event: what happened
 * @format: "key=value" pairs, as printf
 */
void MvLog_Write(mv_log_t *log, mv_log_event_t event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#ifdef __cplusplus
}
#endif
#endif
