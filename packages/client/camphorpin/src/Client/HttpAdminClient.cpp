#include "camphorpin/src/Client/HttpAdminClient.h"

#include <chrono>
#include <httplib.h>

namespace camphorpin {

namespace {

std::string hostOf(HostAddress Address) {
  const std::string Text = Address.toString();
  return Text.substr(0, Text.find(':'));
}

void setTimeouts(httplib::Client &Client, Duration Timeout) {
  const std::chrono::microseconds Span(Timeout.ticks());
  Client.set_connection_timeout(Span);
  Client.set_read_timeout(Span);
  Client.set_write_timeout(Span);
}

std::optional<AdminReply> replyOf(const httplib::Result &Result) {
  if (!Result)
    return std::nullopt;
  return AdminReply{Result->status, Result->body};
}

} // namespace

std::optional<AdminReply> HttpAdminClient::fetch(const std::string &Path) {
  httplib::Client Client(hostOf(Address), Address.Port);
  setTimeouts(Client, Timeout);
  return replyOf(Client.Get(Path));
}

std::optional<AdminReply> HttpAdminClient::post(const std::string &Path) {
  httplib::Client Client(hostOf(Address), Address.Port);
  setTimeouts(Client, Timeout);
  return replyOf(Client.Post(Path));
}

} // namespace camphorpin
