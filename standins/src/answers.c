#include "answers.h"

mv_deployment_t *
Standin_ReadAnswers(const char *path)
{
    char *text = NULL;
    mv_findings_t *findings = MvFindings_Create();
    mv_deployment_t *answers = NULL;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        answers = MvAnswers_Parse(path, text, 0, findings);
        if (answers) {
            MvDeployment_Generate(answers, NULL, 0, "standin");
        }
    }
    MvFindings_Print(findings, stderr);
    MvFindings_Destroy(findings);
    g_free(text);
    return answers;
}
