/* The store behind an HTTP key-value API with check-and-set. */
#include "masticvane/store.h"

#include <curl/curl.h>
#include <string.h>
#include <strings.h>

#define URL_MAX 512
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
/* A watch may be answered this much later than it was asked to wait. */
#define WATCH_SLACK (5 * MV_SECOND)

typedef struct http_store {
    mv_store_t base;
    CURLM *multi;
    char **addresses;
    unsigned position;
    mv_time_t timeout;
    mv_counters_t *counters;
    mv_list_t calls;
} http_store_t;

typedef struct call {
    mv_list_t link;
    http_store_t *store;
    CURL *easy;
    bool is_write;
    char *body;
    mv_buffer_t answer;
    uint64_t index;
    mv_store_done_t done;
    void *context;
} call_t;

static void
count(http_store_t *store, mv_counter_id_t id)
{
    if (store->counters) {
        MvCounters_Add(store->counters, id, 1);
    }
}

static size_t
take_body(char *data, size_t size, size_t items, void *user)
{
    call_t *call = user;
    return MvBuffer_Append(&call->answer, data, size * items) ? size * items
                                                              : 0;
}

static size_t
take_header(char *data, size_t size, size_t items, void *user)
{
    call_t *call = user;
    const char name[] = "X-Consul-Index:";
    size_t length = size * items;
    if (length > sizeof(name) && !strncasecmp(data, name, sizeof(name) - 1)) {
        call->index = g_ascii_strtoull(data + sizeof(name) - 1, NULL, 10);
    }
    return length;
}

static void
free_call(call_t *call)
{
    MvList_Remove(&call->link);
    curl_multi_remove_handle(call->store->multi, call->easy);
    curl_easy_cleanup(call->easy);
    MvBuffer_Clear(&call->answer);
    g_free(call->body);
    g_free(call);
}

static call_t *
start_call(http_store_t *store, const char *path, mv_time_t timeout,
           mv_store_done_t done, void *context)
{
    call_t *call = g_new0(call_t, 1);
    char url[URL_MAX];
    (void)snprintf(url, sizeof(url), "http://%s/v1/kv/%s",
                   store->addresses[store->position], path);
    call->store = store;
    call->done = done;
    call->context = context;
    call->easy = curl_easy_init();
    MvList_Append(&store->calls, &call->link);
    curl_easy_setopt(call->easy, CURLOPT_URL, url);
    curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS,
                     (long)(timeout / MV_MILLISECOND));
    curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)(store->timeout / MV_MILLISECOND));
    curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
    return call;
}

static void
http_get(mv_store_t *base, const char *key, uint64_t index, mv_time_t wait,
         mv_store_done_t done, void *context)
{
    http_store_t *store = (http_store_t *)base;
    char path[URL_MAX];
    (void)snprintf(path, sizeof(path), "%s", key);
    if (index > 0) {
        (void)snprintf(path, sizeof(path),
                       "%s?index=%" G_GUINT64_FORMAT "&wait=%dms", key, index,
                       (int)(wait / MV_MILLISECOND));
    }
    mv_time_t timeout = store->timeout;
    if (index > 0) {
        timeout = wait + WATCH_SLACK;
    }
    call_t *call = start_call(store, path, timeout, done, context);
    count(store,
          index > 0 ? MV_COUNTER_STORE_WATCHES : MV_COUNTER_STORE_READS);
    curl_multi_add_handle(store->multi, call->easy);
}

static void
http_put(mv_store_t *base, const char *key, const char *value, size_t length,
         uint64_t index, mv_store_done_t done, void *context)
{
    http_store_t *store = (http_store_t *)base;
    char path[URL_MAX];
    (void)snprintf(path, sizeof(path), "%s?cas=%" G_GUINT64_FORMAT, key,
                   index);
    call_t *call = start_call(store, path, store->timeout, done, context);
    call->is_write = true;
    call->body = g_memdup2(value, length);
    curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, "PUT");
    curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->body);
    curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE, (long)length);
    curl_multi_add_handle(store->multi, call->easy);
}

/* A call that never reached the other side surely had no effect. */
static mv_store_outcome_t
failed_outcome(CURLcode code, bool is_write)
{
    if (!is_write || code == CURLE_COULDNT_CONNECT ||
        code == CURLE_COULDNT_RESOLVE_HOST) {
        return MV_STORE_NOT_SENT;
    }
    return MV_STORE_UNKNOWN;
}

