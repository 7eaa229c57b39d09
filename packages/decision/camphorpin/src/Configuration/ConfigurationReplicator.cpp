#include "camphorpin/src/Configuration/ConfigurationReplicator.h"

#include <algorithm>
#include <array>
#include <utility>

namespace camphorpin {

namespace {

void updateMax(std::optional<Instant> &Target, Instant Value) {
  Target = Target ? std::max(*Target, Value) : Value;
}

} // namespace

ConfigurationReplicator::ConfigurationReplicator(
    const ConfigurationPeer &Self, Duration LogRetention,
    const ConfigurationPeers &Peers, Random &Source,
    ConfigurationActions &Actions)
    : Self(Self), LogRetention(LogRetention), Peers(Peers), Source(Source),
      Actions(Actions), Selection(Self),
      Fetcher(Self.Address, Peers, Selection, Source, Actions),
      Restates(LogRetention, Source) {}

void ConfigurationReplicator::tick(Instant Now) {
  if (ReadStartedAt && Now - *ReadStartedAt > ReadTimeout)
    onLogReadFailed(Now);
  if (!Joined) {
    tickJoin(Now);
    return;
  }
  if (PullInFlight && Now - PullInFlight->SentAt > PullTimeout) {
    // The announcer may have crashed. The next reading from any peer replaces
    // its offset.
    if (HighestAnnounced.From == PullInFlight->From)
      HighestAnnounced = {};
    PullInFlight.reset();
    pullIfBehind(Now);
  }
  tickPolls(Now);
  if (AnnouncePending && Now >= NextAnnounce)
    announce(Now);
  tickRestates(Now);
}

void ConfigurationReplicator::tickJoin(Instant Now) {
  if (JoiningFromLog)
    return;
  Fetcher.tick(Now);
  if (Now < NextJoinAttempt || !Fetcher.failed(Now))
    return;
  ++JoinAttempts;
  // When all nodes start together, only the readers of each zone read the log;
  // the other nodes fetch snapshots from them.
  const bool MayRead = JoinAttempts > MaxSnapshotAttemptsByReader &&
                       (isReader() || JoinAttempts > MaxSnapshotAttempts);
  NextJoinAttempt = Now + MaxJoinRetryDelay * Source.uniform01();
  if (!MayRead && Fetcher.start(Now))
    return;
  JoiningFromLog = true;
  Fold.reset();
  startRead(Now);
}

void ConfigurationReplicator::tickPolls(Instant Now) {
  if (ReadStartedAt)
    return;
  if (isReader() && Now >= NextPoll) {
    NextPoll = Now + PollInterval;
    startRead(Now);
    return;
  }
  if (hasRecentReading(Now) && !MustCatchUp) {
    NextFallbackPoll = Instant::never();
    return;
  }
  if (NextFallbackPoll == Instant::never())
    NextFallbackPoll =
        Now + (MustCatchUp ? CatchUpWindow : FallbackPollInterval) *
                  Source.uniform01();
  if (Now < NextFallbackPoll)
    return;
  // Jitter between half an interval and one and a half keeps many nodes from
  // polling at the same time.
  NextFallbackPoll = Now + FallbackPollInterval * (0.5 + Source.uniform01());
  startRead(Now);
}

void ConfigurationReplicator::tickRestates(Instant Now) {
  const std::optional<DocumentName> Due =
      Restates.takeDue(Now, hasRecentReading(Now));
  if (!Due)
    return;
  const std::optional<RestateRecord> Record = Fold->restate(*Due);
  if (Record)
    Actions.appendLog(formatRecord(*Record));
}

void ConfigurationReplicator::onLogRead(const LogReadResult &Result,
                                        Instant Now) {
  if (!ReadStartedAt)
    return;
  const Instant SentAt = *ReadStartedAt;
  ReadStartedAt.reset();
  if (!Joined && !JoiningFromLog)
    return;
  if (!Fold) {
    Fold.emplace(Result.FirstRetained);
    Recent.restart(Result.FirstRetained);
  }
  // A log that ends before the offset already read has lost records.
  if (Result.Next < Fold->nextOffset())
    return onLogReadFailed(Now);
  if (Result.FirstRetained > Fold->nextOffset()) {
    Fold->skipTo(Result.FirstRetained);
    Recent.restart(Result.FirstRetained);
  }
  foldRecords(Result.Records, Result.Next, Now);
  if (Result.Records.size() >= ReadBatchSize)
    return startRead(Now);
  ReadBatchSize = MaxReadBatch;
  MustCatchUp = false;
  updateMax(UpToDateAsOf, SentAt);
  updateMax(LatestReadingAt, SentAt);
  if (JoiningFromLog)
    joinFromLog(Now);
}

void ConfigurationReplicator::onLogReadFailed(Instant Now) {
  ReadStartedAt.reset();
  ReadBatchSize = std::max(MinReadBatch, ReadBatchSize / 2);
  if (!JoiningFromLog)
    return;
  JoiningFromLog = false;
  Fold.reset();
  JoinAttempts = 0;
  NextJoinAttempt = Now + MaxJoinRetryDelay;
}

void ConfigurationReplicator::onUnsolicitedReading(HostAddress From,
                                                   const LogReading &Reading,
                                                   Instant Now) {
  notePeerReading(From, Reading, Now);
}

void ConfigurationReplicator::onReadingInReply(HostAddress From,
                                               const LogReading &Reading,
                                               Instant SentAt, Instant Now) {
  notePeerReading(From, Reading, Now);
  advanceUpToDateAsOf(Reading, SentAt);
}

void ConfigurationReplicator::onRecords(HostAddress From,
                                        const RecordsReply &Reply,
                                        Instant Now) {
  if (!Joined || !PullInFlight || PullInFlight->From != From)
    return;
  const Instant SentAt = PullInFlight->SentAt;
  PullInFlight.reset();
  if (!Reply.Range) {
    MustCatchUp = true;
    NextFallbackPoll = Instant::never();
    return;
  }
  foldRecords(Reply.Range->Records, Reply.Range->Next, Now);
  advanceUpToDateAsOf(Reply.Reading, SentAt);
  pullIfBehind(Now);
}

void ConfigurationReplicator::onSnapshot(HostAddress From, SnapshotReply Reply,
                                         Instant Now) {
  if (Joined || JoiningFromLog)
    return;
  std::optional<FetchedState> State =
      Fetcher.onSnapshot(From, std::move(Reply), Now);
  if (State)
    installState(std::move(*State), Now);
}

void ConfigurationReplicator::onDigest(HostAddress From,
                                       const DigestReply &Reply, Instant Now) {
  if (Joined || JoiningFromLog)
    return;
  std::optional<FetchedState> State = Fetcher.onDigest(From, Reply, Now);
  if (State)
    installState(std::move(*State), Now);
}

RecordsReply
ConfigurationReplicator::recordsReply(const RecordsRequest &Request,
                                      Instant Now) const {
  if (!Joined)
    return {};
  return {Recent.range(Request.From), reading(Now)};
}

SnapshotReply ConfigurationReplicator::snapshotReply(Instant Now) const {
  if (!Joined)
    return {};
  return {Fold->snapshot(), Restates.ages(Now), reading(Now)};
}

DigestReply
ConfigurationReplicator::digestReply(const DigestRequest &Request) const {
  DigestReply Reply{Request.Offset, {}};
  if (Joined)
    Reply.Digest = Fold->digestAt(Request.Offset);
  return Reply;
}

LogReading ConfigurationReplicator::reading(Instant Now) const {
  LogReading Result;
  if (!Joined)
    return Result;
  Result.NextOffset = Fold->nextOffset();
  if (UpToDateAsOf)
    Result.AgeMs = static_cast<std::uint32_t>(std::min<std::int64_t>(
        (Now - *UpToDateAsOf).wholeMillis(), LogReading::NoReading - 1));
  return Result;
}

std::optional<Instant> ConfigurationReplicator::upToDateAsOf() const {
  return Joined ? UpToDateAsOf : std::nullopt;
}

void ConfigurationReplicator::startRead(Instant Now) {
  ReadStartedAt = Now;
  Actions.readLog(Fold ? Fold->nextOffset() : 0, ReadBatchSize);
}

void ConfigurationReplicator::requestMissingRecords(HostAddress From,
                                                    Instant Now) {
  PullInFlight = Pull{From, Now};
  Actions.requestRecords(From, {Fold->nextOffset()});
}

void ConfigurationReplicator::pullIfBehind(Instant Now) {
  if (!PullInFlight && HighestAnnounced.NextOffset > Fold->nextOffset())
    requestMissingRecords(HighestAnnounced.From, Now);
}

void ConfigurationReplicator::notePeerReading(HostAddress From,
                                              const LogReading &Reading,
                                              Instant Now) {
  if (!Joined)
    return;
  if (Reading.AgeMs != LogReading::NoReading)
    updateMax(LatestReadingAt, Now - Duration::millis(Reading.AgeMs));
  if (Reading.NextOffset > HighestAnnounced.NextOffset)
    HighestAnnounced = {From, Reading.NextOffset};
  pullIfBehind(Now);
}

void ConfigurationReplicator::advanceUpToDateAsOf(const LogReading &Reading,
                                                  Instant SentAt) {
  if (!Joined || Reading.AgeMs == LogReading::NoReading)
    return;
  // The sender has folded more records than this node, so its reading does not
  // hold for this node.
  if (Reading.NextOffset > Fold->nextOffset())
    return;
  updateMax(UpToDateAsOf, SentAt - Duration::millis(Reading.AgeMs));
}

void ConfigurationReplicator::foldRecords(std::span<const RawRecord> Records,
                                          std::uint64_t Next, Instant Now) {
  bool Folded = false;
  for (const RawRecord &Record : Records) {
    if (Record.Offset < Fold->nextOffset())
      continue;
    const RecordOutcome Outcome = Fold->apply(Record.Offset, Record.Body);
    Recent.add(Record);
    if (Outcome.RestartsRestateTimer)
      Restates.noteRestated(Outcome.Document, Now);
    Actions.recordFolded(Record.Offset, Outcome);
    Folded = true;
  }
  Fold->advanceTo(Next);
  Recent.advanceTo(Next);
  if (!Joined || !Folded)
    return;
  publishChanged(Now);
  announceSoon(Now);
}

void ConfigurationReplicator::announceSoon(Instant Now) {
  if (Now >= NextAnnounce)
    announce(Now);
  else
    AnnouncePending = true;
}

void ConfigurationReplicator::announce(Instant Now) {
  AnnouncePending = false;
  NextAnnounce = Now + MinAnnounceInterval;
  const std::span<const ConfigurationPeer> All = Peers.peers();
  if (All.empty())
    return;
  const LogReading Reading = reading(Now);
  for (std::size_t Count = 0; Count < AnnounceFanout; ++Count) {
    const HostAddress To = All[Source.below(All.size())].Address;
    if (To != Self.Address)
      Actions.announce(To, Reading);
  }
}

void ConfigurationReplicator::publishChanged(Instant Now) {
  for (const DocumentName &Name : Fold->takeChanged()) {
    Restates.noteDocument(Name, Now);
    Actions.documentChanged(*Fold->document(Name));
  }
}

void ConfigurationReplicator::finishJoin(Instant Now) {
  Joined = true;
  JoiningFromLog = false;
  publishChanged(Now);
}

void ConfigurationReplicator::installState(FetchedState State, Instant Now) {
  Fold.emplace(std::move(State.Fold));
  Recent.restart(Fold->nextOffset());
  Restates.noteAges(State.Ages, Now);
  if (State.HasReading) {
    UpToDateAsOf = State.UpToDateAsOf;
    LatestReadingAt = State.UpToDateAsOf;
  }
  finishJoin(Now);
}

void ConfigurationReplicator::joinFromLog(Instant Now) {
  Fold->noteRetainedLogRead();
  // The times of the restates are unknown. All documents count as due: if all
  // nodes started together, no node knows when the last restate was written,
  // and it may be about to expire.
  std::vector<DocumentAge> Ages;
  for (const DocumentName &Name : Fold->documentNames())
    Ages.push_back({Name, RestateScheduler::dueAge(LogRetention)});
  Restates.noteAges(Ages, Now);
  finishJoin(Now);
}

bool ConfigurationReplicator::hasRecentReading(Instant Now) const {
  return LatestReadingAt && Now - *LatestReadingAt <= StaleAfter;
}

} // namespace camphorpin
