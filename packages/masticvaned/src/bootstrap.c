/* A first copy of the store from other entry VMs. */
#include "bootstrap.h"

#define HTTP_OK 200
#define CALL_TIMEOUT MV_SECOND
#define PAUSE MV_SECOND
/* The store gets this long to answer first. */
#define PATIENCE (300 * MV_MILLISECOND)

struct mv_bootstrap {
    GPtrArray *clients;
    unsigned next;
    mv_replica_t *replica;
    mv_log_t *log;
    bool is_calling;
    mv_time_t began_at;
    mv_time_t next_call;
    mv_time_t now;
};

static void
free_client(gpointer client)
{
    MvHttp1_DestroyClient(client);
}

mv_bootstrap_t *
MvBootstrap_Create(mv_loop_t *loop, const char *addresses, const char *own,
                   mv_replica_t *replica, mv_log_t *log)
{
    mv_bootstrap_t *seeds = g_new0(mv_bootstrap_t, 1);
    seeds->replica = replica;
    seeds->log = log;
    seeds->clients = g_ptr_array_new_with_free_func(free_client);
    char **names = g_strsplit(addresses, ",", -1);
    char *prefix = g_strdup_printf("%s:", own);
    for (char **name = names; *name; name++) {
        mv_http1_client_t *client =
            g_str_has_prefix(*name, prefix)
                ? NULL
                : MvHttp1_CreateClient(loop, *name, NULL);
        if (client) {
            g_ptr_array_add(seeds->clients, client);
        }
    }
    g_free(prefix);
    g_strfreev(names);
    return seeds;
}

void
MvBootstrap_Destroy(mv_bootstrap_t *seeds)
{
    if (!seeds) {
        return;
    }
    g_ptr_array_unref(seeds->clients);
    g_free(seeds);
}

static void
take_copy(void *context, const mv_http1_response_t *answer)
{
    mv_bootstrap_t *seeds = context;
    seeds->is_calling = false;
    if (answer->outcome != MV_HTTP1_RESPONDED || answer->status != HTTP_OK) {
        return;
    }
    mv_merge_t merge = MvReplica_Merge(seeds->replica, seeds->now,
                                       answer->body, answer->length);
    MvLog_Write(seeds->log, MV_EVENT_COPY_FROM_SEED,
                "good=%d bytes=%zu keys=%zu", merge != MV_MERGE_MALFORMED,
                answer->length, MvReplica_Count(seeds->replica));
}

static void
ask(mv_bootstrap_t *seeds, mv_time_t now)
{
    const mv_http1_request_t request = {
        .method = "GET", .target = MV_REPLICA_TARGET, .timeout = CALL_TIMEOUT};
    mv_http1_client_t *client =
        g_ptr_array_index(seeds->clients, seeds->next % seeds->clients->len);
    seeds->next++;
    seeds->is_calling = true;
    seeds->next_call = now + PAUSE;
    MvHttp1_Call(client, &request, now, take_copy, seeds);
}

mv_time_t
MvBootstrap_Timer(mv_bootstrap_t *seeds, mv_time_t now, bool needed)
{
    if (seeds->began_at == 0) {
        seeds->began_at = now;
        seeds->next_call = now + PATIENCE;
    }
    seeds->now = now;
    if (seeds->is_calling) {
        for (guint i = 0; i < seeds->clients->len; i++) {
            MvHttp1_Timer(g_ptr_array_index(seeds->clients, i), now);
        }
        return now + PATIENCE;
    }
    if (!needed || seeds->clients->len == 0) {
        return MV_NEVER;
    }
    if (now >= seeds->next_call) {
        ask(seeds, now);
    }
    return seeds->next_call;
}
