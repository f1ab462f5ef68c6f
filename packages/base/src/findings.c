#include "masticvane/base.h"

#include <string.h>

struct mv_findings {
    GPtrArray *texts;
};

mv_findings_t *
MvFindings_Create(void)
{
    mv_findings_t *findings = g_try_new0(mv_findings_t, 1);
    if (findings) {
        findings->texts = g_ptr_array_new_with_free_func(g_free);
    }
    return findings;
}

void
MvFindings_Destroy(mv_findings_t *findings)
{
    if (!findings) {
        return;
    }
    g_ptr_array_unref(findings->texts);
    g_free(findings);
}

void
MvFindings_Add(mv_findings_t *findings, const char *file, int line,
               const char *where, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *problem = g_strdup_vprintf(format, args);
    va_end(args);
    char *text = g_strdup_printf("%s:%d: %s: %s", file, line, where, problem);
    g_free(problem);
    for (guint i = 0; i < findings->texts->len; i++) {
        if (!strcmp(g_ptr_array_index(findings->texts, i), text)) {
            g_free(text);
            return;
        }
    }
    g_ptr_array_add(findings->texts, text);
}

size_t
MvFindings_Count(const mv_findings_t *findings)
{
    return findings->texts->len;
}

const char *
MvFindings_Get(const mv_findings_t *findings, size_t index)
{
    return g_ptr_array_index(findings->texts, index);
}

void
MvFindings_Print(const mv_findings_t *findings, FILE *out)
{
    for (size_t i = 0; i < MvFindings_Count(findings); i++) {
        (void)fprintf(out, "%s\n", MvFindings_Get(findings, i));
    }
}
