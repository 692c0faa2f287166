// Transitions between the phases of a map change.
#include "Experts/MapCoordinator.h"

#include <algorithm>

namespace mangocart {

namespace {

class CoordinatorStepper {
public:
  CoordinatorStepper(MapCoordinator &State, TimePoint Now,
                     CoordinatorEffects &Effects)
      : m_State(State), m_Now(Now), m_Effects(Effects) {}

  void operator()(const CoordinatorStarted &) { readRecord(); }

  void operator()(const RecordRead &Event) {
    if (m_State.m_Phase != CoordinatorPhase::Reading)
      return;
    if (Event.m_Record &&
        (!m_State.m_Record ||
         Event.m_Record->m_Version > m_State.m_Record->m_Version))
      m_State.m_Record = Event.m_Record;
    endChange(isCurrent(m_State.m_Change));
    m_State.m_Phase = CoordinatorPhase::Idle;
    announceRecord();
    if (m_State.m_Record && !m_State.m_HasChangedLog)
      return proposeNewVersion();
    admitJoiningRanks();
  }

  void operator()(const ChangeRequested &Event) {
    if (m_State.m_Phase != CoordinatorPhase::Idle || !m_State.m_Record ||
        Event.m_Map.m_Shape != m_State.m_Record->m_Current.m_Map->m_Shape ||
        !findInvariantViolation(Event.m_Map).empty())
      return;
    m_State.m_Change =
        PlacedMap{{nextVersion(), m_State.m_FencingNumber},
                  std::make_shared<const ExpertMap>(Event.m_Map)};
    scheduleLoading();
    startPhase(CoordinatorPhase::Loading);
  }

  void operator()(const ReportArrived &Event) {
    const MapReport &Report = Event.m_Report;
    if (Report.m_Rank >= rankCount())
      return;
    switch (Report.m_Kind) {
    case ReportKind::Join:
      return join(Report);
    case ReportKind::QueryDecision:
      return sendDecision(Report);
    case ReportKind::Loaded:
      return recordAnswer(Report, CoordinatorPhase::Loading);
    case ReportKind::Promised:
      return recordAnswer(Report, CoordinatorPhase::CollectingPromises);
    case ReportKind::Refused:
      if (concernsCurrentChange(Report))
        abortChange();
      return;
    }
  }

  void operator()(const ProposalReplied &Event) {
    if (m_State.m_Phase != CoordinatorPhase::Proposing ||
        Event.m_Version != m_State.m_Proposal->m_Version)
      return;
    if (!Event.m_IsActivated)
      return readRecord();
    m_State.m_Record = m_State.m_Proposal;
    m_State.m_Proposal.reset();
    m_State.m_HasChangedLog = true;
    m_State.m_Phase = CoordinatorPhase::Idle;
    endChange(isCurrent(m_State.m_Change));
    announceRecord();
    admitJoiningRanks();
  }

