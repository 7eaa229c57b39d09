/// \file
/// \brief At-most-once execution of keyed requests.
///
/// Rendezvous hashing assigns each request key to one process of the service,
/// the home of the key. Before a home runs a key it registers a claim in its
/// table and copies the claim to its mirror, a backup replica. The homes and
/// mirrors are listed in the home set, a versioned document in the log; its
/// version number is the epoch. A home of a new epoch collects the tables of
/// the prior owners of its keys before it runs them, and fences those owners.
#ifndef CAMPHORPIN_CLAIMS_H
#define CAMPHORPIN_CLAIMS_H

#include "camphorpin/src/Claims/ClaimActions.h"
#include "camphorpin/src/Claims/ClaimHome.h"
#include "camphorpin/src/Claims/ClaimMessages.h"
#include "camphorpin/src/Claims/ClaimMirror.h"
#include "camphorpin/src/Claims/ClaimOptions.h"
#include "camphorpin/src/Claims/ClaimTable.h"
#include "camphorpin/src/Claims/HomeSet.h"
#include "camphorpin/src/Claims/HomeSetProposer.h"

#endif
