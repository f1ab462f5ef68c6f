/*
 * Stand-in for all backend servers of a deployment, in one process.  Receives
 * flow packets and serves HTTP/2 requests, checks both, and prints its
 * counters as JSON when it ends on SIGTERM.
 *
 * standin-backends ANSWERS [SERVICE_MS [ADDRESS:PORT]]: the service times of
 * requests are exponentially distributed with mean SERVICE_MS, by default 20.
 * SYNs are answered to the standin-callers at ADDRESS:PORT.
 */
#include "answers.h"
#include "masticvane/net.h"

#include <apr_general.h>
#include <apr_network_io.h>
#include <apr_portable.h>
#include <arpa/inet.h>
#include <math.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define PACKET_MAX 65536
#define SOCKET_BUFFER_BYTES (8 << 20)
#define MAX_DESCRIPTORS 8192
#define RESPONSE_BYTES 2000

typedef struct backend {
    mv_watch_t packet_watch;
    mv_watch_t accept_watch;
    struct standin *standin;
    const mv_service_t *service;
    const mv_endpoint_t *endpoint;
    apr_socket_t *packets;
    apr_socket_t *listener;
    GHashTable *flows;
    unsigned running_count;
    mv_list_t waiting;
    uint64_t flow_count;
    uint64_t runs;
    mv_time_t last_new_flow;
} backend_t;

/* One request, waiting for a slot or running. */
typedef struct run {
    mv_list_t link;
    backend_t *backend;
    mv_h2_t *h2;
    int32_t stream;
    mv_time_t end_time;
    mv_http_message_t *request;
    bool is_cancelled;
} run_t;

typedef struct standin {
    mv_deployment_t *deployment;
    mv_loop_t *loop;
    apr_pool_t *pool;
    mv_list_t running;
    GHashTable *runs_by_key;
    double mean_service_ms;
    apr_sockaddr_t *callers; /* NULL when SYNs are not answered */
    GRand *random;
    uint64_t packets;
    uint64_t flows;
    uint64_t broken_flow_packets;
    uint64_t wrong_service;
    uint64_t runs;
    uint64_t duplicate_runs;
    uint64_t slot_overruns;
    uint64_t cancelled;
} standin_t;

static volatile sig_atomic_t stopping;

static void
on_signal(int signal)
{
    (void)signal;
    stopping = 1;
}

/* Packets */

/* Answers a SYN to the caller directly, not by way of an entry VM. */
static void
answer_syn(const backend_t *backend, const struct iphdr *ip,
           const struct tcphdr *tcp)
{
    struct iphdr answer_ip = {.version = 4,
                              .ihl = sizeof(*ip) / 4,
                              .tot_len = htons(sizeof(*ip) + sizeof(*tcp)),
                              .ttl = 64,
                              .protocol = IPPROTO_TCP,
                              .saddr = ip->daddr,
                              .daddr = ip->saddr};
    struct tcphdr answer_tcp = {.source = tcp->dest,
                                .dest = tcp->source,
                                .doff = sizeof(*tcp) / 4,
                                .syn = 1,
                                .ack = 1};
    char bytes[sizeof(answer_ip) + sizeof(answer_tcp)];
    apr_size_t length = sizeof(bytes);
    memcpy(bytes, &answer_ip, sizeof(answer_ip));
    memcpy(bytes + sizeof(answer_ip), &answer_tcp, sizeof(answer_tcp));
    apr_socket_sendto(backend->packets, backend->standin->callers, 0, bytes,
                      &length);
}

static void
count_packet(backend_t *backend, const uint8_t *data, size_t length)
{
    struct iphdr ip;
    struct tcphdr tcp;
    standin_t *standin = backend->standin;
    if (length < sizeof(ip) + sizeof(tcp)) {
        return;
    }
    memcpy(&ip, data, sizeof(ip));
    memcpy(&tcp, data + sizeof(ip), sizeof(tcp));
    standin->packets++;
    if (ntohl(ip.daddr) != backend->service->address ||
        ntohs(tcp.dest) != backend->service->port) {
        standin->wrong_service++;
        return;
    }
    uint64_t key = ((uint64_t)ip.saddr << 16) | tcp.source;
    /* Closed flows stay in the table: packets may arrive out of order. */
    bool known = g_hash_table_contains(backend->flows, &key);
    if (tcp.syn && !known) {
        g_hash_table_add(backend->flows, g_memdup2(&key, sizeof(key)));
        standin->flows++;
        backend->flow_count++;
        backend->last_new_flow = g_get_real_time();
        known = true;
    }
    if (tcp.syn && standin->callers) {
        answer_syn(backend, &ip, &tcp);
    }
    standin->broken_flow_packets += !known;
}

static void
packets_ready(mv_watch_t *watch, int events)
{
    backend_t *backend = MV_CONTAINER_OF(watch, backend_t, packet_watch);
    static uint8_t data[PACKET_MAX];
    (void)events;
    for (;;) {
        apr_size_t length = sizeof(data);
        if (apr_socket_recv(backend->packets, (char *)data, &length) !=
            APR_SUCCESS) {
            return;
        }
        count_packet(backend, data, length);
    }
}

