// BLAKE2b of the parts of a request, each with its length before it.
#include "Gateway/RequestDigest.h"

#include <fmt/format.h>
#include <sodium.h>

#include <array>
#include <cstdint>
#include <stdexcept>

namespace mangocart {

namespace {

constexpr std::size_t DigestBytes = crypto_generichash_BYTES_MIN;

void initializeLibrary() {
  static const int Initialized = sodium_init();
  if (Initialized < 0)
    throw std::runtime_error("libsodium can't be initialized");
}

void add(crypto_generichash_state &State, std::string_view Text) {
  const std::uint64_t Length = Text.size();
  crypto_generichash_update(
      &State, reinterpret_cast<const unsigned char *>(&Length), sizeof(Length));
  crypto_generichash_update(
      &State, reinterpret_cast<const unsigned char *>(Text.data()), Length);
}

} // namespace

std::string requestDigest(const RequestContent &Content) {
  initializeLibrary();
  crypto_generichash_state State;
  crypto_generichash_init(&State, nullptr, 0, DigestBytes);
  for (const std::string_view Each :
       {Content.m_Customer, Content.m_Method, Content.m_Host, Content.m_Target,
        Content.m_Body})
    add(State, Each);
  std::array<unsigned char, DigestBytes> Digest{};
  crypto_generichash_final(&State, Digest.data(), Digest.size());
  std::string Text;
  for (const unsigned char Byte : Digest)
    fmt::format_to(std::back_inserter(Text), "{:02x}", Byte);
  return Text;
}

} // namespace mangocart
