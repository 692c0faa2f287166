// Simulation of one policy over time.
#include "RebalanceModel.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace mangocart::test {

namespace {

using namespace std::chrono_literals;

// Weight of a new sample in the estimate of the load.
constexpr double SampleWeight = 0.5;
constexpr double Quantile = 0.99;

double days(Duration Time) {
  return std::chrono::duration<double, std::ratio<86400>>(Time).count();
}

class PolicyRun {
public:
  PolicyRun(const RebalanceRun &Run, const RebalancePolicy &Policy)
      : m_Run(Run), m_Policy(Policy),
        m_Popularity(Run.m_Shape, Run.m_Seed, Run.m_Popularity),
        m_Map(initialMap(Run.m_Shape)), m_Schedule(makeSchedule(TimePoint{})) {}

  RebalanceMetrics run() {
    for (Duration Time{0}; Time < m_Run.m_Time;
         Time += m_Run.m_SampleInterval) {
      const TimePoint Now{Time};
      if (m_NextMap && Now >= m_SwitchAt)
        switchMap(Now);
      const ExpertLoad Step = m_Popularity.stepLoad(Time);
      m_Metrics.m_Skews.push_back(stepLoad(m_Map, Step).skew());
      updateEstimate(Step);
      check(Now);
    }
    return finish();
  }

private:
  void updateEstimate(const ExpertLoad &Step) {
    if (m_Estimate.m_Tokens.empty())
      m_Estimate = Step;
    for (std::size_t I = 0; I < Step.m_Tokens.size(); ++I)
      m_Estimate.m_Tokens[I] +=
          SampleWeight * (Step.m_Tokens[I] - m_Estimate.m_Tokens[I]);
  }

  void switchMap(TimePoint Now) {
    m_Map = std::move(*m_NextMap);
    m_NextMap.reset();
    ++m_Switches;
    recordCheck(m_Schedule, m_Policy.m_Schedule,
                stepLoad(m_Map, m_Estimate).skew(), Now);
  }

  bool isDue(TimePoint Now, double Skew) {
    if (m_Policy.m_SkewThreshold > 0)
      return Skew > m_Policy.m_SkewThreshold;
    addSkewSample(m_Schedule, m_Policy.m_Schedule, Skew, Now);
    return isCheckDue(m_Schedule, Now);
  }

  void check(TimePoint Now) {
    const double Skew = stepLoad(m_Map, m_Estimate).skew();
    if (m_Policy.m_Placement.m_Policy == PlacementPolicy::None ||
        !isDue(Now, Skew))
      return;
    if (m_NextMap)
      return postpone(m_Schedule, m_Policy.m_Schedule, Now);
    ++m_Checks;
    PlacementDecision Decision =
        place(m_Map, m_Estimate, {}, m_Policy.m_Placement);
    recordCheck(m_Schedule, m_Policy.m_Schedule,
                stepLoad(Decision.m_Map, m_Estimate).skew(), Now);
    if (Decision.m_Impact.m_Weights == 0)
      return;
    const double Seconds =
        weightStoreSeconds(m_Policy.m_Placement.m_CostModel, Decision.m_Impact);
    m_Weights += Decision.m_Impact.m_Weights;
    m_StoreSeconds += Seconds;
    m_NextMap = std::move(Decision.m_Map);
    m_SwitchAt = Now;
    if (!m_Policy.m_IsStoreInstant)
      m_SwitchAt += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Seconds));
  }

  RebalanceMetrics finish() {
    std::vector<double> Sorted = m_Metrics.m_Skews;
    std::sort(Sorted.begin(), Sorted.end());
    const auto Count = static_cast<double>(Sorted.size());
    m_Metrics.m_MeanSkew =
        std::accumulate(Sorted.begin(), Sorted.end(), 0.0) / Count;
    m_Metrics.m_SkewP99 =
        Sorted[static_cast<std::size_t>(Quantile * (Count - 1))];
    const double Days = days(m_Run.m_Time);
    m_Metrics.m_WeightsPerDay = static_cast<double>(m_Weights) / Days;
    m_Metrics.m_StoreSecondsPerDay = m_StoreSeconds / Days;
    m_Metrics.m_SwitchesPerDay = static_cast<double>(m_Switches) / Days;
    m_Metrics.m_ChecksPerDay = static_cast<double>(m_Checks) / Days;
    return std::move(m_Metrics);
  }

  const RebalanceRun &m_Run;
  const RebalancePolicy &m_Policy;
  PopularityModel m_Popularity;
  ExpertMap m_Map;
  // The next map, while it is being loaded.
  std::optional<ExpertMap> m_NextMap;
  TimePoint m_SwitchAt;
  RebalanceSchedule m_Schedule;
  ExpertLoad m_Estimate;
  RebalanceMetrics m_Metrics;
  std::uint64_t m_Weights = 0;
  double m_StoreSeconds = 0;
  std::size_t m_Switches = 0;
  std::size_t m_Checks = 0;
};

} // namespace

RebalanceMetrics runPolicy(const RebalanceRun &Run,
                           const RebalancePolicy &Policy) {
  return PolicyRun(Run, Policy).run();
}

RebalancePolicy policyNone() {
  RebalancePolicy Policy;
  Policy.m_Name = "none";
  Policy.m_Placement.m_Policy = PlacementPolicy::None;
  return Policy;
}

RebalancePolicy policyFull() {
  RebalancePolicy Policy;
  Policy.m_Name = "full at every check";
  Policy.m_Placement.m_Policy = PlacementPolicy::Full;
  return Policy;
}

RebalancePolicy policySkewFirst() {
  RebalancePolicy Policy;
  Policy.m_Name = "incremental, skew first";
  Policy.m_Placement.m_CostModel.m_StepSkewWeight = 0.7;
  Policy.m_Placement.m_CostModel.m_RebalancingCostWeight = 0.3;
  return Policy;
}

RebalancePolicy policyCostFirst() {
  RebalancePolicy Policy;
  Policy.m_Name = "incremental, cost first";
  Policy.m_Placement.m_CostModel.m_StepSkewWeight = 0.3;
  Policy.m_Placement.m_CostModel.m_RebalancingCostWeight = 0.7;
  return Policy;
}

} // namespace mangocart::test
