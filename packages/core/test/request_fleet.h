/**
 * DOC: Request decisions of many nodes under virtual time.
 *
 * A fake network, fake backend servers with slots, and callers; everything
 * that happens is recorded, so that a history checker can judge it.
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

struct work_spec {
    const char *name;
    const char *path;
    unsigned urgency;
    unsigned share;
    bool non_idempotent;
};

struct request_options {
    unsigned nodes = 8;
    unsigned data_centres = 3;
    unsigned endpoints = 14;
    unsigned slots = 2;
    double service_ms = 50;
    mv_time_t near_delay = 100;
    mv_time_t far_delay = 1000;
    uint64_t seed = 1;
    std::vector<work_spec> works = {{"all", "/", 0, 50, false}};
    mv_time_t detect = 2500 * MV_MILLISECOND;
};

enum class outcome_kind { answer, replay, not_run, unknown, none };

/** Everything that happened to one attempt. */
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

    /** Submit an attempt at @node; returns its id. */
    uint64_t submit(mv_node_id_t node, unsigned work,
                    const std::string &member, const std::string &key,
                    mv_time_t patience);
    void cancel(uint64_t id);

    /** Poisson arrivals of one kind at random live nodes. */
    void load(double rate, unsigned work, std::function<std::string()> member,
              mv_time_t patience, mv_time_t until, bool keyed = false);

    mv_deployment_t *
    deployment()
    {
        return deployments_.back();
    }
    void kill(mv_node_id_t node);
    void restart(mv_node_id_t node);
    void leave(mv_node_id_t node);
    void pause(mv_node_id_t node, mv_time_t duration);
    void drain(uint16_t endpoint);
    void break_endpoint(uint16_t endpoint);
    void mend_endpoint(uint16_t endpoint);
    void cut(std::function<bool(mv_node_id_t, mv_node_id_t)> is_cut);
    /** Data centres @side and the others lose each other until heal(): nodes,
     * backend servers, and what each node believes of the others. */
    void split(std::set<unsigned> side);
    void heal();

    std::map<uint64_t, attempt> &
    attempts()
    {
        return attempts_;
    }
    unsigned
    max_overrun() const
    {
        return max_overrun_;
    }
    uint64_t
    overruns() const
    {
        return overruns_;
    }
    std::map<std::string, unsigned> &
    runs()
    {
        return runs_;
    }
    /** Slot time used since reset_busy(), by endpoint. */
    const std::vector<double> &busy();
    void reset_busy();
    std::vector<mv_node_id_t> live() const;
    uint64_t
    messages() const
    {
        return messages_;
    }
    uint64_t
    bytes() const
    {
        return bytes_;
    }
    mv_time_t last_start(uint16_t endpoint) const;
    size_t (*encoded_size)(const mv_message_t *) = nullptr;

    /** Backend servers end a run that is cancelled. */
    bool cancel_ends_runs = false;

    /** Planted faults, to show that the checker sees them. */
    bool inject_double_run = false;
    bool inject_false_not_run = false;
    bool inject_wrong_answer = false;
    bool inject_overrun = false;
    bool inject_ignored_drain = false;

  private:
    struct member;
    struct server;
    struct event {
        mv_time_t at;
        uint64_t order;
        std::function<void()> run;
        bool
        operator>(const event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    void at(mv_time_t when, std::function<void()> run);
    void start_member(mv_node_id_t id);
    void tick(mv_node_id_t id, uint64_t incarnation);
    void views();
    void later_views();
    void apply_view(mv_node_id_t id, uint32_t incarnation,
                    const std::vector<mv_request_member_t> &live,
                    mv_deployment_t *d);
    void send(mv_node_id_t from, mv_node_id_t to, const mv_message_t *m);
    void deliver(mv_node_id_t to, std::shared_ptr<mv_message_t> message);
    void dispatch(mv_node_id_t node, uint64_t id, uint16_t endpoint);
    void arrive(mv_node_id_t node, uint64_t id, uint16_t endpoint);
    void start_next(uint16_t endpoint);
    void cancel_run(mv_node_id_t node, uint64_t id);
    void end_run(uint16_t endpoint, uint64_t run);
    void account(uint16_t endpoint);
    void answered(mv_node_id_t node, uint64_t incarnation, uint64_t id,
                  mv_dispatch_result_t result);
    mv_time_t delay(mv_node_id_t a, mv_node_id_t b) const;
    mv_time_t backend_delay(mv_node_id_t a, uint16_t endpoint) const;
    mv_deployment_t *make(const std::set<uint16_t> &leaving);

    static member *of(mv_request_effects_t *effects);
    static const mv_request_effects_ops_t ops;

    request_options options_;
    std::mt19937_64 random_;
    GRand *grand_;
    mv_time_t now_ = 0;
    uint64_t order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<event>>
        events_;
    std::map<mv_node_id_t, std::unique_ptr<member>> members_;
    std::vector<server> servers_;
    std::vector<mv_deployment_t *> deployments_;
    std::set<uint16_t> leaving_;
    bool is_apart(unsigned one, unsigned other) const;
    bool believes_live(mv_node_id_t viewer, mv_node_id_t other);
    std::function<bool(mv_node_id_t, mv_node_id_t)> is_cut_;
    std::set<unsigned> side_;
    mv_time_t split_at_ = 0;
    std::map<uint64_t, attempt> attempts_;
    std::map<std::string, unsigned> runs_;
    std::vector<double> busy_;
    uint64_t next_id_ = 0;
    uint64_t next_run_ = 0;
    std::set<uint64_t> cancelled_;
    unsigned max_overrun_ = 0;
    uint64_t overruns_ = 0;
    uint64_t messages_ = 0;
    uint64_t bytes_ = 0;
    uint32_t next_life_ = 1;
};

/** Jain's index: 1 when all got the same, 1/n when one got all. */
double jain_index(const std::vector<double> &got);

/** Check a finished history; returns what is wrong. */
std::vector<std::string> check_history(request_fleet &fleet,
                                       bool members_agreed);

#endif
