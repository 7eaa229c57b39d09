#include "camphorpin/src/Gateway/ReportHandler.h"

namespace camphorpin {

void ReportHandler::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  const LifecycleRequest Call =
      Protocol.parseLifecycleRequest(Exchange->request());
  switch (Call.Type) {
  case LifecycleRequest::Kind::Report:
    if (Call.Report)
      Proxy.onReport(*Call.Report);
    else
      Log.write(LogEvent::ReportRejected, {{"backend", Call.Id}});
    Exchange->reply(Protocol.lifecycleReply(Call.Report.has_value()));
    return;
  case LifecycleRequest::Kind::Departure:
    Proxy.onBackendDeparture(Call.Id);
    Exchange->reply(Protocol.lifecycleReply(true));
    return;
  case LifecycleRequest::Kind::Unknown:
    Exchange->reply(detail::textReply(404, "unknown call"));
    return;
  }
}

} // namespace camphorpin
