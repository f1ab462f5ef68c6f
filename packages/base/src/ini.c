#include "masticvane/base.h"

#include <arpa/inet.h>
#include <ini.h>
#include <inttypes.h>
#include <string.h>

struct mv_ini {
    char *file;
    GPtrArray *entries;
};

/* Passes the text to inih line by line, to know the number of the line whose
 * entry inih reports. */
typedef struct line_reader {
    mv_ini_t *ini;
    mv_findings_t *findings;
    const char *rest;
    int line;
} line_reader_t;

static char *
read_line(char *out, int size, void *stream)
{
    line_reader_t *reader = stream;
    if (!*reader->rest) {
        return NULL;
    }
    reader->line++;
    size_t length = strcspn(reader->rest, "\n");
    size_t consumed = length + (reader->rest[length] == '\n');
    if (length + 2 > (size_t)size) {
        MvFindings_Add(reader->findings, reader->ini->file, reader->line,
                       "line", "longer than %d bytes; shorten it", size - 2);
        length = 0;
    }
    memcpy(out, reader->rest, length);
    out[length] = '\n';
    out[length + 1] = '\0';
    reader->rest += consumed;
    return out;
}

static int
add_entry(void *user, const char *section, const char *key, const char *value)
{
    line_reader_t *reader = user;
    for (size_t i = 0; i < MvIni_Count(reader->ini); i++) {
        mv_ini_entry_t *existing = MvIni_At(reader->ini, i);
        if (!strcmp(existing->section, section) &&
            !strcmp(existing->key, key)) {
            char *where = g_strdup_printf("%s.%s", section, key);
            MvFindings_Add(reader->findings, reader->ini->file, reader->line,
                           where, "given twice, first on line %d; keep one",
                           existing->line);
            g_free(where);
            return 1;
        }
    }
    mv_ini_entry_t *entry = g_new0(mv_ini_entry_t, 1);
    entry->section = g_strdup(section);
    entry->key = g_strdup(key);
    entry->value = g_strdup(value ? value : "");
    entry->line = reader->line;
    g_ptr_array_add(reader->ini->entries, entry);
    return 1;
}

static void
free_entry(void *pointer)
{
    mv_ini_entry_t *entry = pointer;
    g_free(entry->section);
    g_free(entry->key);
    g_free(entry->value);
    g_free(entry);
}

mv_ini_t *
MvIni_Parse(const char *file, const char *text, mv_findings_t *findings)
{
    mv_ini_t *ini = g_try_new0(mv_ini_t, 1);
    if (!ini) {
        return NULL;
    }
    ini->file = g_strdup(file);
    ini->entries = g_ptr_array_new_with_free_func(free_entry);
    line_reader_t reader = {.ini = ini, .findings = findings, .rest = text};
    int error_line = ini_parse_stream(read_line, &reader, add_entry, &reader);
    if (error_line > 0) {
        MvFindings_Add(findings, file, error_line, "line",
                       "syntax error; only [section], key = value and "
                       "; comment are allowed");
    }
    return ini;
}

void
MvIni_Destroy(mv_ini_t *ini)
{
    if (!ini) {
        return;
    }
    g_ptr_array_unref(ini->entries);
    g_free(ini->file);
    g_free(ini);
}

const char *
MvIni_File(const mv_ini_t *ini)
{
    return ini->file;
}

size_t
MvIni_Count(const mv_ini_t *ini)
{
    return ini->entries->len;
}

mv_ini_entry_t *
MvIni_At(mv_ini_t *ini, size_t index)
{
    return g_ptr_array_index(ini->entries, index);
}

mv_ini_entry_t *
MvIni_Get(mv_ini_t *ini, const char *section, const char *key)
{
    for (size_t i = 0; i < MvIni_Count(ini); i++) {
        mv_ini_entry_t *entry = MvIni_At(ini, i);
        if (!strcmp(entry->section, section) && !strcmp(entry->key, key)) {
            entry->used = true;
            return entry;
        }
    }
    return NULL;
}

