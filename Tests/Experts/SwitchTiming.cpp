// Discrete-event simulation of one coordinator and many participants.
#include "SwitchTiming.h"

#include "Core/Random.h"
#include "Experts/MapCoordinator.h"
#include "Experts/RankParticipant.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

namespace mangocart::test {

namespace {

using namespace std::chrono_literals;

class SwitchTimingSimulation {
public:
  explicit SwitchTimingSimulation(const SwitchTimingOptions &Options)
      : m_Options(Options), m_Random(Options.m_Seed) {
    const GroupShape Shape{.m_Ranks = Options.m_Ranks,
                           .m_Experts = Options.m_Ranks,
                           .m_Layers = 1,
                           .m_SlotsPerRank = 2};
    m_Map = initialMap(Shape);
    startNextCoordinator();
    for (std::uint32_t Rank = 0; Rank < Options.m_Ranks; ++Rank) {
      m_Participants.push_back(makeParticipant(Rank, 1, 0, {}));
      feed(Rank, ParticipantTimerFired{});
    }
    requestStep();
  }

  SwitchTimingMetrics run() {
    constexpr std::size_t MaxEvents = 20'000'000;
    for (std::size_t I = 0;
         I < MaxEvents && m_Metrics.m_Switches < m_Options.m_Switches; ++I) {
      const auto First = m_Events.begin();
      m_Now = First->first;
      const std::function<void()> Action = std::move(First->second);
      m_Events.erase(First);
      Action();
    }
    return m_Metrics;
  }

private:
  Duration randomDelay(Duration Mean) {
    const double Factor = 1 - std::log(1 - uniformReal(m_Random));
    return Duration{
        static_cast<Duration::rep>(static_cast<double>(Mean.count()) * Factor)};
  }

  void schedule(TimePoint Time, std::function<void()> Action) {
    m_Events.emplace(std::max(Time, m_Now), std::move(Action));
  }

  void sendMessage(std::function<void()> Action) {
    if (uniform(m_Random, 1, 1000) > m_Options.m_MessageLossPerMille)
      schedule(m_Now + randomDelay(m_Options.m_MessageTime), std::move(Action));
  }

  void startNextCoordinator() {
    ++m_FencingNumber;
    m_IsUp = true;
    CoordinatorLimits Limits;
    Limits.m_LoadTimePerExpert = 1ms;
    m_Coordinator = makeCoordinator(
        m_FencingNumber, std::make_shared<const ExpertMap>(m_Map), Limits);
    feedCoordinator(CoordinatorStarted{});
  }

  void failCoordinator() {
    m_IsUp = false;
    m_HasFailed = true;
    ++m_FencingNumber;
    schedule(m_Now + m_Options.m_Outage, [this] {
      --m_FencingNumber;
      startNextCoordinator();
    });
  }

  // ---- Coordinator.

  void feedCoordinator(const CoordinatorEvent &Event) {
    if (!m_IsUp)
      return;
    for (const CoordinatorEffect &Effect : step(m_Coordinator, Event, m_Now))
      perform(Effect);
    if (m_Options.m_Outage > Duration::zero() && !m_HasFailed &&
        m_Coordinator.m_Phase == CoordinatorPhase::CollectingPromises)
      schedule(m_Now + 1ms, [this, FencingNumber = m_FencingNumber] {
        if (m_IsUp && FencingNumber == m_FencingNumber)
          failCoordinator();
      });
    scheduleChange();
  }

  void scheduleChange() {
    if (m_IsChangeScheduled || m_Coordinator.m_Phase != CoordinatorPhase::Idle)
      return;
    m_IsChangeScheduled = true;
    schedule(m_Now + 3s, [this] {
      m_IsChangeScheduled = false;
      std::swap(m_Map.m_Slots[0], m_Map.m_Slots[2]);
      feedCoordinator(ChangeRequested{m_Map});
    });
  }

