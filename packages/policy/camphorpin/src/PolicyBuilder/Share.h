#ifndef CAMPHORPIN_SRC_POLICYBUILDER_SHARE_H
#define CAMPHORPIN_SRC_POLICYBUILDER_SHARE_H

#include <stdexcept>

namespace camphorpin {

/// \class Share
/// \brief A fraction in [0, 1] that is checked at compile time.
class Share {
public:
  consteval explicit Share(double Value) : Fraction(Value) {
    if (!(Value >= 0 && Value <= 1))
      throw std::out_of_range("a share is from 0 to 1");
  }

  constexpr double value() const { return Fraction; }

private:
  double Fraction;
};

} // namespace camphorpin

#endif
