#ifndef CAMPHORPIN_TESTS_PROCESS_MESH_H
#define CAMPHORPIN_TESTS_PROCESS_MESH_H

#include "ChildProcess.h"

#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin::process {

/// Polls until \p Condition holds.
/// \returns false if it does not hold within \p Timeout, which is generous: it
/// only keeps a failing test from hanging.
bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::seconds Timeout = std::chrono::seconds(60));

/// \class ServiceSpec
/// \brief One service of a mesh.
struct ServiceSpec {
  std::string Name;
  int Workers = 1;
  double ServiceMs = 5;
  double JitterMs = 0;
  /// Nested calls as standin-backend takes them.
  std::string Nested;
};

/// \class Worker
/// \brief A backend server and the node beside it. Each pair has an IP address
/// of its own, as on separate hosts.
struct Worker {
  std::string Service;
  std::string Zone;
  std::string Ip;
  int RpcPort = 0;
  int HttpPort = 0;
  int AdminPort = 0;
  int BackendPort = 0;
  /// Where the node connects to its backend server, if not directly.
  std::string BackendAddress;
  std::vector<std::string> BackendCommand;
  /// Replaces "limits" in the settings of the node, if not null.
  nlohmann::json Limits;
  /// See ChildProcess.
  std::size_t MaxDescriptors = 0;
  std::unique_ptr<ChildProcess> Node;
  std::unique_ptr<ChildProcess> Backend;

  std::string address(int Port) const {
    return Ip + ":" + std::to_string(Port);
  }
};

/// \class LoadResult
/// \brief What the load generator reported.
struct LoadResult {
  int ExitStatus = 0;
  nlohmann::json Summary;
  std::string Table;

  /// \returns the number of requests with this outcome over all ranks.
  std::size_t count(std::string_view Outcome) const;
  std::size_t wrong() const;
  std::size_t unanswered() const;
};

/// \class Mesh
/// \brief A small mesh of real processes: the log stand-in and workers in three
/// availability zones. All processes end with this object.
class Mesh {
public:
  /// Chooses addresses and starts the log and the backend servers.
  /// \param Adjust changes a worker before its processes start.
  explicit Mesh(const std::vector<ServiceSpec> &Services,
                const std::function<void(Worker &)> &Adjust = {});
  ~Mesh();

  /// \returns the four services of the demo.
  static std::vector<ServiceSpec> shop(int Workers);

  /// Uses the baseline proxy instead of camphorpind from now on. The
  /// environment variable CAMPHORPIN_NAIVE does the same.
  void useNaiveNodes() { Naive = true; }

  /// Starts all nodes.
  /// \returns false if not all reach the state "serving" and know each other.
  bool startNodes();

  std::vector<Worker> &workers() { return Workers; }

  /// \returns the workers of a service.
  std::vector<Worker *> workersOf(std::string_view Service);

  void startNode(Worker &Target);
  void startBackend(Worker &Target);

  /// \returns the /status of a node, or nothing if it does not answer.
  std::optional<nlohmann::json> status(const Worker &Target) const;

  /// \returns true if the node is in state "serving" and knows \p Members
  /// processes.
  bool serves(const Worker &Target, std::size_t Members) const;

  /// Changes the faults of the log or of a backend server.
  void controlLog(const nlohmann::json &Faults) const;
  void controlBackend(const Worker &Target, const nlohmann::json &Change) const;
  ChildProcess &log() { return *Log; }
  std::string logAddress() const;

  /// Publishes the policy documents with camphorctl.
  /// \returns its exit status; its output is in directory()/publish.out.
  int publishDocuments() const;

  /// Starts the load generator.
  /// \param Plan the load plan; the targets are filled in if it has none.
  void startLoad(nlohmann::json Plan);

  /// Waits for the load generator and reads its report.
  LoadResult finishLoad();

  /// \returns the directory of all files of this mesh.
  const std::string &directory() const { return Directory; }
  std::string ledgerPath(const Worker &Target) const;
  std::string sendsPath() const { return Directory + "/sends"; }

private:
  Worker makeWorker(const ServiceSpec &Spec, int Index);
  nlohmann::json settingsOf(const Worker &Target) const;

  std::string Directory;
  nlohmann::json Documents;
  std::string LogIp;
  int LogPort = 0;
  bool Naive = false;
  std::unique_ptr<ChildProcess> Log;
  std::vector<Worker> Workers;
  std::unique_ptr<ChildProcess> Load;
};

/// \returns the text of a file, empty if there is none.
std::string readFile(const std::string &Path);

} // namespace camphorpin::process

#endif
