/* Whether the server of an open flow has ended. */
#include "forwarder_private.h"

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
/* Maximum number of flows with unknown tags: those that were open at servers
 * which ended before this node started. */
#define MAX_UNKNOWN_FLOWS 1024
/* Callers send a packet again at least this often; after a longer pause it may
 * be another flow with the same addresses and ports. */
#define MAX_PAUSE (2 * MV_SECOND)

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

/* Flows with unknown tags */

/**
 * struct unknown_flow - A flow whose packets name no known server.
 * @name: its addresses and ports
 * @tag: the tag
 * @first_at: arrival of its first packet
 * @last_at: arrival of its last one
 */
typedef struct unknown_flow {
    mv_flow_name_t name;
    uint32_t tag;
    mv_time_t first_at;
    mv_time_t last_at;
} unknown_flow_t;

struct mv_unknown_flows {
    GHashTable *by_name;
};

mv_unknown_flows_t *
MvUnknownFlows_Create(void)
{
    mv_unknown_flows_t *flows = g_new0(mv_unknown_flows_t, 1);
    flows->by_name =
        g_hash_table_new_full(MvFlowName_Hash, MvFlowName_Equal, NULL, g_free);
    return flows;
}

void
MvUnknownFlows_Destroy(mv_unknown_flows_t *flows)
{
    if (!flows) {
        return;
    }
    g_hash_table_unref(flows->by_name);
    g_free(flows);
}

/* Return: NULL when there are too many. */
static unknown_flow_t *
find_or_add(mv_unknown_flows_t *flows, const mv_flow_name_t *name)
{
    unknown_flow_t *flow = g_hash_table_lookup(flows->by_name, name);
    if (flow || g_hash_table_size(flows->by_name) >= MAX_UNKNOWN_FLOWS) {
        return flow;
    }
    flow = g_new0(unknown_flow_t, 1);
    flow->name = *name;
    g_hash_table_insert(flows->by_name, &flow->name, flow);
    return flow;
}

bool
MvUnknownFlows_IsProven(mv_unknown_flows_t *flows, mv_time_t now,
                        const mv_flow_name_t *name, uint32_t tag,
                        mv_time_t complete_at)
{
    unknown_flow_t *flow = find_or_add(flows, name);
    if (!flow) {
        return false;
    }
    if (flow->tag != tag || now - flow->last_at > MAX_PAUSE) {
        flow->tag = tag;
        flow->first_at = now;
    }
    flow->last_at = now;
    return complete_at - flow->first_at >= MV_ANNOUNCEMENT_DELAY;
}

static gboolean
is_old(gpointer key, gpointer value, gpointer context)
{
    const unknown_flow_t *flow = value;
    const mv_time_t *now = context;
    (void)key;
    return *now - flow->last_at > MAX_PAUSE;
}

void
MvUnknownFlows_Expire(mv_unknown_flows_t *flows, mv_time_t now)
{
    g_hash_table_foreach_remove(flows->by_name, is_old, &now);
}
