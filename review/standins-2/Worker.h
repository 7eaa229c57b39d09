#ifndef REVIEW_STANDINS_2_WORKER_H
#define REVIEW_STANDINS_2_WORKER_H

#include "Http.h"
#include "Record.h"

#include <atomic>
#include <vector>

namespace review {

/// \brief A run of a request.
struct Run {
  std::int64_t AtMillis = 0;
  std::string RequestId;
  std::string Target;
};

/// \class Worker
/// \brief Stands in for the application worker of a machine.
class Worker {
public:
  Worker(std::string Service, std::string Id, unsigned Slots,
         std::int64_t WorkMillis, Record &Log);

  std::uint16_t port() const { return Server.port(); }
  const std::string &service() const { return Service; }
  std::string id();

  /// Listens, and sends a heartbeat to \p ControlPort about every 1.5 s.
  void start(std::uint16_t ControlPort);

  /// The worker crashes as soon as it begins to run a request whose target
  /// contains \p Text, and is back \p DownMillis later as a new incarnation.
  void crashOn(const std::string &Text, std::int64_t DownMillis);

  /// Sets the length of the bodies of its answers in bytes.
  void setAnswerBytes(std::size_t Value) { AnswerBytes = Value; }

  /// Ends the process of the worker.
  void crash();
  /// Starts the process of the worker again.
  void restart();

  /// Reports draining until it is acknowledged.
  /// \returns the time of the acknowledgement, or -1.
  std::int64_t drain();

  /// Sends the departure of the worker, and exits.
  void leave();

  /// Sends a heartbeat that another writer has made: a copy of the worker's own
  /// with the sequence number \p Sequence, but without the field version.
  /// \returns the status of the answer.
  int sendForeignHeartbeat(const std::string &Sequence);

  std::vector<Run> runs();

private:
  std::optional<HttpReply> handle(const HttpMessage &Call);
  HttpReply health();
  /// \returns false if the worker crashes on the request.
  bool begin(const HttpMessage &Call);
  std::string heartbeat(const std::string &Sequence, bool WithVersion);
  /// \returns the status of the answer, or 0.
  int sendHeartbeat();
  void sendHeartbeats();

  std::string Service;
  unsigned Slots;
  std::int64_t WorkMillis;
  Record &Log;
  std::uint16_t ControlPort = 0;
  std::mutex Mutex;
  std::string Id;
  std::string State = "ready";
  std::uint64_t Sequence = 0;
  std::int64_t Born = 0;
  unsigned Incarnation = 1;
  bool Running = true;
  std::string CrashText;
  std::int64_t DownMillis = 0;
  std::vector<Run> Runs;
  std::atomic<int> Busy = 0;
  std::atomic<std::size_t> AnswerBytes = 0;
  HttpServer Server;
};

} // namespace review

#endif
