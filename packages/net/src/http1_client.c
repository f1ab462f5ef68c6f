/* HTTP/1.1 client with reuse of idle connections. */
#include <apr_network_io.h>
#include <http_parser.h>
#include <string.h>

#include "stream.h"

#define MAX_IDLE_CONNECTIONS 4
/* Longer ones than any that is looked for. */
#define MAX_HEADER_BYTES 64

/**
 * struct header - The header line that is being read.
 *
 * Invariant: a response is the same however its bytes are cut.  The parser
 * passes on each piece of a name or value as it arrives, so that neither means
 * anything before the next part of the message begins.
 * @name: pieces of the name so far
 * @value: pieces of the value so far
 * @is_value: the value has begun
 */
typedef struct header {
    mv_buffer_t name;
    mv_buffer_t value;
    bool is_value;
} header_t;

typedef struct connection {
    mv_stream_t stream;
    mv_list_t link;
    mv_http1_client_t *client;
    struct call *call;
    http_parser parser;
    header_t header;
    bool has_headers; /* what comes after them as a header is a trailer */
} connection_t;

typedef struct call {
    mv_list_t link;
    mv_http1_client_t *client;
    connection_t *connection;
    mv_time_t deadline;
    mv_time_t stall_limit;
    mv_time_t last_deadline; /* of a response that arrives in parts */
    bool any_byte_sent;
    mv_buffer_t body;
    unsigned index_count; /* headers with the index */
    bool has_index;
    uint64_t index;
    mv_http1_done_t done;
    void *context;
} call_t;

struct mv_http1_client {
    mv_loop_t *loop;
    char *address;
    char *host;
    uint16_t port;
    char *index_header;
    mv_list_t idle_connections;
    unsigned idle_count;
    mv_list_t calls;
};

static void
free_connection(connection_t *connection)
{
    MvList_Remove(&connection->link);
    MvStream_Close(&connection->stream);
    MvBuffer_Clear(&connection->header.name);
    MvBuffer_Clear(&connection->header.value);
    g_free(connection);
}

static void
free_call(call_t *call)
{
    MvList_Remove(&call->link);
    MvBuffer_Clear(&call->body);
    g_free(call);
}

/* Ends a call; keeps its connection for later calls when @reuse is true. */
static void
finish_call(call_t *call, mv_http1_outcome_t outcome, unsigned status,
            bool reuse)
{
    mv_http1_client_t *client = call->client;
    connection_t *connection = call->connection;
    if (connection && reuse && client->idle_count < MAX_IDLE_CONNECTIONS) {
        connection->call = NULL;
        MvList_Append(&client->idle_connections, &connection->link);
        client->idle_count++;
    }
    else if (connection) {
        free_connection(connection);
    }
    bool is_partial = outcome != MV_HTTP1_RESPONDED && call->body.length > 0;
    MvBuffer_Append(&call->body, "", 1);
    mv_http1_response_t response = {
        .outcome = outcome,
        .status = status,
        .is_partial = is_partial,
        .body = (const char *)call->body.data,
        .length = call->body.length ? call->body.length - 1 : 0,
        .has_index = call->has_index,
        .index = call->index};
    mv_http1_done_t done = call->done;
    void *context = call->context;
    call->connection = NULL;
    MvList_Remove(&call->link);
    done(context, &response);
    free_call(call);
}

static void
fail_connection(connection_t *connection)
{
    call_t *call = connection->call;
    if (!call) {
        connection->client->idle_count--;
        free_connection(connection);
        return;
    }
    finish_call(call,
                call->any_byte_sent ? MV_HTTP1_UNKNOWN : MV_HTTP1_NOT_SENT, 0,
                false);
}

static bool
is_index_header(const connection_t *connection)
{
    const char *name = connection->client->index_header;
    const mv_buffer_t *read = &connection->header.name;
    return name && read->length == strlen(name) &&
           !g_ascii_strncasecmp((const char *)read->data, name, read->length);
}

/* A value that is no number, or differs from that of the header before, leaves
 * the number unknown. */
static void
read_index(call_t *call, const mv_buffer_t *value)
{
    char text[MAX_HEADER_BYTES + 1] = "";
    guint64 number = 0;
    if (value->length > 0 && value->length < sizeof(text)) {
        memcpy(text, value->data, value->length);
    }
    bool is_number = g_ascii_string_to_unsigned(g_strstrip(text), 10, 0,
                                                G_MAXUINT64, &number, NULL);
    bool is_same =
        call->index_count == 0 || (call->has_index && call->index == number);
    call->index_count++;
    call->has_index = is_number && is_same;
    call->index = call->has_index ? number : 0;
}

