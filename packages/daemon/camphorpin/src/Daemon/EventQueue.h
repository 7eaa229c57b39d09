#ifndef CAMPHORPIN_SRC_DAEMON_EVENTQUEUE_H
#define CAMPHORPIN_SRC_DAEMON_EVENTQUEUE_H

#include "camphorpin/src/Daemon/NodeEvent.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace camphorpin {

/// \class EventQueue
/// \brief The ring that leads to the decision thread.
///
/// New work is refused when the ring is half full. The other half is kept for
/// completions: at most two for each request in progress, so they always fit.
class EventQueue {
public:
  /// \param MaxRequests the largest number of requests in progress.
  explicit EventQueue(std::size_t MaxRequests)
      : NewWorkLimit(2 * MaxRequests), Ring(4 * MaxRequests) {}

  /// Offers new work.
  /// \returns false if the node is too busy; the event is then untouched.
  bool offer(NodeEvent &&Event) {
    return Ring.size() < NewWorkLimit && Ring.push(std::move(Event));
  }

  /// Delivers a completion.
  /// \returns false if the queue is closed or full.
  bool complete(NodeEvent &&Event) { return Ring.push(std::move(Event)); }

  std::optional<NodeEvent> pop(Duration Timeout) { return Ring.pop(Timeout); }

  /// Takes nothing more, and refuses the requests and calls that are left: an
  /// HTTP thread waits for the answer to each.
  void end();

  /// \returns a number for a new request, never the same one twice.
  RequestId nextRequest() { return RequestId{++LastRequest}; }

private:
  const std::size_t NewWorkLimit;
  BoundedQueue<NodeEvent> Ring;
  std::atomic<std::uint64_t> LastRequest{0};
};

} // namespace camphorpin

#endif
