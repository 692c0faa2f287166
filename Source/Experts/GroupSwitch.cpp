// Transitions between the phases of a switch.
#include "Experts/GroupSwitch.h"

#include <algorithm>
#include <cmath>

namespace mangocart {

namespace {

using Reports = std::vector<RankReport>;
using Orders = std::vector<RankOrder>;

class SwitchStep {
public:
  // Ranks without a report have an empty one and are marked in IsMissing.
  SwitchStep(GroupSwitch &State, const Reports &Ranks,
             std::vector<bool> IsMissing, const SwitchInputs &Inputs,
             TimePoint Now)
      : m_State(State), m_Ranks(Ranks), m_IsMissing(std::move(IsMissing)),
        m_Inputs(Inputs), m_Now(Now) {}

  Orders run() {
    if (!enterEpoch())
      return {};
    m_State.m_UnreachableRank.reset();
    switch (m_State.m_Phase) {
    case SwitchPhase::Idle:
      checkForeignHold();
      break;
    case SwitchPhase::Preparing:
      prepare();
      break;
    case SwitchPhase::Holding:
      hold();
      break;
    case SwitchPhase::Arming:
      arm();
      break;
    case SwitchPhase::Releasing:
    case SwitchPhase::Switching:
      release();
      break;
    case SwitchPhase::TakingBack:
      rollBack();
      break;
    }
    return std::move(m_Orders);
  }

  Orders runWithMissingRanks(const std::optional<SwitchNotice> &LastNotice) {
    if (!enterEpoch())
      return {};
    switch (m_State.m_Phase) {
    case SwitchPhase::Idle:
      checkUnreachableCoordinator(LastNotice);
      break;
    case SwitchPhase::Preparing:
      if (hasTimedOut(m_State.m_Limits.m_PrepareTimeout))
        reset();
      break;
    case SwitchPhase::Holding:
      abandonHold();
      break;
    case SwitchPhase::Arming:
      arm();
      break;
    case SwitchPhase::Releasing:
      if (isPassHeld())
        release();
      break;
    case SwitchPhase::Switching:
      break;
    case SwitchPhase::TakingBack:
      rollBackWithMissingRanks();
      break;
    }
    return std::move(m_Orders);
  }

private:
  // Returns false while the group is being formed; whatever was prepared, armed
  // or held before is then gone.
  bool enterEpoch() {
    updatePassRate();
    const RankReport *Any = nullptr;
    for (std::uint32_t Rank = 0; Rank < m_Ranks.size(); ++Rank) {
      const RankReport &R = m_Ranks[Rank];
      if (m_IsMissing[Rank])
        continue;
      if (!R.m_IsOpen || (Any && R.m_Epoch != Any->m_Epoch)) {
        reset();
        return false;
      }
      Any = &R;
    }
    if (!Any)
      return false;
    if (m_State.m_Epoch != Any->m_Epoch) {
      reset();
      m_State.m_HighestPass = 0;
    }
    m_State.m_Epoch = Any->m_Epoch;
    m_State.m_LastOrderTimes.resize(m_Ranks.size());
    m_State.m_ReportedArmed.resize(m_Ranks.size());
    return true;
  }

  bool isAnyMissing() const {
    return std::find(m_IsMissing.begin(), m_IsMissing.end(), true) !=
           m_IsMissing.end();
  }

  // Whether the predicate holds for all ranks that gave a report.
  template <class Test> bool allReporting(Test Holds) const {
    for (std::uint32_t Rank = 0; Rank < m_Ranks.size(); ++Rank)
      if (!m_IsMissing[Rank] && !Holds(m_Ranks[Rank]))
        return false;
    return true;
  }

  void enter(SwitchPhase Phase) {
    m_State.m_Phase = Phase;
    m_State.m_PhaseSince = m_Now;
    // The resend interval doesn't apply to another kind of order.
    m_State.m_LastOrderTimes.assign(m_Ranks.size(), TimePoint());
  }

