/* HTTP/2 client and server connections, based on libnghttp2. */
#include "masticvane/net.h"

#include <apr_network_io.h>
#include <nghttp2/nghttp2.h>
#include <string.h>

#define READ_BYTES 65536
#define MAX_CONCURRENT_STREAMS 1000
#define FLOW_CONTROL_WINDOW_BYTES (1 << 22)
#define MAX_BODY_BYTES (64u << 20)

struct mv_h2 {
    mv_watch_t watch;
    mv_loop_t *loop;
    apr_pool_t *pool;
    apr_socket_t *socket;
    nghttp2_session *session;
    const mv_h2_ops_t *ops;
    void *context;
    bool is_server;
    bool connected;
    bool failed;
    bool in_callback;
    bool shutdown_sent;
    mv_buffer_t unsent;
    /* INT32_MAX unless a GOAWAY with a lower stream id was received. */
    int32_t goaway_last_stream;
    mv_time_t last_received_at;
    mv_list_t streams;
    size_t stream_count;
};

typedef struct stream {
    mv_list_t link;
    int32_t id;
    bool complete;
    bool response_submitted;
    bool cancelled;
    mv_http_message_t *in;
    mv_buffer_t out;
    size_t out_position;
} stream_t;

/* Messages */

mv_http_message_t *
MvHttpMessage_Create(void)
{
    mv_http_message_t *message = g_new0(mv_http_message_t, 1);
    message->fields = g_array_new(FALSE, FALSE, sizeof(mv_http_field_t));
    return message;
}

void
MvHttpMessage_Destroy(mv_http_message_t *message)
{
    if (!message) {
        return;
    }
    for (guint i = 0; i < message->fields->len; i++) {
        mv_http_field_t *field =
            &g_array_index(message->fields, mv_http_field_t, i);
        g_free(field->name);
        g_free(field->value);
    }
    g_array_unref(message->fields);
    MvBuffer_Clear(&message->body);
    g_free(message);
}

static void
add_field(mv_http_message_t *message, const uint8_t *name, size_t name_length,
          const uint8_t *value, size_t value_length)
{
    mv_http_field_t field = {
        .name = g_strndup((const char *)name, name_length),
        .value = g_strndup((const char *)value, value_length),
    };
    g_array_append_val(message->fields, field);
}

void
MvHttpMessage_Add(mv_http_message_t *message, const char *name,
                  const char *value)
{
    add_field(message, (const uint8_t *)name, strlen(name),
              (const uint8_t *)value, strlen(value));
}

const char *
MvHttpMessage_Get(const mv_http_message_t *message, const char *name)
{
    for (guint i = 0; i < message->fields->len; i++) {
        const mv_http_field_t *field =
            &g_array_index(message->fields, mv_http_field_t, i);
        if (!strcmp(field->name, name)) {
            return field->value;
        }
    }
    return NULL;
}

/* Streams */

static stream_t *
add_stream(mv_h2_t *h2, int32_t id)
{
    stream_t *stream = g_new0(stream_t, 1);
    stream->id = id;
    stream->in = MvHttpMessage_Create();
    MvList_Append(&h2->streams, &stream->link);
    h2->stream_count++;
    return stream;
}

static void
free_stream(mv_h2_t *h2, stream_t *stream)
{
    MvList_Remove(&stream->link);
    MvHttpMessage_Destroy(stream->in);
    MvBuffer_Clear(&stream->out);
    g_free(stream);
    h2->stream_count--;
}

static stream_t *
find_stream(mv_h2_t *h2, int32_t id)
{
    return nghttp2_session_get_stream_user_data(h2->session, id);
}

/* Callbacks from nghttp2 */

static int
on_begin_headers(nghttp2_session *session, const nghttp2_frame *frame,
                 void *user)
{
    mv_h2_t *h2 = user;
    if (h2->is_server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
        stream_t *stream = add_stream(h2, frame->hd.stream_id);
        nghttp2_session_set_stream_user_data(session, stream->id, stream);
    }
    return 0;
}

