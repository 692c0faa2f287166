// Times at which rejected callers of one service are asked to come back.
//
// With the expected wait alone all callers that are rejected within a moment
// come back within a moment, and most are rejected again. So each gets a time
// of its own, spaced by the rate at which the service takes calls.
#ifndef MANGOCART_GATEWAY_RETURNTIMES_H
#define MANGOCART_GATEWAY_RETURNTIMES_H

#include "Core/RuntimeClock.h"

#include <cstdint>
#include <map>

namespace mangocart {

struct ReturnTimes {
  // Latest time given to a caller, by priority.
  std::map<std::uint32_t, TimePoint> m_Last;

  bool operator==(const ReturnTimes &) const = default;
};

struct ReturnRequest {
  std::uint32_t m_Priority = 0;
  // When capacity for the caller is expected.
  TimePoint m_Earliest;
  // The latest time that the caller honours.
  TimePoint m_Latest;
  // Interval at which the service takes calls of the priority.
  Duration m_Spacing = Duration::zero();

  bool operator==(const ReturnRequest &) const = default;
};

// The caller's time: after those given to callers of its priority and of more
// urgent ones. If that is too late for the caller, its latest time, which
// delays no one else's.
TimePoint assignReturn(ReturnTimes &Times, const ReturnRequest &Request);

} // namespace mangocart

#endif