  void reset() {
    enter(SwitchPhase::Idle);
    m_State.m_Pass = 0;
    m_State.m_RequestedPasses.clear();
    m_State.m_AbandonedPass = 0;
    m_State.m_ReportedArmed.assign(m_Ranks.size(), false);
    m_State.m_UnreachableRank.reset();
    m_State.m_ForeignPass = 0;
    m_State.m_Map.reset();
    m_State.m_RollbackMap.reset();
  }

  bool hasTimedOut(Duration Limit) const {
    return m_Now - m_State.m_PhaseSince > Limit;
  }

  void updatePassRate() {
    constexpr Duration Span = std::chrono::milliseconds(500);
    constexpr double MinRate = 2.0;
    const std::uint64_t Pass = latestPass();
    if (m_State.m_RateStartTime == TimePoint() ||
        Pass < m_State.m_RateStartPass) {
      m_State.m_RateStartPass = Pass;
      m_State.m_RateStartTime = m_Now;
      return;
    }
    const Duration Passed = m_Now - m_State.m_RateStartTime;
    if (Passed < Span)
      return;
    const double Rate = static_cast<double>(Pass - m_State.m_RateStartPass) /
                        std::chrono::duration<double>(Passed).count();
    m_State.m_PassesPerSecond = std::max(Rate, MinRate);
    m_State.m_RateStartPass = Pass;
    m_State.m_RateStartTime = m_Now;
  }

  std::uint64_t latestPass() const {
    std::uint64_t Latest = 0;
    for (const RankReport &R : m_Ranks)
      Latest = std::max(Latest, R.m_Pass);
    return Latest;
  }

  // Queues an order whose effect the report doesn't show yet, at most one per
  // m_ResendInterval.
  void order(std::uint32_t Rank, RankOrderKind Kind, std::uint64_t Version,
             std::shared_ptr<const ExpertMap> Map = nullptr) {
    TimePoint &Last = m_State.m_LastOrderTimes[Rank];
    if (m_Ranks[Rank].m_IsBusy ||
        (Last != TimePoint() &&
         m_Now - Last < m_State.m_Limits.m_ResendInterval))
      return;
    // Preparation takes as long as its copies; other orders show their effect
    // at once, so that only those count as unanswered.
    if (Last != TimePoint() && Kind != RankOrderKind::Prepare)
      m_State.m_LastResend = m_Now;
    Last = m_Now;
    m_Orders.push_back({Rank, Kind, Version, m_State.m_Pass, m_State.m_Epoch,
                        m_Ranks[Rank].m_Sequence, std::move(Map)});
  }

  template <class Done, class Act> bool forAll(Done IsDone, Act ActOn) {
    bool All = true;
    for (std::uint32_t Rank = 0; Rank < m_Ranks.size(); ++Rank)
      if (!m_IsMissing[Rank] && !IsDone(m_Ranks[Rank])) {
        All = false;
        ActOn(Rank);
      }
    return All;
  }

  bool isArmed(const RankReport &R) const {
    return R.m_Armed != 0 && R.m_Armed == m_State.m_Version;
  }
  bool areAllArmedWithOneVersion() const {
    const std::uint64_t Version = m_Ranks.front().m_Armed;
    return Version != 0 && std::all_of(m_Ranks.begin(), m_Ranks.end(),
                                       [&](const RankReport &R) {
                                         return R.m_Armed == Version;
                                       });
  }

  void prepare() {
    const auto IsDone = [&](const RankReport &R) {
      return R.m_Prepared == m_State.m_Version;
    };
    // Another coordinator has set a hold and may be about to arm.
    const bool Foreign =
        std::any_of(m_Ranks.begin(), m_Ranks.end(), [](const RankReport &R) {
          return R.m_HeldPass != 0 || R.m_Armed != 0;
        });
    if (Foreign || hasTimedOut(m_State.m_Limits.m_PrepareTimeout))
      return reset();
    const bool All = forAll(IsDone, [&](std::uint32_t Rank) {
      order(Rank, RankOrderKind::Prepare, m_State.m_Version, m_State.m_Map);
    });
    if (!All)
      return;
    enter(SwitchPhase::Holding);
    m_State.m_Pass = 0;
    hold();
  }

