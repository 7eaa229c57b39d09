// Guards on-call engineers: with the command of docs/OPERATIONS.md they find
// the cause of a failed request by its id in the logs of all nodes.
#include "HostedFleet.h"
#include "HostedProcess.h"
#include "TemporaryDirectory.h"

#include <array>
#include <criterion/criterion.h>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>
#include <vector>

using namespace camphorpin;
using namespace camphorpin::process;
using namespace camphorpin::test;

namespace {

/// The documented command; ID stands for the id of a request.
const std::string SearchCommand = "grep -h 'request=ID ' NODE-*.log | sort";
constexpr Duration StartWithin = Duration::seconds(10);

std::string readFile(const std::string &Path) {
  std::stringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

/// Two nodes in processes of their own: requests enter beside a web server and
/// run beside a shop server with four slots.
struct TwoProcesses : HostedFleet {
  explicit TwoProcesses(bool StoreAway = false) {
    Store.Refusing = StoreAway;
    Web = std::make_unique<HostedProcess>(Logs.Path, "web-1", "web",
                                          WebBackend.Address, Store.Address);
    Shop = std::make_unique<HostedProcess>(Logs.Path, "shop-1", "shop",
                                           ShopBackend.Address, Store.Address);
  }

  /// Puts a configuration in force and waits until requests are served.
  void serve() {
    Store.publish(document(
        3, "/a/", "shop",
        ",{\"name\":\"pay\",\"host\":\"h\",\"path_prefix\":\"/pay/\","
        "\"route_type\":\"non_idempotent\",\"timeout_ms\":2000,"
        "\"target_latency_ms\":500,\"priority\":0,\"service\":\"shop\","
        "\"max_attempts\":2}"));
    const bool Served = waitForStatus("/a/x", 200);
    cr_assert(Served, "the nodes do not serve");
  }

  bool waitForStatus(const std::string &Path, unsigned Status) {
    const auto End =
        std::chrono::steady_clock::now() + detail::timerSpan(StartWithin);
    while (std::chrono::steady_clock::now() < End) {
      if (send(Web->CallAddress, "GET " + Path).result_int() == Status)
        return true;
      wait(Duration::millis(50), [] { return false; });
    }
    return false;
  }

  /// \returns what the documented command prints for a request.
  std::string search(const std::string &Id) {
    std::string Command = SearchCommand;
    Command.replace(Command.find("ID"), 2, Id);
    Command = "cd '" + Logs.Path.string() + "' && " + Command;
    const std::unique_ptr<FILE, int (*)(FILE *)> Output(
        ::popen(Command.c_str(), "r"), ::pclose);
    std::string Result;
    std::array<char, 1024> Part{};
    while (std::fgets(Part.data(), Part.size(), Output.get()) != nullptr)
      Result += Part.data();
    return Result;
  }

  TemporaryDirectory Logs;
  std::unique_ptr<HostedProcess> Web;
  std::unique_ptr<HostedProcess> Shop;
};

/// Asserts that one line of \p Lines holds all of \p Parts.
void assertLine(const std::string &Lines,
                const std::vector<std::string> &Parts) {
  std::istringstream Stream(Lines);
  for (std::string Line; std::getline(Stream, Line);) {
    bool All = true;
    for (const std::string &Part : Parts)
      All = All && (Line + " ").find(" " + Part + " ") != std::string::npos;
    if (All)
      return;
  }
  cr_assert_fail("no line with %s in:\n%s", Parts.front().c_str(),
                 Lines.c_str());
}

} // namespace

Test(ExplainFailure, commandIsTheDocumentedOne) {
  const std::string Page =
      readFile(CAMPHORPIN_SOURCE_DIR "/docs/OPERATIONS.md");
  cr_assert(Page.find(SearchCommand) != std::string::npos);
}

Test(ExplainFailure, refusalOfAFullGateNamesItsSlotsAndQueue) {
  TwoProcesses Fleet;
  Fleet.serve();
  std::vector<std::shared_ptr<HttpExchange>> Held;
  Fleet.ShopBackend.Script =
      [&](const std::shared_ptr<HttpExchange> &Exchange) {
        Held.push_back(Exchange);
      };
  for (int Slot = 0; Slot < 4; ++Slot)
    Fleet.begin(Fleet.Web->CallAddress, "GET /a/held");
  cr_assert(Fleet.wait(Duration::seconds(2), [&] { return Held.size() == 4; }));
  const auto Refused = Fleet.begin(Fleet.Web->CallAddress, "GET /a/refused");
  cr_assert_eq(Fleet.finish(Refused).result_int(), 503U);
  const std::string Lines = Fleet.search(Refused->Id);
  assertLine(Lines, {"name=run-failed", "reason=overloaded", "verdict=not-run",
                     "running=4", "limit=4"});
  assertLine(Lines, {"name=request-failed", "status=503", "reason=overloaded",
                     "node=shop-1", "sends=0", "refusals=1"});
}

Test(ExplainFailure, foreignAnswerNamesTheBackendServerThatMayHaveRunIt) {
  TwoProcesses Fleet;
  Fleet.serve();
  Fleet.ShopBackend.Script = [](const std::shared_ptr<HttpExchange> &Exchange) {
    // A success without the worker's own mark.
    Exchange->reply(detail::textReply(200, "foreign"));
  };
  const auto Failed = Fleet.begin(Fleet.Web->CallAddress, "POST /pay/1", "x");
  cr_assert_eq(Fleet.finish(Failed).result_int(), 502U);
  const std::string Lines = Fleet.search(Failed->Id);
  assertLine(Lines, {"name=run-failed", "reason=backend-failed",
                     "backend=i-shop", "verdict=may-have-run"});
  assertLine(Lines,
             {"name=request-failed", "status=502", "node=shop-1", "sends=1"});
}

Test(ExplainFailure, refusalWithoutAConfigurationLeadsToTheStore) {
  TwoProcesses Fleet(/*StoreAway=*/true);
  cr_assert(Fleet.waitForStatus("/a/x", 503));
  const auto Refused = Fleet.begin(Fleet.Web->CallAddress, "GET /a/x");
  cr_assert_eq(Fleet.finish(Refused).result_int(), 503U);
  assertLine(Fleet.search(Refused->Id),
             {"name=request-turned-away", "reason=\"no configuration yet\""});
  const std::string Log = readFile(Fleet.Logs.Path / "NODE-web-1.log");
  cr_assert(Log.find("name=node-started") != std::string::npos);
  cr_assert_eq(Log.find("name=configuration-in-force"), std::string::npos);
  // A node that has never reached the store says so as well.
  assertLine(Log, {"name=store-unreachable", "feed=configuration"});
}
