#ifndef CAMPHORPIN_SRC_POLICYBUILDER_SHARE_H
#define CAMPHORPIN_SRC_POLICYBUILDER_SHARE_H

#include <stdexcept>

namespace camphorpin {

/// \class Share
/// \brief A share from 0 to 1 that is checked when the program is compiled.
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
