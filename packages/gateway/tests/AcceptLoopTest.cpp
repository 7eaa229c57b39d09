#include "FreeAddress.h"
#include "camphorpin/src/Http/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <vector>

using namespace camphorpin;
using namespace camphorpin::test;

// Guards against a node that uses all of its processor time while no descriptor
// is free, and against one that accepts nothing afterwards.
Test(AcceptLoop, waitsWhileNoDescriptorIsFree) {
  EventLoop Loop;
  int Accepted = 0;
  detail::AcceptLoop Acceptor(Loop, [&](const TcpSocket &) { ++Accepted; });
  const HostAddress Address = freeAddress();
  cr_assert_eq(Acceptor.listen(Address), std::string());
  TcpSocket Caller(Loop);
  Caller.open(boost::asio::ip::tcp::v4());
  // Leaves no descriptor for the accepted connection.
  std::vector<int> Used;
  rlimit Limit{};
  cr_assert_eq(::getrlimit(RLIMIT_NOFILE, &Limit), 0);
  const rlimit Before = Limit;
  Limit.rlim_cur = 64;
  cr_assert_eq(::setrlimit(RLIMIT_NOFILE, &Limit), 0);
  for (int File = ::open("/dev/null", O_RDONLY); File >= 0;
       File = ::open("/dev/null", O_RDONLY))
    Used.push_back(File);
  Caller.connect(detail::endpointOf(Address));
  int Handlers = 0;
  const auto End =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
  while (std::chrono::steady_clock::now() < End)
    Handlers +=
        static_cast<int>(Loop.run_one_for(std::chrono::milliseconds(10)));
  cr_assert_eq(Accepted, 0);
  cr_assert_leq(Handlers, 20, "%d handlers ran", Handlers);
  cr_assert_eq(::setrlimit(RLIMIT_NOFILE, &Before), 0);
  for (const int File : Used)
    ::close(File);
  Loop.run_for(std::chrono::milliseconds(500));
  cr_assert_eq(Accepted, 1);
}
