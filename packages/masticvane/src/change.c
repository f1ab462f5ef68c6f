/* ask, check, plan and confirm. */
#include "command.h"

#include <stdlib.h>
#include <string.h>

#define STORE_TIMEOUT (5 * MV_SECOND)
#define READ_BACK_TIMEOUT (30 * MV_SECOND)
#define POLL_INTERVAL_US 100000

static int64_t
unix_now(void)
{
    return g_get_real_time() / MV_SECOND;
}

int
MvCommand_Ask(const mv_options_t *options, int argc, char **argv)
{
    (void)options;
    (void)argc;
    (void)argv;
    char *text = MvAnswers_Template();
    (void)fputs(text, stdout);
    g_free(text);
    return MV_EXIT_OK;
}

static void
print_findings(const mv_options_t *options, const mv_findings_t *findings)
{
    if (!options->json) {
        MvFindings_Print(findings, stderr);
        return;
    }
    json_t *array = json_array();
    for (size_t i = 0; i < MvFindings_Count(findings); i++) {
        json_array_append_new(array, json_string(MvFindings_Get(findings, i)));
    }
    json_dumpf(array, stdout, JSON_INDENT(2));
    (void)fputs("\n", stdout);
    json_decref(array);
}

static mv_deployment_t *
read_answers(const mv_options_t *options, int argc, char **argv)
{
    char *text = NULL;
    GError *error = NULL;
    if (argc != 1) {
        (void)fprintf(stderr, "masticvane: one answers file is required\n");
        return NULL;
    }
    if (!g_file_get_contents(argv[0], &text, NULL, &error)) {
        (void)fprintf(stderr, "masticvane: %s\n", error->message);
        g_clear_error(&error);
        return NULL;
    }
    mv_findings_t *findings = MvFindings_Create();
    mv_deployment_t *answers =
        MvAnswers_Parse(argv[0], text, unix_now(), findings);
    if (!answers) {
        print_findings(options, findings);
    }
    MvFindings_Destroy(findings);
    g_free(text);
    return answers;
}

int
MvCommand_Check(const mv_options_t *options, int argc, char **argv)
{
    mv_deployment_t *answers = read_answers(options, argc, argv);
    if (!answers) {
        return MV_EXIT_USAGE;
    }
    if (!options->json) {
        (void)printf("%s: no findings\n", argv[0]);
    }
    else {
        (void)puts("[]");
    }
    MvDeployment_Unref(answers);
    return MV_EXIT_OK;
}

/**
 * struct change - A change that plan shows and confirm makes.
 * @store: the platform's store
 * @next: the generated configuration
 * @previous: the accepted configuration, or NULL
 * @index: modification index of @previous in the store
 * @text: explanation of the change
 * @dangers: &enum mv_danger bits of the change
 */
typedef struct change {
    mv_store_t *store;
    mv_deployment_t *next;
    mv_deployment_t *previous;
    uint64_t index;
    char *text;
    unsigned dangers;
} change_t;

static void
free_change(change_t *change)
{
    MvStore_Destroy(change->store);
    MvDeployment_Unref(change->next);
    MvDeployment_Unref(change->previous);
    g_free(change->text);
}

static int
prepare(const mv_options_t *options, int argc, char **argv, change_t *change)
{
    GError *error = NULL;
    change->next = read_answers(options, argc, argv);
    if (!change->next || !options->store) {
        if (change->next) {
            (void)fprintf(stderr, "masticvane: --store is required\n");
        }
        return MV_EXIT_USAGE;
    }
    change->store =
        MvStore_CreateHttp(options->store, STORE_TIMEOUT, NULL, &error);
    if (change->store) {
        change->previous = MvAccepted_Load(change->store, change->next->name,
                                           &change->index, &error);
    }
    if (error) {
        (void)fprintf(stderr, "masticvane: %s\n", error->message);
        g_clear_error(&error);
        return MV_EXIT_FAILED;
    }
    char *id = g_uuid_string_random();
    MvDeployment_Generate(change->next, change->previous, unix_now(), id);
    g_free(id);
    change->text = MvPlan_Explain(change->previous, change->next, unix_now(),
                                  &change->dangers);
    return MV_EXIT_OK;
}

