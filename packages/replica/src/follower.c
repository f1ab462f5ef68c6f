/* Lists and watches that keep the copy fresh. */
#include "masticvane/replica.h"

#define WHOLE_STORE ""

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
    bool wants_fresh;
    mv_time_t now;
    bool has_heard;
    mv_time_t pause;
    mv_time_t next_call;
    mv_time_t heard_at;
    mv_time_t back_off;
    uint64_t list_revision;
    char *list_after;
};

mv_follower_settings_t
MvFollowerSettings_Default(void)
{
    return (mv_follower_settings_t){
        .watch_timeout = MV_SECOND,
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
    g_free(follower->list_after);
    g_free(follower);
}

static void
restart_list(mv_follower_t *follower, bool fresh)
{
    follower->phase = PHASE_LIST;
    follower->wants_fresh = fresh;
    g_clear_pointer(&follower->list_after, g_free);
}

static void
note_success(mv_follower_t *follower)
{
    follower->has_heard = true;
    follower->is_reachable = true;
    follower->pause = 0;
    follower->back_off = follower->settings.back_off;
}

/* Retries of many nodes are spread over a whole pause. */
static void
note_failure(mv_follower_t *follower)
{
    double share = g_rand_double_range(follower->random, 0.5, 1.5);
    follower->is_reachable = false;
    follower->pause = (mv_time_t)(share * (double)follower->back_off);
    follower->back_off =
        MIN(2 * follower->back_off, follower->settings.max_back_off);
    if (follower->phase == PHASE_LIST) {
        restart_list(follower, follower->wants_fresh);
    }
}

static void
apply_all(mv_follower_t *follower, const mv_store_items_t *items)
{
    for (size_t i = 0; i < items->count; i++) {
        MvReplica_Apply(follower->replica, follower->now, &items->items[i]);
    }
}

static void
end_list(mv_follower_t *follower)
{
    g_clear_pointer(&follower->list_after, g_free);
    MvReplica_EndList(follower->replica, follower->now,
                      follower->list_revision);
    follower->phase = PHASE_WATCH;
    follower->is_complete = true;
    follower->wants_fresh = false;
}

static void
listed(void *context, const mv_store_items_t *items)
{
    mv_follower_t *follower = context;
    follower->is_calling = false;
    if (items->outcome != MV_STORE_DONE) {
        note_failure(follower);
        return;
    }
    note_success(follower);
    if (!follower->list_after) {
        /* Pages are no snapshot: the watch repeats all since the first. */
        follower->list_revision = items->revision;
    }
    apply_all(follower, items);
    if (items->more && items->count > 0) {
        g_free(follower->list_after);
        follower->list_after = g_strdup(items->items[items->count - 1].key);
        return;
    }
    end_list(follower);
}

static void
watched(void *context, const mv_store_items_t *items)
{
    mv_follower_t *follower = context;
    follower->is_calling = false;
    if (items->outcome == MV_STORE_REFUSED) {
        /* The history is gone, and old reads may be behind the copy. */
        note_success(follower);
        restart_list(follower, true);
        return;
    }
    if (items->outcome != MV_STORE_DONE) {
        note_failure(follower);
        return;
    }
    note_success(follower);
    apply_all(follower, items);
    MvReplica_Advance(follower->replica, items->revision);
    if (items->count > 0) {
        follower->pause = follower->settings.coalesce_delay;
    }
}

static void
begin_list(mv_follower_t *follower)
{
    if (!follower->list_after) {
        MvReplica_BeginList(follower->replica);
    }
    /* A first list may be old: the watch behind it catches up at once. */
    bool stale = !follower->is_complete && !follower->wants_fresh;
    follower->store->ops->list(follower->store, WHOLE_STORE,
                               follower->list_after, stale, listed, follower);
}

/* Answers come between two timers; they count from the later one. */
static void
settle(mv_follower_t *follower, mv_time_t now)
{
    follower->now = now;
    if (follower->has_heard) {
        follower->heard_at = now;
        follower->has_heard = false;
    }
    if (follower->pause > 0) {
        follower->next_call = now + follower->pause;
        follower->pause = 0;
    }
}

mv_time_t
MvFollower_Timer(mv_follower_t *follower, mv_time_t now)
{
    settle(follower, now);
    bool rests = !follower->is_active && follower->is_complete;
    if (follower->is_calling || rests) {
        return MV_NEVER;
    }
    if (now < follower->next_call) {
        return follower->next_call;
    }
    follower->is_calling = true;
    if (follower->phase == PHASE_LIST) {
        begin_list(follower);
    }
    else {
        follower->store->ops->watch(follower->store, WHOLE_STORE,
                                    MvReplica_Revision(follower->replica),
                                    follower->settings.watch_timeout, watched,
                                    follower);
    }
    return MV_NEVER;
}

void
MvFollower_SetActive(mv_follower_t *follower, bool active)
{
    follower->is_active = active;
}

mv_time_t
MvFollower_LastContact(const mv_follower_t *follower)
{
    return follower->heard_at;
}

bool
MvFollower_IsComplete(const mv_follower_t *follower)
{
    return follower->is_complete;
}

bool
MvFollower_IsReachable(const mv_follower_t *follower)
{
    return follower->is_reachable;
}
