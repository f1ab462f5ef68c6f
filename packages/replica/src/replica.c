/* The replica: entries by key and by the revision of their last change. */
#include "replica_private.h"

#include <string.h>

/* Tombstones stop late updates from restoring deleted keys. */
#define TOMBSTONE_RETENTION MV_MINUTE

static void
free_entry(gpointer pointer)
{
    mv_replica_entry_t *entry = pointer;
    g_free(entry->key);
    g_free(entry->value);
    g_free(entry);
}

mv_replica_t *
MvReplica_Create(mv_replica_changed_t changed, void *context)
{
    mv_replica_t *replica = g_new0(mv_replica_t, 1);
    replica->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    replica->changed = changed;
    replica->context = context;
    replica->by_revision = g_sequence_new(NULL);
    return replica;
}

void
MvReplica_Destroy(mv_replica_t *replica)
{
    if (!replica) {
        return;
    }
    g_sequence_free(replica->by_revision);
    g_hash_table_unref(replica->entries);
    g_free(replica);
}

uint64_t
MvReplica_Revision(const mv_replica_t *replica)
{
    return replica->revision;
}

size_t
MvReplica_Count(const mv_replica_t *replica)
{
    return replica->count;
}

static gint
compare_revisions(gconstpointer a, gconstpointer b, gpointer context)
{
    const mv_replica_entry_t *left = a;
    const mv_replica_entry_t *right = b;
    (void)context;
    return (left->revision > right->revision) -
           (left->revision < right->revision);
}

static void
unlink_entry(mv_replica_entry_t *entry)
{
    if (entry->position) {
        g_sequence_remove(entry->position);
        entry->position = NULL;
    }
}

static void
link_by_revision(mv_replica_t *replica, mv_replica_entry_t *entry)
{
    unlink_entry(entry);
    entry->position = g_sequence_insert_sorted(replica->by_revision, entry,
                                               compare_revisions, NULL);
}

GSequenceIter *
MvReplica_FirstAfter(const mv_replica_t *replica, uint64_t since)
{
    mv_replica_entry_t boundary = {.revision = since};
    return g_sequence_search(replica->by_revision, &boundary,
                             compare_revisions, NULL);
}

/* Arguments of purge_if_expired(). */
typedef struct purge {
    mv_replica_t *replica;
    mv_time_t now;
} purge_t;

static gboolean
purge_if_expired(gpointer key, gpointer value, gpointer context)
{
    const purge_t *purge = context;
    mv_replica_t *replica = purge->replica;
    mv_replica_entry_t *entry = value;
    (void)key;
    if (!entry->deleted || entry->revision > replica->revision ||
        purge->now - entry->changed_at <= TOMBSTONE_RETENTION) {
        return FALSE;
    }
    replica->purged_revision = MAX(replica->purged_revision, entry->revision);
    unlink_entry(entry);
    return TRUE;
}

void
MvReplica_PurgeTombstones(mv_replica_t *replica, mv_time_t now)
{
    purge_t purge = {replica, now};
    g_hash_table_foreach_remove(replica->entries, purge_if_expired, &purge);
}

static mv_replica_entry_t *
find_or_add(mv_replica_t *replica, const char *key)
{
    mv_replica_entry_t *entry = g_hash_table_lookup(replica->entries, key);
    if (!entry) {
        entry = g_new0(mv_replica_entry_t, 1);
        entry->key = g_strdup(key);
        entry->deleted = true;
        g_hash_table_insert(replica->entries, entry->key, entry);
    }
    return entry;
}

static void
set_value(mv_replica_t *replica, mv_replica_entry_t *entry,
          const mv_store_item_t *item)
{
    g_free(entry->value);
    entry->value = NULL;
    entry->length = 0;
    if (!item->deleted) {
        entry->value = g_malloc(item->length + 1);
        memcpy(entry->value, item->value, item->length);
        entry->value[item->length] = '\0';
        entry->length = item->length;
    }
    replica->count += (size_t)entry->deleted;
    replica->count -= (size_t)item->deleted;
    entry->deleted = item->deleted;
}

static bool
was_deleted_later(const mv_replica_t *replica, const mv_store_item_t *item)
{
    const mv_replica_entry_t *entry =
        g_hash_table_lookup(replica->entries, item->key);
    return item->revision <= replica->purged_revision &&
           (!entry || entry->deleted);
}

bool
MvReplica_Apply(mv_replica_t *replica, mv_time_t now,
                const mv_store_item_t *item)
{
    if (was_deleted_later(replica, item)) {
        return false;
    }
    mv_replica_entry_t *entry = find_or_add(replica, item->key);
    if (item->revision <= entry->revision) {
        return false;
    }
    bool was_deleted = entry->deleted;
    entry->revision = item->revision;
    entry->changed_at = now;
    set_value(replica, entry, item);
    link_by_revision(replica, entry);
    if (!was_deleted || !item->deleted) {
        replica->changed(replica->context, item);
    }
    return true;
}

void
MvReplica_Advance(mv_replica_t *replica, uint64_t revision)
{
    replica->revision = MAX(replica->revision, revision);
}

const char *
MvReplica_Value(const mv_replica_t *replica, const char *key, size_t *length)
{
    const mv_replica_entry_t *entry =
        g_hash_table_lookup(replica->entries, key);
    if (!entry || entry->deleted) {
        return NULL;
    }
    if (length) {
        *length = entry->length;
    }
    return entry->value;
}

uint64_t
MvReplica_KeyRevision(const mv_replica_t *replica, const char *key)
{
    const mv_replica_entry_t *entry =
        g_hash_table_lookup(replica->entries, key);
    return entry && !entry->deleted ? entry->revision : 0;
}
