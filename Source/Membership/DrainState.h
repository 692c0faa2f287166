// Graceful shutdown of an agent or an entry: serving, then leaving, then
// drained. Work in flight is not aborted before the maximum duration.
#ifndef MANGOCART_MEMBERSHIP_DRAINSTATE_H
#define MANGOCART_MEMBERSHIP_DRAINSTATE_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace mangocart {

struct DrainLimits {
  // How long the listener stays open after leaving was announced. During this
  // time an entry accepts new work; an agent refuses it as not run, so that an
  // entry that hasn't received the announcement yet gets a refusal instead of a
  // connection error.
  Duration m_ListenDuration = std::chrono::seconds(2);
  // Maximum time from the drain request to the exit.
  Duration m_MaxDuration = std::chrono::minutes(10);

  bool operator==(const DrainLimits &) const = default;
};

enum class DrainPhase : std::uint8_t {
  Serving,
  // Leaving was announced; the listener is still open.
  Leaving,
  // The listener is closed; work in flight continues.
  Finishing,
  Drained
};

struct DrainState {
  DrainLimits m_Limits;
  DrainPhase m_Phase = DrainPhase::Serving;
  // Calls or requests in flight, counted in every phase.
  std::size_t m_Outstanding = 0;
  // When the drain was requested; valid from Leaving on.
  TimePoint m_RequestedAt;

  bool operator==(const DrainState &) const = default;
};

// ---- Events.

// A signal or an operator requested the drain; repeated requests are ignored.
struct DrainRequested {};
struct WorkStarted {};
struct WorkFinished {};
// The time set by SetDrainTimer is reached.
struct DrainTimerExpired {};

using DrainEvent =
    std::variant<DrainRequested, WorkStarted, WorkFinished, DrainTimerExpired>;

// ---- Effects, to be executed in order.

// An agent announces to all entries that it is leaving and refuses new calls;
// an entry fails its health check and informs its peers.
struct AnnounceLeaving {
  bool operator==(const AnnounceLeaving &) const = default;
};
struct CloseListener {
  bool operator==(const CloseListener &) const = default;
};
// The maximum duration is reached; work still in flight is aborted.
struct AbortOutstanding {
  std::size_t m_Outstanding = 0;

  bool operator==(const AbortOutstanding &) const = default;
};
// Announce to the other processes that this one has left.
struct AnnounceLeft {
  bool operator==(const AnnounceLeft &) const = default;
};
struct Exit {
  bool operator==(const Exit &) const = default;
};
// Send DrainTimerExpired at this time; replaces an earlier SetDrainTimer.
struct SetDrainTimer {
  TimePoint m_When;

  bool operator==(const SetDrainTimer &) const = default;
};

using DrainEffect =
    std::variant<AnnounceLeaving, CloseListener, AbortOutstanding, AnnounceLeft,
                 Exit, SetDrainTimer>;

std::vector<DrainEffect> step(DrainState &State, const DrainEvent &Event,
                              TimePoint Now);

} // namespace mangocart

#endif
