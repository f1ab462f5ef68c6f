#include "report.h"
void bench_flows(bench_report &) {}
