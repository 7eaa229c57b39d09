#ifndef CAMPHORPIN_SRC_MEMBERSHIP_MEMBERRECORD_H
#define CAMPHORPIN_SRC_MEMBERSHIP_MEMBERRECORD_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <cstdint>

namespace camphorpin {

/// \brief The states of charts/member.json, in its order.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Leaving, Left };

/// \class MemberRecord
/// \brief What nodes tell each other about one member.
struct MemberRecord {
  ProcessId Process;
  ServiceName Service;
  ZoneName Zone;
  RegionName Region;
  MemberState State = MemberState::Alive;
  /// Raised by the member itself to contradict a suspicion.
  std::uint32_t Refutation = 0;

  bool operator==(const MemberRecord &) const = default;

  /// \returns true if \p Other describes the member later than this record, so
  /// that it replaces this one. The order is total for one address, hence all
  /// nodes end with the same record whatever the order of arrival.
  bool supersededBy(const MemberRecord &Other) const;

  /// \returns true if the member may still run requests.
  bool present() const {
    return State != MemberState::Dead && State != MemberState::Left;
  }

  /// \returns true if the member takes new work as far as is known.
  bool acceptsWork() const { return State == MemberState::Alive; }

  /// \returns the approximate encoded size in bytes, for the byte budget.
  std::size_t encodedSize() const;
};

} // namespace camphorpin

#endif
