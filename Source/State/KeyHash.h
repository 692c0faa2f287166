// 128-bit hash that represents an idempotency key in the ledger and at agents.
// Two keys of one customer collide with probability 2^-128. The customer is
// compared too, so keys of different customers can't collide, and a stored
// answer is returned only if the digest of the request matches.
#ifndef MANGOCART_STATE_KEYHASH_H
#define MANGOCART_STATE_KEYHASH_H

#include "Core/Hash.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangocart {

struct KeyHash {
  std::uint64_t m_High = 0;
  std::uint64_t m_Low = 0;

  auto operator<=>(const KeyHash &) const = default;
};

inline KeyHash hashKey(std::string_view Key) {
  constexpr std::uint64_t HighSeed = 0x6d616e676f636172;
  constexpr std::uint64_t LowSeed = 0x746c656467657273;
  return {hash64(Key, HighSeed), hash64(Key, LowSeed)};
}

} // namespace mangocart

#endif
