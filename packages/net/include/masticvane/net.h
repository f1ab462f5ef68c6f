/**
 * DOC: masticvane network library
 *
 * Signed frames between entry VMs and operators, an event loop over APR's
 * pollset, TCP and UDP links that carry frames, HTTP/1.1 and HTTP/2
 * connections, and the signed header of relayed packets.
 *
 * Nothing here blocks or locks.  Objects created with a loop may only be used
 * by the thread that runs this loop; a keyring is read-only after parsing and
 * may be shared by all threads.  Times are mv_time_t, microseconds.
 */
#ifndef MASTICVANE_NET_H
#define MASTICVANE_NET_H

#include <apr_poll.h>
#include <apr_pools.h>

#include "masticvane/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Message codec */

/**
 * MvMessage_Encode() - Append @message to @out as msgpack.
 *
 * Return: false when nothing could be appended because memory ran out; true
 * also when only a part of the message could be appended.
 */
bool MvMessage_Encode(const mv_message_t *message, mv_buffer_t *out);

/**
 * MvMessage_Decode() - Decode one msgpack message.
 *
 * Return: the message, to be freed with MvMessage_Free(); NULL when the
 * bytes are not exactly one well-formed message.
 */
mv_message_t *MvMessage_Decode(const uint8_t *data, size_t length);

/**
 * MvMsgpack_IsBounded() - Check that untrusted bytes are safe to unpack.
 *
 * The msgpack library allocates memory for the element count that an array
 * header declares.  This check refuses arrays that declare more elements than
 * there are bytes left in @data, and all types other than integers, nil,
 * binary data and arrays.
 *
 * Return: true when @data may be passed to msgpack.
 */
bool MvMsgpack_IsBounded(const uint8_t *data, size_t length);

/** MvMessage_Free() - Free a decoded message and its arrays; accepts NULL. */
void MvMessage_Free(mv_message_t *message);

/* Frames */

/** Longest frame body that is sent or accepted. */
#define MV_FRAME_MAX_BODY_BYTES (8u << 20)
/** Length of a signing key. */
#define MV_KEY_BYTES 32
/** Length of the BLAKE2b MAC at the end of each frame. */
#define MV_MAC_BYTES 16

/**
 * enum mv_frame_type - Content of a frame's body.
 * @MV_FRAME_MESSAGE: msgpack message between entry VMs
 * @MV_FRAME_COMMAND: text of an operator's command
 * @MV_FRAME_RESPONSE: text of the response to a command
 */
typedef enum mv_frame_type {
    MV_FRAME_MESSAGE = 1,
    MV_FRAME_COMMAND = 2,
    MV_FRAME_RESPONSE = 3,
} mv_frame_type_t;

/**
 * struct mv_frame_header - First bytes of every frame, network byte order.
 * @length: bytes that follow the header, MAC included
 * @version: MV_FRAME_VERSION
 * @type: &enum mv_frame_type
 * @key_id: id of the key that made the MAC
 * @reserved: zero
 * @sender: node id, MV_NO_NODE for operators
 * @channel: number of the sender's sequence space, so that its threads and
 *           its TCP and UDP frames can be numbered independently
 * @sequence: increases with every frame of the sender's channel
 */
typedef struct mv_frame_header {
    uint32_t length;
    uint8_t version;
    uint8_t type;
    uint8_t key_id;
    uint8_t reserved;
    uint16_t sender;
    uint16_t channel;
    uint64_t sequence;
} __attribute__((packed)) mv_frame_header_t;

/** Version of the frame format and of the relay header. */
#define MV_FRAME_VERSION 1
/** Bytes that a frame adds to its body. */
#define MV_FRAME_OVERHEAD_BYTES (sizeof(mv_frame_header_t) + MV_MAC_BYTES)

/** typedef mv_keyring_t - Keys that sign and verify frames. */
typedef struct mv_keyring mv_keyring_t;

