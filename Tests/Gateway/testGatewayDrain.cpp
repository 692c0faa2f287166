// A drain that is planned to last longer than the time until the process is
// killed cuts off requests that have been accepted. So does a drain that
// accepts requests which take longer than what is left of it.
#include "Gateway/GatewayDrain.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("gateway drain: it ends before the process is killed") {
  for (const Duration UntilKilled :
       {Duration(0s), Duration(200ms), Duration(1s), Duration(2500ms),
        Duration(8s), Duration(2h)}) {
    const DrainLimits Limits = gatewayDrainLimits(UntilKilled);
    CAPTURE(UntilKilled.count());
    CHECK(Limits.m_MaxDuration >= Duration::zero());
    CHECK(Limits.m_ListenDuration <= Limits.m_MaxDuration);
    if (UntilKilled > Duration::zero())
      CHECK(Limits.m_MaxDuration < UntilKilled);
  }
}

TEST_CASE("gateway drain: requests accepted last have time to be answered") {
  for (const Duration UntilKilled :
       {Duration(1s), Duration(2s), Duration(3s)}) {
    const DrainLimits Limits = gatewayDrainLimits(UntilKilled);
    CHECK(Limits.m_MaxDuration - Limits.m_ListenDuration >= UntilKilled / 4);
  }
}

TEST_CASE("gateway drain: the listener stays open for two health checks") {
  const DrainLimits Limits = gatewayDrainLimits(8s);
  CHECK(Limits.m_ListenDuration == Duration(2500ms));
  CHECK(Limits.m_MaxDuration == Duration(7700ms));
}

TEST_CASE("gateway drain: the longest recent answer time counts") {
  AnswerTimes Times;
  const TimePoint Start(100s);
  CHECK(longestAnswerTime(Times, Start) == std::nullopt);
  recordAnswerTime(Times, 3s, Start);
  recordAnswerTime(Times, 2s, Start + 1s);
  CHECK(longestAnswerTime(Times, Start + 1s) == Duration(3s));
  recordAnswerTime(Times, 1s, Start + 11s);
  CHECK(longestAnswerTime(Times, Start + 11s) == Duration(3s));
  CHECK(longestAnswerTime(Times, Start + 21s) == Duration(1s));
  CHECK(longestAnswerTime(Times, Start + 31s) == std::nullopt);
  recordAnswerTime(Times, 1s, Start + 90s);
  CHECK(longestAnswerTime(Times, Start + 90s) == Duration(1s));
}

TEST_CASE("gateway drain: requests that would outlast it are rejected") {
  struct Case {
    Duration m_DrainLeft;
    Duration m_TimeLeft;
    std::optional<Duration> m_LongestAnswer;
    bool m_Accepted;
  };
  const std::vector<Case> Cases = {
      // A request whose caller disconnects before can't be cut off.
      {5s, 4s, std::nullopt, true},
      {5s, 4s, 60s, true},
      // Without recent requests, one may take until its deadline.
      {5s, 8s, std::nullopt, false},
      {5s, 8s, 1s, true},
      {5s, 8s, 3s, true},
      {5s, 8s, 4s, false},
      {0s, 8s, 100ms, false},
      {-1s, 8s, 0s, false},
  };
  const TimePoint Now(100s);
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_DrainLeft.count(), Each.m_TimeLeft.count());
    CHECK(isAnsweredBefore(Now + Each.m_DrainLeft, Now, Each.m_TimeLeft,
                           Each.m_LongestAnswer) == Each.m_Accepted);
  }
}
