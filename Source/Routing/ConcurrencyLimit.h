// Bound on the outstanding requests of a backend server, by what waits at the
// entry. Without a queue, places beyond an engine's batch keep it busy while
// reports are late, and leave affinity a choice. In a backlog they only move
// the queue to where it can be neither ordered nor refused.
#ifndef MANGOCART_ROUTING_CONCURRENCYLIMIT_H
#define MANGOCART_ROUTING_CONCURRENCYLIMIT_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace mangocart {

struct PlaceBoundOptions {
  // Part of the service's bound that holds in a backlog.
  double m_BacklogPart = 2.0 / 3.0;
  // A backlog lasts this long after the last request that waited.
  Duration m_Hold = std::chrono::seconds(2);

  bool operator==(const PlaceBoundOptions &) const = default;
};

// Of one service at one entry.
struct PlaceBound {
  // Last moment at which requests waited besides the next one.
  std::optional<TimePoint> m_LastBacklog;

  bool operator==(const PlaceBound &) const = default;
};

// The bound for the request that is next, while so many others wait. 0 stays 0.
std::uint32_t currentBound(PlaceBound &Bound, std::uint32_t MaxOutstanding,
                           std::size_t OthersWaiting,
                           const PlaceBoundOptions &Options, TimePoint Now);

} // namespace mangocart

#endif
