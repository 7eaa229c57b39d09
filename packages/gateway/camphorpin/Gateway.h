#ifndef CAMPHORPIN_GATEWAY_H
#define CAMPHORPIN_GATEWAY_H

/// A node on a hosted platform. The platform stores the configuration and the
/// directory of nodes. All requests to a backend server pass through the node
/// beside it. All work runs on one event loop.
#include "camphorpin/src/Gateway/Gateway.h"
#include "camphorpin/src/Gateway/GatewaySettings.h"
#include "camphorpin/src/Gateway/PlatformProtocol.h"

#endif
