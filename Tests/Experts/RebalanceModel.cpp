// One policy over time.
#include "RebalanceModel.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace mangocart::test {

namespace {

using namespace std::chrono_literals;

// Weight of a new reading in the estimate of the load.
constexpr double ReadingWeight = 0.5;
constexpr double Quantile = 0.99;

double days(Duration Time) {
  return std::chrono::duration<double, std::ratio<86400>>(Time).count();
}

class PolicyRun {
public:
  PolicyRun(const RebalanceRun &Run, const RebalancePolicy &Policy)
      : m_Run(Run), m_Policy(Policy),
        m_Popularity(Run.m_Shape, Run.m_Seed, Run.m_Popularity),
        m_Map(initialMap(Run.m_Shape)), m_Schedule(startSchedule(TimePoint{})) {
  }

  RebalanceFigures run() {
    for (Duration Time{0}; Time < m_Run.m_Time;
         Time += m_Run.m_ReadingInterval) {
      const TimePoint Now{Time};
      if (m_Next && Now >= m_SwitchAt)
        switchMap(Now);
      const ExpertLoad Step = m_Popularity.stepLoad(Time);
      m_Figures.m_Skews.push_back(stepLoad(m_Map, Step).skew());
      noteLoad(Step);
      check(Now);
    }
    return finish();
  }

private:
  void noteLoad(const ExpertLoad &Step) {
    if (m_Estimate.m_Tokens.empty())
      m_Estimate = Step;
    for (std::size_t I = 0; I < Step.m_Tokens.size(); ++I)
      m_Estimate.m_Tokens[I] +=
          ReadingWeight * (Step.m_Tokens[I] - m_Estimate.m_Tokens[I]);
  }

  void switchMap(TimePoint Now) {
    m_Map = std::move(*m_Next);
    m_Next.reset();
    ++m_Switches;
    noteCheck(m_Schedule, m_Policy.m_Schedule,
              stepLoad(m_Map, m_Estimate).skew(), Now);
  }

  bool isDue(TimePoint Now, double Skew) {
    if (m_Policy.m_DemandSkew > 0)
      return Skew > m_Policy.m_DemandSkew;
    noteSkew(m_Schedule, m_Policy.m_Schedule, Skew, Now);
    return isCheckDue(m_Schedule, Now);
  }

  void check(TimePoint Now) {
    const double Skew = stepLoad(m_Map, m_Estimate).skew();
    if (m_Policy.m_Placement.m_Policy == PlacementPolicy::None ||
        !isDue(Now, Skew))
      return;
    if (m_Next)
      return postpone(m_Schedule, m_Policy.m_Schedule, Now);
    ++m_Checks;
    PlacementDecision Decision =
        place(m_Map, m_Estimate, {}, m_Policy.m_Placement);
    noteCheck(m_Schedule, m_Policy.m_Schedule,
              stepLoad(Decision.m_Map, m_Estimate).skew(), Now);
    if (Decision.m_Trade.m_Weights == 0)
      return;
    const double Seconds =
        storeSeconds(m_Policy.m_Placement.m_Gate, Decision.m_Trade);
    m_Weights += Decision.m_Trade.m_Weights;
    m_StoreSeconds += Seconds;
    m_Next = std::move(Decision.m_Map);
    m_SwitchAt = Now;
    if (!m_Policy.m_IsStoreInstant)
      m_SwitchAt += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Seconds));
  }

  RebalanceFigures finish() {
    std::vector<double> Sorted = m_Figures.m_Skews;
    std::sort(Sorted.begin(), Sorted.end());
    const auto Count = static_cast<double>(Sorted.size());
    m_Figures.m_MeanSkew =
        std::accumulate(Sorted.begin(), Sorted.end(), 0.0) / Count;
    m_Figures.m_Skew99 =
        Sorted[static_cast<std::size_t>(Quantile * (Count - 1))];
    const double Days = days(m_Run.m_Time);
    m_Figures.m_WeightsPerDay = static_cast<double>(m_Weights) / Days;
    m_Figures.m_StoreSecondsPerDay = m_StoreSeconds / Days;
    m_Figures.m_SwitchesPerDay = static_cast<double>(m_Switches) / Days;
    m_Figures.m_ChecksPerDay = static_cast<double>(m_Checks) / Days;
    return std::move(m_Figures);
  }

  const RebalanceRun &m_Run;
  const RebalancePolicy &m_Policy;
  PopularityModel m_Popularity;
  ExpertMap m_Map;
  // Chosen and being loaded.
  std::optional<ExpertMap> m_Next;
  TimePoint m_SwitchAt;
  RebalanceSchedule m_Schedule;
  ExpertLoad m_Estimate;
  RebalanceFigures m_Figures;
  std::uint64_t m_Weights = 0;
  double m_StoreSeconds = 0;
  std::size_t m_Switches = 0;
  std::size_t m_Checks = 0;
};

} // namespace

RebalanceFigures runPolicy(const RebalanceRun &Run,
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
  Policy.m_Placement.m_Gate.m_StepSkewWeight = 0.7;
  Policy.m_Placement.m_Gate.m_RebalancingCostWeight = 0.3;
  return Policy;
}

RebalancePolicy policyCostFirst() {
  RebalancePolicy Policy;
  Policy.m_Name = "incremental, cost first";
  Policy.m_Placement.m_Gate.m_StepSkewWeight = 0.3;
  Policy.m_Placement.m_Gate.m_RebalancingCostWeight = 0.7;
  return Policy;
}

} // namespace mangocart::test