static int
on_header(nghttp2_session *session, const nghttp2_frame *frame,
          const uint8_t *name, size_t name_length, const uint8_t *value,
          size_t value_length, uint8_t flags, void *user)
{
    stream_t *stream = find_stream(user, frame->hd.stream_id);
    (void)session;
    (void)flags;
    if (stream) {
        add_field(stream->in, name, name_length, value, value_length);
    }
    return 0;
}

static int
on_data(nghttp2_session *session, uint8_t flags, int32_t id,
        const uint8_t *data, size_t length, void *user)
{
    stream_t *stream = find_stream(user, id);
    (void)flags;
    if (!stream) {
        return 0;
    }
    if (stream->in->body.length + length > MAX_BODY_BYTES ||
        !MvBuffer_Append(&stream->in->body, data, length)) {
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id,
                                  NGHTTP2_CANCEL);
    }
    return 0;
}

static void
handle_goaway(mv_h2_t *h2, const nghttp2_goaway *goaway)
{
    h2->goaway_last_stream = goaway->last_stream_id;
}

/* The stream id in the payload of a PING, see MvH2_Reset(); 0 for others. */
static int32_t
stream_of_reset_ping(const nghttp2_ping *ping)
{
    int32_t id = 0;
    memcpy(&id, ping->opaque_data, sizeof(id));
    return id;
}

/* The ACK of a PING that followed a reset shows that the peer has read the
 * reset. */
static void
handle_ping_ack(mv_h2_t *h2, const nghttp2_ping *ping)
{
    int32_t id = stream_of_reset_ping(ping);
    MV_LIST_FOREACH(item, &h2->streams)
    {
        stream_t *stream = MV_CONTAINER_OF(item, stream_t, link);
        if (id != 0 && stream->id == id && stream->cancelled) {
            if (!stream->complete) {
                h2->ops->closed(h2, id, false);
            }
            free_stream(h2, stream);
            return;
        }
    }
}

static int
on_frame(nghttp2_session *session, const nghttp2_frame *frame, void *user)
{
    mv_h2_t *h2 = user;
    (void)session;
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        handle_goaway(h2, &frame->goaway);
    }
    if (frame->hd.type == NGHTTP2_PING &&
        (frame->hd.flags & NGHTTP2_FLAG_ACK)) {
        handle_ping_ack(h2, &frame->ping);
    }
    bool ends = (frame->hd.type == NGHTTP2_HEADERS ||
                 frame->hd.type == NGHTTP2_DATA) &&
                (frame->hd.flags & NGHTTP2_FLAG_END_STREAM);
    stream_t *stream = ends ? find_stream(h2, frame->hd.stream_id) : NULL;
    if (stream && !stream->complete) {
        stream->complete = true;
        mv_http_message_t *message = stream->in;
        stream->in = NULL;
        h2->ops->message(h2, stream->id, message);
    }
    return 0;
}

static int
on_stream_close(nghttp2_session *session, int32_t id, uint32_t code,
                void *user)
{
    mv_h2_t *h2 = user;
    stream_t *stream = find_stream(h2, id);
    (void)session;
    if (!stream) {
        return 0;
    }
    nghttp2_session_set_stream_user_data(session, id, NULL);
    if (stream->cancelled) {
        return 0; /* Closed when the PING after the reset is acknowledged. */
    }
    bool finished =
        h2->is_server ? stream->response_submitted && code == NGHTTP2_NO_ERROR
                      : stream->complete;
    if (!finished) {
        bool unprocessed = !h2->is_server && id > h2->goaway_last_stream;
        h2->ops->closed(h2, id, code == NGHTTP2_REFUSED_STREAM || unprocessed);
    }
    free_stream(h2, stream);
    return 0;
}

