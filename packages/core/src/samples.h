/**
 * DOC: Samples of new flows, to see whether their endpoint answers.
 *
 * Answers go straight from backend server to caller, so an entry VM sees an
 * endpoint only through what callers send next.  A caller whose connection
 * was not accepted sends nothing but SYN.  A sample is one new flow; it is
 * answered when a later packet of the flow is seen, and silent when none was
 * for MV_SAMPLE_WAIT.  Traffic threads write, the control thread collects.
 */
#ifndef MV_CORE_SAMPLES_H
#define MV_CORE_SAMPLES_H

#include "masticvane/core.h"

/** Flows sampled at once. */
#define MV_SAMPLES 1024

/** Time after which a sample without a later packet counts as silent. */
#define MV_SAMPLE_WAIT (2 * MV_SECOND)

/**
 * struct mv_samples - The samples of one node.
 * @word: tag, service, endpoint and time of each, packed; 0 is free
 */
typedef struct mv_samples {
    uint64_t word[MV_SAMPLES];
} mv_samples_t;

/** MvSamples_Opened() - A SYN was sent to an endpoint; any traffic thread. */
void MvSamples_Opened(mv_samples_t *samples, uint64_t hash, uint16_t service,
                      uint16_t endpoint, mv_time_t now);

/**
 * MvSamples_Continued() - A later packet came; any traffic thread.
 *
 * Return: the sampled endpoint id, or MV_NO_ENDPOINT.
 */
uint16_t MvSamples_Continued(mv_samples_t *samples, uint64_t hash,
                             uint16_t service);

/** typedef mv_silent_t - Receives a silent sample. */
typedef void (*mv_silent_t)(void *context, uint16_t service,
                            uint16_t endpoint);

/** MvSamples_Collect() - Report and free silent samples; control thread. */
void MvSamples_Collect(mv_samples_t *samples, mv_time_t now,
                       mv_silent_t silent, void *context);

#endif
