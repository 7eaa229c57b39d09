#ifndef CAMPHORPIN_SRC_CONFIGURATION_READERSELECTION_H
#define CAMPHORPIN_SRC_CONFIGURATION_READERSELECTION_H

#include "camphorpin/src/Configuration/ConfigurationPeers.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace camphorpin {

/// \class ReaderSelection
/// \brief Selects the nodes that poll the log for their availability zone.
///
/// The members of a zone with the highest rendezvous hashes are its readers.
/// Nodes with different views of the membership may select more or fewer
/// readers, which only changes the number of reads.
class ReaderSelection {
public:
  static constexpr std::size_t ReadersPerZone = 2;

  explicit ReaderSelection(const ConfigurationPeer &Self) : Self(Self) {}

  /// \returns true if this node is a reader of its zone.
  bool isReader(const ConfigurationPeers &Peers);

  /// \returns the readers of all zones, recomputed only if \p Peers has
  /// changed.
  std::span<const ConfigurationPeer> readers(const ConfigurationPeers &Peers);

private:
  struct Candidate {
    ConfigurationPeer Peer;
    std::uint64_t Score;
  };

  void addCandidate(const ConfigurationPeer &Peer);

  ConfigurationPeer Self;
  std::uint64_t PeersVersion = 0;
  bool Computed = false;
  bool IsSelfReader = false;
  std::vector<Candidate> Candidates;
  std::vector<ConfigurationPeer> Readers;
};

} // namespace camphorpin

#endif
