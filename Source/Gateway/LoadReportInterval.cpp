// Linear in the number of gateways, within bounds.
#include "Gateway/LoadReportInterval.h"

#include <algorithm>

namespace mangocart {

namespace {

using std::chrono::milliseconds;

constexpr Duration MinInterval = milliseconds(40);
// A gateway receives at most one report in this time on average.
constexpr Duration IntervalPerGateway = milliseconds(3);
// Loads that are older than a few passes of an engine are of little use.
constexpr Duration MaxInterval = milliseconds(400);

} // namespace

Duration loadReportInterval(std::size_t Gateways) {
  return std::clamp<Duration>(IntervalPerGateway * Gateways, MinInterval,
                              MaxInterval);
}

} // namespace mangocart
