/**
 * DOC: Services that a route named before a change of the configuration.
 *
 * The failure this guards against: a change takes a service from a route, and
 * from then on nodes drop the packets of flows that are open at its servers.
 *
 * Invariant: an open flow may go on to any service that a configuration in
 * force ever gave its route, for the retention period after the change that
 * took it away; a new flow goes only to a service of the configuration in
 * force; a packet never reaches a service that its route never named.  A route
 * that is removed takes its former services along.
 *
 * A node that started after the change never saw the older configuration.  The
 * nodes that did therefore keep a record in the platform's store, which each
 * node reads with everything else.  A line of it names a former service:
 * "ADDRESS PORT VERSION SERVICE", with the version of the configuration that
 * took the service away.
 */
#ifndef MV_TAGS_ROUTE_HISTORY_H
#define MV_TAGS_ROUTE_HISTORY_H

#include "masticvane/tags.h"

/** Maximum number of former services of one route; the oldest give way. */
#define MV_FORMER_SERVICES 8

/** typedef mv_route_history_t - Former services of all routes. */
typedef struct mv_route_history mv_route_history_t;

/**
 * MvRouteHistory_Create() - Create an empty history.
 * @retention: time for which a service is remembered after the change
 */
mv_route_history_t *MvRouteHistory_Create(mv_time_t retention);

/** MvRouteHistory_Destroy() - Free; NULL is ignored. */
void MvRouteHistory_Destroy(mv_route_history_t *history);

/**
 * MvRouteHistory_Replace() - The configuration @before gives way to @after.
 */
void MvRouteHistory_Replace(mv_route_history_t *history, mv_time_t now,
                            const mv_routing_t *before,
                            const mv_routing_t *after);

/**
 * MvRouteHistory_Merge() - Read the record of the store.
 * @routing: the configuration in force
 * @text: the record, NULL when there is none
 *
 * Return: false when a line was malformed; it has been ignored.
 */
bool MvRouteHistory_Merge(mv_route_history_t *history, mv_time_t now,
                          const mv_routing_t *routing, const char *text);

/** MvRouteHistory_Expire() - Forget services at the end of their retention. */
void MvRouteHistory_Expire(mv_route_history_t *history, mv_time_t now);

/**
 * enum mv_history_state - Whether the record has to be written.
 * @MV_HISTORY_RECORDED: the record says what this node knows
 * @MV_HISTORY_OUTDATED: the record only holds lines that are of no use
 * @MV_HISTORY_UNRECORDED: this node saw a change that the record lacks
 */
typedef enum mv_history_state {
    MV_HISTORY_RECORDED,
    MV_HISTORY_OUTDATED,
    MV_HISTORY_UNRECORDED,
} mv_history_state_t;

/** MvRouteHistory_State() - Whether the record has to be written. */
mv_history_state_t MvRouteHistory_State(const mv_route_history_t *history);

/** MvRouteHistory_Encode() - New record; freed with g_free(). */
char *MvRouteHistory_Encode(const mv_route_history_t *history);

/**
 * MvRouteHistory_Services() - Former services of a route.
 * @services: receives their names, owned by @history
 *
 * Return: their number.
 */
unsigned MvRouteHistory_Services(const mv_route_history_t *history,
                                 uint32_t address, uint16_t port,
                                 const char *services[MV_FORMER_SERVICES]);

/**
 * MvRouteHistory_AddServices() - Former services of all routes.
 * @names: set to which their names are added; the names are owned by @history
 */
void MvRouteHistory_AddServices(const mv_route_history_t *history,
                                GHashTable *names);

#endif
