/**
 * DOC: Choice of the node from which this one receives the changes of the
 * store.
 *
 * A node depends on one node that ranks before it, its source.  While the
 * source's heartbeats arrive and report it as up to date, the node renews its
 * subscription and does not call the store.  Otherwise it searches: it asks
 * one candidate after another, and watches the store itself from the moment
 * the first ones have not answered until one does.  The node that ranks first
 * has no candidates and always watches.
 *
 * A heartbeat shows what its sender knew when it was sent, which may be long
 * ago: a node that is overloaded handles and passes on messages late.  Each
 * request therefore carries the time of this node, and a heartbeat names the
 * last request that its sender had handled.
 *
 * Decides only; the caller sends the requests and reports the heartbeats.
 */
#ifndef MV_SOURCE_H
#define MV_SOURCE_H

#include "relay_tree.h"

/** Most nodes to which one step sends a request. */
#define MV_SOURCE_REQUESTS 2

/** Result of MvSource_DecodeTime() when the sender named no request. */
#define MV_NOT_CONFIRMED (-1)

/**
 * struct mv_source - State of the choice; zeroed by MvSource_Init().
 *
 * Invariant: a node that is not searching has had, within the silence limit, a
 * heartbeat that reports its source as up to date, and the source had handled
 * by then a request sent within the confirmation limit.
 * @settings: intervals; not owned
 * @tree: the nodes to choose from; not owned
 * @id: node whose heartbeats were last accepted, or MV_NO_NODE
 * @fresh_at: time of the last heartbeat that reported @id as up to date
 * @confirmed_at: when the last request was sent that @id has answered
 * @is_outdated: @id has reported that it is not up to date
 * @loss: why the last source was lost
 * @is_searching: no source at present
 * @search_began: begin of the last search
 * @attempt: candidates asked in this search
 * @grace_until: the node need not watch before, as its replica is recent
 * @next_request: time of the next request
 */
typedef struct mv_source {
    const mv_fanout_settings_t *settings;
    const mv_relay_tree_t *tree;
    mv_node_id_t id;
    mv_time_t fresh_at;
    mv_time_t confirmed_at;
    bool is_outdated;
    mv_source_loss_t loss;
    bool is_searching;
    mv_time_t search_began;
    unsigned attempt;
    mv_time_t grace_until;
    mv_time_t next_request;
} mv_source_t;

/** MvSource_Init() - Start without a source and with a recent replica. */
void MvSource_Init(mv_source_t *source, mv_time_t now,
                   const mv_fanout_settings_t *settings,
                   const mv_relay_tree_t *tree);

/**
 * MvSource_HandleHeartbeat() - Note a heartbeat of a node that ranks before
 * the own one.
 * @is_fresh: the sender reports itself as up to date
 * @confirmed_at: when the last request was sent that the sender had handled;
 *                MV_NOT_CONFIRMED when it is of a version that does not tell
 *
 * Return: true when @id is the source, so that its heartbeat is to be passed
 * on.
 */
bool MvSource_HandleHeartbeat(mv_source_t *source, mv_time_t now,
                              mv_node_id_t id, bool is_fresh,
                              mv_time_t confirmed_at);

/** MvSource_EncodeTime() - Time of a request as its message carries it. */
uint32_t MvSource_EncodeTime(mv_time_t now);

/**
 * MvSource_DecodeTime() - Time of the request that a heartbeat names.
 * @encoded: as encoded by this node, 0 when the heartbeat names none
 */
mv_time_t MvSource_DecodeTime(mv_time_t now, uint32_t encoded);

/**
 * MvSource_Step() - Detect the loss of the source; choose whom to ask next.
 * @requests: receives the ids of the nodes to subscribe to now
 * @lost: receives the source that was lost in this step, or MV_NO_NODE
 *
 * Return: number of entries in @requests.
 */
unsigned MvSource_Step(mv_source_t *source, mv_time_t now,
                       mv_node_id_t requests[MV_SOURCE_REQUESTS],
                       mv_node_id_t *lost);

/**
 * MvSource_Forget() - Drop the source; the node watches until it has one.
 *
 * To be called after a pause of the process: what it heard before is old.
 */
void MvSource_Forget(mv_source_t *source);

/** MvSource_MustWatch() - Whether the node must watch the store itself. */
bool MvSource_MustWatch(const mv_source_t *source, mv_time_t now);

/** MvSource_Due() - Latest time of the next MvSource_Step(). */
mv_time_t MvSource_Due(const mv_source_t *source);

#endif
