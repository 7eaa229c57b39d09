#ifndef CAMPHORPIN_TESTS_STANDINS_LOADOUTCOME_H
#define CAMPHORPIN_TESTS_STANDINS_LOADOUTCOME_H

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorpin::standins {

/// \brief What a caller got.
enum class LoadOutcome : std::uint8_t {
  /// The whole answer to its own request.
  Served,
  /// A refusal that says "not run".
  NotRun,
  /// A refusal that says "may have run".
  MayHaveRun,
  /// The request ran, but with a failure or without a kept answer.
  RanWithoutResult,
  /// No connection to any node; nothing was sent.
  NotConnected,
  /// The connection broke before the whole answer had arrived.
  Lost,
  /// No answer until well after the deadline.
  Missing,
  /// An answer without verdict, of another request, or torn.
  Wrong,
};

std::string_view toString(LoadOutcome Value);

/// \class SendRecord
/// \brief One send of a request and what came back.
struct SendRecord {
  std::size_t Stream = 0;
  std::string Key;
  std::string Id;
  int Attempt = 1;
  /// The send is a duplicate of one that is under way.
  bool Duplicate = false;
  /// No further send of this request followed.
  bool Final = true;
  /// Microseconds on the monotonic clock.
  std::int64_t SentAt = 0;
  std::int64_t AnsweredAt = 0;
  /// The service time that the backend server reports, in ms.
  double ServiceMs = 0;
  LoadOutcome Outcome = LoadOutcome::Missing;
  std::string Detail;

  double latencyMs() const {
    return static_cast<double>(AnsweredAt - SentAt) / 1000;
  }
};

} // namespace camphorpin::standins

#endif
