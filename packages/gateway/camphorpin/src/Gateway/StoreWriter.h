#ifndef CAMPHORPIN_SRC_GATEWAY_STOREWRITER_H
#define CAMPHORPIN_SRC_GATEWAY_STOREWRITER_H

#include "camphorpin/src/Gateway/PlatformProtocol.h"
#include "camphorpin/src/Http/HttpConnectionPool.h"

#include <memory>
#include <optional>

namespace camphorpin {

/// \class StoreWriter
/// \brief Writes this node's record to the platform's store and retries until
/// the store has acknowledged it. A newer record replaces one that is not yet
/// acknowledged.
class StoreWriter {
public:
  StoreWriter(EventLoop &Loop, Random &RandomSource, const HostAddress &Address,
              const PlatformProtocol &Protocol, StoreFeed Feed);

  /// Replaces a record that is not yet acknowledged.
  void write(StoreRecord Record);

  /// \returns true if no write is pending.
  bool idle() const { return !Pending && !Busy; }

private:
  void send();
  void onResult(const ExchangeResult &Result);
  void retryLater();

  EventLoop &Loop;
  Random &RandomSource;
  const PlatformProtocol &Protocol;
  StoreFeed Feed;
  HttpConnectionPool Pool;
  boost::asio::steady_timer Timer;
  std::shared_ptr<HttpConnection> Connection;
  /// The record to write; nothing if the latest one has been acknowledged.
  std::optional<StoreRecord> Pending;
  /// Number of records passed to write(); identifies the pending one.
  std::uint64_t PendingVersion = 0;
  /// A write is in flight or a retry is scheduled.
  bool Busy = false;
  unsigned Failures = 0;
};

} // namespace camphorpin

#endif
