// A large group without faults of its own, on a clock that goes from event to
// event: how long a switch of the map holds up the steps.
#ifndef MANGOCART_TESTS_EXPERTS_SWITCHTIMING_H
#define MANGOCART_TESTS_EXPERTS_SWITCHTIMING_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>

namespace mangocart::test {

struct SwitchTimingOptions {
  std::uint32_t m_Ranks = 128;
  Duration m_StepTime = std::chrono::milliseconds(32);
  // Messages take this and a random time of the same mean on top.
  Duration m_MessageTime = std::chrono::microseconds(500);
  Duration m_CommitTime = std::chrono::milliseconds(5);
  // In a thousand.
  unsigned m_LostMessages = 10;
  // The coordinator is lost after the promises were asked for; the next one
  // starts after this. Zero: it isn't lost.
  Duration m_Outage = Duration::zero();
  std::size_t m_Switches = 20;
  std::uint64_t m_Seed = 1;
};

struct SwitchTimingFigures {
  std::size_t m_Switches = 0;
  std::size_t m_CalledOff = 0;
  std::size_t m_Steps = 0;
  // Steps that began later than the group was ready for them, by any rank.
  std::size_t m_DelayedSteps = 0;
  Duration m_LongestDelay = Duration::zero();

  bool operator==(const SwitchTimingFigures &) const = default;
};

SwitchTimingFigures timeSwitches(const SwitchTimingOptions &Options);

} // namespace mangocart::test

#endif
