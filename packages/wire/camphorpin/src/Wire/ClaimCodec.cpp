#include "camphorpin/src/Wire/ClaimCodec.h"

#include "camphorpin/src/Wire/Codec.h"

namespace camphorpin {

namespace {

/// Maximum number of entries in a page. Nodes send at most
/// ClaimOptions::PageEntries, which is 256.
constexpr std::uint32_t MaxEntries = 4096;
/// Maximum number of processes whose claims have a cutoff.
constexpr std::uint32_t MaxCutoffs = 4096;

using EntryListBuilder = capnp::List<wire::ClaimEntry>::Builder;
using EntryListReader = capnp::List<wire::ClaimEntry>::Reader;

void writeEntries(EntryListBuilder Target,
                  const std::vector<TransferEntry> &Entries) {
  for (unsigned Index = 0; Index < Target.size(); ++Index) {
    writeKey(Target[Index].initKey(), Entries[Index].Key);
    Target[Index].setFinished(Entries[Index].Finished);
  }
}

std::vector<TransferEntry> readEntries(EntryListReader Source) {
  std::vector<TransferEntry> Result;
  Result.reserve(Source.size());
  for (wire::ClaimEntry::Reader Entry : Source)
    Result.push_back({readKey(Entry.getKey()), Entry.getFinished()});
  return Result;
}

void writeKnowledge(wire::ClaimKnowledge::Builder Target,
                    const ClaimKnowledge &Value) {
  Target.setSettled(kj::arrayPtr(Value.Settled.data(), Value.Settled.size()));
  capnp::List<wire::ClaimKnowledge::Cutoff>::Builder Cutoffs =
      Target.initCutoffs(static_cast<unsigned>(Value.Cutoffs.size()));
  for (unsigned Index = 0; Index < Cutoffs.size(); ++Index) {
    writeProcess(Cutoffs[Index].initProcess(), Value.Cutoffs[Index].Process);
    Cutoffs[Index].setTime(Value.Cutoffs[Index].Time.sinceOrigin().ticks());
  }
}

bool readKnowledge(wire::ClaimKnowledge::Reader Source,
                   ClaimKnowledge &Target) {
  if (Source.getSettled().size() > MaxSettledEpochs ||
      Source.getCutoffs().size() > MaxCutoffs)
    return false;
  for (std::uint64_t Value : Source.getSettled())
    Target.Settled.push_back(Value);
  for (wire::ClaimKnowledge::Cutoff::Reader Value : Source.getCutoffs())
    Target.Cutoffs.push_back({readProcess(Value.getProcess()),
                              Instant() + Duration::ticks(Value.getTime())});
  return true;
}

/// \class ClaimWriter
/// \brief Visitor that writes each type of claim message.
class ClaimWriter {
public:
  explicit ClaimWriter(wire::Claim::Builder Target) : Target(Target) {}

  void operator()(const CopyClaim &Value) {
    wire::CopyClaim::Builder Out = Target.initCopy();
    writeProcess(Out.initHome(), Value.Home);
    Out.setEpoch(Value.Epoch);
    Out.setLinkSince(Value.LinkSince);
    Out.setSerial(Value.Serial);
    writeKey(Out.initKey(), Value.Key);
  }

  void operator()(const CopyAnswer &Value) {
    wire::CopyAnswer::Builder Out = Target.initCopyAnswer();
    writeProcess(Out.initMirror(), Value.Mirror);
    Out.setSerial(Value.Serial);
    writeKey(Out.initKey(), Value.Key);
    Out.setAccepted(Value.Accepted);
  }

  void operator()(const ReleaseClaim &Value) {
    wire::ReleaseClaim::Builder Out = Target.initRelease();
    writeProcess(Out.initHome(), Value.Home);
    Out.setSerial(Value.Serial);
    writeKey(Out.initKey(), Value.Key);
  }

  void operator()(const SyncPage &Value) {
    wire::SyncPage::Builder Out = Target.initSyncPage();
    writeProcess(Out.initHome(), Value.Home);
    Out.setEpoch(Value.Epoch);
    Out.setLinkSince(Value.LinkSince);
    Out.setSyncId(Value.SyncId);
    Out.setPage(Value.Page);
    Out.setLast(Value.Last);
    writeKnowledge(Out.initKnowledge(), Value.Knowledge);
    writeEntries(Out.initEntries(static_cast<unsigned>(Value.Entries.size())),
                 Value.Entries);
  }

  void operator()(const SyncAnswer &Value) {
    wire::SyncAnswer::Builder Out = Target.initSyncAnswer();
    writeProcess(Out.initMirror(), Value.Mirror);
    Out.setSyncId(Value.SyncId);
    Out.setPage(Value.Page);
    Out.setAccepted(Value.Accepted);
  }

  void operator()(const ResolveRequest &Value) {
    wire::ResolveRequest::Builder Out = Target.initResolve();
    writeProcess(Out.initRequester(), Value.Requester);
    writeProcess(Out.initHome(), Value.Home);
    Out.setEpoch(Value.Epoch);
    Out.setLinkSince(Value.LinkSince);
    writeKey(Out.initAfter(), Value.After);
  }

