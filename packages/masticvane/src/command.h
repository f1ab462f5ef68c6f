/**
 * DOC: The subcommands of masticvane and their common options.
 */
#ifndef MASTICVANE_COMMAND_H
#define MASTICVANE_COMMAND_H

#include "masticvane/net.h"
#include "masticvane/store.h"

/** enum mv_exit - Exit codes, documented in docs/operators. */
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
 * struct mv_options - Options given before or after the operands.
 * @store: addresses of the platform's store
 * @nodes: INI file with a [peer N] section for each entry VM
 * @key_file: keys, as for masticvaned
 * @deployment: deployment name, for commands without answers
 * @accept: words that accept dangers, or NULL
 * @at: time a retirement begins
 * @until: time a retirement ends
 * @wait_seconds: how long confirm waits until in force everywhere
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
    int wait_seconds;
    gboolean json;
} mv_options_t;

/** typedef mv_command_t - Runs a subcommand; returns &enum mv_exit. */
typedef int (*mv_command_t)(const mv_options_t *options, int argc,
                            char **argv);

int MvCommand_Ask(const mv_options_t *options, int argc, char **argv);
int MvCommand_Check(const mv_options_t *options, int argc, char **argv);
int MvCommand_Plan(const mv_options_t *options, int argc, char **argv);
int MvCommand_Confirm(const mv_options_t *options, int argc, char **argv);
int MvCommand_Retire(const mv_options_t *options, int argc, char **argv);
int MvCommand_Status(const mv_options_t *options, int argc, char **argv);
int MvCommand_Dump(const mv_options_t *options, int argc, char **argv);

/**
 * struct mv_node_status - What one entry VM said.
 * @id: its number
 * @answered: it answered
 * @version: configuration in force there
 * @state: its whole state, or NULL; drop with json_decref()
 */
typedef struct mv_node_status {
    mv_node_id_t id;
    bool answered;
    uint64_t version;
    json_t *state;
} mv_node_status_t;

/**
 * MvNodes_Ask() - Ask every entry VM for its state.
 * @deployment: deployment name, part of the signature
 * @count: set to the number of entries
 *
 * Return: array to be freed with MvNodes_Free(); NULL after printing why.
 */
mv_node_status_t *MvNodes_Ask(const mv_options_t *options,
                              const char *deployment, size_t *count);

/**
 * MvWinding_Sum() - What is being wound down, over all that answered.
 *
 * Return: new reference to an object with "retirements" and "last_callers".
 */
json_t *MvWinding_Sum(const mv_node_status_t *nodes, size_t count);

/** MvWinding_Print() - The same for people, on standard output. */
void MvWinding_Print(const json_t *sum);

/** MvNodes_Free() - Free; NULL is accepted. */
void MvNodes_Free(mv_node_status_t *nodes, size_t count);

#endif
