// The bound in and out of a backlog.
#include "Routing/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace mangocart {

std::uint32_t currentBound(PlaceBound &Bound, std::uint32_t MaxOutstanding,
                           std::size_t OthersWaiting,
                           const PlaceBoundOptions &Options, TimePoint Now) {
  if (OthersWaiting > 0)
    Bound.m_LastBacklog = Now;
  const bool InBacklog =
      Bound.m_LastBacklog && Now - *Bound.m_LastBacklog < Options.m_Hold;
  if (!InBacklog || MaxOutstanding == 0)
    return MaxOutstanding;
  const double Part = Options.m_BacklogPart * MaxOutstanding;
  return std::max(1U, static_cast<std::uint32_t>(std::lround(Part)));
}

} // namespace mangocart
