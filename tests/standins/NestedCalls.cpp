#include "NestedCalls.h"

#include <algorithm>
#include <httplib.h>
#include <memory>

namespace camphorpin::standins {

namespace {

/// The node should answer at the deadline. This much later it is given up.
constexpr std::chrono::milliseconds Grace{1000};

/// \returns the connection of the calling thread to \p Node.
httplib::Client &connectionTo(const Endpoint &Node) {
  thread_local std::unique_ptr<httplib::Client> Connection;
  if (!Connection) {
    Connection = std::make_unique<httplib::Client>(Node.Ip, Node.Port);
    Connection->set_keep_alive(true);
    Connection->set_tcp_nodelay(true);
  }
  return *Connection;
}

} // namespace

NestedCalls::NestedCalls(std::string_view Plan, std::string_view NodeAddress) {
  for (const std::string &Entry : split(Plan, ';')) {
    const std::vector<std::string> Sides = split(Entry, '=');
    if (Sides.size() == 2)
      Targets[Sides[0]] = split(Sides[1], ',');
  }
  if (!Targets.empty())
    Node = parseEndpoint(NodeAddress);
}

std::vector<NestedOutcome>
NestedCalls::run(const std::string &Operation, const std::string &Context,
                 const std::string &Id,
                 std::chrono::milliseconds Timeout) const {
  std::vector<NestedOutcome> Outcomes;
  const auto Found = Targets.find(Operation);
  if (Found == Targets.end())
    return Outcomes;
  for (const std::string &Target : Found->second) {
    std::string ChildId = Id;
    ChildId.append("/").append(Target);
    Outcomes.push_back(call(Target, Context, ChildId, Timeout));
    if (!allServed(Outcomes))
      break;
  }
  return Outcomes;
}

NestedOutcome NestedCalls::call(const std::string &Target,
                                const std::string &Context,
                                const std::string &Id,
                                std::chrono::milliseconds Timeout) const {
  httplib::Client &Connection = connectionTo(Node);
  Connection.set_read_timeout(Timeout + Grace);
  const httplib::Result Reply =
      Connection.Post("/" + Target, {{"Camphorpin-Context", Context}},
                      encode(Question{Id, 0, false}), "application/json");
  if (!Reply)
    return {Target, 0, "no-answer", httplib::to_string(Reply.error())};
  if (Reply->status == 200) {
    const std::optional<Answer> Received = decodeAnswer(Reply->body);
    if (!Received || Received->Id != Id)
      return {Target, Reply->status, "wrong-answer", {}};
  }
  return {Target, Reply->status, Reply->get_header_value("Camphorpin-Verdict"),
          Reply->get_header_value("Camphorpin-Reason")};
}

bool allServed(const std::vector<NestedOutcome> &Outcomes) {
  return std::all_of(Outcomes.begin(), Outcomes.end(),
                     [](const NestedOutcome &Outcome) {
                       return Outcome.Status == 200 && Outcome.Verdict == "ran";
                     });
}

} // namespace camphorpin::standins