/* Requests */

static void
start_run(run_t *run)
{
    standin_t *standin = run->backend->standin;
    double uniform = g_rand_double_range(standin->random, 1e-9, 1.0);
    const char *key = MvHttpMessage_Get(run->request, "idempotency-key");
    run->backend->running_count++;
    run->backend->runs++;
    standin->runs++;
    if (key) {
        guint earlier_runs =
            GPOINTER_TO_UINT(g_hash_table_lookup(standin->runs_by_key, key));
        standin->duplicate_runs += earlier_runs > 0;
        g_hash_table_insert(standin->runs_by_key, g_strdup(key),
                            GUINT_TO_POINTER(earlier_runs + 1));
    }
    run->end_time =
        g_get_monotonic_time() +
        (mv_time_t)(-log(uniform) * standin->mean_service_ms * MV_MILLISECOND);
    MvList_Append(&standin->running, &run->link);
}

static void
respond(run_t *run)
{
    mv_http_message_t *reply = MvHttpMessage_Create();
    char body[RESPONSE_BYTES + 1];
    const char *path = MvHttpMessage_Get(run->request, ":path");
    const char *key = MvHttpMessage_Get(run->request, "idempotency-key");
    memset(body, '.', sizeof(body));
    int written =
        snprintf(body, sizeof(body), "%s %s %s\n", run->backend->service->name,
                 path ? path : "", key ? key : "");
    body[MIN(written, RESPONSE_BYTES)] = '\n';
    MvHttpMessage_Add(reply, ":status", "200");
    MvHttpMessage_Add(reply, "backend", run->backend->endpoint->name);
    MvBuffer_Append(&reply->body, body, RESPONSE_BYTES);
    MvH2_Respond(run->h2, run->stream, reply);
    MvHttpMessage_Destroy(reply);
}

static void
free_run(run_t *run)
{
    MvList_Remove(&run->link);
    MvHttpMessage_Destroy(run->request);
    g_free(run);
}

static void
start_waiting(backend_t *backend)
{
    while (backend->running_count < backend->endpoint->slots &&
           !MvList_IsEmpty(&backend->waiting)) {
        run_t *run = MV_CONTAINER_OF(backend->waiting.next, run_t, link);
        MvList_Remove(&run->link);
        start_run(run);
    }
}

static void
finish_runs(standin_t *standin)
{
    mv_time_t now = g_get_monotonic_time();
    MV_LIST_FOREACH(item, &standin->running)
    {
        run_t *run = MV_CONTAINER_OF(item, run_t, link);
        if (now < run->end_time) {
            continue;
        }
        backend_t *backend = run->backend;
        if (!run->is_cancelled) {
            respond(run);
        }
        backend->running_count--;
        free_run(run);
        start_waiting(backend);
    }
}

static void
h2_message(mv_h2_t *h2, int32_t stream, mv_http_message_t *request)
{
    backend_t *backend = MvH2_Context(h2);
    const char *authority = MvHttpMessage_Get(request, ":authority");
    run_t *run = g_new0(run_t, 1);
    run->backend = backend;
    run->h2 = h2;
    run->stream = stream;
    run->request = request;
    if (!authority || strncmp(authority, backend->service->name,
                              strlen(backend->service->name)) != 0) {
        backend->standin->wrong_service++;
    }
    if (backend->running_count >= backend->endpoint->slots) {
        backend->standin->slot_overruns++;
    }
    MvList_Append(&backend->waiting, &run->link);
    start_waiting(backend);
}

static void
cancel_runs(mv_list_t *list, mv_h2_t *h2, int32_t stream)
{
    MV_LIST_FOREACH(item, list)
    {
        run_t *run = MV_CONTAINER_OF(item, run_t, link);
        if (run->h2 == h2 && (stream == 0 || run->stream == stream)) {
            run->backend->standin->cancelled += !run->is_cancelled;
            run->is_cancelled = true;
            run->end_time = 0; /* finish_runs() frees its slot. */
        }
    }
}

static void
h2_closed(mv_h2_t *h2, int32_t stream, bool not_processed)
{
    backend_t *backend = MvH2_Context(h2);
    (void)not_processed;
    cancel_runs(&backend->standin->running, h2, stream);
    MV_LIST_FOREACH(item, &backend->waiting)
    {
        run_t *run = MV_CONTAINER_OF(item, run_t, link);
        if (run->h2 == h2 && run->stream == stream) {
            free_run(run);
        }
    }
}

static void
h2_disconnected(mv_h2_t *h2)
{
    backend_t *backend = MvH2_Context(h2);
    cancel_runs(&backend->standin->running, h2, 0);
}

static const mv_h2_ops_t h2_ops = {
    .message = h2_message,
    .closed = h2_closed,
    .disconnected = h2_disconnected,
};

