// What a soak reads from the environment.
#ifndef MANGOCART_TESTS_SOAKPARAMETERS_H
#define MANGOCART_TESTS_SOAKPARAMETERS_H

#include <cstdint>
#include <cstdlib>

namespace mangocart::test {

struct SoakParameters {
  std::uint64_t m_Seed = 1;
  std::uint64_t m_Cycles = 2;
  unsigned m_Gateways = 3;
  // Second number of the processes' addresses.
  int m_Octet = 112;
};

inline std::uint64_t numberFrom(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

inline SoakParameters soakParameters() {
  const SoakParameters Default;
  return {numberFrom("MANGOCART_SEED", Default.m_Seed),
          numberFrom("MANGOCART_SOAK_CYCLES", Default.m_Cycles),
          static_cast<unsigned>(
              numberFrom("MANGOCART_SOAK_GATEWAYS", Default.m_Gateways)),
          static_cast<int>(numberFrom("MANGOCART_SOAK_OCTET",
                                      static_cast<unsigned>(Default.m_Octet)))};
}

} // namespace mangocart::test

#endif
