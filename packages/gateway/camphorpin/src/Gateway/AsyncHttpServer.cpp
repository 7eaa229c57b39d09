#include "camphorpin/src/Gateway/AsyncHttpServer.h"

#include "camphorpin/src/Gateway/HttpSession.h"

#include <algorithm>
#include <optional>

namespace camphorpin {

namespace {

using SessionSet = std::set<std::shared_ptr<detail::HttpSession>>;
using TimePoint = detail::HttpSession::TimePoint;

/// \returns the session for which \p Since gives the earliest time, or null if
/// it gives none.
std::shared_ptr<detail::HttpSession>
earliest(const SessionSet &Sessions,
         std::optional<TimePoint> (detail::HttpSession::*Since)() const) {
  std::shared_ptr<detail::HttpSession> Result;
  std::optional<TimePoint> First;
  for (const std::shared_ptr<detail::HttpSession> &Session : Sessions) {
    const std::optional<TimePoint> Time = (*Session.*Since)();
    if (!Time || (First && *First <= *Time))
      continue;
    First = Time;
    Result = Session;
  }
  return Result;
}

} // namespace

bool HttpExchange::reserve(std::size_t Bytes) {
  if (!Held)
    return true;
  const std::shared_ptr<detail::HttpSession> Owner = Session.lock();
  if (!Owner)
    return Held->resize(Bytes);
  return Owner->reserve([this, Bytes] { return Held->resize(Bytes); });
}

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

AsyncHttpServer::~AsyncHttpServer() {
  close();
  if (Budget)
    Budget->setReclaimer(nullptr);
}

void AsyncHttpServer::setByteBudget(std::shared_ptr<ByteBudget> Value) {
  Budget = std::move(Value);
  Budget->setReclaimer(this);
}

std::string AsyncHttpServer::listen(const HostAddress &Address) {
  return Acceptor.listen(Address);
}

void AsyncHttpServer::onConnection(TcpSocket Socket) {
  // Without room, the new connection is closed unread.
  if (Sessions.size() >= MaxConnections && !closeLongestWaiting())
    return;
  const auto Session =
      std::make_shared<detail::HttpSession>(std::move(Socket), *this);
  Sessions.insert(Session);
  Session->start();
}

bool AsyncHttpServer::closeLongestWaiting() {
  const std::shared_ptr<detail::HttpSession> Chosen =
      earliest(Sessions, &detail::HttpSession::waitsForCallerSince);
  if (Chosen)
    Chosen->close();
  return Chosen != nullptr;
}

bool AsyncHttpServer::reclaim() {
  const std::shared_ptr<detail::HttpSession> Chosen = earliest(
      Sessions, KeepsAnswers ? &detail::HttpSession::receivesBodySlowlySince
                             : &detail::HttpSession::holdsBytesSince);
  if (Chosen)
    Chosen->giveUp();
  return Chosen != nullptr;
}

bool AsyncHttpServer::hasUnfinishedWork() const {
  return std::any_of(Sessions.begin(), Sessions.end(),
                     [](const std::shared_ptr<detail::HttpSession> &Session) {
                       return Session->hasUnfinishedWork();
                     });
}

bool AsyncHttpServer::closeIdle() {
  Acceptor.finish();
  const SessionSet Open = Sessions;
  for (const std::shared_ptr<detail::HttpSession> &Session : Open)
    if (Session->isIdle())
      Session->close();
  return std::all_of(Sessions.begin(), Sessions.end(),
                     [](const std::shared_ptr<detail::HttpSession> &Session) {
                       return Session->isLingering();
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
