#include "camphorpin/src/Wire/Payload.h"

#include <algorithm>

namespace camphorpin {

namespace {

bool isTokenCharacter(char C) {
  constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
         (C >= 'A' && C <= 'Z') || Symbols.find(C) != std::string_view::npos;
}

} // namespace

bool isFinalStatus(unsigned Status) { return Status >= 200 && Status <= 599; }

bool isValidHeaderName(std::string_view Name) {
  return !Name.empty() &&
         std::all_of(Name.begin(), Name.end(), isTokenCharacter);
}

bool isValidHeaderText(std::string_view Text) {
  return std::none_of(Text.begin(), Text.end(), [](char C) {
    return C == '\r' || C == '\n' || C == '\0';
  });
}

std::size_t Payload::memoryBytes() const {
  std::size_t Sum =
      sizeof(Payload) + Method.size() + Query.size() + Body.size();
  for (const HeaderField &Field : Headers)
    Sum += sizeof(HeaderField) + Field.Name.size() + Field.Value.size();
  return Sum;
}

} // namespace camphorpin