/**
 * MvKeyring_Parse() - Parse the text of a key file.
 * @file: file name for findings
 * @text: one line "ID HEX" for each key, ID from 0 to 255, HEX 64 digits;
 *        empty lines and lines that begin with ";" are skipped
 * @deployment: included in every MAC, so that a frame of one deployment is
 *              not accepted in another one that has the same key
 * @findings: receives one finding for each faulty line
 *
 * The first key signs; all keys verify.
 *
 * Return: the keyring, to be freed with MvKeyring_Destroy(); NULL when there
 * are findings.
 */
mv_keyring_t *MvKeyring_Parse(const char *file, const char *text,
                              const char *deployment, mv_findings_t *findings);

/** MvKeyring_Destroy() - Wipe the keys and free them; accepts NULL. */
void MvKeyring_Destroy(mv_keyring_t *keyring);

/**
 * typedef mv_frame_codec_t - Signs outgoing and verifies incoming frames.
 *
 * Numbers the frames of one channel of the sender, and keeps a replay window
 * for each channel of each other sender.
 */
typedef struct mv_frame_codec mv_frame_codec_t;

/**
 * MvFrameCodec_Create() - Create the codec of one channel.
 * @keyring: must outlive the codec
 * @sender: node id, MV_NO_NODE for operators
 * @channel: number of the channel, unique among the sender's codecs
 * @first_sequence: larger than any that this channel used before, also before
 *                  a restart, such as the Unix time in microseconds
 *
 * Return: the codec, to be freed with MvFrameCodec_Destroy().
 */
mv_frame_codec_t *MvFrameCodec_Create(const mv_keyring_t *keyring,
                                      mv_node_id_t sender, uint16_t channel,
                                      uint64_t first_sequence);

/** MvFrameCodec_Destroy() - Free the codec; accepts NULL. */
void MvFrameCodec_Destroy(mv_frame_codec_t *codec);

/**
 * MvFrameCodec_Encode() - Append a signed frame with @body to @out.
 * @length: bytes in @body, MV_FRAME_MAX_BODY_BYTES at most
 *
 * Return: false when @body is too long or memory ran out; @out is unchanged.
 */
bool MvFrameCodec_Encode(mv_frame_codec_t *codec, mv_frame_type_t type,
                         const void *body, size_t length, mv_buffer_t *out);

/**
 * struct mv_frame - A verified frame; points into the decoded bytes.
 * @type: &enum mv_frame_type
 * @sender: node id
 * @body: the body, without header and MAC
 * @length: bytes in @body
 * @size: bytes of the whole frame
 */
typedef struct mv_frame {
    mv_frame_type_t type;
    mv_node_id_t sender;
    const uint8_t *body;
    size_t length;
    size_t size;
} mv_frame_t;

/**
 * enum mv_frame_status - Result of MvFrameCodec_Decode().
 * @MV_FRAME_VALID: the frame is complete and verified
 * @MV_FRAME_INCOMPLETE: more bytes are needed
 * @MV_FRAME_INVALID: the bytes are no acceptable frame
 */
typedef enum mv_frame_status {
    MV_FRAME_VALID,
    MV_FRAME_INCOMPLETE,
    MV_FRAME_INVALID,
} mv_frame_status_t;

/**
 * MvFrameCodec_Decode() - Verify the frame at the start of @data.
 * @frame: set when the result is MV_FRAME_VALID
 *
 * A frame is invalid when it is too long, of another version or type, has no
 * valid MAC, or is a replay.  For each channel of a sender, the newest 64
 * sequence numbers are remembered: reordered frames within this window are
 * accepted once, older ones are refused.
 */
mv_frame_status_t MvFrameCodec_Decode(mv_frame_codec_t *codec,
                                      const uint8_t *data, size_t length,
                                      mv_frame_t *frame);

/* Relayed packets */

/** Length of the header in front of a relayed packet. */
#define MV_RELAY_HEADER_BYTES 16

/**
 * MvRelayHeader_Write() - Write the signed header of a relayed packet.
 * @sender: node that relays the packet
 * @hops: relays so far, this one included; at least 1
 * @packet: the packet, without header
 * @length: bytes in @packet
 * @out: receives MV_RELAY_HEADER_BYTES bytes
 */
void MvRelayHeader_Write(const mv_keyring_t *keyring, mv_node_id_t sender,
                         uint8_t hops, const uint8_t *packet, size_t length,
                         uint8_t *out);

