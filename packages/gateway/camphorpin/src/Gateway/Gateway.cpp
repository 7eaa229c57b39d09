#include "camphorpin/src/Gateway/Gateway.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

namespace camphorpin {

namespace {

/// Lines of one event in a second. A refusal or failure has a line of its own
/// up to a rate at which a node's share of the fleet's load fails as a whole.
constexpr std::uint32_t LinesPerSecond = 200;
constexpr Duration TickInterval = UpdateDisseminator::PollInterval;
/// How often the settings are read again: they may change without a signal.
constexpr Duration ReloadInterval = Duration::seconds(5);
/// While draining, callers still come until the platform has seen twice that
/// the node is not ready. Until then the gate serves as before, so that a
/// rolling restart takes the backend server's capacity away only briefly.
constexpr Duration GateServesInDrain = Duration::millis(2000);
/// From then on new requests are refused: they might not end before the stop
/// grace does.
constexpr Duration EntryServesInDrain = Duration::millis(2800);
/// When a caller that was refused by a stopping node may come back: the time
/// that a restart takes.
constexpr Duration RestartSpan = Duration::millis(1500);
constexpr Duration LingerAfterDrain = Duration::millis(3000);
constexpr Duration DrainCheckInterval = Duration::millis(100);
/// Part of the stop grace after which remaining requests are given up.
constexpr double DrainPart = 0.9;

} // namespace

std::vector<Gauge> Gateway::gauges() const {
  const GateStatus Status = Gate.status();
  const LogCounts Lines = Log.counts();
  const auto Number = [](auto Value) { return static_cast<double>(Value); };
  return {
      {"camphorpin_configuration_version", "Version in force.",
       Number(Configuration.Version)},
      {"camphorpin_store_reachable", "1 if both feeds could be read last.",
       ConfigurationReader.reachable() && MemberReader.reachable() ? 1.0 : 0.0},
      {"camphorpin_store_read", "1 if this node reads the store itself.",
       Exchange.shouldReadStore() ? 1.0 : 0.0},
      {"camphorpin_current",
       "1 if the store, or a node that this one follows, answers.",
       Exchange.current() ? 1.0 : 0.0},
      {"camphorpin_nodes", "Nodes that are known and have not departed.",
       Number(Network.nodes())},
      {"camphorpin_connected_peers", "Gates to which a connection is open.",
       Number(Network.connected())},
      {"camphorpin_backend_available",
       "1 if the backend server takes requests.", Status.Available ? 1.0 : 0.0},
      {"camphorpin_gate_running", "Requests that run on the backend server.",
       Number(Status.Running)},
      {"camphorpin_gate_queued", "Requests that wait for a slot.",
       Number(Status.Queued)},
      {"camphorpin_gate_slots", "Slots of the backend server.",
       Number(Status.Limit)},
      {"camphorpin_gate_service_ms", "Smoothed service time.",
       Status.ServiceTime.toMillis()},
      {"camphorpin_gate_fault_part",
       "Smoothed part of the runs that the backend server failed.",
       Status.FaultPart},
      {"camphorpin_entry_active", "Requests of callers without an answer.",
       Number(Entry.active())},
      {"camphorpin_draining", "1 while the node stops.", Draining ? 1.0 : 0.0},
      {"camphorpin_log_lines_written", "Log lines since the start.",
       Number(Lines.Written)},
      {"camphorpin_log_lines_left_out",
       "Log lines over the bound of their event.", Number(Lines.LeftOut)},
      {"camphorpin_log_lines_lost",
       "Log lines that the standard output did not take.", Number(Lines.Lost)}};
}

Gateway::Gateway(const GatewaySettings &Options,
                 const PlatformProtocol &Protocol, SettingsSource *Reloads)
    : Settings(Options), Protocol(Protocol), Reloads(Reloads), Loop(1),
      Source(std::random_device()()),
      Log(Settings.Logging, Time, LinesPerSecond),
      Incarnation(static_cast<std::uint64_t>(Time.wallNow().wholeMillis())),
      Gate(Loop, Time, Settings, Protocol, Log),
      Network(Loop, Time, Source, Settings, Gate, *this),
      Entry(Loop, Time, Source, Settings, Protocol, Network, Gate, Log, Values),
      Peers(Loop, Time, Gate, *this),
      Carrier(
          Loop, Source, Network, Peers, [this] { return notice(); },
          [this] {
            Exchange.onTimer();
            followStore();
          }),
      Exchange(Time, Source, Carrier, Settings.Node, Settings.Zone),
      ReadyPage(Protocol, [this] { return ready(); }),
      Reports(Protocol, Gate, Log),
      MetricsPage(Values, [this] { return gauges(); }), CallServer(Loop, Entry),
      ReadyServer(Loop, ReadyPage), ReportServer(Loop, Reports),
      MetricsServer(Loop, MetricsPage),
      ConfigurationReader(Loop, Source, Settings.StoreAddress, Protocol,
                          StoreFeed::Configuration, *this),
      MemberReader(Loop, Source, Settings.StoreAddress, Protocol,
                   StoreFeed::Members, *this),
      MemberWriter(Loop, Source, Settings.StoreAddress, Protocol,
                   StoreFeed::Members),
      Signals(Loop, SIGTERM, SIGINT, SIGHUP), TickTimer(Loop) {}

std::string Gateway::start() {
  std::string Error = Peers.listen(Settings.PeerAddress);
  if (Error.empty())
    Error = CallServer.listen(Settings.CallAddress);
  if (Error.empty())
    Error = ReadyServer.listen(Settings.ReadyAddress);
  if (Error.empty())
    Error = ReportServer.listen(Settings.ReportAddress);
  if (Error.empty() && Settings.MetricsAddress)
    Error = MetricsServer.listen(*Settings.MetricsAddress);
  if (!Error.empty())
    return Error;
  Gate.onStatusChange([this] { Peers.announce(); });
  Gate.onCrash([this](const PeerCrashes &Crashes) {
    Peers.broadcast(Crashes);
    Network.broadcast(Crashes);
  });
  Log.write(LogEvent::NodeStarted,
            {{"address", Settings.PeerAddress.toString()},
             {"service", Settings.Service},
             {"zone", Settings.Zone},
             {"region", ""}});
  ConfigurationReader.start();
  MemberReader.start();
  publish(/*Departed=*/false);
  Gate.probe();
  armTick();
  waitForSignal();
  return {};
}

void Gateway::run() { Loop.run(); }

void Gateway::publish(bool Departed) {
  NodeRecord Record;
  Record.Node = Settings.Node;
  Record.Address = Settings.PeerAddress;
  Record.Service = Settings.Service;
  Record.Zone = Settings.Zone;
  Record.Incarnation = Incarnation;
  Record.Departed = Departed;
  Network.add(Record);
  MemberWriter.write({Settings.Node, Record.toJson()});
}

PeerHello Gateway::hello() {
  PeerHello Result;
  Result.Node = Settings.Node;
  Result.Incarnation = Incarnation;
  Result.Service = Settings.Service;
  Result.Zone = Settings.Zone;
  Result.Address = Settings.PeerAddress.toString();
  Result.Known = notice();
  Result.Status = Gate.status();
  return Result;
}

PeerNotice Gateway::notice() const {
  return {Configuration.Version, Network.directory().digest()};
}

void Gateway::onNotice(const std::string &Node, const PeerNotice &Told) {
  Exchange.onNotice(Node, Told);
}

void Gateway::learn(const NodeRecord &Record) {
  if (Network.add(Record))
    Exchange.onStateChanged();
}

PeerNews Gateway::news(const PeerNewsRequest &Request) {
  PeerNews Result;
  Result.Configuration = Configuration.Version;
  if (Request.Configuration < Configuration.Version)
    Result.Document = Configuration.Document;
  if (Request.Members == 0 || Request.Members == Network.directory().digest())
    return Result;
  for (const NodeRecord *Record :
       Network.directory().recordsInDifferingBuckets(Request.Parts))
    Result.Members.push_back({Record->Node, Record->toJson()});
  return Result;
}

void Gateway::onNews(PeerNews News) {
  for (const MemberNews &Member : News.Members) {
    const std::optional<NodeRecord> Record = NodeRecord::parse(Member.Record);
    if (Record)
      learn(*Record);
  }
  if (News.Document.empty())
    return;
  std::optional<FleetConfiguration> Next =
      Protocol.configuration(News.Document);
  if (Next)
    adopt(std::move(*Next), "peer");
}

PeerPollAnswer Gateway::onPoll(const std::string &Node,
                               const PeerNotice &Told) {
  return Exchange.onPoll(Node, Told);
}

void Gateway::onPollAnswer(const std::string &Node,
                           const PeerPollAnswer &Answer) {
  Exchange.onPollAnswer(Node, Answer);
}

void Gateway::onCrashes(const PeerCrashes &Crashes) {
  Gate.learnCrashes(Crashes);
}

void Gateway::onRecords(StoreFeed Feed,
                        const std::vector<StoreRecord> &Records) {
  for (const StoreRecord &Item : Records) {
    if (Feed == StoreFeed::Configuration) {
      std::optional<FleetConfiguration> Next = Protocol.configuration(Item);
      if (Next)
        adopt(std::move(*Next), "store");
      continue;
    }
    const std::optional<NodeRecord> Record = NodeRecord::parse(Item.Value);
    if (Record && Record->Node == Item.Key)
      learn(*Record);
  }
  if (Feed == StoreFeed::Members && !std::exchange(MembersRead, true))
    Exchange.onInitialMembers();
}

void Gateway::onReachable(StoreFeed Feed, bool Reachable) {
  Log.write(Reachable ? LogEvent::StoreReachable : LogEvent::StoreUnreachable,
            {{"feed",
              Feed == StoreFeed::Configuration ? "configuration" : "members"}});
  // The open read of the other feed may have gone silent at the same time.
  if (Feed == StoreFeed::Configuration && Reachable)
    MemberReader.restartRead();
  followStore();
}

void Gateway::followStore() {
  if (Exchange.shouldReadStore()) {
    ConfigurationReader.resume();
    MemberReader.resume();
  }
  Exchange.onStoreReachability(ConfigurationReader.isFollowing() &&
                               MemberReader.isFollowing());
}

Duration Gateway::retryBackoff(unsigned Failures) {
  return StoreReadPacing::retryBackoff(Exchange.isDesignatedReader(), Failures,
                                       Source);
}

Duration Gateway::longPollTimeout(StoreFeed Feed) {
  return StoreReadPacing::longPollTimeout(Feed, Exchange.readers(), Source);
}

Duration Gateway::batchDelay(StoreFeed Feed) {
  return StoreReadPacing::batchDelay(Feed, Exchange.readers());
}

void Gateway::adopt(FleetConfiguration Next, std::string_view Origin) {
  if (Next.Version <= Configuration.Version)
    return;
  Configuration = std::move(Next);
  Log.write(LogEvent::ConfigurationInForce,
            {{"version", std::to_string(Configuration.Version)},
             {"origin", std::string(Origin)},
             {"routes", std::to_string(Configuration.Routes.size())}});
  Entry.apply(Configuration);
  Exchange.onStateChanged();
  CallServer.setLimits(Configuration.Limits);
  for (const ServiceRule &Service : Configuration.Services)
    if (Service.Name == Settings.Service)
      Gate.setHealthPath(Service.HealthPath);
}

bool Gateway::ready() const { return !Draining && Configuration.Version > 0; }

void Gateway::armTick() {
  TickTimer.expires_after(detail::timerSpan(TickInterval));
  TickTimer.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    tick();
    armTick();
  });
}

