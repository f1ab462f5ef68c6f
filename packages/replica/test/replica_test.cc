#include <gtest/gtest.h>

#include <ctime>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "masticvane/replica.h"

namespace {

struct store_call {
    std::string kind;
    std::string after;
    bool stale;
    uint64_t revision;
    mv_store_listed_t done;
    void *context;
};

/* A store whose calls stay outstanding until the test replies to them. */
struct manual_store {
    mv_store_t base;
    std::vector<store_call> calls;

    /* Replies to the latest call. */
    void
    reply(mv_store_outcome_t outcome, uint64_t revision,
          std::vector<mv_store_item_t> items = {}, const char *next = nullptr)
    {
        ASSERT_FALSE(calls.empty());
        store_call call = calls.back();
        calls.pop_back();
        mv_store_items_t result = {outcome, revision, next, items.size(),
                                   items.data()};
        call.done(call.context, &result);
    }
};

manual_store *
to_manual(mv_store_t *base)
{
    return reinterpret_cast<manual_store *>(base);
}

void
manual_list(mv_store_t *base, const char *, const char *after, bool stale,
            mv_store_listed_t done, void *context)
{
    to_manual(base)->calls.push_back(
        {"list", after ? after : "", stale, 0, done, context});
}

void
manual_watch(mv_store_t *base, const char *, uint64_t revision, mv_time_t,
             mv_store_listed_t done, void *context)
{
    to_manual(base)->calls.push_back(
        {"watch", "", false, revision, done, context});
}

mv_store_ops_t
make_ops()
{
    mv_store_ops_t ops = {};
    ops.list = manual_list;
    ops.watch = manual_watch;
    return ops;
}

mv_store_item_t
make_item(const char *key, const char *value, uint64_t revision)
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
            self->values.erase(item->key);
        }
        else {
            self->values[item->key] = item->value;
        }
        self->changes++;
    }

    /* Runs until the follower calls the store.  Return: the virtual time that
     * passed. */
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
    manual_store store = {};
    std::map<std::string, std::string> values;
    int changes = 0;
    mv_time_t now = MV_SECOND;
    mv_replica_t *replica;
    GRand *random;
    mv_follower_t *follower;
};

} // namespace

TEST_F(Replica, IgnoresOlderRevisions)
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
        mv_store_item_t update = make_item("k", c.value, c.revision);
        MvReplica_Apply(replica, now, &update);
        EXPECT_EQ(values["k"], c.expected)
            << "after an update with revision " << c.revision;
    }
    mv_store_item_t deletion = make_item("k", nullptr, 10);
    MvReplica_Apply(replica, now, &deletion);
    mv_store_item_t late_update = make_item("k", "late", 8);
    EXPECT_FALSE(MvReplica_Apply(replica, now, &late_update));
    EXPECT_FALSE(values.count("k"));
}

TEST_F(Replica, WatchCatchesUpAfterStaleList)
{
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20,
                {make_item("a", "1", 3), make_item("b", "1", 4)});
    EXPECT_EQ(values.size(), 2u);
    expect_call("watch", false, 20);
    store.reply(MV_STORE_DONE, 25,
                {make_item("a", "2", 22), make_item("b", nullptr, 25)});
    EXPECT_EQ(values["a"], "2");
    EXPECT_FALSE(values.count("b"));
    expect_call("watch", false, 25);
}

TEST_F(Replica, WatchStartsAtRevisionOfFirstPage)
{
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20, {make_item("a", "1", 3)}, "a");
    run_until_call();
    EXPECT_EQ(store.calls[0].after, "a");
    store.reply(MV_STORE_DONE, 30, {make_item("b", "1", 4)});
    expect_call("watch", false, 20);
}

/* Guards against review/11: what was kept of a page decided where the list
 * went on, so that one without a usable item was read for ever. */
TEST_F(Replica, AListGoesOnBehindAPageWithoutItems)
{
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20, {make_item("a", "1", 3)}, "a");
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20, {}, "odd");
    expect_call("list", true, 0);
    EXPECT_EQ(store.calls[0].after, "odd");
    store.reply(MV_STORE_DONE, 20, {make_item("z", "1", 4)});
    EXPECT_TRUE(MvFollower_IsComplete(follower));
    EXPECT_EQ(values.size(), 2u);
}

