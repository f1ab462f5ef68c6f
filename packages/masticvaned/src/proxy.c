/* Traffic thread for requests: an HTTP/2 proxy. */
#include "daemon.h"
#include "datagrams.h"
#include "stored_response.h"

#include <apr_network_io.h>
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/* MvRequests_Timer() must be called at least every 5 ms. */
#define MAX_LOOP_WAIT (2 * MV_MILLISECOND)
#define MAX_DESCRIPTORS 16384
#define PING_IDLE_TIME (500 * MV_MILLISECOND)
#define SILENCE_TIMEOUT (2 * MV_SECOND)
#define SILENCE_CHECK_INTERVAL (100 * MV_MILLISECOND)
#define DUMP_INTERVAL (200 * MV_MILLISECOND)
/* Time between the shutdown notice and the final GOAWAY: requests that are on
 * the way when the notice is sent are still accepted. */
#define FINAL_GOAWAY_DELAY (500 * MV_MILLISECOND)

#define HEADER_OUTCOME "masticvane-outcome"
#define HEADER_REASON "masticvane-reason"
#define HEADER_MEMBER "masticvane-member"
#define HEADER_DEADLINE "masticvane-deadline-ms"

/* Connection of one caller. */
typedef struct caller {
    mv_list_t link;
    mv_proxy_t *proxy;
    mv_h2_t *h2;
    GHashTable *exchanges;
} caller_t;

/* Connection to one backend server. */
typedef struct backend {
    mv_proxy_t *proxy;
    uint64_t endpoint_key;
    mv_h2_t *h2;
    mv_time_t pinged_at;
    GHashTable *streams;
} backend_t;

/* A request with its streams, owned by @exchanges of the proxy.  @caller is
 * NULL once an outcome was sent or the caller closed its stream, @backend
 * while no stream to a backend server is open. */
typedef struct exchange {
    mv_request_id_t id;
    caller_t *caller;
    int32_t caller_stream;
    backend_t *backend;
    int32_t backend_stream;
    mv_time_t deadline;
    mv_http_message_t *request;
} exchange_t;

/* Steps of a planned stop. */
enum {
    STOP_NOT_BEGUN,
    STOP_NOTICE_SENT,
    STOP_REFUSING_REQUESTS,
};

struct mv_proxy {
    mv_request_effects_t effects;
    mv_daemon_t *daemon;
    pthread_t thread;
    bool started;
    apr_pool_t *pool;
    mv_loop_t *loop;
    mv_watch_t accept_watch;
    apr_socket_t *listener;
    mv_links_t *links;
    mv_requests_t *requests;
    GRand *random;
    GHashTable *exchanges;
    GHashTable *backends;
    mv_list_t callers;
    mv_request_id_t next_id;
    mv_time_t next_dump;
    mv_time_t next_silence_check;
    mv_time_t stop_began;
    unsigned stop_step;
};

static mv_time_t
monotonic(void)
{
    return g_get_monotonic_time();
}

/* Callers */

/* Nothing is sent to the caller after this. */
static void
detach_caller(exchange_t *exchange)
{
    if (exchange->caller) {
        g_hash_table_remove(exchange->caller->exchanges,
                            GINT_TO_POINTER(exchange->caller_stream));
        exchange->caller = NULL;
    }
}

static void
free_exchange(gpointer pointer)
{
    exchange_t *exchange = pointer;
    detach_caller(exchange);
    MvHttpMessage_Destroy(exchange->request);
    g_free(exchange);
}

static const char *
field_or_empty(const mv_http_message_t *message, const char *name)
{
    const char *value = MvHttpMessage_Get(message, name);
    return value ? value : "";
}

/* A missing, invalid or too long timeout is replaced by the default, which is
 * also the longest one. */
static mv_time_t
read_deadline(const mv_proxy_t *proxy, const mv_http_message_t *request,
              mv_time_t now)
{
    const char *text = MvHttpMessage_Get(request, HEADER_DEADLINE);
    gint64 milliseconds = text ? g_ascii_strtoll(text, NULL, 10) : 0;
    mv_time_t limit = proxy->daemon->settings->default_deadline;
    if (milliseconds <= 0 || milliseconds * MV_MILLISECOND > limit) {
        return now + limit;
    }
    return now + milliseconds * MV_MILLISECOND;
}

