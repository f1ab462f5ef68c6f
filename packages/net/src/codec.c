/* msgpack encoding of the messages between entry VMs. */
#include "masticvane/net.h"

#include <msgpack.h>
#include <string.h>

#define MESSAGE_FIELDS 13
#define MEMBER_FIELDS 7
#define BUCKET_FIELDS 5
#define LOAD_FIELDS 6
#define SLOT_FIELDS 10
#define CLAIM_FIELDS 8
/* Packed flow record: address (4 bytes), then port, service, endpoint and idle
 * time in units of 100 ms (2 bytes each). */
#define FLOW_RECORD_BYTES 12
#define IDLE_UNIT_MS 100

static int
append_bytes(void *user, const char *data, size_t length)
{
    return MvBuffer_Append(user, data, length) ? 0 : -1;
}

static void
pack_members(msgpack_packer *packer, const mv_message_t *message)
{
    msgpack_pack_array(packer, message->member_count);
    for (size_t i = 0; i < message->member_count; i++) {
        const mv_member_update_t *member = &message->members[i];
        msgpack_pack_array(packer, MEMBER_FIELDS);
        msgpack_pack_uint32(packer, member->node);
        msgpack_pack_uint32(packer, member->status_version);
        msgpack_pack_uint32(packer, member->state);
        msgpack_pack_uint32(packer, member->ready);
        msgpack_pack_uint64(packer, member->config_version);
        msgpack_pack_uint32(packer, member->incarnation);
        msgpack_pack_uint32(packer, member->data_centre);
    }
}

static void
pack_buckets(msgpack_packer *packer, const mv_message_t *message)
{
    msgpack_pack_array(packer, message->bucket_count);
    for (size_t i = 0; i < message->bucket_count; i++) {
        const mv_bucket_update_t *bucket = &message->buckets[i];
        /* 0 stands for the version of the message. */
        bool has_message_version = bucket->version == message->version;
        msgpack_pack_array(packer, BUCKET_FIELDS);
        msgpack_pack_uint64(packer, has_message_version ? 0 : bucket->version);
        msgpack_pack_uint32(packer, bucket->bucket);
        msgpack_pack_uint32(packer, bucket->endpoint);
        msgpack_pack_uint32(packer, bucket->next);
        msgpack_pack_uint32(packer, bucket->phase);
    }
}

static void
write_uint16(uint8_t *out, uint32_t value)
{
    out[0] = (uint8_t)(value >> 8);
    out[1] = (uint8_t)value;
}

static uint32_t
read_uint16(const uint8_t *in)
{
    return ((uint32_t)in[0] << 8) | in[1];
}

static void
pack_flows(msgpack_packer *packer, const mv_message_t *message)
{
    msgpack_pack_bin(packer, message->flow_count * FLOW_RECORD_BYTES);
    for (size_t i = 0; i < message->flow_count; i++) {
        const mv_flow_record_t *flow = &message->flows[i];
        uint8_t bytes[FLOW_RECORD_BYTES];
        write_uint16(bytes, flow->address >> 16);
        write_uint16(bytes + 2, flow->address);
        write_uint16(bytes + 4, flow->port);
        write_uint16(bytes + 6, flow->service);
        write_uint16(bytes + 8, flow->endpoint);
        write_uint16(bytes + 10,
                     MIN(flow->idle_ms / IDLE_UNIT_MS, UINT16_MAX));
        msgpack_pack_bin_body(packer, bytes, sizeof(bytes));
    }
}

static void
pack_loads(msgpack_packer *packer, const mv_message_t *message)
{
    msgpack_pack_array(packer, message->load_count);
    for (size_t i = 0; i < message->load_count; i++) {
        msgpack_pack_array(packer, LOAD_FIELDS);
        msgpack_pack_uint32(packer, message->loads[i].service);
        msgpack_pack_uint32(packer, message->loads[i].endpoint);
        msgpack_pack_int32(packer, message->loads[i].open);
        msgpack_pack_uint32(packer, message->loads[i].answered);
        msgpack_pack_uint32(packer, message->loads[i].unanswered);
        msgpack_pack_uint32(packer, message->loads[i].recorded_flows);
    }
}

