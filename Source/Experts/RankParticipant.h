// Participant of a map change on the agent's side: decides when its rank may
// start a step and with which map, and which orders reach the engine. It
// rejects old fencing numbers for engines that ignore them. docs/EXPERTS.md
// states the rules.
#ifndef MANGOCART_EXPERTS_RANKPARTICIPANT_H
#define MANGOCART_EXPERTS_RANKPARTICIPANT_H

#include "Core/RuntimeClock.h"
#include "Experts/MapOrder.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace mangocart {

struct ParticipantLimits {
  // Interval of queries to the coordinator while the rank waits for the answer.
  Duration m_QueryDelay = std::chrono::milliseconds(20);
  // Same under a promise whose step hasn't been reached yet.
  Duration m_EarlyQueryDelay = std::chrono::milliseconds(200);

  bool operator==(const ParticipantLimits &) const = default;
};

// A promise to start no step from m_Step on until the decision on the map is
// known.
struct StepHold {
  MapId m_Map;
  std::uint64_t m_Step = 0;

  bool operator==(const StepHold &) const = default;
};

struct RankParticipant {
  ParticipantLimits m_Limits;
  std::uint32_t m_Rank = 0;
  // Increases with each start, across all machines that have run this rank.
  std::uint64_t m_Incarnation = 0;
  // Highest fencing number seen.
  std::uint64_t m_FencingNumber = 0;
  // Latest known record, with increasing version; absent if none was received.
  GroupRecordPtr m_Record;
  // Another incarnation has taken over the rank; all events are ignored.
  bool m_IsRetired = false;
  // First step that hasn't been started here.
  std::uint64_t m_NextStep = 0;
  // The engine is ready for m_NextStep and waits.
  bool m_IsStepRequested = false;
  // The map that is being prepared; it may be loaded already.
  std::optional<PlacedMap> m_Prepared;
  std::optional<StepHold> m_Hold;
  // Maps in the engine: used for steps, loaded next to it, and being loaded.
  // Version 0: none.
  MapId m_Active;
  MapId m_Standby;
  MapId m_Loading;
  std::optional<TimePoint> m_QueryAt;

  bool operator==(const RankParticipant &) const = default;
};

// ---- Events.

struct OrderArrived {
  MapOrder m_Order;
};
// The engine has loaded the map next to the active one.
struct MapLoaded {
  MapId m_Map;
};
// The engine has completed all earlier steps and is ready for the next one.
struct StepRequested {
  std::uint64_t m_Step = 0;
};
struct ParticipantTimerFired {};

using ParticipantEvent =
    std::variant<OrderArrived, MapLoaded, StepRequested, ParticipantTimerFired>;

// ---- Effects, to be executed in order.

struct SendReport {
  MapReport m_Report;
};
// Load the map next to the active one, replacing any other that is loaded or
// being loaded there. m_FencingNumber is for engines that check it.
struct LoadMap {
  PlacedMap m_Map;
  std::uint64_t m_FencingNumber = 0;
};
// Make the loaded map active.
struct SwitchMap {
  MapId m_Map;
};
struct StartStep {
  std::uint64_t m_Step = 0;
};
// For the event log.
struct OrderRefused {
  std::uint64_t m_FencingNumber = 0;
};
struct ParticipantWakeAt {
  TimePoint m_Time;
};

using ParticipantEffect =
    std::variant<SendReport, LoadMap, SwitchMap, StartStep, OrderRefused,
                 ParticipantWakeAt>;
using ParticipantEffects = std::vector<ParticipantEffect>;

// Creates the participant of a rank that starts at the group's current step and
// has to join first.
RankParticipant makeParticipant(std::uint32_t Rank, std::uint64_t Incarnation,
                                std::uint64_t Step,
                                const ParticipantLimits &Limits);

ParticipantEffects step(RankParticipant &Participant,
                        const ParticipantEvent &Event, TimePoint Now);

// Whether the log lists this incarnation among the group's ranks.
bool hasJoined(const RankParticipant &Participant);

} // namespace mangocart

#endif
