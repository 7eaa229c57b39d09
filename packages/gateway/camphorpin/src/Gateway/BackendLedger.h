#ifndef CAMPHORPIN_SRC_GATEWAY_BACKENDLEDGER_H
#define CAMPHORPIN_SRC_GATEWAY_BACKENDLEDGER_H

#include "camphorpin/src/Gateway/BackendReport.h"

#include <map>
#include <string>
#include <string_view>

namespace camphorpin {

/// \class BackendLedger
/// \brief Decides which backend server the local host has and whether it takes
/// requests.
///
/// Reports may arrive late, twice, out of order, or come from an incarnation
/// that has ended. A later start replaces an earlier one, and within one
/// incarnation a higher sequence number replaces a lower one. A backend server
/// that left never becomes ready again under the same start.
class BackendLedger {
public:
  /// \param Address the address of the local backend server.
  /// \param Service the service of the local host.
  BackendLedger(std::string Address, std::string Service)
      : Address(std::move(Address)), Service(std::move(Service)) {}

  /// \returns true if the report changed what current() tells.
  bool onReport(const BackendReport &Report);

  /// A report without content: the backend server \p Id has left.
  /// \returns true if the report changed what current() tells.
  bool onGone(std::string_view Id);

  /// The answer to a health check, which tells the identity before the first
  /// report of a node that was restarted.
  /// \returns true if the answer changed what current() tells.
  bool onProbe(const BackendProbe &Probe);

  /// Another backend server answers at the address.
  void onMismatch(std::string_view Id);

  /// \returns true if requests may be sent.
  bool accepting() const {
    return !Current.Id.empty() && Current.Phase == BackendPhase::Ready;
  }

  const BackendReport &current() const { return Current; }

private:
  bool left(const BackendReport &Report) const;

  std::string Address;
  std::string Service;
  BackendReport Current;
  /// Latest start for which each id left. Bounded by MaxDeparted.
  std::map<std::string, std::int64_t, std::less<>> Departed;
};

} // namespace camphorpin

#endif
