#include "camphorpin/src/Policy/PolicyError.h"

namespace camphorpin {

std::string PolicyError::toString() const {
  std::string Text;
  if (!Document.empty())
    Text += Document + ": ";
  Text += Path.empty() ? "the document" : Path;
  return Text + " is " + Found + ", allowed is " + Allowed;
}

std::string toString(std::span<const PolicyError> Errors) {
  std::string Text;
  for (const PolicyError &Error : Errors)
    Text += Error.toString() + "\n";
  return Text;
}

} // namespace camphorpin
