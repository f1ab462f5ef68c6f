#include "fanout_sim.h"

#include <cstring>

extern "C" {
#include "table.h"
}

const char *const kServerKey = "server";

namespace {

const mv_time_t kStep = 10 * MV_MILLISECOND;
const mv_time_t kStoreDelay = 4 * MV_MILLISECOND;
/* The timeouts of the platform's store client. */
const mv_time_t kCallTimeout = 1200 * MV_MILLISECOND;
const mv_time_t kWatchGrace = 600 * MV_MILLISECOND;
/* A message without its blob has 36 bytes of framing and about 24 bytes of
 * other fields. */
const size_t kDatagramOverheadBytes = 60;
/* Longest way of a reply and of the heartbeats that tell of it: what a node
 * knows is that much older than it thinks. */
const mv_time_t kTravelTime = 100 * MV_MILLISECOND;

fanout_sim_node *
node_of(mv_store_t *store)
{
    return reinterpret_cast<fanout_sim_node *>(store);
}

/* Runs @action after @delay, or when the node is no longer frozen, unless it
 * stops or restarts before. */
void
run_later(fanout_sim_node *node, mv_time_t delay, std::function<void()> action)
{
    int incarnation = node->incarnation;
    node->sim->schedule(delay, [=] {
        if (!node->alive || node->incarnation != incarnation) {
            return;
        }
        if (node->frozen_until > node->sim->now) {
            run_later(node, node->frozen_until - node->sim->now, action);
            return;
        }
        action();
    });
}

/* Return: true when the call reaches the store.  Otherwise @failed runs after
 * kStoreDelay if connections are refused, after @timeout if no reply comes. */
bool
call_reaches_store(fanout_sim_node *node, mv_time_t timeout,
                   std::function<void()> failed)
{
    if (node->access == store_access::reachable) {
        node->calls++;
        return true;
    }
    bool refused = node->access == store_access::refused;
    node->calls += refused;
    run_later(node, refused ? kStoreDelay : timeout, failed);
    return false;
}

void
reply_list(
    mv_store_listed_t done, void *context, uint64_t revision,
    const std::vector<std::pair<std::string, fanout_sim::item_t>> &found)
{
    std::vector<mv_store_item_t> items;
    for (const auto &[key, item] : found) {
        items.push_back({key.c_str(),
                         item.deleted ? nullptr : item.value.c_str(),
                         item.value.size(), item.revision, item.deleted});
    }
    mv_store_items_t reply = {MV_STORE_DONE, revision, nullptr, items.size(),
                              items.data()};
    done(context, &reply);
}

void
fail_list(mv_store_listed_t done, void *context, mv_store_outcome_t outcome)
{
    mv_store_items_t reply = {};
    reply.outcome = outcome;
    done(context, &reply);
}

void
store_list(mv_store_t *base, const char *, const char *, bool,
           mv_store_listed_t done, void *context)
{
    fanout_sim_node *node = node_of(base);
    fanout_sim *sim = node->sim;
    if (call_reaches_store(node, kCallTimeout, [=] {
            fail_list(done, context, MV_STORE_FAILED);
        })) {
        run_later(node, kStoreDelay + node->slowness, [=] {
            std::vector<std::pair<std::string, fanout_sim::item_t>> found;
            for (const auto &entry : sim->items) {
                if (!entry.second.deleted) {
                    found.push_back(entry);
                }
            }
            reply_list(done, context, sim->revision, found);
        });
    }
}

void
store_watch(mv_store_t *base, const char *, uint64_t after, mv_time_t wait,
            mv_store_listed_t done, void *context)
{
    fanout_sim_node *node = node_of(base);
    if (call_reaches_store(node, wait + kWatchGrace, [=] {
            fail_list(done, context, MV_STORE_FAILED);
        })) {
        node->sim->pending_watches.push_back({node->index, node->incarnation,
                                              after, node->sim->now + wait,
                                              done, context});
    }
}

void
store_put(mv_store_t *base, const char *key, const char *value, size_t length,
          uint64_t index, uint64_t, mv_store_done_t done, void *context)
{
    fanout_sim_node *node = node_of(base);
    std::string name = key;
    std::string text(value, length);
    auto reply_unknown = [=] {
        mv_store_reply_t reply = {MV_STORE_UNKNOWN, 0, nullptr, 0};
        done(context, &reply);
    };
    if (!call_reaches_store(node, kCallTimeout, reply_unknown)) {
        return;
    }
    run_later(node, kStoreDelay + node->slowness, [=] {
        auto found = node->sim->items.find(name);
        bool exists =
            found != node->sim->items.end() && !found->second.deleted;
        mv_store_reply_t reply = {MV_STORE_REFUSED, 0, nullptr, 0};
        if (!exists && index == 0) {
            node->sim->write(name, text);
            reply.outcome = MV_STORE_DONE;
        }
        done(context, &reply);
    });
}

void
store_put_plain(mv_store_t *base, const char *key, const char *value,
                size_t length, uint64_t index, mv_store_done_t done,
                void *context)
{
    store_put(base, key, value, length, index, 0, done, context);
}

void
store_lease(mv_store_t *base, mv_time_t, mv_store_done_t done, void *context)
{
    fanout_sim_node *node = node_of(base);
    /* The lease id is arbitrary: the simulated store ignores leases. */
    auto send_reply = [=](mv_store_outcome_t outcome) {
        mv_store_reply_t reply = {outcome, 7, nullptr, 0};
        done(context, &reply);
    };
    if (call_reaches_store(node, kCallTimeout,
                           [=] { send_reply(MV_STORE_UNKNOWN); })) {
        run_later(node, kStoreDelay + node->slowness,
                  [=] { send_reply(MV_STORE_DONE); });
    }
}

void
store_renew_lease(mv_store_t *base, uint64_t, mv_store_done_t done,
                  void *context)
{
    store_lease(base, 0, done, context);
}

mv_store_ops_t
make_ops()
{
    mv_store_ops_t ops = {};
    ops.list = store_list;
    ops.watch = store_watch;
    ops.put = store_put_plain;
    ops.put_leased = store_put;
    ops.lease = store_lease;
    ops.renew_lease = store_renew_lease;
    return ops;
}

const mv_store_ops_t kStoreOps = make_ops();

/* Callbacks of the node */

void
check_claim(fanout_sim_node *node, const char *key)
{
    auto erased = node->sim->erased_at.find(key);
    if (erased != node->sim->erased_at.end() &&
        MvFanout_CompleteAt(node->fanout) > erased->second + kTravelTime) {
        node->wrong_claims++;
    }
}

mv_directory_t *
create_directory()
{
    mv_directory_settings_t settings = {};
    settings.retention = MV_MINUTE;
    settings.vanished_grace = MV_REANNOUNCE_TIME;
    mv_directory_t *directory = MvDirectory_Create(&settings);
    mv_routing_t *routing = MvRouting_Create();
    mv_service_limits_t limits = {};
    g_strlcpy(limits.service, "booking", MV_NAME_MAX);
    g_array_append_val(routing->limits, limits);
    routing->version = 1;
    MvDirectory_SetRouting(directory, 0, routing);
    return directory;
}

void
update_use(fanout_sim_node *node)
{
    mv_table_t *table = MvDirectory_Table(node->directory, node->sim->now);
    node->usable_until =
        table->server_count > 0 ? table->servers[0].usable_until : 0;
    MvTable_Destroy(table);
}

/* As the daemon does with the announcement of a server. */
void
apply_server(fanout_sim_node *node, const mv_store_item_t *item)
{
    const mv_time_t now = node->sim->now;
    mv_server_t server = {};
    server.id = 1;
    server.started_at = 1;
    g_strlcpy(server.service, "booking", MV_NAME_MAX);
    if (item->deleted) {
        MvDirectory_Withdraw(node->directory, now,
                             MvFanout_DateRemoval(node->fanout, now),
                             item->key);
    }
    else {
        MvDirectory_Announce(node->directory, now, item->key, item->revision,
                             &server);
    }
    update_use(node);
}

void
note_use(fanout_sim_node *node)
{
    const mv_time_t now = node->sim->now;
    mv_time_t outage = MvFanout_TakeOutage(node->fanout, now);
    if (outage > 0 &&
        MvDirectory_NoteStoreOutage(node->directory, now, outage)) {
        update_use(node);
    }
    if (now < node->usable_until) {
        node->last_used_at = now;
    }
}

void
changed(void *context, const mv_store_item_t *item)
{
    auto *node = static_cast<fanout_sim_node *>(context);
    if (g_str_has_prefix(item->key, MV_NODE_PREFIX)) {
        MvFanout_UpdateNode(node->fanout, node->sim->now, item->key,
                            item->deleted ? nullptr : item->value);
    }
    auto previous = node->values.find(item->key);
    if (!item->deleted && g_str_has_prefix(item->key, "number/") &&
        previous != node->values.end() &&
        std::stoull(previous->second) > std::stoull(item->value)) {
        node->sim->has_reverted = true;
    }
    if (item->deleted) {
        check_claim(node, item->key);
        node->values.erase(item->key);
    }
    else {
        node->values[item->key] = item->value;
    }
    node->changed_at[item->key] = node->sim->now;
    if (!strcmp(item->key, kServerKey)) {
        apply_server(node, item);
    }
}

fanout_sim_node *
find_node(fanout_sim *sim, mv_node_id_t id)
{
    for (auto &node : sim->nodes) {
        if (node->alive && node->is_registered && node->id == id) {
            return node.get();
        }
    }
    return nullptr;
}

void
send_message(void *context, mv_node_id_t to, const mv_message_t *message)
{
    auto *node = static_cast<fanout_sim_node *>(context);
    fanout_sim *sim = node->sim;
    fanout_sim_node *receiver = find_node(sim, to);
    sim->datagrams++;
    sim->bytes += kDatagramOverheadBytes + message->blob_length;
    node->bytes_sent += kDatagramOverheadBytes + message->blob_length;
    if (!node->is_registered || !receiver ||
        sim->cut_links.count({node->index, receiver->index}) ||
        (message->kind == MV_MESSAGE_REPLICA_DELTA &&
         sim->hung_streams.count({node->index, receiver->index})) ||
        g_rand_double(sim->random) < sim->loss) {
        return;
    }
    std::string blob(message->blob ? message->blob : "", message->blob_length);
    mv_message_t copy = *message;
    run_later(receiver, MV_MILLISECOND + receiver->slowness, [=]() mutable {
        copy.blob = blob.data();
        MvFanout_HandleMessage(receiver->fanout, sim->now, &copy);
    });
}

void
add_peer(void *, const mv_node_record_t *)
{
}

void
role_changed(void *, bool, unsigned)
{
}

void
contact_changed(void *context, mv_node_id_t id, bool is_back,
                mv_time_t silence)
{
    auto *node = static_cast<fanout_sim_node *>(context);
    bool is_change = is_back ? node->lost_peers.erase(id) > 0
                             : node->lost_peers.insert(id).second;
    node->duplicate_reports += is_change ? 0 : 1;
    if (is_back) {
        node->longest_silence = MAX(node->longest_silence, silence);
    }
}

void
source_lost(void *, mv_node_id_t, mv_source_loss_t)
{
}

void
source_found(void *, mv_node_id_t, unsigned, mv_time_t)
{
}

char *
generate_keys(void *context)
{
    auto *node = static_cast<fanout_sim_node *>(context);
    return g_strdup_printf("1 %02d", ++node->sim->generated_keys);
}

void
registered(void *context, mv_node_id_t id)
{
    auto *node = static_cast<fanout_sim_node *>(context);
    if (!node->is_registered) {
        node->id = id;
        node->is_registered = true;
        MvFanout_SetSelf(node->fanout, node->sim->now, id);
    }
}

const mv_fanout_ops_t kFanoutOps = {send_message, add_peer,
                                    role_changed, contact_changed,
                                    source_lost,  source_found};
const mv_registration_ops_t kRegistrationOps = {generate_keys, registered};

} // namespace

