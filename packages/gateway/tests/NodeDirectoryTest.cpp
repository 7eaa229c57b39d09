#include "camphorpin/src/Gateway/NodeDirectory.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphorpin;

namespace {

NodeRecord record(int Number, std::uint64_t Incarnation = 1) {
  NodeRecord Result;
  Result.Node = "node-" + std::to_string(Number);
  Result.Address = *HostAddress::parse("10.0.0.1:7000");
  Result.Service = "s";
  Result.Zone = "z";
  Result.Incarnation = Incarnation;
  return Result;
}

NodeDirectory directoryOf(int Nodes) {
  NodeDirectory Result;
  for (int Number = 0; Number < Nodes; ++Number)
    Result.add(record(Number));
  return Result;
}

} // namespace

// Guards against transferring the whole directory between nodes after a change
// of one record.
Test(NodeDirectory, oneChangeTransfersFewRecords) {
  const NodeDirectory Before = directoryOf(300);
  NodeDirectory After = Before;
  After.add(record(7, 2));
  const auto Sent = After.recordsInDifferingBuckets(Before.bucketDigests());
  cr_assert_lt(Sent.size(), 15U);
  cr_assert_gt(Sent.size(), 0U);
  cr_assert(Before.recordsInDifferingBuckets(Before.bucketDigests()).empty());
}

// Guards against a node that knows no other records and gets none, because its
// request contains no digests.
Test(NodeDirectory, returnsAllRecordsWithoutDigests) {
  cr_assert_eq(directoryOf(40).recordsInDifferingBuckets({}).size(), 40U);
}

// Guards the convergence of directories: regardless of the order in which
// records arrive, exchanging the differing buckets makes two directories equal.
Test(NodeDirectory, exchangingBucketsMakesDirectoriesEqual) {
  cr_assert(rc::check(
      [](const std::vector<std::pair<std::uint8_t, bool>> &Additions) {
        NodeDirectory A;
        NodeDirectory B;
        for (std::size_t Index = 0; Index < Additions.size(); ++Index)
          (Additions[Index].second ? A : B)
              .add(record(Additions[Index].first % 50,
                          Additions[Index].first / 50 + 1));
        const NodeDirectory Sender = A;
        for (const NodeRecord *Item :
             Sender.recordsInDifferingBuckets(B.bucketDigests()))
          B.add(*Item);
        for (const NodeRecord *Item :
             B.recordsInDifferingBuckets(A.bucketDigests()))
          A.add(*Item);
        RC_ASSERT(A.digest() == B.digest());
        RC_ASSERT(A.bucketDigests() == B.bucketDigests());
        RC_ASSERT(A.recordsInDifferingBuckets(B.bucketDigests()).empty());
      }));
}

// Guards against a peer that fills the memory with nodes that don't exist, and
// against a full directory that keeps old addresses of known nodes.
Test(NodeDirectory, acceptsKnownNodesOnlyWhenFull) {
  const NodeDirectory Full =
      directoryOf(static_cast<int>(NodeDirectory::MaxRecordsFromPeers));
  cr_assert_not(Full.acceptsFromPeer("unknown"));
  cr_assert(Full.acceptsFromPeer("node-7"));
  cr_assert(directoryOf(7100).acceptsFromPeer("unknown"));
}