static void
pack_slots(msgpack_packer *packer, const mv_message_t *message)
{
    msgpack_pack_array(packer, message->slot_count);
    for (size_t i = 0; i < message->slot_count; i++) {
        const mv_slot_record_t *slot = &message->slots[i];
        msgpack_pack_array(packer, SLOT_FIELDS);
        msgpack_pack_uint32(packer, slot->op);
        msgpack_pack_uint64(packer, slot->request);
        msgpack_pack_uint64(packer, slot->other);
        msgpack_pack_uint32(packer, slot->service);
        msgpack_pack_uint32(packer, slot->endpoint);
        msgpack_pack_uint32(packer, slot->work);
        msgpack_pack_uint32(packer, slot->node);
        msgpack_pack_uint32(packer, slot->member);
        msgpack_pack_uint32(packer, slot->remaining_ms);
        msgpack_pack_uint32(packer, slot->slot);
    }
}

static void
pack_claims(msgpack_packer *packer, const mv_message_t *message)
{
    msgpack_pack_array(packer, message->claim_count);
    for (size_t i = 0; i < message->claim_count; i++) {
        const mv_claim_record_t *claim = &message->claims[i];
        msgpack_pack_array(packer, CLAIM_FIELDS);
        msgpack_pack_uint32(packer, claim->op);
        msgpack_pack_uint64(packer, claim->key_high);
        msgpack_pack_uint64(packer, claim->key_low);
        msgpack_pack_uint32(packer, claim->state);
        msgpack_pack_uint32(packer, claim->node);
        msgpack_pack_uint64(packer, claim->request);
        msgpack_pack_uint32(packer, claim->age_ms);
        msgpack_pack_bin(packer, claim->length);
        if (claim->length > 0) {
            msgpack_pack_bin_body(packer, claim->bytes, claim->length);
        }
    }
}

bool
MvMessage_Encode(const mv_message_t *message, mv_buffer_t *out)
{
    msgpack_packer packer;
    size_t before = out->length;
    msgpack_packer_init(&packer, out, append_bytes);
    msgpack_pack_array(&packer, MESSAGE_FIELDS);
    msgpack_pack_uint32(&packer, message->kind);
    msgpack_pack_uint32(&packer, message->from);
    msgpack_pack_uint32(&packer, message->sequence);
    msgpack_pack_uint32(&packer, message->target);
    msgpack_pack_uint32(&packer, message->service);
    msgpack_pack_uint64(&packer, message->version);
    pack_members(&packer, message);
    pack_buckets(&packer, message);
    pack_flows(&packer, message);
    pack_loads(&packer, message);
    pack_slots(&packer, message);
    pack_claims(&packer, message);
    msgpack_pack_bin(&packer, message->blob_length);
    if (message->blob_length > 0) {
        msgpack_pack_bin_body(&packer, message->blob, message->blob_length);
    }
    return out->length > before;
}

/* Decoding */

static bool
get_uint(const msgpack_object *object, uint64_t limit, uint64_t *out)
{
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object->via.u64 > limit) {
        return false;
    }
    *out = object->via.u64;
    return true;
}

/* Reads an array of @count numbers, each at most @limit. */
static bool
get_row(const msgpack_object *object, uint32_t count, uint64_t limit,
        uint64_t *out)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size != count) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        if (!get_uint(&object->via.array.ptr[i], limit, &out[i])) {
            return false;
        }
    }
    return true;
}

static bool
get_members(const msgpack_object *object, mv_message_t *message)
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    message->member_count = object->via.array.size;
    message->members = g_new0(mv_member_update_t, message->member_count + 1);
    for (size_t i = 0; i < message->member_count; i++) {
        uint64_t row[MEMBER_FIELDS];
        if (!get_row(&object->via.array.ptr[i], MEMBER_FIELDS, UINT64_MAX,
                     row) ||
            row[0] >= MV_NO_NODE || row[1] > UINT32_MAX ||
            row[2] > MV_MEMBER_DEAD || row[3] > 1 || row[5] > UINT32_MAX ||
            row[6] > UINT32_MAX) {
            return false;
        }
        message->members[i] =
            (mv_member_update_t){.node = (uint32_t)row[0],
                                 .status_version = (uint32_t)row[1],
                                 .state = (uint32_t)row[2],
                                 .ready = (uint32_t)row[3],
                                 .config_version = row[4],
                                 .incarnation = (uint32_t)row[5],
                                 .data_centre = (uint32_t)row[6]};
    }
    return true;
}

