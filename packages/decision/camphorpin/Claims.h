/// \file
/// \brief At-most-once execution of keyed requests: home sets, claims, mirrors.
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
