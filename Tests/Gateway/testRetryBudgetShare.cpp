// The retries of all gateways together stay within the common budget in every
// sliding window, without the gateways knowing each other's retries.
#include "Core/Random.h"
#include "Gateway/RetryBudgetShare.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr double Ratio = 0.2;
constexpr double Slack = 88.0;
const RetryShareOptions Options{Ratio, Slack, 10s};

// Sends a retry if the budget allows it.
bool sendRetry(RetryBudgetShare &Share, std::uint32_t Gateways, TimePoint Now) {
  if (!takeRetry(Share, Options, Gateways, Now).m_IsAllowed)
    return false;
  recordRetrySent(Share, Options, Now);
  return true;
}

} // namespace

TEST_CASE("a burst of retries ends when slack and earned retries are used up") {
  RetryBudgetShare S;
  const TimePoint Now{1000s};
  for (int I = 0; I < 100; ++I)
    recordRequest(S, Options, Now);
  int Retries = 0;
  while (sendRetry(S, 4, Now))
    ++Retries;
  // 20 earned, and a fourth of the used share of the slack.
  CHECK(Retries == 31);
  CHECK_FALSE(sendRetry(S, 4, Now + 5s));
  CHECK(sendRetry(S, 4, Now + 12s));
}

TEST_CASE("without requests only the slack is available") {
  RetryBudgetShare S;
  int Retries = 0;
  while (sendRetry(S, 1, TimePoint(1000s)))
    ++Retries;
  CHECK(Retries == 44);
}

TEST_CASE("a retry counts while it waits and from when it is sent") {
  RetryBudgetShare S;
  const TimePoint Now{1000s};
  for (int I = 0; I < 44; ++I)
    REQUIRE(takeRetry(S, Options, 1, Now).m_IsAllowed);
  CHECK_FALSE(takeRetry(S, Options, 1, Now + 60s).m_IsAllowed);
  dropRetry(S);
  CHECK(takeRetry(S, Options, 1, Now + 60s).m_IsAllowed);
  for (int I = 0; I < 44; ++I)
    recordRetrySent(S, Options, Now + 60s);
  CHECK_FALSE(takeRetry(S, Options, 1, Now + 69s).m_IsAllowed);
  CHECK(takeRetry(S, Options, 1, Now + 72s).m_IsAllowed);
}

TEST_CASE("callers retry at every gateway while one gateway restarts") {
  struct Event {
    TimePoint m_At;
    bool m_IsRetry;
  };
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    INFO("seed " << Seed);
    Random Generator(Seed);
    std::vector<RetryBudgetShare> Gateways(4);
    std::vector<Event> Events;
    TimePoint Now{1000s};
    for (int I = 0; I < 6000; ++I) {
      Now += std::chrono::milliseconds(uniform(Generator, 1, 20));
      // A restarted gateway loses its counts.
      if (I == 3000)
        Gateways[0] = RetryBudgetShare();
      RetryBudgetShare &At = Gateways[uniform(Generator, 0, 3)];
      recordRequest(At, Options, Now);
      Events.push_back({Now, false});
      while (uniform(Generator, 0, 9) > 0 && sendRetry(At, 4, Now))
        Events.push_back({Now, true});
    }
    std::size_t Begin = 0;
    int Requests = 0;
    int Retries = 0;
    for (const Event &E : Events) {
      ++(E.m_IsRetry ? Retries : Requests);
      while (E.m_At - Events[Begin].m_At > Options.m_Window) {
        --(Events[Begin].m_IsRetry ? Retries : Requests);
        ++Begin;
      }
      REQUIRE(Retries <= Ratio * Requests + Slack);
    }
  }
}
