// Arrival rates by priority and the capacity kept for them.
#include "Gateway/PriorityReserve.h"

#include <cmath>
#include <numbers>

namespace mangocart {

namespace {

double seconds(Duration Of) {
  return std::chrono::duration<double>(Of).count();
}

double decaySince(const PriorityReserve &Reserve, TimePoint Now) {
  return std::exp2(-std::max(0.0, seconds(Now - Reserve.m_Updated)) /
                   seconds(Reserve.m_Options.m_HalfLife));
}

} // namespace

void recordArrival(PriorityReserve &Reserve, std::uint32_t Priority,
                   TimePoint Now) {
  const double Factor = decaySince(Reserve, Now);
  for (auto &Each : Reserve.m_Arrivals)
    Each.second *= Factor;
  Reserve.m_Updated = Now;
  ++Reserve.m_Arrivals[Priority];
}

void recordShortage(PriorityReserve &Reserve, TimePoint Now) {
  Reserve.m_LastShortage = Now;
  Reserve.m_FreeSince.reset();
}

bool isShort(const PriorityReserve &Reserve, TimePoint Now) {
  return Reserve.m_LastShortage &&
         Now - *Reserve.m_LastShortage < Reserve.m_Options.m_ShortageMemory;
}

double urgentArrivalsPerSecond(const PriorityReserve &Reserve,
                               std::uint32_t Priority, TimePoint Now) {
  double Arrivals = 0.0;
  for (const auto &[Each, Number] : Reserve.m_Arrivals)
    if (Each < Priority)
      Arrivals += Number;
  // At a constant rate the decayed number is the rate times the mean lifetime
  // of an observation.
  const double MeanLifetime =
      seconds(Reserve.m_Options.m_HalfLife) / std::numbers::ln2;
  return Arrivals * decaySince(Reserve, Now) / MeanLifetime;
}

std::size_t reservedRequests(const PriorityReserve &Reserve,
                             std::uint32_t Priority, std::size_t Gateways,
                             TimePoint Now) {
  if (!isShort(Reserve, Now))
    return 0;
  const double Expected = urgentArrivalsPerSecond(Reserve, Priority, Now) *
                          static_cast<double>(Gateways) *
                          seconds(Reserve.m_Options.m_Horizon);
  return static_cast<std::size_t>(std::lround(Expected));
}

bool mustHold(PriorityReserve &Reserve, std::uint32_t Priority,
              std::size_t Free, std::size_t Gateways, TimePoint Now) {
  if (Free > reservedRequests(Reserve, Priority, Gateways, Now))
    return false;
  if (!Reserve.m_FreeSince)
    Reserve.m_FreeSince = Now;
  return Now - *Reserve.m_FreeSince < Reserve.m_Options.m_MaxHold;
}

} // namespace mangocart
