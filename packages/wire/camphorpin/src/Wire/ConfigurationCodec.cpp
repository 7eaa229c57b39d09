#include "camphorpin/src/Wire/ConfigurationCodec.h"

#include <string_view>
#include <utility>

namespace camphorpin {

namespace {

/// Maximum number of records in a reply. RecentRecords holds fewer.
constexpr std::uint32_t MaxRecords = 4096;

void writeReading(wire::LogReading::Builder Target, const LogReading &Value) {
  Target.setNextOffset(Value.NextOffset);
  Target.setAgeMs(Value.AgeMs);
}

LogReading readReading(wire::LogReading::Reader Source) {
  return {Source.getNextOffset(), Source.getAgeMs()};
}

capnp::Data::Reader toData(std::string_view Text) {
  return kj::arrayPtr(Text.data(), Text.size()).asBytes();
}

std::string fromData(capnp::Data::Reader Source) {
  const kj::ArrayPtr<const char> Text = Source.asChars();
  return {Text.begin(), Text.size()};
}

std::string_view toStringView(capnp::Text::Reader Source) {
  return {Source.begin(), Source.size()};
}

/// \class ConfigurationWriter
/// \brief Visitor that writes each type of configuration message.
class ConfigurationWriter {
public:
  explicit ConfigurationWriter(wire::Configuration::Builder Target)
      : Target(Target) {}

  void operator()(const RecordsRequest &Value) {
    Target.setRecordsRequest(Value.From);
  }

  void operator()(const RecordsReply &Value) {
    wire::RecordsReply::Builder Out = Target.initRecordsReply();
    writeReading(Out.initReading(), Value.Reading);
    // Without a range, the sender no longer holds all records from the
    // requested offset.
    Out.setComplete(Value.Range.has_value());
    if (!Value.Range)
      return;
    Out.setNext(Value.Range->Next);
    const std::vector<RawRecord> &Records = Value.Range->Records;
    capnp::List<wire::LogRecord>::Builder List =
        Out.initRecords(static_cast<unsigned>(Records.size()));
    for (unsigned Index = 0; Index < List.size(); ++Index) {
      List[Index].setOffset(Records[Index].Offset);
      List[Index].setBody(toData(Records[Index].Body));
    }
  }

  void operator()(const SnapshotRequest & /*Value*/) {
    Target.setSnapshotRequest();
  }

  void operator()(const SnapshotReply &Value) {
    wire::SnapshotReply::Builder Out = Target.initSnapshotReply();
    writeReading(Out.initReading(), Value.Reading);
    Out.setKnown(Value.Snapshot.has_value());
    if (Value.Snapshot)
      writeSnapshot(Out, *Value.Snapshot);
    capnp::List<wire::DocumentAge>::Builder Ages =
        Out.initAges(static_cast<unsigned>(Value.Ages.size()));
    for (unsigned Index = 0; Index < Ages.size(); ++Index) {
      Ages[Index].setDocument(Value.Ages[Index].Document.string());
      Ages[Index].setSinceRestate(Value.Ages[Index].SinceRestate.ticks());
    }
  }

  void operator()(const DigestRequest &Value) {
    Target.setDigestRequest(Value.Offset);
  }

  void operator()(const DigestReply &Value) {
    wire::DigestReply::Builder Out = Target.initDigestReply();
    Out.setOffset(Value.Offset);
    Out.setKnown(Value.Digest.has_value());
    Out.setDigest(Value.Digest.value_or(0));
  }

private:
  static void writeSnapshot(wire::SnapshotReply::Builder Out,
                            const FoldSnapshot &Value) {
    Out.setNextOffset(Value.NextOffset);
    Out.setDigest(Value.Digest);
    capnp::List<wire::Document>::Builder List =
        Out.initDocuments(static_cast<unsigned>(Value.Documents.size()));
    for (unsigned Index = 0; Index < List.size(); ++Index)
      writeDocument(List[Index], Value.Documents[Index]);
  }

