#include "masticvane/store.h"

#define POLL_MS 50

void
MvStore_Destroy(mv_store_t *store)
{
    if (store) {
        store->ops->destroy(store);
    }
}

void
MvStore_Get(mv_store_t *store, const char *key, uint64_t index, mv_time_t wait,
            mv_store_done_t done, void *context)
{
    store->ops->get(store, key, index, wait, done, context);
}

void
MvStore_Put(mv_store_t *store, const char *key, const char *value,
            size_t length, uint64_t index, mv_store_done_t done, void *context)
{
    store->ops->put(store, key, value, length, index, done, context);
}

void
MvStore_Poll(mv_store_t *store, int timeout_ms)
{
    store->ops->poll(store, timeout_ms);
}

typedef struct waiting {
    mv_store_value_t result;
    bool done;
} waiting_t;

static void
keep_reply(void *context, const mv_store_reply_t *reply)
{
    waiting_t *waiting = context;
    waiting->result = (mv_store_value_t){.outcome = reply->outcome,
                                         .index = reply->index,
                                         .length = reply->length};
    if (reply->value) {
        waiting->result.value = g_strndup(reply->value, reply->length);
    }
    waiting->done = true;
}

static mv_store_value_t
wait_for(mv_store_t *store, waiting_t *waiting)
{
    while (!waiting->done) {
        MvStore_Poll(store, POLL_MS);
    }
    return waiting->result;
}

mv_store_value_t
MvStore_Read(mv_store_t *store, const char *key)
{
    waiting_t waiting = {.done = false};
    MvStore_Get(store, key, 0, 0, keep_reply, &waiting);
    return wait_for(store, &waiting);
}

mv_store_value_t
MvStore_Write(mv_store_t *store, const char *key, const char *value,
              size_t length, uint64_t index)
{
    waiting_t waiting = {.done = false};
    MvStore_Put(store, key, value, length, index, keep_reply, &waiting);
    return wait_for(store, &waiting);
}