fanout_sim::fanout_sim(int count, int data_centres, uint32_t seed,
                       mv_time_t change_limit)
    : change_limit(change_limit), random(g_rand_new_with_seed(seed)),
      data_centres(data_centres)
{
    add_nodes(count, [](int) { return 0u; });
}

void
fanout_sim::add_nodes(int count, const std::function<unsigned(int)> &tier_of)
{
    const int first = (int)nodes.size();
    for (int i = first; i < first + count; i++) {
        auto node = std::make_unique<fanout_sim_node>();
        node->store.ops = &kStoreOps;
        node->sim = this;
        node->index = i;
        node->tier = tier_of(i);
        node->data_centre = "dc" + std::to_string(i % data_centres);
        node->access = store_access::reachable;
        nodes.push_back(std::move(node));
    }
    for (int i = first; i < first + count; i++) {
        start(i);
    }
}

fanout_sim::~fanout_sim()
{
    for (size_t i = 0; i < nodes.size(); i++) {
        stop((int)i);
    }
    g_rand_free(random);
}

void
fanout_sim::start(int index)
{
    fanout_sim_node *node = nodes[index].get();
    mv_follower_settings_t follower = MvFollowerSettings_Default();
    mv_fanout_settings_t fanout =
        MvFanoutSettings_Default(node->data_centre.c_str());
    fanout.change_limit = change_limit;
    mv_node_record_t self = {};
    g_strlcpy(self.data_centre, node->data_centre.c_str(), MV_NAME_MAX);
    std::string address = "10.0." + std::to_string(index / 250) + "." +
                          std::to_string(index % 250 + 1);
    g_strlcpy(self.address, address.c_str(), sizeof(self.address));
    self.port = 7720;
    node->incarnation++;
    node->frozen_until = 0;
    node->alive = true;
    node->is_registered = false;
    node->directory = create_directory();
    node->usable_until = 0;
    node->last_used_at = 0;
    node->replica = MvReplica_Create(changed, node);
    node->follower =
        MvFollower_Create(&follower, &node->store, node->replica, random);
    node->fanout = MvFanout_Create(&fanout, node->replica, node->follower,
                                   &kFanoutOps, node);
    node->registration =
        MvRegistration_Create(&self, node->tier, &node->store, node->replica,
                              random, &kRegistrationOps, node);
}