static ssize_t
read_body(nghttp2_session *session, int32_t id, uint8_t *out, size_t length,
          uint32_t *flags, nghttp2_data_source *source, void *user)
{
    stream_t *stream = source->ptr;
    size_t left = stream->out.length - stream->out_position;
    size_t part = MIN(left, length);
    (void)session;
    (void)id;
    (void)user;
    if (part > 0) {
        memcpy(out, stream->out.data + stream->out_position, part);
    }
    stream->out_position += part;
    if (part == left) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return (ssize_t)part;
}

/* Socket */

static void
update_watch(mv_h2_t *h2)
{
    int events = APR_POLLIN;
    if (!h2->connected || h2->unsent.length > 0 ||
        nghttp2_session_want_write(h2->session)) {
        events |= APR_POLLOUT;
    }
    MvLoop_Watch(h2->loop, &h2->watch, h2->socket, events);
}

/* Return: true when all unsent bytes were written to the socket. */
static bool
write_unsent(mv_h2_t *h2)
{
    while (h2->unsent.length > 0 && !h2->failed) {
        apr_size_t part = h2->unsent.length;
        apr_status_t status =
            apr_socket_send(h2->socket, (const char *)h2->unsent.data, &part);
        MvBuffer_Consume(&h2->unsent, part);
        if (APR_STATUS_IS_EAGAIN(status)) {
            return false;
        }
        h2->failed = status != APR_SUCCESS;
    }
    return !h2->failed;
}

/* Takes new frames from the session only when the socket accepted all earlier
 * ones, so that a slow reader delays no connection but its own. */
static void
write_frames(mv_h2_t *h2)
{
    while (write_unsent(h2)) {
        const uint8_t *data = NULL;
        ssize_t length = nghttp2_session_mem_send(h2->session, &data);
        if (length <= 0) {
            h2->failed = length < 0;
            return;
        }
        if (!MvBuffer_Append(&h2->unsent, data, (size_t)length)) {
            h2->failed = true;
        }
    }
}

static void
read_socket(mv_h2_t *h2)
{
    char bytes[READ_BYTES];
    while (!h2->failed) {
        apr_size_t length = sizeof(bytes);
        apr_status_t status = apr_socket_recv(h2->socket, bytes, &length);
        if (length > 0) {
            h2->last_received_at = apr_time_now();
            ssize_t used = nghttp2_session_mem_recv(
                h2->session, (const uint8_t *)bytes, length);
            h2->failed = used < 0;
        }
        if (APR_STATUS_IS_EAGAIN(status)) {
            return;
        }
        if (status != APR_SUCCESS) {
            h2->failed = true;
        }
    }
}

static void
destroy(mv_h2_t *h2)
{
    /* closed() may send the request again, but not on this connection. */
    h2->failed = true;
    MvLoop_Watch(h2->loop, &h2->watch, h2->socket, 0);
    MV_LIST_FOREACH(item, &h2->streams)
    {
        stream_t *stream = MV_CONTAINER_OF(item, stream_t, link);
        bool finished = !h2->is_server && stream->complete;
        if (!finished) {
            bool unprocessed =
                !h2->is_server &&
                (stream->id > h2->goaway_last_stream || !h2->connected);
            h2->ops->closed(h2, stream->id, unprocessed);
        }
        free_stream(h2, stream);
    }
    h2->ops->disconnected(h2);
    nghttp2_session_del(h2->session);
    MvBuffer_Clear(&h2->unsent);
    apr_socket_close(h2->socket);
    apr_pool_destroy(h2->pool);
    g_free(h2);
}

static bool
is_finished(const mv_h2_t *h2)
{
    return h2->failed || (h2->unsent.length == 0 &&
                          !nghttp2_session_want_read(h2->session) &&
                          !nghttp2_session_want_write(h2->session));
}

