#ifndef CAMPHORPIN_SRC_GATEWAY_DEPARTURESTORE_H
#define CAMPHORPIN_SRC_GATEWAY_DEPARTURESTORE_H

#include "camphorpin/src/Gateway/DepartureRecord.h"
#include "camphorpin/src/Gateway/StoreWriter.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace camphorpin {

/// \class DepartureStore
/// \brief Keeps the departures of the local backend servers in the platform's
/// store, so that a restarted node does not send requests to a server whose
/// departure its earlier process has acknowledged.
class DepartureStore {
public:
  /// Receives the departures that were kept; empty if the store has not
  /// answered in time.
  using LoadCallback = std::function<void(std::vector<BackendDeparture>)>;

  /// \param Node the name of this node.
  DepartureStore(EventLoop &Loop, const Clock &Time, Random &RandomSource,
                 const HostAddress &Address, const PlatformProtocol &Protocol,
                 std::string Node);

  /// Reads the departures of this node once. \p Done is called when the store
  /// has answered or the wait for it has ended, and again if it answers later.
  void load(LoadCallback Done);

  /// Replaces the kept departures; retried until the store has acknowledged.
  /// Has no effect before load() has received the earlier ones, which would be
  /// lost; \p Done of load() may save them with the new ones.
  void save(std::span<const BackendDeparture> Departures);

  /// The store is in era \p Era, and may have lost the kept departures.
  void onStoreEra(std::uint64_t Era) { Writer.onStoreEra(Era); }

private:
  void read();
  void onReply(const ExchangeResult &Result);
  void retryLater();

  const PlatformProtocol &Protocol;
  std::string Node;
  HttpConnectionPool Pool;
  StoreWriter Writer;
  boost::asio::steady_timer Timer;
  /// Ends the wait for the first answer.
  boost::asio::steady_timer WaitTimer;
  std::shared_ptr<HttpConnection> Connection;
  LoadCallback OnLoaded;
  /// The store has not answered load() yet.
  bool Loading = false;
};

} // namespace camphorpin

#endif
