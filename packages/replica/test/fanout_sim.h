/**
 * DOC: Simulation of nodes, a store and the network under virtual time.
 */
#ifndef MV_FANOUT_SIM_H
#define MV_FANOUT_SIM_H

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "masticvane/replica.h"
#include "masticvane/tags.h"

/* Key of the announcement of a server that always answers. */
extern const char *const kServerKey;

/* How the store responds to a node: with replies, not at all, or by refusing
 * its connections. */
enum class store_access { reachable, no_reply, refused };

struct fanout_sim;

/* One entry VM: its replica, follower, fanout and registration. */
struct fanout_sim_node {
    mv_store_t store; /* first member, see node_of() */
    fanout_sim *sim;
    int index;
    int incarnation;
    bool alive;
    bool is_registered;
    unsigned tier;
    std::string data_centre;
    mv_node_id_t id;
    store_access access;
    /* Until then timers stand still and messages wait. */
    mv_time_t frozen_until;
    /* Added to the time that a message to this node, or a reply of the store,
     * takes: the node handles what it receives so much late. */
    mv_time_t slowness;
    uint64_t calls;
    uint64_t bytes_sent;
    mv_replica_t *replica;
    mv_follower_t *follower;
    mv_fanout_t *fanout;
    mv_registration_t *registration;
    /* Has the server that is announced under kServerKey. */
    mv_directory_t *directory;
    /* New flows go to that server until then, as far as is known. */
    mv_time_t usable_until;
    /* Last time at which new flows went to it, 0 for never. */
    mv_time_t last_used_at;
    std::map<std::string, std::string> values;
    std::map<std::string, mv_time_t> changed_at;
    /* Removals at a time before which the node claimed to know them all. */
    int wrong_claims;
    /* Peers whose heartbeats stopped and have not resumed. */
    std::set<mv_node_id_t> lost_peers;
    mv_time_t longest_silence;
    /* Calls of contact_changed() that reported no change. */
    int duplicate_reports;
};

struct fanout_sim {
    struct item_t {
        std::string value;
        uint64_t revision;
        bool deleted;
    };
    explicit fanout_sim(int nodes, int data_centres = 1, uint32_t seed = 1,
                        mv_time_t change_limit = 3 * MV_SECOND);
    ~fanout_sim();

    /* Adds and starts nodes of the tiers that @tier_of gives by their index.
     */
    void add_nodes(int count, const std::function<unsigned(int)> &tier_of);
    void run(mv_time_t span);
    void start(int index);
    void stop(int index);
    void freeze(int index, mv_time_t span);
    void write(const std::string &key, const std::string &value);
    void erase(const std::string &key);
    void compact_history();
    /* The store's content, to be brought back by restore(). */
    struct copy_t {
        std::map<std::string, item_t> items;
        uint64_t revision;
    };
    copy_t save() const;
    void restore(const copy_t &copy);
    /* Nodes that currently watch the store. */
    std::vector<int> watchers() const;
    uint64_t calls() const;
    /* Time until all live nodes have @value under @key, -1 if above @limit. */
    mv_time_t propagation_time(const std::string &key,
                               const std::string &value, mv_time_t limit);

    void schedule(mv_time_t delay, std::function<void()> action);

    struct pending_watch_t {
        int node;
        int incarnation;
        uint64_t after;
        mv_time_t until;
        mv_store_listed_t done;
        void *context;
    };

    /* Setting of the nodes that start from now on. */
    mv_time_t change_limit;
    mv_time_t now = MV_SECOND;
    uint64_t revision = 1;
    /* The store's history contains the changes from this revision on. */
    uint64_t history_start = 0;
    std::map<std::string, item_t> items;
    /* When keys were erased. */
    std::map<std::string, mv_time_t> erased_at;
    std::vector<pending_watch_t> pending_watches;
    std::vector<std::unique_ptr<fanout_sim_node>> nodes;
    /* Probability that a datagram is lost. */
    double loss = 0;
    /* Pairs of sender and receiver whose datagrams are dropped. */
    std::set<std::pair<int, int>> cut_links;
    /* Pairs of sender and receiver whose deltas are dropped, as on a stream
     * that hangs; other messages are datagrams. */
    std::set<std::pair<int, int>> hung_streams;
    uint64_t datagrams = 0;
    /* Signing keys that nodes have generated. */
    int generated_keys = 0;
    uint64_t bytes = 0;
    /* A key under "number/" changed to a lower value at some node. */
    bool has_reverted = false;
    GRand *random;

  private:
    struct event_t {
        mv_time_t at;
        uint64_t order;
        std::function<void()> action;
        bool
        operator<(const event_t &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    const int data_centres;
    std::priority_queue<event_t> events;
    uint64_t order = 0;
    void serve_watches();
};

#endif
