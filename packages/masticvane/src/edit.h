/**
 * DOC: Edits of the answers file, for subcommands that write a part of it.
 *
 * Comments and the order of the sections are kept.
 */
#ifndef MASTICVANE_EDIT_H
#define MASTICVANE_EDIT_H

#include <glib.h>
#include <stdbool.h>

/**
 * struct mv_edit_entry - An entry of a section.
 * @key: its key
 * @value: its new value, NULL to remove the entry
 */
typedef struct mv_edit_entry {
    const char *key;
    const char *value;
} mv_edit_entry_t;

/**
 * MvEdit_SetEntries() - Set or remove entries of @section.
 * @text: the answers
 *
 * Return: the new text, freed with g_free(); NULL when there is no such
 * section.
 */
char *MvEdit_SetEntries(const char *text, const char *section,
                        const mv_edit_entry_t *entries, size_t count);

/**
 * MvEdit_RemoveSection() - Remove @section with its entries.
 *
 * Return: as MvEdit_SetEntries().
 */
char *MvEdit_RemoveSection(const char *text, const char *section);

/** MvEdit_HasSection() - Whether the answers have @section. */
bool MvEdit_HasSection(const char *text, const char *section);

/**
 * MvEdit_ReadTime() - Convert a time of the command line to ISO 8601.
 * @option: its option, for the error message
 * @value: "now", "+30m" or ISO 8601; NULL is accepted
 * @is_valid: set to false, after a message, when @value is no such time
 *
 * Return: the time, freed with g_free(); NULL when @value is NULL or invalid.
 */
char *MvEdit_ReadTime(const char *option, const char *value, bool *is_valid);

/** MvEdit_Load() - Read the answers; NULL after a message. */
char *MvEdit_Load(const char *path);

/** MvEdit_Save() - Write the answers; false after a message. */
bool MvEdit_Save(const char *path, const char *text);

#endif
