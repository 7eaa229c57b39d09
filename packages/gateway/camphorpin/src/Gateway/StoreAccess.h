#ifndef CAMPHORPIN_SRC_GATEWAY_STOREACCESS_H
#define CAMPHORPIN_SRC_GATEWAY_STOREACCESS_H

#include "camphorpin/src/Daemon/EventLog.h"
#include "camphorpin/src/Gateway/DepartureStore.h"
#include "camphorpin/src/Gateway/GatewaySettings.h"
#include "camphorpin/src/Gateway/PeerMessages.h"
#include "camphorpin/src/Gateway/StoreEra.h"
#include "camphorpin/src/Gateway/StoreReader.h"
#include "camphorpin/src/Gateway/StoreWriter.h"
#include "camphorpin/src/Gateway/UpdateDisseminator.h"

#include <span>
#include <vector>

namespace camphorpin {

/// \class StoreRecordListener
/// \brief Receives what this node reads from the store.
class StoreRecordListener {
public:
  virtual ~StoreRecordListener() = default;
  virtual void onRecords(StoreFeed Feed,
                         const std::vector<StoreRecord> &Records) = 0;
};

/// \class StoreAccess
/// \brief All that a node reads from and writes to the platform's store.
///
/// Reads both feeds while the node is one of the readers of its zone, keeps the
/// node's own record and the departures of its backend servers, and writes them
/// again when the store has been restored from an older copy.
class StoreAccess final : private StoreReaderListener {
public:
  StoreAccess(EventLoop &Loop, const Clock &Time, Random &RandomSource,
              const GatewaySettings &Settings, const PlatformProtocol &Protocol,
              EventLog &Log, UpdateDisseminator &Disseminator,
              StoreRecordListener &Listener);

  /// Starts to read both feeds.
  void start();

  /// Continues to read if this node is a reader, and tells the dissemination
  /// whether the store is reachable.
  void update();

  /// Writes the record of this node.
  void writeOwnRecord(std::string Record);

  /// Reads the departures that an earlier process of this node has kept.
  void loadDepartures(DepartureStore::LoadCallback Done) {
    Departures.load(std::move(Done));
  }
  void saveDepartures(std::span<const BackendDeparture> Items) {
    Departures.save(Items);
  }

  /// Asks the store for its era if \p Received announces a later one than
  /// known.
  void checkAnnouncedEra(const PeerDigest &Received);

  /// \returns the latest era of which the store has answered; 0 if none.
  std::uint64_t era() const { return Era.latest(); }

  /// \returns true if both feeds could be read last.
  bool reachable() const {
    return ConfigurationReader.reachable() && MemberReader.reachable();
  }

  /// \returns the time since the store has last answered a read of the
  /// configuration.
  Duration answerAge() const { return ConfigurationReader.answerAge(); }

private:
  void onRecords(StoreFeed Feed,
                 const std::vector<StoreRecord> &Records) override {
    Listener.onRecords(Feed, Records);
  }
  void onReachable(StoreFeed Feed, bool Reachable) override;
  void onReadFailed(StoreFeed Feed, const StoreReadFailure &Failure) override;
  void onEraChanged(StoreFeed Feed, const StoreEraChange &Change) override;
  ReaderRole readerRole() override { return Disseminator.readerRole(); }
  bool shouldRead() override { return Disseminator.shouldReadStore(); }

  /// An answer of the store comes from era \p Answered.
  void onStoreEra(std::uint64_t Answered);

  const Clock &Time;
  const std::string Node;
  EventLog &Log;
  UpdateDisseminator &Disseminator;
  StoreRecordListener &Listener;
  StoreEra Era;
  StoreReader ConfigurationReader;
  StoreReader MemberReader;
  StoreWriter MemberWriter;
  DepartureStore Departures;
};

} // namespace camphorpin

#endif
