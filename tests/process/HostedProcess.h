#ifndef CAMPHORPIN_TESTS_PROCESS_HOSTEDPROCESS_H
#define CAMPHORPIN_TESTS_PROCESS_HOSTEDPROCESS_H

#include "ChildProcess.h"
#include "FreeAddress.h"
#include "Programs.h"

#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace camphorpin::process {

/// \class HostedProcess
/// \brief A node of a hosted platform in a process of its own. Its log is the
/// file NODE-<name>.log in the directory of the test.
class HostedProcess {
public:
  /// \param Directory exists and outlives the process.
  /// \param More further fields of the settings.
  /// \param MaxDescriptors see ChildProcess.
  HostedProcess(std::filesystem::path Directory, std::string Name,
                const std::string &Service, const HostAddress &Backend,
                const HostAddress &Store,
                const nlohmann::json &More = nlohmann::json::object(),
                std::size_t MaxDescriptors = 0)
      : Directory(std::move(Directory)), Name(std::move(Name)),
        MaxDescriptors(MaxDescriptors) {
    nlohmann::json Gateway = {
        {"node", this->Name},
        {"zone", "z"},
        {"service", Service},
        {"callAddress", CallAddress.toString()},
        {"readyAddress", ReadyAddress.toString()},
        {"reportAddress", ReportAddress.toString()},
        {"peerAddress", PeerAddress.toString()},
        {"metricsAddress", MetricsAddress.toString()},
        {"backendAddress", Backend.toString()},
        {"storeAddress", Store.toString()},
    };
    Gateway.update(More);
    std::ofstream(settingsFile())
        << nlohmann::json{{"gateway", Gateway}}.dump(2) << "\n";
    start();
  }

  void start() {
    Process = std::make_unique<ChildProcess>(
        std::vector<std::string>{programPath("camphorpind"), "--settings",
                                 settingsFile()},
        (Directory / ("NODE-" + Name + ".log")).string(), MaxDescriptors);
  }

  ChildProcess &process() { return *Process; }

  const HostAddress CallAddress = test::freeAddress();
  const HostAddress ReadyAddress = test::freeAddress();
  const HostAddress ReportAddress = test::freeAddress();
  const HostAddress PeerAddress = test::freeAddress();
  const HostAddress MetricsAddress = test::freeAddress();

private:
  std::string settingsFile() const {
    return (Directory / (Name + ".json")).string();
  }

  std::filesystem::path Directory;
  std::string Name;
  std::size_t MaxDescriptors;
  std::unique_ptr<ChildProcess> Process;
};

} // namespace camphorpin::process

#endif
