#ifndef CAMPHORPIN_SRC_DAEMON_BACKENDCLIENT_H
#define CAMPHORPIN_SRC_DAEMON_BACKENDCLIENT_H

#include "camphorpin/src/Daemon/BackendRunners.h"

#include <cstddef>
#include <httplib.h>
#include <memory>
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
  httplib::Headers headersFor(const BackendJob &Job, Duration Remaining) const;
  BackendDone interpret(const BackendJob &Job, const httplib::Result &Result);

  const HostAddress Address;
  const std::size_t MaxBody;
  const Clock &Time;
  httplib::Client Client;
};

} // namespace camphorpin

#endif
