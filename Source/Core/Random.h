// Seeded random numbers. Decisions get a generator passed in, so that a test
// with the same seed makes the same choices.
#ifndef MANGOCART_CORE_RANDOM_H
#define MANGOCART_CORE_RANDOM_H

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <cstdint>

namespace mangocart {

using Random = boost::random::mt19937_64;

// A whole number in [Low, High].
inline std::uint64_t uniform(Random &Generator, std::uint64_t Low,
                             std::uint64_t High) {
  return boost::random::uniform_int_distribution<std::uint64_t>(Low, High)(
      Generator);
}

// A real number in [0, 1).
inline double uniformReal(Random &Generator) {
  return boost::random::uniform_real_distribution<double>(0.0, 1.0)(Generator);
}

} // namespace mangocart

#endif
