// Concurrency limit of a backend server, depending on the backlog at the entry.
// Without a backlog, slots beyond the batch of the engine keep it busy while
// load reports are delayed, and leave prefix affinity a choice. In a backlog
// they would only move queued requests to the engine, where they can be neither
// reordered nor rejected.
#ifndef MANGOCART_ROUTING_CONCURRENCYLIMIT_H
#define MANGOCART_ROUTING_CONCURRENCYLIMIT_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace mangocart {

struct ConcurrencyLimitOptions {
  // Fraction of the service's limit that applies in a backlog.
  double m_BacklogFraction = 2.0 / 3.0;
  // A backlog is assumed to last this long after requests were last queued.
  Duration m_BacklogHold = std::chrono::seconds(2);

  bool operator==(const ConcurrencyLimitOptions &) const = default;
};

// State of one service at one entry.
struct ConcurrencyLimit {
  // Last time at which requests were queued besides the next one.
  std::optional<TimePoint> m_LastBacklog;

  bool operator==(const ConcurrencyLimit &) const = default;
};

// The limit for the next request while this many others are queued. 0 (no
// limit) stays 0.
std::uint32_t currentLimit(ConcurrencyLimit &State,
                           std::uint32_t MaxOutstanding,
                           std::size_t OtherQueuedRequests,
                           const ConcurrencyLimitOptions &Options,
                           TimePoint Now);

} // namespace mangocart

#endif
