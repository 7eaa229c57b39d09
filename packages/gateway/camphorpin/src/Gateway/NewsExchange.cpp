#include "camphorpin/src/Gateway/NewsExchange.h"

namespace camphorpin {

namespace {

/// Nodes that are told of something new. With four, a few rounds reach every
/// node of a fleet of thousands with near certainty.
constexpr int Fanout = 4;
/// How long a node waits before it tells others, plus a random part of the same
/// length. In this time the store itself reaches nearly all nodes.
constexpr Duration AnnounceDelay = Duration::millis(100);
/// How long a node that a peer has told of something new waits for the store
/// before it asks the peer.
constexpr Duration AskDelay = Duration::millis(250);
/// How often a node without the store asks a peer.
constexpr Duration AskInterval = Duration::millis(400);

} // namespace

NewsExchange::NewsExchange(EventLoop &Loop, const Clock &Time, Random &Source,
                           PeerNetwork &Network, PeerServer &Peers,
                           std::function<PeerNotice()> State)
    : Time(Time), Source(Source), Network(Network), Peers(Peers),
      State(std::move(State)), AnnounceTimer(Loop), AskTimer(Loop) {}

PeerNewsRequest NewsExchange::request() const {
  const PeerNotice Known = State();
  const DirectoryParts &Parts = Network.directory().parts();
  return {Known.Configuration, Known.Members, {Parts.begin(), Parts.end()}};
}

bool NewsExchange::lacks(const PeerNotice &Told) const {
  const PeerNotice Known = State();
  return Told.Configuration > Known.Configuration ||
         (Told.Members != 0 && Told.Members != Known.Members);
}

void NewsExchange::onLearned() {
  if (Announcing)
    return;
  Announcing = true;
  AnnounceTimer.expires_after(
      detail::timerSpan(AnnounceDelay * (1 + Source.unit())));
  AnnounceTimer.async_wait([this](const boost::system::error_code &Error) {
    Announcing = false;
    if (!Error)
      announce();
  });
}

void NewsExchange::announce() {
  const PeerNotice Known = State();
  for (int Count = 0; Count < Fanout; ++Count)
    Network.sendToAny(Known);
}

void NewsExchange::onNotice(const std::string &Node, const PeerNotice &Told) {
  if (!lacks(Told))
    return;
  Wanted = Told;
  WantedFrom = Node;
  // A node that knows no configuration refuses all requests, so it doesn't
  // wait for the store.
  const bool Urgent = State().Configuration == 0;
  if (Urgent && Time.now() - LastRequest >= AnnounceDelay) {
    askWanted();
    return;
  }
  if (Asking)
    return;
  Asking = true;
  AskTimer.expires_after(detail::timerSpan(AskDelay));
  AskTimer.async_wait([this](const boost::system::error_code &Error) {
    Asking = false;
    if (!Error && lacks(Wanted))
      askWanted();
  });
}

void NewsExchange::askWanted() {
  LastRequest = Time.now();
  Network.send(WantedFrom, request());
}

void NewsExchange::tick(bool StoreAway) {
  const Instant Now = Time.now();
  if (!StoreAway || Now - LastRequest < AskInterval)
    return;
  LastRequest = Now;
  const PeerNewsRequest Request = request();
  Network.sendToAny(Request);
  // A node that has just started knows no other, but others call it.
  Peers.sendToAny(Request, Source);
}

} // namespace camphorpin
