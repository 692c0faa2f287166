// Tests the conditions for a retry, and that retries stay a fixed fraction of
// the traffic.
#include "Routing/RetryBudget.h"

#include <catch2/catch.hpp>

#include <set>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("conditions for a retry") {
  struct Row {
    const char *m_Case;
    void (*m_Change)(FailedAttempt &, RetryBudget &);
    RetryOutcome m_Expected;
  };
  using enum RetryOutcome;
  const Row Rows[] = {
      {"idempotent", [](auto &, auto &) {}, Retry},
      {"may have run", [](auto &F, auto &) { F.m_Idempotent = false; },
       MayHaveRun},
      {"proven not run",
       [](auto &F, auto &) {
         F.m_Idempotent = false;
         F.m_ProvenNotRun = true;
       },
       Retry},
      {"answer begun", [](auto &F, auto &) { F.m_AnswerBegun = true; },
       AnswerBegun},
      {"caller disconnected", [](auto &F, auto &) { F.m_Cancelled = true; },
       Cancelled},
      {"last attempt", [](auto &F, auto &) { F.m_Attempt = 3; },
       TooManyAttempts},
      {"no time left", [](auto &F, auto &) { F.m_ExpectedTime = 1s + 1us; },
       PastDeadline},
      {"deadline passed", [](auto &F, auto &) { F.m_Deadline = TimePoint(); },
       PastDeadline},
      {"budget exhausted", [](auto &, auto &B) { B.m_Balance = 0.99; },
       BudgetSpent}};
  for (const Row &Each : Rows) {
    Random Generator(1);
    RetryBudget Budget;
    FailedAttempt Failed;
    Failed.m_Idempotent = true;
    Failed.m_Deadline = TimePoint(2s);
    Each.m_Change(Failed, Budget);
    const double Before = Budget.m_Balance;
    const RetryDecision Decision =
        decideRetry(Budget, Failed, {}, TimePoint(1s), Generator);
    CAPTURE(Each.m_Case);
    CHECK(toString(Decision.m_Outcome) == toString(Each.m_Expected));
    CHECK(Budget.m_Balance == Before - (Each.m_Expected == Retry ? 1.0 : 0.0));
  }
}

TEST_CASE(
    "retries stay a fixed fraction of the traffic if every attempt fails") {
  Random Generator(2);
  RetryBudget Budget;
  const RetryOptions Options;
  std::uint64_t Attempts = 0;
  constexpr std::uint64_t Requests = 10000;
  for (std::uint64_t Index = 0; Index < Requests; ++Index) {
    creditFirstAttempt(Budget, Options);
    FailedAttempt Failed{1, true, false, false, false, TimePoint(1h), {}};
    ++Attempts;
    while (decideRetry(Budget, Failed, Options, TimePoint(), Generator)
               .m_Outcome == RetryOutcome::Retry) {
      ++Attempts;
      ++Failed.m_Attempt;
    }
  }
  CHECK(static_cast<double>(Attempts) <=
        Requests * (1.0 + Options.m_RetryRatio) + Options.m_MaxBalance);
}

TEST_CASE("retry delays are randomized and bounded") {
  Random Generator(4);
  const RetryOptions Options;
  std::set<Duration> Seen;
  for (std::uint32_t Round = 0; Round < 200; ++Round) {
    RetryBudget Budget;
    RetryOptions Many = Options;
    Many.m_MaxAttempts = 100;
    const FailedAttempt Failed{1 + Round % 60, true,          false, false,
                               false,          TimePoint(1h), {}};
    const Duration Delay =
        decideRetry(Budget, Failed, Many, TimePoint(), Generator).m_Delay;
    CHECK(Delay <= Options.m_BackoffCap);
    Seen.insert(Delay);
  }
  CHECK(Seen.size() > 150);
}
