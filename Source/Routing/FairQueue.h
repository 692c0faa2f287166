// Weighted fair queue of requests per customer, by estimated tokens (start-time
// fair queueing). Every operation takes O(log n) in the number of customers and
// queued requests.
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
  // Unique among the queued requests.
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
  // may take ahead of the others, so that a burst is not delayed while the
  // customer stays within its share on average.
  double m_Credit = 4000.0;

  bool operator==(const FairQueueLimits &) const = default;
};

// The queued requests of one customer.
struct FairQueueCustomer {
  using Position = std::list<QueuedRequest>::iterator;

  double m_Weight = 1.0;
  // In order of arrival.
  std::list<QueuedRequest> m_Waiting;
  std::uint64_t m_WaitingTokens = 0;
  // Virtual start time of the customer's next request.
  double m_StartTag = 0.0;
  // Virtual finish time of the last dequeued request.
  double m_FinishTag = 0.0;
};

struct FairQueue {
  using Key = std::pair<double, std::uint64_t>;

  FairQueueLimits m_Limits;
  // Start tag of the last dequeued request; never decreases.
  double m_VirtualTime = 0.0;
  std::unordered_map<std::uint64_t, FairQueueCustomer> m_Customers;
  // Customers with queued requests, by the start tag of their next one.
  std::set<Key> m_ByStartTag;
  // The same customers, by queued tokens divided by weight.
  std::set<Key> m_ByBacklog;
  // Customers without queued requests that have used part of their credit, by
  // finish tag.
  std::set<Key> m_Idle;
  // All queued requests; at most m_Limits.m_Total.
  std::unordered_map<std::uint64_t, FairQueueCustomer::Position> m_Requests;
  std::set<std::pair<TimePoint, std::uint64_t>> m_ByDeadline;
  std::uint64_t m_WaitingTokens = 0;
  // Sum of the weights of customers with queued requests.
  double m_ActiveWeight = 0.0;
};

enum class EnqueueStatus { Queued, CustomerFull, QueueFull };

struct EnqueueResult {
  EnqueueStatus m_Status = EnqueueStatus::Queued;
  // Evicted to make room; the caller must reject it.
  std::optional<QueuedRequest> m_Evicted;

  bool operator==(const EnqueueResult &) const = default;
};

// Adds a request of a customer with the given weight (greater than 0). If the
// queue is full, the newest request of the customer with the largest backlog
// relative to its weight is evicted; if that is the same customer, the result
// is QueueFull.
EnqueueResult enqueue(FairQueue &Queue, const QueuedRequest &Request,
                      double Weight);

// Start tag of the customer's next queued request, or of a request added now.
double nextStartTag(const FairQueue &Queue, std::uint64_t Customer);

// Removes and returns the next request, if any.
std::optional<QueuedRequest> dequeue(FairQueue &Queue);

// Removes a queued request; empty if it is not queued. The customer is not
// charged for it.
std::optional<QueuedRequest> cancel(FairQueue &Queue, std::uint64_t Request);

// Removes the requests whose deadline is before the given time, in order of
// their deadlines.
std::vector<QueuedRequest> expire(FairQueue &Queue, TimePoint Before);

} // namespace mangocart

#endif
