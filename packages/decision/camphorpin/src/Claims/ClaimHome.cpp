#include "camphorpin/src/Claims/ClaimHome.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace camphorpin {

namespace {

/// HandOverDone is not acknowledged, so it is sent several times.
constexpr std::uint8_t HandOverNoticeSends = 5;

/// Bytes added to the size of each answer when it is counted against
/// ClaimOptions::MaxAnswerBytes, so that the number of empty answers is bounded
/// too.
constexpr std::size_t AnswerOverhead = 64;

} // namespace

ClaimHome::ClaimHome(const ProcessId &Self, const ClaimOptions &Options,
                     ClaimActions &Actions,
                     const ProcessExitDetector &ExitDetector, const Clock &Time)
    : Self(Self), Options(Options), Actions(Actions), Time(Time),
      Table(Options.MaxKeys), Resolver(Self, Options, Actions, ExitDetector),
      Sync(Self, Options, Actions, Table) {}

void ClaimHome::adopt(const HomeSet &Set) {
  if (Set.epoch() <= epoch())
    return;
  for (auto &[Key, Waiting] : WaitingSends)
    withdraw(Waiting);
  Resolver.adopt(Set, Time.now());
  if (const HomeAssignment *Own = Set.find(Self))
    Sync.setMirror(Own->Mirrors.front(), Set.epoch());
  syncKnowledge();
  Sync.tick(Time.now());
  tryDecideAll();
}

void ClaimHome::onLogRead(Instant SentAt) {
  if (!LatestLogReadSentAt || *LatestLogReadSentAt < SentAt)
    LatestLogReadSentAt = SentAt;
}

void ClaimHome::onRequest(const ClaimSend &Send) {
  NewestSenderEpoch = std::max(NewestSenderEpoch, Send.SenderEpoch);
  if (WaitingSends.contains(Send.Key)) {
    Actions.reportDecision(Send.Id,
                           {.Outcome = ClaimOutcome::Join, .Epoch = epoch()});
    return;
  }
  if (WaitingSends.size() >= Options.MaxWaiting) {
    refuse(Send, refusalVerdict(Send.FirstSend), RefusalReason::NodeBusy);
    return;
  }
  WaitingSends.emplace(Send.Key, WaitingSend{Send});
  tryDecideKey(Send.Key);
}

void ClaimHome::finish(const RequestKey &Key, AnswerId Answer,
                       std::size_t Bytes) {
  ClaimEntry *Entry = Table.find(Key);
  // The entry may have expired while the request was running.
  if (Entry == nullptr || Entry->State != ClaimState::Running) {
    Actions.dropAnswer(Answer);
    return;
  }
  Entry->State = ClaimState::Finished;
  Entry->HasAnswer = true;
  const std::size_t Cost = Bytes + AnswerOverhead;
  Answers[Entry->Serial] = StoredAnswer{Key, Answer, Cost};
  AnswerBytes += Cost;
  evictAnswers();
}

void ClaimHome::fail(const RequestKey &Key) {
  ClaimEntry *Entry = Table.find(Key);
  if (Entry != nullptr && Entry->State == ClaimState::Running)
    Entry->State = ClaimState::Unknown;
}

void ClaimHome::release(const RequestKey &Key) {
  ClaimEntry *Entry = Table.find(Key);
  if (Entry == nullptr || Entry->State != ClaimState::Running)
    return;
  if (Sync.link().Mirror)
    Actions.sendClaim(*Sync.link().Mirror,
                      ReleaseClaim{Self, Entry->Serial, Key});
  Table.erase(Key);
}

