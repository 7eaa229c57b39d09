#ifndef CAMPHORPIN_SRC_DAEMON_CONNECTIONSCHEDULER_H
#define CAMPHORPIN_SRC_DAEMON_CONNECTIONSCHEDULER_H

#include "camphorpin/src/Daemon/HttpStream.h"
#include "camphorpin/src/Daemon/WakeSignal.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace camphorpin {

/// \class ConnectionScheduler
/// \brief Gives the connections of an HTTP server to a fixed number of threads.
///
/// A connection takes a thread only from the end of a request's headers to the
/// end of its answer. Until then it is parked: one thread waits for the headers
/// on all parked connections. So neither idle clients nor those that send
/// headers slowly keep others from a thread. Beyond the largest number of
/// connections, the one that has been parked longest is closed.
class ConnectionScheduler {
public:
  /// Serves the request whose headers have arrived on a connection.
  /// \returns false if the connection must be closed.
  using RequestServer = std::function<bool(HttpStream &)>;

  /// \param Limits must outlive the scheduler.
  ConnectionScheduler(const HttpLimits &Limits, std::size_t MaxConnections,
                      RequestServer Serve);
  ~ConnectionScheduler() { stop(); }
  ConnectionScheduler(const ConnectionScheduler &) = delete;
  ConnectionScheduler &operator=(const ConnectionScheduler &) = delete;

  /// Takes over an accepted connection.
  void add(int Socket);

  /// Serves the requests that have arrived, closes all connections and joins
  /// all threads. A connection on which only a part of a request's headers has
  /// arrived is closed after a second.
  void stop();

  /// \returns true if requests wait for a thread.
  bool crowded() const { return ReadyCount > 0; }

private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Connection {
    std::unique_ptr<HttpStream> Stream;
    TimePoint ParkedSince;
    /// When the first byte of the next request had arrived.
    std::optional<TimePoint> RequestBegin;
    /// Only a part of the headers has arrived.
    bool AwaitsMore = false;
  };
  /// \brief What has arrived of the headers of a request.
  enum class Arrival : std::uint8_t { Nothing, Part, Headers, End };

  void runWorker();
  void runPoller();
  void serve(Connection Item);
  void park(Connection Item);
  /// Waits until a parked connection has received bytes or has to be looked at.
  /// \returns the sockets on which something has arrived, with the events of
  /// poll().
  std::unordered_map<int, short> poll();
  /// \returns true if no connection is left for the poller. Needs Mutex.
  bool hasEnded() const { return Stopping && Open == 0; }
  /// Moves parked connections with whole headers to the threads, and closes
  /// those that have ended or idled too long. Needs Mutex.
  void checkParked(const std::unordered_map<int, short> &Readable);
  /// \returns true if a parked connection that has received \p Arrived must be
  /// closed. Needs Mutex.
  bool shouldClose(const Connection &Item, Arrival Arrived,
                   TimePoint Now) const;
  Arrival arrivalOn(const HttpStream &Stream);
  void makeReady(Connection Item);

  const HttpLimits &Limits;
  const std::size_t MaxConnections;
  const RequestServer Serve;
  std::mutex Mutex;
  std::condition_variable Changed;
  /// Ordered by ParkedSince.
  std::list<Connection> Parked;
  std::deque<Connection> Ready;
  std::atomic<std::size_t> ReadyCount = 0;
  /// All connections, also those that are being served.
  std::size_t Open = 0;
  std::atomic<bool> Stopping = false;
  TimePoint StoppingSince;
  /// Wakes the poller.
  WakeSignal Wake;
  std::vector<char> PeekBuffer;
  std::vector<std::thread> Threads;
};

} // namespace camphorpin

#endif
