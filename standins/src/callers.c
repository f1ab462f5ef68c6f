/* Stand-in for callers and the fabric: flows and requests, checked. */
#include "answers.h"
#include "masticvane/net.h"
#include "masticvane/store.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_DESCRIPTORS 4096
#define MAX_NODES 64
#define PACKET_GAP (250 * MV_MILLISECOND)
#define VM_LIST_INTERVAL (100 * MV_MILLISECOND)
#define PACKET_BYTES (sizeof(struct iphdr) + sizeof(struct tcphdr))

typedef struct node {
    int id;
    char *address;
    uint16_t packet_port;
    uint16_t request_port;
    bool live;
    struct sockaddr_in packets;
    mv_h2_t *h2;
    struct callers *callers;
} node_t;

typedef struct flow {
    mv_list_t link;
    const mv_service_t *service;
    uint32_t address;
    uint16_t port;
    mv_time_t next;
    mv_time_t ends;
} flow_t;

typedef struct request {
    node_t *node;
    mv_h2_t *h2;
    int32_t stream;
    const mv_service_t *service;
    bool is_write;
    unsigned number;
    unsigned attempts;
    mv_time_t sent;
} request_t;

typedef struct callers {
    mv_deployment_t *answers;
    mv_store_t *store;
    mv_loop_t *loop;
    GRand *random;
    node_t nodes[MAX_NODES];
    size_t node_count;
    int socket;
    mv_list_t flows;
    uint32_t flow_number;
    unsigned request_number;
    GHashTable *requests;
    bool reading_vms;
    mv_time_t next_vms;
    uint64_t opened;
    uint64_t closed;
    uint64_t packets;
    uint64_t answered;
    uint64_t wrong_answers;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t retried;
    uint64_t cut;
    mv_histogram_t latency;
} callers_t;

static volatile sig_atomic_t ended;

static void
on_signal(int signal)
{
    (void)signal;
    ended = 1;
}

static node_t *
pick_node(callers_t *callers)
{
    gint32 start =
        g_rand_int_range(callers->random, 0, (gint32)callers->node_count);
    for (size_t i = 0; i < callers->node_count; i++) {
        node_t *node =
            &callers->nodes[((size_t)start + i) % callers->node_count];
        if (node->live) {
            return node;
        }
    }
    return NULL;
}

/* The platform's VM list */

static void
take_vms(void *context, const mv_store_reply_t *reply)
{
    callers_t *callers = context;
    callers->reading_vms = false;
    if (reply->outcome != MV_STORE_DONE) {
        return;
    }
    json_t *list = json_loadb(reply->value, reply->length, 0, NULL);
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *vm = json_array_get(list, i);
        json_int_t id = json_integer_value(json_object_get(vm, "node"));
        const char *state = json_string_value(json_object_get(vm, "state"));
        for (size_t n = 0; n < callers->node_count; n++) {
            if (callers->nodes[n].id == id) {
                callers->nodes[n].live = state && !strcmp(state, "live");
            }
        }
    }
    json_decref(list);
}

static void
read_vms(callers_t *callers, mv_time_t now)
{
    if (callers->store && !callers->reading_vms && now >= callers->next_vms) {
        callers->reading_vms = true;
        callers->next_vms = now + VM_LIST_INTERVAL;
        char *key = g_strdup_printf("platform/%s/vms", callers->answers->name);
        MvStore_Get(callers->store, key, 0, 0, take_vms, callers);
        g_free(key);
    }
    if (callers->store) {
        MvStore_Poll(callers->store, 0);
    }
}

/* Flows */

static void
send_packet(callers_t *callers, const flow_t *flow, bool syn, bool fin)
{
    uint8_t bytes[PACKET_BYTES];
    struct iphdr ip = {.version = 4,
                       .ihl = sizeof(ip) / 4,
                       .tot_len = htons(PACKET_BYTES),
                       .ttl = 64,
                       .protocol = IPPROTO_TCP,
                       .saddr = htonl(flow->address),
                       .daddr = htonl(flow->service->address)};
    struct tcphdr tcp = {.source = htons(flow->port),
                         .dest = htons(flow->service->port),
                         .doff = sizeof(tcp) / 4,
                         .syn = syn,
                         .ack = !syn,
                         .fin = fin};
    node_t *node = pick_node(callers);
    if (!node) {
        return;
    }
    memcpy(bytes, &ip, sizeof(ip));
    memcpy(bytes + sizeof(ip), &tcp, sizeof(tcp));
    callers->packets++;
    sendto(callers->socket, bytes, sizeof(bytes), 0,
           (struct sockaddr *)&node->packets, sizeof(node->packets));
}

