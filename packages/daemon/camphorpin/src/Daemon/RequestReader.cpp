#include "camphorpin/src/Daemon/RequestReader.h"

#include "camphorpin/src/Daemon/HttpHeaders.h"

#include <charconv>
#include <utility>

namespace camphorpin {

namespace {

/// The longest deadline that a caller may state.
constexpr std::uint64_t MaxDeadlineMillis = 86400000;
constexpr std::string_view AnonymousCaller = "anonymous";

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Result =
      std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}

/// Splits "/service/operation".
bool readTarget(std::string_view Path, RequestInfo &Info) {
  if (Path.empty() || Path.front() != '/')
    return false;
  Path.remove_prefix(1);
  const std::size_t Slash = Path.find('/');
  if (Slash == std::string_view::npos)
    return false;
  const std::string_view Service = Path.substr(0, Slash);
  const std::string_view Operation = Path.substr(Slash + 1);
  Info.Service = ServiceName(Service);
  Info.Operation = OperationName(Operation);
  return isValidName(Service) && isValidName(Operation);
}

bool readCaller(const httplib::Request &Request, RequestInfo &Info) {
  const std::string Caller = Request.get_header_value(headers::Caller);
  if (Caller.empty()) {
    // A call of a running request inherits the caller of that request.
    if (!Request.has_header(headers::Context))
      Info.Caller = CallerName(AnonymousCaller);
    return true;
  }
  Info.Caller = CallerName(Caller);
  return isValidName(Caller);
}

bool readDeadline(const httplib::Request &Request, RequestInfo &Info) {
  if (!Request.has_header(headers::DeadlineMs))
    return true;
  const std::optional<std::uint64_t> Millis =
      parseNumber(Request.get_header_value(headers::DeadlineMs));
  if (!Millis || *Millis > MaxDeadlineMillis)
    return false;
  Info.Deadline = Duration::millis(static_cast<std::int64_t>(*Millis));
  return true;
}

bool readKey(const httplib::Request &Request, RequestInfo &Info) {
  Info.FirstSend = Request.get_header_value(headers::Attempt) == "1";
  if (!Request.has_header(headers::Key))
    return true;
  Info.Key = RequestKey::parse(Request.get_header_value(headers::Key));
  return Info.Key.has_value();
}

bool readContext(const httplib::Request &Request, RequestInfo &Info) {
  if (!Request.has_header(headers::Context))
    return true;
  Info.Parent = parseContextToken(Request.get_header_value(headers::Context));
  Info.Step = Request.get_header_value(headers::Step);
  return Info.Parent.has_value() && Info.Step.size() <= MaxNameLength;
}

} // namespace

std::optional<RequestInfo> readRequest(const httplib::Request &Request,
                                       std::string_view Body) {
  RequestInfo Info;
  if (Request.method != "GET" && Request.method != "POST")
    return std::nullopt;
  if (!readTarget(Request.path, Info) || !readCaller(Request, Info) ||
      !readDeadline(Request, Info) || !readKey(Request, Info) ||
      !readContext(Request, Info))
    return std::nullopt;
  Info.BodyHash = stableHash(Body);
  return Info;
}

Payload readPayload(const httplib::Request &Request, std::string &&Body) {
  Payload Result;
  Result.Method = Request.method;
  const std::size_t Question = Request.target.find('?');
  if (Question != std::string::npos)
    Result.Query = Request.target.substr(Question + 1);
  Result.Headers = endToEndHeaders(Request.headers);
  Result.Body = std::move(Body);
  return Result;
}

std::string contextToken(RequestId Id, const RequestKey &Key) {
  return std::to_string(static_cast<std::uint64_t>(Id)) + "." + Key.toString();
}

std::optional<RequestId> parseContextToken(std::string_view Token) {
  const std::size_t Dot = Token.find('.');
  if (Dot == std::string_view::npos ||
      !RequestKey::parse(Token.substr(Dot + 1)))
    return std::nullopt;
  const std::optional<std::uint64_t> Number = parseNumber(Token.substr(0, Dot));
  if (!Number)
    return std::nullopt;
  return RequestId{*Number};
}

} // namespace camphorpin
