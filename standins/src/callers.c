/*
 * Stand-in for callers and the network fabric.  Opens flows and sends requests
 * to the live entry VMs, checks the responses, and prints its counters as JSON
 * when it ends on SIGTERM or SIGINT.
 *
 * standin-callers ANSWERS NODES STORE FLOWS_PER_SECOND FLOW_SECONDS
 * REQUESTS_PER_SECOND [ADDRESS:PORT]: NODES is a file with a section [peer ID]
 * for each entry VM.  STORE is the address of the store with the platform's
 * list of VMs. FLOW_SECONDS is the mean duration of a flow.  ADDRESS:PORT is
 * where standin-backends sends the answers to SYNs; when it is given, a flow
 * sends its second packet after its answer, like TCP.
 */
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
#define PACKET_INTERVAL (250 * MV_MILLISECOND)
/* TCP's first retransmission of a SYN. */
#define SYN_INTERVAL MV_SECOND
#define VM_LIST_POLL_INTERVAL (100 * MV_MILLISECOND)
/* Body size of a response of standin-backends. */
#define RESPONSE_BYTES 2000
#define PACKET_BYTES (sizeof(struct iphdr) + sizeof(struct tcphdr))

typedef struct node {
    int id;
    char *address;
    uint16_t packet_port;
    uint16_t request_port;
    bool live;
    struct sockaddr_in packet_address;
    mv_h2_t *h2;
    struct callers *callers;
} node_t;

typedef struct flow {
    mv_list_t link;
    const mv_service_t *service;
    uint32_t address;
    uint16_t port;
    bool is_open;
    mv_time_t next_packet_at;
    mv_time_t end_time;
} flow_t;

typedef struct request {
    node_t *node;
    mv_h2_t *h2;
    int32_t stream;
    const mv_service_t *service;
    bool is_write;
    unsigned number;
    unsigned attempts;
    mv_time_t sent_at;
} request_t;

typedef struct callers {
    mv_deployment_t *deployment;
    mv_store_t *store;
    mv_loop_t *loop;
    GRand *random;
    node_t nodes[MAX_NODES];
    size_t node_count;
    int socket;
    /* Answers to SYNs arrive at the socket. */
    bool awaits_answers;
    mv_list_t flows;
    GHashTable *opening; /* flows without an answer, by caller's address */
    uint32_t flow_number;
    unsigned request_number;
    GHashTable *requests;
    bool vm_list_pending;
    mv_time_t next_vm_list_poll;
    uint64_t flows_opened;
    uint64_t flows_closed;
    uint64_t packets;
    uint64_t answered;
    uint64_t wrong_answers;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t retried;
    uint64_t unanswered;
    mv_histogram_t latency;
} callers_t;

static volatile sig_atomic_t stopping;

