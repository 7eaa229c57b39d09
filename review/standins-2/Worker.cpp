#include "Worker.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

constexpr std::int64_t HeartbeatMillis = 1500;
/// An acknowledgement that takes longer does not count.
constexpr std::int64_t AckMillis = 1000;

} // namespace

Worker::Worker(std::string Service, std::string Id, unsigned Slots,
               std::int64_t WorkMillis, Record &Log)
    : Service(std::move(Service)), Slots(Slots), WorkMillis(WorkMillis),
      Log(Log), Id(std::move(Id)), Born(unixMillis()),
      Server([this](const HttpMessage &Call) { return handle(Call); }) {}

std::string Worker::id() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Id;
}

std::vector<Run> Worker::runs() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Runs;
}

void Worker::start(std::uint16_t Control) {
  ControlPort = Control;
  Server.start();
  std::thread([this] { sendHeartbeats(); }).detach();
}

void Worker::crashOn(const std::string &Text, std::int64_t Millis) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  CrashText = Text;
  DownMillis = Millis;
}

void Worker::crash() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Running = false;
  }
  Log.write("worker " + id() + " ends");
  Server.stop();
}

void Worker::restart() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Incarnation;
    Id = Id.substr(0, Id.find('.')) + "." + std::to_string(Incarnation);
    Born = unixMillis();
    Sequence = 0;
    Running = true;
  }
  Log.write("worker " + id() + " starts");
  Server.start();
  sendHeartbeat();
}

bool Worker::begin(const HttpMessage &Call) {
  const std::string Target = Call.target();
  const std::string RequestId = Call.header("request-id");
  bool Crashes = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Runs.push_back({nowMillis(), RequestId, Target});
    Crashes = !CrashText.empty() && Target.find(CrashText) != std::string::npos;
  }
  Log.write("run " + RequestId + " " + Target + " at " + id());
  if (!Crashes)
    return true;
  crash();
  std::thread([this] {
    sleepMillis(DownMillis);
    restart();
  }).detach();
  return false;
}

HttpReply Worker::health() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  HttpReply Result;
  Result.Status = State == "ready" ? 200 : 503;
  Result.Headers = {{"Instance-Id", Id},
                    {"Server-Load", std::to_string(Busy.load()) + ",0," +
                                        std::to_string(Slots)}};
  return Result;
}

std::optional<HttpReply> Worker::handle(const HttpMessage &Call) {
  if (Call.target() == "/health")
    return health();
  const std::string RequestId = Call.header("request-id");
  const std::string Expected = Call.header("expect-instance");
  HttpReply Result;
  Result.Headers = {{"Request-Id", RequestId}, {"Instance-Id", id()}};
  if (!Expected.empty() && Expected != id()) {
    Result.Status = 421;
    return Result;
  }
  if (!begin(Call))
    return std::nullopt;
  ++Busy;
  sleepMillis(WorkMillis);
  --Busy;
  Result.Headers["Response-Stamp"] = "stamp." + RequestId;
  Result.Body = Service + " " + id();
  Result.Body.resize(std::max(Result.Body.size(), AnswerBytes.load()), '.');
  return Result;
}

std::string Worker::heartbeat(const std::string &Number, bool WithVersion) {
  const std::string Version = WithVersion ? "\"version\":\"v1\"," : "";
  return "{\"service\":\"" + Service +
         "\",\"address\":\"127.0.0.1:" + std::to_string(port()) +
         "\",\"zone\":\"zone-a\"," + Version +
         "\"slots\":" + std::to_string(Slots) + ",\"state\":\"" + State +
         "\",\"cold_left_ms\":0,\"seq\":" + Number +
         ",\"born\":" + std::to_string(Born) + "}";
}

int Worker::sendHeartbeat() {
  Request Call;
  Call.Method = "PUT";
  Call.Headers = {{"Content-Type", "application/json"}};
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!Running)
      return 0;
    ++Sequence;
    Call.Target = "/instances/" + Id;
    Call.Body = heartbeat(std::to_string(Sequence), /*WithVersion=*/true);
  }
  const std::optional<HttpMessage> Answer =
      exchange(ControlPort, Call, AckMillis);
  return Answer ? Answer->status() : 0;
}

int Worker::sendForeignHeartbeat(const std::string &Number) {
  Request Call;
  Call.Method = "PUT";
  Call.Headers = {{"Content-Type", "application/json"}};
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Call.Target = "/instances/" + Id;
    Call.Body = heartbeat(Number, /*WithVersion=*/false);
  }
  const std::optional<HttpMessage> Answer =
      exchange(ControlPort, Call, AckMillis);
  const int Status = Answer ? Answer->status() : 0;
  Log.write("heartbeat of another writer " + Call.Body + " answered " +
            std::to_string(Status));
  return Status;
}

void Worker::sendHeartbeats() {
  for (;;) {
    sendHeartbeat();
    sleepMillis(HeartbeatMillis);
  }
}

std::int64_t Worker::drain() {
  constexpr int Tries = 5;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    State = "draining";
  }
  for (int Try = 0; Try < Tries; ++Try) {
    const int Status = sendHeartbeat();
    Log.write("worker " + id() + " reports draining, answered " +
              std::to_string(Status));
    if (Status / 100 == 2)
      return nowMillis();
  }
  return -1;
}

void Worker::leave() {
  Request Call;
  Call.Method = "DELETE";
  Call.Target = "/instances/" + id();
  (void)exchange(ControlPort, Call, AckMillis);
  Log.write("worker " + id() + " has sent its departure");
  crash();
}

} // namespace review
