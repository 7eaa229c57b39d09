#include "camphorpin/src/Gateway/Gateway.h"

#include "camphorpin/src/Gateway/ClientLimits.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <random>
#include <utility>

namespace camphorpin {

namespace {

/// Log lines of one event per second. The limit is high enough for one line per
/// refusal or failure even if all requests of one node fail.
constexpr std::uint32_t LogLinesPerSecond = 200;
constexpr Duration TickInterval = UpdateDisseminator::PollInterval;
/// How often the settings are reloaded: they may change without a signal.
constexpr Duration ReloadInterval = Duration::seconds(5);
/// Time after the start of a drain during which the backend server takes calls
/// as before. Callers keep sending requests until the platform has found the
/// node not ready twice; the delay keeps the loss of capacity during a rolling
/// restart short.
constexpr Duration BackendDrainDelay = Duration::millis(2000);
/// Time after the start of a drain from which new requests are refused: they
/// might not end within the stop grace.
constexpr Duration OutboundDrainDelay = Duration::millis(2800);
/// Retry-After of requests that a stopping node refuses: the time that a
/// restart takes.
constexpr Duration RestartTime = Duration::millis(1500);
constexpr Duration MinDrainTime = Duration::millis(3000);
constexpr Duration DrainCheckInterval = Duration::millis(100);
/// Fraction of the stop grace after which requests that are still running are
/// answered without their result.
constexpr double AbortFraction = 0.9;
/// Fraction of the stop grace after which the process ends.
constexpr double MaxDrainFraction = 0.93;

} // namespace

std::vector<Gauge> Gateway::gauges() const {
  const BackendStatus Status = Proxy.status();
  const LogCounts Lines = Log.counts();
  const auto Number = [](auto Value) { return static_cast<double>(Value); };
  return {
      {"camphorpin_configuration_version", "Version in force.",
       Number(Configuration.Version)},
      {"camphorpin_store_reachable", "1 if both feeds could be read last.",
       Store.reachable() ? 1.0 : 0.0},
      {"camphorpin_store_era",
       "Latest era of the store that has answered this node.",
       Number(Store.era())},
      {"camphorpin_store_read", "1 if this node reads the store itself.",
       Disseminator.shouldReadStore() ? 1.0 : 0.0},
      {"camphorpin_store_answer_age_ms",
       "Time since the store has last answered a read of the configuration.",
       Store.answerAge().toMillis()},
      {"camphorpin_current",
       "1 if the store, or a node that this one follows, answers.",
       Disseminator.current() ? 1.0 : 0.0},
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
       Status.FailureRate},
      {"camphorpin_entry_active", "Requests of callers without an answer.",
       Number(Outbound.active())},
      {"camphorpin_retry_budget_ratio",
       "Retries per request that the fleet may make.",
       Settings.RetryBudget.Ratio},
      {"camphorpin_retry_budget_slack",
       "Further retries per window that the fleet may make.",
       Settings.RetryBudget.Slack},
      {"camphorpin_draining", "1 while the node stops.", Draining ? 1.0 : 0.0},
      {"camphorpin_handlers_failed",
       "Events whose handling an unexpected error ended.",
       Number(FailedHandlers)},
      {"camphorpin_log_lines_written", "Log lines since the start.",
       Number(Lines.Written)},
      {"camphorpin_log_lines_left_out",
       "Log lines over the bound of their event.", Number(Lines.LeftOut)},
      {"camphorpin_log_lines_lost",
       "Log lines that the standard output did not take.", Number(Lines.Lost)}};
}

