// Model of rank groups by the formula of PassTime, behind gateways that know
// each other's requests late. Time passes in steps of a millisecond.
#ifndef MANGOCART_TESTS_ROUTING_PASSMODEL_H
#define MANGOCART_TESTS_ROUTING_PASSMODEL_H

#include "Routing/GroupCapacity.h"

#include <functional>
#include <optional>

namespace mangocart {

struct PassModelSetup {
  std::uint32_t m_Groups = 3;
  std::uint32_t m_Ranks = 24;
  std::uint32_t m_SlotsPerRank = 10;
  std::uint32_t m_Gateways = 30;
  // Number of gateways that callers use.
  std::uint32_t m_UsedGateways = 30;
  // Without: the rank with the fewest requests is chosen while it has slots.
  bool m_LimitsPasses = true;
  GroupCapacityOptions m_Options;
  PassFigures m_Declared;
  PassFigures m_True;
  // Load of the most loaded rank's experts, as a multiple of the mean.
  double m_ExpertSkew = 1.4;
  // Slowness of one rank of the first group.
  double m_SlowFactor = 1.0;
  // Age of the counts of other gateways; empty if none are reported.
  std::optional<Duration> m_CountAge = std::chrono::milliseconds(200);
  // Requests per second at a time.
  std::function<double(Duration)> m_Rate;
  Duration m_Length = std::chrono::seconds(20);
  std::uint64_t m_Seed = 1;
};

struct PassModelResult {
  std::uint64_t m_Arrived = 0;
  std::uint64_t m_Rejected = 0;
  std::uint64_t m_Served = 0;
  // Served with the first event within 400 ms, with all gaps on target, both.
  std::uint64_t m_FirstOnTime = 0;
  std::uint64_t m_GapsOnTime = 0;
  std::uint64_t m_OnTime = 0;
  // Largest number of requests in one group, and its mean pass time.
  std::uint32_t m_LargestGroup = 0;
  double m_MeanPassMs = 0.0;
  // Requests served by the first group.
  std::uint64_t m_ServedByFirstGroup = 0;
};

PassModelResult runPassModel(const PassModelSetup &Setup);

// Figures of an engine whose trace showed a fixed pass time of 36 ms, and 0.2
// ms more for each request of a group of 24 ranks.
PassFigures tracedFigures();

} // namespace mangocart

#endif
