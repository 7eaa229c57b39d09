#include "RunLedger.h"

#include "Protocol.h"

#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace camphorpin::standins {

namespace {

const std::string &orDash(const std::string &Text) {
  static const std::string Dash = "-";
  return Text.empty() ? Dash : Text;
}

} // namespace

RunLedger::RunLedger(const std::string &Path) {
  if (Path.empty())
    return;
  File = ::open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (File < 0) {
    std::perror(Path.c_str());
    std::exit(1);
  }
}

RunLedger::~RunLedger() {
  if (File >= 0)
    ::close(File);
}

void RunLedger::recordStart(const std::string &Operation,
                            const std::string &Key, const std::string &Id) {
  const std::string Line = std::to_string(monotonicMicros()) + " " +
                           orDash(Operation) + " " + orDash(Key) + " " +
                           orDash(Id) + "\n";
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++RunsByKey[Key];
  ++RunsById[Id];
  if (File >= 0 && ::write(File, Line.data(), Line.size()) !=
                       static_cast<ssize_t>(Line.size()))
    std::abort();
}

std::string RunLedger::toJson() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return nlohmann::json{{"keys", RunsByKey}, {"ids", RunsById}}.dump();
}

} // namespace camphorpin::standins
