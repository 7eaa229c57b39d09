#ifndef CAMPHORPIN_SRC_GATEWAY_CLIENTLIMITS_H
#define CAMPHORPIN_SRC_GATEWAY_CLIENTLIMITS_H

#include "camphorpin/src/Gateway/AsyncHttpServer.h"
#include "camphorpin/src/Gateway/GatewaySettings.h"
#include "camphorpin/src/Gateway/PeerServer.h"

#include <cstddef>
#include <memory>

namespace camphorpin {

/// \class ClientLimits
/// \brief Bounds what the clients of each address can make a node hold: shares
/// of its memory and of its descriptors.
class ClientLimits {
public:
  explicit ClientLimits(const GatewaySettings &Settings);

  /// Limits the address for callers.
  /// \param Messages the budget for requests and answers.
  void limitCallers(AsyncHttpServer &Server,
                    std::shared_ptr<ByteBudget> Messages) const;
  /// Limits the address for other nodes.
  void limitPeers(PeerServer &Server) const;
  /// Limits an address for reports, readiness or metrics.
  void limitControl(AsyncHttpServer &Server) const;

private:
  std::size_t MemoryBytes;
  std::size_t Descriptors;
};

} // namespace camphorpin

#endif