/**
 * MvRelayHeader_Verify() - Verify the header of a relayed packet.
 * @data: header and packet
 * @length: bytes in @data
 * @hops: set to the hop count
 *
 * Return: false when the header is malformed or not signed with a key of this
 * deployment.
 */
bool MvRelayHeader_Verify(const mv_keyring_t *keyring, const uint8_t *data,
                          size_t length, uint8_t *hops);

/* Event loop */

/** typedef mv_loop_t - Event loop of one thread. */
typedef struct mv_loop mv_loop_t;

/**
 * struct mv_watch - A socket on a loop; embedded in its owner, initialised to
 *                   zero.
 * @ready: called with a mask of APR_POLLIN, APR_POLLOUT, APR_POLLHUP and
 *         APR_POLLERR; set by the owner
 * @fd: private to the loop
 * @active: private to the loop: @fd is in the pollset
 */
typedef struct mv_watch {
    void (*ready)(struct mv_watch *watch, int events);
    apr_pollfd_t fd;
    bool active;
} mv_watch_t;

/**
 * MvLoop_Create() - Create a loop for up to @capacity sockets.
 *
 * Return: the loop, freed with @pool; NULL when no pollset can be created.
 */
mv_loop_t *MvLoop_Create(apr_pool_t *pool, uint32_t capacity);

/**
 * MvLoop_Watch() - Set the events that @watch waits for.
 * @events: mask of APR_POLLIN and APR_POLLOUT; 0 removes @watch from the loop
 *
 * Return: false when the socket cannot be added to the pollset.
 */
bool MvLoop_Watch(mv_loop_t *loop, mv_watch_t *watch, apr_socket_t *socket,
                  int events);

/**
 * MvLoop_Run() - Wait for events once and call the watches that are ready.
 * @timeout: longest wait in microseconds
 */
void MvLoop_Run(mv_loop_t *loop, mv_time_t timeout);

/**
 * MvLoop_Wake() - Make MvLoop_Run() return soon, from any thread.
 */
void MvLoop_Wake(mv_loop_t *loop);

/** MvLoop_Pool() - Return the pool that the loop was created from. */
apr_pool_t *MvLoop_Pool(const mv_loop_t *loop);

/**
 * MvNet_Listen() - Open a non-blocking listener or bound datagram socket.
 * @address: IPv4 address
 * @type: SOCK_STREAM or SOCK_DGRAM
 * @reuse_port: set SO_REUSEPORT, so that several threads share the port
 *
 * Return: the socket, closed with its pool; NULL with @error set.
 */
apr_socket_t *MvNet_Listen(apr_pool_t *pool, const char *address,
                           uint16_t port, int type, bool reuse_port,
                           GError **error);

/**
 * MvNet_Connect() - Start a non-blocking TCP connection.
 *
 * Return: the socket, closed with its pool; NULL when @address is invalid or
 * the connection fails at once.
 */
apr_socket_t *MvNet_Connect(apr_pool_t *pool, const char *address,
                            uint16_t port);

/**
 * MvNet_EnableKeepalive() - Turn on TCP keepalive and a user timeout.
 *
 * A connection whose peer no longer acknowledges fails after about 3 s.
 */
void MvNet_EnableKeepalive(apr_socket_t *socket);

/* Links */

/**
 * typedef mv_links_t - TCP and UDP links to other entry VMs and operators.
 *
 * TCP connections to peers are opened when the first message is sent, and
 * opened again after a failure.
 */
typedef struct mv_links mv_links_t;

/** typedef mv_reply_t - Destination of the response to one command. */
typedef struct mv_reply mv_reply_t;

/**
 * struct mv_links_ops - Callbacks of links.
 * @message: a verified message arrived; valid during the callback
 * @command: an operator's verified command arrived; @command is NUL-terminated
 *           and, as @reply, valid during the callback; respond with
 *           MvReply_Send()
 */
typedef struct mv_links_ops {
    void (*message)(void *context, const mv_message_t *message);
    void (*command)(void *context, const char *command, size_t length,
                    mv_reply_t *reply);
} mv_links_ops_t;

