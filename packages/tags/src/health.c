/* Passive health checks: detects servers and data centres that do not answer,
 * from the packets of callers alone. */
#include "forwarder_private.h"

/* Timeout of a SYN: smoothed answer time plus DEVIATION_FACTOR deviations,
 * between MIN_SYN_TIMEOUT and MAX_SYN_TIMEOUT; FIRST_SYN_TIMEOUT before the
 * data centre has answered any SYN. */
#define FIRST_SYN_TIMEOUT (60 * MV_MILLISECOND)
#define MIN_SYN_TIMEOUT (25 * MV_MILLISECOND)
#define MAX_SYN_TIMEOUT (150 * MV_MILLISECOND)
#define DEVIATION_FACTOR 4
/* Inverse weights of a new sample in the smoothed answer time and in the
 * deviation, as in TCP's retransmission timer. */
#define SMOOTHING 8
#define DEVIATION_SMOOTHING 4

/* Back-off after a single timeout: one packet may have been lost.  Several
 * packets in a row are rarely lost, so SILENT_AFTER_FAILURES timeouts start
 * the exponential back-off, from MIN_BACK_OFF to MAX_BACK_OFF. */
#define FIRST_FAILURE_BACK_OFF (250 * MV_MILLISECOND)
#define SILENT_AFTER_FAILURES 2
#define MIN_BACK_OFF (500 * MV_MILLISECOND)
#define MAX_BACK_OFF (4 * MV_SECOND)
/* Servers that must time out, with no answer from any server of the data
 * centre in between, before the whole data centre counts as silent. */
#define DATA_CENTRE_SILENT_SERVERS 2

static mv_data_centre_health_t *
find_data_centre(mv_forwarder_t *forwarder, uint32_t data_centre)
{
    gpointer key = GUINT_TO_POINTER(data_centre);
    mv_data_centre_health_t *dc_health =
        g_hash_table_lookup(forwarder->data_centre_health, key);
    if (!dc_health) {
        dc_health = g_new0(mv_data_centre_health_t, 1);
        dc_health->data_centre = data_centre;
        dc_health->back_off = MIN_BACK_OFF;
        g_hash_table_insert(forwarder->data_centre_health, key, dc_health);
    }
    return dc_health;
}

/* A server has started: the data centre may have returned, and is not left to
 * wait for the end of its back-off. */
static void
forget_silence(mv_data_centre_health_t *dc_health)
{
    dc_health->silent_servers = 0;
    dc_health->silent_until = 0;
    dc_health->trial_until = 0;
    dc_health->back_off = MIN_BACK_OFF;
}

/* What was open before a start of the server says nothing about it now.  Flows
 * that opened since, before this node knew of it, are rare. */
static void
release_open_flows(mv_forwarder_t *forwarder, const mv_server_health_t *health)
{
    MV_LIST_FOREACH(item, &forwarder->open)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, link);
        if (flow->tag == health->tag) {
            MvFlow_Release(flow);
            MvExchange_Forget(flow);
        }
    }
}

static void
begin_health(mv_forwarder_t *forwarder, mv_server_health_t *health,
             const mv_table_server_t *server)
{
    *health = (mv_server_health_t){
        .tag = server->tag,
        .server = server->server.id,
        .started_at = server->server.started_at,
        .dc_health = find_data_centre(forwarder, server->data_centre),
        .outstanding = health->outstanding,
        .back_off = MIN_BACK_OFF,
        .warmup.phase = g_rand_double(forwarder->random)};
    forget_silence(health->dc_health);
}

mv_server_health_t *
MvServerHealth_At(mv_forwarder_t *forwarder, unsigned position)
{
    const mv_table_server_t *server = &forwarder->table->servers[position];
    gpointer key = GUINT_TO_POINTER(server->tag);
    mv_server_health_t *health =
        g_hash_table_lookup(forwarder->server_health, key);
    if (!health) {
        health = g_new0(mv_server_health_t, 1);
        g_hash_table_insert(forwarder->server_health, key, health);
        begin_health(forwarder, health, server);
    }
    else if (health->started_at != server->server.started_at &&
             MvTable_Server(forwarder->table, server->tag) == (int)position) {
        release_open_flows(forwarder, health);
        begin_health(forwarder, health, server);
    }
    return health;
}

mv_server_health_t *
MvServerHealth_Find(const mv_forwarder_t *forwarder, uint32_t tag)
{
    return g_hash_table_lookup(forwarder->server_health,
                               GUINT_TO_POINTER(tag));
}

