/* Traffic threads read the published view while the control thread replaces
 * it; also run with ThreadSanitizer. */
#include "masticvane/core.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <atomic>
#include <cstring>
#include <random>
#include <thread>
#include <vector>

namespace {

const mv_time_t kWallStart = 1800000000LL * MV_SECOND;
const unsigned kThreads = 3;
const unsigned kPacketsPerThread = 40000;
const uint16_t kEndpoints = 6;
const uint16_t kBuckets = 256;

void
ignore_send(mv_effects_t *, mv_node_id_t, const mv_message_t *)
{
}

mv_deployment_t *
no_decode(mv_effects_t *, const char *, size_t, const mv_deployment_t *)
{
    return nullptr;
}

char *
no_encode(mv_effects_t *, const mv_deployment_t *, uint64_t, size_t *)
{
    return nullptr;
}

void
ignore_event(mv_effects_t *, mv_log_event_t, mv_node_id_t, uint64_t)
{
}

const mv_effects_ops_t kOps = {ignore_send, no_encode, no_decode,
                               ignore_event};

void
fill_service(mv_service_t *service, uint16_t id, uint16_t leaving,
             const mv_service_t *old)
{
    service->id = id;
    service->address = 0x0a140000u + id;
    service->port = 443;
    service->endpoint_count = kEndpoints;
    service->last_endpoint_id = kEndpoints;
    service->endpoints = g_new0(mv_endpoint_t, kEndpoints);
    for (uint16_t e = 0; e < kEndpoints; e++) {
        service->endpoints[e].id = (uint16_t)(e + 1);
        service->endpoints[e].connection_limit = 1000000;
        service->endpoints[e].leaves_at =
            e + 1 == leaving ? kWallStart / MV_SECOND : 0;
    }
    service->work = g_new0(mv_work_t, 1);
    service->bucket_count = kBuckets;
    service->before = g_new0(uint16_t, kBuckets);
    service->target = g_new0(uint16_t, kBuckets);
    for (uint16_t b = 0; b < kBuckets; b++) {
        service->before[b] =
            old ? old->target[b] : (uint16_t)(1 + b % kEndpoints);
    }
    MvService_Rebalance(service, kWallStart / MV_SECOND + 10);
}

mv_deployment_t *
make_deployment(const mv_deployment_t *old, uint16_t leaving)
{
    mv_deployment_t *d = g_new0(mv_deployment_t, 1);
    d->references = 1;
    d->version = old ? old->version + 1 : 1;
    d->accepted_at = kWallStart / MV_SECOND;
    d->flow_idle_seconds = 1;
    d->service_count = 2;
    d->services = g_new0(mv_service_t, 2);
    fill_service(&d->services[0], 1, leaving,
                 old ? &old->services[0] : nullptr);
    fill_service(&d->services[1], 2, 0, old ? &old->services[1] : nullptr);
    return d;
}

struct packet_counts {
    uint64_t forwarded = 0;
    uint64_t wrong_service = 0;
    uint64_t dropped = 0;
};

void
run_traffic(mv_node_t *node, mv_reader_t *reader, std::atomic<mv_time_t> *now,
            unsigned seed, packet_counts *out)
{
    std::mt19937 random(seed);
    for (unsigned i = 0; i < kPacketsPerThread; i++) {
        uint16_t service = (uint16_t)(1 + random() % 2);
        struct iphdr ip = {};
        struct tcphdr tcp = {};
        uint8_t bytes[sizeof(ip) + sizeof(tcp)];
        ip.version = 4;
        ip.ihl = 5;
        ip.tot_len = htons(sizeof(bytes));
        ip.protocol = IPPROTO_TCP;
        ip.saddr = htonl(0x64000000u + random() % 4000);
        ip.daddr = htonl(0x0a140000u + service);
        tcp.source = htons(4000);
        tcp.dest = htons(443);
        tcp.doff = 5;
        tcp.syn = random() % 4 == 0;
        tcp.ack = !tcp.syn;
        tcp.fin = !tcp.syn && random() % 8 == 0;
        memcpy(bytes, &ip, sizeof(ip));
        memcpy(bytes + sizeof(ip), &tcp, sizeof(tcp));
        mv_verdict_t v =
            MvNode_Packet(node, reader, now->load(), bytes, sizeof(bytes), 0);
        out->forwarded += v.kind == MV_VERDICT_FORWARD;
        out->dropped += v.kind == MV_VERDICT_DROP;
        out->wrong_service +=
            v.kind == MV_VERDICT_FORWARD && v.service != service;
    }
}

} // namespace

TEST(Threads, PacketsAreDecidedWhileTheViewChanges)
{
    mv_counters_t counters = {};
    mv_effects_t effects = {&kOps};
    mv_node_settings_t settings = MvNodeSettings_Default(1);
    settings.flow_capacity = 1 << 14;
    GRand *random = g_rand_new_with_seed(1);
    mv_node_t *node =
        MvNode_Create(&settings, &effects, &counters, random, kWallStart, 0);
    std::vector<mv_deployment_t *> versions = {make_deployment(nullptr, 0)};
    MvNode_Config(node, 0, versions[0]);
    std::atomic<mv_time_t> now{0};
    for (int i = 0; i < 100; i++) {
        now += 50 * MV_MILLISECOND;
        MvNode_Timer(node, now);
    }
    std::vector<std::thread> threads;
    std::vector<packet_counts> counts(kThreads);
    std::atomic<unsigned> running{kThreads};
    for (unsigned t = 0; t < kThreads; t++) {
        mv_reader_t *reader = MvNode_AddReader(node);
        threads.emplace_back([&, t, reader] {
            run_traffic(node, reader, &now, t + 1, &counts[t]);
            running--;
        });
    }
    /* Endpoints leave one after another, so that buckets go through every
     * phase. */
    unsigned rounds = 0;
    for (; running > 0; rounds++) {
        now += 50 * MV_MILLISECOND;
        MvNode_Timer(node, now);
        if (rounds % 40 == 0 && versions.size() < 200) {
            uint16_t leaving = (uint16_t)(1 + (rounds / 40) % kEndpoints);
            versions.push_back(make_deployment(versions.back(), leaving));
            MvNode_Config(node, now, versions.back());
        }
    }
    for (auto &thread : threads) {
        thread.join();
    }
    for (auto &t : counts) {
        EXPECT_EQ(t.forwarded, kPacketsPerThread);
        EXPECT_EQ(t.wrong_service, 0u);
        EXPECT_EQ(t.dropped, 0u);
    }
    EXPECT_GT(rounds, 10u);
    MvNode_Destroy(node);
    for (auto *d : versions) {
        MvDeployment_Unref(d);
    }
    g_rand_free(random);
}
