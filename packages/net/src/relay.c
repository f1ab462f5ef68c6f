/* Signed header of packets that one entry VM relays to another. */
#include "masticvane/net.h"

#include "keyring.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <string.h>

#define RELAY_MAGIC 0x4d56
/* The MAC covers the start of the packet, which identifies it by addresses,
 * ports and sequence number. */
#define SIGNED_PACKET_BYTES 40

typedef struct relay_header {
    uint16_t magic;
    uint16_t sender;
    uint8_t version;
    uint8_t hops;
    uint8_t key_id;
    uint8_t reserved;
    uint8_t mac[crypto_shorthash_BYTES];
} __attribute__((packed)) relay_header_t;

#define SIGNED_HEADER_BYTES offsetof(relay_header_t, mac)

G_STATIC_ASSERT(sizeof(relay_header_t) == MV_RELAY_HEADER_BYTES);

static void
compute_mac(const mv_keyring_t *keyring, const mv_key_t *key,
            const relay_header_t *header, const uint8_t *packet, size_t length,
            uint8_t *mac)
{
    uint8_t input[sizeof(keyring->deployment) + SIGNED_HEADER_BYTES +
                  SIGNED_PACKET_BYTES];
    size_t signed_bytes = MIN(length, SIGNED_PACKET_BYTES);
    memset(input, 0, sizeof(input));
    memcpy(input, keyring->deployment, sizeof(keyring->deployment));
    memcpy(input + sizeof(keyring->deployment), header, SIGNED_HEADER_BYTES);
    memcpy(input + sizeof(keyring->deployment) + SIGNED_HEADER_BYTES, packet,
           signed_bytes);
    /* SipHash uses the first 16 bytes of the key. */
    crypto_shorthash(mac, input, sizeof(input), key->bytes);
}

void
MvRelayHeader_Write(const mv_keyring_t *keyring, mv_node_id_t sender,
                    uint8_t hops, const uint8_t *packet, size_t length,
                    uint8_t *out)
{
    relay_header_t header = {.magic = htons(RELAY_MAGIC),
                             .sender = htons(sender),
                             .version = MV_FRAME_VERSION,
                             .hops = hops,
                             .key_id = keyring->keys[0].id};
    compute_mac(keyring, &keyring->keys[0], &header, packet, length,
                header.mac);
    memcpy(out, &header, sizeof(header));
}

bool
MvRelayHeader_Verify(const mv_keyring_t *keyring, const uint8_t *data,
                     size_t length, uint8_t *hops)
{
    relay_header_t header;
    uint8_t mac[crypto_shorthash_BYTES];
    if (length < sizeof(header)) {
        return false;
    }
    memcpy(&header, data, sizeof(header));
    const mv_key_t *key = MvKeyring_Find(keyring, header.key_id);
    if (ntohs(header.magic) != RELAY_MAGIC ||
        header.version != MV_FRAME_VERSION || header.hops == 0 || !key) {
        return false;
    }
    compute_mac(keyring, key, &header, data + sizeof(header),
                length - sizeof(header), mac);
    if (sodium_memcmp(mac, header.mac, sizeof(mac)) != 0) {
        return false;
    }
    *hops = header.hops;
    return true;
}
