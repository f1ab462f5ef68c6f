/* Time up to which the replica of a node lacks no change of the store, as
 * other nodes tell it. */
#include "completeness.h"

/* Higher ages are not told. */
#define MAX_TOLD_AGE (30 * MV_SECOND)

mv_time_t
MvCompleteness_Time(const mv_completeness_t *completeness, uint64_t revision)
{
    return revision >= completeness->told_revision ? completeness->told_at
                                                   : completeness->reached_at;
}

void
MvCompleteness_Note(mv_completeness_t *completeness, uint64_t revision,
                    mv_time_t told_at, uint64_t told_revision)
{
    completeness->reached_at = MvCompleteness_Time(completeness, revision);
    if (told_at > completeness->told_at) {
        completeness->told_at = told_at;
        completeness->told_revision = told_revision;
    }
}

/* In milliseconds, and one more. */
uint32_t
MvCompleteness_EncodeAge(mv_time_t age)
{
    return (uint32_t)(MIN(age, MAX_TOLD_AGE) / MV_MILLISECOND) + 1;
}

mv_time_t
MvCompleteness_DecodeAge(uint32_t encoded)
{
    mv_time_t age = (mv_time_t)(encoded - 1) * MV_MILLISECOND;
    return age < MAX_TOLD_AGE ? age : MV_NEVER;
}