/**
 * struct mv_links_settings - Settings of links.
 * @address: IPv4 address to bind to
 * @port: TCP and UDP port
 * @keyring: keys; must outlive the links
 * @id: own node id
 * @channel: channel of TCP frames; UDP frames use @channel + 1
 * @first_sequence: see MvFrameCodec_Create()
 * @counters: counts frames and bytes; must outlive the links
 * @log: receives at most one entry a second about refused frames
 */
typedef struct mv_links_settings {
    const char *address;
    uint16_t port;
    const mv_keyring_t *keyring;
    mv_node_id_t id;
    uint16_t channel;
    uint64_t first_sequence;
    mv_counters_t *counters;
    mv_log_t *log;
} mv_links_settings_t;

/**
 * MvLinks_Create() - Bind the ports and listen.
 * @context: passed to @ops
 *
 * Return: the links, to be freed with MvLinks_Destroy(); NULL with @error set.
 */
mv_links_t *MvLinks_Create(mv_loop_t *loop,
                           const mv_links_settings_t *settings,
                           const mv_links_ops_t *ops, void *context,
                           GError **error);

/** MvLinks_Destroy() - Close all sockets and free the links; accepts NULL. */
void MvLinks_Destroy(mv_links_t *links);

/** MvLinks_AddPeer() - Set or replace the IPv4 address and port of a node. */
void MvLinks_AddPeer(mv_links_t *links, mv_node_id_t id, const char *address,
                     uint16_t port);

/**
 * MvLinks_Send() - Queue a message for node @to.
 *
 * Uses UDP for kinds for which MvMessage_IsDatagram() holds and that fit into
 * one datagram, TCP for all others.  Delivery is not guaranteed: the message
 * is dropped when the node is unknown or unreachable, or when more than 32 MiB
 * would be queued for it.
 */
void MvLinks_Send(mv_links_t *links, mv_node_id_t to,
                  const mv_message_t *message);

/** MvReply_Send() - Send the response to a command; a second one is ignored.
 */
void MvReply_Send(mv_reply_t *reply, const char *text, size_t length);

/* HTTP/1.1 */

/** Longest response body that a client accepts. */
#define MV_HTTP1_MAX_BODY_BYTES (8u << 20)

/** typedef mv_http1_client_t - HTTP/1.1 client of one server. */
typedef struct mv_http1_client mv_http1_client_t;

/**
 * struct mv_http1_request - One request.
 * @method: such as "GET"
 * @target: path and query
 * @content_type: type of @body, or NULL
 * @body: request body, may be NULL
 * @length: bytes in @body
 * @timeout: longest duration in microseconds, connecting included
 * @stall_limit: once the response arrives, the call may go on beyond @timeout
 *               as long as its parts are no further apart; 0: it may not
 * @max_timeout: longest duration of such a call
 */
typedef struct mv_http1_request {
    const char *method;
    const char *target;
    const char *content_type;
    const char *body;
    size_t length;
    mv_time_t timeout;
    mv_time_t stall_limit;
    mv_time_t max_timeout;
} mv_http1_request_t;

/**
 * enum mv_http1_outcome - How a call ended.
 * @MV_HTTP1_RESPONDED: a complete response was received
 * @MV_HTTP1_NOT_SENT: no byte of the request was sent; safe to retry
 * @MV_HTTP1_UNKNOWN: no complete response; the server may have processed the
 *                    request
 */
typedef enum mv_http1_outcome {
    MV_HTTP1_RESPONDED,
    MV_HTTP1_NOT_SENT,
    MV_HTTP1_UNKNOWN,
} mv_http1_outcome_t;

/**
 * struct mv_http1_response - Result of a call, valid during the callback.
 * @outcome: how the call ended
 * @status: HTTP status code, or 0 without a response
 * @body: NUL-terminated response body
 * @length: bytes in @body, without the NUL
 * @is_partial: a part of a body arrived, but not all of it: it was cut off, it
 *              came too late, or it exceeds MV_HTTP1_MAX_BODY_BYTES
 * @has_index: the response has the header @index_header of
 *             MvHttp1_CreateClient(), with one decimal number as its value
 * @index: that number; 0 when @has_index is false
 */
