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
  // By layer and expert.
  ExpertLoad m_Load;
  TimePoint m_Updated;

  bool operator==(const LoadMeter &) const = default;
};

// Running counts of one rank, of which only what is new is told.
struct CountReader {
  // Last read; empty before the first time.
  std::vector<std::uint64_t> m_Counts;

  bool operator==(const CountReader &) const = default;
};

// What was counted since the last time; nothing the first time. A rank whose
// counts fell was restarted: nothing of it counts before the next time.
std::vector<std::uint64_t> takeNew(CountReader &Reader,
                                   std::vector<std::uint64_t> Counts);

// Takes in what all ranks have counted since the last time; a rank that has
// nothing to tell has an empty list.
void noteCounts(LoadMeter &Meter,
                const std::vector<std::vector<std::uint64_t>> &New,
                TimePoint Now);

// Whether enough was counted to place experts by it.
bool isTelling(const LoadMeter &Meter);

} // namespace mangocart

#endif
