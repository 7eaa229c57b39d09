#include "LoopbackPorts.h"

#include <criterion/criterion.h>
#include <set>

using namespace camphorpin::test;

namespace {

/// Ports of one host in the process tests: RPC, HTTP, admin, backend server.
constexpr int PortsPerHost = 4;
/// Without a memory of what was given, 12 of 20,000 draws had the same port
/// twice.
constexpr int Draws = 20000;

} // namespace

/// Guards against two listeners of one host on the same port: one of the
/// programs then can't start, and the test that started it times out.
Test(LoopbackPorts, ofOneHostAreDifferent) {
  int Collisions = 0;
  for (int Draw = 0; Draw < Draws; ++Draw) {
    const std::string Ip = loopbackIp(Draw % 200);
    std::set<int> Different;
    for (int Index = 0; Index < PortsPerHost; ++Index)
      Different.insert(freePort(Ip));
    if (Different.size() < PortsPerHost)
      ++Collisions;
  }
  cr_assert_eq(Collisions, 0, "%d of %d draws", Collisions, Draws);
}
