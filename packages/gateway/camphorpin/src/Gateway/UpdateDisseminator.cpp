#include "camphorpin/src/Gateway/UpdateDisseminator.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace camphorpin {

namespace {

/// Updates within this time are announced to followers together.
constexpr Duration FollowerNotifyDelay = Duration::millis(20);
/// Delay before a node that reads the store notifies the other readers, plus a
/// random delay of up to the same length. Nearly all of them have read the
/// update themselves by then.
constexpr Duration ReaderNotifyDelay = Duration::millis(100);
/// How long a node that can read the store waits for its own read when a peer
/// has announced a newer configuration.
constexpr Duration ConfigurationReadGrace = Duration::millis(250);
/// The same for members, whose reads are delayed for batching.
constexpr Duration MembersReadGrace = Duration::seconds(1);
/// Member updates within this time are requested together.
constexpr Duration MembersBatchDelay = Duration::millis(50);
/// Longer than an answer takes, so that nothing is requested twice.
constexpr Duration RequestRetryInterval = Duration::millis(200);
/// Interval between polls of the other readers.
constexpr Duration ReaderPollInterval = Duration::seconds(1);
/// A node that has not polled for this long no longer counts as a follower.
constexpr Duration FollowerTimeout = Duration::seconds(2);

} // namespace

UpdateDisseminator::UpdateDisseminator(const Clock &Time, Random &RandomSource,
                                       DisseminatorContext &Context,
                                       std::string Self, std::string Zone)
    : Time(Time), RandomSource(RandomSource), Context(Context), Self(Self),
      Topology(std::move(Self), std::move(Zone), Time.now()),
      LastConfigurationRequest(Time.now() - RequestRetryInterval),
      LastReaderPoll(Time.now()) {}

PeerUpdateRequest UpdateDisseminator::request() const {
  const PeerDigest Known = Context.known();
  const BucketDigests &Buckets = Context.directory().bucketDigests();
  return {Known.Configuration, Known.Members, {Buckets.begin(), Buckets.end()}};
}

PeerUpdateRequest UpdateDisseminator::configurationRequest() const {
  // A member digest of 0 requests no members.
  return {Context.known().Configuration, 0, {}};
}

bool UpdateDisseminator::current() const {
  const Instant Now = Time.now();
  return (StoreReachable && Topology.shouldReadStore(Now)) ||
         Topology.followsCurrentNode(Now);
}

bool UpdateDisseminator::isolated() const {
  return Topology.shouldReadStore(Time.now()) && !current();
}

void UpdateDisseminator::onStoreReachability(bool Reachable) {
  StoreReachable = Reachable;
}

void UpdateDisseminator::onStateChanged() {
  const Instant Now = Time.now();
  if (!FollowerNotifyDue)
    FollowerNotifyDue = Now + FollowerNotifyDelay;
  if (!ReaderNotifyDue && Topology.shouldReadStore(Now))
    ReaderNotifyDue = Now + ReaderNotifyDelay * (1 + RandomSource.uniform01());
  scheduleTimer();
}

void UpdateDisseminator::onNotice(const std::string &Node,
                                  const PeerDigest &Notice) {
  const PeerDigest Known = Context.known();
  if (Notice.Configuration > Known.Configuration)
    scheduleConfigurationRequest(Node, Notice);
  // A member digest of 0 means that the notice contains none.
  if (Notice.Members != 0 && Notice.Members != Known.Members)
    scheduleMembersRequest(Node, Notice);
}

void UpdateDisseminator::scheduleConfigurationRequest(
    const std::string &Node, const PeerDigest &Notice) {
  if (Configuration)
    return;
  const Instant Now = Time.now();
  // A node without a configuration refuses all requests, so it doesn't wait.
  const bool Waits = StoreReachable && Topology.shouldReadStore(Now) &&
                     Context.known().Configuration != 0;
  Configuration = PendingRequest{
      Node, Notice, Now + (Waits ? ConfigurationReadGrace : Duration())};
  scheduleTimer();
}

void UpdateDisseminator::scheduleMembersRequest(const std::string &Node,
                                                const PeerDigest &Notice) {
  const std::optional<Duration> Delay = membersRequestDelay(Node);
  if (Members || !Delay)
    return;
  Members = PendingRequest{Node, Notice, Time.now() + *Delay};
  scheduleTimer();
}

std::optional<Duration>
UpdateDisseminator::membersRequestDelay(const std::string &Node) const {
  const std::vector<std::string> &Followed = Topology.followed();
  if (std::find(Followed.begin(), Followed.end(), Node) != Followed.end())
    return MembersBatchDelay;
  if (isolated())
    return MembersBatchDelay;
  // The digest of a follower or of another reader usually differs because that
  // node lacks records, which it gets by itself, or because this node has not
  // read the latest ones yet. If the digests still differ after the delay, the
  // other node has records that the store lacks.
  if (Followers.contains(Node) || (Followed.empty() && isReader(Node)))
    return MembersReadGrace;
  return std::nullopt;
}

bool UpdateDisseminator::isReader(const std::string &Node) const {
  const std::vector<std::string> &Readers = Topology.readers();
  return std::find(Readers.begin(), Readers.end(), Node) != Readers.end();
}

ReaderRole UpdateDisseminator::readerRole() const {
  ReaderRole Role;
  Role.Readers = 0;
  std::optional<std::size_t> Position;
  for (const std::string &Node : Topology.readers()) {
    if (Node != Self && !Context.reachable(Node))
      continue;
    if (Node == Self)
      Position = Role.Readers;
    ++Role.Readers;
  }
  Role.Readers = std::max<std::size_t>(1, Role.Readers);
  Role.Position = Position.value_or(RandomSource.below(Role.Readers));
  Role.Designated = Topology.followed().empty();
  return Role;
}

