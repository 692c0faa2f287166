// Turns the ranks' running counts of chosen experts into the load of the last
// moments.
#ifndef MANGOCART_EXPERTS_LOADMETER_H
#define MANGOCART_EXPERTS_LOADMETER_H

#include "Core/RuntimeClock.h"
#include "Experts/ExpertMap.h"

#include <cstdint>
#include <vector>

namespace mangocart {

struct LoadMeterOptions {
  // What was counted so long ago weighs half.
  Duration m_HalfLife = std::chrono::milliseconds(150);
  // With fewer choices the load says nothing yet.
  double m_LeastChoices = 2000.0;

  bool operator==(const LoadMeterOptions &) const = default;
};

struct LoadMeter {
  LoadMeterOptions m_Options;
  // By rank: the counts last read.
  std::vector<std::vector<std::uint64_t>> m_Counts;
  // By layer and expert.
  ExpertLoad m_Load;
  TimePoint m_Updated;

  bool operator==(const LoadMeter &) const = default;
};

// Takes in the counts of all ranks. A rank whose counts fell was restarted:
// what it counted before is left out.
void noteCounts(LoadMeter &Meter,
                const std::vector<std::vector<std::uint64_t>> &Counts,
                TimePoint Now);

// Whether enough was counted to place experts by it.
bool isTelling(const LoadMeter &Meter);

} // namespace mangocart

#endif