Gateway::Gateway(const GatewaySettings &Options,
                 const PlatformProtocol &Protocol, SettingsSource *ReloadSource)
    : Settings(Options), Protocol(Protocol), ReloadSource(ReloadSource),
      Loop(1), RandomSource(std::random_device()()),
      Log(Settings.Logging, Time, LogLinesPerSecond),
      Incarnation(static_cast<std::uint64_t>(Time.wallNow().wholeMillis())),
      RecordIncarnation(Incarnation),
      Proxy(Loop, Time, Settings, Protocol, Log),
      Network(Loop, Time, RandomSource, Settings, Proxy, *this),
      Outbound(Loop, Time, RandomSource, Settings, Protocol, Network, Proxy,
               Log, RequestMetrics),
      Peers(Loop, Time, Proxy, *this),
      DisseminatorContext(
          Loop, RandomSource, Network, Peers, [this] { return digest(); },
          [this] {
            Disseminator.onTimer();
            Store.update();
          }),
      Disseminator(Time, RandomSource, DisseminatorContext, Settings.Node,
                   Settings.Zone),
      ReadyPage(Protocol, [this] { return ready(); }),
      Reports(Protocol, Proxy, Log),
      MetricsPage(RequestMetrics, [this] { return gauges(); }),
      CallServer(Loop, Outbound), ReadyServer(Loop, ReadyPage),
      ReportServer(Loop, Reports), MetricsServer(Loop, MetricsPage),
      Store(Loop, Time, RandomSource, Settings, Protocol, Log, Disseminator,
            *this),
      Signals(Loop, SIGTERM, SIGINT, SIGHUP), TickTimer(Loop) {
  const ClientLimits Limits(Settings);
  Limits.limitCallers(CallServer, Proxy.messageBudget());
  Limits.limitPeers(Peers);
  for (AsyncHttpServer *Server : {&ReadyServer, &ReportServer, &MetricsServer})
    Limits.limitControl(*Server);
}

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
  Proxy.setStatusListener([this] { Peers.broadcastStatus(); });
  Proxy.setCrashListener([this](const PeerCrashes &Crashes) {
    // Later, because an answer or a report may be in progress here.
    boost::asio::post(Loop, [this, Crashes] {
      Peers.broadcast(Crashes);
      Network.broadcast(Crashes);
    });
  });
  Log.write(LogEvent::NodeStarted,
            {{"address", Settings.PeerAddress.toString()},
             {"service", Settings.Service},
             {"zone", Settings.Zone},
             {"region", ""}});
  Proxy.setDepartureListener([this](std::span<const BackendDeparture> Items) {
    announceDepartures(Items);
  });
  if (!Settings.FirstStart) {
    Proxy.awaitDepartures();
    Store.loadDepartures([this](const std::vector<BackendDeparture> &Earlier) {
      Proxy.restoreDepartures(Earlier);
    });
  }
  Store.start();
  publish(/*Departed=*/false);
  Proxy.probe();
  armTick();
  waitForSignal();
  return {};
}

void Gateway::run() {
  for (;;) {
    try {
      Loop.run();
      return;
    } catch (const std::exception &Error) {
      // Each handler closes what it leaves half done before it throws.
      Log.write(LogEvent::HandlerFailed, {{"error", Error.what()}});
      ++FailedHandlers;
    }
  }
}

void Gateway::publish(bool Departed) {
  NodeRecord Record;
  Record.Node = Settings.Node;
  Record.Address = Settings.PeerAddress;
  Record.Service = Settings.Service;
  Record.Zone = Settings.Zone;
  Record.Incarnation = RecordIncarnation;
  Record.Departed = Departed;
  Network.add(Record);
  Store.writeOwnRecord(Record.toJson());
}

void Gateway::announceDepartures(std::span<const BackendDeparture> Items) {
  Store.saveDepartures(Items);
  const DepartureNotice Notice{Settings.Node, {Items.begin(), Items.end()}};
  Peers.broadcast(Notice);
  Network.broadcast(Notice);
}

void Gateway::renewRecord(const NodeRecord &Other) {
  const NodeRecord &Own = Network.directory().all().at(Settings.Node);
  const bool Replaces =
      Other.supersedes(Own) ||
      (Own.Incarnation == Other.Incarnation && Other.Address != Own.Address);
  // While this process ends, the later record is that of its successor.
  if (!Replaces || Draining)
    return;
  RecordIncarnation =
      std::min(Other.Incarnation + 1, NodeRecord::MaxIncarnation);
  Log.write(LogEvent::SelfRenewed,
            {{"incarnation", std::to_string(RecordIncarnation)}});
  publish(/*Departed=*/false);
  Disseminator.onStateChanged();
}

