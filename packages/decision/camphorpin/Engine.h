#ifndef CAMPHORPIN_ENGINE_H
#define CAMPHORPIN_ENGINE_H

/// The public driving interface of the decision library (docs/design.md, 4.8).
/// Events go into NodeEngine; actions come out through Actions.
#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/EngineMessages.h"
#include "camphorpin/src/Engine/Explanation.h"
#include "camphorpin/src/Engine/LogEvent.h"
#include "camphorpin/src/Engine/NodeEngine.h"
#include "camphorpin/src/Engine/NodeLifecycle.h"
#include "camphorpin/src/Engine/PolicySource.h"

#endif
