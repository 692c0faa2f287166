// Decides whether a failed attempt is made again. Each service has a budget of
// retries that its own traffic earns, so that retries can't multiply an
// overload.
#ifndef MANGOCART_ROUTING_RETRYBUDGET_H
#define MANGOCART_ROUTING_RETRYBUDGET_H

#include "Core/Random.h"
#include "Core/RuntimeClock.h"

#include <cstdint>
#include <string_view>

namespace mangocart {

struct RetryOptions {
  // Retries that each first attempt earns.
  double m_Share = 0.1;
  // Retries that can be saved up, and the balance at the start.
  double m_Burst = 10.0;
  // Attempts of one request, the first one included.
  std::uint32_t m_MaxAttempts = 3;
  // The wait is drawn from [0, Base * 2^(attempt - 1)], at most the cap.
  Duration m_BackoffBase = std::chrono::milliseconds(20);
  Duration m_BackoffCap = std::chrono::milliseconds(250);

  bool operator==(const RetryOptions &) const = default;
};

// The budget of one service.
struct RetryBudget {
  // Retries that may be made now; in [0, m_Burst].
  double m_Balance = RetryOptions().m_Burst;

  bool operator==(const RetryBudget &) const = default;
};

// What is known of the attempt that failed.
struct FailedAttempt {
  // 1 for the first attempt.
  std::uint32_t m_Attempt = 1;
  bool m_Idempotent = false;
  // There is proof that the backend server never ran it.
  bool m_ProvenNotRun = false;
  // Part of the answer has gone to the caller, and it can't be resumed.
  bool m_AnswerBegun = false;
  // The caller hung up.
  bool m_Cancelled = false;
  TimePoint m_Deadline;
  // Time that a new attempt is expected to take.
  Duration m_ExpectedTime = Duration::zero();
  // Share of the request's work that a new attempt repeats, in (0, 1]; what it
  // takes from the budget.
  double m_Cost = 1.0;

  bool operator==(const FailedAttempt &) const = default;
};

enum class RetryVerdict {
  Retry,
  Cancelled,
  AnswerBegun,
  MayHaveRun,
  TooManyAttempts,
  PastDeadline,
  BudgetSpent
};

std::string_view toString(RetryVerdict Verdict);

struct RetryDecision {
  RetryVerdict m_Verdict = RetryVerdict::BudgetSpent;
  // Wait before the next attempt; zero unless the verdict is Retry.
  Duration m_Delay = Duration::zero();

  bool operator==(const RetryDecision &) const = default;
};

// Counts a first attempt of the service.
void earnRetries(RetryBudget &Budget, const RetryOptions &Options);

// Judges the failure; a verdict of Retry has been paid from the budget. The
// next choice of a replica avoids the zone and the server of this attempt
// (RoutedRequest::m_AvoidZone, m_AvoidBackendServer).
RetryDecision decideRetry(RetryBudget &Budget, const FailedAttempt &Failed,
                          const RetryOptions &Options, TimePoint Now,
                          Random &Generator);

} // namespace mangocart

#endif
