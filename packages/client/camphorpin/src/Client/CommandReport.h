#ifndef CAMPHORPIN_SRC_CLIENT_COMMANDREPORT_H
#define CAMPHORPIN_SRC_CLIENT_COMMANDREPORT_H

#include <nlohmann/json.hpp>
#include <string>

namespace camphorpin {

/// \brief The exit codes of camphorctl. Scripts depend on the numbers.
enum class ExitCode : int {
  /// The command did what it says, also if it had been done before.
  Ok = 0,
  /// A document or a reply has errors.
  Faulty = 1,
  /// The command line is wrong.
  Usage = 2,
  /// The change was made for a version that is not in force.
  Conflict = 3,
  /// The change may or may not have been accepted. Run the command again.
  Unknown = 4,
  /// The log or the node cannot be reached. Nothing was changed.
  Unavailable = 5,
  /// The log does not show which version is in force.
  VersionUnknown = 6,
  /// The compared documents differ.
  Different = 7,
};

/// \class CommandReport
/// \brief What a command found, for people and for scripts.
struct CommandReport {
  ExitCode Code = ExitCode::Ok;
  std::string Text;
  nlohmann::json Data = nlohmann::json::object();
};

} // namespace camphorpin

#endif
