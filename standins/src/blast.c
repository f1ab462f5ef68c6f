/* Sends packets of many flows through one entry VM and counts arrivals. */
#include "masticvane/base.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BATCH 32
#define PACKET_BYTES 40
#define MAX_SINKS 16
#define SOCKET_BUFFER_BYTES (16 << 20)
#define SETTLE_US 300000

typedef struct blast {
    struct sockaddr_in node;
    uint32_t service;
    double rate;
    double seconds;
    uint64_t sent;
    uint64_t received;
    bool finished;
} blast_t;

typedef struct sink {
    blast_t *blast;
    int fd;
} sink_t;

static void
make_packet(const blast_t *blast, uint32_t number, uint8_t *out)
{
    struct iphdr ip = {.version = 4,
                       .ihl = 5,
                       .tot_len = htons(PACKET_BYTES),
                       .protocol = IPPROTO_TCP,
                       .saddr = htonl(0x0a640000u + number / 50000),
                       .daddr = blast->service};
    struct tcphdr tcp = {.source = htons((uint16_t)(1024 + number % 50000)),
                         .dest = htons(443),
                         .doff = 5,
                         .ack = 1};
    memcpy(out, &ip, sizeof(ip));
    memcpy(out + sizeof(ip), &tcp, sizeof(tcp));
}

static void *
receive(void *argument)
{
    sink_t *sink = argument;
    uint8_t data[BATCH][PACKET_BYTES] = {{0}};
    struct mmsghdr messages[BATCH] = {0};
    struct iovec parts[BATCH];
    for (int i = 0; i < BATCH; i++) {
        parts[i] = (struct iovec){data[i], PACKET_BYTES};
        messages[i].msg_hdr.msg_iov = &parts[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    while (!__atomic_load_n(&sink->blast->finished, __ATOMIC_ACQUIRE)) {
        int count = recvmmsg(sink->fd, messages, BATCH, MSG_DONTWAIT, NULL);
        if (count > 0) {
            __atomic_fetch_add(&sink->blast->received, (uint64_t)count,
                               __ATOMIC_RELAXED);
        }
        else {
            (void)usleep(100);
        }
    }
    return NULL;
}

static void
send_all(blast_t *blast, int fd)
{
    uint8_t data[BATCH][PACKET_BYTES] = {{0}};
    struct mmsghdr messages[BATCH] = {0};
    struct iovec parts[BATCH];
    uint32_t number = 0;
    gint64 began = g_get_monotonic_time();
    for (int i = 0; i < BATCH; i++) {
        parts[i] = (struct iovec){data[i], PACKET_BYTES};
        messages[i].msg_hdr.msg_iov = &parts[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    for (;;) {
        double passed = (double)(g_get_monotonic_time() - began) / 1e6;
        if (passed >= blast->seconds) {
            return;
        }
        if ((double)blast->sent > passed * blast->rate) {
            continue;
        }
        for (int i = 0; i < BATCH; i++) {
            make_packet(blast, number++ % 100000, data[i]);
        }
        int count = sendmmsg(fd, messages, BATCH, 0);
        blast->sent += count > 0 ? (uint64_t)count : 0;
    }
}

static int
open_sink(const char *address)
{
    int size = SOCKET_BUFFER_BYTES;
    int fd = socket(AF_INET, SOCK_DGRAM, 0);
    struct sockaddr_in where = {.sin_family = AF_INET,
                                .sin_port = htons(5555)};
    inet_pton(AF_INET, address, &where.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (bind(fd, (struct sockaddr *)&where, sizeof(where)) != 0) {
        (void)fprintf(stderr, "standin-blast: cannot bind %s\n", address);
        exit(1);
    }
    return fd;
}

int
main(int argc, char **argv)
{
    sink_t sinks[MAX_SINKS];
    pthread_t threads[MAX_SINKS];
    int count = MIN(argc - 5, MAX_SINKS);
    if (count < 1) {
        (void)fprintf(stderr, "standin-blast NODE SERVICE RATE SECONDS "
                              "SINK...\n");
        return 2;
    }
    blast_t blast = {.rate = atof(argv[3]), .seconds = atof(argv[4])};
    blast.node.sin_family = AF_INET;
    blast.node.sin_port = htons(5555);
    inet_pton(AF_INET, argv[1], &blast.node.sin_addr);
    inet_pton(AF_INET, argv[2], &blast.service);
    for (int i = 0; i < count; i++) {
        sinks[i] = (sink_t){&blast, open_sink(argv[5 + i])};
        pthread_create(&threads[i], NULL, receive, &sinks[i]);
    }
    int fd = socket(AF_INET, SOCK_DGRAM, 0);
    if (connect(fd, (struct sockaddr *)&blast.node, sizeof(blast.node)) != 0) {
        return 1;
    }
    send_all(&blast, fd);
    (void)usleep(SETTLE_US);
    __atomic_store_n(&blast.finished, true, __ATOMIC_RELEASE);
    for (int i = 0; i < count; i++) {
        pthread_join(threads[i], NULL);
    }
    (void)printf("%.0f %.0f\n", (double)blast.sent / blast.seconds,
                 (double)blast.received / blast.seconds);
    return 0;
}
