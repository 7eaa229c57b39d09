#ifndef CAMPHORPIN_TESTS_STANDINS_LOADPLAN_H
#define CAMPHORPIN_TESTS_STANDINS_LOADPLAN_H

#include "Protocol.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin::standins {

/// \class LoadStream
/// \brief Requests of one caller for one operation.
struct LoadStream {
  std::string Service;
  std::string Operation;
  std::string Caller = "anonymous";
  /// Only names the row of the table; the policy decides the rank.
  std::string Rank = "normal";
  /// Requests per second, with exponential gaps.
  double Rate = 1;
  int DeadlineMs = 2000;
  /// Sends an Idempotency-Key.
  bool Keyed = false;
  std::size_t AnswerBytes = 100;
  /// Share of the requests that are sent twice at the same time with the same
  /// key through different nodes.
  double Duplicates = 0;
  /// How often a request that was not served is sent again with its key.
  int Resends = 0;
  /// Pause before each of them.
  int ResendPauseMs = 100;
  /// Marks every request as one that crashes its backend server.
  bool Crash = false;

  std::string target() const { return Service + "/" + Operation; }
};

/// \class LoadPlan
/// \brief What the load generator sends. The same plan and seed give the same
/// requests.
struct LoadPlan {
  std::uint64_t Seed = 1;
  int DurationMs = 5000;
  /// Most requests in flight.
  std::size_t Threads = 64;
  /// Nodes to send to, each request to one of them.
  std::vector<Endpoint> Targets;
  /// An answer that is this late after the deadline is missing.
  int GraceMs = 2000;
  /// Connections may be lost and answers may stay out, because the test kills
  /// or freezes nodes. Wrong answers are never allowed.
  bool LossAllowed = false;
  std::vector<LoadStream> Streams;
};

/// \returns the plan in \p Json. Ends the program with a message on errors.
LoadPlan parsePlan(std::string_view Json);

} // namespace camphorpin::standins

#endif
