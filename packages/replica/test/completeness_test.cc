/* A replica that says that it is complete up to a revision lacks no change of
 * the store up to it, deletions included: lists of stale pages, watches,
 * deltas between nodes, restarts, compactions and restorations in any order.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "masticvane/replica.h"

namespace {

const int kNodes = 4;
const int kKeys = 12;
const int kSteps = 3000;
const uint32_t kSeeds = 60;
const size_t kPageItems = 4;
const uint64_t kMaxStaleness = 25;
const uint64_t kHistory = 60;
const mv_time_t kMaxStep = 400 * MV_MILLISECOND;

struct change_t {
    std::string key;
    bool deleted;
};

/* The number of a change is its position in the changes of its era, from 1 on;
 * the value of a key is its revision in decimal.  An era begins with the first
 * changes of the one before: the store was restored from a copy of then. */
struct history_t {
    std::vector<std::vector<change_t>> eras = {{}};

    std::vector<change_t> &
    changes()
    {
        return eras.back();
    }

    const change_t &
    change(uint64_t revision) const
    {
        return eras[MvStore_Era(revision)][MvStore_Number(revision) - 1];
    }

    uint64_t
    revision() const
    {
        return MvStore_Revision(eras.size() - 1, eras.back().size());
    }

    /* Revision of the last change of @key up to @revision, or 0. */
    uint64_t
    last_change(const std::string &key, uint64_t revision) const
    {
        while (MvStore_Number(revision) > 0 && change(revision).key != key) {
            revision--;
        }
        return MvStore_Number(revision) > 0 ? revision : 0;
    }

    /* Existing keys at @revision, with the revisions of their changes. */
    std::map<std::string, uint64_t>
    state_at(uint64_t revision) const
    {
        std::map<std::string, uint64_t> state;
        uint64_t at = MvStore_Revision(MvStore_Era(revision), 0);
        while (at < revision) {
            const change_t &next = change(++at);
            state.erase(next.key);
            if (!next.deleted) {
                state[next.key] = at;
            }
        }
        return state;
    }
};

struct call_t {
    bool is_list;
    std::string after;
    bool stale;
    uint64_t revision;
    mv_store_listed_t done;
    void *context;
};

/* A node's connection to the store, with at most one outstanding call. */
struct connection_t {
    mv_store_t base;
    std::unique_ptr<call_t> call;
};

void
start_list(mv_store_t *base, const char *, const char *after, bool stale,
           mv_store_listed_t done, void *context)
{
    reinterpret_cast<connection_t *>(base)->call = std::make_unique<call_t>(
        call_t{true, after ? after : "", stale, 0, done, context});
}

void
start_watch(mv_store_t *base, const char *, uint64_t revision, mv_time_t,
            mv_store_listed_t done, void *context)
{
    reinterpret_cast<connection_t *>(base)->call = std::make_unique<call_t>(
        call_t{false, "", false, revision, done, context});
}

mv_store_ops_t
make_ops()
{
    mv_store_ops_t ops = {};
    ops.list = start_list;
    ops.watch = start_watch;
    return ops;
}

const mv_store_ops_t kOps = make_ops();

void
ignore_change(void *, const mv_store_item_t *)
{
}

struct node_t {
    explicit node_t(GRand *random)
    {
        mv_follower_settings_t settings = MvFollowerSettings_Default();
        connection.base.ops = &kOps;
        replica = MvReplica_Create(ignore_change, nullptr);
        follower =
            MvFollower_Create(&settings, &connection.base, replica, random);
    }
    ~node_t()
    {
        MvFollower_Destroy(follower);
        MvReplica_Destroy(replica);
    }

    connection_t connection = {};
    mv_replica_t *replica;
    mv_follower_t *follower;
};

struct delta_t {
    int to;
    std::string bytes;
};

struct fleet_t {
    explicit fleet_t(uint32_t seed) : random(g_rand_new_with_seed(seed))
    {
        for (int i = 0; i < kNodes; i++) {
            nodes.push_back(std::make_unique<node_t>(random));
        }
        change();
    }
    ~fleet_t()
    {
        nodes.clear();
        g_rand_free(random);
    }

