// What the customers and priorities of one service recently got at this
// gateway, for the order of waiting calls.
//
// A gateway sees a few requests a second, so the rules compare counts and not
// rates: a customer is above its share when it got clearly more than the mean
// customer, and a priority or customer is owed a call when its calls lag at
// least one whole call behind the minimum.
#ifndef MANGOCART_GATEWAY_CUSTOMERSHARES_H
#define MANGOCART_GATEWAY_CUSTOMERSHARES_H

#include "Core/RuntimeClock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace mangocart {

struct CustomerShareOptions {
  // Counts decay by half in this time. At a few requests a second a gateway
  // then knows some dozens of calls.
  Duration m_HalfLife = std::chrono::seconds(10);
  // A customer is above its share when it got more than this many times the
  // mean of the customers, and the number of calls below.
  double m_MaxTimesMean = 2.0;
  double m_Tolerance = 2.0;
  // Fraction of the calls of a priority or customer that must be served,
  // relative to the fraction of all calls. Callers are promised a quarter; the
  // rest is for the delay until a call is owed.
  double m_MinServedShare = 0.35;

  bool operator==(const CustomerShareOptions &) const = default;
};

// Decayed numbers of calls that were sent to a server, and rejected.
struct ServedCount {
  double m_Served = 0.0;
  double m_Rejected = 0.0;

  bool operator==(const ServedCount &) const = default;
};

struct CustomerShares {
  CustomerShareOptions m_Options;
  std::map<std::uint32_t, ServedCount> m_Priorities;
  std::map<std::string, ServedCount, std::less<>> m_Customers;
  ServedCount m_All;
  // Time to which the counts have decayed.
  TimePoint m_Updated;
};

enum class CallEnd { Served, Rejected };

void recordCall(CustomerShares &Shares, std::uint32_t Priority,
                std::string_view Customer, CallEnd End, TimePoint Now);

// Whether the customer recently got so much that calls of others go first.
bool isAboveShare(const CustomerShares &Shares, std::string_view Customer);

// Whether fewer calls than the minimum were served of those that ended.
bool isPriorityOwed(const CustomerShares &Shares, std::uint32_t Priority);
bool isCustomerOwed(const CustomerShares &Shares, std::string_view Customer);

} // namespace mangocart

#endif
