/* TCP and UDP links to other entry VMs and operators. */
#include "masticvane/net.h"

#include <apr_network_io.h>
#include <errno.h>
#include <string.h>

#define READ_BYTES 65536
#define MAX_QUEUED_BYTES (32u << 20)
#define RECONNECT_INTERVAL (100 * MV_MILLISECOND)
#define REFUSED_LOG_INTERVAL MV_SECOND
#define MAX_DATAGRAM_BYTES 1400
#define MAX_CONNECTIONS 1024

typedef struct connection {
    mv_watch_t watch;
    mv_list_t link;
    mv_links_t *links;
    struct peer *peer;
    apr_pool_t *pool;
    apr_socket_t *socket;
    bool was_established;
    mv_buffer_t in;
    mv_buffer_t out;
    bool failed;
} connection_t;

typedef struct peer {
    mv_node_id_t id;
    char *address;
    uint16_t port;
    apr_sockaddr_t *udp_address;
    connection_t *connection;
    mv_time_t retry_at;
} peer_t;

struct mv_reply {
    mv_links_t *links;
    connection_t *connection;
};

struct mv_links {
    mv_watch_t accept_watch;
    mv_watch_t datagram_watch;
    mv_loop_t *loop;
    mv_links_settings_t settings;
    const mv_links_ops_t *ops;
    void *context;
    apr_socket_t *listener;
    apr_socket_t *datagram_socket;
    mv_frame_codec_t *codec;
    mv_frame_codec_t *datagram_codec;
    GHashTable *peers;
    mv_list_t connections;
    unsigned connection_count;
    mv_time_t refused_logged_at;
    uint64_t refused_count;
};

/* Counts a refused frame; logs at most once in REFUSED_LOG_INTERVAL. */
static void
count_refused(mv_links_t *links, const char *why)
{
    mv_time_t now = apr_time_now();
    links->refused_count++;
    MvCounters_Add(links->settings.counters, MV_COUNTER_FRAMES_REFUSED, 1);
    if (now - links->refused_logged_at < REFUSED_LOG_INTERVAL) {
        return;
    }
    links->refused_logged_at = now;
    MvLog_Write(links->settings.log, MV_EVENT_FRAME_REFUSED,
                "count=%" G_GUINT64_FORMAT " last=%s", links->refused_count,
                why);
    links->refused_count = 0;
}

static void
count_in(mv_links_t *links, size_t bytes)
{
    MvCounters_Add(links->settings.counters, MV_COUNTER_FRAMES_IN, 1);
    MvCounters_Add(links->settings.counters, MV_COUNTER_CONTROL_BYTES_IN,
                   bytes);
}

static void
count_out(mv_links_t *links, size_t bytes)
{
    MvCounters_Add(links->settings.counters, MV_COUNTER_FRAMES_OUT, 1);
    MvCounters_Add(links->settings.counters, MV_COUNTER_CONTROL_BYTES_OUT,
                   bytes);
}

static void
handle_message(mv_links_t *links, const mv_frame_t *frame)
{
    mv_message_t *message = MvMessage_Decode(frame->body, frame->length);
    if (!message || message->from != frame->sender) {
        count_refused(links, "malformed");
        MvMessage_Free(message);
        return;
    }
    count_in(links, frame->size);
    links->ops->message(links->context, message);
    MvMessage_Free(message);
}

/* Connections */

static void
free_connection(connection_t *connection)
{
    mv_links_t *links = connection->links;
    MvLoop_Watch(links->loop, &connection->watch, connection->socket, 0);
    if (connection->peer) {
        connection->peer->connection = NULL;
        /* Back off only when the connection was never established. */
        connection->peer->retry_at = connection->was_established
                                         ? 0
                                         : apr_time_now() + RECONNECT_INTERVAL;
    }
    MvList_Remove(&connection->link);
    MvBuffer_Clear(&connection->in);
    MvBuffer_Clear(&connection->out);
    apr_socket_close(connection->socket);
    apr_pool_destroy(connection->pool);
    links->connection_count--;
    g_free(connection);
}

static void
flush(connection_t *connection)
{
    while (connection->out.length > 0) {
        apr_size_t length = connection->out.length;
        apr_status_t status = apr_socket_send(
            connection->socket, (const char *)connection->out.data, &length);
        MvBuffer_Consume(&connection->out, length);
        connection->was_established =
            connection->was_established || length > 0;
        if (APR_STATUS_IS_EAGAIN(status) ||
            (status == APR_SUCCESS && length == 0)) {
            break;
        }
        if (status != APR_SUCCESS) {
            /* Not connected yet: POSIX specifies ENOTCONN, Linux returns
             * EAGAIN.  The rest is sent when the socket is writable. */
            connection->failed = status != ENOTCONN;
            break;
        }
    }
    int events = APR_POLLIN | (connection->out.length ? APR_POLLOUT : 0);
    MvLoop_Watch(connection->links->loop, &connection->watch,
                 connection->socket, events);
}

