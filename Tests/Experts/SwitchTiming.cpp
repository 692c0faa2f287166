// Events of one coordinator and many gates in order of time.
#include "SwitchTiming.h"

#include "Core/Random.h"
#include "Experts/MapCoordinator.h"
#include "Experts/RankGate.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

namespace mangocart::test {

namespace {

using namespace std::chrono_literals;

class Timing {
public:
  explicit Timing(const SwitchTimingOptions &Options)
      : m_Options(Options), m_Random(Options.m_Seed) {
    const GroupShape Shape{.m_Ranks = Options.m_Ranks,
                           .m_Experts = Options.m_Ranks,
                           .m_Layers = 1,
                           .m_SlotsPerRank = 2};
    m_Map = initialMap(Shape);
    startNext();
    for (std::uint32_t Rank = 0; Rank < Options.m_Ranks; ++Rank) {
      m_Gates.push_back(startGate(Rank, 1, 0, {}));
      feed(Rank, GateTimePassed{});
    }
    askAll();
  }

  SwitchTimingFigures run() {
    constexpr std::size_t MostEvents = 20'000'000;
    for (std::size_t I = 0;
         I < MostEvents && m_Figures.m_Switches < m_Options.m_Switches; ++I) {
      const auto First = m_Events.begin();
      m_Now = First->first;
      const std::function<void()> Act = std::move(First->second);
      m_Events.erase(First);
      Act();
    }
    return m_Figures;
  }

private:
  Duration spread(Duration Mean) {
    const double Factor = 1 - std::log(1 - uniformReal(m_Random));
    return Duration{
        static_cast<Duration::rep>(static_cast<double>(Mean.count()) * Factor)};
  }

  void at(TimePoint Time, std::function<void()> Act) {
    m_Events.emplace(std::max(Time, m_Now), std::move(Act));
  }

  void post(std::function<void()> Act) {
    if (uniform(m_Random, 1, 1000) > m_Options.m_LostMessages)
      at(m_Now + spread(m_Options.m_MessageTime), std::move(Act));
  }

  void startNext() {
    ++m_Number;
    m_IsUp = true;
    CoordinatorLimits Limits;
    Limits.m_TimePerWeights = 1ms;
    m_Coordinator = startCoordinator(
        m_Number, std::make_shared<const ExpertMap>(m_Map), Limits);
    tell(CoordinatorStarted{});
  }

  void lose() {
    m_IsUp = false;
    m_WasLost = true;
    ++m_Number;
    at(m_Now + m_Options.m_Outage, [this] {
      --m_Number;
      startNext();
    });
  }

  // ---- Coordinator.

  void tell(const CoordinatorEvent &Event) {
    if (!m_IsUp)
      return;
    for (const CoordinatorEffect &Effect : step(m_Coordinator, Event, m_Now))
      perform(Effect);
    if (m_Options.m_Outage > Duration::zero() && !m_WasLost &&
        m_Coordinator.m_Phase == CoordinatorPhase::Promising)
      at(m_Now + 1ms, [this, Number = m_Number] {
        if (m_IsUp && Number == m_Number)
          lose();
      });
    askForChange();
  }

  void askForChange() {
    if (m_IsAsked || m_Coordinator.m_Phase != CoordinatorPhase::Idle)
      return;
    m_IsAsked = true;
    at(m_Now + 3s, [this] {
      m_IsAsked = false;
      std::swap(m_Map.m_Slots[0], m_Map.m_Slots[2]);
      tell(ChangeAsked{m_Map});
    });
  }

