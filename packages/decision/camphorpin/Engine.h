#ifndef CAMPHORPIN_ENGINE_H
#define CAMPHORPIN_ENGINE_H

/// The public interface of the decision library (docs/design.md, 4.8). The
/// program passes events to NodeEngine and implements Actions.
#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/EngineMessages.h"
#include "camphorpin/src/Engine/Explanation.h"
#include "camphorpin/src/Engine/LogEvent.h"
#include "camphorpin/src/Engine/NodeEngine.h"
#include "camphorpin/src/Engine/NodeLifecycle.h"
#include "camphorpin/src/Engine/PolicySource.h"

#endif
