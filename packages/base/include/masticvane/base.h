/**
 * DOC: masticvane base library
 *
 * Small utilities that every other package builds on: time units, intrusive
 * lists, growable byte buffers, histograms, counters, findings (faults of an
 * input with file and line), an INI parser and the event log.  Nothing here
 * opens a socket.  No function prints unless its comment says so.  The process
 * is aborted only when an allocation by GLib fails.  Unless stated otherwise
 * an object belongs to the thread that created it.
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
/** Later than any time, and longer than any duration. */
#define MV_NEVER INT64_MAX

#define MV_CONTAINER_OF(ptr, type, member)                                    \
    ((type *)((char *)(ptr)-offsetof(type, member)))

/* Errors */

#define MV_ERROR (MvError_Quark())

/**
 * enum mv_error - Codes in the MV_ERROR domain.
 * @MV_ERROR_INPUT: the input is malformed
 * @MV_ERROR_LIMIT: a documented limit would be exceeded
 * @MV_ERROR_IO: a system call failed
 * @MV_ERROR_CONFLICT: another change was accepted first
 * @MV_ERROR_UNAVAILABLE: the remote end cannot be reached
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

/** MvList_Init() - Initialise @head as an empty list or an unlinked item. */
void MvList_Init(mv_list_t *head);

/** MvList_IsEmpty() - Whether a list has no items. */
bool MvList_IsEmpty(const mv_list_t *head);

/** MvList_Append() - Link @item at the end of @head. */
void MvList_Append(mv_list_t *head, mv_list_t *item);

/** MvList_InsertBefore() - Link @item in front of @position. */
void MvList_InsertBefore(mv_list_t *position, mv_list_t *item);

/** MvList_Remove() - Unlink @item; removing it twice is harmless. */
void MvList_Remove(mv_list_t *item);

/**
 * MV_LIST_FOREACH() - Iterate over a list; the body may remove @var, but not
 * the item after it.
 */
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
 * Return: true, or false when memory ran out and the buffer is unchanged.
 */
bool MvBuffer_Append(mv_buffer_t *buffer, const void *data, size_t length);

/** MvBuffer_Consume() - Drop the first @length bytes, or all there are. */
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
 * @buckets: number of values in each bucket; 32 buckets for each power of
 *           two, so the relative error of a quantile is at most 1/32 for
 *           values below 2^44
 */
typedef struct mv_histogram {
    uint64_t count;
    double sum;
    int64_t max;
    uint32_t buckets[MV_HISTOGRAM_BUCKETS];
} mv_histogram_t;

/** MvHistogram_Add() - Count @value; negative values count as zero. */
void MvHistogram_Add(mv_histogram_t *histogram, int64_t value);

/** MvHistogram_Quantile() - Quantile @q, from 0 to 1; 0 when empty. */
int64_t MvHistogram_Quantile(const mv_histogram_t *histogram, double q);

/** MvHistogram_Mean() - Arithmetic mean; 0 when empty. */
double MvHistogram_Mean(const mv_histogram_t *histogram);

/** MvHistogram_ToJson() - New reference to {count, mean, p50, p99, max}. */
json_t *MvHistogram_ToJson(const mv_histogram_t *histogram);

/* Counters */

/**
 * enum mv_counter_id - Counters of a node; docs/METRICS.md explains them.
 */
typedef enum mv_counter_id {
#define MV_COUNTER(id, name, text) MV_COUNTER_##id,
#include "masticvane/counters.def"
#undef MV_COUNTER
    MV_COUNTER_COUNT,
} mv_counter_id_t;

/** enum mv_latency_id - Latencies that are kept as histograms. */
typedef enum mv_latency_id {
#define MV_LATENCY(id, name, labels, text) MV_LATENCY_##id,
#include "masticvane/latencies.def"
#undef MV_LATENCY
    MV_LATENCY_COUNT,
} mv_latency_id_t;

/** Buckets of a latency's histogram; the last one has no upper bound. */
#define MV_LATENCY_BUCKETS 18

/**
 * struct mv_counters - Counters and latency histograms; safe from any thread.
 * @value: value of each &enum mv_counter_id
 * @bucket_counts: number of values in each bucket of each latency, not
 * cumulative
 * @sum: sum of the values of each latency, in microseconds
 */
