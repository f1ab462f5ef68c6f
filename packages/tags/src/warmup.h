/**
 * DOC: New flows of a server that warms up.
 *
 * The load that this answers: a server that has just started bears only some
 * new flows a second, summed over all nodes, and many nodes see it start at
 * the same time; at worst all servers of a data centre return together.
 *
 * Each node takes an equal share of the limit.  Its share, mostly less than
 * one flow a second, is a schedule: one flow in each period, at a phase that
 * differs between nodes.  What is not used soon is lost: if nodes saved it up,
 * all could use it in the same moment.
 */
#ifndef MV_TAGS_WARMUP_H
#define MV_TAGS_WARMUP_H

#include "masticvane/base.h"

/**
 * struct mv_warmup - Schedule of one node for one server.
 * @phase: random part of a period by which its schedule is shifted, from 0 to
 *         1
 * @used_at: time of the last flow, 0 for never
 */
typedef struct mv_warmup {
    double phase;
    mv_time_t used_at;
} mv_warmup_t;

/**
 * MvWarmup_Share() - New flows a second that this node may send to a server.
 * @limit: new flows a second that the server bears from all nodes together
 * @nodes: number of nodes of all data centres, 0 when it is not known
 *
 * Return: 0 when the number of nodes is not known.
 */
double MvWarmup_Share(double limit, unsigned nodes);

/** MvWarmup_MayTake() - Whether a flow may go to the server now. */
bool MvWarmup_MayTake(const mv_warmup_t *warmup, mv_time_t now, double share);

#endif
