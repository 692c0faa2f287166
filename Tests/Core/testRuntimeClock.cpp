// The clock stands still while paused and moves only by hand.
#include "Core/RuntimeClock.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("a paused clock moves only by advance") {
  RuntimeClock::pause();
  const TimePoint Before = RuntimeClock::now();
  CHECK(RuntimeClock::now() == Before);
  RuntimeClock::advance(5s);
  CHECK(RuntimeClock::now() - Before == Duration(5s));
  RuntimeClock::resume();
}
