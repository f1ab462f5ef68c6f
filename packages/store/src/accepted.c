/* Accepted configuration: a root value and immutable service values. */
#include "masticvane/store.h"

#include <stdlib.h>
#include <string.h>

#define WATCH_TIMEOUT (30 * MV_SECOND)
#define FIRST_BACK_OFF (200 * MV_MILLISECOND)
#define MAX_BACK_OFF (20 * MV_SECOND)
#define READ_BACK_INTERVAL_US 200000

static char *
root_key(const char *deployment)
{
    return g_strdup_printf("masticvane/%s/root", deployment);
}

static char *
service_key(const char *deployment, const char *name, const char *digest)
{
    return g_strdup_printf("masticvane/%s/service/%s/%s", deployment, name,
                           digest);
}

/* Blocking calls, for the command line */

static mv_deployment_t *
load_services(mv_store_t *store, const char *deployment, const char *root,
              GError **error)
{
    /* Names and digests of the services, alternating. */
    GPtrArray *pairs = MvDeployment_RootServices(root, error);
    if (!pairs) {
        return NULL;
    }
    size_t count = pairs->len / 2;
    char **documents = g_new0(char *, count + 1);
    mv_deployment_t *result = NULL;
    size_t loaded_count = 0;
    for (; loaded_count < count; loaded_count++) {
        char *key = service_key(deployment, pairs->pdata[2 * loaded_count],
                                pairs->pdata[2 * loaded_count + 1]);
        mv_store_value_t value = MvStore_Read(store, key);
        g_free(key);
        if (value.outcome != MV_STORE_DONE) {
            break;
        }
        documents[loaded_count] = value.value;
    }
    if (loaded_count < count) {
        g_set_error(error, MV_ERROR, MV_ERROR_UNAVAILABLE,
                    "service %s could not be read from the platform's store",
                    (char *)pairs->pdata[2 * loaded_count]);
    }
    else {
        char *bundle = MvDeployment_Bundle(root, documents, count, error);
        if (bundle) {
            result = MvDeployment_Decode(bundle, strlen(bundle), NULL, error);
        }
        free(bundle);
    }
    g_strfreev(documents);
    g_ptr_array_unref(pairs);
    return result;
}

mv_deployment_t *
MvAccepted_Load(mv_store_t *store, const char *deployment, uint64_t *index,
                GError **error)
{
    char *key = root_key(deployment);
    mv_store_value_t root = MvStore_Read(store, key);
    mv_deployment_t *result = NULL;
    g_free(key);
    *index = 0;
    if (root.outcome == MV_STORE_DONE) {
        *index = root.index;
        result = load_services(store, deployment, root.value, error);
    }
    else if (root.outcome != MV_STORE_REFUSED) {
        g_set_error(error, MV_ERROR, MV_ERROR_UNAVAILABLE,
                    "the platform's store could not be read");
    }
    g_free(root.value);
    return result;
}

/* An unchanged service is already in the store under its digest. */
static bool
is_unchanged(const mv_deployment_t *previous, const char *digest)
{
    bool is_same = false;
    for (uint16_t i = 0; previous && !is_same && i < previous->service_count;
         i++) {
        is_same = !strcmp(previous->services[i].digest, digest);
    }
    return is_same;
}

static bool
write_services(mv_store_t *store, const mv_deployment_t *previous,
               const mv_deployment_t *next, GError **error)
{
    for (uint16_t i = 0; i < next->service_count; i++) {
        char digest[33];
        const mv_service_t *service = &next->services[i];
        char *document = MvDeployment_EncodeService(service, digest);
        if (is_unchanged(previous, digest)) {
            free(document);
            continue;
        }
        char *key = service_key(next->name, service->name, digest);
        /* Refused means that the same document is already stored. */
        mv_store_value_t written =
            MvStore_Write(store, key, document, strlen(document), 0);
        if (written.outcome == MV_STORE_UNKNOWN) {
            written = MvStore_Write(store, key, document, strlen(document), 0);
        }
        free(document);
        g_free(key);
        if (written.outcome != MV_STORE_DONE &&
            written.outcome != MV_STORE_REFUSED) {
            g_set_error(
                error, MV_ERROR, MV_ERROR_UNAVAILABLE,
                "service %s could not be written to the platform's store; "
                "configuration not changed",
                service->name);
            return false;
        }
    }
    return true;
}