TEST_F(Replica, APageThatLeadsToItselfFailsTheList)
{
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20, {make_item("a", "1", 3)}, "a");
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20, {}, "a");
    EXPECT_FALSE(MvFollower_IsReachable(follower));
    EXPECT_GE(run_until_call(), 40 * MV_MILLISECOND);
    EXPECT_EQ(store.calls[0].after, "");
}

/* Guards against review/3: the second page was staler than the first, so that
 * the changes between the two were neither in the list nor in the watch. */
TEST_F(Replica, WatchStartsAtRevisionOfOldestPage)
{
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 30, {make_item("a", "1", 3)}, "a");
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20, {make_item("b", "1", 4)}, "b");
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 25, {make_item("c", "1", 5)});
    EXPECT_EQ(MvReplica_Revision(replica), 20u);
    expect_call("watch", false, 20);
    store.reply(MV_STORE_DONE, 31, {make_item("b", nullptr, 22)});
    EXPECT_FALSE(values.count("b"));
}

/* Guards against keys that were deleted before a list and stay for good, as
 * another node's old change of them arrives while the list is read. */
TEST_F(Replica, AnOldChangeBesideAListDoesNotKeepADeletedKey)
{
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20, {make_item("b", "1", 4)}, "b");
    expect_call("list", true, 0);
    mv_store_item_t old = make_item("a", "1", 3);
    MvReplica_Apply(replica, now, &old);
    store.reply(MV_STORE_DONE, 20, {make_item("c", "1", 5)});
    EXPECT_EQ(MvReplica_Revision(replica), 20u);
    EXPECT_FALSE(values.count("a"));
    EXPECT_EQ(values.size(), 2u);
}

/* Guards against keys of a list that are deleted as another node's older
 * snapshot, which lacks them, arrives while the list is read. */
TEST_F(Replica, ASnapshotBesideAListDeletesNoListedKey)
{
    mv_replica_t *peer = MvReplica_Create(changed, this);
    mv_buffer_t snapshot = {};
    MvReplica_Advance(peer, 10);
    MvReplica_EncodeSince(peer, 0, &snapshot);
    MvReplica_Destroy(peer);
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20, {make_item("b", "1", 15)}, "b");
    expect_call("list", true, 0);
    EXPECT_EQ(
        MvReplica_Merge(replica, now, (char *)snapshot.data, snapshot.length),
        MV_MERGE_DONE);
    MvBuffer_Clear(&snapshot);
    store.reply(MV_STORE_DONE, 20, {make_item("c", "1", 16)});
    EXPECT_EQ(values.size(), 2u);
}

TEST_F(Replica, FreshListAfterCompactionDeletesMissingKeys)
{
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20,
                {make_item("a", "1", 3), make_item("b", "1", 4)});
    expect_call("watch", false, 20);
    store.reply(MV_STORE_REFUSED, 0);
    /* A stale list could miss changes of the compacted history. */
    expect_call("list", false, 0);
    store.reply(MV_STORE_DONE, 40,
                {make_item("b", "1", 4), make_item("c", "1", 33)});
    EXPECT_FALSE(values.count("a"));
    EXPECT_EQ(values.size(), 2u);
    EXPECT_EQ(MvReplica_Revision(replica), 40u);
}

TEST_F(Replica, StaleListKeepsNewerKeys)
{
    mv_store_item_t newer = make_item("a", "new", 50);
    MvReplica_Apply(replica, now, &newer);
    MvReplica_Advance(replica, 50);
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 30, {make_item("b", "1", 4)});
    EXPECT_EQ(values["a"], "new");
    EXPECT_EQ(MvReplica_Revision(replica), 50u);
}

TEST_F(Replica, CoalescesChanges)
{
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20);
    run_until_call();
    store.reply(MV_STORE_DONE, 21, {make_item("a", "1", 21)});
    EXPECT_GE(run_until_call(), 390 * MV_MILLISECOND);
    /* After a watch without changes the next watch starts immediately. */
    store.reply(MV_STORE_DONE, 21);
    EXPECT_LE(run_until_call(), 2 * MV_MILLISECOND);
}

