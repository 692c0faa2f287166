// Simulates one policy on the popularity model with a simulated clock: load
// samples, schedule, placement, the weight store's rate, and the switch.
#ifndef MANGOCART_TESTS_EXPERTS_REBALANCEMODEL_H
#define MANGOCART_TESTS_EXPERTS_REBALANCEMODEL_H

#include "Experts/Placement.h"
#include "Experts/RebalanceSchedule.h"
#include "PopularityModel.h"

#include <string>
#include <vector>

namespace mangocart::test {

struct RebalancePolicy {
  std::string m_Name;
  PlacementOptions m_Placement;
  ScheduleOptions m_Schedule;
  // Skew above which a check is made, instead of by the schedule; 0: by the
  // schedule.
  double m_SkewThreshold = 0;
  bool m_IsStoreInstant = false;
};

struct RebalanceRun {
  GroupShape m_Shape;
  std::uint64_t m_Seed = 1;
  Duration m_Time = std::chrono::hours(24 * 7);
  Duration m_SampleInterval = std::chrono::minutes(5);
  PopularityOptions m_Popularity;
};

struct RebalanceMetrics {
  // Skew of single steps, one per sample.
  double m_MeanSkew = 1;
  double m_SkewP99 = 1;
  double m_WeightsPerDay = 0;
  double m_StoreSecondsPerDay = 0;
  double m_SwitchesPerDay = 0;
  double m_ChecksPerDay = 0;
  std::vector<double> m_Skews;

  bool operator==(const RebalanceMetrics &) const = default;
};

RebalanceMetrics runPolicy(const RebalanceRun &Run,
                           const RebalancePolicy &Policy);

// The policies to compare. The weights of the deployments that weigh the skew
// or the cost more are those of the plan.
RebalancePolicy policyNone();
RebalancePolicy policyFull();
RebalancePolicy policySkewFirst();
RebalancePolicy policyCostFirst();

} // namespace mangocart::test

#endif
