/**
 * DOC: Report of measured figures with targets, baselines and verdicts.
 */
#ifndef MV_BENCH_REPORT_H
#define MV_BENCH_REPORT_H

#include <cstdio>
#include <string>
#include <vector>

/**
 * struct bench_row - One row of the report.
 * @name: measured quantity
 * @target: target as printed
 * @bound: upper bound of @figure, or lower bound with @at_least
 * @at_least: @bound is a lower bound
 * @figure: measured value
 * @baseline: value of the simplest alternative, negative when there is none
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
    /** Start a table. */
    void section(const std::string &title);
    /** Print a figure with its target; see struct bench_row. */
    void row(const std::string &name, const std::string &target, double bound,
             double figure, double baseline = -1, bool at_least = false);
    /** Print a figure that has no target. */
    void note(const std::string &name, double figure, double baseline = -1);
    void text(const std::string &line);
    /** Write the report to @path unless it is empty; returns the number of
     * missed targets. */
    int finish(const std::string &path);

  private:
    std::string out_;
    int misses_ = 0;
};

void bench_requests(bench_report &report);
void bench_flows(bench_report &report);
void bench_state(bench_report &report);

struct mv_message;
/** Size in bytes of @message in a frame between entry VMs. */
size_t bench_frame_size(const mv_message *message);

#endif
