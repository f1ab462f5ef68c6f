/* Choice of the data centre whose servers may take a new flow: the own one, or
 * another one for the part of the flows that spill.c says. */
#include "forwarder_private.h"

/* Bytes in a megabyte, as operators price it. */
#define MEGABYTE 1e6
/* A part of the flows that leaves is logged from here on. */
#define LOGGED_AWAY 0.05

/**
 * struct candidate - A data centre with servers that may take a flow.
 * @data_centre: hash of its name
 * @is_home: it is the own one
 * @slots: slots of these servers
 * @cost: expected time until the answer, with the price of travel and bytes
 */
typedef struct candidate {
    uint32_t data_centre;
    bool is_home;
    unsigned slots;
    mv_time_t cost;
} candidate_t;

typedef struct candidates {
    unsigned count;
    candidate_t all[MV_SPILL_DATA_CENTRES];
} candidates_t;

static candidate_t *
find_or_add(candidates_t *candidates, const mv_table_server_t *server)
{
    for (unsigned i = 0; i < candidates->count; i++) {
        if (candidates->all[i].data_centre == server->data_centre) {
            return &candidates->all[i];
        }
    }
    if (candidates->count == MV_SPILL_DATA_CENTRES) {
        return NULL;
    }
    candidate_t *candidate = &candidates->all[candidates->count++];
    *candidate = (candidate_t){.data_centre = server->data_centre,
                               .is_home = server->is_local};
    return candidate;
}

static candidates_t
list_candidates(const mv_forwarder_t *forwarder, unsigned service,
                mv_time_t now)
{
    const mv_table_t *table = forwarder->table;
    const mv_table_service_t *entry = &table->services[service];
    candidates_t candidates = {.count = 0};
    for (unsigned i = 0; i < entry->count; i++) {
        const mv_table_server_t *server = &table->servers[entry->servers[i]];
        const mv_server_health_t *health =
            forwarder->health_by_position[entry->servers[i]];
        if (now >= server->usable_until ||
            MvServerHealth_IsAvoided(health, now)) {
            continue;
        }
        candidate_t *candidate = find_or_add(&candidates, server);
        if (candidate) {
            candidate->slots += server->server.slots;
        }
    }
    return candidates;
}

/* Time from a SYN to the caller's next packet, 0 when none has been seen. */
static mv_time_t
handshake_time(const mv_forwarder_t *forwarder, uint32_t data_centre)
{
    const mv_data_centre_health_t *health = g_hash_table_lookup(
        forwarder->data_centre_health, GUINT_TO_POINTER(data_centre));
    return health ? health->smoothed : 0;
}

static mv_time_t
cost_of(const mv_forwarder_t *forwarder, const mv_spill_t *spill,
        const candidate_t *candidate, mv_time_t now,
        const mv_flow_name_t *name)
{
    mv_time_t cost = MvSpill_AnswerTime(spill, now, candidate->data_centre) +
                     handshake_time(forwarder, candidate->data_centre);
    if (candidate->is_home) {
        return cost;
    }
    double megabytes = MvExchange_AnswerBytes(forwarder, name) / MEGABYTE;
    return cost + (mv_time_t)(megabytes * (double)forwarder->megabyte_price);
}

/* Return: a remote candidate, the cheaper ones and those with more slots more
 * often, so that nodes do not all choose the same one. */
static const candidate_t *
draw_remote(const mv_forwarder_t *forwarder, const candidates_t *candidates)
{
    double weights[MV_SPILL_DATA_CENTRES] = {0};
    double all = 0;
    for (unsigned i = 0; i < candidates->count; i++) {
        const candidate_t *candidate = &candidates->all[i];
        double cost = (double)MAX(candidate->cost, 1);
        weights[i] = candidate->is_home ? 0 : candidate->slots / (cost * cost);
        all += weights[i];
    }
    double point = g_rand_double(forwarder->random) * all;
    const candidate_t *chosen = NULL;
    for (unsigned i = 0; i < candidates->count && point >= 0; i++) {
        chosen = weights[i] > 0 ? &candidates->all[i] : chosen;
        point -= weights[i];
    }
    return chosen;
}

static void
log_change(mv_forwarder_t *forwarder, mv_service_load_t *load)
{
    double away = load->spill.away;
    if (!load->is_spilling && away >= LOGGED_AWAY) {
        load->is_spilling = true;
        forwarder->ops->event(forwarder->context, MV_EVENT_SPILL_BEGAN, 0,
                              (int64_t)(away * 100));
    }
    else if (load->is_spilling && away == 0) {
        load->is_spilling = false;
        forwarder->ops->event(forwarder->context, MV_EVENT_SPILL_ENDED, 0, 0);
    }
}

uint32_t
MvDataCentre_Choose(mv_forwarder_t *forwarder, mv_time_t now, unsigned service,
                    const mv_flow_name_t *name)
{
    const mv_table_route_t *route =
        MvTable_Route(forwarder->table, name->address, name->port);
    mv_service_load_t *load = MvService_Load(forwarder, service);
    candidates_t candidates = list_candidates(forwarder, service, now);
    const candidate_t *home = NULL;
    const candidate_t *best = NULL;
    for (unsigned i = 0; i < candidates.count; i++) {
        candidate_t *candidate = &candidates.all[i];
        candidate->cost =
            cost_of(forwarder, &load->spill, candidate, now, name);
        if (candidate->is_home) {
            home = candidate;
        }
        else if (!best || candidate->cost < best->cost) {
            best = candidate;
        }
    }
    if (!home || !best) {
        return 0;
    }
    const mv_spill_prospects_t prospects = {
        .at_home = home->cost,
        .elsewhere = best->cost,
        .wait_elsewhere = MvSpill_Wait(&load->spill, now, best->data_centre),
        .is_seen = MvSpill_IsSeen(&load->spill, now, best->data_centre),
        .target = route ? route->route.target_latency : 0,
    };
    double away = MvSpill_Update(&load->spill, now, &prospects);
    log_change(forwarder, load);
    const candidate_t *chosen = g_rand_double(forwarder->random) < away
                                    ? draw_remote(forwarder, &candidates)
                                    : home;
    return chosen->data_centre;
}