static void
add_answer_time(mv_data_centre_health_t *dc_health, mv_time_t took)
{
    if (dc_health->smoothed == 0) {
        dc_health->smoothed = took;
        dc_health->deviation = took / 2;
        return;
    }
    mv_time_t error = took - dc_health->smoothed;
    dc_health->smoothed += error / SMOOTHING;
    dc_health->deviation +=
        (ABS(error) - dc_health->deviation) / DEVIATION_SMOOTHING;
}

mv_time_t
MvDataCentreHealth_SynTimeout(const mv_data_centre_health_t *dc_health)
{
    if (dc_health->smoothed == 0) {
        return FIRST_SYN_TIMEOUT;
    }
    mv_time_t timeout =
        dc_health->smoothed + DEVIATION_FACTOR * dc_health->deviation;
    return CLAMP(timeout, MIN_SYN_TIMEOUT, MAX_SYN_TIMEOUT);
}

void
MvServerHealth_NoteAnswer(mv_forwarder_t *forwarder,
                          mv_server_health_t *health, mv_time_t now,
                          mv_time_t syn_sent_at)
{
    mv_data_centre_health_t *dc_health = health->dc_health;
    if (syn_sent_at > 0) {
        add_answer_time(dc_health, now - syn_sent_at);
        MvCounters_AddLatency(forwarder->counters, MV_LATENCY_HANDSHAKE,
                              now - syn_sent_at);
    }
    if (health->failures >= SILENT_AFTER_FAILURES) {
        forwarder->ops->event(forwarder->context, MV_EVENT_ENDPOINT_ANSWERS,
                              health->server, health->failures);
    }
    if (dc_health->silent_until > 0) {
        forwarder->ops->event(forwarder->context, MV_EVENT_DATA_CENTRE_ANSWERS,
                              health->server, dc_health->data_centre);
    }
    MvLiveness_NoteAnswer(&health->liveness, now);
    health->last_contact_at = now;
    health->failures = 0;
    health->silent_until = 0;
    health->trial_until = 0;
    health->back_off = MIN_BACK_OFF;
    dc_health->last_contact_at = now;
    forget_silence(dc_health);
}

static void
check_data_centre(mv_forwarder_t *forwarder,
                  mv_data_centre_health_t *dc_health, mv_time_t now,
                  uint64_t server)
{
    if (dc_health->silent_servers < DATA_CENTRE_SILENT_SERVERS ||
        now < dc_health->silent_until) {
        return;
    }
    dc_health->silent_until = now + dc_health->back_off;
    dc_health->back_off = MIN(2 * dc_health->back_off, MAX_BACK_OFF);
    forwarder->ops->event(forwarder->context, MV_EVENT_DATA_CENTRE_SILENT,
                          server, dc_health->data_centre);
}

void
MvServerHealth_NoteTimeout(mv_forwarder_t *forwarder,
                           mv_server_health_t *health, mv_time_t now,
                           mv_time_t syn_sent_at)
{
    mv_data_centre_health_t *dc_health = health->dc_health;
    if (health->last_contact_at >= syn_sent_at || now < health->silent_until) {
        return;
    }
    health->failures++;
    MvCounters_Add(forwarder->counters, MV_COUNTER_SYN_TIMEOUTS, 1);
    if (dc_health->last_contact_at < syn_sent_at && health->failures == 1) {
        dc_health->silent_servers++;
    }
    check_data_centre(forwarder, dc_health, now, health->server);
    if (health->failures < SILENT_AFTER_FAILURES) {
        health->silent_until = now + FIRST_FAILURE_BACK_OFF;
        return;
    }
    if (health->failures == SILENT_AFTER_FAILURES) {
        forwarder->ops->event(forwarder->context, MV_EVENT_ENDPOINT_SILENT,
                              health->server, health->back_off);
    }
    health->silent_until = now + health->back_off;
    health->back_off = MIN(2 * health->back_off, MAX_BACK_OFF);
}

void
MvServerHealth_NoteSyn(mv_server_health_t *health, mv_time_t now)
{
    mv_data_centre_health_t *dc_health = health->dc_health;
    if (health->failures >= SILENT_AFTER_FAILURES) {
        health->trial_until = now + MAX_SYN_TIMEOUT;
    }
    if (dc_health->silent_servers >= DATA_CENTRE_SILENT_SERVERS) {
        dc_health->trial_until = now + MAX_SYN_TIMEOUT;
    }
}

bool
MvServerHealth_IsSilent(const mv_server_health_t *health, mv_time_t now)
{
    const mv_data_centre_health_t *dc_health = health->dc_health;
    return now < MAX(health->silent_until, health->trial_until) ||
           now < MAX(dc_health->silent_until, dc_health->trial_until);
}

bool
MvServerHealth_IsAvoided(const mv_server_health_t *health, mv_time_t now)
{
    return now < health->failing_until || MvServerHealth_IsSilent(health, now);
}
