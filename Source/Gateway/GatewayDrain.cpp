// The drain ends before the process is killed.
#include "Gateway/GatewayDrain.h"

#include <algorithm>

namespace mangocart {

namespace {

// The load balancer in front of the gateways checks their health once a second
// and removes one after two failed checks; new connections are accepted until
// then.
constexpr Duration ListenerCloseDelay = std::chrono::milliseconds(2500);
// Part of the time until the process is killed that is reserved for its exit.
constexpr Duration ExitMargin = std::chrono::milliseconds(300);

} // namespace

DrainLimits gatewayDrainLimits(Duration UntilKilled) {
  DrainLimits Limits;
  Limits.m_MaxDuration = UntilKilled - std::min(ExitMargin, UntilKilled / 4);
  // Requests that were accepted last need time to be answered.
  Limits.m_ListenDuration =
      std::min(ListenerCloseDelay, Limits.m_MaxDuration / 2);
  return Limits;
}

} // namespace mangocart
