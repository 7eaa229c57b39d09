#ifndef CAMPHORPIN_SRC_GATEWAY_STOREREADER_H
#define CAMPHORPIN_SRC_GATEWAY_STOREREADER_H

#include "camphorpin/src/Gateway/PlatformProtocol.h"
#include "camphorpin/src/Gateway/StoreReadPacing.h"
#include "camphorpin/src/Http/HttpConnectionPool.h"

#include <memory>
#include <optional>
#include <string>

namespace camphorpin {

/// \brief Why a read of the store failed.
enum class StoreReadError : std::uint8_t {
  /// No connection could be established.
  Connect,
  /// The connection ended before the answer, or the answer was malformed.
  ConnectionLost,
  /// No answer within the time limit.
  Timeout,
  /// The store rejected the read.
  Rejected,
};

namespace detail {

/// \returns the name of \p Feed in logs.
std::string nameOf(StoreFeed Feed);
/// \returns the name of \p Error in logs.
std::string nameOf(StoreReadError Error);

} // namespace detail

/// \class StoreReadFailure
/// \brief A failed read of the store.
struct StoreReadFailure {
  StoreReadError Reason = StoreReadError::Rejected;
  /// Time since the read was sent.
  Duration Elapsed;
  /// Number of consecutive failed reads.
  unsigned Failures = 0;
  /// Delay before the read is retried.
  Duration RetryDelay;
};

/// \class StoreEraChange
/// \brief The first answer of an era of the store.
struct StoreEraChange {
  /// Nothing if no answer has told its era before.
  std::optional<std::uint64_t> Before;
  std::uint64_t Now = 0;
  /// Position of the next read, which belongs to the era before.
  std::uint64_t Position = 0;
};

/// \class StoreReaderListener
/// \brief Receives the records of a feed.
class StoreReaderListener {
public:
  virtual ~StoreReaderListener() = default;
  virtual void onRecords(StoreFeed Feed,
                         const std::vector<StoreRecord> &Records) = 0;
  /// The store has become reachable or unreachable for this feed.
  virtual void onReachable(StoreFeed Feed, bool Reachable) = 0;
  /// A read has failed and will be retried.
  virtual void onReadFailed(StoreFeed Feed,
                            const StoreReadFailure &Failure) = 0;
  /// The feed is read in another era of the store than before.
  virtual void onEraChanged(StoreFeed Feed, const StoreEraChange &Change) = 0;
  virtual ReaderRole readerRole() = 0;
  /// \returns false if the node receives updates from other nodes and should
  /// pause reading.
  virtual bool shouldRead() = 0;
};

/// \class StoreReader
/// \brief Reads one feed of the platform's store.
///
/// Reads the newest record of each key, then long-polls for later records. At
/// most one call is in flight at any time; an idle feed costs one call per
/// StoreReadPacing::longPollTimeout(). Pauses while
/// StoreReaderListener::shouldRead() returns false.
///
/// A position is valid only in the era of the store that gave it. When the era
/// changes, the newest records are read again, because those of the restored
/// store may have taken positions that have already been read.
class StoreReader {
public:
  StoreReader(EventLoop &Loop, const Clock &Time, Random &RandomSource,
              const HostAddress &Address, const PlatformProtocol &Protocol,
              StoreFeed Feed, StoreReaderListener &Listener);

  void start() { readNewest(); }
  void stop();

  /// Restarts the long poll, which may have stalled.
  void restartRead();

  /// Continues reading if paused.
  void resume();

  /// The store is known to be in era \p Now. If the position is of an earlier
  /// one, begins anew at once, without waiting for the end of the open read or
  /// for a retry.
  void onStoreEra(std::uint64_t Now);

  /// \returns true if the last call succeeded and the current one has not timed
  /// out.
  bool reachable() const { return Reachable.value_or(false); }

  /// \returns the time since the store has last answered a read; since the
  /// construction if it never has.
  Duration answerAge() const { return Time.now() - LastAnswer; }

  /// \returns true if the store is reachable and reading is not paused.
  bool isReading() const { return reachable() && !Paused; }

private:
  /// Requests the next page of the newest record of each key.
  void readNewest();
  /// Requests the records from Position; a long poll unless a read has failed.
  void readNext();
  void call(std::string Bytes, Duration Timeout, bool Newest);
  void onResult(const ExchangeResult &Result, bool Newest);
  /// Notes the era of the store that sent \p Response.
  /// \returns true if it is another one than that of the position, which is
  /// then forgotten.
  bool updateEra(const HttpResponse &Response);
  /// Forgets the position and the page.
  void forgetPosition();
  void onExpired();
  void onFailure(StoreReadError Reason);
  void setReachable(bool Value);
  void scheduleRead(Duration Delay);
  void continueReading();

  EventLoop &Loop;
  const Clock &Time;
  const PlatformProtocol &Protocol;
  StoreFeed Feed;
  StoreReaderListener &Listener;
  StoreReadPacing Pacing;
  HttpConnectionPool Pool;
  boost::asio::steady_timer Timer;
  std::shared_ptr<HttpConnection> Connection;
  /// Last key of the previous page while the newest records are read in pages;
  /// otherwise empty.
  std::string PageKey;
  /// Position of the next read in the feed.
  std::uint64_t Position = 0;
  bool PositionKnown = false;
  /// Era of the store in which Position is valid.
  std::optional<std::uint64_t> Era;
  /// Unknown until the first call has completed.
  std::optional<bool> Reachable;
  bool Stopped = false;
  /// No call is in flight or scheduled.
  bool Paused = false;
  /// A read from Position is in flight.
  bool Following = false;
  Instant CallSent;
  Instant LastAnswer;
};

} // namespace camphorpin

#endif
