// Guards what operators are told: a change whose outcome is lost can be
// published again, and a conflict names both versions.
#include "camphorpin/Client.h"

#include <criterion/criterion.h>
#include <fstream>
#include <functional>
#include <iterator>

using namespace camphorpin;

namespace {

/// \class FakeLog
/// \brief A log in memory whose answers can be lost.
class FakeLog final : public PlatformLog {
public:
  AppendOutcome append(std::string_view Record) override {
    if (BeforeAppend)
      std::exchange(BeforeAppend, nullptr)();
    if (Down)
      return {AppendStatus::Unavailable, 0, "down"};
    if (TakesEffect)
      Bodies.emplace_back(Record);
    ++Appends;
    if (AnswerLost)
      return {AppendStatus::Unknown, 0, "timeout"};
    return {AppendStatus::Accepted, Bodies.size() - 1, ""};
  }

  boost::leaf::result<LogBatch> read(LogOffset From, std::size_t Max) override {
    if (Down)
      return boost::leaf::new_error(
          LogReadError{LogReadError::Cause::Unavailable, "down"});
    LogBatch Batch{FirstRetained, std::max(From, FirstRetained), {}};
    for (; Batch.Next < Bodies.size() && Batch.Records.size() < Max;
         ++Batch.Next)
      Batch.Records.push_back({Batch.Next, Bodies[Batch.Next]});
    return Batch;
  }

  std::vector<std::string> Bodies;
  LogOffset FirstRetained = 0;
  bool Down = false;
  bool AnswerLost = false;
  bool TakesEffect = true;
  std::size_t Appends = 0;
  std::function<void()> BeforeAppend;
};

std::string umurage() {
  std::ifstream File(CAMPHORPIN_SOURCE_DIR
                     "/packages/policy/examples/umurage.json");
  return std::string(std::istreambuf_iterator<char>(File), {});
}

CommandReport publish(FakeLog &Log, std::string_view Text,
                      PolicyOptions Options = {}) {
  Options.Pause = Duration();
  return PolicyCommands(Log, Options).publish(Text);
}

constexpr std::string_view Orders = R"({ "service": "orders", "slots": 90,
  "connections": 700, "operations": {} })";

PolicyOptions ordersFrom(std::uint64_t Base) {
  PolicyOptions Options;
  Options.Document = "service/orders";
  Options.Base = Base;
  return Options;
}

} // namespace

Test(PolicyCommands, publishesOnlyWhatDiffers) {
  FakeLog Log;
  cr_assert(publish(Log, umurage()).Code == ExitCode::Ok);
  cr_assert_eq(Log.Appends, 5);
  cr_assert(publish(Log, umurage()).Code == ExitCode::Ok);
  cr_assert_eq(Log.Appends, 5);
  cr_assert(PolicyCommands(Log, {}).diff(umurage()).Code == ExitCode::Ok);
  cr_assert(publish(Log, Orders, ordersFrom(1)).Code == ExitCode::Ok);
  const CommandReport Diff = PolicyCommands(Log, {}).diff(umurage());
  cr_assert(Diff.Code == ExitCode::Different);
  cr_assert_neq(Diff.Text.find("/slots: 90 -> 100"), std::string::npos);
}

Test(PolicyCommands, conflictNamesBothVersions) {
  FakeLog Log;
  publish(Log, umurage());
  // Another operator's change reaches the log just before.
  Log.BeforeAppend = [&Log] {
    Log.Bodies.push_back(formatRecord(ChangeRecord{
        DocumentName("service/orders"), 1, "other", "other", "{}"}));
  };
  const CommandReport Lost = publish(Log, Orders, ordersFrom(1));
  cr_assert(Lost.Code == ExitCode::Conflict);
  cr_assert_neq(Lost.Text.find("made for version 1, version 2 is in force"),
                std::string::npos);
  const std::size_t Appends = Log.Appends;
  cr_assert(publish(Log, Orders, ordersFrom(1)).Code == ExitCode::Conflict);
  cr_assert_eq(Log.Appends, Appends, "a certain conflict is not appended");
}

