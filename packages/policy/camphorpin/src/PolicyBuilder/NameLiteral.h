#ifndef CAMPHORPIN_SRC_POLICYBUILDER_NAMELITERAL_H
#define CAMPHORPIN_SRC_POLICYBUILDER_NAMELITERAL_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <stdexcept>
#include <string_view>

namespace camphorpin {

/// \class NameLiteral
/// \brief A string literal that is checked to be a valid name at compile time
/// (see isValidName).
class NameLiteral {
public:
  template <std::size_t Size>
  consteval NameLiteral(const char (&Text)[Size]) : Text(Text, Size - 1) {
    if (Size < 2 || Size - 1 > MaxNameLength)
      throw std::out_of_range("a name has 1 to 64 characters");
    for (char C : this->Text)
      if (!isAllowed(C))
        throw std::out_of_range("a name is made of [a-zA-Z0-9._-]");
  }

  constexpr std::string_view view() const { return Text; }

private:
  static consteval bool isAllowed(char C) {
    const bool Alphanumeric = (C >= 'a' && C <= 'z') ||
                              (C >= 'A' && C <= 'Z') || (C >= '0' && C <= '9');
    return Alphanumeric || C == '.' || C == '_' || C == '-';
  }

  std::string_view Text;
};

} // namespace camphorpin

#endif
