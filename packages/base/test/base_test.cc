#include "masticvane/base.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <set>

TEST(Histogram, QuantilesAreWithinTheDocumentedError)
{
    mv_histogram_t histogram = {};
    for (int i = 1; i <= 10000; i++) {
        MvHistogram_Add(&histogram, i);
    }
    EXPECT_NEAR(MvHistogram_Quantile(&histogram, 0.5), 5000, 5000 / 31.0);
    EXPECT_NEAR(MvHistogram_Quantile(&histogram, 0.99), 9900, 9900 / 31.0);
    EXPECT_EQ(histogram.max, 10000);
}

struct ini_case {
    const char *text;
    std::vector<const char *> findings;
};

TEST(Ini, FindingsHaveFileLineAndKey)
{
    const ini_case cases[] = {
        {"[a]\nn = 5\n", {}},
        {"[a]\nn = 99\n",
         {"f:2: a.n: \"99\" is not allowed; a whole number from 1 to 9 is"}},
        {"[a]\nn = 5\nx = 1\n",
         {"f:3: a.x: unknown key; remove it or correct its name"}},
        {"[a]\nn = 5\n\nn = 6\n",
         {"f:4: a.n: given twice, first on line 2; keep one"}},
    };
    for (const auto &c : cases) {
        mv_findings_t *findings = MvFindings_Create();
        mv_ini_t *ini = MvIni_Parse("f", c.text, findings);
        MvIni_Number(ini, "a", "n", 1, 9, 1, findings);
        MvIni_ReportUnused(ini, findings);
        ASSERT_EQ(MvFindings_Count(findings), c.findings.size()) << c.text;
        for (size_t i = 0; i < c.findings.size(); i++) {
            EXPECT_STREQ(MvFindings_Get(findings, i), c.findings[i]) << c.text;
        }
        MvIni_Destroy(ini);
        MvFindings_Destroy(findings);
    }
}

/* Fails when an event was added or changed in events.def, but not in the
 * table of docs/EVENTS.md. */
TEST(Events, DocumentedTableMatchesTheCode)
{
    std::set<std::string> code;
#define MV_EVENT(number, id, level, text)                                     \
    code.insert("| " #number " | " #level " | " text " |");
#include "masticvane/events.def"
#undef MV_EVENT
    std::set<std::string> documented;
    std::ifstream file(MV_DOCS "/EVENTS.md");
    std::string line;
    while (std::getline(file, line)) {
        if (line.size() < 3 || !isdigit((unsigned char)line[2])) {
            continue;
        }
        /* Compares number, level and text; the further columns are free. */
        size_t end = 0;
        for (int bar = 0; bar < 4; bar++) {
            end = line.find('|', end) + 1;
        }
        std::string row = line.substr(0, end);
        /* The table has the level in lower case, the code in upper case. */
        for (size_t i = row.find("| ", 2); i < row.rfind("| "); i++) {
            if (row[i] == '|' && i > 8) {
                break;
            }
            row[i] = (char)toupper((unsigned char)row[i]);
        }
        documented.insert(row);
    }
    EXPECT_EQ(code, documented);
}

/* Fails when a metric was added or changed in counters.def or latencies.def,
 * but not in the table of docs/METRICS.md. */
TEST(Metrics, DocumentedTableMatchesTheCode)
{
    std::set<std::string> code;
#define MV_COUNTER(id, name, text)                                            \
    code.insert("| masticvane_" name "_total | " text " |");
#include "masticvane/counters.def"
#undef MV_COUNTER
#define MV_LATENCY(id, name, labels, text)                                    \
    code.insert("| masticvane_" name "_seconds | " text " |");
#include "masticvane/latencies.def"
#undef MV_LATENCY
    std::set<std::string> documented;
    std::ifstream file(MV_DOCS "/METRICS.md");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("| masticvane_", 0) == 0) {
            documented.insert(line);
        }
    }
    EXPECT_EQ(code, documented);
}

TEST(Metrics, ExpositionHasCountersBucketsSumsAndCounts)
{
    mv_counters_t counters = {};
    mv_buffer_t text = {};
    MvCounters_Add(&counters, MV_COUNTER_PACKETS_IN, 7);
    MvCounters_AddLatency(&counters, MV_LATENCY_HANDSHAKE, 3 * MV_MILLISECOND);
    MvCounters_AddLatency(&counters, MV_LATENCY_HANDSHAKE, 9 * MV_SECOND);
    MvCounters_AddLatencies(&counters, MV_LATENCY_HANDLING, 15, 32);
    MvCounters_AddLatency(&counters, MV_LATENCY_STORE_WRITE_UNKNOWN,
                          4 * MV_MILLISECOND);
    MvCounters_Expose(&counters, &text);
    std::string exposition((const char *)text.data, text.length);
    for (const char *expected :
         {"masticvane_packets_in_total 7\n",
          "masticvane_opening_seconds_bucket{le=\"0.002\"} 0\n",
          "masticvane_opening_seconds_bucket{le=\"0.005\"} 1\n",
          "masticvane_opening_seconds_bucket{le=\"+Inf\"} 2\n",
          "masticvane_opening_seconds_sum 9.003000\n",
          "masticvane_opening_seconds_count 2\n",
          "masticvane_packet_handling_seconds_bucket{le=\"2e-05\"} 32\n",
          "masticvane_store_call_seconds_bucket{kind=\"write\","
          "outcome=\"unknown\",le=\"0.005\"} 1\n",
          "masticvane_store_call_seconds_count{kind=\"write\","
          "outcome=\"unknown\"} 1\n"}) {
        EXPECT_NE(exposition.find(expected), std::string::npos)
            << "missing line: " << expected;
    }
    const std::string type_line =
        "# TYPE masticvane_store_call_seconds histogram";
    EXPECT_NE(exposition.find(type_line), std::string::npos);
    EXPECT_EQ(exposition.find(type_line), exposition.rfind(type_line))
        << "one TYPE line for all labels expected";
    MvBuffer_Clear(&text);
}

