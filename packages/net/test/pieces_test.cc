/* A stream of bytes has no seams: each reader gives the same result wherever a
 * message is cut, and when it arrives byte by byte. */
#include "masticvane/net.h"

#include <apr_general.h>
#include <apr_network_io.h>
#include <gtest/gtest.h>

#include <signal.h>

#include <functional>
#include <string>
#include <vector>

namespace {

const char *const kAddress = "127.89.0.3";
const char *const kKeys = "1 "
                          "000102030405060708090a0b0c0d0e0f"
                          "101112131415161718191a1b1c1d1e1f\n";
const int kRounds = 200;

/* A loop, and a plain TCP connection to the reader that is tested. */
struct wire_t {
    wire_t()
    {
        signal(SIGPIPE, SIG_IGN);
        apr_initialize();
        apr_pool_create(&pool, nullptr);
        loop = MvLoop_Create(pool, 32);
    }
    ~wire_t()
    {
        if (socket) {
            apr_socket_close(socket);
        }
        apr_pool_destroy(pool);
    }

    void
    run()
    {
        MvLoop_Run(loop, 0);
        MvLoop_Run(loop, 0);
    }

    void
    run_until(const std::function<bool()> &is_done)
    {
        for (int i = 0; i < kRounds && !is_done(); i++) {
            MvLoop_Run(loop, MV_MILLISECOND);
        }
    }

    void
    listen(uint16_t port)
    {
        listener =
            MvNet_Listen(pool, kAddress, port, SOCK_STREAM, false, nullptr);
        ASSERT_NE(listener, nullptr);
    }

    void
    accept()
    {
        run_until([this] {
            return apr_socket_accept(&socket, listener, pool) == APR_SUCCESS;
        });
        ASSERT_NE(socket, nullptr);
        apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
    }

    void
    connect(uint16_t port)
    {
        socket = MvNet_Connect(pool, kAddress, port);
        ASSERT_NE(socket, nullptr);
        apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
        run();
    }

    /* Sends @bytes in pieces, each of which is read before the next one. */
    void
    send(const std::string &bytes, const std::vector<size_t> &cuts)
    {
        size_t begin = 0;
        for (size_t i = 0; i <= cuts.size(); i++) {
            size_t end = i < cuts.size() ? cuts[i] : bytes.size();
            apr_size_t length = end - begin;
            EXPECT_EQ(apr_socket_send(socket, bytes.data() + begin, &length),
                      APR_SUCCESS);
            EXPECT_EQ(length, end - begin);
            run();
            begin = end;
        }
    }

    std::string
    receive(size_t length)
    {
        std::string received;
        char part[4096];
        apr_socket_timeout_set(socket, 0);
        run_until([&] {
            apr_size_t size = sizeof(part);
            apr_socket_recv(socket, part, &size);
            received.append(part, size);
            return received.size() >= length;
        });
        return received;
    }

    apr_pool_t *pool = nullptr;
    mv_loop_t *loop = nullptr;
    apr_socket_t *listener = nullptr;
    apr_socket_t *socket = nullptr;
};

/* Expects @read to give the same result for @message whole, cut once at each
 * place, and cut everywhere. */
void
expect_no_seams(
    const char *what, const std::string &message, const std::string &expected,
    const std::function<std::string(const std::vector<size_t> &)> &read)
{
    EXPECT_EQ(read({}), expected) << what << ", whole";
    std::vector<size_t> everywhere;
    for (size_t cut = 1; cut < message.size(); cut++) {
        everywhere.push_back(cut);
        EXPECT_EQ(read({cut}), expected) << what << ", cut at " << cut;
    }
    EXPECT_EQ(read(everywhere), expected) << what << ", byte by byte";
}

struct answer_t {
    bool is_done = false;
    std::string text;
};

void
note_response(void *context, const mv_http1_response_t *response)
{
    auto *answer = static_cast<answer_t *>(context);
    answer->is_done = true;
    answer->text =
        std::to_string(response->outcome) + " " +
        std::to_string(response->status) + " " +
        (response->has_index ? std::to_string(response->index) : "none") +
        " " + std::string(response->body, response->length);
}

unsigned
handle_request(void *, const char *target, mv_buffer_t *body)
{
    MvBuffer_Append(body, target, strlen(target));
    return 200;
}

} // namespace

