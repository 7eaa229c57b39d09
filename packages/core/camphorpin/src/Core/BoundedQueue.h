#ifndef CAMPHORPIN_SRC_CORE_BOUNDEDQUEUE_H
#define CAMPHORPIN_SRC_CORE_BOUNDEDQUEUE_H

#include "camphorpin/src/Core/Duration.h"

#include <cassert>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace camphorpin {

/// \class BoundedQueue
/// \brief A thread-safe FIFO queue of fixed capacity, stored in a ring buffer.
///
/// Any number of threads may push and pop. push() fails on a full queue instead
/// of blocking, so that a slow consumer never delays a producer.
template <class Element> class BoundedQueue {
public:
  /// \param Capacity number of elements, greater than zero.
  explicit BoundedQueue(std::size_t Capacity) : Buffer(Capacity) {
    assert(Capacity > 0 && "the capacity must be greater than zero");
  }

  /// \returns false if the queue is full or closed; \p Value is then untouched.
  bool push(Element &&Value) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      if (Closed || Count == Buffer.size())
        return false;
      Buffer[(First + Count) % Buffer.size()].emplace(std::move(Value));
      ++Count;
    }
    NotEmpty.notify_one();
    return true;
  }

  /// Waits for an element for at most \p Timeout.
  /// \returns nothing after the timeout, or if the queue is closed and empty.
  std::optional<Element> pop(Duration Timeout) {
    std::unique_lock<std::mutex> Lock(Mutex);
    NotEmpty.wait_for(Lock, std::chrono::microseconds(Timeout.ticks()),
                      [this] { return Count > 0 || Closed; });
    return takeFront();
  }

  /// \returns the first element without waiting, or nothing.
  std::optional<Element> tryPop() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return takeFront();
  }

  /// Rejects further elements and wakes all waiting threads. Elements that are
  /// still queued can be popped.
  void close() {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Closed = true;
    }
    NotEmpty.notify_all();
  }

  /// \returns true once close() was called.
  bool closed() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Closed;
  }

  std::size_t size() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Count;
  }

private:
  std::optional<Element> takeFront() {
    if (Count == 0)
      return std::nullopt;
    std::optional<Element> Value = std::move(Buffer[First]);
    Buffer[First].reset();
    First = (First + 1) % Buffer.size();
    --Count;
    return Value;
  }

  mutable std::mutex Mutex;
  std::condition_variable NotEmpty;
  std::vector<std::optional<Element>> Buffer;
  std::size_t First = 0;
  std::size_t Count = 0;
  bool Closed = false;
};

} // namespace camphorpin

#endif
