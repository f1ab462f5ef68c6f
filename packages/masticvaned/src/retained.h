/**
 * DOC: An answer as it is kept for a repeated key.
 *
 * A line for each field's name and one for its value, an empty line, the
 * body.
 */
#ifndef MASTICVANED_RETAINED_H
#define MASTICVANED_RETAINED_H

#include "masticvane/net.h"

/** MvRetained_Pack() - Bytes to keep; clear with MvBuffer_Clear(). */
mv_buffer_t MvRetained_Pack(const mv_http_message_t *answer);

/** MvRetained_Unpack() - The answer; free with MvHttpMessage_Destroy(). */
mv_http_message_t *MvRetained_Unpack(const char *bytes, size_t length);

#endif
