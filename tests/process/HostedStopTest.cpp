// Guards requests against planned stops under load: one that a node has taken
// gets its whole answer, whichever of the nodes on its way stops.
#include "HostedFleet.h"
#include "HostedProcess.h"
#include "TemporaryDirectory.h"

#include <criterion/criterion.h>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <vector>

using namespace camphorpin;
using namespace camphorpin::process;
using namespace camphorpin::test;

namespace {

constexpr Duration StartWithin = Duration::seconds(10);
/// Longer than the stop grace of the nodes.
constexpr Duration StopWithin = Duration::seconds(8);
/// Callers that send one request after the other.
constexpr int Callers = 24;
/// Larger than what the kernel takes at once for a connection.
constexpr std::size_t AnswerBytes = 300000;
/// How long before the end of the process a request must have been sent to
/// count as taken, if it was not passed on.
constexpr std::chrono::milliseconds LossSlack(200);

/// A request of the load and what became of it.
struct LoadRequest {
  std::string Id;
  std::chrono::steady_clock::time_point Sent;
  bool Lost = false;
};

/// Two nodes in processes of their own under load: the callers are beside the
/// web server, and their requests run beside the shop server.
struct LoadedFleet : HostedFleet {
  LoadedFleet()
      : Web(Logs.Path, "web-1", "web", WebBackend.Address, Store.Address),
        Shop(Logs.Path, "shop-1", "shop", ShopBackend.Address, Store.Address) {
    ShopBackend.Script = [this](const std::shared_ptr<HttpExchange> &Exchange) {
      PassedOn.insert(
          std::string(detail::headerOf(Exchange->request(), "Request-Id")));
      answerLater(Exchange);
    };
    Store.publish(
        document(3, "/a/", "shop",
                 R"(,{"name":"once","host":"h","path_prefix":"/once/",)"
                 R"("route_type":"non_idempotent","timeout_ms":20000,)"
                 R"("target_latency_ms":500,"priority":0,"service":"shop",)"
                 R"("max_attempts":1})"));
  }

  /// Answers after up to 0.4 s.
  void answerLater(const std::shared_ptr<HttpExchange> &Exchange) {
    const auto Timer = std::make_shared<boost::asio::steady_timer>(
        Loop, std::chrono::milliseconds(Random() % 400));
    Timer->async_wait([Exchange, Timer](const boost::system::error_code &) {
      HttpReply Reply = detail::textReply(200, "");
      Reply.Head += "Response-Stamp: s\r\nRequest-Id: ";
      Reply.Head += detail::headerOf(Exchange->request(), "Request-Id");
      Reply.Head += "\r\n";
      Reply.Body = std::string(AnswerBytes, 'b');
      Exchange->reply(std::move(Reply));
    });
  }

  bool serves() {
    const auto End =
        std::chrono::steady_clock::now() + detail::timerSpan(StartWithin);
    while (std::chrono::steady_clock::now() < End) {
      if (send(Web.CallAddress, "GET /a/x").result_int() == 200)
        return true;
      wait(Duration::millis(50), [] { return false; });
    }
    return false;
  }

  void startLoad() {
    Loading = true;
    for (int Index = 0; Index < Callers; ++Index)
      sendNext(std::make_shared<HttpConnection>(Loop, Web.CallAddress));
  }

  /// Sends the next request of a caller, on the connection of its last one if
  /// that is still open.
  void sendNext(std::shared_ptr<HttpConnection> Connection) {
    if (!Loading)
      return;
    if (!Connection->reusable())
      Connection = std::make_shared<HttpConnection>(Loop, Web.CallAddress);
    const std::size_t Index = Requests.size();
    Requests.push_back(
        {"l" + std::to_string(Index), std::chrono::steady_clock::now()});
    ExchangeRequest Call;
    Call.Bytes =
        "GET /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + Requests.back().Id +
        "\r\n\r\n";
    ++Active;
    Connection->exchange(std::move(Call), [this, Connection, Index](
                                              const ExchangeResult &Result) {
      --Active;
      onEnd(Requests[Index], Result);
      const auto Timer = std::make_shared<boost::asio::steady_timer>(
          Loop, std::chrono::milliseconds(Random() % 30));
      Timer->async_wait(
          [this, Timer, Connection](const boost::system::error_code &) {
            sendNext(Connection);
          });
    });
  }

  void onEnd(LoadRequest &Request, const ExchangeResult &Result) {
    Request.Lost = Result.Outcome != ExchangeOutcome::Complete &&
                   Result.Outcome != ExchangeOutcome::NotSent;
    if (Result.Outcome != ExchangeOutcome::Complete)
      return;
    const unsigned Status = Result.Response.result_int();
    if (Status == 200 && Result.Response.body().size() == AnswerBytes)
      ++Whole;
    else if (Status != 503)
      Failed.push_back(Request.Id + " " + std::to_string(Status) + " " +
                       Result.Response.body().substr(0, 80));
  }

