/* Writes this node's record and the signing keys into the store. */
#include <string.h>
#include <xxhash.h>

#include "masticvane/replica.h"

/* Liveness is decided by heartbeats between nodes; the lease only removes
 * records of nodes that do not return. */
#define LEASE_TTL (10 * MV_MINUTE)
#define RENEW_INTERVAL (LEASE_TTL / 3)
/* Nodes that start together spread their first writes over this time. */
#define START_JITTER (400 * MV_MILLISECOND)
/* A node without signing keys waits this long before it makes new ones: the
 * store may have lost them, and the nodes that have them write them again. */
#define NEW_KEYS_DELAY (300 * MV_MILLISECOND)
/* Nodes that write again what a restored store lacks do so within this time.
 */
#define REWRITE_JITTER (200 * MV_MILLISECOND)
#define RETRY_INTERVAL MV_SECOND
#define IDS_OF_A_TIER (MV_NO_NODE / MV_NODE_TIERS)
/* When the reply to a write was lost, the replica shows after this time
 * whether the write took effect. */
#define READ_BACK_DELAY (2 * MV_SECOND)

struct mv_registration {
    mv_node_record_t self;
    char *value;
    char *keys; /* signing keys, as last seen; NULL before */
    mv_store_t *store;
    const mv_replica_t *replica;
    GRand *random;
    const mv_registration_ops_t *ops;
    void *context;
    bool is_calling;
    bool has_delayed_first_write;
    bool has_lost_keys; /* they are to be written again */
    bool is_registered;
    uint64_t lease;
    mv_time_t delay; /* the next timer call adds it to its time */
    mv_time_t next_call;
    mv_time_t next_renewal;
};

mv_registration_t *
MvRegistration_Create(const mv_node_record_t *self, unsigned tier,
                      mv_store_t *store, const mv_replica_t *replica,
                      GRand *random, const mv_registration_ops_t *ops,
                      void *context)
{
    mv_registration_t *registration = g_new0(mv_registration_t, 1);
    registration->self = *self;
    registration->value = MvNodeRecord_Value(self);
    registration->store = store;
    registration->replica = replica;
    registration->random = random;
    registration->ops = ops;
    registration->context = context;
    /* The id tried first is a hash of the record, the same at every start. */
    uint64_t hash =
        XXH3_64bits(registration->value, strlen(registration->value));
    registration->self.id =
        (mv_node_id_t)(hash % IDS_OF_A_TIER * MV_NODE_TIERS + tier);
    return registration;
}

void
MvRegistration_Destroy(mv_registration_t *registration)
{
    if (!registration) {
        return;
    }
    g_free(registration->value);
    g_free(registration->keys);
    g_free(registration);
}

static void
retry_later(mv_registration_t *registration, mv_time_t delay)
{
    double jitter = g_rand_double_range(registration->random, 0.5, 1.5);
    registration->delay = (mv_time_t)(jitter * (double)delay);
}

/* The first node writes the signing keys; the others read them from the
 * replica. */
static void
handle_keys_reply(void *context, const mv_store_reply_t *reply)
{
    mv_registration_t *registration = context;
    registration->is_calling = false;
    retry_later(registration, reply->outcome == MV_STORE_FAILED
                                  ? RETRY_INTERVAL
                                  : READ_BACK_DELAY / 4);
}

static void
write_keys(mv_registration_t *registration)
{
    char *text = registration->keys
                     ? g_strdup(registration->keys)
                     : registration->ops->generate_keys(registration->context);
    registration->is_calling = true;
    registration->store->ops->put(registration->store, MV_SIGNING_KEYS, text,
                                  strlen(text), 0, handle_keys_reply,
                                  registration);
    g_free(text);
}

static void
become_registered(mv_registration_t *registration)
{
    registration->is_registered = true;
    registration->ops->registered(registration->context,
                                  registration->self.id);
}

static void
handle_node_reply(void *context, const mv_store_reply_t *reply)
{
    mv_registration_t *registration = context;
    registration->is_calling = false;
    switch (reply->outcome) {
    case MV_STORE_DONE:
        become_registered(registration);
        /* Another node may be the one that reads the record back. */
        retry_later(registration, READ_BACK_DELAY);
        break;
    case MV_STORE_REFUSED:
        /* The id is taken or the lease has expired; the replica will show
         * which. */
        registration->lease = 0;
        retry_later(registration, READ_BACK_DELAY / 4);
        break;
    default:
        retry_later(registration, READ_BACK_DELAY);
    }
}

static void
handle_lease_reply(void *context, const mv_store_reply_t *reply)
{
    mv_registration_t *registration = context;
    registration->is_calling = false;
    if (reply->outcome == MV_STORE_DONE && reply->index > 0) {
        registration->lease = reply->index;
        return;
    }
    retry_later(registration, RETRY_INTERVAL);
}

