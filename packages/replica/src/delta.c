/* Encoding of changes of the replica for other nodes.
 *
 * A delta is a format byte and a msgpack array [from, to, is_snapshot, items];
 * an item is an array [key, revision, value], with a nil value for a
 * tombstone.  In the compressed format, the length of the array in bytes (32
 * bits, big endian) and the zlib stream follow the format byte. */
#include <msgpack.h>
#include <string.h>
#include <zlib.h>

#include "masticvane/net.h"
#include "replica_private.h"

#define DELTA_FIELDS 4
#define ITEM_FIELDS 3
/* Shorter deltas fit into a datagram uncompressed. */
#define COMPRESS_ABOVE_BYTES 900
#define MAX_DELTA_BYTES (64u << 20)

/* First byte of an encoded delta. */
enum {
    FORMAT_PLAIN = 0,
    FORMAT_COMPRESSED = 1,
};

static int
append(void *user, const char *data, size_t length)
{
    return MvBuffer_Append(user, data, length) ? 0 : -1;
}

static void
pack_bytes(msgpack_packer *packer, const char *bytes, size_t length)
{
    msgpack_pack_bin(packer, length);
    msgpack_pack_bin_body(packer, bytes, length);
}

static void
pack_entry(msgpack_packer *packer, const mv_replica_entry_t *entry)
{
    msgpack_pack_array(packer, ITEM_FIELDS);
    pack_bytes(packer, entry->key, strlen(entry->key));
    msgpack_pack_uint64(packer, entry->revision);
    if (entry->deleted) {
        msgpack_pack_nil(packer);
        return;
    }
    pack_bytes(packer, entry->value, entry->length);
}

/* The entries to encode: changes after since, all existing keys (snapshot), or
 * all existing keys except the signing keys (public). */
typedef struct selection {
    uint64_t since;
    bool is_snapshot;
    bool is_public;
} selection_t;

static bool
is_selected(const mv_replica_entry_t *entry, const selection_t *selection)
{
    if (selection->is_public) {
        return !entry->deleted && strcmp(entry->key, MV_SIGNING_KEYS) != 0;
    }
    return selection->is_snapshot ? !entry->deleted
                                  : entry->revision > selection->since;
}

/* Return: the oldest entry that can be selected. */
static GSequenceIter *
first_candidate(const mv_replica_t *replica, const selection_t *selection)
{
    return selection->is_snapshot || selection->is_public
               ? g_sequence_get_begin_iter(replica->by_revision)
               : MvReplica_FirstAfter(replica, selection->since);
}

static GPtrArray *
select_entries(const mv_replica_t *replica, const selection_t *selection)
{
    GPtrArray *entries = g_ptr_array_new();
    GSequenceIter *iter = first_candidate(replica, selection);
    for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
        mv_replica_entry_t *entry = g_sequence_get(iter);
        if (is_selected(entry, selection)) {
            g_ptr_array_add(entries, entry);
        }
    }
    return entries;
}

static void
pack_selected(const mv_replica_t *replica, const selection_t *selection,
              mv_buffer_t *out)
{
    GPtrArray *entries = select_entries(replica, selection);
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, append);
    msgpack_pack_array(&packer, DELTA_FIELDS);
    msgpack_pack_uint64(&packer,
                        selection->is_snapshot ? 0 : selection->since);
    msgpack_pack_uint64(&packer, replica->revision);
    msgpack_pack_uint8(&packer, selection->is_snapshot);
    msgpack_pack_array(&packer, entries->len);
    for (unsigned i = 0; i < entries->len; i++) {
        pack_entry(&packer, g_ptr_array_index(entries, i));
    }
    g_ptr_array_unref(entries);
}

static bool
compress_into(const mv_buffer_t *plain, mv_buffer_t *out)
{
    uLongf size = compressBound(plain->length);
    Bytef *bytes = g_malloc(size);
    uint8_t header[1 + sizeof(uint32_t)] = {FORMAT_COMPRESSED};
    uint32_t length = GUINT32_TO_BE((uint32_t)plain->length);
    memcpy(header + 1, &length, sizeof(length));
    bool succeeded = compress2(bytes, &size, plain->data, plain->length,
                               Z_BEST_SPEED) == Z_OK &&
                     MvBuffer_Append(out, header, sizeof(header)) &&
                     MvBuffer_Append(out, bytes, size);
    g_free(bytes);
    return succeeded;
}

static bool
encode(const mv_replica_t *replica, const selection_t *selection,
       mv_buffer_t *out)
{
    mv_buffer_t plain = {.data = NULL};
    const uint8_t format = FORMAT_PLAIN;
    pack_selected(replica, selection, &plain);
    bool succeeded = plain.length > COMPRESS_ABOVE_BYTES
                         ? compress_into(&plain, out)
                         : MvBuffer_Append(out, &format, 1) &&
                               MvBuffer_Append(out, plain.data, plain.length);
    MvBuffer_Clear(&plain);
    return succeeded;
}

bool
MvReplica_EncodeSince(const mv_replica_t *replica, uint64_t since,
                      mv_buffer_t *out)
{
    const selection_t selection = {
        .since = since,
        .is_snapshot = since == 0 || since < replica->purged_revision};
    return encode(replica, &selection, out);
}

bool
MvReplica_EncodePublic(const mv_replica_t *replica, mv_buffer_t *out)
{
    /* The receiver must not advance its revision, since the signing keys are
     * missing; with this start it always reports a gap. */
    const selection_t selection = {.since = UINT64_MAX, .is_public = true};
    return encode(replica, &selection, out);
}

