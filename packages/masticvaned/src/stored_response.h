/**
 * DOC: An answer as it is kept for a repeated key.
 *
 * A line for each field's name and one for its value, an empty line, the
 * body.
 */
#ifndef MASTICVANED_STORED_RESPONSE_H
#define MASTICVANED_STORED_RESPONSE_H

#include "masticvane/net.h"

/** MvStoredResponse_Encode() - Bytes to keep; clear with MvBuffer_Clear(). */
mv_buffer_t MvStoredResponse_Encode(const mv_http_message_t *answer);

/** MvStoredResponse_Decode() - The answer; free with MvHttpMessage_Destroy().
 */
mv_http_message_t *MvStoredResponse_Decode(const char *bytes, size_t length);

#endif