static bool
get_buckets(const msgpack_object *object, mv_message_t *message)
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    message->bucket_count = object->via.array.size;
    message->buckets = g_new0(mv_bucket_update_t, message->bucket_count + 1);
    for (size_t i = 0; i < message->bucket_count; i++) {
        uint64_t row[BUCKET_FIELDS];
        if (!get_row(&object->via.array.ptr[i], BUCKET_FIELDS, UINT64_MAX,
                     row) ||
            row[1] >= MV_MAX_BUCKETS || row[2] > MV_NO_ENDPOINT ||
            row[3] > MV_NO_ENDPOINT || row[4] > MV_BUCKET_RECORDED) {
            return false;
        }
        message->buckets[i] =
            (mv_bucket_update_t){.version = row[0] ? row[0] : message->version,
                                 .bucket = (uint32_t)row[1],
                                 .endpoint = (uint32_t)row[2],
                                 .next = (uint32_t)row[3],
                                 .phase = (uint32_t)row[4]};
    }
    return true;
}

static bool
get_flows(const msgpack_object *object, mv_message_t *message)
{
    if (object->type != MSGPACK_OBJECT_BIN ||
        object->via.bin.size % FLOW_RECORD_BYTES) {
        return false;
    }
    const uint8_t *bytes = (const uint8_t *)object->via.bin.ptr;
    message->flow_count = object->via.bin.size / FLOW_RECORD_BYTES;
    message->flows = g_new0(mv_flow_record_t, message->flow_count + 1);
    for (size_t i = 0; i < message->flow_count;
         i++, bytes += FLOW_RECORD_BYTES) {
        message->flows[i] = (mv_flow_record_t){
            .address = read_uint16(bytes) << 16 | read_uint16(bytes + 2),
            .port = read_uint16(bytes + 4),
            .service = read_uint16(bytes + 6),
            .endpoint = read_uint16(bytes + 8),
            .idle_ms = read_uint16(bytes + 10) * IDLE_UNIT_MS,
        };
    }
    return true;
}

static bool
get_loads(const msgpack_object *object, mv_message_t *message)
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    /* Endpoint ids index arrays, so they are small; server tags use all 32
     * bits. */
    uint64_t endpoint_limit =
        message->kind == MV_MESSAGE_SERVERS ? UINT32_MAX : UINT16_MAX;
    message->load_count = object->via.array.size;
    message->loads = g_new0(mv_load_record_t, message->load_count + 1);
    for (size_t i = 0; i < message->load_count; i++) {
        const msgpack_object *row = &object->via.array.ptr[i];
        uint64_t service;
        uint64_t endpoint;
        uint64_t answered;
        uint64_t unanswered;
        uint64_t recorded_flows;
        if (row->type != MSGPACK_OBJECT_ARRAY ||
            row->via.array.size != LOAD_FIELDS ||
            !get_uint(&row->via.array.ptr[0], UINT16_MAX, &service) ||
            !get_uint(&row->via.array.ptr[1], endpoint_limit, &endpoint) ||
            !get_uint(&row->via.array.ptr[3], UINT32_MAX, &answered) ||
            !get_uint(&row->via.array.ptr[4], UINT32_MAX, &unanswered) ||
            !get_uint(&row->via.array.ptr[5], UINT32_MAX, &recorded_flows)) {
            return false;
        }
        const msgpack_object *open = &row->via.array.ptr[2];
        if ((open->type != MSGPACK_OBJECT_POSITIVE_INTEGER &&
             open->type != MSGPACK_OBJECT_NEGATIVE_INTEGER) ||
            open->via.i64 > INT32_MAX || open->via.i64 < INT32_MIN) {
            return false;
        }
        message->loads[i] =
            (mv_load_record_t){.service = (uint32_t)service,
                               .endpoint = (uint32_t)endpoint,
                               .open = (int32_t)open->via.i64,
                               .answered = (uint32_t)answered,
                               .unanswered = (uint32_t)unanswered,
                               .recorded_flows = (uint32_t)recorded_flows};
    }
    return true;
}

