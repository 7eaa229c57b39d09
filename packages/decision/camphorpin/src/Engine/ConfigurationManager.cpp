#include "camphorpin/src/Engine/ConfigurationManager.h"

#include <utility>

namespace camphorpin::detail {

void ConfigurationManager::tick(Instant Now) {
  CurrentEventTime = Now;
  Replicator.tick(Now);
}

void ConfigurationManager::onLogPage(const LogReadResult &Page, Instant Now) {
  CurrentEventTime = Now;
  if (std::exchange(LogUnreadable, false))
    Out.logEvent(LogEvent::LogReachable, {});
  Replicator.onLogRead(Page, Now);
}

void ConfigurationManager::onLogReadFailed(Instant Now) {
  if (!std::exchange(LogUnreadable, true))
    Out.logEvent(LogEvent::LogUnreachable, {});
  Replicator.onLogReadFailed(Now);
}

void ConfigurationManager::onMessage(HostAddress From,
                                     const ConfigurationMessage &Message,
                                     Instant Now) {
  CurrentEventTime = Now;
  std::visit([this, From, Now](const auto &Value) { handle(From, Value, Now); },
             Message);
}

std::vector<EntryRecord> ConfigurationManager::entryPoints(Instant Now) const {
  std::vector<EntryRecord> Result;
  for (const auto &[Address, Value] : EntryPoints)
    if (Now - Value.SeenAt < Retention)
      Result.push_back(Value.Record);
  return Result;
}

void ConfigurationManager::handle(HostAddress From,
                                  const RecordsRequest &Message, Instant Now) {
  Out.sendConfiguration(From, Replicator.recordsReply(Message, Now));
}

void ConfigurationManager::handle(HostAddress From, const RecordsReply &Message,
                                  Instant Now) {
  Replicator.onRecords(From, Message, Now);
}

void ConfigurationManager::handle(HostAddress From,
                                  const SnapshotRequest & /*Message*/,
                                  Instant Now) {
  Out.sendConfiguration(From, Replicator.snapshotReply(Now));
}

void ConfigurationManager::handle(HostAddress From,
                                  const SnapshotReply &Message, Instant Now) {
  Replicator.onSnapshot(From, Message, Now);
}

void ConfigurationManager::handle(HostAddress From,
                                  const DigestRequest &Message,
                                  Instant /*Now*/) {
  Out.sendConfiguration(From, Replicator.digestReply(Message));
}

void ConfigurationManager::handle(HostAddress From, const DigestReply &Message,
                                  Instant Now) {
  Replicator.onDigest(From, Message, Now);
}

void ConfigurationManager::readLog(std::uint64_t From, std::size_t Max) {
  Out.readLog(From, Max);
}

void ConfigurationManager::appendLog(const std::string &Body) {
  Out.appendLog(Body);
}

void ConfigurationManager::announce(HostAddress To, const LogReading &Reading) {
  GossipMessage Message;
  Message.Kind = GossipKind::Push;
  Message.Sender = Self;
  Message.Reading = Reading;
  Out.sendDatagram(To, Message);
}

void ConfigurationManager::requestRecords(HostAddress To,
                                          const RecordsRequest &Request) {
  Out.sendConfiguration(To, Request);
}

void ConfigurationManager::requestSnapshot(HostAddress To) {
  Out.sendConfiguration(To, SnapshotRequest{});
}

void ConfigurationManager::requestDigest(HostAddress To,
                                         const DigestRequest &Request) {
  Out.sendConfiguration(To, Request);
}

void ConfigurationManager::documentChanged(
    const ConfigurationDocument &Document) {
  Out.logEvent(LogEvent::DocumentInForce,
               {{"document", Document.Name.string()},
                {"version", std::to_string(Document.Version)}});
  Listener.documentChanged(Document);
}

void ConfigurationManager::recordFolded(std::uint64_t /*Offset*/,
                                        const RecordOutcome &Outcome) {
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
    if (EntryPoints.size() < MaxEntryPoints ||
        EntryPoints.count(Outcome.Entry->Address) != 0)
      EntryPoints[Outcome.Entry->Address] = {*Outcome.Entry, CurrentEventTime};
    break;
  default:
    break;
  }
}

void ConfigurationManager::digestMismatch(HostAddress First,
                                          HostAddress Second) {
  Out.logEvent(LogEvent::SnapshotRejected,
               {{"peer", First.toString()}, {"other", Second.toString()}});
}

} // namespace camphorpin::detail
