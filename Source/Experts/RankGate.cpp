// Orders, promises and starts of steps at one rank.
#include "Experts/RankGate.h"

#include <algorithm>

namespace mangocart {

namespace {

class GateStepper {
public:
  GateStepper(RankGate &Gate, TimePoint Now, GateEffects &Effects)
      : m_Gate(Gate), m_Now(Now), m_Effects(Effects) {}

  void operator()(const OrderArrived &Event) {
    const MapOrder &Order = Event.m_Order;
    if (Order.m_Incarnation != m_Gate.m_Incarnation)
      return;
    if (Order.m_Number < m_Gate.m_Number) {
      m_Effects.push_back(OrderRefused{Order.m_Number});
      return;
    }
    m_Gate.m_Number = Order.m_Number;
    learn(Order.m_Record);
    if (!hasJoined(m_Gate))
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
    if (Event.m_Map != m_Gate.m_Loading)
      return;
    m_Gate.m_Spare = Event.m_Map;
    m_Gate.m_Loading = {};
    if (m_Gate.m_Prepared && m_Gate.m_Prepared->m_Id == Event.m_Map)
      report(ReportKind::Loaded, Event.m_Map);
  }

  void operator()(const StepAsked &Event) {
    if (Event.m_Step == m_Gate.m_NextStep)
      m_Gate.m_IsStepAsked = true;
  }

  void operator()(const GateTimePassed &) {}

  // What every event may have made possible.
  void advance() {
    if (m_Gate.m_IsRetired)
      return;
    if (hasJoined(m_Gate)) {
      loadNeeded();
      startStep();
    }
    askAgain();
  }

private:
  void report(ReportKind Kind, const MapId &Map) {
    m_Effects.push_back(SendReport{
        {Kind, m_Gate.m_Rank, m_Gate.m_Incarnation, Map, m_Gate.m_NextStep}});
  }

  // A promise ends with a record of its version or a later one: the log has
  // then taken the map, or can never take it.
  void learn(const SharedRecord &Record) {
    if (!Record || m_Gate.m_Rank >= Record->m_Incarnations.size() ||
        (m_Gate.m_Record && Record->m_Version <= m_Gate.m_Record->m_Version))
      return;
    const std::uint64_t Holder = Record->m_Incarnations[m_Gate.m_Rank];
    if (Holder < m_Gate.m_Incarnation)
      return;
    m_Gate.m_Record = Record;
    m_Gate.m_IsRetired = Holder > m_Gate.m_Incarnation;
    if (m_Gate.m_Hold && Record->m_Version >= m_Gate.m_Hold->m_Map.m_Version)
      m_Gate.m_Hold.reset();
    if (m_Gate.m_Prepared &&
        m_Gate.m_Prepared->m_Id.m_Version <= Record->m_Version)
      m_Gate.m_Prepared.reset();
  }

  // The room beside the map in use is free only after the last switch.
  bool isSpareFree() const {
    return !m_Gate.m_Hold && m_Gate.m_Active == m_Gate.m_Record->m_Current.m_Id;
  }

  bool isOutdated(const MapOrder &Order) const {
    return Order.m_Map.m_Id.m_Version <= m_Gate.m_Record->m_Version;
  }

  void prepare(const MapOrder &Order) {
    const MapId &Id = Order.m_Map.m_Id;
    if (m_Gate.m_Prepared && m_Gate.m_Prepared->m_Id == Id) {
      if (m_Gate.m_Spare == Id)
        report(ReportKind::Loaded, Id);
      return;
    }
    if (isOutdated(Order) || !isSpareFree())
      return report(ReportKind::Refused, Id);
    m_Gate.m_Prepared = Order.m_Map;
    load(Order.m_Map);
  }

  void hold(const MapOrder &Order) {
    const StepHold Wanted{Order.m_Map.m_Id, Order.m_Step};
    if (m_Gate.m_Hold == Wanted)
      return report(ReportKind::Promised, Wanted.m_Map);
    const bool IsLoaded = m_Gate.m_Spare == Wanted.m_Map;
    if (m_Gate.m_Hold || isOutdated(Order) || !IsLoaded ||
        m_Gate.m_NextStep > Wanted.m_Step)
      return report(ReportKind::Refused, Wanted.m_Map);
    m_Gate.m_Hold = Wanted;
    report(ReportKind::Promised, Wanted.m_Map);
  }

