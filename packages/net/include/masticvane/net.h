/**
 * DOC: masticvane network library
 *
 * Frames between entry VMs and operators, an event loop over APR's pollset,
 * links that carry frames, HTTP/2 sessions, and the header of relayed
 * packets.  Every object belongs to the thread whose loop it is on.
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
 * MvMessage_Encode() - Append the msgpack form of @message to @out.
 *
 * Return: false when memory ran out.
 */
bool MvMessage_Encode(const mv_message_t *message, mv_buffer_t *out);

/**
 * MvMessage_Decode() - Decode one message.
 *
 * Return: the message, to be freed with MvMessage_Free(); NULL when the
 * bytes are not exactly one well-formed message.
 */
mv_message_t *MvMessage_Decode(const uint8_t *data, size_t length);

/**
 * MvMsgpack_IsBounded() - May these bytes be given to msgpack?
 *
 * The library allocates what an array says it holds; here every array fits
 * into the bytes that follow, and no type is used that we do not write.
 */
bool MvMsgpack_IsBounded(const uint8_t *data, size_t length);

/** MvMessage_Free() - Free a decoded message; NULL is accepted. */
void MvMessage_Free(mv_message_t *message);

/* Frames */

/** Longest frame body accepted. */
#define MV_FRAME_MAX_BODY_BYTES (8u << 20)
#define MV_KEY_BYTES 32
#define MV_MAC_BYTES 16

/** enum mv_frame_type - What a frame's body is. */
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
 * @key_id: which key made the MAC
 * @reserved: zero
 * @sender: node id, MV_NO_NODE for operators
 * @channel: distinguishes the sender's sequences
 * @sequence: rises with every frame of the sender's channel
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

#define MV_FRAME_VERSION 1
#define MV_FRAME_OVERHEAD (sizeof(mv_frame_header_t) + MV_MAC_BYTES)

/** typedef mv_keyring_t - Keys that sign and check frames. */
typedef struct mv_keyring mv_keyring_t;

/**
 * MvKeyring_Parse() - Keys from text lines "ID HEX", 64 hex digits each.
 * @file: name used in findings
 * @deployment: mixed into every MAC, so that deployments stay apart
 *
 * The first key signs; all keys check.  Return: the keyring, to be freed
 * with MvKeyring_Destroy(); NULL when there are findings.
 */
mv_keyring_t *MvKeyring_Parse(const char *file, const char *text,
                              const char *deployment, mv_findings_t *findings);

/** MvKeyring_Destroy() - Wipe and free; NULL is accepted. */
void MvKeyring_Destroy(mv_keyring_t *keyring);

/** typedef mv_frame_codec_t - One sender's channel: makes and checks frames.
 */
typedef struct mv_frame_codec mv_frame_codec_t;

/**
 * MvFrameCodec_Create() - Channel of @sender.
 * @first_sequence: larger than any used before, such as Unix microseconds
 */
mv_frame_codec_t *MvFrameCodec_Create(const mv_keyring_t *keyring,
                                      mv_node_id_t sender, uint16_t channel,
                                      uint64_t first_sequence);

/** MvFrameCodec_Destroy() - Free; NULL is accepted. */
void MvFrameCodec_Destroy(mv_frame_codec_t *codec);

/** MvFrameCodec_Encode() - Append a whole frame around @body to @out. */
bool MvFrameCodec_Encode(mv_frame_codec_t *codec, mv_frame_type_t type,
                         const void *body, size_t length, mv_buffer_t *out);

/**
 * struct mv_frame - A checked frame; points into the bytes it came from.
 * @type: &enum mv_frame_type
 * @sender: node id
 * @body: the body
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

/** enum mv_frame_status - Result of MvFrameCodec_Decode(). */
typedef enum mv_frame_status {
    MV_FRAME_VALID,
    MV_FRAME_INCOMPLETE,
    MV_FRAME_INVALID,
} mv_frame_status_t;

/**
 * MvFrameCodec_Decode() - Check the frame at the start of @data.
 *
 * A frame is bad when it is too long, of another version, unsigned, or was
 * seen before (replay).  Two windows of 64 sequences a sender are kept.
 */