static void
h2_ready(mv_watch_t *watch, int events)
{
    mv_h2_t *h2 = MV_CONTAINER_OF(watch, mv_h2_t, watch);
    h2->in_callback = true;
    if (events & APR_POLLOUT) {
        h2->connected = true;
    }
    if (events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR)) {
        read_socket(h2);
    }
    if (!h2->failed && h2->connected) {
        write_frames(h2);
    }
    h2->in_callback = false;
    if (is_finished(h2)) {
        destroy(h2);
        return;
    }
    update_watch(h2);
}

/* To be called after frames were submitted: h2_ready() writes them when the
 * socket is writable. */
static void
request_write(mv_h2_t *h2)
{
    if (!h2->in_callback) {
        MvLoop_Watch(h2->loop, &h2->watch, h2->socket,
                     APR_POLLIN | APR_POLLOUT);
    }
}

/* Public */

static bool
open_session(mv_h2_t *h2)
{
    nghttp2_session_callbacks *callbacks = NULL;
    if (nghttp2_session_callbacks_new(&callbacks) != 0) {
        return false;
    }
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           on_stream_close);
    int result = h2->is_server
                     ? nghttp2_session_server_new(&h2->session, callbacks, h2)
                     : nghttp2_session_client_new(&h2->session, callbacks, h2);
    nghttp2_session_callbacks_del(callbacks);
    if (result != 0) {
        return false;
    }
    nghttp2_settings_entry settings[] = {
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MAX_CONCURRENT_STREAMS},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, FLOW_CONTROL_WINDOW_BYTES},
    };
    nghttp2_submit_settings(h2->session, NGHTTP2_FLAG_NONE, settings,
                            G_N_ELEMENTS(settings));
    nghttp2_session_set_local_window_size(h2->session, NGHTTP2_FLAG_NONE, 0,
                                          FLOW_CONTROL_WINDOW_BYTES);
    return true;
}

static mv_h2_t *
create(mv_loop_t *loop, apr_socket_t *socket, apr_pool_t *pool, bool is_server,
       const mv_h2_ops_t *ops, void *context)
{
    mv_h2_t *h2 = g_new0(mv_h2_t, 1);
    h2->watch.ready = h2_ready;
    h2->loop = loop;
    h2->pool = pool;
    h2->socket = socket;
    h2->ops = ops;
    h2->context = context;
    h2->is_server = is_server;
    h2->connected = is_server;
    h2->goaway_last_stream = INT32_MAX;
    h2->last_received_at = apr_time_now();
    MvList_Init(&h2->streams);
    if (!open_session(h2)) {
        apr_socket_close(socket);
        apr_pool_destroy(pool);
        g_free(h2);
        return NULL;
    }
    MvLoop_Watch(loop, &h2->watch, socket, APR_POLLIN | APR_POLLOUT);
    return h2;
}

mv_h2_t *
MvH2_Accept(mv_loop_t *loop, apr_socket_t *socket, apr_pool_t *pool,
            const mv_h2_ops_t *ops, void *context)
{
    apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
    apr_socket_timeout_set(socket, 0);
    apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
    return create(loop, socket, pool, true, ops, context);
}

mv_h2_t *
MvH2_Connect(mv_loop_t *loop, const char *address, uint16_t port,
             const mv_h2_ops_t *ops, void *context)
{
    apr_pool_t *pool = NULL;
    if (apr_pool_create(&pool, MvLoop_Pool(loop)) != APR_SUCCESS) {
        return NULL;
    }
    apr_socket_t *socket = MvNet_Connect(pool, address, port);
    if (!socket) {
        apr_pool_destroy(pool);
        return NULL;
    }
    return create(loop, socket, pool, false, ops, context);
}

void *
MvH2_Context(const mv_h2_t *h2)
{
    return h2->context;
}

static nghttp2_nv *
make_name_values(const mv_http_message_t *message)
{
    nghttp2_nv *fields = g_new0(nghttp2_nv, message->fields->len + 1);
    for (guint i = 0; i < message->fields->len; i++) {
        const mv_http_field_t *field =
            &g_array_index(message->fields, mv_http_field_t, i);
        fields[i] = (nghttp2_nv){.name = (uint8_t *)field->name,
                                 .value = (uint8_t *)field->value,
                                 .namelen = strlen(field->name),
                                 .valuelen = strlen(field->value)};
    }
    return fields;
}

