#include "Mesh.h"

#include "LoopbackPorts.h"
#include "Programs.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace camphorpin::process {

namespace {

using test::freePort;
using test::loopbackIp;

constexpr int Zones = 3;
constexpr int SeedPeers = 3;
constexpr int BackendSlots = 16;

std::string makeDirectory() {
  std::string Path =
      (std::filesystem::temp_directory_path() / "camphorpin-XXXXXX").string();
  if (::mkdtemp(Path.data()) == nullptr) {
    std::perror(Path.c_str());
    std::exit(1);
  }
  return Path;
}

void post(const std::string &Ip, int Port, const std::string &Path,
          const std::string &Body) {
  httplib::Client(Ip, Port).Post(Path, Body, "application/json");
}

bool accepts(const std::string &Ip, int Port) {
  httplib::Client Probe(Ip, Port);
  return bool(Probe.Get("/camphorpin/health"));
}

} // namespace

bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::seconds Timeout) {
  const std::chrono::steady_clock::time_point End =
      std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

std::string readFile(const std::string &Path) {
  std::stringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

std::size_t LoadResult::count(std::string_view Outcome) const {
  std::size_t Sum = 0;
  for (const nlohmann::json &Rank : Summary.at("ranks"))
    if (Rank.contains("outcomes"))
      Sum += Rank["outcomes"].value(std::string(Outcome), std::size_t(0));
  return Sum;
}

std::size_t LoadResult::wrong() const {
  std::size_t Sum = 0;
  for (const nlohmann::json &Rank : Summary.at("ranks"))
    Sum += Rank.at("wrong").get<std::size_t>();
  return Sum;
}

std::size_t LoadResult::unanswered() const {
  std::size_t Sum = 0;
  for (const nlohmann::json &Rank : Summary.at("ranks"))
    Sum += Rank.at("unanswered").get<std::size_t>();
  return Sum;
}

std::vector<ServiceSpec> Mesh::shop(int Workers) {
  return {{"catalogue", Workers, 2, 2, ""},
          {"lots", Workers, 3, 3, "reserve=dispatch/book"},
          {"orders", Workers, 4, 4, "pay=lots/reserve;status=lots/find"},
          {"dispatch", Workers, 5, 5, ""}};
}

Mesh::Mesh(const std::vector<ServiceSpec> &Services,
           const std::function<void(Worker &)> &Adjust)
    : Directory(makeDirectory()),
      Documents(nlohmann::json::parse(readFile(CAMPHORPIN_SHOP_DOCUMENTS),
                                      nullptr, true, true)),
      LogIp(loopbackIp(0)), LogPort(freePort(LogIp)),
      Naive(std::getenv("CAMPHORPIN_NAIVE") != nullptr) {
  Log = std::make_unique<ChildProcess>(
      std::vector<std::string>{programPath("standin-log"),
                               "--address=" + logAddress()},
      Directory + "/log.out");
  for (const ServiceSpec &Spec : Services)
    for (int Index = 0; Index < Spec.Workers; ++Index)
      Workers.push_back(makeWorker(Spec, Index));
  for (Worker &Target : Workers) {
    if (Adjust)
      Adjust(Target);
    startBackend(Target);
  }
  for (const Worker &Target : Workers)
    waitUntil([&] { return accepts(Target.Ip, Target.BackendPort); });
}

Mesh::~Mesh() {
  Load.reset();
  Workers.clear();
  Log.reset();
  // A failed test's files are kept where CAMPHORPIN_KEEP_FILES asks for it.
  if (std::getenv("CAMPHORPIN_KEEP_FILES") == nullptr)
    std::filesystem::remove_all(Directory);
}

Worker Mesh::makeWorker(const ServiceSpec &Spec, int Index) {
  Worker Made;
  Made.Service = Spec.Name;
  Made.Zone = "z" + std::to_string(Index % Zones + 1);
  Made.Ip = loopbackIp(static_cast<int>(Workers.size()) + 1);
  Made.RpcPort = freePort(Made.Ip);
  Made.HttpPort = freePort(Made.Ip);
  Made.AdminPort = freePort(Made.Ip);
  Made.BackendPort = freePort(Made.Ip);
  Made.BackendAddress = Made.address(Made.BackendPort);
  Made.BackendCommand = {
      programPath("standin-backend"),
      "--address=" + Made.BackendAddress,
      "--slots=" + std::to_string(BackendSlots),
      "--service_ms=" + std::to_string(Spec.ServiceMs),
      "--jitter_ms=" + std::to_string(Spec.JitterMs),
      "--seed=" + std::to_string(Workers.size() + 1),
      "--nested=" + Spec.Nested,
      "--node=" + Made.address(Made.HttpPort),
      "--ledger=" + ledgerPath(Made),
  };
  return Made;
}

nlohmann::json Mesh::settingsOf(const Worker &Target) const {
  nlohmann::json Peers = nlohmann::json::array();
  for (int Index = 0;
       Index < SeedPeers && Index < static_cast<int>(Workers.size()); ++Index) {
    const Worker &Peer = Workers[static_cast<std::size_t>(Index)];
    if (&Peer != &Target)
      Peers.push_back({{"address", Peer.address(Peer.RpcPort)},
                       {"service", Peer.Service},
                       {"zone", Peer.Zone},
                       {"region", "r1"}});
  }
  return {{"address", Target.address(Target.RpcPort)},
          {"httpAddress", Target.address(Target.HttpPort)},
          {"adminAddress", Target.address(Target.AdminPort)},
          {"zone", Target.Zone},
          {"region", "r1"},
          {"service", Target.Service},
          {"backend",
           {{"address", Target.BackendAddress}, {"connections", BackendSlots}}},
          {"log", {{"address", logAddress()}}},
          {"peers", Peers},
          {"documents", Documents},
          {"limits", Target.Limits.is_null()
                         ? nlohmann::json{{"httpThreads", 128}}
                         : Target.Limits},
          {"logging", {{"level", "info"}, {"file", ""}}}};
}

bool Mesh::startNodes() {
  for (Worker &Target : Workers)
    startNode(Target);
  return waitUntil([this] {
    for (const Worker &Target : Workers)
      if (!serves(Target, Workers.size()))
        return false;
    return true;
  });
}

std::vector<Worker *> Mesh::workersOf(std::string_view Service) {
  std::vector<Worker *> Found;
  for (Worker &Target : Workers)
    if (Target.Service == Service)
      Found.push_back(&Target);
  return Found;
}

void Mesh::startNode(Worker &Target) {
  const std::string Path =
      Directory + "/node-" + Target.address(Target.RpcPort);
  nlohmann::json Settings = settingsOf(Target);
  if (Naive)
    for (const Worker &Other : Workers)
      Settings["backends"][Other.Service].push_back(Other.BackendAddress);
  std::ofstream(Path + ".json") << Settings.dump(2);
  Target.Node = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          programPath(Naive ? "naive-node" : "camphorpind"),
          "--settings=" + Path + ".json"},
      Path + ".out", Target.MaxDescriptors);
}

