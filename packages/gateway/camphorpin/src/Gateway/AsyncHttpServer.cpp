#include "camphorpin/src/Gateway/AsyncHttpServer.h"

#include "camphorpin/src/Gateway/HttpSession.h"

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

std::string AsyncHttpServer::listen(const HostAddress &Address) {
  std::string Error = detail::openAcceptor(Acceptor, Address);
  if (Error.empty())
    accept();
  return Error;
}

void AsyncHttpServer::accept() {
  Acceptor.async_accept(
      [this](const boost::system::error_code &Error, TcpSocket Socket) {
        if (Error == boost::asio::error::operation_aborted)
          return;
        if (!Error) {
          const auto Session =
              std::make_shared<detail::HttpSession>(std::move(Socket), *this);
          Sessions.insert(Session);
          Session->start();
        }
        accept();
      });
}

void AsyncHttpServer::close() {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
  const std::set<std::shared_ptr<detail::HttpSession>> Open =
      std::move(Sessions);
  Sessions.clear();
  for (const std::shared_ptr<detail::HttpSession> &Session : Open)
    Session->close();
}

} // namespace camphorpin
