// Guards callers against backend servers that break the order or the framing of
// their answers on a kept connection.
#include "camphorpin/src/Daemon/BackendClient.h"

#include "FreeAddress.h"
#include "camphorpin/src/Daemon/Listener.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace camphorpin;
using camphorpin::test::freeAddress;

namespace {

/// \class RawBackend
/// \brief Answers each request with raw bytes, on one connection at a time.
class RawBackend {
public:
  /// \param Connection and \param Request count from 0; the latter on the
  /// connection.
  using Script = std::function<std::string(int Connection, int Request)>;

  explicit RawBackend(Script Answers, bool CloseAfterAnswer = false)
      : Answers(std::move(Answers)), CloseAfterAnswer(CloseAfterAnswer),
        Listener(listenAt(Address)), Server([this] { serve(); }) {}
  ~RawBackend() {
    ::shutdown(Listener, SHUT_RDWR);
    Server.join();
    ::close(Listener);
  }
  RawBackend(const RawBackend &) = delete;
  RawBackend &operator=(const RawBackend &) = delete;

  const HostAddress Address = freeAddress();

private:
  static int listenAt(const HostAddress &Address) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in Name = toSockaddr(Address);
    if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Name),
               sizeof(Name)) != 0 ||
        ::listen(Socket, 16) != 0) {
      std::perror(Address.toString().c_str());
      std::exit(1);
    }
    return Socket;
  }

  void serve() {
    for (int Connection = 0;; ++Connection) {
      const int Socket = ::accept(Listener, nullptr, nullptr);
      if (Socket < 0)
        return;
      for (int Request = 0; readRequest(Socket); ++Request) {
        const std::string Answer = Answers(Connection, Request);
        ::send(Socket, Answer.data(), Answer.size(), MSG_NOSIGNAL);
        if (CloseAfterAnswer)
          break;
      }
      ::close(Socket);
    }
  }

  /// \returns false if the connection ends.
  static bool readRequest(int Socket) {
    std::string Text;
    char Byte = 0;
    while (!Text.ends_with("\r\n\r\n")) {
      if (::recv(Socket, &Byte, 1, 0) <= 0)
        return false;
      Text += Byte;
    }
    return true;
  }

  Script Answers;
  bool CloseAfterAnswer;
  int Listener;
  std::thread Server;
};

const std::string Refusal = "HTTP/1.1 503 Busy\r\nCamphorpin-Shed: not-run\r\n"
                            "Content-Length: 0\r\n\r\n";
const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";

BackendJob job(const Clock &Time) {
  BackendJob Result;
  Result.Context.Service = ServiceName("orders");
  Result.Context.Operation = OperationName("place");
  Result.Context.Caller = CallerName("shop");
  Result.Context.Remaining = Duration::seconds(2);
  std::shared_ptr<Payload> Body = std::make_shared<Payload>();
  Body->Method = "GET";
  Result.Body = std::move(Body);
  Result.Start = Time.now();
  return Result;
}

} // namespace

// Guards against a copy of an earlier refusal that says "not run" of a later
// request, which runs.
Test(BackendClient, copyOfARefusalIsNotTakenForALaterAnswer) {
  SystemClock Time;
  RawBackend Backend([](int Connection, int Request) {
    if (Connection == 0 && Request == 0)
      return Refusal;
    return Request == 0 ? Whole : Refusal + Whole;
  });
  BackendClient Client(Backend.Address, 1U << 20U, Time);
  cr_assert_eq(Client.run(job(Time)).Result.Verdict, Verdict::NotRun);
  const BackendDone Second = Client.run(job(Time));
  cr_assert_eq(Second.Result.Verdict, Verdict::Ran);
  cr_assert_eq(Second.Body->Body, std::string("one"));
}

// Guards against an answer that ends in the middle of its head, or before its
// body is complete, and counts as a complete one.
Test(BackendClient, answerThatBreaksOffIsAFailure) {
  SystemClock Time;
  for (std::size_t Length = 1; Length < Whole.size(); ++Length) {
    RawBackend Backend([Length](int, int) { return Whole.substr(0, Length); },
                       /*CloseAfterAnswer=*/true);
    BackendClient Client(Backend.Address, 1U << 20U, Time);
    cr_assert_eq(Client.run(job(Time)).Result.Verdict, Verdict::MayHaveRun,
                 "after %zu bytes", Length);
  }
}
