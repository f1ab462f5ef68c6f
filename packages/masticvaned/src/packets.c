/* Traffic threads for packets: from the fabric and relayed by other entry
 * VMs. */
#include "daemon.h"

#include <apr_network_io.h>
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "datagrams.h"

#define MAX_PACKET_BYTES 65536
#define MAX_LOOP_WAIT (100 * MV_MILLISECOND)
#define MAX_BATCHES_PER_EVENT 8
#define SOCKET_BUFFER_BYTES (4 << 20)

/* A packet with room for a relay header in front. */
typedef struct packet_buffer {
    uint8_t bytes[MV_RELAY_HEADER_BYTES + MAX_PACKET_BYTES];
} packet_buffer_t;

typedef struct packet_thread {
    mv_packets_t *packets;
    pthread_t thread;
    bool started;
    apr_pool_t *pool;
    mv_loop_t *loop;
    mv_reader_t *reader;
    mv_watch_t fabric_watch;
    mv_watch_t relay_watch;
    apr_socket_t *fabric;
    apr_socket_t *relay;
    int fabric_fd;
    int relay_fd;
    packet_buffer_t *buffers;
    mv_datagram_batch_t forward_batch;
    mv_datagram_batch_t relay_batch;
} packet_thread_t;

struct mv_packets {
    mv_daemon_t *daemon;
    unsigned count;
    /* By node id; sin_family is 0 for nodes that are not in the settings. */
    struct sockaddr_in *relay_addresses;
    packet_thread_t threads[];
};

static void
apply_verdict(packet_thread_t *thread, const mv_verdict_t *verdict,
              packet_buffer_t *buffer, size_t length)
{
    mv_daemon_t *daemon = thread->packets->daemon;
    uint8_t *packet = buffer->bytes + MV_RELAY_HEADER_BYTES;
    if (verdict->kind == MV_VERDICT_FORWARD) {
        struct sockaddr_in to = {.sin_family = AF_INET,
                                 .sin_port = htons(verdict->port),
                                 .sin_addr.s_addr = htonl(verdict->address)};
        MvDatagramBatch_Add(&thread->forward_batch, &to, MV_NEVER, packet,
                            length);
    }
    if (verdict->kind == MV_VERDICT_RELAY) {
        const struct sockaddr_in *to =
            &thread->packets->relay_addresses[verdict->node];
        MvRelayHeader_Write(daemon->settings->keyring,
                            daemon->settings->self.id, verdict->hops, packet,
                            length, buffer->bytes);
        if (to->sin_family == AF_INET) {
            MvDatagramBatch_Add(&thread->relay_batch, to, MV_NEVER,
                                buffer->bytes, length + MV_RELAY_HEADER_BYTES);
        }
    }
}

/* Return: number of packets received; each starts @offset bytes into its
 * buffer. */
static int
receive(packet_thread_t *thread, int fd, size_t offset, size_t *lengths)
{
    return MvDatagrams_Receive(
        fd, thread->buffers[0].bytes + offset, sizeof(packet_buffer_t),
        sizeof(packet_buffer_t) - offset, lengths, NULL);
}

static void
process_packet(packet_thread_t *thread, packet_buffer_t *buffer, size_t length,
               uint8_t hops)
{
    mv_verdict_t verdict = MvNode_Packet(
        thread->packets->daemon->node, thread->reader, g_get_monotonic_time(),
        buffer->bytes + MV_RELAY_HEADER_BYTES, length, hops);
    apply_verdict(thread, &verdict, buffer, length);
}

static void
send_batches(packet_thread_t *thread)
{
    unsigned dropped =
        MvDatagramBatch_Send(&thread->forward_batch, thread->fabric_fd) +
        MvDatagramBatch_Send(&thread->relay_batch, thread->relay_fd);
    MvCounters_Add(&thread->packets->daemon->counters,
                   MV_COUNTER_PACKETS_UNSENT, dropped);
}

static void
fabric_ready(mv_watch_t *watch, int events)
{
    packet_thread_t *thread =
        MV_CONTAINER_OF(watch, packet_thread_t, fabric_watch);
    size_t lengths[MV_DATAGRAM_BATCH];
    int count = MV_DATAGRAM_BATCH;
    (void)events;
    for (int i = 0; i < MAX_BATCHES_PER_EVENT && count == MV_DATAGRAM_BATCH;
         i++) {
        count =
            receive(thread, thread->fabric_fd, MV_RELAY_HEADER_BYTES, lengths);
        for (int p = 0; p < count; p++) {
            process_packet(thread, &thread->buffers[p], lengths[p], 0);
        }
        send_batches(thread);
    }
}

