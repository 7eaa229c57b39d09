/// \file
/// \brief Builds policies in C++. What can be checked when the program is
/// compiled does not compile if it is wrong: names, shares, ranks. Calls name
/// operations that were defined before, so the call graph has no cycle and no
/// unknown target. See packages/policy/examples.
///
/// \code
/// constexpr RankTable Ranks(RankSpec("urgent", Share(0.02)),
///                           RankSpec("lookup", Share(0.01), Share(0.8)));
/// PolicyBuilder Builder(Ranks);
/// const ServiceRef Lots = Builder.service(
///     "lots", {.Slots = 130, .Connections = 900, .QueueLimit = 260});
/// const OperationRef Reserve = Builder.nonIdempotent(
///     Lots, "reserve", Ranks.rank("urgent"), Duration::millis(1000));
/// std::variant<PolicySet, PolicyErrors> Policies = Builder.build();
/// \endcode
#ifndef CAMPHORPIN_POLICYBUILDER_H
#define CAMPHORPIN_POLICYBUILDER_H

#include "camphorpin/src/PolicyBuilder/NameLiteral.h"
#include "camphorpin/src/PolicyBuilder/PolicyBuilder.h"
#include "camphorpin/src/PolicyBuilder/RankTable.h"
#include "camphorpin/src/PolicyBuilder/Share.h"

#endif
