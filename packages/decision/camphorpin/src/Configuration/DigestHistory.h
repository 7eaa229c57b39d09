#ifndef CAMPHORPIN_SRC_CONFIGURATION_DIGESTHISTORY_H
#define CAMPHORPIN_SRC_CONFIGURATION_DIGESTHISTORY_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace camphorpin {

/// \class DigestHistory
/// \brief The latest digests of a fold, so that two nodes can compare digests
/// at the same offset even if one has read further. Holds at most MaxEntries
/// digests.
class DigestHistory {
public:
  static constexpr std::size_t MaxEntries = 256;

  /// Records that the digest is \p Digest from \p Offset on.
  void note(std::uint64_t Offset, std::uint64_t Digest) {
    if (!Entries.empty() && Entries.back().Digest == Digest)
      return;
    Entries.push_back({Offset, Digest});
    if (Entries.size() > MaxEntries)
      Entries.pop_front();
  }

  void clear() { Entries.clear(); }

  /// \returns the digest at \p Offset, or nothing if \p Offset is older than
  /// the history.
  std::optional<std::uint64_t> at(std::uint64_t Offset) const {
    for (auto Entry = Entries.rbegin(); Entry != Entries.rend(); ++Entry)
      if (Entry->Offset <= Offset)
        return Entry->Digest;
    return std::nullopt;
  }

private:
  struct Entry {
    std::uint64_t Offset;
    std::uint64_t Digest;
  };

  std::deque<Entry> Entries;
};

} // namespace camphorpin

#endif
