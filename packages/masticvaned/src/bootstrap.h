/**
 * DOC: Initial replica of the platform's store from bootstrap peers.
 *
 * A node that starts while the store is unreachable has neither the addresses
 * of other nodes nor a signing key.  Its settings list the addresses of a few
 * bootstrap peers.  Once a second it requests a replica without the signing
 * keys from the next peer over HTTP, until the store can be read.
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
 * MvBootstrap_Create() - Create the HTTP clients of the bootstrap peers.
 * @addresses: "ADDRESS:PORT" separated by commas, may be empty; invalid
 *             entries are skipped
 * @own_address: IPv4 address of this node; entries with it are skipped
 * @replica: receives the fetched items; must outlive the object
 * @log: receives an entry for each fetched replica
 *
 * Return: to be freed with MvBootstrap_Destroy().
 */
mv_bootstrap_t *MvBootstrap_Create(mv_loop_t *loop, const char *addresses,
                                   const char *own_address,
                                   mv_replica_t *replica, mv_log_t *log);

/** MvBootstrap_Destroy() - Drop a pending call and free; accepts NULL. */
void MvBootstrap_Destroy(mv_bootstrap_t *bootstrap);

/**
 * MvBootstrap_Timer() - Fetch a replica from the next peer when due.
 * @now: monotonic time
 * @needed: true until the whole content of the store has been read once
 *
 * Return: latest time at which to call again, or MV_NEVER.
 */
mv_time_t MvBootstrap_Timer(mv_bootstrap_t *bootstrap, mv_time_t now,
                            bool needed);

#endif
