/**
 * DOC: Immutable snapshot of servers and routes, read by the traffic thread.
 *
 * The control thread makes it with MvDirectory_Table().
 */
#ifndef MV_TAGS_TABLE_H
#define MV_TAGS_TABLE_H

#include "route_history.h"

/**
 * struct mv_table_server - Server that packets may be forwarded to.
 * @server: its announcement
 * @tag: its tag
 * @service: position of its service
 * @data_centre: hash of the name of its data centre
 * @is_local: it runs in the own data centre
 * @takes_new: it is not draining, its data centre is not evacuated, no later
 *             one has its address, and its tag is not kept by another one
 * @is_evacuated: its data centre is evacuated
 * @usable_until: time until which new flows may go to it after its
 *                announcement vanished, MV_NEVER while it is announced
 * @warmup_until: end of its warm-up, during which it is slow
 * @ended_at: time from which the store shows that it has ended, MV_NEVER while
 *            it does not
 * @learned_at: when this node learned of that
 * @is_replaced: a later server has its address
 */
typedef struct mv_table_server {
    mv_server_t server;
    uint32_t tag;
    unsigned service;
    uint32_t data_centre;
    bool is_local;
    bool takes_new;
    bool is_evacuated;
    mv_time_t usable_until;
    mv_time_t warmup_until;
    mv_time_t ended_at;
    mv_time_t learned_at;
    bool is_replaced;
} mv_table_server_t;

/**
 * struct mv_table_service - Servers of one service with @takes_new set.
 * @name: its name
 * @flow_limit: maximum number of outstanding flows of one server
 * @warmup_share: new flows a second that this node may send to a server that
 *                warms up, when @has_warmup_limit is set
 * @has_warmup_limit: such servers bear a limited number of new flows
 * @evacuated_count: servers that do not take new flows only because their data
 *                   centre is evacuated
 * @count: entries in @servers
 * @servers: their positions in the table
 */
typedef struct mv_table_service {
    char name[MV_NAME_MAX];
    uint32_t flow_limit;
    double warmup_share;
    bool has_warmup_limit;
    unsigned evacuated_count;
    unsigned count;
    unsigned *servers;
} mv_table_service_t;

/**
 * struct mv_table_route - Route with the positions of its services.
 * @route: the route
 * @total_weight: sum of the weights
 * @services: positions, in the order of the shares of @route
 * @former_count: entries in @former
 * @former: positions of services that it named before: their open flows go on
 */
typedef struct mv_table_route {
    mv_route_t route;
    uint64_t total_weight;
    unsigned services[MV_ROUTE_SERVICES];
    unsigned former_count;
    unsigned former[MV_FORMER_SERVICES];
} mv_table_route_t;

/**
 * struct mv_table - Everything that the traffic thread reads.
 * @version: version of the configuration
 * @revision: revision of the store; every change up to it is in the table
 * @changed_at: arrival of the oldest change that the traffic thread does not
 *              use yet, 0 for none
 * @flow_idle: idle time after which a flow entry may be dropped
 * @local_nodes: entry VMs of the own data centre, this one included
 * @server_count: entries in @servers
 * @servers: all known servers, whose services are named
 * @service_count: entries in @services
 * @services: all known services
 * @route_count: entries in @routes
 * @routes: all routes
 * @by_address: &struct mv_table_route by address and port, see
 *              MvTable_AddressKey()
 * @by_tag: position of a server plus one, by tag
 * @unnamed_tags: set of the tags of entries whose service no configuration
 *                names, as far as this node knows: they may be of servers of a
 *                route's former service, so that their flows are not reset
 */
struct mv_table {
    uint64_t version;
    uint64_t revision;
    mv_time_t changed_at;
    mv_time_t flow_idle;
    unsigned local_nodes;
    unsigned server_count;
    mv_table_server_t *servers;
    unsigned service_count;
    mv_table_service_t *services;
    unsigned route_count;
    mv_table_route_t *routes;
    GHashTable *by_address;
    GHashTable *by_tag;
    GHashTable *unnamed_tags;
};

/** MvTable_Route() - Route of an address and port, or NULL. */
const mv_table_route_t *MvTable_Route(const mv_table_t *table,
                                      uint32_t address, uint16_t port);

/** MvTable_Server() - Position of the server with @tag, or -1. */
int MvTable_Server(const mv_table_t *table, uint32_t tag);

/**
 * MvTable_Names() - New flows of @route may go to @service: it is one of the
 * services that the configuration in force gives the route.
 */
bool MvTable_Names(const mv_table_route_t *route, unsigned service);

/**
 * MvTable_Allows() - Open flows of @route may be at @service: it is one of the
 * route's services, or was one.
 */
bool MvTable_Allows(const mv_table_route_t *route, unsigned service);

/** MvTable_AddressKey() - Key of an address and port in @by_address. */
gpointer MvTable_AddressKey(uint32_t address, uint16_t port);

#endif
