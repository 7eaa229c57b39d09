/// \file
/// \brief Overload control policies for service call graphs: the documents,
/// their JSON representation and their validation. To build policies in C++,
/// use camphorpin/PolicyBuilder.h.
#ifndef CAMPHORPIN_POLICY_H
#define CAMPHORPIN_POLICY_H

#include "camphorpin/src/Policy/MeshPolicy.h"
#include "camphorpin/src/Policy/PolicyCheck.h"
#include "camphorpin/src/Policy/PolicyError.h"
#include "camphorpin/src/Policy/PolicyJson.h"
#include "camphorpin/src/Policy/PolicySet.h"
#include "camphorpin/src/Policy/ServicePolicy.h"

#endif
