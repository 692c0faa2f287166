// Brings one new expert map into force at all ranks of a group whose engines
// switch by themselves: each engine prepares a map, arms it for a pass, and
// switches as that pass begins. Engines don't compare their maps, so the switch
// is safe only by the order of the orders:
//
//  - a pass to switch at is held at one rank, and the hold is seen in that
//    rank's report, before any rank is told to arm;
//  - the hold is released only when every rank's report shows the same version
//    armed for it, or when no rank can arm it any more;
//  - a version is made impossible at a rank by preparing a higher one there,
//    and at a rank that isn't armed first: until then another coordinator may
//    see all ranks armed and release the hold;
//  - the coordinator's own rank is armed after all others. While it can't be
//    reached and some other rank isn't armed, it isn't either, so that somebody
//    else can take the switch back without it. The hold is at another rank for
//    the same reason.
//
// Every act follows from what reports show, not from answers: an order without
// an answer may come seconds later. Any number of coordinators may act at once.
// docs/EXPERTS.md has the argument.
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
  // Between the present pass and the one to switch at: time for the hold and
  // the orders to arm to be answered, so that the group doesn't wait.
  Duration m_Lead = std::chrono::milliseconds(120);
  // The same while orders go without an answer: time to repeat a few beside the
  // ranks, as a group that waits at the hold is late for all its requests.
  Duration m_LongLead = std::chrono::milliseconds(300);
  // An order that had to be repeated counts for so long.
  Duration m_RepeatMemory = std::chrono::seconds(15);
  std::uint64_t m_LeastLeadPasses = 2;
  // A rank that doesn't show an order's effect gets it again after this time.
  Duration m_RepeatAfter = std::chrono::milliseconds(40);
  // Without all ranks prepared for so long, the map is given up.
  Duration m_PrepareLimit = std::chrono::seconds(6);
  // Without all ranks armed for so long, the switch is taken back.
  Duration m_ArmLimit = std::chrono::seconds(3);
  // A hold of somebody else is looked after when it has stood for so long.
  Duration m_ForeignHoldLimit = std::chrono::milliseconds(300);
  // The same where its coordinator can't be reached.
  Duration m_AbsentHoldLimit = std::chrono::milliseconds(80);

  bool operator==(const SwitchLimits &) const = default;
};

enum class SwitchPhase {
  Idle,
  Preparing,
  Holding,
  Arming,
  Releasing,
  Switching,
  TakingBack
};

std::string_view toString(SwitchPhase Phase);

// What a coordinator tells the other balancers from the hold on: all ranks have
// prepared the version, and its own is armed last.
struct SwitchNotice {
  std::uint32_t m_CoordinatorRank = 0;
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_Version = 0;

  bool operator==(const SwitchNotice &) const = default;
};

struct GroupSwitch {
  SwitchLimits m_Limits;
  SwitchPhase m_Phase = SwitchPhase::Idle;
  // Rank of the replica beside the coordinator.
  std::uint32_t m_OwnRank = 0;
  std::uint64_t m_Epoch = 0;
  // The version that is brought into force, and its map.
  std::uint64_t m_Version = 0;
  std::shared_ptr<const ExpertMap> m_Map;
  // The hold: its rank and pass. The pass is 0 before one is chosen.
  std::uint32_t m_HoldRank = 0;
  std::uint64_t m_Pass = 0;
  // All passes that holds were asked for in this change: an order that comes
  // late may bring an earlier one into force.
  std::vector<std::uint64_t> m_AskedPasses;
  // A hold that was told to go, whether or not that has shown: no rank is armed
  // under it any more, as the release may come late. 0: none.
  std::uint64_t m_AbandonedPass = 0;
  // By rank: whether its newest report in this change showed m_Version armed.
  std::vector<bool> m_SeenArmed;
  // The highest pass that was ever held or asked for in this epoch; a late
  // release of an earlier hold must not meet a hold of the same pass.
  std::uint64_t m_LastPass = 0;
  TimePoint m_PhaseSince;
  // The coordinator whose switch is taken back without it.
  std::optional<std::uint32_t> m_AbsentRank;
  // Taking back: the version that makes m_Version impossible, and the map that
  // is in force, which it carries.
  std::uint64_t m_Barrier = 0;
  std::shared_ptr<const ExpertMap> m_BarrierMap;
  // By rank: when the last order went there.
  std::vector<TimePoint> m_Ordered;
  // When an order had to be repeated last.
  std::optional<TimePoint> m_LastRepeat;
  // Somebody else's hold, and since when it has been seen.
  std::uint64_t m_ForeignPass = 0;
  TimePoint m_ForeignSince;
  // Reading of the pass rate.
  std::uint64_t m_RatePass = 0;
  TimePoint m_RateSince;
  double m_PassesPerSecond = 10.0;
};

// The highest version that any report shows.
std::uint64_t highestVersion(const std::vector<RankReport> &Reports);

// Whether an order had to be repeated within the limits' memory.
bool areOrdersUnanswered(const GroupSwitch &State, TimePoint Now);

// Whether all ranks are open in one epoch with one map in force, and nothing is
// armed or held: the moment to begin a change.
bool isSettled(const std::vector<RankReport> &Reports);

// Begins a change; only while idle. The version must be above all that the
// ranks have had, and used for this map only.
void begin(GroupSwitch &State, std::uint64_t Version,
           std::shared_ptr<const ExpertMap> Map,
           const std::vector<RankReport> &Reports, TimePoint Now);

// What a step needs besides the reports to take a switch back.
struct SwitchSupplies {
  // A version never used before, above all that the reports show.
  std::uint64_t m_FreshVersion = 0;
  // The map in force, or one that copies nothing at the ranks that answer; null
  // while it isn't known.
  std::shared_ptr<const ExpertMap> m_MapInForce;
};

// The orders that follow from fresh reports of all ranks, one a rank at most.
std::vector<RankOrder> step(GroupSwitch &State,
                            const std::vector<RankReport> &Reports,
                            const SwitchSupplies &Supplies, TimePoint Now);

// The same after a round in which some ranks gave no report. Told: the last
// notice of the coordinator that was heard before.
std::vector<RankOrder>
stepWithout(GroupSwitch &State,
            const std::vector<std::optional<RankReport>> &Reports,
            const std::optional<SwitchNotice> &Told,
            const SwitchSupplies &Supplies, TimePoint Now);

// What the other balancers are to be told; nothing while no pass may be held.
std::optional<SwitchNotice> noticeOf(const GroupSwitch &State);

} // namespace mangocart

#endif
