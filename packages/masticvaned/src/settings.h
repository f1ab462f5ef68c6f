/**
 * DOC: Settings of one daemon, read from an INI file.  Durations are in
 * microseconds.
 */
#ifndef MASTICVANED_SETTINGS_H
#define MASTICVANED_SETTINGS_H

#include "masticvane/net.h"

/**
 * struct mv_peer_settings - Address of an entry VM.
 * @id: its node id
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

/**
 * enum mv_forwarding - How flows are kept on their backend server.
 * @MV_FORWARDING_BUCKETS: by hash buckets and replicated flow entries
 * @MV_FORWARDING_TAGS: by the server tag that packets carry
 */
typedef enum mv_forwarding {
    MV_FORWARDING_BUCKETS,
    MV_FORWARDING_TAGS,
} mv_forwarding_t;

/**
 * struct mv_settings - All settings.
 * @forwarding: forwarding mode; with MV_FORWARDING_TAGS only @name, @self's
 *              address and control port, @data_centre, the ports for packets,
 *              health, metrics and replicas, @bootstrap_peers, @stop_limit,
 *              @processor, @link_megabits, @vm_limits, @change_limit,
 * @flow_retention,
 * @megabyte_price, the store and the log are read
 * @name: name of this entry VM
 * @path: the file that the settings were read from
 * @health_port: TCP port at which the fabric checks whether this node accepts
 *               packets
 * @metrics_port: TCP port at which metrics are read, 0 for none
 * @replica_port: TCP port at which starting nodes fetch a replica, 0 for none
 * @bootstrap_peers: "ADDRESS:PORT" separated by commas, where this node
 *                   fetches a replica while the store is unreachable at start
 * @processor: cores that this node may use, 0 when not known
 * @link_megabits: bandwidth of its link in Mbit/s, 0 when not known
 * @vm_limits: limits of this VM as the platform states them, as a JSON object;
 *             those that are set above go before
 * @change_limit: time within which a change of the store must be in force
 * @flow_retention: time for which a backend server is kept for its open flows
 *                  after its announcement was withdrawn
 * @megabyte_price: waiting that a megabyte between data centres is worth,
 *                  MV_NEVER when not set
 * @line_budget: most log lines a second, 0 for no limit
 * @byte_budget: most log bytes a second, 0 for no limit
 * @flow_sample: log the decisions about one flow in this many, 0 to log only
 *               rare decisions
 * @self: this VM's own id, address and ports
 * @data_centre: data centre that the VM runs in
 * @deployment: deployment that the VM belongs to
 * @packet_port: UDP port for packets from the fabric
 * @request_port: TCP port for callers
 * @packet_threads: number of traffic threads for packets
 * @stop_limit: longest duration of a planned stop
 * @default_deadline: time limit of a request that states none, and upper bound
 *                    of a stated one
 * @flow_capacity: most flow entries held
 * @store_addresses: "ADDRESS:PORT" of the store, with MV_FORWARDING_BUCKETS
 *                   several separated by blanks
 * @log_file: path, empty for standard output
 * @log_level: least severe level that is logged
 * @dump_file: file that SIGUSR1 writes the state to, empty for standard error
 * @keyring: keys of the deployment; owned
 * @peer_count: entries in @peers
 * @peers: the other entry VMs; owned
 */
typedef struct mv_settings {
    mv_forwarding_t forwarding;
    char name[MV_NAME_MAX];
    char *path;
    uint16_t health_port;
    uint16_t metrics_port;
    uint16_t replica_port;
    char *bootstrap_peers;
    double processor;
    double link_megabits;
    char *vm_limits;
    mv_time_t change_limit;
    mv_time_t flow_retention;
    mv_time_t megabyte_price;
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
 * MvSettings_Load() - Read and validate the settings file at @path.
 * @findings: receives one finding for each error
 *
 * Return: the settings, to be freed with MvSettings_Destroy(); NULL when there
 * are findings.
 */
mv_settings_t *MvSettings_Load(const char *path, mv_findings_t *findings);

/** MvSettings_Destroy() - Free the settings, wiping keys; accepts NULL. */
void MvSettings_Destroy(mv_settings_t *settings);

#endif