/* The service name is the authority without its port. */
static void
service_name(const mv_http_message_t *request, char *out)
{
    const char *authority = MvHttpMessage_Get(request, ":authority");
    if (!authority) {
        authority = field_or_empty(request, "host");
    }
    g_strlcpy(out, authority, MV_NAME_MAX);
    out[strcspn(out, ":")] = '\0';
}

static void
handle_request(mv_h2_t *h2, int32_t stream, mv_http_message_t *request)
{
    caller_t *caller = MvH2_Context(h2);
    mv_proxy_t *proxy = caller->proxy;
    mv_time_t now = monotonic();
    char service[MV_NAME_MAX];
    exchange_t *exchange = g_new0(exchange_t, 1);
    exchange->id = ++proxy->next_id;
    exchange->caller = caller;
    exchange->caller_stream = stream;
    exchange->request = request;
    exchange->deadline = read_deadline(proxy, request, now);
    g_hash_table_insert(proxy->exchanges, &exchange->id, exchange);
    g_hash_table_insert(caller->exchanges, GINT_TO_POINTER(stream), exchange);
    service_name(request, service);
    mv_request_info_t info = {
        .id = exchange->id,
        .service = service,
        .method = field_or_empty(request, ":method"),
        .path = field_or_empty(request, ":path"),
        .member = field_or_empty(request, HEADER_MEMBER),
        .key = field_or_empty(request, "idempotency-key"),
        .deadline = exchange->deadline,
    };
    MvRequests_Submit(proxy->requests, now, &info);
}

static void
caller_stream_closed(mv_h2_t *h2, int32_t stream, bool not_processed)
{
    caller_t *caller = MvH2_Context(h2);
    (void)not_processed;
    exchange_t *exchange =
        g_hash_table_lookup(caller->exchanges, GINT_TO_POINTER(stream));
    if (exchange) {
        detach_caller(exchange);
        MvRequests_Cancel(caller->proxy->requests, monotonic(), exchange->id);
        /* With a backend stream, handle_dispatch_result() frees it. */
        if (!exchange->backend) {
            g_hash_table_remove(caller->proxy->exchanges, &exchange->id);
        }
    }
}

static void
caller_disconnected(mv_h2_t *h2)
{
    caller_t *caller = MvH2_Context(h2);
    MvList_Remove(&caller->link);
    g_hash_table_unref(caller->exchanges);
    g_free(caller);
}

static const mv_h2_ops_t caller_ops = {
    .message = handle_request,
    .closed = caller_stream_closed,
    .disconnected = caller_disconnected,
};

static void
accept_ready(mv_watch_t *watch, int events)
{
    mv_proxy_t *proxy = MV_CONTAINER_OF(watch, mv_proxy_t, accept_watch);
    (void)events;
    for (;;) {
        apr_pool_t *pool = NULL;
        apr_socket_t *socket = NULL;
        if (apr_pool_create(&pool, proxy->pool) != APR_SUCCESS) {
            return;
        }
        if (apr_socket_accept(&socket, proxy->listener, pool) != APR_SUCCESS) {
            apr_pool_destroy(pool);
            return;
        }
        caller_t *caller = g_new0(caller_t, 1);
        caller->proxy = proxy;
        caller->exchanges = g_hash_table_new(g_direct_hash, g_direct_equal);
        MvList_Append(&proxy->callers, &caller->link);
        caller->h2 =
            MvH2_Accept(proxy->loop, socket, pool, &caller_ops, caller);
        if (!caller->h2) {
            MvList_Remove(&caller->link);
            g_hash_table_unref(caller->exchanges);
            g_free(caller);
        }
    }
}

static void
send_response(exchange_t *exchange, const mv_http_message_t *response)
{
    if (exchange->caller) {
        MvH2_Respond(exchange->caller->h2, exchange->caller_stream, response);
    }
}

static void
send_outcome(exchange_t *exchange, mv_outcome_t outcome, mv_reason_t reason)
{
    mv_http_message_t *response = MvHttpMessage_Create();
    bool not_run = outcome == MV_OUTCOME_NOT_RUN;
    bool is_temporary = reason == MV_REASON_OVERLOAD ||
                        reason == MV_REASON_STOPPING ||
                        reason == MV_REASON_BACKEND_REFUSED;
    const char *status = not_run ? "503" : "504";
    if (reason == MV_REASON_NO_SERVICE) {
        status = "404";
    }
    if (reason == MV_REASON_SERVICE_ENDED) {
        status = "410";
    }
    MvHttpMessage_Add(response, ":status", status);
    MvHttpMessage_Add(response, HEADER_OUTCOME,
                      not_run ? "not-run" : "unknown");
    MvHttpMessage_Add(response, HEADER_REASON, MvReason_Name(reason));
    if (not_run && is_temporary) {
        MvHttpMessage_Add(response, "retry-after", "1");
    }
    send_response(exchange, response);
    MvHttpMessage_Destroy(response);
}

