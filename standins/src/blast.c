/*
 * Load test of packet forwarding.  Sends packets of 100,000 flows to one entry
 * VM and receives them at the addresses of the backend servers (sinks).
 * Prints the packets sent and received per second.
 *
 * standin-blast NODE SERVICE RATE SECONDS SINK...: NODE, SERVICE and SINK are
 * IPv4 addresses, RATE is in packets per second.
 */
#include "masticvane/base.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BATCH_PACKETS 32
#define PACKET_BYTES 40
#define MAX_SINKS 16
#define SOCKET_BUFFER_BYTES (16 << 20)
#define IN_FLIGHT_WAIT_US 300000

typedef struct load_test {
    struct sockaddr_in node_address;
    uint32_t service_address;
    double packets_per_second;
    double seconds;
    uint64_t sent;
    uint64_t received;
    bool stopping;
} load_test_t;

typedef struct sink {
    load_test_t *test;
    int fd;
} sink_t;

static void
make_packet(const load_test_t *test, uint32_t number, uint8_t *out)
{
    struct iphdr ip = {.version = 4,
                       .ihl = 5,
                       .tot_len = htons(PACKET_BYTES),
                       .protocol = IPPROTO_TCP,
                       .saddr = htonl(0x0a640000u + number / 50000),
                       .daddr = test->service_address};
    struct tcphdr tcp = {.source = htons((uint16_t)(1024 + number % 50000)),
                         .dest = htons(443),
                         .doff = 5,
                         .ack = 1};
    memcpy(out, &ip, sizeof(ip));
    memcpy(out + sizeof(ip), &tcp, sizeof(tcp));
}

static void *
count_received(void *argument)
{
    sink_t *sink = argument;
    uint8_t data[BATCH_PACKETS][PACKET_BYTES] = {{0}};
    struct mmsghdr messages[BATCH_PACKETS] = {0};
    struct iovec buffers[BATCH_PACKETS];
    for (int i = 0; i < BATCH_PACKETS; i++) {
        buffers[i] = (struct iovec){data[i], PACKET_BYTES};
        messages[i].msg_hdr.msg_iov = &buffers[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    while (!__atomic_load_n(&sink->test->stopping, __ATOMIC_ACQUIRE)) {
        int count =
            recvmmsg(sink->fd, messages, BATCH_PACKETS, MSG_DONTWAIT, NULL);
        if (count > 0) {
            __atomic_fetch_add(&sink->test->received, (uint64_t)count,
                               __ATOMIC_RELAXED);
        }
        else {
            (void)usleep(100);
        }
    }
    return NULL;
}

static void
send_packets(load_test_t *test, int fd)
{
    uint8_t data[BATCH_PACKETS][PACKET_BYTES] = {{0}};
    struct mmsghdr messages[BATCH_PACKETS] = {0};
    struct iovec buffers[BATCH_PACKETS];
    uint32_t number = 0;
    gint64 start = g_get_monotonic_time();
    for (int i = 0; i < BATCH_PACKETS; i++) {
        buffers[i] = (struct iovec){data[i], PACKET_BYTES};
        messages[i].msg_hdr.msg_iov = &buffers[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    for (;;) {
        double elapsed = (double)(g_get_monotonic_time() - start) / 1e6;
        if (elapsed >= test->seconds) {
            return;
        }
        if ((double)test->sent > elapsed * test->packets_per_second) {
            continue;
        }
        for (int i = 0; i < BATCH_PACKETS; i++) {
            make_packet(test, number++ % 100000, data[i]);
        }
        int count = sendmmsg(fd, messages, BATCH_PACKETS, 0);
        test->sent += count > 0 ? (uint64_t)count : 0;
    }
}

static int
open_sink(const char *address)
{
    int size = SOCKET_BUFFER_BYTES;
    int fd = socket(AF_INET, SOCK_DGRAM, 0);
    struct sockaddr_in bind_address = {.sin_family = AF_INET,
                                       .sin_port = htons(5555)};
    inet_pton(AF_INET, address, &bind_address.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (bind(fd, (struct sockaddr *)&bind_address, sizeof(bind_address)) !=
        0) {
        (void)fprintf(stderr, "standin-blast: cannot bind UDP %s:5555\n",
                      address);
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
    load_test_t test = {.packets_per_second = atof(argv[3]),
                        .seconds = atof(argv[4])};
    test.node_address.sin_family = AF_INET;
    test.node_address.sin_port = htons(5555);
    inet_pton(AF_INET, argv[1], &test.node_address.sin_addr);
    inet_pton(AF_INET, argv[2], &test.service_address);
    for (int i = 0; i < count; i++) {
        sinks[i] = (sink_t){&test, open_sink(argv[5 + i])};
        pthread_create(&threads[i], NULL, count_received, &sinks[i]);
    }
    int fd = socket(AF_INET, SOCK_DGRAM, 0);
    if (connect(fd, (struct sockaddr *)&test.node_address,
                sizeof(test.node_address)) != 0) {
        return 1;
    }
    send_packets(&test, fd);
    (void)usleep(IN_FLIGHT_WAIT_US);
    __atomic_store_n(&test.stopping, true, __ATOMIC_RELEASE);
    for (int i = 0; i < count; i++) {
        pthread_join(threads[i], NULL);
    }
    (void)printf("%.0f %.0f\n", (double)test.sent / test.seconds,
                 (double)test.received / test.seconds);
    return 0;
}
