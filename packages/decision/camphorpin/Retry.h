/// \file
/// \brief Bounded retries: the budget of a request, the ratio of an edge, the
/// decision to retry, and resends that join a running request.
#ifndef CAMPHORPIN_RETRY_H
#define CAMPHORPIN_RETRY_H

#include "camphorpin/src/Retry/AttemptBudget.h"
#include "camphorpin/src/Retry/RequestCoalescer.h"
#include "camphorpin/src/Retry/RetryPolicy.h"
#include "camphorpin/src/Retry/RetryThrottle.h"

#endif
