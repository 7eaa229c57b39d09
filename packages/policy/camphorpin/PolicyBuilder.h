/// \file
/// \brief Builds policies in C++. Names, shares and ranks are validated at
/// compile time. Calls refer to operations that are already defined, so the
/// call graph can contain neither cycles nor unknown targets. See
/// packages/policy/examples.
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