void ClaimHome::onMessage(const CopyAnswer &Message) {
  const auto Found = WaitingSends.find(Message.Key);
  if (Found == WaitingSends.end() || Found->second.Serial != Message.Serial ||
      Sync.link().Mirror != Message.Mirror)
    return;
  WaitingSend &Waiting = Found->second;
  if (!Message.Accepted) {
    withdraw(Waiting);
    Waiting.RetryAt = Time.now() + Options.ResendInterval;
    return;
  }
  const bool Late = Waiting.Send.Deadline <= Time.now();
  if (Late || logIsSilent()) {
    withdraw(Waiting);
    const ClaimSend Send = Waiting.Send;
    WaitingSends.erase(Found);
    // The key has not run: checkOrRefuse() found no earlier run, the accepted
    // copy shows that no other process had taken over the key, and the claim is
    // withdrawn, so this process will not run it.
    refuse(Send, Verdict::NotRun,
           Late ? RefusalReason::Deadline : RefusalReason::LogSilent);
    return;
  }
  const ClaimSend Send = Waiting.Send;
  WaitingSends.erase(Found);
  const ClaimEntry *Entry = Table.find(Send.Key);
  if (Entry != nullptr && Entry->State == ClaimState::Copying)
    run(Send, Message.Serial);
  else if (Entry != nullptr)
    decideFromEntry(Send, *Entry);
  else
    refuse(Send, Verdict::MayHaveRun, RefusalReason::KeyExpired);
}

void ClaimHome::onMessage(const SyncAnswer &Message) {
  Sync.onMessage(Message, Time.now());
  if (Sync.ready())
    tryDecideAll();
}

void ClaimHome::onMessage(const ResolveRequest &Message) {
  if (Message.LinkSince != 0 || Message.Home != Self ||
      Message.Epoch != epoch())
    return;
  EntryPage Found = Table.page(
      Message.After, Options.PageEntries,
      [this, &Message](const RequestKey &Key) {
        const HomeAssignment *Owner = homes().homeOf(Key);
        return Owner != nullptr && Owner->Process == Message.Requester;
      });
  ResolvePage Page;
  Page.Home = Self;
  Page.Epoch = Message.Epoch;
  Page.After = Message.After;
  Page.Complete = true;
  Page.More = Found.More;
  Page.Knowledge = Resolver.knowledge();
  Page.Entries = std::move(Found.Entries);
  Actions.sendClaim(Message.Requester, Page);
}

void ClaimHome::onMessage(const ResolvePage &Message) {
  if (!Resolver.expects(Message))
    return;
  Table.merge(Message.Entries);
  Sync.enqueue(Message.Entries);
  Resolver.accept(Message, Time.now());
  syncKnowledge();
  Sync.tick(Time.now());
  tryDecideAll();
}

void ClaimHome::onMessage(const HandOverDone &Message) {
  Epoch &Done = HandOverDoneEpochs[Message.Requester];
  Done = std::max(Done, Message.Epoch);
}

void ClaimHome::tick() {
  Resolver.tick(Time.now(), Time.wallNow());
  syncKnowledge();
  Sync.tick(Time.now());
  expireWaiting();
  tryDecideAll();
  resendCopies();
  sendHandOverNotices();
  Table.expireBefore(Time.wallNow() - Options.tableRetention());
}

bool ClaimHome::mayLeave() const {
  if (epoch() == 0 || homes().find(Self) != nullptr || !WaitingSends.empty())
    return false;
  Epoch FirstEpochAfterSelf = 0;
  for (const HomeAssignment &Former : homes().formerHomes())
    if (Former.Process == Self)
      FirstEpochAfterSelf = std::max(FirstEpochAfterSelf, Former.Until + 1);
  return std::all_of(homes().homes().begin(), homes().homes().end(),
                     [this, FirstEpochAfterSelf](const HomeAssignment &Home) {
                       const auto Done = HandOverDoneEpochs.find(Home.Process);
                       return FirstEpochAfterSelf == 0 ||
                              (Done != HandOverDoneEpochs.end() &&
                               Done->second >= FirstEpochAfterSelf);
                     });
}

bool ClaimHome::settled() const {
  return homes().find(Self) != nullptr && Resolver.settled() && Sync.ready();
}

void ClaimHome::refuse(const ClaimSend &Send, Verdict Refusal,
                       RefusalReason Reason) {
  Actions.reportDecision(Send.Id, {.Outcome = ClaimOutcome::Refuse,
                                   .Verdict = Refusal,
                                   .Reason = Reason,
                                   .Epoch = epoch()});
}

