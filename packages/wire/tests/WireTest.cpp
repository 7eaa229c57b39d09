// Guards the decoding of messages from other hosts: malicious or corrupted
// messages must be rejected, and valid ones must round-trip.
#include "camphorpin/Wire.h"

#include <capnp/message.h>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <string>

using namespace camphorpin;

namespace {

RequestContext sampleContext() {
  SeededRandom Source(3);
  RequestContext Context;
  Context.Root = RequestKey::make(Instant::fromMillis(1780000000000), Source);
  Context.Key = Context.Root.child("lots/reserve", "0");
  Context.Service = ServiceName("lots");
  Context.Operation = OperationName("reserve");
  Context.Caller = CallerName("tester");
  Context.Rank = Rank(2);
  Context.FirstSend = true;
  Context.Age = Duration::fromMillis(1.5);
  Context.Remaining = Duration::millis(250);
  Context.HopsLeft = 7;
  Context.ExtraAttempts = 3;
  Context.CrashCount = 1;
  Context.Fingerprint = 0xFEDCBA9876543210;
  return Context;
}

GossipMessage sampleGossip() {
  GossipMessage Message;
  Message.Kind = GossipKind::SyncRecords;
  Message.Sender = {HostAddress{0x7F000001, 7000}, 12345};
  Message.Sequence = 77;
  Message.Target = {0x7F000002, 7001};
  Message.Reading = {4711, 1500};
  Message.Deltas = {{.Process = {HostAddress{0x7F000003, 7002}, 9},
                     .Service = ServiceName("lots"),
                     .Zone = ZoneName("z1"),
                     .Region = RegionName("r1"),
                     .State = MemberState::Suspect,
                     .Refutation = 4}};
  Message.UnreachableZones = {ZoneName("z2")};
  Message.Digests = {1, 2, 3};
  Message.Buckets = {0, 255};
  return Message;
}

} // namespace

Test(Wire, contextRoundTrips) {
  capnp::MallocMessageBuilder Builder;
  wire::Context::Builder Root = Builder.initRoot<wire::Context>();
  const RequestContext Sent = sampleContext();
  writeContext(Root, Sent);
  const std::optional<RequestContext> Received = readContext(Root.asReader());
  cr_assert(Received.has_value());
  cr_assert(Received->Root == Sent.Root && Received->Key == Sent.Key);
  cr_assert(Received->Service == Sent.Service &&
            Received->Operation == Sent.Operation &&
            Received->Caller == Sent.Caller);
  cr_assert(Received->Rank == Sent.Rank && Received->FirstSend &&
            !Received->Idempotent);
  cr_assert(Received->Age == Sent.Age && Received->Remaining == Sent.Remaining);
  cr_assert_eq(Received->HopsLeft, Sent.HopsLeft);
  cr_assert_eq(Received->ExtraAttempts, Sent.ExtraAttempts);
  cr_assert_eq(Received->CrashCount, Sent.CrashCount);
  cr_assert_eq(Received->Fingerprint, Sent.Fingerprint);
}

// Guards the decision library against values out of range, such as a rank of
// MaxRanks or more, which would index past the end of an array.
Test(Wire, rejectsContextWithValuesOutOfRange) {
  capnp::MallocMessageBuilder Builder;
  wire::Context::Builder Root = Builder.initRoot<wire::Context>();
  const auto IsRejected = [&] { return !readContext(Root.asReader()); };
  writeContext(Root, sampleContext());
  Root.setRank(MaxRanks);
  cr_assert(IsRejected());
  writeContext(Root, sampleContext());
  Root.setRemaining(INT64_MAX);
  cr_assert(IsRejected());
  writeContext(Root, sampleContext());
  Root.setService("../etc");
  cr_assert(IsRejected());
  cr_assert_not(verdictFromCode(3).has_value());
  cr_assert_not(reasonFromCode(200).has_value());
}

// Guards against header injection: a line break in a header would split it into
// two headers at the receiving node.
Test(Wire, rejectsHeadersWithLineBreaks) {
  capnp::MallocMessageBuilder Builder;
  wire::Payload::Builder Root = Builder.initRoot<wire::Payload>();
  writePayload(Root, Payload{.Headers = {{"X-Good", "value"}}, .Body = "b"});
  cr_assert(readPayload(Root.asReader()).has_value());
  writePayload(Root, Payload{.Headers = {{"X-Bad", "a\r\nX-Other: b"}}});
  cr_assert_not(readPayload(Root.asReader()).has_value());
}

// Guards against a node of an earlier version that passes on an answer that is
// none of the protocol: callers must not get it.
Test(Wire, rejectsImpossibleResponses) {
  capnp::MallocMessageBuilder Builder;
  wire::Payload::Builder Root = Builder.initRoot<wire::Payload>();
  for (const std::uint16_t Status : {0, 1, 99, 100, 101, 199, 600, 65535}) {
    writePayload(Root, Payload{.Status = Status, .Body = "b"});
    cr_assert_not(readResponse(Root.asReader()).has_value(), "%d", Status);
  }
  for (const char *Name : {"", "X y", "X\x01y", "X:", "X\xe9", "X\t"}) {
    writePayload(Root, Payload{.Status = 200, .Headers = {{Name, "value"}}});
    cr_assert_not(readResponse(Root.asReader()).has_value(), "%s", Name);
  }
  writePayload(Root, Payload{.Status = 599, .Headers = {{"X-Good", "a b"}}});
  cr_assert(readResponse(Root.asReader()).has_value());
}

