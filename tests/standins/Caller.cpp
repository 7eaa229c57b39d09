#include "Caller.h"

namespace camphorpin::standins {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};
constexpr int StatusOk = 200;

bool neverConnected(const httplib::Result &Reply) {
  return !Reply && (Reply.error() == httplib::Error::Connection ||
                    Reply.error() == httplib::Error::ConnectionTimeout);
}

LoadOutcome refusalOutcome(std::string_view Verdict) {
  if (Verdict == "not-run")
    return LoadOutcome::NotRun;
  if (Verdict == "may-have-run")
    return LoadOutcome::MayHaveRun;
  return Verdict == "ran" ? LoadOutcome::RanWithoutResult : LoadOutcome::Wrong;
}

/// \returns the outcome of an answer with status 200.
LoadOutcome servedOutcome(const httplib::Response &Reply,
                          std::string_view Verdict, SendRecord &Record) {
  const std::optional<Answer> Received = decodeAnswer(Reply.body);
  if (!Received) {
    Record.Detail = "torn answer";
    return LoadOutcome::Wrong;
  }
  const bool OwnKey = Record.Key.empty() || Received->Key == Record.Key;
  if (Received->Id != Record.Id || !OwnKey || Verdict != "ran") {
    Record.Detail = "answer to " + Received->Id + " key " + Received->Key +
                    " verdict " + std::string(Verdict);
    return LoadOutcome::Wrong;
  }
  Record.ServiceMs = Received->ServiceMs;
  return LoadOutcome::Served;
}

} // namespace

std::string_view toString(LoadOutcome Value) {
  switch (Value) {
  case LoadOutcome::Served:
    return "served";
  case LoadOutcome::NotRun:
    return "not-run";
  case LoadOutcome::MayHaveRun:
    return "may-have-run";
  case LoadOutcome::RanWithoutResult:
    return "ran-without-result";
  case LoadOutcome::NotConnected:
    return "not-connected";
  case LoadOutcome::Lost:
    return "lost";
  case LoadOutcome::Missing:
    return "missing";
  case LoadOutcome::Wrong:
    return "wrong";
  }
  return "wrong";
}

Caller::Caller(const LoadPlan &Plan) : Plan(Plan) {
  for (const Endpoint &Target : Plan.Targets) {
    Connections.push_back(
        std::make_unique<httplib::Client>(Target.Ip, Target.Port));
    Connections.back()->set_keep_alive(true);
    Connections.back()->set_tcp_nodelay(true);
    Connections.back()->set_connection_timeout(ConnectTimeout);
  }
}

void Caller::send(std::size_t Target, SendRecord &Record) {
  for (std::size_t Tried = 0; Tried < Connections.size(); ++Tried) {
    Record.SentAt = monotonicMicros();
    const httplib::Result Reply =
        exchange((Target + Tried) % Connections.size(), Record);
    Record.AnsweredAt = monotonicMicros();
    if (neverConnected(Reply))
      continue;
    judge(Reply, Record);
    return;
  }
  Record.Outcome = LoadOutcome::NotConnected;
}

httplib::Result Caller::exchange(std::size_t Target, const SendRecord &Record) {
  const LoadStream &Stream = Plan.Streams[Record.Stream];
  httplib::Client &Connection = *Connections[Target];
  Connection.set_read_timeout(
      std::chrono::milliseconds(Stream.DeadlineMs + Plan.GraceMs));
  httplib::Headers Headers = {
      {"Camphorpin-Caller", Stream.Caller},
      {"Camphorpin-Deadline-Ms", std::to_string(Stream.DeadlineMs)},
      {"Camphorpin-Attempt", std::to_string(Record.Attempt)}};
  if (!Record.Key.empty())
    Headers.emplace("Idempotency-Key", Record.Key);
  if (Stream.Crash)
    Headers.emplace("Standin-Crash", "yes");
  const Question Asked{Record.Id, Stream.AnswerBytes, Stream.Crash};
  return Connection.Post("/" + Stream.target(), Headers, encode(Asked),
                         "application/json");
}

void Caller::judge(const httplib::Result &Reply, SendRecord &Record) const {
  if (!Reply) {
    const int LimitMs = Plan.Streams[Record.Stream].DeadlineMs + Plan.GraceMs;
    Record.Outcome = Record.latencyMs() >= LimitMs ? LoadOutcome::Missing
                                                   : LoadOutcome::Lost;
    Record.Detail = httplib::to_string(Reply.error());
    return;
  }
  const std::string Verdict = Reply->get_header_value("Camphorpin-Verdict");
  Record.Detail = std::to_string(Reply->status) + " " +
                  Reply->get_header_value("Camphorpin-Reason");
  Record.Outcome = Reply->status == StatusOk
                       ? servedOutcome(*Reply, Verdict, Record)
                       : refusalOutcome(Verdict);
}

} // namespace camphorpin::standins
