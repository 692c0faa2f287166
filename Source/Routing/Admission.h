// Takes or refuses a request when it arrives, by its customer's limit, the
// queue and its deadline. What can't be met is refused at once, with a time to
// come back that is spread over callers.
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
  // The customer is over its limit (429).
  CustomerLimit,
  // The customer has too many requests waiting (429).
  CustomerQueueFull,
  // The queue is full (503).
  QueueFull,
  // The expected wait is longer than the deadline allows (503).
  DeadlineTooClose
};

std::string_view toString(AdmissionReason Reason);

struct AdmissionVerdict {
  AdmissionReason m_Reason = AdmissionReason::Admitted;
  // HTTP status of the refusal; 0 when admitted.
  std::uint16_t m_Status = 0;
  // For the header Retry-After; zero when admitted.
  std::chrono::seconds m_RetryAfter{0};

  bool operator==(const AdmissionVerdict &) const = default;
};

struct AdmissionOptions {
  std::chrono::seconds m_LeastRetryAfter{1};
  std::chrono::seconds m_LongestRetryAfter{60};
  // Retry-After is drawn from [wait, wait * (1 + spread)].
  double m_RetrySpread = 1.0;
  // Share of the time to the deadline that the expected wait may use up; the
  // rest covers errors of the estimate.
  double m_DeadlineShare = 0.8;

  bool operator==(const AdmissionOptions &) const = default;
};

struct AdmissionRequest {
  QueuedRequest m_Request;
  double m_Weight = 1.0;
  // Time from being sent on to the first token.
  Duration m_ExpectedService = Duration::zero();
  // Wait until the customer's limit allows it; zero: it does now.
  Duration m_LimitWait = Duration::zero();

  bool operator==(const AdmissionRequest &) const = default;
};

// Wait of a new request of the customer, in a queue that is served at the rate
// (tokens a second): the customer's own waiting requests, and of the others
// what the fair queue takes before.
Duration expectedWait(const FairQueue &Queue, const AdmissionRequest &Arrival,
                      double TokensPerSecond);

// Judges an arrival; the queue is not changed. A request that is admitted must
// be put into the queue, which may displace another one.
AdmissionVerdict admit(const FairQueue &Queue, const AdmissionRequest &Arrival,
                       double TokensPerSecond, const AdmissionOptions &Options,
                       TimePoint Now, Random &Generator);

// Removes the waiting requests that can't be met any more: those that their own
// customer's requests before them, at the whole rate, hold beyond the deadline
// less the expected service. So a fall of the rate ends them now and not near
// their deadlines. What other customers take before isn't counted: an error of
// the estimate must not end what can still be met.
std::vector<QueuedRequest> giveUpHopeless(FairQueue &Queue,
                                          double TokensPerSecond,
                                          Duration ExpectedService,
                                          TimePoint Now);

// The refusal for a request that the queue put out or that expired in it.
AdmissionVerdict refuseWaiting(AdmissionReason Reason, Duration Wait,
                               const AdmissionOptions &Options,
                               Random &Generator);

} // namespace mangocart

#endif
