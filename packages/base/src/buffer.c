#include "masticvane/base.h"

#include <stdlib.h>
#include <string.h>

#define MIN_CAPACITY 256

bool
MvBuffer_Append(mv_buffer_t *buffer, const void *data, size_t length)
{
    if (length == 0) {
        return true;
    }
    size_t needed = buffer->length + length;
    if (needed > buffer->capacity) {
        size_t capacity = buffer->capacity ? buffer->capacity : MIN_CAPACITY;
        while (capacity < needed) {
            capacity *= 2;
        }
        uint8_t *grown = realloc(buffer->data, capacity);
        if (!grown) {
            return false;
        }
        buffer->data = grown;
        buffer->capacity = capacity;
    }
    memcpy(buffer->data + buffer->length, data, length);
    buffer->length = needed;
    return true;
}

void
MvBuffer_Consume(mv_buffer_t *buffer, size_t length)
{
    if (length >= buffer->length) {
        buffer->length = 0;
        return;
    }
    buffer->length -= length;
    memmove(buffer->data, buffer->data + length, buffer->length);
}

void
MvBuffer_Clear(mv_buffer_t *buffer)
{
    free(buffer->data);
    *buffer = (mv_buffer_t){.data = NULL};
}
