// Phases of a switch.
#include "Experts/GroupSwitch.h"

#include <algorithm>
#include <cmath>

namespace mangocart {

namespace {

using Reports = std::vector<RankReport>;
using Orders = std::vector<RankOrder>;

class Step {
public:
  // Ranks that gave no report have an empty one and are marked as missing.
  Step(GroupSwitch &State, const Reports &Ranks, std::vector<bool> IsMissing,
       const SwitchSupplies &Supplies, TimePoint Now)
      : m_S(State), m_Ranks(Ranks), m_IsMissing(std::move(IsMissing)),
        m_Supplies(Supplies), m_Now(Now) {}

  Orders run() {
    if (!enterEpoch())
      return {};
    m_S.m_AbsentRank.reset();
    switch (m_S.m_Phase) {
    case SwitchPhase::Idle:
      lookForForeignHold();
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
      takeBack();
      break;
    }
    return std::move(m_Orders);
  }

  Orders runWithout(const std::optional<SwitchNotice> &Told) {
    if (!enterEpoch())
      return {};
    switch (m_S.m_Phase) {
    case SwitchPhase::Idle:
      lookForAbsentCoordinator(Told);
      break;
    case SwitchPhase::Preparing:
      if (isOver(m_S.m_Limits.m_PrepareLimit))
        reset();
      break;
    case SwitchPhase::Holding:
      abandonHold();
      break;
    case SwitchPhase::Arming:
      arm();
      break;
    case SwitchPhase::Releasing:
      if (isHeldByUs())
        release();
      break;
    case SwitchPhase::Switching:
      break;
    case SwitchPhase::TakingBack:
      takeBackWithout();
      break;
    }
    return std::move(m_Orders);
  }

private:
  // False while the group is forming: whatever was prepared, armed or held is
  // gone.
  bool enterEpoch() {
    noteRate();
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
    if (m_S.m_Epoch != Any->m_Epoch) {
      reset();
      m_S.m_LastPass = 0;
    }
    m_S.m_Epoch = Any->m_Epoch;
    m_S.m_Ordered.resize(m_Ranks.size());
    m_S.m_SeenArmed.resize(m_Ranks.size());
    return true;
  }

  bool isAnyMissing() const {
    return std::find(m_IsMissing.begin(), m_IsMissing.end(), true) !=
           m_IsMissing.end();
  }

  // Whether the test holds for all ranks that gave a report.
  template <class Test> bool allPresent(Test Holds) const {
    for (std::uint32_t Rank = 0; Rank < m_Ranks.size(); ++Rank)
      if (!m_IsMissing[Rank] && !Holds(m_Ranks[Rank]))
        return false;
    return true;
  }

  void enter(SwitchPhase Phase) {
    m_S.m_Phase = Phase;
    m_S.m_PhaseSince = m_Now;
    // Another kind of order may go at once.
    m_S.m_Ordered.assign(m_Ranks.size(), TimePoint());
  }

  void reset() {
    enter(SwitchPhase::Idle);
    m_S.m_Pass = 0;
    m_S.m_AskedPasses.clear();
    m_S.m_AbandonedPass = 0;
    m_S.m_SeenArmed.assign(m_Ranks.size(), false);
    m_S.m_AbsentRank.reset();
    m_S.m_ForeignPass = 0;
    m_S.m_Map.reset();
    m_S.m_BarrierMap.reset();
  }

  bool isOver(Duration Limit) const { return m_Now - m_S.m_PhaseSince > Limit; }

  void noteRate() {
    constexpr Duration Span = std::chrono::milliseconds(500);
    constexpr double LeastRate = 2.0;
    const std::uint64_t Pass = newestPass();
    if (m_S.m_RateSince == TimePoint() || Pass < m_S.m_RatePass) {
      m_S.m_RatePass = Pass;
      m_S.m_RateSince = m_Now;
      return;
    }
    const Duration Passed = m_Now - m_S.m_RateSince;
    if (Passed < Span)
      return;
    const double Rate = static_cast<double>(Pass - m_S.m_RatePass) /
                        std::chrono::duration<double>(Passed).count();
    m_S.m_PassesPerSecond = std::max(Rate, LeastRate);
    m_S.m_RatePass = Pass;
    m_S.m_RateSince = m_Now;
  }