/* Guards against a watcher that decodes configuration after configuration and
 * falls behind. */
TEST_F(Replica, OnlyTheLastChangeOfALargeValueIsHandled)
{
    const std::string large(5000, 'x');
    const std::string larger = large + "y";
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20);
    run_until_call();
    store.reply(
        MV_STORE_DONE, 25,
        {make_item("config", large.c_str(), 21), make_item("server", "1", 22),
         make_item("config", large.c_str(), 23), make_item("server", "2", 24),
         make_item("config", larger.c_str(), 25)});
    EXPECT_EQ(values["config"], larger);
    EXPECT_EQ(values["server"], "2");
    EXPECT_EQ(changes, 3);
    expect_call("watch", false, 25);
}

TEST_F(Replica, BacksOffAfterFailures)
{
    int calls = 0;
    for (mv_time_t start = now; now - start < 10 * MV_SECOND; calls++) {
        run_until_call();
        store.reply(MV_STORE_FAILED, 0);
        EXPECT_FALSE(MvFollower_IsReachable(follower));
    }
    EXPECT_LE(calls, 20);
    EXPECT_GE(calls, 6);
    /* A successful reply resets the back-off. */
    run_until_call();
    store.reply(MV_STORE_DONE, 20);
    EXPECT_TRUE(MvFollower_IsReachable(follower));
    EXPECT_LE(run_until_call(), 2 * MV_MILLISECOND);
}

TEST_F(Replica, InterruptedListDeletesNothing)
{
    expect_call("list", true, 0);
    store.reply(MV_STORE_DONE, 20,
                {make_item("a", "1", 3), make_item("b", "1", 4)});
    expect_call("watch", false, 20);
    store.reply(MV_STORE_REFUSED, 0);
    expect_call("list", false, 0);
    store.reply(MV_STORE_DONE, 40, {make_item("a", "1", 3)}, "a");
    run_until_call();
    store.reply(MV_STORE_FAILED, 0);
    EXPECT_EQ(values.size(), 2u);
    expect_call("list", false, 0);
    store.reply(MV_STORE_DONE, 41, {make_item("b", "1", 4)});
    EXPECT_EQ(values.size(), 1u);
}

namespace {

void
count_change(void *context, const mv_store_item_t *)
{
    ++*static_cast<int *>(context);
}

struct replica_fixture {
    replica_fixture() : replica(MvReplica_Create(count_change, &changes))
    {
    }
    ~replica_fixture()
    {
        MvReplica_Destroy(replica);
    }

