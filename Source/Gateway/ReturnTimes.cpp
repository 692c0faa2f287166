// Assignment of return times.
#include "Gateway/ReturnTimes.h"

#include <algorithm>

namespace mangocart {

TimePoint assignReturn(ReturnTimes &Times, const ReturnRequest &Request) {
  TimePoint Assigned = Request.m_Earliest;
  for (const auto &[Priority, Last] : Times.m_Last)
    if (Priority <= Request.m_Priority)
      Assigned = std::max(Assigned, Last + Request.m_Spacing);
  if (Assigned > Request.m_Latest)
    return Request.m_Latest;
  Times.m_Last[Request.m_Priority] = Assigned;
  return Assigned;
}

} // namespace mangocart
