/* Stand-in for all backend servers of a deployment, in one process. */
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
#define ANSWER_BYTES 2000

typedef struct backend {
    mv_watch_t packet_watch;
    mv_watch_t accept_watch;
    struct world *world;
    const mv_service_t *service;
    const mv_endpoint_t *endpoint;
    apr_socket_t *packets;
    apr_socket_t *listener;
    GHashTable *flows;
    unsigned running;
    mv_list_t waiting;
    uint64_t flow_count;
    uint64_t runs;
    mv_time_t last_new_flow;
} backend_t;

/* One request, waiting or running. */
typedef struct run {
    mv_list_t link;
    backend_t *backend;
    mv_h2_t *h2;
    int32_t stream;
    mv_time_t ends;
    mv_http_message_t *request;
    bool dropped;
} run_t;

typedef struct world {
    mv_deployment_t *answers;
    mv_loop_t *loop;
    apr_pool_t *pool;
    mv_list_t running;
    GHashTable *keys;
    double service_ms;
    GRand *random;
    uint64_t packets;
    uint64_t flows;
    uint64_t broken;
    uint64_t wrong_service;
    uint64_t runs;
    uint64_t doubled;
    uint64_t overruns;
    uint64_t cancelled;
} world_t;

static volatile sig_atomic_t ended;

static void
on_signal(int signal)
{
    (void)signal;
    ended = 1;
}

/* Packets */

static void
take_packet(backend_t *backend, const uint8_t *data, size_t length)
{
    struct iphdr ip;
    struct tcphdr tcp;
    world_t *world = backend->world;
    if (length < sizeof(ip) + sizeof(tcp)) {
        return;
    }
    memcpy(&ip, data, sizeof(ip));
    memcpy(&tcp, data + sizeof(ip), sizeof(tcp));
    world->packets++;
    if (ntohl(ip.daddr) != backend->service->address ||
        ntohs(tcp.dest) != backend->service->port) {
        world->wrong_service++;
        return;
    }
    uint64_t key = ((uint64_t)ip.saddr << 16) | tcp.source;
    /* A flow that was closed stays known: packets overtake one another. */
    bool known = g_hash_table_contains(backend->flows, &key);
    if (tcp.syn && !known) {
        g_hash_table_add(backend->flows, g_memdup2(&key, sizeof(key)));
        world->flows++;
        backend->flow_count++;
        backend->last_new_flow = g_get_real_time();
        known = true;
    }
    world->broken += !known;
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
        take_packet(backend, data, length);
    }
}

/* Requests */

static void
begin(run_t *run)
{
    world_t *world = run->backend->world;
    double uniform = g_rand_double_range(world->random, 1e-9, 1.0);
    const char *key = MvHttpMessage_Get(run->request, "idempotency-key");
    run->backend->running++;
    run->backend->runs++;
    world->runs++;
    if (key) {
        guint before = GPOINTER_TO_UINT(g_hash_table_lookup(world->keys, key));
        world->doubled += before > 0;
        g_hash_table_insert(world->keys, g_strdup(key),
                            GUINT_TO_POINTER(before + 1));
    }
    run->ends =
        g_get_monotonic_time() +
        (mv_time_t)(-log(uniform) * world->service_ms * MV_MILLISECOND);
    MvList_Append(&world->running, &run->link);
}

static void
answer(run_t *run)
{
    mv_http_message_t *reply = MvHttpMessage_Create();
    char body[ANSWER_BYTES + 1];
    const char *path = MvHttpMessage_Get(run->request, ":path");
    const char *key = MvHttpMessage_Get(run->request, "idempotency-key");
    memset(body, '.', sizeof(body));
    int used =
        snprintf(body, sizeof(body), "%s %s %s\n", run->backend->service->name,
                 path ? path : "", key ? key : "");
    body[MIN(used, ANSWER_BYTES)] = '\n';
    MvHttpMessage_Add(reply, ":status", "200");
    MvHttpMessage_Add(reply, "backend", run->backend->endpoint->name);
    MvBuffer_Append(&reply->body, body, ANSWER_BYTES);
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
    while (backend->running < backend->endpoint->slots &&
           !MvList_IsEmpty(&backend->waiting)) {
        run_t *run = MV_CONTAINER_OF(backend->waiting.next, run_t, link);
        MvList_Remove(&run->link);
        begin(run);
    }
}

static void
finish_runs(world_t *world)
{
    mv_time_t now = g_get_monotonic_time();
    MV_LIST_FOREACH(item, &world->running)
    {
        run_t *run = MV_CONTAINER_OF(item, run_t, link);
        if (now < run->ends) {
            continue;
        }
        backend_t *backend = run->backend;
        if (!run->dropped) {
            answer(run);
        }
        backend->running--;
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
        backend->world->wrong_service++;
    }
    if (backend->running >= backend->endpoint->slots) {
        backend->world->overruns++;
    }
    MvList_Append(&backend->waiting, &run->link);
    start_waiting(backend);
}

