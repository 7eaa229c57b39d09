#ifndef CAMPHORPIN_SRC_CLIENT_NODECOMMANDS_H
#define CAMPHORPIN_SRC_CLIENT_NODECOMMANDS_H

#include "camphorpin/src/Client/AdminClient.h"
#include "camphorpin/src/Client/CommandReport.h"

#include <string_view>

namespace camphorpin {

/// \class NodeCommands
/// \brief status, explain and drain of one node.
class NodeCommands {
public:
  explicit NodeCommands(AdminClient &Node) : Node(Node) {}

  /// Shows the state of the node.
  CommandReport status();

  /// Shows what the node would do with a request now.
  CommandReport explain(std::string_view Service, std::string_view Operation);

  /// Starts a graceful drain.
  CommandReport drain();

private:
  AdminClient &Node;
};

} // namespace camphorpin

#endif