    int
    draw(int count)
    {
        return g_rand_int_range(random, 0, count);
    }

    /* A key is created, changed or deleted in the store. */
    void
    change()
    {
        std::string key = "key-" + std::to_string(10 + draw(kKeys));
        bool exists = store.state_at(store.revision()).count(key) > 0;
        store.changes().push_back({key, exists && draw(2) == 0});
    }

    /* The last changes are lost, and their revisions are given out again. */
    void
    restore()
    {
        std::vector<change_t> copy = store.changes();
        copy.resize(copy.size() - std::min<size_t>(copy.size() - 1, draw(30)));
        store.eras.push_back(copy);
    }

    void
    reply(call_t &call, mv_store_outcome_t outcome, uint64_t revision,
          const std::vector<std::pair<std::string, uint64_t>> &changes,
          bool more)
    {
        std::vector<std::string> values;
        std::vector<mv_store_item_t> items;
        for (const auto &[key, at] : changes) {
            values.push_back(std::to_string(at));
        }
        for (size_t i = 0; i < changes.size(); i++) {
            const uint64_t at = changes[i].second;
            const bool deleted = store.change(at).deleted;
            items.push_back({changes[i].first.c_str(),
                             deleted ? nullptr : values[i].c_str(),
                             deleted ? 0 : values[i].size(), at, deleted});
        }
        const char *next = more ? changes.back().first.c_str() : nullptr;
        const mv_store_items_t result = {outcome, revision, next, items.size(),
                                         items.data()};
        call.done(call.context, &result);
    }

    void
    reply_list(call_t &call)
    {
        uint64_t revision = store.revision();
        if (call.stale) {
            revision -= std::min<uint64_t>(MvStore_Number(revision) - 1,
                                           draw(kMaxStaleness));
        }
        std::vector<std::pair<std::string, uint64_t>> page;
        bool more = false;
        for (const auto &[key, at] : store.state_at(revision)) {
            if (key <= call.after) {
                continue;
            }
            more = page.size() == kPageItems;
            if (more) {
                break;
            }
            page.emplace_back(key, at);
        }
        reply(call, MV_STORE_DONE, revision, page, more);
    }

    void
    reply_watch(call_t &call)
    {
        if (call.revision < compacted ||
            MvStore_Era(call.revision) != MvStore_Era(store.revision()) ||
            call.revision + kHistory < store.revision()) {
            reply(call, MV_STORE_REFUSED, 0, {}, false);
            return;
        }
        std::vector<std::pair<std::string, uint64_t>> events;
        for (uint64_t at = call.revision + 1; at <= store.revision(); at++) {
            events.emplace_back(store.change(at).key, at);
        }
        reply(call, MV_STORE_DONE, store.revision(), events, false);
    }

    /* The store answers a node's call, or fails it. */
    void
    answer_call(int index)
    {
        std::unique_ptr<call_t> call =
            std::move(nodes[index]->connection.call);
        if (!call) {
            return;
        }
        if (draw(10) == 0) {
            reply(*call, MV_STORE_FAILED, 0, {}, false);
        }
        else if (call->is_list) {
            reply_list(*call);
        }
        else {
            reply_watch(*call);
        }
    }

    /* A node encodes its changes for another one, since any revision that the
     * other has said, now or before, that it is complete up to. */
    void
    send_delta()
    {
        int from = draw(kNodes);
        int to = draw(kNodes);
        uint64_t since = MvReplica_Revision(nodes[to]->replica);
        mv_buffer_t bytes = {};
        if (draw(12) == 0) {
            MvReplica_EncodePublic(nodes[from]->replica, &bytes);
        }
        else {
            since -=
                std::min<uint64_t>(MvStore_Number(since), draw(3) * draw(20));
            MvReplica_EncodeSince(nodes[from]->replica, since, &bytes);
        }
        deltas.push_back({to, std::string((char *)bytes.data, bytes.length)});
        MvBuffer_Clear(&bytes);
    }

