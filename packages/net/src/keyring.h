/**
 * DOC: The keys behind a keyring.
 */
#ifndef MV_NET_KEYRING_H
#define MV_NET_KEYRING_H

#include "masticvane/net.h"

/** Keys valid at once: the old and the new one during a roll. */
#define MV_MAX_KEYS 2

/**
 * struct mv_key - One key.
 * @id: number that frames carry
 * @bytes: the key
 */
typedef struct mv_key {
    uint8_t id;
    uint8_t bytes[MV_KEY_BYTES];
} mv_key_t;

struct mv_keyring {
    unsigned count;
    mv_key_t keys[MV_MAX_KEYS];
    uint8_t deployment[16];
};

/** MvKeyring_Find() - Key by number, or NULL. */
const mv_key_t *MvKeyring_Find(const mv_keyring_t *keyring, uint8_t id);

#endif
