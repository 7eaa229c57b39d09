#ifndef CAMPHORPIN_SRC_ENGINE_PEERDIRECTORY_H
#define CAMPHORPIN_SRC_ENGINE_PEERDIRECTORY_H

#include "camphorpin/src/Engine/EngineOptions.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace camphorpin::detail {

/// \class PeerDirectory
/// \brief The nodes that the settings name, taken in turn.
class PeerDirectory {
public:
  explicit PeerDirectory(const EngineOptions &Options);

  /// \returns the next node beside a backend server of \p Service.
  std::optional<HostAddress> pick(const ServiceName &Service);

private:
  std::vector<KnownPeer> Peers;
  std::size_t Turn = 0;
};

} // namespace camphorpin::detail

#endif
