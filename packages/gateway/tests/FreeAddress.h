#ifndef CAMPHORPIN_TESTS_FREEADDRESS_H
#define CAMPHORPIN_TESTS_FREEADDRESS_H

#include "camphorpin/src/Gateway/EventLoop.h"

namespace camphorpin::test {

/// \returns a free port of the loopback address.
inline HostAddress freeAddress() {
  EventLoop Loop;
  boost::asio::ip::tcp::acceptor Probe(
      Loop, detail::endpointOf(*HostAddress::parse("127.0.0.1:0")));
  HostAddress Result = *HostAddress::parse("127.0.0.1:1");
  Result.Port = Probe.local_endpoint().port();
  return Result;
}

} // namespace camphorpin::test

#endif
