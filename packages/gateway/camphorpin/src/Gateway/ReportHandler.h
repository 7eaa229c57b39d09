#ifndef CAMPHORPIN_SRC_GATEWAY_REPORTHANDLER_H
#define CAMPHORPIN_SRC_GATEWAY_REPORTHANDLER_H

#include "camphorpin/src/Gateway/AsyncHttpServer.h"
#include "camphorpin/src/Gateway/BackendProxy.h"

namespace camphorpin {

/// \class ReportHandler
/// \brief Handles the lifecycle requests of the backend server.
class ReportHandler final : public HttpRequestHandler {
public:
  ReportHandler(const PlatformProtocol &Protocol, BackendProxy &Proxy,
                EventLog &Log)
      : Protocol(Protocol), Proxy(Proxy), Log(Log) {}

  void onRequest(const std::shared_ptr<HttpExchange> &Exchange) override;

private:
  const PlatformProtocol &Protocol;
  BackendProxy &Proxy;
  EventLog &Log;
};

} // namespace camphorpin

#endif
