/// \file
/// \brief The interface to the platform's append-only log and its HTTP client.
#ifndef CAMPHORPIN_LOGCLIENT_H
#define CAMPHORPIN_LOGCLIENT_H

#include "camphorpin/src/LogClient/HttpPlatformLog.h"
#include "camphorpin/src/LogClient/PlatformLog.h"

#endif
