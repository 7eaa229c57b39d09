#include "camphorpin/src/Core/Name.h"

#include <algorithm>

namespace camphorpin {

bool isValidName(std::string_view Text, bool AllowSlash) {
  if (Text.empty() || Text.size() > MaxNameLength)
    return false;
  return std::all_of(Text.begin(), Text.end(), [AllowSlash](char C) {
    const bool Alphanumeric = (C >= 'a' && C <= 'z') ||
                              (C >= 'A' && C <= 'Z') || (C >= '0' && C <= '9');
    return Alphanumeric || C == '.' || C == '_' || C == '-' ||
           (AllowSlash && C == '/');
  });
}

} // namespace camphorpin
