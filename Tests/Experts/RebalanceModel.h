// Runs one policy over the popularity model on a clock of its own: readings of
// the load, the schedule, the placement, the weight store's rate and the
// switch.
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
  // Checks only when the skew is above this, instead of by the schedule; 0: by
  // the schedule.
  double m_DemandSkew = 0;
  bool m_IsStoreInstant = false;
};

struct RebalanceRun {
  GroupShape m_Shape;
  std::uint64_t m_Seed = 1;
  Duration m_Time = std::chrono::hours(24 * 7);
  Duration m_ReadingInterval = std::chrono::minutes(5);
  PopularityOptions m_Popularity;
};

struct RebalanceFigures {
  // Of single steps, one a reading.
  double m_MeanSkew = 1;
  double m_Skew99 = 1;
  double m_WeightsPerDay = 0;
  double m_StoreSecondsPerDay = 0;
  double m_SwitchesPerDay = 0;
  double m_ChecksPerDay = 0;
  std::vector<double> m_Skews;

  bool operator==(const RebalanceFigures &) const = default;
};

RebalanceFigures runPolicy(const RebalanceRun &Run,
                           const RebalancePolicy &Policy);

// The policies that are compared. Weights of the deployment that weighs the
// skew more, and of the one that weighs the cost more, are those of the plan.
RebalancePolicy policyNone();
RebalancePolicy policyFull();
RebalancePolicy policySkewFirst();
RebalancePolicy policyCostFirst();

} // namespace mangocart::test

#endif
