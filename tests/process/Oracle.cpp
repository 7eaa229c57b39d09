#include "Oracle.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace camphorpin::process {

namespace {

const std::set<std::string> NonIdempotent = {"orders/pay", "lots/reserve",
                                             "dispatch/book"};
constexpr std::size_t DescribedFaults = 5;

/// A run belongs to the send with its id; nested calls have ids of their own.
std::map<std::string, std::vector<Send>>
sendsById(const std::vector<Send> &Sends) {
  std::map<std::string, std::vector<Send>> ById;
  for (const Send &Value : Sends)
    ById[Value.Id].push_back(Value);
  return ById;
}

/// \returns true if a send that was not answered "not run" can have caused
/// \p Value.
bool isExplained(const Run &Value, const std::vector<Send> &Candidates) {
  return std::any_of(Candidates.begin(), Candidates.end(),
                     [&](const Send &Candidate) {
                       return Candidate.SentAt <= Value.StartedAt &&
                              Candidate.Outcome != "not-run" &&
                              Candidate.Outcome != "not-connected";
                     });
}

/// \returns true if the answer to a repeated send, with no other send of the
/// request under way, denies \p Value although it had begun.
bool isDenied(const Run &Value, const std::vector<Send> &Candidates) {
  return std::any_of(
      Candidates.begin(), Candidates.end(), [&](const Send &Denial) {
        if (Denial.Outcome != "not-run" || Denial.Attempt < 2 ||
            Denial.Key == "-" || Value.StartedAt >= Denial.AnsweredAt)
          return false;
        return std::all_of(
            Candidates.begin(), Candidates.end(), [&](const Send &Other) {
              return &Other == &Denial || Other.AnsweredAt <= Denial.SentAt ||
                     Other.SentAt >= Denial.AnsweredAt;
            });
      });
}

std::string describeRun(const Run &Value) {
  return Value.Operation + " key " + Value.Key + " id " + Value.Id;
}

std::string describeSends(const std::vector<Send> &Sends) {
  std::string Text;
  for (const Send &Value : Sends)
    Text += ", sent at " + std::to_string(Value.SentAt) + " us, " +
            Value.Outcome + Value.Detail;
  return Text;
}

} // namespace

Oracle::Oracle(Mesh &Source) {
  for (const Worker &Target : Source.workers()) {
    const std::vector<Run> Ledger = runsAfter(Source.ledgerPath(Target), 0);
    Runs.insert(Runs.end(), Ledger.begin(), Ledger.end());
    Failures += readFile(Source.ledgerPath(Target) + ".out");
  }
  std::istringstream Lines(readFile(Source.sendsPath()));
  std::string Line;
  while (std::getline(Lines, Line)) {
    std::istringstream Fields(Line);
    Send Value;
    Fields >> Value.SentAt >> Value.AnsweredAt >> Value.Operation >>
        Value.Key >> Value.Id >> Value.Attempt >> Value.Outcome;
    std::getline(Fields, Value.Detail);
    Sends.push_back(Value);
  }
}

std::vector<Run> Oracle::runsAfter(const std::string &Path,
                                   std::int64_t Micros) {
  std::vector<Run> Found;
  std::istringstream Ledger(readFile(Path));
  Run Value;
  while (Ledger >> Value.StartedAt >> Value.Operation >> Value.Key >> Value.Id)
    if (Value.StartedAt > Micros)
      Found.push_back(Value);
  return Found;
}

std::vector<std::string> Oracle::falseNotRuns() const {
  const std::map<std::string, std::vector<Send>> ById = sendsById(Sends);
  std::vector<std::string> Faults;
  for (const Run &Value : Runs) {
    const auto Found = ById.find(Value.Id);
    if (Found == ById.end())
      continue;
    if (!isExplained(Value, Found->second))
      Faults.push_back("ran after not-run: " + describeRun(Value));
    else if (isDenied(Value, Found->second))
      Faults.push_back("denied by a later not-run: " + describeRun(Value));
  }
  return Faults;
}

std::vector<std::string> Oracle::repeatedKeys() const {
  std::map<std::string, std::size_t> Counts;
  for (const Run &Value : Runs)
    if (NonIdempotent.contains(Value.Operation))
      ++Counts[Value.Operation + " key " + Value.Key];
  std::vector<std::string> Faults;
  for (const auto &[Name, Count] : Counts)
    if (Count > 1)
      Faults.push_back(Name + " ran " + std::to_string(Count) + " times");
  return Faults;
}

std::vector<std::string> Oracle::inventedAnswers() const {
  std::set<std::string> Ran;
  for (const Run &Value : Runs)
    Ran.insert(Value.Id);
  std::vector<std::string> Faults;
  for (const Send &Value : Sends)
    if (Value.Outcome == "served" && !Ran.contains(Value.Id))
      Faults.push_back("served but never run: id " + Value.Id);
  return Faults;
}

std::vector<std::string> Oracle::interruptedRequests() const {
  const std::map<std::string, std::vector<Send>> ById = sendsById(Sends);
  std::vector<std::string> Faults;
  for (const Run &Value : Runs) {
    const auto Found = ById.find(Value.Id);
    if (Found == ById.end())
      continue;
    const bool Served =
        std::any_of(Found->second.begin(), Found->second.end(),
                    [](const Send &Sent) { return Sent.Outcome == "served"; });
    if (!Served)
      Faults.push_back("ran without an answer: " + describeRun(Value) +
                       describeSends(Found->second) + failureOf(Value.Id));
  }
  return Faults;
}

std::string Oracle::failureOf(const std::string &Id) const {
  const std::string Start = "request " + Id + ":";
  const std::size_t Found = Failures.find(Start);
  if (Found == std::string::npos)
    return {};
  const std::size_t Begin = Found + Start.size();
  return ", nested call" +
         Failures.substr(Begin, Failures.find('\n', Begin) - Begin);
}

std::size_t Oracle::runsOf(std::string_view Operation) const {
  return static_cast<std::size_t>(
      std::count_if(Runs.begin(), Runs.end(), [&](const Run &Value) {
        return Value.Operation == Operation;
      }));
}

std::map<std::string, std::size_t>
Oracle::runsById(std::string_view Operation, std::string_view IdPrefix) const {
  std::map<std::string, std::size_t> Counts;
  for (const Run &Value : Runs)
    if (Value.Operation == Operation && Value.Id.starts_with(IdPrefix))
      ++Counts[Value.Id];
  return Counts;
}

std::string describe(const std::vector<std::string> &Faults) {
  std::string Text = std::to_string(Faults.size()) + " faults";
  for (std::size_t Index = 0; Index < std::min(Faults.size(), DescribedFaults);
       ++Index)
    Text += "; " + Faults[Index];
  return Text;
}

} // namespace camphorpin::process
