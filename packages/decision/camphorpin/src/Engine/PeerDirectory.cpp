#include "camphorpin/src/Engine/PeerDirectory.h"

namespace camphorpin::detail {

PeerDirectory::PeerDirectory(const EngineOptions &Options)
    : Peers(Options.Peers) {
  if (!Options.Service.empty())
    Peers.push_back(
        {Options.Self.Address, Options.Service, Options.Zone, Options.Region});
}

std::optional<HostAddress> PeerDirectory::pick(const ServiceName &Service) {
  for (std::size_t Step = 0; Step < Peers.size(); ++Step) {
    Turn = (Turn + 1) % Peers.size();
    if (Peers[Turn].Service == Service)
      return Peers[Turn].Address;
  }
  return std::nullopt;
}

} // namespace camphorpin::detail