typedef struct mv_http1_response {
    mv_http1_outcome_t outcome;
    unsigned status;
    const char *body;
    size_t length;
    bool is_partial;
    bool has_index;
    uint64_t index;
} mv_http1_response_t;

/** typedef mv_http1_done_t - Completion callback of a call. */
typedef void (*mv_http1_done_t)(void *context,
                                const mv_http1_response_t *response);

/**
 * MvHttp1_CreateClient() - Create a client of the server at @address.
 * @address: "ADDRESS:PORT"
 * @index_header: name of a response header with a decimal number, which is
 *                returned as index of the response, or NULL
 *
 * Connections are reused between calls; TCP keepalive detects dead ones.
 *
 * Return: the client, to be freed with MvHttp1_DestroyClient(); NULL when
 * @address is invalid.
 */
mv_http1_client_t *MvHttp1_CreateClient(mv_loop_t *loop, const char *address,
                                        const char *index_header);

/**
 * MvHttp1_DestroyClient() - Free the client; accepts NULL.
 *
 * Pending calls are dropped without their callbacks.
 */
void MvHttp1_DestroyClient(mv_http1_client_t *client);

/**
 * MvHttp1_Call() - Start a call.
 * @now: monotonic time
 * @done: called once from the loop or from MvHttp1_Timer(), never from within
 *        this function
 */
void MvHttp1_Call(mv_http1_client_t *client, const mv_http1_request_t *request,
                  mv_time_t now, mv_http1_done_t done, void *context);

/**
 * MvHttp1_Timer() - End a call that is past its timeout, one at most.
 * @now: monotonic time
 *
 * Return: time at which to call again, MV_NEVER when no call is pending.
 */
mv_time_t MvHttp1_Timer(mv_http1_client_t *client, mv_time_t now);

/** typedef mv_http1_server_t - HTTP/1.1 server for short GET requests. */
typedef struct mv_http1_server mv_http1_server_t;

/**
 * typedef mv_http1_handler_t - Handle one GET request.
 * @target: path and query
 * @body: empty; the handler appends the response body
 *
 * Return: the HTTP status code.
 */
typedef unsigned (*mv_http1_handler_t)(void *context, const char *target,
                                       mv_buffer_t *body);

/**
 * MvHttp1_Serve() - Start a server.
 * @context: passed to @handler
 *
 * Return: the server, to be freed with MvHttp1_DestroyServer(); NULL with
 * @error set.
 */
mv_http1_server_t *MvHttp1_Serve(mv_loop_t *loop, const char *address,
                                 uint16_t port, mv_http1_handler_t handler,
                                 void *context, GError **error);

/** MvHttp1_CloseIdle() - Close connections that have been idle for 30 s. */
void MvHttp1_CloseIdle(mv_http1_server_t *server, mv_time_t now);

/** MvHttp1_DestroyServer() - Close all connections and free; accepts NULL. */
void MvHttp1_DestroyServer(mv_http1_server_t *server);

/* HTTP/2 */

/**
 * struct mv_http_field - One header field.
 * @name: field name in lower case
 * @value: field value
 */
typedef struct mv_http_field {
    char *name;
    char *value;
} mv_http_field_t;

/**
 * struct mv_http_message - A complete request or response.
 * @fields: array of mv_http_field_t, pseudo-header fields included
 * @body: the body
 */
typedef struct mv_http_message {
    GArray *fields;
    mv_buffer_t body;
} mv_http_message_t;

/** MvHttpMessage_Create() - Create an empty message. */
mv_http_message_t *MvHttpMessage_Create(void);

/** MvHttpMessage_Destroy() - Free the message; accepts NULL. */
void MvHttpMessage_Destroy(mv_http_message_t *message);

/** MvHttpMessage_Add() - Append a header field; the strings are copied. */
void MvHttpMessage_Add(mv_http_message_t *message, const char *name,
                       const char *value);

/** MvHttpMessage_Get() - Return the value of the first field @name, or NULL.
 */
const char *MvHttpMessage_Get(const mv_http_message_t *message,
                              const char *name);

/** typedef mv_h2_t - One HTTP/2 connection, client or server side. */
typedef struct mv_h2 mv_h2_t;