void ClaimHome::run(const ClaimSend &Send, std::uint64_t Serial) {
  ClaimEntry Entry;
  Entry.Serial = Serial;
  Entry.State = ClaimState::Running;
  Table.put(Send.Key, Entry);
  Actions.reportDecision(Send.Id,
                         {.Outcome = ClaimOutcome::Run, .Epoch = epoch()});
}

void ClaimHome::decideFromEntry(const ClaimSend &Send,
                                const ClaimEntry &Entry) {
  ClaimDecision Decision;
  Decision.Epoch = epoch();
  switch (Entry.State) {
  case ClaimState::Copying:
  case ClaimState::Running:
    Decision.Outcome = ClaimOutcome::Join;
    break;
  case ClaimState::Finished:
    Decision.Verdict = Verdict::Ran;
    Decision.Reason = RefusalReason::AnswerExpired;
    if (Entry.HasAnswer) {
      Decision.Outcome = ClaimOutcome::Answer;
      Decision.Reason = RefusalReason::None;
      Decision.Answer = Answers.at(Entry.Serial).Id;
    }
    break;
  case ClaimState::Unknown:
    Decision.Reason = RefusalReason::BackendFailed;
    break;
  }
  Actions.reportDecision(Send.Id, Decision);
}

bool ClaimHome::refuseByAge(const ClaimSend &Send) {
  const Duration Age = Time.wallNow() - Send.Key.createdAt();
  // The age alone is not sufficient: the wall clock may have been set back
  // after the key expired from the table.
  const bool MayBeExpired = Send.Key.createdAt() < Table.expiryWatermark();
  if (MayBeExpired || Age >= Options.KeyRetention) {
    refuse(Send, Verdict::MayHaveRun, RefusalReason::KeyExpired);
    return true;
  }
  if (Age < Duration() - MaxClockSkew) {
    refuse(Send, refusalVerdict(Send.FirstSend), RefusalReason::BadRequest);
    return true;
  }
  return false;
}

bool ClaimHome::logIsSilent() const {
  return !LatestLogReadSentAt ||
         Time.now() - *LatestLogReadSentAt >= Options.LogSilenceBound;
}

ClaimHome::Check ClaimHome::checkOrRefuse(const ClaimSend &Send) {
  const Verdict RefusalVerdict = refusalVerdict(Send.FirstSend);
  if (refuseByAge(Send))
    return Check::Refused;
  if (NewestSenderEpoch > epoch())
    return Check::Wait;
  const HomeAssignment *Owner = homes().homeOf(Send.Key);
  if (Owner == nullptr || Owner->Process != Self) {
    refuse(Send, RefusalVerdict, RefusalReason::HomeChanging);
    return Check::Refused;
  }
  if (logIsSilent()) {
    refuse(Send, RefusalVerdict, RefusalReason::LogSilent);
    return Check::Refused;
  }
  const KeyHistory History = Resolver.history(Send.Key);
  if (History == KeyHistory::MayHaveRun) {
    refuse(Send, Verdict::MayHaveRun, RefusalReason::HomeChanging);
    return Check::Refused;
  }
  if (History == KeyHistory::Unresolved || !Sync.ready())
    return Check::Wait;
  if (Table.full()) {
    refuse(Send, RefusalVerdict, RefusalReason::NodeBusy);
    return Check::Refused;
  }
  return Check::Pass;
}

bool ClaimHome::tryDecide(WaitingSend &Waiting) {
  const ClaimEntry *Entry = Table.find(Waiting.Send.Key);
  if (Waiting.Serial && Entry != nullptr && Entry->State == ClaimState::Copying)
    return false;
  Waiting.Serial.reset();
  const ClaimSend Send = Waiting.Send;
  if (Entry != nullptr) {
    decideFromEntry(Send, *Entry);
    return true;
  }
  if (Time.now() < Waiting.RetryAt)
    return false;
  const Check Result = checkOrRefuse(Send);
  if (Result != Check::Pass)
    return Result == Check::Refused;
  const std::uint64_t Serial = ++LastSerial;
  if (!Sync.link().Mirror) {
    run(Send, Serial);
    return true;
  }
  ClaimEntry Copying;
  Copying.Serial = Serial;
  Copying.State = ClaimState::Copying;
  Table.put(Send.Key, Copying);
  Waiting.Serial = Serial;
  sendCopy(Waiting);
  return false;
}

