/* Requests and answers in open flows, inferred from the caller's packets.
 *
 * The packets of a server do not pass this node.  But the caller acknowledges
 * the server's bytes, which shows when an answer began and how long it is.  A
 * request ends when the caller sends the next one or ends the flow. */
#include "forwarder_private.h"

/* Estimated quantile of the answers' lengths; that of the times to the first
 * byte is one minus this. */
#define QUANTILE 0.25
/* Least relative step of an estimate: about 20 answers determine it.  The step
 * is larger for the first answers. */
#define MIN_STEP 0.05
/* Number of answers before a profile is used. */
#define MIN_SAMPLES 20
/* An answer shorter than this part of the length quartile counts as an error
 * message. */
#define SHORT_PART 0.4
/* An answer is late after this many times the time quartile, but not before
 * MIN_LATE_TIME: the answer of a remote server, or one after a short queue,
 * may take that long. */
#define LATE_FACTOR 3
#define MIN_LATE_TIME (100 * MV_MILLISECOND)
/* The server's FIN is acknowledged like one byte. */
#define END_BYTES 1
/* The packets of a request follow each other sooner; callers send a packet
 * again after 200 ms. */
#define MIN_REPEAT_TIME (150 * MV_MILLISECOND)
/* Interval at which open requests are checked for a late answer. */
#define CHECK_INTERVAL (50 * MV_MILLISECOND)

static mv_answer_profile_t *
profile_of(const mv_forwarder_t *forwarder, const mv_flow_t *flow)
{
    gpointer key = MvTable_AddressKey(flow->name.address, flow->name.port);
    mv_answer_profile_t *profile =
        g_hash_table_lookup(forwarder->profiles, key);
    if (!profile) {
        profile = g_new0(mv_answer_profile_t, 1);
        g_hash_table_insert(forwarder->profiles, key, profile);
    }
    return profile;
}

double
MvExchange_AnswerBytes(const mv_forwarder_t *forwarder,
                       const mv_flow_name_t *name)
{
    const mv_answer_profile_t *profile = g_hash_table_lookup(
        forwarder->profiles, MvTable_AddressKey(name->address, name->port));
    return profile ? profile->length_quartile : 0;
}

/* Moves @estimate towards the @quantile of all samples. */
static void
update_quantile(double *estimate, unsigned *samples, double quantile,
                double sample)
{
    if (*samples == 0) {
        *estimate = sample;
    }
    double step = MAX(MIN_STEP, 1.0 / (*samples + 2));
    *samples = MIN(*samples + 1, MIN_SAMPLES);
    *estimate *=
        sample < *estimate ? 1 - step * (1 - quantile) : 1 + step * quantile;
}

static bool
is_late(const mv_answer_profile_t *profile, mv_time_t took)
{
    return profile->time_samples >= MIN_SAMPLES &&
           took > MAX(MIN_LATE_TIME, LATE_FACTOR * profile->time_quartile);
}

static bool
is_short(const mv_answer_profile_t *profile, uint32_t length)
{
    return length <= END_BYTES ||
           (profile->length_samples >= MIN_SAMPLES &&
            length < SHORT_PART * profile->length_quartile);
}

static void
count_outcome(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
              bool answered)
{
    mv_exchange_t *exchange = &flow->exchange;
    MvList_Remove(&exchange->link);
    int position = MvTable_Server(forwarder->table, flow->tag);
    if (exchange->is_counted || position < 0) {
        return;
    }
    exchange->is_counted = true;
    MvFailing_NoteRequest(forwarder, forwarder->health_by_position[position],
                          forwarder->table->servers[position].service, now,
                          exchange->requested_at, answered);
}

static void
note_answer_time(mv_forwarder_t *forwarder, const mv_flow_t *flow,
                 mv_time_t now, mv_time_t took)
{
    int position = MvTable_Server(forwarder->table, flow->tag);
    if (position < 0) {
        return;
    }
    const mv_table_server_t *server = &forwarder->table->servers[position];
    MvSpill_NoteAnswer(&MvService_Load(forwarder, server->service)->spill, now,
                       server->data_centre, took);
}

static void
note_delay(mv_forwarder_t *forwarder, const mv_flow_t *flow, mv_time_t now,
           bool answered)
{
    const mv_table_route_t *route =
        MvTable_Route(forwarder->table, flow->name.address, flow->name.port);
    int position = MvTable_Server(forwarder->table, flow->tag);
    if (!route || position < 0) {
        return;
    }
    const mv_server_health_t *health = forwarder->health_by_position[position];
    /* A server without any sign of life is not overloaded but silent. */
    if (flow->exchange.answer_bytes == 0 &&
        health->liveness.answered_at < flow->exchange.requested_at) {
        return;
    }
    MvAdmission_NoteAnswer(
        forwarder, forwarder->table->servers[position].service, now,
        health->dc_health->smoothed + flow->exchange.first_byte_after,
        route->route.target_latency, answered);
    /* A full server refuses soon: that is no fast answer. */
    if (!answered && route->route.target_latency > 0) {
        note_answer_time(forwarder, flow, now, route->route.target_latency);
    }
}

static mv_liveness_t *
liveness_of(const mv_forwarder_t *forwarder, const mv_flow_t *flow)
{
    int position = MvTable_Server(forwarder->table, flow->tag);
    return position < 0 ? NULL
                        : &forwarder->health_by_position[position]->liveness;
}

