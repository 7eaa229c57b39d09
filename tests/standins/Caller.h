#ifndef CAMPHORPIN_TESTS_STANDINS_CALLER_H
#define CAMPHORPIN_TESTS_STANDINS_CALLER_H

#include "LoadOutcome.h"
#include "LoadPlan.h"

#include <httplib.h>
#include <memory>
#include <vector>

namespace camphorpin::standins {

/// \class Caller
/// \brief Sends requests over connections that stay open, one to each node,
/// and judges the answers. Serves one thread.
class Caller {
public:
  explicit Caller(const LoadPlan &Plan);

  /// Sends one request.
  /// \param Target index of the node; the next one is tried if it cannot be
  /// connected to.
  /// \param Record stream, key, id and attempt are read; the rest is filled.
  void send(std::size_t Target, SendRecord &Record);

private:
  httplib::Result exchange(std::size_t Target, const SendRecord &Record);
  void judge(const httplib::Result &Reply, SendRecord &Record) const;

  const LoadPlan &Plan;
  std::vector<std::unique_ptr<httplib::Client>> Connections;
};

} // namespace camphorpin::standins

#endif