  void operator()(const CoordinatorTimerFired &) {
    if (m_State.m_Phase == CoordinatorPhase::Idle)
      return;
    const bool IsWaiting =
        m_State.m_Phase == CoordinatorPhase::Loading ||
        m_State.m_Phase == CoordinatorPhase::CollectingPromises;
    if (IsWaiting && m_Now >= m_State.m_Deadline)
      return abortChange();
    if (m_Now >= m_State.m_ResendAt)
      sendPhaseMessages();
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

  std::uint64_t incarnationOf(std::uint32_t Rank) const {
    return m_State.m_Record ? m_State.m_Record->m_Incarnations[Rank] : 0;
  }

  std::size_t rankCount() const {
    return m_State.m_InitialMap->m_Shape.m_Ranks;
  }

  void startPhase(CoordinatorPhase Phase) {
    m_State.m_Phase = Phase;
    m_State.m_HasAnswered.assign(rankCount(), false);
    sendPhaseMessages();
  }

  // Sends whatever the current phase waits to be answered.
  void sendPhaseMessages() {
    m_State.m_ResendAt = m_Now + m_State.m_Limits.m_ResendDelay;
    switch (m_State.m_Phase) {
    case CoordinatorPhase::Reading:
      m_Effects.push_back(ReadRecord{});
      break;
    case CoordinatorPhase::Proposing:
      m_Effects.push_back(
          ProposeRecord{m_State.m_Proposal, m_State.m_Replaces});
      break;
    case CoordinatorPhase::Loading:
    case CoordinatorPhase::CollectingPromises:
      sendToPendingRanks();
      break;
    case CoordinatorPhase::Idle:
      return;
    }
    m_Effects.push_back(CoordinatorWakeAt{m_State.m_ResendAt});
  }

  void sendToPendingRanks() {
    const bool IsLoading = m_State.m_Phase == CoordinatorPhase::Loading;
    for (std::uint32_t Rank = 0; Rank < rankCount(); ++Rank) {
      if (m_State.m_HasAnswered[Rank] ||
          (IsLoading && m_Now < m_State.m_LoadStartTimes[Rank]))
        continue;
      send(Rank, IsLoading ? OrderKind::Prepare : OrderKind::Hold);
    }
  }

  void send(std::uint32_t Rank, OrderKind Kind) {
    MapOrder Order;
    Order.m_Kind = Kind;
    Order.m_FencingNumber = m_State.m_FencingNumber;
    Order.m_Incarnation = incarnationOf(Rank);
    Order.m_Record = m_State.m_Record;
    if (Kind != OrderKind::Learn)
      Order.m_Map = *m_State.m_Change;
    if (Kind == OrderKind::Hold)
      Order.m_Step = m_State.m_SwitchStep;
    m_Effects.push_back(SendOrder{Rank, std::move(Order)});
  }

  void announceRecord() {
    if (!m_State.m_Record)
      return;
    for (std::uint32_t Rank = 0; Rank < rankCount(); ++Rank)
      if (incarnationOf(Rank) != 0)
        send(Rank, OrderKind::Learn);
  }

  void readRecord() {
    m_State.m_Proposal.reset();
    m_State.m_Phase = CoordinatorPhase::Reading;
    sendPhaseMessages();
  }

  // The weight store serves one rank at a time.
  void scheduleLoading() {
    const std::vector<std::uint32_t> Weights = weightsMovedByRank(
        *m_State.m_Record->m_Current.m_Map, *m_State.m_Change->m_Map);
    TimePoint From = m_Now;
    m_State.m_LoadStartTimes.clear();
    for (const std::uint32_t Count : Weights) {
      m_State.m_LoadStartTimes.push_back(From);
      From += m_State.m_Limits.m_LoadTimePerExpert * Count;
    }
    m_State.m_Deadline = From + m_State.m_Limits.m_LoadSlack;
  }

  bool concernsCurrentChange(const MapReport &Report) const {
    const bool IsWaiting =
        m_State.m_Phase == CoordinatorPhase::Loading ||
        m_State.m_Phase == CoordinatorPhase::CollectingPromises;
    return IsWaiting && Report.m_Map == m_State.m_Change->m_Id &&
           Report.m_Incarnation == incarnationOf(Report.m_Rank);
  }

  // An answer counts only from the incarnation in the log. If another one has
  // joined since, the log rejects the change.
  void recordAnswer(const MapReport &Report, CoordinatorPhase Phase) {
    if (m_State.m_Phase != Phase || !concernsCurrentChange(Report))
      return;
    m_State.m_LatestStep = std::max(m_State.m_LatestStep, Report.m_NextStep);
    m_State.m_HasAnswered[Report.m_Rank] = true;
    if (std::find(m_State.m_HasAnswered.begin(), m_State.m_HasAnswered.end(),
                  false) != m_State.m_HasAnswered.end())
      return;
    if (Phase == CoordinatorPhase::Loading)
      return requestPromises();
    proposeChange();
  }

  void requestPromises() {
    // Ranks that have loaded the map have completed the previous switch, so
    // this step is later than the record's.
    m_State.m_SwitchStep = m_State.m_LatestStep + m_State.m_Limits.m_LeadSteps;
    m_State.m_Deadline = m_Now + m_State.m_Limits.m_PromiseTimeout;
    startPhase(CoordinatorPhase::CollectingPromises);
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
    sendPhaseMessages();
  }

  // Proposes a new version with the same map. No change that any coordinator
  // has in progress on the previous version can be committed afterwards.
  void proposeNewVersion() {
    GroupRecord Next;
    if (m_State.m_Record) {
      Next = *m_State.m_Record;
      Next.m_Version = nextVersion();
    } else {
      Next.m_Version = nextVersion();
      Next.m_Current = {{Next.m_Version, m_State.m_FencingNumber},
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

  // Promises can be ended only by a new record in the log. Without promises,
  // the ranks are told to cancel and the log is read again, because another
  // coordinator may have changed the participating incarnations.
  void abortChange() {
    const bool HasPromises =
        m_State.m_Phase == CoordinatorPhase::CollectingPromises;
    if (!HasPromises)
      for (std::uint32_t Rank = 0; Rank < rankCount(); ++Rank)
        send(Rank, OrderKind::Cancel);
    endChange(false);
    if (HasPromises)
      return proposeNewVersion();
    readRecord();
  }

  void admitJoiningRanks() {
    std::erase_if(m_State.m_Joining, [&](const auto &Entry) {
      return Entry.second <= incarnationOf(Entry.first);
    });
    if (!m_State.m_Joining.empty())
      proposeNewVersion();
  }

  // A rank joins by a new version of the record, so that no change that relies
  // on the promise of an earlier incarnation can be committed later.
  void join(const MapReport &Report) {
    if (m_State.m_Record &&
        Report.m_Incarnation == incarnationOf(Report.m_Rank))
      return send(Report.m_Rank, OrderKind::Learn);
    std::uint64_t &Wanted = m_State.m_Joining[Report.m_Rank];
    Wanted = std::max(Wanted, Report.m_Incarnation);
    if (m_State.m_Phase == CoordinatorPhase::Loading ||
        m_State.m_Phase == CoordinatorPhase::CollectingPromises)
      abortChange();
    if (m_State.m_Phase == CoordinatorPhase::Idle)
      admitJoiningRanks();
  }

  void sendDecision(const MapReport &Report) {
    if (!m_State.m_Record ||
        Report.m_Incarnation != incarnationOf(Report.m_Rank))
      return;
    if (m_State.m_Record->m_Version >= Report.m_Map.m_Version)
      return send(Report.m_Rank, OrderKind::Learn);
    m_State.m_LastVersion =
        std::max(m_State.m_LastVersion, Report.m_Map.m_Version);
    // The promise belongs to a change that this coordinator doesn't continue.
    if (m_State.m_Phase == CoordinatorPhase::Loading)
      abortChange();
    if (m_State.m_Phase == CoordinatorPhase::Idle)
      proposeNewVersion();
  }

  MapCoordinator &m_State;
  TimePoint m_Now;
  CoordinatorEffects &m_Effects;
};

} // namespace

MapCoordinator makeCoordinator(std::uint64_t FencingNumber,
                               std::shared_ptr<const ExpertMap> InitialMap,
                               const CoordinatorLimits &Limits) {
  MapCoordinator State;
  State.m_Limits = Limits;
  State.m_FencingNumber = FencingNumber;
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
