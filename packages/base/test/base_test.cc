#include "masticvane/base.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>

TEST(Histogram, QuantilesStayWithinTheStatedError)
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

TEST(Ini, FindingsNameTheirPlace)
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
            EXPECT_STREQ(MvFindings_Get(findings, i), c.findings[i]);
        }
        MvIni_Destroy(ini);
        MvFindings_Destroy(findings);
    }
}

TEST(Events, CatalogueAndCodeAgree)
{
    std::set<std::string> code;
#define MV_EVENT(number, id, level, text)                                     \
    code.insert("| " #number " | " #level " | " text " |");
#include "masticvane/events.def"
#undef MV_EVENT
    std::set<std::string> catalogue;
    std::ifstream file(MV_DOCS "/EVENTS.md");
    std::string line;
    while (std::getline(file, line)) {
        if (line.size() < 3 || !isdigit((unsigned char)line[2])) {
            continue;
        }
        /* Number, level and text; what to do is free. */
        size_t end = 0;
        for (int bar = 0; bar < 4; bar++) {
            end = line.find('|', end) + 1;
        }
        std::string row = line.substr(0, end);
        for (size_t i = row.find("| ", 2); i < row.rfind("| "); i++) {
            if (row[i] == '|' && i > 8) {
                break;
            }
            row[i] = (char)toupper((unsigned char)row[i]);
        }
        catalogue.insert(row);
    }
    EXPECT_EQ(code, catalogue);
}
