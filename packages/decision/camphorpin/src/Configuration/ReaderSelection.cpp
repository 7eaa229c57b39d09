#include "camphorpin/src/Configuration/ReaderSelection.h"

#include <algorithm>

namespace camphorpin {

namespace {

std::uint64_t scoreOf(const ConfigurationPeer &Peer) {
  constexpr unsigned PortBits = 16;
  const std::uint64_t Packed =
      (static_cast<std::uint64_t>(Peer.Address.Ip) << PortBits) |
      Peer.Address.Port;
  return stableHash(Peer.Zone.view(), Packed);
}

} // namespace

bool ReaderSelection::isReader(const ConfigurationPeers &Peers) {
  readers(Peers);
  return IsSelfReader;
}

std::span<const ConfigurationPeer>
ReaderSelection::readers(const ConfigurationPeers &Peers) {
  if (Computed && PeersVersion == Peers.version())
    return Readers;
  Computed = true;
  PeersVersion = Peers.version();
  Candidates.clear();
  addCandidate(Self);
  for (const ConfigurationPeer &Peer : Peers.peers())
    if (Peer.Address != Self.Address)
      addCandidate(Peer);
  Readers.clear();
  IsSelfReader = false;
  for (const Candidate &Chosen : Candidates) {
    Readers.push_back(Chosen.Peer);
    IsSelfReader = IsSelfReader || Chosen.Peer.Address == Self.Address;
  }
  return Readers;
}

void ReaderSelection::addCandidate(const ConfigurationPeer &Peer) {
  const std::uint64_t Score = scoreOf(Peer);
  std::size_t InZone = 0;
  Candidate *Lowest = nullptr;
  for (Candidate &Other : Candidates) {
    if (Other.Peer.Zone != Peer.Zone)
      continue;
    ++InZone;
    if (Lowest == nullptr || Other.Score < Lowest->Score)
      Lowest = &Other;
  }
  if (InZone < ReadersPerZone)
    Candidates.push_back({Peer, Score});
  else if (Score > Lowest->Score)
    *Lowest = {Peer, Score};
}

} // namespace camphorpin