static void
handle_frame(connection_t *connection, const mv_frame_t *frame)
{
    mv_links_t *links = connection->links;
    if (frame->type == MV_FRAME_MESSAGE) {
        handle_message(links, frame);
        return;
    }
    if (frame->type != MV_FRAME_COMMAND) {
        count_refused(links, "unexpected type");
        return;
    }
    mv_reply_t reply = {.links = links, .connection = connection};
    char *command = g_strndup((const char *)frame->body, frame->length);
    count_in(links, frame->size);
    links->ops->command(links->context, command, frame->length, &reply);
    g_free(command);
}

static void
handle_frames(connection_t *connection)
{
    size_t used = 0;
    while (!connection->failed) {
        mv_frame_t frame;
        mv_frame_status_t status = MvFrameCodec_Decode(
            connection->links->codec, connection->in.data + used,
            connection->in.length - used, &frame);
        if (status == MV_FRAME_INCOMPLETE) {
            break;
        }
        if (status == MV_FRAME_INVALID) {
            count_refused(connection->links,
                          "unsigned, replayed or malformed");
            connection->failed = true;
            break;
        }
        handle_frame(connection, &frame);
        used += frame.size;
    }
    MvBuffer_Consume(&connection->in, used);
}

static void
read_connection(connection_t *connection)
{
    char bytes[READ_BYTES];
    for (;;) {
        apr_size_t length = sizeof(bytes);
        apr_status_t status =
            apr_socket_recv(connection->socket, bytes, &length);
        if (length > 0 && !MvBuffer_Append(&connection->in, bytes, length)) {
            connection->failed = true;
        }
        if (APR_STATUS_IS_EAGAIN(status)) {
            break;
        }
        if (status != APR_SUCCESS) {
            connection->failed = true;
            break;
        }
    }
    handle_frames(connection);
}

static void
connection_ready(mv_watch_t *watch, int events)
{
    connection_t *connection = MV_CONTAINER_OF(watch, connection_t, watch);
    if (events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR)) {
        read_connection(connection);
    }
    if (!connection->failed && connection->out.length > 0) {
        flush(connection);
    }
    if (connection->failed) {
        free_connection(connection);
    }
}

static connection_t *
add_connection(mv_links_t *links, apr_socket_t *socket, apr_pool_t *pool)
{
    connection_t *connection = g_new0(connection_t, 1);
    connection->watch.ready = connection_ready;
    connection->links = links;
    connection->pool = pool;
    connection->socket = socket;
    MvNet_EnableKeepalive(socket);
    MvList_Append(&links->connections, &connection->link);
    links->connection_count++;
    return connection;
}

static void
accept_ready(mv_watch_t *watch, int events)
{
    mv_links_t *links = MV_CONTAINER_OF(watch, mv_links_t, accept_watch);
    (void)events;
    for (;;) {
        apr_pool_t *pool = NULL;
        apr_socket_t *socket = NULL;
        if (apr_pool_create(&pool, MvLoop_Pool(links->loop)) != APR_SUCCESS) {
            return;
        }
        if (apr_socket_accept(&socket, links->listener, pool) != APR_SUCCESS) {
            apr_pool_destroy(pool);
            return;
        }
        if (links->connection_count >= MAX_CONNECTIONS) {
            apr_socket_close(socket);
            apr_pool_destroy(pool);
            continue;
        }
        apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
        apr_socket_timeout_set(socket, 0);
        apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
        connection_t *connection = add_connection(links, socket, pool);
        MvLoop_Watch(links->loop, &connection->watch, socket, APR_POLLIN);
    }
}

static void
datagram_ready(mv_watch_t *watch, int events)
{
    mv_links_t *links = MV_CONTAINER_OF(watch, mv_links_t, datagram_watch);
    (void)events;
    for (;;) {
        char bytes[READ_BYTES];
        apr_size_t length = sizeof(bytes);
        if (apr_socket_recv(links->datagram_socket, bytes, &length) !=
            APR_SUCCESS) {
            return;
        }
        mv_frame_t frame;
        if (MvFrameCodec_Decode(links->datagram_codec, (const uint8_t *)bytes,
                                length, &frame) != MV_FRAME_VALID ||
            frame.size != length || frame.type != MV_FRAME_MESSAGE) {
            count_refused(links, "datagram");
            continue;
        }
        handle_message(links, &frame);
    }
}

/* Public */

static void
free_peer(gpointer pointer)
{
    peer_t *peer = pointer;
    if (peer->connection) {
        peer->connection->peer = NULL;
    }
    g_free(peer->address);
    g_free(peer);
}

