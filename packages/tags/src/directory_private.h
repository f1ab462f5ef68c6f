/**
 * DOC: State of the directory, shared by its source files.
 *
 * directory.c     servers, routes and evacuations, as the store announces them
 * succession.c    which announcements name a server, or a replaced one
 * snapshot.c      the immutable snapshot for the traffic thread
 */
#ifndef MV_TAGS_DIRECTORY_PRIVATE_H
#define MV_TAGS_DIRECTORY_PRIVATE_H

#include "route_history.h"
#include "table.h"

/**
 * struct mv_known_server - A server with its id and service, as announced
 * under one key.
 *
 * Invariant: what the packets of a flow do not tell apart is one server here.
 * One that starts again under its id stays the same record, with the same
 * tag: its flows from before and after the start go to it alike, on nodes that
 * were told, were not told, or have started since, and it answers those that
 * it does not hold with a reset of its own.
 *
 * Invariant: an entry whose service no configuration names is no server.  It
 * is in no snapshot, and nothing follows from it for any other server.
 *
 * Invariant: a server counts as replaced from the moment when the store
 * shows a later one with another id at its address or under its key, until it
 * shows this one without a later one: a server that lives announces itself
 * again.  One is later if both its start and its last announcement are: clocks
 * of machines differ, but a server that has ended announces nothing any more.
 *
 * Invariant: no new flow goes to a server later than @vanished_grace of the
 * settings after the store removed its announcement, or later than a node in
 * touch learns of it, whichever is later.  Outages of the store do not count,
 * as no server can announce itself again then.
 *
 * Another writer may announce the same id under a second key: that is another
 * record with the same tag, which one of them keeps (index_tag() of
 * snapshot.c).  If one of them says that the server drains, it gets no new
 * flows by any of them.
 * @link: in the list of all servers
 * @key: key of the announcement
 * @server: the announcement
 * @tag: the server's tag
 * @revision: revision of the store that its last announcement had
 * @is_announced: the announcement exists
 * @is_named: the configuration names its service, or a route did so within the
 *            retention period; as of the last snapshot
 * @withdrawn_at: time at which this node learned that it was withdrawn, later
 *                by the store's outages since then
 * @grace_until: until then new flows may go to it after it was withdrawn;
 *               likewise later by the store's outages
 * @replaced_at: time since which it counts as replaced, 0 when it does not
 * @drains_until: until then it counts as draining, though an older state of it
 *                came back with a restored store
 * @warmup_until: end of its warm-up
 */
typedef struct mv_known_server {
    mv_list_t link;
    char *key;
    mv_server_t server;
    uint32_t tag;
    uint64_t revision;
    bool is_announced;
    bool is_named;
    mv_time_t withdrawn_at;
    mv_time_t grace_until;
    mv_time_t replaced_at;
    mv_time_t drains_until;
    mv_time_t warmup_until;
} mv_known_server_t;

/**
 * struct mv_directory - Servers and routes as read from the store.
 * @settings: its settings
 * @data_centre: hash of the name of the own data centre
 * @announced: &struct mv_known_server by key, those that are announced
 * @by_identity: all servers, by key, id and service
 * @servers: all known servers
 * @routing: the configuration in force
 * @history: services that the routes named before
 * @evacuated: evacuated data centres: &struct mv_evacuation by name
 * @restored_until: until then what a restored store lacks counts as not yet
 *                  written again
 * @due_at: see MvDirectory_DueAt()
 * @local_nodes: entry VMs of the own data centre
 * @nodes: entry VMs of all data centres, 0 while it is not known
 */
struct mv_directory {
    mv_directory_settings_t settings;
    uint32_t data_centre;
    GHashTable *announced;
    GHashTable *by_identity;
    mv_list_t servers;
    mv_routing_t *routing;
    mv_route_history_t *history;
    GHashTable *evacuated;
    mv_time_t restored_until;
    mv_time_t due_at;
    unsigned local_nodes;
    unsigned nodes;
};

/**
 * struct mv_evacuation - An order to evacuate a data centre.
 * @since: when this node learned of it
 * @ends_at: MV_NEVER while the order is in the store
 */
typedef struct mv_evacuation {
    mv_time_t since;
    mv_time_t ends_at;
} mv_evacuation_t;

/** MvDirectory_TakesNew() - The server announced that it takes new flows. */
bool MvDirectory_TakesNew(const mv_known_server_t *known, mv_time_t now);

/** MvDirectory_IsEvacuated() - New flows must not go to the data centre. */
bool MvDirectory_IsEvacuated(const mv_directory_t *directory,
                             const char *data_centre, mv_time_t now);

/**
 * MvDirectory_NoteNamed() - Note which announcements are of a service that the
 * configuration names, or named within the retention period.
 */
void MvDirectory_NoteNamed(const mv_directory_t *directory);

/**
 * MvDirectory_NoteReplaced() - Note which servers a later one has
 * replaced.  To be called after MvDirectory_NoteNamed().
 */
void MvDirectory_NoteReplaced(const mv_directory_t *directory, mv_time_t now);

/** MvDirectory_DropExpired() - Free servers that were withdrawn long ago.
 */
void MvDirectory_DropExpired(mv_directory_t *directory, mv_time_t now);

#endif
