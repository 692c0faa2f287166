// What a change of an expert map must bring for the weights that it copies,
// where the ranks copy them themselves while their passes go on.
#ifndef MANGOCART_EXPERTS_COPYCOST_H
#define MANGOCART_EXPERTS_COPYCOST_H

#include "Core/RuntimeClock.h"
#include "Experts/Placement.h"

namespace mangocart {

struct CopyLimits {
  // One expert of one layer.
  Duration m_CopyTime{};
  // Experts of a layer that may be new to a rank at a time; 0: no limit.
  std::uint32_t m_MaxNewPerLayer = 0;

  bool operator==(const CopyLimits &) const = default;
};

// How much a new map must lower the skew to be brought into force. While the
// group isn't busy, even a moderate skew keeps events in time; passes are
// slower while weights are copied, and a change under way delays the answer to
// the next shift.
double leastGain(double Occupancy, bool AreOrdersUnanswered);

// The part of the mean work of a pass that one copy must take off the slowest
// ranks. Occupancy is the taken part of the group's places.
double leastGainPerCopy(Duration CopyTime, double Occupancy);

// For placeIncrementally: weighs gains against copies, and bounds the copies of
// one change.
PlacementOptions copyingPlacement(const CopyLimits &Limits,
                                  const StepLoad &Present, double Occupancy);

} // namespace mangocart

#endif
