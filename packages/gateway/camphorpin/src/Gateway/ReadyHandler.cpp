#include "camphorpin/src/Gateway/ReadyHandler.h"

namespace camphorpin {

void ReadyHandler::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  if (Exchange->request().target() != Protocol.readyPath()) {
    Exchange->reply(detail::plainReply(404, "unknown path"));
    return;
  }
  Exchange->reply(Ready() ? detail::plainReply(200, "ready")
                          : detail::plainReply(503, "not ready"));
}

} // namespace camphorpin
