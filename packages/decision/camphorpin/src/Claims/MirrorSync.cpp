#include "camphorpin/src/Claims/MirrorSync.h"

#include <algorithm>
#include <utility>

namespace camphorpin {

void MirrorSync::setMirror(const MirrorLink &NewLink, Epoch NewEpoch) {
  EpochRejected = false;
  CurrentEpoch = NewEpoch;
  const bool IsNew = NewLink != Link;
  if (IsNew || !Ready) {
    Link = NewLink;
    Ready = false;
    FullTableSent = false;
    KnowledgeChanged = true;
    Cursor = RequestKey();
    Queue.clear();
  } else if (InFlight) {
    Queue.insert(Queue.begin(), InFlight->Entries.begin(),
                 InFlight->Entries.end());
    KnowledgeChanged = true;
  }
  InFlight.reset();
}

void MirrorSync::enqueue(std::span<const TransferEntry> Entries) {
  // The transfer of the full table may already have passed these keys.
  if (Link.Mirror)
    Queue.insert(Queue.end(), Entries.begin(), Entries.end());
}

void MirrorSync::setKnowledge(const ClaimKnowledge &NewKnowledge) {
  Knowledge = NewKnowledge;
  KnowledgeChanged = true;
}

void MirrorSync::onMessage(const SyncAnswer &Message, Instant Now) {
  if (!InFlight || Message.SyncId != InFlight->SyncId ||
      Message.Page != InFlight->Page || Link.Mirror != Message.Mirror)
    return;
  if (!Message.Accepted) {
    EpochRejected = true;
    return;
  }
  const bool WasLast = InFlight->Last;
  const std::uint32_t Page = InFlight->Page;
  InFlight.reset();
  if (!WasLast) {
    fillPage();
    InFlight->Page = Page + 1;
    transmit(Now);
    return;
  }
  Ready = true;
  sendNext(Now);
}

void MirrorSync::tick(Instant Now) {
  if (!Link.Mirror || EpochRejected)
    return;
  if (!InFlight)
    sendNext(Now);
  else if (Now - SentAt >= Options.ResendInterval)
    transmit(Now);
}

bool MirrorSync::ready() const { return !Link.Mirror || Ready; }

bool MirrorSync::idle() const {
  return !Link.Mirror || (Ready && !InFlight && !hasUnsentData());
}

void MirrorSync::sendNext(Instant Now) {
  if (!hasUnsentData())
    return;
  ++LastSyncId;
  fillPage();
  transmit(Now);
}

void MirrorSync::fillPage() {
  SyncPage Page;
  Page.Home = Self;
  Page.Epoch = CurrentEpoch;
  Page.LinkSince = Link.Since;
  Page.SyncId = LastSyncId;
  if (!FullTableSent) {
    EntryPage Part = Table.page(Cursor, Options.PageEntries,
                                [](const RequestKey &) { return true; });
    Page.Entries = std::move(Part.Entries);
    if (!Page.Entries.empty())
      Cursor = Page.Entries.back().Key;
    FullTableSent = !Part.More;
  }
  while (FullTableSent && !Queue.empty() &&
         Page.Entries.size() < Options.PageEntries) {
    Page.Entries.push_back(Queue.front());
    Queue.pop_front();
  }
  Page.Last = FullTableSent && Queue.empty();
  if (Page.Last) {
    Page.Knowledge = Knowledge;
    KnowledgeChanged = false;
  }
  InFlight = std::move(Page);
}

void MirrorSync::transmit(Instant Now) {
  SentAt = Now;
  Actions.sendClaim(*Link.Mirror, *InFlight);
}

} // namespace camphorpin