/**
 * struct mv_h2_ops - Callbacks of a connection.
 * @message: a complete request (server side) or response (client side)
 *           arrived; the callee frees @message
 * @closed: a stream ended without a complete response: on the client side none
 *          arrived, on the server side none was sent completely.
 *          @not_processed is true when the request is known not to have been
 *          processed, so that it is safe to retry: the peer refused the stream
 *          or excluded it in a GOAWAY, or the socket never became writable
 * @disconnected: the connection ended; it is freed after this call
 */
typedef struct mv_h2_ops {
    void (*message)(mv_h2_t *h2, int32_t stream, mv_http_message_t *message);
    void (*closed)(mv_h2_t *h2, int32_t stream, bool not_processed);
    void (*disconnected)(mv_h2_t *h2);
} mv_h2_ops_t;

/**
 * MvH2_Accept() - Create the server side of an accepted connection.
 * @socket: accepted socket; owned by the connection from now on
 * @pool: pool of @socket; destroyed with the connection
 * @context: returned by MvH2_Context()
 *
 * Return: the connection; NULL on failure, with @socket closed.
 */
mv_h2_t *MvH2_Accept(mv_loop_t *loop, apr_socket_t *socket, apr_pool_t *pool,
                     const mv_h2_ops_t *ops, void *context);

/**
 * MvH2_Connect() - Open a connection as client.
 * @context: returned by MvH2_Context()
 *
 * Return: the connection, which may still be connecting; NULL on failure.
 */
mv_h2_t *MvH2_Connect(mv_loop_t *loop, const char *address, uint16_t port,
                      const mv_h2_ops_t *ops, void *context);

/** MvH2_Context() - Return the context given to MvH2_Accept() or
 * MvH2_Connect(). */
void *MvH2_Context(const mv_h2_t *h2);

/**
 * MvH2_Request() - Send a request on a new stream, client side.
 *
 * Return: the stream id, or -1 when the connection accepts no new requests.
 */
int32_t MvH2_Request(mv_h2_t *h2, const mv_http_message_t *request);

/**
 * MvH2_Respond() - Send the response to a request, server side.
 *
 * Return: false when the stream is closed or has its response already.
 */
bool MvH2_Respond(mv_h2_t *h2, int32_t stream,
                  const mv_http_message_t *response);

/**
 * MvH2_Reset() - Reset a stream.
 * @refused: use the code REFUSED_STREAM, which states that the request was not
 *           processed, instead of CANCEL
 *
 * On the client side a PING follows, and closed() is called when the peer
 * acknowledges it, which shows that it has read the reset, or when the
 * connection ends.  It is not called when the response was received completely
 * before that.
 */
void MvH2_Reset(mv_h2_t *h2, int32_t stream, bool refused);

/** MvH2_Ping() - Send a PING to check that the peer still responds. */
void MvH2_Ping(mv_h2_t *h2);

/** MvH2_LastReceived() - Return the APR time at which bytes were received
 * last, or at which the connection was created. */
mv_time_t MvH2_LastReceived(const mv_h2_t *h2);

/** MvH2_StreamCount() - Return the number of open streams. */
size_t MvH2_StreamCount(const mv_h2_t *h2);

/** MvH2_AcceptsRequests() - Check whether a client may send new requests. */
bool MvH2_AcceptsRequests(const mv_h2_t *h2);

/**
 * MvH2_SendShutdownNotice() - First step of a graceful shutdown, server side.
 *
 * Sends a GOAWAY that announces the shutdown; requests already on the way are
 * still accepted.
 */
void MvH2_SendShutdownNotice(mv_h2_t *h2);

/**
 * MvH2_Shutdown() - Second step of a graceful shutdown, server side.
 *
 * Sends the final GOAWAY: new streams are refused, open ones are finished.
 */
void MvH2_Shutdown(mv_h2_t *h2);

/**
 * MvH2_Close() - Close the connection at once.
 *
 * Calls closed() for each open stream, then disconnected().  Within a callback
 * of this connection, it is closed after the callback returns.
 */
void MvH2_Close(mv_h2_t *h2);

#ifdef __cplusplus
}
#endif
#endif