  void perform(const CoordinatorEffect &Effect) {
    if (const auto *Send = std::get_if<SendOrder>(&Effect)) {
      sendMessage([this, Order = *Send] {
        feed(Order.m_Rank, OrderArrived{Order.m_Order});
      });
    } else if (std::holds_alternative<ReadRecord>(Effect)) {
      const std::uint64_t FencingNumber = m_FencingNumber;
      schedule(m_Now + randomDelay(m_Options.m_MessageTime),
               [this, FencingNumber] {
                 if (FencingNumber == m_FencingNumber)
                   feedCoordinator(RecordRead{m_Log});
               });
    } else if (const auto *Proposal = std::get_if<ProposeRecord>(&Effect)) {
      schedule(m_Now + randomDelay(m_Options.m_CommitTime),
               [this, P = *Proposal, FencingNumber = m_FencingNumber] {
                 commit(P, FencingNumber);
               });
    } else if (const auto *Wake = std::get_if<CoordinatorWakeAt>(&Effect)) {
      schedule(Wake->m_Time, [this, FencingNumber = m_FencingNumber] {
        if (FencingNumber == m_FencingNumber)
          feedCoordinator(CoordinatorTimerFired{});
      });
    } else if (const auto *Ended = std::get_if<ChangeEnded>(&Effect)) {
      m_Metrics.m_AbortedChanges += Ended->m_IsActivated ? 0 : 1;
    }
  }

  void commit(const ProposeRecord &Proposal, std::uint64_t FencingNumber) {
    const std::uint64_t CurrentVersion = m_Log ? m_Log->m_Version : 0;
    const bool IsRepeated = CurrentVersion == Proposal.m_Record->m_Version;
    const bool IsAccepted = IsRepeated || CurrentVersion == Proposal.m_Replaces;
    if (IsAccepted)
      m_Log = Proposal.m_Record;
    if (FencingNumber == m_FencingNumber)
      feedCoordinator(
          ProposalReplied{Proposal.m_Record->m_Version, IsAccepted});
  }

  // ---- Ranks.

  void feed(std::uint32_t Rank, const ParticipantEvent &Event) {
    for (const ParticipantEffect &Effect :
         step(m_Participants[Rank], Event, m_Now))
      perform(Rank, Effect);
  }

  void perform(std::uint32_t Rank, const ParticipantEffect &Effect) {
    if (const auto *Report = std::get_if<SendReport>(&Effect)) {
      sendMessage(
          [this, R = Report->m_Report] { feedCoordinator(ReportArrived{R}); });
    } else if (const auto *Load = std::get_if<LoadMap>(&Effect)) {
      schedule(m_Now + 2ms, [this, Rank, Id = Load->m_Map.m_Id] {
        feed(Rank, MapLoaded{Id});
      });
    } else if (const auto *Start = std::get_if<StartStep>(&Effect)) {
      recordStepStart(Start->m_Step);
    } else if (const auto *Wake = std::get_if<ParticipantWakeAt>(&Effect)) {
      schedule(Wake->m_Time,
               [this, Rank] { feed(Rank, ParticipantTimerFired{}); });
    }
    // The switch to the first map at the group's first step doesn't count.
    if (std::holds_alternative<SwitchMap>(Effect) && Rank == 0 && m_Step > 0) {
      ++m_Metrics.m_Switches;
      m_HasFailed = false;
    }
  }

  void requestStep() {
    m_ReadyAt = m_Now;
    m_Started = 0;
    for (std::uint32_t Rank = 0; Rank < m_Options.m_Ranks; ++Rank)
      feed(Rank, StepRequested{m_Step});
  }

  void recordStepStart(std::uint64_t Step) {
    if (Step != m_Step || ++m_Started < m_Options.m_Ranks)
      return;
    const Duration Delay = m_Now - m_ReadyAt;
    // The start of the group doesn't count as a switch.
    if (m_Step > 0) {
      ++m_Metrics.m_Steps;
      m_Metrics.m_DelayedSteps += Delay > Duration::zero() ? 1 : 0;
      m_Metrics.m_LongestDelay = std::max(m_Metrics.m_LongestDelay, Delay);
    }
    ++m_Step;
    schedule(m_Now + m_Options.m_StepTime, [this] { requestStep(); });
  }

  const SwitchTimingOptions &m_Options;
  Random m_Random;
  TimePoint m_Now{1h};
  std::multimap<TimePoint, std::function<void()>> m_Events;
  ExpertMap m_Map;
  GroupRecordPtr m_Log;
  std::uint64_t m_FencingNumber = 0;
  MapCoordinator m_Coordinator;
  bool m_IsUp = false;
  bool m_HasFailed = false;
  bool m_IsChangeScheduled = false;
  std::vector<RankParticipant> m_Participants;
  std::uint64_t m_Step = 0;
  std::uint32_t m_Started = 0;
  TimePoint m_ReadyAt;
  SwitchTimingMetrics m_Metrics;
};

} // namespace

SwitchTimingMetrics measureSwitches(const SwitchTimingOptions &Options) {
  return SwitchTimingSimulation(Options).run();
}

} // namespace mangocart::test