GPtrArray *
MvIni_Sections(const mv_ini_t *ini, const char *prefix)
{
    GPtrArray *names = g_ptr_array_new();
    for (size_t i = 0; i < MvIni_Count(ini); i++) {
        char *name = MvIni_At((mv_ini_t *)ini, i)->section;
        bool listed = false;
        for (size_t j = 0; j < names->len; j++) {
            listed = listed || !strcmp(g_ptr_array_index(names, j), name);
        }
        if (!listed && g_str_has_prefix(name, prefix)) {
            g_ptr_array_add(names, name);
        }
    }
    return names;
}

int
MvIni_SectionLine(const mv_ini_t *ini, const char *section)
{
    for (size_t i = 0; i < MvIni_Count(ini); i++) {
        mv_ini_entry_t *entry = MvIni_At((mv_ini_t *)ini, i);
        if (!strcmp(entry->section, section)) {
            return entry->line;
        }
    }
    return 0;
}

const char *
MvIni_Text(mv_ini_t *ini, const char *section, const char *key,
           const char *fallback, mv_findings_t *findings)
{
    mv_ini_entry_t *entry = MvIni_Get(ini, section, key);
    if (entry && *entry->value) {
        return entry->value;
    }
    if (!fallback) {
        char *where = g_strdup_printf("%s.%s", section, key);
        MvFindings_Add(findings, ini->file, MvIni_SectionLine(ini, section),
                       where, "missing; a value is required");
        g_free(where);
    }
    return fallback ? fallback : "";
}

int64_t
MvIni_Number(mv_ini_t *ini, const char *section, const char *key, int64_t low,
             int64_t high, int64_t fallback, mv_findings_t *findings)
{
    mv_ini_entry_t *entry = MvIni_Get(ini, section, key);
    if (!entry) {
        return fallback;
    }
    char *end = NULL;
    int64_t number = g_ascii_strtoll(entry->value, &end, 10);
    if (end == entry->value || *end || number < low || number > high) {
        char *where = g_strdup_printf("%s.%s", section, key);
        MvFindings_Add(findings, ini->file, entry->line, where,
                       "\"%s\" is not allowed; a whole number from %" PRId64
                       " to %" PRId64 " is",
                       entry->value, low, high);
        g_free(where);
        return fallback;
    }
    return number;
}

void
MvIni_AddFinding(mv_ini_t *ini, const char *section, const char *key,
                 const char *problem, mv_findings_t *findings)
{
    char *where = g_strdup_printf("%s.%s", section, key);
    mv_ini_entry_t *entry = MvIni_Get(ini, section, key);
    int line = entry ? entry->line : MvIni_SectionLine(ini, section);
    MvFindings_Add(findings, ini->file, line, where, "%s", problem);
    g_free(where);
}

uint32_t
MvIni_Address(mv_ini_t *ini, const char *section, const char *key,
              mv_findings_t *findings)
{
    struct in_addr address = {.s_addr = 0};
    const char *value = MvIni_Text(ini, section, key, NULL, findings);
    if (*value && inet_pton(AF_INET, value, &address) != 1) {
        MvIni_AddFinding(ini, section, key,
                         "not an IPv4 address; write a.b.c.d", findings);
    }
    return ntohl(address.s_addr);
}

void
MvIni_ReportUnused(const mv_ini_t *ini, mv_findings_t *findings)
{
    for (size_t i = 0; i < MvIni_Count(ini); i++) {
        mv_ini_entry_t *entry = MvIni_At((mv_ini_t *)ini, i);
        if (entry->used) {
            continue;
        }
        char *where = g_strdup_printf("%s.%s", entry->section, entry->key);
        MvFindings_Add(findings, ini->file, entry->line, where,
                       "unknown key; remove it or correct its name");
        g_free(where);
    }
}