void Gateway::tick() {
  Gate.tick();
  Peers.tick();
  Network.tick();
  followStore();
  Exchange.tick();
  if (Time.now() - LastReload >= ReloadInterval)
    reload(/*Asked=*/false);
}

void Gateway::waitForSignal() {
  Signals.async_wait(
      [this](const boost::system::error_code &Error, int Signal) {
        if (Error)
          return;
        if (Signal == SIGHUP)
          reload(/*Asked=*/true);
        else
          drain();
        waitForSignal();
      });
}

void Gateway::reload(bool Asked) {
  LastReload = Time.now();
  if (Reloads == nullptr)
    return;
  const auto Result = Reloads->read();
  if (const auto *Faults = std::get_if<std::vector<SettingsError>>(&Result)) {
    const SettingsError &First = Faults->front();
    if (Asked || First.Message != SettingsFault)
      Log.write(LogEvent::SettingsRejected,
                {{"field", First.Field}, {"error", First.Message}});
    SettingsFault = First.Message;
    return;
  }
  SettingsFault.clear();
  const SettingsChange Change =
      adoptSettings(Settings, std::get<GatewaySettings>(Result));
  Log.setLevel(Settings.Logging.Level);
  // What needs a restart stays different and is told once per signal.
  if (Asked || !Change.Applied.empty())
    Log.write(LogEvent::SettingsReloaded,
              {{"applied", detail::commaSeparated(Change.Applied)},
               {"needRestart", detail::commaSeparated(Change.NeedRestart)}});
}

void Gateway::drain() {
  if (Draining)
    return;
  Draining = true;
  DrainStarted = Time.now();
  Log.write(LogEvent::DrainRequested,
            {{"inProgress", std::to_string(Entry.active())}});
  CallServer.drain();
  checkDrained();
}

void Gateway::checkDrained() {
  const Duration Elapsed = Time.now() - DrainStarted;
  if (Elapsed >= GateServesInDrain && !Gate.draining()) {
    publish(/*Departed=*/true);
    Gate.drain();
  }
  if (Elapsed >= EntryServesInDrain)
    Entry.refuseNew(RestartSpan);
  const bool Done =
      Elapsed >= LingerAfterDrain && Entry.active() == 0 && Gate.active() == 0;
  if (Done || Elapsed >= Settings.StopGrace * DrainPart) {
    Log.write(LogEvent::NodeEnded, {});
    Loop.stop();
    return;
  }
  const auto Timer = std::make_shared<boost::asio::steady_timer>(
      Loop, detail::timerSpan(DrainCheckInterval));
  Timer->async_wait([this, Timer](const boost::system::error_code &Error) {
    if (!Error)
      checkDrained();
  });
}

} // namespace camphorpin
