#include <gtest/gtest.h>

#include <ctime>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "masticvane/replica.h"

namespace {

struct call_t {
    std::string kind;
    std::string after;
    bool stale;
    uint64_t revision;
    mv_store_listed_t done;
    void *context;
};

/* A store whose answers the test gives by hand. */
struct hand_store {
    mv_store_t base;
    std::vector<call_t> calls;

    void
    answer(mv_store_outcome_t outcome, uint64_t revision,
           std::vector<mv_store_item_t> items = {}, bool more = false)
    {
        ASSERT_FALSE(calls.empty());
        call_t call = calls.back();
        calls.pop_back();
        mv_store_items_t reply = {outcome, revision, more, items.size(),
                                  items.data()};
        call.done(call.context, &reply);
    }
};

hand_store *
of(mv_store_t *base)
{
    return reinterpret_cast<hand_store *>(base);
}

void
hand_list(mv_store_t *base, const char *, const char *after, bool stale,
          mv_store_listed_t done, void *context)
{
    of(base)->calls.push_back(
        {"list", after ? after : "", stale, 0, done, context});
}

void
hand_watch(mv_store_t *base, const char *, uint64_t revision, mv_time_t,
           mv_store_listed_t done, void *context)
{
    of(base)->calls.push_back({"watch", "", false, revision, done, context});
}

mv_store_ops_t
make_ops()
{
    mv_store_ops_t ops = {};
    ops.list = hand_list;
    ops.watch = hand_watch;
    return ops;
}

mv_store_item_t
item(const char *key, const char *value, uint64_t revision)
{
    return {key, value, value ? strlen(value) : 0, revision, value == nullptr};
}

struct Replica : testing::Test {
    Replica()
    {
        store.base.ops = &ops;
        replica = MvReplica_Create(changed, this);
        random = g_rand_new_with_seed(11);
        mv_follower_settings_t settings = MvFollowerSettings_Default();
        follower = MvFollower_Create(&settings, &store.base, replica, random);
    }

    ~Replica() override
    {
        MvFollower_Destroy(follower);
        MvReplica_Destroy(replica);
        g_rand_free(random);
    }

    static void
    changed(void *context, const mv_store_item_t *item)
    {
        auto *self = static_cast<Replica *>(context);
        if (item->deleted) {
            self->known.erase(item->key);
        }
        else {
            self->known[item->key] = item->value;
        }
        self->changes++;
    }

    /* Time until the follower calls again. */
    mv_time_t
    run_until_call()
    {
        mv_time_t start = now;
        while (store.calls.empty() && now - start < MV_MINUTE) {
            MvFollower_Timer(follower, now);
            now += MV_MILLISECOND;
        }
        return now - start;
    }

    void
    expect_call(const char *kind, bool stale, uint64_t revision)
    {
        run_until_call();
        ASSERT_EQ(store.calls.size(), 1u);
        EXPECT_EQ(store.calls[0].kind, kind);
        EXPECT_EQ(store.calls[0].stale, stale);
        EXPECT_EQ(store.calls[0].revision, revision);
    }

    const mv_store_ops_t ops = make_ops();
    hand_store store = {};
    std::map<std::string, std::string> known;
    int changes = 0;
    mv_time_t now = MV_SECOND;
    mv_replica_t *replica;
    GRand *random;
    mv_follower_t *follower;
};

} // namespace

TEST_F(Replica, NoKeyGoesBackWhoeverTells)
{
    struct {
        const char *value;
        uint64_t revision;
        const char *expected;
    } const cases[] = {
        {"a", 5, "a"}, {"old", 4, "a"},   {"same", 5, "a"},
        {"b", 9, "b"}, {nullptr, 7, "b"},
    };
    for (const auto &c : cases) {
        mv_store_item_t given = item("k", c.value, c.revision);
        MvReplica_Apply(replica, now, &given);
        EXPECT_EQ(known["k"], c.expected) << c.revision;
    }
    mv_store_item_t gone = item("k", nullptr, 10);
    MvReplica_Apply(replica, now, &gone);
    mv_store_item_t late = item("k", "late", 8);
    EXPECT_FALSE(MvReplica_Apply(replica, now, &late));
    EXPECT_FALSE(known.count("k"));
}

