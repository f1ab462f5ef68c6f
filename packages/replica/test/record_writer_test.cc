#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>
#include <vector>

#include "masticvane/replica.h"

namespace {

const char kKey[] = "masticvane/record";
const mv_time_t kTravel = 5 * MV_MILLISECOND;

struct writer_node;

/* The store's side of one key.  Nodes see a write after kTravel. */
struct record_world {
    explicit record_world(int count);

    void run(mv_time_t span);

    mv_time_t now = MV_SECOND;
    std::string value;
    uint64_t revision = 0;
    int calls = 0;
    /* Answers to writes that are lost from now on. */
    int lost_answers = 0;
    std::vector<std::unique_ptr<writer_node>> nodes;
};

struct writer_node {
    mv_store_t store; /* first member */
    record_world *world;
    bool is_refused = false;
    mv_replica_t *replica;
    GRand *random;
    mv_record_writer_t *writer;
    mv_time_t written_at = 0;
    std::string text;
    mv_store_reply_t reply;
    mv_store_done_t done = nullptr;
    void *context = nullptr;

    writer_node(record_world *w, unsigned seed);
    ~writer_node();
};

void
put(mv_store_t *base, const char *, const char *value, size_t length,
    uint64_t index, mv_store_done_t done, void *context)
{
    auto *node = reinterpret_cast<writer_node *>(base);
    record_world *world = node->world;
    world->calls++;
    node->done = done;
    node->context = context;
    node->written_at = world->now;
    node->reply = {};
    if (node->is_refused) {
        node->reply.outcome = MV_STORE_FAILED;
        return;
    }
    if (index != world->revision) {
        node->reply.outcome = MV_STORE_REFUSED;
        return;
    }
    world->value.assign(value, length);
    world->revision += 3;
    node->reply.outcome =
        world->lost_answers-- > 0 ? MV_STORE_UNKNOWN : MV_STORE_DONE;
}

void
ignore_change(void *, const mv_store_item_t *)
{
}

const mv_store_ops_t &
ops()
{
    static mv_store_ops_t table = {};
    table.put = put;
    return table;
}

writer_node::writer_node(record_world *w, unsigned seed) : world(w)
{
    store.ops = &ops();
    replica = MvReplica_Create(ignore_change, nullptr);
    random = g_rand_new_with_seed(seed);
    writer = MvRecordWriter_Create(kKey, &store, replica, random);
}

writer_node::~writer_node()
{
    MvRecordWriter_Destroy(writer);
    MvReplica_Destroy(replica);
    g_rand_free(random);
}

record_world::record_world(int count)
{
    for (int i = 0; i < count; i++) {
        nodes.push_back(std::make_unique<writer_node>(this, 100u + i));
    }
}

/* Each node wants "new" while its replica shows something else. */
void
record_world::run(mv_time_t span)
{
    for (mv_time_t end = now + span; now < end; now += MV_MILLISECOND) {
        for (auto &node : nodes) {
            if (node->done && now >= node->written_at + kTravel) {
                mv_store_done_t done = node->done;
                node->done = nullptr;
                done(node->context, &node->reply);
            }
            if (revision > 0 && now % kTravel == 0) {
                const mv_store_item_t item = {kKey, value.c_str(),
                                              value.size(), revision, false};
                MvReplica_Apply(node->replica, now, &item);
            }
            const char *known = MvReplica_Value(node->replica, kKey, nullptr);
            bool is_written = known && !strcmp(known, "new");
            MvRecordWriter_Want(node->writer, now, is_written ? NULL : "new",
                                0, 300 * MV_MILLISECOND);
            MvRecordWriter_Timer(node->writer, now);
        }
    }
}

} // namespace

/* Guards against a storm of writes by nodes that all saw the same change. */
TEST(RecordWriter, OfManyNodesFewWrite)
{
    for (int count : {1, 5, 60}) {
        record_world world(count);
        world.run(2 * MV_SECOND);
        EXPECT_EQ(world.value, "new") << count;
        EXPECT_LE(world.calls, 1 + count / 15) << count;
        int calls = world.calls;
        world.run(20 * MV_SECOND);
        EXPECT_EQ(world.calls, calls) << count;
    }
}

/* Guards against a record that is missing since the first writer failed. */
TEST(RecordWriter, ItIsWrittenThoughCallsFail)
{
    enum { LOST_ANSWERS, REFUSED_NODES, REFUSED_FOR_A_WHILE, CONFLICT };
    struct {
        const char *what;
        int trouble;
        mv_time_t limit;
    } const cases[] = {
        {"answers are lost", LOST_ANSWERS, MV_SECOND},
        {"some nodes are refused", REFUSED_NODES, MV_SECOND},
        {"all nodes are refused for 10 s", REFUSED_FOR_A_WHILE,
         26 * MV_SECOND},
        {"the key has another value", CONFLICT, MV_SECOND},
    };
    for (const auto &c : cases) {
        record_world world(4);
        world.lost_answers = c.trouble == LOST_ANSWERS ? 3 : 0;
        for (size_t i = 0; i < 4; i++) {
            world.nodes[i]->is_refused =
                c.trouble == REFUSED_FOR_A_WHILE ||
                (c.trouble == REFUSED_NODES && i != 2);
        }
        if (c.trouble == CONFLICT) {
            world.value = "old";
            world.revision = 7;
        }
        if (c.trouble == REFUSED_FOR_A_WHILE) {
            world.run(10 * MV_SECOND);
            EXPECT_LE(world.calls, 4 * 6) << c.what;
            for (auto &node : world.nodes) {
                node->is_refused = false;
            }
        }
        world.run(c.limit);
        EXPECT_EQ(world.value, "new") << c.what;
        EXPECT_LE(world.calls, 4 * 8) << c.what;
    }
}

/* Guards against overwriting what another node wrote since. */
TEST(RecordWriter, ItWritesUnderTheConditionThatTheKeyIsAsKnown)
{
    record_world world(1);
    world.nodes[0]->is_refused = true;
    world.run(400 * MV_MILLISECOND);
    EXPECT_EQ(world.calls, 1);
    world.nodes[0]->is_refused = false;
    world.value = "of another node";
    world.revision = 9;
    /* The replica has not seen it yet. */
    mv_record_writer_t *writer = world.nodes[0]->writer;
    MvRecordWriter_Want(writer, world.now, "new", 0, 0);
    while (world.calls == 1) {
        world.now += MV_MILLISECOND;
        MvRecordWriter_Timer(writer, world.now);
    }
    EXPECT_EQ(world.value, "of another node");
    EXPECT_EQ(world.nodes[0]->reply.outcome, MV_STORE_REFUSED);
}