void
fanout_sim::stop(int index)
{
    fanout_sim_node *node = nodes[index].get();
    if (!node->alive) {
        return;
    }
    node->alive = false;
    MvRegistration_Destroy(node->registration);
    MvFanout_Destroy(node->fanout);
    MvFollower_Destroy(node->follower);
    MvReplica_Destroy(node->replica);
    MvDirectory_Destroy(node->directory);
    node->values.clear();
    node->changed_at.clear();
}

void
fanout_sim::freeze(int index, mv_time_t span)
{
    nodes[index]->frozen_until = now + span;
}

void
fanout_sim::schedule(mv_time_t delay, std::function<void()> action)
{
    events.push({now + delay, order++, std::move(action)});
}

void
fanout_sim::write(const std::string &key, const std::string &value)
{
    items[key] = {value, ++revision, false};
}

void
fanout_sim::erase(const std::string &key)
{
    items[key] = {"", ++revision, true};
    erased_at[key] = now;
}

void
fanout_sim::compact_history()
{
    history_start = revision + 1;
}

fanout_sim::copy_t
fanout_sim::save() const
{
    return {items, revision};
}

/* The history is gone as well. */
void
fanout_sim::restore(const copy_t &copy)
{
    uint64_t era = MvStore_Era(revision) + 1;
    revision = MvStore_Revision(era, MvStore_Number(copy.revision));
    items.clear();
    for (const auto &[key, item] : copy.items) {
        if (!item.deleted) {
            items[key] = item;
            items[key].revision =
                MvStore_Revision(era, MvStore_Number(item.revision));
        }
    }
    history_start = revision + 1;
}

