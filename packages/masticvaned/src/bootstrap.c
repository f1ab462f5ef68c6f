/* Initial replica of the store from bootstrap peers. */
#include "bootstrap.h"

#define HTTP_OK 200
#define REQUEST_TIMEOUT MV_SECOND
#define RETRY_INTERVAL MV_SECOND
/* Time that the store has to respond before a peer is asked. */
#define STORE_GRACE_TIME (300 * MV_MILLISECOND)

struct mv_bootstrap {
    GPtrArray *clients;
    unsigned next_peer;
    mv_replica_t *replica;
    mv_log_t *log;
    bool call_pending;
    mv_time_t started_at;
    mv_time_t next_call;
    mv_time_t last_timer_at;
};

static void
free_client(gpointer client)
{
    MvHttp1_DestroyClient(client);
}

mv_bootstrap_t *
MvBootstrap_Create(mv_loop_t *loop, const char *addresses,
                   const char *own_address, mv_replica_t *replica,
                   mv_log_t *log)
{
    mv_bootstrap_t *bootstrap = g_new0(mv_bootstrap_t, 1);
    bootstrap->replica = replica;
    bootstrap->log = log;
    bootstrap->clients = g_ptr_array_new_with_free_func(free_client);
    char **peers = g_strsplit(addresses, ",", -1);
    char *prefix = g_strdup_printf("%s:", own_address);
    for (char **peer = peers; *peer; peer++) {
        mv_http1_client_t *client =
            g_str_has_prefix(*peer, prefix)
                ? NULL
                : MvHttp1_CreateClient(loop, *peer, NULL);
        if (client) {
            g_ptr_array_add(bootstrap->clients, client);
        }
    }
    g_free(prefix);
    g_strfreev(peers);
    return bootstrap;
}

void
MvBootstrap_Destroy(mv_bootstrap_t *bootstrap)
{
    if (!bootstrap) {
        return;
    }
    g_ptr_array_unref(bootstrap->clients);
    g_free(bootstrap);
}

static void
merge_replica(void *context, const mv_http1_response_t *response)
{
    mv_bootstrap_t *bootstrap = context;
    bootstrap->call_pending = false;
    if (response->outcome != MV_HTTP1_RESPONDED ||
        response->status != HTTP_OK) {
        return;
    }
    mv_merge_t merge =
        MvReplica_Merge(bootstrap->replica, bootstrap->last_timer_at,
                        response->body, response->length);
    MvLog_Write(bootstrap->log, MV_EVENT_REPLICA_RECEIVED,
                "good=%d bytes=%zu keys=%zu", merge != MV_MERGE_MALFORMED,
                response->length, MvReplica_Count(bootstrap->replica));
}

static void
fetch_replica(mv_bootstrap_t *bootstrap, mv_time_t now)
{
    const mv_http1_request_t request = {.method = "GET",
                                        .target = MV_REPLICA_TARGET,
                                        .timeout = REQUEST_TIMEOUT};
    mv_http1_client_t *client = g_ptr_array_index(
        bootstrap->clients, bootstrap->next_peer % bootstrap->clients->len);
    bootstrap->next_peer++;
    bootstrap->call_pending = true;
    bootstrap->next_call = now + RETRY_INTERVAL;
    MvHttp1_Call(client, &request, now, merge_replica, bootstrap);
}

mv_time_t
MvBootstrap_Timer(mv_bootstrap_t *bootstrap, mv_time_t now, bool needed)
{
    if (bootstrap->started_at == 0) {
        bootstrap->started_at = now;
        bootstrap->next_call = now + STORE_GRACE_TIME;
    }
    bootstrap->last_timer_at = now;
    if (bootstrap->call_pending) {
        for (guint i = 0; i < bootstrap->clients->len; i++) {
            MvHttp1_Timer(g_ptr_array_index(bootstrap->clients, i), now);
        }
        /* The next call checks the timeout of the request again. */
        return now + STORE_GRACE_TIME;
    }
    if (!needed || bootstrap->clients->len == 0) {
        return MV_NEVER;
    }
    if (now >= bootstrap->next_call) {
        fetch_replica(bootstrap, now);
    }
    return bootstrap->next_call;
}
