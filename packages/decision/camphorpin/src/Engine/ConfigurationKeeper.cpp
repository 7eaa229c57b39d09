#include "camphorpin/src/Engine/ConfigurationKeeper.h"

#include <string>
#include <utility>

namespace camphorpin::detail {

void ConfigurationKeeper::tick(Instant Now) {
  if (ReadSince && Now - *ReadSince > ReadTimeout)
    onReadFailed(Now);
  if (ReadSince || Now < NextPoll)
    return;
  ReadSince = Now;
  Out.readLog(Fold ? Fold->nextOffset() : 0, ReadBatch);
}

void ConfigurationKeeper::onPage(const LogPage &Page, Instant Now) {
  const std::optional<Instant> SentAt = std::exchange(ReadSince, std::nullopt);
  if (!SentAt)
    return;
  if (std::exchange(Unreachable, false))
    Out.logEvent(LogEvent::LogReachable, {});
  fold(Page, Now);
  const bool AtEnd = Page.Records.size() < ReadBatch;
  // Polls of a fleet that started together drift apart.
  NextPoll = AtEnd ? Now + PollInterval * (0.9 + 0.2 * Source.unit()) : Now;
  if (AtEnd) {
    if (!std::exchange(ReadToEnd, true))
      Fold->noteWholeRetentionRead();
    FreshAt = *SentAt;
  }
  publish(Now);
  restate(Now);
}

void ConfigurationKeeper::fold(const LogPage &Page, Instant Now) {
  if (!Fold)
    Fold.emplace(Page.FirstRetained);
  else if (Page.FirstRetained > Fold->nextOffset())
    Fold->skipTo(Page.FirstRetained);
  for (const LogPageRecord &Record : Page.Records)
    note(Fold->apply(Record.Offset, Record.Body), Now);
  Fold->advanceTo(Page.Next);
}

void ConfigurationKeeper::onReadFailed(Instant Now) {
  ReadSince.reset();
  NextPoll = Now + PollInterval * (1 + Source.unit());
  if (!std::exchange(Unreachable, true))
    Out.logEvent(LogEvent::LogUnreachable, {});
}

void ConfigurationKeeper::note(const RecordOutcome &Outcome, Instant Now) {
  switch (Outcome.Kind) {
  case OutcomeKind::Invalid:
    Out.logEvent(LogEvent::RecordInvalid, {});
    break;
  case OutcomeKind::Conflict:
    Out.logEvent(LogEvent::ChangeConflict,
                 {{"document", Outcome.Document.string()},
                  {"changeId", Outcome.ChangeId},
                  {"base", std::to_string(Outcome.Base)},
                  {"inForce", std::to_string(Outcome.InForce)}});
    break;
  case OutcomeKind::Entry:
    if (Entries.size() < MaxEntries ||
        Entries.count(Outcome.Entry->Address) != 0)
      Entries[Outcome.Entry->Address] = {*Outcome.Entry, Now};
    break;
  default:
    break;
  }
  if (!Outcome.Document.empty() && Outcome.Kind != OutcomeKind::Invalid &&
      Fold->document(Outcome.Document) != nullptr)
    Restates.noteDocument(Outcome.Document, Now);
  if (Outcome.Kind == OutcomeKind::Restated)
    Restates.noteRestated(Outcome.Document, Now);
}

void ConfigurationKeeper::publish(Instant Now) {
  for (const DocumentName &Name : Fold->takeChanged()) {
    const ConfigurationDocument *Document = Fold->document(Name);
    if (Document == nullptr)
      continue;
    Restates.noteDocument(Name, Now);
    Out.logEvent(LogEvent::DocumentInForce,
                 {{"document", Name.string()},
                  {"version", std::to_string(Document->Version)}});
    Listener.documentChanged(*Document);
  }
}

void ConfigurationKeeper::restate(Instant Now) {
  const bool IsFresh = FreshAt && Now - *FreshAt < StaleAfter;
  const std::optional<DocumentName> Due = Restates.next(Now, IsFresh);
  if (!Due)
    return;
  if (const std::optional<RestateRecord> Record = Fold->restate(*Due))
    Out.appendLog(formatRecord(*Record));
}

LogReading ConfigurationKeeper::reading(Instant Now) const {
  LogReading Result;
  if (!Fold || !FreshAt)
    return Result;
  Result.NextOffset = Fold->nextOffset();
  Result.AgeMs = static_cast<std::uint32_t>((Now - *FreshAt).wholeMillis());
  return Result;
}

std::vector<EntryRecord> ConfigurationKeeper::entries(Instant Now) const {
  std::vector<EntryRecord> Result;
  for (const auto &[Address, Value] : Entries)
    if (Now - Value.Seen < Retention)
      Result.push_back(Value.Record);
  return Result;
}

} // namespace camphorpin::detail
