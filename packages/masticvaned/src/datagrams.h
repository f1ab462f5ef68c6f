/**
 * DOC: What the traffic threads share: their start, sockets for datagrams, and
 * many datagrams by one call.
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

/**
 * MvThread_Start() - Run @run on a new thread that takes no signals: they
 * belong to the control thread.
 */
bool MvThread_Start(pthread_t *thread, void *(*run)(void *), void *argument);

/**
 * MvDatagrams_Open() - Socket for many packets at a time.
 * @shared: other threads bind the same port
 * @buffer_bytes: room for packets that were not read yet
 * @fd: set to its descriptor
 *
 * Return: the socket, closed with @pool; NULL with @error set.
 */
apr_socket_t *MvDatagrams_Open(apr_pool_t *pool, const char *address,
                               uint16_t port, bool shared, int buffer_bytes,
                               int *fd, GError **error);

/** Datagrams that one call takes or sends. */
#define MV_DATAGRAM_BATCH 32

/**
 * MvDatagrams_Receive() - Take what waits in a socket.
 * @first: where the first one goes
 * @stride: bytes from there to where the next one goes
 * @room: longest that is taken whole
 * @lengths: set for each one
 *
 * Return: how many there are, MV_DATAGRAM_BATCH at most.
 */
int MvDatagrams_Receive(int fd, uint8_t *first, size_t stride, size_t room,
                        size_t lengths[MV_DATAGRAM_BATCH]);

/**
 * struct mv_datagram_batch - Datagrams that go out by one call; begins zeroed.
 * @count: entries in use
 */
typedef struct mv_datagram_batch {
    unsigned count;
    struct mmsghdr messages[MV_DATAGRAM_BATCH];
    struct iovec parts[MV_DATAGRAM_BATCH];
    struct sockaddr_in to[MV_DATAGRAM_BATCH];
} mv_datagram_batch_t;

/**
 * MvDatagramBatch_Add() - Add one; @data must stay until the outbox is sent.
 *
 * Return: false when it is full now and must be sent.
 */
bool MvDatagramBatch_Add(mv_datagram_batch_t *outbox,
                         const struct sockaddr_in *to, uint8_t *data,
                         size_t length);

/**
 * MvDatagramBatch_Send() - Send all.
 *
 * Return: how many the socket did not take; they are lost, as on any network.
 */
unsigned MvDatagramBatch_Send(mv_datagram_batch_t *outbox, int fd);

#endif
