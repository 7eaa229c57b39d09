#include "camphorpin/src/Configuration/ConfigurationFold.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace camphorpin {

ConfigurationFold::ConfigurationFold(std::uint64_t Start)
    : Next(Start), BufferedFrom(Start), Complete(Start == 0) {
  noteDigest();
}

std::optional<ConfigurationFold>
ConfigurationFold::restore(const FoldSnapshot &Snapshot) {
  if (Snapshot.Documents.size() > MaxDocuments)
    return std::nullopt;
  ConfigurationFold Fold(Snapshot.NextOffset);
  Fold.Complete = true;
  for (const ConfigurationDocument &Document : Snapshot.Documents) {
    if (Fold.Documents.contains(Document.Name))
      return std::nullopt;
    Fold.replace(Fold.Documents[Document.Name], Document);
  }
  if (Fold.Digest != Snapshot.Digest)
    return std::nullopt;
  Fold.Digests.clear();
  Fold.noteDigest();
  return Fold;
}

RecordOutcome ConfigurationFold::apply(std::uint64_t Offset,
                                       std::string_view Body) {
  if (Offset < Next)
    return {};
  Next = Offset + 1;
  std::optional<ConfigurationRecord> Record = parseConfigurationRecord(Body);
  RecordOutcome Outcome;
  if (!Record)
    Outcome.Kind = OutcomeKind::Invalid;
  else if (auto *Change = std::get_if<ChangeRecord>(&*Record))
    Outcome = applyChange(Offset, std::move(*Change));
  else if (const auto *Restate = std::get_if<RestateRecord>(&*Record))
    Outcome = applyRestate(Offset, *Restate);
  else if (const auto *Entry = std::get_if<EntryRecord>(&*Record)) {
    Outcome.Kind = OutcomeKind::Entry;
    Outcome.Entry = *Entry;
  }
  if (Outcome.Kind == OutcomeKind::Invalid)
    ++InvalidCount;
  noteDigest();
  return Outcome;
}

void ConfigurationFold::advanceTo(std::uint64_t Offset) {
  Next = std::max(Next, Offset);
}

void ConfigurationFold::skipTo(std::uint64_t First) {
  if (First <= Next)
    return;
  Next = First;
  BufferedFrom = First;
  Complete = false;
  SawRestate = false;
  Buffer.takeAll();
  for (auto &Entry : Documents) {
    Entry.second.Confirmed = false;
    Entry.second.AsOf = First;
  }
  Unconfirmed = Documents.size();
  noteDigest();
}

void ConfigurationFold::noteRetainedLogRead() {
  if (!Complete && !SawRestate && Documents.empty())
    markComplete();
  noteDigest();
}

const ConfigurationDocument *
ConfigurationFold::document(const DocumentName &Name) const {
  const auto Found = Documents.find(Name);
  return Found != Documents.end() ? &Found->second.Document : nullptr;
}

std::vector<DocumentName> ConfigurationFold::documentNames() const {
  std::vector<DocumentName> Names;
  Names.reserve(Documents.size());
  for (const auto &Entry : Documents)
    Names.push_back(Entry.first);
  return Names;
}

std::vector<DocumentName> ConfigurationFold::takeChanged() {
  return std::exchange(Changed, {});
}

std::optional<std::uint64_t>
ConfigurationFold::digestAt(std::uint64_t Offset) const {
  if (Offset > Next)
    return std::nullopt;
  return Digests.at(Offset);
}

std::optional<RestateRecord>
ConfigurationFold::restate(const DocumentName &Name) const {
  const auto Found = Documents.find(Name);
  if (!Complete || Found == Documents.end() || !Found->second.Confirmed)
    return std::nullopt;
  const ConfigurationDocument &Document = Found->second.Document;
  return RestateRecord{
      Name, Document.Version, Document.ChangeIds, Document.Content,
      Next, Documents.size()};
}

std::optional<FoldSnapshot> ConfigurationFold::snapshot() const {
  if (!resolved())
    return std::nullopt;
  FoldSnapshot Snapshot{Next, Digest, {}};
  for (const auto &Entry : Documents)
    Snapshot.Documents.push_back(Entry.second.Document);
  return Snapshot;
}

RecordOutcome ConfigurationFold::applyChange(std::uint64_t Offset,
                                             ChangeRecord Change) {
  if (isKnown(Change.Document))
    return foldChange(Change);
  RecordOutcome Outcome{OutcomeKind::UnknownBase, Change.Document, Change.Base,
                        versionOf(Change.Document), Change.ChangeId};
  const std::optional<std::uint64_t> LastEvictedOffset =
      Buffer.add(Offset, std::move(Change));
  if (LastEvictedOffset)
    BufferedFrom = *LastEvictedOffset + 1;
  return Outcome;
}

