// Stamps grow, also past a stamp seen from a machine whose clock is ahead.
#include "Events/HybridClock.h"

#include "Core/RuntimeClock.h"

#include <catch2/catch.hpp>

using namespace mangocart;

TEST_CASE("a stamp after an observed one is greater") {
  RuntimeClock::pause();
  HybridClock Clock;
  const HybridStamp First = Clock.now();
  CHECK(Clock.now() > First);
  const HybridStamp Ahead{First.m_WallMilliseconds + 60000, 7};
  Clock.observe(Ahead);
  CHECK(Clock.now() > Ahead);
  RuntimeClock::resume();
}

TEST_CASE("stamps survive their text form") {
  const HybridStamp Stamp{1234567, 89};
  CHECK(parseHybridStamp(toString(Stamp)) == Stamp);
  CHECK_FALSE(parseHybridStamp("12").has_value());
  CHECK_FALSE(parseHybridStamp("12.x").has_value());
}
