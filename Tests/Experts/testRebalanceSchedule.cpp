// Tests the times of checks and the cost model of moves.
#include "Experts/MoveCostModel.h"
#include "Experts/RebalanceSchedule.h"

#include <catch2/catch.hpp>

#include <string>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{10h};

struct ScheduleCase {
  std::string m_Name;
  Duration m_ReadAfter;
  double m_Skew = 1;
  Duration m_NextAfter;
};

} // namespace

TEST_CASE("rising skew moves a check forward within the bounds") {
  const ScheduleOptions Options;
  const auto Case = GENERATE(values<ScheduleCase>({
      {"no rise", 5min, 1.10, 30min},
      {"the skew falls", 5min, 1.05, 30min},
      {"half of the rise after five minutes", 5min, 1.11, 10min},
      {"the full rise", 5min, 1.12, 5min},
      {"a traffic spike", 2min, 1.90, 1min},
      {"a slow rise that takes longer than the schedule", 10min, 1.101, 30min},
      {"a sample at the time of the check", 0min, 1.50, 30min},
      {"hardly any rise", 10min, 1.10 + 1e-15, 30min},
  }));
  INFO(Case.m_Name);
  RebalanceSchedule Schedule = makeSchedule(Start);
  CHECK(isCheckDue(Schedule, Start));
  recordCheck(Schedule, Options, 1.10, Start);
  addSkewSample(Schedule, Options, Case.m_Skew, Start + Case.m_ReadAfter);
  const Duration Next = Schedule.m_NextCheck - Start;
  CHECK(std::abs((Next - Case.m_NextAfter).count()) <= 10);
  // A later sample with lower skew doesn't delay the check.
  addSkewSample(Schedule, Options, 1.10, Start + Case.m_ReadAfter + 1min);
  CHECK(Schedule.m_NextCheck - Start == Next);
  CHECK_FALSE(isCheckDue(Schedule, Schedule.m_NextCheck - 1us));
  CHECK(isCheckDue(Schedule, Schedule.m_NextCheck));
}

TEST_CASE("a smaller rise doesn't delay a check") {
  const ScheduleOptions Options;
  RebalanceSchedule Schedule = makeSchedule(Start);
  recordCheck(Schedule, Options, 1.10, Start);
  addSkewSample(Schedule, Options, 1.11, Start + 5min);
  const TimePoint Next = Schedule.m_NextCheck;
  // This rise alone would trigger a check after 16 minutes.
  addSkewSample(Schedule, Options, 1.105, Start + 4min);
  CHECK(Schedule.m_NextCheck == Next);
}

TEST_CASE("a change in progress postpones the check by the minimum interval") {
  RebalanceSchedule Schedule = makeSchedule(Start);
  postpone(Schedule, {}, Start);
  CHECK(Schedule.m_NextCheck == Start + 1min);
}

namespace {

struct CostCase {
  std::string m_Name;
  double m_SkewWeight = 0;
  MoveImpact m_Impact;
  bool m_Passes = false;
};

} // namespace

TEST_CASE("the deployment's weights decide between gain and cost") {
  // 10 tokens per step are 0.1 s over the horizon, one expert 0.05 s.
  const auto Case = GENERATE(values<CostCase>({
      {"nothing saved, nothing moved", 0.7, {0, 0}, false},
      {"saved without a move", 0.7, {10, 0}, true},
      {"gain above cost, skew first", 0.7, {10, 4}, true},
      {"the same, cost first", 0.3, {10, 4}, false},
      {"gain far above cost, cost first", 0.3, {100, 4}, true},
      {"cost far above gain, skew first", 0.7, {10, 40}, false},
      {"a loss", 0.7, {-1, 1}, false},
  }));
  INFO(Case.m_Name);
  MoveCostModel Model;
  Model.m_StepSkewWeight = Case.m_SkewWeight;
  Model.m_SecondsPerToken = 0.5e-6;
  Model.m_HorizonSteps = 20'000;
  Model.m_LoadSecondsPerExpert = 0.05;
  Model.m_RebalancingCostWeight = 1 - Case.m_SkewWeight;
  CHECK(isWorthwhile(Model, Case.m_Impact) == Case.m_Passes);
}
