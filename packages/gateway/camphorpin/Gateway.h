#ifndef CAMPHORPIN_GATEWAY_H
#define CAMPHORPIN_GATEWAY_H

/// A node on a hosted platform. The platform keeps the configuration and the
/// directory of nodes; the node beside a backend server is the only way to it.
/// Everything runs on one event loop.
#include "camphorpin/src/Gateway/Gateway.h"
#include "camphorpin/src/Gateway/GatewaySettings.h"
#include "camphorpin/src/Gateway/PlatformProtocol.h"

#endif