RecordOutcome ConfigurationFold::foldChange(const ChangeRecord &Change) {
  RecordOutcome Outcome{OutcomeKind::Conflict, Change.Document, Change.Base,
                        versionOf(Change.Document), Change.ChangeId};
  const auto Found = Documents.find(Change.Document);
  const bool Exists = Found != Documents.end();
  if (Exists) {
    const std::vector<std::string> &Ids = Found->second.Document.ChangeIds;
    if (std::find(Ids.begin(), Ids.end(), Change.ChangeId) != Ids.end()) {
      Outcome.Kind = OutcomeKind::Duplicate;
      return Outcome;
    }
  }
  if (Change.Base != Outcome.InForce)
    return Outcome;
  if (!Exists && Documents.size() >= MaxDocuments) {
    Outcome.Kind = OutcomeKind::Invalid;
    return Outcome;
  }
  DocumentState &State = Documents[Change.Document];
  ConfigurationDocument Document{Change.Document, Change.Base + 1,
                                 Change.Content, State.Document.ChangeIds};
  Document.ChangeIds.push_back(Change.ChangeId);
  if (Document.ChangeIds.size() > MaxChangeIds)
    Document.ChangeIds.erase(Document.ChangeIds.begin());
  Outcome.Kind = OutcomeKind::Accepted;
  Outcome.InForce = Document.Version;
  replace(State, std::move(Document));
  return Outcome;
}

RecordOutcome ConfigurationFold::applyRestate(std::uint64_t Offset,
                                              const RestateRecord &Record) {
  RecordOutcome Outcome{OutcomeKind::Ignored, Record.Document, 0,
                        versionOf(Record.Document)};
  // The state at AsOf cannot include records that come after the restate.
  if (Record.AsOf > Offset) {
    Outcome.Kind = OutcomeKind::Invalid;
    return Outcome;
  }
  SawRestate = true;
  if (isKnown(Record.Document))
    applyRestateOfKnownDocument(Record, Outcome);
  else if (Record.AsOf >= BufferedFrom && Record.Version >= Outcome.InForce)
    adoptRestate(Record, Outcome);
  updateCompleteness(Record);
  Outcome.InForce = versionOf(Record.Document);
  const auto Found = Documents.find(Record.Document);
  if (Found != Documents.end() &&
      Record.AsOf >= Found->second.RestateEndOffset) {
    Found->second.RestateEndOffset = Next;
    Outcome.RestartsRestateTimer = true;
  }
  return Outcome;
}

void ConfigurationFold::applyRestateOfKnownDocument(const RestateRecord &Record,
                                                    RecordOutcome &Outcome) {
  if (Record.Version <= Outcome.InForce)
    return;
  // Versions only increase, so a fold that has read all records cannot be
  // behind a restate. Adopting the higher version repairs a fold that missed
  // records.
  ++ContradictionCount;
  adoptRestate(Record, Outcome);
}

void ConfigurationFold::adoptRestate(const RestateRecord &Record,
                                     RecordOutcome &Outcome) {
  if (!Documents.contains(Record.Document) &&
      Documents.size() >= MaxDocuments) {
    Outcome.Kind = OutcomeKind::Invalid;
    return;
  }
  Outcome.Kind = OutcomeKind::Restated;
  DocumentState &State = Documents[Record.Document];
  if (!State.Confirmed)
    --Unconfirmed;
  State.Confirmed = true;
  State.AsOf = Record.AsOf;
  replace(State,
          {Record.Document, Record.Version, Record.Content, Record.ChangeIds});
  for (const BufferedChange &Buffered : Buffer.take(Record.Document))
    if (Buffered.Offset >= Record.AsOf)
      foldChange(Buffered.Change);
}

void ConfigurationFold::updateCompleteness(const RestateRecord &Record) {
  if (Complete || Record.AsOf < BufferedFrom)
    return;
  const std::size_t KnownAtAsOf =
      std::count_if(Documents.begin(), Documents.end(), [&](const auto &Entry) {
        return Entry.second.AsOf <= Record.AsOf;
      });
  if (KnownAtAsOf == Record.Documents)
    markComplete();
}

void ConfigurationFold::markComplete() {
  Complete = true;
  for (BufferedChange &Buffered : Buffer.takeAll()) {
    if (!isKnown(Buffered.Change.Document))
      // The document exists but is unconfirmed until it is restated.
      Buffer.add(Buffered.Offset, std::move(Buffered.Change));
    else
      foldChange(Buffered.Change);
  }
}

void ConfigurationFold::noteDigest() {
  if (resolved())
    Digests.note(Next, Digest);
  else
    Digests.clear();
}

void ConfigurationFold::replace(DocumentState &State,
                                ConfigurationDocument Document) {
  if (State.Document.Version > 0)
    Digest -= State.Document.stableHash();
  Digest += Document.stableHash();
  if (std::find(Changed.begin(), Changed.end(), Document.Name) == Changed.end())
    Changed.push_back(Document.Name);
  State.Document = std::move(Document);
}

bool ConfigurationFold::isKnown(const DocumentName &Name) const {
  const auto Found = Documents.find(Name);
  return Found != Documents.end() ? Found->second.Confirmed : Complete;
}

std::uint64_t ConfigurationFold::versionOf(const DocumentName &Name) const {
  const ConfigurationDocument *Found = document(Name);
  return Found != nullptr ? Found->Version : 0;
}

} // namespace camphorpin
