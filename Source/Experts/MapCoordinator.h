// Coordinator of a two-phase commit that changes the expert map of a rank
// group: it has the ranks load the map, collects their promises, and commits
// the change to the log. It also admits joining ranks and ends promises that an
// earlier coordinator left behind. It runs next to the leader of the log;
// several at a time are harmless. docs/EXPERTS.md states the rules.
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
  // Delay before the same order, query or proposal is resent.
  Duration m_ResendDelay = std::chrono::milliseconds(20);
  // Time to load one expert at the group's share of the weight store's rate;
  // ranks are told to load one after the other.
  Duration m_LoadTimePerExpert = std::chrono::milliseconds(20);
  // A change is aborted if loading exceeds its planned time by this much.
  Duration m_LoadSlack = std::chrono::seconds(5);
  // A change is aborted if not all promises arrive within this time.
  Duration m_PromiseTimeout = std::chrono::milliseconds(500);
  // Number of steps between the latest known step and the switch: enough to
  // collect the promises, commit, and send the decision, even if the leader of
  // the log changes meanwhile.
  std::uint64_t m_LeadSteps = 64;

  bool operator==(const CoordinatorLimits &) const = default;
};

enum class CoordinatorPhase : std::uint8_t {
  // The log must be read before anything is proposed.
  Reading,
  Idle,
  Loading,
  CollectingPromises,
  // A proposal is in flight; no other is made before its outcome is known.
  Proposing
};

struct MapCoordinator {
  CoordinatorLimits m_Limits;
  // Unique, and higher than that of every earlier coordinator of the group.
  std::uint64_t m_FencingNumber = 0;
  // Used for a group that isn't in the log yet.
  std::shared_ptr<const ExpertMap> m_InitialMap;
  CoordinatorPhase m_Phase = CoordinatorPhase::Reading;
  // Record as last read from the log or written by this coordinator.
  GroupRecordPtr m_Record;
  // Whether a proposal of this coordinator was accepted. Until then its first
  // action is a new version of the record, which ends the promises to an
  // earlier coordinator before any rank reaches their step.
  bool m_HasChangedLog = false;
  // Highest version that this coordinator has used or seen.
  std::uint64_t m_LastVersion = 0;
  // The change in progress.
  std::optional<PlacedMap> m_Change;
  std::uint64_t m_SwitchStep = 0;
  // Indexed by rank: whether it has answered in the current phase.
  std::vector<bool> m_HasAnswered;
  // Indexed by rank: time from which it may be told to load.
  std::vector<TimePoint> m_LoadStartTimes;
  TimePoint m_Deadline;
  TimePoint m_ResendAt;
  // The proposed record, and the version that it replaces.
  GroupRecordPtr m_Proposal;
  std::uint64_t m_Replaces = 0;
  // Indexed by rank: incarnations that want to join.
  std::map<std::uint32_t, std::uint64_t> m_Joining;
  // Highest next step that any rank has reported.
  std::uint64_t m_LatestStep = 0;

  bool operator==(const MapCoordinator &) const = default;
};

// ---- Events.

struct CoordinatorStarted {};
// Result of a linearizable read of the log; no record if the group isn't in the
// log.
struct RecordRead {
  GroupRecordPtr m_Record;
};
struct ChangeRequested {
  ExpertMap m_Map;
};
struct ReportArrived {
  MapReport m_Report;
};
// The log has accepted or rejected the proposal of this version.
struct ProposalReplied {
  std::uint64_t m_Version = 0;
  bool m_IsActivated = false;
};
struct CoordinatorTimerFired {};

using CoordinatorEvent =
    std::variant<CoordinatorStarted, RecordRead, ChangeRequested, ReportArrived,
                 ProposalReplied, CoordinatorTimerFired>;

// ---- Effects. Queries and proposals without an answer are resent.

struct SendOrder {
  std::uint32_t m_Rank = 0;
  MapOrder m_Order;
};
struct ReadRecord {};
struct ProposeRecord {
  GroupRecordPtr m_Record;
  std::uint64_t m_Replaces = 0;
};
struct CoordinatorWakeAt {
  TimePoint m_Time;
};
// The requested change was committed to the log or aborted.
struct ChangeEnded {
  MapId m_Map;
  bool m_IsActivated = false;
};

using CoordinatorEffect = std::variant<SendOrder, ReadRecord, ProposeRecord,
                                       CoordinatorWakeAt, ChangeEnded>;
using CoordinatorEffects = std::vector<CoordinatorEffect>;

MapCoordinator makeCoordinator(std::uint64_t FencingNumber,
                               std::shared_ptr<const ExpertMap> InitialMap,
                               const CoordinatorLimits &Limits);

// A change that is requested while another is in progress is ignored.
CoordinatorEffects step(MapCoordinator &State, const CoordinatorEvent &Event,
                        TimePoint Now);

} // namespace mangocart

#endif
