// One gateway's share of a service's retry budget, which all gateways have in
// common. Within a sliding window the retries stay below a ratio of the
// gateway's own requests plus a share of the common slack, so that gateways
// need not know each other's retries.
#ifndef MANGOCART_GATEWAY_RETRYBUDGETSHARE_H
#define MANGOCART_GATEWAY_RETRYBUDGETSHARE_H

#include "Core/RuntimeClock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mangocart {

struct RetryShareOptions {
  // Retries that each request adds to the budget.
  double m_Ratio = 0.1;
  // Additional retries in a window, over all gateways.
  double m_Slack = 0.0;
  Duration m_Window = std::chrono::seconds(10);
  // Share of the slack that is used: the rest covers gateways that others do
  // not know of yet, and gateways that lost their counts in a restart.
  double m_SlackShare = 0.5;

  bool operator==(const RetryShareOptions &) const = default;
};

struct RetryBudgetShare {
  static constexpr std::size_t BucketsPerWindow = 10;

  struct Bucket {
    std::int64_t m_Number = -1;
    std::uint32_t m_Requests = 0;
    std::uint32_t m_Retries = 0;

    bool operator==(const Bucket &) const = default;
  };
  // Ring buffer, indexed by bucket number. One bucket more than a window, as
  // the window covers the oldest one only partly.
  std::array<Bucket, BucketsPerWindow + 1> m_Buckets{};
  // Retries that are allowed and not sent yet.
  std::uint32_t m_Waiting = 0;
  // Start of the process. The budget of a window that begins before it may have
  // been used by the process that ran before.
  TimePoint m_StartedAt;

  bool operator==(const RetryBudgetShare &) const = default;
};

// Whether a retry is allowed, and what this was decided on.
struct RetryShareDecision {
  bool m_IsAllowed = false;
  // Requests and earlier retries of this gateway within the window, and those
  // retries that wait to be sent.
  std::uint32_t m_Requests = 0;
  std::uint32_t m_Retries = 0;
  double m_MaxRetries = 0.0;
  // Gateways that the slack was divided by; 0: not known.
  std::uint32_t m_Gateways = 0;

  bool operator==(const RetryShareDecision &) const = default;
};

// Counts a request of the service that this gateway received.
void recordRequest(RetryBudgetShare &Share, const RetryShareOptions &Options,
                   TimePoint Now);

// Reserves one more retry if the budget allows it. Without a number of gateways
// (0) there is no slack. In the first window after the start requests earn
// nothing and the slack grows from zero. A retry may wait for a backend server
// and counts from when it is sent: recordRetrySent() or dropRetry() must
// follow.
RetryShareDecision takeRetry(RetryBudgetShare &Share,
                             const RetryShareOptions &Options,
                             std::uint32_t Gateways, TimePoint Now);

// A reserved retry was sent.
void recordRetrySent(RetryBudgetShare &Share, const RetryShareOptions &Options,
                     TimePoint Now);

// A reserved retry won't be sent.
void dropRetry(RetryBudgetShare &Share);

} // namespace mangocart

#endif
