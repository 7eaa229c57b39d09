#ifndef CAMPHORPIN_SRC_GATEWAY_BACKENDTRACKER_H
#define CAMPHORPIN_SRC_GATEWAY_BACKENDTRACKER_H

#include "camphorpin/src/Gateway/BackendReport.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \class BackendTracker
/// \brief Tracks which backend server runs on the local host and whether it
/// accepts requests.
///
/// Reports may be delayed, duplicated or reordered, or come from an incarnation
/// that has ended. A later start time supersedes an earlier one, and within one
/// incarnation a higher sequence number supersedes a lower one. A backend
/// server that has departed never becomes ready again with the same start time.
///
/// Start times are read from the wall clock, which may be set back. A report
/// with an earlier start time is therefore kept as that of a rival, which
/// replaces the current incarnation if a health check identifies it or if it
/// keeps reporting while the current one is silent.
///
/// The first report of an incarnation may be a delayed one from before the
/// server departed, and a previous process of this node may already have
/// acknowledged the departure. Requests are therefore accepted only after a
/// health check or, where health checks are unreliable, a further report has
/// confirmed the server.
class BackendTracker {
public:
  /// \param Address the address of the local backend server.
  /// \param Service the service of the local host.
  BackendTracker(std::string Address, std::string Service)
      : Address(std::move(Address)), Service(std::move(Service)) {}

  /// \returns true if a new incarnation has replaced the current one, or if the
  /// phase, the number of slots or the result of accepting() may have changed.
  bool onReport(const BackendReport &Report, Instant Now);

  /// Handles the departure of the backend server \p Id. Its announcement
  /// contains only the id.
  /// \param WallNow the wall-clock time; if the start time of \p Id is unknown,
  /// reports with a start time up to this are ignored.
  /// \returns true if the phase of the current backend server changed.
  bool onDeparture(std::string_view Id, Instant WallNow, Instant Now);

  /// Handles the answer to a health check. After a restart of the node, it
  /// identifies the backend server before the first report; it also confirms a
  /// first report.
  /// \returns true if the answer changed the result of current() or
  /// accepting().
  bool onProbe(const BackendProbe &Probe);

  /// \returns the backend servers that have announced that they leave, the
  /// latest ones.
  std::vector<BackendDeparture> departures() const;

  /// Handles departures that an earlier process of this node has acknowledged.
  /// \returns true if the result of accepting() may have changed.
  bool restoreDepartures(std::span<const BackendDeparture> Earlier);

  /// A backend server other than \p Id answers at the address.
  void onIdentityMismatch(std::string_view Id);

  /// \returns true if the backend server accepts requests.
  bool accepting() const {
    return !Current.Id.empty() && Current.Phase == BackendPhase::Ready &&
           Confirmed;
  }

  /// \returns true if a health check could change current() or accepting().
  bool needsProbe() const {
    return Current.Id.empty() || (Rival && Rival->Report.Id != Current.Id) ||
           (Current.Phase == BackendPhase::Ready && !Confirmed);
  }

  const BackendReport &current() const { return Current; }

private:
  /// \brief Identifies the reports of a departed backend server that must be
  /// ignored.
  struct Departure {
    /// Start time in Unix milliseconds. If it is not known, the latest one that
    /// the server can have had.
    std::int64_t Start = 0;
    bool StartKnown = false;
    /// Reports are ignored until this instant if the start time is not known.
    Instant Until;
  };

  /// \brief An incarnation with an earlier start time than the current one.
  struct Contender {
    BackendReport Report;
    /// Arrival of its first report.
    Instant FirstReport;
  };

  /// Records that the current backend server leaves.
  void recordDeparture();
  /// Drops an entry of Departed if it is full.
  void makeRoom();
  /// Handles a report with an earlier start time than the current one.
  bool onEarlierStart(const BackendReport &Report, Instant Now);
  /// \returns true if \p Report comes from a departed backend server.
  bool hasDeparted(const BackendReport &Report, Instant Now) const;
  bool replaceCurrent(const BackendReport &Report, Instant Now);
  /// Applies a further report of the current incarnation.
  bool update(const BackendReport &Report, Instant Now);

  std::string Address;
  std::string Service;
  BackendReport Current;
  bool Confirmed = false;
  /// Arrival of the first report of the current incarnation.
  Instant FirstReport;
  /// Forgotten when the current incarnation reports again.
  std::optional<Contender> Rival;
  /// By id; at most MaxDeparted entries.
  std::map<std::string, Departure, std::less<>> Departed;
};

} // namespace camphorpin

#endif
