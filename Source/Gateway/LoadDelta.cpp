// Computes and applies load differences.
#include "Gateway/LoadDelta.h"

namespace mangocart {

RequestsByServer loadDelta(const RequestsByServer &Before,
                           const RequestsByServer &After) {
  RequestsByServer Delta;
  for (const auto &[Server, Requests] : After) {
    const auto Known = Before.find(Server);
    if (Known == Before.end() || Known->second != Requests)
      Delta[Server] = Requests;
  }
  for (const auto &[Server, Requests] : Before)
    if (!After.contains(Server))
      Delta[Server] = 0;
  return Delta;
}

void applyLoadDelta(RequestsByServer &Load, const RequestsByServer &Delta) {
  for (const auto &[Server, Requests] : Delta)
    if (Requests == 0)
      Load.erase(Server);
    else
      Load[Server] = Requests;
}

} // namespace mangocart
