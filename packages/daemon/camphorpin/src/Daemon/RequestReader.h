#ifndef CAMPHORPIN_SRC_DAEMON_REQUESTREADER_H
#define CAMPHORPIN_SRC_DAEMON_REQUESTREADER_H

#include "camphorpin/Engine.h"
#include "camphorpin/Wire.h"

#include <httplib.h>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpin {

/// \returns what an HTTP request states, or nothing if its target or one of the
/// headers for the node is malformed.
std::optional<RequestInfo> readRequest(const httplib::Request &Request,
                                       std::string_view Body);

/// \returns what travels to the backend server.
Payload readPayload(const httplib::Request &Request, std::string &&Body);

/// \returns the token by which a backend server names the running request.
std::string contextToken(RequestId Id, const RequestKey &Key);

/// \returns the request that a token names, or nothing if it is malformed.
std::optional<RequestId> parseContextToken(std::string_view Token);

} // namespace camphorpin

#endif
