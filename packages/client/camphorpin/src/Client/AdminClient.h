#ifndef CAMPHORPIN_SRC_CLIENT_ADMINCLIENT_H
#define CAMPHORPIN_SRC_CLIENT_ADMINCLIENT_H

#include <optional>
#include <string>

namespace camphorpin {

/// \class AdminReply
/// \brief An answer of a node's admin address.
struct AdminReply {
  int Status = 0;
  std::string Body;
};

/// \class AdminClient
/// \brief Talks to the admin address of one node.
class AdminClient {
public:
  virtual ~AdminClient() = default;

  /// \returns the answer, or nothing if none arrived.
  virtual std::optional<AdminReply> fetch(const std::string &Path) = 0;

  /// Sends a POST without body.
  /// \returns the answer, or nothing if none arrived.
  virtual std::optional<AdminReply> post(const std::string &Path) = 0;
};

} // namespace camphorpin

#endif
