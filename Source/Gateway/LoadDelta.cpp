// Differences of two maps.
#include "Gateway/LoadDelta.h"

namespace mangocart {

WorkByServer workChanges(const WorkByServer &Before,
                         const WorkByServer &After) {
  WorkByServer Changes;
  for (const auto &[Server, Requests] : After) {
    const auto Known = Before.find(Server);
    if (Known == Before.end() || Known->second != Requests)
      Changes[Server] = Requests;
  }
  for (const auto &[Server, Requests] : Before)
    if (!After.contains(Server))
      Changes[Server] = 0;
  return Changes;
}

void applyWorkChanges(WorkByServer &Work, const WorkByServer &Changes) {
  for (const auto &[Server, Requests] : Changes)
    if (Requests == 0)
      Work.erase(Server);
    else
      Work[Server] = Requests;
}

} // namespace mangocart
