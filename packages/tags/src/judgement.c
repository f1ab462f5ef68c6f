/* Which servers and data centres are silent, as callers' packets tell. */
#include "forwarder_private.h"

#define FIRST_WAIT (60 * MV_MILLISECOND)
#define LEAST_WAIT (25 * MV_MILLISECOND)
#define LONGEST_WAIT (150 * MV_MILLISECOND)
#define DEVIATIONS 4
/* Weights of a new sample, as in TCP's retransmission timer. */
#define SMOOTHING 8
#define DEVIATION_SMOOTHING 4

/* One packet may be lost; several in a row hardly are. */
#define DOUBT (250 * MV_MILLISECOND)
#define SURE_FAILURES 2
#define FIRST_BACK_OFF (500 * MV_MILLISECOND)
#define LONGEST_BACK_OFF (4 * MV_SECOND)
/* Silent servers without a sign of life that condemn a data centre. */
#define SITE_SERVERS 2

static mv_site_t *
find_site(mv_forwarder_t *forwarder, uint32_t data_centre)
{
    gpointer key = GUINT_TO_POINTER(data_centre);
    mv_site_t *site = g_hash_table_lookup(forwarder->sites, key);
    if (!site) {
        site = g_new0(mv_site_t, 1);
        site->data_centre = data_centre;
        site->back_off = FIRST_BACK_OFF;
        g_hash_table_insert(forwarder->sites, key, site);
    }
    return site;
}

mv_standing_t *
MvStanding_Of(mv_forwarder_t *forwarder, unsigned position)
{
    const mv_table_server_t *server = &forwarder->table->servers[position];
    gpointer key = GUINT_TO_POINTER(server->tag);
    mv_standing_t *standing = g_hash_table_lookup(forwarder->standings, key);
    if (!standing) {
        standing = g_new0(mv_standing_t, 1);
        standing->tag = server->tag;
        standing->server = server->server.id;
        standing->site = find_site(forwarder, server->data_centre);
        standing->back_off = FIRST_BACK_OFF;
        g_hash_table_insert(forwarder->standings, key, standing);
    }
    return standing;
}

mv_standing_t *
MvStanding_Find(const mv_forwarder_t *forwarder, uint32_t tag)
{
    return g_hash_table_lookup(forwarder->standings, GUINT_TO_POINTER(tag));
}

static void
add_sample(mv_site_t *site, mv_time_t took)
{
    if (site->smoothed == 0) {
        site->smoothed = took;
        site->deviation = took / 2;
        return;
    }
    mv_time_t error = took - site->smoothed;
    site->smoothed += error / SMOOTHING;
    site->deviation += (ABS(error) - site->deviation) / DEVIATION_SMOOTHING;
}

mv_time_t
MvSite_Wait(const mv_site_t *site)
{
    if (site->smoothed == 0) {
        return FIRST_WAIT;
    }
    mv_time_t wait = site->smoothed + DEVIATIONS * site->deviation;
    return CLAMP(wait, LEAST_WAIT, LONGEST_WAIT);
}

void
MvStanding_Heard(mv_forwarder_t *forwarder, mv_standing_t *standing,
                 mv_time_t now, mv_time_t offered_at)
{
    mv_site_t *site = standing->site;
    if (offered_at > 0) {
        add_sample(site, now - offered_at);
        MvCounters_AddLatency(forwarder->counters, MV_LATENCY_OPENING,
                              now - offered_at);
    }
    if (standing->failures >= SURE_FAILURES) {
        forwarder->ops->event(forwarder->context, MV_EVENT_ENDPOINT_ANSWERS,
                              standing->server, standing->failures);
    }
    if (site->silent_until > 0) {
        forwarder->ops->event(forwarder->context, MV_EVENT_SITE_ANSWERS,
                              standing->server, site->data_centre);
    }
    standing->heard_at = now;
    standing->failures = 0;
    standing->silent_until = 0;
    standing->trial_until = 0;
    standing->back_off = FIRST_BACK_OFF;
    site->heard_at = now;
    site->silent_servers = 0;
    site->silent_until = 0;
    site->trial_until = 0;
    site->back_off = FIRST_BACK_OFF;
}

static void
judge_site(mv_forwarder_t *forwarder, mv_site_t *site, mv_time_t now,
           uint64_t server)
{
    if (site->silent_servers < SITE_SERVERS || now < site->silent_until) {
        return;
    }
    site->silent_until = now + site->back_off;
    site->back_off = MIN(2 * site->back_off, LONGEST_BACK_OFF);
    forwarder->ops->event(forwarder->context, MV_EVENT_SITE_SILENT, server,
                          site->data_centre);
}

void
MvStanding_Silent(mv_forwarder_t *forwarder, mv_standing_t *standing,
                  mv_time_t now, mv_time_t offered_at)
{
    mv_site_t *site = standing->site;
    if (standing->heard_at >= offered_at || now < standing->silent_until) {
        return;
    }
    standing->failures++;
    MvCounters_Add(forwarder->counters, MV_COUNTER_SERVERS_SILENT, 1);
    if (site->heard_at < offered_at && standing->failures == 1) {
        site->silent_servers++;
    }
    judge_site(forwarder, site, now, standing->server);
    if (standing->failures < SURE_FAILURES) {
        standing->silent_until = now + DOUBT;
        return;
    }
    if (standing->failures == SURE_FAILURES) {
        forwarder->ops->event(forwarder->context, MV_EVENT_ENDPOINT_SILENT,
                              standing->server, standing->back_off);
    }
    standing->silent_until = now + standing->back_off;
    standing->back_off = MIN(2 * standing->back_off, LONGEST_BACK_OFF);
}

void
MvStanding_Offered(mv_standing_t *standing, mv_time_t now)
{
    mv_site_t *site = standing->site;
    if (standing->failures >= SURE_FAILURES) {
        standing->trial_until = now + LONGEST_WAIT;
    }
    if (site->silent_servers >= SITE_SERVERS) {
        site->trial_until = now + LONGEST_WAIT;
    }
}

bool
MvStanding_IsSilent(const mv_standing_t *standing, mv_time_t now)
{
    const mv_site_t *site = standing->site;
    return now < MAX(standing->silent_until, standing->trial_until) ||
           now < MAX(site->silent_until, site->trial_until);
}