void ClaimHome::tryDecideKey(const RequestKey &Key) {
  const auto Found = WaitingSends.find(Key);
  if (Found == WaitingSends.end())
    return;
  // The node may call back from within reportDecision(), so the send is removed
  // first.
  WaitingSend Waiting = Found->second;
  WaitingSends.erase(Found);
  if (!tryDecide(Waiting))
    WaitingSends.emplace(Key, Waiting);
}

void ClaimHome::tryDecideAll() {
  std::vector<RequestKey> Keys;
  for (const auto &[Key, Waiting] : WaitingSends)
    if (!Waiting.Serial)
      Keys.push_back(Key);
  for (const RequestKey &Key : Keys)
    tryDecideKey(Key);
}

void ClaimHome::sendCopy(WaitingSend &Waiting) {
  Waiting.CopySentAt = Time.now();
  Actions.sendClaim(*Sync.link().Mirror,
                    CopyClaim{Self, epoch(), Sync.link().Since, *Waiting.Serial,
                              Waiting.Send.Key});
}

void ClaimHome::withdraw(WaitingSend &Waiting) {
  if (!Waiting.Serial)
    return;
  const ClaimEntry *Entry = Table.find(Waiting.Send.Key);
  if (Entry != nullptr && Entry->State == ClaimState::Copying)
    Table.erase(Waiting.Send.Key);
  if (Sync.link().Mirror)
    Actions.sendClaim(*Sync.link().Mirror,
                      ReleaseClaim{Self, *Waiting.Serial, Waiting.Send.Key});
  Waiting.Serial.reset();
}

void ClaimHome::expireWaiting() {
  std::vector<ClaimSend> Late;
  for (auto Position = WaitingSends.begin(); Position != WaitingSends.end();) {
    if (Position->second.Send.Deadline > Time.now()) {
      ++Position;
      continue;
    }
    withdraw(Position->second);
    Late.push_back(Position->second.Send);
    Position = WaitingSends.erase(Position);
  }
  for (const ClaimSend &Send : Late)
    refuse(Send, refusalVerdict(Send.FirstSend), RefusalReason::HomeChanging);
}

void ClaimHome::resendCopies() {
  for (auto &[Key, Waiting] : WaitingSends)
    if (Waiting.Serial &&
        Time.now() - Waiting.CopySentAt >= Options.ResendInterval)
      sendCopy(Waiting);
}

void ClaimHome::sendHandOverNotices() {
  for (const ProcessId &Process : Resolver.takeResolved())
    PendingHandOverNotices[Process] = HandOverNoticeSends;
  // A former home may exit after this message, so the mirror must already have
  // the entries received from it.
  if (!Sync.idle() ||
      Time.now() - HandOverNoticeSentAt < Options.ResendInterval)
    return;
  HandOverNoticeSentAt = Time.now();
  for (auto &[Process, Left] : PendingHandOverNotices) {
    Actions.sendClaim(Process, HandOverDone{Self, epoch()});
    --Left;
  }
  std::erase_if(PendingHandOverNotices,
                [](const auto &Entry) { return Entry.second == 0; });
}

void ClaimHome::evictAnswers() {
  while (AnswerBytes > Options.MaxAnswerBytes) {
    const auto Oldest = Answers.begin();
    AnswerBytes -= Oldest->second.Cost;
    if (ClaimEntry *Entry = Table.find(Oldest->second.Key))
      Entry->HasAnswer = false;
    const AnswerId Id = Oldest->second.Id;
    Answers.erase(Oldest);
    Actions.dropAnswer(Id);
  }
}

void ClaimHome::syncKnowledge() {
  if (SyncedRevision == Resolver.revision())
    return;
  SyncedRevision = Resolver.revision();
  Sync.setKnowledge(Resolver.knowledge());
}

} // namespace camphorpin
