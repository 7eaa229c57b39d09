#ifndef CAMPHORPIN_TESTS_MODEL_CALLERS_H
#define CAMPHORPIN_TESTS_MODEL_CALLERS_H

#include "LoadModel.h"

namespace camphorpin::model {

/// \returns how many times its usual rate callers send of \p Route at \p Time.
double burstFactor(const Scenario &System, std::string_view Route,
                   Duration Time);

/// \class Callers
/// \brief Sends requests at random times and repeats those that are refused or
/// fail, as the users' callers do.
class Callers {
public:
  explicit Callers(Fleet &Target) : Target(Target) {}

  void start();
  const std::map<std::string, RouteResult> &results() const { return Results; }

private:
  /// One request with its repeats.
  struct Request {
    const RouteSpec *Route = nullptr;
    std::size_t Node = 0;
    Instant Start;
    int RetriesLeft = 0;
    bool CameBack = false;
  };

  void armNext(const FlowSpec &Flow);
  void send(const Request &Item);
  void onEnd(Request Item, const RequestEnd &End);
  void record(const Request &Item, unsigned Status);

  Fleet &Target;
  std::map<std::string, RouteResult> Results;
};

} // namespace camphorpin::model

#endif