  void cancel(const MapOrder &Order) {
    if (!m_Gate.m_Hold && m_Gate.m_Prepared == Order.m_Map)
      m_Gate.m_Prepared.reset();
  }

  void load(const PlacedMap &Map) {
    m_Gate.m_Spare = {};
    m_Gate.m_Loading = Map.m_Id;
    m_Effects.push_back(LoadMap{Map, m_Gate.m_Number});
  }

  // A rank that has just joined, or that missed orders, loads what the log says
  // by itself: first the map of its next step, then the one that follows.
  void loadNeeded() {
    const PlacedMap &Needed = m_Gate.m_Record->mapAt(m_Gate.m_NextStep);
    const PlacedMap &Next = m_Gate.m_Record->m_Current;
    if (m_Gate.m_Active != Needed.m_Id)
      return loadOnce(Needed);
    if (m_Gate.m_Active != Next.m_Id)
      loadOnce(Next);
  }

  void loadOnce(const PlacedMap &Map) {
    if (m_Gate.m_Spare != Map.m_Id && m_Gate.m_Loading != Map.m_Id)
      load(Map);
  }

  bool isHeld() const {
    return m_Gate.m_Hold && m_Gate.m_NextStep >= m_Gate.m_Hold->m_Step;
  }

  void startStep() {
    if (!m_Gate.m_IsStepAsked || isHeld())
      return;
    const MapId &Needed = m_Gate.m_Record->mapAt(m_Gate.m_NextStep).m_Id;
    if (m_Gate.m_Active != Needed) {
      if (m_Gate.m_Spare != Needed)
        return;
      m_Gate.m_Active = Needed;
      m_Gate.m_Spare = {};
      m_Effects.push_back(SwitchMap{Needed});
    }
    m_Effects.push_back(StartStep{m_Gate.m_NextStep});
    ++m_Gate.m_NextStep;
    m_Gate.m_IsStepAsked = false;
    loadNeeded();
  }

  void wakeToAsk(Duration Delay) {
    m_Gate.m_AskAt = m_Now + Delay;
    m_Effects.push_back(GateWakeAt{*m_Gate.m_AskAt});
  }

  // Asks at once when the rank has to wait; under a promise now and then, so
  // that lost news of the decision comes before its step.
  void askAgain() {
    if (hasJoined(m_Gate) && !m_Gate.m_Hold) {
      m_Gate.m_AskAt.reset();
      return;
    }
    const bool MustWait =
        !hasJoined(m_Gate) || (m_Gate.m_IsStepAsked && isHeld());
    const Duration Delay =
        MustWait ? m_Gate.m_Limits.m_AskDelay : m_Gate.m_Limits.m_EarlyAskDelay;
    const bool IsDue = !m_Gate.m_AskAt || m_Now >= *m_Gate.m_AskAt;
    const bool IsTooFar = m_Gate.m_AskAt && *m_Gate.m_AskAt > m_Now + Delay;
    if (!IsDue && !IsTooFar)
      return;
    const bool IsNewPromise = !MustWait && !m_Gate.m_AskAt;
    if (!IsNewPromise)
      ask();
    wakeToAsk(Delay);
  }

  void ask() {
    if (m_Gate.m_Hold)
      report(ReportKind::Ask, m_Gate.m_Hold->m_Map);
    else
      report(ReportKind::Join, {});
  }

  RankGate &m_Gate;
  TimePoint m_Now;
  GateEffects &m_Effects;
};

} // namespace

RankGate startGate(std::uint32_t Rank, std::uint64_t Incarnation,
                   std::uint64_t Step, const GateLimits &Limits) {
  RankGate Gate;
  Gate.m_Limits = Limits;
  Gate.m_Rank = Rank;
  Gate.m_Incarnation = Incarnation;
  Gate.m_NextStep = Step;
  return Gate;
}

bool hasJoined(const RankGate &Gate) {
  return Gate.m_Record && !Gate.m_IsRetired;
}

GateEffects step(RankGate &Gate, const GateEvent &Event, TimePoint Now) {
  GateEffects Effects;
  if (Gate.m_IsRetired)
    return Effects;
  GateStepper Stepper(Gate, Now, Effects);
  std::visit(Stepper, Event);
  Stepper.advance();
  return Effects;
}

} // namespace mangocart