// The answer is lost, with and without effect; the same command can be run
// again and the change is made once.
Test(PolicyCommands, lostAnswersCanBePublishedAgain) {
  FakeLog Log;
  publish(Log, umurage());
  Log.AnswerLost = true;
  cr_assert(publish(Log, Orders, ordersFrom(1)).Code == ExitCode::Ok,
            "the record is found in the log");
  const CommandReport Again = publish(Log, Orders, ordersFrom(1));
  cr_assert(Again.Code == ExitCode::Ok);
  cr_assert_neq(Again.Text.find("already accepted, version 2"),
                std::string::npos);
  Log.TakesEffect = false;
  constexpr std::string_view More = R"({ "service": "orders", "slots": 80,
    "connections": 700, "operations": {} })";
  cr_assert(publish(Log, More, ordersFrom(2)).Code == ExitCode::Unknown);
  Log.TakesEffect = true;
  Log.AnswerLost = false;
  cr_assert(publish(Log, More, ordersFrom(2)).Code == ExitCode::Ok);
  const CommandReport History =
      PolicyCommands(Log, {}).history("service/orders");
  cr_assert_eq(History.Data["changes"].size(), 3);
}

Test(PolicyCommands, refusesFaultyDocumentsAndOutages) {
  FakeLog Log;
  cr_assert(publish(Log, "{").Code == ExitCode::Faulty);
  cr_assert(publish(Log, Orders, ordersFrom(0)).Code == ExitCode::Faulty,
            "there is no mesh yet");
  cr_assert_eq(Log.Appends, 0);
  Log.Down = true;
  cr_assert(publish(Log, umurage()).Code == ExitCode::Unavailable);
  PolicyOptions Homes;
  Homes.Document = "homes/orders";
  cr_assert(publish(Log, "{}", Homes).Code == ExitCode::Usage,
            "nodes write the homes");
}

// The records of the mesh have expired and it is not restated yet.
Test(PolicyCommands, doesNotGuessAVersionThatTheLogDoesNotShow) {
  FakeLog Log;
  publish(Log, umurage());
  Log.FirstRetained = Log.Bodies.size();
  Log.Bodies.push_back(formatRecord(
      RestateRecord{DocumentName("service/lots"), 1, {}, "{}", 5, 5}));
  const std::size_t Appends = Log.Appends;
  cr_assert(publish(Log, umurage()).Code == ExitCode::VersionUnknown);
  cr_assert_eq(Log.Appends, Appends);
}

namespace {

class FakeNode final : public AdminClient {
public:
  std::optional<AdminReply> fetch(const std::string &Path) override {
    Asked = Path;
    return Reply;
  }
  std::optional<AdminReply> post(const std::string &Path) override {
    return fetch(Path);
  }

  std::optional<AdminReply> Reply;
  std::string Asked;
};

} // namespace

Test(NodeCommands, reportAnswersAndFailures) {
  FakeNode Node;
  NodeCommands Client(Node);
  cr_assert(Client.status().Code == ExitCode::Unavailable);
  Node.Reply = {200, R"({"state":"serving","members":3})"};
  cr_assert_eq(Client.status().Text,
               std::string("members: 3\nstate: serving\n"));
  Client.explain("orders", "pay");
  cr_assert_eq(Node.Asked,
               std::string("/explain?service=orders&operation=pay"));
  cr_assert(Client.explain("orders", "a&b").Code == ExitCode::Usage);
  Node.Reply = {202, ""};
  cr_assert(Client.drain().Code == ExitCode::Ok);
  cr_assert_eq(Node.Asked, std::string("/drain"));
  Node.Reply = {404, "unknown"};
  cr_assert(Client.explain("orders", "none").Code == ExitCode::Faulty);
}
