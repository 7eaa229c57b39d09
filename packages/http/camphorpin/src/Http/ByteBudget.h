#ifndef CAMPHORPIN_SRC_HTTP_BYTEBUDGET_H
#define CAMPHORPIN_SRC_HTTP_BYTEBUDGET_H

#include <cstddef>
#include <memory>

namespace camphorpin {

/// \class ByteReclaimer
/// \brief Frees bytes of a ByteBudget that is short.
class ByteReclaimer {
public:
  virtual ~ByteReclaimer() = default;
  /// Gives up the message that deserves its bytes least.
  /// \returns false if no message may be given up.
  virtual bool reclaim() = 0;
};

/// \class ByteBudget
/// \brief The bytes that a node may hold for messages in transit.
///
/// The node's memory is limited, a faulty server or peer may send without end,
/// and callers may read slowly or send large bodies at the same time. A part of
/// the budget is open to small messages only, so that large ones never keep all
/// others from being received.
class ByteBudget {
public:
  /// \param Capacity in bytes.
  explicit ByteBudget(std::size_t Capacity) : Capacity(Capacity) {}

  std::size_t used() const { return Used; }

  /// \param Value frees bytes when a message does not fit; may be null. It must
  /// be reset before it is destroyed.
  void setReclaimer(ByteReclaimer *Value) { Reclaimer = Value; }

  /// \returns the largest message that an unused budget has room for.
  std::size_t largestMessage() const {
    return Capacity - Capacity / SmallShareDivisor;
  }

  /// \returns true if a message of \p Bytes may use the whole budget.
  bool isSmall(std::size_t Bytes) const {
    return Bytes <= Capacity / SmallMessageDivisor;
  }

private:
  friend class BudgetShare;

  /// Fraction of the capacity that only small messages may use.
  static constexpr std::size_t SmallShareDivisor = 8;
  /// Largest small message, as a fraction of the capacity.
  static constexpr std::size_t SmallMessageDivisor = 64;

  /// \returns true if a message that takes \p Bytes fits beside \p Others, the
  /// bytes of all others.
  bool fits(std::size_t Bytes, std::size_t Others) const;

  std::size_t Capacity;
  std::size_t Used = 0;
  ByteReclaimer *Reclaimer = nullptr;
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

  /// \returns true if the share belongs to a budget.
  bool limited() const { return Budget != nullptr; }

  /// Changes the size of the share. Other messages may be given up for it.
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