    /* Deltas arrive late, in any order, twice or never. */
    void
    deliver_delta()
    {
        if (deltas.empty()) {
            return;
        }
        size_t i = (size_t)draw((int)deltas.size());
        const delta_t delta = deltas[i];
        if (draw(4) > 0) {
            deltas.erase(deltas.begin() + (long)i);
        }
        MvReplica_Merge(nodes[delta.to]->replica, now, delta.bytes.data(),
                        delta.bytes.size());
        check(delta.to, "a delta");
    }

    void
    step()
    {
        int index = draw(kNodes);
        switch (draw(40)) {
        case 0:
            /* It starts with an empty replica; what was sent to it is lost. */
            nodes[index] = std::make_unique<node_t>(random);
            deltas.erase(std::remove_if(deltas.begin(), deltas.end(),
                                        [index](const delta_t &delta) {
                                            return delta.to == index;
                                        }),
                         deltas.end());
            break;
        case 1:
            if (draw(3) == 0) {
                restore();
            }
            compacted = store.revision();
            break;
        case 2:
            now += 2 * MV_MINUTE;
            MvReplica_PurgeTombstones(nodes[index]->replica, now);
            check(index, "a purge");
            break;
        case 3 ... 12:
            change();
            break;
        case 13 ... 20:
            send_delta();
            break;
        case 21 ... 28:
            deliver_delta();
            break;
        default:
            answer_call(index);
            check(index, "a reply of the store");
        }
        now += draw((int)kMaxStep);
        for (auto &node : nodes) {
            MvFollower_Timer(node->follower, now);
        }
    }

    void
    check(int index, const char *after)
    {
        const mv_replica_t *replica = nodes[index]->replica;
        const uint64_t complete = MvReplica_Revision(replica);
        for (int k = 0; k < kKeys; k++) {
            const std::string key = "key-" + std::to_string(10 + k);
            const char *value = MvReplica_Value(replica, key.c_str(), nullptr);
            const uint64_t last = store.last_change(key, complete);
            const bool is_deleted = last > 0 && store.change(last).deleted;
            const uint64_t known = value ? strtoull(value, nullptr, 10) : 0;
            if (value && known < last) {
                fail(index, after, key, "an old value");
            }
            if (value && MvStore_Era(known) < MvStore_Era(complete)) {
                fail(index, after, key, "a value that the store lost");
            }
            if (!value && last > 0 && !is_deleted &&
                !is_deleted_after(key, complete)) {
                fail(index, after, key, "no value");
            }
        }
    }

    bool
    is_deleted_after(const std::string &key, uint64_t revision) const
    {
        /* What a later era lacks may have been deleted by its list. */
        if (MvStore_Era(revision) < MvStore_Era(store.revision())) {
            return true;
        }
        for (uint64_t at = revision + 1; at <= store.revision(); at++) {
            if (store.change(at).key == key && store.change(at).deleted) {
                return true;
            }
        }
        return false;
    }

    void
    fail(int index, const char *after, const std::string &key,
         const char *what)
    {
        failures.push_back(
            "after " + std::string(after) + " node " + std::to_string(index) +
            ", complete up to " +
            std::to_string(MvReplica_Revision(nodes[index]->replica)) +
            ", has " + what + " of " + key);
    }

    GRand *random;
    mv_time_t now = MV_SECOND;
    history_t store;
    uint64_t compacted = 0;
    std::vector<std::unique_ptr<node_t>> nodes;
    std::vector<delta_t> deltas;
    std::vector<std::string> failures;
};

} // namespace

/* Guards against review/3 (a list whose second page is staler than the first)
 * and review/5 (a delta of a restarted node lacks the deletions before its
 * list), and against changes of other nodes that arrive while a list is read.
 */
TEST(Completeness, AReplicaLacksNoChangeUpToItsRevision)
{
    for (uint32_t seed = 1; seed <= kSeeds; seed++) {
        fleet_t fleet(seed);
        for (int i = 0; i < kSteps && fleet.failures.empty(); i++) {
            fleet.step();
        }
        EXPECT_TRUE(fleet.failures.empty())
            << "seed " << seed << ": " << fleet.failures.front();
    }
}
