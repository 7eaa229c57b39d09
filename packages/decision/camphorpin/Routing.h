/// \file
/// \brief Which backend server of a service gets a call.
#ifndef CAMPHORPIN_ROUTING_H
#define CAMPHORPIN_ROUTING_H

#include "camphorpin/src/Routing/PeerStats.h"
#include "camphorpin/src/Routing/PeerSubset.h"
#include "camphorpin/src/Routing/ServiceRouter.h"

#endif
