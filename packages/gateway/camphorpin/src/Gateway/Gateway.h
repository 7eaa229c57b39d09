#ifndef CAMPHORPIN_SRC_GATEWAY_GATEWAY_H
#define CAMPHORPIN_SRC_GATEWAY_GATEWAY_H

#include "camphorpin/src/Gateway/MetricsHandler.h"
#include "camphorpin/src/Gateway/NetworkDisseminatorContext.h"
#include "camphorpin/src/Gateway/OutboundHandler.h"
#include "camphorpin/src/Gateway/PeerDepartures.h"
#include "camphorpin/src/Gateway/ReadyHandler.h"
#include "camphorpin/src/Gateway/ReportHandler.h"
#include "camphorpin/src/Gateway/SettingsReload.h"
#include "camphorpin/src/Gateway/StoreAccess.h"

#include <boost/asio/signal_set.hpp>
#include <string>

namespace camphorpin {

/// \class Gateway
/// \brief A node on a hosted platform. All work runs on one event loop.
class Gateway final : private PeerClientListener,
                      private PeerServerListener,
                      private StoreRecordListener {
public:
  /// \param ReloadSource source from which the settings are reloaded; may be
  /// null.
  Gateway(const GatewaySettings &Settings, const PlatformProtocol &Protocol,
          SettingsSource *ReloadSource = nullptr);

  /// Binds all addresses.
  /// \returns an empty string, or the address that can't be bound and why.
  std::string start();

  /// Runs the event loop until SIGTERM has stopped the node.
  void run();

  /// Ends run() immediately, as if the process had been killed. Thread-safe.
  void abort() { Loop.stop(); }

private:
  PeerHello hello() override;
  void onDigest(const std::string &Node, const PeerDigest &Received) override;
  void onUpdate(const std::string &Node, PeerUpdate Update) override;
  PeerPollAnswer onPoll(const std::string &Node,
                        const PeerDigest &Received) override;
  void onPollAnswer(const std::string &Node,
                    const PeerPollAnswer &Answer) override;
  void onCrashes(const PeerCrashes &Crashes) override;
  void onDepartures(const DepartureNotice &Notice) override;
  std::vector<PeerFrame> greeting(const std::string &Node) override;
  PeerDigest digest() const override;
  PeerUpdateRequest updateRequest() const override {
    return Disseminator.request();
  }
  PeerUpdate makeUpdate(const PeerUpdateRequest &Request) override;
  void onRecords(StoreFeed Feed,
                 const std::vector<StoreRecord> &Records) override;

  void addNode(const NodeRecord &Record);
  /// Replaces \p Other, a record under the name of this node, if it supersedes
  /// the node's own: it comes from an earlier process, which started before the
  /// wall clock was set back, or from another writer.
  void renewRecord(const NodeRecord &Other);
  /// \param Peer the node that sent the configuration; empty if it has been
  /// read from the store.
  void applyConfiguration(FleetConfiguration Next, std::string_view Peer);
  void publish(bool Departed);
  /// Passes on the crash reports that are new to this node.
  void forwardCrashes();
  /// The departures of the local backend servers have changed.
  void announceDepartures(std::span<const BackendDeparture> Items);
  void armTick();
  void tick();
  void waitForSignal();
  /// Reloads the settings.
  /// \param Requested true if an operator requested the reload by SIGHUP. The
  /// result is then logged even if nothing has changed.
  void reload(bool Requested);
  void drain();
  void checkDrained();
  /// \returns true if a caller or a peer has not received all that it is owed.
  bool hasUnfinishedWork() const;
  bool ready() const;
  std::vector<Gauge> gauges() const;

  GatewaySettings Settings;
  const PlatformProtocol &Protocol;
  SettingsSource *ReloadSource;
  EventLoop Loop;
  SystemClock Time;
  SeededRandom RandomSource;
  EventLog Log;
  Metrics RequestMetrics;
  /// Identifies this process to its peers.
  std::uint64_t Incarnation;
  /// PeerHello::Number of the latest hello of this process.
  std::uint64_t Hellos = 0;
  /// NodeRecord::Incarnation of this node's record.
  std::uint64_t RecordIncarnation;
  BackendProxy Proxy;
  PeerNetwork Network;
  OutboundHandler Outbound;
  PeerServer Peers;
  NetworkDisseminatorContext DisseminatorContext;
  UpdateDisseminator Disseminator;
  ReadyHandler ReadyPage;
  ReportHandler Reports;
  MetricsHandler MetricsPage;
  AsyncHttpServer CallServer;
  AsyncHttpServer ReadyServer;
  AsyncHttpServer ReportServer;
  AsyncHttpServer MetricsServer;
  StoreAccess Store;
  PeerDepartures DeparturesOfPeers;
  FleetConfiguration Configuration;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer TickTimer;
  bool MembersRead = false;
  Instant DrainStarted;
  Instant LastReload;
  /// The first error in the settings that were last read; empty if none.
  std::string LastSettingsError;
  bool Draining = false;
  std::uint64_t FailedHandlers = 0;
};

} // namespace camphorpin

#endif
