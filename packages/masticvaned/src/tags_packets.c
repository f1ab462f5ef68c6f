/* Traffic thread: forwards packets from callers to backend servers. */
#include <apr_network_io.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

#include "arrivals.h"
#include "datagrams.h"
#include "tags_mode.h"

#define MAX_PACKET_BYTES 2048
#define MAX_LOOP_WAIT (100 * MV_MILLISECOND)
#define MAX_BATCHES_PER_EVENT 8
#define SOCKET_BUFFER_BYTES (1 << 20)
/* The process stood still when the thread did not run for this long beyond
 * its longest wait.  The fabric takes a node out after a second. */
#define MIN_STANDSTILL (400 * MV_MILLISECOND)

/* A packet with headroom for the encapsulation of the fabric. */
typedef struct packet_buffer {
    uint8_t headroom[MV_FABRIC_HEADROOM];
    uint8_t packet[MAX_PACKET_BYTES];
} packet_buffer_t;

struct mv_tags_packets {
    mv_tags_daemon_t *daemon;
    pthread_t thread;
    bool started;
    apr_pool_t *pool;
    mv_loop_t *loop;
    mv_watch_t watch;
    apr_socket_t *socket;
    int fd;
    mv_forwarder_t *forwarder;
    mv_time_t next_timer;
    bool may_have_more;
    mv_time_t ran_at;
    mv_arrivals_t arrivals;
    bool has_read; /* the socket, in this iteration of the loop */
    packet_buffer_t buffers[MV_DATAGRAM_BATCH];
    /* Buffers of resets and stored SYNs, by index in the batch. */
    packet_buffer_t outgoing[MV_DATAGRAM_BATCH];
    mv_datagram_batch_t batch;
};

static void
flush(mv_tags_packets_t *packets)
{
    mv_counters_t *counters = &packets->daemon->counters;
    unsigned expired =
        MvDatagramBatch_DropExpired(&packets->batch, MvClock_Boot());
    unsigned unsent = MvDatagramBatch_Send(&packets->batch, packets->fd);
    MvCounters_Add(counters, MV_COUNTER_PACKETS_EXPIRED, expired);
    MvCounters_Add(counters, MV_COUNTER_PACKETS_UNSENT, unsent);
    if (expired > 0) {
        MvLog_Write(packets->daemon->log, MV_EVENT_PACKETS_EXPIRED,
                    "count=%u since_read_ms=%" PRId64, expired,
                    (MvClock_Boot() - packets->arrivals.read_ended.boot) /
                        MV_MILLISECOND);
    }
}

static void
queue_datagram(mv_tags_packets_t *packets, uint32_t address, uint16_t port,
               mv_time_t expires_at, uint8_t *data, size_t length)
{
    const struct sockaddr_in to = {.sin_family = AF_INET,
                                   .sin_port = htons(port),
                                   .sin_addr.s_addr = htonl(address)};
    if (!MvDatagramBatch_Add(&packets->batch, &to, expires_at, data, length)) {
        flush(packets);
    }
}

static void
queue_forward(mv_tags_packets_t *packets, const mv_flow_verdict_t *verdict,
              uint8_t *packet, size_t length)
{
    size_t header_bytes =
        packets->daemon->fabric->encapsulate(verdict, packet);
    queue_datagram(packets, verdict->address, verdict->port,
                   verdict->expires_at, packet - header_bytes,
                   header_bytes + length);
}

static void
queue_reset(mv_tags_packets_t *packets, const mv_flow_packet_t *packet,
            mv_time_t expires_at)
{
    const mv_settings_t *settings = packets->daemon->settings;
    uint8_t *bytes = packets->outgoing[packets->batch.count].packet;
    size_t length = packets->daemon->fabric->reset(packet, bytes);
    MvCounters_Add(&packets->daemon->counters, MV_COUNTER_FLOWS_REFUSED, 1);
    queue_datagram(packets, packet->caller, settings->packet_port, expires_at,
                   bytes, length);
}

/* Sends a stored SYN, either for the first time or as a retry. */
static void
send_stored_syn(void *context, const mv_flow_verdict_t *verdict,
                const uint8_t *bytes, size_t length)
{
    mv_tags_packets_t *packets = context;
    uint8_t *packet = packets->outgoing[packets->batch.count].packet;
    memcpy(packet, bytes, length);
    queue_forward(packets, verdict, packet, length);
}

static void
send_reset(void *context, const mv_flow_packet_t *packet, mv_time_t expires_at)
{
    queue_reset(context, packet, expires_at);
}

