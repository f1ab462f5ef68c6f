#include "masticvane/net.h"

#include <apr_general.h>
#include <apr_network_io.h>
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <set>
#include <thread>

namespace {

const char *const kOneKey = "1 "
                            "000102030405060708090a0b0c0d0e0f"
                            "101112131415161718191a1b1c1d1e1f\n";
const char *const kTwoKeys = "2 "
                             "ff0102030405060708090a0b0c0d0e0f"
                             "101112131415161718191a1b1c1d1e1f\n"
                             "1 "
                             "000102030405060708090a0b0c0d0e0f"
                             "101112131415161718191a1b1c1d1e1f\n";

mv_keyring_t *
keyring(const char *text, const char *deployment = "d")
{
    mv_findings_t *findings = MvFindings_Create();
    mv_keyring_t *ring = MvKeyring_Parse("keys", text, deployment, findings);
    MvFindings_Destroy(findings);
    return ring;
}

struct test_channel {
    mv_keyring_t *ring;
    mv_frame_codec_t *codec;
    test_channel(const char *keys, mv_node_id_t id,
                 const char *deployment = "d")
        : ring(keyring(keys, deployment)),
          codec(MvFrameCodec_Create(ring, id, 0, 1000))
    {
    }
    ~test_channel()
    {
        MvFrameCodec_Destroy(codec);
        MvKeyring_Destroy(ring);
    }
};

std::vector<uint8_t>
encode_frame(test_channel &from, const std::string &body)
{
    mv_buffer_t out = {};
    MvFrameCodec_Encode(from.codec, MV_FRAME_COMMAND, body.data(), body.size(),
                        &out);
    std::vector<uint8_t> bytes(out.data, out.data + out.length);
    MvBuffer_Clear(&out);
    return bytes;
}

} // namespace

struct frame_case {
    const char *name;
    const char *sender_keys;
    const char *deployment;
    std::function<void(std::vector<uint8_t> &)> change;
    mv_frame_status_t expected;
};

TEST(Frame, AcceptsOnlyCompleteSignedFramesOfThisDeployment)
{
    using bytes_t = std::vector<uint8_t>;
    const frame_case cases[] = {
        {"valid", kOneKey, "d", [](bytes_t &) {}, MV_FRAME_VALID},
        {"new key during a rotation", kTwoKeys, "d", [](bytes_t &) {},
         MV_FRAME_VALID},
        {"other deployment", kOneKey, "e", [](bytes_t &) {}, MV_FRAME_INVALID},
        {"flipped bit", kOneKey, "d", [](bytes_t &b) { b[25] ^= 1; },
         MV_FRAME_INVALID},
        {"version", kOneKey, "d", [](bytes_t &b) { b[4] = 9; },
         MV_FRAME_INVALID},
        {"unknown key", kOneKey, "d", [](bytes_t &b) { b[6] = 7; },
         MV_FRAME_INVALID},
        {"too long", kOneKey, "d", [](bytes_t &b) { b[0] = 0x7f; },
         MV_FRAME_INVALID},
        {"truncated", kOneKey, "d", [](bytes_t &b) { b.resize(b.size() - 1); },
         MV_FRAME_INCOMPLETE},
    };
    for (const auto &c : cases) {
        test_channel from(c.sender_keys, 1, c.deployment);
        test_channel to(kTwoKeys, 2);
        auto bytes = encode_frame(from, "hello");
        c.change(bytes);
        mv_frame_t frame;
        EXPECT_EQ(
            MvFrameCodec_Decode(to.codec, bytes.data(), bytes.size(), &frame),
            c.expected)
            << c.name;
    }
}

