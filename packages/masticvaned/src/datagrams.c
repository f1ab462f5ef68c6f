/* Threads, datagram sockets, and batched receive and send. */
#include "datagrams.h"

#include <apr_portable.h>
#include <errno.h>
#include <signal.h>
#include <string.h>
#include <time.h>

#include "masticvane/net.h"

/* Room for the time of arrival of one datagram. */
typedef union control_buffer {
    struct cmsghdr header; /* for its alignment */
    char bytes[CMSG_SPACE(sizeof(struct timespec))];
} control_buffer_t;

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
    int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof(on));
    *fd = descriptor;
    return socket;
}

/* Return: time of day of the arrival, 0 when the kernel has not noted it. */
static mv_time_t
arrival_stamp(struct msghdr *message)
{
    for (struct cmsghdr *item = CMSG_FIRSTHDR(message); item;
         item = CMSG_NXTHDR(message, item)) {
        if (item->cmsg_level == SOL_SOCKET &&
            item->cmsg_type == SCM_TIMESTAMPNS) {
            struct timespec stamp;
            memcpy(&stamp, CMSG_DATA(item), sizeof(stamp));
            return stamp.tv_sec * MV_SECOND + stamp.tv_nsec / 1000;
        }
    }
    return 0;
}

int
MvDatagrams_Receive(int fd, uint8_t *first, size_t stride, size_t capacity,
                    size_t lengths[MV_DATAGRAM_BATCH],
                    mv_time_t stamps[MV_DATAGRAM_BATCH])
{
    struct mmsghdr messages[MV_DATAGRAM_BATCH] = {0};
    struct iovec buffers[MV_DATAGRAM_BATCH];
    control_buffer_t controls[MV_DATAGRAM_BATCH] = {0};
    for (size_t i = 0; i < MV_DATAGRAM_BATCH; i++) {
        buffers[i] = (struct iovec){first + i * stride, capacity};
        messages[i].msg_hdr.msg_iov = &buffers[i];
        messages[i].msg_hdr.msg_iovlen = 1;
        if (stamps) {
            messages[i].msg_hdr.msg_control = &controls[i];
            messages[i].msg_hdr.msg_controllen = sizeof(controls[i]);
        }
    }
    int count = recvmmsg(fd, messages, MV_DATAGRAM_BATCH, MSG_DONTWAIT, NULL);
    for (int i = 0; i < count; i++) {
        lengths[i] = messages[i].msg_len;
        if (stamps) {
            stamps[i] = arrival_stamp(&messages[i].msg_hdr);
        }
    }
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? 0 : count;
}

bool
MvDatagramBatch_Add(mv_datagram_batch_t *batch, const struct sockaddr_in *to,
                    mv_time_t expires_at, uint8_t *data, size_t length)
{
    unsigned i = batch->count++;
    batch->to[i] = *to;
    batch->expires_at[i] = expires_at;
    batch->buffers[i] = (struct iovec){data, length};
    batch->messages[i].msg_hdr =
        (struct msghdr){.msg_name = &batch->to[i],
                        .msg_namelen = sizeof(batch->to[i]),
                        .msg_iov = &batch->buffers[i],
                        .msg_iovlen = 1};
    return batch->count < MV_DATAGRAM_BATCH;
}

/* Moves a datagram to a lower index. */
static void
move_datagram(mv_datagram_batch_t *batch, unsigned from, unsigned to)
{
    batch->to[to] = batch->to[from];
    batch->expires_at[to] = batch->expires_at[from];
    batch->buffers[to] = batch->buffers[from];
    batch->messages[to].msg_hdr.msg_name = &batch->to[to];
    batch->messages[to].msg_hdr.msg_iov = &batch->buffers[to];
}

unsigned
MvDatagramBatch_DropExpired(mv_datagram_batch_t *batch, mv_time_t now)
{
    unsigned kept = 0;
    for (unsigned i = 0; i < batch->count; i++) {
        if (now <= batch->expires_at[i]) {
            move_datagram(batch, i, kept++);
        }
    }
    unsigned dropped = batch->count - kept;
    batch->count = kept;
    return dropped;
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
