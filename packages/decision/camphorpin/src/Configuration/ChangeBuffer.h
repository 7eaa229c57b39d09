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
/// \brief A change that waits for the version of its document.
struct BufferedChange {
  std::uint64_t Offset = 0;
  ChangeRecord Change;
};

/// \class ChangeBuffer
/// \brief The changes of documents whose version a late reader does not know
/// yet, in log order. Holds at most MaxChanges and MaxBytes.
class ChangeBuffer {
public:
  static constexpr std::size_t MaxChanges = 4096;
  static constexpr std::size_t MaxBytes = 4UL * 1024 * 1024;

  /// Adds a change; the oldest ones give way.
  /// \returns the offset of the last change that was dropped, if any.
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
