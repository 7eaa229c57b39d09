#include "camphorpin/src/Gateway/PeerNetwork.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <vector>

namespace camphorpin {

namespace {

/// How long a connection without calls is kept. Nodes that call each other do
/// so more often; the others only receive updates.
constexpr Duration IdleTimeout = Duration::seconds(60);
/// EWMA weight of the latest call in the message size of its route.
constexpr double BytesWeight = 0.1;

} // namespace

PeerNetwork::PeerNetwork(EventLoop &Loop, const Clock &Time,
                         Random &RandomSource, const GatewaySettings &Settings,
                         BackendProxy &Proxy, PeerClientListener &Listener)
    : Loop(Loop), Time(Time), RandomSource(RandomSource), Settings(Settings),
      Proxy(Proxy), Listener(Listener), Selector(RandomSource) {}

bool PeerNetwork::add(const NodeRecord &Record) {
  if (!Directory.add(Record))
    return false;
  const auto Found = Clients.find(Record.Node);
  if (Found != Clients.end() &&
      (Record.Departed || Found->second->address() != Record.Address) &&
      Found->second->outstanding() == 0)
    Clients.erase(Found);
  RouteTimes.erase(Record.Node);
  return true;
}

PeerClient &PeerNetwork::client(const NodeRecord &Record) {
  std::unique_ptr<PeerClient> &Client = Clients[Record.Node];
  // A client with calls on their way is replaced once they have ended.
  const bool Moved = Client && Client->address() != Record.Address &&
                     Client->outstanding() == 0;
  if (!Client || Moved)
    Client = std::make_unique<PeerClient>(Loop, Time, Record.Node,
                                          Record.Address, Listener);
  return *Client;
}

void PeerNetwork::recordAnswer(const std::string &Node,
                               const std::string &Route, std::size_t Bytes,
                               const PeerAnswer &Answer) {
  if (Answer.RouteTime > Duration())
    RouteTimes[Node][Route] = Answer.RouteTime;
  if (Answer.Outcome != CallOutcome::Answered)
    return;
  const double Sample =
      static_cast<double>(Bytes + Answer.Head.size() + Answer.Body.size());
  double &Smoothed = RouteBytes[Route];
  Smoothed += BytesWeight * (Sample - Smoothed);
}

PeerCandidate PeerNetwork::candidate(const NodeRecord &Record,
                                     const std::string &Route) {
  PeerCandidate Result;
  Result.Node = Record.Node;
  const auto Times = RouteTimes.find(Record.Node);
  if (Times != RouteTimes.end()) {
    const auto Time = Times->second.find(Route);
    if (Time != Times->second.end())
      Result.RouteTime = Time->second;
  }
  Result.SameZone = Record.Zone == Settings.Zone;
  if (Record.Node == Settings.Node) {
    Result.Local = true;
    Result.StatusKnown = true;
    Result.Status = Proxy.status();
    return Result;
  }
  const PeerClient &Client = client(Record);
  Result.Usable = Client.usable();
  Result.Reconnecting = Client.reconnecting();
  Result.StatusKnown = Client.statusKnown();
  Result.Status = Client.status();
  Result.StatusAge = Client.statusAge();
  Result.Outstanding = Client.outstanding();
  return Result;
}

std::string PeerNetwork::choose(std::string_view Service,
                                const RouteRule &Route,
                                std::span<const std::string> Tried) {
  std::vector<PeerCandidate> Candidates;
  for (const NodeRecord *Record : Directory.nodesOf(Service)) {
    PeerCandidate Item = candidate(*Record, Route.Name);
    Item.Tried =
        std::find(Tried.begin(), Tried.end(), Item.Node) != Tried.end();
    Candidates.push_back(std::move(Item));
  }
  const std::optional<std::size_t> Best = Selector.choose(
      Candidates, {Route.Rank, Route.Objective, RouteBytes[Route.Name]});
  return Best ? Candidates[*Best].Node : std::string();
}

void PeerNetwork::call(const std::string &Node, PeerCall Call,
                       BackendProxy::AnswerCallback Done) {
  if (Node == Settings.Node) {
    const std::uint64_t Id = Call.Id;
    // The answer is delivered in a later iteration of the loop, as for a remote
    // node.
    const std::uint64_t RunId = Proxy.submit(
        std::move(Call), [this, Id, Done = std::move(Done)](PeerAnswer Answer) {
          LocalRuns.erase(Id);
          boost::asio::post(Loop, [Done, Answer = std::move(Answer)]() mutable {
            Done(std::move(Answer));
          });
        });
    LocalRuns[Id] = RunId;
    return;
  }
  const auto Found = Directory.all().find(Node);
  if (Found != Directory.all().end())
    client(Found->second).call(std::move(Call), std::move(Done));
}

void PeerNetwork::cancel(const std::string &Node, std::uint64_t Id) {
  if (Node == Settings.Node) {
    const auto Found = LocalRuns.find(Id);
    if (Found == LocalRuns.end())
      return;
    Proxy.cancel(Found->second);
    LocalRuns.erase(Found);
    return;
  }
  const auto Found = Clients.find(Node);
  if (Found != Clients.end())
    Found->second->cancel(Id);
}

std::size_t PeerNetwork::connected() const {
  return static_cast<std::size_t>(
      std::count_if(Clients.begin(), Clients.end(), [](const auto &Entry) {
        return Entry.second->connected();
      }));
}

void PeerNetwork::broadcast(const PeerFrame &Frame) {
  for (const auto &[Node, Client] : Clients)
    Client->send(Frame);
}

void PeerNetwork::send(const std::string &Node, const PeerFrame &Frame) {
  const auto Found = Directory.all().find(Node);
  if (Found == Directory.all().end() || Node == Settings.Node)
    return;
  PeerClient &Target = client(Found->second);
  if (const auto *Poll = std::get_if<PeerPoll>(&Frame))
    Target.poll(*Poll);
  else if (Target.connected())
    Target.send(Frame);
  else
    Target.open();
}

bool PeerNetwork::reachable(const std::string &Node) const {
  const auto Found = Clients.find(Node);
  return Found == Clients.end() || !Found->second->reconnecting();
}

void PeerNetwork::tick() {
  const Instant Now = Time.now();
  std::erase_if(Clients, [Now](const auto &Entry) {
    const PeerClient &Client = *Entry.second;
    return Client.outstanding() == 0 && Now - Client.lastUse() > IdleTimeout;
  });
}

} // namespace camphorpin
