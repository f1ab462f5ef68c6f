/**
 * DOC: A socket on the loop with what waits to go out.
 */
#ifndef MV_NET_STREAM_H
#define MV_NET_STREAM_H

#include "masticvane/net.h"

/** Bytes read at once. */
#define MV_STREAM_READ_BYTES 16384

/**
 * struct mv_stream - A connection without its protocol.
 * @watch: its readiness callback is the owner's
 * @loop: the loop it is on
 * @pool: lives as long as the connection
 * @socket: the socket
 * @out: bytes that wait
 */
typedef struct mv_stream {
    mv_watch_t watch;
    mv_loop_t *loop;
    apr_pool_t *pool;
    apr_socket_t *socket;
    mv_buffer_t out;
} mv_stream_t;

/** MvStream_Close() - Close and free all but the structure itself. */
void MvStream_Close(mv_stream_t *stream);

/** MvStream_Flush() - Send what the socket takes; false when it failed. */
bool MvStream_Flush(mv_stream_t *stream);

#endif
