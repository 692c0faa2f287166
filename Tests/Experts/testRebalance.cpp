// Checks the goals at 128 ranks and 256 experts with few layers. Layers are
// placed independently, so more of them hardly change the results.
#include "Loads.h"
#include "RebalanceModel.h"
#include "SwitchTiming.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

RebalanceRun smallRun(std::uint64_t Seed) {
  RebalanceRun Run;
  Run.m_Shape = largeGroup();
  Run.m_Shape.m_Layers = 4;
  Run.m_Seed = Seed;
  // Covers the traffic spike on the third day.
  Run.m_Time = 24h * 3;
  Run.m_SampleInterval = 10min;
  return Run;
}

} // namespace

TEST_CASE("incremental moves meet the goals for both deployments") {
  const RebalanceRun Run = smallRun(GENERATE(1, 2, 3));
  const RebalanceMetrics None = runPolicy(Run, policyNone());
  const RebalanceMetrics Full = runPolicy(Run, policyFull());
  for (const RebalancePolicy &Policy : {policySkewFirst(), policyCostFirst()}) {
    const RebalanceMetrics Metrics = runPolicy(Run, Policy);
    INFO(Policy.m_Name << ", seed " << Run.m_Seed);
    CHECK(Metrics.m_MeanSkew - 1 <= 0.2 * (None.m_MeanSkew - 1));
    CHECK(Metrics.m_MeanSkew <= 1.05 * Full.m_MeanSkew);
    CHECK(Metrics.m_WeightsPerDay <= 0.2 * Full.m_WeightsPerDay);
  }
  CHECK(runPolicy(Run, policySkewFirst()) == runPolicy(Run, policySkewFirst()));
}

TEST_CASE("a deployment that weighs the cost more moves fewer weights") {
  const RebalanceRun Run = smallRun(1);
  const RebalanceMetrics Skew = runPolicy(Run, policySkewFirst());
  const RebalanceMetrics Cost = runPolicy(Run, policyCostFirst());
  CHECK(Cost.m_WeightsPerDay < Skew.m_WeightsPerDay);
  CHECK(Cost.m_MeanSkew > Skew.m_MeanSkew);
}

TEST_CASE("no switch stalls the group for longer than a step") {
  SwitchTimingOptions Options;
  Options.m_Outage = GENERATE(Duration{0}, Duration{1500ms});
  const SwitchTimingMetrics Metrics = measureSwitches(Options);
  CHECK(Metrics.m_Switches == Options.m_Switches);
  CHECK(Metrics.m_LongestDelay <= Options.m_StepTime);
  CHECK(measureSwitches(Options) == Metrics);
}
