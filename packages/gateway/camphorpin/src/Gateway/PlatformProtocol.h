#ifndef CAMPHORPIN_SRC_GATEWAY_PLATFORMPROTOCOL_H
#define CAMPHORPIN_SRC_GATEWAY_PLATFORMPROTOCOL_H

#include "camphorpin/src/Gateway/BackendReport.h"
#include "camphorpin/src/Gateway/FleetConfiguration.h"
#include "camphorpin/src/Gateway/HttpMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \class HeaderNames
/// \brief The headers of callers and backend servers.
struct HeaderNames {
  std::string RequestId = "Camphorpin-Request";
  /// Remaining time in milliseconds.
  std::string Deadline = "Camphorpin-Deadline-Ms";
  /// Marks an answer that a backend server made.
  std::string ResponseStamp = "Camphorpin-Stamp";
  /// Names the only backend server that may run the request.
  std::string ExpectedBackend = "Camphorpin-Backend";
  /// Running requests, waiting requests and slots, separated by commas.
  std::string LoadReport = "Camphorpin-Load";
  /// States that the backend server did not run the request.
  std::string NotRun = "Camphorpin-Shed";
  /// The service of the host where the request began.
  std::string CallerService = "Camphorpin-Caller";
  /// The identity of the backend server that answered.
  std::string BackendId = "Camphorpin-Backend-Id";
};

/// \brief What the platform's store keeps for the system.
enum class StoreFeed : std::uint8_t {
  /// Written by the operator: the newest configuration.
  Configuration,
  /// Written by the nodes: where each of them is.
  Members,
};

/// \class StoreRecord
/// \brief The newest value of a key.
struct StoreRecord {
  std::string Key;
  /// Empty if the key was dropped.
  std::string Value;
};

/// \class StorePage
/// \brief Records and the position behind them.
struct StorePage {
  std::vector<StoreRecord> Records;
  /// Where the next read begins.
  std::uint64_t Next = 0;
  /// More keys follow behind the last record.
  bool More = false;
};

/// \brief Why a call of the store gave no page.
enum class StoreError : std::uint8_t {
  None,
  /// The records at the position are no longer kept.
  Expired,
  /// The store refused or could not be understood.
  Refused,
};

/// \class StoreReply
/// \brief A page or the reason for its absence.
struct StoreReply {
  StoreError Fault = StoreError::None;
  StorePage Page;
};

/// \class LifecycleRequest
/// \brief A call by which a backend server reports about itself.
struct LifecycleRequest {
  enum class Kind : std::uint8_t { Report, Departure, Unknown };
  Kind Type = Kind::Unknown;
  /// The id in the call, for both kinds.
  std::string Id;
  /// Absent if the report is malformed.
  std::optional<BackendReport> Report;
};

/// \class PlatformProtocol
/// \brief Translates between the platform's messages and the gateway's types.
///
/// Pure translation: an implementation keeps no state and decides nothing.
class PlatformProtocol {
public:
  virtual ~PlatformProtocol() = default;

  virtual const HeaderNames &headers() const = 0;

  /// \returns the path that asks whether the node takes requests.
  virtual std::string_view readyPath() const = 0;

  /// \returns the call that reads the newest record of each key behind
  /// \p After.
  virtual std::string newestRequest(StoreFeed Feed,
                                    std::string_view After) const = 0;
  virtual StoreReply parseNewestReply(const HttpResponse &Response) const = 0;

  /// \returns the call that waits up to \p Wait for records from \p Position.
  virtual std::string readRequest(StoreFeed Feed, std::uint64_t Position,
                                  Duration Wait) const = 0;
  /// \param Position where the read began.
  virtual StoreReply parseReadReply(const HttpResponse &Response,
                                    std::uint64_t Position) const = 0;

  /// \returns the call that adds a record; an empty value drops its key.
  virtual std::string appendRequest(StoreFeed Feed,
                                    const StoreRecord &Record) const = 0;

  /// \returns the configuration in \p Record, or nothing if the record isn't
  /// a configuration.
  virtual std::optional<FleetConfiguration>
  configuration(const StoreRecord &Record) const = 0;

  /// \returns the configuration in a document that a peer passed on.
  virtual std::optional<FleetConfiguration>
  configuration(std::string_view Document) const = 0;

  virtual LifecycleRequest
  parseLifecycleRequest(const HttpRequest &Request) const = 0;

  /// \returns the answer that acknowledges a lifecycle call.
  virtual HttpReply lifecycleReply(bool Accepted) const = 0;

  virtual BackendProbe probe(const HttpResponse &Response) const = 0;
};

} // namespace camphorpin

#endif