  Duration lead() const {
    return hasRecentResends(m_State, m_Now) ? m_State.m_Limits.m_LongLeadTime
                                            : m_State.m_Limits.m_LeadTime;
  }

  void hold() {
    const RankReport &Holder = m_Ranks[m_State.m_HoldRank];
    // Another coordinator has prepared another map; its hold is handled like
    // any other foreign hold.
    if (!isOnlyThisChangePrepared())
      return reset();
    if (m_State.m_AbandonedPass != 0 &&
        Holder.m_HeldPass == m_State.m_AbandonedPass)
      return abandonHold();
    if (wasRequested(Holder.m_HeldPass)) {
      m_State.m_Pass = Holder.m_HeldPass;
      enter(SwitchPhase::Arming);
      return arm();
    }
    // Another coordinator has set a hold here, or a higher version has been
    // prepared.
    if (Holder.m_HeldPass != 0 ||
        hasTimedOut(m_State.m_Limits.m_PrepareTimeout))
      return reset();
    // Nothing is armed yet, so a pass that began without the hold is replaced
    // by a later one.
    if (latestPass() + 1 >= m_State.m_Pass) {
      const auto Lead = static_cast<std::uint64_t>(
          std::ceil(m_State.m_PassesPerSecond *
                    std::chrono::duration<double>(lead()).count()));
      m_State.m_Pass = std::max(
          latestPass() + std::max(m_State.m_Limits.m_MinLeadPasses, Lead),
          m_State.m_HighestPass + 1);
      m_State.m_HighestPass = m_State.m_Pass;
      m_State.m_RequestedPasses.push_back(m_State.m_Pass);
      m_State.m_LastOrderTimes[m_State.m_HoldRank] = TimePoint();
    }
    order(m_State.m_HoldRank, RankOrderKind::Hold, m_State.m_Version);
  }

  bool wasRequested(std::uint64_t Pass) const {
    const std::vector<std::uint64_t> &Requested = m_State.m_RequestedPasses;
    return std::find(Requested.begin(), Requested.end(), Pass) !=
           Requested.end();
  }

  bool isPassHeld() const {
    return !m_IsMissing[m_State.m_HoldRank] && m_State.m_Pass != 0 &&
           m_Ranks[m_State.m_HoldRank].m_HeldPass == m_State.m_Pass;
  }

  bool isOnlyThisChangePrepared() const {
    return allReporting([&](const RankReport &R) {
      return R.m_Prepared == m_State.m_Version && R.m_Armed == 0;
    });
  }

  // Releases the hold while no rank has been told to arm: the hold protects
  // nothing yet, and a rank that doesn't answer may be unavailable for long.
  // Another coordinator may have requested the same pass, but it can't arm any
  // rank while all have prepared this change.
  void abandonHold() {
    const RankReport &Holder = m_Ranks[m_State.m_HoldRank];
    if (m_IsMissing[m_State.m_HoldRank] || !isOnlyThisChangePrepared() ||
        !wasRequested(Holder.m_HeldPass))
      return;
    // The resend interval doesn't apply to another kind of order.
    if (m_State.m_AbandonedPass != Holder.m_HeldPass)
      m_State.m_LastOrderTimes[m_State.m_HoldRank] = TimePoint();
    m_State.m_AbandonedPass = m_State.m_Pass = Holder.m_HeldPass;
    order(m_State.m_HoldRank, RankOrderKind::Release, m_State.m_Version);
    // The next hold uses another pass.
    m_State.m_Pass = 0;
  }

