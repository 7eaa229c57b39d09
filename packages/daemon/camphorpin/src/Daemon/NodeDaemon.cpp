#include "camphorpin/src/Daemon/NodeDaemon.h"

#include "camphorpin/src/Daemon/Listener.h"

#include <cerrno>
#include <chrono>
#include <cstring>
#include <future>
#include <nlohmann/json.hpp>
#include <random>

namespace camphorpin {

namespace {

constexpr std::size_t MaxRequests = 4096;
constexpr std::chrono::seconds ExplainTimeout{1};

std::uint64_t randomSeed() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

EngineOptions engineOptions(const Settings &Options, const ProcessId &Self) {
  return {.Self = Self,
          .Service = Options.Service,
          .Zone = Options.Zone,
          .Region = Options.Region,
          .Peers = Options.Peers,
          .Policies = Options.Policies,
          .HasLog = Options.LogAddress.has_value(),
          .LogRetention = Options.LogRetention,
          .MaxRequests = MaxRequests};
}

std::string bindError(const HostAddress &Address) {
  return Address.toString() + ": " + std::strerror(errno);
}

} // namespace

NodeDaemon::NodeDaemon(const Settings &Options)
    : Options(Options), Source(randomSeed()), Log(Options.Logging, Time),
      Events(MaxRequests), Self{Options.Address,
                                static_cast<std::uint64_t>(
                                    Time.wallNow().wholeMillis())},
      Datagrams(Events, Log), Front(Options.Limits, Events, Log), Admin(*this) {
}

NodeDaemon::~NodeDaemon() = default;

std::string NodeDaemon::bindAll() {
  const int Socket = listenTcp(Options.Address);
  if (Socket < 0)
    return bindError(Options.Address);
  RpcOptions Rpc{.Self = Self,
                 .Service = Options.Service,
                 .Zone = Options.Zone,
                 .Region = Options.Region,
                 .ListenSocket = Socket,
                 .MaxBody = Options.Limits.Body,
                 .ConnectionSilence = Options.ConnectionSilence};
  this->Rpc = std::make_unique<RpcThread>(Rpc, Events, Log);
  if (!Datagrams.bind(Options.Address))
    return bindError(Options.Address);
  if (!Front.bind(Options.HttpAddress))
    return bindError(Options.HttpAddress);
  if (!Admin.bind(Options.AdminAddress))
    return bindError(Options.AdminAddress);
  return {};
}

std::string NodeDaemon::start() {
  std::string Error = bindAll();
  if (!Error.empty())
    return Error;
  if (Options.Backend)
    Runners = std::make_unique<BackendRunners>(*Options.Backend, Options.Limits,
                                               Time, Events);
  if (Options.LogAddress)
    PlatformRecords =
        std::make_unique<LogThreads>(*Options.LogAddress, Events, Log);
  const DecisionPorts Ports{.Events = Events,
                            .Rpc = *Rpc,
                            .Datagrams = Datagrams,
                            .Log = Log,
                            .Statistics = Statistics,
                            .Runners = Runners.get(),
                            .PlatformRecords = PlatformRecords.get()};
  Decisions = std::make_unique<DecisionThread>(engineOptions(Options, Self),
                                               Time, Source, Ports);
  Log.write(LogEvent::NodeStarted, {{"address", Self.Address.toString()},
                                    {"service", Options.Service.string()},
                                    {"zone", Options.Zone.string()},
                                    {"region", Options.Region.string()}});
  Rpc->start();
  Datagrams.start();
  if (PlatformRecords)
    PlatformRecords->start();
  if (Runners)
    Runners->start();
  Decisions->start();
  Front.start();
  Admin.start();
  return {};
}

void NodeDaemon::drain() { Events.complete(DrainRequested{}); }

void NodeDaemon::waitForEnd() {
  Decisions->join();
  // Answers that were given are still written out by the threads below. A
  // request that arrives from now on is refused, because the queue has ended.
  Front.stop();
  Rpc->stop();
  Datagrams.stop();
  if (Runners)
    Runners->stop();
  if (PlatformRecords)
    PlatformRecords->stop();
  Admin.stop();
  Log.write(LogEvent::NodeEnded, {});
}

std::string NodeDaemon::metrics() const {
  const NodeStatus Status = Decisions->status();
  return Statistics.toText({{"camphorpin_requests_in_progress",
                             "Requests that are not answered yet.",
                             static_cast<double>(Status.InProgress)},
                            {"camphorpin_members", "Members that are present.",
                             static_cast<double>(Status.Members)}});
}

std::string NodeDaemon::status() const {
  const NodeStatus Status = Decisions->status();
  nlohmann::json Result;
  Result["state"] = Status.State;
  Result["inProgress"] = Status.InProgress;
  Result["members"] = Status.Members;
  Result["service"] = Options.Service.string();
  Result["zone"] = Options.Zone.string();
  Result["region"] = Options.Region.string();
  Result["address"] = Self.Address.toString();
  Result["incarnation"] = Self.Incarnation;
  Result["version"] = NewestProtocolVersion;
  return Result.dump();
}

std::string NodeDaemon::explain(const std::string &Service,
                                const std::string &Operation) const {
  nlohmann::json Result;
  Result["service"] = Service;
  Result["operation"] = Operation;
  ExplainRequested Event{ServiceName(Service), OperationName(Operation),
                         std::make_shared<std::promise<Explanation>>()};
  std::future<Explanation> Reply = Event.Reply->get_future();
  const bool Answered =
      isValidName(Service) && isValidName(Operation) &&
      Events.offer(std::move(Event)) &&
      Reply.wait_for(ExplainTimeout) == std::future_status::ready;
  if (!Answered)
    return Result.dump();
  const Explanation Value = Reply.get();
  Result["known"] = Value.KnownOperation;
  if (!Value.KnownOperation)
    return Result.dump();
  Result["rank"] = Value.Rank.index();
  Result["idempotent"] = Value.Idempotent;
  Result["deadlineMs"] = Value.Deadline.wholeMillis();
  Result["refusal"] = toString(Value.Refusal);
  Result["members"] = Value.Members;
  Result["homeEpoch"] = Value.HomeEpoch;
  Result["lowestAcceptedRank"] = Value.LowestAccepted.index();
  if (Value.Target)
    Result["target"] = Value.Target->toString();
  return Result.dump();
}

} // namespace camphorpin
