/* Non-blocking socket with an output buffer. */
#include "stream.h"

#include <apr_network_io.h>

void
MvStream_Close(mv_stream_t *stream)
{
    MvLoop_Watch(stream->loop, &stream->watch, stream->socket, 0);
    MvBuffer_Clear(&stream->out);
    apr_socket_close(stream->socket);
    apr_pool_destroy(stream->pool);
}

bool
MvStream_Flush(mv_stream_t *stream)
{
    while (stream->out.length > 0) {
        apr_size_t length = stream->out.length;
        apr_status_t status = apr_socket_send(
            stream->socket, (const char *)stream->out.data, &length);
        MvBuffer_Consume(&stream->out, length);
        if (APR_STATUS_IS_EAGAIN(status)) {
            break;
        }
        if (status != APR_SUCCESS) {
            return false;
        }
    }
    int events = APR_POLLIN | (stream->out.length > 0 ? APR_POLLOUT : 0);
    return MvLoop_Watch(stream->loop, &stream->watch, stream->socket, events);
}
