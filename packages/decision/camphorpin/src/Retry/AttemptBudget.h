#ifndef CAMPHORPIN_SRC_RETRY_ATTEMPTBUDGET_H
#define CAMPHORPIN_SRC_RETRY_ATTEMPTBUDGET_H

#include <cstdint>

namespace camphorpin {

/// \class AttemptBudget
/// \brief The extra attempts of one request at one node.
///
/// The available extra attempts, those allocated to calls in flight, those
/// returned with the answer and those consumed always add up to the number
/// received. If an answer is lost, the attempts allocated to its call are never
/// returned and count as consumed.
class AttemptBudget {
public:
  /// \param Received extra attempts that came with the request.
  explicit AttemptBudget(std::uint8_t Received) : Available(Received) {}

  /// \returns the unused extra attempts. What is left when the request ends is
  /// returned with its answer.
  std::uint8_t available() const { return Available; }

  /// Allocates extra attempts to a call. Half, rounded down, is retained for
  /// parallel calls and for retries of this call.
  /// \returns the number to pass on in RequestContext::ExtraAttempts.
  std::uint8_t allocate();

  /// The answer to a call came back.
  /// \param Allocated the result of allocate() for the call.
  /// \param Returned what the answer returns; more than \p Allocated counts as
  /// \p Allocated, so that a faulty callee cannot increase the total.
  void returnUnused(std::uint8_t Allocated, std::uint8_t Returned);

  /// Consumes one extra attempt for a retry.
  /// \returns false if none is available.
  bool consume();

private:
  std::uint8_t Available;
};

} // namespace camphorpin

#endif
