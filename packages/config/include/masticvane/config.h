/**
 * DOC: masticvane configuration library
 *
 * Turns the operators' answers file, an INI text, into the configuration of a
 * deployment: parses it with findings for each fault, generates the next
 * version deterministically, explains the difference to the version in force,
 * and encodes and decodes the JSON documents in the platform's store.  No
 * function does I/O.  Functions may be called from any thread as long as no
 * two threads use the same object.
 */
#ifndef MASTICVANE_CONFIG_H
#define MASTICVANE_CONFIG_H

#include "masticvane/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * MvAnswers_Template() - Text of a commented example answers file.
 *
 * Return: the text, to be freed with g_free().
 */
char *MvAnswers_Template(void);

/**
 * MvAnswers_Parse() - Parse answers into a deployment without ids and buckets.
 * @file: name used in findings
 * @text: the answers
 * @now: Unix second, for times given as "now" or "+30m"
 * @findings: receives a finding for each fault
 *
 * Return: a deployment with version 0, to be released with
 * MvDeployment_Unref(); NULL when findings were added or memory ran out.
 */
mv_deployment_t *MvAnswers_Parse(const char *file, const char *text,
                                 int64_t now, mv_findings_t *findings);

/**
 * MvAnswers_ParseTime() - Parse "now", "+90s", "+30m", "+2h", "+1d" or an ISO
 * 8601 time; a time without zone is UTC.
 * @now: Unix second to which the relative times are added
 * @time: set to the Unix second
 *
 * Return: true, or false when @text is no such time.
 */
bool MvAnswers_ParseTime(const char *text, int64_t now, int64_t *time);

/**
 * MvDeployment_Generate() - Complete parsed answers into a configuration: set
 * version, ids, buckets and digests.
 * @answers: from MvAnswers_Parse(); changed in place
 * @previous: configuration in force, or NULL
 * @now: Unix second of the change
 * @change_id: identifier of the change
 *
 * Services and endpoints keep the id that their name has in @previous; ids are
 * never reused.  As few buckets as possible change their endpoint.  The same
 * inputs give the same result.
 */
void MvDeployment_Generate(mv_deployment_t *answers,
                           const mv_deployment_t *previous, int64_t now,
                           const char *change_id);

/**
 * enum mv_danger - Risky parts of a change, as bits; confirm refuses a change
 * that has one which --accept does not name.
 * @MV_DANGER_NONE: none
 * @MV_DANGER_LAST_ENDPOINT: all endpoints of a service leave, but the service
 *                           has no end time
 * @MV_DANGER_ADDRESS_MOVES: an address and port go from one service to another
 * @MV_DANGER_PAST_RETIREMENT: an endpoint leaves at a time in the past
 * @MV_DANGER_ENDPOINT_REMOVED: an endpoint is removed before its end time, or
 *                              has no end time
 * @MV_DANGER_SERVICE_REMOVED: a service is removed before its end time, or has
 *                             no end time
 * @MV_DANGER_CAPACITY: a service keeps less than half of its slots
 */
typedef enum mv_danger {
    MV_DANGER_NONE = 0,
    MV_DANGER_LAST_ENDPOINT = 1,
    MV_DANGER_ADDRESS_MOVES = 2,
    MV_DANGER_PAST_RETIREMENT = 4,
    MV_DANGER_ENDPOINT_REMOVED = 8,
    MV_DANGER_SERVICE_REMOVED = 16,
    MV_DANGER_CAPACITY = 32,
} mv_danger_t;

/** MvDanger_Name() - Name of a danger for --accept; empty for none. */
const char *MvDanger_Name(mv_danger_t danger);

/**
 * MvPlan_Explain() - Describe the changes from @previous to @next, one on each
 * line.
 * @previous: configuration in force, or NULL
 * @next: generated configuration
 * @now: Unix second
 * @dangers: set to the &enum mv_danger bits of the change
 *
 * Return: the text, to be freed with g_free().
 */
char *MvPlan_Explain(const mv_deployment_t *previous,
                     const mv_deployment_t *next, int64_t now,
                     unsigned *dangers);

/**
 * MvDeployment_HasChange() - Whether @change_id is the newest change of
 * @deployment or among its last MV_RECENT_CHANGES changes.
 */
bool MvDeployment_HasChange(const mv_deployment_t *deployment,
                            const char *change_id);

/**
 * MvDeployment_EncodeService() - JSON document of one service.
 * @digest: set to the hexadecimal digest of the document
 *
 * Return: the document, to be freed with free().
 */
char *MvDeployment_EncodeService(const mv_service_t *service,
                                 char digest[MV_DIGEST_MAX]);

/**
 * MvDeployment_EncodeRoot() - JSON document of the deployment, with the names
 * and digests of its services.
 *
 * Return: the document, to be freed with free().
 */
char *MvDeployment_EncodeRoot(const mv_deployment_t *deployment);

/**
 * MvDeployment_RootServices() - Names and digests of the services in a root
 * document.
 *
 * Return: array of char *, name and digest of each service in turn, to be
 * freed with g_ptr_array_unref(); NULL with @error set when @root is no JSON.
 */
GPtrArray *MvDeployment_RootServices(const char *root, GError **error);

/**
 * MvDeployment_Bundle() - Join a root document and its service documents into
 * one JSON document, a bundle.
 * @services: documents in the order of MvDeployment_RootServices()
 * @count: number of @services
 *
 * Digests are not checked here but by MvDeployment_Decode().
 *
 * Return: the bundle, to be freed with free(); NULL with @error set when a
 * document is no JSON.
 */
char *MvDeployment_Bundle(const char *root, char *const *services,
                          size_t count, GError **error);

/**
 * MvDeployment_Decode() - Decode a bundle.
 * @base: configuration from which services that the bundle leaves out are
 *        copied, or NULL
 *
 * Every service must match its digest in the root, also those from @base.
 *
 * Return: the deployment, to be released with MvDeployment_Unref(); NULL with
 * @error set when the bundle is malformed or incomplete.
 */
mv_deployment_t *MvDeployment_Decode(const char *bytes, size_t length,
                                     const mv_deployment_t *base,
                                     GError **error);

/**
 * MvDeployment_EncodeSince() - Bundle for a node that has version @since.
 * @since: services that have not changed since this version are left out; 0
 *         includes all services
 *
 * Return: the bundle, to be freed with free().
 */
char *MvDeployment_EncodeSince(const mv_deployment_t *deployment,
                               uint64_t since);

#ifdef __cplusplus
}
#endif
#endif
