// The latest requests of a service that got sound answers, up to a number.
// Tells how common a request is, without a record of all requests.
#ifndef MANGOCART_ROUTING_RECENTREQUESTS_H
#define MANGOCART_ROUTING_RECENTREQUESTS_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace mangocart {

// How often a request is among the recent ones, and when it was last answered.
struct RecentRequest {
  std::size_t m_Count = 0;
  TimePoint m_LastAt;

  bool operator==(const RecentRequest &) const = default;
};

struct RecentRequests {
  // Digests in order of the answers.
  std::deque<std::string> m_Order;
  // The same digests, each once; the counts add up to the length of m_Order.
  std::map<std::string, RecentRequest> m_ByDigest;

  bool operator==(const RecentRequests &) const = default;
};

// Adds a request. Beyond MaxRequests the oldest one is forgotten.
void recordRequest(RecentRequests &Recent, const std::string &Digest,
                   std::size_t MaxRequests, TimePoint Now);

// Null if the request isn't among the recent ones.
const RecentRequest *findRequest(const RecentRequests &Recent,
                                 const std::string &Digest);

} // namespace mangocart

#endif