TEST(Frame, RefusesReplayButAcceptsReordering)
{
    test_channel from(kOneKey, 1);
    test_channel to(kOneKey, 2);
    auto first = encode_frame(from, "one");
    auto second = encode_frame(from, "two");
    mv_frame_t frame;
    auto decode = [&](std::vector<uint8_t> &b) {
        return MvFrameCodec_Decode(to.codec, b.data(), b.size(), &frame);
    };
    EXPECT_EQ(decode(second), MV_FRAME_VALID)
        << "second frame, received first";
    EXPECT_EQ(decode(first), MV_FRAME_VALID) << "first frame, received second";
    EXPECT_EQ(decode(first), MV_FRAME_INVALID) << "replay of the first frame";
    EXPECT_EQ(decode(second), MV_FRAME_INVALID)
        << "replay of the second frame";
}

TEST(Codec, RoundTripsMessagesAndRefusesDamagedOnes)
{
    mv_member_update_t member = {};
    member.node = 7;
    member.state = MV_MEMBER_SUSPECT;
    mv_bucket_update_t bucket = {99, 5, 1, 2, MV_BUCKET_MIXED};
    mv_flow_record_t flow = {0x0a000001, 4242, 1, 2, 300};
    mv_load_record_t load = {1, 2, -5, 3, 4, 5};
    char blob[] = "config";
    mv_message_t message = {};
    message.kind = MV_MESSAGE_BUCKETS;
    message.from = 3;
    message.version = 99;
    message.member_count = 1;
    message.members = &member;
    message.bucket_count = 1;
    message.buckets = &bucket;
    message.flow_count = 1;
    message.flows = &flow;
    message.load_count = 1;
    message.loads = &load;
    message.blob = blob;
    message.blob_length = 6;
    mv_buffer_t out = {};
    ASSERT_TRUE(MvMessage_Encode(&message, &out));
    mv_message_t *copy = MvMessage_Decode(out.data, out.length);
    ASSERT_NE(copy, nullptr);
    EXPECT_EQ(copy->members[0].state, (uint32_t)MV_MEMBER_SUSPECT);
    EXPECT_EQ(copy->buckets[0].version, 99u);
    EXPECT_EQ(copy->flows[0].address, 0x0a000001u);
    EXPECT_EQ(copy->loads[0].open, -5);
    EXPECT_STREQ(copy->blob, "config");
    MvMessage_Free(copy);
    for (size_t length = 0; length < out.length; length++) {
        EXPECT_EQ(MvMessage_Decode(out.data, length), nullptr)
            << "message truncated to " << length << " bytes was accepted";
    }
    std::mt19937 random(1);
    for (int i = 0; i < 20000; i++) {
        std::vector<uint8_t> bytes(out.data, out.data + out.length);
        bytes[random() % bytes.size()] = (uint8_t)random();
        MvMessage_Free(MvMessage_Decode(bytes.data(), bytes.size()));
    }
    MvBuffer_Clear(&out);
}

/* Endpoint ids index arrays, so they are small; server tags use all 32
 * bits. */
TEST(Codec, AcceptsServerTagsOnlyInServerMessages)
{
    struct {
        mv_message_kind_t kind;
        uint32_t endpoint;
        bool accepted;
    } const cases[] = {
        {MV_MESSAGE_SERVERS, 0xfffffff0, true},
        {MV_MESSAGE_LOAD, 0xfffffff0, false},
        {MV_MESSAGE_LOAD, 0xfff0, true},
    };
    for (const auto &c : cases) {
        mv_load_record_t load = {};
        load.endpoint = c.endpoint;
        load.unanswered = 3;
        mv_message_t message = {};
        message.kind = c.kind;
        message.from = 3;
        message.load_count = 1;
        message.loads = &load;
        mv_buffer_t out = {};
        ASSERT_TRUE(MvMessage_Encode(&message, &out));
        mv_message_t *copy = MvMessage_Decode(out.data, out.length);
        ASSERT_EQ(copy != nullptr, c.accepted)
            << "message kind " << c.kind << ", endpoint " << c.endpoint;
        if (copy) {
            EXPECT_EQ(copy->loads[0].endpoint, c.endpoint);
            EXPECT_EQ(copy->loads[0].unanswered, 3u);
        }
        EXPECT_TRUE(MvMessage_IsDatagram(&message));
        MvMessage_Free(copy);
        MvBuffer_Clear(&out);
    }
}