TEST_F(Replica, AFirstListMayBeOldAndTheWatchCatchesUp)
{
    expect_call("list", true, 0);
    store.answer(MV_STORE_DONE, 20, {item("a", "1", 3), item("b", "1", 4)});
    EXPECT_EQ(known.size(), 2u);
    expect_call("watch", false, 20);
    store.answer(MV_STORE_DONE, 25,
                 {item("a", "2", 22), item("b", nullptr, 25)});
    EXPECT_EQ(known["a"], "2");
    EXPECT_FALSE(known.count("b"));
    expect_call("watch", false, 25);
}

TEST_F(Replica, PagesAreNoSnapshotTheWatchRepeatsAllSinceTheFirst)
{
    expect_call("list", true, 0);
    store.answer(MV_STORE_DONE, 20, {item("a", "1", 3)}, true);
    run_until_call();
    EXPECT_EQ(store.calls[0].after, "a");
    store.answer(MV_STORE_DONE, 30, {item("b", "1", 4)});
    expect_call("watch", false, 20);
}

TEST_F(Replica, WhenHistoryIsGoneAFreshListTellsWhatVanished)
{
    expect_call("list", true, 0);
    store.answer(MV_STORE_DONE, 20, {item("a", "1", 3), item("b", "1", 4)});
    expect_call("watch", false, 20);
    store.answer(MV_STORE_REFUSED, 0);
    /* An old list could miss what the lost history told. */
    expect_call("list", false, 0);
    store.answer(MV_STORE_DONE, 40, {item("b", "1", 4), item("c", "1", 33)});
    EXPECT_FALSE(known.count("a"));
    EXPECT_EQ(known.size(), 2u);
    EXPECT_EQ(MvReplica_Revision(replica), 40u);
}

TEST_F(Replica, AnOldListTakesNothingAwayThatIsNewer)
{
    mv_store_item_t newer = item("a", "new", 50);
    MvReplica_Apply(replica, now, &newer);
    MvReplica_Advance(replica, 50);
    expect_call("list", true, 0);
    store.answer(MV_STORE_DONE, 30, {item("b", "1", 4)});
    EXPECT_EQ(known["a"], "new");
    EXPECT_EQ(MvReplica_Revision(replica), 50u);
}

TEST_F(Replica, ChangesThatComeTogetherCostOneCall)
{
    expect_call("list", true, 0);
    store.answer(MV_STORE_DONE, 20);
    run_until_call();
    store.answer(MV_STORE_DONE, 21, {item("a", "1", 21)});
    EXPECT_GE(run_until_call(), 390 * MV_MILLISECOND);
    /* A watch that ends without news is followed by the next at once. */
    store.answer(MV_STORE_DONE, 21);
    EXPECT_LE(run_until_call(), 2 * MV_MILLISECOND);
}

TEST_F(Replica, AStoreThatRefusesIsAskedMoreAndMoreRarely)
{
    int calls = 0;
    for (mv_time_t start = now; now - start < 10 * MV_SECOND; calls++) {
        run_until_call();
        store.answer(MV_STORE_NOT_SENT, 0);
        EXPECT_FALSE(MvFollower_IsReachable(follower));
    }
    EXPECT_LE(calls, 20);
    EXPECT_GE(calls, 6);
    /* After an answer the pauses are short again. */
    run_until_call();
    store.answer(MV_STORE_DONE, 20);
    EXPECT_TRUE(MvFollower_IsReachable(follower));
    EXPECT_LE(run_until_call(), 2 * MV_MILLISECOND);
}

