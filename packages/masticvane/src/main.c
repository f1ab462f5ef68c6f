/* masticvane: the operators' command. */
#include "command.h"

#include <apr_general.h>
#include <sodium.h>
#include <string.h>

typedef struct subcommand {
    const char *name;
    const char *operands;
    const char *summary;
    mv_command_t run;
} subcommand_t;

static const subcommand_t subcommands[] = {
    {"ask", "", "print a commented answers file", MvCommand_Ask},
    {"check", "ANSWERS", "check the answers and print the findings",
     MvCommand_Check},
    {"plan", "ANSWERS", "show what confirm would change", MvCommand_Plan},
    {"confirm", "ANSWERS", "put the answers into force as a new version",
     MvCommand_Confirm},
    {"retire", "ANSWERS SERVICE ENDPOINT",
     "write the retirement of an endpoint into the answers", MvCommand_Retire},
    {"evacuate", "ANSWERS DATA_CENTRE",
     "write the evacuation of a data centre into the answers",
     MvCommand_Evacuate},
    {"status", "", "show the entry VMs' versions and the retirements",
     MvCommand_Status},
    {"dump", "NODE", "print the state of an entry VM as JSON", MvCommand_Dump},
};

static char *
summary_text(void)
{
    GString *text = g_string_new("Subcommands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(subcommands); i++) {
        char *usage = g_strdup_printf("%s %s", subcommands[i].name,
                                      subcommands[i].operands);
        g_string_append_printf(text, "  %-34s %s\n", usage,
                               subcommands[i].summary);
        g_free(usage);
    }
    g_string_append(
        text, "\nExit codes: 0 done, 1 failed and nothing changed, 2 usage "
              "error or findings,\n3 another change was accepted first, 4 a "
              "danger needs --accept, 5 outcome\nunknown, 6 an entry VM has "
              "an older version or did not answer\n");
    return g_string_free(text, FALSE);
}

static int
run(const mv_options_t *options, int argc, char **argv)
{
    for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(subcommands); i++) {
        if (!strcmp(subcommands[i].name, argv[1])) {
            return subcommands[i].run(options, argc - 2, argv + 2);
        }
    }
    (void)fprintf(stderr, "masticvane: %s; see --help\n",
                  argc > 1 ? "no such subcommand"
                           : "a subcommand is required");
    return MV_EXIT_USAGE;
}

int
main(int argc, char **argv)
{
    mv_options_t options = {.wait_seconds = 0};
    GError *error = NULL;
    const GOptionEntry entries[] = {
        {"store", 's', 0, G_OPTION_ARG_STRING, &options.store,
         "addresses of the platform's store", "HOST:PORT"},
        {"nodes", 'n', 0, G_OPTION_ARG_FILENAME, &options.nodes,
         "INI file with a [peer N] section for each entry VM", "FILE"},
        {"key-file", 'k', 0, G_OPTION_ARG_FILENAME, &options.key_file,
         "key file that masticvaned uses", "FILE"},
        {"deployment", 'd', 0, G_OPTION_ARG_STRING, &options.deployment,
         "deployment name, for status and dump", "NAME"},
        {"accept", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &options.accept,
         "confirm: accept a danger that plan names; may be repeated", "WORD"},
        {"at", 0, 0, G_OPTION_ARG_STRING, &options.at,
         "retire: when the endpoint leaves: now, +30m or ISO 8601; "
         "evacuate: when it begins, 30 s from now when not given",
         "TIME"},
        {"cancel", 0, 0, G_OPTION_ARG_NONE, &options.cancel,
         "evacuate: end the evacuation", NULL},
        {"until", 0, 0, G_OPTION_ARG_STRING, &options.until,
         "retire: when its remaining flows may be reset", "TIME"},
        {"wait", 'w', 0, G_OPTION_ARG_INT, &options.wait_seconds,
         "confirm: wait up to SECONDS until every entry VM has the version",
         "SECONDS"},
        {"json", 0, 0, G_OPTION_ARG_NONE, &options.json, "print JSON", NULL},
        {0},
    };
    char *summary = summary_text();
    GOptionContext *context =
        g_option_context_new("SUBCOMMAND [OPERANDS] - operate masticvane");
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_summary(context, summary);
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    g_free(summary);
    if (!parsed) {
        (void)fprintf(stderr, "masticvane: %s; see --help\n", error->message);
        g_clear_error(&error);
        return MV_EXIT_USAGE;
    }
    if (sodium_init() < 0 || apr_initialize() != APR_SUCCESS) {
        (void)fprintf(stderr, "masticvane: sodium/APR init failed\n");
        return MV_EXIT_FAILED;
    }
    int status = run(&options, argc, argv);
    g_free(options.store);
    g_free(options.nodes);
    g_free(options.key_file);
    g_free(options.deployment);
    g_strfreev(options.accept);
    g_free(options.at);
    g_free(options.until);
    apr_terminate();
    return status;
}
