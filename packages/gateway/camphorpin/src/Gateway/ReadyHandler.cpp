#include "camphorpin/src/Gateway/ReadyHandler.h"

namespace camphorpin {

void ReadyHandler::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  if (Exchange->request().target() != Protocol.readyPath()) {
    Exchange->reply(detail::textReply(404, "unknown path"));
    return;
  }
  Exchange->reply(Ready() ? detail::textReply(200, "ready")
                          : detail::textReply(503, "not ready"));
}

} // namespace camphorpin
