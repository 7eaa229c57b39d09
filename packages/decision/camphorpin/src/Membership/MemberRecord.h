#ifndef CAMPHORPIN_SRC_MEMBERSHIP_MEMBERRECORD_H
#define CAMPHORPIN_SRC_MEMBERSHIP_MEMBERRECORD_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <cstdint>

namespace camphorpin {

/// \brief The states of charts/member.json, in its order.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Leaving, Left };

/// \class MemberRecord
/// \brief The state of one member as nodes exchange it.
struct MemberRecord {
  ProcessId Process;
  ServiceName Service;
  ZoneName Zone;
  RegionName Region;
  MemberState State = MemberState::Alive;
  /// Incremented by the member itself to refute a suspicion.
  std::uint32_t Refutation = 0;

  bool operator==(const MemberRecord &) const = default;

  /// \returns true if \p Other is newer than this record and replaces it. The
  /// order is total for one address, so all nodes converge to the same record
  /// whatever the order of arrival.
  bool supersededBy(const MemberRecord &Other) const;

  /// \returns true if the member may still run requests.
  bool present() const {
    return State != MemberState::Dead && State != MemberState::Left;
  }

  /// \returns true if the member accepts new work as far as is known.
  bool acceptsWork() const { return State == MemberState::Alive; }

  /// \returns the approximate encoded size in bytes, for the byte budget.
  std::size_t encodedSize() const;
};

} // namespace camphorpin

#endif
