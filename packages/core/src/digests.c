/*
 * Anti-entropy of bucket states.
 *
 * Announcements are sent to live members only.  While membership views differ,
 * around a partition or a restart, an announcement can miss a member.  Each
 * node therefore sends a digest of each bucket group to one random live member
 * every digest_interval, which replies with its states of the groups that
 * differ.
 */
#include "node_private.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* Newer versions may still be in transit and are not compared. */
#define MIN_VERSION_AGE (3 * MV_SECOND)

typedef uint16_t digests_t[MV_GROUPS];

/* @max_version makes the digests differ between rounds, so that a hash
 * collision does not hide a difference for ever. */
static uint16_t
digest_of(uint16_t service, uint32_t bucket, uint64_t version,
          uint64_t max_version)
{
    uint64_t key[3] = {(uint64_t)service << 32 | bucket, version, max_version};
    return (uint16_t)XXH3_64bits(key, sizeof(key));
}

/* Digests of all bucket states up to version @max_version; buckets that never
 * moved have version 0 and are left out. */
static void
compute_digests(const mv_node_t *node, uint64_t max_version, digests_t out)
{
    memset(out, 0, sizeof(digests_t));
    for (guint i = 0; i < node->services->len; i++) {
        const mv_node_service_t *state = g_ptr_array_index(node->services, i);
        uint16_t id = state->config->id;
        for (uint32_t b = 0; b < state->count; b++) {
            uint64_t version = state->buckets[b].version;
            if (version > 0 && version <= max_version) {
                out[MvGroup_Of(id, b)] ^=
                    digest_of(id, b, version, max_version);
            }
        }
    }
    for (uint32_t group = 0; group < MV_GROUPS; group++) {
        out[group] = GUINT16_TO_LE(out[group]);
    }
}

static mv_node_id_t
choose_peer(mv_node_t *node)
{
    guint total = node->members->len;
    const mv_member_t *preferred =
        MvMembers_Find(node, node->next_digest_peer);
    node->next_digest_peer = MV_NO_NODE;
    if (preferred && MvMembers_IsLive(preferred)) {
        return preferred->id;
    }
    guint start =
        total ? (guint)g_rand_int_range(node->random, 0, (gint32)total) : 0;
    for (guint i = 0; i < total; i++) {
        const mv_member_t *member =
            g_ptr_array_index(node->members, (start + i) % total);
        if (MvMembers_IsLive(member)) {
            return member->id;
        }
    }
    return MV_NO_NODE;
}

void
MvDigests_Timer(mv_node_t *node, mv_time_t now)
{
    if (now < node->next_digests || !node->deployment || node->left) {
        return;
    }
    node->next_digests = now + node->settings.digest_interval;
    mv_node_id_t to = choose_peer(node);
    uint64_t max_version = MvBuckets_VersionAt(node, now - MIN_VERSION_AGE);
    digests_t digests;
    if (to == MV_NO_NODE) {
        return;
    }
    compute_digests(node, max_version, digests);
    mv_message_t message = {.kind = MV_MESSAGE_DIGESTS,
                            .version = max_version,
                            .sequence = (uint32_t)node->deployment->version,
                            .blob = (char *)digests,
                            .blob_length = sizeof(digests)};
    MvNode_Send(node, to, &message);
}

static void
send_differing_groups(mv_node_t *node, mv_node_id_t to,
                      const mv_node_service_t *state, const bool *differs)
{
    GArray *updates = g_array_new(FALSE, FALSE, sizeof(mv_bucket_update_t));
    for (uint32_t b = 0; b < state->count; b++) {
        const mv_bucket_t *bucket = &state->buckets[b];
        if (bucket->version > 0 && differs[MvGroup_Of(state->config->id, b)]) {
            mv_bucket_update_t update = {.version = bucket->version,
                                         .bucket = b,
                                         .endpoint = bucket->endpoint,
                                         .next = bucket->next,
                                         .phase = bucket->phase};
            g_array_append_val(updates, update);
        }
    }
    if (updates->len > 0) {
        mv_message_t message = {
            .kind = MV_MESSAGE_BUCKETS,
            .service = state->config->id,
            .bucket_count = updates->len,
            .buckets = (mv_bucket_update_t *)(void *)updates->data};
        MvNode_Send(node, to, &message);
    }
    g_array_unref(updates);
}

void
MvDigests_Message(mv_node_t *node, const mv_message_t *message)
{
    digests_t own;
    digests_t theirs;
    bool differs[MV_GROUPS];
    bool any_differs = false;
    if (message->kind != MV_MESSAGE_DIGESTS || !node->deployment ||
        message->blob_length != sizeof(theirs) ||
        message->sequence != (uint32_t)node->deployment->version) {
        return;
    }
    memcpy(theirs, message->blob, sizeof(theirs));
    compute_digests(node, message->version, own);
    for (uint32_t group = 0; group < MV_GROUPS; group++) {
        differs[group] = own[group] != theirs[group];
        any_differs = any_differs || differs[group];
    }
    for (guint i = 0; any_differs && i < node->services->len; i++) {
        send_differing_groups(node, (mv_node_id_t)message->from,
                              g_ptr_array_index(node->services, i), differs);
    }
}
