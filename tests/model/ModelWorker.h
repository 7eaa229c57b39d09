#ifndef CAMPHORPIN_TESTS_MODEL_MODELWORKER_H
#define CAMPHORPIN_TESTS_MODEL_MODELWORKER_H

#include "EventQueue.h"
#include "Scenario.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace camphorpin::model {

using test::EventQueue;

/// \class CallPort
/// \brief Where the runs of a backend server send their calls.
class CallPort {
public:
  virtual ~CallPort() = default;

  /// \param Done receives the status of the call.
  /// \returns a number for cancel().
  virtual std::uint64_t call(const RouteSpec &Route, Duration TimeLeft,
                             std::function<void(unsigned Status)> Done) = 0;
  virtual void cancel(std::uint64_t Call) = 0;
};

/// \class ModelWorker
/// \brief A backend server: work of random length, calls to other services, and
/// slower work when it is nearly full.
class ModelWorker {
public:
  /// Receives 200, 500 if a call failed, 504 at the deadline, or 503 if the
  /// request was shed and did not run.
  using Done = std::function<void(unsigned Status)>;

  ModelWorker(EventQueue &Events, Random &Source, const Scenario &System,
              const ServiceSpec &Service, double Speed)
      : Events(Events), Source(Source), System(System), Service(Service),
        Speed(Speed) {}

  void useCalls(CallPort &Port) { Calls = &Port; }
  const ServiceSpec &service() const { return Service; }

  /// \returns a number for cancel().
  std::uint64_t run(const RouteSpec &Route, Duration TimeLeft, Done Handler);
  void cancel(std::uint64_t Id);

  /// From now on a part of the requests is shed, or work takes longer.
  void setShedPart(double Part) { ShedPart = Part; }
  void setSlowness(double Factor) { Slowness = Factor; }

  /// \returns the time that all runs together have held slots.
  Duration busyTime() const { return Busy; }

private:
  struct Run {
    const RouteSpec *Route = nullptr;
    Instant Start;
    Instant Deadline;
    Done Handler;
    Duration HalfOfWork;
    /// The rule of Route->Calls that is carried out, and what it lacks.
    std::size_t Rule = 0;
    int ToStart = 0;
    std::set<std::uint64_t> Open;
  };

  Duration sampleWork(const RouteSpec &Route);
  void beginRule(std::uint64_t Id);
  void startCalls(std::uint64_t Id);
  void onCallEnd(std::uint64_t Id, std::uint64_t Call, unsigned Status);
  void end(std::uint64_t Id, unsigned Status);

  EventQueue &Events;
  Random &Source;
  const Scenario &System;
  const ServiceSpec &Service;
  double Speed;
  CallPort *Calls = nullptr;
  double ShedPart = 0;
  double Slowness = 1;
  std::map<std::uint64_t, Run> Runs;
  std::uint64_t NextRun = 1;
  Duration Busy;
};

} // namespace camphorpin::model

#endif