mv_frame_status_t MvFrameCodec_Decode(mv_frame_codec_t *codec,
                                      const uint8_t *data, size_t length,
                                      mv_frame_t *frame);

/* Relayed packets */

#define MV_RELAY_HEADER_BYTES 16

/** MvRelayHeader_Write() - Header of a relayed packet, MV_RELAY_HEADER_BYTES.
 */
void MvRelayHeader_Write(const mv_keyring_t *keyring, mv_node_id_t sender,
                         uint8_t hops, const uint8_t *packet, size_t length,
                         uint8_t *out);

/**
 * MvRelayHeader_Verify() - Check a relayed packet.
 *
 * Return: true and the hop count, or false when it is not ours.
 */
bool MvRelayHeader_Verify(const mv_keyring_t *keyring, const uint8_t *data,
                          size_t length, uint8_t *hops);

/* Event loop */

/** typedef mv_loop_t - One thread's descriptors. */
typedef struct mv_loop mv_loop_t;

/**
 * struct mv_watch - A descriptor on a loop; embedded in its owner.
 * @ready: called with APR_POLLIN, APR_POLLOUT, APR_POLLHUP or APR_POLLERR
 * @fd: for the loop
 * @active: for the loop
 */
typedef struct mv_watch {
    void (*ready)(struct mv_watch *watch, int events);
    apr_pollfd_t fd;
    bool active;
} mv_watch_t;

/** MvLoop_Create() - Loop for up to @capacity descriptors, or NULL. */
mv_loop_t *MvLoop_Create(apr_pool_t *pool, uint32_t capacity);

/** MvLoop_Watch() - Set what @watch waits for; 0 removes it. */
bool MvLoop_Watch(mv_loop_t *loop, mv_watch_t *watch, apr_socket_t *socket,
                  int events);

/** MvLoop_Run() - Wait up to @timeout and call what is ready. */
void MvLoop_Run(mv_loop_t *loop, mv_time_t timeout);

/** MvLoop_Pool() - Pool that lives as long as the loop. */
apr_pool_t *MvLoop_Pool(const mv_loop_t *loop);

/**
 * MvNet_Listen() - Non-blocking listener, or datagram socket.
 * @type: SOCK_STREAM or SOCK_DGRAM
 * @reuse_port: several threads share the port
 *
 * Return: the socket, closed with its pool; NULL with @error set.
 */
apr_socket_t *MvNet_Listen(apr_pool_t *pool, const char *address,
                           uint16_t port, int type, bool reuse_port,
                           GError **error);

/** MvNet_Connect() - Begin a non-blocking TCP connection, or NULL. */
apr_socket_t *MvNet_Connect(apr_pool_t *pool, const char *address,
                            uint16_t port);

/** MvNet_EnableKeepalive() - A connection that went silent fails within 3 s.
 */
void MvNet_EnableKeepalive(apr_socket_t *socket);

/* Links */

/** typedef mv_links_t - Frames to and from the other entry VMs. */
typedef struct mv_links mv_links_t;

/** typedef mv_reply_t - Where the answer to a command goes. */
typedef struct mv_reply mv_reply_t;

/**
 * struct mv_links_ops - What links tell their owner.
 * @message: a checked message
 * @command: a checked operator's command; answer with MvReply_Send()
 */
typedef struct mv_links_ops {
    void (*message)(void *context, const mv_message_t *message);
    void (*command)(void *context, const char *command, size_t length,
                    mv_reply_t *reply);
} mv_links_ops_t;

/**
 * struct mv_links_settings - Settings of links.
 * @address: address to bind to
 * @port: TCP and UDP port
 * @keyring: keys
 * @id: own node id
 * @channel: own channel number
 * @first_sequence: see MvFrameCodec_Create()
 * @counters: where frames and bytes count
 * @log: where refused frames are reported, once a second at most
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

/** MvLinks_Create() - Bind and listen; NULL with @error set. */
mv_links_t *MvLinks_Create(mv_loop_t *loop,
                           const mv_links_settings_t *settings,
                           const mv_links_ops_t *ops, void *context,
                           GError **error);

/** MvLinks_Destroy() - Close all; NULL is accepted. */
void MvLinks_Destroy(mv_links_t *links);