/* Guards against review/12: the name of a header arrived in two pieces and was
 * not recognized. */
TEST(Pieces, Http1Client)
{
    struct {
        const char *what;
        std::string response;
        std::string expected;
    } const cases[] = {
        {"a header before others",
         "HTTP/1.1 200 OK\r\nX-Index: 1207\r\nX-Indexes: 5\r\nX: 6\r\n"
         "Content-Length: 2\r\n\r\nab",
         "0 200 1207 ab"},
        {"other case, and blanks",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nx-iNDEX: \t 9 \r\n\r\nab",
         "0 200 9 ab"},
        {"chunks, and a trailer",
         "HTTP/1.1 200 OK\r\nX-Index: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
         "1\r\na\r\n2;x=y\r\nbc\r\n0\r\nX-Index: 4\r\n\r\n",
         "0 200 3 abc"},
        {"no body",
         "HTTP/1.1 410 Gone\r\nX-Index: 0\r\n"
         "Content-Length: 0\r\n\r\n",
         "0 410 0 "},
    };
    uint16_t port = 18190;
    for (const auto &c : cases) {
        wire_t wire;
        wire.listen(++port);
        std::string address =
            std::string(kAddress) + ":" + std::to_string(port);
        mv_http1_client_t *client =
            MvHttp1_CreateClient(wire.loop, address.c_str(), "X-Index");
        auto read = [&](const std::vector<size_t> &cuts) {
            answer_t answer;
            mv_http1_request_t request = {};
            request.method = "GET";
            request.target = "/";
            request.timeout = MV_SECOND;
            MvHttp1_Call(client, &request, g_get_monotonic_time(),
                         note_response, &answer);
            if (!wire.socket) {
                wire.accept();
            }
            wire.receive(1);
            wire.send(c.response, cuts);
            wire.run_until([&] {
                MvHttp1_Timer(client, g_get_monotonic_time());
                return answer.is_done;
            });
            return answer.text;
        };
        expect_no_seams(c.what, c.response, c.expected, read);
        MvHttp1_DestroyClient(client);
    }
}

/* A number that is missing or cannot be read must not pass for 0. */
TEST(Pieces, AnIndexThatCannotBeReadIsNone)
{
    const struct {
        const char *what;
        std::string fields;
        const char *index;
    } cases[] = {
        {"none", "", "none"},
        {"zero", "X-Index: 0\r\n", "0"},
        {"the largest", "X-Index: 18446744073709551615\r\n",
         "18446744073709551615"},
        {"one more", "X-Index: 18446744073709551616\r\n", "none"},
        {"many digits", "X-Index: " + std::string(300, '1') + "\r\n", "none"},
        {"empty", "X-Index:\r\n", "none"},
        {"a sign", "X-Index: -1\r\n", "none"},
        {"no digits", "X-Index: new\r\n", "none"},
        {"digits and more", "X-Index: 12 34\r\n", "none"},
        {"hexadecimal", "X-Index: 0x10\r\n", "none"},
        {"a fraction", "X-Index: 1.5\r\n", "none"},
        {"two", "X-Index: 1\r\nX-Index: 2\r\n", "none"},
        {"the same twice", "X-Index: 1\r\nX-Index: 1\r\n", "1"},
        {"a longer name", "X-Index-Of: 1\r\n", "none"},
        {"a shorter name", "X-Inde: 1\r\n", "none"},
        {"a continued name in another header", "X-\r\nIndex: 1\r\n", "none"},
    };
    uint16_t port = 18210;
    for (const auto &c : cases) {
        wire_t wire;
        wire.listen(++port);
        std::string address =
            std::string(kAddress) + ":" + std::to_string(port);
        mv_http1_client_t *client =
            MvHttp1_CreateClient(wire.loop, address.c_str(), "X-Index");
        answer_t answer;
        mv_http1_request_t request = {};
        request.method = "GET";
        request.target = "/";
        request.timeout = 100 * MV_MILLISECOND;
        MvHttp1_Call(client, &request, g_get_monotonic_time(), note_response,
                     &answer);
        wire.accept();
        wire.send("HTTP/1.1 200 OK\r\n" + c.fields +
                      "Content-Length: 0\r\n\r\n",
                  {});
        wire.run_until([&] {
            MvHttp1_Timer(client, g_get_monotonic_time());
            return answer.is_done;
        });
        bool is_refused = answer.text.rfind("2 0 none", 0) == 0;
        EXPECT_TRUE(answer.text == "0 200 " + std::string(c.index) + " " ||
                    (is_refused && !strcmp(c.index, "none")))
            << c.what << ": " << answer.text;
        MvHttp1_DestroyClient(client);
    }
}