static void
end_header(connection_t *connection)
{
    header_t *header = &connection->header;
    if (header->is_value && connection->call && is_index_header(connection)) {
        read_index(connection->call, &header->value);
    }
    MvBuffer_Consume(&header->name, header->name.length);
    MvBuffer_Consume(&header->value, header->value.length);
    header->is_value = false;
}

/* What exceeds the limit is longer than all that is looked for. */
static int
append_piece(mv_buffer_t *to, const char *at, size_t length)
{
    size_t kept = MIN(length, MAX_HEADER_BYTES - to->length);
    return MvBuffer_Append(to, at, kept) ? 0 : -1;
}

static int
on_header_field(http_parser *parser, const char *at, size_t length)
{
    connection_t *connection = parser->data;
    if (connection->has_headers) {
        return 0;
    }
    if (connection->header.is_value) {
        end_header(connection);
    }
    return append_piece(&connection->header.name, at, length);
}

static int
on_header_value(http_parser *parser, const char *at, size_t length)
{
    connection_t *connection = parser->data;
    if (connection->has_headers) {
        return 0;
    }
    connection->header.is_value = true;
    return append_piece(&connection->header.value, at, length);
}

static int
on_headers_complete(http_parser *parser)
{
    connection_t *connection = parser->data;
    end_header(connection);
    connection->has_headers = true;
    return 0;
}

/* A response that arrives is waited for: asked for again, it would take as
 * long. */
static void
extend_deadline(call_t *call)
{
    mv_time_t deadline = g_get_monotonic_time() + call->stall_limit;
    call->deadline = MAX(call->deadline, MIN(deadline, call->last_deadline));
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    const connection_t *connection = parser->data;
    if (!connection->call ||
        connection->call->body.length + length > MV_HTTP1_MAX_BODY_BYTES) {
        return -1;
    }
    if (connection->call->stall_limit > 0) {
        extend_deadline(connection->call);
    }
    return MvBuffer_Append(&connection->call->body, at, length) ? 0 : -1;
}

