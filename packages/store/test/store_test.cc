#include "masticvane/store.h"

#include <gtest/gtest.h>

#include <fstream>
#include <functional>
#include <map>
#include <sstream>

namespace {

/* In-memory store that can lose root writes or the replies to them. */
struct fake_store {
    mv_store_t base;
    std::map<std::string, std::pair<std::string, uint64_t>> values;
    uint64_t index = 0;
    unsigned reads = 0;
    unsigned writes = 0;
    bool is_down = false;
    /* Number of root writes that take effect while the reply is lost. */
    unsigned lose_root_replies = 0;
    /* Called for each root write whose outcome is unknown to the caller. */
    std::function<void()> on_unknown_outcome = [] {};
    /* Number of root writes that are lost. */
    unsigned lose_root_writes = 0;
};

fake_store *
to_fake(mv_store_t *store)
{
    return reinterpret_cast<fake_store *>(store);
}

void
fake_get(mv_store_t *store, const char *key, uint64_t, mv_time_t,
         mv_store_done_t done, void *context)
{
    fake_store *fake = to_fake(store);
    mv_store_reply_t reply = {};
    fake->reads++;
    auto it = fake->values.find(key);
    reply.outcome = fake->is_down              ? MV_STORE_FAILED
                    : it == fake->values.end() ? MV_STORE_REFUSED
                                               : MV_STORE_DONE;
    if (reply.outcome == MV_STORE_DONE) {
        reply.index = it->second.second;
        reply.value = it->second.first.c_str();
        reply.length = it->second.first.size();
    }
    done(context, &reply);
}

void
fake_put(mv_store_t *store, const char *key, const char *value, size_t length,
         uint64_t index, mv_store_done_t done, void *context)
{
    fake_store *fake = to_fake(store);
    mv_store_reply_t reply = {};
    bool is_root = std::string(key).find("/root") != std::string::npos;
    fake->writes++;
    if (fake->is_down) {
        reply.outcome = MV_STORE_FAILED;
        done(context, &reply);
        return;
    }
    if (is_root && fake->lose_root_writes > 0) {
        fake->lose_root_writes--;
        reply.outcome = MV_STORE_UNKNOWN;
        fake->on_unknown_outcome();
        done(context, &reply);
        return;
    }
    auto it = fake->values.find(key);
    uint64_t current = it == fake->values.end() ? 0 : it->second.second;
    reply.outcome = current == index ? MV_STORE_DONE : MV_STORE_REFUSED;
    if (reply.outcome == MV_STORE_DONE) {
        fake->values[key] = {std::string(value, length), ++fake->index};
    }
    if (is_root && fake->lose_root_replies > 0) {
        fake->lose_root_replies--;
        reply.outcome = MV_STORE_UNKNOWN;
        fake->on_unknown_outcome();
    }
    done(context, &reply);
}

const mv_store_ops_t kOps = {fake_get,
                             fake_put,
                             nullptr,
                             nullptr,
                             nullptr,
                             nullptr,
                             nullptr,
                             [](mv_store_t *, int) {},
                             [](mv_store_t *) {}};

mv_deployment_t *
plan(fake_store &store, const char *change, uint64_t *index)
{
    std::ifstream in(MV_EXAMPLES "/atlas-jet.ini");
    std::stringstream text;
    text << in.rdbuf();
    mv_findings_t *findings = MvFindings_Create();
    mv_deployment_t *next =
        MvAnswers_Parse("a", text.str().c_str(), 1800000000, findings);
    MvFindings_Destroy(findings);
    mv_deployment_t *previous =
        MvAccepted_Load(&store.base, next->name, index, nullptr);
    MvDeployment_Generate(next, previous, 1800000000, change);
    MvDeployment_Unref(previous);
    return next;
}

struct confirm_case {
    const char *name;
    bool is_down;
    unsigned lose_replies;
    unsigned lose_writes;
    /* Another change is accepted first. */
    bool is_conflict;
    /* Changes accepted after ours, before the outcome is read back. */
    unsigned later_changes;
    /* Expected error, -1 when the change is accepted. */
    int error_code;
};

} // namespace