/* Backend servers */

/* Frees the exchange unless it was dispatched again or waits for that.
 * @response is NULL unless @result is MV_RESULT_COMPLETE; not freed here. */
static void
handle_dispatch_result(backend_t *backend, int32_t stream,
                       mv_dispatch_result_t result,
                       mv_http_message_t *response)
{
    mv_proxy_t *proxy = backend->proxy;
    gpointer key = GINT_TO_POINTER(stream);
    exchange_t *exchange = g_hash_table_lookup(backend->streams, key);
    if (!exchange) {
        return;
    }
    g_hash_table_remove(backend->streams, key);
    exchange->backend = NULL;
    mv_request_id_t id = exchange->id;
    mv_buffer_t stored = {.data = NULL};
    if (response) {
        stored = MvStoredResponse_Encode(response);
    }
    bool deliver =
        MvRequests_CompleteDispatch(proxy->requests, monotonic(), id, result,
                                    (const char *)stored.data, stored.length);
    MvBuffer_Clear(&stored);
    exchange = g_hash_table_lookup(proxy->exchanges, &id);
    if (!exchange || exchange->backend) {
        /* MvRequests_CompleteDispatch() reported an outcome to the caller, or
         * dispatched the request again. */
        return;
    }
    if (deliver) {
        send_response(exchange, response);
        g_hash_table_remove(proxy->exchanges, &id);
    }
    else if (!exchange->caller) {
        g_hash_table_remove(proxy->exchanges, &id);
    }
}

static void
handle_response(mv_h2_t *h2, int32_t stream, mv_http_message_t *response)
{
    handle_dispatch_result(MvH2_Context(h2), stream, MV_RESULT_COMPLETE,
                           response);
    MvHttpMessage_Destroy(response);
}

static void
backend_stream_closed(mv_h2_t *h2, int32_t stream, bool not_processed)
{
    handle_dispatch_result(
        MvH2_Context(h2), stream,
        not_processed ? MV_RESULT_NOT_PROCESSED : MV_RESULT_INTERRUPTED, NULL);
}

static void
backend_disconnected(mv_h2_t *h2)
{
    backend_t *backend = MvH2_Context(h2);
    backend->h2 = NULL;
    /* get_backend() may have replaced it by a new connection. */
    if (g_hash_table_lookup(backend->proxy->backends,
                            &backend->endpoint_key) == backend) {
        g_hash_table_steal(backend->proxy->backends, &backend->endpoint_key);
    }
    g_hash_table_unref(backend->streams);
    g_free(backend);
}

static const mv_h2_ops_t backend_ops = {
    .message = handle_response,
    .closed = backend_stream_closed,
    .disconnected = backend_disconnected,
};

/* Return: an open or connecting connection to @endpoint; NULL on failure. */
static backend_t *
get_backend(mv_proxy_t *proxy, const mv_endpoint_t *endpoint)
{
    uint64_t endpoint_key =
        ((uint64_t)endpoint->address << 16) | endpoint->request_port;
    backend_t *backend = g_hash_table_lookup(proxy->backends, &endpoint_key);
    if (backend && MvH2_AcceptsRequests(backend->h2)) {
        return backend;
    }
    if (backend) {
        /* The connection accepts no new requests: let it finish its open
         * ones, and open another. */
        g_hash_table_steal(proxy->backends, &endpoint_key);
    }
    char address[INET_ADDRSTRLEN];
    struct in_addr in = {.s_addr = htonl(endpoint->address)};
    inet_ntop(AF_INET, &in, address, sizeof(address));
    backend = g_new0(backend_t, 1);
    backend->proxy = proxy;
    backend->endpoint_key = endpoint_key;
    backend->h2 = MvH2_Connect(proxy->loop, address, endpoint->request_port,
                               &backend_ops, backend);
    if (!backend->h2) {
        g_free(backend);
        return NULL;
    }
    backend->streams = g_hash_table_new(g_direct_hash, g_direct_equal);
    g_hash_table_insert(proxy->backends, &backend->endpoint_key, backend);
    return backend;
}

/* Effects of the request core */

