// Round robin over the ranks.
#include "Experts/CountSampling.h"

#include <algorithm>

namespace mangocart {

std::vector<bool> sampleRanks(CountSampler &Sampler, std::size_t Ranks,
                              double BytesPerRank, double BytesPerRound) {
  std::vector<bool> IsSampled(Ranks);
  if (Ranks == 0)
    return IsSampled;
  const double Fitting = BytesPerRound / std::max(BytesPerRank, 1.0);
  const std::size_t Count =
      Fitting >= static_cast<double>(Ranks)
          ? Ranks
          : std::max<std::size_t>(static_cast<std::size_t>(Fitting), 1);
  for (std::size_t I = 0; I < Count; ++I)
    IsSampled[(Sampler.m_NextRank + I) % Ranks] = true;
  Sampler.m_NextRank = (Sampler.m_NextRank + Count) % Ranks;
  return IsSampled;
}

} // namespace mangocart
