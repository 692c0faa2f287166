// Processing of orders, promises and step starts at one rank.
#include "Experts/RankParticipant.h"

#include <algorithm>

namespace mangocart {

namespace {

class ParticipantStepper {
public:
  ParticipantStepper(RankParticipant &Participant, TimePoint Now,
                     ParticipantEffects &Effects)
      : m_Participant(Participant), m_Now(Now), m_Effects(Effects) {}

  void operator()(const OrderArrived &Event) {
    const MapOrder &Order = Event.m_Order;
    if (Order.m_Incarnation != m_Participant.m_Incarnation)
      return;
    if (Order.m_FencingNumber < m_Participant.m_FencingNumber) {
      m_Effects.push_back(OrderRefused{Order.m_FencingNumber});
      return;
    }
    m_Participant.m_FencingNumber = Order.m_FencingNumber;
    learn(Order.m_Record);
    if (!hasJoined(m_Participant))
      return;
    switch (Order.m_Kind) {
    case OrderKind::Learn:
      return;
    case OrderKind::Prepare:
      return prepare(Order);
    case OrderKind::Hold:
      return hold(Order);
    case OrderKind::Cancel:
      return cancel(Order);
    }
  }

  void operator()(const MapLoaded &Event) {
    if (Event.m_Map != m_Participant.m_Loading)
      return;
    m_Participant.m_Standby = Event.m_Map;
    m_Participant.m_Loading = {};
    if (m_Participant.m_Prepared &&
        m_Participant.m_Prepared->m_Id == Event.m_Map)
      report(ReportKind::Loaded, Event.m_Map);
  }

  void operator()(const StepRequested &Event) {
    if (Event.m_Step == m_Participant.m_NextStep)
      m_Participant.m_IsStepRequested = true;
  }

  void operator()(const ParticipantTimerFired &) {}

  // Performs the actions that any event may have enabled.
  void advance() {
    if (m_Participant.m_IsRetired)
      return;
    if (hasJoined(m_Participant)) {
      loadRequiredMaps();
      startStep();
    }
    queryIfDue();
  }

private:
  void report(ReportKind Kind, const MapId &Map) {
    m_Effects.push_back(
        SendReport{{Kind, m_Participant.m_Rank, m_Participant.m_Incarnation,
                    Map, m_Participant.m_NextStep}});
  }

  // A promise ends with a record of its version or a later one: the log has
  // then accepted the map or can no longer accept it.
  void learn(const GroupRecordPtr &Record) {
    if (!Record || m_Participant.m_Rank >= Record->m_Incarnations.size() ||
        (m_Participant.m_Record &&
         Record->m_Version <= m_Participant.m_Record->m_Version))
      return;
    const std::uint64_t Holder = Record->m_Incarnations[m_Participant.m_Rank];
    if (Holder < m_Participant.m_Incarnation)
      return;
    m_Participant.m_Record = Record;
    m_Participant.m_IsRetired = Holder > m_Participant.m_Incarnation;
    if (m_Participant.m_Hold &&
        Record->m_Version >= m_Participant.m_Hold->m_Map.m_Version)
      m_Participant.m_Hold.reset();
    if (m_Participant.m_Prepared &&
        m_Participant.m_Prepared->m_Id.m_Version <= Record->m_Version)
      m_Participant.m_Prepared.reset();
  }

  // The standby slot is free only after the last switch.
  bool isStandbyFree() const {
    return !m_Participant.m_Hold &&
           m_Participant.m_Active == m_Participant.m_Record->m_Current.m_Id;
  }

  bool isOutdated(const MapOrder &Order) const {
    return Order.m_Map.m_Id.m_Version <= m_Participant.m_Record->m_Version;
  }

  void prepare(const MapOrder &Order) {
    const MapId &Id = Order.m_Map.m_Id;
    if (m_Participant.m_Prepared && m_Participant.m_Prepared->m_Id == Id) {
      if (m_Participant.m_Standby == Id)
        report(ReportKind::Loaded, Id);
      return;
    }
    if (isOutdated(Order) || !isStandbyFree())
      return report(ReportKind::Refused, Id);
    m_Participant.m_Prepared = Order.m_Map;
    load(Order.m_Map);
  }

  void hold(const MapOrder &Order) {
    const StepHold Wanted{Order.m_Map.m_Id, Order.m_Step};
    if (m_Participant.m_Hold == Wanted)
      return report(ReportKind::Promised, Wanted.m_Map);
    const bool IsLoaded = m_Participant.m_Standby == Wanted.m_Map;
    if (m_Participant.m_Hold || isOutdated(Order) || !IsLoaded ||
        m_Participant.m_NextStep > Wanted.m_Step)
      return report(ReportKind::Refused, Wanted.m_Map);
    m_Participant.m_Hold = Wanted;
    report(ReportKind::Promised, Wanted.m_Map);
  }

