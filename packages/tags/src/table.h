/**
 * DOC: The immutable snapshot that the traffic thread reads.
 */
#ifndef MV_TAGS_TABLE_H
#define MV_TAGS_TABLE_H

#include "masticvane/tags.h"

/**
 * struct mv_table_server - A server as packets see it.
 * @server: as it announced itself
 * @tag: its tag
 * @service: position of its service
 * @data_centre: hash of the name of its data centre
 * @is_local: it runs in the own data centre
 * @takes_new: it may get new flows
 * @usable_until: end of that, MV_NEVER while it is announced
 * @warmup_until: it is slow until then
 */
typedef struct mv_table_server {
    mv_server_t server;
    uint32_t tag;
    unsigned service;
    uint32_t data_centre;
    bool is_local;
    bool takes_new;
    mv_time_t usable_until;
    mv_time_t warmup_until;
} mv_table_server_t;

/**
 * struct mv_table_service - Servers of one service that may get new flows.
 * @name: its name
 * @flow_limit: flows that one server may hold
 * @count: entries in @servers
 * @servers: positions in the table
 */
typedef struct mv_table_service {
    char name[MV_NAME_MAX];
    uint32_t flow_limit;
    unsigned count;
    unsigned *servers;
} mv_table_service_t;

/**
 * struct mv_table_route - A route with its services by position.
 * @route: the route
 * @total_weight: sum of the weights
 * @services: positions, in the order of the route's shares
 */
typedef struct mv_table_route {
    mv_route_t route;
    uint64_t total_weight;
    unsigned services[MV_ROUTE_SERVICES];
} mv_table_route_t;

/**
 * struct mv_table - Everything the traffic thread reads.
 * @version: configuration
 * @revision: of the store, every change up to it is in the table
 * @learned_at: first word of the oldest change that packets do not use yet, or
 *              0
 * @flow_idle: a flow silent for longer may be forgotten
 * @local_nodes: entry VMs of the own data centre, this one included
 * @server_count: entries in @servers
 * @servers: every server that is known
 * @service_count: entries in @services
 * @services: every service that is known
 * @route_count: entries in @routes
 * @routes: every route
 * @by_address: route by address and port, as packed number
 * @by_tag: server by tag
 */
struct mv_table {
    uint64_t version;
    uint64_t revision;
    mv_time_t learned_at;
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
};

/** MvTable_Route() - Route of an address, or NULL. */
const mv_table_route_t *MvTable_Route(const mv_table_t *table,
                                      uint32_t address, uint16_t port);

/** MvTable_Server() - Position of the server with @tag, or -1. */
int MvTable_Server(const mv_table_t *table, uint32_t tag);

/** MvTable_Allows() - @route may lead to @service. */
bool MvTable_Allows(const mv_table_route_t *route, unsigned service);

/** MvTable_AddressKey() - Address and port as one key of @by_address. */
gpointer MvTable_AddressKey(uint32_t address, uint16_t port);

#endif
