/* Signed frames with protection against replay. */
#include "masticvane/net.h"

#include "keyring.h"

#include <arpa/inet.h>
#include <endian.h>
#include <sodium.h>
#include <string.h>

#define REPLAY_WINDOW_FRAMES 64

/* Replay window of one channel of a sender: bit i of @seen is set when the
 * frame with the sequence number @highest - i was accepted. */
typedef struct replay_window {
    uint64_t highest;
    uint64_t seen;
} replay_window_t;

struct mv_frame_codec {
    const mv_keyring_t *keyring;
    mv_node_id_t sender;
    uint16_t channel;
    uint64_t sequence;
    GHashTable *windows;
};

/* Keys */

static bool
parse_key(const char *line, mv_key_t *key)
{
    char *end = NULL;
    guint64 id = g_ascii_strtoull(line, &end, 10);
    size_t length = 0;
    if (end == line || *end != ' ' || id > UINT8_MAX) {
        return false;
    }
    key->id = (uint8_t)id;
    return sodium_hex2bin(key->bytes, MV_KEY_BYTES, end + 1, strlen(end + 1),
                          NULL, &length, NULL) == 0 &&
           length == MV_KEY_BYTES;
}

mv_keyring_t *
MvKeyring_Parse(const char *file, const char *text, const char *deployment,
                mv_findings_t *findings)
{
    mv_keyring_t *keyring = g_new0(mv_keyring_t, 1);
    size_t before = MvFindings_Count(findings);
    char **lines = g_strsplit(text, "\n", -1);
    crypto_generichash(keyring->deployment, sizeof(keyring->deployment),
                       (const unsigned char *)deployment, strlen(deployment),
                       NULL, 0);
    for (int i = 0; lines[i]; i++) {
        g_strstrip(lines[i]);
        if (!*lines[i] || *lines[i] == ';') {
            continue;
        }
        if (keyring->count == MV_MAX_KEYS ||
            !parse_key(lines[i], &keyring->keys[keyring->count])) {
            MvFindings_Add(findings, file, i + 1, "key",
                           "expected at most %d lines \"ID HEX\" with ID from "
                           "0 to 255 and HEX of 64 digits",
                           MV_MAX_KEYS);
            continue;
        }
        keyring->count++;
    }
    if (keyring->count == 0) {
        MvFindings_Add(findings, file, 0, "key",
                       "no key found; at least one is required");
    }
    for (int i = 0; lines[i]; i++) {
        sodium_memzero(lines[i], strlen(lines[i]));
    }
    g_strfreev(lines);
    if (MvFindings_Count(findings) > before) {
        MvKeyring_Destroy(keyring);
        return NULL;
    }
    return keyring;
}

void
MvKeyring_Destroy(mv_keyring_t *keyring)
{
    if (!keyring) {
        return;
    }
    sodium_memzero(keyring, sizeof(*keyring));
    g_free(keyring);
}

const mv_key_t *
MvKeyring_Find(const mv_keyring_t *keyring, uint8_t id)
{
    for (unsigned i = 0; i < keyring->count; i++) {
        if (keyring->keys[i].id == id) {
            return &keyring->keys[i];
        }
    }
    return NULL;
}

/* Frames */

mv_frame_codec_t *
MvFrameCodec_Create(const mv_keyring_t *keyring, mv_node_id_t sender,
                    uint16_t channel, uint64_t first_sequence)
{
    mv_frame_codec_t *codec = g_new0(mv_frame_codec_t, 1);
    codec->keyring = keyring;
    codec->sender = sender;
    codec->channel = channel;
    codec->sequence = first_sequence;
    codec->windows =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    return codec;
}

void
MvFrameCodec_Destroy(mv_frame_codec_t *codec)
{
    if (!codec) {
        return;
    }
    g_hash_table_unref(codec->windows);
    g_free(codec);
}

static void
compute_mac(const mv_keyring_t *keyring, const mv_key_t *key,
            const void *bytes, size_t length, uint8_t mac[MV_MAC_BYTES])
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, key->bytes, MV_KEY_BYTES, MV_MAC_BYTES);
    crypto_generichash_update(&state, keyring->deployment,
                              sizeof(keyring->deployment));
    crypto_generichash_update(&state, bytes, length);
    crypto_generichash_final(&state, mac, MV_MAC_BYTES);
}