TEST(Relay, AcceptsOnlySignedPacketsOfThisDeployment)
{
    mv_keyring_t *ours = keyring(kOneKey);
    mv_keyring_t *theirs = keyring(kOneKey, "other");
    uint8_t bytes[MV_RELAY_HEADER_BYTES + 60] = {0};
    uint8_t hops = 0;
    MvRelayHeader_Write(ours, 1, 1, bytes + MV_RELAY_HEADER_BYTES, 60, bytes);
    EXPECT_TRUE(MvRelayHeader_Verify(ours, bytes, sizeof(bytes), &hops));
    EXPECT_EQ(hops, 1);
    EXPECT_FALSE(MvRelayHeader_Verify(theirs, bytes, sizeof(bytes), &hops))
        << "packet of another deployment";
    bytes[MV_RELAY_HEADER_BYTES + 13] ^= 1;
    EXPECT_FALSE(MvRelayHeader_Verify(ours, bytes, sizeof(bytes), &hops))
        << "packet with a flipped bit";
    EXPECT_FALSE(MvRelayHeader_Verify(ours, bytes, 10, &hops))
        << "truncated header";
    MvKeyring_Destroy(ours);
    MvKeyring_Destroy(theirs);
}

namespace {

/** An HTTP/2 server that responds to every request with @size bytes, and the
 * counts of events on both sides. */
struct h2_fixture {
    apr_pool_t *pool = nullptr;
    mv_loop_t *loop = nullptr;
    mv_watch_t accept_watch = {};
    apr_socket_t *listener = nullptr;
    size_t size = 0;
    bool respond_at_once = true;
    size_t responses = 0;
    size_t closed = 0;
    size_t not_processed = 0;
    /* The connection accepted requests while it reported a closed one. */
    size_t accepting_while_closed = 0;
    size_t server_closed = 0;
    /* The server's stream was closed before the client's. */
    bool server_closed_first = false;
    size_t bytes = 0;
    /* Connection and stream of the last request that the server received. */
    mv_h2_t *waiting = nullptr;
    int32_t waiting_stream = 0;
    std::set<mv_h2_t *> *open = nullptr;
};

void
close_fixture(h2_fixture *fixture)
{
    while (!fixture->open->empty()) {
        MvH2_Close(*fixture->open->begin());
    }
    delete fixture->open;
    apr_pool_destroy(fixture->pool);
}

void
disconnected(mv_h2_t *h2)
{
    static_cast<h2_fixture *>(MvH2_Context(h2))->open->erase(h2);
}

void
send_response(h2_fixture *fixture, mv_h2_t *h2, int32_t stream)
{
    mv_http_message_t *response = MvHttpMessage_Create();
    std::string body(fixture->size, 'x');
    MvHttpMessage_Add(response, ":status", "200");
    MvBuffer_Append(&response->body, body.data(), body.size());
    MvH2_Respond(h2, stream, response);
    MvHttpMessage_Destroy(response);
}

const mv_h2_ops_t kServer = {
    [](mv_h2_t *h2, int32_t stream, mv_http_message_t *request) {
        auto *fixture = static_cast<h2_fixture *>(MvH2_Context(h2));
        MvHttpMessage_Destroy(request);
        if (fixture->respond_at_once) {
            send_response(fixture, h2, stream);
        }
        fixture->waiting = h2;
        fixture->waiting_stream = stream;
    },
    [](mv_h2_t *h2, int32_t, bool) {
        static_cast<h2_fixture *>(MvH2_Context(h2))->server_closed++;
    },
    disconnected,
};

const mv_h2_ops_t kClient = {
    [](mv_h2_t *h2, int32_t, mv_http_message_t *response) {
        auto *fixture = static_cast<h2_fixture *>(MvH2_Context(h2));
        fixture->responses++;
        fixture->bytes += response->body.length;
        MvHttpMessage_Destroy(response);
    },
    [](mv_h2_t *h2, int32_t, bool not_processed) {
        auto *fixture = static_cast<h2_fixture *>(MvH2_Context(h2));
        fixture->closed++;
        fixture->not_processed += not_processed;
        fixture->accepting_while_closed += MvH2_AcceptsRequests(h2);
        fixture->server_closed_first = fixture->server_closed > 0;
    },
    disconnected,
};

void
accept_connection(mv_watch_t *watch, int)
{
    auto *fixture = MV_CONTAINER_OF(watch, h2_fixture, accept_watch);
    apr_pool_t *pool = nullptr;
    apr_socket_t *socket = nullptr;
    apr_pool_create(&pool, fixture->pool);
    if (apr_socket_accept(&socket, fixture->listener, pool) == APR_SUCCESS) {
        fixture->open->insert(
            MvH2_Accept(fixture->loop, socket, pool, &kServer, fixture));
    }
}

void
open_fixture(h2_fixture *fixture, uint16_t port)
{
    apr_initialize();
    apr_pool_create(&fixture->pool, nullptr);
    fixture->open = new std::set<mv_h2_t *>;
    fixture->loop = MvLoop_Create(fixture->pool, 64);
    fixture->accept_watch.ready = accept_connection;
    fixture->listener = MvNet_Listen(fixture->pool, "127.90.0.1", port,
                                     SOCK_STREAM, false, nullptr);
    MvLoop_Watch(fixture->loop, &fixture->accept_watch, fixture->listener,
                 APR_POLLIN);
}

void
send_request(mv_h2_t *h2)
{
    mv_http_message_t *request = MvHttpMessage_Create();
    MvHttpMessage_Add(request, ":method", "GET");
    MvHttpMessage_Add(request, ":scheme", "http");
    MvHttpMessage_Add(request, ":authority", "booking");
    MvHttpMessage_Add(request, ":path", "/");
    MvH2_Request(h2, request);
    MvHttpMessage_Destroy(request);
}

} // namespace

