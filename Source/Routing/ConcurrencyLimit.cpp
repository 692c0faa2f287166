#include "Routing/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace mangocart {

std::uint32_t currentLimit(ConcurrencyLimit &State,
                           std::uint32_t MaxOutstanding,
                           std::size_t OtherQueuedRequests,
                           const ConcurrencyLimitOptions &Options,
                           TimePoint Now) {
  if (OtherQueuedRequests > 0)
    State.m_LastBacklog = Now;
  const bool InBacklog =
      State.m_LastBacklog && Now - *State.m_LastBacklog < Options.m_BacklogHold;
  if (!InBacklog || MaxOutstanding == 0)
    return MaxOutstanding;
  const double Reduced = Options.m_BacklogFraction * MaxOutstanding;
  return std::max(1U, static_cast<std::uint32_t>(std::lround(Reduced)));
}

} // namespace mangocart
