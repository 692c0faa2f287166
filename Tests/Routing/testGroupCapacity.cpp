// Limits of rank groups under load, with a model of the groups by the formula
// of their passes. Guards against passes beyond the gap target, which make all
// streams of a group late, and against limits that leave capacity idle.
#include "PassModel.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <numbers>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

// Rises and falls with a period of 13 s, up to 1.55 times the mean.
std::function<double(Duration)> wave(double Mean) {
  return [Mean](Duration At) {
    const double Seconds = std::chrono::duration<double>(At).count();
    return Mean *
           (1.0 + 0.55 * std::sin(Seconds * 2.0 * std::numbers::pi / 13.0));
  };
}

// A burst of 600 ms every 5 s.
std::function<double(Duration)> burst(double Base, double Burst) {
  return [Base, Burst](Duration At) {
    return At % 5s > 2000ms && At % 5s < 2600ms ? Burst : Base;
  };
}

PassModelSetup setupWith(std::function<double(Duration)> Rate) {
  PassModelSetup Setup;
  Setup.m_Declared = Setup.m_True = tracedFigures();
  Setup.m_Rate = std::move(Rate);
  return Setup;
}

// At most 1 in 100 streams has a gap above the target.
void checkGaps(PassModelSetup Setup) {
  for (Setup.m_Seed = 1; Setup.m_Seed <= 3; ++Setup.m_Seed) {
    const PassModelResult Result = runPassModel(Setup);
    INFO("seed " << Setup.m_Seed << ": " << Result.m_GapsOnTime << " of "
                 << Result.m_Served);
    CHECK(Result.m_Served > 0);
    CHECK(100 * (Result.m_Served - Result.m_GapsOnTime) <= Result.m_Served);
  }
}

// At least as many streams on time as with the choice by slots.
void checkOnTime(PassModelSetup Setup) {
  for (Setup.m_Seed = 1; Setup.m_Seed <= 3; ++Setup.m_Seed) {
    Setup.m_LimitsPasses = true;
    const PassModelResult Result = runPassModel(Setup);
    Setup.m_LimitsPasses = false;
    const PassModelResult BySlots = runPassModel(Setup);
    INFO("seed " << Setup.m_Seed << " of " << Result.m_Arrived);
    CHECK(Result.m_OnTime >= BySlots.m_OnTime);
  }
}

} // namespace

TEST_CASE("the top of a wave") {
  checkGaps(setupWith(wave(250)));
  checkOnTime(setupWith(wave(350)));
  // Experts are spread badly: with all slots, passes exceed the target.
  PassModelSetup Skewed = setupWith(wave(180));
  Skewed.m_ExpertSkew = 2.5;
  checkGaps(Skewed);
  Skewed.m_Rate = wave(350);
  checkOnTime(Skewed);
}

TEST_CASE("an urgent burst over a full fleet") {
  checkGaps(setupWith(burst(250, 900)));
  checkOnTime(setupWith(burst(300, 1500)));
  PassModelSetup Skewed = setupWith(burst(300, 1500));
  Skewed.m_ExpertSkew = 2.0;
  checkOnTime(Skewed);
}

TEST_CASE("a slow rank in one group", "[slow-rank-in-group]") {
  PassModelSetup Setup = setupWith(wave(220));
  Setup.m_SlowFactor = 1.6;
  checkGaps(Setup);
  Setup.m_Rate = wave(300);
  checkOnTime(Setup);
  const PassModelResult Result = runPassModel(Setup);
  CHECK(3 * Result.m_ServedByFirstGroup < Result.m_Served);
}

TEST_CASE("wrong figures in the configuration") {
  PassModelSetup Setup = setupWith(wave(180));
  Setup.m_True.m_StepMs = 10.0;
  SECTION("too low") { Setup.m_Declared.m_StepMsPerRequest = 0.1; }
  SECTION("too high") {
    Setup.m_Declared.m_StepMs = 15.0;
    Setup.m_Declared.m_StepMsPerRequest = 1.5;
  }
  checkGaps(Setup);
  Setup.m_Rate = wave(300);
  checkOnTime(Setup);
}

