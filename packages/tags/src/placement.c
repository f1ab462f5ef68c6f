/* The server of a new flow: the one that will start it soonest. */
#include "forwarder_private.h"

/* A cold server takes about this much longer. */
#define COLD_FACTOR 1.6
/* A way into another data centre is worth a little more than a full server's
 * next flow, so that a free slot nearby goes first. */
#define FAR_COST 0.6
/* A server whose announcement vanished lives if it answered so lately. */
#define LIVES (MV_SECOND)
/* Costs closer than this are equal; one of the equals is drawn. */
#define EQUAL 1e-9

/**
 * struct candidates - How much of a service is announced and how much not.
 */
typedef struct candidates {
    unsigned announced;
    unsigned vanished;
} candidates_t;

static candidates_t
count_candidates(const mv_forwarder_t *forwarder,
                 const mv_table_service_t *service, mv_time_t now)
{
    candidates_t result = {0};
    for (unsigned i = 0; i < service->count; i++) {
        const mv_table_server_t *server =
            &forwarder->table->servers[service->servers[i]];
        result.announced += server->usable_until == MV_NEVER;
        result.vanished +=
            server->usable_until != MV_NEVER && now < server->usable_until;
    }
    return result;
}

static bool
was_offered(const mv_flow_t *flow, uint32_t tag)
{
    for (unsigned i = 0; flow && i < flow->offer_count; i++) {
        if (flow->offers[i] == tag) {
            return true;
        }
    }
    return false;
}

static double
cost_of(const mv_table_server_t *server, const mv_standing_t *standing,
        mv_time_t now)
{
    double slots = MAX(server->server.slots, 1);
    double cost = (standing->outstanding + 1) / slots;
    if (now < server->warmup_until) {
        cost *= COLD_FACTOR;
    }
    return server->is_local ? cost : cost + FAR_COST;
}

/* What must not be, if anything else can: silent, failing, or offered before.
 */
static int
rank_of(const mv_forwarder_t *forwarder, unsigned position,
        const mv_flow_t *avoid, mv_time_t now)
{
    const mv_standing_t *standing = forwarder->by_position[position];
    int rank = MvStanding_IsAvoided(standing, now) ? 2 : 0;
    return rank + (was_offered(avoid, standing->tag) ? 1 : 0);
}

/**
 * struct choice - The best server so far.
 */
typedef struct choice {
    int position;
    int rank;
    double cost;
    unsigned equals;
} choice_t;

static void
consider(const mv_forwarder_t *forwarder, choice_t *best, unsigned position,
         int rank, double cost)
{
    if (best->position >= 0 &&
        (rank > best->rank ||
         (rank == best->rank && cost > best->cost + EQUAL))) {
        return;
    }
    bool is_equal =
        best->position >= 0 && rank == best->rank && cost > best->cost - EQUAL;
    unsigned equals = is_equal ? best->equals + 1 : 1;
    if (is_equal &&
        g_rand_int_range(forwarder->random, 0, (gint32)equals) != 0) {
        best->equals = equals;
        return;
    }
    *best = (choice_t){(int)position, rank, cost, equals};
}

int
MvPlacement_Choose(mv_forwarder_t *forwarder, mv_time_t now, unsigned service,
                   const mv_flow_t *avoid)
{
    const mv_table_service_t *entry = &forwarder->table->services[service];
    candidates_t count = count_candidates(forwarder, entry, now);
    bool trust_vanished = count.vanished > count.announced;
    choice_t best = {.position = -1};
    for (unsigned i = 0; i < entry->count; i++) {
        unsigned position = entry->servers[i];
        const mv_table_server_t *server = &forwarder->table->servers[position];
        const mv_standing_t *standing = forwarder->by_position[position];
        bool lives = trust_vanished || now - standing->heard_at < LIVES;
        bool is_usable = server->usable_until == MV_NEVER ||
                         (lives && now < server->usable_until);
        if (!is_usable || standing->outstanding >= entry->flow_limit) {
            continue;
        }
        consider(forwarder, &best, position,
                 rank_of(forwarder, position, avoid, now),
                 cost_of(server, standing, now));
    }
    return best.position;
}