TEST_F(Replica, AListThatBreaksOffHalfwayTakesNothingAway)
{
    expect_call("list", true, 0);
    store.answer(MV_STORE_DONE, 20, {item("a", "1", 3), item("b", "1", 4)});
    expect_call("watch", false, 20);
    store.answer(MV_STORE_REFUSED, 0);
    expect_call("list", false, 0);
    store.answer(MV_STORE_DONE, 40, {item("a", "1", 3)}, true);
    run_until_call();
    store.answer(MV_STORE_NOT_SENT, 0);
    EXPECT_EQ(known.size(), 2u);
    expect_call("list", false, 0);
    store.answer(MV_STORE_DONE, 41, {item("b", "1", 4)});
    EXPECT_EQ(known.size(), 1u);
}

namespace {

void
count_change(void *context, const mv_store_item_t *)
{
    ++*static_cast<int *>(context);
}

struct copy_t {
    copy_t() : replica(MvReplica_Create(count_change, &changes))
    {
    }
    ~copy_t()
    {
        MvReplica_Destroy(replica);
    }

    bool
    apply(const char *key, const char *value, uint64_t revision)
    {
        mv_store_item_t one = item(key, value, revision);
        return MvReplica_Apply(replica, now, &one);
    }

    size_t
    bytes_since(uint64_t since) const
    {
        mv_buffer_t bytes = {};
        EXPECT_TRUE(MvReplica_EncodeSince(replica, since, &bytes));
        size_t length = bytes.length;
        MvBuffer_Clear(&bytes);
        return length;
    }

    int changes = 0;
    mv_time_t now = MV_SECOND;
    mv_replica_t *replica;
};

double
processor_seconds(int keys)
{
    double best = 1e9;
    for (int round = 0; round < 3; round++) {
        copy_t copy;
        const clock_t began = clock();
        MvReplica_BeginList(copy.replica);
        for (int i = 0; i < keys; i++) {
            /* In the order of names, which is none of revisions. */
            uint64_t revision = (uint64_t)i * 7919 % (uint64_t)keys + 1;
            copy.apply(std::to_string(i).c_str(), "x", revision);
        }
        MvReplica_EndList(copy.replica, copy.now, (uint64_t)keys);
        EXPECT_EQ(copy.changes, keys);
        best = MIN(best, (double)(clock() - began) / CLOCKS_PER_SEC);
    }
    return best;
}

} // namespace

/* Servers come and go thousands of times a day while nobody lists anew. */
TEST(Copy, WhatWasDeletedLongAgoIsLetGoAndDoesNotComeBack)
{
    copy_t copy;
    copy.apply("kept", "x", 1);
    copy.apply("gone", "x", 2);
    copy.apply("gone", nullptr, 3);
    MvReplica_Advance(copy.replica, 3);
    copy.now += 30 * MV_SECOND;
    MvReplica_PurgeTombstones(copy.replica, copy.now);
    EXPECT_FALSE(copy.apply("gone", "x", 2)) << "remembered as deleted";

    copy.now += MV_MINUTE;
    MvReplica_PurgeTombstones(copy.replica, copy.now);
    EXPECT_FALSE(copy.apply("gone", "x", 2)) << "forgotten, and too old";
    EXPECT_EQ(copy.bytes_since(2), copy.bytes_since(0))
        << "whoever missed the deletion gets a whole copy";
    EXPECT_EQ(MvReplica_Count(copy.replica), 1u);
    EXPECT_TRUE(copy.apply("gone", "y", 4)) << "it may be made anew";
    EXPECT_EQ(MvReplica_Count(copy.replica), 2u);
}

TEST(Copy, WhatIsNotYetCompleteIsNotForgotten)
{
    copy_t copy;
    copy.apply("gone", nullptr, 5);
    MvReplica_Advance(copy.replica, 4);
    copy.now += 2 * MV_MINUTE;
    MvReplica_PurgeTombstones(copy.replica, copy.now);
    EXPECT_FALSE(copy.apply("gone", "x", 4));
}

TEST(Copy, AListOfFourTimesTheKeysIsNoSixteenTimesTheWork)
{
    const double quarter = processor_seconds(5250);
    const double whole = processor_seconds(21000);
    EXPECT_LT(whole / quarter, 10) << "four by rights, sixteen if squared";
}