PeerHello Gateway::hello() {
  PeerHello Result;
  Result.Node = Settings.Node;
  Result.Incarnation = Incarnation;
  Result.Number = ++Hellos;
  Result.Service = Settings.Service;
  Result.Zone = Settings.Zone;
  Result.Address = Settings.PeerAddress.toString();
  Result.Digest = digest();
  Result.Status = Proxy.status();
  return Result;
}

PeerDigest Gateway::digest() const {
  return {Configuration.Version, Network.directory().digest(), Store.era()};
}

void Gateway::onDigest(const std::string &Node, const PeerDigest &Received) {
  Store.checkAnnouncedEra(Received);
  Disseminator.onNotice(Node, Received);
}

void Gateway::addNode(const NodeRecord &Record) {
  if (Record.Node == Settings.Node) {
    renewRecord(Record);
    return;
  }
  if (Network.add(Record))
    Disseminator.onStateChanged();
}

PeerUpdate Gateway::makeUpdate(const PeerUpdateRequest &Request) {
  PeerUpdate Result;
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

void Gateway::onUpdate(const std::string &Node, PeerUpdate Update) {
  for (const MemberUpdate &Member : Update.Members) {
    const std::optional<NodeRecord> Record = NodeRecord::parse(Member.Record);
    if (Record && Record->Node == Member.Node &&
        Network.directory().acceptsFromPeer(Record->Node))
      addNode(*Record);
  }
  if (Update.Document.empty())
    return;
  std::optional<FleetConfiguration> Next =
      Protocol.configuration(Update.Document);
  if (Next)
    applyConfiguration(std::move(*Next), Node);
}

PeerPollAnswer Gateway::onPoll(const std::string &Node,
                               const PeerDigest &Received) {
  Store.checkAnnouncedEra(Received);
  return Disseminator.onPoll(Node, Received);
}

void Gateway::onPollAnswer(const std::string &Node,
                           const PeerPollAnswer &Answer) {
  Store.checkAnnouncedEra(Answer.Digest);
  Disseminator.onPollAnswer(Node, Answer);
}

void Gateway::onCrashes(const PeerCrashes &Crashes) {
  Proxy.addCrashes(Crashes);
  // Later, because sending may replace the connection of this frame.
  boost::asio::post(Loop, [this] { forwardCrashes(); });
}

void Gateway::forwardCrashes() {
  const PeerCrashes Reports = Proxy.takeCrashReports();
  if (!Reports.Notices.empty())
    Disseminator.forward(Reports);
}

void Gateway::onDepartures(const DepartureNotice &Notice) {
  if (Notice.Node == Settings.Node)
    Proxy.addDepartures(Notice.Departures);
  else if (Network.directory().all().contains(Notice.Node))
    DeparturesOfPeers.record(Notice, Time.now());
}

std::vector<PeerFrame> Gateway::greeting(const std::string &Node) {
  std::vector<PeerFrame> Result;
  DepartureNotice Own{Settings.Node, Proxy.departures()};
  if (!Own.Departures.empty())
    Result.emplace_back(std::move(Own));
  // An earlier process of the node may have acknowledged them.
  DepartureNotice Earlier{Node, DeparturesOfPeers.of(Node, Time.now())};
  if (!Earlier.Departures.empty())
    Result.emplace_back(std::move(Earlier));
  PeerCrashes Crashes = Proxy.knownCrashes();
  if (!Crashes.Notices.empty())
    Result.emplace_back(std::move(Crashes));
  return Result;
}

void Gateway::onRecords(StoreFeed Feed,
                        const std::vector<StoreRecord> &Records) {
  for (const StoreRecord &Item : Records) {
    if (Feed == StoreFeed::Configuration) {
      std::optional<FleetConfiguration> Next = Protocol.configuration(Item);
      if (Next)
        applyConfiguration(std::move(*Next), {});
      continue;
    }
    const std::optional<NodeRecord> Record = NodeRecord::parse(Item.Value);
    if (Record && Record->Node == Item.Key)
      addNode(*Record);
  }
  if (Feed == StoreFeed::Members && !std::exchange(MembersRead, true))
    Disseminator.onInitialMembers();
}

void Gateway::applyConfiguration(FleetConfiguration Next,
                                 std::string_view Peer) {
  const bool Newer = Next.Version > Configuration.Version;
  if (!Next.Problems.empty() && (Newer || Next.Version == 0))
    Log.write(LogEvent::ConfigurationProblem,
              {{"version", std::to_string(Next.Version)},
               {"problems", std::to_string(Next.Problems.size())},
               {"first", Next.Problems.front()}});
  if (Next.Version != 0 && Next.Version < Configuration.Version && Peer.empty())
    Log.write(LogEvent::StoreBehind,
              {{"version", std::to_string(Next.Version)},
               {"inForce", std::to_string(Configuration.Version)}});
  if (!Newer)
    return;
  Configuration = std::move(Next);
  Log.write(LogEvent::ConfigurationInForce,
            {{"version", std::to_string(Configuration.Version)},
             {"origin", Peer.empty() ? "store" : "peer"},
             {"peer", std::string(Peer)},
             {"routes", std::to_string(Configuration.Routes.size())}});
  Outbound.apply(Configuration);
  Disseminator.onStateChanged();
  CallServer.setLimits(Configuration.Limits);
  for (const ServiceRule &Service : Configuration.Services)
    if (Service.Name == Settings.Service)
      Proxy.setHealthPath(Service.HealthPath);
}

bool Gateway::ready() const { return !Draining && Configuration.Version > 0; }

void Gateway::armTick() {
  TickTimer.expires_after(detail::timerSpan(TickInterval));
  TickTimer.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    // The next tick comes even if this one throws.
    armTick();
    tick();
  });
}