  // A rank that doesn't answer counts as armed if its last report showed so: it
  // is disarmed only after a higher version was prepared on another rank, which
  // then isn't armed.
  void arm() {
    bool AreOthersArmed = true;
    for (std::uint32_t Rank = 0; Rank < m_Ranks.size(); ++Rank) {
      if (!m_IsMissing[Rank])
        m_State.m_ReportedArmed[Rank] = isArmed(m_Ranks[Rank]);
      if (m_State.m_ReportedArmed[Rank] || Rank == m_State.m_OwnRank)
        continue;
      AreOthersArmed = false;
      if (!m_IsMissing[Rank])
        order(Rank, RankOrderKind::Arm, m_State.m_Version);
    }
    if (AreOthersArmed && m_State.m_ReportedArmed[m_State.m_OwnRank]) {
      enter(SwitchPhase::Releasing);
      if (!isAnyMissing() || isPassHeld())
        release();
      return;
    }
    if (AreOthersArmed && !m_IsMissing[m_State.m_OwnRank])
      order(m_State.m_OwnRank, RankOrderKind::Arm, m_State.m_Version);
    // A rank that has prepared a higher version can no longer be armed.
    const bool IsArmingImpossible = !allReporting([&](const RankReport &R) {
      return R.m_Armed != 0 || R.m_Prepared == m_State.m_Version;
    });
    if ((IsArmingImpossible || hasTimedOut(m_State.m_Limits.m_ArmTimeout)) &&
        !isAnyMissing())
      startRollback();
  }

  // Also runs after the release, because the duplicate of a hold order may
  // arrive late and hold the group again.
  void release() {
    if (isPassHeld()) {
      order(m_State.m_HoldRank, RankOrderKind::Release, m_State.m_Version);
      return;
    }
    // From here on, any armed version or hold belongs to another coordinator.
    const bool Begun = latestPass() >= m_State.m_Pass;
    const auto IsHeld = [](const RankReport &R) { return R.m_HeldPass != 0; };
    const bool Held = std::any_of(m_Ranks.begin(), m_Ranks.end(), IsHeld);
    const bool Armed =
        std::any_of(m_Ranks.begin(), m_Ranks.end(),
                    [](const RankReport &R) { return R.m_Armed != 0; });
    // Another hold that lasts too long is handled like any foreign hold.
    const bool Blocked =
        Held && hasTimedOut(m_State.m_Limits.m_ForeignHoldTimeout);
    if (Begun || (!Armed && !Held) || Blocked)
      reset();
    else if (m_State.m_Phase == SwitchPhase::Releasing)
      enter(SwitchPhase::Switching);
  }

  void startRollback() {
    if (!m_Inputs.m_ActiveMap)
      return;
    m_State.m_RollbackVersion = m_Inputs.m_UnusedVersion;
    m_State.m_RollbackMap = m_Inputs.m_ActiveMap;
    enter(SwitchPhase::TakingBack);
    rollBack();
  }

  void rollBack() {
    // Either the pass has begun, or all ranks are armed with the same version,
    // of this or another coordinator. In both cases a pass begins with a single
    // map.
    if (latestPass() >= m_State.m_Pass)
      return reset();
    if (areAllArmedWithOneVersion())
      return releaseOrFinish();
    const auto IsRolledBack = [&](const RankReport &R) {
      return isRolledBack(R);
    };
    const auto RollBack = [&](std::uint32_t Rank) {
      order(Rank, RankOrderKind::Prepare, m_State.m_RollbackVersion,
            m_State.m_RollbackMap);
    };
    // Starts with the ranks that aren't armed: once one of them has the higher
    // version, all ranks can never be armed.
    const bool AnyRolledBack =
        !allReporting([&](const RankReport &R) { return !isRolledBack(R); });
    const bool All = forAll(IsRolledBack, [&](std::uint32_t Rank) {
      const std::uint64_t Armed = m_Ranks[Rank].m_Armed;
      if (Armed == 0)
        RollBack(Rank);
      else if (AnyRolledBack)
        order(Rank, RankOrderKind::Disarm, Armed);
    });
    if (All)
      releaseOrFinish();
  }

  // Also true for an even higher version, prepared by another coordinator.
  bool isRolledBack(const RankReport &R) const {
    return std::max(R.m_Prepared, R.m_MapVersion) >=
               m_State.m_RollbackVersion &&
           R.m_Armed == 0;
  }

