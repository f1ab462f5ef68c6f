#include "masticvane/net.h"

#include <apr_general.h>
#include <apr_network_io.h>
#include <gtest/gtest.h>

#include <string>

namespace {

const char *const kAddress = "127.89.0.1";

struct result_t {
    int count = 0;
    mv_http1_outcome_t outcome = MV_HTTP1_NOT_SENT;
    unsigned status = 0;
    std::string body;
    uint64_t index = 0;
};

void
store_result(void *context, const mv_http1_response_t *response)
{
    auto *result = static_cast<result_t *>(context);
    result->count++;
    result->outcome = response->outcome;
    result->status = response->status;
    result->body.assign(response->body ? response->body : "",
                        response->length);
    result->index = response->index;
}

unsigned
handle_request(void *, const char *target, mv_buffer_t *body)
{
    if (std::string(target) != "/here") {
        return 404;
    }
    MvBuffer_Append(body, "good", 4);
    return 200;
}

/* A client and, on @port, either the HTTP/1.1 server or a bare listener that
 * sends the bytes of the test case. */
struct Http1 : testing::Test {
    Http1()
    {
        apr_initialize();
        apr_pool_create(&pool, nullptr);
        loop = MvLoop_Create(pool, 16);
    }

    ~Http1() override
    {
        MvHttp1_DestroyClient(client);
        MvHttp1_DestroyServer(server);
        apr_pool_destroy(pool);
    }

    void
    connect(uint16_t port)
    {
        std::string address =
            std::string(kAddress) + ":" + std::to_string(port);
        client = MvHttp1_CreateClient(loop, address.c_str(), "X-Index");
    }

    void
    serve(uint16_t port)
    {
        server = MvHttp1_Serve(loop, kAddress, port, handle_request, nullptr,
                               nullptr);
        ASSERT_NE(server, nullptr);
        connect(port);
    }

    void
    listen(uint16_t port)
    {
        listener =
            MvNet_Listen(pool, kAddress, port, SOCK_STREAM, false, nullptr);
        ASSERT_NE(listener, nullptr);
        connect(port);
    }

    /* Sends @bytes on the next connection, then closes it when @close is
     * true. */
    void
    respond(const std::string &bytes, bool close)
    {
        apr_socket_t *socket = nullptr;
        for (int i = 0; i < 200 && !socket; i++) {
            MvLoop_Run(loop, MV_MILLISECOND);
            apr_socket_accept(&socket, listener, pool);
        }
        ASSERT_NE(socket, nullptr);
        apr_size_t length = bytes.size();
        apr_socket_send(socket, bytes.data(), &length);
        if (close) {
            apr_socket_close(socket);
        }
    }

    result_t
    call(const char *method, const char *target, mv_time_t timeout = MV_SECOND,
         const std::string &bytes = "", bool close = false)
    {
        result_t result;
        mv_http1_request_t request = {};
        request.method = method;
        request.target = target;
        request.timeout = timeout;
        MvHttp1_Call(client, &request, g_get_monotonic_time(), store_result,
                     &result);
        EXPECT_EQ(result.count, 0);
        if (listener) {
            respond(bytes, close);
        }
        for (int i = 0; i < 3000 && result.count == 0; i++) {
            MvLoop_Run(loop, MV_MILLISECOND);
            MvHttp1_Timer(client, g_get_monotonic_time());
        }
        EXPECT_EQ(result.count, 1);
        return result;
    }

    /* The response has one byte of its body every @interval. */
    result_t
    call_in_parts(mv_time_t interval, int parts)
    {
        result_t result;
        mv_http1_request_t request = {};
        request.method = "GET";
        request.target = "/";
        request.timeout = 200 * MV_MILLISECOND;
        request.stall_limit = 200 * MV_MILLISECOND;
        request.max_timeout = 800 * MV_MILLISECOND;
        MvHttp1_Call(client, &request, g_get_monotonic_time(), store_result,
                     &result);
        apr_socket_t *socket = nullptr;
        for (int i = 0; i < 200 && !socket; i++) {
            MvLoop_Run(loop, MV_MILLISECOND);
            apr_socket_accept(&socket, listener, pool);
        }
        std::string part =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(parts) +
            "\r\n\r\n";
        mv_time_t next = 0;
        while (result.count == 0) {
            mv_time_t now = g_get_monotonic_time();
            if (now >= next) {
                apr_size_t length = part.size();
                apr_socket_send(socket, part.data(), &length);
                part = "x";
                next = now + interval;
            }
            MvLoop_Run(loop, MV_MILLISECOND);
            MvHttp1_Timer(client, g_get_monotonic_time());
        }
        apr_socket_close(socket);
        return result;
    }

    /* Sends @bytes; returns what the server sends until it closes the
     * connection, or within 1000 loop iterations of at most 1 ms. */
    std::string
    exchange(uint16_t port, const std::string &bytes, bool &closed)
    {
        std::string received;
        char part[512];
        apr_socket_t *socket = MvNet_Connect(pool, kAddress, port);
        apr_size_t length = bytes.size();
        EXPECT_NE(socket, nullptr);
        MvLoop_Run(loop, MV_MILLISECOND);
        apr_socket_send(socket, bytes.data(), &length);
        closed = false;
        for (int i = 0; i < 1000 && !closed; i++) {
            MvLoop_Run(loop, MV_MILLISECOND);
            length = sizeof(part);
            apr_status_t status = apr_socket_recv(socket, part, &length);
            received.append(part, length);
            closed = APR_STATUS_IS_EOF(status);
        }
        apr_socket_close(socket);
        return received;
    }

