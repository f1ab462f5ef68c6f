#include "masticvane/net.h"

#include <apr_network_io.h>
#include <apr_portable.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define BACKLOG 512
/* A connection to an unreachable peer fails after about 3 s: 1 s idle and two
 * probes, or 3 s without acknowledgement of sent data. */
#define KEEPALIVE_IDLE_SECONDS 1
#define KEEPALIVE_INTERVAL_SECONDS 1
#define KEEPALIVE_PROBES 2
#define UNACKNOWLEDGED_LIMIT_MS 3000

struct mv_loop {
    apr_pool_t *pool;
    apr_pollset_t *pollset;
};

mv_loop_t *
MvLoop_Create(apr_pool_t *pool, uint32_t capacity)
{
    mv_loop_t *loop = apr_pcalloc(pool, sizeof(*loop));
    loop->pool = pool;
    if (apr_pollset_create(&loop->pollset, capacity, pool,
                           APR_POLLSET_WAKEABLE) != APR_SUCCESS) {
        return NULL;
    }
    return loop;
}

bool
MvLoop_Watch(mv_loop_t *loop, mv_watch_t *watch, apr_socket_t *socket,
             int events)
{
    if (watch->active && watch->fd.reqevents == events) {
        return true;
    }
    if (watch->active) {
        apr_pollset_remove(loop->pollset, &watch->fd);
        watch->active = false;
    }
    if (events == 0) {
        return true;
    }
    watch->fd = (apr_pollfd_t){.p = loop->pool,
                               .desc_type = APR_POLL_SOCKET,
                               .reqevents = (apr_int16_t)events,
                               .desc.s = socket,
                               .client_data = watch};
    watch->active = apr_pollset_add(loop->pollset, &watch->fd) == APR_SUCCESS;
    return watch->active;
}

void
MvLoop_Wake(mv_loop_t *loop)
{
    apr_pollset_wakeup(loop->pollset);
}

void
MvLoop_Run(mv_loop_t *loop, mv_time_t timeout)
{
    apr_int32_t count = 0;
    const apr_pollfd_t *ready = NULL;
    if (apr_pollset_poll(loop->pollset, timeout, &count, &ready) !=
        APR_SUCCESS) {
        return;
    }
    for (apr_int32_t i = 0; i < count; i++) {
        mv_watch_t *watch = ready[i].client_data;
        if (watch->active) {
            watch->ready(watch, ready[i].rtnevents);
        }
    }
}

apr_pool_t *
MvLoop_Pool(const mv_loop_t *loop)
{
    return loop->pool;
}

static apr_socket_t *
open_socket(apr_pool_t *pool, const char *address, uint16_t port, int type,
            apr_sockaddr_t **endpoint)
{
    apr_socket_t *socket = NULL;
    if (apr_sockaddr_info_get(endpoint, address, APR_INET, port, 0, pool) !=
            APR_SUCCESS ||
        apr_socket_create(&socket, APR_INET, type, 0, pool) != APR_SUCCESS) {
        return NULL;
    }
    apr_socket_timeout_set(socket, 0);
    apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
    if (type == SOCK_STREAM) {
        apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
    }
    return socket;
}

/* APR has no option for SO_REUSEPORT. */
static void
share_port(apr_socket_t *socket)
{
    apr_os_sock_t fd;
    int on = 1;
    if (apr_os_sock_get(&fd, socket) == APR_SUCCESS) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    }
}

apr_socket_t *
MvNet_Listen(apr_pool_t *pool, const char *address, uint16_t port, int type,
             bool reuse_port, GError **error)
{
    apr_sockaddr_t *endpoint = NULL;
    char reason[128];
    apr_socket_t *socket = open_socket(pool, address, port, type, &endpoint);
    apr_status_t status = socket ? APR_SUCCESS : APR_EINVAL;
    if (socket) {
        apr_socket_opt_set(socket, APR_SO_REUSEADDR, 1);
    }
    if (socket && reuse_port) {
        share_port(socket);
    }
    if (status == APR_SUCCESS) {
        status = apr_socket_bind(socket, endpoint);
    }
    if (status == APR_SUCCESS && type == SOCK_STREAM) {
        status = apr_socket_listen(socket, BACKLOG);
    }
    if (status == APR_SUCCESS) {
        return socket;
    }
    g_set_error(error, MV_ERROR, MV_ERROR_IO, "cannot open or bind %s:%u: %s",
                address, port, apr_strerror(status, reason, sizeof(reason)));
    if (socket) {
        apr_socket_close(socket);
    }
    return NULL;
}

apr_socket_t *
MvNet_Connect(apr_pool_t *pool, const char *address, uint16_t port)
{
    apr_sockaddr_t *endpoint = NULL;
    apr_socket_t *socket =
        open_socket(pool, address, port, SOCK_STREAM, &endpoint);
    if (!socket) {
        return NULL;
    }
    apr_status_t status = apr_socket_connect(socket, endpoint);
    if (status != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(status)) {
        apr_socket_close(socket);
        return NULL;
    }
    return socket;
}

void
MvNet_EnableKeepalive(apr_socket_t *socket)
{
    apr_os_sock_t fd;
    if (apr_os_sock_get(&fd, socket) != APR_SUCCESS) {
        return;
    }
    const int on = 1;
    const int idle = KEEPALIVE_IDLE_SECONDS;
    const int interval = KEEPALIVE_INTERVAL_SECONDS;
    const int probes = KEEPALIVE_PROBES;
    const unsigned limit = UNACKNOWLEDGED_LIMIT_MS;
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}
