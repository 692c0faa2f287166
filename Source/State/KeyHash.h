// 128-bit hash that stands for an idempotency key in the ledger and at agents.
// Two keys of one customer share a hash with probability 2^-128; the customer
// is compared besides, so a collision can't cross customers, and the digest of
// the request has to be the same before a stored answer is given.
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
