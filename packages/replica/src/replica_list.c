/* Full lists of the store, page by page, and snapshots of other nodes.
 *
 * A list shows which keys exist, not which have been deleted: a key of the
 * replica that is absent from it has been deleted, at a revision that is not
 * known.  Keys that the replica never had may have been created and deleted
 * since; of these nothing is known at all, so that the replica cannot tell
 * other nodes what was deleted before the list. */
#include "replica_private.h"

/**
 * struct mv_replica_list - A list that is being applied.
 * @replica: the replica
 * @keys: set of the keys in the list.  The entries of the replica cannot be
 *        marked instead: other changes are applied while the list is read
 * @revision: revision of its oldest page, UINT64_MAX before the first one
 */
struct mv_replica_list {
    mv_replica_t *replica;
    GHashTable *keys;
    uint64_t revision;
};

mv_replica_list_t *
MvReplicaList_Create(mv_replica_t *replica)
{
    mv_replica_list_t *list = g_new0(mv_replica_list_t, 1);
    list->replica = replica;
    list->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    list->revision = UINT64_MAX;
    return list;
}

void
MvReplicaList_Destroy(mv_replica_list_t *list)
{
    if (!list) {
        return;
    }
    g_hash_table_unref(list->keys);
    g_free(list);
}

void
MvReplicaList_AddPage(mv_replica_list_t *list, uint64_t revision)
{
    list->revision = MIN(list->revision, revision);
}

void
MvReplicaList_Apply(mv_replica_list_t *list, mv_time_t now,
                    const mv_store_item_t *item)
{
    g_hash_table_add(list->keys, g_strdup(item->key));
    MvReplica_Apply(list->replica, now, item);
}

static void
delete_absent_keys(const mv_replica_list_t *list, mv_time_t now)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, list->replica->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mv_replica_entry_t *entry = value;
        if (entry->deleted || entry->revision >= list->revision ||
            g_hash_table_contains(list->keys, entry->key)) {
            continue;
        }
        const mv_store_item_t tombstone = {
            .key = entry->key, .revision = list->revision, .deleted = true};
        MvReplica_Apply(list->replica, now, &tombstone);
    }
}

void
MvReplicaList_Finish(mv_replica_list_t *list, mv_time_t now)
{
    mv_replica_t *replica = list->replica;
    delete_absent_keys(list, now);
    if (replica->revision < list->revision) {
        replica->revision = list->revision;
        replica->purged_revision = list->revision;
    }
    MvReplica_PurgeTombstones(replica, now);
    MvReplicaList_Destroy(list);
}
