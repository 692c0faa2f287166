// Admission control. Accepts or rejects a request on arrival, based on its
// customer's rate limit, the queue and the request's deadline. A request that
// cannot be served in time is rejected at once, with a randomized Retry-After.
#ifndef MANGOCART_ROUTING_ADMISSION_H
#define MANGOCART_ROUTING_ADMISSION_H

#include "Core/Random.h"
#include "Core/RuntimeClock.h"
#include "Routing/FairQueue.h"

#include <cstdint>
#include <string_view>

namespace mangocart {

enum class AdmissionReason {
  Admitted,
  // The customer exceeds its rate limit (429).
  CustomerLimit,
  // The customer's part of the queue is full (429).
  CustomerQueueFull,
  // The queue is full (503).
  QueueFull,
  // The expected wait exceeds the time to the deadline (503).
  DeadlineTooClose
};

std::string_view toString(AdmissionReason Reason);

struct AdmissionDecision {
  AdmissionReason m_Reason = AdmissionReason::Admitted;
  // HTTP status of the rejection; 0 when admitted.
  std::uint16_t m_Status = 0;
  // Value of the Retry-After header; zero when admitted.
  std::chrono::seconds m_RetryAfter{0};

  bool operator==(const AdmissionDecision &) const = default;
};

struct AdmissionOptions {
  std::chrono::seconds m_MinRetryAfter{1};
  std::chrono::seconds m_MaxRetryAfter{60};
  // Retry-After is drawn from [wait, wait * (1 + jitter)].
  double m_RetryAfterJitter = 1.0;
  // Fraction of the time to the deadline that the expected wait may use; the
  // rest is a margin for estimation errors.
  double m_DeadlineFraction = 0.8;

  bool operator==(const AdmissionOptions &) const = default;
};

struct AdmissionRequest {
  QueuedRequest m_Request;
  double m_Weight = 1.0;
  // Expected time from dispatch to the first token.
  Duration m_ExpectedServiceTime = Duration::zero();
  // Time until the customer's rate limit permits the request; zero if it does
  // now.
  Duration m_RateLimitDelay = Duration::zero();

  bool operator==(const AdmissionRequest &) const = default;
};

// Expected wait of a new request when the queue is served at the given rate:
// the customer's own queued requests, and those of other customers that the
// fair queue dequeues first.
Duration expectedWait(const FairQueue &Queue, const AdmissionRequest &Arrival,
                      double TokensPerSecond);

// Decides on an arriving request without changing the queue. The caller must
// then enqueue an admitted request, which may evict another one.
AdmissionDecision decideAdmission(const FairQueue &Queue,
                                  const AdmissionRequest &Arrival,
                                  double TokensPerSecond,
                                  const AdmissionOptions &Options,
                                  TimePoint Now, Random &Generator);

// Removes the queued requests that cannot meet their deadlines any more: the
// customer's own requests ahead of them, served at the full rate, take longer
// than the time to the deadline less the expected service time. When the
// service rate drops, such requests are rejected at once and not near their
// deadlines. Requests of other customers are not counted, so an estimation
// error cannot remove a request that could still be served.
std::vector<QueuedRequest> dropInfeasible(FairQueue &Queue,
                                          double TokensPerSecond,
                                          Duration ExpectedService,
                                          TimePoint Now);

// The rejection of a request that was evicted from the queue or expired in it.
AdmissionDecision makeRefusal(AdmissionReason Reason, Duration Wait,
                              const AdmissionOptions &Options,
                              Random &Generator);

} // namespace mangocart

#endif