    bool
    apply(const char *key, const char *value, uint64_t revision)
    {
        mv_store_item_t update = make_item(key, value, revision);
        return MvReplica_Apply(replica, now, &update);
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

/* Return: CPU time to apply a list of @keys keys, the least of 3 runs. */
double
list_cpu_seconds(int keys)
{
    double best = 1e9;
    for (int round = 0; round < 3; round++) {
        replica_fixture fixture;
        const clock_t start = clock();
        mv_replica_list_t *list = MvReplicaList_Create(fixture.replica);
        MvReplicaList_AddPage(list, (uint64_t)keys);
        for (int i = 0; i < keys; i++) {
            /* The keys are not listed in the order of their revisions. */
            uint64_t revision = (uint64_t)i * 7919 % (uint64_t)keys + 1;
            const std::string key = std::to_string(i);
            mv_store_item_t item = make_item(key.c_str(), "x", revision);
            MvReplicaList_Apply(list, fixture.now, &item);
        }
        MvReplicaList_Finish(list, fixture.now);
        EXPECT_EQ(fixture.changes, keys);
        best = MIN(best, (double)(clock() - start) / CLOCKS_PER_SEC);
    }
    return best;
}

} // namespace

/* Servers start and stop thousands of times a day without a new list, so
 * tombstones must be purged; a late update must not restore a purged key. */
TEST(Tombstones, PurgedKeysAreNotRestored)
{
    replica_fixture fixture;
    fixture.apply("kept", "x", 1);
    fixture.apply("gone", "x", 2);
    fixture.apply("gone", nullptr, 3);
    MvReplica_Advance(fixture.replica, 3);
    fixture.now += 30 * MV_SECOND;
    MvReplica_PurgeTombstones(fixture.replica, fixture.now);
    EXPECT_FALSE(fixture.apply("gone", "x", 2))
        << "expected to be ignored: older than the tombstone";

    fixture.now += MV_MINUTE;
    MvReplica_PurgeTombstones(fixture.replica, fixture.now);
    EXPECT_FALSE(fixture.apply("gone", "x", 2))
        << "expected to be ignored: not newer than the purged tombstone";
    EXPECT_EQ(fixture.bytes_since(2), fixture.bytes_since(0))
        << "expected a snapshot, since the deletion cannot be encoded";
    EXPECT_EQ(MvReplica_Count(fixture.replica), 1u);
    EXPECT_TRUE(fixture.apply("gone", "y", 4))
        << "expected to be applied: newer than the purged tombstone";
    EXPECT_EQ(MvReplica_Count(fixture.replica), 2u);
}

/* Guards against review/5: a node that had restarted sent the changes since a
 * revision before its list, without the deletions between, and the receiver
 * kept what was deleted for good. */
TEST(Tombstones, ADeltaFromBeforeAListContainsItsDeletions)
{
    replica_fixture restarted;
    replica_fixture undisturbed;
    undisturbed.apply("gone", "x", 2);
    undisturbed.apply("kept", "x", 3);
    MvReplica_Advance(undisturbed.replica, 3);

    mv_replica_list_t *list = MvReplicaList_Create(restarted.replica);
    mv_store_item_t kept = make_item("kept", "x", 3);
    MvReplicaList_AddPage(list, 5);
    MvReplicaList_Apply(list, restarted.now, &kept);
    MvReplicaList_Finish(list, restarted.now);

    mv_buffer_t bytes = {};
    MvReplica_EncodeSince(restarted.replica,
                          MvReplica_Revision(undisturbed.replica), &bytes);
    MvReplica_Merge(undisturbed.replica, undisturbed.now, (char *)bytes.data,
                    bytes.length);
    MvBuffer_Clear(&bytes);
    EXPECT_EQ(MvReplica_Revision(undisturbed.replica), 5u);
    EXPECT_FALSE(MvReplica_Value(undisturbed.replica, "gone", nullptr));
    EXPECT_EQ(MvReplica_Count(undisturbed.replica), 1u);
}

/* After a list nothing that is older comes back, also of a key whose earlier
 * deletion is known. */
TEST(Tombstones, NoChangeFromBeforeAListIsApplied)
{
    replica_fixture fixture;
    fixture.apply("known", "x", 1);
    fixture.apply("known", nullptr, 2);
    MvReplica_Advance(fixture.replica, 2);
    mv_replica_list_t *list = MvReplicaList_Create(fixture.replica);
    MvReplicaList_AddPage(list, 9);
    MvReplicaList_Finish(list, fixture.now);
    EXPECT_FALSE(fixture.apply("known", "y", 4));
    EXPECT_FALSE(fixture.apply("unknown", "y", 5));
    EXPECT_EQ(MvReplica_Count(fixture.replica), 0u);
    EXPECT_TRUE(fixture.apply("known", "z", 10));
}

TEST(Tombstones, KeptUntilReplicaIsComplete)
{
    replica_fixture fixture;
    fixture.apply("gone", nullptr, 5);
    MvReplica_Advance(fixture.replica, 4);
    fixture.now += 2 * MV_MINUTE;
    MvReplica_PurgeTombstones(fixture.replica, fixture.now);
    EXPECT_FALSE(fixture.apply("gone", "x", 4));
}

TEST(ReplicaCost, ListTimeIsNotQuadratic)
{
    const double small_list_seconds = list_cpu_seconds(5250);
    const double large_list_seconds = list_cpu_seconds(21000);
    EXPECT_LT(large_list_seconds / small_list_seconds, 10)
        << "the ratio is 4 if linear, 16 if quadratic";
}
