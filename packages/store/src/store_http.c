/* Client of an HTTP key-value API like Consul's, with check-and-set. */
#include <apr_general.h>
#include <string.h>

#include "masticvane/net.h"
#include "masticvane/store.h"

#define URL_MAX 512
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
/* The reply to a long poll may come this much later than its wait time. */
#define WATCH_GRACE (5 * MV_SECOND)
#define MAX_DESCRIPTORS 16
#define MAX_POLL_MS 100
#define INDEX_HEADER "X-Consul-Index"

typedef struct http_store {
    mv_store_t base;
    apr_pool_t *pool;
    mv_loop_t *loop;
    mv_http1_client_t **clients;
    unsigned client_count;
    unsigned client_index;
    mv_time_t timeout;
    mv_counters_t *counters;
    mv_list_t calls;
} http_store_t;

typedef struct call {
    mv_list_t link;
    http_store_t *store;
    bool is_write;
    mv_store_done_t done;
    void *context;
} call_t;

static void
add_to_counter(http_store_t *store, mv_counter_id_t id)
{
    if (store->counters) {
        MvCounters_Add(store->counters, id, 1);
    }
}

/* Reads, and writes that were not sent, had no effect. */
static mv_store_outcome_t
failed_outcome(const mv_http1_response_t *response, bool is_write)
{
    if (!is_write || response->outcome == MV_HTTP1_NOT_SENT) {
        return MV_STORE_FAILED;
    }
    return MV_STORE_UNKNOWN;
}

static bool
parse_value(const mv_http1_response_t *response, mv_store_reply_t *reply,
            guchar **decoded)
{
    json_t *document = json_loadb(response->body, response->length, 0, NULL);
    const json_t *entry = json_array_get(document, 0);
    const char *value = json_string_value(json_object_get(entry, "Value"));
    json_int_t index =
        json_integer_value(json_object_get(entry, "ModifyIndex"));
    bool is_whole = value && index > 0;
    reply->index = is_whole ? (uint64_t)index : 0;
    if (is_whole) {
        gsize length = 0;
        guchar *raw = g_base64_decode(value, &length);
        *decoded = (guchar *)g_strndup((char *)raw, length);
        g_free(raw);
        reply->value = (char *)*decoded;
        reply->length = length;
    }
    json_decref(document);
    return is_whole;
}

static mv_store_reply_t
read_response(const call_t *call, const mv_http1_response_t *response,
              guchar **decoded)
{
    mv_store_reply_t reply = {.outcome = MV_STORE_DONE};
    if (response->outcome != MV_HTTP1_RESPONDED) {
        reply.outcome = failed_outcome(response, call->is_write);
    }
    else if (response->status == HTTP_NOT_FOUND && !call->is_write) {
        reply.outcome =
            response->has_index ? MV_STORE_REFUSED : MV_STORE_FAILED;
        reply.index = response->index;
    }
    else if (response->status != HTTP_OK) {
        reply.outcome = call->is_write ? MV_STORE_UNKNOWN : MV_STORE_FAILED;
    }
    else if (call->is_write) {
        bool accepted =
            response->length >= 4 && !memcmp(response->body, "true", 4);
        reply.outcome = accepted ? MV_STORE_DONE : MV_STORE_REFUSED;
    }
    else if (!parse_value(response, &reply, decoded)) {
        reply.outcome = MV_STORE_FAILED;
    }
    return reply;
}

static void
finish_call(void *context, const mv_http1_response_t *response)
{
    call_t *call = context;
    http_store_t *store = call->store;
    guchar *decoded = NULL;
    mv_store_reply_t reply = read_response(call, response, &decoded);
    if (reply.outcome == MV_STORE_FAILED ||
        reply.outcome == MV_STORE_UNKNOWN) {
        add_to_counter(store, MV_COUNTER_STORE_FAILURES);
        store->client_index = (store->client_index + 1) % store->client_count;
    }
    MvList_Remove(&call->link);
    call->done(call->context, &reply);
    g_free(call);
    g_free(decoded);
}

static void
start_call(http_store_t *store, const mv_http1_request_t *request,
           bool is_write, mv_store_done_t done, void *context)
{
    call_t *call = g_new0(call_t, 1);
    *call = (call_t){.store = store,
                     .is_write = is_write,
                     .done = done,
                     .context = context};
    MvList_Append(&store->calls, &call->link);
    MvHttp1_Call(store->clients[store->client_index], request,
                 g_get_monotonic_time(), finish_call, call);
}

