/**
 * DOC: Simulation of the request decisions of many nodes in virtual time.
 *
 * Simulates the network, backend servers with slots, and callers.  The events
 * of every attempt are recorded for check_history().  Times are in
 * microseconds of virtual time.  Nodes and backend servers are numbered from
 * 1; both run in the data centre whose number is theirs modulo the number of
 * data centres.
 */
#ifndef MV_TEST_REQUEST_FLEET_H
#define MV_TEST_REQUEST_FLEET_H

#include "masticvane/requests.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/** Class of work, see struct mv_work. */
struct work_spec {
    const char *name;
    const char *path;
    unsigned urgency;
    unsigned share;
    bool non_idempotent;
};

/**
 * struct request_options - Size and timing of the simulated deployment.
 * @nodes: entry VMs
 * @data_centres: data centres
 * @endpoints: backend servers of the one service
 * @slots: slots of each backend server
 * @mean_run_ms: mean of the exponentially distributed run time, milliseconds
 * @local_delay: network delay within a data centre, one way
 * @remote_delay: network delay between data centres, one way
 * @seed: seed of all randomness
 * @works: classes of work
 * @detection_time: time until a dead or paused node is removed from views
 */
struct request_options {
    unsigned nodes = 8;
    unsigned data_centres = 3;
    unsigned endpoints = 14;
    unsigned slots = 2;
    double mean_run_ms = 50;
    mv_time_t local_delay = 100;
    mv_time_t remote_delay = 1000;
    uint64_t seed = 1;
    std::vector<work_spec> works = {{"all", "/", 0, 50, false}};
    mv_time_t detection_time = 2500 * MV_MILLISECOND;
};

enum class outcome_kind { answer, replay, not_run, unknown, none };

/**
 * struct attempt - Recorded events of one request.
 * @id: request id, unique in the fleet
 * @node: entry VM that received it
 * @key: idempotency key, empty for none
 * @work: index of its class of work
 * @member: name of the member that calls
 * @non_idempotent: it must not run more than once
 * @sent: time at which the caller sent it
 * @first_dispatch: time of its first dispatch, -1 for none
 * @started: time at which its last run started, -1 for none
 * @ended: time at which the caller received the outcome, -1 for none and when
 *     @node was already dead at @sent
 * @run_ms: duration of its last run, milliseconds
 * @dispatches: number of dispatches
 * @runs: number of runs
 * @outcome: what the caller received
 * @reason: reason for an outcome without an answer, else MV_REASON_COUNT
 * @answer: answer that the caller received
 * @endpoint: backend server of its last dispatch
 */
struct attempt {
    uint64_t id = 0;
    mv_node_id_t node = 0;
    std::string key;
    unsigned work = 0;
    std::string member;
    bool non_idempotent = false;
    mv_time_t sent = 0;
    mv_time_t first_dispatch = -1;
    mv_time_t started = -1;
    mv_time_t ended = -1;
    double run_ms = 0;
    unsigned dispatches = 0;
    unsigned runs = 0;
    outcome_kind outcome = outcome_kind::none;
    mv_reason_t reason = MV_REASON_COUNT;
    std::string answer;
    uint16_t endpoint = 0;
};

class request_fleet {
  public:
    explicit request_fleet(const request_options &options);
    ~request_fleet();

    void run_for(mv_time_t duration);
    mv_time_t
    now() const
    {
        return now_;
    }
    std::mt19937_64 &
    random()
    {
        return random_;
    }

    /**
     * Submit a request at @node and return its id; while the node is paused,
     * it arrives when the pause ends.
     */
    uint64_t submit(mv_node_id_t node, unsigned work,
                    const std::string &member, const std::string &key,
                    mv_time_t timeout);
    /** Cancel a request, unless it has an outcome or its node is paused. */
    void cancel(uint64_t id);

    /**
     * Generate Poisson arrivals, @rate per second, of class @work at random
     * live nodes until the time @until.  With @keyed, each
     * request has a new idempotency key.
     */
    void generate_load(double rate, unsigned work,
                       std::function<std::string()> member, mv_time_t timeout,
                       mv_time_t until, bool keyed = false);

    mv_deployment_t *
    deployment()
    {
        return deployments_.back();
    }
    /** End a node without notice; its callers receive an unknown outcome. */
    void crash_node(mv_node_id_t node);
    /** Start a new incarnation of a node. */
    void restart_node(mv_node_id_t node);
    /**
     * Begin the planned stop of a node: it hands over its claims, leaves the
     * views after 50 ms and refuses requests after 500 ms.
     */
    void begin_planned_stop(mv_node_id_t node);
    /**
     * Suspend a node for @duration; its messages, answers and timers are
     * handled afterwards.
     */
    void pause_node(mv_node_id_t node, mv_time_t duration);
    /** Configure a backend server to leave now. */
    void drain_endpoint(uint16_t endpoint);
    /** Configure no service any more, and free the configurations before. */
    void remove_service();
    /**
     * Make all requests to a backend server fail until restore_endpoint();
     * running ones continue, but their answers are lost.
     */
    void break_endpoint(uint16_t endpoint);
    void restore_endpoint(uint16_t endpoint);
    /**
     * Drop messages for which @is_dropped, called with sender and recipient,
     * returns true; nullptr drops none.  Views are not changed.
     */
    void drop_messages_if(
        std::function<bool(mv_node_id_t, mv_node_id_t)> is_dropped);
    /**
     * Partition data centres @side from the others until heal_partition():
     * nodes lose contact with the nodes and backend servers of the other side,
     * and remove the nodes from their views about detection_time later.
     */
    void partition(std::set<unsigned> side);
    /** End the partition; nodes return to the views after 1 s. */
    void heal_partition();

