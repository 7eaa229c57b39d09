#ifndef CAMPHORPIN_SRC_HTTP_BYTEBUDGET_H
#define CAMPHORPIN_SRC_HTTP_BYTEBUDGET_H

#include <cstddef>
#include <memory>

namespace camphorpin {

/// \class ByteBudget
/// \brief The bytes that a node may hold for messages in transit.
///
/// The node's memory is limited, a faulty server or peer may send without end,
/// and callers may read slowly or send large bodies at the same time. One
/// message may take half of what is free, so that it never keeps all others
/// from being received.
class ByteBudget {
public:
  /// \param Capacity in bytes.
  explicit ByteBudget(std::size_t Capacity) : Capacity(Capacity) {}

  std::size_t used() const { return Used; }

private:
  friend class BudgetShare;

  std::size_t Capacity;
  std::size_t Used = 0;
};

/// \class BudgetShare
/// \brief The part of a ByteBudget that one message holds. The destructor
/// returns it.
class BudgetShare {
public:
  /// \param Budget may be null; the share is then unlimited.
  explicit BudgetShare(std::shared_ptr<ByteBudget> Budget)
      : Budget(std::move(Budget)) {}
  ~BudgetShare() { clear(); }
  BudgetShare(const BudgetShare &) = delete;
  BudgetShare &operator=(const BudgetShare &) = delete;

  /// Changes the size of the share.
  /// \returns false if the budget does not allow it; the share then keeps its
  /// size.
  bool resize(std::size_t Value);

  /// Changes the size of the share for bytes that are held already, whatever
  /// the budget allows.
  void set(std::size_t Value);

  void clear() { set(0); }

private:
  std::shared_ptr<ByteBudget> Budget;
  std::size_t Bytes = 0;
};

} // namespace camphorpin

#endif