int
MvCommand_Plan(const mv_options_t *options, int argc, char **argv)
{
    change_t change = {.store = NULL};
    int status = prepare(options, argc, argv, &change);
    if (status == MV_EXIT_OK && options->json) {
        char *bundle = MvDeployment_EncodeSince(change.next, 0);
        (void)puts(bundle);
        free(bundle);
    }
    else if (status == MV_EXIT_OK) {
        (void)fputs(change.text, stdout);
    }
    free_change(&change);
    return status;
}

static bool
are_dangers_accepted(const mv_options_t *options, unsigned dangers)
{
    bool all_accepted = true;
    for (unsigned danger = 1; danger <= dangers; danger <<= 1) {
        if (!(dangers & danger)) {
            continue;
        }
        const char *name = MvDanger_Name((mv_danger_t)danger);
        bool is_accepted =
            options->accept &&
            g_strv_contains((const char *const *)options->accept, name);
        if (!is_accepted) {
            (void)fprintf(stderr,
                          "masticvane: nothing changed; to accept this "
                          "danger, add --accept %s\n",
                          name);
        }
        all_accepted = all_accepted && is_accepted;
    }
    return all_accepted;
}

/* Waits at most the time of --wait until every entry VM has the version of
 * @next in force, and prints the progress. */
static int
wait_in_force(const mv_options_t *options, const mv_deployment_t *next)
{
    gint64 deadline =
        g_get_monotonic_time() + options->wait_seconds * MV_SECOND;
    for (;;) {
        size_t count = 0;
        size_t in_force = 0;
        mv_node_status_t *nodes = MvNodes_Query(options, next->name, &count);
        if (!nodes) {
            return MV_EXIT_USAGE;
        }
        for (size_t i = 0; i < count; i++) {
            in_force += nodes[i].answered && nodes[i].version >= next->version;
        }
        MvNodes_Free(nodes, count);
        (void)fprintf(stderr, "new version in force at %zu of %zu entry VMs\n",
                      in_force, count);
        if (in_force == count) {
            return MV_EXIT_OK;
        }
        if (g_get_monotonic_time() > deadline) {
            return MV_EXIT_LAGGING;
        }
        g_usleep(POLL_INTERVAL_US);
    }
}

static int
exit_code_of(const GError *error)
{
    if (g_error_matches(error, MV_ERROR, MV_ERROR_CONFLICT)) {
        return MV_EXIT_CONFLICT;
    }
    if (g_error_matches(error, MV_ERROR, MV_ERROR_UNKNOWN_OUTCOME)) {
        return MV_EXIT_UNKNOWN;
    }
    return MV_EXIT_FAILED;
}

static int
confirm(const mv_options_t *options, const change_t *change)
{
    GError *error = NULL;
    if (!MvAccepted_Confirm(change->store, change->previous, change->next,
                            change->index, READ_BACK_TIMEOUT, &error)) {
        int status = exit_code_of(error);
        (void)fprintf(stderr, "masticvane: %s\n", error->message);
        g_clear_error(&error);
        return status;
    }
    (void)fprintf(options->json ? stdout : stderr,
                  options->json ? "{\"version\":%" G_GUINT64_FORMAT
                                  ",\"change_id\":\"%s\"}\n"
                                : "accepted as version %" G_GUINT64_FORMAT
                                  ", change %s\n",
                  change->next->version, change->next->change_id);
    return options->wait_seconds > 0 ? wait_in_force(options, change->next)
                                     : MV_EXIT_OK;
}

int
MvCommand_Confirm(const mv_options_t *options, int argc, char **argv)
{
    change_t change = {.store = NULL};
    int status = prepare(options, argc, argv, &change);
    if (status == MV_EXIT_OK) {
        if (!options->json) {
            (void)fputs(change.text, stdout);
        }
        status = are_dangers_accepted(options, change.dangers)
                     ? confirm(options, &change)
                     : MV_EXIT_DANGER;
    }
    free_change(&change);
    return status;
}
