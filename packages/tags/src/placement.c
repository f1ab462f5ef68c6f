/* Choice of the server for a new flow: the server that is expected to start
 * the flow's request first.  The cost of a server is its number of outstanding
 * flows per slot, the new flow included. */
#include "forwarder_private.h"

/* Requests take about this many times as long as usual during a server's
 * warm-up. */
#define WARMUP_FACTOR 1.6
/* Additional cost of a server in another data centre: a little more than the
 * cost of one flow at a server with two slots.  Among servers with at most two
 * slots, a free slot in the own data centre goes first. */
#define REMOTE_COST 0.6
/* A server whose announcement vanished is considered running when it answered
 * within this time. */
#define RECENT_CONTACT (MV_SECOND)
/* Costs closer than this are equal; one of the servers of equal
 * cost is chosen at random. */
#define COST_TOLERANCE 1e-9

/**
 * struct candidates - Servers of a service that take new flows.
 * @announced: number of announced ones
 * @vanished: number of those whose announcement vanished and whose grace
 *            period has not ended
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

static double
cost_of(const mv_table_server_t *server, const mv_server_health_t *health,
        mv_time_t now)
{
    double slots = MAX(server->server.slots, 1);
    double cost = (health->outstanding + 1) / slots;
    if (now < server->warmup_until) {
        cost *= WARMUP_FACTOR;
    }
    return server->is_local ? cost : cost + REMOTE_COST;
}

/**
 * struct choice - Best server so far.
 * @position: its position in the table, -1 for none
 * @is_avoided: it is avoided; any server that is not is preferred
 * @cost: its cost
 * @equals: number of servers as good as this one so far
 */
typedef struct choice {
    int position;
    bool is_avoided;
    double cost;
    unsigned equals;
} choice_t;

static void
update_choice(const mv_forwarder_t *forwarder, choice_t *best,
              unsigned position, bool is_avoided, double cost)
{
    bool is_comparable = best->position >= 0 && is_avoided == best->is_avoided;
    if ((best->position >= 0 && is_avoided && !best->is_avoided) ||
        (is_comparable && cost > best->cost + COST_TOLERANCE)) {
        return;
    }
    bool is_equal = is_comparable && cost > best->cost - COST_TOLERANCE;
    unsigned equals = is_equal ? best->equals + 1 : 1;
    if (is_equal &&
        g_rand_int_range(forwarder->random, 0, (gint32)equals) != 0) {
        best->equals = equals;
        return;
    }
    *best = (choice_t){(int)position, is_avoided, cost, equals};
}

/* Whether the server bears a new flow of this node while it warms up. */
static bool
bears_flow(const mv_table_service_t *service, const mv_table_server_t *server,
           const mv_server_health_t *health, mv_time_t now)
{
    return now >= server->warmup_until || !service->has_warmup_limit ||
           MvWarmup_MayTake(&health->warmup, now, service->warmup_share);
}

/* Return: the best server of @data_centre, or of all when it is 0; position -1
 * when there is none. */
static choice_t
choose_server(mv_forwarder_t *forwarder, mv_time_t now, unsigned service,
              uint32_t data_centre)
{
    const mv_table_service_t *entry = &forwarder->table->services[service];
    candidates_t count = count_candidates(forwarder, entry, now);
    bool are_vanished_running = count.vanished > count.announced;
    bool has_left_out = false;
    choice_t best = {.position = -1};
    for (unsigned i = 0; i < entry->count; i++) {
        unsigned position = entry->servers[i];
        const mv_table_server_t *server = &forwarder->table->servers[position];
        const mv_server_health_t *health =
            forwarder->health_by_position[position];
        bool is_running = are_vanished_running ||
                          now - health->last_contact_at < RECENT_CONTACT;
        bool is_usable = server->usable_until == MV_NEVER ||
                         (is_running && now < server->usable_until);
        if (!is_usable || health->outstanding >= entry->flow_limit ||
            (data_centre > 0 && server->data_centre != data_centre)) {
            continue;
        }
        if (!bears_flow(entry, server, health, now)) {
            has_left_out = true;
            continue;
        }
        update_choice(forwarder, &best, position,
                      MvServerHealth_IsAvoided(health, now),
                      cost_of(server, health, now));
    }
    MvCounters_Add(forwarder->counters, MV_COUNTER_WARMUP_LIMITED,
                   has_left_out);
    return best;
}

int
MvPlacement_Choose(mv_forwarder_t *forwarder, mv_time_t now, unsigned service,
                   const mv_flow_name_t *name)
{
    uint32_t data_centre =
        forwarder->megabyte_price == MV_NEVER
            ? 0
            : MvDataCentre_Choose(forwarder, now, service, name);
    choice_t best = choose_server(forwarder, now, service, data_centre);
    if (data_centre > 0 && (best.position < 0 || best.is_avoided)) {
        best = choose_server(forwarder, now, service, 0);
    }
    return best.position;
}
