/* Updates the replica by lists and watches of the store. */
#include "masticvane/replica.h"

#include <string.h>

#define WHOLE_STORE ""
#define LARGE_VALUE_BYTES 4096
/* A call that is answered this much later than it should be shows that the
 * store has an outage. */
#define LATE_REPLY_TIME (300 * MV_MILLISECOND)

typedef enum phase {
    PHASE_LIST,
    PHASE_WATCH,
} phase_t;

struct mv_follower {
    mv_follower_settings_t settings;
    mv_store_t *store;
    mv_replica_t *replica;
    GRand *random;
    phase_t phase;
    bool is_active;
    bool is_calling;
    bool is_complete;
    bool is_reachable;
    bool requires_fresh_list;
    bool needs_contact;    /* the next watch returns soon */
    mv_time_t now;         /* of the last timer call */
    bool has_reply;        /* since the last timer call */
    bool has_failure;      /* since the last timer call */
    bool has_watched;      /* since the last timer call */
    mv_time_t delay;       /* the next timer call adds it to its time */
    mv_time_t complete_at; /* see MvFollower_CompleteAt() */
    mv_time_t list_began;  /* call of the first page */
    mv_time_t watch_until; /* the store answers the last watch until then */
    mv_time_t reply_due;   /* of the outstanding call */
    mv_time_t failed_at;   /* last failure, 0 for none */
    mv_time_t next_call;
    mv_time_t last_contact;
    mv_time_t failing_since; /* 0 while calls succeed */
    mv_time_t back_off;
    unsigned relists;
    mv_replica_list_t *list; /* NULL before the first page */
    char *next_page;         /* NULL for the first one */
};

mv_follower_settings_t
MvFollowerSettings_Default(void)
{
    return (mv_follower_settings_t){
        .watch_timeout = MV_SECOND,
        .contact_timeout = 20 * MV_MILLISECOND,
        .coalesce_delay = 400 * MV_MILLISECOND,
        .back_off = 100 * MV_MILLISECOND,
        .max_back_off = MV_SECOND,
    };
}

mv_follower_t *
MvFollower_Create(const mv_follower_settings_t *settings, mv_store_t *store,
                  mv_replica_t *replica, GRand *random)
{
    mv_follower_t *follower = g_new0(mv_follower_t, 1);
    follower->settings = *settings;
    follower->store = store;
    follower->replica = replica;
    follower->random = random;
    follower->back_off = settings->back_off;
    follower->is_active = true;
    return follower;
}

void
MvFollower_Destroy(mv_follower_t *follower)
{
    if (!follower) {
        return;
    }
    MvReplicaList_Destroy(follower->list);
    g_free(follower->next_page);
    g_free(follower);
}

static void
restart_list(mv_follower_t *follower, bool requires_fresh_list)
{
    follower->phase = PHASE_LIST;
    follower->requires_fresh_list = requires_fresh_list;
    g_clear_pointer(&follower->list, MvReplicaList_Destroy);
    g_clear_pointer(&follower->next_page, g_free);
}

static void
note_success(mv_follower_t *follower)
{
    follower->has_reply = true;
    follower->is_reachable = true;
    follower->delay = 0;
    follower->back_off = follower->settings.back_off;
}

/* Jitter spreads the retries of many nodes over one back-off delay. */
static void
note_failure(mv_follower_t *follower)
{
    double jitter = g_rand_double_range(follower->random, 0.5, 1.5);
    follower->is_reachable = false;
    follower->has_failure = true;
    follower->delay = (mv_time_t)(jitter * (double)follower->back_off);
    follower->back_off =
        MIN(2 * follower->back_off, follower->settings.max_back_off);
    if (follower->phase == PHASE_LIST) {
        restart_list(follower, follower->requires_fresh_list);
    }
}

static void
end_list(mv_follower_t *follower)
{
    g_clear_pointer(&follower->next_page, g_free);
    MvReplicaList_Finish(g_steal_pointer(&follower->list), follower->now);
    follower->phase = PHASE_WATCH;
    follower->is_complete = true;
    /* A stale list may be older than the call of its first page. */
    if (follower->requires_fresh_list) {
        follower->complete_at = follower->list_began;
    }
    follower->requires_fresh_list = false;
}

static void
apply_list_reply(mv_follower_t *follower, const mv_store_items_t *items)
{
    /* A page that leads to itself would be read for ever. */
    bool is_stuck =
        items->next && !g_strcmp0(items->next, follower->next_page);
    if (items->outcome != MV_STORE_DONE || is_stuck) {
        note_failure(follower);
        return;
    }
    note_success(follower);
    MvReplicaList_AddPage(follower->list, items->revision);
    for (size_t i = 0; i < items->count; i++) {
        MvReplicaList_Apply(follower->list, follower->now, &items->items[i]);
    }
    if (items->next) {
        g_free(follower->next_page);
        follower->next_page = g_strdup(items->next);
        return;
    }
    end_list(follower);
}

/* The call counts as outstanding until its reply has been applied. */
static void
handle_list_reply(void *context, const mv_store_items_t *items)
{
    mv_follower_t *follower = context;
    apply_list_reply(follower, items);
    follower->is_calling = false;
}

