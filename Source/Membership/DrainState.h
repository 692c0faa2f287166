// Graceful shutdown of an agent or an entry: serving, then leaving, then
// drained. Nothing in flight is cut off before the stated maximum.
#ifndef MANGOCART_MEMBERSHIP_DRAINSTATE_H
#define MANGOCART_MEMBERSHIP_DRAINSTATE_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace mangocart {

struct DrainLimits {
  // How long the listener stays open after leaving was announced. An entry
  // takes new work in this time; an agent refuses it as not run, so that an
  // entry that hasn't heard yet is told rather than disconnected.
  Duration m_KeepListening = std::chrono::seconds(2);
  // Longest time from the request to the exit.
  Duration m_Maximum = std::chrono::minutes(10);

  bool operator==(const DrainLimits &) const = default;
};

enum class DrainPhase : std::uint8_t {
  Serving,
  // Announced, and the listener is still open.
  Leaving,
  // The listener is closed; work in flight goes on.
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

// A signal or an operator asked for the drain; a second one changes nothing.
struct DrainRequested {};
struct WorkStarted {};
struct WorkFinished {};
// A wait that DrainWakeAt asked for is over.
struct DrainWoken {};

using DrainEvent =
    std::variant<DrainRequested, WorkStarted, WorkFinished, DrainWoken>;

// ---- Effects, to be carried out in order.

// An agent tells all entries that it is leaving and refuses new calls; an entry
// fails its health check and tells its peers.
struct AnnounceLeaving {
  bool operator==(const AnnounceLeaving &) const = default;
};
struct CloseListener {
  bool operator==(const CloseListener &) const = default;
};
// The maximum is reached with work still in flight, which is lost.
struct CutOff {
  std::size_t m_Outstanding = 0;

  bool operator==(const CutOff &) const = default;
};
// Tell the others that this process has left.
struct AnnounceLeft {
  bool operator==(const AnnounceLeft &) const = default;
};
struct Exit {
  bool operator==(const Exit &) const = default;
};
// Send DrainWoken at this time; replaces an earlier wish.
struct DrainWakeAt {
  TimePoint m_When;

  bool operator==(const DrainWakeAt &) const = default;
};

using DrainEffect = std::variant<AnnounceLeaving, CloseListener, CutOff,
                                 AnnounceLeft, Exit, DrainWakeAt>;

std::vector<DrainEffect> step(DrainState &State, const DrainEvent &Event,
                              TimePoint Now);

} // namespace mangocart

#endif
