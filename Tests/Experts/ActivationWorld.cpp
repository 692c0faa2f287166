// Steps of the world and its faults.
#include "ActivationWorld.h"

#include "Log.pb.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace mangocart::test {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t FaultyTicks = 700;
constexpr std::size_t CalmTicks = 1500;
constexpr GroupShape Shape{
    .m_Ranks = 3, .m_Experts = 4, .m_Layers = 1, .m_SlotsPerRank = 2};
constexpr CoordinatorLimits Limits{.m_RepeatDelay = 15ms,
                                   .m_TimePerWeights = 1ms,
                                   .m_LoadSlack = 150ms,
                                   .m_PromiseTime = 80ms,
                                   .m_LeadSteps = 3};
const std::string Group = "drafting";

} // namespace

ActivationWorld::ActivationWorld(std::uint64_t Seed) : m_Random(Seed) {
  m_Ranks.resize(Shape.m_Ranks);
  addCoordinator();
  for (std::size_t Rank = 0; Rank < m_Ranks.size(); ++Rank)
    replaceRank(Rank);
}

void ActivationWorld::run() {
  for (std::size_t I = 0; I < FaultyTicks; ++I)
    tick();
  m_IsFaulty = false;
  for (std::size_t I = 0; I < CalmTicks / 2; ++I)
    tick();
  const std::uint64_t Before = m_Step;
  const std::size_t SwitchesBefore = m_Switches;
  for (std::size_t I = 0; I < CalmTicks / 2; ++I)
    tick();
  if (m_Step < Before + 10)
    throw std::logic_error("the group stands still");
  if (m_Switches == SwitchesBefore)
    throw std::logic_error("no change gets through");
}

TimePoint ActivationWorld::later(std::uint64_t MostMs) {
  return m_Now + std::chrono::milliseconds(uniform(m_Random, 1, MostMs));
}

void ActivationWorld::tick() {
  m_Now += std::chrono::milliseconds(uniform(m_Random, 1, 3));
  if (m_IsFaulty)
    causeFault();
  deliverSome();
  runRanks();
  runCoordinators();
}

void ActivationWorld::post(Message Item) {
  if (m_IsFaulty && chance(60))
    return;
  if (m_IsFaulty && chance(60))
    m_Messages.push_back(Item);
  m_Messages.push_back(std::move(Item));
}

void ActivationWorld::deliverSome() {
  const std::size_t Count = std::min<std::size_t>(
      m_Messages.size(), m_IsFaulty ? uniform(m_Random, 0, 4) : 20);
  for (std::size_t I = 0; I < Count && !m_Messages.empty(); ++I) {
    const auto Index = static_cast<std::ptrdiff_t>(
        m_IsFaulty ? uniform(m_Random, 0, m_Messages.size() - 1) : 0);
    Message Chosen = std::move(*(m_Messages.begin() + Index));
    m_Messages.erase(m_Messages.begin() + Index);
    if (Chosen.m_IsHeldBack && Chosen.m_IsHeldBack())
      m_Messages.push_back(std::move(Chosen));
    else
      Chosen.m_Deliver();
  }
}

void ActivationWorld::causeFault() {
  RankHost &Rank = m_Ranks[uniform(m_Random, 0, m_Ranks.size() - 1)];
  Coordinator &Any =
      m_Coordinators[uniform(m_Random, 0, m_Coordinators.size() - 1)];
  if (chance(5))
    Rank.m_StalledUntil = later(200);
  if (chance(5))
    Rank.m_CutUntil = later(200);
  if (chance(5))
    Any.m_FrozenUntil = later(400);
  if (chance(5))
    Any.m_CutUntil = later(400);
  if (chance(4))
    replaceRank(uniform(m_Random, 0, m_Ranks.size() - 1));
  if (chance(5))
    addCoordinator();
}

// The engine of the new incarnation is empty and starts at the group's step,
// which the others may have started.
void ActivationWorld::replaceRank(std::size_t Rank) {
  const bool IsDone = m_Ranks[Rank].m_IsStepDone;
  m_Ranks[Rank] = {};
  m_Ranks[Rank].m_IsStepDone = IsDone;
  const std::uint64_t Next = IsDone ? m_Step + 1 : m_Step;
  m_Ranks[Rank].m_Gate =
      startGate(static_cast<std::uint32_t>(Rank), ++m_Incarnation, Next,
                {.m_AskDelay = 15ms, .m_EarlyAskDelay = 40ms});
  feed(Rank, m_Incarnation, GateTimePassed{});
}

