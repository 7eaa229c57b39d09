#ifndef CAMPHORPIN_TESTS_STANDINS_STANDINSERVER_H
#define CAMPHORPIN_TESTS_STANDINS_STANDINSERVER_H

#include "Protocol.h"

#include <cstddef>
#include <functional>
#include <httplib.h>

namespace camphorpin::standins {

/// \class StandinServer
/// \brief An HTTP server with one thread per connection and a limit on
/// connections. Requests on connections beyond the limit are shed.
class StandinServer {
public:
  /// \param ConnectionLimit number of connections that are served.
  explicit StandinServer(std::size_t ConnectionLimit);

  httplib::Server &http() { return Server; }

  /// Binds \p Address and serves until SIGTERM or SIGINT. Ends the program with
  /// status 1 if the address cannot be bound.
  /// \param OnStop called on the signal, before the server stops. It may wait
  /// for running requests.
  void run(const Endpoint &Address, const std::function<void()> &OnStop);

private:
  httplib::Server Server;
  int ListenSocket = -1;
};

} // namespace camphorpin::standins

#endif
