/// \file
/// \brief Policies for service call graphs.
#ifndef CAMPHORPIN_POLICY_H
#define CAMPHORPIN_POLICY_H

#include "camphorpin/src/Policy/MeshPolicy.h"
#include "camphorpin/src/Policy/ServicePolicy.h"

#endif
