/**
 * DOC: Test fixture with virtual time: a directory, a forwarder and its
 * callers.
 */
#ifndef MV_TAGS_WORLD_H
#define MV_TAGS_WORLD_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "masticvane/tags.h"

/* A stored SYN that the forwarder sent: a retry, or a SYN that was queued. */
struct sent_t {
    /* The caller's port. */
    uint16_t port() const;

    mv_flow_verdict_t verdict;
    std::string bytes;
};

/* What another node tells of the flow from @port, without its numbers. */
mv_flow_offer_t told_flow(uint16_t port, uint32_t tag, uint16_t to = 443);

/* Time from a caller's SYN to its next one, or until it gives up. */
mv_time_t until_next_syn(uint32_t retransmission);

struct tags_world {
    explicit tags_world(const char *data_centre = "casa", uint32_t seed = 7);
    ~tags_world();

    mv_server_t server(uint64_t id, const char *service,
                       const char *data_centre);
    void announce(const mv_server_t &server);
    void withdraw(uint64_t id);
    void route(uint64_t version, std::map<uint16_t, std::string> services);
    void publish();

    /* Passes a packet from the caller's @port to 198.18.0.1:@to to the
     * forwarder. */
    mv_flow_verdict_t receive(mv_flow_packet_t packet, uint16_t port,
                              uint16_t to);
    /* Pass the SYN, or a later packet, of the flow from @port to @to. */
    mv_flow_verdict_t open(uint16_t port, uint16_t to = 443,
                           uint32_t retransmission = 0);
    mv_flow_verdict_t send_next(uint16_t port, uint32_t tag, uint16_t to = 443,
                                bool closing = false);
    /* Opens a flow whose server answers after 8 ms.  Return: its tag. */
    uint32_t serve(uint16_t port, uint16_t to = 443);
    void advance(mv_time_t by);
    uint64_t counter(mv_counter_id_t id) const;

    mv_time_t now = MV_SECOND;
    /* Of the store, as of the last announcement. */
    uint64_t revision = 0;
    /* Services that the configuration lists, besides those of its routes. */
    std::set<std::string> listed_services;
    /* Of the routes that route() makes from now on. */
    mv_time_t target_latency = 0;
    /* The node is proven to know all changes at once, as long as it runs. */
    bool is_informed = true;
    mv_counters_t counters = {};
    mv_directory_t *directory;
    mv_forwarder_t *forwarder;
    std::vector<sent_t> sent;
    std::vector<mv_flow_packet_t> resets;
    std::vector<int> events;
    std::vector<mv_flow_decision_t> decisions;
    std::vector<std::vector<mv_load_record_t>> reports;
    std::vector<mv_flow_offer_t> offers;
    std::vector<mv_flow_offer_t> openings;
    /* Openings told to one node that has started. */
    std::map<mv_node_id_t, std::vector<mv_flow_offer_t>> retold;
};

#endif
