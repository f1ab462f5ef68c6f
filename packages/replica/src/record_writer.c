/* Writes a record that any node may write into the platform's store. */
#include <string.h>

#include "masticvane/replica.h"

/* When the replica shows another value, or the outcome of a write is not
 * known, the next write waits this long, doubled after each failure. */
#define RETRY_INTERVAL MV_SECOND
#define MAX_RETRY_INTERVAL (8 * MV_SECOND)

struct mv_record_writer {
    char *key;
    mv_store_t *store;
    const mv_replica_t *replica;
    GRand *random;
    char *wanted; /* NULL: nothing to write */
    bool is_calling;
    mv_time_t due_at; /* while there is something to write */
    mv_time_t retry_interval;
    mv_time_t delay; /* the next timer call adds it to its time */
};

mv_record_writer_t *
MvRecordWriter_Create(const char *key, mv_store_t *store,
                      const mv_replica_t *replica, GRand *random)
{
    mv_record_writer_t *writer = g_new0(mv_record_writer_t, 1);
    writer->key = g_strdup(key);
    writer->store = store;
    writer->replica = replica;
    writer->random = random;
    writer->retry_interval = RETRY_INTERVAL;
    return writer;
}

void
MvRecordWriter_Destroy(mv_record_writer_t *writer)
{
    if (!writer) {
        return;
    }
    g_free(writer->key);
    g_free(writer->wanted);
    g_free(writer);
}

static mv_time_t
draw(mv_record_writer_t *writer, mv_time_t limit)
{
    return (mv_time_t)(g_rand_double(writer->random) * (double)limit);
}

void
MvRecordWriter_Want(mv_record_writer_t *writer, mv_time_t now,
                    const char *value, mv_time_t min_delay,
                    mv_time_t max_delay)
{
    bool is_new = value && !writer->wanted;
    g_free(writer->wanted);
    writer->wanted = g_strdup(value);
    if (is_new) {
        writer->due_at = now + min_delay + draw(writer, max_delay - min_delay);
    }
}

static void
handle_reply(void *context, const mv_store_reply_t *reply)
{
    mv_record_writer_t *writer = context;
    writer->is_calling = false;
    bool failed = reply->outcome == MV_STORE_FAILED ||
                  reply->outcome == MV_STORE_UNKNOWN;
    writer->delay =
        writer->retry_interval + draw(writer, writer->retry_interval);
    writer->retry_interval =
        failed ? MIN(2 * writer->retry_interval, MAX_RETRY_INTERVAL)
               : RETRY_INTERVAL;
}

static void
write_record(mv_record_writer_t *writer)
{
    uint64_t revision = MvReplica_KeyRevision(writer->replica, writer->key);
    writer->is_calling = true;
    writer->store->ops->put(writer->store, writer->key, writer->wanted,
                            strlen(writer->wanted), revision, handle_reply,
                            writer);
}

mv_time_t
MvRecordWriter_Timer(mv_record_writer_t *writer, mv_time_t now)
{
    if (writer->delay > 0) {
        writer->due_at = now + writer->delay;
        writer->delay = 0;
    }
    if (writer->is_calling || !writer->wanted) {
        return MV_NEVER;
    }
    if (now < writer->due_at) {
        return writer->due_at;
    }
    write_record(writer);
    return MV_NEVER;
}
