#include "Backend.h"

#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace camphorpin::standins {

namespace {

constexpr int DefaultDeadlineMs = 10000;
constexpr int CrashStatus = 70;

std::chrono::milliseconds deadlineOf(const httplib::Request &Asked) {
  const std::string Text = Asked.get_header_value("Camphorpin-Deadline-Ms");
  double Millis = DefaultDeadlineMs;
  std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  return std::chrono::milliseconds(static_cast<std::int64_t>(Millis));
}

void shed(httplib::Response &Reply) {
  Reply.status = 503;
  Reply.set_header("Camphorpin-Shed", "not-run");
}

/// Prints why a nested call of request \p Id failed.
void printFailure(const std::string &Id, const NestedOutcome &Failed) {
  std::printf("request %s: %s %d %s %s\n", Id.c_str(), Failed.Target.c_str(),
              Failed.Status, Failed.Verdict.c_str(), Failed.Reason.c_str());
  std::fflush(stdout);
}

std::string operationOf(const std::string &Path) {
  return Path.substr(Path.rfind('/') + 1);
}

} // namespace

Backend::Backend(const Settings &Values)
    : Requests(Values.Limits), Time(Values.Time),
      Nested(Values.Nested, Values.Node), Ledger(Values.LedgerPath) {}

void Backend::install(httplib::Server &Server) {
  Server.Get("/camphorpin/health", [this](const httplib::Request &,
                                          httplib::Response &Reply) {
    Reply.set_content(Report.report(Requests.load()), "application/json");
  });
  Server.Delete(
      "/camphorpin/requests/(.+)",
      [this](const httplib::Request &Asked, httplib::Response &Reply) {
        Reply.status = Requests.cancel(Asked.matches[1].str()) ? 204 : 404;
      });
  Server.Get("/standin/runs",
             [this](const httplib::Request &, httplib::Response &Reply) {
               Reply.set_content(Ledger.toJson(), "application/json");
             });
  Server.Post("/standin/control",
              [this](const httplib::Request &Asked, httplib::Response &Reply) {
                control(Asked, Reply);
              });
  const httplib::Server::Handler Run = [this](const httplib::Request &Asked,
                                              httplib::Response &Reply) {
    handle(Asked, Reply);
  };
  Server.Post("/.+", Run);
  Server.Get("/.+", Run);
}

void Backend::drain() {
  Requests.drain();
  Requests.waitUntilIdle();
}

void Backend::handle(const httplib::Request &Asked, httplib::Response &Reply) {
  RunningRequests::Request Request;
  Request.Context = Asked.get_header_value("Camphorpin-Context");
  if (Request.Context.empty())
    Request.Context = "direct-" + std::to_string(++DirectRequests);
  Request.Deadline = RunningRequests::Clock::now() + deadlineOf(Asked);
  if (Shedding || !Requests.enter(Request)) {
    shed(Reply);
    return;
  }
  runAdmitted(Request, Asked, decodeQuestion(Asked.body), Reply);
  Requests.leave(Request);
}

void Backend::runAdmitted(RunningRequests::Request &Request,
                          const httplib::Request &Asked, const Question &Asker,
                          httplib::Response &Reply) {
  const std::int64_t Start = monotonicMicros();
  const std::string Operation = operationOf(Asked.path);
  const std::string Key = Asked.get_header_value("Idempotency-Key");
  Ledger.recordStart(Asked.path.substr(1), Key, Asker.Id);
  if (Asker.Crash || Asked.get_header_value("Standin-Crash") == "yes")
    ::_exit(CrashStatus);
  Answer Result{Asker.Id, Key, 0, {}};
  const bool Whole = Requests.work(Request, Time.next());
  if (Whole)
    Result.Nested =
        Nested.run(Operation, Request.Context, Asker.Id, deadlineOf(Asked));
  if (!allServed(Result.Nested))
    printFailure(Asker.Id, Result.Nested.back());
  Reply.status = Whole && allServed(Result.Nested) ? 200 : 502;
  Result.ServiceMs = static_cast<double>(monotonicMicros() - Start) / 1000;
  Reply.set_content(encode(Result, Asker.AnswerBytes),
                    "application/octet-stream");
}

void Backend::control(const httplib::Request &Asked, httplib::Response &Reply) {
  const nlohmann::json Root = nlohmann::json::parse(Asked.body, nullptr, false);
  if (!Root.is_object()) {
    Reply.status = 400;
    return;
  }
  if (Root.contains("serviceMs"))
    Time.change(Root["serviceMs"].get<double>(), Root.value("jitterMs", 0.0));
  if (Root.contains("shed"))
    Shedding = Root["shed"].get<bool>();
  if (Root.value("drain", false))
    Requests.drain();
  if (Root.contains("loadReport"))
    Report.setKind(Root["loadReport"].get<std::string>());
}

} // namespace camphorpin::standins
