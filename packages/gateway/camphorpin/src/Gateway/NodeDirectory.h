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
/// \brief Where a node is, as it writes it to the platform's store.
struct NodeRecord {
  std::string Node;
  HostAddress Address;
  std::string Service;
  std::string Zone;
  /// Start of the process in Unix milliseconds; a later one replaces an earlier
  /// one.
  std::uint64_t Incarnation = 0;
  /// The process has ended as planned.
  bool Departed = false;

  /// \returns the record as JSON.
  std::string toJson() const;

  /// \returns the record in \p Json, or nothing if it is malformed.
  static std::optional<NodeRecord> parse(std::string_view Json);
};

/// Digests of the parts of a directory. Two directories that differ in a few
/// records differ in as many parts at most, so that only these are exchanged.
using BucketDigests = std::array<std::uint32_t, 128>;

/// \class NodeDirectory
/// \brief All nodes that are known, from the platform's store and from peers.
///
/// Records may come in any order and any number of times.
class NodeDirectory {
public:
  /// \returns true if the record is new.
  bool add(const NodeRecord &Record);

  /// \returns the nodes beside the backend servers of \p Service that have not
  /// departed.
  std::vector<const NodeRecord *> nodesOf(std::string_view Service) const;

  /// \returns all records, also of departed nodes.
  const std::map<std::string, NodeRecord, std::less<>> &all() const {
    return Nodes;
  }

  /// \returns a number that is equal for directories with the same records.
  std::uint64_t digest() const { return Digest; }

  const BucketDigests &bucketDigests() const { return Buckets; }

  /// \param Known the parts of another directory; of any other length than this
  /// one's if nothing is known of it.
  /// \returns the records in parts that differ.
  std::vector<const NodeRecord *>
  recordsInDifferingBuckets(std::span<const std::uint32_t> Known) const;

  /// \returns the number of nodes that have not departed.
  std::size_t presentCount() const;

private:
  static std::size_t bucketOf(std::string_view Node);
  /// Adds a record to the digests, or takes it out again.
  void toggleDigest(const NodeRecord &Record);

  std::map<std::string, NodeRecord, std::less<>> Nodes;
  /// The hashes of all records, combined so that their order doesn't count.
  std::uint64_t Digest = 0;
  BucketDigests Buckets{};
};

} // namespace camphorpin

#endif
