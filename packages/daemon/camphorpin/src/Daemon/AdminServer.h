#ifndef CAMPHORPIN_SRC_DAEMON_ADMINSERVER_H
#define CAMPHORPIN_SRC_DAEMON_ADMINSERVER_H

#include "camphorpin/src/Daemon/HttpServer.h"

#include <string>

namespace camphorpin {

/// \class AdminSource
/// \brief What the admin endpoints show and do.
class AdminSource {
public:
  virtual ~AdminSource() = default;

  /// \returns metrics in the text exposition format.
  virtual std::string metrics() const = 0;

  /// \returns the status as JSON.
  virtual std::string status() const = 0;

  /// \returns what the node would do with such a request now, as JSON.
  virtual std::string explain(const std::string &Service,
                              const std::string &Operation) const = 0;

  /// Starts the graceful drain.
  virtual void drain() = 0;
};

/// \class AdminServer
/// \brief The HTTP endpoints for operators.
class AdminServer {
public:
  /// \param Source must outlive the server.
  explicit AdminServer(AdminSource &Source);

  bool bind(const HostAddress &Address) { return Server.bind(Address); }
  void start() { Server.start(); }
  void stop() { Server.stop(); }

private:
  void handle(const httplib::Request &Request, httplib::Response &Response);

  AdminSource &Source;
  HttpServer Server;
};

} // namespace camphorpin

#endif