/** MvLinks_AddPeer() - Say where node @id is reached. */
void MvLinks_AddPeer(mv_links_t *links, mv_node_id_t id, const char *address,
                     uint16_t port);

/** MvLinks_Send() - Send by UDP or TCP as the kind demands; may be lost. */
void MvLinks_Send(mv_links_t *links, mv_node_id_t to,
                  const mv_message_t *message);

/** MvReply_Send() - Answer a command, at most once. */
void MvReply_Send(mv_reply_t *reply, const char *text, size_t length);

/* HTTP/1.1 */

/** Longest answer that a client takes. */
#define MV_HTTP1_MAX_BODY_BYTES (8u << 20)

/** typedef mv_http1_client_t - Calls to one server, on one loop. */
typedef struct mv_http1_client mv_http1_client_t;

/**
 * struct mv_http1_request - One call.
 * @method: such as "GET"
 * @target: path and query
 * @content_type: type of @body, or NULL
 * @body: bytes sent, may be NULL
 * @length: bytes in @body
 * @timeout: the call fails when it takes longer, connecting included
 */
typedef struct mv_http1_request {
    const char *method;
    const char *target;
    const char *content_type;
    const char *body;
    size_t length;
    mv_time_t timeout;
} mv_http1_request_t;

/**
 * enum mv_http1_outcome - How a call ended.
 * @MV_HTTP1_RESPONDED: a whole answer came
 * @MV_HTTP1_NOT_SENT: the server surely saw nothing of it
 * @MV_HTTP1_UNKNOWN: it may have been carried out
 */
typedef enum mv_http1_outcome {
    MV_HTTP1_RESPONDED,
    MV_HTTP1_NOT_SENT,
    MV_HTTP1_UNKNOWN,
} mv_http1_outcome_t;

/**
 * struct mv_http1_response - End of a call, valid during the callback.
 * @outcome: how it ended
 * @status: status code when answered
 * @body: NUL-terminated body, or NULL
 * @length: its bytes
 * @index: number in the header that the client was told of, or 0
 */
typedef struct mv_http1_response {
    mv_http1_outcome_t outcome;
    unsigned status;
    const char *body;
    size_t length;
    uint64_t index;
} mv_http1_response_t;

/** typedef mv_http1_done_t - Receives the end of a call. */
typedef void (*mv_http1_done_t)(void *context,
                                const mv_http1_response_t *answer);

/**
 * MvHttp1_CreateClient() - Client of the server at "ADDRESS:PORT".
 * @index_header: header whose number answers carry, or NULL
 *
 * Connections are kept between calls; a silent one is noticed by TCP
 * keepalive.  Return: NULL when @address is not understood.
 */
mv_http1_client_t *MvHttp1_CreateClient(mv_loop_t *loop, const char *address,
                                        const char *index_header);

/** MvHttp1_DestroyClient() - Drop calls without callback; NULL is accepted. */
void MvHttp1_DestroyClient(mv_http1_client_t *client);

/** MvHttp1_Call() - Begin a call; @done is called later, never from within. */
void MvHttp1_Call(mv_http1_client_t *client, const mv_http1_request_t *request,
                  mv_time_t now, mv_http1_done_t done, void *context);

/** MvHttp1_Timer() - End calls past their timeout.  Return: the next one. */
mv_time_t MvHttp1_Timer(mv_http1_client_t *client, mv_time_t now);

/** typedef mv_http1_server_t - Answers short GET requests. */
typedef struct mv_http1_server mv_http1_server_t;

/**
 * typedef mv_http1_handler_t - Answer one request.
 * @target: path and query
 * @body: filled by the handler
 *
 * Return: the status code.
 */
typedef unsigned (*mv_http1_handler_t)(void *context, const char *target,
                                       mv_buffer_t *body);

/** MvHttp1_Serve() - Listen and answer; NULL with @error set. */
mv_http1_server_t *MvHttp1_Serve(mv_loop_t *loop, const char *address,
                                 uint16_t port, mv_http1_handler_t handler,
                                 void *context, GError **error);

/** MvHttp1_CloseIdle() - Close connections that have been idle for long. */
void MvHttp1_CloseIdle(mv_http1_server_t *server, mv_time_t now);

