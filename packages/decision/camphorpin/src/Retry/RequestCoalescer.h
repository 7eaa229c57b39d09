#ifndef CAMPHORPIN_SRC_RETRY_REQUESTCOALESCER_H
#define CAMPHORPIN_SRC_RETRY_REQUESTCOALESCER_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpin {

/// \brief What to do with a send of a key.
enum class CoalesceDecision : std::uint8_t {
  /// No other send of this key is under way: carry this one out.
  Start,
  /// It gets the answer of the send that is under way.
  Joined,
  /// Too many keys or too many sends of one key.
  Full,
};

/// \class RequestCoalescer
/// \brief Lets sends of a key join the send of that key that is under way at
/// this node.
///
/// Keys of different callers are different. Bounded by MaxKeys keys and
/// MaxJoined further sends of each.
class RequestCoalescer {
public:
  RequestCoalescer(std::size_t MaxKeys, std::size_t MaxJoined)
      : MaxKeys(MaxKeys), MaxJoined(MaxJoined) {}

  CoalesceDecision add(const CallerName &Caller, const RequestKey &Key,
                       std::uint64_t SendId);

  /// The send that is under way has its answer.
  /// \returns all sends that get it, the first one first.
  std::vector<std::uint64_t> finish(const CallerName &Caller,
                                    const RequestKey &Key);

  /// The sender of \p SendId does not wait any more. The work goes on if it was
  /// the first send, so that a later send can join it.
  void abandon(const CallerName &Caller, const RequestKey &Key,
               std::uint64_t SendId);

  std::size_t size() const { return Sends.size(); }

private:
  struct CallerKey {
    CallerName Caller;
    RequestKey Key;
    auto operator<=>(const CallerKey &) const = default;
  };

  std::map<CallerKey, std::vector<std::uint64_t>> Sends;
  std::size_t MaxKeys;
  std::size_t MaxJoined;
};

} // namespace camphorpin

#endif
