/**
 * DOC: Reports passed from one thread to another.
 *
 * A lock-free stack: any thread pushes, one thread takes all reports at once.
 * Their order does not matter.  A lost report only delays its information
 * until the next one.
 */
#ifndef MASTICVANED_TAGS_REPORTS_H
#define MASTICVANED_TAGS_REPORTS_H

#include "masticvane/tags.h"

/**
 * struct mv_report - One node's report to the other nodes of its data centre.
 * @next: report that was pushed before it, or NULL
 * @from: id of the reporting node, MV_NO_NODE for this one
 * @to: node to which @openings go, MV_NO_NODE for all
 * @record_count: entries in @records
 * @records: failed requests at backend servers, as in a message of kind
 *           MV_MESSAGE_SERVERS
 * @offer_count: entries in @offers
 * @offers: servers of flows that have not opened yet
 * @opening_count: entries in @openings
 * @openings: servers at which flows have opened
 * @wants_openings: the reporting node has just started and asks for them
 */
typedef struct mv_report {
    struct mv_report *next;
    mv_node_id_t from;
    mv_node_id_t to;
    size_t record_count;
    mv_load_record_t *records;
    size_t offer_count;
    mv_flow_offer_t *offers;
    size_t opening_count;
    mv_flow_offer_t *openings;
    bool wants_openings;
} mv_report_t;

/**
 * MvReports_Push() - Push a copy of @report, with its arrays, onto @stack.
 * @report: its @next is ignored
 */
void MvReports_Push(mv_report_t **stack, const mv_report_t *report);

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