static void
open_flow(callers_t *callers, mv_time_t now, double mean_seconds)
{
    flow_t *flow = g_new0(flow_t, 1);
    uint32_t number = callers->flow_number++;
    double life = g_rand_double_range(callers->random, 0.2, 1.8);
    flow->service =
        &callers->answers->services[number % callers->answers->service_count];
    flow->address = 0x0a640000u + number / 50000;
    flow->port = (uint16_t)(1024 + number % 50000);
    flow->next = now + PACKET_GAP / 5;
    flow->ends = now + (mv_time_t)(life * mean_seconds * MV_SECOND);
    MvList_Append(&callers->flows, &flow->link);
    callers->opened++;
    send_packet(callers, flow, true, false);
}

static void
run_flows(callers_t *callers, mv_time_t now, bool closing)
{
    MV_LIST_FOREACH(item, &callers->flows)
    {
        flow_t *flow = MV_CONTAINER_OF(item, flow_t, link);
        if (now < flow->next && !closing) {
            continue;
        }
        bool fin = now >= flow->ends || closing;
        flow->next = now + PACKET_GAP;
        send_packet(callers, flow, false, fin);
        if (fin) {
            callers->closed++;
            MvList_Remove(&flow->link);
            g_free(flow);
        }
    }
}

/* Requests */

static void send_request(callers_t *callers, request_t *request);

static gint64 *
request_key(const mv_h2_t *h2, int32_t stream)
{
    gint64 key = (gint64)((uintptr_t)h2 << 20) ^ stream;
    return g_memdup2(&key, sizeof(key));
}

static request_t *
take_request(callers_t *callers, const mv_h2_t *h2, int32_t stream)
{
    gint64 *key = request_key(h2, stream);
    gpointer stored = NULL;
    gpointer request = NULL;
    if (g_hash_table_steal_extended(callers->requests, key, &stored,
                                    &request)) {
        g_free(stored);
    }
    g_free(key);
    return request;
}

static void
judge_answer(callers_t *callers, const request_t *request,
             const mv_http_message_t *answer)
{
    const char *outcome = MvHttpMessage_Get(answer, "masticvane-outcome");
    if (outcome && !strcmp(outcome, "not-run")) {
        callers->not_run++;
        return;
    }
    if (outcome && !strcmp(outcome, "unknown")) {
        callers->unknown++;
        return;
    }
    char *wanted = g_strdup_printf("%s /", request->service->name);
    char *number = g_strdup_printf("/%u ", request->number);
    char *body =
        g_strndup((const char *)answer->body.data, answer->body.length);
    bool good = g_str_has_prefix(body, wanted) && strstr(body, number) &&
                answer->body.length == 2000;
    callers->answered += good;
    callers->wrong_answers += !good;
    MvHistogram_Add(&callers->latency, g_get_monotonic_time() - request->sent);
    g_free(wanted);
    g_free(number);
    g_free(body);
}

static void
h2_message(mv_h2_t *h2, int32_t stream, mv_http_message_t *answer)
{
    node_t *node = MvH2_Context(h2);
    request_t *request = take_request(node->callers, h2, stream);
    if (request) {
        judge_answer(node->callers, request, answer);
        g_free(request);
    }
    MvHttpMessage_Destroy(answer);
}

static void
h2_closed(mv_h2_t *h2, int32_t stream, bool not_processed)
{
    node_t *node = MvH2_Context(h2);
    callers_t *callers = node->callers;
    request_t *request = take_request(callers, h2, stream);
    if (!request) {
        return;
    }
    if (not_processed && !ended) {
        callers->retried++;
        send_request(callers, request);
        return;
    }
    callers->cut += !ended;
    g_free(request);
}

static void
h2_gone(mv_h2_t *h2)
{
    node_t *node = MvH2_Context(h2);
    if (node->h2 == h2) {
        node->h2 = NULL;
    }
}

static const mv_h2_ops_t h2_ops = {
    .message = h2_message,
    .closed = h2_closed,
    .disconnected = h2_gone,
};

static mv_http_message_t *
make_request(const request_t *request)
{
    mv_http_message_t *message = MvHttpMessage_Create();
    const mv_work_t *work = &request->service->work[0];
    char *path = g_strdup_printf(
        "%s/%u", request->is_write ? work->path : "/read", request->number);
    char *key = g_strdup_printf("%s-%d-%u", request->service->name, getpid(),
                                request->number);
    MvHttpMessage_Add(message, ":method", request->is_write ? "POST" : "GET");
    MvHttpMessage_Add(message, ":scheme", "http");
    MvHttpMessage_Add(message, ":authority", request->service->name);
    MvHttpMessage_Add(message, ":path", path);
    if (request->is_write) {
        MvHttpMessage_Add(message, "idempotency-key", key);
    }
    g_free(path);
    g_free(key);
    return message;
}

static void
send_request(callers_t *callers, request_t *request)
{
    mv_http_message_t *message = make_request(request);
    int32_t stream = -1;
    for (unsigned tries = 0; tries < 20 && stream < 0; tries++) {
        node_t *node = pick_node(callers);
        if (!node) {
            break;
        }
        if (!node->h2 || !MvH2_AcceptsRequests(node->h2)) {
            node->h2 = MvH2_Connect(callers->loop, node->address,
                                    node->request_port, &h2_ops, node);
        }
        if (node->h2) {
            stream = MvH2_Request(node->h2, message);
            request->h2 = node->h2;
        }
    }
    MvHttpMessage_Destroy(message);
    if (stream < 0) {
        callers->cut++;
        g_free(request);
        return;
    }
    g_hash_table_insert(callers->requests, request_key(request->h2, stream),
                        request);
}

