/* The accepted configuration: a root value and immutable service values. */
#include "masticvane/store.h"

#include <stdlib.h>
#include <string.h>

#define WATCH_WAIT (30 * MV_SECOND)
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

/* Waiting calls, for the command line */

static mv_deployment_t *
load_services(mv_store_t *store, const char *deployment, const char *root,
              GError **error)
{
    GPtrArray *pairs = MvDeployment_RootServices(root, error);
    if (!pairs) {
        return NULL;
    }
    size_t count = pairs->len / 2;
    char **documents = g_new0(char *, count + 1);
    mv_deployment_t *result = NULL;
    size_t got = 0;
    for (; got < count; got++) {
        char *key = service_key(deployment, pairs->pdata[2 * got],
                                pairs->pdata[2 * got + 1]);
        mv_store_value_t value = MvStore_Read(store, key);
        g_free(key);
        if (value.outcome != MV_STORE_DONE) {
            break;
        }
        documents[got] = value.value;
    }
    if (got < count) {
        g_set_error(error, MV_ERROR, MV_ERROR_UNAVAILABLE,
                    "the store did not give service %s",
                    (char *)pairs->pdata[2 * got]);
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
                    "the platform's store cannot be reached");
    }
    g_free(root.value);
    return result;
}

/* A service that did not change is in the store already. */
static bool
is_unchanged(const mv_deployment_t *previous, const char *digest)
{
    bool same = false;
    for (uint16_t i = 0; previous && !same && i < previous->service_count;
         i++) {
        same = !strcmp(previous->services[i].digest, digest);
    }
    return same;
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
        /* Refused means that the same document is there already. */
        mv_store_value_t written =
            MvStore_Write(store, key, document, strlen(document), 0);
        if (written.outcome == MV_STORE_UNKNOWN) {
            written = MvStore_Write(store, key, document, strlen(document), 0);
        }
        free(document);
        g_free(key);
        if (written.outcome != MV_STORE_DONE &&
            written.outcome != MV_STORE_REFUSED) {
            g_set_error(error, MV_ERROR, MV_ERROR_UNAVAILABLE,
                        "service %s could not be written; nothing changed",
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

/* Whose change is in the store?  Asked until it answers. */
static bool
read_back(mv_store_t *store, const mv_deployment_t *next, uint64_t index,
          mv_time_t wait, GError **error)
{
    gint64 deadline = g_get_monotonic_time() + wait;
    for (;;) {
        uint64_t seen = 0;
        GError *problem = NULL;
        mv_deployment_t *current =
            MvAccepted_Load(store, next->name, &seen, &problem);
        bool known = problem == NULL;
        g_clear_error(&problem);
        if (known) {
            bool ours =
                current && MvDeployment_HasChange(current, next->change_id);
            if (!ours && seen == index) {
                g_set_error(error, MV_ERROR, MV_ERROR_UNAVAILABLE,
                            "the change did not take effect; nothing "
                            "changed");
            }
            else if (!ours) {
                set_conflict(current, error);
            }
            MvDeployment_Unref(current);
            return ours;
        }
        if (g_get_monotonic_time() > deadline) {
            g_set_error(error, MV_ERROR, MV_ERROR_UNKNOWN_OUTCOME,
                        "change %s may or may not have been accepted; ask "
                        "with masticvane status",
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
    case MV_STORE_NOT_SENT:
        g_set_error(error, MV_ERROR, MV_ERROR_UNAVAILABLE,
                    "the platform's store cannot be reached; nothing "
                    "changed");
        return false;
    default:
        /* Refused may be the echo of our own write that was sent twice. */
        return read_back(store, next, index, wait, error);
    }
}

/* The watch, for the daemon */

struct mv_accepted_watch {
    mv_store_t *store;
    char *deployment;
    GRand *random;
    mv_accepted_seen_t seen;
    void *context;
    uint64_t index;
    char *root;
    GPtrArray *pairs;
    char **documents;
    size_t got;
    GHashTable *known;
    bool busy;
    bool reachable;
    mv_time_t back_off;
    mv_time_t next;
    mv_time_t now;
};

mv_accepted_watch_t *
MvAcceptedWatch_Create(mv_store_t *store, const char *deployment,
                       GRand *random, mv_accepted_seen_t seen, void *context)
{
    mv_accepted_watch_t *watch = g_new0(mv_accepted_watch_t, 1);
    watch->store = store;
    watch->deployment = g_strdup(deployment);
    watch->random = random;
    watch->seen = seen;
    watch->context = context;
    watch->reachable = true;
    watch->known =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return watch;
}

static void
drop_reading(mv_accepted_watch_t *watch)
{
    if (watch->pairs) {
        g_ptr_array_unref(watch->pairs);
    }
    g_strfreev(watch->documents);
    g_free(watch->root);
    watch->pairs = NULL;
    watch->documents = NULL;
    watch->root = NULL;
    watch->got = 0;
}

void
MvAcceptedWatch_Destroy(mv_accepted_watch_t *watch)
{
    if (!watch) {
        return;
    }
    drop_reading(watch);
    g_hash_table_unref(watch->known);
    g_free(watch->deployment);
    g_free(watch);
}

/* Jitter keeps the watchers of a fleet apart after an outage. */
static void
back_off(mv_accepted_watch_t *watch)
{
    watch->busy = false;
    watch->reachable = false;
    watch->back_off = watch->back_off ? MIN(2 * watch->back_off, MAX_BACK_OFF)
                                      : FIRST_BACK_OFF;
    double jitter = g_rand_double_range(watch->random, 0.5, 1.0);
    watch->next = watch->now + (mv_time_t)((double)watch->back_off * jitter);
    watch->index = 0;
    drop_reading(watch);
}

static void read_next_service(mv_accepted_watch_t *watch);

/* Documents are named by digest, so one that was read need not be again. */
static void
remember_documents(mv_accepted_watch_t *watch)
{
    g_hash_table_remove_all(watch->known);
    for (size_t i = 0; i < watch->got; i++) {
        g_hash_table_insert(watch->known,
                            g_strdup(watch->pairs->pdata[2 * i + 1]),
                            g_strdup(watch->documents[i]));
    }
}

static void
finish_reading(mv_accepted_watch_t *watch)
{
    remember_documents(watch);
    char *bundle =
        MvDeployment_Bundle(watch->root, watch->documents, watch->got, NULL);
    mv_deployment_t *deployment =
        bundle ? MvDeployment_Decode(bundle, strlen(bundle), NULL, NULL)
               : NULL;
    free(bundle);
    drop_reading(watch);
    watch->busy = false;
    watch->next = watch->now;
    if (deployment) {
        watch->seen(watch->context, deployment);
        MvDeployment_Unref(deployment);
    }
}

static void
take_service(void *context, const mv_store_reply_t *reply)
{
    mv_accepted_watch_t *watch = context;
    if (reply->outcome != MV_STORE_DONE) {
        back_off(watch);
        return;
    }
    watch->documents[watch->got++] = g_strndup(reply->value, reply->length);
    read_next_service(watch);
}

static void
read_next_service(mv_accepted_watch_t *watch)
{
    while (2 * watch->got < watch->pairs->len) {
        const char *known = g_hash_table_lookup(
            watch->known, watch->pairs->pdata[2 * watch->got + 1]);
        if (!known) {
            break;
        }
        watch->documents[watch->got++] = g_strdup(known);
    }
    if (2 * watch->got >= watch->pairs->len) {
        finish_reading(watch);
        return;
    }
    char *key =
        service_key(watch->deployment, watch->pairs->pdata[2 * watch->got],
                    watch->pairs->pdata[2 * watch->got + 1]);
    MvStore_Get(watch->store, key, 0, 0, take_service, watch);
    g_free(key);
}

static void
take_root(void *context, const mv_store_reply_t *reply)
{
    mv_accepted_watch_t *watch = context;
    if (reply->outcome != MV_STORE_DONE &&
        reply->outcome != MV_STORE_REFUSED) {
        back_off(watch);
        return;
    }
    watch->reachable = true;
    watch->back_off = 0;
    bool same = reply->index == watch->index;
    watch->index = reply->index;
    if (reply->outcome == MV_STORE_REFUSED || same) {
        watch->busy = false;
        watch->next = watch->now + FIRST_BACK_OFF;
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
    if (watch->busy || !active || now < watch->next) {
        return;
    }
    watch->busy = true;
    char *key = root_key(watch->deployment);
    MvStore_Get(watch->store, key, watch->index, WATCH_WAIT, take_root, watch);
    g_free(key);
}

bool
MvAcceptedWatch_IsReachable(const mv_accepted_watch_t *watch)
{
    return watch->reachable;
}
