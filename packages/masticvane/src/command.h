/**
 * DOC: Subcommands of masticvane and their common options.
 */
#ifndef MASTICVANE_COMMAND_H
#define MASTICVANE_COMMAND_H

#include "masticvane/net.h"
#include "masticvane/store.h"

/**
 * enum mv_exit - Exit codes.
 * @MV_EXIT_OK: done
 * @MV_EXIT_FAILED: failed, nothing changed
 * @MV_EXIT_USAGE: wrong usage, or findings in the answers
 * @MV_EXIT_CONFLICT: another change was accepted first
 * @MV_EXIT_DANGER: the change has a danger that --accept does not name
 * @MV_EXIT_UNKNOWN: the change may or may not have been accepted
 * @MV_EXIT_LAGGING: an entry VM has an older version or did not answer
 */
typedef enum mv_exit {
    MV_EXIT_OK = 0,
    MV_EXIT_FAILED = 1,
    MV_EXIT_USAGE = 2,
    MV_EXIT_CONFLICT = 3,
    MV_EXIT_DANGER = 4,
    MV_EXIT_UNKNOWN = 5,
    MV_EXIT_LAGGING = 6,
} mv_exit_t;

/**
 * struct mv_options - Command-line options; NULL or 0 when not given.
 * @store: addresses of the platform's store
 * @nodes: path of an INI file with a [peer N] section for each entry VM
 * @key_file: path of the key file that masticvaned uses
 * @deployment: deployment name, for subcommands without an answers file
 * @accept: names of accepted dangers, see MvDanger_Name(); NULL-terminated
 * @at: time at which the endpoint leaves, or the evacuation begins
 * @cancel: end the evacuation
 * @until: time from which its remaining flows may be reset
 * @wait_seconds: how long confirm waits until the new version is in force at
 *                every entry VM
 * @json: print JSON
 */
typedef struct mv_options {
    char *store;
    char *nodes;
    char *key_file;
    char *deployment;
    char **accept;
    char *at;
    char *until;
    gboolean cancel;
    int wait_seconds;
    gboolean json;
} mv_options_t;

/**
 * typedef mv_command_t - Runs a subcommand.
 * @argc: number of operands
 * @argv: operands after the subcommand's name
 *
 * Return: &enum mv_exit.
 */
typedef int (*mv_command_t)(const mv_options_t *options, int argc,
                            char **argv);

int MvCommand_Ask(const mv_options_t *options, int argc, char **argv);
int MvCommand_Check(const mv_options_t *options, int argc, char **argv);
int MvCommand_Plan(const mv_options_t *options, int argc, char **argv);
int MvCommand_Confirm(const mv_options_t *options, int argc, char **argv);
int MvCommand_Retire(const mv_options_t *options, int argc, char **argv);
int MvCommand_Evacuate(const mv_options_t *options, int argc, char **argv);
int MvCommand_Status(const mv_options_t *options, int argc, char **argv);
int MvCommand_Dump(const mv_options_t *options, int argc, char **argv);

/**
 * struct mv_node_status - Answer of an entry VM to a query for its state.
 * @id: its node id
 * @answered: true when it answered
 * @version: version of the configuration in force there
 * @state: its state dump, or NULL when it did not answer
 */
typedef struct mv_node_status {
    mv_node_id_t id;
    bool answered;
    uint64_t version;
    json_t *state;
} mv_node_status_t;

/**
 * MvNodes_Query() - Query the state of every entry VM in --nodes, one by one.
 * @deployment: deployment name, part of the signature
 * @count: set to the number of entries
 *
 * Return: array to be freed with MvNodes_Free(); NULL after printing an error
 * when --nodes or --key-file cannot be used.
 */
mv_node_status_t *MvNodes_Query(const mv_options_t *options,
                                const char *deployment, size_t *count);

/**
 * MvRetirements_Sum() - Endpoints that leave and callers of services that end,
 * summed over the entry VMs that answered.
 *
 * Return: new reference to an object with "retirements" and "last_callers".
 */
json_t *MvRetirements_Sum(const mv_node_status_t *nodes, size_t count);

/** MvRetirements_Print() - Print the result of MvRetirements_Sum() as text. */
void MvRetirements_Print(const json_t *sum);

/** MvNodes_Free() - Free the result of MvNodes_Query(); NULL is accepted. */
void MvNodes_Free(mv_node_status_t *nodes, size_t count);

#endif
