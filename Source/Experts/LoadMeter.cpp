// Differences of counts, with decay.
#include "Experts/LoadMeter.h"

#include <cmath>
#include <numeric>

namespace mangocart {

void noteCounts(LoadMeter &Meter,
                const std::vector<std::vector<std::uint64_t>> &Counts,
                TimePoint Now) {
  const std::size_t Size = Counts.empty() ? 0 : Counts.front().size();
  const bool Fresh = Meter.m_Counts.size() != Counts.size() ||
                     Meter.m_Load.m_Tokens.size() != Size;
  if (Fresh) {
    Meter.m_Counts = Counts;
    Meter.m_Load.m_Tokens.assign(Size, 0.0);
    Meter.m_Updated = Now;
    return;
  }
  const auto Rose = [&] {
    for (std::size_t Rank = 0; Rank < Counts.size(); ++Rank)
      if (Counts[Rank].size() == Size && Counts[Rank] != Meter.m_Counts[Rank])
        return true;
    return false;
  };
  // An idle or broken group says nothing against what was counted before.
  if (!Rose()) {
    Meter.m_Updated = Now;
    return;
  }
  const double HalfLives =
      std::chrono::duration<double>(Now - Meter.m_Updated).count() /
      std::chrono::duration<double>(Meter.m_Options.m_HalfLife).count();
  const double Decay = std::exp2(-HalfLives);
  for (double &Tokens : Meter.m_Load.m_Tokens)
    Tokens *= Decay;
  for (std::size_t Rank = 0; Rank < Counts.size(); ++Rank) {
    const std::vector<std::uint64_t> &New = Counts[Rank];
    std::vector<std::uint64_t> &Old = Meter.m_Counts[Rank];
    if (New.size() != Size)
      continue;
    // The first counts of this rank.
    if (Old.size() != Size) {
      Old = New;
      continue;
    }
    const auto SumOf = [](const std::vector<std::uint64_t> &All) {
      return std::accumulate(All.begin(), All.end(), std::uint64_t{0});
    };
    const bool Restarted = SumOf(New) < SumOf(Old);
    for (std::size_t I = 0; I < Size; ++I)
      if (!Restarted && New[I] > Old[I])
        Meter.m_Load.m_Tokens[I] += static_cast<double>(New[I] - Old[I]);
    Old = New;
  }
  Meter.m_Updated = Now;
}

bool isTelling(const LoadMeter &Meter) {
  const std::vector<double> &Tokens = Meter.m_Load.m_Tokens;
  return std::accumulate(Tokens.begin(), Tokens.end(), 0.0) >=
         Meter.m_Options.m_LeastChoices;
}

} // namespace mangocart