// Those before it go on, as if they were still in charge.
void ActivationWorld::addCoordinator() {
  const std::uint64_t Number = m_Coordinators.size() + 1;
  m_Coordinators.emplace_back().m_State = startCoordinator(
      Number, std::make_shared<const ExpertMap>(initialMap(Shape)), Limits);
  feed(m_Coordinators.size() - 1, CoordinatorStarted{});
}

void ActivationWorld::runRanks() {
  for (std::size_t I = 0; I < m_Ranks.size(); ++I) {
    RankHost &Rank = m_Ranks[I];
    if (m_IsFaulty && m_Now < Rank.m_StalledUntil)
      continue;
    const std::uint64_t Incarnation = Rank.m_Gate.m_Incarnation;
    Engine &At = Rank.m_Engine;
    if (At.m_Loading != MapId{} && m_Now >= At.m_LoadedAt) {
      At.m_Spare = std::exchange(At.m_Loading, {});
      feed(I, Incarnation, MapLoaded{At.m_Spare});
    }
    if (Rank.m_WakeAt && m_Now >= *Rank.m_WakeAt) {
      Rank.m_WakeAt.reset();
      feed(I, Incarnation, GateTimePassed{});
    }
    if (Rank.m_IsRunning && chance(400)) {
      Rank.m_IsRunning = false;
      Rank.m_IsStepDone = true;
    } else if (!Rank.m_IsRunning && !Rank.m_IsStepDone &&
               !Rank.m_Gate.m_IsStepAsked) {
      feed(I, Incarnation, StepAsked{m_Step});
      m_HeldSteps += Rank.m_Gate.m_IsStepAsked && Rank.m_Gate.m_Hold ? 1 : 0;
    }
  }
  const bool IsDone =
      std::all_of(m_Ranks.begin(), m_Ranks.end(),
                  [](const RankHost &Rank) { return Rank.m_IsStepDone; });
  if (!IsDone)
    return;
  ++m_Step;
  m_StepMap.reset();
  for (RankHost &Rank : m_Ranks)
    Rank.m_IsStepDone = false;
}

void ActivationWorld::runCoordinators() {
  for (std::size_t I = 0; I < m_Coordinators.size(); ++I) {
    Coordinator &C = m_Coordinators[I];
    if (m_IsFaulty && m_Now < C.m_FrozenUntil)
      continue;
    if (C.m_WakeAt && m_Now >= *C.m_WakeAt) {
      C.m_WakeAt.reset();
      feed(I, CoordinatorTimePassed{});
    }
    const bool IsInCharge = I + 1 == m_Coordinators.size();
    if (C.m_State.m_Phase == CoordinatorPhase::Idle &&
        (m_IsFaulty || IsInCharge) && chance(30))
      feed(I, ChangeAsked{anyMap()});
  }
}

ExpertMap ActivationWorld::anyMap() {
  ExpertMap Map = initialMap(Shape);
  for (std::size_t I = 0; I < Map.m_Slots.size(); ++I) {
    ExpertMap Other = Map;
    std::swap(Other.m_Slots[I],
              Other.m_Slots[uniform(m_Random, 0, Map.m_Slots.size() - 1)]);
    if (findFault(Other).empty())
      Map = std::move(Other);
  }
  return Map;
}

void ActivationWorld::feed(std::size_t Rank, std::uint64_t Incarnation,
                           const GateEvent &Event) {
  if (m_Ranks[Rank].m_Gate.m_Incarnation != Incarnation)
    return;
  for (const GateEffect &Effect : step(m_Ranks[Rank].m_Gate, Event, m_Now))
    perform(Rank, Effect);
}

void ActivationWorld::perform(std::size_t Rank, const GateEffect &Effect) {
  RankHost &Host = m_Ranks[Rank];
  if (const auto *Report = std::get_if<SendReport>(&Effect))
    report(Report->m_Report);
  else if (const auto *Load = std::get_if<LoadMap>(&Effect))
    load(Host.m_Engine, *Load);
  else if (std::holds_alternative<SwitchMap>(Effect))
    Host.m_Engine.m_Active = std::exchange(Host.m_Engine.m_Spare, {});
  else if (std::holds_alternative<StartStep>(Effect))
    useMap(Rank);
  else if (const auto *Wake = std::get_if<GateWakeAt>(&Effect))
    Host.m_WakeAt = Wake->m_Time;
}