    apr_pool_t *pool = nullptr;
    mv_loop_t *loop = nullptr;
    mv_http1_client_t *client = nullptr;
    mv_http1_server_t *server = nullptr;
    apr_socket_t *listener = nullptr;
};

} // namespace

TEST_F(Http1, ServerHandlesGetAndRefusesOtherRequests)
{
    serve(18090);
    std::string long_target = "/" + std::string(5000, 'x');
    struct {
        const char *method;
        const char *target;
        unsigned status;
        const char *body;
    } const cases[] = {
        {"GET", "/here", 200, "good"}, {"GET", "/else", 404, ""},
        {"POST", "/here", 405, ""},    {"GET", long_target.c_str(), 414, ""},
        {"GET", "/here", 200, "good"},
    };
    for (const auto &c : cases) {
        result_t result = call(c.method, c.target);
        EXPECT_EQ(result.outcome, MV_HTTP1_RESPONDED) << c.method << c.target;
        EXPECT_EQ(result.status, c.status) << c.method << c.target;
        EXPECT_EQ(result.body, c.body) << c.method << c.target;
    }
}

TEST_F(Http1, ServerClosesWhenClientAsksAndAfterMalformedInput)
{
    serve(18091);
    struct {
        const char *bytes;
        const char *response_start;
        bool closes;
    } const cases[] = {
        {"GET /here HTTP/1.1\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 ",
         true},
        {"GET /here HTTP/1.0\r\n\r\n", "HTTP/1.1 200 ", true},
        {"nonsense\r\n\r\n", "HTTP/1.1 400 ", true},
        {"GET /here HTTP/1.1\r\n\r\n", "HTTP/1.1 200 ", false},
    };
    for (const auto &c : cases) {
        bool closed = false;
        std::string received = exchange(18091, c.bytes, closed);
        EXPECT_EQ(received.rfind(c.response_start, 0), 0u)
            << c.bytes << received;
        EXPECT_EQ(closed, c.closes) << c.bytes;
        EXPECT_EQ(received.find("Connection: close") != std::string::npos,
                  c.closes)
            << c.bytes << received;
    }
}

TEST_F(Http1, IncompleteResponseIsReportedAsUnknown)
{
    listen(18091);
    struct {
        const char *what;
        const char *bytes;
        bool close;
        mv_http1_outcome_t outcome;
    } const cases[] = {
        {"complete",
         "HTTP/1.1 200 OK\r\nX-Index: 17\r\nContent-Length: 2\r\n\r\nab", true,
         MV_HTTP1_RESPONDED},
        {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
         true, MV_HTTP1_UNKNOWN},
        {"truncated header", "HTTP/1.1 200 OK\r\nConte", true,
         MV_HTTP1_UNKNOWN},
        {"closed at once", "", true, MV_HTTP1_UNKNOWN},
        {"not HTTP", "nonsense\r\n\r\n", true, MV_HTTP1_UNKNOWN},
        {"no response", "", false, MV_HTTP1_UNKNOWN},
    };
    for (const auto &c : cases) {
        MvHttp1_DestroyClient(client);
        connect(18091);
        result_t result =
            call("GET", "/", 200 * MV_MILLISECOND, c.bytes, c.close);
        EXPECT_EQ(result.outcome, c.outcome) << c.what;
        if (c.outcome == MV_HTTP1_RESPONDED) {
            EXPECT_EQ(result.body, "ab");
            EXPECT_EQ(result.index, 17u);
        }
    }
}

/* Guards against a long reply over a small link that is given up and asked for
 * again and again. */
TEST_F(Http1, ResponseThatArrivesInPartsIsWaitedFor)
{
    listen(18093);
    struct {
        const char *what;
        int interval_ms;
        int parts;
        mv_http1_outcome_t outcome;
    } const cases[] = {
        {"longer than the timeout", 50, 8, MV_HTTP1_RESPONDED},
        {"stalls", 450, 3, MV_HTTP1_UNKNOWN},
        {"never ends", 50, 100000, MV_HTTP1_UNKNOWN},
    };
    for (const auto &c : cases) {
        MvHttp1_DestroyClient(client);
        connect(18093);
        mv_time_t began = g_get_monotonic_time();
        result_t result =
            call_in_parts(c.interval_ms * MV_MILLISECOND, c.parts);
        EXPECT_EQ(result.outcome, c.outcome) << c.what;
        EXPECT_LT(g_get_monotonic_time() - began, MV_SECOND) << c.what;
    }
}

TEST_F(Http1, RefusedConnectionIsReportedAsNotSent)
{
    connect(18092);
    result_t result = call("POST", "/");
    EXPECT_EQ(result.outcome, MV_HTTP1_NOT_SENT);
}

TEST(Http1Address, RefusesInvalidAddresses)
{
    for (const char *address :
         {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000"}) {
        EXPECT_EQ(MvHttp1_CreateClient(nullptr, address, nullptr), nullptr)
            << address;
    }
}
