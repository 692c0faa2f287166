// Phases of a change of the map.
#include "Experts/MapCoordinator.h"

#include <algorithm>

namespace mangocart {

namespace {

class CoordinatorStepper {
public:
  CoordinatorStepper(MapCoordinator &State, TimePoint Now,
                     CoordinatorEffects &Effects)
      : m_State(State), m_Now(Now), m_Effects(Effects) {}

  void operator()(const CoordinatorStarted &) { read(); }

  void operator()(const RecordRead &Event) {
    if (m_State.m_Phase != CoordinatorPhase::Reading)
      return;
    if (Event.m_Record &&
        (!m_State.m_Record ||
         Event.m_Record->m_Version > m_State.m_Record->m_Version))
      m_State.m_Record = Event.m_Record;
    endChange(isCurrent(m_State.m_Change));
    m_State.m_Phase = CoordinatorPhase::Idle;
    announce();
    if (m_State.m_Record && !m_State.m_HasChangedLog)
      return renew();
    takeInRanks();
  }

  void operator()(const ChangeAsked &Event) {
    if (m_State.m_Phase != CoordinatorPhase::Idle || !m_State.m_Record ||
        Event.m_Map.m_Shape != m_State.m_Record->m_Current.m_Map->m_Shape ||
        !findFault(Event.m_Map).empty())
      return;
    m_State.m_Change =
        PlacedMap{{nextVersion(), m_State.m_Number},
                  std::make_shared<const ExpertMap>(Event.m_Map)};
    planLoading();
    startPhase(CoordinatorPhase::Loading);
  }

  void operator()(const ReportArrived &Event) {
    const MapReport &Report = Event.m_Report;
    if (Report.m_Rank >= rankCount())
      return;
    switch (Report.m_Kind) {
    case ReportKind::Join:
      return join(Report);
    case ReportKind::Ask:
      return tellDecision(Report);
    case ReportKind::Loaded:
      return noteDone(Report, CoordinatorPhase::Loading);
    case ReportKind::Promised:
      return noteDone(Report, CoordinatorPhase::Promising);
    case ReportKind::Refused:
      if (isAboutChange(Report))
        callOff();
      return;
    }
  }

  void operator()(const ProposalReplied &Event) {
    if (m_State.m_Phase != CoordinatorPhase::Proposing ||
        Event.m_Version != m_State.m_Proposal->m_Version)
      return;
    if (!Event.m_IsActivated)
      return read();
    m_State.m_Record = m_State.m_Proposal;
    m_State.m_Proposal.reset();
    m_State.m_HasChangedLog = true;
    m_State.m_Phase = CoordinatorPhase::Idle;
    endChange(isCurrent(m_State.m_Change));
    announce();
    takeInRanks();
  }

  void operator()(const CoordinatorTimePassed &) {
    if (m_State.m_Phase == CoordinatorPhase::Idle)
      return;
    const bool IsWaiting = m_State.m_Phase == CoordinatorPhase::Loading ||
                           m_State.m_Phase == CoordinatorPhase::Promising;
    if (IsWaiting && m_Now >= m_State.m_GiveUpAt)
      return callOff();
    if (m_Now >= m_State.m_RepeatAt)
      repeat();
  }

private:
  std::uint64_t nextVersion() {
    if (m_State.m_Record)
      m_State.m_LastVersion =
          std::max(m_State.m_LastVersion, m_State.m_Record->m_Version);
    return ++m_State.m_LastVersion;
  }

  bool isCurrent(const std::optional<PlacedMap> &Map) const {
    return Map && m_State.m_Record && m_State.m_Record->m_Current == *Map;
  }

  std::uint64_t member(std::uint32_t Rank) const {
    return m_State.m_Record ? m_State.m_Record->m_Incarnations[Rank] : 0;
  }

  std::size_t rankCount() const {
    return m_State.m_InitialMap->m_Shape.m_Ranks;
  }

  void startPhase(CoordinatorPhase Phase) {
    m_State.m_Phase = Phase;
    m_State.m_IsDone.assign(rankCount(), false);
    repeat();
  }