static int
on_message_complete(http_parser *parser)
{
    (void)parser;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings client_settings = {
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* Return: false when @connection must not be used any more: its call has
 * ended, and it was freed or kept for a later call. */
static bool
handle_bytes(connection_t *connection, const char *bytes, size_t length)
{
    if (!connection->call) {
        fail_connection(connection);
        return false;
    }
    size_t used = http_parser_execute(&connection->parser, &client_settings,
                                      bytes, length);
    enum http_errno error = HTTP_PARSER_ERRNO(&connection->parser);
    if (error == HPE_PAUSED) {
        /* Not reused when bytes follow the response: they belong to no
         * request.  @used includes its last byte (http_parser 2.9). */
        bool reuse = http_should_keep_alive(&connection->parser) &&
                     (length == 0 || used >= length);
        finish_call(connection->call, MV_HTTP1_RESPONDED,
                    connection->parser.status_code, reuse);
        return false;
    }
    if (error != HPE_OK || length == 0) {
        fail_connection(connection);
        return false;
    }
    return true;
}

static void
connection_ready(mv_watch_t *watch, int events)
{
    mv_stream_t *stream = MV_CONTAINER_OF(watch, mv_stream_t, watch);
    connection_t *connection = MV_CONTAINER_OF(stream, connection_t, stream);
    char bytes[MV_STREAM_READ_BYTES];
    if (connection->call && (events & APR_POLLOUT)) {
        size_t before = stream->out.length;
        bool flushed = MvStream_Flush(stream);
        if (stream->out.length < before) {
            connection->call->any_byte_sent = true;
        }
        if (!flushed) {
            fail_connection(connection);
            return;
        }
    }
    if (!(events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR))) {
        return;
    }
    for (;;) {
        apr_size_t length = sizeof(bytes);
        apr_status_t status = apr_socket_recv(stream->socket, bytes, &length);
        if (APR_STATUS_IS_EAGAIN(status)) {
            return;
        }
        if (status != APR_SUCCESS && !APR_STATUS_IS_EOF(status)) {
            fail_connection(connection);
            return;
        }
        if (!handle_bytes(connection, bytes, length)) {
            return;
        }
    }
}

static connection_t *
open_connection(mv_http1_client_t *client)
{
    apr_pool_t *pool = NULL;
    if (apr_pool_create(&pool, NULL) != APR_SUCCESS) {
        return NULL;
    }
    apr_socket_t *socket = MvNet_Connect(pool, client->host, client->port);
    if (!socket) {
        apr_pool_destroy(pool);
        return NULL;
    }
    MvNet_EnableKeepalive(socket);
    connection_t *connection = g_new0(connection_t, 1);
    connection->client = client;
    connection->stream = (mv_stream_t){.watch.ready = connection_ready,
                                       .loop = client->loop,
                                       .pool = pool,
                                       .socket = socket};
    MvList_Init(&connection->link);
    return connection;
}

static connection_t *
get_connection(mv_http1_client_t *client)
{
    if (MvList_IsEmpty(&client->idle_connections)) {
        return open_connection(client);
    }
    connection_t *connection =
        MV_CONTAINER_OF(client->idle_connections.prev, connection_t, link);
    MvList_Remove(&connection->link);
    client->idle_count--;
    return connection;
}

mv_http1_client_t *
MvHttp1_CreateClient(mv_loop_t *loop, const char *address,
                     const char *index_header)
{
    const char *colon = strrchr(address, ':');
    guint64 port = colon ? g_ascii_strtoull(colon + 1, NULL, 10) : 0;
    if (!colon || port == 0 || port > UINT16_MAX) {
        return NULL;
    }
    mv_http1_client_t *client = g_new0(mv_http1_client_t, 1);
    client->loop = loop;
    client->address = g_strdup(address);
    client->host = g_strndup(address, (gsize)(colon - address));
    client->port = (uint16_t)port;
    client->index_header = g_strdup(index_header);
    MvList_Init(&client->idle_connections);
    MvList_Init(&client->calls);
    return client;
}

void
MvHttp1_DestroyClient(mv_http1_client_t *client)
{
    if (!client) {
        return;
    }
    MV_LIST_FOREACH(item, &client->calls)
    {
        call_t *call = MV_CONTAINER_OF(item, call_t, link);
        if (call->connection) {
            free_connection(call->connection);
        }
        free_call(call);
    }
    MV_LIST_FOREACH(item, &client->idle_connections)
    {
        free_connection(MV_CONTAINER_OF(item, connection_t, link));
    }
    g_free(client->address);
    g_free(client->host);
    g_free(client->index_header);
    g_free(client);
}

static void
write_request(connection_t *connection, const mv_http1_request_t *request)
{
    char *head = g_strdup_printf(
        "%s %s HTTP/1.1\r\nHost: %s\r\n%s%s%sContent-Length: %zu\r\n\r\n",
        request->method, request->target, connection->client->address,
        request->content_type ? "Content-Type: " : "",
        request->content_type ? request->content_type : "",
        request->content_type ? "\r\n" : "", request->length);
    MvBuffer_Append(&connection->stream.out, head, strlen(head));
    MvBuffer_Append(&connection->stream.out, request->body, request->length);
    g_free(head);
}

void
MvHttp1_Call(mv_http1_client_t *client, const mv_http1_request_t *request,
             mv_time_t now, mv_http1_done_t done, void *context)
{
    call_t *call = g_new0(call_t, 1);
    call->client = client;
    call->deadline = now + request->timeout;
    call->stall_limit = request->stall_limit;
    call->last_deadline = now + request->max_timeout;
    call->done = done;
    call->context = context;
    MvList_Append(&client->calls, &call->link);
    connection_t *connection = get_connection(client);
    if (!connection) {
        /* The next MvHttp1_Timer() reports the failure; @done must not be
         * called from within MvHttp1_Call(). */
        call->deadline = now;
        return;
    }
    call->connection = connection;
    connection->call = call;
    http_parser_init(&connection->parser, HTTP_RESPONSE);
    connection->parser.data = connection;
    connection->has_headers = false;
    end_header(connection);
    write_request(connection, request);
    MvLoop_Watch(client->loop, &connection->stream.watch,
                 connection->stream.socket, APR_POLLIN | APR_POLLOUT);
}

mv_time_t
MvHttp1_Timer(mv_http1_client_t *client, mv_time_t now)
{
    mv_time_t next = MV_NEVER;
    MV_LIST_FOREACH(item, &client->calls)
    {
        call_t *call = MV_CONTAINER_OF(item, call_t, link);
        if (now >= call->deadline) {
            finish_call(call,
                        call->any_byte_sent ? MV_HTTP1_UNKNOWN
                                            : MV_HTTP1_NOT_SENT,
                        0, false);
            /* The callback may have changed the list: start again. */
            return now;
        }
        next = MIN(next, call->deadline);
    }
    return next;
}
