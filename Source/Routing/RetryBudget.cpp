#include "Routing/RetryBudget.h"

#include <algorithm>

namespace mangocart {

namespace {

// Bounds the shift; the backoff cap is reached earlier.
constexpr std::uint32_t MaxDoublings = 16;

Duration drawDelay(std::uint32_t Attempt, const RetryOptions &Options,
                   Random &Generator) {
  const std::uint32_t Doublings =
      std::min(std::max(Attempt, 1U) - 1, MaxDoublings);
  const Duration MaxDelay = std::min<Duration>(
      Options.m_BackoffBase * (1LL << Doublings), Options.m_BackoffCap);
  return Duration(
      uniform(Generator, 0, static_cast<std::uint64_t>(MaxDelay.count())));
}

// Checks the conditions that apply regardless of the budget.
RetryOutcome checkRetryRules(const FailedAttempt &Failed,
                             const RetryOptions &Options) {
  if (Failed.m_Cancelled)
    return RetryOutcome::Cancelled;
  if (Failed.m_AnswerBegun)
    return RetryOutcome::AnswerBegun;
  if (!Failed.m_Idempotent && !Failed.m_ProvenNotRun)
    return RetryOutcome::MayHaveRun;
  if (Failed.m_Attempt >= Options.m_MaxAttempts)
    return RetryOutcome::TooManyAttempts;
  return RetryOutcome::Retry;
}

} // namespace

std::string_view toString(RetryOutcome Outcome) {
  switch (Outcome) {
  case RetryOutcome::Retry:
    return "retry";
  case RetryOutcome::Cancelled:
    return "cancelled";
  case RetryOutcome::AnswerBegun:
    return "answer-begun";
  case RetryOutcome::MayHaveRun:
    return "may-have-run";
  case RetryOutcome::TooManyAttempts:
    return "too-many-attempts";
  case RetryOutcome::PastDeadline:
    return "past-deadline";
  case RetryOutcome::BudgetSpent:
    return "budget-spent";
  }
  return "unknown";
}

void creditFirstAttempt(RetryBudget &Budget, const RetryOptions &Options) {
  Budget.m_Balance =
      std::min(Budget.m_Balance + Options.m_RetryRatio, Options.m_MaxBalance);
}

RetryDecision decideRetry(RetryBudget &Budget, const FailedAttempt &Failed,
                          const RetryOptions &Options, TimePoint Now,
                          Random &Generator) {
  const RetryOutcome Outcome = checkRetryRules(Failed, Options);
  if (Outcome != RetryOutcome::Retry)
    return {Outcome};
  const Duration Delay = drawDelay(Failed.m_Attempt, Options, Generator);
  if (Now + Delay + Failed.m_ExpectedTime > Failed.m_Deadline)
    return {RetryOutcome::PastDeadline};
  if (Budget.m_Balance < Failed.m_Cost)
    return {RetryOutcome::BudgetSpent};
  Budget.m_Balance -= Failed.m_Cost;
  return {RetryOutcome::Retry, Delay};
}

} // namespace mangocart
