#include "camphorpin/src/Claims/ClaimMirror.h"

#include <algorithm>
#include <utility>

namespace camphorpin {

void ClaimMirror::adopt(const HomeSet &NewSet) {
  if (NewSet.epoch() <= Set.epoch())
    return;
  Set = NewSet;
  // A home that is not listed cannot start any key. A replica of an epoch that
  // this process has not read yet is kept.
  std::erase_if(Replicas, [this](const auto &Entry) {
    return Entry.second.LinkSince <= Set.epoch() &&
           Set.mirrorHistory(Entry.first).Links.empty();
  });
}

void ClaimMirror::onMessage(const CopyClaim &Message) {
  const auto Known = Replicas.find(Message.Home);
  if (Known == Replicas.end()) {
    Actions.sendClaim(Message.Home,
                      CopyAnswer{Self, Message.Serial, Message.Key, false});
    return;
  }
  Replica &Copy = Known->second;
  const ClaimEntry *Present = Copy.Table.find(Message.Key);
  const bool Open = Copy.Complete && Message.LinkSince == Copy.LinkSince &&
                    Message.Epoch >= Copy.FencedBelow;
  const bool Accepted = Open && (Present != nullptr || !Copy.Table.full());
  if (Accepted && (Present == nullptr || Present->Serial < Message.Serial)) {
    ClaimEntry Entry;
    Entry.Serial = Message.Serial;
    Copy.Table.put(Message.Key, Entry);
  }
  Actions.sendClaim(Message.Home,
                    CopyAnswer{Self, Message.Serial, Message.Key, Accepted});
}

void ClaimMirror::onMessage(const ReleaseClaim &Message) {
  const auto Found = Replicas.find(Message.Home);
  if (Found == Replicas.end())
    return;
  // The home may have claimed the key again since.
  const ClaimEntry *Entry = Found->second.Table.find(Message.Key);
  if (Entry != nullptr && Entry->Serial == Message.Serial)
    Found->second.Table.erase(Message.Key);
}

void ClaimMirror::onMessage(const SyncPage &Message) {
  Replica &Copy = replica(Message.Home);
  const bool IsFenced = Message.Epoch < Copy.FencedBelow;
  const bool Outdated =
      Message.SyncId < Copy.SyncId || Message.LinkSince < Copy.LinkSince;
  const bool Starts = Message.SyncId > Copy.SyncId && Message.Page == 0;
  const bool Continues =
      Message.SyncId == Copy.SyncId && Message.Page <= Copy.NextPage;
  SyncAnswer Answer{Self, Message.SyncId, Message.Page, !IsFenced};
  if (Outdated || (!IsFenced && !Starts && !Continues))
    return;
  const bool Repeated = !Starts && Message.Page < Copy.NextPage;
  if (!IsFenced && !Repeated) {
    Copy.Table.merge(Message.Entries);
    Copy.SyncId = Message.SyncId;
    Copy.NextPage = Message.Page + 1;
    if (Message.Last) {
      Copy.Complete = true;
      Copy.LinkSince = Message.LinkSince;
      Copy.Knowledge = Message.Knowledge;
    }
  }
  Actions.sendClaim(Message.Home, Answer);
}

void ClaimMirror::onMessage(const ResolveRequest &Message) {
  // The entries must be selected with the home set of the requested epoch. With
  // another one, an entry of a key that changes its home twice would be missed.
  if (Message.LinkSince == 0 || Message.Epoch != Set.epoch())
    return;
  Replica &Copy = replica(Message.Home);
  Copy.FencedBelow = std::max(Copy.FencedBelow, Message.Epoch);
  ResolvePage Page;
  Page.Home = Message.Home;
  Page.Epoch = Message.Epoch;
  Page.LinkSince = Message.LinkSince;
  Page.After = Message.After;
  Page.Complete = Copy.Complete && Copy.LinkSince >= Message.LinkSince;
  if (Page.Complete) {
    EntryPage Found = Copy.Table.page(
        Message.After, Options.PageEntries,
        [this, &Message](const RequestKey &Key) {
          const HomeAssignment *Owner = Set.homeOf(Key);
          return Owner != nullptr && Owner->Process == Message.Requester;
        });
    Page.Entries = std::move(Found.Entries);
    Page.More = Found.More;
    Page.Knowledge = Copy.Knowledge;
  }
  Actions.sendClaim(Message.Requester, Page);
}

void ClaimMirror::tick() {
  const Instant Oldest = Time.wallNow() - Options.tableRetention();
  for (auto &[Home, Copy] : Replicas)
    Copy.Table.expireBefore(Oldest);
}

std::size_t ClaimMirror::keyCount() const {
  std::size_t Sum = 0;
  for (const auto &[Home, Copy] : Replicas)
    Sum += Copy.Table.size();
  return Sum;
}

ClaimMirror::Replica &ClaimMirror::replica(const ProcessId &Home) {
  const auto Found = Replicas.find(Home);
  if (Found != Replicas.end())
    return Found->second;
  return Replicas.emplace(Home, Replica{ClaimTable(Options.MaxKeys)})
      .first->second;
}

} // namespace camphorpin
