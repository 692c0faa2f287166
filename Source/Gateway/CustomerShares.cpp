// Decayed counts and the comparisons with the mean and the minimum.
#include "Gateway/CustomerShares.h"

#include <algorithm>
#include <cmath>

namespace mangocart {

namespace {

// Entries below this have no effect and are removed.
constexpr double MinCount = 0.01;

void decay(ServedCount &Count, double Factor) {
  Count.m_Served *= Factor;
  Count.m_Rejected *= Factor;
}

template <class Map> void decayAll(Map &Counts, double Factor) {
  for (auto &Each : Counts)
    decay(Each.second, Factor);
  std::erase_if(Counts, [](const auto &Each) {
    return Each.second.m_Served + Each.second.m_Rejected < MinCount;
  });
}

void add(ServedCount &Count, CallEnd End) {
  ++(End == CallEnd::Served ? Count.m_Served : Count.m_Rejected);
}

bool isOwed(const CustomerShares &Shares, const ServedCount &Count) {
  const double All = Shares.m_All.m_Served + Shares.m_All.m_Rejected;
  if (All <= 0.0)
    return false;
  const double MinFraction =
      Shares.m_Options.m_MinServedShare * Shares.m_All.m_Served / All;
  const double Ended = Count.m_Served + Count.m_Rejected;
  return MinFraction * Ended - Count.m_Served >= 1.0;
}

} // namespace

void recordCall(CustomerShares &Shares, std::uint32_t Priority,
                std::string_view Customer, CallEnd End, TimePoint Now) {
  const double Factor =
      std::exp2(-(std::max(Now - Shares.m_Updated, Duration::zero()) /
                  std::chrono::duration<double>(Shares.m_Options.m_HalfLife)));
  decayAll(Shares.m_Priorities, Factor);
  decayAll(Shares.m_Customers, Factor);
  decay(Shares.m_All, Factor);
  Shares.m_Updated = Now;
  add(Shares.m_Priorities[Priority], End);
  add(Shares.m_Customers[std::string(Customer)], End);
  add(Shares.m_All, End);
}

bool isAboveShare(const CustomerShares &Shares, std::string_view Customer) {
  const auto Found = Shares.m_Customers.find(Customer);
  if (Found == Shares.m_Customers.end() || Shares.m_Customers.size() < 2)
    return false;
  const double Mean =
      Shares.m_All.m_Served / static_cast<double>(Shares.m_Customers.size());
  return Found->second.m_Served >
         Shares.m_Options.m_MaxTimesMean * Mean + Shares.m_Options.m_Tolerance;
}

bool isPriorityOwed(const CustomerShares &Shares, std::uint32_t Priority) {
  const auto Found = Shares.m_Priorities.find(Priority);
  return Found != Shares.m_Priorities.end() && isOwed(Shares, Found->second);
}

bool isCustomerOwed(const CustomerShares &Shares, std::string_view Customer) {
  const auto Found = Shares.m_Customers.find(Customer);
  return Found != Shares.m_Customers.end() && isOwed(Shares, Found->second);
}

} // namespace mangocart
