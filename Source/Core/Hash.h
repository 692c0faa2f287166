// 64-bit hashes of byte strings (XXH3), whole or piece by piece.
#ifndef MANGOCART_CORE_HASH_H
#define MANGOCART_CORE_HASH_H

#include <cstdint>
#include <memory>
#include <string_view>

struct XXH3_state_s;

namespace mangocart {

std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed = 0);

// Running checksum of a body that arrives in pieces. The value equals hash64()
// of the pieces joined, whatever their sizes.
class Checksum {
public:
  Checksum();
  ~Checksum();
  Checksum(Checksum &&) noexcept;
  Checksum &operator=(Checksum &&) noexcept;

  void update(std::string_view Bytes);
  std::uint64_t value() const;
  std::uint64_t byteCount() const { return m_ByteCount; }

private:
  struct StateDeleter {
    void operator()(XXH3_state_s *State) const;
  };
  std::unique_ptr<XXH3_state_s, StateDeleter> m_State;
  std::uint64_t m_ByteCount = 0;
};

} // namespace mangocart

#endif