  /// Stops \p Node as the platform does.
  /// \returns false if it does not end in time, or with an error.
  bool stop(HostedProcess &Node) {
    Node.process().terminate();
    wait(StopWithin, [&] { return Node.process().poll().has_value(); });
    Ended = std::chrono::steady_clock::now();
    return Node.process().poll() == 0;
  }

  /// \returns the lost requests that a node had taken before the latest stop
  /// ended.
  std::vector<std::string> lost() const {
    std::vector<std::string> Result;
    for (const LoadRequest &Item : Requests)
      if (Item.Lost &&
          (PassedOn.contains(Item.Id) || Ended - Item.Sent > LossSlack))
        Result.push_back(Item.Id);
    return Result;
  }

  /// \returns false if a request does not end.
  bool finishLoad() {
    Loading = false;
    return wait(Duration::seconds(5), [&] { return Active == 0; });
  }

  TemporaryDirectory Logs;
  std::mt19937 Random{20261205};
  HostedProcess Web;
  HostedProcess Shop;
  /// When the latest stop ended.
  std::chrono::steady_clock::time_point Ended;
  bool Loading = false;
  int Active = 0;
  int Whole = 0;
  /// Answers other than the whole one and a refusal.
  std::vector<std::string> Failed;
  std::vector<LoadRequest> Requests;
  /// Ids of the requests that the shop server received.
  std::set<std::string> PassedOn;
};

} // namespace

Test(HostedStop, stopBesideCallersLosesNothing) {
  LoadedFleet Fleet;
  cr_assert(Fleet.serves());
  for (int Round = 0; Round < 3; ++Round) {
    Fleet.startLoad();
    Fleet.wait(Duration::millis(300 + 170 * Round), [] { return false; });
    cr_assert(Fleet.stop(Fleet.Web));
    cr_assert(Fleet.finishLoad());
    const std::vector<std::string> Lost = Fleet.lost();
    cr_assert(Lost.empty(), "%zu of %zu lost, first %s", Lost.size(),
              Fleet.Requests.size(), Lost.front().c_str());
    Fleet.Web.start();
    cr_assert(Fleet.serves());
    Fleet.Requests.clear();
  }
  cr_assert_gt(Fleet.Whole, 100);
  cr_assert(Fleet.Failed.empty(), "%zu failed, first %s", Fleet.Failed.size(),
            Fleet.Failed.front().c_str());
}

Test(HostedStop, stopBesideBackendServerLosesNothing) {
  LoadedFleet Fleet;
  cr_assert(Fleet.serves());
  for (int Round = 0; Round < 3; ++Round) {
    Fleet.startLoad();
    Fleet.wait(Duration::millis(300 + 170 * Round), [] { return false; });
    cr_assert(Fleet.stop(Fleet.Shop));
    cr_assert(Fleet.finishLoad());
    const std::vector<std::string> Lost = Fleet.lost();
    cr_assert(Lost.empty(), "%zu of %zu lost, first %s", Lost.size(),
              Fleet.Requests.size(), Lost.front().c_str());
    Fleet.Shop.start();
    cr_assert(Fleet.serves());
    Fleet.Requests.clear();
  }
  cr_assert_gt(Fleet.Whole, 100);
  cr_assert(Fleet.Failed.empty(), "%zu failed, first %s", Fleet.Failed.size(),
            Fleet.Failed.front().c_str());
}

// Guards against a request that a stopping node has passed on and that ends
// without an answer because its run outlasts the stop grace.
Test(HostedStop, requestThatOutlastsTheGraceIsAnswered) {
  LoadedFleet Fleet;
  cr_assert(Fleet.serves());
  std::vector<std::shared_ptr<HttpExchange>> Running;
  Fleet.ShopBackend.Script =
      [&Running](const std::shared_ptr<HttpExchange> &Exchange) {
        Running.push_back(Exchange);
      };
  Fleet.Web.process().terminate();
  Fleet.wait(Duration::millis(2500), [] { return false; });
  const auto Request = Fleet.begin(Fleet.Web.CallAddress, "POST /once/x");
  cr_assert(Fleet.wait(StopWithin, [&] {
    return Request->Result && Fleet.Web.process().poll().has_value();
  }));
  cr_assert_eq(Running.size(), 1U);
  cr_assert_eq(Request->Result->Outcome, ExchangeOutcome::Complete);
  cr_assert_eq(Request->Result->Response.result_int(), 504U);
  cr_assert_eq(*Fleet.Web.process().poll(), 0);
}
