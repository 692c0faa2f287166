// Cost model for map changes in groups whose ranks copy expert weights while
// forward passes continue.
#ifndef MANGOCART_EXPERTS_COPYCOST_H
#define MANGOCART_EXPERTS_COPYCOST_H

#include "Core/RuntimeClock.h"
#include "Experts/Placement.h"

namespace mangocart {

struct CopyLimits {
  // Time to copy one expert of one layer.
  Duration m_CopyTime{};
  // Experts of one layer that one change may add to a rank; 0: no limit.
  std::uint32_t m_MaxNewPerLayer = 0;

  bool operator==(const CopyLimits &) const = default;
};

// Returns the minimum skew reduction for which a new map is activated. While
// the group is lightly loaded, events are in time even with moderate skew. A
// change has a cost: passes are slower while weights are copied, and a change
// in progress delays the reaction to the next load shift.
double minSkewReduction(double Occupancy, bool HasRecentResends);

// Returns the fraction of a pass's mean work that one copy must remove from the
// slowest ranks. Occupancy is the used fraction of the group's request slots.
double minGainPerCopy(Duration CopyTime, double Occupancy);

// Options for placeIncrementally that weigh gains against the copies they need
// and limit the copies of one change.
PlacementOptions copyAwarePlacement(const CopyLimits &Limits,
                                    const StepLoad &CurrentLoad,
                                    double Occupancy);

} // namespace mangocart

#endif