/* The service of an open flow whose server is known. */
static unsigned
service_of(const mv_forwarder_t *forwarder, const mv_flow_t *flow)
{
    int position = MvTable_Server(forwarder->table, flow->tag);
    return forwarder->table->servers[position].service;
}

/* Notes what the packet shows of the server's life.  Nothing of the answer has
 * arrived when a packet with data comes so late: it is sent again. */
static void
note_request(const mv_forwarder_t *forwarder, const mv_flow_t *flow,
             mv_time_t now)
{
    mv_liveness_t *liveness = liveness_of(forwarder, flow);
    const mv_exchange_t *exchange = &flow->exchange;
    bool is_repeat = exchange->answer_bytes == 0 &&
                     now - exchange->requested_at >= MIN_REPEAT_TIME;
    if (liveness) {
        MvLiveness_NoteRequest(liveness, now, is_repeat);
    }
}

static void
update_answer(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
              uint32_t acknowledged)
{
    mv_exchange_t *exchange = &flow->exchange;
    int32_t length = (int32_t)(acknowledged - exchange->start_acknowledged);
    if (exchange->requested_at == 0 ||
        length <= (int32_t)exchange->answer_bytes) {
        return;
    }
    mv_liveness_t *liveness = liveness_of(forwarder, flow);
    if (liveness) {
        MvLiveness_NoteAnswer(liveness, now);
        MvService_NoteAnswer(forwarder, service_of(forwarder, flow));
    }
    if (exchange->answer_bytes == 0 && length > END_BYTES) {
        mv_answer_profile_t *profile = profile_of(forwarder, flow);
        mv_time_t took = now - exchange->requested_at;
        if (is_late(profile, took)) {
            count_outcome(forwarder, flow, now, false);
        }
        exchange->first_byte_after = took;
        note_answer_time(forwarder, flow, now, took);
        MvFlow_SetPendingService(flow, NULL);
        update_quantile(&profile->time_quartile, &profile->time_samples,
                        1 - QUANTILE, (double)took);
        MvList_Remove(&exchange->link);
    }
    exchange->answer_bytes = (uint32_t)length;
}

static void
end_request(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now)
{
    mv_exchange_t *exchange = &flow->exchange;
    mv_answer_profile_t *profile = profile_of(forwarder, flow);
    bool answered = !is_short(profile, exchange->answer_bytes);
    note_delay(forwarder, flow, now, answered);
    count_outcome(forwarder, flow, now, answered);
    if (exchange->answer_bytes > END_BYTES) {
        update_quantile(&profile->length_quartile, &profile->length_samples,
                        QUANTILE, exchange->answer_bytes);
    }
    exchange->requested_at = 0;
    MvFlow_SetPendingService(flow, NULL);
}

static void
start_request(mv_forwarder_t *forwarder, mv_flow_t *flow, mv_time_t now,
              uint32_t acknowledged)
{
    mv_exchange_t *exchange = &flow->exchange;
    exchange->requested_at = now;
    exchange->start_acknowledged = acknowledged;
    exchange->answer_bytes = 0;
    exchange->first_byte_after = 0;
    exchange->is_counted = false;
    int position = MvTable_Server(forwarder->table, flow->tag);
    if (position >= 0) {
        MvFlow_SetPendingService(
            flow, MvService_Load(forwarder,
                                 forwarder->table->servers[position].service));
    }
    MvList_Remove(&exchange->link);
    MvList_Append(&forwarder->awaiting_answer, &exchange->link);
}

void
MvExchange_HandlePacket(mv_forwarder_t *forwarder, mv_flow_t *flow,
                        mv_time_t now, const mv_flow_packet_t *packet)
{
    mv_exchange_t *exchange = &flow->exchange;
    bool ends = packet->is_closing || packet->is_reset;
    update_answer(forwarder, flow, now, packet->acknowledged);
    bool is_next_request = packet->has_data && exchange->answer_bytes > 0;
    if (exchange->requested_at > 0 && (ends || is_next_request)) {
        end_request(forwarder, flow, now);
    }
    if (packet->has_data && !ends && exchange->requested_at == 0) {
        start_request(forwarder, flow, now, packet->acknowledged);
    }
    if (packet->has_data && !ends) {
        note_request(forwarder, flow, now);
    }
}

void
MvExchange_Forget(mv_flow_t *flow)
{
    MvList_Remove(&flow->exchange.link);
    flow->exchange.is_counted = true;
}

mv_time_t
MvExchanges_CheckTimeouts(mv_forwarder_t *forwarder, mv_time_t now)
{
    MV_LIST_FOREACH(item, &forwarder->awaiting_answer)
    {
        mv_flow_t *flow = MV_CONTAINER_OF(item, mv_flow_t, exchange.link);
        if (is_late(profile_of(forwarder, flow),
                    now - flow->exchange.requested_at)) {
            count_outcome(forwarder, flow, now, false);
        }
    }
    return MvList_IsEmpty(&forwarder->awaiting_answer) ? MV_NEVER
                                                       : now + CHECK_INTERVAL;
}

static gboolean
has_no_route(gpointer key, gpointer value, gpointer context)
{
    const mv_forwarder_t *forwarder = context;
    (void)value;
    return !g_hash_table_contains(forwarder->table->by_address, key);
}

void
MvExchanges_DropStaleProfiles(mv_forwarder_t *forwarder)
{
    g_hash_table_foreach_remove(forwarder->profiles, has_no_route, forwarder);
}
