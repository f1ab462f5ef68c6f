/*
 * Stand-in for the platform's key-value store: check-and-set writes and
 * blocking reads over HTTP.  standin-store [ADDRESS [PORT [DROP_COUNT]]]
 * stores the first DROP_COUNT writes of a configuration root without
 * responding, as if the response were lost.
 */
#include "masticvane/base.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PREFIX "/v1/kv/"
#define DEFAULT_PORT 8500
#define WATCH_POLL_MS 20

typedef struct value {
    char *bytes;
    size_t length;
    uint64_t index;
} value_t;

typedef struct store {
    pthread_mutex_t lock;
    GHashTable *values;
    uint64_t last_index;
    uint64_t calls;
    int responses_to_drop;
} store_t;

static volatile sig_atomic_t stopping;

static void
on_signal(int signal)
{
    (void)signal;
    stopping = 1;
}

static void
free_value(gpointer pointer)
{
    value_t *value = pointer;
    g_free(value->bytes);
    g_free(value);
}

static enum MHD_Result
respond(struct MHD_Connection *connection, unsigned status, const char *text,
        uint64_t index)
{
    char header[32];
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
    (void)snprintf(header, sizeof(header), "%" G_GUINT64_FORMAT, index);
    MHD_add_response_header(response, "X-Consul-Index", header);
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static uint64_t
integer_argument(struct MHD_Connection *connection, const char *name)
{
    const char *text =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static void
wait_for_change(store_t *store, const char *key, uint64_t seen_index,
                uint64_t wait_ms)
{
    gint64 deadline = g_get_monotonic_time() + (gint64)wait_ms * 1000;
    while (seen_index > 0 && !stopping && g_get_monotonic_time() < deadline) {
        pthread_mutex_lock(&store->lock);
        value_t *value = g_hash_table_lookup(store->values, key);
        bool changed = value && value->index > seen_index;
        pthread_mutex_unlock(&store->lock);
        if (changed) {
            return;
        }
        g_usleep(WATCH_POLL_MS * 1000);
    }
}

static enum MHD_Result
handle_get(store_t *store, struct MHD_Connection *connection, const char *key)
{
    wait_for_change(store, key, integer_argument(connection, "index"),
                    integer_argument(connection, "wait"));
    pthread_mutex_lock(&store->lock);
    value_t *value = g_hash_table_lookup(store->values, key);
    char *text = NULL;
    uint64_t index = value ? value->index : store->last_index;
    if (value) {
        char *encoded = g_base64_encode((guchar *)value->bytes, value->length);
        text = g_strdup_printf(
            "[{\"Key\":\"%s\",\"ModifyIndex\":%" G_GUINT64_FORMAT
            ",\"Value\":\"%s\"}]",
            key, value->index, encoded);
        g_free(encoded);
    }
    pthread_mutex_unlock(&store->lock);
    enum MHD_Result result =
        respond(connection, text ? 200 : 404, text ? text : "", index);
    g_free(text);
    return result;
}

static bool
write_value(store_t *store, const char *key, const mv_buffer_t *body,
            bool has_cas, uint64_t cas)
{
    pthread_mutex_lock(&store->lock);
    value_t *value = g_hash_table_lookup(store->values, key);
    uint64_t current = value ? value->index : 0;
    bool written = !has_cas || cas == current;
    if (written) {
        value_t *new_value = g_new0(value_t, 1);
        new_value->bytes = g_memdup2(body->data, body->length);
        new_value->length = body->length;
        new_value->index = ++store->last_index;
        g_hash_table_insert(store->values, g_strdup(key), new_value);
    }
    pthread_mutex_unlock(&store->lock);
    return written;
}

static enum MHD_Result
handle(void *context, struct MHD_Connection *connection, const char *url,
       const char *method, const char *version, const char *data,
       size_t *length, void **state)
{
    store_t *store = context;
    mv_buffer_t *body = *state;
    (void)version;
    if (!g_str_has_prefix(url, PREFIX)) {
        return respond(connection, 404, "", 0);
    }
    if (!body) {
        *state = g_new0(mv_buffer_t, 1);
        return MHD_YES;
    }
    if (*length > 0) {
        MvBuffer_Append(body, data, *length);
        *length = 0;
        return MHD_YES;
    }
    const char *key = url + strlen(PREFIX);
    __atomic_fetch_add(&store->calls, 1, __ATOMIC_RELAXED);
    if (!strcmp(method, "GET")) {
        return handle_get(store, connection, key);
    }
    bool has_cas = MHD_lookup_connection_value(
                       connection, MHD_GET_ARGUMENT_KIND, "cas") != NULL;
    bool written = write_value(store, key, body, has_cas,
                               integer_argument(connection, "cas"));
    if (store->responses_to_drop > 0 && written && strstr(key, "/root")) {
        store->responses_to_drop--;
        return MHD_NO; /* Stored, but the caller gets no response. */
    }
    return respond(connection, 200, written ? "true" : "false",
                   store->last_index);
}

static void
free_body(void *context, struct MHD_Connection *connection, void **state,
          enum MHD_RequestTerminationCode code)
{
    (void)context;
    (void)connection;
    (void)code;
    mv_buffer_t *body = *state;
    if (body) {
        MvBuffer_Clear(body);
        g_free(body);
    }
}

int
main(int argc, char **argv)
{
    const char *address = argc > 1 ? argv[1] : "127.0.0.1";
    struct sockaddr_in listen_address = {
        .sin_family = AF_INET,
        .sin_port =
            htons((uint16_t)(argc > 2 ? atoi(argv[2]) : DEFAULT_PORT))};
    store_t store = {.responses_to_drop = argc > 3 ? atoi(argv[3]) : 0};
    inet_pton(AF_INET, address, &listen_address.sin_addr);
    pthread_mutex_init(&store.lock, NULL);
    store.values =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
    signal(SIGTERM, on_signal);
    signal(SIGPIPE, SIG_IGN);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
        NULL, NULL, handle, &store, MHD_OPTION_SOCK_ADDR, &listen_address,
        MHD_OPTION_NOTIFY_COMPLETED, free_body, NULL, MHD_OPTION_END);
    if (!daemon) {
        (void)fprintf(stderr, "standin-store: cannot listen on %s\n", address);
        return 1;
    }
    while (!stopping) {
        (void)usleep(100000);
    }
    MHD_stop_daemon(daemon);
    g_hash_table_unref(store.values);
    return 0;
}
