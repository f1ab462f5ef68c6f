/* The copy: keys by name and by the revision of their last change. */
#include "replica_private.h"

#include <string.h>

/* Deleted keys are remembered, so that old news cannot bring them back. */
#define KEEP_DELETED MV_MINUTE

static void
free_entry(gpointer pointer)
{
    mv_copy_entry_t *entry = pointer;
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
    MvList_Init(&replica->by_revision);
    return replica;
}

void
MvReplica_Destroy(mv_replica_t *replica)
{
    if (!replica) {
        return;
    }
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

/* Most changes are the newest: the place is looked for from the end. */
static void
link_by_revision(mv_replica_t *replica, mv_copy_entry_t *entry)
{
    mv_list_t *place = &replica->by_revision;
    while (place->prev != &replica->by_revision &&
           MV_CONTAINER_OF(place->prev, mv_copy_entry_t, link)->revision >
               entry->revision) {
        place = place->prev;
    }
    MvList_InsertBefore(place, &entry->link);
}

static void
forget_deleted(mv_replica_t *replica, mv_time_t now)
{
    MV_LIST_FOREACH(item, &replica->by_revision)
    {
        mv_copy_entry_t *entry = MV_CONTAINER_OF(item, mv_copy_entry_t, link);
        if (entry->deleted && entry->revision <= replica->revision &&
            now - entry->changed_at > KEEP_DELETED) {
            replica->deletions_known_from =
                MAX(replica->deletions_known_from, entry->revision);
            MvList_Remove(&entry->link);
            g_hash_table_remove(replica->entries, entry->key);
        }
    }
}

static mv_copy_entry_t *
find_or_add(mv_replica_t *replica, const char *key)
{
    mv_copy_entry_t *entry = g_hash_table_lookup(replica->entries, key);
    if (!entry) {
        entry = g_new0(mv_copy_entry_t, 1);
        entry->key = g_strdup(key);
        entry->deleted = true;
        MvList_Init(&entry->link);
        g_hash_table_insert(replica->entries, entry->key, entry);
    }
    return entry;
}

static void
set_value(mv_replica_t *replica, mv_copy_entry_t *entry,
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

bool
MvReplica_Apply(mv_replica_t *replica, mv_time_t now,
                const mv_store_item_t *item)
{
    mv_copy_entry_t *entry = find_or_add(replica, item->key);
    entry->listed = true;
    if (item->revision <= entry->revision) {
        return false;
    }
    bool was_deleted = entry->deleted;
    entry->revision = item->revision;
    entry->changed_at = now;
    set_value(replica, entry, item);
    MvList_Remove(&entry->link);
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

void
MvReplica_BeginList(mv_replica_t *replica)
{
    MV_LIST_FOREACH(item, &replica->by_revision)
    {
        MV_CONTAINER_OF(item, mv_copy_entry_t, link)->listed = false;
    }
}

void
MvReplica_EndList(mv_replica_t *replica, mv_time_t now, uint64_t revision)
{
    MV_LIST_FOREACH(link, &replica->by_revision)
    {
        const mv_copy_entry_t *entry =
            MV_CONTAINER_OF(link, mv_copy_entry_t, link);
        if (entry->listed || entry->deleted || entry->revision > revision) {
            continue;
        }
        /* Gone at some revision up to the list's. */
        const mv_store_item_t gone = {
            .key = entry->key, .revision = revision, .deleted = true};
        if (entry->revision < revision) {
            MvReplica_Apply(replica, now, &gone);
        }
    }
    MvReplica_Advance(replica, revision);
    forget_deleted(replica, now);
}

const char *
MvReplica_Value(const mv_replica_t *replica, const char *key, size_t *length)
{
    const mv_copy_entry_t *entry = g_hash_table_lookup(replica->entries, key);
    if (!entry || entry->deleted) {
        return NULL;
    }
    if (length) {
        *length = entry->length;
    }
    return entry->value;
}
