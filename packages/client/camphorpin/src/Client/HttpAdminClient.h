#ifndef CAMPHORPIN_SRC_CLIENT_HTTPADMINCLIENT_H
#define CAMPHORPIN_SRC_CLIENT_HTTPADMINCLIENT_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Client/AdminClient.h"

namespace camphorpin {

/// \class HttpAdminClient
/// \brief AdminClient over HTTP, with a new connection for each request.
class HttpAdminClient final : public AdminClient {
public:
  /// \param Timeout from a call to the end of the answer.
  HttpAdminClient(HostAddress Address, Duration Timeout)
      : Address(Address), Timeout(Timeout) {}

  std::optional<AdminReply> fetch(const std::string &Path) override;
  std::optional<AdminReply> post(const std::string &Path) override;

private:
  HostAddress Address;
  Duration Timeout;
};

} // namespace camphorpin

#endif
