// Maximum with a limited memory.
#include "Gateway/GatewayCount.h"

namespace mangocart {

namespace {

// Longer than voters need to restart and gateways to connect to them again.
constexpr Duration Memory = std::chrono::seconds(60);

} // namespace

void recordListed(GatewayCount &Count, std::uint32_t Listed, TimePoint Now) {
  if (Listed >= Count.m_Number || Now - Count.m_ConfirmedAt > Memory)
    Count = {Listed, Now};
}

} // namespace mangocart