static void
new_request(callers_t *callers)
{
    request_t *request = g_new0(request_t, 1);
    request->number = ++callers->request_number;
    request->service =
        &callers->answers
             ->services[request->number % callers->answers->service_count];
    request->is_write =
        request->service->work[0].non_idempotent && request->number % 3 == 0;
    request->sent = g_get_monotonic_time();
    send_request(callers, request);
}

/* Setting up */

static bool
read_nodes(callers_t *callers, const char *path)
{
    char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return false;
    }
    mv_findings_t *findings = MvFindings_Create();
    mv_ini_t *ini = MvIni_Parse(path, text, findings);
    GPtrArray *sections = MvIni_Sections(ini, "peer ");
    for (guint i = 0; i < sections->len && i < MAX_NODES; i++) {
        const char *section = g_ptr_array_index(sections, i);
        node_t *node = &callers->nodes[callers->node_count++];
        node->id = atoi(section + strlen("peer "));
        node->callers = callers;
        node->live = true;
        node->address =
            g_strdup(MvIni_Text(ini, section, "address", NULL, findings));
        node->packet_port = 5555;
        node->request_port = 8080;
        node->packets.sin_family = AF_INET;
        node->packets.sin_port = htons(node->packet_port);
        inet_pton(AF_INET, node->address, &node->packets.sin_addr);
    }
    g_ptr_array_unref(sections);
    MvFindings_Destroy(findings);
    MvIni_Destroy(ini);
    g_free(text);
    return callers->node_count > 0;
}

static void
report(const callers_t *callers)
{
    json_t *all = json_pack(
        "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "flows_opened",
        (json_int_t)callers->opened, "packets", (json_int_t)callers->packets,
        "requests_sent", (json_int_t)callers->request_number, "answered",
        (json_int_t)callers->answered, "wrong_answers",
        (json_int_t)callers->wrong_answers, "not_run",
        (json_int_t)callers->not_run, "unknown", (json_int_t)callers->unknown,
        "retried_elsewhere", (json_int_t)callers->retried, "cut",
        (json_int_t)callers->cut, "latency_us",
        MvHistogram_ToJson(&callers->latency));
    json_dumpf(all, stdout, JSON_INDENT(1));
    (void)fputs("\n", stdout);
    json_decref(all);
}

static void
run(callers_t *callers, double flow_rate, double request_rate,
    double flow_seconds)
{
    mv_time_t began = g_get_monotonic_time();
    double flows = 0;
    double requests = 0;
    while (!ended) {
        MvLoop_Run(callers->loop, MV_MILLISECOND);
        mv_time_t now = g_get_monotonic_time();
        double seconds = (double)(now - began) / MV_SECOND;
        read_vms(callers, now);
        while (flows < seconds * flow_rate && !ended) {
            open_flow(callers, now, flow_seconds);
            flows++;
        }
        while (requests < seconds * request_rate && !ended) {
            new_request(callers);
            requests++;
        }
        run_flows(callers, now, false);
    }
    run_flows(callers, g_get_monotonic_time(), true);
    /* Let open requests end before they are counted. */
    ended = 0;
    mv_time_t until = g_get_monotonic_time() + 5 * MV_SECOND;
    while (g_hash_table_size(callers->requests) > 0 &&
           g_get_monotonic_time() < until) {
        MvLoop_Run(callers->loop, MV_MILLISECOND);
    }
    callers->cut += g_hash_table_size(callers->requests);
}

int
main(int argc, char **argv)
{
    callers_t callers = {.random = g_rand_new_with_seed(7)};
    apr_pool_t *pool = NULL;
    if (argc < 7) {
        (void)fprintf(stderr,
                      "standin-callers ANSWERS NODES STORE FLOWS_PER_SECOND "
                      "FLOW_SECONDS REQUESTS_PER_SECOND\n");
        return 2;
    }
    apr_initialize();
    apr_pool_create(&pool, NULL);
    MvList_Init(&callers.flows);
    callers.loop = MvLoop_Create(pool, MAX_DESCRIPTORS);
    callers.answers = Standin_ReadAnswers(argv[1]);
    callers.requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    callers.socket = socket(AF_INET, SOCK_DGRAM, 0);
    if (!callers.answers || !read_nodes(&callers, argv[2])) {
        (void)fprintf(stderr, "standin-callers: unreadable input\n");
        return 2;
    }
    callers.store = MvStore_CreateHttp(argv[3], 2 * MV_SECOND, NULL, NULL);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGPIPE, SIG_IGN);
    run(&callers, atof(argv[4]), atof(argv[6]), atof(argv[5]));
    report(&callers);
    return 0;
}