/* A caller that retries a closed request must not be offered the connection
 * that closes. */
TEST(Loop, IsWokenByAnotherThread)
{
    apr_pool_t *pool = nullptr;
    apr_initialize();
    apr_pool_create(&pool, nullptr);
    mv_loop_t *loop = MvLoop_Create(pool, 2);
    std::thread waker([loop] {
        g_usleep(20 * MV_MILLISECOND);
        MvLoop_Wake(loop);
    });
    mv_time_t start = g_get_monotonic_time();
    MvLoop_Run(loop, MV_MINUTE);
    EXPECT_LT(g_get_monotonic_time() - start, 10 * MV_SECOND);
    waker.join();
    apr_pool_destroy(pool);
}

TEST(H2, ClosingConnectionAcceptsNoRequests)
{
    h2_fixture fixture;
    open_fixture(&fixture, 17796);
    mv_h2_t *client =
        MvH2_Connect(fixture.loop, "127.90.0.1", 17796, &kClient, &fixture);
    ASSERT_NE(client, nullptr);
    fixture.open->insert(client);
    send_request(client);
    MvH2_Close(client);
    EXPECT_EQ(fixture.closed, 1u);
    EXPECT_EQ(fixture.accepting_while_closed, 0u);
    close_fixture(&fixture);
}

/* A response that does not fit into the socket of a client that reads nothing
 * must neither close its connection nor block the loop for other clients. */
