#ifndef CAMPHORPIN_SRC_ENGINE_DEADLINEQUEUE_H
#define CAMPHORPIN_SRC_ENGINE_DEADLINEQUEUE_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Engine/EngineMessages.h"

#include <compare>
#include <optional>
#include <set>

namespace camphorpin::detail {

/// \class DeadlineQueue
/// \brief Requests ordered by deadline.
class DeadlineQueue {
public:
  void add(Instant Deadline, RequestId Id) { Entries.insert({Deadline, Id}); }
  void remove(Instant Deadline, RequestId Id) { Entries.erase({Deadline, Id}); }

  /// \returns the earliest deadline, or Instant::never().
  Instant next() const {
    return Entries.empty() ? Instant::never() : Entries.begin()->Deadline;
  }

  /// Removes the request with the earliest deadline if that has passed.
  /// \returns the request, or nothing if none has expired.
  std::optional<RequestId> popExpired(Instant Now) {
    if (Entries.empty() || Entries.begin()->Deadline > Now)
      return std::nullopt;
    const RequestId Id = Entries.begin()->Id;
    Entries.erase(Entries.begin());
    return Id;
  }

private:
  struct Entry {
    Instant Deadline;
    RequestId Id;
    auto operator<=>(const Entry &) const = default;
  };

  std::set<Entry> Entries;
};

} // namespace camphorpin::detail

#endif
