// Capacity kept for urgent arrivals. Guards against a reserve without a
// shortage, and against capacity that stays idle while calls wait.
#include "Gateway/PriorityReserve.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

// A gateway with 4 urgent arrivals a second for 10 s.
PriorityReserve reserve() {
  PriorityReserve Reserve;
  for (TimePoint Now = Start; Now < Start + 10s; Now += 250ms)
    recordArrival(Reserve, 0, Now);
  return Reserve;
}

} // namespace

TEST_CASE("the reserve follows the rate of more urgent arrivals, and exists "
          "only while capacity is short") {
  PriorityReserve Reserve = reserve();
  const TimePoint Now = Start + 10s;
  CHECK(urgentArrivalsPerSecond(Reserve, 1, Now) == Approx(4).epsilon(0.1));
  CHECK(reservedRequests(Reserve, 1, 16, Now) == 0);
  recordShortage(Reserve, Now);
  // 4 per second at each of 16 gateways, for 100 ms.
  CHECK(reservedRequests(Reserve, 1, 16, Now) == 6);
  CHECK(reservedRequests(Reserve, 0, 16, Now) == 0);
  CHECK(reservedRequests(Reserve, 1, 16, Now + 2s) == 0);
}

TEST_CASE("capacity within the reserve is used by any call after the longest "
          "hold") {
  PriorityReserve Reserve = reserve();
  const TimePoint Now = Start + 10s;
  recordShortage(Reserve, Now);
  CHECK_FALSE(mustHold(Reserve, 1, 7, 16, Now));
  CHECK(mustHold(Reserve, 1, 6, 16, Now));
  CHECK_FALSE(mustHold(Reserve, 0, 1, 16, Now));
  CHECK(mustHold(Reserve, 1, 1, 16, Now + 124ms));
  CHECK_FALSE(mustHold(Reserve, 1, 1, 16, Now + 125ms));
  // Once it has been used up, the next free capacity is kept again.
  recordShortage(Reserve, Now + 130ms);
  CHECK(mustHold(Reserve, 1, 1, 16, Now + 140ms));
}