static void
accept_ready(mv_watch_t *watch, int events)
{
    backend_t *backend = MV_CONTAINER_OF(watch, backend_t, accept_watch);
    (void)events;
    for (;;) {
        apr_pool_t *pool = NULL;
        apr_socket_t *socket = NULL;
        apr_pool_create(&pool, backend->standin->pool);
        if (apr_socket_accept(&socket, backend->listener, pool) !=
            APR_SUCCESS) {
            apr_pool_destroy(pool);
            return;
        }
        MvH2_Accept(backend->standin->loop, socket, pool, &h2_ops, backend);
    }
}

/* Set-up and report */

static bool
start_backend(standin_t *standin, const mv_service_t *service,
              const mv_endpoint_t *endpoint, backend_t *backend)
{
    char address[INET_ADDRSTRLEN];
    struct in_addr in = {.s_addr = htonl(endpoint->address)};
    GError *error = NULL;
    apr_os_sock_t fd;
    int size = SOCKET_BUFFER_BYTES;
    inet_ntop(AF_INET, &in, address, sizeof(address));
    backend->standin = standin;
    backend->service = service;
    backend->endpoint = endpoint;
    backend->packet_watch.ready = packets_ready;
    backend->accept_watch.ready = accept_ready;
    MvList_Init(&backend->waiting);
    backend->flows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    backend->packets =
        MvNet_Listen(standin->pool, address, endpoint->packet_port, SOCK_DGRAM,
                     false, &error);
    if (backend->packets) {
        backend->listener =
            MvNet_Listen(standin->pool, address, endpoint->request_port,
                         SOCK_STREAM, false, &error);
    }
    if (!backend->listener) {
        (void)fprintf(stderr, "standin-backends: %s\n", error->message);
        g_clear_error(&error);
        return false;
    }
    if (apr_os_sock_get(&fd, backend->packets) == APR_SUCCESS) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }
    MvLoop_Watch(standin->loop, &backend->packet_watch, backend->packets,
                 APR_POLLIN);
    MvLoop_Watch(standin->loop, &backend->accept_watch, backend->listener,
                 APR_POLLIN);
    return true;
}

static void
report(const standin_t *standin, backend_t **backends, size_t count)
{
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(
            list,
            json_pack("{s:s,s:I,s:I,s:I}", "name", backends[i]->endpoint->name,
                      "flows", (json_int_t)backends[i]->flow_count, "runs",
                      (json_int_t)backends[i]->runs, "last_new_flow_us",
                      (json_int_t)backends[i]->last_new_flow));
    }
    json_t *all = json_pack(
        "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "packets",
        (json_int_t)standin->packets, "flows", (json_int_t)standin->flows,
        "broken_flow_packets", (json_int_t)standin->broken_flow_packets,
        "wrong_service", (json_int_t)standin->wrong_service, "runs",
        (json_int_t)standin->runs, "doubled_runs",
        (json_int_t)standin->duplicate_runs, "slot_overruns",
        (json_int_t)standin->slot_overruns, "cancelled",
        (json_int_t)standin->cancelled, "backends", list);
    json_dumpf(all, stdout, JSON_INDENT(1));
    (void)fputs("\n", stdout);
    json_decref(all);
}

/* @text: ADDRESS:PORT */
static bool
set_callers(standin_t *standin, const char *text)
{
    char **parts = g_strsplit(text, ":", 2);
    bool is_valid = parts[0] && parts[1] &&
                    apr_sockaddr_info_get(&standin->callers, parts[0],
                                          APR_INET, (apr_port_t)atoi(parts[1]),
                                          0, standin->pool) == APR_SUCCESS;
    g_strfreev(parts);
    return is_valid;
}

int
main(int argc, char **argv)
{
    standin_t standin = {.mean_service_ms = argc > 2 ? atof(argv[2]) : 20};
    backend_t **backends = NULL;
    size_t count = 0;
    apr_initialize();
    apr_pool_create(&standin.pool, NULL);
    standin.loop = MvLoop_Create(standin.pool, MAX_DESCRIPTORS);
    standin.random = g_rand_new_with_seed(1);
    standin.runs_by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    MvList_Init(&standin.running);
    standin.deployment = argc > 1 ? Standin_ReadAnswers(argv[1]) : NULL;
    if (!standin.deployment || (argc > 3 && !set_callers(&standin, argv[3]))) {
        (void)fprintf(stderr, "standin-backends ANSWERS [SERVICE_MS "
                              "[ADDRESS:PORT]]\n");
        return 2;
    }
    for (uint16_t s = 0; s < standin.deployment->service_count; s++) {
        const mv_service_t *service = &standin.deployment->services[s];
        backends =
            g_renew(backend_t *, backends, count + service->endpoint_count);
        for (uint16_t e = 0; e < service->endpoint_count; e++) {
            backends[count] = g_new0(backend_t, 1);
            if (!start_backend(&standin, service, &service->endpoints[e],
                               backends[count++])) {
                return 1;
            }
        }
    }
    signal(SIGTERM, on_signal);
    signal(SIGPIPE, SIG_IGN);
    while (!stopping) {
        MvLoop_Run(standin.loop, MV_MILLISECOND);
        finish_runs(&standin);
    }
    report(&standin, backends, count);
    return 0;
}
