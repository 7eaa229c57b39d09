// camphorctl, the client of operators. See docs/operators.md.
#include "camphorpin/Client.h"

#include <array>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>

DEFINE_bool(json, false, "print JSON");
DEFINE_string(log, "127.0.0.1:9000", "address of the platform's log");
DEFINE_string(admin, "127.0.0.1:7002", "admin address of a node");
DEFINE_string(document, "", "the file holds this document alone");
DEFINE_int64(base, -1, "version that the document was made from");
DEFINE_string(author, "operator", "name that the history shows");
DEFINE_int64(timeout_ms, 5000, "time for each answer of the log or the node");
DECLARE_bool(help);

using namespace camphorpin;

namespace {

struct Command {
  std::string_view Name;
  std::size_t Arguments;
  std::string_view Help;
};

constexpr std::array<Command, 7> Commands = {{
    {"check", 1,
     "camphorctl check [--document=NAME] FILE\n"
     "Checks a set of policy documents, or with --document one document\n"
     "together with the documents in force (--log).\n"},
    {"publish", 1,
     "camphorctl publish [--document=NAME [--base=VERSION]] [--author=NAME]\n"
     "                   FILE\n"
     "Publishes the documents that differ from those in force (--log). With\n"
     "--base, a change that somebody made after VERSION is a conflict. Can be\n"
     "run again after any failure.\n"},
    {"diff", 1,
     "camphorctl diff [--document=NAME] FILE\n"
     "Compares the documents of a file with those in force (--log). Exits\n"
     "with 7 if they differ.\n"},
    {"history", 1,
     "camphorctl history DOCUMENT\n"
     "Lists the changes of a document that the log retains (--log). DOCUMENT\n"
     "is for example service/orders, or all.\n"},
    {"status", 0,
     "camphorctl status --admin=ADDRESS\n"
     "Shows the state of a node.\n"},
    {"explain", 2,
     "camphorctl explain --admin=ADDRESS SERVICE OPERATION\n"
     "Shows what a node would do with a request now, and why.\n"},
    {"drain", 0,
     "camphorctl drain --admin=ADDRESS\n"
     "Starts a graceful drain of a node.\n"},
}};

constexpr std::string_view ExitCodes =
    "Exit codes: 0 done or already done, 1 faulty document or reply, 2 wrong\n"
    "command line, 3 conflict, 4 outcome unknown (run again), 5 log or node\n"
    "unavailable, 6 version in force unknown, 7 documents differ.\n"
    "All commands take --json and --timeout_ms.\n";

int usage(std::ostream &Output, ExitCode Code) {
  for (const Command &Entry : Commands)
    Output << Entry.Help << "\n";
  Output << ExitCodes;
  return static_cast<int>(Code);
}

int print(const CommandReport &Report) {
  const bool Done =
      Report.Code == ExitCode::Ok || Report.Code == ExitCode::Different;
  if (FLAGS_json)
    std::cout << Report.Data.dump(2) << "\n";
  else
    (Done ? std::cout : std::cerr) << Report.Text;
  return static_cast<int>(Report.Code);
}

int usageError(const std::string &Message) {
  return print({ExitCode::Usage, Message + "\n", {{"error", Message}}});
}

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(File), {});
}

int runPolicyCommand(std::string_view Name, const std::string &Argument) {
  const std::optional<HostAddress> Address = HostAddress::parse(FLAGS_log);
  if (!Address)
    return usageError("--log is an address such as 127.0.0.1:9000");
  HttpLogSettings Settings;
  Settings.Address = *Address;
  Settings.ReplyTimeout = Duration::millis(FLAGS_timeout_ms);
  HttpPlatformLog Log(Settings);
  PolicyOptions Options;
  Options.Document = FLAGS_document;
  Options.Author = FLAGS_author;
  if (FLAGS_base >= 0)
    Options.Base = static_cast<std::uint64_t>(FLAGS_base);
  PolicyCommands Client(Log, Options);
  if (Name == "history")
    return print(Client.history(Argument == "all" ? "" : Argument));
  const std::optional<std::string> Text = readFile(Argument);
  if (!Text)
    return usageError("the file " + Argument + " cannot be read");
  if (Name == "check")
    return print(Client.check(*Text));
  if (Name == "diff")
    return print(Client.diff(*Text));
  return print(Client.publish(*Text));
}

int runNodeCommand(std::string_view Name, char **Arguments) {
  const std::optional<HostAddress> Address = HostAddress::parse(FLAGS_admin);
  if (!Address)
    return usageError("--admin is an address such as 127.0.0.1:7002");
  HttpAdminClient Node(*Address, Duration::millis(FLAGS_timeout_ms));
  NodeCommands Client(Node);
  if (Name == "status")
    return print(Client.status());
  if (Name == "explain")
    return print(Client.explain(Arguments[0], Arguments[1]));
  return print(Client.drain());
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineNonHelpFlags(&Count, &Arguments, true);
  if (Count < 2)
    return usage(FLAGS_help ? std::cout : std::cerr,
                 FLAGS_help ? ExitCode::Ok : ExitCode::Usage);
  const std::string_view Name = Arguments[1];
  for (const Command &Entry : Commands) {
    if (Entry.Name != Name)
      continue;
    if (FLAGS_help) {
      std::cout << Entry.Help << ExitCodes;
      return 0;
    }
    if (static_cast<std::size_t>(Count - 2) != Entry.Arguments)
      return usageError("usage: " + std::string(Entry.Help));
    const bool ForNode =
        Name == "status" || Name == "explain" || Name == "drain";
    return ForNode ? runNodeCommand(Name, Arguments + 2)
                   : runPolicyCommand(Name, Arguments[2]);
  }
  return usage(std::cerr, ExitCode::Usage);
}