  std::uint64_t newestPass() const {
    std::uint64_t Newest = 0;
    for (const RankReport &R : m_Ranks)
      Newest = std::max(Newest, R.m_Pass);
    return Newest;
  }

  // An order whose effect doesn't show yet; at most one each m_RepeatAfter.
  void order(std::uint32_t Rank, RankOrderKind Kind, std::uint64_t Version,
             std::shared_ptr<const ExpertMap> Map = nullptr) {
    TimePoint &Last = m_S.m_Ordered[Rank];
    if (m_Ranks[Rank].m_IsBusy ||
        (Last != TimePoint() && m_Now - Last < m_S.m_Limits.m_RepeatAfter))
      return;
    // Copies take their time; the other orders show at once.
    if (Last != TimePoint() && Kind != RankOrderKind::Prepare)
      m_S.m_LastRepeat = m_Now;
    Last = m_Now;
    m_Orders.push_back({Rank, Kind, Version, m_S.m_Pass, m_S.m_Epoch,
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
    return R.m_Armed != 0 && R.m_Armed == m_S.m_Version;
  }
  bool areAllArmedAlike() const {
    const std::uint64_t Version = m_Ranks.front().m_Armed;
    return Version != 0 && std::all_of(m_Ranks.begin(), m_Ranks.end(),
                                       [&](const RankReport &R) {
                                         return R.m_Armed == Version;
                                       });
  }

  void prepare() {
    const auto IsDone = [&](const RankReport &R) {
      return R.m_Prepared == m_S.m_Version;
    };
    // A hold that isn't ours: its owner may be about to arm.
    const bool Foreign =
        std::any_of(m_Ranks.begin(), m_Ranks.end(), [](const RankReport &R) {
          return R.m_HeldPass != 0 || R.m_Armed != 0;
        });
    if (Foreign || isOver(m_S.m_Limits.m_PrepareLimit))
      return reset();
    const bool All = forAll(IsDone, [&](std::uint32_t Rank) {
      order(Rank, RankOrderKind::Prepare, m_S.m_Version, m_S.m_Map);
    });
    if (!All)
      return;
    enter(SwitchPhase::Holding);
    m_S.m_Pass = 0;
    hold();
  }

  Duration lead() const {
    return areOrdersUnanswered(m_S, m_Now) ? m_S.m_Limits.m_LongLead
                                           : m_S.m_Limits.m_Lead;
  }

  void hold() {
    const RankReport &Holder = m_Ranks[m_S.m_HoldRank];
    // Somebody else has prepared another map: what is held is looked after like
    // any other hold.
    if (!isOursAlone())
      return reset();
    if (m_S.m_AbandonedPass != 0 && Holder.m_HeldPass == m_S.m_AbandonedPass)
      return abandonHold();
    if (wasAskedFor(Holder.m_HeldPass)) {
      m_S.m_Pass = Holder.m_HeldPass;
      enter(SwitchPhase::Arming);
      return arm();
    }
    // Somebody else holds here, or a higher version has been prepared.
    if (Holder.m_HeldPass != 0 || isOver(m_S.m_Limits.m_PrepareLimit))
      return reset();
    // Nothing is armed yet: a pass that has gone by without the hold is given
    // up for a later one.
    if (newestPass() + 1 >= m_S.m_Pass) {
      const auto Lead = static_cast<std::uint64_t>(
          std::ceil(m_S.m_PassesPerSecond *
                    std::chrono::duration<double>(lead()).count()));
      m_S.m_Pass = std::max(newestPass() +
                                std::max(m_S.m_Limits.m_LeastLeadPasses, Lead),
                            m_S.m_LastPass + 1);
      m_S.m_LastPass = m_S.m_Pass;
      m_S.m_AskedPasses.push_back(m_S.m_Pass);
      m_S.m_Ordered[m_S.m_HoldRank] = TimePoint();
    }
    order(m_S.m_HoldRank, RankOrderKind::Hold, m_S.m_Version);
  }

  bool wasAskedFor(std::uint64_t Pass) const {
    const std::vector<std::uint64_t> &Asked = m_S.m_AskedPasses;
    return std::find(Asked.begin(), Asked.end(), Pass) != Asked.end();
  }

  bool isHeldByUs() const {
    return !m_IsMissing[m_S.m_HoldRank] && m_S.m_Pass != 0 &&
           m_Ranks[m_S.m_HoldRank].m_HeldPass == m_S.m_Pass;
  }

  bool isOursAlone() const {
    return allPresent([&](const RankReport &R) {
      return R.m_Prepared == m_S.m_Version && R.m_Armed == 0;
    });
  }

  // While no rank has been told to arm, the hold protects nothing, and a rank
  // that doesn't answer may stay away for long. Another coordinator may have
  // asked for the same pass: where all are prepared for this change, it can't
  // arm any.
  void abandonHold() {
    const RankReport &Holder = m_Ranks[m_S.m_HoldRank];
    if (m_IsMissing[m_S.m_HoldRank] || !isOursAlone() ||
        !wasAskedFor(Holder.m_HeldPass))
      return;
    // Another kind of order may go at once.
    if (m_S.m_AbandonedPass != Holder.m_HeldPass)
      m_S.m_Ordered[m_S.m_HoldRank] = TimePoint();
    m_S.m_AbandonedPass = m_S.m_Pass = Holder.m_HeldPass;
    order(m_S.m_HoldRank, RankOrderKind::Release, m_S.m_Version);
    // Another pass is asked for.
    m_S.m_Pass = 0;
  }

  // A rank that doesn't answer counts as armed if it was seen so: it is
  // disarmed only after another rank was barred, which then isn't armed.
  void arm() {
    bool AreOthersArmed = true;
    for (std::uint32_t Rank = 0; Rank < m_Ranks.size(); ++Rank) {
      if (!m_IsMissing[Rank])
        m_S.m_SeenArmed[Rank] = isArmed(m_Ranks[Rank]);
      if (m_S.m_SeenArmed[Rank] || Rank == m_S.m_OwnRank)
        continue;
      AreOthersArmed = false;
      if (!m_IsMissing[Rank])
        order(Rank, RankOrderKind::Arm, m_S.m_Version);
    }
    if (AreOthersArmed && m_S.m_SeenArmed[m_S.m_OwnRank]) {
      enter(SwitchPhase::Releasing);
      if (!isAnyMissing() || isHeldByUs())
        release();
      return;
    }
    if (AreOthersArmed && !m_IsMissing[m_S.m_OwnRank])
      order(m_S.m_OwnRank, RankOrderKind::Arm, m_S.m_Version);
    // A rank with a higher version can't be armed any more.
    const bool Hopeless = !allPresent([&](const RankReport &R) {
      return R.m_Armed != 0 || R.m_Prepared == m_S.m_Version;
    });
    if ((Hopeless || isOver(m_S.m_Limits.m_ArmLimit)) && !isAnyMissing())
      startTakingBack();
  }

  // Also after the release: a hold that was sent twice may come late and stop
  // the group again.
  void release() {
    if (isHeldByUs()) {
      order(m_S.m_HoldRank, RankOrderKind::Release, m_S.m_Version);
      return;
    }
    // What is armed or held from now on is somebody else's.
    const bool Begun = newestPass() >= m_S.m_Pass;
    const auto IsHeld = [](const RankReport &R) { return R.m_HeldPass != 0; };
    const bool Held = std::any_of(m_Ranks.begin(), m_Ranks.end(), IsHeld);
    const bool Armed =
        std::any_of(m_Ranks.begin(), m_Ranks.end(),
                    [](const RankReport &R) { return R.m_Armed != 0; });
    // Another hold that stands for long is looked after like any other.
    const bool Blocked = Held && isOver(m_S.m_Limits.m_ForeignHoldLimit);
    if (Begun || (!Armed && !Held) || Blocked)
      reset();
    else if (m_S.m_Phase == SwitchPhase::Releasing)
      enter(SwitchPhase::Switching);
  }

  void startTakingBack() {
    if (!m_Supplies.m_MapInForce)
      return;
    m_S.m_Barrier = m_Supplies.m_FreshVersion;
    m_S.m_BarrierMap = m_Supplies.m_MapInForce;
    enter(SwitchPhase::TakingBack);
    takeBack();
  }

  void takeBack() {
    // The pass has begun without us, or all ranks are armed with one version,
    // this or another coordinator's: a pass begins with one map either way.
    if (newestPass() >= m_S.m_Pass)
      return reset();
    if (areAllArmedAlike())
      return releaseOrEnd();
    const auto IsBarred = [&](const RankReport &R) { return isBarred(R); };
    const auto Bar = [&](std::uint32_t Rank) {
      order(Rank, RankOrderKind::Prepare, m_S.m_Barrier, m_S.m_BarrierMap);
    };
    // First the ranks that aren't armed: with one of them barred, all can
    // never be armed.
    const bool AnyBarred =
        !allPresent([&](const RankReport &R) { return !isBarred(R); });
    const bool All = forAll(IsBarred, [&](std::uint32_t Rank) {
      const std::uint64_t Armed = m_Ranks[Rank].m_Armed;
      if (Armed == 0)
        Bar(Rank);
      else if (AnyBarred)
        order(Rank, RankOrderKind::Disarm, Armed);
    });
    if (All)
      releaseOrEnd();
  }

  // A higher version bars as well: another coordinator's.
  bool isBarred(const RankReport &R) const {
    return std::max(R.m_Prepared, R.m_MapVersion) >= m_S.m_Barrier &&
           R.m_Armed == 0;
  }

  void releaseOrEnd() {
    if (m_Ranks[m_S.m_HoldRank].m_HeldPass == m_S.m_Pass)
      order(m_S.m_HoldRank, RankOrderKind::Release, m_S.m_Version);
    else
      reset();
  }

  // The rank of a hold that has been seen for the time at least.
  std::optional<std::uint32_t> standingHold(Duration Least) {
    const auto Holder =
        std::find_if(m_Ranks.begin(), m_Ranks.end(),
                     [](const RankReport &R) { return R.m_HeldPass != 0; });
    if (Holder == m_Ranks.end()) {
      m_S.m_ForeignPass = 0;
      return std::nullopt;
    }
    if (m_S.m_ForeignPass != Holder->m_HeldPass) {
      m_S.m_ForeignPass = Holder->m_HeldPass;
      m_S.m_ForeignSince = m_Now;
      return std::nullopt;
    }
    if (m_Now - m_S.m_ForeignSince < Least)
      return std::nullopt;
    return static_cast<std::uint32_t>(Holder - m_Ranks.begin());
  }

  void takeOverHold(std::uint32_t Holder) {
    m_S.m_HoldRank = Holder;
    m_S.m_Pass = m_Ranks[Holder].m_HeldPass;
    m_S.m_LastPass = std::max(m_S.m_LastPass, m_S.m_Pass);
  }

  void lookForForeignHold() {
    const auto Holder = standingHold(m_S.m_Limits.m_ForeignHoldLimit);
    if (!Holder)
      return;
    takeOverHold(*Holder);
    const auto Armed =
        std::find_if(m_Ranks.begin(), m_Ranks.end(),
                     [](const RankReport &R) { return R.m_Armed != 0; });
    // Armed nowhere: no version can be armed that isn't prepared, and the
    // barrier replaces what is.
    m_S.m_Version = Armed == m_Ranks.end() ? 0 : Armed->m_Armed;
    if (areAllArmedAlike())
      return enter(SwitchPhase::Releasing);
    startTakingBack();
  }

  bool areAllPresentArmed() const {
    return allPresent([](const RankReport &R) { return R.m_Armed != 0; });
  }

  bool isMissingAlone(std::uint32_t Rank) const {
    return Rank < m_IsMissing.size() && m_IsMissing[Rank] &&
           std::count(m_IsMissing.begin(), m_IsMissing.end(), true) == 1;
  }

  // The coordinator of the hold can't be reached: its rank isn't armed while
  // some other rank isn't, unless something else is going on than its switch.
  void lookForAbsentCoordinator(const std::optional<SwitchNotice> &Told) {
    const auto Holder = standingHold(m_S.m_Limits.m_AbsentHoldLimit);
    if (!Holder || !Told || Told->m_Epoch != m_S.m_Epoch ||
        !isMissingAlone(Told->m_CoordinatorRank))
      return;
    m_S.m_Version = Told->m_Version;
    m_S.m_Barrier = m_Supplies.m_FreshVersion;
    if (!isOnlyOursUnderWay() || areAllPresentArmed())
      return;
    takeOverHold(*Holder);
    startTakingBack();
    if (m_S.m_Phase == SwitchPhase::TakingBack)
      m_S.m_AbsentRank = Told->m_CoordinatorRank;
  }

  bool isOnlyOursUnderWay() const {
    return allPresent([&](const RankReport &R) {
      return R.m_Armed == m_S.m_Version ||
             (R.m_Armed == 0 && R.m_Prepared == m_S.m_Version) || isBarred(R);
    });
  }

  void takeBackWithout() {
    // Once all others are armed, the absent rank may be, too.
    if (m_S.m_AbsentRank && isMissingAlone(*m_S.m_AbsentRank) &&
        isOnlyOursUnderWay() && !areAllPresentArmed())
      takeBack();
  }

  GroupSwitch &m_S;
  const Reports &m_Ranks;
  const std::vector<bool> m_IsMissing;
  const SwitchSupplies &m_Supplies;
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

bool areOrdersUnanswered(const GroupSwitch &State, TimePoint Now) {
  return State.m_LastRepeat &&
         Now - *State.m_LastRepeat < State.m_Limits.m_RepeatMemory;
}

bool isSettled(const Reports &Ranks) {
  return !Ranks.empty() &&
         std::all_of(Ranks.begin(), Ranks.end(), [&](const RankReport &R) {
           return R.m_IsOpen && R.m_Epoch == Ranks.front().m_Epoch &&
                  R.m_MapVersion == Ranks.front().m_MapVersion &&
                  R.m_Armed == 0 && R.m_HeldPass == 0;
         });
}

void begin(GroupSwitch &State, std::uint64_t Version,
           std::shared_ptr<const ExpertMap> Map, const Reports &Ranks,
           TimePoint Now) {
  State.m_Phase = SwitchPhase::Preparing;
  State.m_PhaseSince = Now;
  State.m_Epoch = Ranks.front().m_Epoch;
  State.m_Version = Version;
  State.m_Map = std::move(Map);
  State.m_Pass = 0;
  State.m_AskedPasses.clear();
  State.m_AbandonedPass = 0;
  State.m_SeenArmed.assign(Ranks.size(), false);
  // The same for all coordinators, as a rank has one hold at a time.
  const auto Last = static_cast<std::uint32_t>(Ranks.size() - 1);
  State.m_HoldRank = State.m_OwnRank == Last ? 0 : Last;
  State.m_Ordered.assign(Ranks.size(), TimePoint());
}

std::vector<RankOrder> step(GroupSwitch &State, const Reports &Ranks,
                            const SwitchSupplies &Supplies, TimePoint Now) {
  return Step(State, Ranks, std::vector<bool>(Ranks.size(), false), Supplies,
              Now)
      .run();
}

std::vector<RankOrder>
stepWithout(GroupSwitch &State,
            const std::vector<std::optional<RankReport>> &Found,
            const std::optional<SwitchNotice> &Told,
            const SwitchSupplies &Supplies, TimePoint Now) {
  Reports Ranks;
  std::vector<bool> IsMissing;
  for (const std::optional<RankReport> &Each : Found) {
    Ranks.push_back(Each.value_or(RankReport()));
    IsMissing.push_back(!Each);
  }
  return Step(State, Ranks, std::move(IsMissing), Supplies, Now)
      .runWithout(Told);
}

std::optional<SwitchNotice> noticeOf(const GroupSwitch &State) {
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