  static void writeDocument(wire::Document::Builder Out,
                            const ConfigurationDocument &Value) {
    Out.setName(Value.Name.string());
    Out.setVersion(Value.Version);
    Out.setContent(toData(Value.Content));
    capnp::List<capnp::Text>::Builder Ids =
        Out.initChangeIds(static_cast<unsigned>(Value.ChangeIds.size()));
    for (unsigned Index = 0; Index < Ids.size(); ++Index)
      Ids.set(Index, Value.ChangeIds[Index]);
  }

  wire::Configuration::Builder Target;
};

std::optional<RecordsReply> readRecords(wire::RecordsReply::Reader Source) {
  RecordsReply Result;
  Result.Reading = readReading(Source.getReading());
  if (!Source.getComplete())
    return Result;
  if (Source.getRecords().size() > MaxRecords)
    return std::nullopt;
  Result.Range.emplace();
  Result.Range->Next = Source.getNext();
  for (wire::LogRecord::Reader Record : Source.getRecords())
    Result.Range->Records.push_back(
        {Record.getOffset(), fromData(Record.getBody())});
  return Result;
}

std::optional<ConfigurationDocument>
readDocument(wire::Document::Reader Source) {
  ConfigurationDocument Result;
  if (!isValidName(toStringView(Source.getName()), /*AllowSlash=*/true) ||
      Source.getChangeIds().size() > MaxChangeIds)
    return std::nullopt;
  Result.Name = DocumentName(toStringView(Source.getName()));
  Result.Version = Source.getVersion();
  Result.Content = fromData(Source.getContent());
  for (capnp::Text::Reader Id : Source.getChangeIds())
    Result.ChangeIds.emplace_back(toStringView(Id));
  return Result;
}

std::optional<SnapshotReply> readSnapshot(wire::SnapshotReply::Reader Source) {
  SnapshotReply Result;
  Result.Reading = readReading(Source.getReading());
  if (!Source.getKnown())
    return Result;
  if (Source.getDocuments().size() > ConfigurationFold::MaxDocuments ||
      Source.getAges().size() > ConfigurationFold::MaxDocuments)
    return std::nullopt;
  Result.Snapshot.emplace();
  Result.Snapshot->NextOffset = Source.getNextOffset();
  Result.Snapshot->Digest = Source.getDigest();
  for (wire::Document::Reader Value : Source.getDocuments()) {
    std::optional<ConfigurationDocument> Document = readDocument(Value);
    if (!Document)
      return std::nullopt;
    Result.Snapshot->Documents.push_back(*std::move(Document));
  }
  for (wire::DocumentAge::Reader Age : Source.getAges()) {
    if (!isValidName(toStringView(Age.getDocument()), /*AllowSlash=*/true))
      return std::nullopt;
    Result.Ages.push_back({DocumentName(toStringView(Age.getDocument())),
                           Duration::ticks(Age.getSinceRestate())});
  }
  return Result;
}

DigestReply readDigest(wire::DigestReply::Reader Source) {
  DigestReply Result{Source.getOffset(), std::nullopt};
  if (Source.getKnown())
    Result.Digest = Source.getDigest();
  return Result;
}

} // namespace

void writeConfiguration(wire::Configuration::Builder Target,
                        const ConfigurationMessage &Message) {
  std::visit(ConfigurationWriter(Target), Message);
}

std::optional<ConfigurationMessage>
readConfiguration(wire::Configuration::Reader Source) {
  switch (Source.which()) {
  case wire::Configuration::RECORDS_REQUEST:
    return RecordsRequest{Source.getRecordsRequest()};
  case wire::Configuration::RECORDS_REPLY:
    return readRecords(Source.getRecordsReply());
  case wire::Configuration::SNAPSHOT_REQUEST:
    return SnapshotRequest{};
  case wire::Configuration::SNAPSHOT_REPLY:
    return readSnapshot(Source.getSnapshotReply());
  case wire::Configuration::DIGEST_REQUEST:
    return DigestRequest{Source.getDigestRequest()};
  case wire::Configuration::DIGEST_REPLY:
    return readDigest(Source.getDigestReply());
  }
  return std::nullopt;
}

} // namespace camphorpin
