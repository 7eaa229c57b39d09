#include "Protocol.h"
#include "StandinServer.h"

#include <atomic>
#include <fstream>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

DEFINE_string(settings, "",
              "file with the settings of a node and a field "
              "'backends' with all backend servers by service");

/// A plain HTTP proxy with retries in place of a node. It is the baseline that
/// shows which faults the failure tests find: it retries whatever failed and
/// calls every failure "not run".
namespace camphorpin::standins {

namespace {

constexpr int Attempts = 3;
constexpr std::chrono::milliseconds AttemptTimeout{1000};
constexpr std::size_t ConnectionLimit = 500;

using Backends = std::map<std::string, std::vector<std::string>>;

httplib::Client &connectionTo(const std::string &Address) {
  thread_local std::map<std::string, std::unique_ptr<httplib::Client>> Open;
  std::unique_ptr<httplib::Client> &Connection = Open[Address];
  if (!Connection) {
    const Endpoint Target = parseEndpoint(Address);
    Connection = std::make_unique<httplib::Client>(Target.Ip, Target.Port);
    Connection->set_keep_alive(true);
    Connection->set_tcp_nodelay(true);
    Connection->set_read_timeout(AttemptTimeout);
  }
  return *Connection;
}

void forward(const Backends &Known, const httplib::Request &Asked,
             httplib::Response &Reply) {
  static std::atomic<std::uint64_t> Contexts = 0;
  thread_local std::mt19937_64 Engine(
      static_cast<std::uint64_t>(monotonicMicros()));
  const std::vector<std::string> &Targets = Known.at(Asked.matches[1].str());
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    const httplib::Headers Headers = {
        {"Camphorpin-Context", std::to_string(++Contexts)},
        {"Idempotency-Key", Asked.get_header_value("Idempotency-Key")}};
    const httplib::Result Received =
        connectionTo(Targets[Engine() % Targets.size()])
            .Post(Asked.path, Headers, Asked.body, "application/json");
    if (!Received || Received->has_header("Camphorpin-Shed"))
      continue;
    Reply.status = Received->status;
    Reply.set_header("Camphorpin-Verdict", "ran");
    Reply.set_content(Received->body, "application/octet-stream");
    return;
  }
  Reply.status = 503;
  Reply.set_header("Camphorpin-Verdict", "not-run");
}

void serveAdmin(httplib::Server &Admin, const Endpoint &Address) {
  Admin.Get("/status", [](const httplib::Request &, httplib::Response &Reply) {
    Reply.set_content(R"({"state":"serving","members":1000})",
                      "application/json");
  });
  Admin.listen(Address.Ip, Address.Port);
}

} // namespace

} // namespace camphorpin::standins

int main(int Argc, char **Argv) {
  using namespace camphorpin::standins;
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::ifstream File(FLAGS_settings);
  const nlohmann::json Settings = nlohmann::json::parse(File);
  const Backends Known = Settings.at("backends").get<Backends>();
  StandinServer Front(ConnectionLimit);
  Front.http().Post("/([^/]+)/.+", [&Known](const httplib::Request &Asked,
                                            httplib::Response &Reply) {
    forward(Known, Asked, Reply);
  });
  httplib::Server Admin;
  std::thread AdminThread([&] {
    serveAdmin(Admin,
               parseEndpoint(Settings.at("adminAddress").get<std::string>()));
  });
  Front.run(parseEndpoint(Settings.at("httpAddress").get<std::string>()),
            [&Admin] { Admin.stop(); });
  AdminThread.join();
  return 0;
}
