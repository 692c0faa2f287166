// The agent's side of an activation: decides when its rank may start a step and
// under which map, and which orders reach the engine. It refuses old fencing
// numbers for engines that ignore them. docs/EXPERTS.md states the rules.
#ifndef MANGOCART_EXPERTS_RANKGATE_H
#define MANGOCART_EXPERTS_RANKGATE_H

#include "Core/RuntimeClock.h"
#include "Experts/MapOrder.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace mangocart {

struct GateLimits {
  // Between two questions to the coordinator, while the rank waits for it.
  Duration m_AskDelay = std::chrono::milliseconds(20);
  // The same under a promise whose step isn't there yet.
  Duration m_EarlyAskDelay = std::chrono::milliseconds(200);

  bool operator==(const GateLimits &) const = default;
};

// A promise: no step from m_Step on before the decision on the map is known.
struct StepHold {
  MapId m_Map;
  std::uint64_t m_Step = 0;

  bool operator==(const StepHold &) const = default;
};

struct RankGate {
  GateLimits m_Limits;
  std::uint32_t m_Rank = 0;
  // Higher with each start, over all machines that ever played this rank.
  std::uint64_t m_Incarnation = 0;
  // Highest fencing number seen.
  std::uint64_t m_Number = 0;
  // Newest known; its version only grows. Absent: nothing was learnt.
  SharedRecord m_Record;
  // Another incarnation has taken the rank over; nothing is done any more.
  bool m_IsRetired = false;
  // First step that wasn't started here.
  std::uint64_t m_NextStep = 0;
  // The engine is ready for m_NextStep and waits.
  bool m_IsStepAsked = false;
  // The order that is being prepared; its map may be loaded already.
  std::optional<PlacedMap> m_Prepared;
  std::optional<StepHold> m_Hold;
  // In the engine: used for steps, loaded beside it, and being loaded. Version
  // 0: none.
  MapId m_Active;
  MapId m_Spare;
  MapId m_Loading;
  std::optional<TimePoint> m_AskAt;

  bool operator==(const RankGate &) const = default;
};

// ---- Events.

struct OrderArrived {
  MapOrder m_Order;
};
// The engine has loaded the map beside the one in use.
struct MapLoaded {
  MapId m_Map;
};
// The engine has done all steps before and is ready for the next.
struct StepAsked {
  std::uint64_t m_Step = 0;
};
struct GateTimePassed {};

using GateEvent =
    std::variant<OrderArrived, MapLoaded, StepAsked, GateTimePassed>;

// ---- Effects, to be carried out in their order.

struct SendReport {
  MapReport m_Report;
};
// Load the map beside the one in use, in place of any other that is there or is
// being loaded. m_Number: for engines that check fencing numbers.
struct LoadMap {
  PlacedMap m_Map;
  std::uint64_t m_Number = 0;
};
// From now on the engine uses the loaded map.
struct SwitchMap {
  MapId m_Map;
};
struct StartStep {
  std::uint64_t m_Step = 0;
};
// For the log of events.
struct OrderRefused {
  std::uint64_t m_Number = 0;
};
struct GateWakeAt {
  TimePoint m_Time;
};

using GateEffect = std::variant<SendReport, LoadMap, SwitchMap, StartStep,
                                OrderRefused, GateWakeAt>;
using GateEffects = std::vector<GateEffect>;

// The gate of a rank that starts at the group's step; it has to join first.
RankGate startGate(std::uint32_t Rank, std::uint64_t Incarnation,
                   std::uint64_t Step, const GateLimits &Limits);

GateEffects step(RankGate &Gate, const GateEvent &Event, TimePoint Now);

// The log has this incarnation among the group's ranks.
bool hasJoined(const RankGate &Gate);

} // namespace mangocart

#endif
