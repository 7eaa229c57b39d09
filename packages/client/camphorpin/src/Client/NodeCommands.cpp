#include "camphorpin/src/Client/NodeCommands.h"

#include "camphorpin/Core.h"

#include <string>

namespace camphorpin {

namespace {

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/// \returns one line for each field of a JSON object.
std::string lines(const nlohmann::json &Data) {
  std::string Text;
  for (const auto &Entry : Data.items())
    Text += Entry.key() + ": " +
            (Entry.value().is_string() ? Entry.value().get<std::string>()
                                       : Entry.value().dump()) +
            "\n";
  return Text;
}

CommandReport failure(ExitCode Code, const std::string &Message) {
  CommandReport Report{Code, Message + "\n"};
  Report.Data["error"] = Message;
  return Report;
}

CommandReport reportOf(const std::optional<AdminReply> &Reply) {
  if (!Reply)
    return failure(ExitCode::Unavailable, "the node does not answer");
  if (!isSuccess(Reply->Status))
    return failure(ExitCode::Faulty, "the node answered with status " +
                                         std::to_string(Reply->Status) + ": " +
                                         Reply->Body);
  const nlohmann::json Data =
      nlohmann::json::parse(Reply->Body, nullptr, false);
  if (!Data.is_object())
    return failure(ExitCode::Faulty, "the node's answer is not a JSON object");
  return {ExitCode::Ok, lines(Data), Data};
}

} // namespace

CommandReport NodeCommands::status() { return reportOf(Node.fetch("/status")); }

CommandReport NodeCommands::explain(std::string_view Service,
                                    std::string_view Operation) {
  if (!isValidName(Service) || !isValidName(Operation))
    return failure(ExitCode::Usage,
                   "explain needs the names of a service and an operation");
  return reportOf(Node.fetch("/explain?service=" + std::string(Service) +
                             "&operation=" + std::string(Operation)));
}

CommandReport NodeCommands::drain() {
  const std::optional<AdminReply> Reply = Node.post("/drain");
  if (!Reply || !isSuccess(Reply->Status))
    return reportOf(Reply);
  CommandReport Report{ExitCode::Ok,
                       "the node drains and exits when its accepted work is "
                       "finished\n"};
  Report.Data["draining"] = true;
  return Report;
}

} // namespace camphorpin
