// When the placement of a group is weighed again: on a schedule that load can
// bring forward and never puts off. docs/EXPERTS.md names the source.
#ifndef MANGOCART_EXPERTS_REBALANCESCHEDULE_H
#define MANGOCART_EXPERTS_REBALANCESCHEDULE_H

#include "Core/RuntimeClock.h"

namespace mangocart {

struct ScheduleOptions {
  // No two checks are closer together.
  Duration m_LeastInterval = std::chrono::minutes(1);
  // Without news from the load, the time from a check to the next.
  Duration m_LongestInterval = std::chrono::minutes(30);
  // Rise of the skew since the last check that calls for the next one.
  double m_SkewRise = 0.02;

  bool operator==(const ScheduleOptions &) const = default;
};

struct RebalanceSchedule {
  TimePoint m_LastCheck;
  // Between two checks this only moves to earlier times.
  TimePoint m_NextCheck;
  // Skew right after the last check; what later readings are compared with.
  double m_SkewAtCheck = 1.0;

  bool operator==(const RebalanceSchedule &) const = default;
};

RebalanceSchedule startSchedule(TimePoint Now);

// A reading of the skew: the time until the rise is reached is estimated from
// the rise so far, and the next check is brought forward to it.
void noteSkew(RebalanceSchedule &Schedule, const ScheduleOptions &Options,
              double Skew, TimePoint Now);

// A switch of the map is still under way, or the weight store is taken: the
// check is looked for again at the least interval. The one thing that may move
// it to a later time.
void postpone(RebalanceSchedule &Schedule, const ScheduleOptions &Options,
              TimePoint Now);

bool isCheckDue(const RebalanceSchedule &Schedule, TimePoint Now);

// The check was made; Skew: what is expected after its decision.
void noteCheck(RebalanceSchedule &Schedule, const ScheduleOptions &Options,
               double Skew, TimePoint Now);

} // namespace mangocart

#endif