static void
log_event(void *context, mv_log_event_t event, uint64_t server, int64_t detail)
{
    const mv_tags_packets_t *packets = context;
    MvLog_Write(packets->daemon->log, event,
                "server=%" PRIx64 " detail=%" PRId64, server, detail);
}

/* Format: "10.0.0.7:40001>198.18.0.1:443". */
static void
format_flow_name(const mv_flow_name_t *name, char *out, size_t size)
{
    const struct in_addr caller = {htonl(name->caller)};
    const struct in_addr address = {htonl(name->address)};
    char from[INET_ADDRSTRLEN];
    char to[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &caller, from, sizeof(from));
    inet_ntop(AF_INET, &address, to, sizeof(to));
    (void)snprintf(out, size, "%s:%u>%s:%u", from, name->caller_port, to,
                   name->port);
}

/* Return: time since the last contact with the store or an up-to-date node; 0
 * before the first contact. */
static mv_time_t
staleness(mv_tags_daemon_t *daemon)
{
    mv_time_t last_contact_at =
        __atomic_load_n(&daemon->last_contact_at, __ATOMIC_RELAXED);
    return last_contact_at > 0 ? g_get_monotonic_time() - last_contact_at : 0;
}

static void
log_decision(void *context, const mv_flow_decision_t *decision)
{
    const mv_tags_packets_t *packets = context;
    char name[64];
    format_flow_name(&decision->name, name, sizeof(name));
    MvLog_Write(packets->daemon->log, decision->event,
                "flow=%s server=%" PRIx64 " why=%s version=%" PRIu64
                " candidates=%u outstanding=%u syns=%u unanswered=%u"
                " held_us=%" PRId64 " took_us=%" PRId64 " revision=%" PRIu64
                " age_ms=%" PRId64,
                name, decision->server, MvCounters_Name(decision->reason),
                decision->version, decision->candidates, decision->outstanding,
                decision->syns, decision->unanswered, decision->queue_time,
                decision->took, decision->revision,
                staleness(packets->daemon) / MV_MILLISECOND);
}

static void
push_report(void *context, const mv_load_record_t *records, size_t count)
{
    const mv_tags_packets_t *packets = context;
    const mv_report_t report = {.from = MV_NO_NODE,
                                .record_count = count,
                                .records = (mv_load_record_t *)records};
    MvReports_Push(&packets->daemon->reports_out, &report);
}

/* The control thread sends it at once: the callers of these flows retransmit
 * their SYN soon. */
static void
push_offers(void *context, const mv_flow_offer_t *offers, size_t count)
{
    const mv_tags_packets_t *packets = context;
    const mv_report_t report = {.from = MV_NO_NODE,
                                .offer_count = count,
                                .offers = (mv_flow_offer_t *)offers};
    MvReports_Push(&packets->daemon->reports_out, &report);
    MvLoop_Wake(packets->daemon->control_loop);
}

static void
push_openings(void *context, mv_node_id_t to, const mv_flow_offer_t *openings,
              size_t count)
{
    const mv_tags_packets_t *packets = context;
    const mv_report_t report = {.from = MV_NO_NODE,
                                .to = to,
                                .opening_count = count,
                                .openings = (mv_flow_offer_t *)openings};
    MvReports_Push(&packets->daemon->reports_out, &report);
    MvLoop_Wake(packets->daemon->control_loop);
}

static const mv_forwarder_ops_t forwarder_ops = {
    .send = send_stored_syn,
    .reset = send_reset,
    .event = log_event,
    .decided = log_decision,
    .report = push_report,
    .offered = push_offers,
    .opened = push_openings,
};

static void
process_packet(mv_tags_packets_t *packets, packet_buffer_t *buffer,
               size_t length, mv_time_t stamp)
{
    mv_tags_daemon_t *daemon = packets->daemon;
    mv_flow_packet_t packet;
    if (!daemon->fabric->parse(buffer->packet, length, &packet)) {
        MvCounters_Add(&daemon->counters, MV_COUNTER_PACKETS_MALFORMED, 1);
        return;
    }
    packet.waited = MvArrivals_Waited(&packets->arrivals, stamp);
    mv_flow_verdict_t verdict = MvForwarder_HandlePacket(
        packets->forwarder, packets->arrivals.read_ended.boot, &packet,
        buffer->packet, length);
    if (verdict.kind == MV_FLOW_FORWARD) {
        queue_forward(packets, &verdict, buffer->packet, length);
    }
    else if (verdict.kind == MV_FLOW_RESET) {
        queue_reset(packets, &packet, verdict.expires_at);
    }
}

