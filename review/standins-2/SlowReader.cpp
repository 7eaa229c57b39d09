// Clients with kept connections send some requests ahead and begin to read the
// answers late. Meanwhile other clients send large bodies.
#include "Fleet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace review;

namespace {

/// Largest answer of the kind browse-mixes in the site file.
constexpr std::size_t AnswerBytes = 9000;
constexpr int SlowClients = 2;
constexpr int RequestsAhead = 16;
/// How long a slow client reads nothing.
constexpr std::int64_t UnreadMillis = 2500;
constexpr std::int64_t DeadlineMillis = 5000;
/// When the large bodies are sent, after the requests of the slow clients.
constexpr std::int64_t UploadAtMillis = 1500;
constexpr int Uploads = 2;
/// max_body_bytes of the configuration.
constexpr std::size_t UploadBytes = 67108864;
/// Number of lost requests that the rule allows.
constexpr std::size_t AllowedLosses = 3;

/// \brief The requests of one connection and what became of them.
struct Connection {
  std::vector<std::string> Sent;
  std::set<std::string> Answered;
  bool ClosedByNode = false;
};

/// \returns a socket with the segments and the window of a link between
/// machines; those of the loopback interface are far larger.
int connectOverLink(std::uint16_t Port) {
  constexpr int SegmentBytes = 1448;
  constexpr int WindowBytes = 4096;
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::setsockopt(Socket, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes,
               sizeof(SegmentBytes));
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &WindowBytes,
               sizeof(WindowBytes));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

/// Reads answers until all have arrived, the node closes, or the deadline.
void readAnswers(int Socket, std::int64_t End, Connection &Target,
                 Record &Log) {
  std::string Bytes;
  while (Target.Answered.size() < Target.Sent.size() && nowMillis() < End) {
    if (std::optional<HttpMessage> Answer = takeMessage(Bytes)) {
      const std::string Id = Answer->header("request-id");
      Log.write("answered " + Id + " " + std::to_string(Answer->status()) +
                ", " + std::to_string(Answer->Body.size()) + " bytes");
      Target.Answered.insert(Id);
      continue;
    }
    pollfd Wait{Socket, POLLIN, 0};
    if (::poll(&Wait, 1, static_cast<int>(End - nowMillis())) <= 0)
      return;
    std::vector<char> Chunk(16384);
    const ssize_t Count = ::recv(Socket, Chunk.data(), Chunk.size(), 0);
    if (Count <= 0) {
      Target.ClosedByNode = true;
      Log.write("the node has closed the connection of " + Target.Sent.front());
      return;
    }
    Bytes.append(Chunk.data(), static_cast<std::size_t>(Count));
  }
}

void readLate(Fleet &Deployment, const Node &Gate, int Client,
              Connection &Target) {
  const int Socket = connectOverLink(Gate.outbound());
  if (Socket < 0)
    return;
  std::string Bytes;
  for (int Index = 0; Index < RequestsAhead; ++Index) {
    const std::string Id =
        "slow" + std::to_string(Client) + "-" + std::to_string(Index);
    Request Call;
    Call.Target = "/browse/mixes";
    Call.Headers = {{"Request-Id", Id},
                    {"Deadline-Ms", std::to_string(DeadlineMillis)}};
    Target.Sent.push_back(Id);
    Bytes += Call.bytes();
    Deployment.Log.write("sent " + Id + " to " + Gate.name());
  }
  const std::int64_t End = nowMillis() + DeadlineMillis;
  if (::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
      static_cast<ssize_t>(Bytes.size())) {
    if (withTrouble())
      sleepMillis(UnreadMillis);
    readAnswers(Socket, End, Target, Deployment.Log);
  }
  ::close(Socket);
}

void upload(Fleet &Deployment, const Node &Gate, int Client) {
  sleepMillis(UploadAtMillis);
  Request Call;
  Call.Method = "POST";
  Call.Target = "/reserve/lot";
  const std::string Id = "large" + std::to_string(Client);
  Call.Headers = {{"Request-Id", Id},
                  {"Deadline-Ms", std::to_string(DeadlineMillis)}};
  Call.Body.assign(UploadBytes, 'x');
  Deployment.Log.write("sent " + Id + " with " + std::to_string(UploadBytes) +
                       " bytes to " + Gate.name());
  const std::optional<HttpMessage> Answer =
      exchange(Gate.outbound(), Call, DeadlineMillis);
  Deployment.Log.write(
      "answered " + Id + " " +
      (Answer ? std::to_string(Answer->status()) : std::string("nothing")));
}

/// \returns the requests that ran and whose connection the node has closed
/// without an answer.
std::size_t lostRequests(const std::vector<Connection> &Connections,
                         const std::vector<Run> &Runs) {
  std::set<std::string> Ran;
  for (const Run &Item : Runs)
    Ran.insert(Item.RequestId);
  std::size_t Result = 0;
  for (const Connection &Item : Connections)
    if (Item.ClosedByNode)
      Result += static_cast<std::size_t>(std::count_if(
          Item.Sent.begin(), Item.Sent.end(), [&](const std::string &Id) {
            return Ran.contains(Id) && !Item.Answered.contains(Id);
          }));
  return Result;
}

/// \returns the exit status.
int play(Fleet &Deployment) {
  constexpr unsigned Slots = 152;
  constexpr std::int64_t WorkMillis = 90;
  const Node &Gate = *Deployment.add("orders", 'a', Slots, WorkMillis).Gate;
  Worker &Catalogue = *Deployment.add("catalogue", 'a', Slots, WorkMillis).App;
  Deployment.add("lots", 'b', Slots, WorkMillis);
  Catalogue.setAnswerBytes(AnswerBytes);
  if (!Deployment.start(configuration(
          7,
          {{"browse", "/browse/", "catalogue"},
           {"reserve", "/reserve/", "lots", 5000, 3000, "non_idempotent"}},
          {"catalogue", "lots", "orders"})))
    return CouldNotRun;
  std::vector<Connection> Connections(SlowClients);
  std::vector<std::thread> Clients;
  Clients.reserve(SlowClients + Uploads);
  for (int Index = 0; Index < SlowClients; ++Index)
    Clients.emplace_back([&Deployment, &Gate, &Connections, Index] {
      readLate(Deployment, Gate, Index,
               Connections[static_cast<std::size_t>(Index)]);
    });
  for (int Index = 0; Index < Uploads; ++Index)
    Clients.emplace_back(
        [&Deployment, &Gate, Index] { upload(Deployment, Gate, Index); });
  for (std::thread &Item : Clients)
    Item.join();
  const std::vector<Run> Runs = Catalogue.runs();
  constexpr std::size_t Expected =
      static_cast<std::size_t>(SlowClients) * RequestsAhead;
  if (Runs.size() != Expected)
    return CouldNotRun;
  const std::size_t Lost = lostRequests(Connections, Runs);
  const std::string Line =
      std::to_string(Lost) + " of " + std::to_string(Runs.size()) +
      " requests that ran ended with a connection that the node closed without "
      "their answer";
  Deployment.Log.write(Line);
  std::cout << Line << "\n";
  return Lost > AllowedLosses ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  Fleet Deployment(caseFolder(Count, Arguments));
  Deployment.end(play(Deployment));
}