/* The copied request states the remaining time instead of the caller's
 * timeout. */
static mv_http_message_t *
make_backend_request(const exchange_t *exchange, mv_time_t now)
{
    mv_http_message_t *forwarded = MvHttpMessage_Create();
    char remaining_ms[32];
    for (guint i = 0; i < exchange->request->fields->len; i++) {
        const mv_http_field_t *header =
            &g_array_index(exchange->request->fields, mv_http_field_t, i);
        if (strcmp(header->name, HEADER_DEADLINE) != 0) {
            MvHttpMessage_Add(forwarded, header->name, header->value);
        }
    }
    (void)snprintf(remaining_ms, sizeof(remaining_ms), "%" G_GINT64_FORMAT,
                   MAX(exchange->deadline - now, 0) / MV_MILLISECOND);
    MvHttpMessage_Add(forwarded, HEADER_DEADLINE, remaining_ms);
    MvBuffer_Append(&forwarded->body, exchange->request->body.data,
                    exchange->request->body.length);
    return forwarded;
}

static void
effect_dispatch(mv_request_effects_t *effects, mv_request_id_t id,
                const mv_service_t *service, const mv_endpoint_t *endpoint)
{
    mv_proxy_t *proxy = MV_CONTAINER_OF(effects, mv_proxy_t, effects);
    exchange_t *exchange = g_hash_table_lookup(proxy->exchanges, &id);
    backend_t *backend = get_backend(proxy, endpoint);
    int32_t stream = -1;
    (void)service;
    if (exchange && backend) {
        mv_http_message_t *forwarded =
            make_backend_request(exchange, monotonic());
        stream = MvH2_Request(backend->h2, forwarded);
        MvHttpMessage_Destroy(forwarded);
    }
    if (stream < 0) {
        MvRequests_CompleteDispatch(proxy->requests, monotonic(), id,
                                    MV_RESULT_UNREACHABLE, NULL, 0);
        return;
    }
    exchange->backend = backend;
    exchange->backend_stream = stream;
    g_hash_table_insert(backend->streams, GINT_TO_POINTER(stream), exchange);
}

static void
effect_finish(mv_request_effects_t *effects, mv_request_id_t id,
              mv_outcome_t outcome, mv_reason_t reason)
{
    mv_proxy_t *proxy = MV_CONTAINER_OF(effects, mv_proxy_t, effects);
    exchange_t *exchange = g_hash_table_lookup(proxy->exchanges, &id);
    if (!exchange) {
        return;
    }
    send_outcome(exchange, outcome, reason);
    detach_caller(exchange);
    if (!exchange->backend) {
        g_hash_table_remove(proxy->exchanges, &id);
    }
}

static void
effect_replay(mv_request_effects_t *effects, mv_request_id_t id,
              const char *bytes, size_t length)
{
    mv_proxy_t *proxy = MV_CONTAINER_OF(effects, mv_proxy_t, effects);
    exchange_t *exchange = g_hash_table_lookup(proxy->exchanges, &id);
    if (!exchange) {
        return;
    }
    mv_http_message_t *response = MvStoredResponse_Decode(bytes, length);
    MvHttpMessage_Add(response, HEADER_OUTCOME, "replayed");
    send_response(exchange, response);
    MvHttpMessage_Destroy(response);
    g_hash_table_remove(proxy->exchanges, &id);
}

static void
effect_cancel(mv_request_effects_t *effects, mv_request_id_t id)
{
    mv_proxy_t *proxy = MV_CONTAINER_OF(effects, mv_proxy_t, effects);
    exchange_t *exchange = g_hash_table_lookup(proxy->exchanges, &id);
    if (exchange && exchange->backend) {
        MvH2_Reset(exchange->backend->h2, exchange->backend_stream, false);
    }
}

static void
effect_send(mv_request_effects_t *effects, mv_node_id_t to,
            const mv_message_t *message)
{
    mv_proxy_t *proxy = MV_CONTAINER_OF(effects, mv_proxy_t, effects);
    MvLinks_Send(proxy->links, to, message);
}

static const mv_request_effects_ops_t effect_ops = {
    .dispatch = effect_dispatch,
    .finish = effect_finish,
    .replay = effect_replay,
    .cancel = effect_cancel,
    .send = effect_send,
};

/* The thread */

static void
handle_peer_message(void *context, const mv_message_t *message)
{
    mv_proxy_t *proxy = context;
    MvRequests_Message(proxy->requests, monotonic(), message);
}

