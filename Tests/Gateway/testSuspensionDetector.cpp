// Gaps between the ticks of a process.
#include "Gateway/SuspensionDetector.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("a suspension is known after it has ended") {
  const TimePoint Begin(1000s);
  SuspensionState State{Begin};
  TimePoint Now = Begin;
  for (int I = 0; I < 20; ++I)
    recordTick(State, Now += SuspensionTickInterval);
  CHECK_FALSE(wasSuspended(State, Begin, Now));
  CHECK_FALSE(wasSuspended(State, Begin, Now + 200ms));
  // Before the first tick after it, too.
  Now += 1200ms;
  CHECK(wasSuspended(State, Begin, Now));
  recordTick(State, Now);
  const TimePoint Woke = Now;
  for (int I = 0; I < 20; ++I)
    recordTick(State, Now += SuspensionTickInterval);
  CHECK(wasSuspended(State, Begin, Now));
  CHECK(wasSuspended(State, Woke, Now));
  CHECK_FALSE(wasSuspended(State, Woke + 1ms, Now));
}
