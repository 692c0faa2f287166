// Decides whether a failed attempt is retried. The retry budget of a service
// grows with its own traffic, so retries cannot amplify an overload.
#ifndef MANGOCART_ROUTING_RETRYBUDGET_H
#define MANGOCART_ROUTING_RETRYBUDGET_H

#include "Core/Random.h"
#include "Core/RuntimeClock.h"

#include <cstdint>
#include <string_view>

namespace mangocart {

struct RetryOptions {
  // Retries added to the budget per first attempt.
  double m_RetryRatio = 0.1;
  // Maximum balance, and the initial balance.
  double m_MaxBalance = 10.0;
  // Maximum number of attempts per request, including the first.
  std::uint32_t m_MaxAttempts = 3;
  // The delay is drawn from [0, Base * 2^(attempt - 1)], at most the cap.
  Duration m_BackoffBase = std::chrono::milliseconds(20);
  Duration m_BackoffCap = std::chrono::milliseconds(250);

  bool operator==(const RetryOptions &) const = default;
};

// The budget of one service.
struct RetryBudget {
  // Currently available retries; in [0, m_MaxBalance].
  double m_Balance = RetryOptions().m_MaxBalance;

  bool operator==(const RetryBudget &) const = default;
};

// Describes a failed attempt.
struct FailedAttempt {
  // 1 for the first attempt.
  std::uint32_t m_Attempt = 1;
  bool m_Idempotent = false;
  // The backend server is proven not to have run the request.
  bool m_ProvenNotRun = false;
  // Part of the answer was sent to the caller, and the stream cannot be
  // resumed.
  bool m_AnswerBegun = false;
  // The caller disconnected.
  bool m_Cancelled = false;
  TimePoint m_Deadline;
  // Expected duration of another attempt.
  Duration m_ExpectedTime = Duration::zero();
  // Fraction of the request's work that a new attempt repeats, in (0, 1]; the
  // amount taken from the budget.
  double m_Cost = 1.0;

  bool operator==(const FailedAttempt &) const = default;
};

enum class RetryOutcome {
  Retry,
  Cancelled,
  AnswerBegun,
  MayHaveRun,
  TooManyAttempts,
  PastDeadline,
  BudgetSpent
};

std::string_view toString(RetryOutcome Outcome);

struct RetryDecision {
  RetryOutcome m_Outcome = RetryOutcome::BudgetSpent;
  // Delay before the next attempt; zero unless the outcome is Retry.
  Duration m_Delay = Duration::zero();

  bool operator==(const RetryDecision &) const = default;
};

// Adds the earnings of a first attempt to the budget.
void creditFirstAttempt(RetryBudget &Budget, const RetryOptions &Options);

// Decides whether to retry; on Retry the cost has been taken from the budget.
// The next replica choice avoids the zone and the server of this attempt
// (RoutedRequest::m_AvoidZone, m_AvoidBackendServer).
RetryDecision decideRetry(RetryBudget &Budget, const FailedAttempt &Failed,
                          const RetryOptions &Options, TimePoint Now,
                          Random &Generator);

} // namespace mangocart

#endif
