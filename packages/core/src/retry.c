/* Retry budget: limits retries so that they do not amplify an overload. */
#include "requests_private.h"

/* Credit that each new request adds. */
#define RETRIES_PER_REQUEST 0.1
/* Maximum number of retries available at once. */
#define MAX_RETRY_CREDIT 20.0

void
MvRetryBudget_Earn(mv_retry_budget_t *budget)
{
    budget->credit =
        MIN(budget->credit + RETRIES_PER_REQUEST, MAX_RETRY_CREDIT);
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
