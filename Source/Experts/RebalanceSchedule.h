// Schedule of placement checks of a group. A rise of the load skew can move a
// check to an earlier time, never to a later one. docs/EXPERTS.md cites the
// source.
#ifndef MANGOCART_EXPERTS_REBALANCESCHEDULE_H
#define MANGOCART_EXPERTS_REBALANCESCHEDULE_H

#include "Core/RuntimeClock.h"

namespace mangocart {

struct ScheduleOptions {
  // Minimum time between two checks.
  Duration m_MinInterval = std::chrono::minutes(1);
  // Time between two checks without a rise of the skew.
  Duration m_MaxInterval = std::chrono::minutes(30);
  // Rise of the skew since the last check that triggers the next one.
  double m_SkewRise = 0.02;

  bool operator==(const ScheduleOptions &) const = default;
};

struct RebalanceSchedule {
  TimePoint m_LastCheck;
  // Moves only to earlier times between two checks, except by postpone.
  TimePoint m_NextCheck;
  // Skew right after the last check; baseline for later samples.
  double m_SkewAtCheck = 1.0;

  bool operator==(const RebalanceSchedule &) const = default;
};

RebalanceSchedule makeSchedule(TimePoint Now);

// Processes a sample of the skew: extrapolates when the rise will reach
// m_SkewRise, and moves the next check to that time if it is earlier.
void addSkewSample(RebalanceSchedule &Schedule, const ScheduleOptions &Options,
                   double Skew, TimePoint Now);

// Moves the check to the minimum interval from now, because a map switch is in
// progress or the weight store is in use. This is the only operation that may
// move it to a later time.
void postpone(RebalanceSchedule &Schedule, const ScheduleOptions &Options,
              TimePoint Now);

bool isCheckDue(const RebalanceSchedule &Schedule, TimePoint Now);

// Records a completed check; Skew is the skew expected after its decision.
void recordCheck(RebalanceSchedule &Schedule, const ScheduleOptions &Options,
                 double Skew, TimePoint Now);

} // namespace mangocart

#endif
