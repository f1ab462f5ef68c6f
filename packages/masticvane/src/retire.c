/* retire: writes the retirement of an endpoint into the answers file, for plan
 * and confirm. */
#include "command.h"

#include <string.h>

static bool
is_entry_of(const char *line, const char *key)
{
    size_t length = strlen(key);
    while (*line == ' ' || *line == '\t') {
        line++;
    }
    if (strncmp(line, key, length) != 0) {
        return false;
    }
    line += length;
    return line[strspn(line, " \t")] == '=';
}

static bool
is_header_of(const char *line, const char *section)
{
    char *header = g_strdup_printf("[%s]", section);
    bool is_same = g_str_has_prefix(line, header);
    g_free(header);
    return is_same;
}

static char *
format_iso_time(int64_t time)
{
    GDateTime *utc = g_date_time_new_from_unix_utc(time);
    char *text = g_date_time_format(utc, "%Y-%m-%dT%H:%M:%SZ");
    g_date_time_unref(utc);
    return text;
}

/* Replaces the times in @section; @ends may be NULL.  Return: the new text, or
 * NULL when there is no such section. */
static char *
set_retirement(const char *text, const char *section, const char *leaves,
               const char *ends)
{
    char **lines = g_strsplit(text, "\n", -1);
    GString *out = g_string_new(NULL);
    bool in_section = false;
    bool found = false;
    for (int i = 0; lines[i]; i++) {
        if (*lines[i] == '[') {
            in_section = is_header_of(lines[i], section);
        }
        if (in_section && (is_entry_of(lines[i], "leaves") ||
                           is_entry_of(lines[i], "ends"))) {
            continue;
        }
        g_string_append_printf(out, "%s%s", lines[i],
                               lines[i + 1] ? "\n" : "");
        if (in_section && is_header_of(lines[i], section)) {
            found = true;
            g_string_append_printf(out, "leaves = %s\n", leaves);
            if (ends) {
                g_string_append_printf(out, "ends = %s\n", ends);
            }
        }
    }
    g_strfreev(lines);
    return g_string_free(out, !found);
}

static char *
read_time(const char *option, const char *value, bool *is_valid)
{
    int64_t now = g_get_real_time() / MV_SECOND;
    int64_t time = 0;
    if (!value) {
        return NULL;
    }
    if (!MvAnswers_ParseTime(value, now, &time)) {
        (void)fprintf(stderr,
                      "masticvane: %s %s is not a time; write now, +30m or "
                      "2026-12-24T18:00:00Z\n",
                      option, value);
        *is_valid = false;
        return NULL;
    }
    return format_iso_time(time);
}

static int
write_retirement(char **argv, const char *leaves, const char *ends)
{
    char *text = NULL;
    GError *error = NULL;
    int status = MV_EXIT_FAILED;
    if (!g_file_get_contents(argv[0], &text, NULL, &error)) {
        (void)fprintf(stderr, "masticvane: %s\n", error->message);
        g_clear_error(&error);
        return MV_EXIT_FAILED;
    }
    char *section = g_strdup_printf("endpoint %s %s", argv[1], argv[2]);
    char *edited = set_retirement(text, section, leaves, ends);
    if (!edited) {
        (void)fprintf(stderr, "masticvane: %s: no section [%s]\n", argv[0],
                      section);
    }
    else if (!g_file_set_contents(argv[0], edited, -1, &error)) {
        (void)fprintf(stderr, "masticvane: %s\n", error->message);
        g_clear_error(&error);
    }
    else {
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
        read_time("--at", options->at ? options->at : "now", &is_valid);
    char *ends = read_time("--until", options->until, &is_valid);
    int status =
        is_valid ? write_retirement(argv, leaves, ends) : MV_EXIT_USAGE;
    g_free(leaves);
    g_free(ends);
    return status;
}
