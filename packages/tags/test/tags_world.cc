#include "tags_world.h"

#include <cstring>

namespace {

const uint32_t kCaller = 0x64400007;
const uint32_t kAddress = 0xc6120001;

void
record_syn(void *context, const mv_flow_verdict_t *verdict,
           const uint8_t *bytes, size_t length)
{
    auto *world = static_cast<tags_world *>(context);
    world->sent.push_back(
        {*verdict, std::string((const char *)bytes, length)});
}

void
record_reset(void *context, const mv_flow_packet_t *packet, mv_time_t)
{
    static_cast<tags_world *>(context)->resets.push_back(*packet);
}

void
record_event(void *context, mv_log_event_t event, uint64_t, int64_t)
{
    static_cast<tags_world *>(context)->events.push_back(event);
}

void
record_decision(void *context, const mv_flow_decision_t *decision)
{
    static_cast<tags_world *>(context)->decisions.push_back(*decision);
}

void
record_report(void *context, const mv_load_record_t *records, size_t count)
{
    auto *world = static_cast<tags_world *>(context);
    world->reports.emplace_back(records, records + count);
}

void
record_offers(void *context, const mv_flow_offer_t *offers, size_t count)
{
    auto *world = static_cast<tags_world *>(context);
    world->offers.insert(world->offers.end(), offers, offers + count);
}

void
record_openings(void *context, mv_node_id_t to,
                const mv_flow_offer_t *openings, size_t count)
{
    auto *world = static_cast<tags_world *>(context);
    auto &told = to == MV_NO_NODE ? world->openings : world->retold[to];
    told.insert(told.end(), openings, openings + count);
}

const mv_forwarder_ops_t kOps = {record_syn,      record_reset,  record_event,
                                 record_decision, record_report, record_offers,
                                 record_openings};

std::string
key_of(uint64_t id)
{
    return "server-" + std::to_string(id);
}

} // namespace

mv_flow_offer_t
told_flow(uint16_t port, uint32_t tag, uint16_t to)
{
    mv_flow_offer_t told = {};
    told.name = {kCaller, kAddress, port, to};
    told.tag = tag;
    return told;
}

mv_time_t
until_next_syn(uint32_t retransmission)
{
    const mv_time_t times[] = {200 * MV_MILLISECOND, 400 * MV_MILLISECOND,
                               800 * MV_MILLISECOND};
    return times[MIN(retransmission, G_N_ELEMENTS(times) - 1)];
}

uint16_t
sent_t::port() const
{
    return (uint16_t)((uint8_t)bytes[1] << 8 | (uint8_t)bytes[2]);
}

tags_world::tags_world(const char *data_centre, uint32_t seed)
{
    mv_directory_settings_t settings = {};
    g_strlcpy(settings.data_centre, data_centre, MV_NAME_MAX);
    settings.retention = MV_MINUTE;
    settings.vanished_grace = 2 * MV_SECOND;
    directory = MvDirectory_Create(&settings);
    forwarder = MvForwarder_Create(&kOps, this, &counters, seed);
}

tags_world::~tags_world()
{
    MvForwarder_Destroy(forwarder);
    MvDirectory_Destroy(directory);
}

mv_server_t
tags_world::server(uint64_t id, const char *service, const char *data_centre)
{
    mv_server_t server = {};
    server.id = id;
    server.started_at = 1000 + (int64_t)id;
    g_strlcpy(server.service, service, MV_NAME_MAX);
    g_strlcpy(server.data_centre, data_centre, MV_NAME_MAX);
    server.address = 0x0a800000 + (uint32_t)id;
    server.port = 8080;
    server.slots = 2;
    return server;
}

void
tags_world::announce(const mv_server_t &server)
{
    MvDirectory_Announce(directory, now, key_of(server.id).c_str(), ++revision,
                         &server);
}

void
tags_world::withdraw(uint64_t id)
{
    MvDirectory_Withdraw(directory, now, now, key_of(id).c_str());
}

void
tags_world::route(uint64_t version, std::map<uint16_t, std::string> services)
{
    mv_routing_t *routing = MvRouting_Create();
    routing->version = version;
    routing->flow_idle = 15 * MV_SECOND;
    for (const auto &[port, service] : services) {
        mv_route_t route = {};
        route.address = kAddress;
        route.port = port;
        route.target_latency = target_latency;
        route.share_count = 1;
        route.shares[0].weight = 1;
        g_strlcpy(route.shares[0].service, service.c_str(), MV_NAME_MAX);
        g_array_append_val(routing->routes, route);
    }
    for (const std::string &service : listed_services) {
        mv_service_limits_t limits = {};
        limits.flows = UINT32_MAX;
        g_strlcpy(limits.service, service.c_str(), MV_NAME_MAX);
        g_array_append_val(routing->limits, limits);
    }
    MvDirectory_SetRouting(directory, now, routing);
}

void
tags_world::publish()
{
    mv_table_t *table = MvDirectory_Table(directory, now);
    MvTable_Destroy(MvForwarder_SwapTable(forwarder, table));
    if (is_informed) {
        MvForwarder_SetCompleteAt(forwarder, now);
    }
}

mv_flow_verdict_t
tags_world::receive(mv_flow_packet_t packet, uint16_t port, uint16_t to)
{
    packet.caller = kCaller;
    packet.caller_port = port;
    packet.address = kAddress;
    packet.port = to;
    const uint8_t bytes[34] = {(uint8_t)(packet.has_syn ? 0x80 : 0x08),
                               (uint8_t)(port >> 8), (uint8_t)port};
    return MvForwarder_HandlePacket(forwarder, now, &packet, bytes,
                                    sizeof(bytes));
}

mv_flow_verdict_t
tags_world::open(uint16_t port, uint16_t to, uint32_t retransmission)
{
    mv_flow_packet_t packet = {};
    packet.retransmission = retransmission;
    packet.until_next_syn = until_next_syn(retransmission);
    packet.has_syn = true;
    return receive(packet, port, to);
}

mv_flow_verdict_t
tags_world::send_next(uint16_t port, uint32_t tag, uint16_t to, bool closing)
{
    mv_flow_packet_t packet = {};
    packet.tag = tag;
    packet.is_closing = closing;
    return receive(packet, port, to);
}

uint32_t
tags_world::serve(uint16_t port, uint16_t to)
{
    mv_flow_verdict_t verdict = open(port, to);
    advance(8 * MV_MILLISECOND);
    send_next(port, verdict.tag, to);
    return verdict.tag;
}

void
tags_world::advance(mv_time_t by)
{
    const mv_time_t step = MV_MILLISECOND;
    for (mv_time_t end = now + by; now < end;) {
        now += step;
        if (is_informed) {
            MvForwarder_SetCompleteAt(forwarder, now);
        }
        MvForwarder_Timer(forwarder, now);
    }
}

uint64_t
tags_world::counter(mv_counter_id_t id) const
{
    return MvCounters_Get(&counters, id);
}
