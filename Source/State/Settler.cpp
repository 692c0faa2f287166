// Settlement of orphaned claims.
#include "State/Settler.h"

namespace mangocart {

std::vector<ClaimEffects>
startSettlements(Settler &State, const std::vector<OpenClaim> &Overdue,
                 TimePoint Now) {
  std::vector<ClaimEffects> Started;
  for (const OpenClaim &Open : Overdue) {
    if (State.m_Active.size() >= State.m_Limits.m_MaxConcurrent)
      break;
    if (State.m_Active.count(Open.m_ClaimNumber) != 0)
      continue;
    ClaimEffects Item;
    Item.m_ClaimNumber = Open.m_ClaimNumber;
    State.m_Active.emplace(Open.m_ClaimNumber,
                           startOrphanedClaim(Open, State.m_Limits.m_Settlement,
                                              Now, Item.m_Effects));
    Started.push_back(std::move(Item));
  }
  return Started;
}

SettlementEffects step(Settler &State, std::uint64_t ClaimNumber,
                       const SettlementEvent &Event, TimePoint Now) {
  const auto Found = State.m_Active.find(ClaimNumber);
  if (Found == State.m_Active.end())
    return {};
  SettlementEffects Effects = step(Found->second, Event, Now);
  if (Found->second.m_Phase == SettlementPhase::Done)
    State.m_Active.erase(Found);
  return Effects;
}

void stopSettling(Settler &State) { State.m_Active.clear(); }

} // namespace mangocart
