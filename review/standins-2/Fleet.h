#ifndef REVIEW_STANDINS_2_FLEET_H
#define REVIEW_STANDINS_2_FLEET_H

#include "Node.h"
#include "Store.h"
#include "Worker.h"

#include <memory>
#include <vector>

namespace review {

/// Exit statuses of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// \brief The bounds of the pages that the cases use, in milliseconds.
constexpr std::int64_t StableWindowMillis = 3000;
constexpr std::int64_t DrainMillis = 2000;
constexpr std::int64_t ConfigApplyMillis = 2000;
constexpr std::int64_t OuterBoundMillis = 5000;
constexpr std::int64_t RecoverMillis = 15000;

/// \class Machine
/// \brief A worker and the node beside it.
struct Machine {
  std::unique_ptr<Worker> App;
  std::unique_ptr<Node> Gate;
};

/// \class Fleet
/// \brief A small deployment: a store, machines, an operator and clients.
class Fleet {
public:
  /// \param Folder of record.txt.
  explicit Fleet(const std::string &Folder);

  /// Ends all processes that were started and this one. The threads of the
  /// stand-ins run until then.
  [[noreturn]] void end(int Status);

  /// \param Zone a letter.
  /// \returns the new machine.
  Machine &add(const std::string &Service, char Zone, unsigned Slots,
               std::int64_t WorkMillis);

  /// Publishes the first configuration, starts all processes and waits until
  /// all nodes are ready and have been in touch.
  /// \returns false if they don't become ready.
  bool start(const std::string &Document);

  /// Sends a request of a client and waits for its answer.
  HttpMessage send(const Machine &At, const std::string &Target,
                   std::int64_t DeadlineMillis);

  /// Publishes a configuration as the operator.
  /// \returns when the store has acknowledged it.
  std::int64_t publish(const std::string &Document);

  std::string nextRequestId();

  Record Log;
  Store Platform;
  std::vector<std::unique_ptr<Machine>> Machines;

private:
  std::string Temporary;
  unsigned Sent = 0;
};

/// \brief A route of a configuration.
struct Route {
  std::string Name;
  std::string Prefix;
  std::string Service;
  std::int64_t TimeoutMillis = 5000;
  std::int64_t TargetMillis = 1000;
  std::string Type = "idempotent";
};

/// \returns the operator's configuration with \p Version.
std::string configuration(unsigned Version, const std::vector<Route> &Routes,
                          const std::vector<std::string> &Services);

/// \returns true unless the variable TROUBLE is 0.
bool withTrouble();

/// \returns the folder of the case: the first argument of the program.
std::string caseFolder(int Count, char **Arguments);

} // namespace review

#endif
