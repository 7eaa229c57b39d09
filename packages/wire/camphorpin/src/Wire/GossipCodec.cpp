#include "camphorpin/src/Wire/GossipCodec.h"

#include "camphorpin/src/Wire/Codec.h"
#include "camphorpin/src/Wire/ProtocolVersion.h"

#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>
#include <string_view>

namespace camphorpin {

namespace {

constexpr std::size_t BytesPerWord = sizeof(capnp::word);
constexpr std::uint32_t MaxDeltas = 256;
constexpr std::uint32_t MaxZones = 64;
constexpr std::uint32_t MaxReports = 256;
constexpr Duration MaxReportAge = Duration::seconds(24 * 3600);
constexpr std::uint32_t MaxBuckets = MemberTable::BucketCount;

std::string_view toStringView(capnp::Text::Reader Source) {
  return {Source.cStr(), Source.size()};
}

void writeMember(wire::Member::Builder Target, const MemberRecord &Value) {
  writeProcess(Target.initProcess(), Value.Process);
  Target.setService(Value.Service.string());
  Target.setZone(Value.Zone.string());
  Target.setRegion(Value.Region.string());
  Target.setState(static_cast<std::uint8_t>(Value.State));
  Target.setRefutation(Value.Refutation);
}

std::optional<MemberRecord> readMember(wire::Member::Reader Source) {
  const std::string_view Service = toStringView(Source.getService());
  const std::string_view Zone = toStringView(Source.getZone());
  const std::string_view Region = toStringView(Source.getRegion());
  const bool HasValidNames = (Service.empty() || isValidName(Service)) &&
                             isValidName(Zone) && isValidName(Region);
  if (!HasValidNames ||
      Source.getState() > static_cast<std::uint8_t>(MemberState::Left))
    return std::nullopt;
  MemberRecord Value;
  Value.Process = readProcess(Source.getProcess());
  Value.Service = ServiceName(Service);
  Value.Zone = ZoneName(Zone);
  Value.Region = RegionName(Region);
  Value.State = static_cast<MemberState>(Source.getState());
  Value.Refutation = Source.getRefutation();
  return Value;
}

void writeGossip(wire::Gossip::Builder Target, const GossipMessage &Message) {
  Target.setKind(static_cast<std::uint8_t>(Message.Kind));
  Target.setSequence(Message.Sequence);
  wire::Address::Builder Address = Target.initTarget();
  Address.setIp(Message.Target.Ip);
  Address.setPort(Message.Target.Port);
  Target.setNextOffset(Message.Reading.NextOffset);
  Target.setReadingAgeMs(Message.Reading.AgeMs);
  capnp::List<wire::Member>::Builder Deltas =
      Target.initDeltas(static_cast<unsigned>(Message.Deltas.size()));
  for (unsigned Index = 0; Index < Deltas.size(); ++Index)
    writeMember(Deltas[Index], Message.Deltas[Index]);
  capnp::List<capnp::Text>::Builder Zones = Target.initUnreachableZones(
      static_cast<unsigned>(Message.UnreachableZones.size()));
  for (unsigned Index = 0; Index < Zones.size(); ++Index)
    Zones.set(Index, Message.UnreachableZones[Index].string());
  Target.setDigests(
      kj::arrayPtr(Message.Digests.data(), Message.Digests.size()));
  Target.setBuckets(
      kj::arrayPtr(Message.Buckets.data(), Message.Buckets.size()));
}

bool readDeltas(wire::Gossip::Reader Source, GossipMessage &Message) {
  if (Source.getDeltas().size() > MaxDeltas)
    return false;
  for (wire::Member::Reader Entry : Source.getDeltas()) {
    std::optional<MemberRecord> Delta = readMember(Entry);
    if (!Delta)
      return false;
    Message.Deltas.push_back(*std::move(Delta));
  }
  return true;
}

bool readZones(wire::Gossip::Reader Source, GossipMessage &Message) {
  if (Source.getUnreachableZones().size() > MaxZones)
    return false;
  for (capnp::Text::Reader Entry : Source.getUnreachableZones()) {
    if (!isValidName(toStringView(Entry)))
      return false;
    Message.UnreachableZones.emplace_back(toStringView(Entry));
  }
  return true;
}

bool readDigestsAndBuckets(wire::Gossip::Reader Source,
                           GossipMessage &Message) {
  if (Source.getDigests().size() > MaxBuckets ||
      Source.getBuckets().size() > MaxBuckets)
    return false;
  for (std::uint32_t Digest : Source.getDigests())
    Message.Digests.push_back(Digest);
  for (std::uint16_t Bucket : Source.getBuckets()) {
    if (Bucket >= MemberTable::BucketCount)
      return false;
    Message.Buckets.push_back(Bucket);
  }
  return true;
}

std::optional<CrashReports> readReports(wire::Datagram::Reader Source) {
  CrashReports Result;
  if (Source.getCrashReports().size() > MaxReports)
    return std::nullopt;
  for (wire::CrashReport::Reader Entry : Source.getCrashReports()) {
    const Duration Age = Duration::ticks(Entry.getAge());
    if (Age < Duration() || Age > MaxReportAge)
      return std::nullopt;
    Result.push_back({Entry.getFingerprint(), Entry.getCrashId(), Age});
  }
  return Result;
}

std::optional<GossipMessage> readGossip(wire::Datagram::Reader Source) {
  const wire::Gossip::Reader Gossip = Source.getGossip();
  if (Gossip.getKind() > static_cast<std::uint8_t>(GossipKind::SyncRecords))
    return std::nullopt;
  GossipMessage Message;
  Message.Kind = static_cast<GossipKind>(Gossip.getKind());
  Message.Sender = readProcess(Source.getFrom());
  Message.Sequence = Gossip.getSequence();
  Message.Target = {Gossip.getTarget().getIp(), Gossip.getTarget().getPort()};
  Message.Reading = {Gossip.getNextOffset(), Gossip.getReadingAgeMs()};
  if (!readDeltas(Gossip, Message) || !readZones(Gossip, Message) ||
      !readDigestsAndBuckets(Gossip, Message))
    return std::nullopt;
  return Message;
}

std::optional<DatagramMessage> readDatagram(wire::Datagram::Reader Source) {
  if (Source.getVersion() < OldestProtocolVersion ||
      Source.getVersion() > NewestProtocolVersion)
    return std::nullopt;
  if (Source.isGossip())
    return readGossip(Source);
  if (Source.isCrashReports())
    return readReports(Source);
  return std::nullopt;
}

/// Initializes a datagram with the oldest supported version, so that nodes of
/// both supported versions accept it.
wire::Datagram::Builder initDatagram(capnp::MessageBuilder &Builder,
                                     const ProcessId &From) {
  wire::Datagram::Builder Root = Builder.initRoot<wire::Datagram>();
  writeProcess(Root.initFrom(), From);
  Root.setVersion(OldestProtocolVersion);
  return Root;
}

std::vector<std::byte> toBytes(capnp::MessageBuilder &Builder) {
  const kj::Array<capnp::word> Words = capnp::messageToFlatArray(Builder);
  const kj::ArrayPtr<const kj::byte> Bytes = Words.asBytes();
  const std::byte *Begin = reinterpret_cast<const std::byte *>(Bytes.begin());
  return {Begin, Begin + Bytes.size()};
}

} // namespace

std::vector<std::byte> encodeDatagram(const GossipMessage &Message) {
  capnp::MallocMessageBuilder Builder;
  writeGossip(initDatagram(Builder, Message.Sender).initGossip(), Message);
  return toBytes(Builder);
}

std::vector<std::byte> encodeDatagram(const ProcessId &From,
                                      std::span<const CrashReport> Reports) {
  capnp::MallocMessageBuilder Builder;
  capnp::List<wire::CrashReport>::Builder Target =
      initDatagram(Builder, From)
          .initCrashReports(static_cast<unsigned>(Reports.size()));
  for (unsigned Index = 0; Index < Target.size(); ++Index) {
    Target[Index].setFingerprint(Reports[Index].Fingerprint);
    Target[Index].setCrashId(Reports[Index].CrashId);
    Target[Index].setAge(Reports[Index].Age.ticks());
  }
  return toBytes(Builder);
}

std::optional<DatagramMessage> decodeDatagram(std::span<const std::byte> Data) {
  if (Data.empty() || Data.size() > MaxDatagramBytes ||
      Data.size() % BytesPerWord != 0)
    return std::nullopt;
  const std::size_t WordCount = Data.size() / BytesPerWord;
  // Cap'n Proto needs aligned words, but the received bytes may be unaligned.
  kj::Array<capnp::word> Words = kj::heapArray<capnp::word>(WordCount);
  std::memcpy(Words.begin(), Data.data(), Data.size());
  capnp::ReaderOptions Options;
  Options.traversalLimitInWords = 4 * MaxDatagramBytes / BytesPerWord;
  std::optional<DatagramMessage> Result;
  const kj::Maybe<kj::Exception> Error = kj::runCatchingExceptions([&]() {
    capnp::FlatArrayMessageReader Reader(Words, Options);
    Result = readDatagram(Reader.getRoot<wire::Datagram>());
  });
  return Error == nullptr ? Result : std::nullopt;
}

} // namespace camphorpin