static bool
get_slots(const msgpack_object *object, mv_message_t *message)
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    message->slot_count = object->via.array.size;
    message->slots = g_new0(mv_slot_record_t, message->slot_count + 1);
    for (size_t i = 0; i < message->slot_count; i++) {
        uint64_t row[SLOT_FIELDS];
        if (!get_row(&object->via.array.ptr[i], SLOT_FIELDS, UINT64_MAX,
                     row) ||
            row[0] == 0 || row[0] >= MV_SLOT_OP_COUNT || row[3] > UINT16_MAX ||
            row[4] > UINT16_MAX || row[5] > UINT16_MAX ||
            row[6] > MV_NO_NODE || row[7] > UINT32_MAX ||
            row[8] > UINT32_MAX || row[9] > UINT32_MAX) {
            return false;
        }
        message->slots[i] =
            (mv_slot_record_t){.op = (uint32_t)row[0],
                               .request = row[1],
                               .other = row[2],
                               .service = (uint32_t)row[3],
                               .endpoint = (uint32_t)row[4],
                               .work = (uint32_t)row[5],
                               .node = (uint32_t)row[6],
                               .member = (uint32_t)row[7],
                               .remaining_ms = (uint32_t)row[8],
                               .slot = (uint32_t)row[9]};
    }
    return true;
}

static bool
get_claim(const msgpack_object *object, mv_claim_record_t *claim)
{
    uint64_t row[CLAIM_FIELDS - 1];
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size != CLAIM_FIELDS) {
        return false;
    }
    const msgpack_object *field = object->via.array.ptr;
    for (int i = 0; i < CLAIM_FIELDS - 1; i++) {
        if (!get_uint(&field[i], UINT64_MAX, &row[i])) {
            return false;
        }
    }
    const msgpack_object *bytes = &field[CLAIM_FIELDS - 1];
    if (row[0] == 0 || row[0] >= MV_CLAIM_OP_COUNT || row[3] > UINT8_MAX ||
        row[4] > MV_NO_NODE || row[6] > UINT32_MAX ||
        bytes->type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    *claim = (mv_claim_record_t){.op = (uint32_t)row[0],
                                 .key_high = row[1],
                                 .key_low = row[2],
                                 .state = (uint32_t)row[3],
                                 .node = (uint32_t)row[4],
                                 .request = row[5],
                                 .age_ms = (uint32_t)row[6],
                                 .length = bytes->via.bin.size};
    claim->bytes = g_memdup2(bytes->via.bin.ptr, claim->length);
    return true;
}

static bool
get_claims(const msgpack_object *object, mv_message_t *message)
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    message->claim_count = object->via.array.size;
    message->claims = g_new0(mv_claim_record_t, message->claim_count + 1);
    for (size_t i = 0; i < message->claim_count; i++) {
        if (!get_claim(&object->via.array.ptr[i], &message->claims[i])) {
            return false;
        }
    }
    return true;
}

static bool
get_message(const msgpack_object *object, mv_message_t *message)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size != MESSAGE_FIELDS) {
        return false;
    }
    const msgpack_object *field = object->via.array.ptr;
    uint64_t number[6];
    for (int i = 0; i < 6; i++) {
        uint64_t limit = i == 5 ? UINT64_MAX : UINT32_MAX;
        if (!get_uint(&field[i], limit, &number[i])) {
            return false;
        }
    }
    message->kind = (uint32_t)number[0];
    message->from = (uint32_t)number[1];
    message->sequence = (uint32_t)number[2];
    message->target = (uint32_t)number[3];
    message->service = (uint32_t)number[4];
    message->version = number[5];
    if (message->kind == 0 || message->kind >= MV_MESSAGE_KIND_COUNT ||
        message->from >= MV_NO_NODE || message->target > MV_NO_NODE ||
        message->service > UINT16_MAX) {
        return false;
    }
    if (!get_members(&field[6], message) || !get_buckets(&field[7], message) ||
        !get_flows(&field[8], message) || !get_loads(&field[9], message) ||
        !get_slots(&field[10], message) || !get_claims(&field[11], message) ||
        field[12].type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    message->blob_length = field[12].via.bin.size;
    message->blob = g_malloc(message->blob_length + 1);
    memcpy(message->blob, field[12].via.bin.ptr, message->blob_length);
    message->blob[message->blob_length] = '\0';
    return true;
}

