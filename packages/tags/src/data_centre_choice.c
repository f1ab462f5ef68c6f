/* Choice of the data centre whose servers may take a new flow: the own one, or
 * another one for the part of the flows that spill.c says. */
#include "forwarder_private.h"

/* Bytes in a megabyte, as operators price it. */
#define MEGABYTE 1e6
/* A part of the flows that leaves is logged from here on. */
#define LOGGED_AWAY 0.05

/**
 * struct site - A data centre with servers that may take a flow.
 * @data_centre: hash of its name
 * @is_home: it is the own one
 * @slots: slots of these servers
 * @cost: expected time until the answer, with the price of travel and bytes
 */
typedef struct site {
    uint32_t data_centre;
    bool is_home;
    unsigned slots;
    mv_time_t cost;
} site_t;

typedef struct sites {
    unsigned count;
    site_t all[MV_SPILL_DATA_CENTRES];
} sites_t;

static site_t *
find_or_add(sites_t *sites, const mv_table_server_t *server)
{
    for (unsigned i = 0; i < sites->count; i++) {
        if (sites->all[i].data_centre == server->data_centre) {
            return &sites->all[i];
        }
    }
    if (sites->count == MV_SPILL_DATA_CENTRES) {
        return NULL;
    }
    site_t *site = &sites->all[sites->count++];
    *site = (site_t){.data_centre = server->data_centre,
                     .is_home = server->is_local};
    return site;
}

static sites_t
list_sites(const mv_forwarder_t *forwarder, unsigned service, mv_time_t now)
{
    const mv_table_t *table = forwarder->table;
    const mv_table_service_t *entry = &table->services[service];
    sites_t sites = {.count = 0};
    for (unsigned i = 0; i < entry->count; i++) {
        const mv_table_server_t *server = &table->servers[entry->servers[i]];
        const mv_server_health_t *health =
            forwarder->health_by_position[entry->servers[i]];
        if (now >= server->usable_until ||
            MvServerHealth_IsAvoided(health, now)) {
            continue;
        }
        site_t *site = find_or_add(&sites, server);
        if (site) {
            site->slots += server->server.slots;
        }
    }
    return sites;
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
        const site_t *site, mv_time_t now, const mv_flow_name_t *name)
{
    mv_time_t cost = MvSpill_AnswerTime(spill, now, site->data_centre) +
                     handshake_time(forwarder, site->data_centre);
    if (site->is_home) {
        return cost;
    }
    double megabytes = MvExchange_AnswerBytes(forwarder, name) / MEGABYTE;
    return cost + (mv_time_t)(megabytes * (double)forwarder->megabyte_price);
}

/* Return: a remote site, the cheaper ones and those with more slots more
 * often, so that nodes do not all choose the same one. */
static const site_t *
draw_remote(const mv_forwarder_t *forwarder, const sites_t *sites)
{
    double weights[MV_SPILL_DATA_CENTRES] = {0};
    double all = 0;
    for (unsigned i = 0; i < sites->count; i++) {
        const site_t *site = &sites->all[i];
        double cost = (double)MAX(site->cost, 1);
        weights[i] = site->is_home ? 0 : site->slots / (cost * cost);
        all += weights[i];
    }
    double point = g_rand_double(forwarder->random) * all;
    const site_t *chosen = NULL;
    for (unsigned i = 0; i < sites->count && point >= 0; i++) {
        chosen = weights[i] > 0 ? &sites->all[i] : chosen;
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
    sites_t sites = list_sites(forwarder, service, now);
    const site_t *home = NULL;
    const site_t *best = NULL;
    for (unsigned i = 0; i < sites.count; i++) {
        site_t *site = &sites.all[i];
        site->cost = cost_of(forwarder, &load->spill, site, now, name);
        if (site->is_home) {
            home = site;
        }
        else if (!best || site->cost < best->cost) {
            best = site;
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
    const site_t *chosen = g_rand_double(forwarder->random) < away
                               ? draw_remote(forwarder, &sites)
                               : home;
    return chosen->data_centre;
}
