#ifndef CAMPHORPIN_SRC_RETRY_REQUESTCOALESCER_H
#define CAMPHORPIN_SRC_RETRY_REQUESTCOALESCER_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpin {

/// \brief What to do with a request that carries a key.
enum class CoalesceDecision : std::uint8_t {
  /// No other request with this key is in flight: execute this one.
  Start,
  /// The request shares the answer of the one in flight.
  Joined,
  /// Too many keys, or too many requests with one key.
  Full,
};

/// \class RequestCoalescer
/// \brief Coalesces requests that carry the same key with the one in flight at
/// this node.
///
/// Keys of different callers are different. Bounded by MaxKeys keys and
/// MaxCoalesced coalesced requests for each.
class RequestCoalescer {
public:
  RequestCoalescer(std::size_t MaxKeys, std::size_t MaxCoalesced)
      : MaxKeys(MaxKeys), MaxCoalesced(MaxCoalesced) {}

  /// \param TransmissionId identifies this transmission; requests with the same
  /// key have different ones.
  CoalesceDecision add(const CallerName &Caller, const RequestKey &Key,
                       std::uint64_t TransmissionId);

  /// The request in flight was answered.
  /// \returns all requests that share the answer, the executed one first.
  std::vector<std::uint64_t> finish(const CallerName &Caller,
                                    const RequestKey &Key);

  /// The sender of \p TransmissionId no longer waits. If it was the first, the
  /// request continues, so that later ones can join it.
  void abandon(const CallerName &Caller, const RequestKey &Key,
               std::uint64_t TransmissionId);

  std::size_t size() const { return InFlight.size(); }

private:
  struct CallerKey {
    CallerName Caller;
    RequestKey Key;
    auto operator<=>(const CallerKey &) const = default;
  };

  std::map<CallerKey, std::vector<std::uint64_t>> InFlight;
  std::size_t MaxKeys;
  std::size_t MaxCoalesced;
};

} // namespace camphorpin

#endif