typedef struct mv_counters {
    uint64_t value[MV_COUNTER_COUNT];
    uint64_t bucket_counts[MV_LATENCY_COUNT][MV_LATENCY_BUCKETS];
    uint64_t sum[MV_LATENCY_COUNT];
} mv_counters_t;

/** MvCounters_Add() - Add @n to a counter; safe from any thread. */
void MvCounters_Add(mv_counters_t *counters, mv_counter_id_t id, uint64_t n);

/** MvCounters_Get() - Read a counter; safe from any thread. */
uint64_t MvCounters_Get(const mv_counters_t *counters, mv_counter_id_t id);

/** MvCounters_Name() - Name of a counter in dumps and metrics. */
const char *MvCounters_Name(mv_counter_id_t id);

/** MvCounters_AddLatency() - Record one value; safe from any thread. */
void MvCounters_AddLatency(mv_counters_t *counters, mv_latency_id_t id,
                           mv_time_t value);

/**
 * MvCounters_AddLatencies() - Record the same value @n times; safe from any
 * thread.
 */
void MvCounters_AddLatencies(mv_counters_t *counters, mv_latency_id_t id,
                             mv_time_t value, uint64_t n);

/**
 * MvCounters_Expose() - Append all counters and latencies to @out in the text
 * format of Prometheus; the names begin with "masticvane_".
 */
void MvCounters_Expose(const mv_counters_t *counters, mv_buffer_t *out);

/**
 * MvCounters_ExposeGauge() - Append one gauge in the text format of
 * Prometheus.
 * @name: name without the prefix "masticvane_"
 * @text: help text
 */
void MvCounters_ExposeGauge(mv_buffer_t *out, const char *name,
                            const char *text, double value);

/** MvCounters_ToJson() - New reference to {name: value} of all counters. */
json_t *MvCounters_ToJson(const mv_counters_t *counters);

/* Findings */

/**
 * typedef mv_findings_t - Faults found in an input, in the order in which they
 * were added.
 */
typedef struct mv_findings mv_findings_t;

/** MvFindings_Create() - New empty collection; NULL when memory ran out. */
mv_findings_t *MvFindings_Create(void);

/** MvFindings_Destroy() - Free the collection; NULL is accepted. */
void MvFindings_Destroy(mv_findings_t *findings);

/**
 * MvFindings_Add() - Add a finding, unless the same one is there already.
 * @findings: the collection
 * @file: name of the input
 * @line: line number, 0 for the input as a whole
 * @where: "section.key"
 * @format: what is wrong and what is allowed; a printf format
 */
void MvFindings_Add(mv_findings_t *findings, const char *file, int line,
                    const char *where, const char *format, ...)
    G_GNUC_PRINTF(5, 6);

/** MvFindings_Count() - Number of findings. */
size_t MvFindings_Count(const mv_findings_t *findings);

/**
 * MvFindings_Get() - Text "file:line: section.key: ..." of a finding, owned by
 * @findings.
 */
const char *MvFindings_Get(const mv_findings_t *findings, size_t index);

/** MvFindings_Print() - Write the findings to @out, one on each line. */
void MvFindings_Print(const mv_findings_t *findings, FILE *out);

/* INI */

/**
 * struct mv_ini_entry - One "key = value" of an INI text.
 * @section: the text between the brackets, blanks included
 * @key: the key
 * @value: the value, never NULL
 * @line: line number, from 1
 * @used: true when the entry has been read, see MvIni_ReportUnused()
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
 * MvIni_Parse() - Parse @text.
 * @file: name used in findings
 * @findings: receives a finding for the first syntax error, for each duplicate
 *            key and for each line that is too long
 *
 * Names of sections and keys are truncated to 49 bytes, a limit of inih.
 *
 * Return: the parsed text, to be freed with MvIni_Destroy(); NULL only when
 * memory ran out.
 */
mv_ini_t *MvIni_Parse(const char *file, const char *text,
                      mv_findings_t *findings);

/** MvIni_Destroy() - Free; NULL is accepted. */
void MvIni_Destroy(mv_ini_t *ini);

/** MvIni_File() - @file as given to MvIni_Parse(). */
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
 * Sections without entries are left out.
 *
 * Return: array of char *, owned by @ini; free the array itself with
 * g_ptr_array_unref().
 */
GPtrArray *MvIni_Sections(const mv_ini_t *ini, const char *prefix);

