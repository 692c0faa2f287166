// Computation of the times of checks.
#include "Experts/RebalanceSchedule.h"

#include <algorithm>

namespace mangocart {

RebalanceSchedule makeSchedule(TimePoint Now) { return {Now, Now, 1.0}; }

void addSkewSample(RebalanceSchedule &Schedule, const ScheduleOptions &Options,
                   double Skew, TimePoint Now) {
  const double Rise = Skew - Schedule.m_SkewAtCheck;
  const Duration Elapsed = Now - Schedule.m_LastCheck;
  if (Rise <= 0 || Elapsed <= Duration::zero())
    return;
  const double Ratio = Options.m_SkewRise / Rise;
  // Compared as floating-point numbers, because a small rise may put the time
  // out of range.
  const double Wait = static_cast<double>(Elapsed.count()) * Ratio;
  if (Wait >= static_cast<double>(Options.m_MaxInterval.count()))
    return;
  const Duration Estimate{static_cast<Duration::rep>(Wait)};
  const TimePoint Wanted =
      Schedule.m_LastCheck + std::max(Estimate, Options.m_MinInterval);
  Schedule.m_NextCheck = std::min(Schedule.m_NextCheck, Wanted);
}

void postpone(RebalanceSchedule &Schedule, const ScheduleOptions &Options,
              TimePoint Now) {
  Schedule.m_NextCheck = Now + Options.m_MinInterval;
}

bool isCheckDue(const RebalanceSchedule &Schedule, TimePoint Now) {
  return Now >= Schedule.m_NextCheck;
}

void recordCheck(RebalanceSchedule &Schedule, const ScheduleOptions &Options,
                 double Skew, TimePoint Now) {
  Schedule.m_LastCheck = Now;
  Schedule.m_NextCheck = Now + Options.m_MaxInterval;
  Schedule.m_SkewAtCheck = Skew;
}

} // namespace mangocart
