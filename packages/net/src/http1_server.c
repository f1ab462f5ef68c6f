/* HTTP/1.1 server for short GET requests. */
#include <apr_network_io.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>

#include "stream.h"

#define MAX_SESSIONS 64
#define MAX_TARGET_BYTES 1024
#define IDLE_TIMEOUT (30 * MV_SECOND)

typedef struct session {
    mv_stream_t stream;
    mv_list_t link;
    mv_http1_server_t *server;
    http_parser parser;
    mv_time_t last_activity_at;
    char target[MAX_TARGET_BYTES];
    size_t target_length;
    bool target_too_long;
    bool close_after_response;
} session_t;

struct mv_http1_server {
    mv_watch_t watch;
    mv_loop_t *loop;
    apr_pool_t *pool;
    apr_socket_t *listener;
    mv_list_t sessions;
    unsigned session_count;
    mv_http1_handler_t handler;
    void *context;
};

static void
free_session(session_t *session)
{
    MvList_Remove(&session->link);
    session->server->session_count--;
    MvStream_Close(&session->stream);
    g_free(session);
}

static int
on_url(http_parser *parser, const char *at, size_t length)
{
    session_t *session = parser->data;
    if (session->target_length + length >= sizeof(session->target)) {
        session->target_too_long = true;
        return 0;
    }
    memcpy(session->target + session->target_length, at, length);
    session->target_length += length;
    session->target[session->target_length] = '\0';
    return 0;
}

static const char *
reason_phrase(unsigned status)
{
    return http_status_str((enum http_status)status);
}

static void
append_response(session_t *session, unsigned status, const mv_buffer_t *body)
{
    char *head = g_strdup_printf(
        "HTTP/1.1 %u %s\r\nContent-Type: text/plain; charset=utf-8\r\n"
        "Content-Length: %zu\r\n%s\r\n",
        status, reason_phrase(status), body->length,
        session->close_after_response ? "Connection: close\r\n" : "");
    MvBuffer_Append(&session->stream.out, head, strlen(head));
    MvBuffer_Append(&session->stream.out, body->data, body->length);
    g_free(head);
}

static int
on_request(http_parser *parser)
{
    session_t *session = parser->data;
    mv_http1_server_t *server = session->server;
    mv_buffer_t body = {0};
    unsigned status = HTTP_STATUS_URI_TOO_LONG;
    if (parser->method != HTTP_GET) {
        status = HTTP_STATUS_METHOD_NOT_ALLOWED;
    }
    else if (!session->target_too_long) {
        status = server->handler(server->context, session->target, &body);
    }
    session->close_after_response = !http_should_keep_alive(parser);
    append_response(session, status, &body);
    MvBuffer_Clear(&body);
    session->target_length = 0;
    session->target_too_long = false;
    return 0;
}

static const http_parser_settings server_settings = {
    .on_url = on_url,
    .on_message_complete = on_request,
};

static void
parse(session_t *session, const char *bytes, size_t length)
{
    const mv_buffer_t empty = {0};
    http_parser_execute(&session->parser, &server_settings, bytes, length);
    if (HTTP_PARSER_ERRNO(&session->parser) != HPE_OK &&
        !session->close_after_response) {
        session->close_after_response = true;
        append_response(session, HTTP_STATUS_BAD_REQUEST, &empty);
    }
}

/* Return: false when the client closed the connection or it failed. */
static bool
read_session(session_t *session)
{
    char bytes[MV_STREAM_READ_BYTES];
    apr_size_t length = sizeof(bytes);
    apr_status_t status =
        apr_socket_recv(session->stream.socket, bytes, &length);
    if (APR_STATUS_IS_EAGAIN(status)) {
        return true;
    }
    if (status != APR_SUCCESS || length == 0) {
        return false;
    }
    if (!session->close_after_response) {
        parse(session, bytes, length);
    }
    return true;
}

static void
session_ready(mv_watch_t *watch, int events)
{
    mv_stream_t *stream = MV_CONTAINER_OF(watch, mv_stream_t, watch);
    session_t *session = MV_CONTAINER_OF(stream, session_t, stream);
    session->last_activity_at = g_get_monotonic_time();
    if ((events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR)) &&
        !read_session(session)) {
        free_session(session);
        return;
    }
    if (!MvStream_Flush(stream) ||
        (session->close_after_response && stream->out.length == 0)) {
        free_session(session);
    }
}

static void
server_ready(mv_watch_t *watch, int events)
{
    mv_http1_server_t *server =
        MV_CONTAINER_OF(watch, mv_http1_server_t, watch);
    apr_pool_t *pool = NULL;
    apr_socket_t *socket = NULL;
    (void)events;
    if (apr_pool_create(&pool, NULL) != APR_SUCCESS) {
        return;
    }
    if (apr_socket_accept(&socket, server->listener, pool) != APR_SUCCESS) {
        apr_pool_destroy(pool);
        return;
    }
    if (server->session_count >= MAX_SESSIONS) {
        apr_socket_close(socket);
        apr_pool_destroy(pool);
        return;
    }
    apr_socket_timeout_set(socket, 0);
    apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
    session_t *session = g_new0(session_t, 1);
    session->server = server;
    session->last_activity_at = g_get_monotonic_time();
    session->stream = (mv_stream_t){.watch.ready = session_ready,
                                    .loop = server->loop,
                                    .pool = pool,
                                    .socket = socket};
    http_parser_init(&session->parser, HTTP_REQUEST);
    session->parser.data = session;
    MvList_Append(&server->sessions, &session->link);
    server->session_count++;
    MvLoop_Watch(server->loop, &session->stream.watch, socket, APR_POLLIN);
}

mv_http1_server_t *
MvHttp1_Serve(mv_loop_t *loop, const char *address, uint16_t port,
              mv_http1_handler_t handler, void *context, GError **error)
{
    mv_http1_server_t *server = g_new0(mv_http1_server_t, 1);
    server->watch.ready = server_ready;
    server->loop = loop;
    server->handler = handler;
    server->context = context;
    MvList_Init(&server->sessions);
    apr_pool_create(&server->pool, NULL);
    server->listener =
        MvNet_Listen(server->pool, address, port, SOCK_STREAM, false, error);
    if (!server->listener) {
        MvHttp1_DestroyServer(server);
        return NULL;
    }
    MvLoop_Watch(loop, &server->watch, server->listener, APR_POLLIN);
    return server;
}

void
MvHttp1_CloseIdle(mv_http1_server_t *server, mv_time_t now)
{
    MV_LIST_FOREACH(item, &server->sessions)
    {
        session_t *session = MV_CONTAINER_OF(item, session_t, link);
        if (now - session->last_activity_at > IDLE_TIMEOUT) {
            free_session(session);
        }
    }
}

void
MvHttp1_DestroyServer(mv_http1_server_t *server)
{
    if (!server) {
        return;
    }
    MV_LIST_FOREACH(item, &server->sessions)
    {
        free_session(MV_CONTAINER_OF(item, session_t, link));
    }
    if (server->listener) {
        MvLoop_Watch(server->loop, &server->watch, server->listener, 0);
        apr_socket_close(server->listener);
    }
    apr_pool_destroy(server->pool);
    g_free(server);
}