/* Return: number of datagrams read, 0 when that failed. */
static int
read_batch(mv_tags_packets_t *packets)
{
    size_t lengths[MV_DATAGRAM_BATCH];
    mv_time_t stamps[MV_DATAGRAM_BATCH];
    MvArrivals_BeginRead(&packets->arrivals);
    int count = MvDatagrams_Receive(packets->fd, packets->buffers[0].packet,
                                    sizeof(packet_buffer_t), MAX_PACKET_BYTES,
                                    lengths, stamps);
    MvArrivals_EndRead(&packets->arrivals);
    for (int i = 0; i < count; i++) {
        process_packet(packets, &packets->buffers[i], lengths[i], stamps[i]);
    }
    flush(packets);
    if (count >= 0 && count < MV_DATAGRAM_BATCH) {
        MvArrivals_NoteEmpty(&packets->arrivals);
    }
    return MAX(count, 0);
}

/* Takes the newest table.  Its knowledge is read before: a later table may
 * only know more. */
static void
adopt_table(mv_tags_packets_t *packets)
{
    mv_time_t complete_at =
        __atomic_load_n(&packets->daemon->complete_at, __ATOMIC_ACQUIRE);
    MvForwarder_SetCompleteAt(packets->forwarder, complete_at);
    mv_table_t *table = __atomic_exchange_n(&packets->daemon->next_table, NULL,
                                            __ATOMIC_ACQ_REL);
    if (!table) {
        return;
    }
    mv_time_t changed_at = MvTable_ChangedAt(table);
    mv_table_t *replaced = MvForwarder_SwapTable(packets->forwarder, table);
    MvTable_Destroy(__atomic_exchange_n(&packets->daemon->replaced_table,
                                        replaced, __ATOMIC_ACQ_REL));
    if (changed_at > 0) {
        MvCounters_AddLatency(&packets->daemon->counters, MV_LATENCY_IN_FORCE,
                              g_get_monotonic_time() - changed_at);
    }
}

static void
apply_reports(mv_tags_packets_t *packets, mv_time_t now)
{
    mv_report_t *report = MvReports_TakeAll(&packets->daemon->reports_in);
    while (report) {
        MvForwarder_ReceiveReport(packets->forwarder, now, report->from,
                                  report->records, report->record_count);
        MvForwarder_ReceiveOffers(packets->forwarder, now, report->offers,
                                  report->offer_count);
        MvForwarder_ReceiveOpenings(packets->forwarder, now, report->openings,
                                    report->opening_count);
        if (report->wants_openings) {
            MvForwarder_RetellOpenings(packets->forwarder, report->from);
        }
        report = MvReports_Free(report);
    }
    /* An offer may have sent a SYN that was stored. */
    flush(packets);
}

static void
record_latencies(mv_tags_packets_t *packets, mv_time_t batch_began,
                 unsigned packet_count)
{
    mv_counters_t *counters = &packets->daemon->counters;
    MvCounters_AddLatencies(counters, MV_LATENCY_HANDLING,
                            g_get_monotonic_time() - batch_began,
                            packet_count);
    MvCounters_AddLatencies(counters, MV_LATENCY_STALENESS,
                            staleness(packets->daemon), packet_count);
}

/* Logs that the process stood still since the last call.  The waiting times
 * of the packets tell which of them are too old, not this. */
static void
detect_standstill(mv_tags_packets_t *packets)
{
    mv_time_t now = MvClock_Boot();
    mv_time_t stood_still = now - packets->ran_at - MAX_LOOP_WAIT;
    packets->ran_at = now;
    if (stood_still <= MIN_STANDSTILL) {
        return;
    }
    MvLog_Write(packets->daemon->log, MV_EVENT_TRAFFIC_RESUMED,
                "paused_ms=%" PRId64, stood_still / MV_MILLISECOND);
}

static void
read_socket(mv_tags_packets_t *packets)
{
    int count = MV_DATAGRAM_BATCH;
    packets->has_read = true;
    adopt_table(packets);
    apply_reports(packets, MvClock_Boot());
    for (int i = 0; i < MAX_BATCHES_PER_EVENT && count == MV_DATAGRAM_BATCH;
         i++) {
        mv_time_t batch_began = g_get_monotonic_time();
        detect_standstill(packets);
        count = read_batch(packets);
        record_latencies(packets, batch_began, (unsigned)count);
    }
    packets->may_have_more = count == MV_DATAGRAM_BATCH;
}