static void
handle_peer_command(void *context, const char *command, size_t length,
                    mv_reply_t *reply)
{
    const char response[] = "{\"error\":\"ask the control port\"}";
    (void)context;
    (void)command;
    (void)length;
    MvReply_Send(reply, response, sizeof(response) - 1);
}

static const mv_links_ops_t links_ops = {
    .message = handle_peer_message,
    .command = handle_peer_command,
};

void
MvMembersView_Free(mv_members_view_t *view)
{
    if (view) {
        MvDeployment_Unref(view->deployment);
        g_free(view);
    }
}

static void
apply_members_view(mv_proxy_t *proxy)
{
    mv_members_view_t *view = __atomic_exchange_n(&proxy->daemon->members_view,
                                                  NULL, __ATOMIC_ACQ_REL);
    if (view) {
        MvRequests_SetView(proxy->requests, monotonic(), view->deployment,
                           view->members, view->count);
        MvMembersView_Free(view);
    }
}

/* Pings connections of @backends that have open streams but received nothing
 * for PING_IDLE_TIME, and closes those that receive nothing for
 * SILENCE_TIMEOUT.  Connections that get_backend() replaced are not checked.
 * A connection without streams may have received nothing for longer when a
 * stream is opened, so the time since the ping counts as well.  Times are APR
 * times, as MvH2_LastReceived() returns them. */
static void
check_silence(mv_proxy_t *proxy)
{
    mv_time_t now = apr_time_now();
    if (now < proxy->next_silence_check) {
        return;
    }
    proxy->next_silence_check = now + SILENCE_CHECK_INTERVAL;
    GList *backends = g_hash_table_get_values(proxy->backends);
    for (GList *item = backends; item; item = item->next) {
        backend_t *backend = item->data;
        mv_time_t idle_time = now - MvH2_LastReceived(backend->h2);
        if (MvH2_StreamCount(backend->h2) == 0 || idle_time < PING_IDLE_TIME) {
            continue;
        }
        if (backend->pinged_at && idle_time >= SILENCE_TIMEOUT &&
            now - backend->pinged_at >= SILENCE_TIMEOUT - PING_IDLE_TIME &&
            backend->pinged_at > MvH2_LastReceived(backend->h2)) {
            MvLog_Write(proxy->daemon->log, MV_EVENT_ENDPOINT_SILENT,
                        "silent_ms=%d", (int)(idle_time / MV_MILLISECOND));
            MvH2_Close(backend->h2);
            continue;
        }
        if (backend->pinged_at < MvH2_LastReceived(backend->h2)) {
            backend->pinged_at = now;
            MvH2_Ping(backend->h2);
        }
    }
    g_list_free(backends);
}

static void
run_shutdown(mv_proxy_t *proxy)
{
    if (!MvFlag_Get(&proxy->daemon->stopping)) {
        return;
    }
    mv_time_t now = monotonic();
    if (proxy->stop_step == STOP_NOT_BEGUN) {
        proxy->stop_step = STOP_NOTICE_SENT;
        proxy->stop_began = now;
        MvRequests_Leave(proxy->requests, now);
        MV_LIST_FOREACH(item, &proxy->callers)
        {
            MvH2_SendShutdownNotice(MV_CONTAINER_OF(item, caller_t, link)->h2);
        }
    }
    if (proxy->stop_step == STOP_NOTICE_SENT &&
        now - proxy->stop_began > FINAL_GOAWAY_DELAY) {
        proxy->stop_step = STOP_REFUSING_REQUESTS;
        MvLoop_Watch(proxy->loop, &proxy->accept_watch, proxy->listener, 0);
        apr_socket_close(proxy->listener);
        proxy->listener = NULL;
        MvRequests_Stop(proxy->requests);
        MV_LIST_FOREACH(item, &proxy->callers)
        {
            MvH2_Shutdown(MV_CONTAINER_OF(item, caller_t, link)->h2);
        }
    }
    if (proxy->stop_step == STOP_REFUSING_REQUESTS &&
        MvList_IsEmpty(&proxy->callers) &&
        MvRequests_OpenCount(proxy->requests) == 0) {
        MvFlag_Set(&proxy->daemon->requests_done);
    }
}

