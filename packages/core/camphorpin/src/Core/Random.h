#ifndef CAMPHORPIN_SRC_CORE_RANDOM_H
#define CAMPHORPIN_SRC_CORE_RANDOM_H

#include <cstdint>
#include <random>

namespace camphorpin {

/// \class Random
/// \brief The random number generator of all decision logic, replaceable in
/// tests.
class Random {
public:
  virtual ~Random() = default;

  /// \returns 64 random bits.
  virtual std::uint64_t next() = 0;

  /// \param Bound exclusive upper bound, greater than zero.
  /// \returns a number in [0, \p Bound), uniform up to the modulo bias.
  std::uint64_t below(std::uint64_t Bound);

  /// \returns a uniformly distributed number in [0, 1).
  double uniform01();
};

/// \class SeededRandom
/// \brief A pseudo-random generator (Mersenne Twister) with a given seed.
class SeededRandom final : public Random {
public:
  explicit SeededRandom(std::uint64_t Seed) : Engine(Seed) {}

  std::uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace camphorpin

#endif
