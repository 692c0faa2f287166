// A drain that is planned to last longer than the time until the process is
// killed cuts off requests that have been accepted.
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
