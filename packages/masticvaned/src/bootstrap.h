/**
 * DOC: Initial replica of the platform's store from bootstrap peers.
 *
 * A node that starts while the store is unreachable knows no other node and no
 * signing key.  Its settings list the addresses of a few bootstrap peers.  It
 * asks one after the other over HTTP for a replica without the signing keys,
 * once a second until the store responds.
 */
#ifndef MASTICVANED_BOOTSTRAP_H
#define MASTICVANED_BOOTSTRAP_H

#include "masticvane/net.h"
#include "masticvane/replica.h"

/** HTTP path at which a node serves its replica. */
#define MV_REPLICA_TARGET "/copy"

/** typedef mv_bootstrap_t - The bootstrap peers and the pending call. */
typedef struct mv_bootstrap mv_bootstrap_t;

/**
 * MvBootstrap_Create() - Create the clients of the bootstrap peers.
 * @addresses: "ADDRESS:PORT" separated by commas, may be empty; invalid
 *             entries are skipped
 * @own: the node's own IPv4 address; entries with it are skipped
 * @replica: receives the fetched items; must outlive the object
 * @log: receives an entry for each fetched replica
 *
 * Return: to be freed with MvBootstrap_Destroy().
 */
mv_bootstrap_t *MvBootstrap_Create(mv_loop_t *loop, const char *addresses,
                                   const char *own, mv_replica_t *replica,
                                   mv_log_t *log);

/** MvBootstrap_Destroy() - Drop a pending call and free; accepts NULL. */
void MvBootstrap_Destroy(mv_bootstrap_t *seeds);

/**
 * MvBootstrap_Timer() - Fetch a replica from the next peer when due.
 * @now: monotonic time
 * @needed: the store has not responded since the start
 *
 * Return: latest time at which to call again, or MV_NEVER.
 */
mv_time_t MvBootstrap_Timer(mv_bootstrap_t *seeds, mv_time_t now, bool needed);

#endif
