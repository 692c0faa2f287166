// The number of gateways that a common budget is divided by. Voters list the
// gateways that are connected to them, so the number is too low after a voter
// has restarted or while it is cut off. The largest number of the last minute
// is used instead: too large a number only leaves a part of the budget unused.
#ifndef MANGOCART_GATEWAY_GATEWAYCOUNT_H
#define MANGOCART_GATEWAY_GATEWAYCOUNT_H

#include "Core/RuntimeClock.h"

#include <cstdint>

namespace mangocart {

struct GatewayCount {
  // 0: not known yet.
  std::uint32_t m_Number = 0;
  // When this number was last confirmed.
  TimePoint m_ConfirmedAt;

  bool operator==(const GatewayCount &) const = default;
};

// Records the number of gateways that the voters list now.
void recordListed(GatewayCount &Count, std::uint32_t Listed, TimePoint Now);

} // namespace mangocart

#endif