void
fanout_sim::serve_watches()
{
    std::vector<pending_watch_t> still_pending;
    std::vector<pending_watch_t> watches = std::move(pending_watches);
    pending_watches.clear();
    for (const pending_watch_t &watch : watches) {
        fanout_sim_node *node = nodes[watch.node].get();
        if (!node->alive || node->incarnation != watch.incarnation) {
            continue;
        }
        if (node->access == store_access::no_reply) {
            run_later(node, watch.until + kWatchGrace - now, [=] {
                fail_list(watch.done, watch.context, MV_STORE_FAILED);
            });
            continue;
        }
        if (watch.after + 1 < history_start) {
            run_later(node, kStoreDelay + node->slowness, [=] {
                fail_list(watch.done, watch.context, MV_STORE_REFUSED);
            });
            continue;
        }
        if (revision <= watch.after && now < watch.until) {
            still_pending.push_back(watch);
            continue;
        }
        std::vector<std::pair<std::string, item_t>> found;
        for (const auto &entry : items) {
            if (entry.second.revision > watch.after) {
                found.push_back(entry);
            }
        }
        uint64_t reply_revision = revision;
        run_later(node, kStoreDelay + node->slowness, [=] {
            reply_list(watch.done, watch.context, reply_revision, found);
        });
    }
    pending_watches.insert(pending_watches.end(), still_pending.begin(),
                           still_pending.end());
}

void
fanout_sim::run(mv_time_t span)
{
    for (mv_time_t end = now + span; now < end;) {
        now += kStep;
        while (!events.empty() && events.top().at <= now) {
            auto action = events.top().action;
            events.pop();
            action();
        }
        for (auto &node : nodes) {
            if (!node->alive || node->frozen_until > now) {
                continue;
            }
            if (MvFollower_IsComplete(node->follower)) {
                MvRegistration_Timer(node->registration, now);
            }
            MvFanout_Timer(node->fanout, now);
            MvFollower_Timer(node->follower, now);
            note_use(node.get());
        }
        serve_watches();
    }
}

std::vector<int>
fanout_sim::watchers() const
{
    std::vector<int> result;
    for (const auto &node : nodes) {
        if (node->alive && MvFanout_IsWatching(node->fanout)) {
            result.push_back(node->index);
        }
    }
    return result;
}

uint64_t
fanout_sim::calls() const
{
    uint64_t sum = 0;
    for (const auto &node : nodes) {
        sum += node->calls;
    }
    return sum;
}

mv_time_t
fanout_sim::propagation_time(const std::string &key, const std::string &value,
                             mv_time_t limit)
{
    mv_time_t start = now;
    while (now - start < limit) {
        bool all = true;
        for (const auto &node : nodes) {
            auto found = node->values.find(key);
            all = all && (!node->alive || (found != node->values.end() &&
                                           found->second == value));
        }
        if (all) {
            return now - start;
        }
        run(kStep);
    }
    return -1;
}
