// Guards the start of a node: wrong settings are all reported at once, with
// their fields, and never run.
#include "camphorpin/Daemon.h"

#include <criterion/criterion.h>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

using namespace camphorpin;

namespace {

std::set<std::string> faultyFields(std::string_view Json) {
  const std::variant<Settings, std::vector<SettingsError>> Result =
      parseSettings(Json);
  std::set<std::string> Fields;
  if (const auto *Errors = std::get_if<std::vector<SettingsError>>(&Result))
    for (const SettingsError &Error : *Errors)
      Fields.insert(Error.Field);
  return Fields;
}

std::string readFile(const std::string &Path) {
  std::stringstream Text;
  Text << std::ifstream(CAMPHORPIN_SOURCE_DIR "/" + Path).rdbuf();
  return Text.str();
}

} // namespace

Test(Settings, acceptsTheDocumentedExample) {
  const std::string Json = readFile("packages/daemon/examples/node.json");
  cr_assert(faultyFields(Json).empty());
  const Settings Value = std::get<Settings>(parseSettings(Json));
  cr_assert_eq(Value.Backend->Connections, 32);
  cr_assert_eq(Value.Peers.size(), 1);
  cr_assert(Value.ConnectionSilence == Duration::seconds(1));
}

Test(Settings, reportsAllFaultsWithTheirFields) {
  const std::set<std::string> Fields = faultyFields(R"({
    "address": "127.0.0.1", "httpAddress": 5, "zone": "a b", "region": "r",
    "service": "orders", "backend": { "address": "127.0.0.1:1", "conections": 1 },
    "peers": [ { "address": "127.0.0.1:2", "zone": "z" } ],
    "limits": { "body": -1, "httpThreads": 0 }, "logging": { "level": "loud" },
    "port": 80 })");
  const std::set<std::string> Expected = {
      "address",     "httpAddress",        "adminAddress",
      "zone",        "backend.conections", "peers[0].region",
      "limits.body", "limits.httpThreads", "logging.level",
      "port"};
  cr_assert(Fields == Expected);
}

Test(Settings, refusesTextThatIsNoObject) {
  cr_assert_eq(faultyFields("{").size(), 1);
  cr_assert_eq(faultyFields("[]").size(), 1);
}
