/* Traffic threads for packets: from the fabric, between entry VMs, on. */
#include "daemon.h"

#include <apr_network_io.h>
#include <apr_portable.h>
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#define PACKET_MAX 65536
#define WAIT (100 * MV_MILLISECOND)
#define BURST 256
#define SOCKET_BUFFER_BYTES (4 << 20)

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
} packet_thread_t;

struct mv_packets {
    mv_daemon_t *daemon;
    unsigned count;
    struct sockaddr_in *relay_address;
    packet_thread_t threads[];
};

static void
send_to(int fd, const struct sockaddr_in *to, const void *data, size_t length)
{
    while (sendto(fd, data, length, MSG_DONTWAIT, (const struct sockaddr *)to,
                  sizeof(*to)) < 0 &&
           errno == EINTR) {
    }
}

/* @frame has room for a relay header in front of the packet. */
static void
carry_out(packet_thread_t *thread, const mv_verdict_t *verdict, uint8_t *frame,
          size_t length)
{
    mv_daemon_t *daemon = thread->packets->daemon;
    uint8_t *packet = frame + MV_RELAY_HEADER_BYTES;
    if (verdict->kind == MV_VERDICT_FORWARD) {
        struct sockaddr_in to = {.sin_family = AF_INET,
                                 .sin_port = htons(verdict->port),
                                 .sin_addr.s_addr = htonl(verdict->address)};
        send_to(thread->fabric_fd, &to, packet, length);
    }
    if (verdict->kind == MV_VERDICT_RELAY) {
        const struct sockaddr_in *to =
            &thread->packets->relay_address[verdict->node];
        MvRelay_Write(daemon->settings->keyring, daemon->settings->self.id,
                      verdict->hops, packet, length, frame);
        if (to->sin_family == AF_INET) {
            send_to(thread->relay_fd, to, frame,
                    length + MV_RELAY_HEADER_BYTES);
        }
    }
}

static void
fabric_ready(mv_watch_t *watch, int events)
{
    packet_thread_t *thread =
        MV_CONTAINER_OF(watch, packet_thread_t, fabric_watch);
    mv_daemon_t *daemon = thread->packets->daemon;
    uint8_t frame[MV_RELAY_HEADER_BYTES + PACKET_MAX];
    (void)events;
    for (int i = 0; i < BURST; i++) {
        ssize_t length = recv(thread->fabric_fd, frame + MV_RELAY_HEADER_BYTES,
                              PACKET_MAX, MSG_DONTWAIT);
        if (length < 0) {
            return;
        }
        mv_verdict_t verdict =
            MvNode_Packet(daemon->node, thread->reader, g_get_monotonic_time(),
                          frame + MV_RELAY_HEADER_BYTES, (size_t)length, 0);
        carry_out(thread, &verdict, frame, (size_t)length);
    }
}

static void
relay_ready(mv_watch_t *watch, int events)
{
    packet_thread_t *thread =
        MV_CONTAINER_OF(watch, packet_thread_t, relay_watch);
    mv_daemon_t *daemon = thread->packets->daemon;
    uint8_t frame[MV_RELAY_HEADER_BYTES + PACKET_MAX];
    (void)events;
    for (int i = 0; i < BURST; i++) {
        uint8_t hops = 0;
        ssize_t length =
            recv(thread->relay_fd, frame, sizeof(frame), MSG_DONTWAIT);
        if (length < 0) {
            return;
        }
        if (!MvRelay_Read(daemon->settings->keyring, frame, (size_t)length,
                          &hops)) {
            MvCounters_Add(&daemon->counters, MV_COUNTER_FRAMES_REFUSED, 1);
            continue;
        }
        size_t inner = (size_t)length - MV_RELAY_HEADER_BYTES;
        mv_verdict_t verdict =
            MvNode_Packet(daemon->node, thread->reader, g_get_monotonic_time(),
                          frame + MV_RELAY_HEADER_BYTES, inner, hops);
        carry_out(thread, &verdict, frame, inner);
    }
}

static void *
run(void *argument)
{
    packet_thread_t *thread = argument;
    while (!MvFlag_Get(&thread->packets->daemon->finished)) {
        MvLoop_Run(thread->loop, WAIT);
    }
    return NULL;
}

static apr_socket_t *
open_socket(packet_thread_t *thread, uint16_t port, int *fd, GError **error)
{
    apr_os_sock_t handle;
    int size = SOCKET_BUFFER_BYTES;
    const mv_settings_t *settings = thread->packets->daemon->settings;
    apr_socket_t *socket = MvNet_Listen(thread->pool, settings->self.address,
                                        port, SOCK_DGRAM, true, error);
    if (socket && apr_os_sock_get(&handle, socket) == APR_SUCCESS) {
        *fd = handle;
        setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }
    return socket;
}

static bool
start_thread(packet_thread_t *thread, GError **error)
{
    mv_daemon_t *daemon = thread->packets->daemon;
    thread->fabric_watch.ready = fabric_ready;
    thread->relay_watch.ready = relay_ready;
    apr_pool_create(&thread->pool, NULL);
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
    thread->started = pthread_create(&thread->thread, NULL, run, thread) == 0;
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
    packets->relay_address = g_new0(struct sockaddr_in, MV_NO_NODE);
    for (size_t i = 0; i < settings->peer_count; i++) {
        const mv_peer_settings_t *peer = &settings->peers[i];
        struct sockaddr_in *to = &packets->relay_address[peer->id];
        to->sin_family = AF_INET;
        to->sin_port = htons(peer->relay_port);
        inet_pton(AF_INET, peer->address, &to->sin_addr);
    }
    for (unsigned i = 0; i < count; i++) {
        packets->threads[i].packets = packets;
    }
    for (unsigned i = 0; i < count; i++) {
        if (!start_thread(&packets->threads[i], error)) {
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
        if (packets->threads[i].pool) {
            apr_pool_destroy(packets->threads[i].pool);
        }
    }
    g_free(packets->relay_address);
    g_free(packets);
}
