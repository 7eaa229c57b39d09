#include "camphorpin/src/Daemon/HttpHeaders.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace camphorpin {

namespace {

/// Headers that belong to one connection (RFC 9110, 7.6.1), that the HTTP
/// library sets itself, or that the node sets itself.
constexpr std::array<std::string_view, 17> LocalHeaders = {
    "Connection",  "Keep-Alive",      "Proxy-Connection",
    "TE",          "Trailer",         "Transfer-Encoding",
    "Upgrade",     "Content-Length",  "Host",
    "Expect",      "Idempotency-Key", "Retry-After",
    "REMOTE_ADDR", "REMOTE_PORT",     "LOCAL_ADDR",
    "LOCAL_PORT",  "Accept-Encoding"};

constexpr std::string_view OwnPrefix = "Camphorpin-";

bool isLocal(std::string_view Name) {
  if (Name.size() >= OwnPrefix.size() &&
      sameHeader(Name.substr(0, OwnPrefix.size()), OwnPrefix))
    return true;
  return std::any_of(
      LocalHeaders.begin(), LocalHeaders.end(),
      [Name](std::string_view Other) { return sameHeader(Name, Other); });
}

} // namespace

bool sameHeader(std::string_view First, std::string_view Second) {
  return std::equal(First.begin(), First.end(), Second.begin(), Second.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

std::vector<HeaderField> endToEndHeaders(const httplib::Headers &Source) {
  std::vector<HeaderField> Result;
  for (const auto &[Name, Value] : Source) {
    if (sameHeader(Name, headers::HiddenType))
      Result.push_back({"Content-Type", Value});
    else if (sameHeader(Name, headers::HiddenCoding))
      Result.push_back({"Content-Encoding", Value});
    else if (!isLocal(Name))
      Result.push_back({Name, Value});
  }
  return Result;
}

std::vector<HeaderField> endToEndHeaders(const HttpResponse &Source) {
  std::vector<HeaderField> Result;
  for (const auto &Field : Source)
    if (!isLocal(Field.name_string()))
      Result.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
  return Result;
}

std::string_view headerValue(const Payload &Source, std::string_view Name) {
  for (const HeaderField &Field : Source.Headers)
    if (sameHeader(Field.Name, Name))
      return Field.Value;
  return {};
}

} // namespace camphorpin
