// Estimates the current load from the ranks' cumulative counts of chosen
// experts.
#ifndef MANGOCART_EXPERTS_LOADMETER_H
#define MANGOCART_EXPERTS_LOADMETER_H

#include "Core/RuntimeClock.h"
#include "Experts/ExpertMap.h"

#include <cstdint>
#include <vector>

namespace mangocart {

struct LoadMeterOptions {
  // Time after which a count has half its weight.
  Duration m_HalfLife = std::chrono::milliseconds(150);
  // Minimum number of expert choices for a usable estimate.
  double m_MinChoices = 2000.0;

  bool operator==(const LoadMeterOptions &) const = default;
};

struct LoadMeter {
  LoadMeterOptions m_Options;
  // Indexed by layer and expert.
  ExpertLoad m_Load;
  TimePoint m_Updated;

  bool operator==(const LoadMeter &) const = default;
};

// Computes increments of the cumulative counts of one rank.
struct CountReader {
  // Counts of the last call; empty before the first call.
  std::vector<std::uint64_t> m_Counts;

  bool operator==(const CountReader &) const = default;
};

// Returns the increments since the last call. Returns nothing on the first
// call, and nothing if the counts fell, because the rank was restarted.
std::vector<std::uint64_t> takeIncrement(CountReader &Reader,
                                         std::vector<std::uint64_t> Counts);

// Adds the increments of all ranks since the last call; a rank without data has
// an empty list.
void addCounts(LoadMeter &Meter,
               const std::vector<std::vector<std::uint64_t>> &New,
               TimePoint Now);

// Whether the estimate has enough counts to place experts by it.
bool hasEnoughCounts(const LoadMeter &Meter);

} // namespace mangocart

#endif
