#ifndef CAMPHORPIN_SRC_GATEWAY_GATEWAY_H
#define CAMPHORPIN_SRC_GATEWAY_GATEWAY_H

#include "camphorpin/src/Gateway/EntryCalls.h"
#include "camphorpin/src/Gateway/MetricsHandler.h"
#include "camphorpin/src/Gateway/NetworkDisseminatorContext.h"
#include "camphorpin/src/Gateway/ReadyHandler.h"
#include "camphorpin/src/Gateway/ReportHandler.h"
#include "camphorpin/src/Gateway/SettingsReload.h"
#include "camphorpin/src/Gateway/StoreReadPacing.h"
#include "camphorpin/src/Gateway/StoreReader.h"
#include "camphorpin/src/Gateway/StoreWriter.h"

#include <boost/asio/signal_set.hpp>
#include <string>

namespace camphorpin {

/// \class Gateway
/// \brief A node on a hosted platform: everything runs on one event loop.
class Gateway final : private GateLinkListener,
                      private PeerServerListener,
                      private StoreReaderListener {
public:
  /// \param Source where changed settings come from; may be null.
  Gateway(const GatewaySettings &Settings, const PlatformProtocol &Protocol,
          SettingsSource *Source = nullptr);

  /// Binds all addresses.
  /// \returns an empty text, or the address that can't be bound and why.
  std::string start();

  /// Runs until the node has been stopped by SIGTERM.
  void run();

  /// Ends run() at once, as if the process were killed. Any thread may call it.
  void abort() { Loop.stop(); }

private:
  PeerHello hello() override;
  void onNotice(const std::string &Node, const PeerNotice &Told) override;
  void onNews(PeerNews News) override;
  PeerPollAnswer onPoll(const std::string &Node,
                        const PeerNotice &Told) override;
  void onPollAnswer(const std::string &Node,
                    const PeerPollAnswer &Answer) override;
  void onCrashes(const PeerCrashes &Crashes) override;
  PeerNotice notice() const override;
  PeerNewsRequest newsRequest() const override { return Exchange.request(); }
  PeerNews news(const PeerNewsRequest &Request) override;
  void onRecords(StoreFeed Feed,
                 const std::vector<StoreRecord> &Records) override;
  void onReachable(StoreFeed Feed, bool Reachable) override;
  Duration longPollTimeout(StoreFeed Feed) override;
  Duration batchDelay(StoreFeed Feed) override;
  Duration retryBackoff(unsigned Failures) override;
  bool shouldRead() override { return Exchange.shouldReadStore(); }

  void learn(const NodeRecord &Record);
  /// Reads the store if this node is to, and tells the exchange whether it
  /// answers.
  void followStore();
  void adopt(FleetConfiguration Next, std::string_view Origin);
  void publish(bool Departed);
  void armTick();
  void tick();
  void waitForSignal();
  /// Reads the settings again.
  /// \param Asked an operator asked for it, so the log tells about it also if
  /// nothing has changed.
  void reload(bool Asked);
  void drain();
  void checkDrained();
  bool ready() const;
  std::vector<Gauge> gauges() const;

  GatewaySettings Settings;
  const PlatformProtocol &Protocol;
  SettingsSource *Reloads;
  EventLoop Loop;
  SystemClock Time;
  SeededRandom Source;
  EventLog Log;
  Metrics Values;
  std::uint64_t Incarnation;
  LocalGate Gate;
  PeerNetwork Network;
  EntryCalls Entry;
  PeerServer Peers;
  NetworkDisseminatorContext Carrier;
  UpdateDisseminator Exchange;
  ReadyHandler ReadyPage;
  ReportHandler Reports;
  MetricsHandler MetricsPage;
  AsyncHttpServer CallServer;
  AsyncHttpServer ReadyServer;
  AsyncHttpServer ReportServer;
  AsyncHttpServer MetricsServer;
  StoreReader ConfigurationReader;
  StoreReader MemberReader;
  StoreWriter MemberWriter;
  FleetConfiguration Configuration;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer TickTimer;
  bool MembersRead = false;
  Instant DrainStarted;
  Instant LastReload;
  /// The first fault of the settings that were read last, if they had any.
  std::string SettingsFault;
  bool Draining = false;
};

} // namespace camphorpin

#endif
