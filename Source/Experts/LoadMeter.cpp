// Increments of counts, and their exponentially decayed sum.
#include "Experts/LoadMeter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace mangocart {

std::vector<std::uint64_t> takeIncrement(CountReader &Reader,
                                         std::vector<std::uint64_t> Counts) {
  std::vector<std::uint64_t> New;
  const bool Known = Reader.m_Counts.size() == Counts.size();
  for (std::size_t I = 0; Known && I < Counts.size(); ++I)
    New.push_back(Counts[I] - std::min(Counts[I], Reader.m_Counts[I]));
  const auto SumOf = [](const std::vector<std::uint64_t> &All) {
    return std::accumulate(All.begin(), All.end(), std::uint64_t{0});
  };
  if (Known && SumOf(Counts) < SumOf(Reader.m_Counts))
    New.clear();
  Reader.m_Counts = std::move(Counts);
  return New;
}

void addCounts(LoadMeter &Meter,
               const std::vector<std::vector<std::uint64_t>> &New,
               TimePoint Now) {
  std::vector<double> Added;
  for (const std::vector<std::uint64_t> &Each : New) {
    if (Added.size() < Each.size())
      Added.resize(Each.size());
    for (std::size_t I = 0; I < Each.size(); ++I)
      Added[I] += static_cast<double>(Each[I]);
  }
  const Duration Passed = Now - std::exchange(Meter.m_Updated, Now);
  // An idle or broken group gives no information about the load, so the
  // estimate doesn't decay.
  if (std::all_of(Added.begin(), Added.end(),
                  [](double Count) { return Count == 0; }))
    return;
  std::vector<double> &Tokens = Meter.m_Load.m_Tokens;
  Tokens.resize(Added.size());
  const double Decay = std::exp2(
      -std::chrono::duration<double>(Passed).count() /
      std::chrono::duration<double>(Meter.m_Options.m_HalfLife).count());
  for (std::size_t I = 0; I < Tokens.size(); ++I)
    Tokens[I] = Tokens[I] * Decay + Added[I];
}

bool hasEnoughCounts(const LoadMeter &Meter) {
  const std::vector<double> &Tokens = Meter.m_Load.m_Tokens;
  return std::accumulate(Tokens.begin(), Tokens.end(), 0.0) >=
         Meter.m_Options.m_MinChoices;
}

} // namespace mangocart
