/* Distribution of the configuration: every node gets the newest accepted
 * version, and none goes back to an older one. */
#include "node_private.h"

#include <stdlib.h>

#define PULL_INTERVAL (200 * MV_MILLISECOND)
#define EAGER_FANOUT 4
/* Time for which moves are deferred when a change arrives while a member is
 * dead. */
#define MOVES_DEFERRED_TIME (1 * MV_SECOND)

/* Sends the new version number to EAGER_FANOUT members that are behind; each
 * does the same once it has applied that configuration. */
static void
notify_members(mv_node_t *node)
{
    guint total = node->members->len;
    unsigned notified = 0;
    if (total == 0) {
        return;
    }
    guint start = (guint)g_rand_int_range(node->random, 0, (gint32)total);
    for (guint i = 0; i < total && notified < EAGER_FANOUT; i++) {
        mv_member_t *member =
            g_ptr_array_index(node->members, (start + i) % total);
        if (!MvMembers_IsLive(member) ||
            member->config_version >= node->deployment->version) {
            continue;
        }
        mv_member_update_t self = MvMembers_OwnUpdate(node);
        mv_message_t message = {.kind = MV_MESSAGE_PING,
                                .target = MV_NO_NODE,
                                .version = node->deployment->version,
                                .member_count = 1,
                                .members = &self};
        MvNode_Send(node, member->id, &message);
        notified++;
    }
}

bool
MvNode_Config(mv_node_t *node, mv_time_t now, mv_deployment_t *deployment)
{
    if (node->deployment && deployment->version <= node->deployment->version) {
        return false;
    }
    mv_deployment_t *old = node->deployment;
    node->deployment = MvDeployment_Ref(deployment);
    MvBuckets_ApplyConfig(node, now);
    MvRetirement_ApplyConfig(node, now);
    MvDeployment_Unref(old);
    node->effects->ops->event(node->effects, MV_EVENT_CONFIG_IN_FORCE,
                              node->settings.id, deployment->version);
    node->next_pull = 0;
    if (MvMembers_ProbeDead(node)) {
        /* Dead members may have applied this change already behind a
         * partition. */
        node->moves_deferred_until =
            MAX(node->moves_deferred_until, now + MOVES_DEFERRED_TIME);
    }
    notify_members(node);
    return true;
}

void
MvSpread_SendConfig(mv_node_t *node, mv_node_id_t to, uint64_t since)
{
    size_t length = 0;
    char *bytes = node->effects->ops->encode(node->effects, node->deployment,
                                             since, &length);
    if (!bytes) {
        return; /* The peer will request it again. */
    }
    mv_message_t answer = {.kind = MV_MESSAGE_CONFIG,
                           .version = node->deployment->version,
                           .blob = bytes,
                           .blob_length = length};
    MvNode_Send(node, to, &answer);
    free(bytes);
}

static void
answer_pull(mv_node_t *node, const mv_message_t *message)
{
    if (node->deployment && node->deployment->version > message->version) {
        MvSpread_SendConfig(node, (mv_node_id_t)message->from,
                            message->version);
    }
}

static void
handle_config(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    uint64_t own_version = node->deployment ? node->deployment->version : 0;
    if (message->version <= own_version) {
        return;
    }
    mv_deployment_t *deployment = node->effects->ops->decode(
        node->effects, message->blob, message->blob_length, node->deployment);
    /* Decoding fails when the base of an incremental encoding is not in force
     * here: request the whole configuration then. */
    node->pull_full_config = deployment == NULL;
    if (deployment) {
        MvNode_Config(node, now, deployment);
        MvDeployment_Unref(deployment);
    }
}

static void
pull_if_behind(mv_node_t *node, mv_time_t now, mv_node_id_t from,
               uint64_t version)
{
    uint64_t own_version = node->deployment ? node->deployment->version : 0;
    if (version <= own_version || now < node->next_pull) {
        return;
    }
    node->next_pull = now + PULL_INTERVAL;
    mv_message_t pull = {.kind = MV_MESSAGE_CONFIG_PULL,
                         .version = node->pull_full_config ? 0 : own_version};
    MvNode_Send(node, from, &pull);
}

void
MvSpread_Message(mv_node_t *node, mv_time_t now, const mv_message_t *message)
{
    switch (message->kind) {
    case MV_MESSAGE_PING:
    case MV_MESSAGE_ACK:
        pull_if_behind(node, now, (mv_node_id_t)message->from,
                       message->version);
        break;
    case MV_MESSAGE_CONFIG_PULL:
        answer_pull(node, message);
        break;
    case MV_MESSAGE_CONFIG:
        handle_config(node, now, message);
        break;
    default:
        break;
    }
}

/* Requests the configuration from members with a newer version, as an earlier
 * request or its answer may have been lost. */
void
MvSpread_Timer(mv_node_t *node, mv_time_t now)
{
    for (guint i = 0; i < node->members->len; i++) {
        mv_member_t *member = g_ptr_array_index(node->members, i);
        if (MvMembers_IsLive(member)) {
            pull_if_behind(node, now, member->id, member->config_version);
        }
    }
}
