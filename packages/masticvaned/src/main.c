/* masticvaned: the balancer daemon of one entry VM. */
#include "daemon.h"
#include "tags_mode.h"

#include <apr_general.h>
#include <sodium.h>
#include <stdlib.h>

#define EXIT_USAGE 2

static int
run_mode(const mv_settings_t *settings, mv_log_t *log, GError **error)
{
    if (settings->forwarding == MV_FORWARDING_TAGS) {
        return MvTagsControl_Run(settings, log, error);
    }
    mv_daemon_t daemon = {
        .settings = settings, .log = log, .started_at = g_get_real_time()};
    pthread_mutex_init(&daemon.dump_lock, NULL);
    int status = MvControl_Run(&daemon, error);
    free(daemon.proxy_dump);
    return status;
}

static int
run(const mv_settings_t *settings)
{
    GError *error = NULL;
    int status = 1;
    mv_log_t *log =
        MvLog_Create(settings->log_file, settings->log_level, &error);
    if (log) {
        MvLog_SetBudget(log, settings->line_budget, settings->byte_budget);
        status = run_mode(settings, log, &error);
    }
    if (error) {
        (void)fprintf(stderr, "masticvaned: %s\n", error->message);
    }
    g_clear_error(&error);
    MvLog_Destroy(log);
    return status;
}

int
main(int argc, char **argv)
{
    char *path = NULL;
    gboolean check = FALSE;
    GError *error = NULL;
    const GOptionEntry options[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &path, "settings file",
         "FILE"},
        {"check", 0, 0, G_OPTION_ARG_NONE, &check,
         "check the settings and exit", NULL},
        {0},
    };
    GOptionContext *context =
        g_option_context_new("- layer-4 load balancer on one entry VM");
    g_option_context_add_main_entries(context, options, NULL);
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed || !path || argc > 1) {
        (void)fprintf(stderr, "masticvaned: %s; see --help\n",
                      error ? error->message : "--config FILE is required");
        g_clear_error(&error);
        return EXIT_USAGE;
    }
    if (sodium_init() < 0 || apr_initialize() != APR_SUCCESS) {
        (void)fprintf(stderr, "masticvaned: sodium/APR init failed\n");
        return 1;
    }
    mv_findings_t *findings = MvFindings_Create();
    mv_settings_t *settings = MvSettings_Load(path, findings);
    int status = EXIT_USAGE;
    MvFindings_Print(findings, stderr);
    if (settings) {
        status = check ? 0 : run(settings);
    }
    MvFindings_Destroy(findings);
    MvSettings_Destroy(settings);
    g_free(path);
    apr_terminate();
    return status;
}
