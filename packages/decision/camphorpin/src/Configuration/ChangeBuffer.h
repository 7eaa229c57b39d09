#ifndef CAMPHORPIN_SRC_CONFIGURATION_CHANGEBUFFER_H
#define CAMPHORPIN_SRC_CONFIGURATION_CHANGEBUFFER_H

#include "camphorpin/src/Configuration/ConfigurationRecord.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace camphorpin {

/// \class BufferedChange
/// \brief A change to a document whose version is not known yet.
struct BufferedChange {
  std::uint64_t Offset = 0;
  ChangeRecord Change;
};

/// \class ChangeBuffer
/// \brief Buffers changes, in log order, to documents whose version is not
/// known yet, because the fold started late or has missed records. Bounded by
/// MaxChanges and MaxBytes.
class ChangeBuffer {
public:
  static constexpr std::size_t MaxChanges = 4096;
  static constexpr std::size_t MaxBytes = 4UL * 1024 * 1024;

  /// Adds a change and evicts the oldest ones while a bound is exceeded.
  /// \returns the offset of the last evicted change, if any.
  std::optional<std::uint64_t> add(std::uint64_t Offset, ChangeRecord Change);

  /// Removes the changes of \p Document.
  /// \returns them in log order.
  std::vector<BufferedChange> take(const DocumentName &Document);

  /// Removes all changes.
  /// \returns them in log order.
  std::vector<BufferedChange> takeAll();

  std::size_t size() const { return Changes.size(); }

private:
  static std::size_t bytesOf(const ChangeRecord &Change);

  std::deque<BufferedChange> Changes;
  std::size_t Bytes = 0;
};

} // namespace camphorpin

#endif