TEST(Pieces, Http1Server)
{
    const std::string request =
        "GET /a/long?target=1 HTTP/1.1\r\nHost: x\r\nX: y\r\n\r\n";
    const std::string expected =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\n"
        "Content-Length: 16\r\n\r\n/a/long?target=1";
    wire_t wire;
    mv_http1_server_t *server = MvHttp1_Serve(
        wire.loop, kAddress, 18189, handle_request, nullptr, nullptr);
    ASSERT_NE(server, nullptr);
    wire.connect(18189);
    expect_no_seams("request", request, expected,
                    [&](const std::vector<size_t> &cuts) {
                        wire.send(request, cuts);
                        return wire.receive(expected.size());
                    });
    MvHttp1_DestroyServer(server);
}

namespace {

/* The last message that an HTTP/2 connection received, as text. */
struct h2_reader_t {
    mv_h2_t *h2 = nullptr;
    bool is_done = false;
    std::string text;
};

const mv_h2_ops_t kReader = {
    [](mv_h2_t *h2, int32_t, mv_http_message_t *message) {
        auto *reader = static_cast<h2_reader_t *>(MvH2_Context(h2));
        for (const char *name : {":method", ":path", ":status", "x"}) {
            const char *value = MvHttpMessage_Get(message, name);
            reader->text += std::string(value ? value : "-") + " ";
        }
        reader->text += std::string((const char *)message->body.data,
                                    message->body.length);
        reader->is_done = true;
        MvHttpMessage_Destroy(message);
    },
    [](mv_h2_t *, int32_t, bool) {},
    [](mv_h2_t *h2) {
        static_cast<h2_reader_t *>(MvH2_Context(h2))->h2 = nullptr;
    },
};

/* A frame of HTTP/2 on stream @stream. */
std::string
h2_frame(char type, char flags, char stream, const std::string &payload)
{
    const char head[] = {0, 0,     (char)payload.size(), type, flags, 0, 0,
                         0, stream};
    return std::string(head, sizeof(head)) + payload;
}

} // namespace

namespace {

struct h2_case_t {
    const char *what;
    bool is_server;
    std::string bytes;
    std::string expected;
};

/* Gives the bytes of @c in pieces to a connection.  Return: the message that
 * it read. */
std::string
read_h2(const h2_case_t &c, const std::vector<size_t> &cuts)
{
    static uint16_t port = 18230;
    wire_t wire;
    h2_reader_t reader;
    wire.listen(++port);
    if (c.is_server) {
        apr_pool_t *pool = nullptr;
        apr_socket_t *accepted = nullptr;
        wire.connect(port);
        apr_pool_create(&pool, wire.pool);
        wire.run_until([&] {
            return apr_socket_accept(&accepted, wire.listener, pool) ==
                   APR_SUCCESS;
        });
        reader.h2 = MvH2_Accept(wire.loop, accepted, pool, &kReader, &reader);
    }
    else {
        reader.h2 = MvH2_Connect(wire.loop, kAddress, port, &kReader, &reader);
        mv_http_message_t *request = MvHttpMessage_Create();
        MvHttpMessage_Add(request, ":method", "GET");
        MvHttpMessage_Add(request, ":scheme", "http");
        MvHttpMessage_Add(request, ":authority", "booking");
        MvHttpMessage_Add(request, ":path", "/");
        MvH2_Request(reader.h2, request);
        MvHttpMessage_Destroy(request);
        wire.accept();
        wire.receive(1);
    }
    wire.send(c.bytes, cuts);
    wire.run_until([&] { return reader.is_done || !reader.h2; });
    if (reader.h2) {
        MvH2_Close(reader.h2);
    }
    return reader.text;
}

const std::string kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const std::string kGet = "\x82\x86\x84\x41\x07"
                         "booking";
const std::string kField = "\x40\x01x\x03"
                           "abc";

} // namespace

