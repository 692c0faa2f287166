// The seeds of a test over many: all of them, or the one that MANGOCART_SEED
// names, to repeat a failure.
#ifndef MANGOCART_TESTS_SEEDRANGE_H
#define MANGOCART_TESTS_SEEDRANGE_H

#include <cstdint>
#include <cstdlib>
#include <string>

namespace mangocart {

struct SeedRange {
  std::uint64_t m_First = 0;
  std::uint64_t m_Last = 0;
  // One seed was named: what only many seeds can show isn't asked of it.
  bool m_Chosen = false;
};

inline SeedRange seedsToRun(std::uint64_t First, std::uint64_t Count) {
  if (const char *Named = std::getenv("MANGOCART_SEED"))
    return {std::stoull(Named), std::stoull(Named), true};
  return {First, First + Count - 1, false};
}

} // namespace mangocart

#endif
