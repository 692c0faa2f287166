// Guards against shares of a common budget that are too large because voters
// list only a part of the gateways for a while.
#include "Gateway/GatewayCount.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("a smaller number of gateways counts only after a minute") {
  GatewayCount Count;
  const TimePoint Start{1000s};
  CHECK(Count.m_Number == 0);
  recordListed(Count, 3, Start);
  recordListed(Count, 16, Start + 1s);
  CHECK(Count.m_Number == 16);
  recordListed(Count, 2, Start + 30s);
  CHECK(Count.m_Number == 16);
  recordListed(Count, 16, Start + 40s);
  recordListed(Count, 2, Start + 100s);
  CHECK(Count.m_Number == 16);
  recordListed(Count, 2, Start + 101s);
  CHECK(Count.m_Number == 2);
}