/* Whether a later item of the reply holds the same key. */
static bool
is_superseded(const mv_store_items_t *items, size_t position)
{
    const mv_store_item_t *item = &items->items[position];
    for (size_t i = position + 1; i < items->count; i++) {
        const mv_store_item_t *later = &items->items[i];
        if (later->revision > item->revision &&
            !strcmp(later->key, item->key)) {
            return true;
        }
    }
    return false;
}

/* Of a large value only the last change counts: to handle the others may take
 * longer than they were in force. */
static void
apply_changes(mv_follower_t *follower, const mv_store_items_t *items)
{
    for (size_t i = 0; i < items->count; i++) {
        const mv_store_item_t *item = &items->items[i];
        if (item->length < LARGE_VALUE_BYTES || !is_superseded(items, i)) {
            MvReplica_Apply(follower->replica, follower->now, item);
        }
    }
}

static void
apply_watch_reply(mv_follower_t *follower, const mv_store_items_t *items)
{
    if (items->outcome == MV_STORE_REFUSED) {
        /* The list must not be stale, or it could be older than the
         * replica. */
        note_success(follower);
        follower->relists++;
        restart_list(follower, true);
        return;
    }
    if (items->outcome != MV_STORE_DONE) {
        note_failure(follower);
        return;
    }
    note_success(follower);
    apply_changes(follower, items);
    MvReplica_Advance(follower->replica, items->revision);
    follower->has_watched = true;
    if (items->count > 0) {
        follower->delay = follower->settings.coalesce_delay;
    }
}

static void
handle_watch_reply(void *context, const mv_store_items_t *items)
{
    mv_follower_t *follower = context;
    apply_watch_reply(follower, items);
    follower->is_calling = false;
}

static void
list_next_page(mv_follower_t *follower)
{
    if (!follower->list) {
        follower->list = MvReplicaList_Create(follower->replica);
        follower->list_began = follower->now;
    }
    follower->reply_due = follower->now + LATE_REPLY_TIME;
    /* The first list may be stale: the watch returns the changes since its
     * oldest page. */
    bool stale = !follower->is_complete && !follower->requires_fresh_list;
    follower->store->ops->list(follower->store, WHOLE_STORE,
                               follower->next_page, stale, handle_list_reply,
                               follower);
}

static void
watch(mv_follower_t *follower)
{
    mv_time_t timeout = follower->needs_contact
                            ? follower->settings.contact_timeout
                            : follower->settings.watch_timeout;
    follower->needs_contact = false;
    follower->watch_until = follower->now + timeout;
    follower->reply_due = follower->watch_until + LATE_REPLY_TIME;
    follower->store->ops->watch(follower->store, WHOLE_STORE,
                                MvReplica_Revision(follower->replica), timeout,
                                handle_watch_reply, follower);
}

/* Callbacks of the store get no time, so replies are dated by the next timer
 * call. */
static void
record_reply(mv_follower_t *follower, mv_time_t now)
{
    follower->now = now;
    if (follower->has_reply) {
        follower->last_contact = now;
        follower->has_reply = false;
    }
    if (follower->has_watched) {
        /* The reply may have been read late, after a pause. */
        follower->complete_at = MIN(now, follower->watch_until);
        follower->has_watched = false;
    }
    if (follower->has_failure) {
        follower->failed_at = now;
        follower->has_failure = false;
    }
    if (follower->is_reachable) {
        follower->failing_since = 0;
    }
    else if (follower->failing_since == 0) {
        follower->failing_since = now;
    }
    if (follower->delay > 0) {
        follower->next_call = now + follower->delay;
        follower->delay = 0;
    }
}

mv_time_t
MvFollower_Timer(mv_follower_t *follower, mv_time_t now)
{
    record_reply(follower, now);
    bool is_idle = !follower->is_active && follower->is_complete;
    if (follower->is_calling || is_idle) {
        return MV_NEVER;
    }
    if (now < follower->next_call) {
        return follower->next_call;
    }
    follower->is_calling = true;
    if (follower->phase == PHASE_LIST) {
        list_next_page(follower);
    }
    else {
        watch(follower);
    }
    return MV_NEVER;
}

void
MvFollower_SetActive(mv_follower_t *follower, bool active)
{
    follower->needs_contact |= active && !follower->is_active;
    follower->is_active = active;
}

mv_time_t
MvFollower_LastContact(const mv_follower_t *follower)
{
    return follower->last_contact;
}

mv_time_t
MvFollower_CompleteAt(const mv_follower_t *follower)
{
    return follower->complete_at;
}

bool
MvFollower_HasFailedSince(const mv_follower_t *follower, mv_time_t since,
                          mv_time_t now)
{
    bool is_late = follower->is_calling && now > follower->reply_due;
    return is_late || follower->has_failure || follower->failed_at > since;
}

bool
MvFollower_IsComplete(const mv_follower_t *follower)
{
    return follower->is_complete;
}

mv_time_t
MvFollower_FailingSince(const mv_follower_t *follower)
{
    return follower->failing_since;
}

unsigned
MvFollower_Relists(const mv_follower_t *follower)
{
    return follower->relists;
}

bool
MvFollower_IsReachable(const mv_follower_t *follower)
{
    return follower->is_reachable;
}
