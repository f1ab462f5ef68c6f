/* Samples of new flows, packed into 64 bits each: tag (the high bits of the
 * flow's hash), service, endpoint and time, 16 bits each. */
#include "samples.h"

#define SAMPLE_TIME_UNIT (64 * MV_MILLISECOND)
#define TAG_SHIFT 48
#define SERVICE_SHIFT 32
#define ENDPOINT_SHIFT 16

static uint64_t
sample_tag(uint64_t hash)
{
    return (hash >> TAG_SHIFT) | 1; /* 0 marks a free word. */
}

static uint16_t
sample_time(mv_time_t now)
{
    return (uint16_t)(now / SAMPLE_TIME_UNIT);
}

void
MvSamples_RecordSyn(mv_samples_t *samples, uint64_t hash, uint16_t service,
                    uint16_t endpoint, mv_time_t now)
{
    uint64_t *word = &samples->word[hash % MV_SAMPLES];
    uint64_t empty = 0;
    uint64_t sample = sample_tag(hash) << TAG_SHIFT |
                      (uint64_t)service << SERVICE_SHIFT |
                      (uint64_t)endpoint << ENDPOINT_SHIFT | sample_time(now);
    __atomic_compare_exchange_n(word, &empty, sample, false, __ATOMIC_RELAXED,
                                __ATOMIC_RELAXED);
}

uint16_t
MvSamples_RecordAnswer(mv_samples_t *samples, uint64_t hash, uint16_t service)
{
    uint64_t *word = &samples->word[hash % MV_SAMPLES];
    uint64_t seen = __atomic_load_n(word, __ATOMIC_RELAXED);
    bool same = seen >> TAG_SHIFT == sample_tag(hash) &&
                (uint16_t)(seen >> SERVICE_SHIFT) == service;
    if (!same ||
        !__atomic_compare_exchange_n(word, &seen, 0, false, __ATOMIC_RELAXED,
                                     __ATOMIC_RELAXED)) {
        return MV_NO_ENDPOINT;
    }
    return (uint16_t)(seen >> ENDPOINT_SHIFT);
}

void
MvSamples_CollectUnanswered(mv_samples_t *samples, mv_time_t now,
                            mv_unanswered_t unanswered, void *context)
{
    for (unsigned i = 0; i < MV_SAMPLES; i++) {
        uint64_t *word = &samples->word[i];
        uint64_t seen = __atomic_load_n(word, __ATOMIC_RELAXED);
        /* A traffic thread may have started the sample after @now was read:
         * its age is negative then. */
        int16_t age = (int16_t)(uint16_t)(sample_time(now) - (uint16_t)seen);
        if (seen == 0 || age * SAMPLE_TIME_UNIT < MV_SAMPLE_TIMEOUT) {
            continue;
        }
        if (__atomic_compare_exchange_n(word, &seen, 0, false,
                                        __ATOMIC_RELAXED, __ATOMIC_RELAXED)) {
            unanswered(context, (uint16_t)(seen >> SERVICE_SHIFT),
                       (uint16_t)(seen >> ENDPOINT_SHIFT));
        }
    }
}
