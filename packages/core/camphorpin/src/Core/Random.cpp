#include "camphorpin/src/Core/Random.h"

#include <cassert>

namespace camphorpin {

std::uint64_t Random::below(std::uint64_t Bound) {
  assert(Bound > 0 && "the bound must be greater than zero");
  return next() % Bound;
}

double Random::uniform01() {
  constexpr int MantissaBits = 53;
  constexpr double Scale = 1.0 / (1ULL << MantissaBits);
  return static_cast<double>(next() >> (64 - MantissaBits)) * Scale;
}

} // namespace camphorpin