/** MvHttp1_DestroyServer() - Close all; NULL is accepted. */
void MvHttp1_DestroyServer(mv_http1_server_t *server);

/* HTTP/2 */

/**
 * struct mv_http_field - One header field.
 * @name: lower case
 * @value: its value
 */
typedef struct mv_http_field {
    char *name;
    char *value;
} mv_http_field_t;

/**
 * struct mv_http_message - A whole request or answer.
 * @fields: array of mv_http_field_t, pseudo fields included
 * @body: the body
 */
typedef struct mv_http_message {
    GArray *fields;
    mv_buffer_t body;
} mv_http_message_t;

/** MvHttpMessage_Create() - Empty message. */
mv_http_message_t *MvHttpMessage_Create(void);

/** MvHttpMessage_Destroy() - Free; NULL is accepted. */
void MvHttpMessage_Destroy(mv_http_message_t *message);

/** MvHttpMessage_Add() - Append a copy of a field. */
void MvHttpMessage_Add(mv_http_message_t *message, const char *name,
                       const char *value);

/** MvHttpMessage_Get() - Value of the first field @name, or NULL. */
const char *MvHttpMessage_Get(const mv_http_message_t *message,
                              const char *name);

/** typedef mv_h2_t - One HTTP/2 connection, either side. */
typedef struct mv_h2 mv_h2_t;

/**
 * struct mv_h2_ops - What a connection tells its owner.
 * @message: a whole request (server) or whole answer (client); the owner
 *           of the callback frees @message
 * @closed: a stream ended without a whole message.  @not_processed: the
 *          other side said so, or nothing was sent
 * @disconnected: the connection is over; it is freed after this call
 */
typedef struct mv_h2_ops {
    void (*message)(mv_h2_t *h2, int32_t stream, mv_http_message_t *message);
    void (*closed)(mv_h2_t *h2, int32_t stream, bool not_processed);
    void (*disconnected)(mv_h2_t *h2);
} mv_h2_ops_t;

/** MvH2_Accept() - Server side of an accepted socket; takes it over. */
mv_h2_t *MvH2_Accept(mv_loop_t *loop, apr_socket_t *socket, apr_pool_t *pool,
                     const mv_h2_ops_t *ops, void *context);

/** MvH2_Connect() - Client side of a new connection, or NULL. */
mv_h2_t *MvH2_Connect(mv_loop_t *loop, const char *address, uint16_t port,
                      const mv_h2_ops_t *ops, void *context);

/** MvH2_Context() - What was given when it was made. */
void *MvH2_Context(const mv_h2_t *h2);

/**
 * MvH2_Request() - Send a request, client side.
 *
 * Return: the stream id, or -1 when the connection takes no more.
 */
int32_t MvH2_Request(mv_h2_t *h2, const mv_http_message_t *request);

/** MvH2_Respond() - Send an answer, server side; false when it is too late. */
bool MvH2_Respond(mv_h2_t *h2, int32_t stream,
                  const mv_http_message_t *answer);

/**
 * MvH2_Reset() - End a stream; @refused says it was not processed.
 *
 * On the client side closed is called once the other side has surely read
 * it, or the connection is over.
 */
void MvH2_Reset(mv_h2_t *h2, int32_t stream, bool refused);

/** MvH2_Ping() - Ask the other side for a sign of life. */
void MvH2_Ping(mv_h2_t *h2);

/** MvH2_LastReceived() - APR time of the last bytes received. */
mv_time_t MvH2_LastReceived(const mv_h2_t *h2);

/** MvH2_StreamCount() - Streams that are open. */
size_t MvH2_StreamCount(const mv_h2_t *h2);

/** MvH2_AcceptsRequests() - Client side: new requests may be sent. */
bool MvH2_AcceptsRequests(const mv_h2_t *h2);

/** MvH2_SendShutdownNotice() - First step of a planned stop: GOAWAY notice. */
void MvH2_SendShutdownNotice(mv_h2_t *h2);

/** MvH2_Shutdown() - Second step: refuse new streams, finish open ones. */
void MvH2_Shutdown(mv_h2_t *h2);

/** MvH2_Close() - Drop the connection at once, calling closed and gone. */
void MvH2_Close(mv_h2_t *h2);

#ifdef __cplusplus
}
#endif
#endif
