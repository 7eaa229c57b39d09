#include "camphorpin/Daemon.h"
#include "camphorpin/Gateway.h"
#include "camphorpin/Platform.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <variant>
#include <vector>

DEFINE_string(settings, "", "path of the settings file (docs/settings.md)");
DEFINE_bool(check_settings, false,
            "check the settings, print all errors and exit");

namespace {

using camphorpin::GatewaySettings;
using camphorpin::NodeDaemon;
using camphorpin::Settings;
using camphorpin::SettingsError;

/// Size in bytes from which a block of memory is returned to the system when it
/// is freed; the blocks of a SharedBody are larger. Without a fixed size, the C
/// library raises it up to 32 MB, and freed bodies and answers stay with the
/// process.
constexpr int ReturnedBlockBytes = 48 << 10;
/// Largest number of such blocks, half of the mappings that Linux allows a
/// process by default (vm.max_map_count). Further blocks stay with the process.
constexpr int MaxReturnedBlocks = 32768;

/// Prints all errors with file and field.
int printErrors(const std::vector<SettingsError> &Errors) {
  for (const SettingsError &Error : Errors) {
    std::cerr << FLAGS_settings << ": ";
    if (!Error.Field.empty())
      std::cerr << Error.Field << ": ";
    std::cerr << Error.Message << "\n";
  }
  return EXIT_FAILURE;
}

int runNode(const Settings &Options) {
  // The signals are taken by one thread; all threads inherit the mask.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  NodeDaemon Node(Options);
  const std::string Error = Node.start();
  if (!Error.empty()) {
    std::cerr << "camphorpind: cannot bind " << Error << "\n";
    return EXIT_FAILURE;
  }
  std::thread([Signals, &Node] {
    int Signal = 0;
    while (sigwait(&Signals, &Signal) == 0)
      Node.drain();
  }).detach();
  Node.waitForEnd();
  std::fflush(nullptr);
  // The signal thread never ends, so static objects are not destroyed.
  std::_Exit(EXIT_SUCCESS);
}

/// \returns the content of the settings file, or nothing if it can't be read.
std::optional<std::string> readSettingsFile() {
  std::ifstream File(FLAGS_settings);
  if (!File)
    return std::nullopt;
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// The settings file of a node of a hosted platform.
class GatewaySettingsFile final : public camphorpin::SettingsSource {
public:
  std::variant<GatewaySettings, std::vector<SettingsError>> read() override {
    const std::optional<std::string> Text = readSettingsFile();
    if (!Text)
      return std::vector<SettingsError>{{"", "cannot be read"}};
    std::variant<GatewaySettings, std::vector<SettingsError>> Result =
        camphorpin::parseGatewaySettings(*Text);
    if (auto *Options = std::get_if<GatewaySettings>(&Result))
      camphorpin::platform::applyBounds(*Options);
    return Result;
  }
};

/// Runs a node of a hosted platform.
int runGateway() {
  GatewaySettingsFile File;
  const std::variant<GatewaySettings, std::vector<SettingsError>> Result =
      File.read();
  if (std::holds_alternative<std::vector<SettingsError>>(Result))
    return printErrors(std::get<std::vector<SettingsError>>(Result));
  if (FLAGS_check_settings)
    return EXIT_SUCCESS;
  const GatewaySettings &Options = std::get<GatewaySettings>(Result);
  std::signal(SIGPIPE, SIG_IGN);
  const camphorpin::HostedProtocol Protocol(Options.StoreAddress.toString());
  camphorpin::Gateway Node(Options, Protocol, &File);
  const std::string Error = Node.start();
  if (!Error.empty()) {
    std::cerr << "camphorpind: cannot bind " << Error << "\n";
    return EXIT_FAILURE;
  }
  Node.run();
  std::fflush(nullptr);
  std::_Exit(EXIT_SUCCESS);
}

} // namespace

int main(int Count, char **Arguments) {
  ::mallopt(M_MMAP_THRESHOLD, ReturnedBlockBytes);
  ::mallopt(M_MMAP_MAX, MaxReturnedBlocks);
  gflags::SetUsageMessage("runs one camphorpin node\n"
                          "  camphorpind --settings FILE [--check-settings]");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  const std::optional<std::string> Text = readSettingsFile();
  if (!Text)
    return printErrors({{"", "cannot be read"}});
  if (camphorpin::isGatewaySettings(*Text))
    return runGateway();
  const std::variant<Settings, std::vector<SettingsError>> Result =
      camphorpin::parseSettings(*Text);
  if (std::holds_alternative<std::vector<SettingsError>>(Result))
    return printErrors(std::get<std::vector<SettingsError>>(Result));
  const Settings &Options = std::get<Settings>(Result);
  if (FLAGS_check_settings)
    return EXIT_SUCCESS;
  return runNode(Options);
}
