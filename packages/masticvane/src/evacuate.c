/* evacuate: writes the evacuation of a data centre into the answers file, or
 * removes it, for plan and confirm. */
#include "command.h"
#include "edit.h"

/* Time to plan and confirm the change before it takes effect. */
#define DEFAULT_TIME "+30s"

/* Return: the edited answers, or NULL when there is no evacuation to end. */
static char *
edit(const char *text, const char *section, const char *since)
{
    const mv_edit_entry_t entry = {"since", since};
    if (!since) {
        return MvEdit_RemoveSection(text, section);
    }
    if (MvEdit_HasSection(text, section)) {
        return MvEdit_SetEntries(text, section, &entry, 1);
    }
    return g_strdup_printf("%s%s[%s]\nsince = %s\n", text,
                           g_str_has_suffix(text, "\n") ? "\n" : "\n\n",
                           section, since);
}

/* @since: NULL to end the evacuation */
static int
write_evacuation(char **argv, const char *since)
{
    int status = MV_EXIT_FAILED;
    char *text = MvEdit_Load(argv[0]);
    if (!text) {
        return MV_EXIT_FAILED;
    }
    char *section = g_strdup_printf("evacuation %s", argv[1]);
    char *edited = edit(text, section, since);
    if (!edited) {
        (void)fprintf(stderr, "masticvane: %s: %s is not evacuated\n", argv[0],
                      argv[1]);
    }
    else if (MvEdit_Save(argv[0], edited)) {
        (void)fprintf(stderr, "%s: %s%s%s; run plan and confirm to apply it\n",
                      argv[0], argv[1],
                      since ? " is evacuated from " : " stays in service",
                      since ? since : "");
        status = MV_EXIT_OK;
    }
    g_free(edited);
    g_free(section);
    g_free(text);
    return status;
}

int
MvCommand_Evacuate(const mv_options_t *options, int argc, char **argv)
{
    bool is_valid = true;
    if (argc != 2 || (options->cancel && options->at)) {
        (void)fprintf(stderr, "masticvane: evacuate ANSWERS DATA_CENTRE "
                              "[--at TIME | --cancel]\n");
        return MV_EXIT_USAGE;
    }
    const char *at = options->at ? options->at : DEFAULT_TIME;
    char *since =
        MvEdit_ReadTime("--at", options->cancel ? NULL : at, &is_valid);
    int status = is_valid ? write_evacuation(argv, since) : MV_EXIT_USAGE;
    g_free(since);
    return status;
}
