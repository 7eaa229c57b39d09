#include "camphorpin/src/Client/HttpAdminClient.h"

#include "camphorpin/Http.h"

#include <string_view>
#include <utility>

namespace camphorpin {

namespace {

/// \param RequestLine without the version.
std::optional<AdminReply> exchange(const HostAddress &Address, Duration Timeout,
                                   std::string_view RequestLine,
                                   std::string_view Extra) {
  ExchangeRequest Request;
  Request.Bytes = std::string(RequestLine) + " HTTP/1.1\r\n" +
                  detail::headerLine("Host", Address.toString());
  Request.Bytes.append(Extra).append("\r\n");
  BlockingHttpClient Client(Address);
  ExchangeResult Result = Client.exchange(std::move(Request), Timeout);
  if (Result.Outcome != ExchangeOutcome::Complete)
    return std::nullopt;
  return AdminReply{static_cast<int>(Result.Response.result_int()),
                    std::move(Result.Response.body())};
}

} // namespace

std::optional<AdminReply> HttpAdminClient::fetch(const std::string &Path) {
  return exchange(Address, Timeout, "GET " + Path, {});
}

std::optional<AdminReply> HttpAdminClient::post(const std::string &Path) {
  return exchange(Address, Timeout, "POST " + Path,
                  detail::headerLine("Content-Length", "0"));
}

} // namespace camphorpin
