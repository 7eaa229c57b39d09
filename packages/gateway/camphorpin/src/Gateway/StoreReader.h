#ifndef CAMPHORPIN_SRC_GATEWAY_STOREREADER_H
#define CAMPHORPIN_SRC_GATEWAY_STOREREADER_H

#include "camphorpin/src/Gateway/HttpPool.h"
#include "camphorpin/src/Gateway/PlatformProtocol.h"

#include <memory>
#include <optional>
#include <string>

namespace camphorpin {

/// \class StoreReaderListener
/// \brief Receives the records of a feed.
class StoreReaderListener {
public:
  virtual ~StoreReaderListener() = default;
  virtual void onRecords(StoreFeed Feed,
                         const std::vector<StoreRecord> &Records) = 0;
  /// The store became reachable or unreachable for this feed.
  virtual void onReachable(StoreFeed Feed, bool Reachable) = 0;
  /// \returns how long the store may hold the next read of \p Feed open.
  virtual Duration longPollTimeout(StoreFeed Feed) = 0;
  /// \returns the pause before the next read of \p Feed after records came.
  virtual Duration batchDelay(StoreFeed Feed) = 0;
  /// \param Failures the reads that have failed since one succeeded.
  /// \returns the pause before a failed read is repeated.
  virtual Duration retryBackoff(unsigned Failures) = 0;
  /// \returns false if the node gets news from others and is not to read on.
  virtual bool shouldRead() = 0;
};

/// \class StoreReader
/// \brief Follows one feed of the platform's store.
///
/// Reads the newest record of each key, then waits for later records. One call
/// is outstanding at any time; an idle feed costs one call per
/// StoreReaderListener::longPollTimeout(). Rests while the listener says so.
class StoreReader {
public:
  StoreReader(EventLoop &Loop, Random &Source, const HostAddress &Address,
              const PlatformProtocol &Protocol, StoreFeed Feed,
              StoreReaderListener &Owner);

  void start() { readNewest(); }
  void stop();

  /// Replaces the waiting read, which may have gone silent.
  void restartRead();

  /// Reads on if it rests.
  void resume();

  /// \returns true if the last call succeeded and the waiting one isn't late.
  bool reachable() const { return Reachable.value_or(false); }

  /// \returns true if it is reachable and does not rest.
  bool isFollowing() const { return reachable() && !Paused; }

private:
  void readNewest();
  void readNext();
  void call(std::string Bytes, Duration Timeout, bool Newest);
  void onResult(const ExchangeResult &Result, bool Newest);
  void onFault(StoreFault Fault);
  void setReachable(bool Value);
  void retryLater();
  void scheduleRead(Duration Pause);
  void continueReading();

  EventLoop &Loop;
  Random &Source;
  const PlatformProtocol &Protocol;
  StoreFeed Feed;
  StoreReaderListener &Owner;
  HttpPool Pool;
  boost::asio::steady_timer Timer;
  std::shared_ptr<HttpConnection> Connection;
  std::string PageKey;
  std::uint64_t Position = 0;
  bool PositionKnown = false;
  /// Unknown until the first call has ended.
  std::optional<bool> Reachable;
  bool Stopped = false;
  /// No call is outstanding and none is planned.
  bool Paused = false;
  /// A read is open that ends when a record comes.
  bool Waiting = false;
  unsigned Failures = 0;
};

} // namespace camphorpin

#endif
