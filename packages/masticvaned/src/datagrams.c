/* Threads, datagram sockets, and batched receive and send. */
#include "datagrams.h"

#include <apr_portable.h>
#include <errno.h>
#include <signal.h>

#include "masticvane/net.h"

bool
MvThread_Start(pthread_t *thread, void *(*run)(void *), void *argument)
{
    sigset_t all_signals;
    sigset_t old_mask;
    sigfillset(&all_signals);
    pthread_sigmask(SIG_BLOCK, &all_signals, &old_mask);
    bool started = pthread_create(thread, NULL, run, argument) == 0;
    pthread_sigmask(SIG_SETMASK, &old_mask, NULL);
    return started;
}

apr_socket_t *
MvDatagrams_Open(apr_pool_t *pool, const char *address, uint16_t port,
                 bool reuse_port, int buffer_bytes, int *fd, GError **error)
{
    apr_os_sock_t descriptor;
    apr_socket_t *socket =
        MvNet_Listen(pool, address, port, SOCK_DGRAM, reuse_port, error);
    if (!socket) {
        return NULL;
    }
    if (apr_os_sock_get(&descriptor, socket) != APR_SUCCESS) {
        g_set_error(error, MV_ERROR, MV_ERROR_IO,
                    "cannot get the socket descriptor of %s:%u", address,
                    port);
        return NULL;
    }
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    *fd = descriptor;
    return socket;
}

int
MvDatagrams_Receive(int fd, uint8_t *first, size_t stride, size_t capacity,
                    size_t lengths[MV_DATAGRAM_BATCH])
{
    struct mmsghdr messages[MV_DATAGRAM_BATCH] = {0};
    struct iovec buffers[MV_DATAGRAM_BATCH];
    for (size_t i = 0; i < MV_DATAGRAM_BATCH; i++) {
        buffers[i] = (struct iovec){first + i * stride, capacity};
        messages[i].msg_hdr.msg_iov = &buffers[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    int count = recvmmsg(fd, messages, MV_DATAGRAM_BATCH, MSG_DONTWAIT, NULL);
    for (int i = 0; i < count; i++) {
        lengths[i] = messages[i].msg_len;
    }
    return MAX(count, 0);
}

bool
MvDatagramBatch_Add(mv_datagram_batch_t *batch, const struct sockaddr_in *to,
                    uint8_t *data, size_t length)
{
    unsigned i = batch->count++;
    batch->to[i] = *to;
    batch->buffers[i] = (struct iovec){data, length};
    batch->messages[i].msg_hdr =
        (struct msghdr){.msg_name = &batch->to[i],
                        .msg_namelen = sizeof(batch->to[i]),
                        .msg_iov = &batch->buffers[i],
                        .msg_iovlen = 1};
    return batch->count < MV_DATAGRAM_BATCH;
}

unsigned
MvDatagramBatch_Send(mv_datagram_batch_t *batch, int fd)
{
    unsigned processed = 0;
    unsigned dropped = 0;
    while (processed < batch->count) {
        int count = sendmmsg(fd, batch->messages + processed,
                             batch->count - processed, MSG_DONTWAIT);
        if (count <= 0 && errno != EINTR) {
            /* The first datagram cannot be sent: skip it. */
            dropped++;
            count = 1;
        }
        processed += count > 0 ? (unsigned)count : 0;
    }
    batch->count = 0;
    return dropped;
}
