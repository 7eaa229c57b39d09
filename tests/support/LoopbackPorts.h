#ifndef CAMPHORPIN_TESTS_SUPPORT_LOOPBACKPORTS_H
#define CAMPHORPIN_TESTS_SUPPORT_LOOPBACKPORTS_H

#include <string>

namespace camphorpin::test {

/// \returns the loopback address that stands for host \p Host of this process.
///
/// Each process has a range of its own, so that tests which run at the same
/// time don't meet, and no port is taken by an outgoing connection: those leave
/// from 127.0.0.1.
std::string loopbackIp(int Host);

/// \returns a port of \p Ip that the kernel chose as free and that this process
/// has not got before.
///
/// The kernel may offer a port again as soon as it is released, and two
/// listeners of one host would then get the same port. Ends the program if no
/// port is free.
int freePort(const std::string &Ip);

} // namespace camphorpin::test

#endif
