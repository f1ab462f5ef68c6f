/**
 * DOC: Samples of new flows, for passive health checks of endpoints.
 *
 * Backend servers answer callers directly, so an entry VM sees only what
 * callers send.  A caller whose connection was not accepted sends nothing but
 * SYN.  A sample is one new flow: it is answered when a later packet of the
 * flow arrives, and unanswered when none arrives within MV_SAMPLE_TIMEOUT.
 * Traffic threads write samples, the control thread collects them.
 */
#ifndef MV_CORE_SAMPLES_H
#define MV_CORE_SAMPLES_H

#include "masticvane/core.h"

/** Maximum number of flows sampled at the same time. */
#define MV_SAMPLES 1024

/** Time after which a sample without a later packet is unanswered. */
#define MV_SAMPLE_TIMEOUT (2 * MV_SECOND)

/**
 * struct mv_samples - The samples of one node.
 * @word: tag, service, endpoint and time of each, packed; 0 is free
 */
typedef struct mv_samples {
    uint64_t word[MV_SAMPLES];
} mv_samples_t;

/**
 * MvSamples_RecordSyn() - Start a sample for a SYN; any traffic thread.
 *
 * Does nothing when the flow's slot is in use.
 */
void MvSamples_RecordSyn(mv_samples_t *samples, uint64_t hash,
                         uint16_t service, uint16_t endpoint, mv_time_t now);

/**
 * MvSamples_RecordAnswer() - End the sample of a flow at a later packet; any
 *                            traffic thread.
 *
 * Return: the sampled endpoint id, or MV_NO_ENDPOINT.
 */
uint16_t MvSamples_RecordAnswer(mv_samples_t *samples, uint64_t hash,
                                uint16_t service);

/** typedef mv_unanswered_t - Function called for each unanswered sample. */
typedef void (*mv_unanswered_t)(void *context, uint16_t service,
                                uint16_t endpoint);

/**
 * MvSamples_CollectUnanswered() - Report and free unanswered samples; control
 *                                 thread only.
 */
void MvSamples_CollectUnanswered(mv_samples_t *samples, mv_time_t now,
                                 mv_unanswered_t unanswered, void *context);

#endif
