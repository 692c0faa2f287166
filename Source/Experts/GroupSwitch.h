// State machine that activates one new expert map on all ranks of a group whose
// engines switch by themselves: each engine prepares a map, arms it for a pass,
// and switches when that pass begins. Engines don't compare their maps, so
// safety depends on the sequence of the orders:
//
// - Before any rank is told to arm, the pass to switch at is held at one rank,
//   and that rank's report shows the hold.
// - The hold is released only when the reports of all ranks show the same
//   version armed for the pass, or when some rank can no longer arm it.
// - A rank can no longer arm a version once a higher one is prepared there. A
//   rollback prepares a higher version first on a rank that isn't armed: until
//   then another coordinator may see all ranks armed and release the hold.
// - The coordinator's own rank is armed last. While that rank is unreachable
//   and some other rank isn't armed, it isn't armed either, so that another
//   coordinator can roll the switch back without it. The hold is set at a
//   different rank for the same reason.
//
// All decisions follow from reports, not from answers to orders, because an
// order without an answer may be executed seconds later. Any number of
// coordinators may act concurrently. docs/EXPERTS.md has the safety argument.
#ifndef MANGOCART_EXPERTS_GROUPSWITCH_H
#define MANGOCART_EXPERTS_GROUPSWITCH_H

#include "Core/RuntimeClock.h"
#include "Experts/RankOrder.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace mangocart {

struct SwitchLimits {
  // Lead time between the current pass and the one to switch at. The answers to
  // the hold and to the orders to arm should arrive within it, so that the
  // group doesn't wait.
  Duration m_LeadTime = std::chrono::milliseconds(120);
  // Lead time while orders get no answer. It leaves time to resend some of them
  // at the ranks, because a group that waits at the hold delays all its
  // requests.
  Duration m_LongLeadTime = std::chrono::milliseconds(300);
  // Time after a resend during which orders are considered unanswered.
  Duration m_UnansweredWindow = std::chrono::seconds(15);
  std::uint64_t m_MinLeadPasses = 2;
  // Interval after which an order is resent to a rank whose report doesn't show
  // its effect.
  Duration m_ResendInterval = std::chrono::milliseconds(40);
  // The change is aborted if not all ranks have prepared the map in this time.
  Duration m_PrepareTimeout = std::chrono::seconds(6);
  // The switch is rolled back if not all ranks are armed in this time.
  Duration m_ArmTimeout = std::chrono::seconds(3);
  // Age from which the hold of another coordinator is resolved by this one.
  Duration m_ForeignHoldTimeout = std::chrono::milliseconds(300);
  // Same limit if the coordinator that set the hold is unreachable.
  Duration m_UnreachableHoldTimeout = std::chrono::milliseconds(80);

  bool operator==(const SwitchLimits &) const = default;
};

enum class SwitchPhase {
  Idle,
  Preparing,
  Holding,
  Arming,
  Releasing,
  Switching,
  // Rolls a switch back; keeps its name because events show it.
  TakingBack
};

std::string_view toString(SwitchPhase Phase);

// Sent to the other balancers while a pass may be held: all ranks have prepared
// the version, and the coordinator's own rank is armed last.
struct SwitchNotice {
  std::uint32_t m_CoordinatorRank = 0;
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_Version = 0;

  bool operator==(const SwitchNotice &) const = default;
};

struct GroupSwitch {
  SwitchLimits m_Limits;
  SwitchPhase m_Phase = SwitchPhase::Idle;
  // Rank of the replica on the coordinator's machine.
  std::uint32_t m_OwnRank = 0;
  std::uint64_t m_Epoch = 0;
  // The version to activate, and its map.
  std::uint64_t m_Version = 0;
  std::shared_ptr<const ExpertMap> m_Map;
  // Rank and pass of the hold. The pass is 0 until one is chosen.
  std::uint32_t m_HoldRank = 0;
  std::uint64_t m_Pass = 0;
  // All passes for which this change requested a hold. A delayed order may
  // still set the hold for an earlier one.
  std::vector<std::uint64_t> m_RequestedPasses;
  // Pass of a hold for which a release was sent, whether or not a report shows
  // it. No rank is armed for that pass any more, because the release may be
  // delayed. 0: none.
  std::uint64_t m_AbandonedPass = 0;
  // Indexed by rank: whether the latest report in this change showed m_Version
  // armed.
  std::vector<bool> m_ReportedArmed;
  // Highest pass that was held or requested in this epoch. A new hold must use
  // a higher one, because a delayed release of an earlier hold would release a
  // hold of the same pass.
  std::uint64_t m_HighestPass = 0;
  TimePoint m_PhaseSince;
  // Rank of the unreachable coordinator whose switch is rolled back.
  std::optional<std::uint32_t> m_UnreachableRank;
  // Used while rolling back: a version higher than m_Version, which prevents
  // m_Version from being armed, and the active map, which it carries.
  std::uint64_t m_RollbackVersion = 0;
  std::shared_ptr<const ExpertMap> m_RollbackMap;
  // Indexed by rank: time of the last order.
  std::vector<TimePoint> m_LastOrderTimes;
  // Time of the last resend of an order.
  std::optional<TimePoint> m_LastResend;
  // Pass held by another coordinator, and when it was first seen.
  std::uint64_t m_ForeignPass = 0;
  TimePoint m_ForeignSince;
  // Start of the measurement of the pass rate, and its latest result.
  std::uint64_t m_RateStartPass = 0;
  TimePoint m_RateStartTime;
  double m_PassesPerSecond = 10.0;
};

// Returns the highest version in the reports.
std::uint64_t highestVersion(const std::vector<RankReport> &Reports);

// Whether an order was resent within m_UnansweredWindow.
bool hasRecentResends(const GroupSwitch &State, TimePoint Now);

// Whether all ranks are open in the same epoch with the same active map, and
// nothing is armed or held, so that a change may begin.
bool isSettled(const std::vector<RankReport> &Reports);

// Begins a change; allowed only in phase Idle. The version must be higher than
// all versions that the ranks have had, and must not be used for another map.
void beginSwitch(GroupSwitch &State, std::uint64_t Version,
                 std::shared_ptr<const ExpertMap> Map,
                 const std::vector<RankReport> &Reports, TimePoint Now);

// Inputs of a step besides the reports; used to roll a switch back.
struct SwitchInputs {
  // Never used before and higher than all versions in the reports.
  std::uint64_t m_UnusedVersion = 0;
  // The active map, or one that needs no copies on the ranks that answer; null
  // if unknown.
  std::shared_ptr<const ExpertMap> m_ActiveMap;
};

// Returns the orders that follow from current reports of all ranks, at most one
// per rank.
std::vector<RankOrder> step(GroupSwitch &State,
                            const std::vector<RankReport> &Reports,
                            const SwitchInputs &Inputs, TimePoint Now);

// Same for a round in which some ranks gave no report. LastNotice is the last
// notice of the coordinator that was active before.
std::vector<RankOrder>
stepWithMissingRanks(GroupSwitch &State,
                     const std::vector<std::optional<RankReport>> &Reports,
                     const std::optional<SwitchNotice> &LastNotice,
                     const SwitchInputs &Inputs, TimePoint Now);

// Returns the notice for the other balancers, or nothing while no pass may be
// held.
std::optional<SwitchNotice> makeNotice(const GroupSwitch &State);

} // namespace mangocart

#endif
