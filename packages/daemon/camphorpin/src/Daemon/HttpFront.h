#ifndef CAMPHORPIN_SRC_DAEMON_HTTPFRONT_H
#define CAMPHORPIN_SRC_DAEMON_HTTPFRONT_H

#include "camphorpin/src/Daemon/EventLog.h"
#include "camphorpin/src/Daemon/EventQueue.h"
#include "camphorpin/src/Daemon/HttpServer.h"

namespace camphorpin {

/// \class HttpFront
/// \brief Takes the requests of callers and of the local backend server.
class HttpFront {
public:
  /// \param Events and \p Log must outlive the front end.
  HttpFront(const HttpLimits &Limits, EventQueue &Events, EventLog &Log);

  bool bind(const HostAddress &Address) { return Server.bind(Address); }
  void start() { Server.start(); }

  /// Finishes the requests that are being handled.
  void stop() { Server.stop(); }

private:
  void handle(const httplib::Request &Request, std::string &&Body,
              httplib::Response &Response);

  EventQueue &Events;
  EventLog &Log;
  HttpServer Server;
};

} // namespace camphorpin

#endif
