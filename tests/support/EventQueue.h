#ifndef CAMPHORPIN_TESTS_SUPPORT_EVENTQUEUE_H
#define CAMPHORPIN_TESTS_SUPPORT_EVENTQUEUE_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace camphorpin::test {

/// \class EventQueue
/// \brief Virtual time: runs actions at the instants they are due.
class EventQueue {
public:
  using Action = std::function<void()>;

  Instant now() const { return Time.now(); }
  const Clock &clock() const { return Time; }

  /// Runs \p Due after \p Span. Actions of the same instant keep their order.
  void after(Duration Span, Action Due) {
    Pending.push({now() + Span, NextOrder++, std::move(Due)});
  }

  /// Runs all actions up to \p End.
  void runUntil(Instant End) {
    while (!Pending.empty() && Pending.top().Due <= End) {
      Entry Next = Pending.top();
      Pending.pop();
      Time.advanceTo(Next.Due);
      Next.Run();
    }
    Time.advanceTo(End);
  }

private:
  struct Entry {
    Instant Due;
    std::uint64_t Order = 0;
    Action Run;
    bool operator<(const Entry &Other) const {
      return Due != Other.Due ? Due > Other.Due : Order > Other.Order;
    }
  };

  ManualClock Time;
  std::priority_queue<Entry> Pending;
  std::uint64_t NextOrder = 0;
};

} // namespace camphorpin::test

#endif