Test(Wire, gossipRoundTrips) {
  const GossipMessage Sent = sampleGossip();
  const std::optional<DatagramMessage> Decoded =
      decodeDatagram(encodeDatagram(Sent));
  cr_assert(Decoded.has_value());
  const GossipMessage *Received = std::get_if<GossipMessage>(&*Decoded);
  cr_assert(Received != nullptr);
  cr_assert(Received->Kind == Sent.Kind && Received->Sender == Sent.Sender);
  cr_assert(Received->Sequence == Sent.Sequence &&
            Received->Target == Sent.Target);
  cr_assert(Received->Deltas == Sent.Deltas);
  cr_assert(Received->UnreachableZones == Sent.UnreachableZones);
  cr_assert(Received->Digests == Sent.Digests &&
            Received->Buckets == Sent.Buckets);
  cr_assert_eq(Received->Reading.NextOffset, 4711);
}

// Guards against datagrams with malicious lengths and pointers: the decoder
// must return for any input, and accepted values must be within their limits.
Test(Wire, decoderHandlesCorruptedDatagrams) {
  const std::vector<std::byte> Valid = encodeDatagram(sampleGossip());
  const bool Passed = rc::check("corrupted datagrams", [&Valid] {
    std::vector<std::byte> Data = Valid;
    const int Changes = *rc::gen::inRange(1, 6);
    for (int Change = 0; Change < Changes; ++Change) {
      const std::size_t Position =
          *rc::gen::inRange<std::size_t>(0, Data.size());
      Data[Position] = static_cast<std::byte>(*rc::gen::arbitrary<uint8_t>());
    }
    Data.resize(*rc::gen::inRange<std::size_t>(0, Data.size() + 1));
    const std::optional<DatagramMessage> Decoded = decodeDatagram(Data);
    const GossipMessage *Result =
        Decoded ? std::get_if<GossipMessage>(&*Decoded) : nullptr;
    if (Result == nullptr)
      return;
    RC_ASSERT(Result->Deltas.size() <= 256u);
    for (const MemberRecord &Delta : Result->Deltas)
      RC_ASSERT(isValidName(Delta.Zone.view()));
    for (std::uint16_t Bucket : Result->Buckets)
      RC_ASSERT(Bucket < MemberTable::BucketCount);
  });
  cr_assert(Passed);
}

// Guards the replication of the configuration: a new node must receive exactly
// the state of its peer, and a malformed message must be rejected as a whole.
Test(Wire, configurationMessagesRoundTrip) {
  SnapshotReply Sent;
  Sent.Snapshot = FoldSnapshot{
      9, 77, {{DocumentName("service/lots"), 3, "{\"a\":1}", {"c1", "c2"}}}};
  Sent.Ages = {{DocumentName("service/lots"), Duration::millis(1500)}};
  Sent.Reading = {9, 250};
  capnp::MallocMessageBuilder Memory;
  wire::Configuration::Builder Message = Memory.initRoot<wire::Configuration>();
  writeConfiguration(Message, Sent);
  const std::optional<ConfigurationMessage> Received =
      readConfiguration(Message.asReader());
  cr_assert(Received.has_value());
  const SnapshotReply &ReceivedReply = std::get<SnapshotReply>(*Received);
  cr_assert(ReceivedReply.Snapshot == Sent.Snapshot &&
            ReceivedReply.Ages == Sent.Ages);
  cr_assert_eq(ReceivedReply.Reading.AgeMs, 250);

  Sent.Snapshot->Documents[0].Name = DocumentName("no name at all");
  writeConfiguration(Message, Sent);
  cr_assert_not(readConfiguration(Message.asReader()).has_value());

  // Bodies of records are binary and may contain NUL.
  writeConfiguration(
      Message, RecordsReply{RecordRange{8, {{7, std::string("x\0y", 3)}}}, {}});
  const std::optional<ConfigurationMessage> Records =
      readConfiguration(Message.asReader());
  cr_assert(std::get<RecordsReply>(*Records).Range->Records ==
            (std::vector<RawRecord>{{7, std::string("x\0y", 3)}}));
  // An unknown digest must not arrive as 0.
  writeConfiguration(Message, DigestReply{5, std::nullopt});
  const std::optional<ConfigurationMessage> Digest =
      readConfiguration(Message.asReader());
  cr_assert_not(std::get<DigestReply>(*Digest).Digest.has_value());
}

// Guards rolling upgrades: adjacent versions must interoperate, and nodes
// without a common protocol version must not connect.
Test(Wire, negotiatesVersionsNAndNMinusOne) {
  cr_assert_eq(negotiateVersion(NewestProtocolVersion, OldestProtocolVersion),
               NewestProtocolVersion);
  cr_assert_eq(negotiateVersion(OldestProtocolVersion, 0),
               OldestProtocolVersion);
  cr_assert_eq(
      negotiateVersion(NewestProtocolVersion + 1, NewestProtocolVersion),
      NewestProtocolVersion);
  cr_assert_eq(negotiateVersion(OldestProtocolVersion - 1, 0), 0);
  cr_assert_eq(
      negotiateVersion(NewestProtocolVersion + 2, NewestProtocolVersion + 1),
      0);
}