TEST_CASE("no report from other gateways", "[no-gateway-reports]") {
  PassModelSetup Setup = setupWith(wave(200));
  Setup.m_CountAge = std::nullopt;
  checkGaps(Setup);
  checkOnTime(Setup);
}

namespace {

// A group of 24 ranks that was considered once.
struct OneGroup {
  OneGroup() {
    m_Load.m_Group = "g";
    m_Load.m_Ranks = 24;
    m_Load.m_Slots = 240;
    choose();
  }
  bool choose() {
    const std::vector<GroupLoad> Loads{m_Load};
    return !preferredGroups(m_Capacity, {tracedFigures(), 120.0}, Loads, {},
                            m_Now)
                .empty();
  }
  void pass(Duration Gap, std::uint32_t Requests) {
    m_Now += Gap;
    recordGap(
        m_Capacity, "g", Gap, [&] { return Requests; }, m_Now);
  }
  const GroupPasses &passes() const { return m_Capacity.m_Groups.at("g"); }

  GroupCapacity m_Capacity;
  GroupLoad m_Load;
  TimePoint m_Now{1h};
};

} // namespace

TEST_CASE("gaps of connections that deliver late are no passes") {
  OneGroup Of;
  for (int I = 0; I < 50; ++I)
    Of.pass(60ms, 120);
  const double Mean = Of.passes().m_MeanMs;
  CHECK(Mean == Approx(60.0));
  for (int I = 0; I < 50; ++I)
    Of.pass(3ms, 120);
  CHECK(Of.passes().m_MeanMs == Mean);
  // One of three streams is delayed.
  for (int I = 0; I < 20; ++I) {
    Of.pass(60ms, 120);
    for (const Duration Gap : {60ms, 250ms})
      recordGap(
          Of.m_Capacity, "g", Gap, [] { return 120; }, Of.m_Now);
  }
  CHECK(Of.passes().m_MeanMs == Approx(60.0));
}

TEST_CASE(
    "an observation begins anew after a stall, a new formation and 10 s") {
  OneGroup Of;
  const auto Observe = [&] {
    for (int I = 0; I < 50; ++I)
      Of.pass(110ms, 120);
    Of.choose();
    REQUIRE(Of.passes().m_Limit < 240);
  };
  Observe();
  SECTION("stall") { Of.pass(900ms, 120); }
  SECTION("formation") { ++Of.m_Load.m_Epoch; }
  SECTION("age") { Of.m_Now += 10001ms; }
  Of.choose();
  CHECK(Of.passes().m_Limit == 240);
}

TEST_CASE("a group that is late at half of its slots uses all of them, after "
          "others") {
  OneGroup Of;
  for (int I = 0; I < 50; ++I)
    Of.pass(150ms, 100);
  Of.m_Load.m_Requests = 200;
  CHECK(Of.choose());
  CHECK(Of.passes().m_Limit == 240);
  GroupLoad Other = Of.m_Load;
  Other.m_Group = "h";
  const std::vector<GroupLoad> Loads{Of.m_Load, Other};
  const auto Order = preferredGroups(Of.m_Capacity, {tracedFigures(), 120.0},
                                     Loads, {}, Of.m_Now);
  REQUIRE(Order.size() == 2);
  CHECK(Order[0] == std::vector<std::size_t>{1});
}

TEST_CASE("a limit is reported once, and its end after 5 s") {
  OneGroup Of;
  for (int I = 0; I < 50; ++I)
    Of.pass(110ms, 120);
  Of.choose();
  const auto Limited = updateGroupLimits(Of.m_Capacity, Of.m_Now);
  REQUIRE(Limited.size() == 1);
  CHECK(Limited[0].m_IsLimited);
  CHECK(Limited[0].m_Limit < 240);
  CHECK(updateGroupLimits(Of.m_Capacity, Of.m_Now + 4s).empty());
  const auto Unlimited = updateGroupLimits(Of.m_Capacity, Of.m_Now + 5s);
  REQUIRE(Unlimited.size() == 1);
  CHECK_FALSE(Unlimited[0].m_IsLimited);
}