void ActivationWorld::load(Engine &At, const LoadMap &Order) {
  if (Order.m_Number < At.m_Number)
    throw std::logic_error("an order with an old fencing number was passed on");
  At.m_Number = Order.m_Number;
  At.m_Spare = {};
  At.m_Loading = Order.m_Map.m_Id;
  At.m_LoadedAt = later(20);
}

void ActivationWorld::useMap(std::size_t Rank) {
  m_Ranks[Rank].m_IsRunning = true;
  const MapId Used = m_Ranks[Rank].m_Engine.m_Active;
  if (m_StepMap && *m_StepMap != Used)
    throw std::logic_error("two maps in step " + std::to_string(m_Step));
  if (!m_StepMap && Used != m_LastMap)
    ++m_Switches;
  m_StepMap = Used;
  m_LastMap = Used;
}

// Every report reaches the coordinators that can be reached; only that of the
// newest number is sent to in fact, but older ones may be asked by a rank that
// doesn't know of a newer.
void ActivationWorld::report(const MapReport &Report) {
  for (std::size_t I = 0; I < m_Coordinators.size(); ++I)
    post({[this, I, Report] { feed(I, ReportArrived{Report}); },
          [this, I, Rank = Report.m_Rank] {
            return m_IsFaulty && (m_Now < m_Coordinators[I].m_FrozenUntil ||
                                  m_Now < m_Coordinators[I].m_CutUntil ||
                                  m_Now < m_Ranks[Rank].m_CutUntil);
          }});
}

void ActivationWorld::feed(std::size_t Index, const CoordinatorEvent &Event) {
  for (const CoordinatorEffect &Effect :
       step(m_Coordinators[Index].m_State, Event, m_Now))
    perform(Index, Effect);
}

void ActivationWorld::perform(std::size_t Index,
                              const CoordinatorEffect &Effect) {
  const auto IsCut = [this, Index] {
    return m_IsFaulty && m_Now < m_Coordinators[Index].m_CutUntil;
  };
  const auto IsFrozen = [this, Index] {
    return m_IsFaulty && m_Now < m_Coordinators[Index].m_FrozenUntil;
  };
  if (const auto *Send = std::get_if<SendOrder>(&Effect)) {
    const MapOrder Order = Send->m_Order;
    const std::size_t Rank = Send->m_Rank;
    post({[this, Rank, Order] {
            feed(Rank, Order.m_Incarnation, OrderArrived{Order});
          },
          [this, Rank, IsCut] {
            return IsCut() || (m_IsFaulty && m_Now < m_Ranks[Rank].m_CutUntil);
          }});
  } else if (std::holds_alternative<ReadRecord>(Effect)) {
    post({[this, Index, IsFrozen, IsCut] {
            post({[this, Index, Record = readLog()] {
                    feed(Index, RecordRead{Record});
                  },
                  [IsFrozen, IsCut] { return IsFrozen() || IsCut(); }});
          },
          IsCut});
  } else if (const auto *Proposal = std::get_if<ProposeRecord>(&Effect)) {
    propose(Index, *Proposal);
  } else if (const auto *Wake = std::get_if<CoordinatorWakeAt>(&Effect)) {
    m_Coordinators[Index].m_WakeAt = Wake->m_Time;
  } else if (const auto *Ended = std::get_if<ChangeEnded>(&Effect)) {
    m_CalledOff += Ended->m_IsActivated ? 0 : 1;
  }
}

// The proposal may reach the log long after it was sent, and more than once.
void ActivationWorld::propose(std::size_t Index, const ProposeRecord &Effect) {
  const auto IsHeldBack = [this, Index] {
    return m_IsFaulty && (m_Now < m_Coordinators[Index].m_CutUntil ||
                          m_Now < m_Coordinators[Index].m_FrozenUntil);
  };
  post({[this, Index, Effect, IsHeldBack] {
          const bool IsActivated =
              activate(m_Log,
                       toCommand(Group, *Effect.m_Record, Effect.m_Replaces))
                  .activated();
          post({[this, Index, Version = Effect.m_Record->m_Version,
                 IsActivated] {
                  feed(Index, ProposalReplied{Version, IsActivated});
                },
                IsHeldBack});
        },
        IsHeldBack});
}

SharedRecord ActivationWorld::readLog() const {
  const auto Found = m_Log.m_Maps.find(Group);
  if (Found == m_Log.m_Maps.end())
    return {};
  const std::optional<GroupRecord> Record = fromLog(Found->second);
  if (!Record)
    throw std::logic_error("the log holds no readable record");
  return std::make_shared<const GroupRecord>(*Record);
}

} // namespace mangocart::test