TEST(Confirm, ReportedOutcomeMatchesStore)
{
    const confirm_case cases[] = {
        {"plain", false, 0, 0, false, 0, -1},
        {"reply lost", false, 1, 0, false, 0, -1},
        {"write lost", false, 0, 1, false, 0, MV_ERROR_UNAVAILABLE},
        {"store down", true, 0, 0, false, 0, MV_ERROR_UNAVAILABLE},
        {"conflict", false, 0, 0, true, 0, MV_ERROR_CONFLICT},
        {"conflict and write lost", false, 0, 1, true, 0, MV_ERROR_CONFLICT},
        {"reply lost, one later change", false, 1, 0, false, 1, -1},
        {"reply lost, five later changes", false, 1, 0, false, 5, -1},
        {"conflict, write lost, one later change", false, 0, 1, true, 1,
         MV_ERROR_CONFLICT},
    };
    for (const auto &c : cases) {
        fake_store store;
        store.base.ops = &kOps;
        uint64_t index = 0;
        mv_deployment_t *mine = plan(store, "mine", &index);
        if (c.is_conflict) {
            uint64_t their_index = 0;
            mv_deployment_t *theirs = plan(store, "theirs", &their_index);
            ASSERT_TRUE(MvAccepted_Confirm(&store.base, nullptr, theirs,
                                           their_index, 0, nullptr));
            MvDeployment_Unref(theirs);
        }
        store.on_unknown_outcome = [&] {
            for (unsigned i = 0; i < c.later_changes; i++) {
                uint64_t later_index = 0;
                mv_deployment_t *later = plan(store, "later", &later_index);
                EXPECT_TRUE(MvAccepted_Confirm(&store.base, nullptr, later,
                                               later_index, 0, nullptr));
                MvDeployment_Unref(later);
            }
        };
        store.is_down = c.is_down;
        store.lose_root_replies = c.lose_replies;
        store.lose_root_writes = c.lose_writes;
        GError *error = nullptr;
        bool accepted = MvAccepted_Confirm(&store.base, nullptr, mine, index,
                                           MV_SECOND, &error);
        EXPECT_EQ(accepted, c.error_code < 0) << c.name;
        if (c.error_code >= 0) {
            ASSERT_NE(error, nullptr) << c.name;
            EXPECT_EQ(error->code, c.error_code)
                << c.name << ": " << error->message;
        }
        /* The store must agree with the outcome reported to the operator. */
        store.is_down = false;
        uint64_t root_index = 0;
        mv_deployment_t *current =
            MvAccepted_Load(&store.base, mine->name, &root_index, nullptr);
        bool is_stored = current && MvDeployment_HasChange(current, "mine");
        EXPECT_EQ(is_stored, accepted) << c.name;
        g_clear_error(&error);
        MvDeployment_Unref(current);
        MvDeployment_Unref(mine);
    }
}

TEST(Confirm, OnlyChangedServicesAreWritten)
{
    fake_store store;
    store.base.ops = &kOps;
    uint64_t index = 0;
    mv_deployment_t *first = plan(store, "one", &index);
    ASSERT_TRUE(
        MvAccepted_Confirm(&store.base, nullptr, first, index, 0, nullptr));
    EXPECT_EQ(store.writes, 3u) << "expected two services and the root";
    mv_deployment_t *second = plan(store, "two", &index);
    store.writes = 0;
    ASSERT_TRUE(
        MvAccepted_Confirm(&store.base, first, second, index, 0, nullptr));
    EXPECT_EQ(store.writes, 1u) << "expected only the root";
    MvDeployment_Unref(first);
    MvDeployment_Unref(second);
}

static void
record_version(void *context, mv_deployment_t *deployment)
{
    *static_cast<uint64_t *>(context) = deployment->version;
}

TEST(Watch, ResumesAfterOutageWithFewReads)
{
    fake_store store;
    store.base.ops = &kOps;
    GRand *random = g_rand_new_with_seed(1);
    uint64_t version = 0;
    uint64_t index = 0;
    mv_accepted_watch_t *watch = MvAcceptedWatch_Create(
        &store.base, "atlas-jet", random, record_version, &version);
    mv_deployment_t *first = plan(store, "one", &index);
    MvAccepted_Confirm(&store.base, nullptr, first, index, 0, nullptr);
    mv_time_t now = 0;
    MvAcceptedWatch_Timer(watch, now, true);
    EXPECT_EQ(version, 1u);
    /* During an hour without the store the back-off limits the calls, and no
     * other version is reported. */
    store.is_down = true;
    store.reads = 0;
    for (; now < 3600 * MV_SECOND; now += 50 * MV_MILLISECOND) {
        MvAcceptedWatch_Timer(watch, now, true);
    }
    EXPECT_FALSE(MvAcceptedWatch_IsReachable(watch));
    EXPECT_LE(store.reads, 400u);
    EXPECT_EQ(version, 1u);
    store.is_down = false;
    mv_deployment_t *second = plan(store, "two", &index);
    MvAccepted_Confirm(&store.base, first, second, index, 0, nullptr);
    /* Longer than the maximum back-off of 20 s. */
    mv_time_t until = now + 25 * MV_SECOND;
    for (; now < until; now += 50 * MV_MILLISECOND) {
        MvAcceptedWatch_Timer(watch, now, true);
    }
    EXPECT_EQ(version, 2u);
    MvAcceptedWatch_Destroy(watch);
    MvDeployment_Unref(first);
    MvDeployment_Unref(second);
    g_rand_free(random);
}
