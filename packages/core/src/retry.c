/* Retry budget: limits retries so that they do not amplify an overload. */
#include "requests_private.h"

/* Retries allowed per request. */
#define RETRY_SHARE 0.1
#define MAX_CREDIT 20.0

void
MvRetryBudget_Earn(mv_retry_budget_t *budget)
{
    budget->credit = MIN(budget->credit + RETRY_SHARE, MAX_CREDIT);
}

bool
MvRetryBudget_Spend(mv_retry_budget_t *budget)
{
    if (budget->credit < 1) {
        return false;
    }
    budget->credit -= 1;
    return true;
}
