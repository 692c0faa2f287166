// Retries within the budget.
#include "Routing/RetryBudget.h"

#include <algorithm>

namespace mangocart {

namespace {

// Doublings after which the cap has long been reached.
constexpr std::uint32_t MaxDoublings = 16;

Duration drawDelay(std::uint32_t Attempt, const RetryOptions &Options,
                   Random &Generator) {
  const std::uint32_t Doublings =
      std::min(std::max(Attempt, 1U) - 1, MaxDoublings);
  const Duration Longest = std::min<Duration>(
      Options.m_BackoffBase * (1LL << Doublings), Options.m_BackoffCap);
  return Duration(
      uniform(Generator, 0, static_cast<std::uint64_t>(Longest.count())));
}

// The rules that no budget can overrule.
RetryVerdict judge(const FailedAttempt &Failed, const RetryOptions &Options) {
  if (Failed.m_Cancelled)
    return RetryVerdict::Cancelled;
  if (Failed.m_AnswerBegun)
    return RetryVerdict::AnswerBegun;
  if (!Failed.m_Idempotent && !Failed.m_ProvenNotRun)
    return RetryVerdict::MayHaveRun;
  if (Failed.m_Attempt >= Options.m_MaxAttempts)
    return RetryVerdict::TooManyAttempts;
  return RetryVerdict::Retry;
}

} // namespace

std::string_view toString(RetryVerdict Verdict) {
  switch (Verdict) {
  case RetryVerdict::Retry:
    return "retry";
  case RetryVerdict::Cancelled:
    return "cancelled";
  case RetryVerdict::AnswerBegun:
    return "answer-begun";
  case RetryVerdict::MayHaveRun:
    return "may-have-run";
  case RetryVerdict::TooManyAttempts:
    return "too-many-attempts";
  case RetryVerdict::PastDeadline:
    return "past-deadline";
  case RetryVerdict::BudgetSpent:
    return "budget-spent";
  }
  return "unknown";
}

void earnRetries(RetryBudget &Budget, const RetryOptions &Options) {
  Budget.m_Balance =
      std::min(Budget.m_Balance + Options.m_Share, Options.m_Burst);
}

RetryDecision decideRetry(RetryBudget &Budget, const FailedAttempt &Failed,
                          const RetryOptions &Options, TimePoint Now,
                          Random &Generator) {
  const RetryVerdict Verdict = judge(Failed, Options);
  if (Verdict != RetryVerdict::Retry)
    return {Verdict};
  const Duration Delay = drawDelay(Failed.m_Attempt, Options, Generator);
  if (Now + Delay + Failed.m_ExpectedTime > Failed.m_Deadline)
    return {RetryVerdict::PastDeadline};
  if (Budget.m_Balance < Failed.m_Cost)
    return {RetryVerdict::BudgetSpent};
  Budget.m_Balance -= Failed.m_Cost;
  return {RetryVerdict::Retry, Delay};
}

} // namespace mangocart
