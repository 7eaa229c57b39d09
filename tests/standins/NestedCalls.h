#ifndef CAMPHORPIN_TESTS_STANDINS_NESTEDCALLS_H
#define CAMPHORPIN_TESTS_STANDINS_NESTEDCALLS_H

#include "Protocol.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin::standins {

/// \class NestedCalls
/// \brief The calls that a backend server makes through its local node while it
/// runs a request.
class NestedCalls {
public:
  /// \param Plan "operation=service/operation,...;operation=..."
  /// \param Node HTTP address of the local node; may be empty if the plan is.
  NestedCalls(std::string_view Plan, std::string_view Node);

  /// Makes the calls of \p Operation one after the other and stops at the
  /// first that fails.
  /// \param Context the context header of the running request.
  std::vector<NestedOutcome> run(const std::string &Operation,
                                 const std::string &Context,
                                 const std::string &Id,
                                 std::chrono::milliseconds Timeout) const;

private:
  NestedOutcome call(const std::string &Target, const std::string &Context,
                     const std::string &Id,
                     std::chrono::milliseconds Timeout) const;

  std::map<std::string, std::vector<std::string>> Targets;
  Endpoint Node;
};

/// \returns true if every call was answered with status 200 and its own answer.
bool allServed(const std::vector<NestedOutcome> &Outcomes);

} // namespace camphorpin::standins

#endif
