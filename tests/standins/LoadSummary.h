#ifndef CAMPHORPIN_TESTS_STANDINS_LOADSUMMARY_H
#define CAMPHORPIN_TESTS_STANDINS_LOADSUMMARY_H

#include "LoadOutcome.h"
#include "LoadPlan.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace camphorpin::standins {

/// \class LoadSummary
/// \brief Counts and latencies per rank.
class LoadSummary {
public:
  LoadSummary(const LoadPlan &Plan, std::span<const SendRecord> Records);

  /// \returns the table for people.
  std::string table() const;

  /// \returns the same as JSON.
  std::string toJson(std::size_t LateSends) const;

  /// \returns true if no caller got a wrong or torn answer and, unless the
  /// plan allows loss, none went without an answer.
  bool acceptable() const;

private:
  struct Row {
    std::map<LoadOutcome, std::size_t> Finals;
    /// Sends, of any attempt, without an answer.
    std::size_t Unanswered = 0;
    std::size_t Wrong = 0;
    std::vector<double> LatenciesMs;
    std::vector<double> AddedMs;
    /// Reasons of refusals and failures with their counts.
    std::map<std::string, std::size_t> Details;

    std::size_t requests() const;
    std::size_t count(LoadOutcome Outcome) const;
  };

  static void add(Row &Target, const SendRecord &Record);
  static void addDetail(Row &Target, const SendRecord &Record);

  bool LossAllowed;
  std::map<std::string, Row> Rows;
};

} // namespace camphorpin::standins

#endif
