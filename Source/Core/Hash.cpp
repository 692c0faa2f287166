// Hashes by the xxhash library.
#include "Core/Hash.h"

#include <xxhash.h>

namespace mangocart {

std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

void Checksum::StateDeleter::operator()(XXH3_state_s *State) const {
  XXH3_freeState(State);
}

Checksum::Checksum() : m_State(XXH3_createState()) {
  XXH3_64bits_reset(m_State.get());
}

Checksum::~Checksum() = default;
Checksum::Checksum(Checksum &&) noexcept = default;
Checksum &Checksum::operator=(Checksum &&) noexcept = default;

void Checksum::update(std::string_view Bytes) {
  XXH3_64bits_update(m_State.get(), Bytes.data(), Bytes.size());
  m_ByteCount += Bytes.size();
}

std::uint64_t Checksum::value() const {
  return XXH3_64bits_digest(m_State.get());
}

} // namespace mangocart
