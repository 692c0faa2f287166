// Ranks of waiting calls.
#include "Gateway/WaitingOrder.h"

#include "Gateway/ServiceQueue.h"

#include <algorithm>
#include <numeric>

namespace mangocart {

namespace {

unsigned customerRank(const CustomerShares &Shares,
                      const std::string &Customer) {
  if (isCustomerOwed(Shares, Customer))
    return 0;
  return isAboveShare(Shares, Customer) ? 2 : 1;
}

} // namespace

WaitingRank rankOf(const ServiceQueue &Queue, const WaitingCall &Call,
                   TimePoint Now) {
  WaitingRank Rank;
  Rank.m_IsLate = !canMeetTarget(Queue, Call, Now);
  Rank.m_Urgency = isPriorityOwed(Queue.m_Shares, Call.m_Priority)
                       ? 0
                       : std::uint64_t{Call.m_Priority} + 1;
  Rank.m_Customer = customerRank(Queue.m_Shares, Call.m_Customer);
  Rank.m_IsNew = !Call.m_Returned;
  Rank.m_Time = Rank.m_IsLate ? Call.m_CallerTimeoutAt : Call.m_Arrived;
  return Rank;
}

std::vector<std::size_t> dispatchOrder(const ServiceQueue &Queue,
                                       TimePoint Now) {
  std::vector<WaitingRank> Ranks;
  Ranks.reserve(Queue.m_Waiting.size());
  for (const WaitingCall &Each : Queue.m_Waiting)
    Ranks.push_back(rankOf(Queue, Each, Now));
  std::vector<std::size_t> Order(Ranks.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::stable_sort(
      Order.begin(), Order.end(),
      [&](std::size_t A, std::size_t B) { return Ranks[A] < Ranks[B]; });
  return Order;
}

} // namespace mangocart
