#include "stored_response.h"

#include <string.h>

mv_buffer_t
MvStoredResponse_Encode(const mv_http_message_t *response)
{
    mv_buffer_t out = {.data = NULL};
    for (guint i = 0; i < response->fields->len; i++) {
        const mv_http_field_t *header =
            &g_array_index(response->fields, mv_http_field_t, i);
        char *line = g_strdup_printf("%s\n%s\n", header->name, header->value);
        MvBuffer_Append(&out, line, strlen(line));
        g_free(line);
    }
    MvBuffer_Append(&out, "\n", 1);
    MvBuffer_Append(&out, response->body.data, response->body.length);
    return out;
}

/* Return: the next line, or NULL when there is none. */
static char *
read_line(const char **position, const char *end)
{
    const char *line_end = memchr(*position, '\n', (size_t)(end - *position));
    if (!line_end) {
        return NULL;
    }
    char *line = g_strndup(*position, (gsize)(line_end - *position));
    *position = line_end + 1;
    return line;
}

mv_http_message_t *
MvStoredResponse_Decode(const char *bytes, size_t length)
{
    mv_http_message_t *response = MvHttpMessage_Create();
    const char *position = bytes;
    const char *end = bytes + length;
    for (;;) {
        char *name = read_line(&position, end);
        if (!name || !*name) {
            g_free(name);
            break;
        }
        char *value = read_line(&position, end);
        if (value) {
            MvHttpMessage_Add(response, name, value);
        }
        g_free(name);
        g_free(value);
    }
    MvBuffer_Append(&response->body, position, (size_t)(end - position));
    return response;
}
