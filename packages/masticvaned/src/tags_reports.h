/**
 * DOC: Server reports passed from one thread to another.
 *
 * A lock-free stack: any thread pushes, one thread takes all reports at once.
 * Their order does not matter.  A lost report only delays its information
 * until the next one.
 */
#ifndef MASTICVANED_TAGS_REPORTS_H
#define MASTICVANED_TAGS_REPORTS_H

#include "masticvane/core.h"

/**
 * struct mv_report - One node's report of failed requests at backend servers.
 * @next: report that was pushed before it, or NULL
 * @from: id of the reporting node, MV_NO_NODE for this one
 * @count: entries in @records
 * @records: as in a message of kind MV_MESSAGE_SERVERS
 */
typedef struct mv_report {
    struct mv_report *next;
    mv_node_id_t from;
    size_t count;
    mv_load_record_t records[];
} mv_report_t;

/** MvReports_Push() - Push a report with a copy of @records onto @stack. */
void MvReports_Push(mv_report_t **stack, mv_node_id_t from,
                    const mv_load_record_t *records, size_t count);

/**
 * MvReports_TakeAll() - Empty @stack.
 *
 * Return: the newest report, linked to the older ones by @next, or NULL.
 */
mv_report_t *MvReports_TakeAll(mv_report_t **stack);

/**
 * MvReports_Free() - Free one report.
 *
 * Return: the report that was pushed before it, or NULL.
 */
mv_report_t *MvReports_Free(mv_report_t *report);

#endif
