/**
 * DOC: A non-blocking socket on a loop with an output buffer.
 */
#ifndef MV_NET_STREAM_H
#define MV_NET_STREAM_H

#include "masticvane/net.h"

/** Size of the buffer for one read. */
#define MV_STREAM_READ_BYTES 16384

/**
 * struct mv_stream - Transport of one connection, independent of the protocol.
 * @watch: watch of @socket; the owner sets its callback
 * @loop: loop of the owner's thread
 * @pool: owned; destroyed with the connection
 * @socket: owned
 * @out: bytes not sent yet
 */
typedef struct mv_stream {
    mv_watch_t watch;
    mv_loop_t *loop;
    apr_pool_t *pool;
    apr_socket_t *socket;
    mv_buffer_t out;
} mv_stream_t;

/** MvStream_Close() - Close the socket and free all but the structure. */
void MvStream_Close(mv_stream_t *stream);

/**
 * MvStream_Flush() - Send as much of @out as the socket accepts without
 * blocking, and wait for the rest on the loop.
 *
 * Return: false when the connection failed.
 */
bool MvStream_Flush(mv_stream_t *stream);

#endif