static void
handle_renewal_reply(void *context, const mv_store_reply_t *reply)
{
    mv_registration_t *registration = context;
    registration->is_calling = false;
    if (reply->outcome == MV_STORE_REFUSED) {
        registration->lease = 0;
    }
}

/* Return: value of this node's record in the replica, or NULL. */
static const char *
own_value(const mv_registration_t *registration)
{
    char *key = MvNodeRecord_Key(registration->self.id);
    const char *value = MvReplica_Value(registration->replica, key, NULL);
    g_free(key);
    return value;
}

static void
write_node(mv_registration_t *registration, mv_time_t now)
{
    char *key = MvNodeRecord_Key(registration->self.id);
    registration->is_calling = true;
    registration->next_renewal = now + RENEW_INTERVAL;
    registration->store->ops->put_leased(
        registration->store, key, registration->value,
        strlen(registration->value), 0, registration->lease, handle_node_reply,
        registration);
    g_free(key);
}

static void
renew(mv_registration_t *registration, mv_time_t now)
{
    registration->is_calling = true;
    registration->next_renewal = now + RENEW_INTERVAL;
    registration->store->ops->renew_lease(registration->store,
                                          registration->lease,
                                          handle_renewal_reply, registration);
}

/* Delays the first write so that nodes that start together do not write at
 * the same time. */
static bool
delay_first_write(mv_registration_t *registration)
{
    if (registration->has_delayed_first_write) {
        return false;
    }
    bool is_rewrite = registration->is_registered;
    double jitter = g_rand_double(registration->random);
    registration->has_delayed_first_write = true;
    registration->delay =
        1 + (mv_time_t)(jitter *
                        (double)(is_rewrite ? REWRITE_JITTER : START_JITTER));
    return true;
}

static void
remember_keys(mv_registration_t *registration)
{
    const char *keys =
        MvReplica_Value(registration->replica, MV_SIGNING_KEYS, NULL);
    if (g_strcmp0(keys, registration->keys) != 0) {
        g_free(registration->keys);
        registration->keys = g_strdup(keys);
    }
}

static void
run_next_step(mv_registration_t *registration, mv_time_t now)
{
    if (!MvReplica_Value(registration->replica, MV_SIGNING_KEYS, NULL)) {
        bool delays = delay_first_write(registration);
        if (delays && !registration->keys) {
            registration->delay += NEW_KEYS_DELAY;
        }
        if (!delays) {
            write_keys(registration);
        }
        return;
    }
    remember_keys(registration);
    const char *value = own_value(registration);
    if (value && !strcmp(value, registration->value)) {
        /* Written by an earlier incarnation, or by a write of this one whose
         * reply was lost. */
        if (!registration->is_registered) {
            become_registered(registration);
        }
        /* A write after the loss of the record is delayed again. */
        registration->has_delayed_first_write = false;
        if (registration->lease > 0 && now >= registration->next_renewal) {
            renew(registration, now);
        }
        registration->next_call = now + RETRY_INTERVAL;
        return;
    }
    if (value) {
        /* Another node has this id. */
        registration->self.id =
            (mv_node_id_t)((registration->self.id + MV_NODE_TIERS) %
                           (IDS_OF_A_TIER * MV_NODE_TIERS));
        return;
    }
    if (delay_first_write(registration)) {
        return;
    }
    if (registration->lease == 0) {
        registration->is_calling = true;
        registration->store->ops->lease(registration->store, LEASE_TTL,
                                        handle_lease_reply, registration);
        return;
    }
    write_node(registration, now);
}

/* Does not wait for the next call: a node that starts would make new keys. */
static void
notice_lost_keys(mv_registration_t *registration, mv_time_t now)
{
    bool are_lost =
        registration->keys &&
        !MvReplica_Value(registration->replica, MV_SIGNING_KEYS, NULL);
    if (are_lost && !registration->has_lost_keys) {
        registration->has_delayed_first_write = true;
        registration->next_call =
            now + (mv_time_t)(g_rand_double(registration->random) *
                              (double)REWRITE_JITTER);
    }
    registration->has_lost_keys = are_lost;
}

mv_time_t
MvRegistration_Timer(mv_registration_t *registration, mv_time_t now)
{
    notice_lost_keys(registration, now);
    if (registration->delay > 0) {
        registration->next_call = now + registration->delay;
        registration->delay = 0;
    }
    if (registration->is_calling) {
        return MV_NEVER;
    }
    if (now < registration->next_call) {
        return registration->next_call;
    }
    run_next_step(registration, now);
    if (registration->delay > 0) {
        registration->next_call = now + registration->delay;
        registration->delay = 0;
    }
    return registration->is_calling ? MV_NEVER : registration->next_call;
}