    std::map<uint64_t, attempt> &
    attempts()
    {
        return attempts_;
    }
    /** Largest number of requests at a backend server above its slots. */
    unsigned
    max_slot_overrun() const
    {
        return max_slot_overrun_;
    }
    /** Requests that arrived at a backend server without a free slot. */
    uint64_t
    slot_overruns() const
    {
        return slot_overruns_;
    }
    /** Number of runs by idempotency key. */
    std::map<std::string, unsigned> &
    runs_by_key()
    {
        return runs_by_key_;
    }
    /** Slot time used since reset_busy_time(), in microseconds, by endpoint.
     */
    const std::vector<double> &busy_time();
    void reset_busy_time();
    /** Nodes that run and are not leaving, including paused ones. */
    std::vector<mv_node_id_t> live_nodes() const;
    /** Messages sent between nodes, including dropped ones. */
    uint64_t
    sent_messages() const
    {
        return sent_messages_;
    }
    /** Bytes of the messages sent while encoded_size was set. */
    uint64_t
    sent_bytes() const
    {
        return sent_bytes_;
    }
    /** Time of the last start of a run, -1 for none. */
    mv_time_t last_run_start(uint16_t endpoint) const;
    /** Function that returns the encoded size of a message, in bytes. */
    size_t (*encoded_size)(const mv_message_t *) = nullptr;

    /** When above 0, each message of claims arrives again after this time. */
    mv_time_t claims_repeated_after = 0;

    /** When true, backend servers end a run that is cancelled. */
    bool cancel_ends_runs = false;

    /**
     * Injected faults: check_history() must detect all but an ignored drain,
     * which shows in last_run_start().
     */
    bool inject_double_run = false;
    bool inject_false_not_run = false;
    bool inject_wrong_answer = false;
    bool inject_overrun = false;
    bool inject_ignored_drain = false;

  private:
    struct member;
    struct server;
    struct event {
        mv_time_t time;
        uint64_t order;
        std::function<void()> run;
        bool
        operator>(const event &other) const
        {
            return time != other.time ? time > other.time
                                      : order > other.order;
        }
    };
    void schedule(mv_time_t when, std::function<void()> run);
    void start_member(mv_node_id_t id);
    void run_timer(mv_node_id_t id, uint64_t incarnation);
    void update_views();
    void schedule_view_updates();
    void apply_view(mv_node_id_t id, uint32_t incarnation,
                    const std::vector<mv_request_member_t> &view,
                    mv_deployment_t *d);
    void send(mv_node_id_t from, mv_node_id_t to, const mv_message_t *message);
    void deliver(mv_node_id_t to, std::shared_ptr<mv_message_t> message);
    void dispatch(mv_node_id_t node, uint64_t id, uint16_t endpoint);
    void receive_request(mv_node_id_t node, uint64_t id, uint16_t endpoint);
    void start_runs(uint16_t endpoint);
    void cancel_run(mv_node_id_t node, uint64_t id);
    void end_run(uint16_t endpoint, uint64_t run);
    void add_busy_time(uint16_t endpoint);
    void complete_dispatch(mv_node_id_t node, uint64_t incarnation,
                           uint64_t id, mv_dispatch_result_t result);
    mv_time_t delay(mv_node_id_t a, mv_node_id_t b) const;
    mv_time_t backend_delay(mv_node_id_t node, uint16_t endpoint) const;
    mv_deployment_t *make_deployment(const std::set<uint16_t> &leaving);

    static member *member_of(mv_request_effects_t *effects);
    static const mv_request_effects_ops_t ops;

    request_options options_;
    std::mt19937_64 random_;
    GRand *core_random_;
    mv_time_t now_ = 0;
    uint64_t next_event_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<event>>
        events_;
    std::map<mv_node_id_t, std::unique_ptr<member>> members_;
    std::vector<server> servers_;
    std::vector<mv_deployment_t *> deployments_;
    std::set<uint16_t> leaving_;
    bool is_partitioned(unsigned a, unsigned b) const;
    bool sees_as_live(mv_node_id_t viewer, mv_node_id_t node);
    std::function<bool(mv_node_id_t, mv_node_id_t)> is_dropped_;
    std::set<unsigned> partition_side_;
    mv_time_t partitioned_at_ = 0;
    std::map<uint64_t, attempt> attempts_;
    std::map<std::string, unsigned> runs_by_key_;
    std::vector<double> busy_time_us_;
    uint64_t next_id_ = 0;
    uint64_t next_run_ = 0;
    std::set<uint64_t> cancelled_ids_;
    unsigned max_slot_overrun_ = 0;
    uint64_t slot_overruns_ = 0;
    uint64_t sent_messages_ = 0;
    uint64_t sent_bytes_ = 0;
    uint32_t next_incarnation_ = 1;
};

/**
 * Jain's fairness index of n shares: 1 when they are equal, 1/n when all but
 * one are 0.
 */
double jain_index(const std::vector<double> &shares);

/**
 * check_history() - Check a completed history.
 * @members_agreed: all nodes had the same view, so that no backend server may
 *     have received more requests than it has slots
 *
 * Return: one text per violation.
 */
std::vector<std::string> check_history(request_fleet &fleet,
                                       bool members_agreed);

#endif