  // Sends what the phase waits for an answer to.
  void repeat() {
    m_State.m_RepeatAt = m_Now + m_State.m_Limits.m_RepeatDelay;
    switch (m_State.m_Phase) {
    case CoordinatorPhase::Reading:
      m_Effects.push_back(ReadRecord{});
      break;
    case CoordinatorPhase::Proposing:
      m_Effects.push_back(
          ProposeRecord{m_State.m_Proposal, m_State.m_Replaces});
      break;
    case CoordinatorPhase::Loading:
    case CoordinatorPhase::Promising:
      sendToUndone();
      break;
    case CoordinatorPhase::Idle:
      return;
    }
    m_Effects.push_back(CoordinatorWakeAt{m_State.m_RepeatAt});
  }

  void sendToUndone() {
    const bool IsLoading = m_State.m_Phase == CoordinatorPhase::Loading;
    for (std::uint32_t Rank = 0; Rank < rankCount(); ++Rank) {
      if (m_State.m_IsDone[Rank] ||
          (IsLoading && m_Now < m_State.m_LoadFrom[Rank]))
        continue;
      send(Rank, IsLoading ? OrderKind::Prepare : OrderKind::Hold);
    }
  }

  void send(std::uint32_t Rank, OrderKind Kind) {
    MapOrder Order;
    Order.m_Kind = Kind;
    Order.m_Number = m_State.m_Number;
    Order.m_Incarnation = member(Rank);
    Order.m_Record = m_State.m_Record;
    if (Kind != OrderKind::Learn)
      Order.m_Map = *m_State.m_Change;
    if (Kind == OrderKind::Hold)
      Order.m_Step = m_State.m_SwitchStep;
    m_Effects.push_back(SendOrder{Rank, std::move(Order)});
  }

  void announce() {
    if (!m_State.m_Record)
      return;
    for (std::uint32_t Rank = 0; Rank < rankCount(); ++Rank)
      if (member(Rank) != 0)
        send(Rank, OrderKind::Learn);
  }

  void read() {
    m_State.m_Proposal.reset();
    m_State.m_Phase = CoordinatorPhase::Reading;
    repeat();
  }

  // The weight store serves one rank after the other.
  void planLoading() {
    const std::vector<std::uint32_t> Weights = weightsMovedByRank(
        *m_State.m_Record->m_Current.m_Map, *m_State.m_Change->m_Map);
    TimePoint From = m_Now;
    m_State.m_LoadFrom.clear();
    for (const std::uint32_t Count : Weights) {
      m_State.m_LoadFrom.push_back(From);
      From += m_State.m_Limits.m_TimePerWeights * Count;
    }
    m_State.m_GiveUpAt = From + m_State.m_Limits.m_LoadSlack;
  }

  bool isAboutChange(const MapReport &Report) const {
    const bool IsWaiting = m_State.m_Phase == CoordinatorPhase::Loading ||
                           m_State.m_Phase == CoordinatorPhase::Promising;
    return IsWaiting && Report.m_Map == m_State.m_Change->m_Id &&
           Report.m_Incarnation == member(Report.m_Rank);
  }

  // An answer counts only from the incarnation that the log names: the log
  // then refuses the change if another one has joined since.
  void noteDone(const MapReport &Report, CoordinatorPhase Phase) {
    if (m_State.m_Phase != Phase || !isAboutChange(Report))
      return;
    m_State.m_NewestStep = std::max(m_State.m_NewestStep, Report.m_NextStep);
    m_State.m_IsDone[Report.m_Rank] = true;
    if (std::find(m_State.m_IsDone.begin(), m_State.m_IsDone.end(), false) !=
        m_State.m_IsDone.end())
      return;
    if (Phase == CoordinatorPhase::Loading)
      return askForPromises();
    proposeChange();
  }

  void askForPromises() {
    // Ranks that have loaded the map have done the switch before, so this step
    // comes after the record's.
    m_State.m_SwitchStep = m_State.m_NewestStep + m_State.m_Limits.m_LeadSteps;
    m_State.m_GiveUpAt = m_Now + m_State.m_Limits.m_PromiseTime;
    startPhase(CoordinatorPhase::Promising);
  }

  void proposeChange() {
    GroupRecord Next = *m_State.m_Record;
    Next.m_Version = m_State.m_Change->m_Id.m_Version;
    Next.m_FromStep = m_State.m_SwitchStep;
    Next.m_Previous = m_State.m_Record->m_Current;
    Next.m_Current = *m_State.m_Change;
    propose(std::move(Next));
  }

