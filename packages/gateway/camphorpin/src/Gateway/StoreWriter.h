#ifndef CAMPHORPIN_SRC_GATEWAY_STOREWRITER_H
#define CAMPHORPIN_SRC_GATEWAY_STOREWRITER_H

#include "camphorpin/src/Gateway/PlatformProtocol.h"
#include "camphorpin/src/Http/HttpConnectionPool.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace camphorpin {

/// \class StoreWriter
/// \brief Keeps this node's record in the platform's store.
///
/// A write is retried until the store has acknowledged it; a newer record
/// replaces one that is not yet acknowledged. A store that has been restored
/// from a copy may have lost a record that it had acknowledged, so the record
/// is written again in each later era. A write that got no answer may be done
/// seconds later; each record has a later epoch than those before it, also than
/// those of earlier processes of the node, so that the store then refuses it.
class StoreWriter {
public:
  /// Receives the era of each acknowledgement that tells it.
  using EraCallback = std::function<void(std::uint64_t Era)>;

  /// \param OnEra may be empty.
  StoreWriter(EventLoop &Loop, const Clock &Time, Random &RandomSource,
              const HostAddress &Address, const PlatformProtocol &Protocol,
              StoreFeed Feed, EraCallback OnEra);

  /// Replaces a record that is not yet acknowledged.
  void write(StoreRecord Value);

  /// The store has \p Value in era \p Era; an earlier process has written it.
  void adopt(StoreRecord Value, std::uint64_t Era);

  /// The store is in era \p Era. Writes the record again if the store
  /// acknowledged it in an earlier one.
  void onStoreEra(std::uint64_t Era);

  /// Writes the latest record again if none is being written.
  void writeAgain();

  /// \returns true if no write is pending.
  bool idle() const { return !Pending && !Busy; }

private:
  /// Begins a new epoch.
  void beginEpoch();
  void send();
  void onResult(const ExchangeResult &Result, std::uint64_t SentVersion);
  /// The store has acknowledged the record.
  void onAcknowledged(const HttpResponse &Response);
  void retryLater();

  EventLoop &Loop;
  const Clock &Time;
  Random &RandomSource;
  const PlatformProtocol &Protocol;
  StoreFeed Feed;
  HttpConnectionPool Pool;
  boost::asio::steady_timer Timer;
  std::shared_ptr<HttpConnection> Connection;
  EraCallback OnEra;
  /// The latest record; nothing before the first write.
  std::optional<StoreRecord> Record;
  /// Number of records passed to write(); identifies the latest one.
  std::uint64_t RecordVersion = 0;
  /// Epoch of the latest record, see PlatformProtocol::appendRequest().
  std::uint64_t Epoch = 0;
  /// The record is not acknowledged in the latest known era of the store.
  bool Pending = false;
  /// Era in which the store has acknowledged the record.
  std::uint64_t AcknowledgedEra = 0;
  /// Latest known era of the store.
  std::uint64_t LatestEra = 0;
  /// A write is in flight or a retry is scheduled.
  bool Busy = false;
  unsigned Failures = 0;
};

} // namespace camphorpin

#endif
