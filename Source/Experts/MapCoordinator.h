// Carries one change of a rank group's expert map from its preparation to its
// place in the log, takes in ranks that join, and ends the promises that an
// earlier coordinator left behind. Runs beside the leader of the log; more than
// one at a time does no harm. docs/EXPERTS.md states the rules.
#ifndef MANGOCART_EXPERTS_MAPCOORDINATOR_H
#define MANGOCART_EXPERTS_MAPCOORDINATOR_H

#include "Core/RuntimeClock.h"
#include "Experts/MapOrder.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace mangocart {

struct CoordinatorLimits {
  // Between two sendings of the same order, question or proposal.
  Duration m_RepeatDelay = std::chrono::milliseconds(20);
  // One expert's weights at the group's part of the weight store's rate; ranks
  // are told to load one after the other.
  Duration m_TimePerWeights = std::chrono::milliseconds(20);
  // Loading that takes longer than planned by this is called off.
  Duration m_LoadSlack = std::chrono::seconds(5);
  // Promises that aren't there in time are called off.
  Duration m_PromiseTime = std::chrono::milliseconds(500);
  // Steps between the newest known one and the switch: enough for a promise, a
  // commit and the news of it, even when the log changes its leader meanwhile.
  std::uint64_t m_LeadSteps = 64;

  bool operator==(const CoordinatorLimits &) const = default;
};

enum class CoordinatorPhase : std::uint8_t {
  // The log must be read before anything is proposed.
  Reading,
  Idle,
  Loading,
  Promising,
  // A proposal is on its way; no other is made before its end is known.
  Proposing
};

struct MapCoordinator {
  CoordinatorLimits m_Limits;
  // Unique; higher than that of every earlier coordinator of the group.
  std::uint64_t m_Number = 0;
  // For a group that the log doesn't know yet.
  std::shared_ptr<const ExpertMap> m_InitialMap;
  CoordinatorPhase m_Phase = CoordinatorPhase::Reading;
  // As the log had it when it was last read or changed from here.
  SharedRecord m_Record;
  // A proposal from here was taken. Before, the first act is a new version of
  // the record, which ends the promises to an earlier coordinator before any
  // rank comes to their step.
  bool m_HasChangedLog = false;
  // Highest version that this coordinator has used or heard of.
  std::uint64_t m_LastVersion = 0;
  // The change under way.
  std::optional<PlacedMap> m_Change;
  std::uint64_t m_SwitchStep = 0;
  // By rank, for the present phase.
  std::vector<bool> m_IsDone;
  // When each rank may be told to load.
  std::vector<TimePoint> m_LoadFrom;
  TimePoint m_GiveUpAt;
  TimePoint m_RepeatAt;
  // What was proposed, and the version that it replaces.
  SharedRecord m_Proposal;
  std::uint64_t m_Replaces = 0;
  // By rank: incarnations that want to join.
  std::map<std::uint32_t, std::uint64_t> m_Joining;
  // Highest first step not started that any rank has reported.
  std::uint64_t m_NewestStep = 0;

  bool operator==(const MapCoordinator &) const = default;
};

// ---- Events.

struct CoordinatorStarted {};
// A reading of the log that is as new as the question; no record: the log
// doesn't know the group.
struct RecordRead {
  SharedRecord m_Record;
};
struct ChangeAsked {
  ExpertMap m_Map;
};
struct ReportArrived {
  MapReport m_Report;
};
// The log has decided on the proposal of the version.
struct ProposalReplied {
  std::uint64_t m_Version = 0;
  bool m_IsActivated = false;
};
struct CoordinatorTimePassed {};

using CoordinatorEvent =
    std::variant<CoordinatorStarted, RecordRead, ChangeAsked, ReportArrived,
                 ProposalReplied, CoordinatorTimePassed>;

// ---- Effects. Questions and proposals that get no answer are repeated.

struct SendOrder {
  std::uint32_t m_Rank = 0;
  MapOrder m_Order;
};
struct ReadRecord {};
struct ProposeRecord {
  SharedRecord m_Record;
  std::uint64_t m_Replaces = 0;
};
struct CoordinatorWakeAt {
  TimePoint m_Time;
};
// The change that was asked for is in the log, or was called off.
struct ChangeEnded {
  MapId m_Map;
  bool m_IsActivated = false;
};

using CoordinatorEffect = std::variant<SendOrder, ReadRecord, ProposeRecord,
                                       CoordinatorWakeAt, ChangeEnded>;
using CoordinatorEffects = std::vector<CoordinatorEffect>;

MapCoordinator startCoordinator(std::uint64_t Number,
                                std::shared_ptr<const ExpertMap> InitialMap,
                                const CoordinatorLimits &Limits);

// A change that is asked for while another is under way is ignored.
CoordinatorEffects step(MapCoordinator &State, const CoordinatorEvent &Event,
                        TimePoint Now);

} // namespace mangocart

#endif
