/**
 * DOC: Helpers of the traffic threads: thread start, datagram sockets, and
 * batched receive and send with recvmmsg() and sendmmsg().
 */
#ifndef MASTICVANED_DATAGRAMS_H
#define MASTICVANED_DATAGRAMS_H

#include <apr_network_io.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "masticvane/base.h"

/**
 * MvThread_Start() - Start a thread with all signals blocked.
 *
 * The control thread alone handles signals.
 *
 * Return: false when the thread cannot be created.
 */
bool MvThread_Start(pthread_t *thread, void *(*run)(void *), void *argument);

/**
 * MvDatagrams_Open() - Open a bound, non-blocking UDP socket.  The kernel
 * notes when datagrams arrive.
 * @reuse_port: set SO_REUSEPORT, so that several threads bind the same port
 * @buffer_bytes: size of the kernel's receive buffer (SO_RCVBUF)
 * @fd: set to the socket's descriptor
 *
 * Return: the socket, closed with @pool; NULL with @error set.
 */
apr_socket_t *MvDatagrams_Open(apr_pool_t *pool, const char *address,
                               uint16_t port, bool reuse_port,
                               int buffer_bytes, int *fd, GError **error);

/** Most datagrams in one batch. */
#define MV_DATAGRAM_BATCH 32

/**
 * MvDatagrams_Receive() - Receive a batch of datagrams without waiting.
 * @first: buffer of the first datagram
 * @stride: distance between the buffers of two datagrams in bytes
 * @capacity: size of each buffer; longer datagrams are truncated
 * @lengths: set to the length of each datagram
 * @stamps: set to the time of day of each arrival, 0 where it is not known;
 *          NULL when they are not wanted
 *
 * Return: number of datagrams, MV_DATAGRAM_BATCH at most; 0 when none is
 * queued, -1 when the read failed.
 */
int MvDatagrams_Receive(int fd, uint8_t *first, size_t stride, size_t capacity,
                        size_t lengths[MV_DATAGRAM_BATCH],
                        mv_time_t stamps[MV_DATAGRAM_BATCH]);

/**
 * struct mv_datagram_batch - Datagrams to send together; initialised to zero.
 * @count: datagrams in the batch
 * @expires_at: when each datagram becomes worthless, see MvClock_Boot();
 *              MV_NEVER for never
 * @messages: headers for sendmmsg()
 * @buffers: buffer of each datagram
 * @to: destination of each datagram
 */
typedef struct mv_datagram_batch {
    unsigned count;
    mv_time_t expires_at[MV_DATAGRAM_BATCH];
    struct mmsghdr messages[MV_DATAGRAM_BATCH];
    struct iovec buffers[MV_DATAGRAM_BATCH];
    struct sockaddr_in to[MV_DATAGRAM_BATCH];
} mv_datagram_batch_t;

/**
 * MvDatagramBatch_Add() - Add a datagram to a batch that is not full.
 * @expires_at: it is not sent after this time, see MvClock_Boot()
 * @data: not copied; must stay unchanged until the batch is sent
 *
 * Return: false when the batch is full now and must be sent.
 */
bool MvDatagramBatch_Add(mv_datagram_batch_t *batch,
                         const struct sockaddr_in *to, mv_time_t expires_at,
                         uint8_t *data, size_t length);

/**
 * MvDatagramBatch_DropExpired() - Remove the datagrams that have expired.
 *
 * To be called just before MvDatagramBatch_Send(): the process may have stood
 * still since they were added.
 * @now: see MvClock_Boot()
 *
 * Return: number of datagrams removed.
 */
unsigned MvDatagramBatch_DropExpired(mv_datagram_batch_t *batch,
                                     mv_time_t now);

/**
 * MvDatagramBatch_Send() - Send all datagrams and empty the batch.
 *
 * Return: number of datagrams that the socket refused, for example because its
 * buffer was full; they are dropped.
 */
unsigned MvDatagramBatch_Send(mv_datagram_batch_t *batch, int fd);

#endif
