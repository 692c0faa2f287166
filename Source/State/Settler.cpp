// Settlements of the claims that their entries left behind.
#include "State/Settler.h"

namespace mangocart {

std::vector<SettlerWork>
takeUp(Settler &State, const std::vector<OpenClaim> &Overdue, TimePoint Now) {
  std::vector<SettlerWork> Work;
  for (const OpenClaim &Open : Overdue) {
    if (State.m_Active.size() >= State.m_Limits.m_MaxAtOnce)
      break;
    if (State.m_Active.count(Open.m_ClaimNumber) != 0)
      continue;
    SettlerWork Item;
    Item.m_ClaimNumber = Open.m_ClaimNumber;
    State.m_Active.emplace(
        Open.m_ClaimNumber,
        startOrphan(Open, State.m_Limits.m_Settlement, Now, Item.m_Effects));
    Work.push_back(std::move(Item));
  }
  return Work;
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