static uint64_t
read_big_endian(const uint8_t *data, size_t length)
{
    uint64_t value = 0;
    for (size_t i = 0; i < length; i++) {
        value = value << 8 | data[i];
    }
    return value;
}

/*
 * Computes the size of the msgpack item at @data, without the elements of an
 * array; @elements is set to their number.  Supports only the types that
 * MvMsgpack_IsBounded() accepts.
 *
 * Return: 0 when the item has another type or is truncated.
 */
static size_t
item_size(const uint8_t *data, size_t left, uint64_t *elements)
{
    static const uint8_t int_bytes[] = {1, 2, 4, 8, 1, 2, 4, 8};
    uint8_t type = data[0];
    size_t prefix = 0;
    *elements = 0;
    if (type <= 0x7f || type >= 0xe0) {
        return 1; /* Positive or negative fixint. */
    }
    if (type == 0xc0) {
        return 1; /* Nil. */
    }
    if (type >= 0x90 && type <= 0x9f) {
        *elements = type & 0x0f;
        return 1; /* Header of a fixarray. */
    }
    /* Unsigned and signed integers of 8 to 64 bits. */
    if (type >= 0xcc && type <= 0xd3) {
        size_t size = 1 + int_bytes[type - 0xcc];
        return size <= left ? size : 0;
    }
    /* Binary data with a length of 8, 16 or 32 bits. */
    if (type >= 0xc4 && type <= 0xc6) {
        prefix = (size_t)1 << (type - 0xc4);
    }
    /* Arrays with an element count of 16 or 32 bits. */
    if (type == 0xdc || type == 0xdd) {
        prefix = type == 0xdc ? 2 : 4;
    }
    if (prefix == 0 || left < 1 + prefix) {
        return 0;
    }
    uint64_t count = read_big_endian(data + 1, prefix);
    if (type >= 0xdc) {
        *elements = count;
        return 1 + prefix;
    }
    return count <= left - 1 - prefix ? 1 + prefix + (size_t)count : 0;
}

bool
MvMsgpack_IsBounded(const uint8_t *data, size_t length)
{
    size_t offset = 0;
    while (offset < length) {
        uint64_t elements = 0;
        size_t size = item_size(data + offset, length - offset, &elements);
        if (size == 0 || elements > length - offset) {
            return false;
        }
        offset += size;
    }
    return true;
}

mv_message_t *
MvMessage_Decode(const uint8_t *data, size_t length)
{
    msgpack_unpacked result;
    size_t offset = 0;
    msgpack_unpacked_init(&result);
    mv_message_t *message = NULL;
    if (MvMsgpack_IsBounded(data, length) &&
        msgpack_unpack_next(&result, (const char *)data, length, &offset) ==
            MSGPACK_UNPACK_SUCCESS &&
        offset == length) {
        message = g_new0(mv_message_t, 1);
        if (!get_message(&result.data, message)) {
            MvMessage_Free(message);
            message = NULL;
        }
    }
    msgpack_unpacked_destroy(&result);
    return message;
}

void
MvMessage_Free(mv_message_t *message)
{
    if (!message) {
        return;
    }
    g_free(message->members);
    g_free(message->buckets);
    g_free(message->flows);
    g_free(message->loads);
    g_free(message->slots);
    for (size_t i = 0; message->claims && i < message->claim_count; i++) {
        g_free(message->claims[i].bytes);
    }
    g_free(message->claims);
    g_free(message->blob);
    g_free(message);
}