/* Decoding */

typedef struct delta {
    uint64_t from;
    uint64_t to;
    bool is_snapshot;
    const msgpack_object_array *items;
} delta_t;

static bool
get_number(const msgpack_object *object, uint64_t *out)
{
    *out = object->via.u64;
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool
get_delta(const msgpack_object *object, delta_t *delta)
{
    uint64_t is_snapshot = 0;
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size != DELTA_FIELDS) {
        return false;
    }
    const msgpack_object *field = object->via.array.ptr;
    bool is_valid = get_number(&field[0], &delta->from) &&
                    get_number(&field[1], &delta->to) &&
                    get_number(&field[2], &is_snapshot) &&
                    field[3].type == MSGPACK_OBJECT_ARRAY;
    delta->is_snapshot = is_snapshot != 0;
    delta->items = &field[3].via.array;
    return is_valid;
}

/* Return: NUL-terminated copy, freed with g_free(). */
static char *
copy_bytes(const msgpack_object *object, size_t *length)
{
    *length = object->via.bin.size;
    char *bytes = g_malloc(*length + 1);
    memcpy(bytes, object->via.bin.ptr, *length);
    bytes[*length] = '\0';
    return bytes;
}

/* @list: the snapshot that is being applied, or NULL */
static bool
apply_entry(mv_replica_t *replica, mv_replica_list_t *list, mv_time_t now,
            const msgpack_object *object)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size != ITEM_FIELDS) {
        return false;
    }
    const msgpack_object *field = object->via.array.ptr;
    mv_store_item_t item = {.deleted = field[2].type == MSGPACK_OBJECT_NIL};
    if (field[0].type != MSGPACK_OBJECT_BIN ||
        !get_number(&field[1], &item.revision) ||
        (!item.deleted && field[2].type != MSGPACK_OBJECT_BIN)) {
        return false;
    }
    size_t key_length = 0;
    char *key = copy_bytes(&field[0], &key_length);
    char *value = item.deleted ? NULL : copy_bytes(&field[2], &item.length);
    item.key = key;
    item.value = value;
    if (list) {
        MvReplicaList_Apply(list, now, &item);
    }
    else {
        MvReplica_Apply(replica, now, &item);
    }
    g_free(key);
    g_free(value);
    return true;
}

static mv_merge_t
merge_delta(mv_replica_t *replica, mv_time_t now, const delta_t *delta)
{
    bool is_contiguous =
        delta->is_snapshot || delta->from <= replica->revision;
    bool is_old = delta->to <= replica->revision;
    mv_replica_list_t *list = NULL;
    if (delta->is_snapshot && !is_old) {
        list = MvReplicaList_Create(replica);
        MvReplicaList_AddPage(list, delta->to);
    }
    for (uint32_t i = 0; i < delta->items->size; i++) {
        if (!apply_entry(replica, list, now, &delta->items->ptr[i])) {
            MvReplicaList_Destroy(list);
            return MV_MERGE_MALFORMED;
        }
    }
    if (list) {
        MvReplicaList_Finish(list, now);
    }
    else if (is_contiguous) {
        MvReplica_Advance(replica, delta->to);
    }
    return is_contiguous ? MV_MERGE_DONE : MV_MERGE_GAP;
}

static mv_merge_t
merge_plain(mv_replica_t *replica, mv_time_t now, const char *bytes,
            size_t length)
{
    msgpack_unpacked result;
    size_t offset = 0;
    mv_merge_t merge = MV_MERGE_MALFORMED;
    delta_t delta;
    msgpack_unpacked_init(&result);
    if (MvMsgpack_IsBounded((const uint8_t *)bytes, length) &&
        msgpack_unpack_next(&result, bytes, length, &offset) ==
            MSGPACK_UNPACK_SUCCESS &&
        offset == length && get_delta(&result.data, &delta)) {
        merge = merge_delta(replica, now, &delta);
    }
    msgpack_unpacked_destroy(&result);
    return merge;
}

static mv_merge_t
merge_compressed(mv_replica_t *replica, mv_time_t now, const char *bytes,
                 size_t length)
{
    uint32_t plain_length = 0;
    if (length < sizeof(plain_length)) {
        return MV_MERGE_MALFORMED;
    }
    memcpy(&plain_length, bytes, sizeof(plain_length));
    plain_length = GUINT32_FROM_BE(plain_length);
    if (plain_length > MAX_DELTA_BYTES) {
        return MV_MERGE_MALFORMED;
    }
    uLongf size = plain_length;
    char *plain = g_malloc(size + 1);
    mv_merge_t merge = MV_MERGE_MALFORMED;
    if (uncompress((Bytef *)plain, &size,
                   (const Bytef *)bytes + sizeof(plain_length),
                   length - sizeof(plain_length)) == Z_OK &&
        size == plain_length) {
        merge = merge_plain(replica, now, plain, size);
    }
    g_free(plain);
    return merge;
}

mv_merge_t
MvReplica_Merge(mv_replica_t *replica, mv_time_t now, const char *bytes,
                size_t length)
{
    if (length < 1) {
        return MV_MERGE_MALFORMED;
    }
    switch (bytes[0]) {
    case FORMAT_PLAIN:
        return merge_plain(replica, now, bytes + 1, length - 1);
    case FORMAT_COMPRESSED:
        return merge_compressed(replica, now, bytes + 1, length - 1);
    default:
        return MV_MERGE_MALFORMED;
    }
}
