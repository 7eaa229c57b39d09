// Guards callers against backend servers that break the order or the framing of
// their answers on a kept connection.
#include "camphorpin/src/Daemon/BackendClient.h"

#include "ScriptedServer.h"

#include <atomic>
#include <criterion/criterion.h>
#include <memory>
#include <string>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

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
  std::atomic<int> Requests = 0;
  ScriptedServer *Server = nullptr;
  // The copy precedes the answer to a second request on the first connection.
  ScriptedServer Backend([&](std::string_view) {
    if (Requests++ == 0)
      return ScriptedAnswer{Refusal};
    return ScriptedAnswer{Server->connections() == 1 ? Refusal + Whole : Whole};
  });
  Server = &Backend;
  BackendClient Client(*HostAddress::parse(Backend.address()), 1U << 20U, Time);
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
    ScriptedServer Backend([Length](std::string_view) {
      return ScriptedAnswer{Whole.substr(0, Length), AfterAnswer::Close};
    });
    BackendClient Client(*HostAddress::parse(Backend.address()), 1U << 20U,
                         Time);
    cr_assert_eq(Client.run(job(Time)).Result.Verdict, Verdict::MayHaveRun,
                 "after %zu bytes", Length);
  }
}