static void
http_get(mv_store_t *base, const char *key, uint64_t index, mv_time_t wait,
         mv_store_done_t done, void *context)
{
    http_store_t *store = (http_store_t *)base;
    char target[URL_MAX];
    mv_http1_request_t request = {
        .method = "GET", .target = target, .timeout = store->timeout};
    (void)snprintf(target, sizeof(target), "/v1/kv/%s", key);
    if (index > 0) {
        (void)snprintf(target, sizeof(target),
                       "/v1/kv/%s?index=%" G_GUINT64_FORMAT "&wait=%dms", key,
                       index, (int)(wait / MV_MILLISECOND));
        request.timeout = wait + WATCH_GRACE;
    }
    add_to_counter(store, index > 0 ? MV_COUNTER_STORE_WATCHES
                                    : MV_COUNTER_STORE_READS);
    start_call(store, &request, false, done, context);
}

static void
http_put(mv_store_t *base, const char *key, const char *value, size_t length,
         uint64_t index, mv_store_done_t done, void *context)
{
    http_store_t *store = (http_store_t *)base;
    char target[URL_MAX];
    (void)snprintf(target, sizeof(target), "/v1/kv/%s?cas=%" G_GUINT64_FORMAT,
                   key, index);
    const mv_http1_request_t request = {.method = "PUT",
                                        .target = target,
                                        .body = value,
                                        .length = length,
                                        .timeout = store->timeout};
    start_call(store, &request, true, done, context);
}

static bool
has_calls(const http_store_t *store)
{
    return !MvList_IsEmpty(&store->calls);
}

static void
http_poll(mv_store_t *base, int timeout_ms)
{
    http_store_t *store = (http_store_t *)base;
    for (unsigned i = 0; i < store->client_count; i++) {
        MvHttp1_Timer(store->clients[i], g_get_monotonic_time());
    }
    int wait_ms = has_calls(store) ? MIN(timeout_ms, MAX_POLL_MS) : 0;
    MvLoop_Run(store->loop, wait_ms * MV_MILLISECOND);
}

static void
http_destroy(mv_store_t *base)
{
    http_store_t *store = (http_store_t *)base;
    for (unsigned i = 0; i < store->client_count; i++) {
        MvHttp1_DestroyClient(store->clients[i]);
    }
    MV_LIST_FOREACH(item, &store->calls)
    {
        g_free(MV_CONTAINER_OF(item, call_t, link));
    }
    g_free(store->clients);
    if (store->pool) {
        apr_pool_destroy(store->pool);
    }
    g_free(store);
}

static const mv_store_ops_t http_ops = {
    .get = http_get,
    .put = http_put,
    .poll = http_poll,
    .destroy = http_destroy,
};

static bool
add_clients(http_store_t *store, const char *addresses)
{
    char **fields = g_strsplit(addresses, " ", -1);
    store->clients = g_new0(mv_http1_client_t *, g_strv_length(fields) + 1);
    bool all_valid = true;
    for (char **address = fields; *address; address++) {
        if (!**address) {
            continue;
        }
        mv_http1_client_t *client =
            MvHttp1_CreateClient(store->loop, *address, INDEX_HEADER);
        all_valid = all_valid && client;
        if (client) {
            store->clients[store->client_count++] = client;
        }
    }
    g_strfreev(fields);
    return all_valid && store->client_count > 0;
}

mv_store_t *
MvStore_CreateHttp(const char *addresses, mv_time_t timeout,
                   mv_counters_t *counters, GError **error)
{
    http_store_t *store = g_try_new0(http_store_t, 1);
    if (!store) {
        g_set_error(error, MV_ERROR, MV_ERROR_NO_MEMORY,
                    "out of memory for the store client");
        return NULL;
    }
    store->base.ops = &http_ops;
    store->timeout = timeout;
    store->counters = counters;
    MvList_Init(&store->calls);
    apr_pool_create(&store->pool, NULL);
    store->loop = MvLoop_Create(store->pool, MAX_DESCRIPTORS);
    if (!store->loop || !add_clients(store, addresses)) {
        g_set_error(error, MV_ERROR, MV_ERROR_INPUT,
                    "cannot create a store client for \"%s\": expected one or "
                    "more host:port, separated by blanks",
                    addresses);
        http_destroy(&store->base);
        return NULL;
    }
    return &store->base;
}
