// Order in which the waiting calls of a service are dispatched.
//
// Calls that can still meet their target latency go before calls that can't, so
// that under overload most served calls are on time instead of all being late.
// Then follow the priority, the customers by what they recently got, callers
// that come back after a rejection, and the arrival. A priority of which fewer
// calls than the minimum were served goes before all others, and such a
// customer before the others of its priority.
#ifndef MANGOCART_GATEWAY_WAITINGORDER_H
#define MANGOCART_GATEWAY_WAITINGORDER_H

#include "Core/RuntimeClock.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace mangocart {

struct ServiceQueue;
struct WaitingCall;

// The smaller rank is dispatched first.
struct WaitingRank {
  bool m_IsLate = false;
  // 0 for a priority that is owed a call, otherwise the priority plus one.
  std::uint64_t m_Urgency = 0;
  // 0 for a customer that is owed a call, 2 for one above its share.
  unsigned m_Customer = 1;
  bool m_IsNew = true;
  // The arrival, or for a late call the time at which its caller disconnects.
  TimePoint m_Time;

  auto operator<=>(const WaitingRank &) const = default;
};

WaitingRank rankOf(const ServiceQueue &Queue, const WaitingCall &Call,
                   TimePoint Now);

// Indexes in m_Waiting in order of dispatch.
std::vector<std::size_t> dispatchOrder(const ServiceQueue &Queue,
                                       TimePoint Now);

} // namespace mangocart

#endif
