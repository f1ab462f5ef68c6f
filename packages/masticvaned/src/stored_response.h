/**
 * DOC: Encoding of a response that is kept to answer retries with the same
 * idempotency key.
 *
 * For each header field a line with its name and a line with its value, then
 * an empty line, then the body.
 */
#ifndef MASTICVANED_STORED_RESPONSE_H
#define MASTICVANED_STORED_RESPONSE_H

#include "masticvane/net.h"

/**
 * MvStoredResponse_Encode() - Encode a response.
 *
 * Return: the encoded bytes, to be freed with MvBuffer_Clear().
 */
mv_buffer_t MvStoredResponse_Encode(const mv_http_message_t *response);

/**
 * MvStoredResponse_Decode() - Decode what MvStoredResponse_Encode() returned.
 *
 * Return: the response, to be freed with MvHttpMessage_Destroy().
 */
mv_http_message_t *MvStoredResponse_Decode(const char *bytes, size_t length);

#endif