static void
on_signal(int signal)
{
    (void)signal;
    stopping = 1;
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
on_vm_list(void *context, const mv_store_reply_t *reply)
{
    callers_t *callers = context;
    callers->vm_list_pending = false;
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
poll_vm_list(callers_t *callers, mv_time_t now)
{
    if (callers->store && !callers->vm_list_pending &&
        now >= callers->next_vm_list_poll) {
        callers->vm_list_pending = true;
        callers->next_vm_list_poll = now + VM_LIST_POLL_INTERVAL;
        char *key =
            g_strdup_printf("platform/%s/vms", callers->deployment->name);
        MvStore_Get(callers->store, key, 0, 0, on_vm_list, callers);
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
           (struct sockaddr *)&node->packet_address,
           sizeof(node->packet_address));
}

static uint64_t
flow_key(uint32_t address, uint16_t port)
{
    return ((uint64_t)address << 16) | port;
}

static void
open_flow(callers_t *callers, mv_time_t now, double mean_seconds)
{
    flow_t *flow = g_new0(flow_t, 1);
    uint32_t number = callers->flow_number++;
    double lifetime_factor = g_rand_double_range(callers->random, 0.2, 1.8);
    flow->service =
        &callers->deployment
             ->services[number % callers->deployment->service_count];
    flow->address = 0x0a640000u + number / 50000;
    flow->port = (uint16_t)(1024 + number % 50000);
    flow->is_open = !callers->awaits_answers;
    flow->next_packet_at =
        now + (flow->is_open ? PACKET_INTERVAL / 5 : SYN_INTERVAL);
    flow->end_time =
        now + (mv_time_t)(lifetime_factor * mean_seconds * MV_SECOND);
    MvList_Append(&callers->flows, &flow->link);
    callers->flows_opened++;
    if (!flow->is_open) {
        uint64_t key = flow_key(flow->address, flow->port);
        g_hash_table_insert(callers->opening, g_memdup2(&key, sizeof(key)),
                            flow);
    }
    send_packet(callers, flow, true, false);
}

static void
read_answers(callers_t *callers, mv_time_t now)
{
    struct {
        struct iphdr ip;
        struct tcphdr tcp;
    } __attribute__((packed)) answer;
    while (callers->awaits_answers &&
           recv(callers->socket, &answer, sizeof(answer), MSG_DONTWAIT) ==
               (ssize_t)sizeof(answer)) {
        uint64_t key =
            flow_key(ntohl(answer.ip.daddr), ntohs(answer.tcp.dest));
        flow_t *flow = g_hash_table_lookup(callers->opening, &key);
        if (flow) {
            g_hash_table_remove(callers->opening, &key);
            flow->is_open = true;
            flow->next_packet_at = now;
        }
    }
}

static void
close_flow(callers_t *callers, flow_t *flow)
{
    uint64_t key = flow_key(flow->address, flow->port);
    g_hash_table_remove(callers->opening, &key);
    callers->flows_closed++;
    MvList_Remove(&flow->link);
    g_free(flow);
}

static void
send_flow_packets(callers_t *callers, mv_time_t now, bool close_flows)
{
    MV_LIST_FOREACH(item, &callers->flows)
    {
        flow_t *flow = MV_CONTAINER_OF(item, flow_t, link);
        if (now < flow->next_packet_at && !close_flows) {
            continue;
        }
        bool ends = now >= flow->end_time || close_flows;
        if (flow->is_open) {
            flow->next_packet_at = now + PACKET_INTERVAL;
            send_packet(callers, flow, false, ends);
        }
        else if (!ends) {
            flow->next_packet_at = now + SYN_INTERVAL;
            send_packet(callers, flow, true, false);
        }
        if (ends) {
            close_flow(callers, flow);
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
remove_request(callers_t *callers, const mv_h2_t *h2, int32_t stream)
{
    gint64 *key = request_key(h2, stream);
    gpointer stored_key = NULL;
    gpointer request = NULL;
    if (g_hash_table_steal_extended(callers->requests, key, &stored_key,
                                    &request)) {
        g_free(stored_key);
    }
    g_free(key);
    return request;
}

static void
check_response(callers_t *callers, const request_t *request,
               const mv_http_message_t *response)
{
    const char *outcome = MvHttpMessage_Get(response, "masticvane-outcome");
    if (outcome && !strcmp(outcome, "not-run")) {
        callers->not_run++;
        return;
    }
    if (outcome && !strcmp(outcome, "unknown")) {
        callers->unknown++;
        return;
    }
    char *expected_prefix = g_strdup_printf("%s /", request->service->name);
    char *number = g_strdup_printf("/%u ", request->number);
    char *body =
        g_strndup((const char *)response->body.data, response->body.length);
    bool is_correct = g_str_has_prefix(body, expected_prefix) &&
                      strstr(body, number) &&
                      response->body.length == RESPONSE_BYTES;
    callers->answered += is_correct;
    callers->wrong_answers += !is_correct;
    MvHistogram_Add(&callers->latency,
                    g_get_monotonic_time() - request->sent_at);
    g_free(expected_prefix);
    g_free(number);
    g_free(body);
}

static void
h2_message(mv_h2_t *h2, int32_t stream, mv_http_message_t *response)
{
    node_t *node = MvH2_Context(h2);
    request_t *request = remove_request(node->callers, h2, stream);
    if (request) {
        check_response(node->callers, request, response);
        g_free(request);
    }
    MvHttpMessage_Destroy(response);
}

static void
h2_closed(mv_h2_t *h2, int32_t stream, bool not_processed)
{
    node_t *node = MvH2_Context(h2);
    callers_t *callers = node->callers;
    request_t *request = remove_request(callers, h2, stream);
    if (!request) {
        return;
    }
    if (not_processed && !stopping) {
        callers->retried++;
        send_request(callers, request);
        return;
    }
    callers->unanswered += !stopping;
    g_free(request);
}

static void
h2_disconnected(mv_h2_t *h2)
{
    node_t *node = MvH2_Context(h2);
    if (node->h2 == h2) {
        node->h2 = NULL;
    }
}

static const mv_h2_ops_t h2_ops = {
    .message = h2_message,
    .closed = h2_closed,
    .disconnected = h2_disconnected,
};

static mv_http_message_t *
build_message(const request_t *request)
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
    mv_http_message_t *message = build_message(request);
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
        callers->unanswered++;
        g_free(request);
        return;
    }
    g_hash_table_insert(callers->requests, request_key(request->h2, stream),
                        request);
}

static void
issue_request(callers_t *callers)
{
    request_t *request = g_new0(request_t, 1);
    request->number = ++callers->request_number;
    request->service =
        &callers->deployment
             ->services[request->number % callers->deployment->service_count];
    request->is_write =
        request->service->work[0].non_idempotent && request->number % 3 == 0;
    request->sent_at = g_get_monotonic_time();
    send_request(callers, request);
}

/* Set-up and report */

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
        node->packet_address.sin_family = AF_INET;
        node->packet_address.sin_port = htons(node->packet_port);
        inet_pton(AF_INET, node->address, &node->packet_address.sin_addr);
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
        (json_int_t)callers->flows_opened, "packets",
        (json_int_t)callers->packets, "requests_sent",
        (json_int_t)callers->request_number, "answered",
        (json_int_t)callers->answered, "wrong_answers",
        (json_int_t)callers->wrong_answers, "not_run",
        (json_int_t)callers->not_run, "unknown", (json_int_t)callers->unknown,
        "retried_elsewhere", (json_int_t)callers->retried, "cut",
        (json_int_t)callers->unanswered, "latency_us",
        MvHistogram_ToJson(&callers->latency));
    json_dumpf(all, stdout, JSON_INDENT(1));
    (void)fputs("\n", stdout);
    json_decref(all);
}

static void
run(callers_t *callers, double flow_rate, double request_rate,
    double flow_seconds)
{
    mv_time_t start_time = g_get_monotonic_time();
    double flows_started = 0;
    double requests_started = 0;
    while (!stopping) {
        MvLoop_Run(callers->loop, MV_MILLISECOND);
        mv_time_t now = g_get_monotonic_time();
        double seconds = (double)(now - start_time) / MV_SECOND;
        poll_vm_list(callers, now);
        read_answers(callers, now);
        while (flows_started < seconds * flow_rate && !stopping) {
            open_flow(callers, now, flow_seconds);
            flows_started++;
        }
        while (requests_started < seconds * request_rate && !stopping) {
            issue_request(callers);
            requests_started++;
        }
        send_flow_packets(callers, now, false);
    }
    send_flow_packets(callers, g_get_monotonic_time(), true);
    /* Wait up to 5 s for open requests.  Clearing the flag lets h2_closed()
     * resend refused requests and count the unanswered ones. */
    stopping = 0;
    mv_time_t deadline = g_get_monotonic_time() + 5 * MV_SECOND;
    while (g_hash_table_size(callers->requests) > 0 &&
           g_get_monotonic_time() < deadline) {
        MvLoop_Run(callers->loop, MV_MILLISECOND);
    }
    callers->unanswered += g_hash_table_size(callers->requests);
}

/* @text: ADDRESS:PORT */
static bool
await_answers_at(callers_t *callers, const char *text)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    char **parts = g_strsplit(text, ":", 2);
    bool is_valid = parts[0] && parts[1] &&
                    inet_pton(AF_INET, parts[0], &address.sin_addr) == 1;
    address.sin_port = htons(is_valid ? (uint16_t)atoi(parts[1]) : 0);
    g_strfreev(parts);
    callers->awaits_answers = true;
    return is_valid && bind(callers->socket, (struct sockaddr *)&address,
                            sizeof(address)) == 0;
}

int
main(int argc, char **argv)
{
    callers_t callers = {.random = g_rand_new_with_seed(7)};
    apr_pool_t *pool = NULL;
    if (argc < 7) {
        (void)fprintf(stderr,
                      "standin-callers ANSWERS NODES STORE FLOWS_PER_SECOND "
                      "FLOW_SECONDS REQUESTS_PER_SECOND [ADDRESS:PORT]\n");
        return 2;
    }
    apr_initialize();
    apr_pool_create(&pool, NULL);
    MvList_Init(&callers.flows);
    callers.loop = MvLoop_Create(pool, MAX_DESCRIPTORS);
    callers.deployment = Standin_ReadAnswers(argv[1]);
    callers.requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    callers.opening =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    callers.socket = socket(AF_INET, SOCK_DGRAM, 0);
    if (!callers.deployment || !read_nodes(&callers, argv[2]) ||
        (argc > 7 && !await_answers_at(&callers, argv[7]))) {
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