void Mesh::startBackend(Worker &Target) {
  Target.Backend = std::make_unique<ChildProcess>(Target.BackendCommand,
                                                  ledgerPath(Target) + ".out");
}

std::optional<nlohmann::json> Mesh::status(const Worker &Target) const {
  httplib::Client Client(Target.Ip, Target.AdminPort);
  const httplib::Result Reply = Client.Get("/status");
  if (!Reply || Reply->status != 200)
    return std::nullopt;
  return nlohmann::json::parse(Reply->body, nullptr, false);
}

bool Mesh::serves(const Worker &Target, std::size_t Members) const {
  const std::optional<nlohmann::json> Status = status(Target);
  if (!Status || !Status->is_object() ||
      Status->value("state", "") != "serving")
    return false;
  const auto Known = Status->find("members");
  if (Known == Status->end())
    return true;
  return Known->is_number() ? Known->get<std::size_t>() >= Members
                            : Known->size() >= Members;
}

void Mesh::controlLog(const nlohmann::json &Faults) const {
  post(LogIp, LogPort, "/standin/control", Faults.dump());
}

void Mesh::controlBackend(const Worker &Target,
                          const nlohmann::json &Change) const {
  post(Target.Ip, Target.BackendPort, "/standin/control", Change.dump());
}

std::string Mesh::logAddress() const {
  return LogIp + ":" + std::to_string(LogPort);
}

int Mesh::publishDocuments() const {
  ChildProcess Publisher({programPath("camphorctl"), "publish",
                          "--log=" + logAddress(), "--author=demo",
                          CAMPHORPIN_SHOP_DOCUMENTS},
                         Directory + "/publish.out");
  return Publisher.wait();
}

void Mesh::startLoad(nlohmann::json Plan) {
  if (!Plan.contains("targets"))
    for (const Worker &Target : Workers)
      Plan["targets"].push_back(Target.address(Target.HttpPort));
  std::ofstream(Directory + "/plan.json") << Plan.dump(2);
  Load = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          programPath("standin-load"), "--plan=" + Directory + "/plan.json",
          "--summary=" + Directory + "/summary.json", "--sends=" + sendsPath()},
      Directory + "/load.out");
}

LoadResult Mesh::finishLoad() {
  LoadResult Result;
  Result.ExitStatus = Load->wait();
  Result.Table = readFile(Directory + "/load.out");
  Result.Summary = nlohmann::json::parse(readFile(Directory + "/summary.json"));
  return Result;
}

std::string Mesh::ledgerPath(const Worker &Target) const {
  return Directory + "/ledger-" + Target.address(Target.BackendPort);
}

} // namespace camphorpin::process
