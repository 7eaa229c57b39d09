#ifndef CAMPHORPIN_SRC_CLIENT_POLICYCOMMANDS_H
#define CAMPHORPIN_SRC_CLIENT_POLICYCOMMANDS_H

#include "camphorpin/Policy.h"
#include "camphorpin/src/Client/CommandReport.h"
#include "camphorpin/src/Client/LogView.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorpin {

/// \class PolicyOptions
/// \brief The flags of the commands for policy documents.
struct PolicyOptions {
  /// The file holds this single document instead of a set of documents.
  std::string Document;
  /// The version that the document was made from.
  std::optional<std::uint64_t> Base;
  std::string Author = "operator";
  /// Between reads after an append whose answer was lost.
  Duration Pause = Duration::millis(500);
};

/// \class PolicyCommands
/// \brief check, diff, publish and history.
class PolicyCommands {
public:
  PolicyCommands(PlatformLog &Log, PolicyOptions Options)
      : Log(Log), View(Log), Options(std::move(Options)) {}

  /// Checks a set of documents, or one document together with those in force.
  CommandReport check(std::string_view FileText);

  /// Compares the documents of a file with those in force.
  CommandReport diff(std::string_view FileText);

  /// Publishes the documents of a file that differ from those in force.
  CommandReport publish(std::string_view FileText);

  /// Lists the retained changes of one document, or of all.
  CommandReport history(std::string_view Document);

private:
  struct DocumentText {
    DocumentName Name;
    std::string Content;
  };
  using Documents = std::vector<DocumentText>;

  std::variant<Documents, CommandReport> load(std::string_view FileText);
  std::variant<Documents, CommandReport> loadSingle(std::string_view FileText);
  std::optional<CommandReport> readLog();
  bool publishOne(const DocumentText &Text, CommandReport &Report);

  PlatformLog &Log;
  LogView View;
  PolicyOptions Options;
};

} // namespace camphorpin

#endif
