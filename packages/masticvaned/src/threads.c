/* Threads and sockets for traffic. */
#include "threads.h"

#include <apr_portable.h>
#include <signal.h>
#include <sys/socket.h>

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
MvThread_OpenDatagrams(apr_pool_t *pool, const char *address, uint16_t port,
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
    setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    *fd = handle;
    return socket;
}
