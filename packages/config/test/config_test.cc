#include "masticvane/config.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace {

const int64_t kNow = 1800000000;

std::string
read_file(const std::string &path)
{
    std::ifstream in(path);
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

mv_deployment_t *
parse(const std::string &text, std::vector<std::string> *found = nullptr)
{
    mv_findings_t *findings = MvFindings_Create();
    mv_deployment_t *deployment =
        MvAnswers_Parse("answers", text.c_str(), kNow, findings);
    for (size_t i = 0; found && i < MvFindings_Count(findings); i++) {
        found->push_back(MvFindings_Get(findings, i));
    }
    MvFindings_Destroy(findings);
    return deployment;
}

std::vector<uint32_t>
buckets_per_endpoint(const mv_service_t *service)
{
    std::vector<uint32_t> count(service->last_endpoint_id + 1);
    for (uint32_t b = 0; b < service->bucket_count; b++) {
        count[service->target[b]]++;
    }
    return count;
}

std::string
replace(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

const char *const kExamples[] = {MV_EXAMPLES "/atlas-jet.ini",
                                 MV_EXAMPLES "/zatkovy-svaz.ini"};

} // namespace

TEST(Answers, TemplateAndExamplesHaveNoFindings)
{
    char *text = MvAnswers_Template();
    std::vector<std::string> texts = {text};
    g_free(text);
    for (const char *path : kExamples) {
        texts.push_back(read_file(path));
    }
    for (const auto &t : texts) {
        std::vector<std::string> found;
        mv_deployment_t *deployment = parse(t, &found);
        EXPECT_TRUE(found.empty()) << found[0];
        MvDeployment_Unref(deployment);
    }
}

struct finding_case {
    const char *from;
    const char *to;
    const char *finding;
};

TEST(Answers, FindingsNameTheFaultyKey)
{
    const finding_case cases[] = {
        {"slots = 2", "slots = none",
         "answers:10: service booking.slots: \"none\" is not allowed"},
        {"urgency = 0", "urgent = 0",
         "work booking reservation.urgent: unknown key"},
        {"data_centre = casa", "data_centre = paris",
         "not among deployment.data_centres"},
        {"address = 10.20.0.1", "address = somewhere", "not an IPv4 address"},
        {"match = POST /reservations", "match = POST",
         "write METHOD /path-prefix"},
        {"share = 50", "share = 90", "add up to more than 100"},
        {"address = 10.20.0.2", "address = 10.20.0.1",
         "another service has this address"},
    };
    std::string valid = read_file(kExamples[0]);
    for (const auto &c : cases) {
        std::vector<std::string> found;
        EXPECT_EQ(parse(replace(valid, c.from, c.to), &found), nullptr);
        std::string all;
        for (const auto &f : found) {
            all += f + "\n";
        }
        EXPECT_NE(all.find(c.finding), std::string::npos)
            << c.to << "\nexpected: " << c.finding << "\ngot: " << all;
    }
}

/* Moving more buckets than those of the leaving endpoint would send the new
 * flows of other callers to another endpoint for no reason. */
TEST(Generate, BucketsAreBalancedAndOnlyThoseOfALeavingEndpointMove)
{
    std::string valid = read_file(kExamples[0]);
    mv_deployment_t *first = parse(valid);
    MvDeployment_Generate(first, nullptr, kNow, "one");
    auto before = buckets_per_endpoint(&first->services[0]);
    auto range = std::minmax_element(before.begin() + 1, before.end());
    EXPECT_LE(*range.second - *range.first, 1u);

    std::string leaving = replace(valid, "address = 127.20.1.3\n",
                                  "address = 127.20.1.3\nleaves = now\n");
    mv_deployment_t *second = parse(leaving);
    MvDeployment_Generate(second, first, kNow + 1, "two");
    const mv_service_t *service = &second->services[0];
    auto after = buckets_per_endpoint(service);
    EXPECT_EQ(after[3], 0u);
    uint32_t moved = 0;
    for (uint32_t b = 0; b < service->bucket_count; b++) {
        moved += service->before[b] != service->target[b];
    }
    EXPECT_EQ(moved, before[3]);
    EXPECT_EQ(second->version, 2u);
    MvDeployment_Unref(first);
    MvDeployment_Unref(second);
}

/* Guards against an evacuation that reaches only some services of the data
 * centre, that delays a retirement, or that does not end. */
TEST(Answers, EndpointsOfAnEvacuatedDataCentreLeave)
{
    std::string valid = read_file(kExamples[0]);
    std::string text =
        replace(valid, "address = 127.20.1.4\n",
                "address = 127.20.1.4\nleaves = 2026-12-01T00:00:00Z\n") +
        "\n[evacuation casa]\nsince = 2026-12-24T18:00:00Z\n";
    const int64_t since = 1798135200;
    mv_deployment_t *evacuated = parse(text);
    ASSERT_NE(evacuated, nullptr);
    unsigned in_casa = 0;
    for (uint16_t s = 0; s < evacuated->service_count; s++) {
        const mv_service_t *service = &evacuated->services[s];
        for (uint16_t e = 0; e < service->endpoint_count; e++) {
            const mv_endpoint_t *endpoint = &service->endpoints[e];
            bool is_in_casa = !strcmp(endpoint->data_centre, "casa");
            bool is_retired = endpoint->address == 0x7f140104;
            in_casa += is_in_casa;
            EXPECT_EQ(endpoint->leaves_at, is_retired   ? 1796083200
                                           : is_in_casa ? since
                                                        : 0)
                << endpoint->name;
        }
    }
    EXPECT_GT(in_casa, 4u);
    MvDeployment_Unref(evacuated);
    const struct {
        const char *section;
        const char *finding;
    } faults[] = {
        {"[evacuation paris]\nsince = now\n",
         "evacuation paris.since: the section's data centre is not among"},
        {"[evacuation casa]\nuntil = now\n", "evacuation casa.since: missing"},
        {"[evacuation casa]\nsince = soon\n", "not a time"},
    };
    for (const auto &fault : faults) {
        std::vector<std::string> found;
        EXPECT_EQ(parse(valid + "\n" + fault.section, &found), nullptr);
        ASSERT_FALSE(found.empty()) << fault.section;
        EXPECT_NE(found[0].find(fault.finding), std::string::npos) << found[0];
    }
}

TEST(Codec, BundlesRoundTripAndForgedOrTruncatedOnesAreRejected)
{
    for (const char *path : kExamples) {
        mv_deployment_t *deployment = parse(read_file(path));
        MvDeployment_Generate(deployment, nullptr, kNow, "one");
        char *bundle = MvDeployment_EncodeSince(deployment, 0);
        mv_deployment_t *copy =
            MvDeployment_Decode(bundle, strlen(bundle), nullptr, nullptr);
        ASSERT_NE(copy, nullptr);
        char *encoded_again = MvDeployment_EncodeSince(copy, 0);
        EXPECT_STREQ(bundle, encoded_again);
        /* A changed number of slots no longer matches the digest. */
        std::string forged = replace(bundle, "\"slots\":", "\"slots\":1");
        EXPECT_EQ(MvDeployment_Decode(forged.c_str(), forged.size(), nullptr,
                                      nullptr),
                  nullptr);
        for (size_t cut = 0; cut < strlen(bundle); cut += 997) {
            EXPECT_EQ(MvDeployment_Decode(bundle, cut, nullptr, nullptr),
                      nullptr);
        }
        free(bundle);
        free(encoded_again);
        MvDeployment_Unref(copy);
        MvDeployment_Unref(deployment);
    }
}

/* A node that has an older version gets only the services that have changed
 * after it.  It must decode the same configuration as from a complete bundle,
 * and reject the bundle when it has no base, or when a service that was left
 * out is not the same in its base. */
TEST(Codec, PartialBundlesDecodeOnlyOnTheirBase)
{
    std::string text = read_file(kExamples[0]);
    mv_deployment_t *first = parse(text);
    MvDeployment_Generate(first, nullptr, kNow, "one");
    mv_deployment_t *second = parse(replace(text, "share = 50", "share = 60"));
    MvDeployment_Generate(second, first, kNow, "two");
    mv_deployment_t *third = parse(replace(text, "port = 443", "port = 444"));
    MvDeployment_Generate(third, second, kNow, "three");
    char *complete = MvDeployment_EncodeSince(second, 0);
    char *partial = MvDeployment_EncodeSince(second, 1);
    EXPECT_LT(strlen(partial), strlen(complete));
    mv_deployment_t *valid =
        MvDeployment_Decode(partial, strlen(partial), first, nullptr);
    ASSERT_NE(valid, nullptr);
    char *encoded_again = MvDeployment_EncodeSince(valid, 0);
    EXPECT_STREQ(encoded_again, complete);
    EXPECT_TRUE(MvDeployment_HasChange(third, "one"));
    EXPECT_FALSE(MvDeployment_HasChange(second, "three"));
    /* No base, and a base in which a service that was left out differs. */
    EXPECT_EQ(MvDeployment_Decode(partial, strlen(partial), nullptr, nullptr),
              nullptr);
    mv_deployment_t *other = parse(replace(
        text, "[service docs]\naddress = ", "[service docs]\naddress = 1"));
    MvDeployment_Generate(other, nullptr, kNow, "other");
    EXPECT_EQ(MvDeployment_Decode(partial, strlen(partial), other, nullptr),
              nullptr);
    free(complete);
    free(partial);
    free(encoded_again);
    for (auto *d : {first, second, third, valid, other}) {
        MvDeployment_Unref(d);
    }
}

struct danger_case {
    const char *from;
    const char *to;
    unsigned danger;
};

TEST(Explain, DangersAreReported)
{
    const danger_case cases[] = {
        {"share = 50", "share = 40", MV_DANGER_NONE},
        {"address = 127.20.1.4\n",
         "address = 127.20.1.4\nleaves = 2020-01-01T00:00:00Z\n",
         MV_DANGER_PAST_RETIREMENT},
        {"[endpoint booking booking-3]", "[endpoint booking other]",
         MV_DANGER_ENDPOINT_REMOVED},
    };
    std::string valid = read_file(kExamples[0]);
    mv_deployment_t *first = parse(valid);
    MvDeployment_Generate(first, nullptr, kNow, "one");
    for (const auto &c : cases) {
        mv_deployment_t *next = parse(replace(valid, c.from, c.to));
        MvDeployment_Generate(next, first, kNow, "two");
        unsigned dangers = 0;
        char *text = MvPlan_Explain(first, next, kNow, &dangers);
        EXPECT_EQ(dangers, c.danger) << text;
        g_free(text);
        MvDeployment_Unref(next);
    }
    MvDeployment_Unref(first);
}
