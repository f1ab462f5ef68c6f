/**
 * DOC: A first copy of the store from other entry VMs.
 *
 * A node that starts while the platform's store does not answer it knows no
 * neighbour and no signing key.  Its settings name a few addresses; whoever
 * answers there gives its copy, without the keys.  The copy is fetched again
 * every second until the store answers.
 */
#ifndef MASTICVANED_BOOTSTRAP_H
#define MASTICVANED_BOOTSTRAP_H

#include "masticvane/net.h"
#include "masticvane/replica.h"

/** Path at which a node gives its copy. */
#define MV_REPLICA_TARGET "/copy"

/** typedef mv_bootstrap_t - The addresses and the call to one of them. */
typedef struct mv_bootstrap mv_bootstrap_t;

/**
 * MvBootstrap_Create() - Seeds from "ADDRESS:PORT" separated by commas.
 * @addresses: what is not understood is left out; may be empty
 * @own: the node's own address among them is left out
 */
mv_bootstrap_t *MvBootstrap_Create(mv_loop_t *loop, const char *addresses,
                                   const char *own, mv_replica_t *replica,
                                   mv_log_t *log);

/** MvBootstrap_Destroy() - Free; NULL is accepted. */
void MvBootstrap_Destroy(mv_bootstrap_t *seeds);

/**
 * MvBootstrap_Timer() - Ask one of them when due.
 * @needed: the store has not answered since the start
 *
 * Return: the time of the next call that is needed, at most.
 */
mv_time_t MvBootstrap_Timer(mv_bootstrap_t *seeds, mv_time_t now, bool needed);

#endif