void Gateway::tick() {
  Proxy.tick();
  Peers.tick();
  Network.tick();
  DeparturesOfPeers.expire(Time.now());
  Store.update();
  Disseminator.tick();
  // Runs that have completed since the last tick clear suspicions.
  forwardCrashes();
  if (Time.now() - LastReload >= ReloadInterval)
    reload(/*Requested=*/false);
}

void Gateway::waitForSignal() {
  Signals.async_wait(
      [this](const boost::system::error_code &Error, int Signal) {
        if (Error)
          return;
        waitForSignal();
        if (Signal == SIGHUP)
          reload(/*Requested=*/true);
        else
          drain();
      });
}

void Gateway::reload(bool Requested) {
  LastReload = Time.now();
  if (ReloadSource == nullptr)
    return;
  const auto Result = ReloadSource->read();
  if (const auto *Faults = std::get_if<std::vector<SettingsError>>(&Result)) {
    const SettingsError &First = Faults->front();
    if (Requested || First.Message != LastSettingsError)
      Log.write(LogEvent::SettingsRejected,
                {{"field", First.Field}, {"error", First.Message}});
    LastSettingsError = First.Message;
    return;
  }
  LastSettingsError.clear();
  const SettingsChange Change =
      applyReloadedSettings(Settings, std::get<GatewaySettings>(Result));
  Log.setLevel(Settings.Logging.Level);
  // Fields that need a restart differ at each reload, so they are logged only
  // when a reload is requested.
  if (Requested || !Change.Applied.empty())
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
            {{"inProgress", std::to_string(Outbound.active())}});
  CallServer.drain();
  checkDrained();
}

bool Gateway::hasUnfinishedWork() const {
  return Outbound.active() > 0 || Proxy.active() > 0 ||
         CallServer.hasUnfinishedWork() || Peers.hasUnsentFrames();
}

void Gateway::checkDrained() {
  const Duration Elapsed = Time.now() - DrainStarted;
  if (Elapsed >= BackendDrainDelay && !Proxy.draining()) {
    publish(/*Departed=*/true);
    Proxy.drain();
  }
  if (Elapsed >= OutboundDrainDelay)
    Outbound.refuseNew(RestartTime);
  if (Elapsed >= Settings.StopGrace * AbortFraction)
    Outbound.abortAll();
  const bool Done =
      Elapsed >= MinDrainTime && !hasUnfinishedWork() && CallServer.closeIdle();
  if (Done || Elapsed >= Settings.StopGrace * MaxDrainFraction) {
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
