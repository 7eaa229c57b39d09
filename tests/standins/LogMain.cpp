#include "LogStore.h"
#include "StandinServer.h"

#include <atomic>
#include <charconv>
#include <chrono>
#include <gflags/gflags.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

DEFINE_string(address, "127.0.0.1:9000", "address to listen on");
DEFINE_uint64(retention, 100000, "records that are kept");
DEFINE_uint32(appends_per_second, 500, "appends beyond this rate get 429");

namespace camphorpin::standins {

namespace {

constexpr std::size_t ConnectionLimit = 1000;
constexpr std::size_t LargestRead = 1000;

/// \brief The faults that a test has switched on.
struct Faults {
  /// Every request gets 503 and has no effect.
  std::atomic<bool> Down = false;
  /// Appends take effect, but their answers are cut off.
  std::atomic<bool> LoseAnswers = false;
  /// Every request takes this much longer.
  std::atomic<int> DelayMs = 0;
};

/// \brief A budget of appends that is renewed every second.
class AppendRate {
public:
  bool take() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const std::int64_t Now = monotonicMicros() / 1000000;
    if (Now != Second)
      Taken = 0;
    Second = Now;
    return Taken++ < FLAGS_appends_per_second;
  }

private:
  std::mutex Mutex;
  std::int64_t Second = 0;
  std::uint32_t Taken = 0;
};

std::uint64_t numberParameter(const httplib::Request &Asked, const char *Name,
                              std::uint64_t Default) {
  const std::string Text = Asked.get_param_value(Name);
  std::from_chars(Text.data(), Text.data() + Text.size(), Default);
  return Default;
}

/// \returns false if the request has been answered with an outage.
bool passFaults(const Faults &Active, httplib::Response &Reply) {
  if (Active.DelayMs > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Active.DelayMs));
  if (Active.Down)
    Reply.status = 503;
  return !Active.Down;
}

void cutOff(httplib::Response &Reply) {
  Reply.set_content_provider(
      64, "application/json",
      [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

void install(httplib::Server &Server, LogStore &Store, AppendRate &Rate,
             Faults &Active) {
  Server.Post("/v1/records",
              [&](const httplib::Request &Asked, httplib::Response &Reply) {
                if (!passFaults(Active, Reply))
                  return;
                if (!Rate.take()) {
                  Reply.status = 429;
                  return;
                }
                const std::uint64_t Offset = Store.append(Asked.body);
                if (Active.LoseAnswers)
                  cutOff(Reply);
                else
                  Reply.set_content(nlohmann::json{{"offset", Offset}}.dump(),
                                    "application/json");
              });
  Server.Get("/v1/records", [&](const httplib::Request &Asked,
                                httplib::Response &Reply) {
    if (!passFaults(Active, Reply))
      return;
    const std::size_t Max = numberParameter(Asked, "max", LargestRead);
    Reply.set_content(Store.read(numberParameter(Asked, "from", 0),
                                 std::min(Max, LargestRead)),
                      "application/json");
  });
  Server.Post("/standin/control",
              [&](const httplib::Request &Asked, httplib::Response &Reply) {
                const nlohmann::json Root =
                    nlohmann::json::parse(Asked.body, nullptr, false);
                if (!Root.is_object()) {
                  Reply.status = 400;
                  return;
                }
                Active.Down = Root.value("down", false);
                Active.LoseAnswers = Root.value("loseAnswers", false);
                Active.DelayMs = Root.value("delayMs", 0);
              });
}

} // namespace

} // namespace camphorpin::standins

int main(int Argc, char **Argv) {
  using namespace camphorpin::standins;
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  LogStore Store(FLAGS_retention);
  AppendRate Rate;
  Faults Active;
  StandinServer Server(ConnectionLimit);
  install(Server.http(), Store, Rate, Active);
  Server.run(parseEndpoint(FLAGS_address), [] {});
  return 0;
}
