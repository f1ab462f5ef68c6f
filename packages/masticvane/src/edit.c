/* Edits of the answers file. */
#include "edit.h"

#include <stdio.h>
#include <string.h>

#include "masticvane/config.h"

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
is_one_of(const char *line, const mv_edit_entry_t *entries, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (is_entry_of(line, entries[i].key)) {
            return true;
        }
    }
    return false;
}

static bool
is_header_of(const char *line, const char *section)
{
    char *header = g_strdup_printf("[%s]", section);
    bool is_same = g_str_has_prefix(line, header);
    g_free(header);
    return is_same;
}

static void
append_entries(GString *out, const mv_edit_entry_t *entries, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (entries[i].value) {
            g_string_append_printf(out, "%s = %s\n", entries[i].key,
                                   entries[i].value);
        }
    }
}

char *
MvEdit_SetEntries(const char *text, const char *section,
                  const mv_edit_entry_t *entries, size_t count)
{
    char **lines = g_strsplit(text, "\n", -1);
    GString *out = g_string_new(NULL);
    bool in_section = false;
    bool found = false;
    for (int i = 0; lines[i]; i++) {
        if (*lines[i] == '[') {
            in_section = is_header_of(lines[i], section);
        }
        if (in_section && is_one_of(lines[i], entries, count)) {
            continue;
        }
        g_string_append_printf(out, "%s%s", lines[i],
                               lines[i + 1] ? "\n" : "");
        if (in_section && is_header_of(lines[i], section)) {
            found = true;
            append_entries(out, entries, count);
        }
    }
    g_strfreev(lines);
    return g_string_free(out, !found);
}

char *
MvEdit_RemoveSection(const char *text, const char *section)
{
    char **lines = g_strsplit(text, "\n", -1);
    GString *out = g_string_new(NULL);
    bool in_section = false;
    bool found = false;
    for (int i = 0; lines[i]; i++) {
        if (*lines[i] == '[') {
            in_section = is_header_of(lines[i], section);
        }
        found |= in_section;
        if (!in_section) {
            g_string_append_printf(out, "%s%s", lines[i],
                                   lines[i + 1] ? "\n" : "");
        }
    }
    g_strfreev(lines);
    return g_string_free(out, !found);
}

bool
MvEdit_HasSection(const char *text, const char *section)
{
    char *without = MvEdit_RemoveSection(text, section);
    g_free(without);
    return without != NULL;
}

static char *
format_iso_time(int64_t time)
{
    GDateTime *utc = g_date_time_new_from_unix_utc(time);
    char *text = g_date_time_format(utc, "%Y-%m-%dT%H:%M:%SZ");
    g_date_time_unref(utc);
    return text;
}

char *
MvEdit_ReadTime(const char *option, const char *value, bool *is_valid)
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

char *
MvEdit_Load(const char *path)
{
    char *text = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, NULL, &error)) {
        (void)fprintf(stderr, "masticvane: %s\n", error->message);
        g_clear_error(&error);
    }
    return text;
}

bool
MvEdit_Save(const char *path, const char *text)
{
    GError *error = NULL;
    if (!g_file_set_contents(path, text, -1, &error)) {
        (void)fprintf(stderr, "masticvane: %s\n", error->message);
        g_clear_error(&error);
        return false;
    }
    return true;
}