TEST(H2, SlowReaderIsNotDisconnectedAndDelaysNoOther)
{
    h2_fixture fixture;
    open_fixture(&fixture, 18080);
    fixture.size = 40u << 20;
    /* A client that sends a request with flow-control windows of 2^30 bytes
     * and a receive buffer of 4096 bytes, and reads nothing. */
    int slow_client = socket(AF_INET, SOCK_STREAM, 0);
    int receive_buffer_bytes = 4096;
    setsockopt(slow_client, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof(receive_buffer_bytes));
    struct sockaddr_in server_address = {};
    server_address.sin_family = AF_INET;
    server_address.sin_port = htons(18080);
    server_address.sin_addr.s_addr = htonl(0x7f5a0001);
    ASSERT_EQ(connect(slow_client, (struct sockaddr *)&server_address,
                      sizeof(server_address)),
              0);
    const char preface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const unsigned char frames[] = {
        /* SETTINGS: INITIAL_WINDOW_SIZE of 2^30 */
        0, 0, 6, 4, 0, 0, 0, 0, 0, 0, 4, 0x40, 0, 0, 0,
        /* WINDOW_UPDATE of the connection by 2^30 */
        0, 0, 4, 8, 0, 0, 0, 0, 0, 0x40, 0, 0, 0,
        /* HEADERS, END_STREAM and END_HEADERS: GET http / booking */
        0, 0, 12, 1, 5, 0, 0, 0, 1, 0x82, 0x86, 0x84, 0x41, 7, 'b', 'o', 'o',
        'k', 'i', 'n', 'g'};
    ASSERT_GT(write(slow_client, preface, sizeof(preface) - 1), 0);
    ASSERT_GT(write(slow_client, frames, sizeof(frames)), 0);
    for (int i = 0; i < 50; i++) {
        MvLoop_Run(fixture.loop, MV_MILLISECOND);
    }
    EXPECT_EQ(fixture.server_closed, 0u)
        << "the connection of the slow reader was closed";
    /* Another client is served within 50 loop iterations. */
    fixture.size = 100;
    mv_h2_t *second_client =
        MvH2_Connect(fixture.loop, "127.90.0.1", 18080, &kClient, &fixture);
    fixture.open->insert(second_client);
    send_request(second_client);
    for (int i = 0; i < 50 && fixture.responses == 0; i++) {
        MvLoop_Run(fixture.loop, MV_MILLISECOND);
    }
    EXPECT_EQ(fixture.responses, 1u)
        << "the slow reader delayed another client";
    /* Then the slow client reads, and receives the whole response. */
    size_t received = 0;
    std::vector<char> bytes(1 << 16);
    for (int i = 0; i < 200000 && received < (40u << 20); i++) {
        ssize_t length =
            recv(slow_client, bytes.data(), bytes.size(), MSG_DONTWAIT);
        received += length > 0 ? (size_t)length : 0;
        if (length <= 0) {
            MvLoop_Run(fixture.loop, MV_MILLISECOND);
        }
    }
    EXPECT_GE(received, 40u << 20) << "the slow reader lost its response";
    close(slow_client);
    close_fixture(&fixture);
}

/* The client must not report a cancelled stream as closed while the server may
 * still work on the request. */
TEST(H2, CancelledStreamClosesAfterServerReadTheReset)
{
    h2_fixture fixture;
    open_fixture(&fixture, 18081);
    fixture.respond_at_once = false;
    mv_h2_t *client =
        MvH2_Connect(fixture.loop, "127.90.0.1", 18081, &kClient, &fixture);
    fixture.open->insert(client);
    send_request(client);
    for (int i = 0; i < 50 && !fixture.waiting; i++) {
        MvLoop_Run(fixture.loop, MV_MILLISECOND);
    }
    ASSERT_NE(fixture.waiting, nullptr);
    MvH2_Reset(client, 1, false);
    for (int i = 0; i < 50 && fixture.closed == 0; i++) {
        MvLoop_Run(fixture.loop, MV_MILLISECOND);
    }
    EXPECT_EQ(fixture.closed, 1u) << "the client's stream was not closed";
    EXPECT_EQ(fixture.server_closed, 1u)
        << "the server's stream was not closed";
    EXPECT_TRUE(fixture.server_closed_first)
        << "closed() was called before the server had read the reset";
    EXPECT_EQ(MvH2_StreamCount(client), 0u);
    close_fixture(&fixture);
}
