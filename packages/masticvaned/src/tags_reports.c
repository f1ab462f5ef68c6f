/* Reports passed from one thread to another. */
#include "tags_reports.h"

void
MvReports_Push(mv_report_t **stack, const mv_report_t *report)
{
    mv_report_t *copy = g_memdup2(report, sizeof(*report));
    copy->records = g_memdup2(report->records,
                              report->record_count * sizeof(*report->records));
    copy->offers = g_memdup2(report->offers,
                             report->offer_count * sizeof(*report->offers));
    copy->openings = g_memdup2(
        report->openings, report->opening_count * sizeof(*report->openings));
    copy->next = __atomic_load_n(stack, __ATOMIC_RELAXED);
    while (!__atomic_compare_exchange_n(stack, &copy->next, copy, true,
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
    g_free(report->records);
    g_free(report->offers);
    g_free(report->openings);
    g_free(report);
    return next;
}
