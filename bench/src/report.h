/**
 * DOC: One table of figures with their targets, baselines and verdicts.
 */
#ifndef MV_BENCH_REPORT_H
#define MV_BENCH_REPORT_H

#include <cstdio>
#include <string>
#include <vector>

/**
 * struct bench_row - One figure.
 * @name: what was measured
 * @target: the stated target
 * @bound: the figure may not exceed it (or fall below it)
 * @at_least: the bound is a lower one
 * @figure: what was measured
 * @baseline: what the plainest other way gives, or a negative number
 */
struct bench_row {
    std::string name;
    std::string target;
    double bound;
    bool at_least;
    double figure;
    double baseline;
};

class bench_report {
  public:
    void section(const std::string &title);
    void row(const std::string &name, const std::string &target, double bound,
             double figure, double baseline = -1, bool at_least = false);
    void note(const std::string &name, double figure, double baseline = -1);
    void text(const std::string &line);
    /** Write Markdown to @path as well; returns the number of misses. */
    int finish(const std::string &path);

  private:
    std::string out_;
    int misses_ = 0;
};

void bench_requests(bench_report &report);
void bench_flows(bench_report &report);
void bench_state(bench_report &report);

/** Size of a message as a frame between entry VMs. */
struct mv_message;
size_t bench_frame_size(const mv_message *message);

#endif
