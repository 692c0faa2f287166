// Weighted fair queue of requests per customer, by estimated tokens (start-time
// fair queueing). Every operation takes O(log n) in the number of customers and
// waiting requests.
#ifndef MANGOCART_ROUTING_FAIRQUEUE_H
#define MANGOCART_ROUTING_FAIRQUEUE_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mangocart {

struct QueuedRequest {
  // Unique among the waiting requests.
  std::uint64_t m_Request = 0;
  std::uint64_t m_Customer = 0;
  std::uint64_t m_EstimatedTokens = 1;
  TimePoint m_Deadline;

  bool operator==(const QueuedRequest &) const = default;
};

struct FairQueueLimits {
  std::size_t m_PerCustomer = 256;
  std::size_t m_Total = 4096;
  // Tokens (for a weight of 1) that a customer which used less than its share
  // may take ahead of the others, so that a burst within its share on average
  // isn't held back.
  double m_Credit = 4000.0;

  bool operator==(const FairQueueLimits &) const = default;
};

// The waiting requests of one customer.
struct FairQueueCustomer {
  using Position = std::list<QueuedRequest>::iterator;

  double m_Weight = 1.0;
  // Order of arrival.
  std::list<QueuedRequest> m_Waiting;
  std::uint64_t m_WaitingTokens = 0;
  // Virtual time at which the next request of the customer may start.
  double m_Start = 0.0;
  // Virtual time at which the last request taken ends.
  double m_Finish = 0.0;
};

struct FairQueue {
  using Key = std::pair<double, std::uint64_t>;

  FairQueueLimits m_Limits;
  // Start of the last request taken; never goes back.
  double m_VirtualTime = 0.0;
  std::unordered_map<std::uint64_t, FairQueueCustomer> m_Customers;
  // Customers with waiting requests by the start of their next one.
  std::set<Key> m_ByStart;
  // The same customers by waiting tokens over weight.
  std::set<Key> m_ByBacklog;
  // Customers without waiting requests whose credit isn't whole yet, by finish.
  std::set<Key> m_Idle;
  // Every waiting request; at most m_Limits.m_Total.
  std::unordered_map<std::uint64_t, FairQueueCustomer::Position> m_Requests;
  std::set<std::pair<TimePoint, std::uint64_t>> m_ByDeadline;
  std::uint64_t m_WaitingTokens = 0;
  // Sum of the weights of customers with waiting requests.
  double m_ActiveWeight = 0.0;
};

enum class EnqueueVerdict { Queued, CustomerFull, QueueFull };

struct EnqueueResult {
  EnqueueVerdict m_Verdict = EnqueueVerdict::Queued;
  // Put out to make room; has to be refused now.
  std::optional<QueuedRequest> m_Displaced;

  bool operator==(const EnqueueResult &) const = default;
};

// Adds a request of a customer with the weight (more than 0). When the queue is
// full, the newest request of the customer with the largest backlog for its
// weight makes room, unless that is the customer itself: QueueFull.
EnqueueResult enqueue(FairQueue &Queue, const QueuedRequest &Request,
                      double Weight);

// Virtual time at which the customer's next waiting request starts, or would if
// one came now.
double nextStart(const FairQueue &Queue, std::uint64_t Customer);

// Takes the request that is due next, if any.
std::optional<QueuedRequest> dequeue(FairQueue &Queue);

// Removes a waiting request; none if it isn't waiting. Costs its customer
// nothing.
std::optional<QueuedRequest> cancel(FairQueue &Queue, std::uint64_t Request);

// Removes the requests whose deadline is before the given time; earliest first.
std::vector<QueuedRequest> expire(FairQueue &Queue, TimePoint Before);

} // namespace mangocart

#endif
