/// \file
/// \brief Basic types that all packages share: time, random numbers, hashes,
/// identifiers, request contexts, verdicts, state charts and bounded queues.
#ifndef CAMPHORPIN_CORE_H
#define CAMPHORPIN_CORE_H

#include "camphorpin/src/Core/BoundedQueue.h"
#include "camphorpin/src/Core/Clock.h"
#include "camphorpin/src/Core/Duration.h"
#include "camphorpin/src/Core/Hash.h"
#include "camphorpin/src/Core/HostAddress.h"
#include "camphorpin/src/Core/Instant.h"
#include "camphorpin/src/Core/Name.h"
#include "camphorpin/src/Core/ProcessId.h"
#include "camphorpin/src/Core/Random.h"
#include "camphorpin/src/Core/Rank.h"
#include "camphorpin/src/Core/RefusalReason.h"
#include "camphorpin/src/Core/RequestContext.h"
#include "camphorpin/src/Core/RequestKey.h"
#include "camphorpin/src/Core/StateChart.h"
#include "camphorpin/src/Core/Verdict.h"

#endif