static void
socket_ready(mv_watch_t *watch, int events)
{
    mv_tags_packets_t *packets =
        MV_CONTAINER_OF(watch, mv_tags_packets_t, watch);
    (void)events;
    __atomic_store_n(&packets->daemon->last_packet_at, g_get_monotonic_time(),
                     __ATOMIC_RELAXED);
    read_socket(packets);
}

static void
apply_settings(mv_tags_packets_t *packets)
{
    MvForwarder_SetLogSampling(
        packets->forwarder,
        __atomic_load_n(&packets->daemon->flow_sample, __ATOMIC_RELAXED));
}

static void
write_dump(mv_tags_packets_t *packets, mv_time_t now)
{
    mv_tags_daemon_t *daemon = packets->daemon;
    if (!__atomic_exchange_n(&daemon->dump_requested, false,
                             __ATOMIC_ACQ_REL)) {
        return;
    }
    json_t *state = MvForwarder_Dump(packets->forwarder, now);
    char *text = json_dumps(state, JSON_INDENT(2));
    json_decref(state);
    pthread_mutex_lock(&daemon->dump_lock);
    free(daemon->dump);
    daemon->dump = text;
    pthread_mutex_unlock(&daemon->dump_lock);
}

static void *
run(void *argument)
{
    mv_tags_packets_t *packets = argument;
    mv_tags_daemon_t *daemon = packets->daemon;
    mv_time_t now = MvClock_Boot();
    packets->ran_at = now;
    while (!__atomic_load_n(&daemon->finished, __ATOMIC_ACQUIRE)) {
        packets->next_timer =
            MIN(packets->next_timer, MvForwarder_DueAt(packets->forwarder));
        mv_time_t wait = packets->next_timer - now;
        packets->may_have_more = false;
        packets->has_read = false;
        MvLoop_Run(packets->loop, CLAMP(wait, 0, MAX_LOOP_WAIT));
        detect_standstill(packets);
        /* Also without an event: how long the next packets have waited is
         * judged from the last moment at which the socket was empty. */
        if (!packets->has_read) {
            read_socket(packets);
        }
        now = MvClock_Boot();
        adopt_table(packets);
        apply_reports(packets, now);
        apply_settings(packets);
        packets->next_timer =
            MIN(packets->next_timer, MvForwarder_DueAt(packets->forwarder));
        /* Packets still in the socket may belong to flows that look
         * overdue: read the socket empty before running the timer.  While
         * @next_timer is more than MAX_LOOP_WAIT ahead, the timer runs in
         * every iteration. */
        if (!packets->may_have_more &&
            (now >= packets->next_timer ||
             packets->next_timer - now > MAX_LOOP_WAIT)) {
            packets->next_timer = MvForwarder_Timer(packets->forwarder, now);
            flush(packets);
        }
        write_dump(packets, now);
    }
    return NULL;
}

static bool
open_socket(mv_tags_packets_t *packets, GError **error)
{
    const mv_settings_t *settings = packets->daemon->settings;
    packets->socket = MvDatagrams_Open(
        packets->pool, settings->self.address, settings->packet_port, false,
        SOCKET_BUFFER_BYTES, &packets->fd, error);
    packets->watch.ready = socket_ready;
    MvArrivals_Open(&packets->arrivals);
    return packets->socket && MvLoop_Watch(packets->loop, &packets->watch,
                                           packets->socket, APR_POLLIN);
}

mv_tags_packets_t *
MvTagsPackets_Start(mv_tags_daemon_t *daemon, GError **error)
{
    mv_tags_packets_t *packets = g_new0(mv_tags_packets_t, 1);
    packets->daemon = daemon;
    apr_pool_create(&packets->pool, NULL);
    packets->loop = MvLoop_Create(packets->pool, 2);
    packets->forwarder = MvForwarder_Create(&forwarder_ops, packets,
                                            &daemon->counters, g_random_int());
    MvForwarder_SetMegabytePrice(packets->forwarder,
                                 daemon->settings->megabyte_price);
    packets->started = packets->loop && open_socket(packets, error) &&
                       MvThread_Start(&packets->thread, run, packets);
    if (!packets->started) {
        MvTagsPackets_Join(packets);
        return NULL;
    }
    return packets;
}

void
MvTagsPackets_Join(mv_tags_packets_t *packets)
{
    if (!packets) {
        return;
    }
    if (packets->started) {
        pthread_join(packets->thread, NULL);
    }
    MvForwarder_Destroy(packets->forwarder);
    apr_pool_destroy(packets->pool);
    g_free(packets);
}
