#include "camphorpin/src/Client/PolicyCommands.h"

#include "camphorpin/src/Client/Publisher.h"

#include <utility>

namespace camphorpin {

namespace {

constexpr std::string_view MeshDocument = "mesh";
constexpr std::string_view ServicePrefix = "service/";

bool isPolicyDocument(std::string_view Name) {
  return Name == MeshDocument || Name.starts_with(ServicePrefix);
}

CommandReport faulty(const PolicyErrors &Errors) {
  CommandReport Report{ExitCode::Faulty, toString(Errors)};
  for (const PolicyError &Error : Errors)
    Report.Data["errors"].push_back({{"document", Error.Document},
                                     {"path", Error.Path},
                                     {"found", Error.Found},
                                     {"allowed", Error.Allowed}});
  return Report;
}

CommandReport failure(ExitCode Code, std::string Message) {
  CommandReport Report{Code, Message + "\n"};
  Report.Data["error"] = std::move(Message);
  return Report;
}

ExitCode exitCodeOf(PublishStatus Status) {
  switch (Status) {
  case PublishStatus::Accepted:
  case PublishStatus::AlreadyAccepted:
    return ExitCode::Ok;
  case PublishStatus::Conflict:
    return ExitCode::Conflict;
  case PublishStatus::Invalid:
    return ExitCode::Faulty;
  case PublishStatus::Unknown:
    return ExitCode::Unknown;
  case PublishStatus::Unavailable:
    return ExitCode::Unavailable;
  case PublishStatus::VersionUnknown:
    return ExitCode::VersionUnknown;
  }
  return ExitCode::Unknown;
}

std::string explain(const PublishResult &Result) {
  const std::string Base = std::to_string(Result.Base);
  const std::string InForce = std::to_string(Result.InForce);
  switch (Result.Status) {
  case PublishStatus::Accepted:
    return "accepted on version " + Base + ", version " + InForce +
           " is in force";
  case PublishStatus::AlreadyAccepted:
    return "already accepted, version " + InForce + " is in force";
  case PublishStatus::Conflict:
    return "conflict: the change was made for version " + Base + ", version " +
           InForce + " is in force";
  case PublishStatus::Invalid:
    return "invalid: the document is too large, or there are too many";
  case PublishStatus::Unknown:
    return "unknown: the answer of the log was lost (" + Result.Detail +
           "); run the same command again";
  case PublishStatus::Unavailable:
    return "unavailable: nothing was changed (" + Result.Detail + ")";
  case PublishStatus::VersionUnknown:
    return "the log does not show the version in force; give --base with the "
           "version that a node's status shows";
  }
  return "";
}

/// \returns one line for each difference between two JSON texts.
std::string differences(const std::string &Before, const std::string &After) {
  const nlohmann::json From = nlohmann::json::parse(Before);
  const nlohmann::json To = nlohmann::json::parse(After);
  std::string Text;
  for (const nlohmann::json &Step : nlohmann::json::diff(From, To)) {
    const nlohmann::json::json_pointer Path(Step["path"].get<std::string>());
    Text += "  " + Path.to_string() + ": ";
    Text += Step["op"] == "add" ? "nothing" : From.at(Path).dump();
    Text += " -> ";
    Text += Step["op"] == "remove" ? "nothing" : Step["value"].dump();
    Text += "\n";
  }
  return Text;
}

} // namespace

CommandReport PolicyCommands::check(std::string_view FileText) {
  std::variant<Documents, CommandReport> Loaded = load(FileText);
  if (std::holds_alternative<CommandReport>(Loaded))
    return std::get<CommandReport>(std::move(Loaded));
  CommandReport Report;
  for (const DocumentText &Text : std::get<Documents>(Loaded)) {
    Report.Text += Text.Name.string() + ": correct\n";
    Report.Data["documents"].push_back(Text.Name.string());
  }
  return Report;
}

CommandReport PolicyCommands::diff(std::string_view FileText) {
  if (std::optional<CommandReport> Failed = readLog())
    return std::move(*Failed);
  std::variant<Documents, CommandReport> Loaded = load(FileText);
  if (std::holds_alternative<CommandReport>(Loaded))
    return std::get<CommandReport>(std::move(Loaded));
  CommandReport Report;
  for (const DocumentText &Text : std::get<Documents>(Loaded)) {
    const ConfigurationDocument *InForce = View.fold().document(Text.Name);
    const std::uint64_t Version = View.fold().versionOf(Text.Name);
    const std::string Found =
        differences(InForce != nullptr ? InForce->Content : std::string("{}"),
                    Text.Content);
    Report.Text +=
        Text.Name.string() + " (version " + std::to_string(Version) +
        " in force): " + (Found.empty() ? "equal\n" : "different\n" + Found);
    Report.Data["documents"].push_back({{"document", Text.Name.string()},
                                        {"inForce", Version},
                                        {"differences", Found}});
    if (!Found.empty())
      Report.Code = ExitCode::Different;
  }
  return Report;
}

CommandReport PolicyCommands::publish(std::string_view FileText) {
  if (Options.Base && Options.Document.empty())
    return failure(ExitCode::Usage, "--base needs --document");
  std::variant<Documents, CommandReport> Loaded = load(FileText);
  if (std::holds_alternative<CommandReport>(Loaded))
    return std::get<CommandReport>(std::move(Loaded));
  CommandReport Report;
  for (const DocumentText &Text : std::get<Documents>(Loaded))
    if (!publishOne(Text, Report))
      break;
  return Report;
}

CommandReport PolicyCommands::history(std::string_view Document) {
  if (std::optional<CommandReport> Failed = readLog())
    return std::move(*Failed);
  CommandReport Report;
  Report.Data["changes"] = nlohmann::json::array();
  for (const HistoryEntry &Entry : View.history()) {
    const RecordOutcome &Outcome = Entry.Outcome;
    if (!Document.empty() && Outcome.Document.view() != Document)
      continue;
    const std::string Kind(toString(Outcome.Kind));
    Report.Text += "offset " + std::to_string(Entry.Offset) + " " +
                   Outcome.Document.string() + " base " +
                   std::to_string(Outcome.Base) + " by " + Entry.Author + ": " +
                   Kind + ", version " + std::to_string(Outcome.InForce) +
                   " in force\n";
    Report.Data["changes"].push_back({{"offset", Entry.Offset},
                                      {"document", Outcome.Document.string()},
                                      {"base", Outcome.Base},
                                      {"inForce", Outcome.InForce},
                                      {"author", Entry.Author},
                                      {"changeId", Outcome.ChangeId},
                                      {"outcome", Kind}});
  }
  return Report;
}

std::variant<PolicyCommands::Documents, CommandReport>
PolicyCommands::load(std::string_view FileText) {
  if (!Options.Document.empty())
    return loadSingle(FileText);
  const std::variant<PolicySet, PolicyErrors> Parsed = parsePolicySet(FileText);
  if (std::holds_alternative<PolicyErrors>(Parsed))
    return faulty(std::get<PolicyErrors>(Parsed));
  const PolicySet &Policies = std::get<PolicySet>(Parsed);
  Documents Result = {{DocumentName(MeshDocument), toJson(Policies.Mesh)}};
  for (const ServicePolicy &Service : Policies.Services)
    Result.push_back({DocumentName(documentNameOf(Service)),
                      toJson(Service, Policies.Mesh)});
  return Result;
}

std::variant<PolicyCommands::Documents, CommandReport>
PolicyCommands::loadSingle(std::string_view FileText) {
  if (!isPolicyDocument(Options.Document))
    return failure(ExitCode::Usage,
                   "--document is \"mesh\" or \"service/<name>\"");
  if (std::optional<CommandReport> Failed = readLog())
    return std::move(*Failed);
  // The text is checked before it is placed among the others, so that its
  // syntax errors are reported for the file itself.
  const nlohmann::json Content =
      nlohmann::json::parse(FileText, nullptr, false, true);
  if (Content.is_discarded())
    return faulty({{PolicyFault::Syntax, Options.Document, "", "malformed",
                    "JSON with comments"}});
  nlohmann::json All = nlohmann::json::object();
  for (const DocumentName &Name : View.fold().documentNames())
    if (isPolicyDocument(Name.view()))
      All[Name.string()] =
          nlohmann::json::parse(View.fold().document(Name)->Content);
  All[Options.Document] = Content;
  const std::string Name = std::exchange(Options.Document, "");
  std::variant<Documents, CommandReport> Loaded = load(All.dump());
  Options.Document = Name;
  if (std::holds_alternative<CommandReport>(Loaded))
    return Loaded;
  Documents Result;
  for (DocumentText &Text : std::get<Documents>(Loaded))
    if (Text.Name.view() == Name)
      Result.push_back(std::move(Text));
  return Result;
}

std::optional<CommandReport> PolicyCommands::readLog() {
  const std::optional<LogReadError> Error = View.refresh();
  if (!Error)
    return std::nullopt;
  return failure(ExitCode::Unavailable,
                 "the log cannot be read: " + Error->Detail);
}

bool PolicyCommands::publishOne(const DocumentText &Text,
                                CommandReport &Report) {
  Publisher Sender(Log, View, Options.Pause);
  const PublishResult Result =
      Sender.publish({Text.Name, Text.Content, Options.Base, Options.Author});
  Report.Code = exitCodeOf(Result.Status);
  Report.Text += Text.Name.string() + ": " + explain(Result) + "\n";
  Report.Data["documents"].push_back({{"document", Text.Name.string()},
                                      {"status", toString(Result.Status)},
                                      {"base", Result.Base},
                                      {"inForce", Result.InForce},
                                      {"changeId", Result.ChangeId}});
  return Report.Code == ExitCode::Ok;
}

} // namespace camphorpin
