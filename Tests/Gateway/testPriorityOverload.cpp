// Priorities, customers and return times under loads beyond the capacity, in a
// model of 16 gateways before 160 slots. Guards against urgent calls that are
// late while others are on time, against value lost to an order that leaves
// capacity idle or serves the wrong calls, and against starvation.
#include "Gateway/OverloadModel.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace mangocart::model;
using namespace std::chrono_literals;

namespace {

// No priority and no customer may fall below this part of the share of all
// calls that are served.
constexpr double MinShare = 0.25;
constexpr Duration MaxIdle = 200ms;
// Customers with fewer calls show no share.
constexpr int MinCalls = 50;

Tally total(const Outcome &Of) {
  Tally Sum;
  for (const Tally &Each : Of.m_Priorities) {
    Sum.m_Calls += Each.m_Calls;
    Sum.m_OnTime += Each.m_OnTime;
    Sum.m_Late += Each.m_Late;
  }
  return Sum;
}

void checkShares(const Outcome &Of) {
  const double All = total(Of).servedShare();
  for (const Tally &Each : Of.m_Priorities)
    CHECK(Each.servedShare() >= MinShare * All);
  for (const auto &[Name, Each] : Of.m_Customers) {
    if (Each.m_Calls < MinCalls)
      continue;
    INFO(Name);
    CHECK(Each.servedShare() >= MinShare * All);
  }
}

// Returns the present outcome after the checks that hold for each load.
Outcome checkLoad(const Load &Of) {
  const Outcome Present = runSeeds(Of, presentQueue);
  const Outcome Former = runSeeds(Of, formerQueue);
  INFO("present: " << describe(Present));
  INFO("former: " << describe(Former));
  for (std::size_t P = 1; P < Priorities; ++P)
    CHECK(Present.m_Priorities[0].onTimeShare() >=
          Present.m_Priorities.at(P).onTimeShare());
  CHECK(Present.m_Value >= Former.m_Value);
  CHECK(Present.m_LongestIdle <= MaxIdle);
  checkShares(Present);
  return Present;
}

} // namespace

// The service takes 107 calls a second.
TEST_CASE("an urgent burst over a full fleet") {
  checkLoad({{{10s, {30, 40, 30}}, {6s, {110, 40, 30}}, {10s, {30, 40, 30}}}});
}

TEST_CASE("half of the fleet cut off for 6 s") {
  checkLoad(
      {{{8s, {28, 36, 28}}, {6s, {28, 36, 28}, 80}, {10s, {28, 36, 28}}}});
}

TEST_CASE("one large customer presses") {
  checkLoad(
      {{{8s, {25, 30, 25}}, {10s, {25, 30, 25}, 160, 90}, {8s, {25, 30, 25}}}});
}

TEST_CASE("a rejected crowd returns") {
  checkLoad({{{5s, {20, 25, 20}}, {2s, {120, 150, 120}}, {12s, {20, 25, 20}}}});
}
