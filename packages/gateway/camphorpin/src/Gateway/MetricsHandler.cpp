#include "camphorpin/src/Gateway/MetricsHandler.h"

namespace camphorpin {

void MetricsHandler::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  if (Exchange->request().target() != "/metrics") {
    Exchange->reply(detail::textReply(404, "unknown path"));
    return;
  }
  HttpReply Reply = detail::textReply(200, "");
  Reply.Body = RequestMetrics.toText(Gauges());
  Exchange->reply(std::move(Reply));
}

} // namespace camphorpin
