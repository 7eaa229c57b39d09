#ifndef CAMPHORPIN_SRC_GATEWAY_BACKENDTRACKER_H
#define CAMPHORPIN_SRC_GATEWAY_BACKENDTRACKER_H

#include "camphorpin/src/Gateway/BackendReport.h"

#include <map>
#include <string>
#include <string_view>

namespace camphorpin {

/// \class BackendTracker
/// \brief Decides which backend server the local host has and whether it takes
/// requests.
///
/// Reports may arrive late, twice, out of order, or come from an incarnation
/// that has ended. A later start replaces an earlier one, and within one
/// incarnation a higher sequence number replaces a lower one. A backend server
/// that left never becomes ready again under the same start.
///
/// The first report of an incarnation may have been held up since before the
/// server left, which the predecessor of this process may have acknowledged.
/// So it takes requests only once a health check has confirmed it, or a further
/// report where health checks don't tell the truth.
class BackendTracker {
public:
  /// \param Address the address of the local backend server.
  /// \param Service the service of the local host.
  BackendTracker(std::string Address, std::string Service)
      : Address(std::move(Address)), Service(std::move(Service)) {}

  /// \returns true if the report changed what current() or accepting() tells.
  bool onReport(const BackendReport &Report, Instant Now);

  /// A report without content: the backend server \p Id has left.
  /// \param WallNow the time of day, against which later starts are compared.
  /// \returns true if the report changed what current() tells.
  bool onGone(std::string_view Id, Instant WallNow, Instant Now);

  /// The answer to a health check, which tells the identity before the first
  /// report of a node that was restarted, and confirms a first report.
  /// \returns true if the answer changed what current() or accepting() tells.
  bool onProbe(const BackendProbe &Probe);

  /// Another backend server answers at the address.
  void onIdentityMismatch(std::string_view Id);

  /// \returns true if requests may be sent.
  bool accepting() const {
    return !Current.Id.empty() && Current.Phase == BackendPhase::Ready &&
           Confirmed;
  }

  /// \returns true if a health check could make the ledger accept requests.
  bool needsProbe() const {
    return Current.Id.empty() ||
           (Current.Phase == BackendPhase::Ready && !Confirmed);
  }

  const BackendReport &current() const { return Current; }

private:
  /// \brief Which reports of an id that left are of no account.
  struct Departure {
    /// Starts up to this one, in Unix milliseconds.
    std::int64_t LatestStart = 0;
    /// Until this instant; never() if the start was known.
    Instant Until;
  };

  bool hasLeft(const BackendReport &Report, Instant Now) const;
  bool replaceCurrent(const BackendReport &Report, Instant Now);
  bool update(const BackendReport &Report, Instant Now);

  std::string Address;
  std::string Service;
  BackendReport Current;
  bool Confirmed = false;
  /// When the first report of the current incarnation arrived.
  Instant FirstReport;
  /// By id; bounded by MaxDeparted.
  std::map<std::string, Departure, std::less<>> Departed;
};

} // namespace camphorpin

#endif