  void releaseOrFinish() {
    if (m_Ranks[m_State.m_HoldRank].m_HeldPass == m_State.m_Pass)
      order(m_State.m_HoldRank, RankOrderKind::Release, m_State.m_Version);
    else
      reset();
  }

  // Returns the rank of a hold that has been seen for at least MinAge.
  std::optional<std::uint32_t> findHoldOlderThan(Duration MinAge) {
    const auto Holder =
        std::find_if(m_Ranks.begin(), m_Ranks.end(),
                     [](const RankReport &R) { return R.m_HeldPass != 0; });
    if (Holder == m_Ranks.end()) {
      m_State.m_ForeignPass = 0;
      return std::nullopt;
    }
    if (m_State.m_ForeignPass != Holder->m_HeldPass) {
      m_State.m_ForeignPass = Holder->m_HeldPass;
      m_State.m_ForeignSince = m_Now;
      return std::nullopt;
    }
    if (m_Now - m_State.m_ForeignSince < MinAge)
      return std::nullopt;
    return static_cast<std::uint32_t>(Holder - m_Ranks.begin());
  }

  void adoptHold(std::uint32_t Holder) {
    m_State.m_HoldRank = Holder;
    m_State.m_Pass = m_Ranks[Holder].m_HeldPass;
    m_State.m_HighestPass = std::max(m_State.m_HighestPass, m_State.m_Pass);
  }

  void checkForeignHold() {
    const auto Holder =
        findHoldOlderThan(m_State.m_Limits.m_ForeignHoldTimeout);
    if (!Holder)
      return;
    adoptHold(*Holder);
    const auto Armed =
        std::find_if(m_Ranks.begin(), m_Ranks.end(),
                     [](const RankReport &R) { return R.m_Armed != 0; });
    // If no rank is armed, only a prepared version can be armed, and the
    // rollback replaces what is prepared.
    m_State.m_Version = Armed == m_Ranks.end() ? 0 : Armed->m_Armed;
    if (areAllArmedWithOneVersion())
      return enter(SwitchPhase::Releasing);
    startRollback();
  }

  bool areAllReportingArmed() const {
    return allReporting([](const RankReport &R) { return R.m_Armed != 0; });
  }

  bool isOnlyMissingRank(std::uint32_t Rank) const {
    return Rank < m_IsMissing.size() && m_IsMissing[Rank] &&
           std::count(m_IsMissing.begin(), m_IsMissing.end(), true) == 1;
  }

  // The coordinator that set the hold is unreachable. Its rank isn't armed
  // while some other rank isn't, provided that only its switch is in progress.
  void
  checkUnreachableCoordinator(const std::optional<SwitchNotice> &LastNotice) {
    const auto Holder =
        findHoldOlderThan(m_State.m_Limits.m_UnreachableHoldTimeout);
    if (!Holder || !LastNotice || LastNotice->m_Epoch != m_State.m_Epoch ||
        !isOnlyMissingRank(LastNotice->m_CoordinatorRank))
      return;
    m_State.m_Version = LastNotice->m_Version;
    m_State.m_RollbackVersion = m_Inputs.m_UnusedVersion;
    if (!isOnlyOneSwitchInProgress() || areAllReportingArmed())
      return;
    adoptHold(*Holder);
    startRollback();
    if (m_State.m_Phase == SwitchPhase::TakingBack)
      m_State.m_UnreachableRank = LastNotice->m_CoordinatorRank;
  }

  bool isOnlyOneSwitchInProgress() const {
    return allReporting([&](const RankReport &R) {
      return R.m_Armed == m_State.m_Version ||
             (R.m_Armed == 0 && R.m_Prepared == m_State.m_Version) ||
             isRolledBack(R);
    });
  }

  void rollBackWithMissingRanks() {
    // Once all other ranks are armed, the unreachable rank may be armed, too.
    if (m_State.m_UnreachableRank &&
        isOnlyMissingRank(*m_State.m_UnreachableRank) &&
        isOnlyOneSwitchInProgress() && !areAllReportingArmed())
      rollBack();
  }