  void perform(const CoordinatorEffect &Effect) {
    if (const auto *Send = std::get_if<SendOrder>(&Effect)) {
      post([this, Order = *Send] {
        feed(Order.m_Rank, OrderArrived{Order.m_Order});
      });
    } else if (std::holds_alternative<ReadRecord>(Effect)) {
      const std::uint64_t Number = m_Number;
      at(m_Now + spread(m_Options.m_MessageTime), [this, Number] {
        if (Number == m_Number)
          tell(RecordRead{m_Log});
      });
    } else if (const auto *Proposal = std::get_if<ProposeRecord>(&Effect)) {
      at(m_Now + spread(m_Options.m_CommitTime),
         [this, P = *Proposal, Number = m_Number] { commit(P, Number); });
    } else if (const auto *Wake = std::get_if<CoordinatorWakeAt>(&Effect)) {
      at(Wake->m_Time, [this, Number = m_Number] {
        if (Number == m_Number)
          tell(CoordinatorTimePassed{});
      });
    } else if (const auto *Ended = std::get_if<ChangeEnded>(&Effect)) {
      m_Figures.m_CalledOff += Ended->m_IsActivated ? 0 : 1;
    }
  }

  void commit(const ProposeRecord &Proposal, std::uint64_t Number) {
    const std::uint64_t InForce = m_Log ? m_Log->m_Version : 0;
    const bool IsRepeated = InForce == Proposal.m_Record->m_Version;
    const bool IsTaken = IsRepeated || InForce == Proposal.m_Replaces;
    if (IsTaken)
      m_Log = Proposal.m_Record;
    if (Number == m_Number)
      tell(ProposalReplied{Proposal.m_Record->m_Version, IsTaken});
  }

  // ---- Ranks.

  void feed(std::uint32_t Rank, const GateEvent &Event) {
    for (const GateEffect &Effect : step(m_Gates[Rank], Event, m_Now))
      perform(Rank, Effect);
  }

  void perform(std::uint32_t Rank, const GateEffect &Effect) {
    if (const auto *Report = std::get_if<SendReport>(&Effect)) {
      post([this, R = Report->m_Report] { tell(ReportArrived{R}); });
    } else if (const auto *Load = std::get_if<LoadMap>(&Effect)) {
      at(m_Now + 2ms,
         [this, Rank, Id = Load->m_Map.m_Id] { feed(Rank, MapLoaded{Id}); });
    } else if (const auto *Start = std::get_if<StartStep>(&Effect)) {
      noteStart(Start->m_Step);
    } else if (const auto *Wake = std::get_if<GateWakeAt>(&Effect)) {
      at(Wake->m_Time, [this, Rank] { feed(Rank, GateTimePassed{}); });
    }
    // The first step's ranks switch to the first map of the group.
    if (std::holds_alternative<SwitchMap>(Effect) && Rank == 0 && m_Step > 0) {
      ++m_Figures.m_Switches;
      m_WasLost = false;
    }
  }

  void askAll() {
    m_ReadyAt = m_Now;
    m_Started = 0;
    for (std::uint32_t Rank = 0; Rank < m_Options.m_Ranks; ++Rank)
      feed(Rank, StepAsked{m_Step});
  }

  void noteStart(std::uint64_t Step) {
    if (Step != m_Step || ++m_Started < m_Options.m_Ranks)
      return;
    const Duration Delay = m_Now - m_ReadyAt;
    // The start of the group isn't a switch.
    if (m_Step > 0) {
      ++m_Figures.m_Steps;
      m_Figures.m_DelayedSteps += Delay > Duration::zero() ? 1 : 0;
      m_Figures.m_LongestDelay = std::max(m_Figures.m_LongestDelay, Delay);
    }
    ++m_Step;
    at(m_Now + m_Options.m_StepTime, [this] { askAll(); });
  }

  const SwitchTimingOptions &m_Options;
  Random m_Random;
  TimePoint m_Now{1h};
  std::multimap<TimePoint, std::function<void()>> m_Events;
  ExpertMap m_Map;
  SharedRecord m_Log;
  std::uint64_t m_Number = 0;
  MapCoordinator m_Coordinator;
  bool m_IsUp = false;
  bool m_WasLost = false;
  bool m_IsAsked = false;
  std::vector<RankGate> m_Gates;
  std::uint64_t m_Step = 0;
  std::uint32_t m_Started = 0;
  TimePoint m_ReadyAt;
  SwitchTimingFigures m_Figures;
};

} // namespace

SwitchTimingFigures timeSwitches(const SwitchTimingOptions &Options) {
  return Timing(Options).run();
}

} // namespace mangocart::test
