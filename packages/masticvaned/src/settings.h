/**
 * DOC: Settings of one daemon, read from an INI file.
 */
#ifndef MASTICVANED_SETTINGS_H
#define MASTICVANED_SETTINGS_H

#include "masticvane/net.h"

/**
 * struct mv_peer_settings - Where another entry VM is reached.
 * @id: its node number
 * @address: its IPv4 address as text
 * @control_port: TCP and UDP port of its control thread
 * @request_peer_port: TCP and UDP port of its request thread
 * @relay_port: UDP port for relayed packets
 */
typedef struct mv_peer_settings {
    mv_node_id_t id;
    char address[INET6_ADDRSTRLEN];
    uint16_t control_port;
    uint16_t request_peer_port;
    uint16_t relay_port;
} mv_peer_settings_t;

/** enum mv_forwarding - Way of keeping flows. */
typedef enum mv_forwarding {
    MV_FORWARDING_BUCKETS,
    MV_FORWARDING_TAGS,
} mv_forwarding_t;

/**
 * struct mv_settings - All settings.
 * @forwarding: &enum mv_forwarding; with tags only @name, @self's address,
 *              @data_centre, the ports of packets and health, the limits,
 *              the store and the log are read
 * @name: name of this entry VM
 * @health_port: TCP port at which the fabric asks whether it takes packets
 * @path: the file that they were read from
 * @copy_port: TCP port at which starting nodes fetch a copy, 0 for none
 * @seeds: "ADDRESS:PORT" separated by commas, where this node fetches one
 * @metrics_port: TCP port at which metrics are read, 0 for none
 * @line_budget: log lines a second at most, 0 for all
 * @byte_budget: log bytes a second at most, 0 for all
 * @flow_sample: one flow in so many is logged, 0 for none but rare ones
 * @flow_limit: a flow older than this may be forgotten
 * @self: this VM's own addresses
 * @data_centre: data centre it runs in
 * @deployment: deployment it belongs to
 * @packet_port: UDP port for packets from the fabric
 * @request_port: TCP port for callers
 * @packet_threads: traffic threads for packets
 * @stop_limit: longest planned stop
 * @default_deadline: deadline of a request that states none
 * @flow_capacity: flow entries held at most
 * @store_addresses: "host:port ..." of the platform's store
 * @log_file: path, empty for standard error
 * @log_level: least severe level written
 * @dump_file: where SIGUSR1 writes the state
 * @keyring: keys
 * @peer_count: entries in @peers
 * @peers: owned array
 */
typedef struct mv_settings {
    mv_forwarding_t forwarding;
    char name[MV_NAME_MAX];
    char *path;
    uint16_t health_port;
    uint16_t metrics_port;
    uint16_t copy_port;
    char *seeds;
    mv_time_t flow_limit;
    unsigned line_budget;
    unsigned byte_budget;
    unsigned flow_sample;
    mv_peer_settings_t self;
    char data_centre[MV_NAME_MAX];
    char deployment[MV_NAME_MAX];
    uint16_t packet_port;
    uint16_t request_port;
    unsigned packet_threads;
    mv_time_t stop_limit;
    mv_time_t default_deadline;
    uint32_t flow_capacity;
    char *store_addresses;
    char *log_file;
    char *dump_file;
    mv_log_level_t log_level;
    mv_keyring_t *keyring;
    size_t peer_count;
    mv_peer_settings_t *peers;
} mv_settings_t;

/**
 * MvSettings_Load() - Read @path; everything wrong is a finding.
 *
 * Return: the settings, or NULL when there are findings.
 */
mv_settings_t *MvSettings_Load(const char *path, mv_findings_t *findings);

/** MvSettings_Destroy() - Free; NULL is accepted. */
void MvSettings_Destroy(mv_settings_t *settings);

#endif
