/* Whether the server of an open flow has ended. */
#include "ended.h"

/* Time in which a server that lives is expected to show it after the store
 * says that another one has its address. */
#define CONFIRMATION_TIME (100 * MV_MILLISECOND)
/* What callers acknowledge this much later was sent by a server that lives.
 * Before, it may have been under way when the server ended. */
#define TRAVEL_TIME (500 * MV_MILLISECOND)
/* A sign of life from before counts for this long. */
#define LIFE_TIME MV_SECOND
/* Time without a sign of life, and number of requests sent again, after which
 * a server that left the store has ended.  Callers send a packet again after
 * 200 and 400 ms, and a server that lives acknowledges a repeated packet at
 * once. */
#define SILENCE_TIME (500 * MV_MILLISECOND)
#define MIN_REPEATS 2
/* A server that starts is known to a node in touch within this time
 * (docs/design/feed.md). */
#define MAX_KNOWLEDGE_DELAY (3 * MV_SECOND)
/* Maximum number of unknown tags: servers that ended at about the same time.
 */
#define MAX_UNKNOWN_TAGS 1024
#define UNKNOWN_TAG_LIFETIME (20 * MV_SECOND)

void
MvLiveness_NoteAnswer(mv_liveness_t *liveness, mv_time_t now)
{
    *liveness = (mv_liveness_t){.answered_at = now};
}

void
MvLiveness_NoteRequest(mv_liveness_t *liveness, mv_time_t now, bool is_repeat)
{
    liveness->repeats += is_repeat;
    if (liveness->unanswered_since == 0) {
        liveness->unanswered_since = now;
    }
}

bool
MvLiveness_HasEnded(const mv_liveness_t *liveness, mv_time_t now,
                    mv_time_t ended_at, bool is_replaced)
{
    if (now < ended_at) {
        return false;
    }
    if (is_replaced) {
        return now - ended_at >= CONFIRMATION_TIME &&
               liveness->answered_at < ended_at + TRAVEL_TIME &&
               (liveness->answered_at < ended_at ||
                now - liveness->answered_at >= LIFE_TIME);
    }
    return liveness->unanswered_since > 0 &&
           now - liveness->unanswered_since >= SILENCE_TIME &&
           liveness->repeats >= MIN_REPEATS;
}

/* Unknown tags */

/**
 * struct unknown_tag - Tag of packets that name no known server.
 * @first_at: arrival of the first packet
 * @last_at: arrival of the last one
 */
typedef struct unknown_tag {
    mv_time_t first_at;
    mv_time_t last_at;
} unknown_tag_t;

struct mv_unknown_tags {
    GHashTable *by_tag;
};

mv_unknown_tags_t *
MvUnknownTags_Create(void)
{
    mv_unknown_tags_t *tags = g_new0(mv_unknown_tags_t, 1);
    tags->by_tag = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return tags;
}

void
MvUnknownTags_Destroy(mv_unknown_tags_t *tags)
{
    if (!tags) {
        return;
    }
    g_hash_table_unref(tags->by_tag);
    g_free(tags);
}

bool
MvUnknownTags_HasEnded(mv_unknown_tags_t *tags, mv_time_t now, uint32_t tag,
                       mv_time_t in_touch_since)
{
    gpointer key = GUINT_TO_POINTER(tag);
    unknown_tag_t *unknown = g_hash_table_lookup(tags->by_tag, key);
    if (!unknown) {
        if (g_hash_table_size(tags->by_tag) >= MAX_UNKNOWN_TAGS) {
            return false;
        }
        unknown = g_new0(unknown_tag_t, 1);
        unknown->first_at = now;
        g_hash_table_insert(tags->by_tag, key, unknown);
    }
    unknown->last_at = now;
    mv_time_t known_since = MAX(unknown->first_at, in_touch_since);
    return known_since != MV_NEVER && now - known_since >= MAX_KNOWLEDGE_DELAY;
}

static gboolean
is_old(gpointer key, gpointer value, gpointer context)
{
    const unknown_tag_t *unknown = value;
    const mv_time_t *now = context;
    (void)key;
    return *now - unknown->last_at > UNKNOWN_TAG_LIFETIME;
}

void
MvUnknownTags_Expire(mv_unknown_tags_t *tags, mv_time_t now)
{
    g_hash_table_foreach_remove(tags->by_tag, is_old, &now);
}
