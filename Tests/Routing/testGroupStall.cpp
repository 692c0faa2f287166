// Pattern: one machine of a rank group freezes for 4 s. For 1.5 s, until the
// other ranks report the group as broken, every request sent to any of its
// ranks only waits there: it loses an attempt, and the frozen machine may run
// it when its caller is gone.
#include "Routing/GroupStall.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Begin = TimePoint() + 1h;

// Streams at the servers of the group, with data in each pass until the time.
GroupStallDetector runningGroup(int Servers, Duration PassTime,
                                Duration Until) {
  GroupStallDetector Detector;
  for (int Server = 0; Server < Servers; ++Server)
    recordStreamBegin(Detector, "g0", "server-" + std::to_string(Server),
                      Begin);
  for (Duration At = PassTime; At <= Until; At += PassTime)
    for (int Server = 0; Server < Servers; ++Server)
      recordStreamData(Detector, "g0", Begin + At + Server * 1ms);
  return Detector;
}

} // namespace

TEST_CASE("group stall: a group whose streams stop together is stalled") {
  const GroupStallDetector Detector = runningGroup(4, 50ms, 1s);
  CHECK_FALSE(isStalled(Detector, "g0", Begin + 1s + 300ms));
  CHECK(isStalled(Detector, "g0", Begin + 1s + 400ms));
  CHECK_FALSE(isStalled(Detector, "g1", Begin + 1s + 400ms));
}

TEST_CASE("group stall: data of any stream ends the stall") {
  GroupStallDetector Detector = runningGroup(4, 50ms, 1s);
  recordStreamData(Detector, "g0", Begin + 2s);
  CHECK_FALSE(isStalled(Detector, "g0", Begin + 2s + 300ms));
}

TEST_CASE("group stall: slow passes are not a stall") {
  // One rank is 12 times slower, so each pass takes 600 ms.
  GroupStallDetector Detector = runningGroup(4, 50ms, 1s);
  TimePoint Now = Begin + 1s;
  for (int Pass = 0; Pass < 10; ++Pass) {
    Now += 600ms;
    recordStreamData(Detector, "g0", Now);
  }
  CHECK_FALSE(isStalled(Detector, "g0", Now + 1100ms));
  CHECK(isStalled(Detector, "g0", Now + 1300ms));
}

TEST_CASE("group stall: one silent server is not a stalled group") {
  // The other streams were cut; only that of the frozen machine remains.
  GroupStallDetector Detector = runningGroup(4, 50ms, 1s);
  for (int Server = 1; Server < 4; ++Server)
    recordStreamEnd(Detector, "server-" + std::to_string(Server));
  CHECK_FALSE(isStalled(Detector, "g0", Begin + 3s));
}

TEST_CASE("group stall: requests that wait for their first data don't count") {
  // No stream has begun, so no data is due.
  const GroupStallDetector Detector;
  CHECK_FALSE(isStalled(Detector, "g0", Begin + 1h));
}

TEST_CASE("group stall: nothing is kept of a group without streams") {
  GroupStallDetector Detector = runningGroup(2, 50ms, 1s);
  recordStreamBegin(Detector, "g0", "server-0", Begin + 1s);
  for (const char *Server : {"server-0", "server-0", "server-1", "server-1"})
    recordStreamEnd(Detector, Server);
  CHECK(Detector == GroupStallDetector());
}
