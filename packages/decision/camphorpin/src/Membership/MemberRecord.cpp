#include "camphorpin/src/Membership/MemberRecord.h"

namespace camphorpin {

namespace {

// Address, incarnation, refutation, state and the pointers to three names.
constexpr std::size_t FixedEncodedBytes = 40;

bool isSelfAnnounced(MemberState State) {
  return State == MemberState::Leaving || State == MemberState::Left;
}

} // namespace

bool MemberRecord::supersededBy(const MemberRecord &Other) const {
  if (Process.Incarnation != Other.Process.Incarnation)
    return Process.Incarnation < Other.Process.Incarnation;
  // Leaving is final: no refutation makes the member alive again.
  if (isSelfAnnounced(State) || isSelfAnnounced(Other.State))
    return State < Other.State;
  if (Refutation != Other.Refutation)
    return Refutation < Other.Refutation;
  return State < Other.State;
}

std::size_t MemberRecord::encodedSize() const {
  return FixedEncodedBytes + Service.view().size() + Zone.view().size() +
         Region.view().size();
}

} // namespace camphorpin