mv_links_t *
MvLinks_Create(mv_loop_t *loop, const mv_links_settings_t *settings,
               const mv_links_ops_t *ops, void *context, GError **error)
{
    mv_links_t *links = g_new0(mv_links_t, 1);
    apr_pool_t *pool = MvLoop_Pool(loop);
    links->accept_watch.ready = accept_ready;
    links->datagram_watch.ready = datagram_ready;
    links->loop = loop;
    links->settings = *settings;
    links->ops = ops;
    links->context = context;
    MvList_Init(&links->connections);
    links->peers =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_peer);
    links->codec =
        MvFrameCodec_Create(settings->keyring, settings->id, settings->channel,
                            settings->first_sequence);
    links->datagram_codec =
        MvFrameCodec_Create(settings->keyring, settings->id,
                            settings->channel + 1u, settings->first_sequence);
    links->listener = MvNet_Listen(pool, settings->address, settings->port,
                                   SOCK_STREAM, false, error);
    if (links->listener) {
        links->datagram_socket = MvNet_Listen(
            pool, settings->address, settings->port, SOCK_DGRAM, false, error);
    }
    if (!links->listener || !links->datagram_socket) {
        MvLinks_Destroy(links);
        return NULL;
    }
    MvLoop_Watch(loop, &links->accept_watch, links->listener, APR_POLLIN);
    MvLoop_Watch(loop, &links->datagram_watch, links->datagram_socket,
                 APR_POLLIN);
    return links;
}

void
MvLinks_Destroy(mv_links_t *links)
{
    if (!links) {
        return;
    }
    MV_LIST_FOREACH(item, &links->connections)
    {
        free_connection(MV_CONTAINER_OF(item, connection_t, link));
    }
    MvLoop_Watch(links->loop, &links->accept_watch, links->listener, 0);
    MvLoop_Watch(links->loop, &links->datagram_watch, links->datagram_socket,
                 0);
    if (links->listener) {
        apr_socket_close(links->listener);
    }
    if (links->datagram_socket) {
        apr_socket_close(links->datagram_socket);
    }
    g_hash_table_unref(links->peers);
    MvFrameCodec_Destroy(links->codec);
    MvFrameCodec_Destroy(links->datagram_codec);
    g_free(links);
}

void
MvLinks_AddPeer(mv_links_t *links, mv_node_id_t id, const char *address,
                uint16_t port)
{
    peer_t *peer = g_new0(peer_t, 1);
    peer->id = id;
    peer->address = g_strdup(address);
    peer->port = port;
    apr_sockaddr_info_get(&peer->udp_address, address, APR_INET, port, 0,
                          MvLoop_Pool(links->loop));
    g_hash_table_insert(links->peers, GUINT_TO_POINTER(id), peer);
}

static connection_t *
connect_peer(mv_links_t *links, peer_t *peer)
{
    if (peer->connection || apr_time_now() < peer->retry_at) {
        return peer->connection;
    }
    apr_pool_t *pool = NULL;
    if (apr_pool_create(&pool, MvLoop_Pool(links->loop)) != APR_SUCCESS) {
        return NULL;
    }
    apr_socket_t *socket = MvNet_Connect(pool, peer->address, peer->port);
    if (!socket) {
        apr_pool_destroy(pool);
        peer->retry_at = apr_time_now() + RECONNECT_INTERVAL;
        return NULL;
    }
    peer->connection = add_connection(links, socket, pool);
    peer->connection->peer = peer;
    return peer->connection;
}

static void
queue_on_connection(mv_links_t *links, peer_t *peer, const mv_buffer_t *frame)
{
    connection_t *connection = connect_peer(links, peer);
    if (!connection ||
        connection->out.length + frame->length > MAX_QUEUED_BYTES ||
        !MvBuffer_Append(&connection->out, frame->data, frame->length)) {
        return;
    }
    MvLoop_Watch(links->loop, &connection->watch, connection->socket,
                 APR_POLLIN | APR_POLLOUT);
}

void
MvLinks_Send(mv_links_t *links, mv_node_id_t to, const mv_message_t *message)
{
    peer_t *peer = g_hash_table_lookup(links->peers, GUINT_TO_POINTER(to));
    mv_buffer_t body = {.data = NULL};
    mv_buffer_t frame = {.data = NULL};
    if (!peer || !MvMessage_Encode(message, &body)) {
        MvBuffer_Clear(&body);
        return;
    }
    bool fits_datagram =
        body.length + MV_FRAME_OVERHEAD_BYTES <= MAX_DATAGRAM_BYTES;
    bool datagram = MvMessage_IsDatagram(message) && fits_datagram;
    mv_frame_codec_t *codec = datagram ? links->datagram_codec : links->codec;
    if (MvFrameCodec_Encode(codec, MV_FRAME_MESSAGE, body.data, body.length,
                            &frame)) {
        count_out(links, frame.length);
        if (datagram) {
            apr_size_t length = frame.length;
            apr_socket_sendto(links->datagram_socket, peer->udp_address, 0,
                              (const char *)frame.data, &length);
        }
        else {
            queue_on_connection(links, peer, &frame);
        }
    }
    MvBuffer_Clear(&body);
    MvBuffer_Clear(&frame);
}

void
MvReply_Send(mv_reply_t *reply, const char *text, size_t length)
{
    if (!reply->connection) {
        return;
    }
    MvFrameCodec_Encode(reply->links->codec, MV_FRAME_RESPONSE, text, length,
                        &reply->connection->out);
    flush(reply->connection);
    reply->connection = NULL;
}
