/* Choice of the node from which this one receives the changes of the store. */
#include "source.h"

/* Candidates that are asked before the node watches the store itself. */
#define ATTEMPTS_BEFORE_WATCH 3
/* Candidates that are asked in quick succession; later ones are asked at the
 * interval of renewals, so that a long outage of the store stays quiet. */
#define QUICK_ATTEMPTS 8

void
MvSource_Init(mv_source_t *source, mv_time_t now,
              const mv_fanout_settings_t *settings,
              const mv_relay_tree_t *tree)
{
    *source = (mv_source_t){.settings = settings,
                            .tree = tree,
                            .id = MV_NO_NODE,
                            .is_searching = true,
                            .search_began = now,
                            .grace_until = now + settings->heartbeat_timeout};
}

/* A node deeper in the tree waits longer, so that the one above it that lost
 * the same source replaces it first. */
static mv_time_t
silence_limit(const mv_source_t *source)
{
    return source->settings->heartbeat_timeout +
           MvRelayTree_Depth(source->tree) * source->settings->depth_delay;
}

static void
begin_search(mv_source_t *source, mv_time_t now)
{
    source->is_searching = true;
    source->search_began = now;
    source->next_request = now;
    /* The lost parent is not asked first. */
    source->attempt = source->id == MvRelayTree_Parent(source->tree);
    source->id = MV_NO_NODE;
}

uint32_t
MvSource_EncodeTime(mv_time_t now)
{
    uint32_t encoded = (uint32_t)(now / MV_MILLISECOND);
    return MAX(encoded, 1);
}

/* The difference is right across an overflow of the encoded time. */
mv_time_t
MvSource_DecodeTime(mv_time_t now, uint32_t encoded)
{
    uint32_t age = MvSource_EncodeTime(now) - encoded;
    return encoded ? now - age * MV_MILLISECOND : MV_NOT_CONFIRMED;
}

/* Whether a node that is not the source yet may become it. */
static bool
is_eligible(const mv_source_t *source, mv_time_t now, mv_node_id_t id,
            mv_time_t confirmed_at)
{
    bool is_wanted =
        source->is_searching || id == MvRelayTree_Parent(source->tree);
    return is_wanted &&
           now - confirmed_at <= source->settings->confirmation_limit;
}

bool
MvSource_HandleHeartbeat(mv_source_t *source, mv_time_t now, mv_node_id_t id,
                         bool is_fresh, mv_time_t confirmed_at)
{
    bool is_source = id == source->id && !source->is_searching;
    if (!is_fresh) {
        /* A source that is not up to date counts as lost at the next step. */
        source->is_outdated |= is_source;
        return is_source;
    }
    if (confirmed_at == MV_NOT_CONFIRMED) {
        confirmed_at = now;
    }
    if (!is_source && !is_eligible(source, now, id, confirmed_at)) {
        return false;
    }
    if (!is_source) {
        source->next_request =
            confirmed_at + source->settings->subscribe_interval;
    }
    source->is_searching = false;
    source->is_outdated = false;
    source->id = id;
    source->fresh_at = now;
    source->confirmed_at =
        is_source ? MAX(source->confirmed_at, confirmed_at) : confirmed_at;
    return true;
}

static mv_time_t
heard_until(const mv_source_t *source)
{
    return source->fresh_at + silence_limit(source);
}

static mv_time_t
confirmed_until(const mv_source_t *source)
{
    return source->confirmed_at + source->settings->confirmation_limit;
}

/* Return: time after which the source is lost. */
static mv_time_t
valid_until(const mv_source_t *source)
{
    return source->is_outdated
               ? 0
               : MIN(heard_until(source), confirmed_until(source));
}

static mv_source_loss_t
reason_of_loss(const mv_source_t *source, mv_time_t now)
{
    if (source->is_outdated) {
        return MV_SOURCE_OUTDATED;
    }
    /* No heartbeat since then: it may be late, or it may have ended. */
    bool is_heard =
        now - source->fresh_at <= 2 * source->settings->heartbeat_interval;
    return is_heard ? MV_SOURCE_LATE : MV_SOURCE_SILENT;
}

static unsigned
renew(mv_source_t *source, mv_time_t now, mv_node_id_t *requests)
{
    mv_node_id_t parent = MvRelayTree_Parent(source->tree);
    unsigned count = 0;
    source->next_request = now + source->settings->subscribe_interval;
    requests[count++] = source->id;
    if (parent != source->id && parent != MV_NO_NODE) {
        requests[count++] = parent;
    }
    return count;
}

static unsigned
ask_next(mv_source_t *source, mv_time_t now, mv_node_id_t *requests)
{
    const mv_fanout_settings_t *settings = source->settings;
    requests[0] = MvRelayTree_Candidate(source->tree, source->attempt);
    source->attempt++;
    source->next_request =
        now + (source->attempt < QUICK_ATTEMPTS ? settings->answer_timeout
                                                : settings->search_interval);
    return requests[0] == MV_NO_NODE ? 0 : 1;
}

unsigned
MvSource_Step(mv_source_t *source, mv_time_t now,
              mv_node_id_t requests[MV_SOURCE_REQUESTS], mv_node_id_t *lost)
{
    *lost = MV_NO_NODE;
    if (!source->is_searching && now > valid_until(source)) {
        *lost = source->id;
        source->loss = reason_of_loss(source, now);
        begin_search(source, now);
    }
    if (now < source->next_request) {
        return 0;
    }
    return source->is_searching ? ask_next(source, now, requests)
                                : renew(source, now, requests);
}

void
MvSource_Forget(mv_source_t *source)
{
    source->is_searching = true;
    source->id = MV_NO_NODE;
    source->attempt = ATTEMPTS_BEFORE_WATCH;
    source->grace_until = 0;
    source->next_request = 0;
}

bool
MvSource_MustWatch(const mv_source_t *source, mv_time_t now)
{
    unsigned attempts =
        MIN(MvRelayTree_Position(source->tree), ATTEMPTS_BEFORE_WATCH);
    if (!source->is_searching) {
        return false;
    }
    if (attempts == 0) {
        return true;
    }
    /* The last candidate has its time to answer. */
    return now >= source->grace_until &&
           (source->attempt > attempts ||
            (source->attempt == attempts && now >= source->next_request));
}

mv_time_t
MvSource_Due(const mv_source_t *source)
{
    return source->is_searching
               ? source->next_request
               : MIN(source->next_request, valid_until(source) + 1);
}
