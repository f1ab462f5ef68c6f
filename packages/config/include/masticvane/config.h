/**
 * DOC: masticvane configuration library
 *
 * From the questionnaire's answers to the configuration: parsing with every
 * finding and its place, deterministic generation, a line by line
 * explanation, and the JSON form kept in the platform's store.  No function
 * does I/O.  All functions may be called from any thread on their own
 * objects.
 */
#ifndef MASTICVANE_CONFIG_H
#define MASTICVANE_CONFIG_H

#include "masticvane/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * MvAnswers_Template() - A commented answers file to start from.
 *
 * Return: text, to be freed with g_free().
 */
char *MvAnswers_Template(void);

/**
 * MvAnswers_Parse() - Read answers into a deployment without buckets.
 * @file: name used in findings
 * @text: the answers
 * @now: Unix second, for times given as "now" or "+30m"
 * @findings: receives everything that is wrong
 *
 * Return: a deployment with version 0, or NULL when there are findings.
 * Drop it with MvDeployment_Unref().
 */
mv_deployment_t *MvAnswers_Parse(const char *file, const char *text,
                                 int64_t now, mv_findings_t *findings);

/**
 * MvAnswers_ParseTime() - Unix second of "now", "+90s", "+30m", "+2h",
 * "+1d" or an ISO 8601 time; a time without zone is UTC.
 *
 * Return: false when @text is none of these.
 */
bool MvAnswers_ParseTime(const char *text, int64_t now, int64_t *time);

/**
 * MvDeployment_Generate() - Complete parsed answers into a configuration.
 * @answers: from MvAnswers_Parse(); changed in place
 * @previous: configuration in force, or NULL
 * @now: Unix second of the change
 * @change_id: identifier of the change
 *
 * Ids are kept from @previous by name and never reused.  Buckets move as
 * little as possible.  The same inputs give the same result.
 */
void MvDeployment_Generate(mv_deployment_t *answers,
                           const mv_deployment_t *previous, int64_t now,
                           const char *change_id);

/** enum mv_danger - What needs an explicit word at confirm. */
typedef enum mv_danger {
    MV_DANGER_NONE = 0,
    MV_DANGER_LAST_ENDPOINT = 1,
    MV_DANGER_ADDRESS_MOVES = 2,
    MV_DANGER_PAST_RETIREMENT = 4,
    MV_DANGER_ENDPOINT_REMOVED = 8,
    MV_DANGER_SERVICE_REMOVED = 16,
    MV_DANGER_CAPACITY = 32,
} mv_danger_t;

/** MvDanger_Word() - The word that accepts one danger. */
const char *MvDanger_Word(mv_danger_t danger);

/**
 * MvPlan_Explain() - What would change, one line an item.
 * @previous: configuration in force, or NULL
 * @next: generated configuration
 * @now: Unix second
 * @dangers: set to the dangers found, or-ed
 *
 * Return: text, to be freed with g_free().
 */
char *MvPlan_Explain(const mv_deployment_t *previous,
                     const mv_deployment_t *next, int64_t now,
                     unsigned *dangers);

/**
 * MvDeployment_HasChange() - Is this change in @deployment, as the newest or
 * one of the last MV_RECENT_CHANGES?
 */
bool MvDeployment_HasChange(const mv_deployment_t *deployment,
                            const char *change_id);

/**
 * MvDeployment_EncodeService() - JSON document of one service.
 * @digest: set to the hex digest of the document
 *
 * Return: text, to be freed with free().
 */
char *MvDeployment_EncodeService(const mv_service_t *service,
                                 char digest[MV_DIGEST_MAX]);

/**
 * MvDeployment_EncodeRoot() - JSON document that names all services.
 *
 * Return: text, to be freed with free().
 */
char *MvDeployment_EncodeRoot(const mv_deployment_t *deployment);

/**
 * MvDeployment_RootServices() - Names and digests in a root document.
 *
 * Return: array of pairs name, digest (char *), to be freed with
 * g_ptr_array_unref(); NULL with @error set.
 */
GPtrArray *MvDeployment_RootServices(const char *root, GError **error);

/**
 * MvDeployment_Bundle() - Join a root and its services for one message.
 * @services: documents in the order of MvDeployment_RootServices()
 *
 * Return: text, to be freed with free(); NULL with @error set when a
 * document does not match its digest.
 */
char *MvDeployment_Bundle(const char *root, char *const *services,
                          size_t count, GError **error);

/**
 * MvDeployment_Decode() - Decode a bundle.
 * @base: where services that were left out are taken from, or NULL
 *
 * Every service must match its digest in the root, also those from @base.
 *
 * Return: the deployment, or NULL with @error set.
 */
mv_deployment_t *MvDeployment_Decode(const char *bytes, size_t length,
                                     const mv_deployment_t *base,
                                     GError **error);

/**
 * MvDeployment_EncodeSince() - Bundle for one who has version @since.
 *
 * Services that did not change since then are left out; with 0 none is.
 *
 * Return: text, to be freed with free().
 */
char *MvDeployment_EncodeSince(const mv_deployment_t *deployment,
                               uint64_t since);

#ifdef __cplusplus
}
#endif
#endif
