#ifndef CAMPHORPIN_SRC_RETRY_ATTEMPTBUDGET_H
#define CAMPHORPIN_SRC_RETRY_ATTEMPTBUDGET_H

#include <cstdint>

namespace camphorpin {

/// \class AttemptBudget
/// \brief The extra attempts of one request at one node.
///
/// The extra attempts in hand, those lent to calls that are under way, those
/// returned with the answer and those spent always add up to the number that
/// was received. A loan whose answer is lost is never returned, so it counts as
/// spent.
class AttemptBudget {
public:
  /// \param Received extra attempts that came with the request.
  explicit AttemptBudget(std::uint8_t Received) : Available(Received) {}

  /// \returns the extra attempts that can be spent or lent now, and that the
  /// answer to this request returns.
  std::uint8_t available() const { return Available; }

  /// Takes the extra attempts for a call. Half stays here, rounded down, for
  /// calls in parallel and for repeating this call.
  /// \returns the number to pass on in RequestContext::ExtraAttempts.
  std::uint8_t allocate();

  /// The answer to a call came back.
  /// \param Allocated what allocate() gave for the call.
  /// \param Returned what the answer returns; more than \p Allocated counts as
  /// \p Allocated, so that a faulty callee cannot create attempts.
  void returnUnused(std::uint8_t Allocated, std::uint8_t Returned);

  /// Takes one extra attempt for repeating a call.
  /// \returns false if none is available.
  bool consume();

private:
  std::uint8_t Available;
};

} // namespace camphorpin

#endif
