#include "camphorpin/src/Gateway/AsyncHttpServer.h"

#include "camphorpin/src/Gateway/HttpSession.h"

#include <algorithm>

namespace camphorpin {

void HttpExchange::reply(HttpReply Value) {
  if (Answered)
    return;
  Answered = true;
  Response = std::move(Value);
  DisconnectHandler = nullptr;
  if (const std::shared_ptr<detail::HttpSession> Owner = Session.lock())
    Owner->flush();
}

HttpReply HttpRequestHandler::refuseBody(const HttpRequest &) {
  return detail::textReply(503, toString(RefusalReason::NodeBusy));
}

std::string AsyncHttpServer::listen(const HostAddress &Address) {
  return Acceptor.listen(Address);
}

void AsyncHttpServer::onConnection(TcpSocket Socket) {
  const auto Session =
      std::make_shared<detail::HttpSession>(std::move(Socket), *this);
  Sessions.insert(Session);
  Session->start();
}

bool AsyncHttpServer::hasUnfinishedWork() const {
  return std::any_of(Sessions.begin(), Sessions.end(),
                     [](const std::shared_ptr<detail::HttpSession> &Session) {
                       return Session->hasUnfinishedWork();
                     });
}

void AsyncHttpServer::close() {
  Acceptor.close();
  const std::set<std::shared_ptr<detail::HttpSession>> Open =
      std::move(Sessions);
  Sessions.clear();
  for (const std::shared_ptr<detail::HttpSession> &Session : Open)
    Session->close();
}

} // namespace camphorpin