TEST(Pieces, H2)
{
    const h2_case_t cases[] = {
        {"request", true,
         kPreface + h2_frame(4, 0, 0, "") + h2_frame(1, 4, 1, kGet + kField) +
             h2_frame(0, 0, 1, "ab") + h2_frame(0, 1, 1, "c"),
         "GET / - abc abc"},
        {"response", false,
         h2_frame(4, 0, 0, "") + h2_frame(1, 4, 1, "\x88" + kField) +
             h2_frame(0, 0, 1, "ab") + h2_frame(0, 1, 1, "c"),
         "- - 200 abc abc"},
    };
    for (const auto &c : cases) {
        expect_no_seams(
            c.what, c.bytes, c.expected,
            [&](const std::vector<size_t> &cuts) { return read_h2(c, cuts); });
    }
}

/* In KNOWN-RED.txt: libnghttp2 1.52 counts each piece of a frame header. */
TEST(PiecesOfFields, H2)
{
    const h2_case_t c = {
        "fields in two frames", true,
        kPreface + h2_frame(4, 0, 0, "") + h2_frame(1, 0, 1, kGet) +
            h2_frame(9, 4, 1, kField) + h2_frame(0, 1, 1, "abc"),
        "GET / - abc abc"};
    expect_no_seams(
        c.what, c.bytes, c.expected,
        [&](const std::vector<size_t> &cuts) { return read_h2(c, cuts); });
}

namespace {

void
ignore_message(void *, const mv_message_t *)
{
}

void
note_command(void *context, const char *command, size_t length, mv_reply_t *)
{
    *static_cast<std::string *>(context) += std::string(command, length) + ";";
}

const mv_links_ops_t kLinks = {ignore_message, note_command};

} // namespace

TEST(Pieces, FramesBetweenNodes)
{
    mv_findings_t *findings = MvFindings_Create();
    mv_keyring_t *ring = MvKeyring_Parse("keys", kKeys, "d", findings);
    MvFindings_Destroy(findings);
    mv_frame_codec_t *codec = MvFrameCodec_Create(ring, 7, 0, 1000);
    wire_t wire;
    mv_counters_t counters = {};
    mv_links_settings_t settings = {};
    std::string commands;
    settings.address = kAddress;
    settings.port = 18188;
    settings.keyring = ring;
    settings.id = 1;
    settings.counters = &counters;
    mv_links_t *links =
        MvLinks_Create(wire.loop, &settings, &kLinks, &commands, nullptr);
    ASSERT_NE(links, nullptr);
    wire.connect(18188);
    auto encode = [&] {
        mv_buffer_t out = {};
        MvFrameCodec_Encode(codec, MV_FRAME_COMMAND, "one", 3, &out);
        MvFrameCodec_Encode(codec, MV_FRAME_COMMAND, "two", 3, &out);
        std::string bytes((char *)out.data, out.length);
        MvBuffer_Clear(&out);
        return bytes;
    };
    expect_no_seams("two frames", encode(), "one;two;",
                    [&](const std::vector<size_t> &cuts) {
                        commands.clear();
                        wire.send(encode(), cuts);
                        wire.run_until([&] { return commands.size() >= 8; });
                        return commands;
                    });
    MvLinks_Destroy(links);
    MvFrameCodec_Destroy(codec);
    MvKeyring_Destroy(ring);
}
