#ifndef CAMPHORPIN_SRC_DAEMON_LISTENER_H
#define CAMPHORPIN_SRC_DAEMON_LISTENER_H

#include "camphorpin/Core.h"

#include <netinet/in.h>

namespace camphorpin {

/// \returns the address as the socket functions take it.
sockaddr_in toSockaddr(const HostAddress &Address);

/// Binds a TCP address and listens. The address cannot be bound a second time
/// while this socket is open, which is what lets a higher incarnation at an
/// address prove that the older process has ended.
/// \returns the descriptor, which does not block, or -1 with errno set.
int listenTcp(const HostAddress &Address);

} // namespace camphorpin

#endif
