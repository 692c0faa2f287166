// Capacity of one service that is kept for more urgent arrivals of the next
// moments while the service is short of capacity.
//
// Waiting calls are ordered within one gateway only. Without a reserve, a less
// urgent call of one gateway takes the slot that a more urgent arrival at
// another gateway needs a moment later.
#ifndef MANGOCART_GATEWAY_PRIORITYRESERVE_H
#define MANGOCART_GATEWAY_PRIORITYRESERVE_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace mangocart {

struct PriorityReserveOptions {
  // Half-life of the arrival rates.
  Duration m_HalfLife = std::chrono::seconds(2);
  // A service is short of capacity for this long after a call found none.
  Duration m_ShortageMemory = std::chrono::seconds(2);
  // The reserve is for the arrivals of this time: the interval at which
  // gateways look for capacity, and that of their load reports (50 ms each with
  // 16 gateways). 50 ms alone gave less value in the model of
  // testPriorityOverload when reports were 100 ms old.
  Duration m_Horizon = std::chrono::milliseconds(100);
  // Capacity that has been free for this long is used by any call. With the
  // interval at which gateways look for capacity it stays below 200 ms.
  Duration m_MaxHold = std::chrono::milliseconds(125);

  bool operator==(const PriorityReserveOptions &) const = default;
};

struct PriorityReserve {
  PriorityReserveOptions m_Options;
  // Decayed number of arrivals at this gateway by priority.
  std::map<std::uint32_t, double> m_Arrivals;
  // Time to which the numbers have decayed.
  TimePoint m_Updated;
  // When a call last found no free capacity.
  std::optional<TimePoint> m_LastShortage;
  // Since when capacity has been free without interruption while calls were
  // held; nullopt before the first one is held.
  std::optional<TimePoint> m_FreeSince;
};

void recordArrival(PriorityReserve &Reserve, std::uint32_t Priority,
                   TimePoint Now);
// Records that a call found no free capacity.
void recordShortage(PriorityReserve &Reserve, TimePoint Now);

bool isShort(const PriorityReserve &Reserve, TimePoint Now);

// Arrivals per second at this gateway that are more urgent than the priority.
double urgentArrivalsPerSecond(const PriorityReserve &Reserve,
                               std::uint32_t Priority, TimePoint Now);

// Number of requests at the service, over all gateways, that are kept for
// arrivals more urgent than the priority.
std::size_t reservedRequests(const PriorityReserve &Reserve,
                             std::uint32_t Priority, std::size_t Gateways,
                             TimePoint Now);

// Whether a call of the priority must leave the free capacity to more urgent
// arrivals. Free: further requests that the service can take.
bool mustHold(PriorityReserve &Reserve, std::uint32_t Priority,
              std::size_t Free, std::size_t Gateways, TimePoint Now);

} // namespace mangocart

#endif
