/**
 * DOC: Whether the server of an open flow has ended.
 *
 * The failure this guards against: a server ends, and the callers of its open
 * flows wait for answers until their timeout, while other servers could serve
 * them.  A reset lets them retry at once.
 *
 * Invariant: a flow whose server lives is not reset.  Silence alone is no
 * evidence, since a server may be slow, paused or partitioned; neither is the
 * store alone, since entries lapse in its outages and a server that is cut off
 * from it goes on serving.  Both together are: the store shows that the server
 * has ended, and no packet of a caller shows that it lives.
 *
 * Invariant: an end is decided only on knowledge that is proven complete up to
 * a moment after that from which it follows, and that is no older than a node
 * in touch may be.  A node that stood still, or applies what it has missed
 * change by change, does not know what the later ones say.
 */
#ifndef MV_TAGS_ENDED_H
#define MV_TAGS_ENDED_H

#include "masticvane/tags.h"

/**
 * struct mv_liveness - What the callers' packets show of one server.
 * @answered_at: time at which a caller last showed that it had received
 *               something new from the server, 0 for never
 * @unanswered_since: arrival of the oldest request since then, 0 when there is
 *                    none
 * @repeats: number of requests that callers have sent again since then, each
 *           one a time-out of theirs without an acknowledgement
 */
typedef struct mv_liveness {
    mv_time_t answered_at;
    mv_time_t unanswered_since;
    unsigned repeats;
} mv_liveness_t;

/** MvLiveness_NoteAnswer() - A caller received something from the server. */
void MvLiveness_NoteAnswer(mv_liveness_t *liveness, mv_time_t now);

/**
 * MvLiveness_NoteRequest() - A packet with data goes to the server.
 * @is_repeat: the caller has sent it before
 */
void MvLiveness_NoteRequest(mv_liveness_t *liveness, mv_time_t now,
                            bool is_repeat);

/**
 * MvLiveness_HasEnded() - Whether a server has ended.
 * @ended_at: time from which the store shows that it has, or MV_NEVER
 * @is_replaced: it does so since a later server has its address
 */
bool MvLiveness_HasEnded(const mv_liveness_t *liveness, mv_time_t now,
                         mv_time_t ended_at, bool is_replaced);

/** A server that has started, or whose entry lapsed, announces itself within
 * this time: two heartbeats, one of which may be lost. */
#define MV_ANNOUNCEMENT_DELAY (3 * MV_SECOND)

/** typedef mv_unknown_flows_t - Flows whose packets name no known server. */
typedef struct mv_unknown_flows mv_unknown_flows_t;

/** MvUnknownFlows_Create() - Create an empty set. */
mv_unknown_flows_t *MvUnknownFlows_Create(void);

/** MvUnknownFlows_Destroy() - Free; NULL is ignored. */
void MvUnknownFlows_Destroy(mv_unknown_flows_t *flows);

/**
 * MvUnknownFlows_IsProven() - Note a packet whose tag names no known server.
 * @name: the packet's flow
 * @complete_at: as given to MvForwarder_SetCompleteAt()
 *
 * Return: whether the store is known to show no server with the tag, longer
 * after the first packet of the flow than a server that starts takes to
 * announce itself.  What is known of other flows with the tag says nothing: a
 * server may have started again under its id since.
 */
bool MvUnknownFlows_IsProven(mv_unknown_flows_t *flows, mv_time_t now,
                             const mv_flow_name_t *name, uint32_t tag,
                             mv_time_t complete_at);

/** MvUnknownFlows_Expire() - Forget flows of which no packet came lately. */
void MvUnknownFlows_Expire(mv_unknown_flows_t *flows, mv_time_t now);

#endif
