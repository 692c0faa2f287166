// Compares the policies with 128 ranks, 256 experts and 60 layers; run with the
// tag [.measure]. MANGOCART_PLOTS=<folder> writes the plots to that folder. The
// results are deterministic.
#include "Loads.h"
#include "RebalanceModel.h"
#include "SvgPlot.h"
#include "SwitchTiming.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

// Variants that leave out one feature each, and alternatives.
std::vector<RebalancePolicy> makeVariants() {
  std::vector<RebalancePolicy> Variants(7, policySkewFirst());
  Variants[0].m_Name = "skew first, schedule without load";
  Variants[0].m_Schedule.m_SkewRise = 1e9;
  Variants[1].m_Name = "skew first, on demand above 1.2";
  Variants[1].m_SkewThreshold = 1.2;
  Variants[2].m_Name = "skew first, no cost model";
  Variants[2].m_Placement.m_ImbalanceTolerance = 0;
  Variants[2].m_Placement.m_CostModel.m_RebalancingCostWeight = 0;
  Variants[3] = policyFull();
  Variants[3].m_Name = "full, affinity first";
  Variants[3].m_Placement.m_AffinityFraction = 0.02;
  Variants[4] = policyFull();
  Variants[4].m_Name = "full, weight store without limit";
  Variants[4].m_IsStoreInstant = true;
  Variants[5].m_Name = "skew first, weight store without limit";
  Variants[5].m_IsStoreInstant = true;
  Variants[6].m_Name = "skew first, on demand above 1.1";
  Variants[6].m_SkewThreshold = 1.1;
  return Variants;
}

void print(const RebalancePolicy &Policy, const RebalanceMetrics &F) {
  std::cout << "| " << Policy.m_Name << " | " << F.m_MeanSkew << " | "
            << F.m_SkewP99 << " | " << F.m_WeightsPerDay << " | "
            << F.m_StoreSecondsPerDay << " | " << F.m_SwitchesPerDay << " | "
            << F.m_ChecksPerDay << " |" << std::endl;
}

void write(const std::string &Name, const std::string &Text) {
  const char *Folder = std::getenv("MANGOCART_PLOTS");
  if (Folder != nullptr)
    std::ofstream(std::string(Folder) + "/" + Name) << Text;
}

} // namespace

TEST_CASE("policies compared", "[.measure]") {
  RebalanceRun Run;
  Run.m_Shape = largeGroup();
  const double Days = std::chrono::duration<double>(Run.m_Time) / 24h;
  Plot Lines{
      "Step skew over a week with a full season's drift and a traffic spike",
      "days",
      "slowest over mean",
      Days,
      1,
      {}};
  Plot Bars{"Weights moved per day", "", "weights of one expert", 1, 0, {}};
  std::cout
      << "| policy | mean skew | 99th | weights per day | store s per day | "
         "switches per day | checks per day |\n|---|---|---|---|---|---|---|\n";
  const std::vector<RebalancePolicy> Main{policyNone(), policyFull(),
                                          policySkewFirst(), policyCostFirst()};
  for (const RebalancePolicy &Policy : Main) {
    const RebalanceMetrics Metrics = runPolicy(Run, Policy);
    print(Policy, Metrics);
    Lines.m_Series.push_back({Policy.m_Name, Metrics.m_Skews});
    Bars.m_Series.push_back({Policy.m_Name, {Metrics.m_WeightsPerDay}});
  }
  write("step-skew.svg", drawLines(Lines));
  write("weights-moved.svg", drawBars(Bars));
  for (const RebalancePolicy &Policy : makeVariants())
    print(Policy, runPolicy(Run, Policy));
}

TEST_CASE("steps delayed by a switch", "[.measure]") {
  for (const Duration Outage : {0ms, 1500ms}) {
    SwitchTimingOptions Options;
    Options.m_Outage = Outage;
    Options.m_Switches = 200;
    const SwitchTimingMetrics F = measureSwitches(Options);
    std::cout
        << "128 ranks, outage of the coordinator "
        << std::chrono::duration<double>(Outage).count()
        << " s: " << F.m_Switches << " switches, " << F.m_AbortedChanges
        << " aborted, " << F.m_DelayedSteps << " of " << F.m_Steps
        << " steps delayed, at most "
        << std::chrono::duration<double, std::milli>(F.m_LongestDelay).count()
        << " ms" << std::endl;
  }
}