bool
MvFrameCodec_Encode(mv_frame_codec_t *codec, mv_frame_type_t type,
                    const void *body, size_t length, mv_buffer_t *out)
{
    const mv_key_t *key = &codec->keyring->keys[0];
    uint8_t mac[MV_MAC_BYTES];
    size_t start = out->length;
    if (length > MV_FRAME_MAX_BODY_BYTES) {
        return false;
    }
    mv_frame_header_t header = {
        .length = htonl((uint32_t)(length + MV_MAC_BYTES)),
        .version = MV_FRAME_VERSION,
        .type = (uint8_t)type,
        .key_id = key->id,
        .sender = htons(codec->sender),
        .channel = htons(codec->channel),
        .sequence = htobe64(++codec->sequence),
    };
    if (!MvBuffer_Append(out, &header, sizeof(header)) ||
        !MvBuffer_Append(out, body, length)) {
        out->length = start;
        return false;
    }
    compute_mac(codec->keyring, key, out->data + start,
                sizeof(header) + length, mac);
    if (!MvBuffer_Append(out, mac, sizeof(mac))) {
        out->length = start;
        return false;
    }
    return true;
}

static bool
is_replay(mv_frame_codec_t *codec, uint16_t sender, uint16_t channel,
          uint64_t sequence)
{
    gpointer key = GUINT_TO_POINTER(((guint)channel << 16) | sender);
    replay_window_t *window = g_hash_table_lookup(codec->windows, key);
    if (!window) {
        window = g_new0(replay_window_t, 1);
        window->highest = sequence;
        window->seen = 1;
        g_hash_table_insert(codec->windows, key, window);
        return false;
    }
    if (sequence > window->highest) {
        uint64_t shift = sequence - window->highest;
        window->seen =
            shift < REPLAY_WINDOW_FRAMES ? window->seen << shift : 0;
        window->seen |= 1;
        window->highest = sequence;
        return false;
    }
    uint64_t age = window->highest - sequence;
    if (age >= REPLAY_WINDOW_FRAMES || (window->seen & (1ULL << age))) {
        return true;
    }
    window->seen |= 1ULL << age;
    return false;
}

mv_frame_status_t
MvFrameCodec_Decode(mv_frame_codec_t *codec, const uint8_t *data,
                    size_t length, mv_frame_t *frame)
{
    mv_frame_header_t header;
    uint8_t mac[MV_MAC_BYTES];
    if (length < sizeof(header)) {
        return MV_FRAME_INCOMPLETE;
    }
    memcpy(&header, data, sizeof(header));
    size_t body_and_mac = ntohl(header.length);
    const mv_key_t *key = MvKeyring_Find(codec->keyring, header.key_id);
    if (header.version != MV_FRAME_VERSION || header.reserved != 0 ||
        body_and_mac < MV_MAC_BYTES ||
        body_and_mac > MV_FRAME_MAX_BODY_BYTES + MV_MAC_BYTES || !key ||
        header.type < MV_FRAME_MESSAGE || header.type > MV_FRAME_RESPONSE) {
        return MV_FRAME_INVALID;
    }
    if (length < sizeof(header) + body_and_mac) {
        return MV_FRAME_INCOMPLETE;
    }
    size_t body = body_and_mac - MV_MAC_BYTES;
    compute_mac(codec->keyring, key, data, sizeof(header) + body, mac);
    if (sodium_memcmp(mac, data + sizeof(header) + body, sizeof(mac)) != 0 ||
        is_replay(codec, ntohs(header.sender), ntohs(header.channel),
                  be64toh(header.sequence))) {
        return MV_FRAME_INVALID;
    }
    *frame = (mv_frame_t){.type = (mv_frame_type_t)header.type,
                          .sender = ntohs(header.sender),
                          .body = data + sizeof(header),
                          .length = body,
                          .size = sizeof(header) + body_and_mac};
    return MV_FRAME_VALID;
}