  void propose(GroupRecord Next) {
    m_State.m_Replaces = m_State.m_Record ? m_State.m_Record->m_Version : 0;
    m_State.m_Proposal = std::make_shared<const GroupRecord>(std::move(Next));
    m_State.m_Phase = CoordinatorPhase::Proposing;
    repeat();
  }

  // A new version of the same map: what any coordinator has under way on the
  // version before can't be committed any more.
  void renew() {
    GroupRecord Next;
    if (m_State.m_Record) {
      Next = *m_State.m_Record;
      Next.m_Version = nextVersion();
    } else {
      Next.m_Version = nextVersion();
      Next.m_Current = {{Next.m_Version, m_State.m_Number},
                        m_State.m_InitialMap};
      Next.m_Incarnations.assign(rankCount(), 0);
    }
    for (const auto &[Rank, Incarnation] : m_State.m_Joining)
      Next.m_Incarnations[Rank] =
          std::max(Next.m_Incarnations[Rank], Incarnation);
    m_State.m_Joining.clear();
    propose(std::move(Next));
  }

  void endChange(bool IsActivated) {
    if (m_State.m_Change)
      m_Effects.push_back(ChangeEnded{m_State.m_Change->m_Id, IsActivated});
    m_State.m_Change.reset();
  }

  // Promises end with the log. Without any, the ranks are told, and the log is
  // read again: another coordinator may have changed who takes part.
  void callOff() {
    const bool HasPromises = m_State.m_Phase == CoordinatorPhase::Promising;
    if (!HasPromises)
      for (std::uint32_t Rank = 0; Rank < rankCount(); ++Rank)
        send(Rank, OrderKind::Cancel);
    endChange(false);
    if (HasPromises)
      return renew();
    read();
  }

  void takeInRanks() {
    std::erase_if(m_State.m_Joining, [&](const auto &Entry) {
      return Entry.second <= member(Entry.first);
    });
    if (!m_State.m_Joining.empty())
      renew();
  }

  // A rank joins by a new version of the record, so that no change that counts
  // on the promise of an earlier incarnation can follow.
  void join(const MapReport &Report) {
    if (m_State.m_Record && Report.m_Incarnation == member(Report.m_Rank))
      return send(Report.m_Rank, OrderKind::Learn);
    std::uint64_t &Wanted = m_State.m_Joining[Report.m_Rank];
    Wanted = std::max(Wanted, Report.m_Incarnation);
    if (m_State.m_Phase == CoordinatorPhase::Loading ||
        m_State.m_Phase == CoordinatorPhase::Promising)
      callOff();
    if (m_State.m_Phase == CoordinatorPhase::Idle)
      takeInRanks();
  }

  void tellDecision(const MapReport &Report) {
    if (!m_State.m_Record || Report.m_Incarnation != member(Report.m_Rank))
      return;
    if (m_State.m_Record->m_Version >= Report.m_Map.m_Version)
      return send(Report.m_Rank, OrderKind::Learn);
    m_State.m_LastVersion =
        std::max(m_State.m_LastVersion, Report.m_Map.m_Version);
    // The promise is of a change that no one here carries on.
    if (m_State.m_Phase == CoordinatorPhase::Loading)
      callOff();
    if (m_State.m_Phase == CoordinatorPhase::Idle)
      renew();
  }

  MapCoordinator &m_State;
  TimePoint m_Now;
  CoordinatorEffects &m_Effects;
};

} // namespace

MapCoordinator startCoordinator(std::uint64_t Number,
                                std::shared_ptr<const ExpertMap> InitialMap,
                                const CoordinatorLimits &Limits) {
  MapCoordinator State;
  State.m_Limits = Limits;
  State.m_Number = Number;
  State.m_InitialMap = std::move(InitialMap);
  return State;
}

CoordinatorEffects step(MapCoordinator &State, const CoordinatorEvent &Event,
                        TimePoint Now) {
  CoordinatorEffects Effects;
  std::visit(CoordinatorStepper(State, Now, Effects), Event);
  return Effects;
}

} // namespace mangocart
