#ifndef CAMPHORPIN_SRC_GATEWAY_NODERETRYBUDGET_H
#define CAMPHORPIN_SRC_GATEWAY_NODERETRYBUDGET_H

#include "camphorpin/Core.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace camphorpin {

/// \class RetryBudgetSettings
/// \brief The fleet-wide limit on retries to one service.
struct RetryBudgetSettings {
  /// Retries per request.
  double Ratio = 0.1;
  /// Additional retries allowed per window in the whole fleet.
  double Slack = 10;
  Duration Window = Duration::seconds(10);

  bool operator==(const RetryBudgetSettings &) const = default;
};

/// \class NodeRetryBudget
/// \brief This node's share of the retry budget of each called service.
///
/// The ratio applies to the node's own requests, and the slack is divided by
/// the number of nodes. The sum over all nodes thus stays within the fleet's
/// budget without any communication.
class NodeRetryBudget {
public:
  /// \param Settings must outlive the object and may change.
  explicit NodeRetryBudget(const RetryBudgetSettings &Settings)
      : Settings(Settings) {}

  /// Counts the first attempt of a request to \p Service.
  void onRequest(const std::string &Service, Instant Now);

  /// \param MakesNestedCalls the request makes nested calls. A retry repeats
  /// them, so it is charged more.
  /// \param Nodes the number of nodes that share the slack, at least 1.
  /// \returns true if a retry is allowed; it is then charged to the budget.
  bool tryRetry(const std::string &Service, bool MakesNestedCalls,
                std::size_t Nodes, Instant Now);

private:
  /// Number of parts of the sliding window.
  static constexpr std::size_t Slices = 10;
  /// Counts in one part of the window.
  struct Slice {
    std::int64_t Number = -1;
    std::uint32_t Requests = 0;
    /// Budget consumed by retries.
    double Retries = 0;
  };
  using Ring = std::array<Slice, Slices>;

  Slice &current(Ring &Counts, Instant Now) const;
  std::int64_t sliceNumber(Instant Now) const;

  const RetryBudgetSettings &Settings;
  std::map<std::string, Ring> Services;
};

} // namespace camphorpin

#endif
