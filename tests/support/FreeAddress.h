#ifndef CAMPHORPIN_TESTS_SUPPORT_FREEADDRESS_H
#define CAMPHORPIN_TESTS_SUPPORT_FREEADDRESS_H

#include "LoopbackPorts.h"
#include "camphorpin/Core.h"

namespace camphorpin::test {

/// \returns an address of this process's first loopback host that nothing
/// listens on.
inline HostAddress freeAddress() {
  const std::string Ip = loopbackIp(0);
  return *HostAddress::parse(Ip + ":" + std::to_string(freePort(Ip)));
}

} // namespace camphorpin::test

#endif
