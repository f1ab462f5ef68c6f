/* retire: writes the retirement of an endpoint into the answers file, for plan
 * and confirm. */
#include "command.h"
#include "edit.h"

static int
write_retirement(char **argv, const char *leaves, const char *ends)
{
    int status = MV_EXIT_FAILED;
    const mv_edit_entry_t entries[] = {{"leaves", leaves}, {"ends", ends}};
    char *text = MvEdit_Load(argv[0]);
    if (!text) {
        return MV_EXIT_FAILED;
    }
    char *section = g_strdup_printf("endpoint %s %s", argv[1], argv[2]);
    char *edited =
        MvEdit_SetEntries(text, section, entries, G_N_ELEMENTS(entries));
    if (!edited) {
        (void)fprintf(stderr, "masticvane: %s: no section [%s]\n", argv[0],
                      section);
    }
    else if (MvEdit_Save(argv[0], edited)) {
        (void)fprintf(stderr,
                      "%s: %s endpoint %s leaves %s%s%s; run plan and "
                      "confirm to apply it\n",
                      argv[0], argv[1], argv[2], leaves, ends ? ", ends " : "",
                      ends ? ends : "");
        status = MV_EXIT_OK;
    }
    g_free(edited);
    g_free(section);
    g_free(text);
    return status;
}

int
MvCommand_Retire(const mv_options_t *options, int argc, char **argv)
{
    bool is_valid = true;
    if (argc != 3) {
        (void)fprintf(stderr, "masticvane: retire ANSWERS SERVICE ENDPOINT\n");
        return MV_EXIT_USAGE;
    }
    char *leaves =
        MvEdit_ReadTime("--at", options->at ? options->at : "now", &is_valid);
    char *ends = MvEdit_ReadTime("--until", options->until, &is_valid);
    int status =
        is_valid ? write_retirement(argv, leaves, ends) : MV_EXIT_USAGE;
    g_free(leaves);
    g_free(ends);
    return status;
}