static void
set_conflict(const mv_deployment_t *current, GError **error)
{
    g_set_error(error, MV_ERROR, MV_ERROR_CONFLICT,
                "change %s (version %" G_GUINT64_FORMAT
                ") was accepted first; plan again",
                current ? current->change_id : "(unknown)",
                current ? current->version : 0);
}

/* Reads the accepted configuration to determine whether @next was accepted;
 * failed reads are repeated until @wait has passed. */
static bool
read_back(mv_store_t *store, const mv_deployment_t *next, uint64_t index,
          mv_time_t wait, GError **error)
{
    gint64 deadline = g_get_monotonic_time() + wait;
    for (;;) {
        uint64_t current_index = 0;
        GError *load_error = NULL;
        mv_deployment_t *current =
            MvAccepted_Load(store, next->name, &current_index, &load_error);
        bool is_read = load_error == NULL;
        g_clear_error(&load_error);
        if (is_read) {
            bool is_accepted =
                current && MvDeployment_HasChange(current, next->change_id);
            if (!is_accepted && current_index == index) {
                g_set_error(error, MV_ERROR, MV_ERROR_UNAVAILABLE,
                            "the write of the change had no effect; "
                            "configuration not changed");
            }
            else if (!is_accepted) {
                set_conflict(current, error);
            }
            MvDeployment_Unref(current);
            return is_accepted;
        }
        if (g_get_monotonic_time() > deadline) {
            g_set_error(error, MV_ERROR, MV_ERROR_UNKNOWN_OUTCOME,
                        "change %s may or may not have been accepted; "
                        "check with masticvane status",
                        next->change_id);
            return false;
        }
        g_usleep(READ_BACK_INTERVAL_US);
    }
}

bool
MvAccepted_Confirm(mv_store_t *store, const mv_deployment_t *previous,
                   const mv_deployment_t *next, uint64_t index, mv_time_t wait,
                   GError **error)
{
    if (!write_services(store, previous, next, error)) {
        return false;
    }
    char *key = root_key(next->name);
    char *root = MvDeployment_EncodeRoot(next);
    mv_store_value_t written =
        MvStore_Write(store, key, root, strlen(root), index);
    g_free(key);
    free(root);
    switch (written.outcome) {
    case MV_STORE_DONE:
        return true;
    case MV_STORE_FAILED:
        g_set_error(error, MV_ERROR, MV_ERROR_UNAVAILABLE,
                    "the platform's store cannot be reached; "
                    "configuration not changed");
        return false;
    default:
        /* Also after a refusal: the error names the change that was accepted
         * first, and if a proxy repeated the request, its first copy may have
         * taken effect. */
        return read_back(store, next, index, wait, error);
    }
}

/* Watch, for the daemon */

struct mv_accepted_watch {
    mv_store_t *store;
    char *deployment;
    GRand *random;
    mv_accepted_changed_t changed;
    void *context;
    uint64_t index; /* wait for a change after it; 0: read at once */
    char *root;
    GPtrArray *pairs; /* alternating: name and digest of each service */
    char **documents; /* of the services, in the order of pairs */
    size_t loaded_count;
    GHashTable *cached_documents; /* by digest */
    bool is_calling;
    bool is_reachable;
    mv_time_t back_off;
    mv_time_t next_call;
    mv_time_t now; /* of the last timer call */
};

mv_accepted_watch_t *
MvAcceptedWatch_Create(mv_store_t *store, const char *deployment,
                       GRand *random, mv_accepted_changed_t changed,
                       void *context)
{
    mv_accepted_watch_t *watch = g_new0(mv_accepted_watch_t, 1);
    watch->store = store;
    watch->deployment = g_strdup(deployment);
    watch->random = random;
    watch->changed = changed;
    watch->context = context;
    watch->is_reachable = true;
    watch->cached_documents =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return watch;
}

static void
reset_load(mv_accepted_watch_t *watch)
{
    if (watch->pairs) {
        g_ptr_array_unref(watch->pairs);
    }
    g_strfreev(watch->documents);
    g_free(watch->root);
    watch->pairs = NULL;
    watch->documents = NULL;
    watch->root = NULL;
    watch->loaded_count = 0;
}

void
MvAcceptedWatch_Destroy(mv_accepted_watch_t *watch)
{
    if (!watch) {
        return;
    }
    reset_load(watch);
    g_hash_table_unref(watch->cached_documents);
    g_free(watch->deployment);
    g_free(watch);
}

