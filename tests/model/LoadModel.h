#ifndef CAMPHORPIN_TESTS_MODEL_LOADMODEL_H
#define CAMPHORPIN_TESTS_MODEL_LOADMODEL_H

#include "ModelNode.h"

#include <map>
#include <string>
#include <vector>

namespace camphorpin::model {

/// \class RouteResult
/// \brief What the callers of one route got. A request that is repeated counts
/// once.
struct RouteResult {
  std::size_t Asked = 0;
  /// Served within the objective, counted from the first attempt.
  std::size_t InTime = 0;
  std::size_t Late = 0;
  std::size_t Refused = 0;
  std::size_t Failed = 0;
  /// Refused or failed after it had come back from a refusal.
  std::size_t RefusedAgain = 0;
  double Worth = 0;
  double WorthOwed = 0;

  std::size_t served() const { return InTime + Late; }
};

/// \class ModelResult
/// \brief The outcome of one play.
struct ModelResult {
  std::map<std::string, RouteResult> Routes;
  /// Part of the slots of each service that was in use on average.
  std::map<std::string, double> Use;

  /// \returns the part of the worth that callers got.
  double worth() const;
};

/// Plays \p System with the decisions of the product.
/// \param Seed the same seed gives the same result.
ModelResult play(const Scenario &System, std::uint64_t Seed);

/// \returns the part of the worth that any decisions could give, if each
/// request took exactly the mean work of its calls and nothing were wasted:
/// the most urgent ranks first, the others as far as the slots of every service
/// carry them in each second.
double attainableWorth(const Scenario &System);

} // namespace camphorpin::model

#endif