  void operator()(const ResolvePage &Value) {
    wire::ResolvePage::Builder Out = Target.initResolvePage();
    writeProcess(Out.initHome(), Value.Home);
    Out.setEpoch(Value.Epoch);
    Out.setLinkSince(Value.LinkSince);
    writeKey(Out.initAfter(), Value.After);
    Out.setComplete(Value.Complete);
    Out.setMore(Value.More);
    writeKnowledge(Out.initKnowledge(), Value.Knowledge);
    writeEntries(Out.initEntries(static_cast<unsigned>(Value.Entries.size())),
                 Value.Entries);
  }

  void operator()(const HandOverDone &Value) {
    wire::HandOverDone::Builder Out = Target.initHandOverDone();
    writeProcess(Out.initRequester(), Value.Requester);
    Out.setEpoch(Value.Epoch);
  }

private:
  wire::Claim::Builder Target;
};

CopyClaim read(wire::CopyClaim::Reader Source) {
  return {.Home = readProcess(Source.getHome()),
          .Epoch = Source.getEpoch(),
          .LinkSince = Source.getLinkSince(),
          .Serial = Source.getSerial(),
          .Key = readKey(Source.getKey())};
}

CopyAnswer read(wire::CopyAnswer::Reader Source) {
  return {.Mirror = readProcess(Source.getMirror()),
          .Serial = Source.getSerial(),
          .Key = readKey(Source.getKey()),
          .Accepted = Source.getAccepted()};
}

ReleaseClaim read(wire::ReleaseClaim::Reader Source) {
  return {.Home = readProcess(Source.getHome()),
          .Serial = Source.getSerial(),
          .Key = readKey(Source.getKey())};
}

std::optional<ClaimMessage> read(wire::SyncPage::Reader Source) {
  SyncPage Value{.Home = readProcess(Source.getHome()),
                 .Epoch = Source.getEpoch(),
                 .LinkSince = Source.getLinkSince(),
                 .SyncId = Source.getSyncId(),
                 .Page = Source.getPage(),
                 .Last = Source.getLast()};
  if (Source.getEntries().size() > MaxEntries ||
      !readKnowledge(Source.getKnowledge(), Value.Knowledge))
    return std::nullopt;
  Value.Entries = readEntries(Source.getEntries());
  return Value;
}

SyncAnswer read(wire::SyncAnswer::Reader Source) {
  return {.Mirror = readProcess(Source.getMirror()),
          .SyncId = Source.getSyncId(),
          .Page = Source.getPage(),
          .Accepted = Source.getAccepted()};
}

ResolveRequest read(wire::ResolveRequest::Reader Source) {
  return {.Requester = readProcess(Source.getRequester()),
          .Home = readProcess(Source.getHome()),
          .Epoch = Source.getEpoch(),
          .LinkSince = Source.getLinkSince(),
          .After = readKey(Source.getAfter())};
}

std::optional<ClaimMessage> read(wire::ResolvePage::Reader Source) {
  ResolvePage Value{.Home = readProcess(Source.getHome()),
                    .Epoch = Source.getEpoch(),
                    .LinkSince = Source.getLinkSince(),
                    .After = readKey(Source.getAfter()),
                    .Complete = Source.getComplete(),
                    .More = Source.getMore()};
  if (Source.getEntries().size() > MaxEntries ||
      !readKnowledge(Source.getKnowledge(), Value.Knowledge))
    return std::nullopt;
  Value.Entries = readEntries(Source.getEntries());
  return Value;
}

HandOverDone read(wire::HandOverDone::Reader Source) {
  return {.Requester = readProcess(Source.getRequester()),
          .Epoch = Source.getEpoch()};
}

std::optional<ClaimMessage> readMessage(wire::Claim::Reader Source) {
  switch (Source.which()) {
  case wire::Claim::COPY:
    return read(Source.getCopy());
  case wire::Claim::COPY_ANSWER:
    return read(Source.getCopyAnswer());
  case wire::Claim::RELEASE:
    return read(Source.getRelease());
  case wire::Claim::SYNC_PAGE:
    return read(Source.getSyncPage());
  case wire::Claim::SYNC_ANSWER:
    return read(Source.getSyncAnswer());
  case wire::Claim::RESOLVE:
    return read(Source.getResolve());
  case wire::Claim::RESOLVE_PAGE:
    return read(Source.getResolvePage());
  case wire::Claim::HAND_OVER_DONE:
    return read(Source.getHandOverDone());
  }
  // A newer version may send message types that this version does not know.
  return std::nullopt;
}

} // namespace

void writeClaim(wire::Claim::Builder Target, const ProcessId &To,
                const ClaimMessage &Message) {
  writeProcess(Target.initTo(), To);
  std::visit(ClaimWriter(Target), Message);
}

std::optional<AddressedClaim> readClaim(wire::Claim::Reader Source) {
  std::optional<ClaimMessage> Message = readMessage(Source);
  if (!Message)
    return std::nullopt;
  return AddressedClaim{readProcess(Source.getTo()), *std::move(Message)};
}

} // namespace camphorpin
