/* Calls of any store implementation, and blocking calls built on them. */
#include "masticvane/store.h"

#define POLL_TIMEOUT_MS 50

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

/* Result of a blocking call, valid when done. */
typedef struct blocking_call {
    mv_store_value_t result;
    bool done;
} blocking_call_t;

static void
record_result(void *context, const mv_store_reply_t *reply)
{
    blocking_call_t *call = context;
    call->result = (mv_store_value_t){.outcome = reply->outcome,
                                      .index = reply->index,
                                      .length = reply->length};
    if (reply->value) {
        call->result.value = g_strndup(reply->value, reply->length);
    }
    call->done = true;
}

static mv_store_value_t
wait_for(mv_store_t *store, blocking_call_t *call)
{
    while (!call->done) {
        MvStore_Poll(store, POLL_TIMEOUT_MS);
    }
    return call->result;
}

mv_store_value_t
MvStore_Read(mv_store_t *store, const char *key)
{
    blocking_call_t call = {.done = false};
    MvStore_Get(store, key, 0, 0, record_result, &call);
    return wait_for(store, &call);
}

mv_store_value_t
MvStore_Write(mv_store_t *store, const char *key, const char *value,
              size_t length, uint64_t index)
{
    blocking_call_t call = {.done = false};
    MvStore_Put(store, key, value, length, index, record_result, &call);
    return wait_for(store, &call);
}
