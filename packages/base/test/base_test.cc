#include "masticvane/base.h"

#include <gtest/gtest.h>

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
