/* Server reports passed from one thread to another. */
#include "tags_reports.h"

#include <string.h>

void
MvReports_Push(mv_report_t **stack, mv_node_id_t from,
               const mv_load_record_t *records, size_t count)
{
    mv_report_t *report = g_malloc(sizeof(*report) + count * sizeof(*records));
    report->from = from;
    report->count = count;
    memcpy(report->records, records, count * sizeof(*records));
    report->next = __atomic_load_n(stack, __ATOMIC_RELAXED);
    while (!__atomic_compare_exchange_n(stack, &report->next, report, true,
                                        __ATOMIC_RELEASE, __ATOMIC_RELAXED)) {
    }
}

mv_report_t *
MvReports_TakeAll(mv_report_t **stack)
{
    return __atomic_exchange_n(stack, NULL, __ATOMIC_ACQ_REL);
}

mv_report_t *
MvReports_Free(mv_report_t *report)
{
    mv_report_t *next = report->next;
    g_free(report);
    return next;
}