static std::string
make_temporary_directory()
{
    char name[] = "/tmp/masticvane-log-XXXXXX";
    return mkdtemp(name);
}

/* Without the budget a burst of events would fill the disk; without the report
 * the missing lines would go unnoticed. */
TEST(Log, LineBudgetIsKeptAndDroppedLinesAreReported)
{
    std::string path = make_temporary_directory() + "/log";
    mv_log_t *log = MvLog_Create(path.c_str(), MV_LOG_INFO, nullptr);
    MvLog_SetBudget(log, 10, 0);
    for (int i = 0; i < 5000; i++) {
        MvLog_Write(log, MV_EVENT_ENDPOINT_GONE, "flow=%d", i);
    }
    sleep(2);
    MvLog_Write(log, MV_EVENT_NODE_STOPPED, "node=1");
    MvLog_Destroy(log);
    std::ifstream file(path);
    std::string line;
    int lines = 0;
    bool is_reported = false;
    while (std::getline(file, line)) {
        lines++;
        is_reported =
            is_reported || line.find("over_budget=") != std::string::npos;
    }
    /* The loop may run across two calendar seconds. */
    EXPECT_LE(lines, 2 * 10 + 3);
    EXPECT_GE(lines, 12);
    EXPECT_TRUE(is_reported) << "no line with over_budget=";
}

/* MvLog_Tick() reports the dropped lines also when no further event occurs. */
TEST(Log, ByteBudgetIsKeptAndReportedWithoutAFurtherEvent)
{
    std::string path = make_temporary_directory() + "/log";
    mv_log_t *log = MvLog_Create(path.c_str(), MV_LOG_INFO, nullptr);
    MvLog_SetBudget(log, 0, 2000);
    const std::string text(300, 'x');
    for (int i = 0; i < 1000; i++) {
        MvLog_Write(log, MV_EVENT_ENDPOINT_GONE, "flow=%s", text.c_str());
    }
    sleep(2);
    MvLog_Tick(log);
    MvLog_Tick(log);
    MvLog_Destroy(log);
    std::ifstream file(path);
    std::string line;
    size_t bytes = 0;
    int reports = 0;
    while (std::getline(file, line)) {
        bool is_report = line.find("over_budget=") != std::string::npos;
        reports += is_report;
        bytes += is_report ? 0 : line.size() + 1;
    }
    /* The loop may run across two calendar seconds. */
    EXPECT_LE(bytes, 2u * 2000u);
    EXPECT_GE(bytes, 1500u);
    EXPECT_GE(reports, 1);
    EXPECT_LE(reports, 2);
}

/* Lines about flows must not crowd out what a node knows. */
TEST(Log, FlowLinesLeaveRoomForOthers)
{
    std::string path = make_temporary_directory() + "/log";
    mv_log_t *log = MvLog_Create(path.c_str(), MV_LOG_INFO, nullptr);
    MvLog_SetBudget(log, 20, 0);
    for (int i = 0; i < 100; i++) {
        MvLog_Write(log, MV_EVENT_FLOW_PLACED, "flow=%d", i);
    }
    MvLog_Write(log, MV_EVENT_CONFIG_IN_FORCE, "version=7");
    MvLog_Destroy(log);
    std::ifstream file(path);
    std::string text((std::istreambuf_iterator<char>(file)), {});
    EXPECT_NE(text.find("version=7"), std::string::npos);
    EXPECT_EQ(text.find("flow=99"), std::string::npos);
}

/* A log reader that stops reading must not block the process: lines that a
 * full pipe does not accept are dropped whole and reported later. */
TEST(Log, WritesDoNotBlockOnAFullPipe)
{
    std::string path = make_temporary_directory() + "/pipe";
    ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
    int reader = open(path.c_str(), O_RDONLY | O_NONBLOCK);
    mv_log_t *log = MvLog_Create(path.c_str(), MV_LOG_INFO, nullptr);
    ASSERT_NE(log, nullptr);
    /* Many times the capacity of a pipe: a blocking write would hang. */
    for (int i = 0; i < 20000; i++) {
        MvLog_Write(log, MV_EVENT_FLOW_PLACED, "flow=%d", i);
    }
    std::string written(1 << 20, ' ');
    ssize_t length = read(reader, &written[0], written.size());
    ASSERT_GT(length, 0);
    written.resize((size_t)length);
    EXPECT_EQ(written.back(), '\n');
    sleep(1);
    MvLog_Write(log, MV_EVENT_NODE_STOPPED, "node=1");
    std::string rest(1 << 16, ' ');
    length = read(reader, &rest[0], rest.size());
    ASSERT_GT(length, 0);
    rest.resize((size_t)length);
    EXPECT_NE(rest.find("not_taken="), std::string::npos);
    MvLog_Destroy(log);
    close(reader);
}