static bool
parse_value(call_t *call, mv_store_reply_t *reply, guchar **decoded)
{
    json_t *answer = json_loadb((const char *)call->answer.data,
                                call->answer.length, 0, NULL);
    const json_t *entry = json_array_get(answer, 0);
    const char *value = json_string_value(json_object_get(entry, "Value"));
    reply->index =
        (uint64_t)json_integer_value(json_object_get(entry, "ModifyIndex"));
    if (value) {
        gsize length = 0;
        guchar *raw = g_base64_decode(value, &length);
        *decoded = (guchar *)g_strndup((char *)raw, length);
        g_free(raw);
        reply->value = (char *)*decoded;
        reply->length = length;
    }
    json_decref(answer);
    return value != NULL;
}

static void
finish_call(call_t *call, CURLcode code)
{
    long status = 0;
    guchar *decoded = NULL;
    mv_store_reply_t reply = {.outcome = MV_STORE_DONE};
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    if (code != CURLE_OK) {
        reply.outcome = failed_outcome(code, call->is_write);
    }
    else if (status == HTTP_NOT_FOUND && !call->is_write) {
        reply.outcome = MV_STORE_REFUSED;
        reply.index = call->index;
    }
    else if (status != HTTP_OK) {
        reply.outcome = call->is_write ? MV_STORE_UNKNOWN : MV_STORE_NOT_SENT;
    }
    else if (call->is_write) {
        bool accepted =
            call->answer.length >= 4 && !memcmp(call->answer.data, "true", 4);
        reply.outcome = accepted ? MV_STORE_DONE : MV_STORE_REFUSED;
    }
    else if (!parse_value(call, &reply, &decoded)) {
        reply.outcome = MV_STORE_NOT_SENT;
    }
    http_store_t *store = call->store;
    if (reply.outcome == MV_STORE_NOT_SENT ||
        reply.outcome == MV_STORE_UNKNOWN) {
        count(store, MV_COUNTER_STORE_FAILURES);
        store->position =
            store->addresses[store->position + 1] ? store->position + 1 : 0;
    }
    mv_store_done_t done = call->done;
    void *context = call->context;
    free_call(call);
    done(context, &reply);
    g_free(decoded);
}

static void
http_poll(mv_store_t *base, int timeout_ms)
{
    http_store_t *store = (http_store_t *)base;
    int running = 0;
    int left = 0;
    curl_multi_perform(store->multi, &running);
    if (timeout_ms > 0 && running > 0) {
        curl_multi_poll(store->multi, NULL, 0, timeout_ms, NULL);
        curl_multi_perform(store->multi, &running);
    }
    CURLMsg *message = curl_multi_info_read(store->multi, &left);
    while (message) {
        if (message->msg == CURLMSG_DONE) {
            char *call = NULL;
            CURLcode code = message->data.result;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
            finish_call((call_t *)(void *)call, code);
        }
        message = curl_multi_info_read(store->multi, &left);
    }
}

static void
http_destroy(mv_store_t *base)
{
    http_store_t *store = (http_store_t *)base;
    MV_LIST_FOREACH(item, &store->calls)
    {
        free_call(MV_CONTAINER_OF(item, call_t, link));
    }
    if (store->multi) {
        curl_multi_cleanup(store->multi);
    }
    g_strfreev(store->addresses);
    g_free(store);
}

static const mv_store_ops_t http_ops = {
    .get = http_get,
    .put = http_put,
    .poll = http_poll,
    .destroy = http_destroy,
};

mv_store_t *
MvStore_CreateHttp(const char *addresses, mv_time_t timeout,
                   mv_counters_t *counters, GError **error)
{
    http_store_t *store = g_try_new0(http_store_t, 1);
    if (!store) {
        g_set_error(error, MV_ERROR, MV_ERROR_NO_MEMORY, "no memory");
        return NULL;
    }
    store->base.ops = &http_ops;
    store->timeout = timeout;
    store->counters = counters;
    MvList_Init(&store->calls);
    store->addresses = g_strsplit(addresses, " ", -1);
    store->multi = curl_multi_init();
    if (!store->addresses[0] || !*store->addresses[0] || !store->multi) {
        g_set_error(error, MV_ERROR, MV_ERROR_INPUT,
                    "no store address in \"%s\"", addresses);
        http_destroy(&store->base);
        return NULL;
    }
    return &store->base;
}
