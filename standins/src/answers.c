#include "answers.h"

mv_deployment_t *
Standin_ReadAnswers(const char *path)
{
    char *text = NULL;
    mv_findings_t *findings = MvFindings_Create();
    mv_deployment_t *deployment = NULL;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        deployment = MvAnswers_Parse(path, text, 0, findings);
        if (deployment) {
            MvDeployment_Generate(deployment, NULL, 0, "standin");
        }
    }
    MvFindings_Print(findings, stderr);
    MvFindings_Destroy(findings);
    g_free(text);
    return deployment;
}
