/**
 * DOC: Content of a keyring.
 */
#ifndef MV_NET_KEYRING_H
#define MV_NET_KEYRING_H

#include "masticvane/net.h"

/** Most keys that are valid at once: old and new during a key rotation. */
#define MV_MAX_KEYS 2

/**
 * struct mv_key - One signing key.
 * @id: key id in frames and relay headers
 * @bytes: the key
 */
typedef struct mv_key {
    uint8_t id;
    uint8_t bytes[MV_KEY_BYTES];
} mv_key_t;

/**
 * struct mv_keyring - Keys of a deployment.
 * @count: entries in @keys
 * @keys: the first one signs, all verify
 * @deployment: BLAKE2b hash of the deployment's name, included in every MAC
 */
struct mv_keyring {
    unsigned count;
    mv_key_t keys[MV_MAX_KEYS];
    uint8_t deployment[16];
};

/** MvKeyring_Find() - Return the key with @id, or NULL. */
const mv_key_t *MvKeyring_Find(const mv_keyring_t *keyring, uint8_t id);

#endif
