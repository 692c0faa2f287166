// Computes and applies map differences.
#include "Experts/MapDelta.h"

namespace mangocart {

MapDelta mapDelta(const ExpertMap &Base, const ExpertMap &Next) {
  MapDelta Delta;
  for (std::size_t I = 0; I < Next.m_Slots.size(); ++I) {
    if (Base.m_Slots[I] == Next.m_Slots[I])
      continue;
    Delta.m_Positions.push_back(static_cast<std::uint32_t>(I));
    Delta.m_Experts.push_back(Next.m_Slots[I]);
  }
  return Delta;
}

std::optional<ExpertMap> applyMapDelta(const ExpertMap &Base,
                                       const MapDelta &Delta) {
  if (Delta.m_Positions.size() != Delta.m_Experts.size())
    return std::nullopt;
  ExpertMap Next = Base;
  for (std::size_t I = 0; I < Delta.m_Positions.size(); ++I) {
    if (Delta.m_Positions[I] >= Next.m_Slots.size())
      return std::nullopt;
    Next.m_Slots[Delta.m_Positions[I]] = Delta.m_Experts[I];
  }
  return Next;
}

} // namespace mangocart
