// Times of the checks.
#include "Experts/RebalanceSchedule.h"

#include <algorithm>

namespace mangocart {

RebalanceSchedule startSchedule(TimePoint Now) { return {Now, Now, 1.0}; }

void noteSkew(RebalanceSchedule &Schedule, const ScheduleOptions &Options,
              double Skew, TimePoint Now) {
  const double Rise = Skew - Schedule.m_SkewAtCheck;
  const Duration Since = Now - Schedule.m_LastCheck;
  if (Rise <= 0 || Since <= Duration::zero())
    return;
  const double Part = Options.m_SkewRise / Rise;
  // Compared as real numbers: a small rise may put the time out of range.
  const double Wait = static_cast<double>(Since.count()) * Part;
  if (Wait >= static_cast<double>(Options.m_LongestInterval.count()))
    return;
  const Duration Estimate{static_cast<Duration::rep>(Wait)};
  const TimePoint Wanted =
      Schedule.m_LastCheck + std::max(Estimate, Options.m_LeastInterval);
  Schedule.m_NextCheck = std::min(Schedule.m_NextCheck, Wanted);
}

void postpone(RebalanceSchedule &Schedule, const ScheduleOptions &Options,
              TimePoint Now) {
  Schedule.m_NextCheck = Now + Options.m_LeastInterval;
}

bool isCheckDue(const RebalanceSchedule &Schedule, TimePoint Now) {
  return Now >= Schedule.m_NextCheck;
}

void noteCheck(RebalanceSchedule &Schedule, const ScheduleOptions &Options,
               double Skew, TimePoint Now) {
  Schedule.m_LastCheck = Now;
  Schedule.m_NextCheck = Now + Options.m_LongestInterval;
  Schedule.m_SkewAtCheck = Skew;
}

} // namespace mangocart
