// Priorities, customers and return times under loads beyond the capacity, in a
// model of 16 or 30 gateways before 160 slots. Guards against urgent calls that
// are late while others are on time, against value lost to an order that leaves
// capacity idle or serves the wrong calls, and against starvation.
#include "Core/Milliseconds.h"
#include "Gateway/LoadReportInterval.h"
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

// In all and by phase: an urgent burst consists of urgent calls, so over the
// whole load more of the urgent calls than of the others meet the shortage.
void checkUrgentOnTime(const Outcome &Of) {
  for (std::size_t P = 1; P < Priorities; ++P)
    CHECK(Of.m_Priorities[0].onTimeShare() >=
          Of.m_Priorities.at(P).onTimeShare());
  for (std::size_t I = 0; I < Of.m_Phases.size(); ++I)
    for (std::size_t P = 1; P < Priorities; ++P) {
      INFO("phase " << I << ", priority " << P);
      CHECK(Of.m_Phases[I][0].onTimeShare() >=
            Of.m_Phases[I].at(P).onTimeShare());
    }
}

void checkOutcome(const Load &Of) {
  const Outcome Present = runSeeds(Of, presentQueue);
  const Outcome Former = runSeeds(Of, formerQueue);
  INFO(Of.m_Gateways << " gateways, reports every "
                     << wholeMilliseconds(Of.m_ReportInterval) << " ms");
  INFO("present: " << describe(Present));
  INFO("former: " << describe(Former));
  checkUrgentOnTime(Present);
  CHECK(Present.m_Value >= Former.m_Value);
  CHECK(Present.m_LongestIdle <= MaxIdle);
  checkShares(Present);
}

// Gateways that know each other's calls at once, and by reports.
void checkLoad(std::vector<Phase> Phases) {
  Load Of;
  Of.m_Phases = std::move(Phases);
  checkOutcome(Of);
  for (const std::size_t Gateways : {16, 30}) {
    Of.m_Gateways = Gateways;
    Of.m_ReportInterval = loadReportInterval(Gateways);
    checkOutcome(Of);
  }
}

} // namespace

// The service takes 107 calls a second.
TEST_CASE("an urgent burst over a full fleet") {
  checkLoad({{10s, {30, 40, 30}}, {6s, {110, 40, 30}}, {10s, {30, 40, 30}}});
}

TEST_CASE("half of the fleet cut off for 6 s") {
  checkLoad({{8s, {28, 36, 28}}, {6s, {28, 36, 28}, 80}, {10s, {28, 36, 28}}});
}

TEST_CASE("one large customer presses") {
  checkLoad(
      {{8s, {25, 30, 25}}, {10s, {25, 30, 25}, 160, 90}, {8s, {25, 30, 25}}});
}

TEST_CASE("a rejected crowd returns") {
  checkLoad({{5s, {20, 25, 20}}, {2s, {120, 150, 120}}, {12s, {20, 25, 20}}});
}

TEST_CASE("urgent calls alone exceed the capacity for 30 s") {
  checkLoad({{30s, {150, 20, 20}}});
}

TEST_CASE("calls of one priority and one customer are dispatched in the former "
          "order") {
  const TimePoint Start{1000s};
  const auto Present = presentQueue(16, 1);
  const auto Former = formerQueue(16, 1);
  Random Generator(1);
  std::uint64_t Number = 0;
  TimePoint Now = Start;
  for (int Round = 0; Round < 2000; ++Round) {
    Now += std::chrono::milliseconds(uniform(Generator, 1, 40));
    WaitingCall Call;
    Call.m_Number = ++Number;
    Call.m_Arrived = Now;
    Call.m_TargetTime =
        Now + std::chrono::milliseconds(uniform(Generator, 0, 800));
    Call.m_CallerTimeoutAt = Call.m_Deadline = Now + 100s;
    Call.m_Priority = 1;
    for (GatewayQueue *Each : {Present.get(), Former.get()}) {
      Each->arrived(Call, Now);
      REQUIRE(Each->admit(Call, Now));
    }
    // The queue grows to some ten calls and is emptied again.
    const bool IsShort = Round % 50 < 30;
    const std::size_t Free = IsShort ? Round % 2 : 10;
    for (std::size_t I = 0; I < Free; ++I)
      REQUIRE(Present->take(Free, Now) == Former->take(Free, Now));
  }
}
