#include "camphorpin/src/Http/HttpMessages.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace camphorpin::detail {

namespace {

namespace http = boost::beast::http;

/// Hop-by-hop headers, and headers that the sender of a message sets.
constexpr std::array<std::string_view, 9> HopByHop = {
    "Connection", "Keep-Alive", "Proxy-Connection",
    "TE",         "Trailer",    "Transfer-Encoding",
    "Upgrade",    "Expect",     "Content-Length"};

template <typename Range>
bool containsName(const Range &Names, std::string_view Name) {
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Item) {
    return boost::beast::iequals(Item, Name);
  });
}

template <typename Message>
void appendHeaders(std::string &Target, const Message &Source,
                   std::span<const std::string_view> Replaced) {
  http::token_list Named(Source[http::field::connection]);
  for (const auto &Field : Source) {
    const std::string_view Name = Field.name_string();
    if (containsName(HopByHop, Name) || containsName(Replaced, Name))
      continue;
    if (Named.exists(Field.name_string()))
      continue;
    Target.append(Name).append(": ").append(Field.value()).append("\r\n");
  }
}

/// \returns a reply that the node itself generates.
HttpReply makeReply(unsigned Status, std::string_view Type, std::string Body) {
  HttpReply Result;
  Result.Status = Status;
  Result.Head = "HTTP/1.1 " + std::to_string(Status) + " ";
  Result.Head.append(http::obsolete_reason(http::int_to_status(Status)));
  Result.Head.append("\r\nContent-Type: ").append(Type).append("\r\n");
  Result.Body = std::move(Body);
  return Result;
}

/// \returns true if the headers announce a body that \p Response cannot have.
bool announcesImpossibleBody(const HttpResponse &Response) {
  constexpr unsigned NoContent = 204;
  constexpr unsigned Version10 = 10;
  const unsigned Status = Response.result_int();
  const bool IsBodyless = Status / 100 == 1 || Status == NoContent;
  const bool HasCoding = Response.count(http::field::transfer_encoding) > 0;
  if (HasCoding && (IsBodyless || Response.version() <= Version10))
    return true;
  const auto Length = Response.find(http::field::content_length);
  return IsBodyless && Length != Response.end() && Length->value() != "0";
}

/// Only the transfer coding "chunked" is supported.
template <typename Message>
bool isTransferCodingUnsupported(const Message &Source) {
  const auto Coding = Source.find(http::field::transfer_encoding);
  return Coding != Source.end() &&
         !boost::beast::iequals(Coding->value(), "chunked");
}

/// \returns true if the status \p Code exists. 101 answers a request for
/// another protocol, which a node never makes.
bool isPossibleStatus(unsigned Code) {
  constexpr unsigned SwitchingProtocols = 101;
  return Code >= 100 && Code <= 599 && Code != SwitchingProtocols;
}

} // namespace

bool hasUnsupportedTransferCoding(const HttpRequest &Message) {
  return isTransferCodingUnsupported(Message);
}

bool isValidHead(const HttpResponse &Response) {
  return isPossibleStatus(Response.result_int()) &&
         !isTransferCodingUnsupported(Response) &&
         !announcesImpossibleBody(Response);
}

bool hasFoldedLine(std::string_view Head) {
  return Head.find("\r\n ") != std::string_view::npos ||
         Head.find("\r\n\t") != std::string_view::npos;
}

std::string headerLine(std::string_view Name, std::string_view Value) {
  std::string Result;
  Result.reserve(Name.size() + Value.size() + 4);
  Result.append(Name).append(": ").append(Value).append("\r\n");
  return Result;
}

std::string requestHead(const HttpRequest &Request,
                        std::span<const std::string_view> Replaced) {
  std::string Result(Request.method_string());
  Result.append(" ").append(Request.target()).append(" HTTP/1.1\r\n");
  appendHeaders(Result, Request, Replaced);
  return Result;
}

std::string responseHead(const HttpResponse &Response) {
  std::string Result = "HTTP/1.1 " + std::to_string(Response.result_int());
  const auto Reason = Response.reason();
  Result.append(" ")
      .append(Reason.empty() ? http::obsolete_reason(Response.result())
                             : Reason)
      .append("\r\n");
  appendHeaders(Result, Response, {});
  return Result;
}

std::string_view headerOf(const HttpRequest &Message, std::string_view Name) {
  return Message[Name];
}

std::string_view headerOf(const HttpResponse &Message, std::string_view Name) {
  return Message[Name];
}

HttpReply textReply(unsigned Status, std::string_view Text) {
  return makeReply(Status, "text/plain", std::string(Text) + "\n");
}

HttpReply jsonReply(unsigned Status, std::string Json) {
  return makeReply(Status, "application/json", std::move(Json));
}

} // namespace camphorpin::detail
