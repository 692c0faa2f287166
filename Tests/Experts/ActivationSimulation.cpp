// Simulation steps and injected faults.
#include "ActivationSimulation.h"

#include "Log.pb.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace mangocart::test {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t FaultyTicks = 700;
constexpr std::size_t FaultFreeTicks = 1500;
constexpr GroupShape Shape{
    .m_Ranks = 3, .m_Experts = 4, .m_Layers = 1, .m_SlotsPerRank = 2};
constexpr CoordinatorLimits Limits{.m_ResendDelay = 15ms,
                                   .m_LoadTimePerExpert = 1ms,
                                   .m_LoadSlack = 150ms,
                                   .m_PromiseTimeout = 80ms,
                                   .m_LeadSteps = 3};
const std::string Group = "drafting";

} // namespace

ActivationSimulation::ActivationSimulation(std::uint64_t Seed)
    : m_Random(Seed) {
  m_Ranks.resize(Shape.m_Ranks);
  addCoordinator();
  for (std::size_t Rank = 0; Rank < m_Ranks.size(); ++Rank)
    replaceRank(Rank);
}

void ActivationSimulation::run() {
  for (std::size_t I = 0; I < FaultyTicks; ++I)
    tick();
  m_IsFaulty = false;
  for (std::size_t I = 0; I < FaultFreeTicks / 2; ++I)
    tick();
  const std::uint64_t Before = m_Step;
  const std::size_t SwitchesBefore = m_Switches;
  for (std::size_t I = 0; I < FaultFreeTicks / 2; ++I)
    tick();
  if (m_Step < Before + 10)
    throw std::logic_error("the group makes no progress");
  if (m_Switches == SwitchesBefore)
    throw std::logic_error("no map change succeeds");
}

TimePoint ActivationSimulation::randomTimeWithin(std::uint64_t MaxMs) {
  return m_Now + std::chrono::milliseconds(uniform(m_Random, 1, MaxMs));
}

void ActivationSimulation::tick() {
  m_Now += std::chrono::milliseconds(uniform(m_Random, 1, 3));
  if (m_IsFaulty)
    injectFault();
  deliverMessages();
  runRanks();
  runCoordinators();
}

void ActivationSimulation::sendMessage(Message Item) {
  if (m_IsFaulty && chance(60))
    return;
  if (m_IsFaulty && chance(60))
    m_Messages.push_back(Item);
  m_Messages.push_back(std::move(Item));
}

void ActivationSimulation::deliverMessages() {
  const std::size_t Count = std::min<std::size_t>(
      m_Messages.size(), m_IsFaulty ? uniform(m_Random, 0, 4) : 20);
  for (std::size_t I = 0; I < Count && !m_Messages.empty(); ++I) {
    const auto Index = static_cast<std::ptrdiff_t>(
        m_IsFaulty ? uniform(m_Random, 0, m_Messages.size() - 1) : 0);
    Message Chosen = std::move(*(m_Messages.begin() + Index));
    m_Messages.erase(m_Messages.begin() + Index);
    if (Chosen.m_IsDelayed && Chosen.m_IsDelayed())
      m_Messages.push_back(std::move(Chosen));
    else
      Chosen.m_Deliver();
  }
}

void ActivationSimulation::injectFault() {
  RankHost &Rank = m_Ranks[uniform(m_Random, 0, m_Ranks.size() - 1)];
  Coordinator &Target =
      m_Coordinators[uniform(m_Random, 0, m_Coordinators.size() - 1)];
  if (chance(5))
    Rank.m_StalledUntil = randomTimeWithin(200);
  if (chance(5))
    Rank.m_DisconnectedUntil = randomTimeWithin(200);
  if (chance(5))
    Target.m_PausedUntil = randomTimeWithin(400);
  if (chance(5))
    Target.m_DisconnectedUntil = randomTimeWithin(400);
  if (chance(4))
    replaceRank(uniform(m_Random, 0, m_Ranks.size() - 1));
  if (chance(5))
    addCoordinator();
}

// The engine of the new incarnation is empty and starts at the group's step,
// which the other ranks may have started already.
void ActivationSimulation::replaceRank(std::size_t Rank) {
  const bool IsDone = m_Ranks[Rank].m_IsStepDone;
  m_Ranks[Rank] = {};
  m_Ranks[Rank].m_IsStepDone = IsDone;
  const std::uint64_t Next = IsDone ? m_Step + 1 : m_Step;
  m_Ranks[Rank].m_Participant =
      makeParticipant(static_cast<std::uint32_t>(Rank), ++m_Incarnation, Next,
                      {.m_QueryDelay = 15ms, .m_EarlyQueryDelay = 40ms});
  feed(Rank, m_Incarnation, ParticipantTimerFired{});
}

