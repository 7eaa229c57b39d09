#ifndef CAMPHORPIN_SRC_DAEMON_BACKENDCLIENT_H
#define CAMPHORPIN_SRC_DAEMON_BACKENDCLIENT_H

#include "camphorpin/Http.h"
#include "camphorpin/src/Daemon/BackendRunners.h"

#include <cstddef>
#include <string>

namespace camphorpin {

/// \class BackendClient
/// \brief One connection to the local backend server.
///
/// A run is sent once and never repeated here. Only a connection that could not
/// be established, and a backend server that says so, count as not run.
class BackendClient {
public:
  /// \param MaxBody largest answer, in bytes.
  BackendClient(const HostAddress &Address, std::size_t MaxBody,
                const Clock &Time);

  BackendDone run(const BackendJob &Job);

  /// Asks the backend server to stop a run.
  void cancel(const std::string &Token);

private:
  /// \returns the request without its body.
  std::string requestHead(const BackendJob &Job, Duration Remaining) const;
  BackendDone interpret(const BackendJob &Job, ExchangeResult Result);
  BackendDone interpretResponse(const BackendJob &Job, HttpResponse Response);
  BackendDone lost(const BackendJob &Job) const;

  const HostAddress Address;
  const std::size_t MaxBody;
  const Clock &Time;
  BlockingHttpClient Client;
};

} // namespace camphorpin

#endif