  void cancel(const MapOrder &Order) {
    if (!m_Participant.m_Hold && m_Participant.m_Prepared == Order.m_Map)
      m_Participant.m_Prepared.reset();
  }

  void load(const PlacedMap &Map) {
    m_Participant.m_Standby = {};
    m_Participant.m_Loading = Map.m_Id;
    m_Effects.push_back(LoadMap{Map, m_Participant.m_FencingNumber});
  }

  // Loads the maps that the log requires without an order, for a rank that has
  // just joined or missed orders: first the map of its next step, then the one
  // that follows.
  void loadRequiredMaps() {
    const PlacedMap &Needed =
        m_Participant.m_Record->mapAt(m_Participant.m_NextStep);
    const PlacedMap &Next = m_Participant.m_Record->m_Current;
    if (m_Participant.m_Active != Needed.m_Id)
      return loadUnlessPresent(Needed);
    if (m_Participant.m_Active != Next.m_Id)
      loadUnlessPresent(Next);
  }

  void loadUnlessPresent(const PlacedMap &Map) {
    if (m_Participant.m_Standby != Map.m_Id &&
        m_Participant.m_Loading != Map.m_Id)
      load(Map);
  }

  bool isHeld() const {
    return m_Participant.m_Hold &&
           m_Participant.m_NextStep >= m_Participant.m_Hold->m_Step;
  }

  void startStep() {
    if (!m_Participant.m_IsStepRequested || isHeld())
      return;
    const MapId &Needed =
        m_Participant.m_Record->mapAt(m_Participant.m_NextStep).m_Id;
    if (m_Participant.m_Active != Needed) {
      if (m_Participant.m_Standby != Needed)
        return;
      m_Participant.m_Active = Needed;
      m_Participant.m_Standby = {};
      m_Effects.push_back(SwitchMap{Needed});
    }
    m_Effects.push_back(StartStep{m_Participant.m_NextStep});
    ++m_Participant.m_NextStep;
    m_Participant.m_IsStepRequested = false;
    loadRequiredMaps();
  }

  void scheduleQuery(Duration Delay) {
    m_Participant.m_QueryAt = m_Now + Delay;
    m_Effects.push_back(ParticipantWakeAt{*m_Participant.m_QueryAt});
  }

  // Sends a query at once if the rank has to wait. Under a promise it sends one
  // occasionally, so that a lost decision arrives before its step.
  void queryIfDue() {
    if (hasJoined(m_Participant) && !m_Participant.m_Hold) {
      m_Participant.m_QueryAt.reset();
      return;
    }
    const bool MustWait = !hasJoined(m_Participant) ||
                          (m_Participant.m_IsStepRequested && isHeld());
    const Duration Delay = MustWait ? m_Participant.m_Limits.m_QueryDelay
                                    : m_Participant.m_Limits.m_EarlyQueryDelay;
    const bool IsDue =
        !m_Participant.m_QueryAt || m_Now >= *m_Participant.m_QueryAt;
    const bool IsTooFar =
        m_Participant.m_QueryAt && *m_Participant.m_QueryAt > m_Now + Delay;
    if (!IsDue && !IsTooFar)
      return;
    const bool IsNewPromise = !MustWait && !m_Participant.m_QueryAt;
    if (!IsNewPromise)
      sendQuery();
    scheduleQuery(Delay);
  }

  void sendQuery() {
    if (m_Participant.m_Hold)
      report(ReportKind::QueryDecision, m_Participant.m_Hold->m_Map);
    else
      report(ReportKind::Join, {});
  }

  RankParticipant &m_Participant;
  TimePoint m_Now;
  ParticipantEffects &m_Effects;
};

} // namespace

RankParticipant makeParticipant(std::uint32_t Rank, std::uint64_t Incarnation,
                                std::uint64_t Step,
                                const ParticipantLimits &Limits) {
  RankParticipant Participant;
  Participant.m_Limits = Limits;
  Participant.m_Rank = Rank;
  Participant.m_Incarnation = Incarnation;
  Participant.m_NextStep = Step;
  return Participant;
}

bool hasJoined(const RankParticipant &Participant) {
  return Participant.m_Record && !Participant.m_IsRetired;
}

ParticipantEffects step(RankParticipant &Participant,
                        const ParticipantEvent &Event, TimePoint Now) {
  ParticipantEffects Effects;
  if (Participant.m_IsRetired)
    return Effects;
  ParticipantStepper Stepper(Participant, Now, Effects);
  std::visit(Stepper, Event);
  Stepper.advance();
  return Effects;
}

} // namespace mangocart
