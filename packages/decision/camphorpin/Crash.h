/// \file
/// \brief Limits the crashes that one request can cause.
#ifndef CAMPHORPIN_CRASH_H
#define CAMPHORPIN_CRASH_H

#include "camphorpin/src/Crash/CrashGuard.h"
#include "camphorpin/src/Crash/CrashReport.h"

#endif
