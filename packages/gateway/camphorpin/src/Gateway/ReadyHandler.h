#ifndef CAMPHORPIN_SRC_GATEWAY_READYHANDLER_H
#define CAMPHORPIN_SRC_GATEWAY_READYHANDLER_H

#include "camphorpin/src/Gateway/AsyncHttpServer.h"
#include "camphorpin/src/Gateway/PlatformProtocol.h"

#include <functional>

namespace camphorpin {

/// \class ReadyHandler
/// \brief Answers the readiness checks of the platform.
class ReadyHandler final : public HttpRequestHandler {
public:
  /// \param Ready returns true if the node is ready.
  ReadyHandler(const PlatformProtocol &Protocol, std::function<bool()> Ready)
      : Protocol(Protocol), Ready(std::move(Ready)) {}

  void onRequest(const std::shared_ptr<HttpExchange> &Exchange) override;

private:
  const PlatformProtocol &Protocol;
  std::function<bool()> Ready;
};

} // namespace camphorpin

#endif
