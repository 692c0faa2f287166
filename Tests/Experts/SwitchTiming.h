// Discrete-event simulation of a large group without engine faults, which
// measures how long a map switch delays the steps.
#ifndef MANGOCART_TESTS_EXPERTS_SWITCHTIMING_H
#define MANGOCART_TESTS_EXPERTS_SWITCHTIMING_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>

namespace mangocart::test {

struct SwitchTimingOptions {
  std::uint32_t m_Ranks = 128;
  Duration m_StepTime = std::chrono::milliseconds(32);
  // Each message takes this time plus a random time with the same mean.
  Duration m_MessageTime = std::chrono::microseconds(500);
  Duration m_CommitTime = std::chrono::milliseconds(5);
  // Lost messages per thousand.
  unsigned m_MessageLossPerMille = 10;
  // The coordinator fails once it has asked for promises, and the next one
  // starts after this time. Zero: it doesn't fail.
  Duration m_Outage = Duration::zero();
  std::size_t m_Switches = 20;
  std::uint64_t m_Seed = 1;
};

struct SwitchTimingMetrics {
  std::size_t m_Switches = 0;
  std::size_t m_AbortedChanges = 0;
  std::size_t m_Steps = 0;
  // Steps that some rank began later than the group was ready for them.
  std::size_t m_DelayedSteps = 0;
  Duration m_LongestDelay = Duration::zero();

  bool operator==(const SwitchTimingMetrics &) const = default;
};

SwitchTimingMetrics measureSwitches(const SwitchTimingOptions &Options);

} // namespace mangocart::test

#endif