int32_t
MvH2_Request(mv_h2_t *h2, const mv_http_message_t *request)
{
    if (!MvH2_AcceptsRequests(h2)) {
        return -1;
    }
    stream_t *stream = add_stream(h2, 0);
    nghttp2_data_provider provider = {.source.ptr = stream,
                                      .read_callback = read_body};
    bool body = request->body.length > 0;
    MvBuffer_Append(&stream->out, request->body.data, request->body.length);
    nghttp2_nv *fields = make_name_values(request);
    int32_t id =
        nghttp2_submit_request(h2->session, NULL, fields, request->fields->len,
                               body ? &provider : NULL, stream);
    g_free(fields);
    if (id < 0) {
        free_stream(h2, stream);
        return -1;
    }
    stream->id = id;
    request_write(h2);
    return id;
}

bool
MvH2_Respond(mv_h2_t *h2, int32_t id, const mv_http_message_t *response)
{
    stream_t *stream = find_stream(h2, id);
    if (!stream || stream->response_submitted) {
        return false;
    }
    nghttp2_data_provider provider = {.source.ptr = stream,
                                      .read_callback = read_body};
    bool body = response->body.length > 0;
    MvBuffer_Append(&stream->out, response->body.data, response->body.length);
    nghttp2_nv *fields = make_name_values(response);
    int result =
        nghttp2_submit_response(h2->session, id, fields, response->fields->len,
                                body ? &provider : NULL);
    g_free(fields);
    stream->response_submitted = result == 0;
    request_write(h2);
    return stream->response_submitted;
}

void
MvH2_Reset(mv_h2_t *h2, int32_t id, bool refused)
{
    stream_t *stream = find_stream(h2, id);
    uint8_t opaque[8] = {0};
    nghttp2_submit_rst_stream(h2->session, NGHTTP2_FLAG_NONE, id,
                              refused ? NGHTTP2_REFUSED_STREAM
                                      : NGHTTP2_CANCEL);
    if (stream && !h2->is_server && !stream->complete) {
        stream->cancelled = true;
        memcpy(opaque, &id, sizeof(id));
        nghttp2_submit_ping(h2->session, NGHTTP2_FLAG_NONE, opaque);
    }
    request_write(h2);
}

void
MvH2_Ping(mv_h2_t *h2)
{
    nghttp2_submit_ping(h2->session, NGHTTP2_FLAG_NONE, NULL);
    request_write(h2);
}

mv_time_t
MvH2_LastReceived(const mv_h2_t *h2)
{
    return h2->last_received_at;
}

size_t
MvH2_StreamCount(const mv_h2_t *h2)
{
    return h2->stream_count;
}

bool
MvH2_AcceptsRequests(const mv_h2_t *h2)
{
    return !h2->failed && h2->goaway_last_stream == INT32_MAX &&
           nghttp2_session_check_request_allowed(h2->session);
}

void
MvH2_SendShutdownNotice(mv_h2_t *h2)
{
    nghttp2_submit_shutdown_notice(h2->session);
    request_write(h2);
}

void
MvH2_Shutdown(mv_h2_t *h2)
{
    if (h2->shutdown_sent) {
        return;
    }
    h2->shutdown_sent = true;
    int32_t last = nghttp2_session_get_last_proc_stream_id(h2->session);
    nghttp2_submit_goaway(h2->session, NGHTTP2_FLAG_NONE, last,
                          NGHTTP2_NO_ERROR, NULL, 0);
    request_write(h2);
}

void
MvH2_Close(mv_h2_t *h2)
{
    if (h2->in_callback) {
        h2->failed = true;
        return;
    }
    destroy(h2);
}