static void
relay_ready(mv_watch_t *watch, int events)
{
    packet_thread_t *thread =
        MV_CONTAINER_OF(watch, packet_thread_t, relay_watch);
    mv_daemon_t *daemon = thread->packets->daemon;
    size_t lengths[MV_DATAGRAM_BATCH];
    int count = MV_DATAGRAM_BATCH;
    (void)events;
    for (int i = 0; i < MAX_BATCHES_PER_EVENT && count == MV_DATAGRAM_BATCH;
         i++) {
        count = receive(thread, thread->relay_fd, 0, lengths);
        for (int p = 0; p < count; p++) {
            packet_buffer_t *buffer = &thread->buffers[p];
            uint8_t hops = 0;
            if (!MvRelayHeader_Verify(daemon->settings->keyring, buffer->bytes,
                                      lengths[p], &hops)) {
                MvCounters_Add(&daemon->counters, MV_COUNTER_FRAMES_REFUSED,
                               1);
                continue;
            }
            process_packet(thread, buffer, lengths[p] - MV_RELAY_HEADER_BYTES,
                           hops);
        }
        send_batches(thread);
    }
}

static void *
run(void *argument)
{
    packet_thread_t *thread = argument;
    while (!MvFlag_Get(&thread->packets->daemon->finished)) {
        MvLoop_Run(thread->loop, MAX_LOOP_WAIT);
    }
    return NULL;
}

static apr_socket_t *
open_socket(const packet_thread_t *thread, uint16_t port, int *fd,
            GError **error)
{
    return MvDatagrams_Open(thread->pool,
                            thread->packets->daemon->settings->self.address,
                            port, true, SOCKET_BUFFER_BYTES, fd, error);
}

static bool
start_thread(packet_thread_t *thread, GError **error)
{
    mv_daemon_t *daemon = thread->packets->daemon;
    thread->fabric_watch.ready = fabric_ready;
    thread->relay_watch.ready = relay_ready;
    apr_pool_create(&thread->pool, NULL);
    thread->buffers = g_new(packet_buffer_t, MV_DATAGRAM_BATCH);
    thread->loop = MvLoop_Create(thread->pool, 4);
    thread->reader = MvNode_AddReader(daemon->node);
    thread->fabric = open_socket(thread, daemon->settings->packet_port,
                                 &thread->fabric_fd, error);
    if (thread->fabric) {
        thread->relay = open_socket(thread, daemon->settings->self.relay_port,
                                    &thread->relay_fd, error);
    }
    if (!thread->relay) {
        return false;
    }
    MvLoop_Watch(thread->loop, &thread->fabric_watch, thread->fabric,
                 APR_POLLIN);
    MvLoop_Watch(thread->loop, &thread->relay_watch, thread->relay,
                 APR_POLLIN);
    thread->started = MvThread_Start(&thread->thread, run, thread);
    return thread->started;
}

mv_packets_t *
MvPackets_Start(mv_daemon_t *daemon, GError **error)
{
    const mv_settings_t *settings = daemon->settings;
    unsigned count = settings->packet_threads;
    mv_packets_t *packets =
        g_malloc0(sizeof(*packets) + count * sizeof(packet_thread_t));
    packets->daemon = daemon;
    packets->count = count;
    packets->relay_addresses = g_new0(struct sockaddr_in, MV_NO_NODE);
    for (size_t i = 0; i < settings->peer_count; i++) {
        const mv_peer_settings_t *peer = &settings->peers[i];
        struct sockaddr_in *to = &packets->relay_addresses[peer->id];
        to->sin_family = AF_INET;
        to->sin_port = htons(peer->relay_port);
        inet_pton(AF_INET, peer->address, &to->sin_addr);
    }
    for (unsigned i = 0; i < count; i++) {
        packets->threads[i].packets = packets;
    }
    for (unsigned i = 0; i < count; i++) {
        if (!start_thread(&packets->threads[i], error)) {
            /* Ends the threads that were started before. */
            MvFlag_Set(&daemon->finished);
            MvPackets_Join(packets);
            return NULL;
        }
    }
    return packets;
}

void
MvPackets_Join(mv_packets_t *packets)
{
    if (!packets) {
        return;
    }
    for (unsigned i = 0; i < packets->count; i++) {
        if (packets->threads[i].started) {
            pthread_join(packets->threads[i].thread, NULL);
        }
        g_free(packets->threads[i].buffers);
        if (packets->threads[i].pool) {
            apr_pool_destroy(packets->threads[i].pool);
        }
    }
    g_free(packets->relay_addresses);
    g_free(packets);
}
