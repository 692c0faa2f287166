// Durations written with a unit; a text that is misread would change a time-out
// by orders of magnitude.
#include "Settings/DurationText.h"

#include <catch2/catch.hpp>

using namespace mangocart;

TEST_CASE("duration texts: units are converted to milliseconds") {
  CHECK(parseMilliseconds("250 ms") == 250.0);
  CHECK(parseMilliseconds("2.5 s") == 2500.0);
  CHECK(parseMilliseconds("10s") == 10000.0);
  CHECK(parseMilliseconds("1.5 min") == 90000.0);
  CHECK(parseMilliseconds("0 s") == 0.0);
}

TEST_CASE("duration texts: other texts are rejected") {
  for (const char *Text : {"", "s", "10", "10 h", "10 s s", "ten s", "10,5 s",
                           " 10 s", "inf s", "nan s", "10 s "})
    CHECK_FALSE(parseMilliseconds(Text));
}
