#ifndef CAMPHORPIN_SRC_DAEMON_BACKENDRUNNERS_H
#define CAMPHORPIN_SRC_DAEMON_BACKENDRUNNERS_H

#include "camphorpin/src/Daemon/EventQueue.h"
#include "camphorpin/src/Daemon/Settings.h"

#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace camphorpin {

/// \class BackendJob
/// \brief One run on the local backend server.
struct BackendJob {
  RequestId Id{};
  RequestContext Context;
  SharedPayload Body;
  /// When the job was given, on the clock of the decision thread.
  Instant Start;
};

/// \class BackendRunners
/// \brief The threads that run requests on the local backend server, one
/// connection each, and one thread that cancels runs.
class BackendRunners {
public:
  /// \param Time and \p Events must outlive the runners.
  BackendRunners(const BackendSettings &Settings, const HttpLimits &Limits,
                 const Clock &Time, EventQueue &Events);
  ~BackendRunners();
  BackendRunners(const BackendRunners &) = delete;
  BackendRunners &operator=(const BackendRunners &) = delete;

  void start();

  /// Finishes the jobs that were given and joins the threads.
  void stop();

  /// Its end is reported as BackendDone, exactly once.
  /// \returns false if too many jobs wait; nothing is reported then.
  bool run(BackendJob &&Job) { return Jobs.push(std::move(Job)); }

  /// Asks the backend server to stop a run. This is best effort.
  void cancel(std::string Token) { Cancellations.push(std::move(Token)); }

private:
  void runAll();
  void cancelAll();

  const BackendSettings Settings;
  const HttpLimits Limits;
  const Clock &Time;
  EventQueue &Events;
  BoundedQueue<BackendJob> Jobs;
  BoundedQueue<std::string> Cancellations;
  std::vector<std::thread> Threads;
};

} // namespace camphorpin

#endif