// Earlier coordinators continue as if they were still active.
void ActivationSimulation::addCoordinator() {
  const std::uint64_t FencingNumber = m_Coordinators.size() + 1;
  m_Coordinators.emplace_back().m_State = makeCoordinator(
      FencingNumber, std::make_shared<const ExpertMap>(initialMap(Shape)),
      Limits);
  feed(m_Coordinators.size() - 1, CoordinatorStarted{});
}

void ActivationSimulation::runRanks() {
  for (std::size_t I = 0; I < m_Ranks.size(); ++I) {
    RankHost &Rank = m_Ranks[I];
    if (m_IsFaulty && m_Now < Rank.m_StalledUntil)
      continue;
    const std::uint64_t Incarnation = Rank.m_Participant.m_Incarnation;
    Engine &At = Rank.m_Engine;
    if (At.m_Loading != MapId{} && m_Now >= At.m_LoadedAt) {
      At.m_Standby = std::exchange(At.m_Loading, {});
      feed(I, Incarnation, MapLoaded{At.m_Standby});
    }
    if (Rank.m_WakeAt && m_Now >= *Rank.m_WakeAt) {
      Rank.m_WakeAt.reset();
      feed(I, Incarnation, ParticipantTimerFired{});
    }
    if (Rank.m_IsRunning && chance(400)) {
      Rank.m_IsRunning = false;
      Rank.m_IsStepDone = true;
    } else if (!Rank.m_IsRunning && !Rank.m_IsStepDone &&
               !Rank.m_Participant.m_IsStepRequested) {
      feed(I, Incarnation, StepRequested{m_Step});
      m_HeldSteps +=
          Rank.m_Participant.m_IsStepRequested && Rank.m_Participant.m_Hold ? 1
                                                                            : 0;
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

void ActivationSimulation::runCoordinators() {
  for (std::size_t I = 0; I < m_Coordinators.size(); ++I) {
    Coordinator &C = m_Coordinators[I];
    if (m_IsFaulty && m_Now < C.m_PausedUntil)
      continue;
    if (C.m_WakeAt && m_Now >= *C.m_WakeAt) {
      C.m_WakeAt.reset();
      feed(I, CoordinatorTimerFired{});
    }
    const bool IsActive = I + 1 == m_Coordinators.size();
    if (C.m_State.m_Phase == CoordinatorPhase::Idle &&
        (m_IsFaulty || IsActive) && chance(30))
      feed(I, ChangeRequested{randomMap()});
  }
}

ExpertMap ActivationSimulation::randomMap() {
  ExpertMap Map = initialMap(Shape);
  for (std::size_t I = 0; I < Map.m_Slots.size(); ++I) {
    ExpertMap Other = Map;
    std::swap(Other.m_Slots[I],
              Other.m_Slots[uniform(m_Random, 0, Map.m_Slots.size() - 1)]);
    if (findInvariantViolation(Other).empty())
      Map = std::move(Other);
  }
  return Map;
}

void ActivationSimulation::feed(std::size_t Rank, std::uint64_t Incarnation,
                                const ParticipantEvent &Event) {
  if (m_Ranks[Rank].m_Participant.m_Incarnation != Incarnation)
    return;
  for (const ParticipantEffect &Effect :
       step(m_Ranks[Rank].m_Participant, Event, m_Now))
    perform(Rank, Effect);
}

void ActivationSimulation::perform(std::size_t Rank,
                                   const ParticipantEffect &Effect) {
  RankHost &Host = m_Ranks[Rank];
  if (const auto *Report = std::get_if<SendReport>(&Effect))
    report(Report->m_Report);
  else if (const auto *Load = std::get_if<LoadMap>(&Effect))
    load(Host.m_Engine, *Load);
  else if (std::holds_alternative<SwitchMap>(Effect))
    Host.m_Engine.m_Active = std::exchange(Host.m_Engine.m_Standby, {});
  else if (std::holds_alternative<StartStep>(Effect))
    recordMapUse(Rank);
  else if (const auto *Wake = std::get_if<ParticipantWakeAt>(&Effect))
    Host.m_WakeAt = Wake->m_Time;
}

void ActivationSimulation::load(Engine &At, const LoadMap &Order) {
  if (Order.m_FencingNumber < At.m_FencingNumber)
    throw std::logic_error(
        "an order with an old fencing number reached the engine");
  At.m_FencingNumber = Order.m_FencingNumber;
  At.m_Standby = {};
  At.m_Loading = Order.m_Map.m_Id;
  At.m_LoadedAt = randomTimeWithin(20);
}

void ActivationSimulation::recordMapUse(std::size_t Rank) {
  m_Ranks[Rank].m_IsRunning = true;
  const MapId Used = m_Ranks[Rank].m_Engine.m_Active;
  if (m_StepMap && *m_StepMap != Used)
    throw std::logic_error("two maps used in step " + std::to_string(m_Step));
  if (!m_StepMap && Used != m_LastMap)
    ++m_Switches;
  m_StepMap = Used;
  m_LastMap = Used;
}

// Delivers every report to all reachable coordinators. In production only the
// one with the highest fencing number receives it, but a rank that doesn't know
// of a newer coordinator may query an older one.
void ActivationSimulation::report(const MapReport &Report) {
  for (std::size_t I = 0; I < m_Coordinators.size(); ++I)
    sendMessage({[this, I, Report] { feed(I, ReportArrived{Report}); },
                 [this, I, Rank = Report.m_Rank] {
                   return m_IsFaulty &&
                          (m_Now < m_Coordinators[I].m_PausedUntil ||
                           m_Now < m_Coordinators[I].m_DisconnectedUntil ||
                           m_Now < m_Ranks[Rank].m_DisconnectedUntil);
                 }});
}

void ActivationSimulation::feed(std::size_t Index,
                                const CoordinatorEvent &Event) {
  for (const CoordinatorEffect &Effect :
       step(m_Coordinators[Index].m_State, Event, m_Now))
    perform(Index, Effect);
}

void ActivationSimulation::perform(std::size_t Index,
                                   const CoordinatorEffect &Effect) {
  const auto IsDisconnected = [this, Index] {
    return m_IsFaulty && m_Now < m_Coordinators[Index].m_DisconnectedUntil;
  };
  const auto IsPaused = [this, Index] {
    return m_IsFaulty && m_Now < m_Coordinators[Index].m_PausedUntil;
  };
  if (const auto *Send = std::get_if<SendOrder>(&Effect)) {
    const MapOrder Order = Send->m_Order;
    const std::size_t Rank = Send->m_Rank;
    sendMessage({[this, Rank, Order] {
                   feed(Rank, Order.m_Incarnation, OrderArrived{Order});
                 },
                 [this, Rank, IsDisconnected] {
                   return IsDisconnected() ||
                          (m_IsFaulty &&
                           m_Now < m_Ranks[Rank].m_DisconnectedUntil);
                 }});
  } else if (std::holds_alternative<ReadRecord>(Effect)) {
    sendMessage({[this, Index, IsPaused, IsDisconnected] {
                   sendMessage({[this, Index, Record = readLog()] {
                                  feed(Index, RecordRead{Record});
                                },
                                [IsPaused, IsDisconnected] {
                                  return IsPaused() || IsDisconnected();
                                }});
                 },
                 IsDisconnected});
  } else if (const auto *Proposal = std::get_if<ProposeRecord>(&Effect)) {
    propose(Index, *Proposal);
  } else if (const auto *Wake = std::get_if<CoordinatorWakeAt>(&Effect)) {
    m_Coordinators[Index].m_WakeAt = Wake->m_Time;
  } else if (const auto *Ended = std::get_if<ChangeEnded>(&Effect)) {
    m_AbortedChanges += Ended->m_IsActivated ? 0 : 1;
  }
}

// The proposal may reach the log long after it was sent, and more than once.
void ActivationSimulation::propose(std::size_t Index,
                                   const ProposeRecord &Effect) {
  const auto IsDelayed = [this, Index] {
    return m_IsFaulty && (m_Now < m_Coordinators[Index].m_DisconnectedUntil ||
                          m_Now < m_Coordinators[Index].m_PausedUntil);
  };
  sendMessage(
      {[this, Index, Effect, IsDelayed] {
         const bool IsActivated =
             activate(m_Log,
                      toCommand(Group, *Effect.m_Record, Effect.m_Replaces))
                 .activated();
         sendMessage(
             {[this, Index, Version = Effect.m_Record->m_Version, IsActivated] {
                feed(Index, ProposalReplied{Version, IsActivated});
              },
              IsDelayed});
       },
       IsDelayed});
}

GroupRecordPtr ActivationSimulation::readLog() const {
  const auto Found = m_Log.m_Maps.find(Group);
  if (Found == m_Log.m_Maps.end())
    return {};
  const std::optional<GroupRecord> Record = fromLog(Found->second);
  if (!Record)
    throw std::logic_error("the log contains no valid record");
  return std::make_shared<const GroupRecord>(*Record);
}

} // namespace mangocart::test
