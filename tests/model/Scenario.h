#ifndef CAMPHORPIN_TESTS_MODEL_SCENARIO_H
#define CAMPHORPIN_TESTS_MODEL_SCENARIO_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin::model {

/// \class ServiceSpec
/// \brief A service and its backend servers, one for each speed.
struct ServiceSpec {
  std::string Name;
  std::uint32_t Slots = 1;
  /// Relative to the work that a route states.
  std::vector<double> Speeds;
  /// Part of the slots from which work takes longer by SlowFactor.
  double FullFrom = 1;
  double SlowFactor = 1;
};

/// \class CallSpec
/// \brief Calls that a run makes after half of its work.
struct CallSpec {
  std::string Route;
  int Times = 1;
  /// All calls at once; otherwise one after the other.
  bool Together = false;
};

/// \class RouteSpec
/// \brief A kind of request.
struct RouteSpec {
  std::string Name;
  std::string Service;
  std::uint8_t Rank = 0;
  bool Idempotent = true;
  double WorkMillis = 1;
  /// Standard deviation of the work's logarithm.
  double WorkSpread = 0;
  Duration Objective = Duration::seconds(1);
  /// Of a request and its answer.
  double Bytes = 1000;
  Duration Timeout = Duration::seconds(30);
  /// How long a caller waits.
  Duration Deadline = Duration::seconds(5);
  std::uint32_t MaxAttempts = 2;
  /// What an answer within the objective is worth, and a later one.
  double Worth = 1;
  double LateWorth = 0.3;
  /// How often a caller repeats a refused or failed request.
  int Retries = 1;
  std::vector<CallSpec> Calls;
};

/// \class FlowSpec
/// \brief Requests of callers, evenly from all hosts.
struct FlowSpec {
  std::string Route;
  double PerSecond = 0;
};

/// \brief What happens for a while.
enum class EventKind : std::uint8_t {
  /// Callers send Factor times as much of a route.
  Burst,
  /// The backend servers of a service refuse a part (Factor) of the requests.
  Shed,
  /// The backend servers of a service work Factor times as long.
  Slow,
};

struct EventSpec {
  EventKind Kind = EventKind::Burst;
  Duration At;
  Duration For;
  /// A route for a burst, else a service.
  std::string Target;
  double Factor = 1;
};

/// \class Scenario
/// \brief A system and the load it gets.
struct Scenario {
  std::string Name;
  Duration Length = Duration::seconds(30);
  /// One way between hosts.
  Duration SameZoneDelay;
  Duration OtherZoneDelay;
  std::size_t Zones = 3;
  std::vector<ServiceSpec> Services;
  std::vector<RouteSpec> Routes;
  std::vector<FlowSpec> Flows;
  std::vector<EventSpec> Events;

  /// \returns the route \p Name, which must exist.
  const RouteSpec &route(std::string_view Name) const;
};

/// Reads a scenario from JSON with comments (scenarios/*.json).
/// \throws std::runtime_error that names the fault.
Scenario parseScenario(std::string_view Json);

/// Reads the scenario in the file at \p Path.
Scenario readScenario(const std::string &Path);

} // namespace camphorpin::model

#endif