  GroupSwitch &m_State;
  const Reports &m_Ranks;
  const std::vector<bool> m_IsMissing;
  const SwitchInputs &m_Inputs;
  const TimePoint m_Now;
  Orders m_Orders;
};

} // namespace

std::string_view toString(SwitchPhase Phase) {
  switch (Phase) {
  case SwitchPhase::Idle:
    return "idle";
  case SwitchPhase::Preparing:
    return "preparing";
  case SwitchPhase::Holding:
    return "holding";
  case SwitchPhase::Arming:
    return "arming";
  case SwitchPhase::Releasing:
    return "releasing";
  case SwitchPhase::Switching:
    return "switching";
  case SwitchPhase::TakingBack:
    return "taking-back";
  }
  return "unknown";
}

std::uint64_t highestVersion(const Reports &Ranks) {
  std::uint64_t Highest = 0;
  for (const RankReport &R : Ranks)
    Highest = std::max({Highest, R.m_MapVersion, R.m_Prepared, R.m_Armed});
  return Highest;
}

bool hasRecentResends(const GroupSwitch &State, TimePoint Now) {
  return State.m_LastResend &&
         Now - *State.m_LastResend < State.m_Limits.m_UnansweredWindow;
}

bool isSettled(const Reports &Ranks) {
  return !Ranks.empty() &&
         std::all_of(Ranks.begin(), Ranks.end(), [&](const RankReport &R) {
           return R.m_IsOpen && R.m_Epoch == Ranks.front().m_Epoch &&
                  R.m_MapVersion == Ranks.front().m_MapVersion &&
                  R.m_Armed == 0 && R.m_HeldPass == 0;
         });
}

void beginSwitch(GroupSwitch &State, std::uint64_t Version,
                 std::shared_ptr<const ExpertMap> Map, const Reports &Ranks,
                 TimePoint Now) {
  State.m_Phase = SwitchPhase::Preparing;
  State.m_PhaseSince = Now;
  State.m_Epoch = Ranks.front().m_Epoch;
  State.m_Version = Version;
  State.m_Map = std::move(Map);
  State.m_Pass = 0;
  State.m_RequestedPasses.clear();
  State.m_AbandonedPass = 0;
  State.m_ReportedArmed.assign(Ranks.size(), false);
  // The same rank for all coordinators as far as possible, because a rank has
  // one hold at a time.
  const auto Last = static_cast<std::uint32_t>(Ranks.size() - 1);
  State.m_HoldRank = State.m_OwnRank == Last ? 0 : Last;
  State.m_LastOrderTimes.assign(Ranks.size(), TimePoint());
}

std::vector<RankOrder> step(GroupSwitch &State, const Reports &Ranks,
                            const SwitchInputs &Inputs, TimePoint Now) {
  return SwitchStep(State, Ranks, std::vector<bool>(Ranks.size(), false),
                    Inputs, Now)
      .run();
}

std::vector<RankOrder>
stepWithMissingRanks(GroupSwitch &State,
                     const std::vector<std::optional<RankReport>> &Found,
                     const std::optional<SwitchNotice> &LastNotice,
                     const SwitchInputs &Inputs, TimePoint Now) {
  Reports Ranks;
  std::vector<bool> IsMissing;
  for (const std::optional<RankReport> &Each : Found) {
    Ranks.push_back(Each.value_or(RankReport()));
    IsMissing.push_back(!Each);
  }
  return SwitchStep(State, Ranks, std::move(IsMissing), Inputs, Now)
      .runWithMissingRanks(LastNotice);
}

std::optional<SwitchNotice> makeNotice(const GroupSwitch &State) {
  switch (State.m_Phase) {
  case SwitchPhase::Holding:
  case SwitchPhase::Arming:
  case SwitchPhase::Releasing:
    return SwitchNotice{State.m_OwnRank, State.m_Epoch, State.m_Version};
  case SwitchPhase::Idle:
  case SwitchPhase::Preparing:
  case SwitchPhase::Switching:
  case SwitchPhase::TakingBack:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace mangocart