static void
drop_runs(mv_list_t *list, mv_h2_t *h2, int32_t stream)
{
    MV_LIST_FOREACH(item, list)
    {
        run_t *run = MV_CONTAINER_OF(item, run_t, link);
        if (run->h2 == h2 && (stream == 0 || run->stream == stream)) {
            run->backend->world->cancelled += !run->dropped;
            run->dropped = true;
            run->ends = 0; /* It accepts the cancellation. */
        }
    }
}

static void
h2_closed(mv_h2_t *h2, int32_t stream, bool not_processed)
{
    backend_t *backend = MvH2_Context(h2);
    (void)not_processed;
    drop_runs(&backend->world->running, h2, stream);
    MV_LIST_FOREACH(item, &backend->waiting)
    {
        run_t *run = MV_CONTAINER_OF(item, run_t, link);
        if (run->h2 == h2 && run->stream == stream) {
            free_run(run);
        }
    }
}

static void
h2_gone(mv_h2_t *h2)
{
    backend_t *backend = MvH2_Context(h2);
    drop_runs(&backend->world->running, h2, 0);
}

static const mv_h2_ops_t h2_ops = {
    .message = h2_message,
    .closed = h2_closed,
    .disconnected = h2_gone,
};

static void
accept_ready(mv_watch_t *watch, int events)
{
    backend_t *backend = MV_CONTAINER_OF(watch, backend_t, accept_watch);
    (void)events;
    for (;;) {
        apr_pool_t *pool = NULL;
        apr_socket_t *socket = NULL;
        apr_pool_create(&pool, backend->world->pool);
        if (apr_socket_accept(&socket, backend->listener, pool) !=
            APR_SUCCESS) {
            apr_pool_destroy(pool);
            return;
        }
        MvH2_Accept(backend->world->loop, socket, pool, &h2_ops, backend);
    }
}

/* Setting up */

static bool
open_backend(world_t *world, const mv_service_t *service,
             const mv_endpoint_t *endpoint, backend_t *backend)
{
    char address[INET_ADDRSTRLEN];
    struct in_addr in = {.s_addr = htonl(endpoint->address)};
    GError *error = NULL;
    apr_os_sock_t fd;
    int size = SOCKET_BUFFER_BYTES;
    inet_ntop(AF_INET, &in, address, sizeof(address));
    backend->world = world;
    backend->service = service;
    backend->endpoint = endpoint;
    backend->packet_watch.ready = packets_ready;
    backend->accept_watch.ready = accept_ready;
    MvList_Init(&backend->waiting);
    backend->flows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    backend->packets =
        MvNet_Listen(world->pool, address, endpoint->packet_port, SOCK_DGRAM,
                     false, &error);
    if (backend->packets) {
        backend->listener =
            MvNet_Listen(world->pool, address, endpoint->request_port,
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
    MvLoop_Watch(world->loop, &backend->packet_watch, backend->packets,
                 APR_POLLIN);
    MvLoop_Watch(world->loop, &backend->accept_watch, backend->listener,
                 APR_POLLIN);
    return true;
}

static void
report(const world_t *world, backend_t **backends, size_t count)
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
        (json_int_t)world->packets, "flows", (json_int_t)world->flows,
        "broken_flow_packets", (json_int_t)world->broken, "wrong_service",
        (json_int_t)world->wrong_service, "runs", (json_int_t)world->runs,
        "doubled_runs", (json_int_t)world->doubled, "slot_overruns",
        (json_int_t)world->overruns, "cancelled", (json_int_t)world->cancelled,
        "backends", list);
    json_dumpf(all, stdout, JSON_INDENT(1));
    (void)fputs("\n", stdout);
    json_decref(all);
}

int
main(int argc, char **argv)
{
    world_t world = {.service_ms = argc > 2 ? atof(argv[2]) : 20};
    backend_t **backends = NULL;
    size_t count = 0;
    apr_initialize();
    apr_pool_create(&world.pool, NULL);
    world.loop = MvLoop_Create(world.pool, MAX_DESCRIPTORS);
    world.random = g_rand_new_with_seed(1);
    world.keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    MvList_Init(&world.running);
    world.answers = argc > 1 ? Standin_ReadAnswers(argv[1]) : NULL;
    if (!world.answers) {
        (void)fprintf(stderr, "standin-backends ANSWERS [SERVICE_MS]\n");
        return 2;
    }
    for (uint16_t s = 0; s < world.answers->service_count; s++) {
        const mv_service_t *service = &world.answers->services[s];
        backends =
            g_renew(backend_t *, backends, count + service->endpoint_count);
        for (uint16_t e = 0; e < service->endpoint_count; e++) {
            backends[count] = g_new0(backend_t, 1);
            if (!open_backend(&world, service, &service->endpoints[e],
                              backends[count++])) {
                return 1;
            }
        }
    }
    signal(SIGTERM, on_signal);
    signal(SIGPIPE, SIG_IGN);
    while (!ended) {
        MvLoop_Run(world.loop, MV_MILLISECOND);
        finish_runs(&world);
    }
    report(&world, backends, count);
    return 0;
}