PeerPollAnswer UpdateDisseminator::onPoll(const std::string &Node,
                                          const PeerDigest &Notice) {
  Followers[Node] = Time.now();
  onNotice(Node, Notice);
  return {Context.known(), current()};
}

void UpdateDisseminator::onPollAnswer(const std::string &Node,
                                      const PeerPollAnswer &Answer) {
  Topology.onAnswer(Node, Answer.Current, Time.now());
  onNotice(Node, Answer.Digest);
  scheduleTimer();
}

void UpdateDisseminator::onTimer() {
  const Instant Now = Time.now();
  sendDueRequests(Now);
  announce(Now);
  scheduleTimer();
}

void UpdateDisseminator::sendDueRequests(Instant Now) {
  const PeerDigest Known = Context.known();
  const auto TakeDue = [Now](std::optional<PendingRequest> &Item) {
    if (!Item || Item->Due > Now)
      return std::optional<PendingRequest>();
    return std::exchange(Item, std::nullopt);
  };
  std::optional<PendingRequest> DueMembers = TakeDue(Members);
  if (DueMembers && DueMembers->Notice.Members != Known.Members) {
    // The answer also contains the newer configuration.
    if (DueMembers->Notice.Configuration > Known.Configuration)
      LastConfigurationRequest = Now;
    Context.send(DueMembers->From, request());
  }
  std::optional<PendingRequest> DueConfiguration = TakeDue(Configuration);
  if (!DueConfiguration ||
      DueConfiguration->Notice.Configuration <= Known.Configuration)
    return;
  if (Now - LastConfigurationRequest < RequestRetryInterval) {
    DueConfiguration->Due = LastConfigurationRequest + RequestRetryInterval;
    Configuration = std::move(DueConfiguration);
    return;
  }
  LastConfigurationRequest = Now;
  Context.send(DueConfiguration->From, configurationRequest());
}

void UpdateDisseminator::announce(Instant Now) {
  const PeerDigest Known = Context.known();
  if (FollowerNotifyDue && *FollowerNotifyDue <= Now) {
    FollowerNotifyDue.reset();
    sendToFollowers(Known);
  }
  if (ReaderNotifyDue && *ReaderNotifyDue <= Now) {
    ReaderNotifyDue.reset();
    sendToOtherReaders(Known);
  }
}

void UpdateDisseminator::sendToFollowers(const PeerFrame &Frame) {
  for (const auto &[Node, Polled] : Followers)
    Context.sendToInboundPeer(Node, Frame);
}

void UpdateDisseminator::sendToOtherReaders(const PeerFrame &Frame) {
  for (const std::string &Node : Topology.readers())
    if (Node != Self && !Followers.contains(Node))
      Context.send(Node, Frame);
}

void UpdateDisseminator::forward(const PeerFrame &Frame) {
  sendToFollowers(Frame);
  for (const std::string &Node : Topology.followed())
    Context.send(Node, Frame);
  if (Topology.followed().empty())
    sendToOtherReaders(Frame);
}

void UpdateDisseminator::scheduleTimer() {
  const Instant Now = Time.now();
  Instant Next = Instant::never();
  const auto Consider = [&Next](const std::optional<Instant> &Due) {
    if (Due)
      Next = std::min(Next, *Due);
  };
  Consider(FollowerNotifyDue);
  Consider(ReaderNotifyDue);
  if (Configuration)
    Consider(Configuration->Due);
  if (Members)
    Consider(Members->Due);
  const Instant StoreReadDue = Topology.storeReadDue(Now);
  if (StoreReadDue > Now)
    Consider(StoreReadDue);
  if (Next != Instant::never())
    Context.scheduleWakeup(std::max(Duration(), Next - Now));
}

void UpdateDisseminator::poll() {
  Topology.update(Context.directory(), [this](const std::string &Node) {
    return Context.reachable(Node);
  });
  const PeerPoll Poll{Context.known()};
  for (const std::string &Node : Topology.followed())
    Context.send(Node, Poll);
}

void UpdateDisseminator::pollReaders(Instant Now) {
  if (!Topology.followed().empty() || Now - LastReaderPoll < ReaderPollInterval)
    return;
  LastReaderPoll = Now;
  const PeerPoll Poll{Context.known()};
  for (const std::string &Node : Topology.readers())
    if (Node != Self)
      Context.send(Node, Poll);
}

void UpdateDisseminator::requestFromRandomPeer() {
  const PeerUpdateRequest Request =
      isolated() ? request() : configurationRequest();
  std::vector<const std::string *> Others;
  for (const auto &[Node, Record] : Context.directory().all())
    if (!Record.Departed && Node != Self)
      Others.push_back(&Node);
  if (!Others.empty())
    Context.send(*Others[RandomSource.below(Others.size())], Request);
  // A node that has just started knows no other nodes, but others connect to
  // it.
  Context.sendToAnyInboundPeer(Request);
}

void UpdateDisseminator::tick() {
  const Instant Now = Time.now();
  std::erase_if(Followers, [Now](const auto &Entry) {
    return Now - Entry.second > FollowerTimeout;
  });
  poll();
  pollReaders(Now);
  if (isolated() || Context.known().Configuration == 0)
    requestFromRandomPeer();
  scheduleTimer();
}

} // namespace camphorpin
