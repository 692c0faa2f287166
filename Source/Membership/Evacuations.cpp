#include "Membership/Evacuations.h"

#include "Log.pb.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace mangocart {

bool isEvacuated(const Evacuations &State, std::string_view Zone) {
  return State.m_Zones.contains(Zone);
}

bool isInEffect(const Evacuations &State, const EvacuationChange &Change) {
  return isEvacuated(State, Change.m_Zone) != Change.m_Withdraw;
}

Evacuations applyChange(Evacuations State, const EvacuationChange &Change) {
  if (isInEffect(State, Change) || Change.m_Expected != State.m_Change)
    return State;
  if (Change.m_Withdraw)
    State.m_Zones.erase(Change.m_Zone);
  else
    State.m_Zones.insert(Change.m_Zone);
  ++State.m_Change;
  return State;
}

std::string zoneList(const Evacuations &State) {
  return fmt::format("{}", fmt::join(State.m_Zones, ","));
}

Evacuations evacuationsFromSchema(const schema::Evacuations &Message) {
  return {Message.change(),
          {Message.availability_zones().begin(),
           Message.availability_zones().end()}};
}

void evacuationsToSchema(const Evacuations &State,
                         schema::Evacuations &Message) {
  Message.set_change(State.m_Change);
  for (const std::string &Zone : State.m_Zones)
    Message.add_availability_zones(Zone);
}

} // namespace mangocart
