#include "camphorpin/src/Gateway/ClientLimits.h"

#include <utility>

namespace camphorpin {

namespace {

/// Part of the node's memory for frames of other nodes that have been received
/// in part or are not sent yet.
constexpr std::size_t FrameMemoryDivisor = 8;
/// Parts of the node's descriptors for connections of callers, of other nodes,
/// and to each of the addresses for reports, readiness and metrics. The rest is
/// for the connections that the node opens.
constexpr std::size_t CallerDescriptorDivisor = 2;
constexpr std::size_t PeerDescriptorDivisor = 4;
constexpr std::size_t ControlDescriptorDivisor = 32;
/// Bytes that are held for clients of each of the addresses for reports,
/// readiness and metrics.
constexpr std::size_t ControlBudgetBytes = std::size_t(1) << 20U;
/// Largest body on these addresses. A report has a few hundred bytes.
constexpr std::size_t MaxControlBodyBytes = std::size_t(64) << 10U;

} // namespace

ClientLimits::ClientLimits(const GatewaySettings &Settings)
    : MemoryBytes(Settings.MemoryBytes),
      Descriptors(Settings.descriptorLimit()) {}

void ClientLimits::limitCallers(AsyncHttpServer &Server,
                                std::shared_ptr<ByteBudget> Messages) const {
  Server.setByteBudget(std::move(Messages));
  Server.setMaxConnections(Descriptors / CallerDescriptorDivisor);
}

void ClientLimits::limitPeers(PeerServer &Server) const {
  Server.setByteBudget(
      std::make_shared<ByteBudget>(MemoryBytes / FrameMemoryDivisor));
  Server.setMaxConnections(Descriptors / PeerDescriptorDivisor);
}

void ClientLimits::limitControl(AsyncHttpServer &Server) const {
  RequestLimits Limits;
  Limits.BodyBytes = MaxControlBodyBytes;
  Server.setLimits(Limits);
  Server.setByteBudget(std::make_shared<ByteBudget>(ControlBudgetBytes));
  Server.setMaxConnections(Descriptors / ControlDescriptorDivisor);
}

} // namespace camphorpin
