#include "stored_response.h"

#include <string.h>

mv_buffer_t
MvStoredResponse_Encode(const mv_http_message_t *answer)
{
    mv_buffer_t out = {.data = NULL};
    for (guint i = 0; i < answer->fields->len; i++) {
        const mv_http_field_t *one =
            &g_array_index(answer->fields, mv_http_field_t, i);
        char *line = g_strdup_printf("%s\n%s\n", one->name, one->value);
        MvBuffer_Append(&out, line, strlen(line));
        g_free(line);
    }
    MvBuffer_Append(&out, "\n", 1);
    MvBuffer_Append(&out, answer->body.data, answer->body.length);
    return out;
}

/* Return: the text up to the next line end, or NULL. */
static char *
take_line(const char **at, const char *end)
{
    const char *stop = memchr(*at, '\n', (size_t)(end - *at));
    if (!stop) {
        return NULL;
    }
    char *line = g_strndup(*at, (gsize)(stop - *at));
    *at = stop + 1;
    return line;
}

mv_http_message_t *
MvStoredResponse_Decode(const char *bytes, size_t length)
{
    mv_http_message_t *answer = MvHttpMessage_Create();
    const char *at = bytes;
    const char *end = bytes + length;
    for (;;) {
        char *name = take_line(&at, end);
        if (!name || !*name) {
            g_free(name);
            break;
        }
        char *value = take_line(&at, end);
        if (value) {
            MvHttpMessage_Add(answer, name, value);
        }
        g_free(name);
        g_free(value);
    }
    MvBuffer_Append(&answer->body, at, (size_t)(end - at));
    return answer;
}