/* Jitter spreads the calls of many nodes after an outage.  The next call reads
 * the root without waiting for a change. */
static void
back_off(mv_accepted_watch_t *watch)
{
    watch->is_calling = false;
    watch->is_reachable = false;
    watch->back_off = watch->back_off ? MIN(2 * watch->back_off, MAX_BACK_OFF)
                                      : FIRST_BACK_OFF;
    double jitter = g_rand_double_range(watch->random, 0.5, 1.0);
    watch->next_call =
        watch->now + (mv_time_t)((double)watch->back_off * jitter);
    watch->index = 0;
    reset_load(watch);
}

static void read_next_service(mv_accepted_watch_t *watch);

/* Documents are immutable under their digest, so they are cached. */
static void
cache_documents(mv_accepted_watch_t *watch)
{
    g_hash_table_remove_all(watch->cached_documents);
    for (size_t i = 0; i < watch->loaded_count; i++) {
        g_hash_table_insert(watch->cached_documents,
                            g_strdup(watch->pairs->pdata[2 * i + 1]),
                            g_strdup(watch->documents[i]));
    }
}

static void
finish_load(mv_accepted_watch_t *watch)
{
    cache_documents(watch);
    char *bundle = MvDeployment_Bundle(watch->root, watch->documents,
                                       watch->loaded_count, NULL);
    mv_deployment_t *deployment =
        bundle ? MvDeployment_Decode(bundle, strlen(bundle), NULL, NULL)
               : NULL;
    free(bundle);
    reset_load(watch);
    watch->is_calling = false;
    watch->next_call = watch->now;
    if (deployment) {
        watch->changed(watch->context, deployment);
        MvDeployment_Unref(deployment);
    }
}

static void
handle_service(void *context, const mv_store_reply_t *reply)
{
    mv_accepted_watch_t *watch = context;
    if (reply->outcome != MV_STORE_DONE) {
        back_off(watch);
        return;
    }
    watch->documents[watch->loaded_count++] =
        g_strndup(reply->value, reply->length);
    read_next_service(watch);
}

static void
read_next_service(mv_accepted_watch_t *watch)
{
    while (2 * watch->loaded_count < watch->pairs->len) {
        const char *cached = g_hash_table_lookup(
            watch->cached_documents,
            watch->pairs->pdata[2 * watch->loaded_count + 1]);
        if (!cached) {
            break;
        }
        watch->documents[watch->loaded_count++] = g_strdup(cached);
    }
    if (2 * watch->loaded_count >= watch->pairs->len) {
        finish_load(watch);
        return;
    }
    char *key = service_key(watch->deployment,
                            watch->pairs->pdata[2 * watch->loaded_count],
                            watch->pairs->pdata[2 * watch->loaded_count + 1]);
    MvStore_Get(watch->store, key, 0, 0, handle_service, watch);
    g_free(key);
}

static void
handle_root(void *context, const mv_store_reply_t *reply)
{
    mv_accepted_watch_t *watch = context;
    if (reply->outcome != MV_STORE_DONE &&
        reply->outcome != MV_STORE_REFUSED) {
        back_off(watch);
        return;
    }
    watch->is_reachable = true;
    watch->back_off = 0;
    bool is_same = reply->index == watch->index;
    watch->index = reply->index;
    if (reply->outcome == MV_STORE_REFUSED || is_same) {
        watch->is_calling = false;
        watch->next_call = watch->now + FIRST_BACK_OFF;
        return;
    }
    watch->root = g_strndup(reply->value, reply->length);
    watch->pairs = MvDeployment_RootServices(watch->root, NULL);
    if (!watch->pairs) {
        back_off(watch);
        return;
    }
    watch->documents = g_new0(char *, watch->pairs->len / 2 + 1);
    read_next_service(watch);
}

void
MvAcceptedWatch_Timer(mv_accepted_watch_t *watch, mv_time_t now, bool active)
{
    watch->now = now;
    if (watch->is_calling || !active || now < watch->next_call) {
        return;
    }
    watch->is_calling = true;
    char *key = root_key(watch->deployment);
    MvStore_Get(watch->store, key, watch->index, WATCH_TIMEOUT, handle_root,
                watch);
    g_free(key);
}

bool
MvAcceptedWatch_IsReachable(const mv_accepted_watch_t *watch)
{
    return watch->is_reachable;
}
