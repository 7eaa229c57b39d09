#include "camphorpin/src/Core/Verdict.h"

namespace camphorpin {

std::string_view toString(Verdict Value) {
  switch (Value) {
  case Verdict::Ran:
    return "ran";
  case Verdict::NotRun:
    return "not-run";
  case Verdict::MayHaveRun:
    return "may-have-run";
  }
  return "may-have-run";
}

std::optional<Verdict> parseVerdict(std::string_view Text) {
  for (Verdict Value : {Verdict::Ran, Verdict::NotRun, Verdict::MayHaveRun})
    if (toString(Value) == Text)
      return Value;
  return std::nullopt;
}

} // namespace camphorpin
