/* Threads, sockets and calls for many datagrams. */
#include "datagrams.h"

#include <apr_portable.h>
#include <errno.h>
#include <signal.h>

#include "masticvane/net.h"

bool
MvThread_Start(pthread_t *thread, void *(*run)(void *), void *argument)
{
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, &before);
    bool started = pthread_create(thread, NULL, run, argument) == 0;
    pthread_sigmask(SIG_SETMASK, &before, NULL);
    return started;
}

apr_socket_t *
MvDatagrams_Open(apr_pool_t *pool, const char *address, uint16_t port,
                 bool shared, int buffer_bytes, int *fd, GError **error)
{
    apr_os_sock_t handle;
    apr_socket_t *socket =
        MvNet_Listen(pool, address, port, SOCK_DGRAM, shared, error);
    if (!socket) {
        return NULL;
    }
    if (apr_os_sock_get(&handle, socket) != APR_SUCCESS) {
        g_set_error(error, MV_ERROR, MV_ERROR_IO, "no descriptor of %s:%u",
                    address, port);
        return NULL;
    }
    setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    *fd = handle;
    return socket;
}

int
MvDatagrams_Receive(int fd, uint8_t *first, size_t stride, size_t room,
                    size_t lengths[MV_DATAGRAM_BATCH])
{
    struct mmsghdr messages[MV_DATAGRAM_BATCH] = {0};
    struct iovec parts[MV_DATAGRAM_BATCH];
    for (size_t i = 0; i < MV_DATAGRAM_BATCH; i++) {
        parts[i] = (struct iovec){first + i * stride, room};
        messages[i].msg_hdr.msg_iov = &parts[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    int count = recvmmsg(fd, messages, MV_DATAGRAM_BATCH, MSG_DONTWAIT, NULL);
    for (int i = 0; i < count; i++) {
        lengths[i] = messages[i].msg_len;
    }
    return MAX(count, 0);
}

bool
MvDatagramBatch_Add(mv_datagram_batch_t *outbox, const struct sockaddr_in *to,
                    uint8_t *data, size_t length)
{
    unsigned i = outbox->count++;
    outbox->to[i] = *to;
    outbox->parts[i] = (struct iovec){data, length};
    outbox->messages[i].msg_hdr =
        (struct msghdr){.msg_name = &outbox->to[i],
                        .msg_namelen = sizeof(outbox->to[i]),
                        .msg_iov = &outbox->parts[i],
                        .msg_iovlen = 1};
    return outbox->count < MV_DATAGRAM_BATCH;
}

unsigned
MvDatagramBatch_Send(mv_datagram_batch_t *outbox, int fd)
{
    unsigned done = 0;
    unsigned lost = 0;
    while (done < outbox->count) {
        int count = sendmmsg(fd, outbox->messages + done, outbox->count - done,
                             MSG_DONTWAIT);
        if (count <= 0 && errno != EINTR) {
            /* The first one cannot be sent: go on behind it. */
            lost++;
            count = 1;
        }
        done += count > 0 ? (unsigned)count : 0;
    }
    outbox->count = 0;
    return lost;
}