static void
publish_dump(mv_proxy_t *proxy)
{
    mv_time_t now = monotonic();
    if (now < proxy->next_dump) {
        return;
    }
    proxy->next_dump = now + DUMP_INTERVAL;
    json_t *state = MvRequests_Dump(proxy->requests, now);
    char *text = json_dumps(state, JSON_COMPACT);
    json_decref(state);
    pthread_mutex_lock(&proxy->daemon->dump_lock);
    free(proxy->daemon->proxy_dump);
    proxy->daemon->proxy_dump = text;
    pthread_mutex_unlock(&proxy->daemon->dump_lock);
}

static void *
run(void *argument)
{
    mv_proxy_t *proxy = argument;
    while (!MvFlag_Get(&proxy->daemon->finished)) {
        apply_members_view(proxy);
        MvLoop_Run(proxy->loop, MAX_LOOP_WAIT);
        MvRequests_Timer(proxy->requests, monotonic());
        check_silence(proxy);
        run_shutdown(proxy);
        publish_dump(proxy);
    }
    return NULL;
}

static bool
open_ports(mv_proxy_t *proxy, GError **error)
{
    const mv_settings_t *settings = proxy->daemon->settings;
    mv_links_settings_t links = {
        .address = settings->self.address,
        .port = settings->self.request_peer_port,
        .keyring = settings->keyring,
        .id = settings->self.id,
        .channel = 2, /* The control thread uses 0 for TCP and 1 for UDP. */
        .first_sequence = (uint64_t)proxy->daemon->started_at,
        .counters = &proxy->daemon->counters,
        .log = proxy->daemon->log,
    };
    proxy->listener =
        MvNet_Listen(proxy->pool, settings->self.address,
                     settings->request_port, SOCK_STREAM, false, error);
    if (!proxy->listener) {
        return false;
    }
    proxy->links =
        MvLinks_Create(proxy->loop, &links, &links_ops, proxy, error);
    for (size_t i = 0; proxy->links && i < settings->peer_count; i++) {
        MvLinks_AddPeer(proxy->links, settings->peers[i].id,
                        settings->peers[i].address,
                        settings->peers[i].request_peer_port);
    }
    MvLoop_Watch(proxy->loop, &proxy->accept_watch, proxy->listener,
                 APR_POLLIN);
    return proxy->links != NULL;
}

static void
set_expected_peers(mv_proxy_t *proxy)
{
    const mv_settings_t *settings = proxy->daemon->settings;
    for (size_t i = 0; i < settings->peer_count; i++) {
        mv_node_id_t id = (mv_node_id_t)settings->peers[i].id;
        MvRequests_SetExpectedNodes(proxy->requests, &id, 1);
    }
}

mv_proxy_t *
MvProxy_Start(mv_daemon_t *daemon, GError **error)
{
    mv_proxy_t *proxy = g_new0(mv_proxy_t, 1);
    proxy->effects.ops = &effect_ops;
    proxy->daemon = daemon;
    proxy->accept_watch.ready = accept_ready;
    MvList_Init(&proxy->callers);
    apr_pool_create(&proxy->pool, NULL);
    proxy->loop = MvLoop_Create(proxy->pool, MAX_DESCRIPTORS);
    proxy->random = g_rand_new();
    proxy->exchanges = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                             free_exchange);
    proxy->backends = g_hash_table_new(g_int64_hash, g_int64_equal);
    proxy->requests = MvRequests_Create(
        daemon->settings->self.id, &proxy->effects, &daemon->counters,
        proxy->random, g_get_real_time(), monotonic());
    set_expected_peers(proxy);
    if (open_ports(proxy, error)) {
        proxy->started = MvThread_Start(&proxy->thread, run, proxy);
    }
    if (!proxy->started) {
        MvProxy_Join(proxy);
        return NULL;
    }
    return proxy;
}

void
MvProxy_Join(mv_proxy_t *proxy)
{
    if (!proxy) {
        return;
    }
    if (proxy->started) {
        pthread_join(proxy->thread, NULL);
    }
    MV_LIST_FOREACH(item, &proxy->callers)
    {
        MvH2_Close(MV_CONTAINER_OF(item, caller_t, link)->h2);
    }
    GList *backends = g_hash_table_get_values(proxy->backends);
    for (GList *item = backends; item; item = item->next) {
        MvH2_Close(((backend_t *)item->data)->h2);
    }
    g_list_free(backends);
    MvLinks_Destroy(proxy->links);
    MvRequests_Destroy(proxy->requests);
    g_hash_table_unref(proxy->exchanges);
    g_hash_table_unref(proxy->backends);
    g_rand_free(proxy->random);
    apr_pool_destroy(proxy->pool);
    g_free(proxy);
}
