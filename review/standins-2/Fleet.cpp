#include "Fleet.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string_view>
#include <unistd.h>

namespace review {

namespace {

constexpr std::int64_t StartMillis = 10000;
/// Deadline and some slack.
constexpr std::int64_t AnswerSlackMillis = 3000;

std::string makeTemporaryFolder() {
  std::string Path =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(Path.data()) == nullptr)
    std::exit(CouldNotRun);
  return Path;
}

} // namespace

Fleet::Fleet(const std::string &Folder)
    : Log(Folder + "/record.txt"), Temporary(makeTemporaryFolder()) {}

void Fleet::end(int Status) {
  for (const std::unique_ptr<Machine> &Item : Machines)
    Item->Gate->kill();
  std::error_code Ignored;
  std::filesystem::remove_all(Temporary, Ignored);
  std::cout << std::flush;
  ::_exit(Status);
}

Machine &Fleet::add(const std::string &Service, char Zone, unsigned Slots,
                    std::int64_t WorkMillis) {
  const std::string Number = std::to_string(Machines.size() + 1);
  Machines.push_back(std::make_unique<Machine>());
  Machine &Result = *Machines.back();
  Result.App = std::make_unique<Worker>(Service, "i-" + Service + Number, Slots,
                                        WorkMillis, Log);
  NodeOptions Options;
  Options.Zone = std::string("zone-") + Zone;
  Options.Name = "sidecar-" + Options.Zone + "-" + Number;
  Options.Service = Service;
  Options.WorkerPort = Result.App->port();
  Options.StorePort = Platform.port();
  Options.Folder = Temporary;
  Result.Gate = std::make_unique<Node>(Options, Log);
  return Result;
}

bool Fleet::start(const std::string &Document) {
  constexpr std::int64_t StepMillis = 100;
  Platform.start();
  publish(Document);
  for (const std::unique_ptr<Machine> &Item : Machines) {
    Item->Gate->start();
    Item->App->start(Item->Gate->control());
  }
  const std::int64_t End = nowMillis() + StartMillis;
  for (const std::unique_ptr<Machine> &Item : Machines)
    while (Item->Gate->readyStatus() != 200) {
      if (nowMillis() >= End)
        return false;
      sleepMillis(StepMillis);
    }
  sleepMillis(StableWindowMillis + 1000);
  return true;
}

std::string Fleet::nextRequestId() { return "q" + std::to_string(++Sent); }

HttpMessage Fleet::send(const Machine &At, const std::string &Target,
                        std::int64_t DeadlineMillis) {
  Request Call;
  Call.Target = Target;
  const std::string Id = nextRequestId();
  Call.Headers = {{"Request-Id", Id},
                  {"Deadline-Ms", std::to_string(DeadlineMillis)}};
  Log.write("sent " + Id + " " + Target + " to " + At.Gate->name());
  const std::optional<HttpMessage> Answer =
      exchange(At.Gate->outbound(), Call, DeadlineMillis + AnswerSlackMillis);
  HttpMessage Result = Answer.value_or(HttpMessage());
  Result.Headers["request-id"] = Id;
  Log.write("answered " + Id + " " +
            (Answer ? std::to_string(Result.status()) + " " + Result.Body
                    : std::string("nothing")));
  return Result;
}

std::int64_t Fleet::publish(const std::string &Document) {
  const std::size_t Offset = Platform.publish(Document);
  Log.write("store acknowledges op/config at offset " + std::to_string(Offset) +
            ": " + Document.substr(0, Document.find("],\"services\"")));
  return nowMillis();
}

std::string configuration(unsigned Version, const std::vector<Route> &Routes,
                          const std::vector<std::string> &Services) {
  std::string Result =
      "{\"version\":\"r" + std::to_string(Version) + "\",\"routes\":[";
  std::string_view Comma;
  for (const Route &Item : Routes) {
    Result.append(Comma).append("{\"name\":\"" + Item.Name);
    Result += "\",\"host\":\"shop.example\",\"path_prefix\":\"" + Item.Prefix +
              "\",\"route_type\":\"" + Item.Type +
              "\",\"timeout_ms\":" + std::to_string(Item.TimeoutMillis) +
              ",\"target_latency_ms\":" + std::to_string(Item.TargetMillis) +
              ",\"priority\":1,\"service\":\"" + Item.Service +
              "\",\"max_attempts\":2}";
    Comma = ",";
  }
  Result += "],\"services\":[";
  Comma = "";
  for (const std::string &Name : Services) {
    Result.append(Comma).append("{\"name\":\"" + Name);
    Result += "\",\"health_check_path\":\"/health\",\"max_connections\":376,"
              "\"protocol\":\"h1\",\"tls\":false}";
    Comma = ",";
  }
  return Result + "],\"limits\":{\"max_header_bytes\":16384,"
                  "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                  "\"idle_timeout_ms\":15000}}";
}

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string_view(Value) != "0";
}

std::string caseFolder(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: " << Arguments[0] << " FOLDER\n";
    std::exit(CouldNotRun);
  }
  return Arguments[1];
}

} // namespace review
