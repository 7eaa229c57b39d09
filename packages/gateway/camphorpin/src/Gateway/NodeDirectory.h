#ifndef CAMPHORPIN_SRC_GATEWAY_NODEDIRECTORY_H
#define CAMPHORPIN_SRC_GATEWAY_NODEDIRECTORY_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Gateway/PeerMessages.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \class NodeRecord
/// \brief Address and identity of a node, as the node writes it to the
/// platform's store.
struct NodeRecord {
  std::string Node;
  HostAddress Address;
  std::string Service;
  std::string Zone;
  /// Largest number of an incarnation.
  static constexpr std::uint64_t MaxIncarnation = std::uint64_t(1) << 62U;

  /// Number of the process among those with this name: its start in Unix
  /// milliseconds, or one more than that of a record that it has to supersede.
  std::uint64_t Incarnation = 0;
  /// The process has shut down in an orderly way.
  bool Departed = false;

  /// \returns true if this record replaces \p Other, which has the same name.
  bool supersedes(const NodeRecord &Other) const;

  /// \returns the record as JSON.
  std::string toJson() const;

  /// \returns the record parsed from \p Json, or nothing if it is malformed.
  static std::optional<NodeRecord> parse(std::string_view Json);
};

/// Digests of the hash buckets of a directory. Two directories that differ in a
/// few records differ in at most as many buckets, so that only those are
/// exchanged.
using BucketDigests = std::array<std::uint32_t, 128>;

/// \class NodeDirectory
/// \brief All known nodes, from the platform's store and from peers.
///
/// Records may be added in any order and repeatedly.
class NodeDirectory {
public:
  /// Number of records up to which peers may add nodes. Above twice the nodes
  /// of the largest fleet that docs/CAPACITY.md plans for.
  static constexpr std::size_t MaxRecordsFromPeers = 16384;

  /// \returns true if the record was unknown or newer than the known one.
  bool add(const NodeRecord &Record);

  /// Peers are believed, but what they say must not fill the memory. The store
  /// may add records without this bound.
  /// \returns true if a peer may add a record of \p Node.
  bool acceptsFromPeer(std::string_view Node) const {
    return Nodes.size() < MaxRecordsFromPeers || Nodes.contains(Node);
  }

  /// \returns the nodes of the backend servers of \p Service that have not
  /// departed.
  std::vector<const NodeRecord *> nodesOf(std::string_view Service) const;

  /// \returns all records, including those of departed nodes.
  const std::map<std::string, NodeRecord, std::less<>> &all() const {
    return Nodes;
  }

  /// \returns a digest that is equal for directories with the same records.
  std::uint64_t digest() const { return Digest; }

  const BucketDigests &bucketDigests() const { return Buckets; }

  /// \param Known the bucket digests of another directory. If their number
  /// differs from that of this directory, all records are returned.
  /// \returns the records in buckets whose digests differ.
  std::vector<const NodeRecord *>
  recordsInDifferingBuckets(std::span<const std::uint32_t> Known) const;

  /// \returns the number of nodes that have not departed.
  std::size_t presentCount() const;

private:
  static std::size_t bucketOf(std::string_view Node);
  /// Adds a record to the digests, or removes it.
  void toggleDigest(const NodeRecord &Record);

  std::map<std::string, NodeRecord, std::less<>> Nodes;
  /// Hashes of all records, combined by exclusive or to be independent of their
  /// order.
  std::uint64_t Digest = 0;
  BucketDigests Buckets{};
};

} // namespace camphorpin

#endif
