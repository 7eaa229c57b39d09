#ifndef CAMPHORPIN_TESTS_STANDINS_BACKEND_H
#define CAMPHORPIN_TESTS_STANDINS_BACKEND_H

#include "LoadReport.h"
#include "NestedCalls.h"
#include "RunLedger.h"
#include "RunningRequests.h"
#include "ServiceTime.h"

#include <atomic>
#include <httplib.h>
#include <string>

namespace camphorpin::standins {

/// \class Backend
/// \brief The stand-in for a backend server.
class Backend {
public:
  struct Settings {
    RunningRequests::Limits Limits;
    ServiceTime::Settings Time;
    std::string Nested;
    std::string Node;
    std::string LedgerPath;
  };

  explicit Backend(const Settings &Values);

  /// Adds the endpoints:
  /// - `/<service>/<operation>` runs a request,
  /// - `DELETE /camphorpin/requests/<context>` cancels one,
  /// - `GET /camphorpin/health` reports the load,
  /// - `GET /standin/runs` gives the ledger,
  /// - `POST /standin/control` takes a JSON object with any of `serviceMs`,
  ///   `jitterMs`, `shed`, `drain` and `loadReport`.
  void install(httplib::Server &Server);

  /// Sheds new requests and waits for the running ones.
  void drain();

private:
  void handle(const httplib::Request &Asked, httplib::Response &Reply);
  void runAdmitted(RunningRequests::Request &Request,
                   const httplib::Request &Asked, const Question &Asker,
                   httplib::Response &Reply);
  void control(const httplib::Request &Asked, httplib::Response &Reply);

  RunningRequests Requests;
  ServiceTime Time;
  NestedCalls Nested;
  RunLedger Ledger;
  LoadReport Report;
  std::atomic<bool> Shedding = false;
  std::atomic<std::uint64_t> DirectRequests = 0;
};

} // namespace camphorpin::standins

#endif