/**
 * MvIni_SectionLine() - Line of the first entry of @section; 0 when it has
 * none.
 */
int MvIni_SectionLine(const mv_ini_t *ini, const char *section);

/**
 * MvIni_Text() - Value of a key.
 * @fallback: returned when the key is absent or empty; NULL makes the key
 *            required
 * @findings: receives a finding when a required key is absent or empty
 *
 * Return: the value, owned by @ini, or @fallback; an empty string instead of
 * a NULL @fallback.
 */
const char *MvIni_Text(mv_ini_t *ini, const char *section, const char *key,
                       const char *fallback, mv_findings_t *findings);

/**
 * MvIni_Number() - Value of a key as a whole number from @low to @high.
 * @findings: receives a finding when the value is no such number
 *
 * Return: the number, or @fallback when the key is absent or its value wrong.
 */
int64_t MvIni_Number(mv_ini_t *ini, const char *section, const char *key,
                     int64_t low, int64_t high, int64_t fallback,
                     mv_findings_t *findings);

/**
 * MvIni_AddFinding() - Add a finding about a key.
 * @problem: what is wrong and what is allowed
 *
 * The finding has the line of the key or, when the key is absent, the line of
 * the section's first entry.
 */
void MvIni_AddFinding(mv_ini_t *ini, const char *section, const char *key,
                      const char *problem, mv_findings_t *findings);

/**
 * MvIni_Address() - Value of a required key as an IPv4 address.
 * @findings: receives a finding when the key is absent or no IPv4 address
 *
 * Return: the address in host byte order, or 0 when absent or wrong.
 */
uint32_t MvIni_Address(mv_ini_t *ini, const char *section, const char *key,
                       mv_findings_t *findings);

/**
 * MvIni_ReportUnused() - Add a finding for every entry that was not read with
 * MvIni_Get() or a function that calls it: its key is unknown.
 */
void MvIni_ReportUnused(const mv_ini_t *ini, mv_findings_t *findings);

/* Log */

/** enum mv_log_level - Severity of an event. */
typedef enum mv_log_level {
    MV_LOG_DEBUG,
    MV_LOG_INFO,
    MV_LOG_WARNING,
    MV_LOG_ERROR,
} mv_log_level_t;

/** enum mv_log_event - Numbers of the events; docs/EVENTS.md explains them. */
typedef enum mv_log_event {
#define MV_EVENT(number, id, level, text) MV_EVENT_##id = (number),
#include "masticvane/events.def"
#undef MV_EVENT
} mv_log_event_t;

/** typedef mv_log_t - A log sink, safe from any thread. */
typedef struct mv_log mv_log_t;

/**
 * MvLog_Create() - Open a log.
 * @path: file to append to; NULL or an empty string for standard output
 * @level: events of a lower level are not logged
 * @error: set when the file cannot be opened or memory ran out
 *
 * Return: the log, to be freed with MvLog_Destroy(); NULL with @error set.
 */
mv_log_t *MvLog_Create(const char *path, mv_log_level_t level, GError **error);

/**
 * MvLog_SetBudget() - Limit the output.
 * @lines_per_second: 0 for no limit
 * @bytes_per_second: 0 for no limit
 *
 * Events over the budget are dropped and counted; those of single flows may
 * use up three quarters of it.  In a later second the next MvLog_Write() or
 * MvLog_Tick() logs their number in a line of its own, which does not use up
 * the budget.
 */
void MvLog_SetBudget(mv_log_t *log, unsigned lines_per_second,
                     unsigned bytes_per_second);

/**
 * MvLog_Tick() - Log the number of lines dropped in an earlier second, if any.
 * @log: the log; NULL is accepted
 */
void MvLog_Tick(mv_log_t *log);

/** MvLog_Destroy() - Close the log; NULL is accepted. */
void MvLog_Destroy(mv_log_t *log);

/**
 * MvLog_Write() - Write one line "time number level text key=value ...".
 * @log: the log; NULL drops the event
 * @event: number of the event
 * @format: "key=value" pairs; a printf format
 *
 * Does not wait for the reader of a pipe: a line that a full pipe does not
 * accept is dropped and counted.  A line is truncated to 2047 bytes.
 */
void MvLog_Write(mv_log_t *log, mv_log_event_t event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#ifdef __cplusplus
}
#endif
#endif
